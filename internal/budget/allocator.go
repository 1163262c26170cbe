package budget

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"foxhall/internal/plan"
	"foxhall/internal/store"
)

// The sizes of allotments and the pace of draws. At the size of letter 1, 370
// instances that each renew 32 objects every two minutes make 99 reads and as
// many writes a second.
const (
	// DefaultShards is the number of objects that the plans' accounts are divided over.
	DefaultShards = 32
	// DefaultHorizon is how much spending ahead an allotment is sized for, and
	// so about how long an instance serves through an outage of the store.
	DefaultHorizon = 5 * time.Minute
	// DefaultShare is the part of what is left of a budget, as one of so many,
	// up to which an instance holds ahead.
	DefaultShare = 64
	// DefaultLead is how long before a window's end the next one is drawn. It
	// is above DefaultRenew, so that instances do not all draw at the boundary.
	DefaultLead = 5 * time.Minute
	// DefaultRenew is the mean time between two renewals of an object without
	// a caller that waits. It is below a half of DefaultHorizon, so that an
	// allotment that is spent evenly never runs out in between.
	DefaultRenew = 2 * time.Minute
	// DefaultStoreRate bounds the calls to the store, in calls a second.
	DefaultStoreRate = 20

	// firstChunk is the number of calls that a first draw covers.
	firstDrawCalls = 4
	// refillPart and idleFactor bound what is held: where one of so many parts
	// of what is wanted lacks it is refilled, above twice what is wanted the
	// rest is returned.
	refillDivisor = 4
	maxHeldFactor = 2
	// leadPart bounds the lead to a part of short windows.
	leadDivisor = 5
	// idleAfter is how long after its last use an allotment is returned.
	idleTimeout = 2 * time.Minute

	// rateTick is the interval that metrics.EWMA is made for.
	rateInterval = 5 * time.Second
	// drawWait bounds how long a call waits for a draw under way.
	maxDrawWait = time.Second
	// believeExhausted is how long the store's answer that a budget is spent
	// stands: others may return some.
	// Each refusal of an exhausted plan would else cost a read.
	exhaustedRetention = 30 * time.Second
	outdatedRetention  = time.Second

	storeBackoffMin = 250 * time.Millisecond
	storeBackoffMax = 5 * time.Second
)

// Plans is the list in force with its version.
type Plans interface {
	Plans() (*plan.List, uint64)
	// Changed is closed when a newer list is in force.
	Changed() <-chan struct{}
}

// Options are a keeper's surroundings. Zero values have defaults.
type Options struct {
	Shards    int
	Horizon   time.Duration
	Share     int
	Lead      time.Duration
	Renew     time.Duration
	StoreRate float64
	Registry  metrics.Registry
	Log       log.Interface
	// Now is the instance's clock; time.Now unless a test sets it.
	Now func() time.Time
}

// Keeper holds an instance's allotments. Its methods may be called at once
// from many goroutines.
type Allocator struct {
	client  *store.Limited
	plans   Plans
	options Options
	shards  []*shard
	closed  atomic.Bool
	ctx     context.Context
	cancel  context.CancelFunc
	draws   sync.WaitGroup

	outageMu     sync.Mutex
	storeBackoff *backoff.ExponentialBackOff
	retryAt      time.Time

	metrics allocatorMetrics
}

// shard is the allotments of the plans that one object counts.
type shard struct {
	number int

	mu         sync.RWMutex
	allotments map[string]*allotment

	// drawing guards the draw under way, if any, and whether another is to follow.
	drawMu    sync.Mutex
	done      chan struct{}
	drawAgain bool
	// renewAt is when the background may draw again.
	renewAt time.Time

	// lost are the writes whose outcome is not known yet. Only the draw under
	// way uses them; unresolved says, under drawing, that there are some.
	lost       []lostWrite
	unresolved bool
}

type allocatorMetrics struct {
	draws, conflicts, unknownOutcomes, exhausted, outage metrics.Counter
	heldMoney, heldTokens                                metrics.Gauge
	strandedMoney, strandedTokens                        metrics.Counter
	overrun                                              metrics.Counter
}

