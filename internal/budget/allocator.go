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
	firstChunk = 4
	// refillPart and idleFactor bound what is held: where one of so many parts
	// of what is wanted lacks it is refilled, above twice what is wanted the
	// rest is returned.
	refillPart = 4
	idleFactor = 2
	// leadPart bounds the lead to a part of short windows.
	leadPart = 5
	// idleAfter is how long after its last use an allotment is returned.
	idleAfter = 2 * time.Minute

	// rateTick is the interval that metrics.EWMA is made for.
	rateTick = 5 * time.Second
	// drawWait bounds how long a call waits for a draw under way.
	drawWait = time.Second
	// believeExhausted is how long the store's answer that a budget is spent
	// stands: others may return some.
	// Each refusal of an exhausted plan would else cost a read.
	believeExhausted = 30 * time.Second
	believeBehind    = time.Second

	storeRetryFirst = 250 * time.Millisecond
	storeRetryMax   = 5 * time.Second
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

	outage  sync.Mutex
	pause   *backoff.ExponentialBackOff
	retryAt time.Time

	metrics keeperMetrics
}

// shard is the allotments of the plans that one object counts.
type shard struct {
	number int

	mu         sync.RWMutex
	allotments map[string]*allotment

	// drawing guards the draw under way, if any, and whether another is to follow.
	drawing sync.Mutex
	done    chan struct{}
	again   bool
	// renewAt is when the background may draw again.
	renewAt time.Time

	// lost are the writes whose outcome is not known yet. Only the draw under
	// way uses them; unresolved says, under drawing, that there are some.
	lost       []lostWrite
	unresolved bool
}

type keeperMetrics struct {
	draws, conflicts, unsettled, exhausted, outage metrics.Counter
	heldMoney, heldTokens                          metrics.Gauge
	strandedMoney, strandedTokens                  metrics.Counter
	overrun                                        metrics.Counter
}

// NewKeeper returns a keeper that holds nothing.
func NewAllocator(client store.Client, plans Plans, options Options) *Allocator {
	options = options.withDefaults()
	registry := options.Registry
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("budget."+name, registry) }
	gauge := func(name string) metrics.Gauge { return metrics.GetOrRegisterGauge("budget."+name, registry) }
	limiter := rate.NewLimiter(rate.Limit(options.StoreRate), 2*options.Shards)
	k := &Allocator{
		client: store.LimitShared(client, limiter, registry, "budget.store"), plans: plans, options: options,
		metrics: keeperMetrics{
			draws: counter("draws"), conflicts: counter("conflicts"), unsettled: counter("unsettled"),
			exhausted: counter("refused.exhausted"), outage: counter("refused.outage"), overrun: counter("overrun"),
			heldMoney: gauge("held.money"), heldTokens: gauge("held.tokens"),
			strandedMoney: counter("stranded.money"), strandedTokens: counter("stranded.tokens"),
		},
		pause: backoff.NewExponentialBackOff(),
	}
	k.pause.InitialInterval, k.pause.MaxInterval = storeRetryFirst, storeRetryMax
	k.ctx, k.cancel = context.WithCancel(context.Background())
	for i := range options.Shards {
		k.shards = append(k.shards, &shard{number: i, allotments: map[string]*allotment{}})
	}
	return k
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
	keeper     *Allocator
	allotment  *allotment
	cost       Cost
	budget     plan.Budget
	window     Window
	both       bool
	generation int
	ended      atomic.Bool
}

// Reserve sets aside the worst cost of a call before it is placed. It does no
// I/O; where too little is held it waits briefly for a draw. The error is a
// *Refusal. The spending belongs to the window in which it was reserved.
func (k *Allocator) Reserve(ctx context.Context, p *plan.Plan, cost Cost) (*Reservation, error) {
	list, version := k.plans.Plans()
	if list == nil || list.Lookup(p.Name) == nil {
		return nil, &Refusal{Plan: p.Name, Reason: Removed}
	}
	if k.closed.Load() {
		return nil, &Refusal{Plan: p.Name, Reason: Closed}
	}
	budget := list.Lookup(p.Name).Budget
	if budget.Unlimited() {
		return &Reservation{}, nil
	}
	cost = cost.atLeast(Cost{}).of(budget)
	if !limitOf(budget).covers(cost) {
		return nil, &Refusal{Plan: p.Name, Reason: TooLarge}
	}
	if r := k.take(p.Name, budget, version, cost); r != nil {
		return r, nil
	}
	return k.reserveAfterDraw(ctx, p.Name, cost)
}

