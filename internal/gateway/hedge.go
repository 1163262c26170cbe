package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/buffer"
)

var (
	errSilent           = errors.New("gateway: attempt superseded: silent while another attempt responded")
	errDataCentreSilent = errors.New("gateway: attempt superseded: no contact with the replica's data centre while another attempt responded")
)

// hedger starts a second attempt, a hedge, while its attempt is silent. The silent attempt stays open
// until the hedge has received its response: a replica that is silent for a while may go on, and the
// hedge may find no replica, or one that refuses it. Silence alone ends no attempt.
//
// Between arm and disarm only hedges change the state of the call. The goroutine that serves the call
// waits for the replica meanwhile.
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
	hedge            *hedge
}

// hedge is a hedge under way.
type hedge struct {
	cancel context.CancelFunc
	// done is closed once the hedge changes nothing more.
	done chan struct{}
	// abandoned is set if the first attempt went on. winner is the hedge's attempt if it took over. Both
	// are guarded by the hedger's lock.
	abandoned bool
	winner    *attemptState
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
	if !h.armed || h.hedge != nil {
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
	ctx, cancel := context.WithCancel(h.ctx)
	h.hedge = &hedge{cancel: cancel, done: make(chan struct{})}
	h.dataCentreSilent = false
	go h.run(ctx, h.hedge, cause)
}

func (h *hedger) run(ctx context.Context, running *hedge, cause error) {
	defer close(running.done)
	a := h.call.makeHedge(ctx, h.attempt, h.exchange, cause)
	if a != nil {
		a.release = running.cancel
	}
	if !h.conclude(running, a, cause) && a != nil {
		h.call.recordAttempt(a, h.call.discard(a))
		h.call.abandon(h.ctx, a, h.attempt.place)
	}
	if a == nil {
		running.cancel()
	}
}

// conclude lets a hedge that has received its response take over, and allows the next hedge after one
// that has not. It returns whether the hedge has taken over.
func (h *hedger) conclude(running *hedge, a *attemptState, cause error) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case running.abandoned:
		return false
	case a != nil:
		running.winner = a
		h.attempt.cancel(cause)
		h.call.gateway.attempts.hedgesWon.Inc(1)
		return true
	case h.armed:
		h.hedge = nil
		if h.silence > 0 {
			h.hedgeAt = time.Now().Add(h.silence)
		}
		h.scheduleLocked()
	}
	return false
}

// disarm ends the time in which hedges are allowed. If the attempt goes on or is complete, the hedge that
// is under way is abandoned; if the attempt has failed, disarm waits for it. It returns the hedge's
// attempt if that has taken over.
func (h *hedger) disarm(goesOn bool) *attemptState {
	running := h.close(goesOn)
	if running == nil {
		return nil
	}
	<-running.done
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hedge = nil
	return running.winner
}

// close stops the timer and returns the hedge that is under way.
func (h *hedger) close(goesOn bool) *hedge {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.armed = false
	if h.timer != nil {
		h.timer.Stop()
	}
	running := h.hedge
	if running != nil && goesOn && running.winner == nil {
		running.abandoned = true
		running.cancel()
	}
	return running
}

// stop ends the notice of the data centre's silence. The hedger must be disarmed.
func (h *hedger) stop() { h.stopNotice() }

// makeHedge makes a second attempt while a is silent. It returns it once it has received its response,
// or nil if it got no place or failed.
func (f *inFlightCall) makeHedge(ctx context.Context, a *attemptState, x *exchange, cause error) *attemptState {
	at := f.placeHedge(ctx, a, cause)
	if at == nil {
		return nil
	}
	f.gateway.attempts.hedges.Inc(1)
	if at != a.place {
		f.triedReplicas = append(f.triedReplicas, at.grant.Upstream)
		at.grant.MarkSent()
	}
	second := f.newAttempt(ctx, at, x.resumeAfter())
	v := x.receive(second)
	if v == complete {
		second.received = true
		return second
	}
	f.recordAttempt(second, v)
	second.end()
	if at != a.place {
		f.reportFailure(ctx, second, v)
		at.leave()
	}
	return nil
}

// placeHedge returns the place of a hedge: another replica if the route allows one more, else the
// same one, since a response or a connection alone may be lost. nil means that there is none.
func (f *inFlightCall) placeHedge(ctx context.Context, a *attemptState, cause error) *place {
	if f.attempts >= maxAttempts || f.isOutOfTime() {
		return nil
	}
	if f.mayFailOver(a.grant) {
		if at, rejected := f.nextPlace(ctx); rejected == nil {
			return at
		}
	}
	if cause == errDataCentreSilent || !f.route.Repeatable() || a.place.retried || f.standing().Rejected() || ctx.Err() != nil {
		return nil
	}
	a.place.retried = true
	return a.place
}

// discard ends an attempt whose response is not used, and returns its verdict.
func (f *inFlightCall) discard(a *attemptState) verdict {
	f.hold.Shrink(buffer.Response, len(a.body))
	a.body = nil
	a.end()
	if a.cancelledBySilence() {
		return unresponsive
	}
	return responseLost
}

// abandon leaves the place of a hedge that did not take over, unless it is that of the first attempt.
func (f *inFlightCall) abandon(ctx context.Context, a *attemptState, first *place) {
	if a.place != first {
		f.reportFailure(a.ctx, a, responseLost)
		a.place.leave()
	}
}
