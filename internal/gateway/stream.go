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

const readSize = 16 << 10

// record is what was passed on of a stream, over all its runs.
type record struct {
	// keep says that the events' data are needed afterwards.
	keep   bool
	events int
	data   [][]byte
	lastID string
	// settle is called before the end of a whole answer is passed on; nil for none.
	settle func() bool
}

func (r *record) add(e Event) {
	r.events++
	if e.ID != "" {
		r.lastID = e.ID
	}
	if r.keep {
		r.data = append(r.data, e.Data)
	}
}

// stream serves a call whose answer is a stream of events.
func (f *flight) stream(ctx context.Context, rec *record) Result {
	for {
		grant, refusal := f.acquire(ctx)
		if refusal != nil {
			return f.giveUp(lost, refusal)
		}
		v, result := f.runOn(ctx, grant, rec)
		if v == whole {
			return result
		}
		f.tried = append(f.tried, grant.Upstream)
		if !f.mayGoOn(ctx) {
			return f.giveUp(v, nil)
		}
	}
}

// runOn runs the stream on the granted replica. A stream that may be resumed
// goes on there once more after a broken answer: the replica has its prompt.
func (f *flight) runOn(ctx context.Context, g *scheduler.Grant, rec *record) (verdict, Result) {
	v, answer, result := f.runOnce(ctx, g, rec)
	if f.route.Resumable && f.mayAnswer(ctx, g, v) {
		var second verdict
		second, answer, result = f.runOnce(ctx, g, rec)
		v = v.then(second)
	}
	if v != whole {
		f.report(ctx, g, answer, v)
	}
	return v, result
}

// runOnce sends the call once and passes events on until the stream ends.
func (f *flight) runOnce(ctx context.Context, g *scheduler.Grant, rec *record) (verdict, *Response, Result) {
	if f.mayLeave(g) {
		silent, stop := f.untilSilent(ctx, g)
		defer stop()
		ctx = silent
	}
	ctx, watch := f.watch(ctx, g)
	defer watch.stop()
	s := &sending{grant: g, began: time.Now()}
	before := rec.events
	v, answer, result := f.follow(ctx, s, rec, watch)
	s.events = rec.events - before
	f.sendingEnded(ctx, s, v)
	return v, answer, result
}

// follow sends the call and passes on what comes.
func (f *flight) follow(ctx context.Context, s *sending, rec *record, watch *watchdog) (verdict, *Response, Result) {
	answer, err := f.sendTo(ctx, s.grant, f.resumePoint(rec))
	if err != nil {
		return s.failedAs(ctx, err), nil, Result{}
	}
	defer answer.Close()
	if v := judge(answer); v != whole {
		return v, answer, Result{}
	}
	if answer.Status >= 300 {
		v, result := f.passFailure(s, answer)
		return v, answer, result
	}
	v, result := f.relay(ctx, s, answer, rec, watch)
	return v, answer, result
}

func (f *flight) resumePoint(rec *record) string {
	if rec.lastID != "" {
		return rec.lastID
	}
	return f.call.ResumeAfter
}

// passFailure passes on a replica's own failure.
func (f *flight) passFailure(s *sending, a *Response) (verdict, Result) {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxAnswer))
	if err != nil || f.begun {
		s.err = err
		return lost, Result{}
	}
	s.grant.Done(scheduler.Feedback{Failure: ownFailure(a.Status), Cancelled: ownFailure(a.Status) == nil})
	return whole, f.pass(a, body)
}

// ownFailure is what a replica's answer with the status says against it: nothing
// where the call was at fault, or its time was over.
func ownFailure(status int) *upstream.Failure {
	if status < http.StatusInternalServerError || status == http.StatusGatewayTimeout {
		return nil
	}
	return &upstream.Failure{Kind: upstream.Errored}
}

// relay passes on whole events as they come.
func (f *flight) relay(ctx context.Context, s *sending, a *Response, rec *record, watch *watchdog) (verdict, Result) {
	var split splitter
	var first time.Duration
	before := rec.events
	buffer := make([]byte, readSize)
	for {
		n, err := a.Body.Read(buffer)
		if n > 0 {
			events := split.add(buffer[:n])
			if len(events) > 0 {
				if first == 0 {
					first = time.Since(s.began)
					s.grant.FirstToken()
				}
				s.grant.Progress()
				watch.progress()
			}
			if !f.passEvents(a, events, rec) {
				s.grant.Done(scheduler.Feedback{Cancelled: true})
				return whole, f.end(CallerGone, CallerDisconnected, a.Status)
			}
		}
		if err == nil {
			continue
		}
		if err != io.EOF || split.rest() {
			return s.failedAs(ctx, err), Result{}
		}
		made := (rec.events - before) * f.tokensPerEvent()
		s.grant.Done(scheduler.Feedback{
			Prompt: f.call.PromptTokens, Cached: s.grant.Cached(), Output: made,
			FirstToken: first, Total: time.Since(s.began),
		})
		return whole, f.finish(a, rec)
	}
}

const (
	// A stream that may be resumed is left without an event for firstFactor
	// times the expected time to the first, or gapFactor times the longest
	// pause that is on time, before its connection is closed and it is resumed.
	// An answer that is lost never comes; a replica that is only slow loses the
	// prefill of one prompt, which it still has cached.
	firstFactor = 4
	firstLeast  = 800 * time.Millisecond
	gapFactor   = 2
)

// watchdog ends a run that makes no progress.
type watchdog struct {
	timer  *time.Timer
	gap    time.Duration
	cancel context.CancelCauseFunc
}

var errStalled = errors.New("gateway: the replica makes no progress")

// watch returns a context that ends when the run hangs, where it may be resumed.
func (f *flight) watch(ctx context.Context, g *scheduler.Grant) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watchdog{cancel: cancel, gap: gapFactor * f.route.GapObjective}
	if f.route.Resumable && w.gap > 0 {
		e := g.Decision.Estimate
		expected := time.Duration((e.Wait + e.Prefill) * float64(time.Second))
		w.timer = time.AfterFunc(max(firstLeast, firstFactor*expected), func() { cancel(errStalled) })
	}
	return ctx, w
}

func (w *watchdog) progress() {
	if w.timer != nil {
		w.timer.Reset(w.gap)
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
func (f *flight) finish(a *Response, rec *record) Result {
	if !f.begin(a) {
		return f.end(CallerGone, CallerDisconnected, a.Status)
	}
	if rec.settle != nil && !rec.settle() {
		return f.end(Truncated, TurnNotRetained, a.Status)
	}
	return f.end(Answered, "", a.Status)
}

func (f *flight) tokensPerEvent() int {
	if f.service.Engine == nil {
		return 1
	}
	return f.service.Engine.TokensPerEvent
}

// begin passes the head on, once: a resumed stream keeps its first replica's.
func (f *flight) begin(a *Response) bool {
	if f.begun {
		return true
	}
	f.begun = true
	f.firstAt = time.Now()
	return f.caller.Begin(a.Status, a.Header, -1) == nil
}

func (f *flight) passEvents(a *Response, events []Event, rec *record) bool {
	for _, e := range events {
		if !f.begin(a) {
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
