package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/buffer"
	"foxhall/internal/httpconn"
	"foxhall/internal/output"
	"foxhall/internal/scheduler"
	"foxhall/internal/upstream"
)

// readBufferSize is the size in bytes of the buffer for reading a stream.
const readBufferSize = 16 << 10

// streamRecord is the part of a stream that was forwarded, over all attempts.
type streamRecord struct {
	// retainData is set if eventData is needed after the stream ends. It is counted in hold.
	retainData  bool
	hold        *buffer.Hold
	eventCount  int
	eventData   [][]byte
	lastEventID string
	// output holds the events for a caller that resumes the turn at another instance; nil if it can't.
	output *output.Record
	// settle is called before the end of a complete response is forwarded; nil for none. If it
	// returns false, the response ends as truncated.
	settle func() bool
}

// retainedEventOverhead is the memory in bytes that a retained event takes beside its data.
const retainedEventOverhead = 64

// add records an event that is about to be forwarded. An error means that it can't be retained.
func (r *streamRecord) add(e Event) error {
	if r.retainData {
		if err := r.hold.Grow(buffer.Output, len(e.Data)+retainedEventOverhead); err != nil {
			return err
		}
		r.eventData = append(r.eventData, e.Data)
	}
	r.output.Add(output.Event{ID: e.ID, Data: e.Data})
	r.eventCount++
	if e.ID != "" {
		r.lastEventID = e.ID
	}
	return nil
}

// serveStream serves a call whose response is a stream of events.
func (f *inFlightCall) serveStream(ctx context.Context, rec *streamRecord) Result {
	var result Result
	x := f.streamExchange(ctx, rec, &result)
	for {
		at, rejected := f.nextPlace(ctx, false)
		if rejected != nil {
			return *rejected
		}
		_, v := f.try(ctx, at, x)
		if v == complete {
			return result
		}
		if !f.mayTryAnotherReplica(ctx) {
			return f.endWithoutResponse(v, nil)
		}
	}
}

// streamExchange returns how streams are received and forwarded. result gets the result of a call whose
// stream has ended. A resumable stream that breaks off is resumed once at the same replica, which still
// has the prompt cached.
func (f *inFlightCall) streamExchange(ctx context.Context, rec *streamRecord, result *Result) *exchange {
	return &exchange{
		receive:      f.receiveHeader,
		receiveHedge: f.receiveFirstEvents,
		forward: func(a *attemptState, h *hedger) (verdict, *attemptState) {
			countBefore := rec.eventCount
			v, r, next := f.forwardStream(a, rec, h)
			a.eventCount = rec.eventCount - countBefore
			*result = r
			return v, next
		},
		silence:     f.firstEventTimeout,
		resumeAfter: func() string { return f.resumeAfter(rec) },
		mayRetry: func(g *scheduler.Grant, v verdict) bool {
			return f.route.Resumable && f.mayRespondToRetry(ctx, g, v)
		},
	}
}

// receiveHeader sends the attempt and receives the header of its response.
func (f *inFlightCall) receiveHeader(a *attemptState) verdict {
	response, err := f.send(a)
	if err != nil {
		return a.classifyError(err)
	}
	a.response = response
	v := classifyResponse(response)
	if v == complete {
		a.grant.RecordAccepted()
	}
	return v
}

// receiveFirstEvents sends the attempt and receives its response up to its first events or its end.
func (f *inFlightCall) receiveFirstEvents(a *attemptState) verdict {
	if v := f.receiveHeader(a); v != complete || a.response.Status >= 300 {
		return v
	}
	f.startReading(a)
	a.events, a.eventsErr = a.readEvents()
	if len(a.events) == 0 && a.eventsErr != io.EOF {
		return a.classifyReadError(a.eventsErr)
	}
	return complete
}

// forwardStream forwards the response whose header the attempt has received.
func (f *inFlightCall) forwardStream(a *attemptState, rec *streamRecord, h *hedger) (verdict, Result, *attemptState) {
	if a.response.Status >= 300 {
		return f.forwardFailure(a, h)
	}
	if a.source == nil {
		h.recordProgress(f.timeToFirstEvent(a))
		f.startReading(a)
	}
	return f.relayEvents(a, rec, h)
}

func (f *inFlightCall) resumeAfter(rec *streamRecord) string {
	if rec.lastEventID != "" {
		return rec.lastEventID
	}
	return f.call.ResumeAfter
}

