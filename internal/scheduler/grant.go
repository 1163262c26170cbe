package scheduler

import (
	"context"
	"sync/atomic"
	"time"

	"foxhall/internal/chat"
	"foxhall/internal/engine"
	"foxhall/internal/placement"
	"foxhall/internal/upstream"
)

const (
	// A step's patience is patienceFactor times what is expected, and at least patienceMin.
	progressTimeoutFactor = 4
	progressTimeoutMin    = 3 * time.Second
	// The same for services, by the mean time of a whole call.
	serviceTimeoutFactor = 8
	serviceTimeoutMin    = 10 * time.Second
	// hedgeFactor times the mean call time is when a repeatable call may be sent again.
	hedgeFactor = 3
	// moveTimeMin is the least time given to a move of cache.
	moveTimeoutMin = 200 * time.Millisecond
)

// Grant is the right to send one step to one upstream.
type Grant struct {
	// Upstream is the name and Address the host:port of the upstream.
	Upstream   string
	Address    string
	DataCentre string
	// Model is the name under which the engine serves the model.
	Model string
	// Priority is for engines that honour it; higher goes first.
	Priority int
	// Patience bounds the time to the first token and between chunks: when it
	// is over, the upstream hangs, and a model call is better cancelled and retried.
	ProgressTimeout time.Duration
	// HedgeAfter is when a second copy of the call may be sent, with this
	// upstream in Tried; 0 where it may not.
	HedgeAfter time.Duration
	Decision   placement.Decision

	pool     *pool
	endpoint *upstream.Endpoint
	waiter   *waiter
	// trial is the number of the upstream's trial that this call is, or 0.
	trial        uint64
	sentAt       time.Time
	batchSize    int
	cachedTokens int
	// moveFrom is the engine from which the program's cache should come.
	moveFrom    string
	movedTokens int
	prefillDone atomic.Bool
	done        atomic.Bool
}

// Feedback is what became of a granted step.
type Feedback struct {
	// Cancelled says that the caller gave up; it says nothing about the upstream.
	Cancelled bool
	// Failure is set where there is no whole answer.
	Failure *upstream.Failure
	// Prompt, Output and Cached are the answer's token counts.
	Prompt, Output, Cached int
	FirstToken, Total      time.Duration
	// Message is the answer's message, which the engine now has in its cache.
	Message *chat.Message
}

// FeedbackOf returns the feedback of a completion.
func FeedbackOf(a *engine.Response, err error) Feedback {
	if err != nil {
		failure := upstream.FailureOf(err)
		return Feedback{Failure: &failure}
	}
	return Feedback{
		Prompt:     a.Usage.PromptTokens,
		Output:     a.Usage.CompletionTokens,
		Cached:     a.CachedTokens(),
		FirstToken: a.FirstToken,
		Total:      a.Total,
		Message:    &a.Message,
	}
}

// grant takes a place on the upstream for the step; the pool's lock is held.
func (p *pool) grant(endpoint *upstream.Endpoint, w *waiter, d *placement.Decision, now time.Time) *Grant {
	c := &p.candidates[d.Chosen]
	u := endpoint.Upstream
	g := &Grant{
		Upstream:        u.Name,
		Address:         u.Address,
		DataCentre:      u.DataCentre,
		Model:           endpoint.Serving().Name,
		Priority:        w.request.Priority,
		ProgressTimeout: progressTimeoutOf(w, endpoint, d),
		Decision:        *d,
		pool:            p,
		endpoint:        endpoint,
		waiter:          w,
		sentAt:          now,
		batchSize:       c.Load.Total + 1,
		cachedTokens:    c.Cached,
	}
	if w.request.Service != "" && w.request.Repeatable {
		g.HedgeAfter = time.Duration(hedgeFactor * endpoint.Speed().Call * float64(time.Second))
	}
	p.planMove(g, d)
	u.Begin(now.UnixNano(), g.uncachedTokens(), g.ProgressTimeout)
	p.running++
	return g
}

