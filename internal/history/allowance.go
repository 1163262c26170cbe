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
	// targetAllowanceTurns is the size of an allowance in turns of the largest output. A turn
	// outputs a quarter of its maximum, so that an allowance lasts for about eight turns, or some
	// seconds of a program.
	targetAllowanceTurns = 3
	// refillThresholdTurns is the number of turns of the largest output below which an allowance is
	// refilled.
	refillThresholdTurns = 2
	// renewInterval is how long an allowance in use goes without a draw. Each draw keeps the program's
	// account at the keepers, which they would remove after retentionMargin beyond its retention: it
	// must outlive the program's last turn by its retention, and a draw may take drawTimeout.
	renewInterval = 5 * time.Second
	// evictionInterval is the time between two searches for allowances that are no longer needed.
	evictionInterval = 15 * time.Second
	// drawTimeout bounds all attempts of one draw, for which no caller waits.
	drawTimeout = 10 * time.Second
)

// allowances are the tokens of programs that this entry has reserved ahead of turns.
//
// An allowance covers turns of a program that need not be retained. Such turns do not wait for the
// keepers, and run even while the keepers are unreachable: an entry in an isolated data centre
// continues on its allowances. The budget holds, since the keepers count an allowance as spent
// until the entry reports otherwise. If an entry is lost, its unused allowances are lost to the
// programs.
type allowances struct {
	// incarnation distinguishes this process's allowances from those of earlier ones.
	incarnation string

	mu sync.Mutex
	// created counts the allowances, to give each an id of its own.
	created uint64
	// programs are keyed by customer and id, see recordKey.
	programs map[string]*allowance
	// turns are the turns in flight that run on an allowance.
	turns        map[string]*allowanceTurn
	lastEviction time.Time
}

// allowance is what this entry has reserved of one program's tokens.
type allowance struct {
	// id names the allowance at the keepers. It is never used for another one: the keepers know what
	// the first one used, and a second one would be granted that again.
	id                string
	customer, program string
	// outputTokens is the output of all settled turns; inFlight is the maximum output of turns in
	// flight; limit is what outputTokens may reach.
	outputTokens, inFlight, limit int64
	// largestTurn is the largest maximum output of a turn so far, which determines the size of a
	// draw.
	largestTurn, budget int64
	retention           time.Duration
	replica             string
	drawInFlight        bool
	// drawStarted is when the latest draw began, drawnAt when the latest successful one did.
	drawStarted, drawnAt time.Time
	lastUsed             time.Time
}

// accountRetention is how long the keepers certainly know the allowance after a draw.
func (a *allowance) accountRetention() time.Duration { return max(a.retention, defaultRetention) }

// isKnown reports whether the keepers still know the allowance at a time. They may give the tokens of
// one that they have forgotten to others.
func (a *allowance) isKnown(at time.Time) bool { return at.Sub(a.drawnAt) <= a.accountRetention() }

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

// beginTurn begins a turn on the program's allowance, and reports whether the allowance covers it.
func (s *allowances) beginTurn(r gateway.Reservation, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.programs[recordKey(&r.Customer, r.Program)]
	maxOutputTokens := int64(r.MaxOutputTokens)
	end := now
	if r.Deadline.After(now) {
		end = r.Deadline
	}
	if a == nil || r.Retain || r.Previous != "" || !a.isKnown(end) || a.outputTokens+a.inFlight+maxOutputTokens > a.limit {
		return false
	}
	a.inFlight += maxOutputTokens
	a.largestTurn, a.lastUsed = max(a.largestTurn, maxOutputTokens), now
	s.turns[r.Turn] = &allowanceTurn{allowance: a, maxOutputTokens: maxOutputTokens}
	return true
}

// settleTurn ends a turn that ran on an allowance; it returns false for other turns.
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

// getOrCreate returns the program's allowance; a new one is empty.
func (s *allowances) getOrCreate(r gateway.Reservation, now time.Time) *allowance {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evictIdle(now)
	key := recordKey(&r.Customer, r.Program)
	a := s.programs[key]
	if a == nil {
		s.created++
		a = &allowance{
			id: s.incarnation + "-" + strconv.FormatUint(s.created, 36), customer: r.Customer, program: r.Program,
			largestTurn: int64(r.MaxOutputTokens), budget: int64(r.Budget), retention: r.Retention,
		}
		s.programs[key] = a
	}
	a.lastUsed = now
	return a
}

// evictIdle removes allowances that the keepers no longer know; the lock is held. Before that, a
// program that returns would lose the unused part.
func (s *allowances) evictIdle(now time.Time) {
	if now.Sub(s.lastEviction) < evictionInterval {
		return
	}
	s.lastEviction = now
	for key, a := range s.programs {
		if idle := now.Sub(a.lastUsed); a.inFlight == 0 && idle > a.accountRetention()+retentionMargin {
			delete(s.programs, key)
		}
	}
}

// nextDraw returns the draw that the allowance needs now, if any. One is in flight at a time.
func (s *allowances) nextDraw(a *allowance, now time.Time) (*historypb.DrawRequest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isLow := a.limit-a.outputTokens-a.inFlight < refillThresholdTurns*a.largestTurn
	if a.drawInFlight || !isLow && now.Sub(a.drawnAt) < renewInterval {
		return nil, false
	}
	a.drawInFlight, a.drawStarted = true, now
	return &historypb.DrawRequest{
		Slice:       ShardOf(a.program),
		Program:     a.program,
		Customer:    &a.customer,
		Allowance:   a.id,
		Made:        a.outputTokens,
		Want:        targetAllowanceTurns * a.largestTurn,
		Budget:      a.budget,
		RetentionMs: a.retention.Milliseconds(),
		Replica:     a.replica,
	}, true
}

// completeDraw applies a successful draw. The keeper has reserved held tokens beyond the output that
// the request reported.
func (s *allowances) completeDraw(a *allowance, r *historypb.DrawRequest, held int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.drawInFlight, a.drawnAt = false, a.drawStarted
	a.limit = max(a.limit, r.Made+held)
}

// failDraw ends a draw of which the outcome is unknown.
func (s *allowances) failDraw(a *allowance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.drawInFlight = false
}

// refill draws for an allowance that runs low, in the background.
func (c *Client) refill(a *allowance) {
	request, needed := c.allowances.nextDraw(a, time.Now())
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
			// The settlement of the next turn tries again; until then turns are reserved at the
			// keepers.
			c.logger.WithError(err).WithField("program", request.Program).Info("allowance not refilled; retrying at the next settlement")
			c.allowances.failDraw(a)
			return
		}
		c.allowances.completeDraw(a, request, held)
	}()
}
