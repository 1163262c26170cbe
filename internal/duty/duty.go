// Package duty implements the tasks that one instance performs for its data centre
// while it holds the lease: it decides which engines load which models, and it
// releases the engine memory of ended programs.
//
// Both tasks are level-triggered: each round reads the state of the engines,
// compares it with the wanted state and orders the difference. A lost order, a
// lost response and a change of the holder need no special handling.
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

// Name is the name under which the duty is leased.
const Name = "engines"

const (
	// roundInterval is the time between two rounds.
	roundInterval = 2 * time.Second
	// orderTimeout bounds one order. A new holder waits as long before its first
	// order, so that no order of the previous holder is in flight; an engine that
	// does not check fencing tokens would still execute it.
	orderTimeout = 5 * time.Second
	// maxConcurrentCalls bounds the calls to engines in flight.
	maxConcurrentCalls = 16
	// maxObserved bounds the engines whose state an instance without the lease
	// reads in a round, in turn. With more engines it learns later under which
	// name a model is served; an engine rejects a call under an old name as not
	// loaded, and the call goes to another. Without the bound, the instance's
	// control traffic would grow with the number of engines.
	maxObserved = 8
	// fetchInterval is the minimum time between two fetches of weights.
	fetchInterval = 3 * time.Second
)

// Lease reports whether this instance holds a duty. valid must be called right
// before each order: it returns false when the lease is about to expire.
type Lease interface {
	Held(duty string) (token uint64, valid func() bool, ok bool)
}

// Engines are the calls to engines that the duty needs. engine.Client implements it.
type Engines interface {
	State(ctx context.Context, addr string, blocks bool) (engine.State, error)
	Order(ctx context.Context, addr string, o engine.Order) error
}

var _ Engines = (*engine.Client)(nil)

// ProgramLookup finds the programs that do not exist any more: those that ended, expired
// or were never known. A program whose owner can't be asked counts as existing.
type ProgramLookup interface {
	FindEnded(ctx context.Context, programs []string) ([]string, error)
}

// Settings configure a Manager.
type Settings struct {
	DataCentre string
	// MaxModels is the maximum number of models loaded on one engine; 0 means 2.
	MaxModels int
	Logger    log.Interface
	// Models returns the models of the usage list.
	Models func() []usage.Model
	// Demand returns the number of steps per model that run or wait, summed over
	// the instances of the data centre.
	Demand   func() map[string]int
	Programs ProgramLookup
}

// Manager performs the duty.
type Manager struct {
	settings       Settings
	table          *upstream.Table
	engines        Engines
	lease          Lease
	sizer          Sizer
	sweeper        sweeper
	fetchLimiter   *rate.Limiter
	pendingUnloads pendingUnloads

	// nextEngine is the index of the engine that is observed next without the lease.
	nextEngine int
	heldToken  uint64
	heldSince  time.Time
}

// New returns a keeper.
func New(settings Settings, table *upstream.Table, engines Engines, lease Lease) *Manager {
	if settings.MaxModels == 0 {
		settings.MaxModels = 2
	}
	return &Manager{
		settings:     settings,
		table:        table,
		engines:      engines,
		lease:        lease,
		sizer:        Sizer{},
		fetchLimiter: rate.NewLimiter(rate.Every(fetchInterval), 1),
	}
}

// Run performs rounds until ctx ends. Every instance runs it: without the lease, a
// round only observes, so that the instance knows what each engine serves.
func (k *Manager) Run(ctx context.Context) {
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

// Round performs one round.
func (k *Manager) Round(ctx context.Context) {
	token, valid, ok := k.lease.Held(Name)
	observations := k.observe(ctx, ok)
	k.publishServing(observations)
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
	k.sendOrders(ctx, k.pendingUnloads.delay(k.planModels(observations, token, now), now), valid)
	k.sendOrders(ctx, k.planReleases(ctx, observations, token, now), valid)
}

// observed is an engine with its reported state.
type observed struct {
	upstream *upstream.Upstream
	state    engine.State
}

// observe reads the state of all engines of the data centre, or of the next few if
// all is false. An engine that does not respond is left out.
func (k *Manager) observe(ctx context.Context, all bool) []observed {
	var mu sync.Mutex
	var observations []observed
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
			observations = append(observations, observed{u, state})
			return nil
		})
	}
	_ = group.Wait()
	return observations
}

// enginesToObserve returns the engines whose state is read in this round.
func (k *Manager) enginesToObserve(all bool) []*upstream.Upstream {
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

// sendOrders sends orders while the lease is valid. It does not retry a failed
// order: a later round orders what is still wanted.
func (k *Manager) sendOrders(ctx context.Context, actions []Action, valid func() bool) {
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

func (k *Manager) logOrder(a Action, err error) {
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
		entry.WithError(err).Warn("engine order failed; a later round repeats it if still wanted")
		return
	}
	entry.Info("engine order accepted")
}
