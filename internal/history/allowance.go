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
	targetAllowanceTurns = 3
	// refillBelow is the number of turns at their most below which an allowance
	// is drawn again.
	refillThresholdTurns = 2
	// allowanceIdle is how long an allowance without turns is remembered.
	allowanceIdleTimeout = time.Minute
	// drawTime bounds all tries of one drawing, which nobody waits for.
	drawTimeout = 10 * time.Second
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
	incarnation string

	mu sync.Mutex
	// programs are found by customer and id, see keyOf.
	programs map[string]*allowance
	// turns are the turns under way that run on an allowance.
	turns        map[string]*allowanceTurn
	lastEviction time.Time
}

// allowance is what this entry holds of one program.
type allowance struct {
	customer, program string
	// made is all that turns made on it; committed is what those under way may
	// make; limit is what made may reach.
	outputTokens, inFlight, limit int64
	// most is the largest turn so far, by which it is drawn.
	largestTurn, budget int64
	retention           time.Duration
	replica             string
	drawInFlight        bool
	lastUsed            time.Time
}

type allowanceTurn struct {
	allowance       *allowance
	maxOutputTokens int64
}

func newAllowances() *allowances {
	return &allowances{
		incarnation: strconv.FormatUint(rand.Uint64(), 36),
		programs:    map[string]*allowance{},
		turns:       map[string]*allowanceTurn{},
	}
}

// take begins a turn on the program's allowance, if that covers it.
func (s *allowances) beginTurn(r gateway.Reservation, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.programs[recordKey(&r.Customer, r.Program)]
	maxOutputTokens := int64(r.MaxOutputTokens)
	if a == nil || r.Retain || r.Previous != "" || a.outputTokens+a.inFlight+maxOutputTokens > a.limit {
		return false
	}
	a.inFlight += maxOutputTokens
	a.largestTurn, a.lastUsed = max(a.largestTurn, maxOutputTokens), now
	s.turns[r.Turn] = &allowanceTurn{allowance: a, maxOutputTokens: maxOutputTokens}
	return true
}

// settle ends a turn that ran on an allowance; false if it did not.
func (s *allowances) settleTurn(e gateway.Settlement) (*allowance, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.turns[e.Turn]
	if t == nil {
		return nil, false
	}
	delete(s.turns, e.Turn)
	t.allowance.inFlight -= t.maxOutputTokens
	t.allowance.outputTokens += int64(e.OutputTokens)
	if e.Replica != "" {
		t.allowance.replica = e.Replica
	}
	return t.allowance, true
}

// open returns the program's allowance, which may be empty yet.
func (s *allowances) getOrCreate(r gateway.Reservation, now time.Time) *allowance {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evictIdle(now)
	key := recordKey(&r.Customer, r.Program)
	a := s.programs[key]
	if a == nil {
		a = &allowance{customer: r.Customer, program: r.Program, largestTurn: int64(r.MaxOutputTokens), budget: int64(r.Budget), retention: r.Retention}
		s.programs[key] = a
	}
	a.lastUsed = now
	return a
}

// sweep forgets allowances of programs that are over; the lock is held.
func (s *allowances) evictIdle(now time.Time) {
	if now.Sub(s.lastEviction) < allowanceIdleTimeout/4 {
		return
	}
	s.lastEviction = now
	for key, a := range s.programs {
		if a.inFlight == 0 && now.Sub(a.lastUsed) > allowanceIdleTimeout {
			delete(s.programs, key)
		}
	}
}

// request returns the drawing that the allowance needs now, if any. One is
// under way at a time.
func (s *allowances) nextDraw(a *allowance) (*historypb.DrawRequest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.drawInFlight || a.limit-a.outputTokens-a.inFlight >= refillThresholdTurns*a.largestTurn {
		return nil, false
	}
	a.drawInFlight = true
	return &historypb.DrawRequest{
		Slice:       ShardOf(a.program),
		Program:     a.program,
		Customer:    &a.customer,
		Allowance:   s.incarnation,
		Made:        a.outputTokens,
		Want:        targetAllowanceTurns * a.largestTurn,
		Budget:      a.budget,
		RetentionMs: a.retention.Milliseconds(),
		Replica:     a.replica,
	}, true
}

// drawn takes in the outcome of a drawing. The keeper holds back what it told,
// beyond what the request told to be made.
func (s *allowances) completeDraw(a *allowance, r *historypb.DrawRequest, held int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.drawInFlight = false
	a.limit = max(a.limit, r.Made+held)
}

// refill draws for an allowance that runs low. Nobody waits for it.
func (c *Client) refill(a *allowance) {
	request, needed := c.allowances.nextDraw(a)
	if !needed {
		return
	}
	go func() {
		held := int64(0)
		err := c.callShard(context.Background(), request.Slice, drawTimeout, false, func(ctx context.Context, k historypb.Keeper) callOutcome {
			response, err := k.Draw(ctx, request)
			if err != nil {
				return outcomeRetry
			}
			c.observeRole(request.Slice, response.Role)
			if response.Verdict != historypb.Verdict_DONE {
				return outcomeRetry
			}
			held = response.Held
			return outcomeDone
		})
		if err != nil {
			// The next turn's end tries again; until then the keepers are asked.
			c.logger.WithError(err).WithField("program", request.Program).Info("nothing drawn")
			held = 0
		}
		c.allowances.completeDraw(a, request, held)
	}()
}
