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
	patienceFactor = 4
	patienceMin    = 3 * time.Second
	// The same for services, by the mean time of a whole call.
	servicePatienceFactor = 8
	servicePatienceMin    = 10 * time.Second
	// hedgeFactor times the mean call time is when a repeatable call may be sent again.
	hedgeFactor = 3
	// moveTimeMin is the least time given to a move of cache.
	moveTimeMin = 200 * time.Millisecond
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

	pool   *pool
	cell   *upstream.Endpoint
	waiter *waiter
	// trial is the number of the upstream's trial that this call is, or 0.
	trial  uint64
	sent   time.Time
	batch  int
	cached int
	// moveFrom is the engine from which the program's cache should come.
	moveFrom  string
	moved     int
	prefilled atomic.Bool
	done      atomic.Bool
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
func (p *pool) grant(cell *upstream.Endpoint, w *waiter, d *placement.Decision, now time.Time) *Grant {
	c := &p.candidates[d.Chosen]
	u := cell.Upstream
	g := &Grant{
		Upstream:        u.Name,
		Address:         u.Address,
		DataCentre:      u.DataCentre,
		Model:           cell.Serving().Name,
		Priority:        w.request.Priority,
		ProgressTimeout: patienceOf(w, cell, d),
		Decision:        *d,
		pool:            p,
		cell:            cell,
		waiter:          w,
		sent:            now,
		batch:           c.Load.Total + 1,
		cached:          c.Cached,
	}
	if w.request.Service != "" && w.request.Repeatable {
		g.HedgeAfter = time.Duration(hedgeFactor * cell.Speed().Call * float64(time.Second))
	}
	p.planMove(g, d)
	u.Begin(now.UnixNano(), g.uncached(), g.ProgressTimeout)
	p.running++
	return g
}

// patienceOf is how long the upstream may make no progress. An engine's calls
// show progress at their first tokens; a service's show none before their end,
// and its times spread widely, so it is measured by whole calls.
func patienceOf(w *waiter, cell *upstream.Endpoint, d *placement.Decision) time.Duration {
	if w.request.Service != "" {
		mean := time.Duration(cell.Speed().Call * float64(time.Second))
		return max(servicePatienceMin, servicePatienceFactor*mean)
	}
	seconds := d.Estimate.Wait + d.Estimate.Prefill
	if w.request.NonStreaming {
		seconds += d.Estimate.Decode
	}
	expected := time.Duration(seconds * float64(time.Second))
	return max(patienceMin, patienceFactor*expected)
}

func (g *Grant) uncached() int { return max(0, g.waiter.prompt-g.cached) }

// planMove lets the program's cache be fetched from the engine that has it,
// where that is quicker than to prefill it again.
func (p *pool) planMove(g *Grant, d *placement.Decision) {
	if d.Estimate.MovedTokens == 0 {
		return
	}
	for i := range p.candidates {
		if c := &p.candidates[i]; c.ID == g.waiter.step.LastUpstream && c.Cached == d.BestCached {
			g.moveFrom = p.scheduler.cells(p.key)[c.Index].Upstream.Address
			g.moved = d.Estimate.MovedTokens
		}
	}
}

// note remembers where the step went.
func (s *Scheduler) note(g *Grant, now time.Time) {
	r := g.waiter.request
	if r.Model != "" {
		s.view.RecordSent(g.cell.Upstream.ID, g.waiter.chain)
		s.programs.placed(r.programKey(), now, g.cell.Upstream)
	} else {
		s.pause(r, now)
	}
}

