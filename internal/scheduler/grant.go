package scheduler

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"foxhall/internal/chat"
	"foxhall/internal/engine"
	"foxhall/internal/placement"
	"foxhall/internal/upstream"
)

const (
	// The progress timeout of a model call is progressTimeoutFactor times the expected time
	// without progress, and at least progressTimeoutMin.
	progressTimeoutFactor = 4
	progressTimeoutMin    = 3 * time.Second
	// The progress timeout of a service call is serviceTimeoutFactor times the mean duration of a
	// call, and at least serviceTimeoutMin.
	serviceTimeoutFactor = 8
	serviceTimeoutMin    = 10 * time.Second
	// hedgeFactor times the mean call duration is the delay before a repeatable call is hedged.
	hedgeFactor = 3
	// moveTimeoutMin is the minimum timeout of a cache move.
	moveTimeoutMin = 200 * time.Millisecond
)

// Grant is the right to send one step to one upstream. It occupies a slot there until Done.
type Grant struct {
	// Upstream is the name and Address the host:port of the upstream.
	Upstream   string
	Address    string
	DataCentre string
	// Version is that of the upstream's software; empty if it is not known.
	Version string
	// Model is the name under which the engine serves the model.
	Model string
	// Priority is for engines that support priorities; higher goes first.
	Priority int
	// ProgressTimeout bounds the time to the first token and between chunks. When it expires,
	// the upstream is considered hung, and a model call should be cancelled and retried.
	ProgressTimeout time.Duration
	// HedgeAfter is the delay before a hedged attempt may be sent, with this upstream in Tried;
	// 0 if the call may not be hedged.
	HedgeAfter time.Duration
	Decision   placement.Decision

	pool     *pool
	endpoint *upstream.Endpoint
	waiter   *waiter
	// trial is the number of the half-open trial that this call is, or 0 if it is none.
	trial        uint64
	sentAt       time.Time
	batchSize    int
	cachedTokens int
	// speedKnown is set if the upstream had completed a call when the step was placed.
	speedKnown bool
	// moveFrom is the address of the engine from which the program's cache is to be fetched, or
	// empty if the cache is not moved.
	moveFrom    string
	movedTokens int
	prefillDone atomic.Bool
	done        atomic.Bool
}

// Feedback is the outcome of a granted step.
type Feedback struct {
	// Cancelled reports whether the caller gave up, which is no evidence about the upstream. DeadlinePassed is set if
	// that was for the call's deadline.
	Cancelled, DeadlinePassed bool
	// Failure is set if there is no complete response.
	Failure *upstream.Failure
	// Prompt, Output and CachedTokens are the token counts of the response.
	Prompt, Output, CachedTokens int
	// FirstToken and Total are the times until the first token and until the end.
	FirstToken, Total time.Duration
	// Message is the message of the response, which the engine now has in its cache.
	Message *chat.Message
}

// FeedbackOf returns the feedback for the result of a completion.
func FeedbackOf(a *engine.Response, err error) Feedback {
	if err != nil {
		failure := upstream.FailureOf(err)
		return Feedback{Failure: &failure}
	}
	return Feedback{
		Prompt:       a.Usage.PromptTokens,
		Output:       a.Usage.CompletionTokens,
		CachedTokens: a.CachedTokens(),
		FirstToken:   a.FirstToken,
		Total:        a.Total,
		Message:      &a.Message,
	}
}

// grant takes a slot on the chosen upstream for the step. The caller holds the pool's lock.
func (p *pool) grant(endpoint *upstream.Endpoint, w *waiter, d *placement.Decision, now time.Time) *Grant {
	c := &p.candidates[d.Chosen]
	u := endpoint.Upstream
	g := &Grant{
		Upstream:        u.Name,
		Address:         u.Address,
		DataCentre:      u.DataCentre,
		Version:         u.Version,
		Model:           endpoint.Serving().Name,
		Priority:        w.request.Priority,
		ProgressTimeout: progressTimeoutOf(w, endpoint, d),
		Decision:        *d,
		pool:            p,
		endpoint:        endpoint,
		waiter:          w,
		sentAt:          now,
		batchSize:       c.Load.Total + 1,
		cachedTokens:    c.CachedTokens,
		speedKnown:      c.Speed.Samples > 0,
	}
	if w.request.Service != "" && w.request.Repeatable {
		g.HedgeAfter = time.Duration(hedgeFactor * endpoint.Speed().CallSeconds * float64(time.Second))
	}
	p.planMove(g, d)
	u.Begin(now.UnixNano(), g.uncachedTokens(), g.ProgressTimeout)
	p.recordRecent(u.ID)
	p.running++
	return g
}