// patienceOf is how long the upstream may make no progress. An engine's calls
// show progress at their first tokens; a service's show none before their end,
// and its times spread widely, so it is measured by whole calls.
func progressTimeoutOf(w *waiter, endpoint *upstream.Endpoint, d *placement.Decision) time.Duration {
	if w.request.Service != "" {
		mean := time.Duration(endpoint.Speed().Call * float64(time.Second))
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

// planMove lets the program's cache be fetched from the engine that has it,
// where that is quicker than to prefill it again.
func (p *pool) planMove(g *Grant, d *placement.Decision) {
	if d.Estimate.MovedTokens == 0 {
		return
	}
	for i := range p.candidates {
		if c := &p.candidates[i]; c.ID == g.waiter.step.LastUpstream && c.Cached == d.BestCached {
			g.moveFrom = p.scheduler.endpoints(p.key)[c.Index].Upstream.Address
			g.movedTokens = d.Estimate.MovedTokens
		}
	}
}

// note remembers where the step went.
func (s *Scheduler) recordPlacement(g *Grant, now time.Time) {
	r := g.waiter.request
	if r.Model != "" {
		s.view.RecordSent(g.endpoint.Upstream.ID, g.waiter.blockHashes)
		s.programs.recordPlacement(r.programKey(), now, g.endpoint.Upstream)
	} else {
		s.beginToolWait(r, now)
	}
}

// move fetches the program's cache to the chosen engine. Its failure only
// costs the prefill that it was to save, and the time is bounded by that.
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

// Sent notes that the step is about to be sent. Where something had to be done
// between Acquire and the sending, that time does not count against the upstream.
func (g *Grant) Sent() {
	g.sentAt = time.Now()
	g.endpoint.Upstream.Progress(g.sentAt.UnixNano())
}

// FirstToken notes that the answer has begun.
func (g *Grant) FirstToken() {
	g.Progress()
	if g.prefillDone.CompareAndSwap(false, true) {
		g.endpoint.Upstream.Prefilled(g.uncachedTokens())
	}
}

// Progress notes that a part of the answer came.
func (g *Grant) Progress() { g.endpoint.Upstream.Progress(time.Now().UnixNano()) }

// Done gives the place back and feeds back what became of the step. Only the
// first call counts.
func (g *Grant) Done(f Feedback) {
	if !g.done.CompareAndSwap(false, true) {
		return
	}
	now := time.Now()
	u := g.endpoint.Upstream
	if g.prefillDone.CompareAndSwap(false, true) {
		u.Prefilled(g.uncachedTokens())
	}
	u.Finish(now.UnixNano())
	s := g.pool.scheduler
	switch {
	case f.Cancelled: // it says nothing about the upstream
	case f.Failure != nil:
		u.Failed(now, *f.Failure)
		g.markModelUnloaded(f.Failure)
	default:
		u.Succeeded(now)
		s.learn(g, f, now)
	}
	u.ReleaseTrial(g.trial)
	s.programs.addService(rootOf(g.waiter.request), now, now.Sub(g.sentAt))
	if g.waiter.request.Service != "" {
		s.endToolWait(g.waiter.request, now)
	}
	g.pool.slotFreed()
}

// noteUnloaded takes an engine out that no longer has the model, until its
// state shows it again.
func (g *Grant) markModelUnloaded(f *upstream.Failure) {
	if f.NotLoaded && g.waiter.request.Model != "" {
		g.endpoint.SetServing(upstream.Serving{Name: g.Model})
	}
}

// learn takes the figures of an answer into speeds, view and expectations.
func (s *Scheduler) learn(g *Grant, f Feedback, now time.Time) {
	r := g.waiter.request
	g.endpoint.Upstream.ObserveLatency(now, f.Total, g.Decision.Estimate.ExpectedDuration(&g.waiter.step, f.Output))
	sample := upstream.Sample{
		Uncached: f.Prompt - f.Cached, Output: f.Output, Batch: min(g.batchSize, max(1, g.endpoint.Upstream.Slots)),
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
	s.view.ObserveCached(g.endpoint.Upstream.ID, g.cachedTokens, f.Cached)
	if f.Message != nil {
		messages := append(append([]chat.Message(nil), r.Messages...), *f.Message)
		s.view.RecordSent(g.endpoint.Upstream.ID, engine.Blocks(nil, g.waiter.seed, messages)[len(g.waiter.blockHashes):])
	}
}

// Cached returns the prompt's tokens that the upstream was expected to hold.
func (g *Grant) Cached() int { return g.cachedTokens }

// MeanCall returns the learned mean time of a whole call at the upstream; 0
// before the first.
func (g *Grant) MeanCall() time.Duration {
	speed := g.endpoint.Speed()
	if speed.Samples == 0 {
		return 0
	}
	return time.Duration(speed.Call * float64(time.Second))
}