// NewKeeper returns a keeper that holds nothing.
func NewAllocator(client store.Client, plans Plans, options Options) *Allocator {
	options = options.withDefaults()
	registry := options.Registry
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("budget."+name, registry) }
	gauge := func(name string) metrics.Gauge { return metrics.GetOrRegisterGauge("budget."+name, registry) }
	limiter := rate.NewLimiter(rate.Limit(options.StoreRate), 2*options.Shards)
	al := &Allocator{
		client: store.LimitShared(client, limiter, registry, "budget.store"), plans: plans, options: options,
		metrics: allocatorMetrics{
			draws: counter("draws"), conflicts: counter("conflicts"), unknownOutcomes: counter("unsettled"),
			exhausted: counter("refused.exhausted"), outage: counter("refused.outage"), overrun: counter("overrun"),
			heldMoney: gauge("held.money"), heldTokens: gauge("held.tokens"),
			strandedMoney: counter("stranded.money"), strandedTokens: counter("stranded.tokens"),
		},
		storeBackoff: backoff.NewExponentialBackOff(),
	}
	al.storeBackoff.InitialInterval, al.storeBackoff.MaxInterval = storeBackoffMin, storeBackoffMax
	al.ctx, al.cancel = context.WithCancel(context.Background())
	for i := range options.Shards {
		al.shards = append(al.shards, &shard{number: i, allotments: map[string]*allotment{}})
	}
	return al
}

