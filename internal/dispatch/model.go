package dispatch

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/chat"
	"foxhall/internal/engine"
	"foxhall/internal/plan"
	"foxhall/internal/scheduler"
	"foxhall/internal/step"
)

const (
	// statusClientClosed is what proxies log for a caller that went away.
	statusClientClosedRequest = 499
	// failureRetry is when a repeatable step that failed is worth another try.
	failureRetryAfter = time.Second
)

// errPatience ends an attempt whose engine gave no token for too long.
var errProgressTimeout = errors.New("dispatch: the engine gave no token in time")

// modelStep is an admitted model call. It implements owner.Placed.
type modelStep struct {
	*admission
	// streamed says that a part of the answer has gone to the caller, after
	// which another engine's answer could only contradict it.
	streamed bool
	// begun says that an attempt has given a part of an answer, passed on or not.
	responseBegun bool
	// unsettled says that an attempt may have run.
	mayHaveRun bool
	// callerGone says that nobody takes the answer any longer.
	callerGone bool
}

// Run implements owner.Placed. A model call has no effect outside the engine,
// so an attempt that failed before the first chunk is made again elsewhere.
func (m *modelStep) Run(ctx context.Context, sink step.Sink) step.Result {
	for {
		upstream := m.grant.Upstream
		response, err := m.attempt(ctx, sink)
		if err == nil {
			return m.complete(upstream, response)
		}
		m.mayHaveRun = m.mayHaveRun || engine.MayHaveRun(err)
		if errors.Is(err, engine.ErrRejected) {
			return m.finishRejected(upstream, err)
		}
		if m.streamed || !m.acquireNext(ctx) {
			r := m.failedResult(ctx, m.mayHaveRun, upstream, err)
			r.Price = m.settleFailed()
			return r
		}
	}
}

// attempt sends the call to the granted engine. The answer is always streamed
// from it, also for callers that want it whole: only so a hanging engine shows.
func (m *modelStep) attempt(ctx context.Context, sink step.Sink) (*engine.Response, error) {
	grant := m.grant
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	grant.MarkSent()
	progressTimer := time.AfterFunc(grant.ProgressTimeout, func() { cancel(errProgressTimeout) })
	defer progressTimer.Stop()
	response, err := m.executor.opt.Engines.Complete(attemptCtx, grant.Address, m.engineRequest(), func(c engine.Chunk) error {
		progressTimer.Reset(grant.ProgressTimeout)
		grant.RecordFirstToken()
		m.responseBegun = true
		return m.forwardChunk(sink, c)
	})
	feedback := scheduler.FeedbackOf(response, err)
	if err != nil && (ctx.Err() != nil || m.callerGone) {
		feedback = scheduler.Feedback{Cancelled: true}
	}
	grant.Done(feedback)
	return response, err
}

func (m *modelStep) engineRequest() *engine.Request {
	call := m.work.Call.Model
	return &engine.Request{
		Chat: &chat.Request{
			Model: call.Model, Messages: m.work.History, Stream: true, MaxTokens: call.AnswerBound(), Extra: call.Extra,
		},
		Model:    m.grant.Model,
		Priority: m.grant.Priority,
		Program:  string(m.work.Program),
	}
}

// pass hands one chunk to the caller. The closing usage chunk is foxhall's own
// wish and goes only to callers that asked for it.
func (m *modelStep) forwardChunk(sink step.Sink, c engine.Chunk) error {
	if sink == nil || c.UsageOnly && !wantsUsage(m.work.Call.Model) {
		return nil
	}
	if !m.streamed {
		m.streamed = true
		if err := sink.Begin(step.Result{Upstream: m.grant.Upstream}); err != nil {
			m.callerGone = true
			return err
		}
	}
	err := sink.Chunk(c.Data)
	m.callerGone = err != nil
	return err
}

func wantsUsage(r *chat.Request) bool {
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	return json.Unmarshal(r.Extra["stream_options"], &options) == nil && options.IncludeUsage
}

func (m *modelStep) complete(upstream string, response *engine.Response) step.Result {
	e := m.executor
	e.prompt.Inc(int64(response.Usage.PromptTokens))
	e.cached.Inc(int64(response.CachedTokens()))
	cost := m.price.actual(response.Usage)
	m.finish(cost)
	return step.Result{
		Outcome:      step.Done,
		Status:       http.StatusOK,
		Upstream:     upstream,
		Usage:        response.Usage,
		Answer:       response.Message,
		Model:        m.work.Call.Model.Model,
		FinishReason: response.FinishReason,
		Price:        cost.Money,
	}
}

// rejected answers a request that no engine would take.
func (m *modelStep) finishRejected(upstream string, err error) step.Result {
	r := step.Refuse(http.StatusBadRequest, step.CodeBadRequest, err.Error())
	r.Upstream = upstream
	r.Price = m.settleFailed()
	if m.mayHaveRun {
		r.Outcome = step.Unknown
	}
	return r
}

// finishFailed settles a failed call and returns its price: all that was
// reserved if an attempt began to answer, since the engine does not say how
// far it came. It holds for whole answers too: settled at nothing, the tokens
// of calls that break off would be spent beyond the plan's budget.
func (m *modelStep) settleFailed() plan.Micros {
	cost := Cost{}
	if m.mayHaveRun && m.responseBegun {
		cost = m.price.worstCase(m.work)
	}
	m.finish(cost)
	return cost.Money
}
