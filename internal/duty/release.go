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
	// sweepEvery is the time between two sweeps. A program is released when two
	// sweeps in a row find it gone, so that one wrong answer releases nothing.
	sweepInterval = 30 * time.Second
	// releaseBatch bounds the programs of one order.
	releaseBatch = 256
	// releaseEvery is how long releases of ended programs are collected.
	releaseInterval = 200 * time.Millisecond
	// maxPending bounds the releases that wait; what is beyond is left to the sweep.
	maxPending = 65536
)

// sweeper remembers which programs the last sweep found gone.
type sweeper struct {
	lastSweep time.Time
	gone      map[string]bool
}

// planReleases compares the programs whose memory engines hold with those that
// live. Programs' ids never come back, so releasing a program that was gone
// once is right at any later time: an order that comes late does no harm, also
// where an engine does not check fencing tokens.
func (k *Keeper) planReleases(ctx context.Context, seen []observed, token uint64, now time.Time) []Action {
	if k.settings.Living == nil || now.Sub(k.sweeper.lastSweep) < sweepInterval {
		return nil
	}
	k.sweeper.lastSweep = now
	held := map[string]bool{}
	for _, o := range seen {
		for program := range o.state.Programs {
			held[program] = true
		}
	}
	gone, err := k.settings.Living.Gone(ctx, slices.Sorted(maps.Keys(held)))
	if err != nil {
		return nil
	}
	before := k.sweeper.gone
	k.sweeper.gone = map[string]bool{}
	for _, program := range gone {
		k.sweeper.gone[program] = true
	}
	var actions []Action
	for _, o := range seen {
		var programs []string
		for program := range o.state.Programs {
			if before[program] && k.sweeper.gone[program] {
				programs = append(programs, program)
			}
		}
		slices.Sort(programs)
		actions = append(actions, releaseActions(o.upstream.Name, programs, token, "gone")...)
	}
	return actions
}

func releaseActions(name string, programs []string, token uint64, reason string) []Action {
	var actions []Action
	for batch := range slices.Chunk(programs, releaseBatch) {
		order := engine.Order{Kind: engine.OrderRelease, Token: token, Programs: batch}
		actions = append(actions, Action{Engine: name, Order: order, Reason: reason})
	}
	return actions
}

// Releaser sends the releases of programs that ended on this instance. It
// needs no lease, for the reason at planReleases; with engines that check, it
// sends the newest token that the instance knows. What fails, the sweep finds.
type Releaser struct {
	engines Engines
	token   func() uint64

	mu           sync.Mutex
	pending      map[string][]string
	pendingCount int
	wake         chan struct{}
}

// NewReleaser returns a releaser; token gives the newest fencing token known.
func NewReleaser(engines Engines, token func() uint64) *Releaser {
	return &Releaser{engines: engines, token: token, pending: map[string][]string{}, wake: make(chan struct{}, 1)}
}

// Release asks the engine at the address to give up the program's memory. It
// does not block.
func (r *Releaser) Release(address, program string) {
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

// Run sends what is collected until ctx ends.
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
