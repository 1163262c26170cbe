package duty

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"foxhall/internal/engine"
)

const (
	// sweepInterval is the time between two sweeps. A program is released when two
	// consecutive sweeps find it gone, so that one wrong response releases nothing.
	sweepInterval = 30 * time.Second
	// releaseBatch bounds the programs in one order.
	releaseBatch = 256
	// releaseInterval is how long releases of ended programs are collected before
	// they are sent.
	releaseInterval = 200 * time.Millisecond
	// maxPending bounds the releases that wait. The sweep releases the programs
	// beyond it.
	maxPending = 65536
)

// sweeper records which programs the last sweep found gone.
type sweeper struct {
	lastSweep time.Time
	gone      map[string]bool
}

// planReleases returns the releases of programs that occupy engine memory and that
// this sweep and the last one found gone. Program IDs are never reused, so a
// program that is gone may be released at any later time: a late order does no
// harm, even at an engine that does not check fencing tokens.
func (k *Manager) planReleases(ctx context.Context, observations []observed, token uint64, now time.Time) []Action {
	if k.settings.Programs == nil || now.Sub(k.sweeper.lastSweep) < sweepInterval {
		return nil
	}
	k.sweeper.lastSweep = now
	loaded := map[string]bool{}
	for _, o := range observations {
		for program := range o.state.Programs {
			loaded[program] = true
		}
	}
	gone, err := k.settings.Programs.FindEnded(ctx, slices.Sorted(maps.Keys(loaded)))
	if err != nil {
		return nil
	}
	previous := k.sweeper.gone
	k.sweeper.gone = map[string]bool{}
	for _, program := range gone {
		k.sweeper.gone[program] = true
	}
	var actions []Action
	for _, o := range observations {
		var programs []string
		for program := range o.state.Programs {
			if previous[program] && k.sweeper.gone[program] {
				programs = append(programs, program)
			}
		}
		slices.Sort(programs)
		actions = append(actions, releaseActions(o.upstream.Name, programs, token, "gone")...)
	}
	return actions
}

func releaseActions(engineName string, programs []string, token uint64, reason string) []Action {
	var actions []Action
	for batch := range slices.Chunk(programs, releaseBatch) {
		order := engine.Order{Kind: engine.OrderRelease, Token: token, Programs: batch}
		actions = append(actions, Action{Engine: engineName, Order: order, Reason: reason})
	}
	return actions
}

// Releaser sends the releases of programs that ended on this instance. It needs no
// lease, since a release does no harm at any later time (see planReleases). For
// engines that check tokens, it sends the newest token that the instance knows.
// The sweep repeats releases that fail.
type Releaser struct {
	engines Engines
	token   func() uint64

	mu           sync.Mutex
	pending      map[string][]string
	pendingCount int
	wake         chan struct{}
}

// NewReleaser returns a releaser. token returns the newest known fencing token.
func NewReleaser(engines Engines, token func() uint64) *Releaser {
	return &Releaser{engines: engines, token: token, pending: map[string][]string{}, wake: make(chan struct{}, 1)}
}

// Enqueue queues an order to the engine at the address to release the program's
// memory. It does not block.
func (r *Releaser) Enqueue(address, program string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pendingCount >= maxPending {
		return
	}
	r.pendingCount++
	r.pending[address] = append(r.pending[address], program)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run sends the queued releases until ctx ends.
func (r *Releaser) Run(ctx context.Context) {
	for {
		select {
		case <-r.wake:
		case <-ctx.Done():
			return
		}
		select {
		case <-time.After(releaseInterval):
		case <-ctx.Done():
			return
		}
		r.flush(ctx)
	}
}

func (r *Releaser) flush(ctx context.Context) {
	r.mu.Lock()
	pending := r.pending
	r.pending, r.pendingCount = map[string][]string{}, 0
	r.mu.Unlock()
	var group sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentCalls)
	for address, programs := range pending {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			r.send(ctx, address, programs)
		})
	}
	group.Wait()
}

func (r *Releaser) send(ctx context.Context, address string, programs []string) {
	for _, a := range releaseActions(address, programs, r.token(), "ended") {
		orderCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		err := r.engines.Order(orderCtx, address, a.Order)
		cancel()
		if err != nil {
			return
		}
	}
}
