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
const maxAnswer = 16 << 20

// exchange serves a call with a plain answer.
func (f *flight) exchange(ctx context.Context) Result {
	for {
		grant, refusal := f.acquire(ctx)
		if refusal != nil {
			return f.giveUp(lost, refusal)
		}
		answer, body, v := f.try(ctx, grant)
		if v == whole {
			return f.pass(answer, body)
		}
		f.tried = append(f.tried, grant.Upstream)
		if !f.mayGoOn(ctx) {
			return f.giveUp(v, nil)
		}
	}
}

// mayGoOn reports whether the call may be sent to one more replica.
func (f *flight) mayGoOn(ctx context.Context) bool {
	if len(f.runs) > 0 && (!f.route.Repeatable() || len(f.runs) >= f.route.Attempts) {
		return false
	}
	return f.sends < sendsMost && !f.late() && ctx.Err() == nil
}

// mayLeave reports whether the call may go on to another replica though this one may have run it.
func (f *flight) mayLeave(g *scheduler.Grant) bool {
	return f.route.Repeatable() && len(f.runs.with(g.Upstream)) < f.route.Attempts
}

// giveUp ends a call for which no replica is left. Where one may have run it, "not run" would
// be untrue.
func (f *flight) giveUp(v verdict, refusal *scheduler.Refusal) Result {
	if len(f.runs) > 0 {
		return f.failed(v)
	}
	if refusal != nil {
		return f.refusal(refusal)
	}
	result := refused(ReplicaRefused, refusedAfter)
	result.Attempts, result.Replica = f.sends, f.replica
	return result
}

// refusedAfter is when to come again after several replicas refused: about the
// time of one call at a replica, after which a place is free.
const refusedAfter = 150 * time.Millisecond

func (f *flight) failed(v verdict) Result {
	reason := ReplicaLost
	switch {
	case f.late():
		reason = TimedOut
	case v == spoiled:
		reason = ReplicaInvalidResponse
	}
	if f.begun {
		return f.end(Truncated, reason, 0)
	}
	return f.end(Unknown, reason, 0)
}

// try sends the call and reads the whole answer. An idempotent call whose
// answer was lost is sent to the same replica once more where the route allows
// no other: that is no further replica, and one that lost an answer mostly
// still runs.
func (f *flight) try(ctx context.Context, g *scheduler.Grant) (*Response, []byte, verdict) {
	answer, body, v := f.sendOnce(ctx, g, f.patience(g))
	if f.sameAgain(ctx, g, v) {
		var again verdict
		answer, body, again = f.sendOnce(ctx, g, 0)
		v = v.then(again)
	}
	if v == whole {
		return answer, body, v
	}
	f.report(ctx, g, answer, v)
	return nil, nil, v
}

func (f *flight) sameAgain(ctx context.Context, g *scheduler.Grant, v verdict) bool {
	return f.route.Kind == routing.Idempotent && len(f.runs) >= f.route.Attempts && f.mayAnswer(ctx, g, v)
}

// heardWithin is how lately a data centre must have been heard for a replica there to be asked
// once more after its connection went silent: only the connection may be gone.
const heardWithin = 450 * time.Millisecond

// mayAnswer reports whether the replica may answer a second sending after what the first came to.
func (f *flight) mayAnswer(ctx context.Context, g *scheduler.Grant, v verdict) bool {
	alive := v == lost || v == spoiled || v == cutOff && f.gateway.settings.SilentFor(g.DataCentre) < heardWithin
	return alive && ctx.Err() == nil && !f.late()
}

const (
	// patienceFactor times the mean time of a call is how long an idempotent
	// call is left with a replica before it is sent again: nine in ten calls
	// take less, and an answer that is lost never comes.
	patienceFactor = 4
	patienceLeast  = 200 * time.Millisecond
)

// patience is how long the first sending of an idempotent call may take; 0 for
// as long as the caller waits.
func (f *flight) patience(g *scheduler.Grant) time.Duration {
	mean := g.MeanCall()
	if f.route.Kind != routing.Idempotent || mean == 0 {
		return 0
	}
	return max(patienceLeast, patienceFactor*mean)
}

func (f *flight) sendOnce(ctx context.Context, g *scheduler.Grant, limit time.Duration) (*Response, []byte, verdict) {
	if limit > 0 {
		limited, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		ctx = limited
	}
	if f.mayLeave(g) {
		silent, stop := f.untilSilent(ctx, g)
		defer stop()
		ctx = silent
	}
	s := &sending{grant: g, began: time.Now()}
	answer, body, v := f.receive(ctx, s)
	f.sendingEnded(ctx, s, v)
	return answer, body, v
}

// receive sends the call and reads the whole answer.
func (f *flight) receive(ctx context.Context, s *sending) (*Response, []byte, verdict) {
	answer, err := f.sendTo(ctx, s.grant, "")
	if err != nil {
		return nil, nil, s.failedAs(ctx, err)
	}
	defer answer.Close()
	if v := judge(answer); v != whole {
		return answer, nil, v
	}
	s.grant.FirstToken()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		s.err = err
		if wasSilent(ctx) {
			return nil, nil, cutOff
		}
		return nil, nil, spoiled
	}
	if answer.Length >= 0 && int64(len(body)) != answer.Length {
		return nil, nil, spoiled
	}
	took := time.Since(s.began)
	s.grant.Done(scheduler.Feedback{Failure: ownFailure(answer.Status), Total: took, FirstToken: took})
	return answer, body, whole
}

// judge tells from an answer's head whether its body may be passed on.
func judge(a *Response) verdict {
	switch {
	case !a.Executed || a.Misdirected:
		return notRun
	case a.BodyAltered:
		return spoiled
	case a.Status < 300 && !a.Verified:
		return spoiled
	default:
		return whole
	}
}

var errDataCentreSilent = errors.New("gateway: the replica's data centre is silent")

// untilSilent returns a context that ends when the replica's data centre falls
// silent. A call waits for its answer in vain then, until its connection gives up,
// while others could serve it.
func (f *flight) untilSilent(ctx context.Context, g *scheduler.Grant) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := f.gateway.settings.OnSilence(g.DataCentre, func() { cancel(errDataCentreSilent) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

func wasSilent(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errDataCentreSilent) }

// report feeds back what a sending came to, unless this side ended the call.
func (f *flight) report(ctx context.Context, g *scheduler.Grant, a *Response, v verdict) {
	if ctx.Err() != nil {
		g.Done(scheduler.Feedback{Cancelled: true})
		return
	}
	failure := upstream.Failure{Kind: upstream.Lost}
	switch v {
	case notRun, full:
		failure.Kind = upstream.Refused
	case notSent:
		failure.Kind = upstream.NotSent
	case cutOff:
		failure.Kind = upstream.Unresponsive
	}
	failure.Draining = a != nil && (a.Draining || a.Misdirected)
	g.Done(scheduler.Feedback{Failure: &failure})
}

// pass hands a whole answer to the caller.
func (f *flight) pass(a *Response, body []byte) Result {
	f.begun = true
	f.firstAt = time.Now()
	if err := f.caller.Begin(a.Status, a.Header, int64(len(body))); err != nil {
		return f.end(CallerGone, CallerDisconnected, a.Status)
	}
	if len(body) > 0 {
		if err := f.caller.Write(body); err != nil {
			return f.end(CallerGone, CallerDisconnected, a.Status)
		}
	}
	return f.end(Answered, "", a.Status)
}
