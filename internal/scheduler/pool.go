package scheduler

import (
	"context"
	"sync"
	"time"

	"foxhall/internal/cache"
	"foxhall/internal/engine"
	"foxhall/internal/placement"
	"foxhall/internal/queue"
	"foxhall/internal/step"
	"foxhall/internal/upstream"
)

const (
	// scanLimit bounds the waiting steps that one pass looks at, so that a long
	// queue of steps that cannot go yet does not cost its square.
	scanLimit = 32
	// turnLimit of these are taken in turn from behind the first ones. Else
	// scanLimit steps of a plan whose upstreams are full would hold up every
	// plan behind them, whose upstreams may be idle.
	turnLimit = scanLimit / 2
	// tick is how often waiting steps are looked at without an event: reports
	// age, breakers become due and ramps rise without one.
	tick = 50 * time.Millisecond
	// outageWait is how long a step waits while every upstream is out.
	outageWait = 2 * time.Second
	// demandMemory is how long a model counts as wanted after its last step, so
	// that one is loaded whose only callers were refused until it is there.
	demandMemory      = 30 * time.Second
	defaultQueueLimit = 4096
)

// pool holds the steps that wait for one model or service. Its lock makes
// decisions of one model in this instance one after the other, so that each
// sees what the one before it took; different models do not meet.
type pool struct {
	scheduler *Scheduler
	key       poolKey

	mu      sync.Mutex
	queue   queue.Queue[*waiter]
	running int
	// asked is when the last step came, also if it was refused.
	asked      time.Time
	ticking    bool
	candidates []placement.Candidate
	skipped    []*queue.Item[*waiter]
	// turn is where the next pass goes on behind the first steps.
	turn    int
	matches cache.Matches
	// mean is the mean of the learned speeds, as of meanAt.
	mean   upstream.Speed
	meanAt time.Time
}

type waiter struct {
	request  *Request
	step     placement.Step
	seed     string
	chain    []uint64
	prompt   int
	enqueued time.Time
	position queue.Position
	item     *queue.Item[*waiter]
	granted  chan *Grant
	refused  chan *Refusal
}

func newPool(s *Scheduler, key poolKey) *pool { return &pool{scheduler: s, key: key} }

func (s *Scheduler) newWaiter(r *Request) *waiter {
	now := time.Now()
	w := &waiter{request: r, enqueued: now, granted: make(chan *Grant, 1), refused: make(chan *Refusal, 1)}
	if r.Model != "" {
		w.seed = s.seed(r.Model)
		w.chain, w.prompt = r.Blocks, r.PromptTokens
		if w.chain == nil {
			w.chain = engine.Blocks(nil, w.seed, r.Messages)
			w.prompt = engine.PromptTokens(r.Messages)
		}
		w.step.Output = r.OutputHint
		if w.step.Output == 0 {
			w.step.Output = s.outputs.expect(r.Plan, r.Model, r.MaxTokens)
		}
	}
	s.describe(w, now)
	s.noteHome(w)
	return w
}

// noteHome takes in what other instances know of where the prompt is cached.
// Without it an instance that has just started, or that a program has just come
// to, prefills what stands at another engine.
func (s *Scheduler) noteHome(w *waiter) {
	r := w.request
	if r.LastUpstream == "" || r.LastUpstreamBlocks == 0 {
		return
	}
	if u := s.table.Snapshot().Upstream(r.LastUpstream); u != nil {
		s.view.RecordSent(u.ID, w.chain[:min(len(w.chain), r.LastUpstreamBlocks)])
	}
}

func (s *Scheduler) describe(w *waiter, now time.Time) {
	r := w.request
	w.step.Prompt = w.prompt
	w.step.MaxViewAge = s.settings.MaxViewAge
	w.step.LatencyWeight, w.step.CacheWeight = weights(r)
	w.step.Key = keyOf(r)
	w.step.Random = s.random()
	w.step.Turn = s.turn.Add(1)
	attained, steps := s.programs.attained(rootOf(r), now)
	w.step.LastUpstream = s.programs.home(r.programKey(), now)
	w.position = queue.Position{
		Enqueued: now,
		Attained: attained,
		Deadline: r.Deadline,
		Priority: r.Priority,
		Critical: r.Critical,
	}
	s.wantReplicas(w, steps, now)
}

// place takes the step through the queue to a grant or a refusal.
func (p *pool) place(ctx context.Context, w *waiter) (*Grant, *Refusal) {
	if refusal := p.enter(w); refusal != nil {
		return nil, refusal
	}
	return p.wait(ctx, w)
}

