package upstream

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// NameHash returns the hash by which instances name an upstream to each other.
func NameHash(name string) uint64 { return xxhash.Sum64String(name) }

// index finds the upstreams of a table.
type index struct {
	mu     sync.RWMutex
	hashes map[uint64]*Upstream
	ids    map[uint32]*Upstream
}

func (x *index) init() { x.hashes, x.ids = map[uint64]*Upstream{}, map[uint32]*Upstream{} }

func (x *index) byHash(hash uint64) *Upstream {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.hashes[hash]
}

func (x *index) byName(name string) *Upstream {
	if u := x.byHash(NameHash(name)); u != nil && u.Name == name {
		return u
	}
	return nil
}

func (x *index) byID(id uint32) *Upstream {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.ids[id]
}

func (x *index) add(u *Upstream) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.hashes[u.Hash], x.ids[u.ID] = u, u
}

func (x *index) remove(u *Upstream) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.hashes[u.Hash] == u {
		delete(x.hashes, u.Hash)
	}
	delete(x.ids, u.ID)
}

// activeSet is the set of upstreams that have calls of this instance in flight or that failed some.
// Most upstreams of a large fleet have neither, and what an instance reports of its calls is to
// cost as much as the calls.
type activeSet struct {
	mu        sync.Mutex
	upstreams map[*Upstream]struct{}
}

func (s *activeSet) add(u *Upstream) {
	if s == nil {
		return // not in a table
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upstreams[u] = struct{}{}
}

// Active returns the upstreams for which keep returns true, of those that have had calls of this
// instance in flight or failed some. The others are not returned again until they have.
func (t *Table) Active(keep func(*Upstream) bool) []*Upstream {
	s := &t.active
	s.mu.Lock()
	defer s.mu.Unlock()
	var active []*Upstream
	for u := range s.upstreams {
		if keep(u) {
			active = append(active, u)
		} else {
			delete(s.upstreams, u)
		}
	}
	return active
}
