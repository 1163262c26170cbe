package instance

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"foxhall/internal/ledger"
	"foxhall/internal/wake"
)

// pauseTick is how often the process looks at its own clock.
const pauseCheckInterval = 100 * time.Millisecond

// pauseGuard tells whether this process may have been taken over unseen. It
// implements owner.Lease.
//
// The failure: a process is frozen with a model call admitted, its programs are
// taken over, and on waking it sends the call: an engine then works for a
// program that has gone on elsewhere. The guard sees the gap in its own clock
// before anything is sent, and holds back until the log is known not to be
// sealed. While this instance can't reach the object API it serves on: it may
// be cut off alone and have been taken over, and then an engine works in vain;
// steps that may not be repeated are refused without the log in any case.
type pauseGuard struct {
	instance *Instance
	// longest is the longest pause in which no take-over can have begun.
	maxPause time.Duration
	// clock counts the time in which the machine was suspended too; seen is the
	// last look at it, in nanoseconds.
	clock       wake.Clock
	lastReading atomic.Int64
	uncertain   atomic.Bool
}

func newPauseGuard(i *Instance) *pauseGuard {
	p := &pauseGuard{instance: i, maxPause: i.settings.Peers.SuspectTimeout.Std(), clock: wake.BootTime}
	if i.network != nil {
		// On a network of a test time is the test's too.
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

// run looks at the clock until ctx ends, and settles doubts by reading the cohort.
func (p *pauseGuard) run(ctx context.Context) {
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	for {
		// The clock is read once: a freeze between two readings would be
		// stored as seen and never show.
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
	// The mark may have been left by a take-over that was given up. Waiting for
	// its end would refuse every step for ever; an entry that the log accepts
	// proves that no seal came before it.
	if cohort.Sealing && p.instance.log.Append(ctx) != nil {
		return
	}
	p.uncertain.Store(false)
	log.WithField("cohort", p.instance.cohort).Warn("resumed after a pause; no other instance took over")
}
