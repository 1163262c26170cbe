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
	"foxhall/internal/upstream"
)

const (
	// statusClientClosedRequest is the status that proxies log if the caller disconnects.
	statusClientClosedRequest = 499
	// failureRetryAfter is the time after which a caller should retry a failed step.
	failureRetryAfter = time.Second
)

// errProgressTimeout cancels an attempt whose engine sent no token within the progress timeout.
var errProgressTimeout = errors.New("dispatch: the engine gave no token in time")

// modelStep is an admitted model call. It implements owner.Placed.
type modelStep struct {
	*admission
	// streamed reports whether a part of the response was passed to the caller. Another engine's
	// response could then only contradict it.
	streamed bool
	// responseBegun reports whether an attempt returned a part of a response, passed on or not.
	responseBegun bool
	// mayHaveRun reports whether any attempt may have run.
	mayHaveRun bool
	// callerGone reports whether the caller has disconnected.
	callerGone bool
}

// Run implements owner.Placed. A model call has no effect outside the engine, so an attempt that
// fails before anything was passed to the caller is repeated on another engine.
func (m *modelStep) Run(ctx context.Context, sink step.Sink) step.Result {
	for {
		engineName := m.grant.Upstream
		response, err := m.attempt(ctx, sink)
		if err == nil {
			return m.complete(engineName, response)
		}
		m.mayHaveRun = m.mayHaveRun || engine.MayHaveRun(err)
		if errors.Is(err, engine.ErrRejected) {
			return m.finishRejected(engineName, err)
		}
		if m.streamed || !m.acquireNext(ctx, engineName, upstream.FailureOf(err)) {
			r := m.failedResult(ctx, m.mayHaveRun, engineName, err)
			r.Price = m.settleFailed()
			return r
		}
	}
}

// attempt sends the call to the granted engine. The engine always streams its response, also for a
// non-streaming request, since an unresponsive engine can only be detected that way.
func (m *modelStep) attempt(ctx context.Context, sink step.Sink) (*engine.Response, error) {
	grant := m.grant
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	grant.MarkSent()
	began := time.Now()
	progressTimer := time.AfterFunc(grant.ProgressTimeout, func() { cancel(errProgressTimeout) })
	defer progressTimer.Stop()
	response, err := m.executor.opt.Engines.Complete(attemptCtx, grant.Address, m.engineRequest(), func(c engine.Chunk) error {
		progressTimer.Reset(grant.ProgressTimeout)
		grant.RecordFirstToken()
		m.responseBegun = true
		return m.forwardChunk(sink, c)
	})
	if !m.callerGone {
		m.recordAttempt(attemptCtx, grant, began, err)
	}
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
			Model: call.Model, Messages: m.work.History, Stream: true, MaxTokens: call.MaxOutputTokens(), Extra: call.Extra,
		},
		Model:    m.grant.Model,
		Priority: m.grant.Priority,
		Program:  string(m.work.Program),
	}
}

// forwardChunk passes one chunk to a streaming caller. foxhall itself requests the final usage chunk
// from engines; it is passed only to callers that asked for it.
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
		Outcome:          step.Done,
		Status:           http.StatusOK,
		Upstream:         upstream,
		Usage:            response.Usage,
		AssistantMessage: response.Message,
		Model:            m.work.Call.Model.Model,
		FinishReason:     response.FinishReason,
		Price:            cost.Money,
	}
}

// finishRejected ends a step whose request an engine rejected, as every engine would.
func (m *modelStep) finishRejected(upstream string, err error) step.Result {
	r := step.Refuse(http.StatusBadRequest, step.CodeBadRequest, err.Error())
	r.Upstream = upstream
	r.Price = m.settleFailed()
	if m.mayHaveRun {
		r.Outcome = step.Unknown
	}
	return r
}

// settleFailed settles a failed call and returns its price. If an attempt began to respond and may
// have run, the price is the full reservation, since the engine does not report the tokens
// generated so far. This applies to non-streaming requests too: if they were settled at zero, the
// tokens of truncated responses would be spent beyond the plan's budget.
func (m *modelStep) settleFailed() plan.Micros {
	cost := Cost{}
	if m.mayHaveRun && m.responseBegun {
		cost = m.price.worstCase(m.work)
	}
	m.finish(cost)
	return cost.Money
}
