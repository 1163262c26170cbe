package limit

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"foxhall/internal/plan"
)

// Bounds of the wait for admission.
const (
	// DefaultMaxWait is the longest time that a step waits for admission.
	DefaultMaxWait = 5 * time.Second
	// DefaultMaxQueue is the largest number of steps that wait on an instance.
	DefaultMaxQueue = 2000

	// initialServiceTime is the assumed service time before the first step has completed.
	initialServiceTime = 200 * time.Millisecond
	// deadlineReserveDivisor sets the time that a step must have left before its deadline, as a
	// fraction of the plan's mean service time. Service times vary widely; reserving the full
	// mean would refuse short steps that can still meet their deadlines.
	deadlineReserveDivisor = 4
	// flowRetention is how long the flow of a plan without steps is kept.
	flowRetention = time.Minute
)

// Options configures a Gate. Zero values have defaults.
type Options struct {
	// Capacity is the largest number of steps that run on the instance at once; zero for no
	// bound.
	Capacity int
	MaxWait  time.Duration
	MaxQueue int
	// Members and Arbiters give access to the data centre's instances; nil for a single instance.
	Members  Members
	Arbiters Arbiters
	Registry metrics.Registry
}

// Gate controls the admission of an instance's steps. It is safe for concurrent use.
type Gate struct {
	options    Options
	arbiter    *arbiter
	requestNow chan struct{}

	mu      sync.Mutex
	flows   map[string]*flow
	running int
	// backlog is the set of flows with waiting steps, waiting the number of those steps.
	backlog map[*flow]struct{}
	waiting int
	// serviceTime is the mean time of a step over all plans.
	serviceTime time.Duration
	// virtualTime is that of the flow served last.
	virtualTime float64
	// rateTimer fires when a plan's rate limit admits a waiting step again.
	rateTimer *time.Timer

	admitted, refused, evicted metrics.Counter
	queuedGauge, runningGauge  metrics.Gauge
}

// NewGate returns a gate without steps.
func NewGate(options Options) *Gate {
	if options.MaxWait == 0 {
		options.MaxWait = DefaultMaxWait
	}
	if options.MaxQueue == 0 {
		options.MaxQueue = DefaultMaxQueue
	}
	if options.Registry == nil {
		options.Registry = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("limit."+name, options.Registry)
	}
	return &Gate{
		options: options, arbiter: newArbiter(), requestNow: make(chan struct{}, 1), flows: map[string]*flow{},
		backlog: map[*flow]struct{}{}, serviceTime: initialServiceTime,
		admitted: counter("admitted"), refused: counter("refused"), evicted: counter("evicted"),
		queuedGauge:  metrics.GetOrRegisterGauge("limit.queued", options.Registry),
		runningGauge: metrics.GetOrRegisterGauge("limit.running", options.Registry),
	}
}

// Admit admits a step of the plan, at once or after a wait, or refuses it. It refuses at once if
// the estimated wait is too long or leaves the step too little time before the deadline; a zero
// deadline means no deadline. The caller must call release when the step has ended.
func (g *Gate) Admit(ctx context.Context, p *plan.Plan, deadline time.Time) (release func(), refusal *Refusal) {
	now := time.Now()
	g.mu.Lock()
	f := g.flow(p, now)
	f.arrivals++
	f.lastUse = now
	if len(f.queue) == 0 && f.eligible(now) && g.hasCapacity() {
		g.startStep(f, now)
		g.mu.Unlock()
		return g.releaser(f, now), nil
	}
	maxWait, refusal := g.assessWait(f, deadline, now)
	if refusal != nil {
		g.refused.Inc(1)
		g.mu.Unlock()
		return nil, refusal
	}
	w := g.enqueue(f)
	g.dispatch(now)
	g.mu.Unlock()
	return g.await(ctx, w, maxWait)
}

