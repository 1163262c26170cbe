package budget

import (
	"context"
	cryptorand "crypto/rand"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"foxhall/internal/store"
)

// Bounds of one draw.
const (
	drawTime       = 5 * time.Second
	conflictFirst  = 50 * time.Millisecond
	conflictMax    = 2000 * time.Millisecond
	settleInterval = 50 * time.Millisecond
)

// start begins a draw of a shard unless one is under way; then another follows it.
func (k *Allocator) start(s *shard) <-chan struct{} {
	s.drawing.Lock()
	defer s.drawing.Unlock()
	if s.done != nil {
		s.again = true
		return s.done
	}
	s.done = make(chan struct{})
	k.draws.Go(func() { k.run(s) })
	return s.done
}

// run draws until no new need has come up meanwhile.
func (k *Allocator) run(s *shard) {
	for {
		ctx, cancel := context.WithTimeout(k.ctx, drawTime)
		err := k.renew(ctx, s)
		cancel()
		k.noteOutage(err)
		s.drawing.Lock()
		s.unresolved = len(s.lost) > 0
		s.renewAt = k.options.Now().Add(k.options.Renew/2 + rand.N(k.options.Renew))
		close(s.done)
		if !s.again || err != nil {
			s.done, s.again = nil, false
			s.drawing.Unlock()
			return
		}
		s.done, s.again = make(chan struct{}), false
		s.drawing.Unlock()
	}
}

// noteOutage keeps the time before which the store is not asked again, with
// backoff and jitter, so that an outage costs few calls and its end no rush.
func (k *Allocator) noteOutage(err error) {
	k.outage.Lock()
	defer k.outage.Unlock()
	if err == nil {
		k.pause.Reset()
		k.retryAt = time.Time{}
		return
	}
	k.retryAt = k.options.Now().Add(k.pause.NextBackOff())
}

func (k *Allocator) untilRetry(now time.Time) time.Duration {
	k.outage.Lock()
	defer k.outage.Unlock()
	return max(0, k.retryAt.Sub(now))
}

// asked is what one allotment asks in a draw.
type asked struct {
	allotment  *allotment
	generation int
	asks       []ask
}

// renew brings a shard's allotments in line with their wants by one
// conditional update, tried again after conflicts.
func (k *Allocator) renew(ctx context.Context, s *shard) error {
	pending := k.collect(s)
	if len(pending) == 0 && len(s.lost) == 0 {
		return nil
	}
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = conflictFirst, conflictMax
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		err := k.update(ctx, s, pending)
		if err != nil && !errors.Is(err, store.ErrConflict) {
			err = backoff.Permanent(err)
		}
		return struct{}{}, err
	}, backoff.WithBackOff(pause), backoff.WithMaxElapsedTime(0))
	if err != nil && !errors.Is(err, errUnsettled) {
		takeBack(pending)
	}
	return err
}

// collect gathers what the shard's allotments ask for.
func (k *Allocator) collect(s *shard) []asked {
	now := k.options.Now()
	s.mu.RLock()
	defer s.mu.RUnlock()
	var pending []asked
	for _, a := range s.allotments {
		a.mu.Lock()
		asks := a.asks(k.options.Horizon, k.options.Lead, now)
		if len(asks) > 0 {
			pending = append(pending, asked{allotment: a, generation: a.generation, asks: asks})
		}
		a.withdraw(asks)
		a.mu.Unlock()
	}
	return pending
}

// takeBack undoes the returning of asks that have certainly not been written.
func takeBack(pending []asked) {
	for _, p := range pending {
		p.allotment.mu.Lock()
		p.allotment.restore(p.asks)
		p.allotment.mu.Unlock()
	}
}

// lostWrite is a draw whose answer was lost and could not be read back.
type lostWrite struct {
	mark    mark
	base    store.Version
	pending []asked
	results []result
}

// errUnsettled says that the answer of a draw was lost and could not be read
// back: it may take effect, also later. What it would have drawn is not held
// and what it gave back is not spent, which is safe either way, until a later
// read of the object tells.
var errUnsettled = errors.New("budget: a draw's outcome is unknown")

