package upstream

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"foxhall/internal/engine"
)

const (
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
	// maxConcurrentProbes bounds the probes in flight.
	maxConcurrentProbes = 32
)

// Reporter reads an engine's load report. engine.Client implements it.
type Reporter interface {
	Load(ctx context.Context, addr string) (engine.Load, error)
}

// Probe asks at most limit engines of the data centre for their load. It is the active part of the
// health checks: it detects engines that crashed while idle and readmits those that respond again.
// The limit keeps an instance's control traffic independent of the size of the fleet.
func (t *Table) Probe(ctx context.Context, dataCentre string, r Reporter, limit int) {
	now := time.Now()
	var due []*Upstream
	for _, u := range t.Snapshot().All {
		switch {
		case u.DataCentre != dataCentre:
		case u.Service != "":
			u.endExpiredDrain(now)
		default:
			due = append(due, u)
		}
	}
	slices.SortStableFunc(due, func(a, b *Upstream) int { return cmp.Compare(b.probeAge(now), a.probeAge(now)) })
	var group errgroup.Group
	group.SetLimit(maxConcurrentProbes)
	for _, u := range due[:min(limit, len(due))] {
		u.probedAt.Store(now.UnixNano())
		group.Go(func() error {
			u.probe(ctx, r)
			return nil
		})
	}
	_ = group.Wait()
}

const (
	// inUseProbeFactor is how much more often an engine is probed that has or recently had own calls,
	// or that is unavailable and may have recovered.
	inUseProbeFactor = 4
	// inUseDuration is how long an engine counts as in use after its last progress. An engine that
	// crashes loses its calls at once and must not count as idle then.
	inUseDuration = 10 * time.Second
)

// probeAge returns the priority of an engine for the next probe: the nanoseconds since its last
// one, times inUseProbeFactor if the engine is in use or unavailable. An engine that was never
// probed comes first.
func (u *Upstream) probeAge(now time.Time) int64 {
	age := now.UnixNano() - u.probedAt.Load()
	if u.probedAt.Load() == 0 {
		return math.MaxInt64
	}
	recentlyUsed := now.UnixNano()-u.lastProgress.Load() < int64(inUseDuration)
	if recentlyUsed || u.inFlight.Load() > 0 || u.openUntil.Load() != 0 || u.draining.Load() {
		return age * inUseProbeFactor
	}
	return age
}

func (u *Upstream) probe(ctx context.Context, r Reporter) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	began := time.Now()
	load, err := r.Load(ctx, u.Address)
	if err != nil {
		failure := FailureOf(err)
		failure.SentAt = began
		u.RecordFailure(time.Now(), failure)
		return
	}
	u.ApplyReport(time.Now(), load)
	u.recordReachable(time.Now())
}

// endExpiredDrain readmits a draining replica of a service once DrainHold has passed. A service has
// no load report. If it still drains, it refuses the next call with a drain signal and does not run
// it.
func (u *Upstream) endExpiredDrain(now time.Time) {
	if !u.draining.Load() {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.recordAlive(now)
}

// recordReachable allows the next call as a half-open trial of an upstream that was unreachable. It
// does not close the breaker, and has no effect on an upstream whose breaker opened because calls
// were lost: an engine that hangs still reports its load but runs nothing.
func (u *Upstream) recordReachable(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.breaker.open && u.breaker.unreachable {
		u.openUntil.Store(min(u.openUntil.Load(), now.UnixNano()))
	}
}
