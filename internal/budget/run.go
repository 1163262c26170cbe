package budget

import (
	"context"
	"math/rand/v2"
	"time"
)

// Run renews allotments in the background and follows edits of the plans until
// ctx ends. It gives nothing back; Close does.
func (k *Allocator) Run(ctx context.Context) error {
	tick := time.NewTicker(rateTick)
	defer tick.Stop()
	// The channel is kept until it is closed: one taken anew after each event
	// would miss an edit that arrives while the event is handled, and a cut
	// plan's allotment would not be returned.
	changed := k.plans.Changed()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			changed = k.plans.Changed()
			k.followEdit()
		case <-tick.C:
			k.tick()
		}
		k.renewWhereDue(ctx, changed)
	}
}

// followEdit applies the list in force to everything that is held.
func (k *Allocator) followEdit() {
	list, version := k.plans.Plans()
	if list == nil || k.closed.Load() {
		return
	}
	for _, s := range k.shards {
		s.mu.RLock()
		for name, a := range s.allotments {
			a.mu.Lock()
			if p := list.Lookup(name); p != nil {
				a.adopt(p.Budget, version)
			} else {
				a.end()
			}
			a.mu.Unlock()
		}
		s.mu.RUnlock()
	}
}

func (k *Allocator) tick() {
	now := k.options.Now()
	var held Cost
	for _, s := range k.shards {
		s.mu.Lock()
		for name, a := range s.allotments {
			a.mu.Lock()
			a.tick()
			unspent := a.expire(now)
			k.metrics.strandedMoney.Inc(int64(unspent.Money))
			k.metrics.strandedTokens.Inc(unspent.Tokens)
			for _, h := range a.holdings {
				held = held.plus(h.free).plus(h.returning)
			}
			if a.idle(now) {
				a.dropped = true
				delete(s.allotments, name)
			}
			a.mu.Unlock()
		}
		s.mu.Unlock()
	}
	k.metrics.heldMoney.Update(int64(held.Money))
	k.metrics.heldTokens.Update(held.Tokens)
}

// renewWhereDue starts a draw of each shard in which something is lacking or
// to be returned. The draws are spread over a tick: after an edit all
// instances have to update one object, and at once they would mostly meet
// conflicts. An edit ends the spreading, and begins it anew.
func (k *Allocator) renewWhereDue(ctx context.Context, edited <-chan struct{}) {
	if k.closed.Load() || k.untilRetry(k.options.Now()) > 0 {
		return
	}
	var due []*shard
	for _, s := range k.shards {
		if k.due(s) {
			due = append(due, s)
		}
	}
	for _, s := range due {
		delay := time.NewTimer(rand.N(rateTick / time.Duration(len(due))))
		select {
		case <-delay.C:
		case <-edited:
			delay.Stop()
			return
		case <-ctx.Done():
			delay.Stop()
			return
		}
		k.start(s)
	}
}

// due reports whether the shard has anything to ask: what became of a lost
// write and what was marked for return at once, anything else when it is time to renew.
func (k *Allocator) due(s *shard) bool {
	now := k.options.Now()
	s.drawing.Lock()
	early, unresolved := now.Before(s.renewAt), s.unresolved
	s.drawing.Unlock()
	if unresolved {
		return true
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, a := range s.allotments {
		a.mu.Lock()
		due := a.urgent() || !early && len(a.asks(k.options.Horizon, k.options.Lead, now)) > 0
		a.mu.Unlock()
		if due {
			return true
		}
	}
	return false
}

// Close stops reserving and returns everything that is not reserved: the
// planned stop, after the instance's calls have ended.
func (k *Allocator) Close(ctx context.Context) error {
	k.closed.Store(true)
	defer k.draws.Wait()
	defer k.cancel()
	for _, s := range k.shards {
		if err := k.closeShard(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

func (k *Allocator) closeShard(ctx context.Context, s *shard) error {
	s.mu.RLock()
	empty := len(s.allotments) == 0
	for _, a := range s.allotments {
		a.mu.Lock()
		a.end()
		a.mu.Unlock()
	}
	s.mu.RUnlock()
	if empty {
		return nil
	}
	// One draw that was under way may have collected before; the next has not.
	for range 2 {
		select {
		case <-k.start(s):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
