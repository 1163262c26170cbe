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

// The sizes of allotments and the rate of draws. 370 instances that each renew 32 objects every two
// minutes make 99 reads and 99 writes per second.
const (
	// DefaultShards is the number of objects that hold the plans' accounts.
	DefaultShards = 32
	// DefaultHorizon is the duration of future spending that an allotment covers, and thus about
	// how long an instance can serve during an outage of the store.
	DefaultHorizon = 5 * time.Minute
	// DefaultShareDivisor bounds what an instance holds in advance: at most 1/DefaultShareDivisor of
	// what is left of a budget.
	DefaultShareDivisor = 64
	// DefaultLead is how long before the end of a window instances draw from the next one. It is
	// longer than DefaultRenewInterval, so that instances do not all draw at the boundary.
	DefaultLead = 5 * time.Minute
	// DefaultRenewInterval is the mean time between two renewals of an object while no caller waits.
	// It is less than half of DefaultHorizon, so that an allotment that is spent evenly does not run
	// out between renewals.
	DefaultRenewInterval = 2 * time.Minute
	// DefaultStoreRate bounds the calls to the store, in calls per second.
	DefaultStoreRate = 20

	// firstDrawCalls is the number of calls that the first draw covers.
	firstDrawCalls = 4
	// refillDivisor and maxHeldFactor bound the holdings: a holding is refilled when more than a
	// quarter of its target is missing, and the amount above twice the target is returned.
	refillDivisor = 4
	maxHeldFactor = 2
	// leadDivisor bounds the lead to a fraction of the window, for short windows.
	leadDivisor = 5
	// idleTimeout is how long after its last use an allotment is returned.
	idleTimeout = 2 * time.Minute

	// rateInterval is the tick interval that metrics.EWMA requires.
	rateInterval = 5 * time.Second
	// maxDrawWait bounds how long a call waits for a draw.
	maxDrawWait = time.Second
	// exhaustedRetention is how long after a draw was refused because the budget is exhausted
	// reservations are refused without another read of the object. It is bounded because other
	// instances may return parts of the budget. outdatedRetention is the same for a draw refused
	// because the plan version is outdated.
	exhaustedRetention = 30 * time.Second
	outdatedRetention  = time.Second

	storeBackoffMin = 250 * time.Millisecond
	storeBackoffMax = 5 * time.Second
)

// Plans provides the list of plans in force and its version.
type Plans interface {
	Plans() (*plan.List, uint64)
	// Changed returns a channel that is closed when a newer list is in force.
	Changed() <-chan struct{}
}

// Options configures an Allocator. Zero values have defaults.
type Options struct {
	Shards        int
	Horizon       time.Duration
	ShareDivisor  int
	Lead          time.Duration
	RenewInterval time.Duration
	StoreRate     float64
	Registry      metrics.Registry
	Log           log.Interface
	// Now is the instance's clock; time.Now unless a test sets it.
	Now func() time.Time
}

// Allocator manages an instance's allotments. It is safe for concurrent use.
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

// shard holds the allotments of the plans whose accounts are in one object.
type shard struct {
	number int

	mu         sync.RWMutex
	allotments map[string]*allotment

	// drawMu guards done, the channel of the running draw, drawAgain, which requests another draw
	// after it, renewAt and unresolved.
	drawMu    sync.Mutex
	done      chan struct{}
	drawAgain bool
	// renewAt is the earliest time of the next periodic draw.
	renewAt time.Time

	// lost holds the writes with an unknown outcome. Only the running draw uses it; unresolved
	// reports, under drawMu, whether there are any.
	lost       []lostWrite
	unresolved bool
}

type allocatorMetrics struct {
	draws, conflicts, unknownOutcomes, exhausted, outage metrics.Counter
	heldMoney, heldTokens                                metrics.Gauge
	strandedMoney, strandedTokens                        metrics.Counter
	overrun                                              metrics.Counter
}

// NewAllocator returns an Allocator without allotments.
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
	if o.ShareDivisor == 0 {
		o.ShareDivisor = DefaultShareDivisor
	}
	if o.Lead == 0 {
		o.Lead = DefaultLead
	}
	if o.RenewInterval == 0 {
		o.RenewInterval = DefaultRenewInterval
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

// Reservation is a cost reserved in the budget. The first call of Settle or Release ends it; later
// calls of either do nothing.
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

// Reserve reserves the highest possible cost of a call before the call is placed. It does no I/O
// itself; if too little is held it waits for a draw, for at most maxDrawWait. The error is a
// *Refusal. The spending counts in the window of the reservation.
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

// reserveHeld reserves from what is held. It returns nil if that is too little.
func (al *Allocator) reserveHeld(name string, budget plan.Budget, version uint64, cost Cost) *Reservation {
	a := al.lock(name, budget, version)
	defer a.mu.Unlock()
	window, both, ok := a.reserve(cost, al.options.Now())
	if !ok {
		return nil
	}
	return &Reservation{allocator: al, allotment: a, cost: cost, budget: budget, window: window, bothWindows: both, generation: a.generation}
}

// reserveAfterDraw starts a draw and reserves after it, within maxDrawWait. A draw that was already
// running may not include this need; the next one does.
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

// requestDraw requests a draw for a need, unless a refusal is already known. The channel is closed
// when the running draw, or the one started here, has ended.
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

// knownRefusal returns a refusal that is known without another call to the store, or nil.
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
	// The time after the boundary on every clock, when only the new window is charged.
	return &Refusal{Plan: a.plan, Reason: Exhausted, RetryAfter: first.End().Add(MaxClockError).Sub(now)}
}

// Settle ends the reservation with the actual cost of the call and frees the rest. The excess of a
// cost above the reserved one is charged as far as the holding covers it.
func (r *Reservation) Settle(actual Cost) { r.end(actual) }

// Release ends the reservation of a call without cost.
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

// settle releases the unused part of a reservation, and charges the excess of the actual cost.
func (a *allotment) settle(w Window, reserved, actual Cost, generation int, now time.Time) {
	a.release(w, reserved.minus(actual).atLeast(Cost{}), generation, now)
	excess := actual.minus(reserved).atLeast(Cost{})
	if h := a.holdingFor(w, false); h != nil {
		h.free = h.free.minus(excess.atMost(h.free))
	}
}

func (al *Allocator) shardOf(name string) *shard { return al.shards[shardOf(name, len(al.shards))] }

// lock returns the plan's allotment, locked and updated to the budget in force.
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

// allotment returns the plan's allotment and creates it if there is none.
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
