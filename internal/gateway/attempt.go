package gateway

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/buffer"
	"foxhall/internal/httpconn"
	"foxhall/internal/scheduler"
)

// attemptState is the state of one attempt at a replica.
type attemptState struct {
	place *place
	// sharesPlace is set for a hedge at the place of the attempt that it is for.
	sharesPlace bool
	grant       *scheduler.Grant
	// hold is the memory held for the response.
	hold *buffer.Hold
	// ctx is cancelled by end, and with a cause when a hedge takes over.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// releases free what the context derives from.
	releases []func()
	ended    bool
	// resumeAfter is the ID of the last event that the caller received; empty for none.
	resumeAfter string
	began       time.Time
	// received is set once receive has returned, with its verdict.
	received bool
	verdict  verdict
	// response is the replica's response; nil before its header has arrived.
	response *Response
	// body is the body of a complete response that is not a stream, took the time that it took.
	body []byte
	took time.Duration
	// source, splitter and readBuffer read a stream.
	source     *readAhead
	splitter   eventSplitter
	readBuffer []byte
	// events and eventsErr are what a hedge has read of its stream and not forwarded.
	events    []Event
	eventsErr error
	// headerWait is the time until the header, or the error that took its place.
	headerWait time.Duration
	// headerAt is when the header arrived, receivedAt when the last bytes of the body did, and progressAt
	// when the last ones that count as progress did. All are in Unix nanoseconds; 0 for never.
	headerAt, receivedAt, progressAt atomic.Int64
	// eventCount is the number of events that the attempt delivered.
	eventCount int
	// err is the error for which there is no complete response; nil if none was returned.
	err error
	// liveness is what a new connection showed about the replica after its connection broke.
	liveness httpconn.Liveness
	// failed is set once the attempt has failed. What it showed of its replica is recorded after its hedge
	// has ended.
	failed atomic.Bool
	// finished is set once the replica's response was received whole.
	finished bool
	// unfinished is set if bytes arrived until the attempt ended and did not make the next part of the
	// response whole.
	unfinished bool
}

// newAttempt returns an attempt that is about to be sent.
func (f *inFlightCall) newAttempt(ctx context.Context, at *place, resumeAfter string) *attemptState {
	f.attempts++
	a := &attemptState{place: at, grant: at.grant, hold: f.hold, resumeAfter: resumeAfter, began: time.Now()}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	if resumeAfter != "" {
		f.gateway.attempts.resumptions.Inc(1)
	}
	f.open = append(f.open, a)
	return a
}

// end ends the attempt. If its response was not read to its end, the replica is told to stop.
func (a *attemptState) end() {
	if a.ended {
		return
	}
	a.ended = true
	if a.source != nil {
		a.source.close(func() { a.cancel(nil) })
		a.splitter.release()
	}
	if a.response != nil {
		a.response.Close()
	}
	a.cancel(nil)
	for _, release := range a.releases {
		release()
	}
}

// wasAbandoned reports whether the attempt was a hedge that ended because the attempt that it was for
// went on.
func (a *attemptState) wasAbandoned() bool { return errors.Is(context.Cause(a.ctx), errAbandoned) }

// lastReceived returns when the replica's last bytes that count as progress arrived, or when the attempt
// began.
func (a *attemptState) lastReceived() time.Time {
	at := max(a.headerAt.Load(), a.progressAt.Load())
	if at == 0 {
		return a.began
	}
	return time.Unix(0, at)
}

// awaited names what the attempt waited for, as used in log lines.
func (a *attemptState) awaited() string {
	switch {
	case a.headerAt.Load() == 0:
		return "header"
	case a.progressAt.Load() == 0:
		return "body"
	default:
		return "rest of the body"
	}
}

func (a *attemptState) recordProgress() {
	a.progressAt.Store(time.Now().UnixNano())
	a.grant.RecordProgress()
}

// tricklePause is the longest pause between bytes for which a response counts as one that still arrives.
const tricklePause = 200 * time.Millisecond

// trickles reports whether bytes of the body arrived until err ended its reading, as opposed to a replica
// that is silent.
func (a *attemptState) trickles(err error) bool {
	at := a.receivedAt.Load()
	return errors.Is(err, httpconn.ErrStrayBytes) || at != 0 && time.Since(time.Unix(0, at)) <= tricklePause
}

// supersededInDataCentreSilence reports whether the attempt was given up because the replica's data centre fell
// silent.
func (a *attemptState) supersededInDataCentreSilence() bool {
	return errors.Is(context.Cause(a.ctx), errDataCentreSilent)
}

