package gateway

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/httpconn"
	"foxhall/internal/routing"
	"foxhall/internal/scheduler"
	"foxhall/internal/upstream"
)

// maxAnswer bounds the body of a plain answer, which is held whole until it is
// known to be complete.
const maxAnswer = 16 << 20

// verdict is what one sending came to.
type verdict uint8

const (
	// whole says that the replica's whole answer is here.
	whole verdict = iota
	// notRun says that the call did not run there.
	notRun
	// lost says that it may have run.
	lost
	// spoiled says that it ran and its answer is no use.
	spoiled
)

// exchange serves a call with a plain answer.
func (f *flight) exchange(ctx context.Context) Result {
	ran := 0
	for {
		grant, refusal := f.acquire(ctx)
		if refusal != nil {
			return f.giveUp(ran, refusal)
		}
		answer, body, v := f.try(ctx, grant)
		switch v {
		case whole:
			return f.pass(answer, body)
		case notRun:
			f.tried = append(f.tried, grant.Upstream)
			if f.sends >= sendsMost || f.late() {
				return f.giveUp(ran, nil)
			}
		default:
			ran++
			f.tried = append(f.tried, grant.Upstream)
			if !f.mayRepeat(ran) {
				return f.failed(v)
			}
		}
	}
}

// giveUp ends a call for which no replica is left. Where an earlier sending
// may have run, "not run" would be untrue.
func (f *flight) giveUp(ran int, refusal *scheduler.Refusal) Result {
	if ran > 0 {
		return f.failed(lost)
	}
	if refusal != nil {
		return f.refusal(refusal)
	}
	result := refused(ReplicaRefused, refusedAfter)
	result.Sends, result.Replica = f.sends, f.replica
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
		reason = ReplicaSpoiled
	}
	return f.end(Unknown, reason, 0)
}

func (f *flight) mayRepeat(ran int) bool {
	return f.route.Repeat == routing.Idempotent && ran < f.route.Attempts && !f.late()
}

// try sends the call once and reads the whole answer.
func (f *flight) try(ctx context.Context, g *scheduler.Grant) (*Answer, []byte, verdict) {
	started := time.Now()
	answer, err := f.sendTo(ctx, g, "")
	if err != nil {
		return nil, nil, f.sendFailed(ctx, g, err)
	}
	defer answer.Close()
	if v := judge(answer); v != whole {
		f.feedback(g, answer, v)
		return nil, nil, v
	}
	g.FirstToken()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil || answer.Length >= 0 && int64(len(body)) != answer.Length {
		f.lostOn(ctx, g)
		return nil, nil, spoiled
	}
	g.Done(scheduler.Feedback{Total: time.Since(started), FirstToken: time.Since(started)})
	return answer, body, whole
}

// judge tells from an answer's head whether its body may be passed on.
func judge(a *Answer) verdict {
	switch {
	case !a.Run || a.Misdirected:
		return notRun
	case a.Encoded:
		return spoiled
	case a.Status < 300 && !a.Verified:
		return spoiled
	default:
		return whole
	}
}

// sendFailed feeds back a sending without an answer.
func (f *flight) sendFailed(ctx context.Context, g *scheduler.Grant, err error) verdict {
	f.gateway.logger.WithError(err).WithField("request", f.call.ID).WithField("replica", g.Upstream).Info("send failed")
	if errors.Is(err, httpconn.ErrFull) {
		g.Done(scheduler.Feedback{Failure: &upstream.Failure{Kind: upstream.Refused}})
		return notRun
	}
	if errors.Is(err, httpconn.ErrNotSent) {
		if ctx.Err() != nil {
			g.Done(scheduler.Feedback{Cancelled: true})
			return notRun
		}
		g.Done(scheduler.Feedback{Failure: &upstream.Failure{Kind: upstream.NotSent}})
		return notRun
	}
	f.lostOn(ctx, g)
	return lost
}

// lostOn feeds back that the answer was lost, unless this side ended the call.
func (f *flight) lostOn(ctx context.Context, g *scheduler.Grant) {
	if ctx.Err() != nil {
		g.Done(scheduler.Feedback{Cancelled: true})
		return
	}
	g.Done(scheduler.Feedback{Failure: &upstream.Failure{Kind: upstream.Lost}})
}

func (f *flight) feedback(g *scheduler.Grant, a *Answer, v verdict) {
	kind := upstream.Lost
	if v == notRun {
		kind = upstream.Refused
	}
	g.Done(scheduler.Feedback{Failure: &upstream.Failure{Kind: kind, Leaving: a.Leaving || a.Misdirected}})
}

// pass hands a whole answer to the caller.
func (f *flight) pass(a *Answer, body []byte) Result {
	f.begun = true
	f.firstAt = time.Now()
	if err := f.caller.Begin(a.Status, a.Header, int64(len(body))); err != nil {
		return f.end(Gone, CallerLeft, a.Status)
	}
	if len(body) > 0 {
		if err := f.caller.Write(body); err != nil {
			return f.end(Gone, CallerLeft, a.Status)
		}
	}
	return f.end(Answered, "", a.Status)
}
