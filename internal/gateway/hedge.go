package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/buffer"
	"foxhall/internal/quarantine"
	"foxhall/internal/scheduler"
)

var (
	errSilent           = errors.New("gateway: attempt superseded: silent while another attempt responded")
	errDataCentreSilent = errors.New("gateway: attempt superseded: no contact with the replica's data centre while another attempt responded")
	errAbandoned        = errors.New("gateway: hedge abandoned: the silent attempt went on, or failed before the hedge was sent")
)

// hedger starts another attempt, a hedge, while its attempt is silent. The silent attempt stays open
// until the hedge has received its response: a replica that is silent for a while may go on, and the
// hedge may find no replica, or one that refuses it or is silent too. Silence alone ends no attempt.
// A hedge has a hedger of its own.
//
// Between arm and disarm only the hedge's goroutine changes the state of the call. The goroutine of the
// attempt waits for the replica meanwhile.
type hedger struct {
	call     *inFlightCall
	ctx      context.Context
	attempt  *attemptState
	exchange *exchange
	// stopNotice ends the notice of the data centre's silence.
	stopNotice func()

	mu    sync.Mutex
	armed bool
	timer *time.Timer
	// hedgeAt is when the attempt will have been silent for too long; zero for never.
	hedgeAt time.Time
	// silence is the time that the attempt may be silent, also after a hedge that failed.
	silence time.Duration
	// dataCentreSilent is set if the replica's data centre has fallen silent and no hedge was started
	// for it.
	dataCentreSilent bool
	// failed is set once the attempt has failed by itself.
	failed bool
	hedge  *hedge
}

// hedge is a hedge under way, which may make several attempts.
type hedge struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	// done is closed once the hedge changes nothing more.
	done chan struct{}
	// abandoned is set once the hedge may not take over. sent is set while an attempt of the hedge is
	// open. winner is the attempt with which the hedge took over. All are guarded by the hedger's lock.
	abandoned, sent bool
	winner          *attemptState
}

func (f *inFlightCall) newHedger(ctx context.Context, a *attemptState, x *exchange) *hedger {
	h := &hedger{call: f, ctx: ctx, attempt: a, exchange: x, stopNotice: func() {}, silence: x.silence(a.grant)}
	if h.silence > 0 {
		h.hedgeAt = a.began.Add(h.silence)
	}
	if f.mayFailOver(a.grant) {
		h.stopNotice = f.gateway.settings.OnSilence(a.grant.DataCentre, h.onDataCentreSilence)
	}
	return h
}

// arm allows hedges until disarm.
func (h *hedger) arm() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.armed = true
	h.scheduleLocked()
	if h.dataCentreSilent {
		h.startLocked(errDataCentreSilent)
	}
}

// scheduleLocked sets the timer for the next hedge; the lock is held.
func (h *hedger) scheduleLocked() {
	if h.hedgeAt.IsZero() {
		return
	}
	after := max(0, time.Until(h.hedgeAt))
	if h.timer == nil {
		h.timer = time.AfterFunc(after, h.onSilence)
		return
	}
	h.timer.Reset(after)
}

// recordProgress records that the attempt has made progress, and that it may be silent for some time
// from now on.
func (h *hedger) recordProgress(silence time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.silence = silence; silence > 0 {
		h.hedgeAt = time.Now().Add(silence)
	}
}

func (h *hedger) onSilence() {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case !h.armed || h.hedge != nil:
		return
	case h.silence == 0:
		h.startLocked(errDataCentreSilent)
		return
	}
	h.attempt.grant.RecordSilence(h.silence)
	if h.call.route.Repeatable() {
		h.startLocked(errSilent)
		return
	}
	h.hedgeAt = time.Now().Add(h.silence)
	h.scheduleLocked()
}

func (h *hedger) onDataCentreSilence() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dataCentreSilent = true
	h.startLocked(errDataCentreSilent)
}