func (o Options) withDefaults() Options {
	if o.Shards == 0 {
		o.Shards = DefaultShards
	}
	if o.Horizon == 0 {
		o.Horizon = DefaultHorizon
	}
	if o.Share == 0 {
		o.Share = DefaultShare
	}
	if o.Lead == 0 {
		o.Lead = DefaultLead
	}
	if o.Renew == 0 {
		o.Renew = DefaultRenew
	}
	if o.StoreRate == 0 {
		o.StoreRate = DefaultStoreRate
	}
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	if o.Log == nil {
		o.Log = log.Log
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// Reservation is a cost set aside in the budget. Exactly one of Settle and
// Release ends it; later calls of either do nothing.
type Reservation struct {
	allocator   *Allocator
	allotment   *allotment
	cost        Cost
	budget      plan.Budget
	window      Window
	bothWindows bool
	generation  int
	ended       atomic.Bool
}

// Reserve sets aside the worst cost of a call before it is placed. It does no
// I/O; where too little is held it waits briefly for a draw. The error is a
// *Refusal. The spending belongs to the window in which it was reserved.
func (al *Allocator) Reserve(ctx context.Context, p *plan.Plan, cost Cost) (*Reservation, error) {
	list, version := al.plans.Plans()
	if list == nil || list.Lookup(p.Name) == nil {
		return nil, &Refusal{Plan: p.Name, Reason: Removed}
	}
	if al.closed.Load() {
		return nil, &Refusal{Plan: p.Name, Reason: Closed}
	}
	budget := list.Lookup(p.Name).Budget
	if budget.Unlimited() {
		return &Reservation{}, nil
	}
	cost = cost.atLeast(Cost{}).boundedBy(budget)
	if !limitOf(budget).covers(cost) {
		return nil, &Refusal{Plan: p.Name, Reason: TooLarge}
	}
	if r := al.reserveHeld(p.Name, budget, version, cost); r != nil {
		return r, nil
	}
	return al.reserveAfterDraw(ctx, p.Name, cost)
}

// take reserves from what is held, or returns nil.
func (al *Allocator) reserveHeld(name string, budget plan.Budget, version uint64, cost Cost) *Reservation {
	a := al.lock(name, budget, version)
	defer a.mu.Unlock()
	window, both, ok := a.reserve(cost, al.options.Now())
	if !ok {
		return nil
	}
	return &Reservation{allocator: al, allotment: a, cost: cost, budget: budget, window: window, bothWindows: both, generation: a.generation}
}

// reserveAfterDraw draws because too little is held. The caller waits for the
// draw, which may have been under way before and not have known this need, and
// then for the one after it, within drawWait.
func (al *Allocator) reserveAfterDraw(ctx context.Context, name string, cost Cost) (*Reservation, error) {
	ctx, cancel := context.WithTimeout(ctx, maxDrawWait)
	defer cancel()
	for {
		list, version := al.plans.Plans()
		p := list.Lookup(name)
		if p == nil {
			return nil, &Refusal{Plan: name, Reason: Removed}
		}
		if r := al.reserveHeld(name, p.Budget, version, cost); r != nil {
			return r, nil
		}
		done, refusal := al.requestDraw(name, p.Budget, version, cost)
		if refusal != nil {
			return nil, refusal
		}
		select {
		case <-done:
		case <-ctx.Done():
			return nil, &Refusal{Plan: name, Reason: Busy, RetryAfter: outdatedRetention}
		}
	}
}

// draw has a need drawn, unless it is known already that it can't be. The
// channel is closed when the draw under way, or beginning with this, has ended.
func (al *Allocator) requestDraw(name string, budget plan.Budget, version uint64, need Cost) (<-chan struct{}, *Refusal) {
	a := al.lock(name, budget, version)
	refusal := al.knownRefusal(a)
	if refusal == nil {
		a.need = a.need.atLeast(need)
	}
	a.mu.Unlock()
	if refusal != nil {
		return nil, refusal
	}
	return al.startDraw(al.shardOf(name)), nil
}

// standing returns the refusal that is known without asking the store again.
func (al *Allocator) knownRefusal(a *allotment) *Refusal {
	now := al.options.Now()
	if now.Before(a.refusedUntil) {
		return al.storedRefusal(a, now)
	}
	if wait := al.untilRetry(now); wait > 0 {
		al.metrics.outage.Inc(1)
		return &Refusal{Plan: a.plan, Reason: StoreUnavailable, RetryAfter: wait}
	}
	return nil
}

func (al *Allocator) storedRefusal(a *allotment, now time.Time) *Refusal {
	if a.refusal == PlanOutdated {
		return &Refusal{Plan: a.plan, Reason: PlanOutdated, RetryAfter: a.refusedUntil.Sub(now)}
	}
	al.metrics.exhausted.Inc(1)
	first, both := windowsAt(now, lengthOf(a.budget))
	if both {
		first = first.next()
	}
	// Past the boundary on every clock, when the new window alone is charged.
	return &Refusal{Plan: a.plan, Reason: Exhausted, RetryAfter: first.End().Add(MaxClockError).Sub(now)}
}

// Settle ends the reservation with what the call has cost; the rest is free
// again. A cost above the reserved one is charged as far as something is held.
func (r *Reservation) Settle(actual Cost) { r.end(actual) }

// Release ends the reservation of a call that cost nothing.
func (r *Reservation) Release() { r.end(Cost{}) }

func (r *Reservation) end(actual Cost) {
	if r.allocator == nil || r.ended.Swap(true) {
		return
	}
	a := r.allotment
	now := r.allocator.options.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	actual = actual.atLeast(Cost{}).boundedBy(r.budget)
	a.spentSinceTick = a.spentSinceTick.plus(actual)
	if !r.cost.covers(actual) {
		r.allocator.metrics.overrun.Inc(1)
	}
	a.settle(r.window, r.cost, actual, r.generation, now)
	if r.bothWindows {
		a.settle(r.window.next(), r.cost, actual, r.generation, now)
	}
}

// settle releases what the cost leaves over, and charges what it exceeds.
func (a *allotment) settle(w Window, reserved, actual Cost, generation int, now time.Time) {
	a.release(w, reserved.minus(actual).atLeast(Cost{}), generation, now)
	excess := actual.minus(reserved).atLeast(Cost{})
	if h := a.holdingFor(w, false); h != nil {
		h.free = h.free.minus(excess.atMost(h.free))
	}
}

func (al *Allocator) shardOf(name string) *shard { return al.shards[shardOf(name, len(al.shards))] }

// lock returns the plan's allotment, brought to the budget in force and locked.
func (al *Allocator) lock(name string, budget plan.Budget, version uint64) *allotment {
	s := al.shardOf(name)
	for {
		a := s.allotment(name, budget, version)
		a.mu.Lock()
		if !a.removed {
			a.setBudget(budget, version)
			return a
		}
		a.mu.Unlock()
	}
}

// allotment returns the plan's allotment, a new one if there is none.
func (s *shard) allotment(name string, budget plan.Budget, version uint64) *allotment {
	s.mu.RLock()
	a := s.allotments[name]
	s.mu.RUnlock()
	if a != nil {
		return a
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.allotments[name]; a != nil {
		return a
	}
	a = newAllotment(name, budget, version)
	s.allotments[name] = a
	return a
}
