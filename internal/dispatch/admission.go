package dispatch

import (
	"context"
	"net/http"
	"sync"

	"foxhall/internal/owner"
	"foxhall/internal/scheduler"
	"foxhall/internal/step"
	"foxhall/internal/usage"
)

// admission is what a step holds from Admit until it has ended: its entry past
// the gate, its reservation and its present grant.
type admission struct {
	executor    *Executor
	work        *owner.Work
	grantList   *usage.Grant
	price       price
	leaveGate   func()
	reservation Reservation
	grant       *scheduler.Grant
	tried       []string
	end         sync.Once
}

// acquire takes a place on an upstream that the step has not tried yet.
func (a *admission) acquireUpstream(ctx context.Context) *step.Result {
	grant, refusal := a.executor.opt.Scheduler.Acquire(ctx, a.request())
	if refusal != nil {
		return refusalResult(refusal)
	}
	a.grant = grant
	return nil
}

func (a *admission) request() scheduler.Request {
	w := a.work
	r := scheduler.Request{
		Plan:       w.Call.Plan.Name,
		Grant:      a.grantList,
		Program:    string(w.Program),
		Root:       string(w.Root),
		Critical:   w.Depth > 0,
		Priority:   w.Call.Plan.Priority,
		Deadline:   w.Deadline,
		Tried:      a.tried,
		Repeatable: w.Repeatable,
	}
	if w.Call.Tool != nil {
		r.Service = w.Call.Tool.Service
		return r
	}
	r.Model = w.Call.Model.Model
	r.Messages = w.History
	r.MaxTokens = w.Call.Model.AnswerBound()
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

// finish settles what the step cost and gives its entry back.
func (a *admission) finish(cost Cost) {
	a.end.Do(func() {
		a.reservation.Settle(cost)
		a.leaveGate()
	})
}

// next moves the step to another upstream after a failure that allows it. It
// reports whether there is one. The owner is asked last, since a place may take
// long: a process that was paused must not send a step that its successor has
// run on without.
func (a *admission) acquireNext(ctx context.Context) bool {
	a.tried = append(a.tried, a.grant.Upstream)
	if ctx.Err() != nil || a.acquireUpstream(ctx) != nil {
		return false
	}
	if a.work.MaySend != nil && !a.work.MaySend() {
		a.grant.Done(scheduler.Feedback{Cancelled: true})
		return false
	}
	a.executor.retries.Inc(1)
	return true
}

// failure describes a step that got no answer. mayHaveRun decides between
// "unknown" and "not run"; it covers all attempts.
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