// progressTimeoutOf returns how long the upstream may make no progress. A call to an engine makes
// progress with its first token. A call to a service shows none before its end, and service times
// vary widely, so the timeout of a service call is based on the mean duration of a call.
func progressTimeoutOf(w *waiter, endpoint *upstream.Endpoint, d *placement.Decision) time.Duration {
	if w.request.Service != "" {
		mean := time.Duration(endpoint.Speed().CallSeconds * float64(time.Second))
		return max(serviceTimeoutMin, serviceTimeoutFactor*mean)
	}
	seconds := d.Estimate.Wait + d.Estimate.Prefill
	if w.request.NonStreaming {
		seconds += d.Estimate.Decode
	}
	expected := time.Duration(seconds * float64(time.Second))
	return max(progressTimeoutMin, progressTimeoutFactor*expected)
}

func (g *Grant) uncachedTokens() int { return max(0, g.waiter.promptTokens-g.cachedTokens) }

// planMove records from which engine the program's cache is to be fetched, if the decision
// estimated that moving it is faster than prefilling it again.
func (p *pool) planMove(g *Grant, d *placement.Decision) {
	if d.Estimate.MovedTokens == 0 {
		return
	}
	for i := range p.candidates {
		if c := &p.candidates[i]; c.ID == g.waiter.step.LastUpstream && c.CachedTokens == d.BestCached {
			g.moveFrom = p.scheduler.endpoints(p.key)[c.Index].Upstream.Address
			g.movedTokens = d.Estimate.MovedTokens
		}
	}
}

// recordPlacement records where a model step was placed, or that a tool step began.
func (s *Scheduler) recordPlacement(g *Grant, now time.Time) {
	r := g.waiter.request
	if r.Model != "" {
		s.view.RecordSent(g.endpoint.Upstream.ID, g.waiter.blockHashes)
		s.programs.recordPlacement(r.programKey(), now, g.endpoint.Upstream)
	} else {
		s.beginToolWait(r, now)
	}
}

// moveCache fetches the program's cache to the chosen engine. If it fails, the engine prefills the
// tokens instead, so the timeout is the time that this prefill is expected to take.
func (s *Scheduler) moveCache(ctx context.Context, g *Grant) {
	if g.moveFrom == "" {
		return
	}
	limit := time.Duration(float64(g.movedTokens) / g.endpoint.Speed().Prefill * float64(time.Second))
	ctx, cancel := context.WithTimeout(ctx, max(moveTimeoutMin, limit))
	defer cancel()
	begin := time.Now()
	order := engine.KVImport{Program: g.waiter.request.Program, From: g.moveFrom}
	if err := s.settings.Mover.ImportKV(ctx, g.Address, order); err != nil {
		s.moveRates.learn(0, time.Now())
		return
	}
	s.moveRates.learn(float64(g.movedTokens)/max(1e-3, time.Since(begin).Seconds()), time.Now())
}

// MarkSent records that the step is about to be sent. Time spent between Acquire and MarkSent does
// not count against the upstream.
func (g *Grant) MarkSent() {
	g.sentAt = time.Now()
	g.endpoint.Upstream.RecordSent(g.sentAt.UnixNano())
}

// RecordHeader records that the header of the response has arrived.
func (g *Grant) RecordHeader() { g.endpoint.Upstream.RecordHeard(time.Now().UnixNano()) }

// RecordSilence records that the call has waited for so long without a byte of the response.
func (g *Grant) RecordSilence(length time.Duration) {
	g.endpoint.Upstream.RecordSilence(time.Now().UnixNano(), length)
}

// HasBeenHeard reports whether a part of any response has arrived from the upstream after a time.
func (g *Grant) HasBeenHeard(after time.Time) bool {
	return g.endpoint.Upstream.HasBeenHeard(after.UnixNano())
}

// RecordAccepted records that the upstream runs the step.
func (g *Grant) RecordAccepted() { g.endpoint.Upstream.RecordAccepted(g.sentAt) }

