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

// Time bounds of a draw and its retries.
const (
	drawTimeout        = 5 * time.Second
	conflictBackoffMin = 50 * time.Millisecond
	conflictBackoffMax = 2000 * time.Millisecond
	readBackInterval   = 50 * time.Millisecond
)

// startDraw starts a draw of a shard. If one is running, it schedules another one after it. The
// channel is closed when the draw that is running or was just started has ended.
func (al *Allocator) startDraw(s *shard) <-chan struct{} {
	s.drawMu.Lock()
	defer s.drawMu.Unlock()
	if s.done != nil {
		s.drawAgain = true
		return s.done
	}
	s.done = make(chan struct{})
	al.draws.Go(func() { al.runDraws(s) })
	return s.done
}

// runDraws draws until no further draw was requested during the last one.
func (al *Allocator) runDraws(s *shard) {
	for {
		ctx, cancel := context.WithTimeout(al.ctx, drawTimeout)
		err := al.renew(ctx, s)
		cancel()
		al.recordOutage(err)
		s.drawMu.Lock()
		s.unresolved = len(s.lost) > 0
		s.renewAt = al.options.Now().Add(al.options.RenewInterval/2 + rand.N(al.options.RenewInterval))
		close(s.done)
		if !s.drawAgain || err != nil {
			s.done, s.drawAgain = nil, false
			s.drawMu.Unlock()
			return
		}
		s.done, s.drawAgain = make(chan struct{}), false
		s.drawMu.Unlock()
	}
}

// recordOutage records the result of a draw. After an error it sets the time before which the store
// is not called again, with backoff and jitter, so that an outage costs few calls and its end causes
// no burst of calls.
func (al *Allocator) recordOutage(err error) {
	al.outageMu.Lock()
	defer al.outageMu.Unlock()
	if err == nil {
		al.storeBackoff.Reset()
		al.retryAt = time.Time{}
		return
	}
	al.retryAt = al.options.Now().Add(al.storeBackoff.NextBackOff())
}

func (al *Allocator) untilRetry(now time.Time) time.Duration {
	al.outageMu.Lock()
	defer al.outageMu.Unlock()
	return max(0, al.retryAt.Sub(now))
}

// pendingDraw holds the requests of one allotment in a draw.
type pendingDraw struct {
	allotment  *allotment
	generation int
	requests   []drawRequest
}

// renew refills and returns a shard's allotments by one conditional update, retried after conflicts.
func (al *Allocator) renew(ctx context.Context, s *shard) error {
	pending := al.collectRequests(s)
	if len(pending) == 0 && len(s.lost) == 0 {
		return nil
	}
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = conflictBackoffMin, conflictBackoffMax
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		err := al.update(ctx, s, pending)
		if err != nil && !errors.Is(err, store.ErrConflict) {
			err = backoff.Permanent(err)
		}
		return struct{}{}, err
	}, backoff.WithBackOff(pause), backoff.WithMaxElapsedTime(0))
	if err != nil && !errors.Is(err, errUnknownOutcome) {
		restorePending(pending)
	}
	return err
}

// collectRequests collects the requests of the shard's allotments and withdraws the returned
// amounts.
func (al *Allocator) collectRequests(s *shard) []pendingDraw {
	now := al.options.Now()
	s.mu.RLock()
	defer s.mu.RUnlock()
	var pending []pendingDraw
	for _, a := range s.allotments {
		a.mu.Lock()
		requests := a.drawRequests(al.options.Horizon, al.options.Lead, now)
		if len(requests) > 0 {
			pending = append(pending, pendingDraw{allotment: a, generation: a.generation, requests: requests})
		}
		a.withdraw(requests)
		a.mu.Unlock()
	}
	return pending
}

// restorePending restores the returned amounts of requests that have certainly not been written.
func restorePending(pending []pendingDraw) {
	for _, p := range pending {
		p.allotment.mu.Lock()
		p.allotment.restore(p.requests)
		p.allotment.mu.Unlock()
	}
}

// lostWrite is a draw whose response was lost and whose outcome could not be read back.
type lostWrite struct {
	mark    writeMark
	base    store.Version
	pending []pendingDraw
	results []drawResult
}

// errUnknownOutcome indicates that the response to a draw was lost and its outcome could not be
// read back: the write may take effect, also later. Until a later read of the object shows the
// outcome, the amount drawn is not held and the amount returned is not spent, which is safe in
// both cases.
var errUnknownOutcome = errors.New("budget: a draw's outcome is unknown")

