package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/scheduler"
	"foxhall/internal/upstream"
)

const readBufferSize = 16 << 10

// record is what was passed on of a stream, over all its runs.
type streamRecord struct {
	// keep says that the events' data are needed afterwards.
	retainData  bool
	eventCount  int
	eventData   [][]byte
	lastEventID string
	// settle is called before the end of a whole answer is passed on; nil for none.
	settle func() bool
}

func (r *streamRecord) add(e Event) {
	r.eventCount++
	if e.ID != "" {
		r.lastEventID = e.ID
	}
	if r.retainData {
		r.eventData = append(r.eventData, e.Data)
	}
}

// stream serves a call whose answer is a stream of events.
func (f *inFlightCall) serveStream(ctx context.Context, rec *streamRecord) Result {
	for {
		grant, refusal := f.acquire(ctx)
		if refusal != nil {
			return f.endWithoutResponse(responseLost, refusal)
		}
		v, result := f.streamFrom(ctx, grant, rec)
		if v == complete {
			return result
		}
		f.triedReplicas = append(f.triedReplicas, grant.Upstream)
		if !f.mayTryAnotherReplica(ctx) {
			return f.endWithoutResponse(v, nil)
		}
	}
}

// runOn runs the stream on the granted replica. A stream that may be resumed
// goes on there once more after a broken answer: the replica has its prompt.
func (f *inFlightCall) streamFrom(ctx context.Context, g *scheduler.Grant, rec *streamRecord) (verdict, Result) {
	v, response, result := f.streamOnce(ctx, g, rec)
	if f.route.Resumable && f.mayRespondToRetry(ctx, g, v) {
		var retryVerdict verdict
		retryVerdict, response, result = f.streamOnce(ctx, g, rec)
		v = v.combine(retryVerdict)
	}
	if v != complete {
		f.reportFailure(ctx, g, response, v)
	}
	return v, result
}

// runOnce sends the call once and passes events on until the stream ends.
func (f *inFlightCall) streamOnce(ctx context.Context, g *scheduler.Grant, rec *streamRecord) (verdict, *Response, Result) {
	if f.mayFailOver(g) {
		untilSilence, stop := f.cancelOnSilence(ctx, g)
		defer stop()
		ctx = untilSilence
	}
	ctx, watchdog := f.startWatchdog(ctx, g)
	defer watchdog.stop()
	state := &attemptState{grant: g, began: time.Now()}
	countBefore := rec.eventCount
	v, response, result := f.streamResponse(ctx, state, rec, watchdog)
	state.eventCount = rec.eventCount - countBefore
	f.recordAttempt(ctx, state, v)
	return v, response, result
}

// follow sends the call and passes on what comes.
func (f *inFlightCall) streamResponse(ctx context.Context, state *attemptState, rec *streamRecord, watchdog *watchdog) (verdict, *Response, Result) {
	response, err := f.sendTo(ctx, state.grant, f.resumeAfter(rec))
	if err != nil {
		return state.classifyError(ctx, err), nil, Result{}
	}
	defer response.Close()
	if v := classifyResponse(response); v != complete {
		return v, response, Result{}
	}
	if response.Status >= 300 {
		v, result := f.forwardFailure(state, response)
		return v, response, result
	}
	v, result := f.relayEvents(ctx, state, response, rec, watchdog)
	return v, response, result
}

func (f *inFlightCall) resumeAfter(rec *streamRecord) string {
	if rec.lastEventID != "" {
		return rec.lastEventID
	}
	return f.call.ResumeAfter
}

// passFailure passes on a replica's own failure.
func (f *inFlightCall) forwardFailure(state *attemptState, response *Response) (verdict, Result) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil || f.headerSent {
		state.err = err
		return responseLost, Result{}
	}
	state.grant.Done(scheduler.Feedback{Failure: failureOf(response.Status), Cancelled: failureOf(response.Status) == nil})
	return complete, f.forwardResponse(response, body)
}

// ownFailure is what a replica's answer with the status says against it: nothing
// where the call was at fault, or its time was over.
func failureOf(status int) *upstream.Failure {
	if status < http.StatusInternalServerError || status == http.StatusGatewayTimeout {
		return nil
	}
	return &upstream.Failure{Kind: upstream.Errored}
}

