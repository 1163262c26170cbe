// Package duty holds what one instance does for its whole data centre while it
// has the lease: it decides which models stand on which engines and releases
// the engine memory of programs that are gone.
//
// All of it is level-triggered: each round reads what the engines hold,
// compares it with what is wanted and orders the difference again. A lost
// order, a lost answer and a change of holder need no handling of their own.
package duty

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"foxhall/internal/engine"
	"foxhall/internal/upstream"
	"foxhall/internal/usage"
)

// Name is the duty's name towards the lease.
const Name = "engines"

const (
	// roundEvery is the time between two rounds.
	roundInterval = 2 * time.Second
	// orderTimeout bounds one order. A new holder waits as long before its
	// first, so that no order of the holder before it is still under way; with
	// engines that do not check fencing tokens nothing else would stop one.
	orderTimeout = 5 * time.Second
	// callsAtOnce bounds the calls to engines under way.
	maxConcurrentCalls = 16
	// observeMost bounds the engines whose state an instance without the lease
	// reads in a round, in turn. With more engines it learns later how a model is
	// served, and a call under an old name is answered as not loaded and goes
	// elsewhere; without the bound its control traffic grows with the engines.
	maxObserved = 8
	// fetchEvery is the least time between two fetches of weights.
	fetchInterval = 3 * time.Second
)

// Lease tells whether this instance holds a duty. Valid must be asked right
// before each order: it is false when the lease is near its end.
type Lease interface {
	Held(duty string) (token uint64, valid func() bool, ok bool)
}

// Engines is what the duty asks of engines; engine.Client is one.
type Engines interface {
	State(ctx context.Context, addr string, blocks bool) (engine.State, error)
	Order(ctx context.Context, addr string, o engine.Order) error
}

var _ Engines = (*engine.Client)(nil)

// Living tells which of the programs are gone for good: ended, expired or never
// known. A program whose owner can't be asked is not gone.
type Living interface {
	Gone(ctx context.Context, programs []string) ([]string, error)
}

// Settings configure a Keeper.
type Settings struct {
	DataCentre string
	// MaxModels is the number of models that one engine may hold; 0 for 2.
	MaxModels int
	Logger    log.Interface
	// Models returns the usage list's models.
	Models func() []usage.Model
	// Demand returns the steps of each model under way and waiting, summed over
	// the instances of the data centre.
	Demand func() map[string]int
	Living Living
}

// Keeper carries out the duty.
type Keeper struct {
	settings       Settings
	table          *upstream.Table
	engines        Engines
	lease          Lease
	sizer          Sizer
	sweeper        sweeper
	fetchLimiter   *rate.Limiter
	pendingUnloads pendingUnloads

	// next is where the engines' turns go on.
	nextEngine int
	heldToken  uint64
	heldSince  time.Time
}

// New returns a keeper.
func New(settings Settings, table *upstream.Table, engines Engines, lease Lease) *Keeper {
	if settings.MaxModels == 0 {
		settings.MaxModels = 2
	}
	return &Keeper{
		settings:     settings,
		table:        table,
		engines:      engines,
		lease:        lease,
		sizer:        Sizer{},
		fetchLimiter: rate.NewLimiter(rate.Every(fetchInterval), 1),
	}
}

// Run makes rounds until ctx ends. Every instance runs it: without the lease a
// round only observes, so that the instance knows what each engine serves.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	for {
		k.Round(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Round makes one round.
func (k *Keeper) Round(ctx context.Context) {
	token, valid, ok := k.lease.Held(Name)
	seen := k.observe(ctx, ok)
	k.publishServing(seen)
	now := time.Now()
	if !ok {
		k.heldSince = time.Time{}
		return
	}
	if k.heldSince.IsZero() || token != k.heldToken {
		k.heldToken, k.heldSince = token, now
	}
	if now.Sub(k.heldSince) < orderTimeout {
		return
	}
	k.sendOrders(ctx, k.pendingUnloads.delay(k.planModels(seen, token, now), now), valid)
	k.sendOrders(ctx, k.planReleases(ctx, seen, token, now), valid)
}

// observed is an engine with the state that it reported.
type observed struct {
	upstream *upstream.Upstream
	state    engine.State
}

// observe reads the state of all engines of the data centre, or without the
// lease of the next few.
func (k *Keeper) observe(ctx context.Context, all bool) []observed {
	var mu sync.Mutex
	var seen []observed
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for _, u := range k.enginesToObserve(all) {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, orderTimeout)
			defer cancel()
			state, err := k.engines.State(ctx, u.Address, false)
			if err != nil {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			seen = append(seen, observed{u, state})
			return nil
		})
	}
	_ = group.Wait()
	return seen
}

// due returns the engines to read in this round.
func (k *Keeper) enginesToObserve(all bool) []*upstream.Upstream {
	var engines []*upstream.Upstream
	for _, u := range k.table.Snapshot().All {
		if u.DataCentre == k.settings.DataCentre && u.Service == "" {
			engines = append(engines, u)
		}
	}
	if all || len(engines) <= maxObserved {
		return engines
	}
	due := make([]*upstream.Upstream, 0, maxObserved)
	for range maxObserved {
		due = append(due, engines[k.nextEngine%len(engines)])
		k.nextEngine++
	}
	return due
}

// carryOut sends orders while the lease is valid. Failures are left to the
// next round, which sees what is still missing.
func (k *Keeper) sendOrders(ctx context.Context, actions []Action, valid func() bool) {
	for _, a := range actions {
		u := k.table.Snapshot().Upstream(a.Engine)
		if u == nil {
			continue
		}
		if !valid() {
			return
		}
		orderCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		err := k.engines.Order(orderCtx, u.Address, a.Order)
		cancel()
		k.logOrder(a, err)
	}
}

func (k *Keeper) logOrder(a Action, err error) {
	if k.settings.Logger == nil {
		return
	}
	entry := k.settings.Logger.WithFields(log.Fields{
		"upstream": a.Engine,
		"order":    string(a.Order.Kind),
		"served":   a.Order.Served,
		"programs": len(a.Order.Programs),
		"token":    a.Order.Token,
		"reason":   a.Reason,
	})
	if err != nil {
		entry.WithError(err).Warn("order failed")
		return
	}
	entry.Info("order")
}
