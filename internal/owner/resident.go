package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"foxhall/internal/program"
	"foxhall/internal/program/programpb"
)

// shard holds the residents of one of the program.ShardCount shards.
type shard struct {
	mu        sync.RWMutex
	residents map[program.ID]*resident
	// endMu is held while programs are ended and their earnings are merged into the account.
	endMu sync.Mutex
	// account is the account that holds the earnings of the shard's ended programs, or nil.
	account *resident
	// uncertain contains the cohorts of which programs of this shard may be missing here.
	uncertain map[program.Cohort]bool
}

// tree is the state shared by a root program and its sub-agents.
type tree struct {
	// attained is the time that upstreams have spent on the programs, in nanoseconds.
	attained atomic.Int64
}

// resident is a program, or an account of earnings, that is owned here. Only the goroutine that has
// claimed it changes the state; the lock is held for reads and for the change itself, never during
// I/O.
type resident struct {
	id   program.ID
	tree *tree

	mu    sync.Mutex
	state *program.State
	// pending are events that the state includes and the log may lack.
	pending []program.Event
	// deferred are events that are numbered and appended together with the next ones.
	deferred []*programpb.Event
	// claimed indicates that a goroutine has the exclusive right to change the state.
	claimed bool
	// adopting indicates that the program stays claimed until its shard is adopted. It is resident
	// before that, because compaction of the log takes a program that is not resident for ended.
	adopting bool
	// saving indicates that an append is in flight, so that the log may be ahead of the state.
	saving bool
	// flight is the step in flight, or nil.
	flight *flight
	// changed is closed when the claim, the flight or the state changes. It is nil without waiters.
	changed chan struct{}
	// waiters is the number of calls that wait for their turn or their response.
	waiters int
	// openingChildren is the number of sub-agents whose first step is in flight.
	openingChildren int
	// started indicates that a step has begun.
	started bool
	// saved indicates that the log may hold events of the program.
	saved bool
	// removed indicates that the program has moved to another instance or has ended.
	removed bool
	stalled bool
	// released indicates that the release hooks were called.
	released bool
	// adopted indicates that the program came from another cohort's log. An adopted account is
	// merged into the shard's own account.
	adopted bool
	// lookedUpAt is the time at which lookups of the unknown steps were last started.
	lookedUpAt time.Time
	usedAt     time.Time
}

// notifyWaiters wakes the goroutines that wait for a change. The lock is held.
func (r *resident) notifyWaiters() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// changeChannel returns a channel that is closed at the next change. The lock is held.
func (r *resident) changeChannel() <-chan struct{} {
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

// claim waits for the exclusive right to change the program. It reports false if the program was
// removed or ctx ended first.
func (r *resident) claim(ctx context.Context) bool {
	for {
		r.mu.Lock()
		if r.removed {
			r.mu.Unlock()
			return false
		}
		if !r.claimed {
			r.claimed = true
			r.mu.Unlock()
			return true
		}
		changed := r.changeChannel()
		r.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// tryClaim claims the program unless it is claimed or removed, and reports whether it did.
func (r *resident) tryClaim() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.claimed || r.removed {
		return false
	}
	r.claimed = true
	return true
}

func (r *resident) unclaim() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.claimed = false
	r.notifyWaiters()
}

func (s *Service) shard(id program.ID) *shard { return &s.shards[id.Shard()] }

func (s *Service) lookup(id program.ID) *resident {
	sh := s.shard(id)
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	return sh.residents[id]
}

func (s *Service) insert(r *resident) {
	sh := s.shard(r.id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.residents[r.id] = r
}

// remove removes the program from this instance.
func (s *Service) remove(r *resident) {
	sh := s.shard(r.id)
	sh.mu.Lock()
	if sh.residents[r.id] == r {
		delete(sh.residents, r.id)
	}
	if sh.account == r {
		sh.account = nil
	}
	sh.mu.Unlock()
	r.mu.Lock()
	r.removed = true
	r.notifyWaiters()
	r.mu.Unlock()
}

// all returns the present residents of the shard.
func (sh *shard) all() []*resident {
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	list := make([]*resident, 0, len(sh.residents))
	for _, r := range sh.residents {
		list = append(list, r)
	}
	return list
}