// relay passes on whole events as they come.
func (f *inFlightCall) relayEvents(ctx context.Context, state *attemptState, response *Response, rec *streamRecord, watchdog *watchdog) (verdict, Result) {
	var splitter eventSplitter
	var firstEventTime time.Duration
	countBefore := rec.eventCount
	buffer := make([]byte, readBufferSize)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			events := splitter.add(buffer[:n])
			if len(events) > 0 {
				if firstEventTime == 0 {
					firstEventTime = time.Since(state.began)
					state.grant.FirstToken()
				}
				state.grant.Progress()
				watchdog.recordProgress()
			}
			if !f.forwardEvents(response, events, rec) {
				state.grant.Done(scheduler.Feedback{Cancelled: true})
				return complete, f.result(CallerGone, CallerDisconnected, response.Status)
			}
		}
		if err == nil {
			continue
		}
		if err != io.EOF || splitter.hasPartialEvent() {
			return state.classifyError(ctx, err), Result{}
		}
		outputTokens := (rec.eventCount - countBefore) * f.tokensPerEvent()
		state.grant.Done(scheduler.Feedback{
			Prompt: f.call.PromptTokens, Cached: state.grant.Cached(), Output: outputTokens,
			FirstToken: firstEventTime, Total: time.Since(state.began),
		})
		return complete, f.finishStream(response, rec)
	}
}

const (
	// A stream that may be resumed is left without an event for firstFactor
	// times the expected time to the first, or gapFactor times the longest
	// pause that is on time, before its connection is closed and it is resumed.
	// An answer that is lost never comes; a replica that is only slow loses the
	// prefill of one prompt, which it still has cached.
	firstEventFactor     = 4
	minFirstEventTimeout = 800 * time.Millisecond
	gapFactor            = 2
)

// watchdog ends a run that makes no progress.
type watchdog struct {
	timer      *time.Timer
	gapTimeout time.Duration
	cancel     context.CancelCauseFunc
}

var errStalled = errors.New("gateway: the replica makes no progress")

// watch returns a context that ends when the run hangs, where it may be resumed.
func (f *inFlightCall) startWatchdog(ctx context.Context, g *scheduler.Grant) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watchdog{cancel: cancel, gapTimeout: gapFactor * f.route.GapObjective}
	if f.route.Resumable && w.gapTimeout > 0 {
		estimate := g.Decision.Estimate
		expected := time.Duration((estimate.Wait + estimate.Prefill) * float64(time.Second))
		w.timer = time.AfterFunc(max(minFirstEventTimeout, firstEventFactor*expected), func() { cancel(errStalled) })
	}
	return ctx, w
}

func (w *watchdog) recordProgress() {
	if w.timer != nil {
		w.timer.Reset(w.gapTimeout)
	}
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel(nil)
}

// finish ends a whole stream. A turn must be durable before its answer's end
// is passed on, since from then on the caller may continue from it.
func (f *inFlightCall) finishStream(response *Response, rec *streamRecord) Result {
	if !f.forwardHeader(response) {
		return f.result(CallerGone, CallerDisconnected, response.Status)
	}
	if rec.settle != nil && !rec.settle() {
		return f.result(Truncated, TurnNotRetained, response.Status)
	}
	return f.result(Answered, "", response.Status)
}

func (f *inFlightCall) tokensPerEvent() int {
	if f.service.Engine == nil {
		return 1
	}
	return f.service.Engine.TokensPerEvent
}

// begin passes the head on, once: a resumed stream keeps its first replica's.
func (f *inFlightCall) forwardHeader(response *Response) bool {
	if f.headerSent {
		return true
	}
	f.headerSent = true
	f.firstEventAt = time.Now()
	return f.caller.Begin(response.Status, response.Header, -1) == nil
}

func (f *inFlightCall) forwardEvents(response *Response, events []Event, rec *streamRecord) bool {
	for _, e := range events {
		if !f.forwardHeader(response) {
			return false
		}
		// It counts before it is written: a caller that leaves may have it.
		rec.add(e)
		if f.caller.Write(e.Raw) != nil {
			return false
		}
	}
	return true
}
