package upstream

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// The rules of the circuit breaker and of slow start.
const (
	// tripAfter is the number of failures in a row that open the breaker. A
	// refused connection opens it at once, since nothing else can follow.
	tripThreshold = 3
	// The breaker stays open from openMin to openMax, growing with each failed trial.
	openMin = 500 * time.Millisecond
	openMax = 15 * time.Second
	// probedOpen is how long it stays open for refused connections where probes
	// go. They find out when the engine is back, at no step's cost.
	openWhileProbed = time.Minute
	// rampTime is how long a recovered upstream takes from rampStart of its
	// limit to all of it, so that the backlog does not fall on a cold engine.
	rampDuration = 10 * time.Second
	rampStart    = 0.2
	// overcommit is how far beyond its slots an engine is filled. The rest
	// waits in foxhall's queue, where whole programs are ordered; the little
	// beyond keeps the batch full between two decisions.
	overcommit = 1
	// defaultSlots is the limit where the usage list gives none.
	defaultSlots = 16
)

type breaker struct {
	failures int
	open     bool
	// refused says that connections were refused; then an answered probe is
	// news, where calls were lost it is none.
	unreachable bool
	delay       *backoff.ExponentialBackOff
}

// closedFor reports that the breaker keeps new calls away.
func (u *Upstream) breakerRejects(now int64) bool {
	until := u.openUntil.Load()
	return until != 0 && (now < until || u.trial.Load() != 0)
}

// TakeTrial claims the one call that may test an upstream whose breaker is
// due, and returns the trial's number. Without an open breaker it always
// succeeds with 0.
func (u *Upstream) TakeTrial() (trial uint64, ok bool) {
	if u.openUntil.Load() == 0 {
		return 0, true
	}
	trial = u.trials.Add(1)
	return trial, u.trial.CompareAndSwap(0, trial)
}

// Succeeded notes a call that was answered.
func (u *Upstream) Succeeded(now time.Time) {
	u.Progress(now.UnixNano())
	if u.openUntil.Load() == 0 && !u.hasFailures() && u.errorRate.share.Load() == 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.errorRate.record(now.UnixNano(), false)
	if u.breaker.open {
		u.rampFrom.Store(now.UnixNano())
	}
	u.breaker = breaker{}
	u.openUntil.Store(0)
	u.trial.Store(0)
}

func (u *Upstream) hasFailures() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.breaker.failures > 0
}

// Failed notes a failed call. A refusal counts for what it says: leaving marks
// the upstream, an invalid request and a full queue say nothing against it.
func (u *Upstream) Failed(now time.Time, f Failure) {
	if f.Draining {
		u.MarkDraining(now)
	}
	if f.Kind == Refused || f.Kind == Invalid {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if f.Kind == Errored {
		u.Progress(now.UnixNano())
		u.errorRate.record(now.UnixNano(), true)
	}
	u.breaker.failures++
	u.breaker.unreachable = f.Kind == NotSent || f.Kind == Unresponsive
	if u.breaker.open || u.breaker.failures >= tripThreshold || u.breaker.unreachable {
		u.trip(now)
	}
}

// ReleaseTrial ends a trial, which may have had no result. It does nothing for
// 0 or a trial that is over: were any call's end to release it, a herd would
// follow the trial to an upstream that is still out.
func (u *Upstream) ReleaseTrial(trial uint64) {
	if trial != 0 {
		u.trial.CompareAndSwap(trial, 0)
	}
}

func (u *Upstream) trip(now time.Time) {
	b := &u.breaker
	if b.delay == nil {
		b.delay = backoff.NewExponentialBackOff()
		b.delay.InitialInterval = openMin
		b.delay.MaxInterval = openMax
	}
	b.open = true
	open := b.delay.NextBackOff()
	if b.unreachable && u.probedAt.Load() != 0 {
		open = openWhileProbed
	}
	u.openUntil.Store(now.Add(open).UnixNano())
	u.trial.Store(0)
}

// limit is the number of calls that the upstream may have at present.
func (u *Upstream) limit(now int64) int {
	slots := u.Slots
	if slots == 0 {
		slots = defaultSlots
	}
	limit := slots + overcommit
	from := u.rampFrom.Load()
	if age := now - from; from != 0 && age < int64(rampDuration) {
		share := rampStart + (1-rampStart)*float64(age)/float64(rampDuration)
		limit = max(1, int(share*float64(limit)))
	}
	return limit
}
