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
	// probesAtOnce bounds the probes under way.
	maxConcurrentProbes = 32
)

// Reporter reads an engine's load; engine.Client is one.
type Reporter interface {
	Load(ctx context.Context, addr string) (engine.Load, error)
}

// Probe asks at most limit engines of the data centre for their load. It is
// the active half of the health checks: it finds engines that died while idle,
// and brings back those that answer again. The limit keeps an instance's
// control traffic the same whatever the size of the fleet.
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
	// inUseFactor is how much sooner an engine is probed that has or lately had
	// own calls, or that is out and may have come back.
	inUseProbeFactor = 4
	// inUseFor is how long an engine counts as in use after its last answer. An
	// engine that dies loses its calls at once and must not count as idle then.
	inUseDuration = 10 * time.Second
)

// probeAge is the time since the last probe, by which engines are chosen.
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
	load, err := r.Load(ctx, u.Address)
	if err != nil {
		u.Failed(time.Now(), FailureOf(err))
		return
	}
	u.Report(time.Now(), load)
	u.recordReachable(time.Now())
}

// tryAgain brings a service back when the hold is over. A service has no load
// report; if it still drains, it says so to the next call, which did not run.
func (u *Upstream) endExpiredDrain(now time.Time) {
	if !u.draining.Load() {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.recordAlive(now)
}

// reachable lets the next call try an upstream whose connections were refused.
// It does not close the breaker, and does nothing for one that lost its calls:
// an engine that hangs goes on to report its load and runs nothing.
func (u *Upstream) recordReachable(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.breaker.open && u.breaker.unreachable {
		u.openUntil.Store(min(u.openUntil.Load(), now.UnixNano()))
	}
}
