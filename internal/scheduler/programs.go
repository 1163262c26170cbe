package scheduler

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxhall/internal/upstream"
)

const (
	programShards = 64
	// maxProgramsPerShard bounds the number of programs that are remembered. 640,000 programs over
	// 370 instances are under 2,000 for each instance; the bound leaves a factor of 30.
	maxProgramsPerShard = 1024
)

// programs holds the state of the running programs that placement needs, sharded by name.
type programs struct {
	shards [programShards]programShard
}

type programShard struct {
	mu     sync.Mutex
	states map[string]*programState
}

type programState struct {
	startedAt, lastUsedAt time.Time
	// attained is the service time of the program with its sub-agents, accounted to its root.
	attained time.Duration
	steps    int
	// lastUpstream is the identity of the upstream of the last model step; 0 if none.
	lastUpstream uint32
	// cacheHolders are the addresses of the engines that hold cache memory of the program.
	cacheHolders map[string]struct{}
	// waitingTool is the tool that the program has waited for since waitingSince; empty if none.
	waitingTool  string
	waitingSince time.Time
}

func newPrograms() *programs {
	p := &programs{}
	for i := range p.shards {
		p.shards[i].states = map[string]*programState{}
	}
	return p
}

func (p *programs) shard(name string) *programShard {
	return &p.shards[xxhash.Sum64String(name)%programShards]
}

// with calls f with the program's state, created if needed, under the lock of its shard.
func (p *programs) with(name string, now time.Time, f func(*programState)) {
	s := p.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.states[name]
	if state == nil {
		s.evictIfFull()
		state = &programState{startedAt: now, cacheHolders: map[string]struct{}{}}
		s.states[name] = state
	}
	state.lastUsedAt = now
	f(state)
}

// evictIfFull removes the least recently used program if the shard is full.
func (s *programShard) evictIfFull() {
	if len(s.states) < maxProgramsPerShard {
		return
	}
	oldest := ""
	for name, state := range s.states {
		if oldest == "" || state.lastUsedAt.Before(s.states[oldest].lastUsedAt) {
			oldest = name
		}
	}
	delete(s.states, oldest)
}

func (p *programs) recordPlacement(name string, now time.Time, u *upstream.Upstream) {
	p.with(name, now, func(state *programState) {
		state.lastUpstream = u.ID
		state.steps++
		state.cacheHolders[u.Address] = struct{}{}
	})
}

// dropOtherHolders removes all engines but the one at the address from the program's cache holders,
// and returns the addresses that it removed.
func (p *programs) dropOtherHolders(name, address string, now time.Time) []string {
	var dropped []string
	p.with(name, now, func(state *programState) {
		for other := range state.cacheHolders {
			if other != address {
				dropped = append(dropped, other)
				delete(state.cacheHolders, other)
			}
		}
	})
	return dropped
}

func (p *programs) addService(root string, now time.Time, service time.Duration) {
	p.with(root, now, func(state *programState) { state.attained += service })
}

func (p *programs) attained(root string, now time.Time) (attained time.Duration, steps int) {
	p.with(root, now, func(state *programState) { attained, steps = state.attained, state.steps })
	return attained, steps
}

func (p *programs) lastUpstream(name string, now time.Time) (id uint32) {
	p.with(name, now, func(state *programState) { id = state.lastUpstream })
	return id
}

func (p *programs) remove(name string) []string {
	s := p.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.states[name]
	if state == nil {
		return nil
	}
	delete(s.states, name)
	return slices.Sorted(maps.Keys(state.cacheHolders))
}

func (p *programs) names() []string {
	var names []string
	p.each(func(name string, _ *programState) { names = append(names, name) })
	return names
}

func (p *programs) each(f func(string, *programState)) {
	for i := range p.shards {
		s := &p.shards[i]
		s.mu.Lock()
		for name, state := range s.states {
			f(name, state)
		}
		s.mu.Unlock()
	}
}
