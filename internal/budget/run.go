package budget

import (
	"context"
	"math/rand/v2"
	"time"
)

// Run renews allotments in the background and applies edits of the plans until ctx ends. It does
// not return the allotments to the store; Close does.
func (al *Allocator) Run(ctx context.Context) error {
	tick := time.NewTicker(rateInterval)
	defer tick.Stop()
	// The channel is kept until it is closed. If it were fetched again after each event, an edit
	// that arrives while the event is handled would be missed, and the allotment of a plan with a
	// reduced budget would not be returned.
	changed := al.plans.Changed()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			changed = al.plans.Changed()
			al.applyEdit()
		case <-tick.C:
			al.updateHeld()
		}
		al.startDueDraws(ctx, changed)
	}
}

// applyEdit applies the list in force to all allotments.
func (al *Allocator) applyEdit() {
	list, version := al.plans.Plans()
	if list == nil || al.closed.Load() {
		return
	}
	for _, s := range al.shards {
		s.mu.RLock()
		for name, a := range s.allotments {
			a.mu.Lock()
			if p := list.Lookup(name); p != nil {
				a.setBudget(p.Budget, version)
			} else {
				a.retire()
			}
			a.mu.Unlock()
		}
		s.mu.RUnlock()
	}
}

func (al *Allocator) updateHeld() {
	now := al.options.Now()
	var held Cost
	for _, s := range al.shards {
		s.mu.Lock()
		for name, a := range s.allotments {
			a.mu.Lock()
			a.updateRates()
			unspent := a.expire(now)
			al.metrics.strandedMoney.Inc(int64(unspent.Money))
			al.metrics.strandedTokens.Inc(unspent.Tokens)
			for _, h := range a.holdings {
				held = held.plus(h.free).plus(h.returning)
			}
			if a.isIdle(now) {
				a.removed = true
				delete(s.allotments, name)
			}
			a.mu.Unlock()
		}
		s.mu.Unlock()
	}
	al.metrics.heldMoney.Update(int64(held.Money))
	al.metrics.heldTokens.Update(held.Tokens)
}

// startDueDraws starts a draw of each shard that has amounts to draw or to return. The draws are
// spread over one rateInterval: after an edit all instances update the same object, and most of
// their simultaneous updates would conflict. Another edit stops the sequence; Run then starts it
// again.
func (al *Allocator) startDueDraws(ctx context.Context, edited <-chan struct{}) {
	if al.closed.Load() || al.untilRetry(al.options.Now()) > 0 {
		return
	}
	var due []*shard
	for _, s := range al.shards {
		if al.isDue(s) {
			due = append(due, s)
		}
	}
	for _, s := range due {
		delay := time.NewTimer(rand.N(rateInterval / time.Duration(len(due))))
		select {
		case <-delay.C:
		case <-edited:
			delay.Stop()
			return
		case <-ctx.Done():
			delay.Stop()
			return
		}
		al.startDraw(s)
	}
}

// isDue reports whether the shard needs a draw: immediately for a write with an unknown outcome or
// an amount marked for return, from renewAt on for other requests.
func (al *Allocator) isDue(s *shard) bool {
	now := al.options.Now()
	s.drawMu.Lock()
	early, unresolved := now.Before(s.renewAt), s.unresolved
	s.drawMu.Unlock()
	if unresolved {
		return true
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, a := range s.allotments {
		a.mu.Lock()
		due := a.mustReturn() || !early && len(a.drawRequests(al.options.Horizon, al.options.Lead, now)) > 0
		a.mu.Unlock()
		if due {
			return true
		}
	}
	return false
}

// Close stops reservations and returns all unreserved amounts to the store. It is for a planned
// stop, after the instance's calls have ended.
func (al *Allocator) Close(ctx context.Context) error {
	al.closed.Store(true)
	defer al.draws.Wait()
	defer al.cancel()
	for _, s := range al.shards {
		if err := al.closeShard(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

func (al *Allocator) closeShard(ctx context.Context, s *shard) error {
	s.mu.RLock()
	empty := len(s.allotments) == 0
	for _, a := range s.allotments {
		a.mu.Lock()
		a.retire()
		a.mu.Unlock()
	}
	s.mu.RUnlock()
	if empty {
		return nil
	}
	// A draw that was already running may have collected its requests before; the next one has not.
	for range 2 {
		select {
		case <-al.startDraw(s):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