// move fetches the program's cache to the chosen engine. Its failure only
// costs the prefill that it was to save, and the time is bounded by that.
func (s *Scheduler) move(ctx context.Context, g *Grant) {
	if g.moveFrom == "" {
		return
	}
	limit := time.Duration(float64(g.moved) / g.cell.Speed().Prefill * float64(time.Second))
	ctx, cancel := context.WithTimeout(ctx, max(moveTimeMin, limit))
	defer cancel()
	begin := time.Now()
	order := engine.KVImport{Program: g.waiter.request.Program, From: g.moveFrom}
	if err := s.settings.Mover.ImportKV(ctx, g.Address, order); err != nil {
		s.moves.learn(0, time.Now())
		return
	}
	s.moves.learn(float64(g.moved)/max(1e-3, time.Since(begin).Seconds()), time.Now())
}

// Sent notes that the step is about to be sent. Where something had to be done
// between Acquire and the sending, that time does not count against the upstream.
func (g *Grant) Sent() {
	g.sent = time.Now()
	g.cell.Upstream.Progress(g.sent.UnixNano())
}

// FirstToken notes that the answer has begun.
func (g *Grant) FirstToken() {
	g.Progress()
	if g.prefilled.CompareAndSwap(false, true) {
		g.cell.Upstream.Prefilled(g.uncached())
	}
}

// Progress notes that a part of the answer came.
func (g *Grant) Progress() { g.cell.Upstream.Progress(time.Now().UnixNano()) }

// Done gives the place back and feeds back what became of the step. Only the
// first call counts.
func (g *Grant) Done(f Feedback) {
	if !g.done.CompareAndSwap(false, true) {
		return
	}
	now := time.Now()
	u := g.cell.Upstream
	if g.prefilled.CompareAndSwap(false, true) {
		u.Prefilled(g.uncached())
	}
	u.Finish(now.UnixNano())
	s := g.pool.scheduler
	switch {
	case f.Cancelled: // it says nothing about the upstream
	case f.Failure != nil:
		u.Failed(now, *f.Failure)
		g.noteUnloaded(f.Failure)
	default:
		u.Succeeded(now)
		s.learn(g, f, now)
	}
	u.ReleaseTrial(g.trial)
	s.programs.serve(rootOf(g.waiter.request), now, now.Sub(g.sent))
	if g.waiter.request.Service != "" {
		s.resume(g.waiter.request, now)
	}
	g.pool.freed()
}

// noteUnloaded takes an engine out that no longer has the model, until its
// state shows it again.
func (g *Grant) noteUnloaded(f *upstream.Failure) {
	if f.NotLoaded && g.waiter.request.Model != "" {
		g.cell.SetServing(upstream.Serving{Name: g.Model})
	}
}

// learn takes the figures of an answer into speeds, view and expectations.
func (s *Scheduler) learn(g *Grant, f Feedback, now time.Time) {
	r := g.waiter.request
	g.cell.Upstream.ObserveLatency(now, f.Total, g.Decision.Estimate.Expected(&g.waiter.step, f.Output))
	sample := upstream.Sample{
		Uncached: f.Prompt - f.Cached, Output: f.Output, Batch: min(g.batch, max(1, g.cell.Upstream.Slots)),
		FirstToken: f.FirstToken, Total: f.Total,
	}
	g.cell.Learn(sample)
	if r.Model == "" {
		return
	}
	s.outputs.learn(r.Plan, r.Model, f.Output)
	for _, address := range s.programs.leaveOthers(r.programKey(), g.Address, now) {
		s.release(address, r.Program)
	}
	s.view.ObserveCached(g.cell.Upstream.ID, g.cached, f.Cached)
	if f.Message != nil {
		messages := append(append([]chat.Message(nil), r.Messages...), *f.Message)
		s.view.RecordSent(g.cell.Upstream.ID, engine.Blocks(nil, g.waiter.seed, messages)[len(g.waiter.chain):])
	}
}

// Cached returns the prompt's tokens that the upstream was expected to hold.
func (g *Grant) Cached() int { return g.cached }

// MeanCall returns the learned mean time of a whole call at the upstream; 0
// before the first.
func (g *Grant) MeanCall() time.Duration {
	speed := g.cell.Speed()
	if speed.Samples == 0 {
		return 0
	}
	return time.Duration(speed.Call * float64(time.Second))
}
