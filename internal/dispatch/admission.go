package dispatch

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"foxhall/internal/owner"
	"foxhall/internal/quarantine"
	"foxhall/internal/scheduler"
	"foxhall/internal/step"
	"foxhall/internal/upstream"
	"foxhall/internal/usage"
)

const (
	// maxRapidRefusals is the number of attempts that were refused or not sent after which a step is placed again only
	// each refusalBackoff: upstreams have places again within a fraction of a call's duration.
	maxRapidRefusals = 4
	refusalBackoff   = 50 * time.Millisecond
	// maxUnreached is how long a step is sent on without reaching an upstream once it had maxRapidRefusals attempts.
	maxUnreached = 2 * time.Second
)

// admission holds the resources of a step from Admit until the step ends: its admission by the
// gate, its reservation and its current grant.
type admission struct {
	executor *Executor
	work     *owner.Work
	// usageGrant is the plan's grant in the usage list.
	usageGrant  *usage.Grant
	price       price
	leaveGate   func()
	reservation Reservation
	grant       *scheduler.Grant
	// fingerprint identifies the content that upstreams receive.
	fingerprint quarantine.Fingerprint
	// tried are the upstreams of earlier attempts that get no further one, refusedBy those that refused one or were not
	// reached, the latest last; refusals counts these attempts. unreachedSince is when an upstream was not reached first,
	// if none has been since.
	tried, refusedBy []string
	refusals         int
	unreachedSince   time.Time
	// anyMayHaveRun is set once any attempt may have run.
	anyMayHaveRun bool
	// end makes sure that the resources are released once.
	end sync.Once
}

// acquireUpstream acquires a grant for an upstream that may take the step.
func (a *admission) acquireUpstream(ctx context.Context) *step.Result {
	grant, refusal := a.executor.opt.Scheduler.Acquire(ctx, a.request())
	if refusal != nil {
		return refusalResult(refusal)
	}
	if a.standing().Rejected() {
		grant.Done(scheduler.Feedback{Cancelled: true})
		return a.rejectQuarantined()
	}
	a.grant = grant
	return nil
}

// request returns the scheduler's request for the step.
func (a *admission) request() scheduler.Request {
	w := a.work
	r := scheduler.Request{
		Plan:       w.Call.Plan.Name,
		Grant:      a.usageGrant,
		Program:    string(w.Program),
		Root:       string(w.Root),
		Critical:   w.Depth > 0,
		Priority:   w.Call.Plan.Priority,
		Deadline:   w.Deadline,
		Tried:      a.tried,
		RefusedBy:  a.refusedBy,
		NotRun:     !a.anyMayHaveRun,
		Repeatable: w.Repeatable,
		Isolated:   a.standing().Suspected(),

		UnreachedSince: a.unreachedSince,
	}
	if w.Call.Tool != nil {
		r.Service = w.Call.Tool.Service
		return r
	}
	r.Model = w.Call.Model.Model
	r.Messages = w.History
	r.MaxOutputTokens = w.Call.Model.MaxOutputTokens()
	return r
}

func refusalResult(refusal *scheduler.Refusal) *step.Result {
	result := refuse(refusal.Status, refusal.Code, refusal.Message)
	result.RetryAfter = refusal.RetryAfter
	return result
}

// Cancel implements owner.Placed.
func (a *admission) Cancel() {
	a.end.Do(func() {
		a.grant.Done(scheduler.Feedback{Cancelled: true})
		a.reservation.Release()
		a.leaveGate()
	})
}

// finish settles the step's cost and releases its admission by the gate.
func (a *admission) finish(cost Cost) {
	a.end.Do(func() {
		a.reservation.Settle(cost)
		a.leaveGate()
	})
}

// recordFailure records a failed attempt at an upstream. One that refused the attempt for its load or was not reached may
// get the step again, unless another attempt may have run; the scheduler keeps the step from it until it may have a place.
//
// It prevents the following failure: all upstreams refuse a step at one moment, and it fails although they accept calls
// again milliseconds later.
func (a *admission) recordFailure(name string, f upstream.Failure) {
	isIt := func(other string) bool { return other == name }
	momentary := f.Kind == upstream.NotSent || f.Overloaded
	a.anyMayHaveRun = a.anyMayHaveRun || f.Kind != upstream.NotSent && f.Kind != upstream.Refused
	if !momentary || a.anyMayHaveRun {
		a.tried = append(a.tried, name)
		return
	}
	a.refusals++
	a.refusedBy = append(slices.DeleteFunc(a.refusedBy, isIt), name)
	if f.Kind != upstream.NotSent {
		a.unreachedSince = time.Time{}
	} else if a.unreachedSince.IsZero() {
		a.unreachedSince = time.Now()
	}
}

// pauseAfterRefusals waits before a step that was refused often is placed again. It reports false if the step has reached
// no upstream for too long, or ctx has ended.
func (a *admission) pauseAfterRefusals(ctx context.Context) bool {
	if a.refusals < maxRapidRefusals {
		return ctx.Err() == nil
	}
	if !a.unreachedSince.IsZero() && time.Since(a.unreachedSince) >= maxUnreached {
		return false
	}
	timer := time.NewTimer(refusalBackoff)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// acquireNext moves the step to another upstream after an attempt that failed at one and may be repeated, and
// reports whether it got one. The owner's MaySend is checked after the grant, which may take long:
// if the process was paused, a successor may have continued the program, and the step must not be
// sent any more.
func (a *admission) acquireNext(ctx context.Context, failed string, f upstream.Failure) bool {
	a.recordFailure(failed, f)
	if !a.pauseAfterRefusals(ctx) || a.standing().Rejected() || a.acquireUpstream(ctx) != nil {
		return false
	}
	if a.work.MaySend != nil && !a.work.MaySend() {
		a.grant.Done(scheduler.Feedback{Cancelled: true})
		return false
	}
	a.executor.retries.Inc(1)
	return true
}

// failedResult returns the result of a step that got no response. Its outcome is unknown if any of
// the attempts may have run (mayHaveRun), else not run.
func (a *admission) failedResult(ctx context.Context, mayHaveRun bool, upstream string, err error) step.Result {
	r := step.Result{
		Outcome:  step.NotRun,
		Upstream: upstream,
		Status:   http.StatusBadGateway,
		Code:     step.CodeUpstreamFailed,
		Message:  err.Error(),
	}
	if mayHaveRun {
		r.Outcome = step.Unknown
	}
	if a.work.Repeatable || !mayHaveRun {
		r.RetryAfter = failureRetryAfter
	}
	switch ctx.Err() {
	case context.DeadlineExceeded:
		r.Status, r.Code, r.RetryAfter = http.StatusGatewayTimeout, step.CodeDeadline, 0
	case context.Canceled:
		r.Status, r.Code, r.RetryAfter = statusClientClosedRequest, step.CodeCancelled, 0
	}
	return r
}
