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
	maxScanned = 32
	// turnLimit of these are taken in turn from behind the first ones. Else
	// scanLimit steps of a plan whose upstreams are full would hold up every
	// plan behind them, whose upstreams may be idle.
	maxRotated = maxScanned / 2
	// tick is how often waiting steps are looked at without an event: reports
	// age, breakers become due and ramps rise without one.
	scanInterval = 50 * time.Millisecond
	// outageWait is how long a step waits while every upstream is out.
	noUpstreamWait = 2 * time.Second
	// demandMemory is how long a model counts as wanted after its last step, so
	// that one is loaded whose only callers were refused until it is there.
	demandRetention   = 30 * time.Second
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
	lastRequestAt time.Time
	tickScheduled bool
	candidates    []placement.Candidate
	skipped       []*queue.Item[*waiter]
	// turn is where the next pass goes on behind the first steps.
	rotation int
	matches  cache.Matches
	// mean is the mean of the learned speeds, as of meanAt.
	meanSpeed   upstream.Speed
	meanSpeedAt time.Time
}

type waiter struct {
	request      *Request
	step         placement.Step
	seed         string
	blockHashes  []uint64
	promptTokens int
	enqueued     time.Time
	criteria     queue.Criteria
	item         *queue.Item[*waiter]
	granted      chan *Grant
	refused      chan *Refusal
}

func newPool(s *Scheduler, key poolKey) *pool { return &pool{scheduler: s, key: key} }

func (s *Scheduler) newWaiter(r *Request) *waiter {
	now := time.Now()
	w := &waiter{request: r, enqueued: now, granted: make(chan *Grant, 1), refused: make(chan *Refusal, 1)}
	if r.Model != "" {
		w.seed = s.seed(r.Model)
		w.blockHashes, w.promptTokens = r.Blocks, r.PromptTokens
		if w.blockHashes == nil {
			w.blockHashes = engine.Blocks(nil, w.seed, r.Messages)
			w.promptTokens = engine.PromptTokens(r.Messages)
		}
		w.step.Output = r.OutputHint
		if w.step.Output == 0 {
			w.step.Output = s.outputLengths.expect(r.Plan, r.Model, r.MaxTokens)
		}
	}
	s.prepareStep(w, now)
	s.recordKnownCache(w)
	return w
}

// noteHome takes in what other instances know of where the prompt is cached.
// Without it an instance that has just started, or that a program has just come
// to, prefills what stands at another engine.
func (s *Scheduler) recordKnownCache(w *waiter) {
	r := w.request
	if r.LastUpstream == "" || r.LastUpstreamBlocks == 0 {
		return
	}
	if u := s.table.Snapshot().Upstream(r.LastUpstream); u != nil {
		s.view.RecordSent(u.ID, w.blockHashes[:min(len(w.blockHashes), r.LastUpstreamBlocks)])
	}
}

func (s *Scheduler) prepareStep(w *waiter, now time.Time) {
	r := w.request
	w.step.Prompt = w.promptTokens
	w.step.MaxViewAge = s.settings.MaxViewAge
	w.step.LatencyWeight, w.step.CacheWeight = weights(r)
	w.step.Key = programHash(r)
	w.step.Random = s.random()
	w.step.Turn = s.decisionCount.Add(1)
	attained, steps := s.programs.attained(rootOf(r), now)
	w.step.LastUpstream = s.programs.lastUpstream(r.programKey(), now)
	w.criteria = queue.Criteria{
		Enqueued: now,
		Attained: attained,
		Deadline: r.Deadline,
		Priority: r.Priority,
		Critical: r.Critical,
	}
	s.setWantedCopies(w, steps, now)
}

// place takes the step through the queue to a grant or a refusal.
func (p *pool) place(ctx context.Context, w *waiter) (*Grant, *Refusal) {
	if refusal := p.enqueue(w); refusal != nil {
		return nil, refusal
	}
	return p.wait(ctx, w)
}