// startLocked starts a hedge, unless one is under way; the lock is held.
func (h *hedger) startLocked(cause error) {
	if !h.armed || h.hedge != nil || h.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancelCause(h.ctx)
	h.hedge = &hedge{ctx: ctx, cancel: cancel, done: make(chan struct{})}
	h.dataCentreSilent = false
	go h.run(h.hedge, cause)
}

// run makes attempts until one has received its response and takes over, or none is left.
func (h *hedger) run(running *hedge, cause error) {
	defer close(running.done)
	a := h.search(running, cause)
	if a == nil {
		running.cancel(nil)
		h.allowNext(running)
		return
	}
	a.releases = append(a.releases, func() { running.cancel(nil) })
	if !h.takeOver(running, a, cause) {
		h.call.abandon(a)
	}
}

// search makes attempts until one has received its response, or may have run without one.
func (h *hedger) search(running *hedge, cause error) *attemptState {
	for {
		at, shared := h.call.placeHedge(running.ctx, h.attempt, cause)
		if at == nil {
			return nil
		}
		if !h.beginAttempt(running) {
			if !shared {
				at.grant.Done(scheduler.Feedback{Cancelled: true})
				at.leave()
			}
			return nil
		}
		a, v := h.call.tryHedge(running.ctx, at, shared, h.exchange)
		if v == complete {
			return a
		}
		h.endAttempt(running)
		if v.mayHaveRun() {
			return nil
		}
	}
}

// beginAttempt reports whether the hedge may be sent.
func (h *hedger) beginAttempt(running *hedge) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	running.sent = !running.abandoned
	return running.sent
}

// endAttempt records that the hedge's attempt has failed.
func (h *hedger) endAttempt(running *hedge) {
	h.mu.Lock()
	defer h.mu.Unlock()
	running.sent = false
	running.abandoned = running.abandoned || h.failed
}

// takeOver lets a hedge that has received its response take over. It returns false if the hedge was
// abandoned.
func (h *hedger) takeOver(running *hedge, a *attemptState, cause error) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if running.abandoned {
		return false
	}
	running.winner = a
	if !h.failed {
		h.attempt.cancel(cause)
	}
	h.call.gateway.attempts.hedgesWon.Inc(1)
	return true
}

// allowNext allows the next hedge after one that has failed.
func (h *hedger) allowNext(running *hedge) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if running.abandoned || !h.armed {
		return
	}
	h.hedge = nil
	h.hedgeAt = time.Now().Add(max(h.silence, minAttemptTimeout))
	h.scheduleLocked()
}

// disarm ends the time in which hedges are allowed. If the attempt goes on or is complete, the hedge that
// is under way is abandoned; if the attempt has failed, disarm waits for the hedge if that was sent. It
// returns the hedge's attempt if that has taken over.
func (h *hedger) disarm(goesOn bool) *attemptState {
	running := h.endWait(goesOn)
	if running == nil {
		return nil
	}
	<-running.done
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hedge = nil
	return running.winner
}

// endWait stops the timer and returns the hedge that is under way, which it abandons if it is of no use.
func (h *hedger) endWait(goesOn bool) *hedge {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.armed, h.failed = false, !goesOn
	h.attempt.failed.Store(!goesOn)
	if h.timer != nil {
		h.timer.Stop()
	}
	running := h.hedge
	if running != nil && running.winner == nil && (goesOn || !running.sent) {
		running.abandoned = true
		running.cancel(errAbandoned)
	}
	return running
}

// stop ends the notice of the data centre's silence. The hedger must be disarmed.
func (h *hedger) stop() { h.stopNotice() }