// update reads the shard's object, applies the asks and writes it.
func (k *Allocator) update(ctx context.Context, s *shard, pending []asked) error {
	key := store.Key{Kind: KindBudget, Name: fmt.Sprintf("%03d", s.number)}
	b, base, err := k.read(ctx, key)
	if err != nil {
		return err
	}
	k.resolveLost(s, b, base)
	var all []ask
	for _, p := range pending {
		all = append(all, p.asks...)
	}
	results, changed := b.apply(all, int64(k.options.Share), k.options.Now())
	if changed {
		m := b.note(cryptorand.Text()[:12])
		err := k.write(ctx, key, b, base, m)
		if errors.Is(err, errUnsettled) {
			s.lost = append(s.lost, lostWrite{mark: m, base: base, pending: pending, results: results})
		}
		if err != nil {
			return err
		}
	}
	k.deliver(pending, results)
	return nil
}

// resolveLost learns from a read of the object what became of lost writes.
// While their base still stands they may yet take effect, and stay lost.
func (k *Allocator) resolveLost(s *shard, b *accountSet, version store.Version) {
	kept := s.lost[:0]
	for _, l := range s.lost {
		found, known := b.wrote(l.mark)
		switch {
		case version <= l.base:
			kept = append(kept, l)
		case found:
			k.deliver(l.pending, l.results)
		case known:
			takeBack(l.pending)
		}
	}
	s.lost = kept
}

func (k *Allocator) read(ctx context.Context, key store.Key) (*accountSet, store.Version, error) {
	object, err := k.client.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return &accountSet{}, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	b, err := decodeAccounts(object.Value)
	return b, object.Version, err
}

// write updates the object. A lost answer is settled by reading back: the
// write's id is there, or a write of others took its base, so that it can't
// take effect any more, or the base still stands and it is written again.
func (k *Allocator) write(ctx context.Context, key store.Key, b *accountSet, base store.Version, m mark) error {
	value, err := b.encode()
	if err != nil {
		return err
	}
	k.metrics.draws.Inc(1)
	_, err = k.client.Put(ctx, key, value, base)
	if errors.Is(err, store.ErrConflict) {
		k.metrics.conflicts.Inc(1)
	}
	if !errors.Is(err, store.ErrUnknown) {
		return err
	}
	return k.settle(ctx, key, value, base, m)
}

func (k *Allocator) settle(ctx context.Context, key store.Key, value []byte, base store.Version, m mark) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = settleInterval
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		return struct{}{}, k.readBack(ctx, key, value, base, m)
	}, backoff.WithBackOff(pause), backoff.WithMaxElapsedTime(0))
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errNotWritten):
		return store.ErrConflict
	default:
		k.metrics.unsettled.Inc(1)
		return errors.Wrap(errUnsettled, err.Error())
	}
}

// errNotWritten says that a write had no effect and can have none any more.
var errNotWritten = errors.New("budget: not written")

func (k *Allocator) readBack(ctx context.Context, key store.Key, value []byte, base store.Version, m mark) error {
	b, version, err := k.read(ctx, key)
	if err != nil {
		return err
	}
	if version <= base {
		// Not yet there, or an old read: writing it again ends it either way.
		_, err := k.client.Put(ctx, key, value, base)
		return err
	}
	found, known := b.wrote(m)
	switch {
	case found:
		return nil
	case known:
		return backoff.Permanent(errNotWritten)
	default:
		return backoff.Permanent(errUnsettled)
	}
}

// deliver hands the store's results to the allotments.
func (k *Allocator) deliver(pending []asked, results []result) {
	now := k.options.Now()
	for _, p := range pending {
		p.allotment.mu.Lock()
		for range p.asks {
			p.allotment.granted(results[0], p.generation, now)
			results = results[1:]
		}
		p.allotment.mu.Unlock()
		k.logDraw(p)
	}
}

func (k *Allocator) logDraw(p asked) {
	k.options.Log.WithFields(log.Fields{"plan": p.allotment.plan, "asks": len(p.asks)}).Debug("budget drawn")
}
