package history

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"foxhall/internal/gateway"
	"foxhall/internal/history/historypb"
)

const (
	// allowanceTurns is how many turns at their most an entry wants to hold of a
	// program. A turn makes a quarter of its most, so that they last for about
	// eight turns, or some seconds of a program.
	allowanceTurns = 3
	// refillBelow is the number of turns at their most below which an allowance
	// is drawn again.
	refillBelow = 2
	// allowanceIdle is how long an allowance without turns is remembered.
	allowanceIdle = time.Minute
	// drawTime bounds all tries of one drawing, which nobody waits for.
	drawTime = 10 * time.Second
)

// allowances are the tokens of programs that this entry holds ahead of turns.
//
// They serve the turns of a program, where these need not be kept, while its
// keepers are out of reach: an entry that is cut off with its data centre goes
// on with what it holds. And such a turn does not wait for the keepers. The
// budget holds, since what is held counts as spent there until it is told
// otherwise; an entry that is lost takes its allowances with it.
type allowances struct {
	// name tells this process's allowances from those of earlier ones.
	name string

	mu sync.Mutex
	// programs are found by customer and id, see keyOf.
	programs map[string]*allowance
	// turns are the turns under way that run on an allowance.
	turns map[string]*allowanceTurn
	swept time.Time
}

// allowance is what this entry holds of one program.
type allowance struct {
	customer, program string
	// made is all that turns made on it; committed is what those under way may
	// make; limit is what made may reach.
	made, committed, limit int64
	// most is the largest turn so far, by which it is drawn.
	most, budget int64
	retention    time.Duration
	replica      string
	drawing      bool
	used         time.Time
}

type allowanceTurn struct {
	of   *allowance
	most int64
}

func newAllowances() *allowances {
	return &allowances{
		name:     strconv.FormatUint(rand.Uint64(), 36),
		programs: map[string]*allowance{},
		turns:    map[string]*allowanceTurn{},
	}
}

// take begins a turn on the program's allowance, if that covers it.
func (s *allowances) take(r gateway.Reservation, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.programs[keyOf(&r.Customer, r.Program)]
	most := int64(r.MaxOutputTokens)
	if a == nil || r.Retain || r.Previous != "" || a.made+a.committed+most > a.limit {
		return false
	}
	a.committed += most
	a.most, a.used = max(a.most, most), now
	s.turns[r.Turn] = &allowanceTurn{of: a, most: most}
	return true
}

// settle ends a turn that ran on an allowance; false if it did not.
func (s *allowances) settle(e gateway.Settlement) (*allowance, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.turns[e.Turn]
	if t == nil {
		return nil, false
	}
	delete(s.turns, e.Turn)
	t.of.committed -= t.most
	t.of.made += int64(e.OutputTokens)
	if e.Replica != "" {
		t.of.replica = e.Replica
	}
	return t.of, true
}

// open returns the program's allowance, which may be empty yet.
func (s *allowances) open(r gateway.Reservation, now time.Time) *allowance {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	key := keyOf(&r.Customer, r.Program)
	a := s.programs[key]
	if a == nil {
		a = &allowance{customer: r.Customer, program: r.Program, most: int64(r.MaxOutputTokens), budget: int64(r.Budget), retention: r.Retention}
		s.programs[key] = a
	}
	a.used = now
	return a
}

// sweep forgets allowances of programs that are over; the lock is held.
func (s *allowances) sweep(now time.Time) {
	if now.Sub(s.swept) < allowanceIdle/4 {
		return
	}
	s.swept = now
	for key, a := range s.programs {
		if a.committed == 0 && now.Sub(a.used) > allowanceIdle {
			delete(s.programs, key)
		}
	}
}

// request returns the drawing that the allowance needs now, if any. One is
// under way at a time.
func (s *allowances) request(a *allowance) (*historypb.DrawRequest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.drawing || a.limit-a.made-a.committed >= refillBelow*a.most {
		return nil, false
	}
	a.drawing = true
	return &historypb.DrawRequest{
		Slice:       ShardOf(a.program),
		Program:     a.program,
		Customer:    &a.customer,
		Allowance:   s.name,
		Made:        a.made,
		Want:        allowanceTurns * a.most,
		Budget:      a.budget,
		RetentionMs: a.retention.Milliseconds(),
		Replica:     a.replica,
	}, true
}

// drawn takes in the outcome of a drawing. The keeper holds back what it told,
// beyond what the request told to be made.
func (s *allowances) drawn(a *allowance, r *historypb.DrawRequest, held int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.drawing = false
	a.limit = max(a.limit, r.Made+held)
}

// refill draws for an allowance that runs low. Nobody waits for it.
func (c *Client) refill(a *allowance) {
	request, needed := c.allowances.request(a)
	if !needed {
		return
	}
	go func() {
		held := int64(0)
		err := c.ask(context.Background(), request.Slice, drawTime, false, func(ctx context.Context, k historypb.Keeper) reply {
			response, err := k.Draw(ctx, request)
			if err != nil {
				return again
			}
			c.learn(request.Slice, response.Role)
			if response.Verdict != historypb.Verdict_DONE {
				return again
			}
			held = response.Held
			return settled
		})
		if err != nil {
			// The next turn's end tries again; until then the keepers are asked.
			c.logger.WithError(err).WithField("program", request.Program).Info("nothing drawn")
			held = 0
		}
		c.allowances.drawn(a, request, held)
	}()
}