// take reserves from what is held, or returns nil.
func (k *Allocator) take(name string, budget plan.Budget, version uint64, cost Cost) *Reservation {
	a := k.lock(name, budget, version)
	defer a.mu.Unlock()
	window, both, ok := a.take(cost, k.options.Now())
	if !ok {
		return nil
	}
	return &Reservation{keeper: k, allotment: a, cost: cost, budget: budget, window: window, both: both, generation: a.generation}
}

// reserveAfterDraw draws because too little is held. The caller waits for the
// draw, which may have been under way before and not have known this need, and
// then for the one after it, within drawWait.
func (k *Allocator) reserveAfterDraw(ctx context.Context, name string, cost Cost) (*Reservation, error) {
	ctx, cancel := context.WithTimeout(ctx, drawWait)
	defer cancel()
	for {
		list, version := k.plans.Plans()
		p := list.Lookup(name)
		if p == nil {
			return nil, &Refusal{Plan: name, Reason: Removed}
		}
		if r := k.take(name, p.Budget, version, cost); r != nil {
			return r, nil
		}
		done, refusal := k.draw(name, p.Budget, version, cost)
		if refusal != nil {
			return nil, refusal
		}
		select {
		case <-done:
		case <-ctx.Done():
			return nil, &Refusal{Plan: name, Reason: Busy, RetryAfter: believeBehind}
		}
	}
}

// draw has a need drawn, unless it is known already that it can't be. The
// channel is closed when the draw under way, or beginning with this, has ended.
func (k *Allocator) draw(name string, budget plan.Budget, version uint64, need Cost) (<-chan struct{}, *Refusal) {
	a := k.lock(name, budget, version)
	refusal := k.standing(a)
	if refusal == nil {
		a.need = a.need.atLeast(need)
	}
	a.mu.Unlock()
	if refusal != nil {
		return nil, refusal
	}
	return k.start(k.shardOf(name)), nil
}

// standing returns the refusal that is known without asking the store again.
func (k *Allocator) standing(a *allotment) *Refusal {
	now := k.options.Now()
	if now.Before(a.refusedUntil) {
		return k.refuse(a, now)
	}
	if wait := k.untilRetry(now); wait > 0 {
		k.metrics.outage.Inc(1)
		return &Refusal{Plan: a.plan, Reason: StoreUnavailable, RetryAfter: wait}
	}
	return nil
}

func (k *Allocator) refuse(a *allotment, now time.Time) *Refusal {
	if a.refusal == PlanOutdated {
		return &Refusal{Plan: a.plan, Reason: PlanOutdated, RetryAfter: a.refusedUntil.Sub(now)}
	}
	k.metrics.exhausted.Inc(1)
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
	if r.keeper == nil || r.ended.Swap(true) {
		return
	}
	a := r.allotment
	now := r.keeper.options.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	actual = actual.atLeast(Cost{}).of(r.budget)
	a.spent = a.spent.plus(actual)
	if !r.cost.covers(actual) {
		r.keeper.metrics.overrun.Inc(1)
	}
	a.settle(r.window, r.cost, actual, r.generation, now)
	if r.both {
		a.settle(r.window.next(), r.cost, actual, r.generation, now)
	}
}

// settle releases what the cost leaves over, and charges what it exceeds.
func (a *allotment) settle(w Window, reserved, actual Cost, generation int, now time.Time) {
	a.release(w, reserved.minus(actual).atLeast(Cost{}), generation, now)
	excess := actual.minus(reserved).atLeast(Cost{})
	if h := a.at(w, false); h != nil {
		h.free = h.free.minus(excess.atMost(h.free))
	}
}

func (k *Allocator) shardOf(name string) *shard { return k.shards[shardOf(name, len(k.shards))] }

// lock returns the plan's allotment, brought to the budget in force and locked.
func (k *Allocator) lock(name string, budget plan.Budget, version uint64) *allotment {
	s := k.shardOf(name)
	for {
		a := s.allotment(name, budget, version)
		a.mu.Lock()
		if !a.dropped {
			a.adopt(budget, version)
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
