package gateway

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/routing"
	"foxhall/internal/scheduler"
	"foxhall/internal/upstream"
)

// maxAnswer bounds the body of a plain answer, which is held whole until it is
// known to be complete.
const maxResponseBytes = 16 << 20

// exchange serves a call with a plain answer.
func (f *inFlightCall) serveNonStreaming(ctx context.Context) Result {
	for {
		grant, refusal := f.acquire(ctx)
		if refusal != nil {
			return f.endWithoutResponse(responseLost, refusal)
		}
		response, body, v := f.tryReplica(ctx, grant)
		if v == complete {
			return f.forwardResponse(response, body)
		}
		f.triedReplicas = append(f.triedReplicas, grant.Upstream)
		if !f.mayTryAnotherReplica(ctx) {
			return f.endWithoutResponse(v, nil)
		}
	}
}

// mayGoOn reports whether the call may be sent to one more replica.
func (f *inFlightCall) mayTryAnotherReplica(ctx context.Context) bool {
	if len(f.possibleRuns) > 0 && (!f.route.Repeatable() || len(f.possibleRuns) >= f.route.Attempts) {
		return false
	}
	return f.attempts < maxAttempts && !f.isOutOfTime() && ctx.Err() == nil
}

// mayLeave reports whether the call may go on to another replica though this one may have run it.
func (f *inFlightCall) mayFailOver(g *scheduler.Grant) bool {
	return f.route.Repeatable() && len(f.possibleRuns.with(g.Upstream)) < f.route.Attempts
}

// giveUp ends a call for which no replica is left. Where one may have run it, "not run" would
// be untrue.
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

// refusedAfter is when to come again after several replicas refused: about the
// time of one call at a replica, after which a place is free.
const refusedRetryAfter = 150 * time.Millisecond

func (f *inFlightCall) failureResult(v verdict) Result {
	reason := ReplicaLost
	switch {
	case f.isOutOfTime():
		reason = TimedOut
	case v == invalidResponse:
		reason = ReplicaInvalidResponse
	}
	if f.headerSent {
		return f.result(Truncated, reason, 0)
	}
	return f.result(Unknown, reason, 0)
}

// try sends the call and reads the whole answer. An idempotent call whose
// answer was lost is sent to the same replica once more where the route allows
// no other: that is no further replica, and one that lost an answer mostly
// still runs.
func (f *inFlightCall) tryReplica(ctx context.Context, g *scheduler.Grant) (*Response, []byte, verdict) {
	response, body, v := f.attemptOnce(ctx, g, f.attemptTimeout(g))
	if f.shouldRetrySameReplica(ctx, g, v) {
		var retryVerdict verdict
		response, body, retryVerdict = f.attemptOnce(ctx, g, 0)
		v = v.combine(retryVerdict)
	}
	if v == complete {
		return response, body, v
	}
	f.reportFailure(ctx, g, response, v)
	return nil, nil, v
}

func (f *inFlightCall) shouldRetrySameReplica(ctx context.Context, g *scheduler.Grant, v verdict) bool {
	return f.route.Kind == routing.Idempotent && len(f.possibleRuns) >= f.route.Attempts && f.mayRespondToRetry(ctx, g, v)
}

// heardWithin is how lately a data centre must have been heard for a replica there to be asked
// once more after its connection went silent: only the connection may be gone.
const maxContactAge = 450 * time.Millisecond

// mayAnswer reports whether the replica may answer a second sending after what the first came to.
func (f *inFlightCall) mayRespondToRetry(ctx context.Context, g *scheduler.Grant, v verdict) bool {
	mayBeAlive := v == responseLost || v == invalidResponse || v == unresponsive && f.gateway.settings.SilentFor(g.DataCentre) < maxContactAge
	return mayBeAlive && ctx.Err() == nil && !f.isOutOfTime()
}

const (
	// patienceFactor times the mean time of a call is how long an idempotent
	// call is left with a replica before it is sent again: nine in ten calls
	// take less, and an answer that is lost never comes.
	attemptTimeoutFactor = 4
	minAttemptTimeout    = 200 * time.Millisecond
)

// patience is how long the first sending of an idempotent call may take; 0 for
// as long as the caller waits.
func (f *inFlightCall) attemptTimeout(g *scheduler.Grant) time.Duration {
	mean := g.MeanCall()
	if f.route.Kind != routing.Idempotent || mean == 0 {
		return 0
	}
	return max(minAttemptTimeout, attemptTimeoutFactor*mean)
}

func (f *inFlightCall) attemptOnce(ctx context.Context, g *scheduler.Grant, timeout time.Duration) (*Response, []byte, verdict) {
	if timeout > 0 {
		limited, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		ctx = limited
	}
	if f.mayFailOver(g) {
		untilSilence, stop := f.cancelOnSilence(ctx, g)
		defer stop()
		ctx = untilSilence
	}
	state := &attemptState{grant: g, began: time.Now()}
	response, body, v := f.receiveResponse(ctx, state)
	f.recordAttempt(ctx, state, v)
	return response, body, v
}

// receive sends the call and reads the whole answer.
func (f *inFlightCall) receiveResponse(ctx context.Context, state *attemptState) (*Response, []byte, verdict) {
	response, err := f.sendTo(ctx, state.grant, "")
	if err != nil {
		return nil, nil, state.classifyError(ctx, err)
	}
	defer response.Close()
	if v := classifyResponse(response); v != complete {
		return response, nil, v
	}
	state.grant.FirstToken()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		state.err = err
		if cancelledBySilence(ctx) {
			return nil, nil, unresponsive
		}
		return nil, nil, invalidResponse
	}
	if response.Length >= 0 && int64(len(body)) != response.Length {
		return nil, nil, invalidResponse
	}
	took := time.Since(state.began)
	state.grant.Done(scheduler.Feedback{Failure: failureOf(response.Status), Total: took, FirstToken: took})
	return response, body, complete
}

// judge tells from an answer's head whether its body may be passed on.
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

var errDataCentreSilent = errors.New("gateway: the replica's data centre is silent")

// untilSilent returns a context that ends when the replica's data centre falls
// silent. A call waits for its answer in vain then, until its connection gives up,
// while others could serve it.
func (f *inFlightCall) cancelOnSilence(ctx context.Context, g *scheduler.Grant) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := f.gateway.settings.OnSilence(g.DataCentre, func() { cancel(errDataCentreSilent) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

func cancelledBySilence(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errDataCentreSilent)
}

// report feeds back what a sending came to, unless this side ended the call.
func (f *inFlightCall) reportFailure(ctx context.Context, g *scheduler.Grant, response *Response, v verdict) {
	if ctx.Err() != nil {
		g.Done(scheduler.Feedback{Cancelled: true})
		return
	}
	failure := upstream.Failure{Kind: upstream.Lost}
	switch v {
	case notRun, noFreeConnection:
		failure.Kind = upstream.Refused
	case notSent:
		failure.Kind = upstream.NotSent
	case unresponsive:
		failure.Kind = upstream.Unresponsive
	}
	failure.Draining = response != nil && (response.Draining || response.Misdirected)
	g.Done(scheduler.Feedback{Failure: &failure})
}

// pass hands a whole answer to the caller.
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
	return f.result(Answered, "", response.Status)
}
