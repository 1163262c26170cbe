package upstream

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// The parameters of the circuit breaker and of slow start.
const (
	// tripThreshold is the number of consecutive failures that open the breaker. A refused
	// connection opens it at once, since further calls would be refused too.
	tripThreshold = 3
	// openMin and openMax bound the time that the breaker stays open; it grows with each failed
	// trial.
	openMin = 500 * time.Millisecond
	openMax = 15 * time.Second
	// openWhileProbed is how long the breaker stays open for an unreachable upstream that is probed.
	// Probes detect its recovery without putting a program's step at risk.
	openWhileProbed = time.Minute
	// reopenTime is how long an upstream whose breaker has opened is expected to be back soon: link failures and restarts
	// mostly end within it.
	reopenTime = 2 * time.Second
	// rampDuration is the time of slow start: the limit of a recovered upstream rises from rampStart
	// of its full value to all of it, so that the backlog does not overload a cold engine.
	rampDuration = 10 * time.Second
	rampStart    = 0.2
	// overcommit is the number of calls that an engine gets beyond its slots. They keep the batch
	// full between two placement decisions; all others wait in foxhall's queue, which orders calls
	// by program.
	overcommit = 1
	// defaultSlots is the number of slots where the usage list gives none.
	defaultSlots = 16
)

// breaker is the state of an upstream's circuit breaker.
type breaker struct {
	// failures counts consecutive failures.
	failures int
	open     bool
	// unreachable reports whether the last failure was a refused connection or an unresponsive
	// upstream. A successful probe then allows a trial, which it does not after lost calls.
	unreachable bool
	// mayBeCold reports whether the upstream may have restarted: some failure was more than silence.
	mayBeCold bool
	// openedAt is when the breaker opened, or opened again after a failed trial.
	openedAt time.Time
	delay    *backoff.ExponentialBackOff
}

// breakerRejects reports whether the breaker rejects new calls at now, in Unix nanoseconds.
func (u *Upstream) breakerRejects(now int64) bool {
	until := u.openUntil.Load()
	return until != 0 && (now < until || u.trial.Load() != 0)
}

// TakeTrial claims the half-open trial, the single call that may test an upstream whose breaker has
// been open long enough, and returns the trial's number. If the breaker is closed, it always
// succeeds and returns 0.
func (u *Upstream) TakeTrial() (trial uint64, ok bool) {
	if u.openUntil.Load() == 0 {
		return 0, true
	}
	trial = u.trials.Add(1)
	return trial, u.trial.CompareAndSwap(0, trial)
}

// RecordSuccess records a successful call. It closes the breaker; if it was open for more than silence,
// slow start begins.
func (u *Upstream) RecordSuccess(now time.Time) {
	u.RecordProgress(now.UnixNano())
	if u.openUntil.Load() == 0 && !u.hasFailures() && u.errorRate.share.Load() == 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.errorRate.record(now.UnixNano(), false)
	if u.breaker.open && u.breaker.mayBeCold {
		u.rampFrom.Store(now.UnixNano())
	}
	u.breaker = breaker{}
	u.openUntil.Store(0)
	u.trial.Store(0)
}

// hasFailures reports whether the breaker has counted a failure since the last success.
func (u *Upstream) hasFailures() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.breaker.failures > 0
}

// RecordFailure records a failed call, which is no longer in flight. A drain signal marks the upstream as draining.
// Refusals, such as those for a full queue, and invalid requests do not count against the upstream's health.
func (u *Upstream) RecordFailure(now time.Time, f Failure) {
	if f.Draining {
		u.MarkDraining(now)
	}
	switch f.Kind {
	case Refused:
		// A call that is refused again and again may be refused for its own sake, and would keep all others away.
		if !f.Draining && !f.Repeated {
			u.refusals.record(now.UnixNano(), f.SentAt.UnixNano(), u.inFlight.Load())
		}
		return
	case Invalid:
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if f.Kind == Errored {
		u.RecordProgress(now.UnixNano())
		u.errorRate.record(now.UnixNano(), true)
		u.active.add(u)
	}
	if u.breaker.open && !f.SentAt.IsZero() && f.SentAt.Before(u.breaker.openedAt) {
		// Calls that were in flight together are lost together: what ended the first ended this one.
		return
	}
	u.breaker.failures++
	u.breaker.mayBeCold = u.breaker.mayBeCold || f.Kind != Unresponsive
	u.breaker.unreachable = f.Kind == NotSent || f.Kind == Unresponsive
	if u.breaker.open || u.breaker.failures >= tripThreshold || u.breaker.unreachable {
		u.trip(now)
	}
}

// ReleaseTrial ends a trial, with or without a result. It has no effect for 0 or a trial that has
// already ended: if the end of any call released the current trial, many calls at once would follow
// it to an upstream that is still failing.
func (u *Upstream) ReleaseTrial(trial uint64) {
	if trial != 0 {
		u.trial.CompareAndSwap(trial, 0)
	}
}

// trip opens the breaker, or keeps it open after a failed trial.
func (u *Upstream) trip(now time.Time) {
	b := &u.breaker
	if b.delay == nil {
		b.delay = backoff.NewExponentialBackOff()
		b.delay.InitialInterval = openMin
		b.delay.MaxInterval = openMax
	}
	if !b.open {
		u.brokenSince.Store(now.UnixNano())
	}
	b.open, b.openedAt = true, now
	open := b.delay.NextBackOff()
	if b.unreachable && u.probedAt.Load() != 0 {
		open = openWhileProbed
	}
	u.openUntil.Store(now.Add(open).UnixNano())
	u.trial.Store(0)
}

// limit returns the number of calls that the upstream may have in flight at now (Unix nanoseconds).
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
