package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"foxhall/internal/program"
	"foxhall/internal/program/programpb"
)

// shard holds the residents of one slice.
type shard struct {
	mu        sync.RWMutex
	residents map[program.ID]*resident
	// ending is held while programs are ended into the account.
	endMu sync.Mutex
	// account is the open account of the slice's earnings, or nil.
	account *resident
	// uncertain are cohorts whose programs of this slice may be missing here.
	uncertain map[program.Cohort]bool
}

// tree is what the programs of one root share.
type tree struct {
	// attained is in nanoseconds.
	attained atomic.Int64
}

// resident is a program owned here. Whoever has claimed it alone changes the
// state; the lock is held for reads and for the change itself, never over I/O.
type resident struct {
	id   program.ID
	tree *tree

	mu    sync.Mutex
	state *program.State
	// pending are events that the state holds and the log may not.
	pending []program.Event
	// notes are decided and go into the log with the next events.
	deferred []*programpb.Event
	// claimed says that someone is about to change the state.
	claimed bool
	// adopting says that the program is claimed until its slice is adopted. It
	// is resident already, since a program that is not counts as ended when the
	// log is compacted.
	adopting bool
	// saving says that an append is under way, so that the log may be ahead of the state.
	saving bool
	// flight is the step under way, or nil.
	flight *flight
	// changed is closed when the claim, the flight or the state changes; nil without waiters.
	changed chan struct{}
	waiters int
	// opening is the number of sub-agents whose first step is under way.
	openingChildren int
	// launched says that a step was begun.
	started bool
	// saved says that the log may hold events of the program.
	saved bool
	// gone says that the program left this instance or ended.
	removed bool
	stalled bool
	// released says that the release hooks were called.
	released bool
	// adopted says that the program came from another log. An account that did
	// is joined to the slice's own.
	adopted bool
	// askedAt is when services were last asked about unknown steps.
	lookedUpAt time.Time
	usedAt     time.Time
}

// wake tells the waiters to look again. The lock is held.
func (r *resident) notifyWaiters() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// changes returns a channel that is closed at the next change. The lock is held.
func (r *resident) changeChannel() <-chan struct{} {
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

// claim waits until nobody else changes the program, and reports whether the
// program is still here and ctx has not ended.
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

// tryClaim claims the program if nobody else has and it is here.
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

// remove takes the program out of this instance.
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

// all returns the residents of one slice as they are now.
func (sh *shard) all() []*resident {
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	list := make([]*resident, 0, len(sh.residents))
	for _, r := range sh.residents {
		list = append(list, r)
	}
	return list
}