// assessWait estimates the wait of one more step of the flow. It returns how long the step may
// wait, or a refusal.
func (g *Gate) assessWait(f *flow, deadline time.Time, now time.Time) (time.Duration, *Refusal) {
	ahead := len(f.queue) + 1
	wait, reason := f.rateWait(ahead, now), RateLimited
	if slots := f.slotWait(ahead); slots > wait {
		wait, reason = slots, ConcurrencyLimited
	}
	if capacity := g.capacityWait(f, ahead); capacity > wait {
		wait, reason = capacity, Overloaded
	}
	if reason != Overloaded && wait > 0 {
		g.requestSoon()
	}
	if reason == ConcurrencyLimited {
		f.slotLimited++
	}
	maxWait := g.options.MaxWait
	if !deadline.IsZero() {
		maxWait = min(maxWait, deadline.Sub(now)-f.serviceTime/deadlineReserveDivisor)
	}
	if wait <= maxWait && maxWait > 0 {
		return maxWait, nil
	}
	if wait <= g.options.MaxWait {
		reason = DeadlineTooClose
	}
	return 0, &Refusal{Plan: f.plan, Reason: reason, RetryAfter: wait}
}

// capacityWait estimates the time until the instance has capacity for that many more steps of the
// flow, which is served in proportion to its weight among the waiting flows.
func (g *Gate) capacityWait(f *flow, steps int) time.Duration {
	// While there is free capacity, steps wait only for their own plans' limits.
	if g.hasCapacity() {
		return 0
	}
	weights := f.weight
	for other := range g.backlog {
		if other != f {
			weights += other.weight
		}
	}
	rounds := float64(steps) * weights / f.weight / float64(g.options.Capacity)
	return time.Duration(rounds * float64(max(g.serviceTime, f.serviceTime)))
}

// enqueue adds a waiter to the flow's queue. If the queue of the instance is full, it evicts the
// newest waiter of the flow with the most waiters relative to its weight.
func (g *Gate) enqueue(f *flow) *waiter {
	w := &waiter{flow: f, decision: make(chan *Refusal, 1)}
	f.queue = append(f.queue, w)
	g.backlog[f] = struct{}{}
	g.waiting++
	if g.waiting > g.options.MaxQueue {
		g.evictNewest()
	}
	return w
}

func (g *Gate) evictNewest() {
	var victim *flow
	for f := range g.backlog {
		if victim == nil || float64(len(f.queue))/f.weight > float64(len(victim.queue))/victim.weight {
			victim = f
		}
	}
	last := victim.queue[len(victim.queue)-1]
	g.removeWaiter(last)
	g.evicted.Inc(1)
	last.decision <- &Refusal{Plan: victim.plan, Reason: Overloaded, RetryAfter: g.capacityWait(victim, len(victim.queue)+1)}
}

// removeWaiter removes a waiter from its queue. It returns false if its decision has been made.
func (g *Gate) removeWaiter(w *waiter) bool {
	if !w.flow.remove(w) {
		return false
	}
	g.countDequeued(w.flow)
	return true
}

// countDequeued updates the backlog after a waiter has left the flow's queue.
func (g *Gate) countDequeued(f *flow) {
	g.waiting--
	if len(f.queue) == 0 {
		delete(g.backlog, f)
	}
}

// await waits for the decision on a waiter.
func (g *Gate) await(ctx context.Context, w *waiter, maxWait time.Duration) (func(), *Refusal) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	var refusal *Refusal
	select {
	case refusal = <-w.decision:
		if refusal == nil {
			return g.releaser(w.flow, time.Now()), nil
		}
		return nil, refusal
	case <-ctx.Done():
		refusal = &Refusal{Plan: w.flow.plan, Reason: Cancelled}
	case <-timer.C:
		refusal = &Refusal{Plan: w.flow.plan, Reason: Overloaded}
	}
	return g.abandonWait(w, refusal)
}