// update reads the shard's object, applies the requests and writes it.
func (al *Allocator) update(ctx context.Context, s *shard, pending []pendingDraw) error {
	key := store.Key{Kind: KindBudget, Name: fmt.Sprintf("%03d", s.number)}
	b, base, err := al.read(ctx, key)
	if err != nil {
		return err
	}
	al.resolveLost(s, b, base)
	var all []drawRequest
	for _, p := range pending {
		all = append(all, p.requests...)
	}
	results, changed := b.apply(all, int64(al.options.ShareDivisor), al.options.Now())
	if changed {
		m := b.recordWrite(cryptorand.Text()[:12])
		err := al.write(ctx, key, b, base, m)
		if errors.Is(err, errUnknownOutcome) {
			s.lost = append(s.lost, lostWrite{mark: m, base: base, pending: pending, results: results})
		}
		if err != nil {
			return err
		}
	}
	al.applyResults(pending, results)
	return nil
}

// resolveLost determines the outcome of lost writes from a read of the object. While the object
// still has their base version they may yet take effect, and stay lost. If the outcome can't be
// determined any more, the write is dropped: what it drew is not held, and what it returned is not
// spent.
func (al *Allocator) resolveLost(s *shard, b *accountSet, version store.Version) {
	kept := s.lost[:0]
	for _, l := range s.lost {
		found, known := b.findWrite(l.mark)
		switch {
		case version <= l.base:
			kept = append(kept, l)
		case found:
			al.applyResults(l.pending, l.results)
		case known:
			restorePending(l.pending)
		}
	}
	s.lost = kept
}

func (al *Allocator) read(ctx context.Context, key store.Key) (*accountSet, store.Version, error) {
	object, err := al.client.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return &accountSet{}, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	b, err := decodeAccounts(object.Value)
	return b, object.Version, err
}

// write updates the object. After a lost response it reads the object back: either the write's id
// is in it, or another write has replaced the base version, so that this one can no longer take
// effect, or the base version is unchanged and the object is written again.
func (al *Allocator) write(ctx context.Context, key store.Key, b *accountSet, base store.Version, m writeMark) error {
	value, err := b.encode()
	if err != nil {
		return err
	}
	al.metrics.draws.Inc(1)
	_, err = al.client.Put(ctx, key, value, base)
	if errors.Is(err, store.ErrConflict) {
		al.metrics.conflicts.Inc(1)
	}
	if !errors.Is(err, store.ErrUnknown) {
		return err
	}
	return al.confirmWrite(ctx, key, value, base, m)
}

func (al *Allocator) confirmWrite(ctx context.Context, key store.Key, value []byte, base store.Version, m writeMark) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = readBackInterval
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		return struct{}{}, al.readBack(ctx, key, value, base, m)
	}, backoff.WithBackOff(pause), backoff.WithMaxElapsedTime(0))
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errNotWritten):
		return store.ErrConflict
	default:
		al.metrics.unknownOutcomes.Inc(1)
		return errors.Wrap(errUnknownOutcome, err.Error())
	}
}

// errNotWritten indicates that a write had no effect and can't have one later.
var errNotWritten = errors.New("budget: write had no effect")

func (al *Allocator) readBack(ctx context.Context, key store.Key, value []byte, base store.Version, m writeMark) error {
	b, version, err := al.read(ctx, key)
	if err != nil {
		return err
	}
	if version <= base {
		// The write has not taken effect, or the read is stale. Another write resolves both cases.
		_, err := al.client.Put(ctx, key, value, base)
		return err
	}
	found, known := b.findWrite(m)
	switch {
	case found:
		return nil
	case known:
		return backoff.Permanent(errNotWritten)
	default:
		return backoff.Permanent(errUnknownOutcome)
	}
}

// applyResults records the results in the allotments.
func (al *Allocator) applyResults(pending []pendingDraw, results []drawResult) {
	now := al.options.Now()
	for _, p := range pending {
		p.allotment.mu.Lock()
		for range p.requests {
			p.allotment.recordResult(results[0], p.generation, now)
			results = results[1:]
		}
		p.allotment.mu.Unlock()
		al.logDraw(p)
	}
}

func (al *Allocator) logDraw(p pendingDraw) {
	al.options.Log.WithFields(log.Fields{"plan": p.allotment.plan, "asks": len(p.requests)}).Debug("budget draw completed")
}