// forwardFailure forwards a response with a status of 300 or more. If a header was already
// forwarded, the attempt counts as lost instead. It returns the hedge that has taken over, if one has.
func (f *inFlightCall) forwardFailure(a *attemptState, h *hedger) (verdict, Result, *attemptState) {
	h.arm()
	body, err := f.readBody(a)
	a.body = body
	if next := h.disarm(err == nil); next != nil {
		return f.supersededVerdict(a, err), Result{}, next
	}
	switch {
	case errors.Is(err, buffer.ErrFull), errors.Is(err, errBodyTooLarge):
		return a.classifyBufferError(err), Result{}, nil
	case err != nil || f.headerSent:
		a.err, a.unfinished = err, a.trickles(err)
		return responseLost, Result{}, nil
	}
	a.finished = true
	failure := failureOf(a.response.Status)
	a.grant.Done(scheduler.Feedback{Failure: failure, Cancelled: failure == nil})
	return complete, f.forwardResponse(a.response, body), nil
}

// failureOf returns the failure that a status counts as against its replica; nil if the call was
// at fault or its deadline had passed.
func failureOf(status int) *upstream.Failure {
	if status < http.StatusInternalServerError || status == http.StatusGatewayTimeout {
		return nil
	}
	return &upstream.Failure{Kind: upstream.Errored}
}

// relayEvents forwards complete events as they arrive. It returns the hedge that has taken over, if one
// has.
func (f *inFlightCall) relayEvents(a *attemptState, rec *streamRecord, h *hedger) (verdict, Result, *attemptState) {
	var firstEventTime time.Duration
	countBefore := rec.eventCount
	for {
		events, next, err := f.nextEvents(a, h)
		if next != nil {
			return f.supersededVerdict(a, err), Result{}, next
		}
		if len(events) > 0 {
			if firstEventTime == 0 {
				firstEventTime = time.Since(a.began)
				a.grant.RecordFirstToken()
			}
			a.recordProgress()
			h.recordProgress(f.gapTimeout())
		}
		if len(events) > 0 {
			f.fixVersion(a.grant.Version, rec)
		}
		if f.exceedsOutput(rec.eventCount - countBefore + len(events)) {
			a.err = errOutputTooLong
			return oversizedResponse, Result{}, nil
		}
		switch forwardErr := f.forwardEvents(a.response, events, a.source, rec); {
		case errors.Is(forwardErr, errCallerDisconnected):
			a.grant.Done(scheduler.Feedback{Cancelled: true})
			return complete, f.result(CallerGone, CallerDisconnected, a.response.Status), nil
		case forwardErr != nil:
			return a.classifyBufferError(forwardErr), Result{}, nil
		case err == nil:
			continue
		case err != io.EOF:
			return a.classifyReadError(err), Result{}, nil
		}
		a.finished = true
		outputTokens := (rec.eventCount - countBefore) * f.tokensPerEvent()
		a.grant.Done(scheduler.Feedback{
			Prompt: f.call.PromptTokens, CachedTokens: a.grant.Cached(), Output: outputTokens,
			FirstToken: firstEventTime, Total: time.Since(a.began),
		})
		return complete, f.finishStream(a.response, rec), nil
	}
}

// errReplicaEnded indicates a stream of which only the end of its connection showed the end, and whose replica has
// ended.
var errReplicaEnded = errors.Wrap(httpconn.ErrBroken, "stream ended with its replica")

// judgedBody is the body of a stream of which only the end of its connection shows the end. At the end it finds out
// whether its replica has ended: the connections of a process that is killed are closed in order, too. It does so as
// the end is read, since the caller may be slow, and the replica may leave or start again meanwhile.
type judgedBody struct {
	io.Reader
	// look returns whether the replica accepts connections.
	look func() httpconn.Liveness
}

// Read implements io.Reader.
func (b *judgedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF && b.look() == httpconn.Refused {
		err = errReplicaEnded
	}
	return n, err
}

// nextEvents returns the events that arrive next, or the hedge that has taken over meanwhile. Those that
// a hedge received before it took over come first.
func (f *inFlightCall) nextEvents(a *attemptState, h *hedger) (events []Event, next *attemptState, err error) {
	if a.events != nil || a.eventsErr != nil {
		events, err = a.events, a.eventsErr
		a.events, a.eventsErr = nil, nil
		return events, nil, err
	}
	h.arm()
	events, err = a.readEvents()
	return events, h.disarm(err == nil || err == io.EOF), err
}

// supersededVerdict returns the verdict of an attempt whose response is not used, by the error with which
// it ended.
func (f *inFlightCall) supersededVerdict(a *attemptState, err error) verdict {
	if err == nil || err == io.EOF {
		return f.discard(a)
	}
	return a.classifyReadError(err)
}

// startReading prepares to read the attempt's stream.
func (f *inFlightCall) startReading(a *attemptState) {
	a.splitter.hold = a.hold
	body := a.response.Body
	if a.response.FramedByClose {
		body = &judgedBody{body, func() httpconn.Liveness { return f.look(a) }}
	}
	a.source = newReadAhead(a.ctx, body, a.hold, a.recordProgress)
	a.readBuffer = make([]byte, readBufferSize)
}

