package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/scheduler"
	"foxhall/internal/step"
	"foxhall/internal/tool"
	"foxhall/internal/upstream"
)

// toolStep is an admitted call to a service. It implements owner.Placed.
type toolStep struct {
	*admission
}

// attempt is the result of one attempt to run a call.
type attempt struct {
	grant    *scheduler.Grant
	response tool.Response
	err      error
	// mayHaveRun reports whether this attempt, or the one that it hedges, may have run.
	mayHaveRun bool
}

// Run implements owner.Placed. A call that may not be repeated is sent again only if no byte of it
// was sent or the service itself reported that it did not run the call.
func (t *toolStep) Run(ctx context.Context, _ step.Sink) step.Result {
	mayHaveRun := false
	for {
		a := t.attemptWithHedge(ctx)
		if a.err == nil {
			return t.complete(a)
		}
		mayHaveRun = mayHaveRun || a.mayHaveRun
		if a.mayHaveRun && !t.work.Repeatable || !t.acquireNext(ctx, a.grant.Upstream, *failureOf(a.err)) {
			cost := Cost{}
			if mayHaveRun {
				cost = t.price.worstCase(t.work)
			}
			t.finish(cost)
			r := t.failedResult(ctx, mayHaveRun, a.grant.Upstream, a.err)
			r.Price = cost.Money
			return r
		}
	}
}

func (t *toolStep) complete(a attempt) step.Result {
	t.finish(Cost{Money: t.price.call})
	return step.Result{
		Outcome:     step.Done,
		Upstream:    a.grant.Upstream,
		Status:      a.response.Status,
		ContentType: a.response.ContentType,
		Body:        a.response.Body,
		Price:       t.price.call,
	}
}

// errHedgeNotPlaced indicates that a hedge was not sent: it got no replica, or the owner may not
// send the step any more.
var errHedgeNotPlaced = errors.New("dispatch: no upstream for a hedged attempt, or sending not allowed")

// attemptWithHedge sends the call to the granted replica. If the call may be repeated, the grant
// allows a hedge and no response arrives within HedgeAfter, it also sends the call to another
// replica. The first response counts.
func (t *toolStep) attemptWithHedge(ctx context.Context) attempt {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan attempt, 2)
	go t.call(ctx, t.grant, results)
	if t.grant.HedgeAfter <= 0 || !t.work.Repeatable || t.standing().Suspected() {
		return <-results
	}
	timer := time.NewTimer(t.grant.HedgeAfter)
	defer timer.Stop()
	select {
	case first := <-results:
		return first
	case <-timer.C:
	}
	go t.hedge(ctx, results)
	first := <-results
	if first.err == nil {
		return first
	}
	second := <-results
	if errors.Is(second.err, errHedgeNotPlaced) {
		return first
	}
	// The failure of the second attempt proves nothing about the first. If the first response was
	// lost and the second replica is unreachable, the result must not be "not run".
	second.mayHaveRun = second.mayHaveRun || first.mayHaveRun
	t.recordFailure(first.grant.Upstream, *failureOf(first.err))
	return second
}

// hedge sends the call to another replica once the scheduler grants one.
func (t *toolStep) hedge(ctx context.Context, results chan<- attempt) {
	request := t.request()
	request.Tried = append(append([]string(nil), t.tried...), t.grant.Upstream)
	grant, refusal := t.executor.opt.Scheduler.Acquire(ctx, request)
	if refusal != nil {
		results <- attempt{grant: t.grant, err: errHedgeNotPlaced}
		return
	}
	if t.work.MaySend != nil && !t.work.MaySend() {
		grant.Done(scheduler.Feedback{Cancelled: true})
		results <- attempt{grant: t.grant, err: errHedgeNotPlaced}
		return
	}
	t.executor.hedges.Inc(1)
	t.call(ctx, grant, results)
}

func (t *toolStep) call(ctx context.Context, grant *scheduler.Grant, results chan<- attempt) {
	grant.MarkSent()
	started := time.Now()
	response, err := t.executor.opt.Tools.Call(ctx, tool.Call{
		Address: grant.Address,
		Request: t.work.Call.Tool,
		Key:     t.work.IdempotencyKey,
	})
	duration := time.Since(started)
	t.recordAttempt(ctx, grant, started, err)
	grant.Done(scheduler.Feedback{
		Cancelled:  errors.Is(ctx.Err(), context.Canceled),
		Failure:    failureOf(err),
		FirstToken: duration,
		Total:      duration,
	})
	results <- attempt{grant: grant, response: response, err: err, mayHaveRun: mayHaveRun(err)}
}

// mayHaveRun reports whether a call that failed with err may have run.
func mayHaveRun(err error) bool {
	return err != nil && !errors.Is(err, tool.ErrNotSent) && !errors.Is(err, tool.ErrRefused)
}

// failureOf converts a service's failure into one for the upstream table.
func failureOf(err error) *upstream.Failure {
	if err == nil {
		return nil
	}
	return &upstream.Failure{Kind: kindOf(err), Draining: errors.Is(err, tool.ErrDraining), Overloaded: errors.Is(err, tool.ErrOverloaded)}
}

func kindOf(err error) upstream.FailureKind {
	switch {
	case errors.Is(err, tool.ErrRefused):
		return upstream.Refused
	case errors.Is(err, tool.ErrNotSent):
		return upstream.NotSent
	default:
		return upstream.Lost
	}
}