// abandonWait refuses a waiter that has waited too long or whose caller has gone, unless its
// decision was made in the meantime.
func (g *Gate) abandonWait(w *waiter, refusal *Refusal) (func(), *Refusal) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.removeWaiter(w) {
		if decided := <-w.decision; decided != nil {
			return nil, decided
		}
		return g.releaser(w.flow, now), nil
	}
	g.refused.Inc(1)
	if refusal.Reason == Overloaded {
		// With a deadline that has passed, assessWait always returns a refusal.
		_, estimate := g.assessWait(w.flow, now, now)
		refusal.RetryAfter = estimate.RetryAfter
	}
	return nil, refusal
}

// flow returns the plan's flow, updated to the plan's present limits.
func (g *Gate) flow(p *plan.Plan, now time.Time) *flow {
	f := g.flows[p.Name]
	if f == nil {
		f = newFlow(p)
		f.virtualTime = g.virtualTime
		g.flows[p.Name] = f
		f.setPlan(p)
		f.applyShare(g.currentShare(f, now), now)
		return f
	}
	if f.setPlan(p) {
		f.shareExpires = time.Time{}
		f.applyShare(g.currentShare(f, now), now)
	}
	return f
}

func (g *Gate) hasCapacity() bool { return g.options.Capacity == 0 || g.running < g.options.Capacity }

// startStep starts a step of the flow and charges the flow for the expected slot time.
func (g *Gate) startStep(f *flow, now time.Time) {
	f.start(now)
	g.running++
	g.admitted.Inc(1)
	// A flow gets no credit for the time that it was idle.
	f.virtualTime = max(f.virtualTime, g.virtualTime)
	g.virtualTime = f.virtualTime
	f.virtualTime += f.serviceTime.Seconds() / f.weight
	g.runningGauge.Update(int64(g.running))
}

// releaser returns the function that ends a step.
func (g *Gate) releaser(f *flow, start time.Time) func() {
	var once sync.Once
	return func() { once.Do(func() { g.release(f, start) }) }
}

func (g *Gate) release(f *flow, start time.Time) {
	now := time.Now()
	elapsed := now.Sub(start)
	g.mu.Lock()
	defer g.mu.Unlock()
	f.running--
	g.running--
	// Correct the charge made at admission by the actual time.
	f.virtualTime += (elapsed - f.serviceTime).Seconds() / f.weight
	f.recordServiceTime(elapsed)
	g.serviceTime += (elapsed - g.serviceTime) / (4 * serviceTimeSamples)
	g.runningGauge.Update(int64(g.running))
	g.dispatch(now)
}

// dispatch admits waiters while the instance has capacity: of the flows whose own limits allow a
// step, the one with the lowest virtual time first.
func (g *Gate) dispatch(now time.Time) {
	for g.hasCapacity() {
		f := g.nextFlow(now)
		if f == nil {
			break
		}
		w := f.queue[0]
		f.queue = f.queue[1:]
		g.countDequeued(f)
		g.startStep(f, now)
		w.decision <- nil
	}
	g.queuedGauge.Update(int64(g.waiting))
	g.armRateTimer(now)
}

func (g *Gate) nextFlow(now time.Time) *flow {
	var best *flow
	for f := range g.backlog {
		if !f.eligible(now) {
			continue
		}
		if best == nil || f.virtualTime < best.virtualTime || f.virtualTime == best.virtualTime && f.plan < best.plan {
			best = f
		}
	}
	return best
}

// armRateTimer sets the timer for the first rate limit that will admit a waiting step.
func (g *Gate) armRateTimer(now time.Time) {
	if g.rateTimer != nil {
		g.rateTimer.Stop()
		g.rateTimer = nil
	}
	if g.waiting == 0 || !g.hasCapacity() {
		return
	}
	var first time.Duration
	for f := range g.backlog {
		if f.running >= f.slots {
			continue
		}
		if wait := f.rateWait(1, now); first == 0 || wait < first {
			first = wait
		}
	}
	if first > 0 {
		g.rateTimer = time.AfterFunc(first, g.onRateTimer)
	}
}

func (g *Gate) onRateTimer() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatch(time.Now())
}