// readEvents reads until there are events, the end of the stream (io.EOF) or an error. Bytes that
// complete no event are no progress.
func (a *attemptState) readEvents() ([]Event, error) {
	for {
		n, err := a.source.Read(a.readBuffer)
		var events []Event
		if n > 0 {
			a.receivedAt.Store(time.Now().UnixNano())
			var splitErr error
			if events, splitErr = a.splitter.add(a.readBuffer[:n]); splitErr != nil {
				return events, splitErr
			}
		}
		if err == io.EOF && a.splitter.hasPartialEvent() {
			err = errCutInEvent
		}
		if len(events) > 0 || err != nil {
			return events, err
		}
	}
}

// errCutInEvent indicates a stream that ended within an event.
var errCutInEvent = errors.Wrap(io.ErrUnexpectedEOF, "cut within event")

// classifyReadError records the error that ended the reading of a stream and returns its verdict.
func (a *attemptState) classifyReadError(err error) verdict {
	if errors.Is(err, errEventTooLarge) || errors.Is(err, buffer.ErrFull) {
		return a.classifyBufferError(err)
	}
	a.unfinished = len(a.splitter.buffer) > 0 && a.trickles(err)
	return a.classifyError(err)
}

const (
	// A replica counts as silent, and a resumable stream is hedged, if no first event arrives within
	// firstEventFactor times the expected time (at least minFirstEventTimeout), or no further event within
	// gapFactor times the route's GapObjective. A lost response never arrives; for a replica that is only
	// slow or silent, a hedge costs the prefill of one prompt.
	firstEventFactor     = 4
	minFirstEventTimeout = 800 * time.Millisecond
	gapFactor            = 2
)

// firstEventTimeout returns how long a stream may have no first event; 0 for any time.
func (f *inFlightCall) firstEventTimeout(g *scheduler.Grant) time.Duration {
	if f.gapTimeout() == 0 {
		return 0
	}
	estimate := g.Decision.Estimate
	expected := time.Duration((estimate.Wait + estimate.Prefill) * float64(time.Second))
	return max(minFirstEventTimeout, firstEventFactor*expected)
}

// timeToFirstEvent returns how long an attempt whose header has arrived may go on without an event.
func (f *inFlightCall) timeToFirstEvent(a *attemptState) time.Duration {
	if f.gapTimeout() == 0 {
		return 0
	}
	return max(f.gapTimeout(), f.firstEventTimeout(a.grant)-time.Since(a.began))
}

// gapTimeout returns how long a stream may have no further event; 0 for any time.
func (f *inFlightCall) gapTimeout() time.Duration { return gapFactor * f.route.GapObjective }

// finishStream ends a complete stream. A turn must be durable before the end of its response is
// forwarded, since the caller may continue from it from then on.
func (f *inFlightCall) finishStream(response *Response, rec *streamRecord) Result {
	if !f.forwardHeader(response) {
		return f.result(CallerGone, CallerDisconnected, response.Status)
	}
	if rec.settle != nil && !rec.settle() {
		return f.result(Truncated, TurnNotRetained, response.Status)
	}
	return f.result(Completed, "", response.Status)
}

// outputTolerance is the factor on a call's maximum output beyond which a stream counts as one without end.
const outputTolerance = 2

// errOutputTooLong indicates a stream of more events than the call's maximum output allows.
var errOutputTooLong = errors.New("gateway: stream has more events than the call allows")

// exceedsOutput reports whether a stream of that many events is longer than the call allows.
func (f *inFlightCall) exceedsOutput(events int) bool {
	limit := f.call.MaxOutputTokens
	return limit > 0 && events*f.tokensPerEvent() > outputTolerance*limit
}

func (f *inFlightCall) tokensPerEvent() int {
	if f.service.Engine == nil {
		return 1
	}
	return f.service.Engine.TokensPerEvent
}

// forwardHeader sends the response header to the caller, once: a resumed stream keeps that of its
// first replica. It returns false if the caller has disconnected.
func (f *inFlightCall) forwardHeader(response *Response) bool {
	if f.headerSent {
		return true
	}
	f.headerSent = true
	f.firstEventAt = time.Now()
	return f.caller.Begin(response.Status, response.Header, -1) == nil
}

var errCallerDisconnected = errors.New("gateway: caller disconnected")

// forwardEvents forwards events to the caller. The error is errCallerDisconnected, or that for which
// an event can't be retained.
func (f *inFlightCall) forwardEvents(response *Response, events []Event, source *readAhead, rec *streamRecord) error {
	for _, e := range events {
		if !f.forwardHeader(response) {
			return errCallerDisconnected
		}
		// The event counts before it is written: a caller that disconnects may have received it.
		if err := rec.add(e); err != nil {
			return err
		}
		if source.duringWrite(func() error { return f.caller.Write(e.Raw) }) != nil {
			return errCallerDisconnected
		}
	}
	return nil
}
