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
	members atomic.Pointer[Snapshot]

	mu     sync.Mutex
	nextID uint32
}

// Members is an immutable snapshot of the table.
type Snapshot struct {
	// All is in the order of the usage list.
	All    []*Upstream
	byName map[string]*Upstream
	models map[string][]*Endpoint
	tools  map[string][]*Endpoint
}

// Model returns the engines that have or may load the model.
func (m *Snapshot) Model(name string) []*Endpoint { return m.models[name] }

// Service returns the replicas of the service.
func (m *Snapshot) Service(name string) []*Endpoint { return m.tools[name] }

// Upstream returns the upstream of that name, or nil.
func (m *Snapshot) Upstream(name string) *Upstream { return m.byName[name] }

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	t.members.Store(&Snapshot{})
	return t
}

// Members returns the present snapshot.
func (t *Table) Snapshot() *Snapshot { return t.members.Load() }

// Apply puts the usage list's upstreams in force. An upstream whose entry did
// not change keeps all that is known of it; one whose address changed is a new one.
// It returns the upstreams that are no longer in the list, now leaving.
func (t *Table) Apply(listed []usage.Upstream, now time.Time) []*Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.members.Load()
	next := &Snapshot{byName: map[string]*Upstream{}, models: map[string][]*Endpoint{}, tools: map[string][]*Endpoint{}}
	for _, entry := range listed {
		u := old.byName[entry.Name]
		if u == nil || !sameUpstream(&u.Upstream, &entry) {
			t.nextID++
			u = &Upstream{Upstream: entry, ID: t.nextID}
		}
		next.add(u, old)
	}
	t.members.Store(next)
	return removed(old, next, now)
}

func sameUpstream(a, b *usage.Upstream) bool {
	return a.Kind == b.Kind && a.Address == b.Address && a.DataCentre == b.DataCentre &&
		a.Service == b.Service && a.Slots == b.Slots && a.CacheTokens == b.CacheTokens &&
		a.Fenced == b.Fenced && slices.Equal(a.Models, b.Models)
}

func (m *Snapshot) add(u *Upstream, old *Snapshot) {
	m.All = append(m.All, u)
	m.byName[u.Name] = u
	if u.Kind == usage.KindService {
		m.tools[u.Service] = append(m.tools[u.Service], cellOf(old.tools[u.Service], u, u.Service))
		return
	}
	for _, model := range u.Models {
		m.models[model] = append(m.models[model], cellOf(old.models[model], u, model))
	}
}

func cellOf(old []*Endpoint, u *Upstream, name string) *Endpoint {
	for _, c := range old {
		if c.Upstream == u {
			return c
		}
	}
	return &Endpoint{Upstream: u, Name: name}
}

func removed(old, next *Snapshot, now time.Time) []*Upstream {
	var gone []*Upstream
	for _, u := range old.All {
		if next.byName[u.Name] != u {
			u.MarkDraining(now)
			gone = append(gone, u)
		}
	}
	return gone
}

// ApplyList takes in the platform's lagging list of one data centre: the names
// of the live and of the leaving upstreams.
func (t *Table) ApplyList(dataCentre string, live, leaving []string, now time.Time) {
	states := map[string]ListState{}
	for _, name := range live {
		states[name] = Listed
	}
	for _, name := range leaving {
		states[name] = ListedDraining
	}
	for _, u := range t.Snapshot().All {
		if u.DataCentre == dataCentre {
			u.SetListState(states[u.Name], now)
		}
	}
}

// ModelNames returns the models that some engine has or may load, in order.
func (m *Snapshot) ModelNames() []string { return slices.Sorted(maps.Keys(m.models)) }