// enter puts the step into the queue and looks at once whether it can go.
func (p *pool) enqueue(w *waiter) *Refusal {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastRequestAt = w.enqueued
	if refusal := p.shedOnArrival(w); refusal != nil {
		return refusal
	}
	w.item = p.queue.Push(p.queueKey(w), w)
	p.placeWaiting()
	p.scheduleTick()
	return nil
}

// keyOf is the step's place: by whole programs, or first come first served
// where a baseline is measured.
func (p *pool) queueKey(w *waiter) time.Time {
	if p.scheduler.settings.Policy != placement.Cost {
		return w.enqueued
	}
	return w.criteria.Key()
}

// wait blocks until the step is granted, refused or given up.
func (p *pool) wait(ctx context.Context, w *waiter) (*Grant, *Refusal) {
	var expired <-chan time.Time
	if !w.request.Deadline.IsZero() {
		timer := time.NewTimer(time.Until(w.request.Deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case g := <-w.granted:
		return g, nil
	case refusal := <-w.refused:
		return nil, refusal
	case <-ctx.Done():
		p.abandon(w)
		return nil, refuse(step.CodeCancelled, 499, "the caller is gone", 0)
	case <-expired:
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
func (p *pool) placeWaiting() {
	endpoints := p.scheduler.endpoints(p.key)
	now := time.Now()
	p.skipped = p.skipped[:0]
	if !p.placeFirst(endpoints, now) {
		p.placeRotating(endpoints, now)
	}
	for _, item := range p.skipped {
		p.queue.Restore(item)
	}
}

// passFirst looks at the first steps, in order; full is as for try.
func (p *pool) placeFirst(endpoints []*upstream.Endpoint, now time.Time) (full bool) {
	for range maxScanned - maxRotated {
		item := p.queue.Pop()
		if item == nil {
			return false
		}
		settled, full := p.tryPlace(endpoints, item.Value, now)
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
func (p *pool) placeRotating(endpoints []*upstream.Endpoint, now time.Time) {
	for range min(maxRotated, p.queue.Len()) {
		if p.rotation >= p.queue.Len() {
			p.rotation = 0
		}
		item := p.queue.At(p.rotation)
		settled, full := p.tryPlace(endpoints, item.Value, now)
		if full {
			return
		}
		if settled {
			p.queue.Remove(item)
		} else {
			p.rotation++
		}
	}
}

// try settles one step, granted or refused, or leaves it to wait. Full says
// that no upstream has room for any step, so that looking at more is in vain.
func (p *pool) tryPlace(endpoints []*upstream.Endpoint, w *waiter, now time.Time) (settled, full bool) {
	w.step.Waited = now.Sub(w.enqueued)
	d := p.decide(endpoints, w, now)
	if refusal := p.refuseIfLate(w, &d, now); refusal != nil {
		w.refused <- refusal
		return true, false
	}
	if d.Chosen >= 0 && !d.Wait {
		endpoint := endpoints[p.candidates[d.Chosen].Index]
		if trial, ok := endpoint.Upstream.TakeTrial(); ok {
			g := p.grant(endpoint, w, &d, now)
			g.trial = trial
			w.granted <- g
			return true, false
		}
	}
	if !placement.AnyCapable(&d) && w.step.Waited >= noUpstreamWait {
		w.refused <- noUpstreamRefusal(&d)
		return true, false
	}
	return false, d.Rejections[placement.Full] > 0 && d.Rejections[placement.Full] == len(p.candidates)
}

func (p *pool) scheduleTick() {
	if p.tickScheduled || p.queue.Len() == 0 {
		return
	}
	p.tickScheduled = true
	time.AfterFunc(scanInterval, p.onTick)
}

func (p *pool) onTick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tickScheduled = false
	p.placeWaiting()
	p.scheduleTick()
}

// freed lets the next step go after one has ended.
func (p *pool) slotFreed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
	p.placeWaiting()
}

func (p *pool) waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Len()
}

func (p *pool) demand() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := p.queue.Len() + p.running; n > 0 || time.Since(p.lastRequestAt) >= demandRetention {
		return n
	}
	return 1
}
