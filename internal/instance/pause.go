package instance

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"foxhall/internal/ledger"
	"foxhall/internal/wake"
)

// pauseCheckInterval is how often the process reads its own clock.
const pauseCheckInterval = 100 * time.Millisecond

// pauseGuard detects that this process may have been taken over during a pause. It implements
// owner.Lease.
//
// The failure it guards against: a process is paused after it admitted a model call, its programs
// are taken over, and when it resumes it sends the call. An engine then computes a turn for a
// program that has continued on another instance. The guard detects the gap in the process's clock
// before a call is sent, and reports the lease as not held until it has confirmed that the log is
// not sealed.
//
// While the object API is unreachable, the lease is reported as held. The instance may be the only
// one that lost the object API and may have been taken over, in which case the engine's work is
// wasted. Steps that may not be repeated are refused without the log in any case.
type pauseGuard struct {
	instance *Instance
	// maxPause is the longest pause during which no take-over can have begun.
	maxPause time.Duration
	// clock includes the time during which the machine was suspended. lastReading is its last
	// reading, in nanoseconds.
	clock       wake.Clock
	lastReading atomic.Int64
	uncertain   atomic.Bool
}

func newPauseGuard(i *Instance) *pauseGuard {
	p := &pauseGuard{instance: i, maxPause: i.settings.Peers.SuspectTimeout.Std(), clock: wake.BootTime}
	if i.network != nil {
		// A test with its own network also controls time; time.Since follows a synctest clock.
		start := time.Now()
		p.clock = func() time.Duration { return time.Since(start) }
	}
	p.lastReading.Store(int64(p.clock()))
	return p
}

// Held implements owner.Lease.
func (p *pauseGuard) Held() bool {
	if p.sinceLastReading() > p.maxPause {
		p.uncertain.Store(true)
	}
	return !p.uncertain.Load() || p.instance.store.Down()
}

func (p *pauseGuard) sinceLastReading() time.Duration {
	return p.clock() - time.Duration(p.lastReading.Load())
}

// run reads the clock periodically until ctx ends. After a long pause it checks whether this
// instance still owns its programs.
func (p *pauseGuard) run(ctx context.Context) {
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	for {
		// The clock is read only once: a pause between two readings would be stored in lastReading
		// without being detected.
		now := p.clock()
		if now-time.Duration(p.lastReading.Load()) > p.maxPause {
			p.uncertain.Store(true)
		}
		p.lastReading.Store(int64(now))
		if p.uncertain.Load() {
			p.confirmOwnership(ctx)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (p *pauseGuard) confirmOwnership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.instance.settings.Store.Timeout.Std())
	defer cancel()
	cohort, err := ledger.ReadCohort(ctx, p.instance.store, p.instance.cohort)
	if err != nil || cohort.Seal != nil {
		return
	}
	// The sealing mark may come from an abandoned take-over. Waiting for the take-over to end would
	// then refuse every step indefinitely. An entry that the log accepts proves that no seal
	// precedes it.
	if cohort.Sealing && p.instance.log.Append(ctx) != nil {
		return
	}
	p.uncertain.Store(false)
	log.WithField("cohort", p.instance.cohort).Warn("resumed after a pause; no other instance took over")
}
