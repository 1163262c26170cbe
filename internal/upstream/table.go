package upstream

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"foxhall/internal/usage"
)

// Table is the set of upstreams in the usage list that this instance may call.
type Table struct {
	snapshot atomic.Pointer[Snapshot]

	mu     sync.Mutex
	nextID uint32
}

// Snapshot is an immutable view of the table.
type Snapshot struct {
	// All is in the order of the usage list.
	All      []*Upstream
	byName   map[string]*Upstream
	models   map[string][]*Endpoint
	services map[string][]*Endpoint
}

// Model returns the engines that have or may load the model.
func (s *Snapshot) Model(name string) []*Endpoint { return s.models[name] }

// Service returns the replicas of the service.
func (s *Snapshot) Service(name string) []*Endpoint { return s.services[name] }

// Upstream returns the upstream of that name, or nil.
func (s *Snapshot) Upstream(name string) *Upstream { return s.byName[name] }

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	t.snapshot.Store(&Snapshot{})
	return t
}

// Snapshot returns the current snapshot.
func (t *Table) Snapshot() *Snapshot { return t.snapshot.Load() }

// Apply replaces the table's upstreams by those of the usage list. An upstream whose entry did not
// change keeps its state; one whose entry changed, for example to a new address, is replaced by a
// new upstream. Apply marks the removed and replaced upstreams as draining and returns them.
func (t *Table) Apply(listed []usage.Upstream, now time.Time) []*Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.snapshot.Load()
	next := &Snapshot{byName: map[string]*Upstream{}, models: map[string][]*Endpoint{}, services: map[string][]*Endpoint{}}
	for _, entry := range listed {
		u := old.byName[entry.Name]
		if u == nil || !sameUpstream(&u.Upstream, &entry) {
			t.nextID++
			u = &Upstream{Upstream: entry, ID: t.nextID}
		}
		next.add(u, old)
	}
	t.snapshot.Store(next)
	return drainRemoved(old, next, now)
}

func sameUpstream(a, b *usage.Upstream) bool {
	return a.Kind == b.Kind && a.Address == b.Address && a.DataCentre == b.DataCentre &&
		a.Service == b.Service && a.Slots == b.Slots && a.CacheTokens == b.CacheTokens &&
		a.Fenced == b.Fenced && slices.Equal(a.Models, b.Models)
}

func (s *Snapshot) add(u *Upstream, old *Snapshot) {
	s.All = append(s.All, u)
	s.byName[u.Name] = u
	if u.Kind == usage.KindService {
		s.services[u.Service] = append(s.services[u.Service], reuseEndpoint(old.services[u.Service], u, u.Service))
		return
	}
	for _, model := range u.Models {
		s.models[model] = append(s.models[model], reuseEndpoint(old.models[model], u, model))
	}
}

// reuseEndpoint returns the endpoint of the upstream in old, or a new one.
func reuseEndpoint(old []*Endpoint, u *Upstream, name string) *Endpoint {
	for _, e := range old {
		if e.Upstream == u {
			return e
		}
	}
	return &Endpoint{Upstream: u, Name: name}
}

// drainRemoved marks the upstreams of old that are not in next as draining and returns them.
func drainRemoved(old, next *Snapshot, now time.Time) []*Upstream {
	var removed []*Upstream
	for _, u := range old.All {
		if next.byName[u.Name] != u {
			u.MarkDraining(now)
			removed = append(removed, u)
		}
	}
	return removed
}

// ApplyList applies the platform's lagging list of one data centre: the names of the live and of
// the draining upstreams.
func (t *Table) ApplyList(dataCentre string, live, draining []string, now time.Time) {
	states := map[string]ListState{}
	for _, name := range live {
		states[name] = Listed
	}
	for _, name := range draining {
		states[name] = ListedDraining
	}
	for _, u := range t.Snapshot().All {
		if u.DataCentre == dataCentre {
			u.SetListState(states[u.Name], now)
		}
	}
}

// ModelNames returns the sorted names of the models that some engine has or may load.
func (s *Snapshot) ModelNames() []string { return slices.Sorted(maps.Keys(s.models)) }