// RecordFirstToken records that the response has begun.
func (g *Grant) RecordFirstToken() {
	g.RecordProgress()
	g.RecordAccepted()
	if g.prefillDone.CompareAndSwap(false, true) {
		g.endpoint.Upstream.RecordPrefilled(g.uncachedTokens())
	}
}

// RecordProgress records that a part of the response has arrived.
func (g *Grant) RecordProgress() { g.endpoint.Upstream.RecordProgress(time.Now().UnixNano()) }

// Done releases the slot and records the outcome of the step. Only the first call has an effect.
func (g *Grant) Done(f Feedback) {
	if !g.done.CompareAndSwap(false, true) {
		return
	}
	now := time.Now()
	u := g.endpoint.Upstream
	if g.prefillDone.CompareAndSwap(false, true) {
		u.RecordPrefilled(g.uncachedTokens())
	}
	g.pool.finish(u, now)
	s := g.pool.scheduler
	switch {
	case f.Cancelled: // no evidence about the upstream's health
		if f.DeadlinePassed {
			g.confirmSpeed(now)
		}
	case f.Failure != nil:
		failure := *f.Failure
		failure.SentAt = g.sentAt
		failure.Repeated = slices.Contains(g.waiter.request.RefusedBy, u.Name)
		u.RecordFailure(now, failure)
		g.markModelUnloaded(f.Failure)
	default:
		u.RecordSuccess(now)
		u.RecordAccepted(g.sentAt)
		s.learn(g, f, now)
	}
	u.ReleaseTrial(g.trial)
	s.programs.addService(rootOf(g.waiter.request), now, now.Sub(g.sentAt))
	if g.waiter.request.Service != "" {
		s.endToolWait(g.waiter.request, now)
	}
	g.pool.slotFreed()
}

// confirmSpeed records that the call took at least as long as until now, if its estimate is longer.
//
// It prevents the following failure: calls with too little time are sent to a slow upstream and cut off, one after the
// other, since none of them ends in a response from which an outdated estimate would be renewed.
func (g *Grant) confirmSpeed(now time.Time) {
	if g.speedKnown && g.Decision.Estimate.Total() > now.Sub(g.sentAt).Seconds() {
		g.endpoint.ConfirmSpeed(now)
	}
}

// markModelUnloaded excludes an engine that does not have the model loaded, until its state reports
// the model again.
func (g *Grant) markModelUnloaded(f *upstream.Failure) {
	if f.NotLoaded && g.waiter.request.Model != "" {
		g.endpoint.SetServing(upstream.Serving{Name: g.Model})
	}
}

// learn updates the learned speeds, the cache view and the expected output lengths from a complete
// response.
func (s *Scheduler) learn(g *Grant, f Feedback, now time.Time) {
	r := g.waiter.request
	if g.speedKnown {
		// Against the mean of other upstreams a new one is neither slow nor fast: its learned speed tells that.
		g.endpoint.Upstream.ObserveLatency(now, f.Total, g.Decision.Estimate.ExpectedDuration(&g.waiter.step, f.Output))
	}
	sample := upstream.Sample{
		Uncached: f.Prompt - f.CachedTokens, Output: f.Output, Batch: min(g.batchSize, max(1, g.endpoint.Upstream.Slots)),
		FirstToken: f.FirstToken, Total: f.Total,
	}
	g.endpoint.Learn(sample)
	if r.Model == "" {
		return
	}
	s.outputLengths.learn(r.Plan, r.Model, f.Output)
	for _, address := range s.programs.dropOtherHolders(r.programKey(), g.Address, now) {
		s.release(address, r.Program)
	}
	s.view.ObserveCached(g.endpoint.Upstream.ID, g.cachedTokens, f.CachedTokens)
	if f.Message != nil {
		messages := append(append([]chat.Message(nil), r.Messages...), *f.Message)
		s.view.RecordSent(g.endpoint.Upstream.ID, engine.Blocks(nil, g.waiter.seed, messages)[len(g.waiter.blockHashes):])
	}
}

// Cached returns the number of prompt tokens that the upstream was expected to have cached.
func (g *Grant) Cached() int { return g.cachedTokens }

// MeanCall returns the learned mean duration of a call at the upstream, or 0 before the first call
// has completed.
func (g *Grant) MeanCall() time.Duration {
	speed := g.endpoint.Speed()
	if speed.Samples == 0 {
		return 0
	}
	return time.Duration(speed.CallSeconds * float64(time.Second))
}
