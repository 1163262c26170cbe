package gateway

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/buffer"
	"foxhall/internal/httpconn"
	"foxhall/internal/routing"
	"foxhall/internal/scheduler"
	"foxhall/internal/upstream"
)

// maxResponseBytes bounds the body of a non-streaming response, which is buffered until it is known
// to be complete.
const maxResponseBytes = 16 << 20

// errBodyTooLarge indicates a non-streaming response of more than maxResponseBytes.
var errBodyTooLarge = errors.New("gateway: response body too large")

// errBodyLength indicates a response whose body has another length than its header states.
var errBodyLength = errors.New("gateway: response body has another length than stated")

// serveNonStreaming serves a call whose response is not a stream.
func (f *inFlightCall) serveNonStreaming(ctx context.Context) Result {
	x := f.wholeExchange(ctx)
	for {
		at, result := f.nextPlace(ctx, false)
		if result != nil {
			return *result
		}
		a, v := f.try(ctx, at, x)
		if v == complete {
			return f.forwardResponse(a.response, a.body)
		}
		if !f.mayTryAnotherReplica(ctx) {
			return f.endWithoutResponse(v, nil)
		}
	}
}

// wholeExchange returns how responses that are not streams are received. An idempotent call whose
// response was lost is sent to the same replica once more if the route allows no other replica: that
// does not count as a further replica, and a replica whose response was lost is usually still running.
func (f *inFlightCall) wholeExchange(ctx context.Context) *exchange {
	return &exchange{
		receive:      f.receiveWhole,
		receiveHedge: f.receiveWhole,
		forward: func(a *attemptState, _ *hedger) (verdict, *attemptState) {
			a.finished = true
			a.grant.Done(scheduler.Feedback{Failure: failureOf(a.response.Status), Total: a.took, FirstToken: a.took})
			return complete, nil
		},
		silence:     f.attemptTimeout,
		resumeAfter: func() string { return "" },
		mayRetry: func(g *scheduler.Grant, v verdict) bool {
			return f.route.Kind == routing.Idempotent && len(f.possibleRuns) >= f.route.Attempts && f.mayRespondToRetry(ctx, g, v)
		},
	}
}

// mayTryAnotherReplica reports whether the call may be sent to one more replica.
func (f *inFlightCall) mayTryAnotherReplica(ctx context.Context) bool {
	if len(f.possibleRuns) > 0 && (!f.route.Repeatable() || len(f.possibleRuns) >= f.route.Attempts) {
		return false
	}
	if f.attempts >= maxAttempts && !f.unreachedSince.IsZero() && time.Since(f.unreachedSince) >= maxUnreached {
		return false
	}
	return f.attempts-f.refusals < maxAttempts && !f.isOutOfTime() && ctx.Err() == nil
}

// mayFailOver reports whether the call may be sent to another replica although the granted one may
// have run it.
func (f *inFlightCall) mayFailOver(g *scheduler.Grant) bool {
	runs := f.possibleRuns.with(g.Upstream)
	for _, a := range f.open {
		runs = runs.with(a.grant.Upstream)
	}
	return f.route.Repeatable() && len(runs) < f.route.Attempts
}

// endWithoutResponse returns the result of a call for which no replica is left. The outcome is
// NotRun only if no replica may have run the call.
func (f *inFlightCall) endWithoutResponse(v verdict, refusal *scheduler.Refusal) Result {
	if len(f.possibleRuns) > 0 {
		return f.failureResult(v)
	}
	if refusal != nil {
		return f.refuse(refusal)
	}
	result := refused(ReplicaRefused, refusedRetryAfter)
	result.Attempts, result.Replica = f.attempts, f.lastReplica
	return result
}

// refusedRetryAfter is the retry delay after replicas refused a call. It is about the duration of
// one call at a replica, after which a slot is free.
const refusedRetryAfter = 150 * time.Millisecond

func (f *inFlightCall) failureResult(v verdict) Result {
	reason := ReplicaLost
	switch {
	case f.isOutOfTime():
		reason = TimedOut
	case f.gateway.shutdown.hasEnded():
		reason = Stopping
	case f.standing().Rejected() && !f.isProvisional():
		reason = Quarantined
	case v == invalidResponse || v == oversizedResponse:
		reason = ReplicaInvalidResponse
	}
	return f.lostResult(reason)
}

// lostResult returns the result of a call that may have run and has no complete response.
func (f *inFlightCall) lostResult(reason Reason) Result {
	if f.headerSent {
		return f.result(Truncated, reason, 0)
	}
	return f.result(Unknown, reason, 0)
}

// maxContactAge is the longest time since the last contact with a data centre for which a replica
// there is retried after its connection became unresponsive: within it, the connection alone may
// have failed.
const maxContactAge = 450 * time.Millisecond

// mayRespondToRetry reports whether the replica may respond to a second attempt after the first
// one's verdict v.
func (f *inFlightCall) mayRespondToRetry(ctx context.Context, g *scheduler.Grant, v verdict) bool {
	mayBeAlive := v == responseLost || v == invalidResponse || v == unresponsive && f.gateway.settings.SilentFor(g.DataCentre) < maxContactAge
	if !mayBeAlive || f.replicaRefuses {
		return false
	}
	waitCtx, release := f.gateway.shutdown.whileAccepted(ctx, f.deadline)
	f.awaitProof(waitCtx)
	release()
	return !f.standing().Rejected() && ctx.Err() == nil && !f.isOutOfTime() && f.maySend(g)
}

