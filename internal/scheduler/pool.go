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
	// maxScanned bounds the number of waiting steps that one scan of the queue considers. Without
	// a bound, the cost of a long queue of blocked steps would be quadratic in its length.
	maxScanned = 32
	// maxRotated is how many of the maxScanned steps are taken in rotation from behind the first
	// ones. Otherwise maxScanned steps of a plan whose upstreams are full would block all plans
	// behind them, whose upstreams may be idle.
	maxRotated = maxScanned / 2
	// scanInterval is how often the queue is scanned without an event. Load reports age, circuit
	// breakers reach their half-open trial and concurrency limits ramp up with time alone.
	scanInterval = 50 * time.Millisecond
	// noUpstreamWait is how long a step waits while no upstream is usable, which leaves it time at another
	// instance that may reach some. It is also the Retry-After value of the refusal that follows.
	noUpstreamWait = 2 * time.Second
	// demandRetention is how long a model counts as in demand after its last step. Without it, a
	// model would not be loaded if all its callers are refused until it is.
	demandRetention   = 30 * time.Second
	defaultQueueLimit = 4096
)

// pool queues the steps that wait for one model or service. Its lock serializes the decisions for
// one model in this instance, so that each sees the slots taken by the one before it. Different
// models do not contend.
type pool struct {
	scheduler *Scheduler
	key       poolKey

	mu      sync.Mutex
	queue   queue.Queue[*waiter]
	running int
	// lastRequestAt is when the last step arrived, even if it was refused.
	lastRequestAt time.Time
	tickScheduled bool
	// maxConnections is that of the latest request, which holds for all waiting steps.
	maxConnections int
	// byUrgency is set if the steps are ordered and placed by urgency. The next four fields are used
	// only then; nextChange is when the order of the waiting steps changes next, zero for never.
	byUrgency  bool
	nextChange time.Time
	scan       scanState
	capacity   capacity
	placed     placementRate
	candidates []placement.Candidate
	skipped    []*queue.Item[*waiter]
	// rotation is the queue index at which placeRotating continues.
	rotation int
	matches  cache.Matches
	// recent are the upstreams used last, the latest at the end. extra is scratch space of fillSample.
	recent, extra []uint32
}

type waiter struct {
	request      *Request
	step         placement.Step
	seed         string
	blockHashes  []uint64
	promptTokens int
	enqueued     time.Time
	// searchedAt is when the latest decision over all upstreams left the step waiting.
	searchedAt time.Time
	criteria   queue.Criteria
	// urgent is set only if byUrgency is.
	byUrgency bool
	urgent    urgentStep
	item      *queue.Item[*waiter]
	granted   chan *Grant
	refused   chan *Refusal
}

func newPool(s *Scheduler, key poolKey) *pool {
	return &pool{scheduler: s, key: key, byUrgency: s.ordersByUrgency(key)}
}

func (s *Scheduler) newWaiter(r *Request) *waiter {
	now := time.Now()
	w := &waiter{request: r, enqueued: now, granted: make(chan *Grant, 1), refused: make(chan *Refusal, 1)}
	if r.Model != "" {
		w.seed = s.seed(r.Model)
		w.blockHashes, w.promptTokens = r.BlockHashes, r.PromptTokens
		if w.blockHashes == nil {
			w.blockHashes = engine.Blocks(nil, w.seed, r.Messages)
			w.promptTokens = engine.PromptTokens(r.Messages)
		}
		w.step.OutputTokens = r.OutputHint
		if w.step.OutputTokens == 0 {
			w.step.OutputTokens = s.outputLengths.expect(r.Plan, r.Model, r.MaxOutputTokens)
		}
	}
	s.prepareStep(w, now)
	s.recordKnownCache(w)
	return w
}

// recordKnownCache adds to the cache view what other instances know about where the prompt is
// cached. Without it, an instance that has just started or that receives its first step of a
// program would choose an engine that has to prefill what another engine has cached.
func (s *Scheduler) recordKnownCache(w *waiter) {
	r := w.request
	if r.LastUpstream == "" || r.LastUpstreamBlocks == 0 {
		return
	}
	if u := s.table.Snapshot().Upstream(r.LastUpstream); u != nil {
		s.view.RecordSent(u.ID, w.blockHashes[:min(len(w.blockHashes), r.LastUpstreamBlocks)])
	}
}