// placeHedge returns the place of a hedge: another replica if the route allows one more, else that of
// the silent attempt, which is shared then, since a response or a connection alone may be lost. nil means
// that there is none.
func (f *inFlightCall) placeHedge(ctx context.Context, silent *attemptState, cause error) (at *place, shared bool) {
	if f.attempts-f.refusals >= maxAttempts || f.hedges >= maxHedges || f.isOutOfTime() || f.mayEndTooMany() {
		return nil, false
	}
	if f.mayFailOver(silent.grant) {
		if at, rejected := f.nextPlace(ctx, true); rejected == nil {
			return at, false
		}
	}
	if cause == errDataCentreSilent || !f.route.Repeatable() || silent.place.retried || f.standing().Rejected() || ctx.Err() != nil || !f.maySend(silent.grant) {
		return nil, false
	}
	silent.place.retried = true
	return silent.place, true
}

// mayEndTooMany reports whether another attempt might end one replica more than may end under a content,
// if the open attempts end theirs.
//
// It prevents the following failures: a hedge is sent while the replica of its silent attempt ends under
// the content, as the third one; or while attempts that have ended their replicas wait for their hedges,
// so that nothing is recorded of these ends.
func (f *inFlightCall) mayEndTooMany() bool {
	s := f.standing()
	suspected := s.Suspected() || slices.ContainsFunc(f.open, func(a *attemptState) bool { return a.failed.Load() })
	return suspected && s.Ends+s.Doubts+len(f.open) >= quarantine.MaxEnds
}

// tryHedge makes an attempt of a hedge. It returns the attempt that has received its response, which may
// be a hedge of it, or the verdict of one that has failed.
func (f *inFlightCall) tryHedge(ctx context.Context, at *place, shared bool, x *exchange) (*attemptState, verdict) {
	f.gateway.attempts.hedges.Inc(1)
	f.hedges++
	if !shared {
		f.triedReplicas = append(f.triedReplicas, at.grant.Upstream)
		at.grant.MarkSent()
	}
	a := f.newAttempt(ctx, at, x.resumeAfter())
	a.sharesPlace = shared
	a.hold = f.gateway.NewHold()
	f.hedgeHolds = append(f.hedgeHolds, a.hold)
	h := f.newHedger(ctx, a, x)
	defer h.stop()
	h.arm()
	v := x.receiveHedge(a)
	if v == complete && !f.mayTakeOver(a) {
		v = invalidResponse
	}
	next := h.disarm(v == complete)
	if v == complete && next == nil {
		a.received = true
		return a, complete
	}
	f.endHedge(ctx, a, v, next)
	if next != nil {
		return next, complete
	}
	return nil, v
}

// mayTakeOver reports whether the response of a hedge is of use while another attempt is open: one that
// goes on is better than a failure.
func (f *inFlightCall) mayTakeOver(a *attemptState) bool {
	status := a.response.Status
	return status < 300 || status < 500 && !f.headerSent
}

// endHedge ends an attempt of a hedge that failed, or that another one, next, has superseded.
func (f *inFlightCall) endHedge(ctx context.Context, a *attemptState, v verdict, next *attemptState) {
	if v == complete {
		v = f.discard(a)
	}
	f.recordAttempt(a, v)
	a.end()
	a.hold.Release()
	if next != nil && next.place == a.place {
		next.sharesPlace = a.sharesPlace
		return
	}
	takenBack := next == nil && v == noFreeConnection && f.takeBack(a)
	if takenBack {
		f.hedges--
	}
	if a.sharesPlace {
		return
	}
	if !takenBack {
		f.reportFailure(ctx, a, v)
		if a.mayAcceptLater(v) {
			f.allowAgain(a, v)
		}
	}
	a.place.leave()
}

// discard ends an attempt whose response is not used, and returns its verdict.
func (f *inFlightCall) discard(a *attemptState) verdict {
	a.hold.Shrink(buffer.Response, len(a.body))
	a.body = nil
	a.end()
	if a.supersededInDataCentreSilence() {
		return unresponsive
	}
	return responseLost
}

// abandon ends the attempt of a hedge that may not take over.
func (f *inFlightCall) abandon(a *attemptState) {
	f.recordAttempt(a, f.discard(a))
	a.hold.Release()
	if !a.sharesPlace {
		a.grant.Done(scheduler.Feedback{Cancelled: true})
		a.place.leave()
	}
}