const (
	// attemptTimeoutFactor times the mean duration of a call is how long an attempt may take before its
	// replica counts as silent, unless others get responses, and an idempotent call is hedged. Nine in ten
	// calls take less, and a lost response never arrives.
	attemptTimeoutFactor = 4
	minAttemptTimeout    = 200 * time.Millisecond
)

// attemptTimeout returns how long an attempt may be silent; 0 for any time.
func (f *inFlightCall) attemptTimeout(g *scheduler.Grant) time.Duration {
	mean := g.MeanCall()
	if mean == 0 {
		return 0
	}
	return max(minAttemptTimeout, attemptTimeoutFactor*mean)
}

// receiveWhole sends the attempt and receives its complete response.
func (f *inFlightCall) receiveWhole(a *attemptState) verdict {
	if v := f.receiveHeader(a); v != complete {
		return v
	}
	a.grant.RecordFirstToken()
	body, err := f.readBody(a)
	switch {
	case errors.Is(err, buffer.ErrFull), errors.Is(err, errBodyTooLarge):
		return a.classifyBufferError(err)
	case err != nil:
		a.err, a.unfinished = err, a.trickles(err)
		if a.supersededInDataCentreSilence() {
			return unresponsive
		}
		return invalidResponse
	}
	a.body, a.took = body, time.Since(a.began)
	return complete
}

// bodyReader reads the body of an attempt's response and records when bytes arrive.
type bodyReader struct{ attempt *attemptState }

// Read implements io.Reader.
func (r bodyReader) Read(p []byte) (int, error) {
	n, err := r.attempt.response.Body.Read(p)
	if n > 0 {
		r.attempt.receivedAt.Store(time.Now().UnixNano())
		r.attempt.recordProgress()
	}
	return n, err
}

// readBody reads a response's body, of which there may be at most maxResponseBytes. After an error
// nothing is held of it.
func (f *inFlightCall) readBody(a *attemptState) ([]byte, error) {
	body, err := a.hold.ReadAll(buffer.Response, io.LimitReader(bodyReader{a}, maxResponseBytes+1))
	switch {
	case err != nil:
		return nil, err
	case len(body) > maxResponseBytes:
		err = errBodyTooLarge
	case a.response.Length >= 0 && int64(len(body)) != a.response.Length:
		err = errBodyLength
	default:
		return body, nil
	}
	a.hold.Shrink(buffer.Response, len(body))
	return nil, err
}

// classifyResponse returns complete if the response's body may be forwarded, judging by its header.
func classifyResponse(response *Response) verdict {
	switch {
	case !response.Executed || response.Misdirected:
		return notRun
	case response.BodyAltered:
		return invalidResponse
	case response.Status < 300 && !response.Verified:
		return invalidResponse
	default:
		return complete
	}
}

// reportFailure reports a failed attempt to the scheduler, or a cancelled one if ctx has ended. A
// response that had begun and did not come to its end within the call's time is a failure.
//
// It prevents the following failure: a replica sends bytes that are no response, slowly and without end,
// and gets ever more calls since nothing is held against it.
func (f *inFlightCall) reportFailure(ctx context.Context, a *attemptState, v verdict) {
	failure := failureOfVerdict(v)
	if v == invalidResponse && (errors.Is(a.err, httpconn.ErrMalformed) || a.response != nil && failureOf(a.response.Status) != nil) {
		failure.Kind = upstream.Errored
	}
	switch {
	case v == noFreeConnection: // the limit is this instance's
		a.grant.Done(scheduler.Feedback{Cancelled: true})
		return
	case ctx.Err() == nil:
	case a.unfinished && errors.Is(ctx.Err(), context.DeadlineExceeded):
		failure.Kind = upstream.Errored
	default:
		a.grant.Done(scheduler.Feedback{Cancelled: true, DeadlinePassed: errors.Is(ctx.Err(), context.DeadlineExceeded)})
		return
	}
	failure.Draining = a.response != nil && (a.response.Draining || a.response.Misdirected)
	a.grant.Done(scheduler.Feedback{Failure: &failure})
}

// failureOfVerdict returns the failure that an attempt's verdict counts as against its replica.
func failureOfVerdict(v verdict) upstream.Failure {
	switch v {
	case notRun, noFreeConnection:
		return upstream.Failure{Kind: upstream.Refused}
	case notSent:
		return upstream.Failure{Kind: upstream.NotSent}
	case unresponsive:
		return upstream.Failure{Kind: upstream.Unresponsive}
	case oversizedResponse:
		// The error rate counts: calls shun the replica even while others of its responses are sound.
		return upstream.Failure{Kind: upstream.Errored}
	default:
		return upstream.Failure{Kind: upstream.Lost}
	}
}

// forwardResponse sends a complete response to the caller.
func (f *inFlightCall) forwardResponse(response *Response, body []byte) Result {
	f.headerSent = true
	f.firstEventAt = time.Now()
	if err := f.caller.Begin(response.Status, response.Header, int64(len(body))); err != nil {
		return f.result(CallerGone, CallerDisconnected, response.Status)
	}
	if len(body) > 0 {
		if err := f.caller.Write(body); err != nil {
			return f.result(CallerGone, CallerDisconnected, response.Status)
		}
	}
	return f.result(Completed, "", response.Status)
}