// send sends the attempt and returns the header of the response.
func (f *inFlightCall) send(a *attemptState) (*Response, error) {
	attempt := &Attempt{
		Call:           f.call,
		Target:         Target{ID: a.grant.Upstream, Address: a.grant.Address},
		Body:           f.body,
		Timeout:        f.timeLeft(),
		Priority:       f.replicaPriority(),
		Customer:       f.customerName(),
		ResumeAfter:    a.resumeAfter,
		MaxConnections: f.connectionLimit(),
		ProvesIdentity: f.keepsVersion(),
	}
	began := time.Now()
	response, err := f.gateway.replicas.Send(a.ctx, attempt)
	a.headerWait = time.Since(began)
	if err == nil {
		a.headerAt.Store(time.Now().UnixNano())
		a.grant.RecordHeader()
	}
	return response, err
}

// exchange is how calls of one kind receive their response.
type exchange struct {
	// receive sends an attempt and receives its response: the header of a stream, all of any other
	// response. receiveHedge receives what a hedge must have to take over: the first events of a stream.
	// They change nothing but the attempt, since hedges run beside another attempt.
	receive, receiveHedge func(a *attemptState) verdict
	// forward forwards the stream of a received attempt, or concludes an attempt whose response is
	// forwarded later. It returns the hedge that has taken over, if one has.
	forward func(a *attemptState, h *hedger) (verdict, *attemptState)
	// silence is how long an attempt at the replica may be silent before the replica counts as silent and
	// the attempt is hedged if the route allows it; 0 for any time.
	silence func(g *scheduler.Grant) time.Duration
	// resumeAfter returns the ID of the last event that the caller received.
	resumeAfter func() string
	// mayRetry reports whether the replica may get a second attempt after the first one's verdict.
	mayRetry func(g *scheduler.Grant, v verdict) bool
}

// try makes attempts at the place, and where hedges take over, at theirs. It returns the last attempt
// with its verdict; its place is left.
func (f *inFlightCall) try(ctx context.Context, at *place, x *exchange) (*attemptState, verdict) {
	f.triedReplicas = append(f.triedReplicas, at.grant.Upstream)
	at.grant.MarkSent()
	a := f.newAttempt(ctx, at, x.resumeAfter())
	for {
		v, next := f.run(ctx, a, x)
		v = a.place.combine(v)
		if next == nil && v != complete && !a.place.retried && x.mayRetry(a.grant, v) {
			a.place.retried = true
			a.grant.MarkSent()
			next = f.newAttempt(ctx, a.place, x.resumeAfter())
		}
		if next != nil && next.place == a.place {
			next.sharesPlace = false
			a = next
			continue
		}
		switch {
		case next == nil && v == noFreeConnection && f.takeBack(a):
		case v != complete:
			f.reportFailure(ctx, a, v)
			if a.mayAcceptLater(v) {
				f.allowAgain(a, v)
			}
		}
		a.place.leave()
		if next == nil {
			return a, v
		}
		a = next
	}
}

// maxRepeatedPlacements bounds how often one call is placed again because no connection was free where it
// was placed. Placement sees the connections in use, so that only calls at the same moment collide.
const maxRepeatedPlacements = 8

// takeBack makes an attempt count as not made, so that the call is placed again: all connections to its
// replica were in use, which says nothing against the replica. It returns false if that happened too often.
func (f *inFlightCall) takeBack(a *attemptState) bool {
	if f.repeatedPlacements >= maxRepeatedPlacements {
		return false
	}
	f.repeatedPlacements++
	f.attempts--
	if a.sharesPlace {
		return true
	}
	if i := slices.Index(f.triedReplicas, a.grant.Upstream); i >= 0 {
		f.triedReplicas = slices.Delete(f.triedReplicas, i, i+1)
	}
	f.placeAgain = true
	a.grant.Done(scheduler.Feedback{Cancelled: true})
	return true
}

// combine returns the verdict over all attempts at the place, of which v is the latest one's. An
// attempt that did not run does not change it, since the call may have run in an earlier one.
func (p *place) combine(v verdict) verdict {
	if v.mayHaveRun() || p.verdict == complete {
		p.verdict = v
	}
	return p.verdict
}

// run makes one attempt, or goes on with a hedge that has received its response. It returns the hedge
// that has taken over, if one has.
func (f *inFlightCall) run(ctx context.Context, a *attemptState, x *exchange) (verdict, *attemptState) {
	defer a.end()
	f.lastReplica, f.lastVersion = a.grant.Upstream, a.grant.Version
	h := f.newHedger(ctx, a, x)
	defer h.stop()
	v := a.verdict
	var next *attemptState
	if !a.received {
		h.arm()
		v = x.receive(a)
		next = h.disarm(v == complete)
	}
	if next != nil && v == complete {
		v = f.discard(a)
	}
	if next == nil && v == complete {
		v, next = x.forward(a, h)
	}
	f.recordAttempt(a, v)
	return v, next
}
