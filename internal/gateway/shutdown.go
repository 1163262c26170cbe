package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"foxhall/internal/routing"
	"foxhall/internal/scheduler"
)

// errStopping is the cause with which calls are cancelled that a planned stop ends.
var errStopping = errors.New("gateway: this instance stops")

// Shutdown is the timetable of a planned stop. A call is sent to a replica only if its time is up before
// End; until Diverted also if calls there usually take much less than the time until End.
type Shutdown struct {
	// Began is when the instance was told to stop.
	Began time.Time
	// Diverted is when new callers are directed to other instances.
	Diverted time.Time
	// End is when the calls that are left are answered with a failure.
	End time.Time
}

// shutdownUsualFactor times the usual duration of a call must be left until End for a call whose time
// may be up later.
const shutdownUsualFactor = 4

// accepts reports whether a call whose time is up at latest may be sent to some replica.
func (s *Shutdown) accepts(now, latest time.Time) bool {
	return !latest.After(s.End) || now.Before(s.Diverted)
}

// maySend reports whether a call whose time is up at latest may be sent to a replica at which calls
// usually take that long; 0 if unknown.
func (s *Shutdown) maySend(now, latest time.Time, usual time.Duration) bool {
	if !latest.After(s.End) {
		return true
	}
	return now.Before(s.Diverted) && usual > 0 && !now.Add(shutdownUsualFactor*usual).After(s.End)
}

// shutdownState is what a gateway knows of the planned stop of its instance.
type shutdownState struct {
	// plan is nil before the order to stop.
	plan atomic.Pointer[Shutdown]
	// diverted and ended are cancelled at those times of the plan.
	diverted, ended       context.Context
	setDiverted, setEnded context.CancelFunc
}

func newShutdownState() *shutdownState {
	s := &shutdownState{}
	s.diverted, s.setDiverted = context.WithCancel(context.Background())
	s.ended, s.setEnded = context.WithCancel(context.Background())
	return s
}

// BeginShutdown starts a planned stop. A further one changes nothing.
func (g *Gateway) BeginShutdown(plan Shutdown) {
	s := g.shutdown
	if !s.plan.CompareAndSwap(nil, &plan) {
		return
	}
	time.AfterFunc(time.Until(plan.Diverted), s.setDiverted)
	time.AfterFunc(time.Until(plan.End), s.setEnded)
}

// OnCallRefused calls f once a call whose body is being read would be refused, unless stop is called before.
func (g *Gateway) OnCallRefused(call *Call, f func()) (stop func()) {
	stopDiverted := context.AfterFunc(g.shutdown.diverted, func() {
		if !g.accepts(call) {
			f()
		}
	})
	stopEnded := g.OnShutdownEnd(f)
	return func() { stopDiverted(); stopEnded() }
}

// OnShutdownEnd calls f once the calls that are left are ended, unless stop is called before.
func (g *Gateway) OnShutdownEnd(f func()) (stop func() bool) {
	return context.AfterFunc(g.shutdown.ended, f)
}

// hasEnded reports whether the calls that were left have been ended.
func (s *shutdownState) hasEnded() bool { return s.ended.Err() != nil }

// untilEnded returns a context that is cancelled with errStopping when the calls that are left are ended.
func (s *shutdownState) untilEnded(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.ended, func() { cancel(errStopping) })
	return ctx, func() { stop(); cancel(nil) }
}

// whileAccepted returns a context that is cancelled with errStopping once a call whose time is up at
// latest may not be sent any more.
func (s *shutdownState) whileAccepted(ctx context.Context, latest time.Time) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.diverted, func() {
		if plan := s.plan.Load(); plan != nil && !plan.accepts(time.Now(), latest) {
			cancel(errStopping)
		}
	})
	return ctx, func() { stop(); cancel(nil) }
}

// addTo adds the time since the order to stop to a log line's fields.
func (s *shutdownState) addTo(fields log.Fields) {
	if plan := s.plan.Load(); plan != nil {
		fields["stopping_ms"] = time.Since(plan.Began).Milliseconds()
	}
}

// isAccepted reports whether the call may be sent to some replica although this instance may be stopping.
func (f *inFlightCall) isAccepted() bool {
	plan := f.gateway.shutdown.plan.Load()
	return plan == nil || plan.accepts(time.Now(), f.deadline)
}

// maySend reports whether the call may be sent to the granted replica although this instance may be
// stopping.
func (f *inFlightCall) maySend(g *scheduler.Grant) bool {
	plan := f.gateway.shutdown.plan.Load()
	return plan == nil || plan.maySend(time.Now(), f.deadline, f.usualDuration(g))
}

// usualDuration returns how long such calls usually take at the replica, or are to take where no call has
// completed there yet; 0 if unknown.
func (f *inFlightCall) usualDuration(g *scheduler.Grant) time.Duration {
	if f.route.Kind == routing.Stream {
		return time.Duration(g.Decision.Estimate.Total() * float64(time.Second))
	}
	if mean := g.MeanCall(); mean > 0 {
		return mean
	}
	return f.route.Objective
}

// awaitWhileAccepted runs a step that precedes the sending of the call, which returns the call's refusal if there
// is one. Once the call may not be sent any more, since this instance stops, the step's context is cancelled, and
// the call is refused for the stop.
func (f *inFlightCall) awaitWhileAccepted(ctx context.Context, step func(context.Context) *Result) *Result {
	ctx, release := f.gateway.shutdown.whileAccepted(ctx, f.deadline)
	defer release()
	refusal := step(ctx)
	if refusal != nil && errors.Is(context.Cause(ctx), errStopping) {
		return f.endForShutdown()
	}
	return refusal
}

// timeLeft returns the time that a replica has for the call.
func (f *inFlightCall) timeLeft() time.Duration {
	if plan := f.gateway.shutdown.plan.Load(); plan != nil && plan.End.Before(f.deadline) {
		return time.Until(plan.End)
	}
	return time.Until(f.deadline)
}

// endForShutdown returns the result of a call that is not sent since this instance stops.
func (f *inFlightCall) endForShutdown() *Result {
	result := refused(Stopping, 0)
	if len(f.possibleRuns) > 0 {
		result = f.lostResult(Stopping)
	}
	result.Attempts, result.Replica = f.attempts, f.lastReplica
	return &result
}

// RefuseDuringShutdown returns the refusal of a call whose body is yet to be read, if this instance stops
// before the call is certain to end.
func (g *Gateway) RefuseDuringShutdown(call *Call) (Result, bool) {
	if g.accepts(call) {
		return Result{}, false
	}
	f := &inFlightCall{gateway: g, call: call, table: g.settings.Table()}
	return f.refuseUnread(refused(Stopping, 0)), true
}

// accepts reports whether a call whose body is yet to be read may be sent to some replica although this
// instance may be stopping.
func (g *Gateway) accepts(call *Call) bool {
	f := &inFlightCall{gateway: g, call: call, table: g.settings.Table()}
	if f.table == nil || g.shutdown.plan.Load() == nil {
		return true
	}
	if f.route = f.table.Match(call.Host, call.Path); f.route == nil {
		return true
	}
	f.setDeadline()
	return f.isAccepted()
}
