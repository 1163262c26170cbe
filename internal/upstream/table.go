package upstream

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"foxhall/internal/usage"
)

// Table holds the upstreams of the usage list that this instance may reach.
type Table struct {
	snapshot atomic.Pointer[Snapshot]

	mu     sync.Mutex
	nextID uint32
}

// Members is an immutable snapshot of the table.
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

// Members returns the present snapshot.
func (t *Table) Snapshot() *Snapshot { return t.snapshot.Load() }

// Apply puts the usage list's upstreams in force. An upstream whose entry did
// not change keeps all that is known of it; one whose address changed is a new one.
// It returns the upstreams that are no longer in the list, now leaving.
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

func reuseEndpoint(old []*Endpoint, u *Upstream, name string) *Endpoint {
	for _, c := range old {
		if c.Upstream == u {
			return c
		}
	}
	return &Endpoint{Upstream: u, Name: name}
}

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

// ApplyList takes in the platform's lagging list of one data centre: the names
// of the live and of the leaving upstreams.
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

// ModelNames returns the models that some engine has or may load, in order.
func (s *Snapshot) ModelNames() []string { return slices.Sorted(maps.Keys(s.models)) }