// prepareStep sets the inputs of the placement decision and the criteria of the queue.
func (s *Scheduler) prepareStep(w *waiter, now time.Time) {
	r := w.request
	w.step.PromptTokens = w.promptTokens
	w.step.MaxViewAge = s.settings.MaxViewAge
	w.step.LatencyWeight, w.step.CacheWeight = weights(r)
	w.step.ProgramHash = programHash(r)
	w.step.Random = s.random()
	w.step.DecisionNumber = s.decisionCount.Add(1)
	attained, steps := s.programs.attained(rootOf(r), now)
	w.step.LastUpstream = s.programs.lastUpstream(r.programKey(), now)
	w.criteria = queue.Criteria{
		Enqueued: r.arrivedBy(now),
		Attained: attained,
		Deadline: r.Deadline,
		Priority: r.Priority,
		Critical: r.Critical,
	}
	s.setWantedCopies(w, steps, now)
}

const (
	// freeRefusals is the number of refusals by upstreams that cost a step nothing of its place in the order of arrival;
	// each further one costs refusalDelay.
	freeRefusals = 4
	refusalDelay = 100 * time.Millisecond
)

// arrivedBy returns when the step counts as arrived: when its call did, which is now if that is not known, or later if
// upstreams have refused it often. A step that none accepts would else take each place first that becomes free.
func (r *Request) arrivedBy(now time.Time) time.Time {
	if r.Arrived.IsZero() {
		return now
	}
	arrived := r.Arrived.Add(time.Duration(max(0, r.Refusals-freeRefusals)) * refusalDelay)
	if arrived.After(now) {
		return now
	}
	return arrived
}

// place queues the step and waits for a grant or a refusal.
func (p *pool) place(ctx context.Context, w *waiter) (*Grant, *Refusal) {
	if refusal := p.enqueue(w); refusal != nil {
		return nil, refusal
	}
	return p.wait(ctx, w)
}

// enqueue adds the step to the queue, unless it is shed, and scans the queue at once.
func (p *pool) enqueue(w *waiter) *Refusal {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastRequestAt = w.enqueued
	p.setMaxConnections(w.request.MaxConnections)
	if p.byUrgency {
		return p.enqueueByUrgency(w)
	}
	if refusal := p.shedOnArrival(w); refusal != nil {
		return refusal
	}
	w.item = p.queue.Push(p.queueKey(w), w)
	p.placeWaiting()
	p.scheduleTick()
	return nil
}

// setMaxConnections applies a change of the limit of connections to the waiting steps. They would else wait
// for fewer connections than may be open, and a scan that finds all upstreams full for them ends there.
func (p *pool) setMaxConnections(limit int) {
	if limit == p.maxConnections {
		return
	}
	p.maxConnections = limit
	for i := range p.queue.Len() {
		p.queue.At(i).Value.request.MaxConnections = limit
	}
}

// enqueueByUrgency is enqueue in a pool that is ordered by urgency.
func (p *pool) enqueueByUrgency(w *waiter) *Refusal {
	now := w.enqueued
	w.byUrgency = true
	p.setOrder(w, p.scheduler.endpoints(p.key), now)
	if m := p.scheduler.urgencyMetrics; m != nil {
		m.classes[w.urgent.state.Class].Inc(1)
	}
	if refusal := p.shedByUrgency(w, now); refusal != nil {
		return refusal
	}
	w.item = p.queue.PushKey(w.urgent.order.Key(now), w)
	p.noteChange(w.urgent.changesAt)
	p.placeWaiting()
	p.scheduleTick()
	return nil
}

// queueKey returns the key of the step's place in the queue: ordered by program under the cost
// policy, first come first served under the baselines.
func (p *pool) queueKey(w *waiter) time.Time {
	if p.scheduler.settings.Policy != placement.Cost {
		return w.enqueued
	}
	return w.criteria.Key()
}

// wait blocks until the step is granted or refused, its deadline passes or ctx is done.
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
		return nil, refuse(Cancelled, step.CodeCancelled, 499, "the caller is gone", 0)
	case <-expired:
		p.abandon(w)
		return nil, refuse(DeadlinePassed, step.CodeDeadline, 504, "the deadline passed in the queue; not run", time.Second)
	}
}

