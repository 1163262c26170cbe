package history

import (
	"context"
	"sync"
	"time"

	"foxhall/internal/history/historypb"
)

// settlements are the settlements of turns under way, by program. It is safe for concurrent use.
type settlements struct {
	mu       sync.Mutex
	programs map[string]*programSettlements
}

type programSettlements struct {
	underWay int
	// ended is closed once none is under way.
	ended chan struct{}
}

func newSettlements() *settlements { return &settlements{programs: map[string]*programSettlements{}} }

// begin records a settlement of a program until end is called.
func (s *settlements) begin(key string) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.programs[key]
	if p == nil {
		p = &programSettlements{ended: make(chan struct{})}
		s.programs[key] = p
	}
	p.underWay++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if p.underWay--; p.underWay == 0 {
			close(p.ended)
			delete(s.programs, key)
		}
	}
}

// wait waits until none of the program's settlements is under way, or ctx ends. It reports whether there were any.
func (s *settlements) wait(ctx context.Context, key string) bool {
	s.mu.Lock()
	p := s.programs[key]
	s.mu.Unlock()
	if p == nil {
		return false
	}
	select {
	case <-p.ended:
	case <-ctx.Done():
	}
	return true
}

// reserveAfterSettlements is reserve for a program whose budget may be reserved for turns that have ended: it waits
// for the settlements under way here, and for those of other instances that the same change of keepers delayed.
func (c *Client) reserveAfterSettlements(ctx context.Context, r *historypb.ReserveRequest, deadline time.Time) (*historypb.ReserveResponse, error) {
	began := time.Now()
	response, err := c.reserve(ctx, r, reserveTimeoutFor(deadline))
	if err != nil || response.Verdict != historypb.Verdict_SPENT || response.Spent+r.Most > r.Budget {
		return response, err
	}
	waitCtx, cancel := context.WithTimeout(ctx, reserveTimeoutFor(deadline))
	defer cancel()
	switch delayed := time.Since(began) >= retryInterval; {
	case c.settlements.wait(waitCtx, recordKey(r.Customer, r.Program)):
	case delayed:
		sleep(waitCtx, 2*retryInterval)
	default:
		return response, nil
	}
	if waitCtx.Err() != nil {
		return response, nil
	}
	return c.reserve(ctx, r, reserveTimeoutFor(deadline))
}

// settleTurn settles a turn at the keepers.
func (c *Client) settleTurn(ctx context.Context, r *historypb.SettleRequest) error {
	defer c.settlements.begin(recordKey(r.Customer, r.Program))()
	return c.settle(ctx, r, releaseTimeout)
}