// enter puts the step into the queue and looks at once whether it can go.
func (p *pool) enter(w *waiter) *Refusal {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked = w.enqueued
	if refusal := p.shed(w); refusal != nil {
		return refusal
	}
	w.item = p.queue.Push(p.keyOf(w), w)
	p.pass()
	p.startTick()
	return nil
}

// keyOf is the step's place: by whole programs, or first come first served
// where a baseline is measured.
func (p *pool) keyOf(w *waiter) time.Time {
	if p.scheduler.settings.Policy != placement.Cost {
		return w.enqueued
	}
	return w.position.Key()
}

// wait blocks until the step is granted, refused or given up.
func (p *pool) wait(ctx context.Context, w *waiter) (*Grant, *Refusal) {
	var late <-chan time.Time
	if !w.request.Deadline.IsZero() {
		timer := time.NewTimer(time.Until(w.request.Deadline))
		defer timer.Stop()
		late = timer.C
	}
	select {
	case g := <-w.granted:
		return g, nil
	case refusal := <-w.refused:
		return nil, refusal
	case <-ctx.Done():
		p.abandon(w)
		return nil, refuse(step.CodeCancelled, 499, "the caller is gone", 0)
	case <-late:
		p.abandon(w)
		return nil, refuse(step.CodeDeadline, 504, "the deadline passed in the queue; not run", time.Second)
	}
}

// abandon takes a step out that nobody waits for.
func (p *pool) abandon(w *waiter) {
	p.mu.Lock()
	removed := p.queue.Remove(w.item)
	p.mu.Unlock()
	if removed {
		return
	}
	select {
	case g := <-w.granted:
		g.Done(Feedback{Cancelled: true})
	default:
	}
}

// pass lets waiting steps go, in order, as far as there is room. A step that
// would rather wait for its own engine does not hold up those behind it.
func (p *pool) pass() {
	cells := p.scheduler.cells(p.key)
	now := time.Now()
	p.skipped = p.skipped[:0]
	if !p.passFirst(cells, now) {
		p.passTurn(cells, now)
	}
	for _, item := range p.skipped {
		p.queue.Restore(item)
	}
}

// passFirst looks at the first steps, in order; full is as for try.
func (p *pool) passFirst(cells []*upstream.Endpoint, now time.Time) (full bool) {
	for range scanLimit - turnLimit {
		item := p.queue.Pop()
		if item == nil {
			return false
		}
		settled, full := p.try(cells, item.Value, now)
		if !settled {
			p.skipped = append(p.skipped, item)
		}
		if full {
			return true
		}
	}
	return false
}

// passTurn looks at some of the steps behind the first, going on where the
// last pass ended, so that each has its turn.
func (p *pool) passTurn(cells []*upstream.Endpoint, now time.Time) {
	for range min(turnLimit, p.queue.Len()) {
		if p.turn >= p.queue.Len() {
			p.turn = 0
		}
		item := p.queue.At(p.turn)
		settled, full := p.try(cells, item.Value, now)
		if full {
			return
		}
		if settled {
			p.queue.Remove(item)
		} else {
			p.turn++
		}
	}
}

// try settles one step, granted or refused, or leaves it to wait. Full says
// that no upstream has room for any step, so that looking at more is in vain.
func (p *pool) try(cells []*upstream.Endpoint, w *waiter, now time.Time) (settled, full bool) {
	w.step.Waited = now.Sub(w.enqueued)
	d := p.decide(cells, w, now)
	if refusal := p.tooLate(w, &d, now); refusal != nil {
		w.refused <- refusal
		return true, false
	}
	if d.Chosen >= 0 && !d.Wait {
		cell := cells[p.candidates[d.Chosen].Index]
		if trial, ok := cell.Upstream.TakeTrial(); ok {
			g := p.grant(cell, w, &d, now)
			g.trial = trial
			w.granted <- g
			return true, false
		}
	}
	if !placement.AnyCapable(&d) && w.step.Waited >= outageWait {
		w.refused <- noUpstream(&d)
		return true, false
	}
	return false, d.Rejections[placement.Full] > 0 && d.Rejections[placement.Full] == len(p.candidates)
}

func (p *pool) startTick() {
	if p.ticking || p.queue.Len() == 0 {
		return
	}
	p.ticking = true
	time.AfterFunc(tick, p.onTick)
}

func (p *pool) onTick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ticking = false
	p.pass()
	p.startTick()
}

// freed lets the next step go after one has ended.
func (p *pool) freed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
	p.pass()
}

func (p *pool) waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Len()
}

func (p *pool) demand() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := p.queue.Len() + p.running; n > 0 || time.Since(p.asked) >= demandMemory {
		return n
	}
	return 1
}