// abandon removes a step that nobody waits for from the queue. If it was granted at the same
// moment, the grant is released.
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

// placeWaiting scans the queue in order and places the steps for which an upstream has a free slot.
// A step that waits for a particular engine does not block those behind it.
func (p *pool) placeWaiting() {
	endpoints := p.scheduler.endpoints(p.key)
	now := time.Now()
	p.skipped = p.skipped[:0]
	if p.byUrgency {
		p.placeFirstByUrgency(endpoints, now)
		p.placeRotating(endpoints, now)
	} else if !p.placeFirst(endpoints, now) {
		p.placeRotating(endpoints, now)
	}
	for _, item := range p.skipped {
		p.queue.Restore(item)
	}
}

// placeFirst tries to place the first steps of the queue, in order, and reports whether it stopped
// because all upstreams are full.
func (p *pool) placeFirst(endpoints []*upstream.Endpoint, now time.Time) (allFull bool) {
	for range maxScanned - maxRotated {
		item := p.queue.Pop()
		if item == nil {
			return false
		}
		decided, allFull := p.tryPlace(endpoints, item.Value, now)
		if !decided {
			p.skipped = append(p.skipped, item)
		}
		if allFull {
			return true
		}
	}
	return false
}

// placeRotating tries to place some of the remaining steps. It continues where the last scan ended,
// so that all steps are considered in turn.
func (p *pool) placeRotating(endpoints []*upstream.Endpoint, now time.Time) {
	for range min(maxRotated, p.queue.Len()) {
		if p.rotation >= p.queue.Len() {
			p.rotation = 0
		}
		item := p.queue.At(p.rotation)
		var decided, allFull bool
		if p.byUrgency {
			decided = p.tryPlaceByUrgency(endpoints, item.Value, now)
		} else if decided, allFull = p.tryPlace(endpoints, item.Value, now); allFull {
			return
		}
		if decided {
			p.queue.Remove(item)
		} else {
			p.rotation++
		}
	}
}

// tryPlace grants or refuses one step, or leaves it waiting. decided reports whether the step was
// granted or refused, allFull whether all upstreams are full, so that no other step can be placed.
func (p *pool) tryPlace(endpoints []*upstream.Endpoint, w *waiter, now time.Time) (decided, allFull bool) {
	w.step.Waited = w.request.Waited + now.Sub(w.enqueued)
	d := p.decide(endpoints, w, now)
	if refusal := p.refuseIfLate(endpoints, w, &d, now); refusal != nil {
		w.urgent.full = d.Rejections[placement.Full]
		w.refused <- refusal
		return true, false
	}
	if refusal := p.refuseIfVersionGone(w, &d); refusal != nil {
		w.refused <- refusal
		return true, false
	}
	if d.Chosen >= 0 && !d.ShouldWait {
		endpoint := endpoints[p.candidates[d.Chosen].Index]
		if trial, ok := endpoint.Upstream.TakeTrial(); ok {
			if w.urgent.waitsFor == "" {
				w.urgent.full = d.Rejections[placement.Full]
			}
			g := p.grant(endpoint, w, &d, now)
			g.trial = trial
			if p.byUrgency {
				p.placed.record(now)
			}
			w.granted <- g
			return true, false
		}
	}
	w.recordDecision(&d)
	if len(p.candidates) == len(endpoints) {
		w.searchedAt = now
	}
	if !placement.AnyCapable(&d) && now.Sub(w.unreachedSince()) >= noUpstreamWait {
		w.refused <- noUpstreamRefusal(&d)
		return true, false
	}
	return false, d.FullCount() > 0 && d.FullCount() == len(p.candidates)
}

// unreachedSince returns from when on the step has reached no upstream.
func (w *waiter) unreachedSince() time.Time {
	if since := w.request.UnreachedSince; !since.IsZero() && since.Before(w.enqueued) {
		return since
	}
	return w.enqueued
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

// finish records the end of a call, but not within a scan: the place would go to a step behind those for which
// the scan has found the upstream full.
func (p *pool) finish(u *upstream.Upstream, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u.Finish(now.UnixNano())
}

// slotFreed scans the queue after a granted step has ended.
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
