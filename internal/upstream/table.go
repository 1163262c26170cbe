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
//
// A change costs as much as the upstreams that change, and one copy of the lists of pointers that
// they are in: a fleet has ten thousand upstreams, and some of them change at every moment.
type Table struct {
	snapshot atomic.Pointer[Snapshot]
	index    index
	active   activeSet

	mu     sync.Mutex
	nextID uint32
	groups map[groupKey]*group
}

// Snapshot is an immutable view of the table.
type Snapshot struct {
	// All is in no particular order.
	All      []*Upstream
	index    *index
	models   map[string][]*Endpoint
	services map[string][]*Endpoint
}

// Model returns the engines that have or may load the model.
func (s *Snapshot) Model(name string) []*Endpoint { return s.models[name] }

// Service returns the replicas of the service.
func (s *Snapshot) Service(name string) []*Endpoint { return s.services[name] }

// Upstream returns the upstream that has the name at present, or nil.
func (s *Snapshot) Upstream(name string) *Upstream { return s.index.byName(name) }

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{groups: map[groupKey]*group{}}
	t.index.init()
	t.active.upstreams = map[*Upstream]struct{}{}
	t.snapshot.Store(&Snapshot{index: &t.index})
	return t
}

// Snapshot returns the current snapshot.
func (t *Table) Snapshot() *Snapshot { return t.snapshot.Load() }

// ByHash returns the upstream whose name has the hash, or nil.
func (t *Table) ByHash(hash uint64) *Upstream { return t.index.byHash(hash) }

// ByID returns the upstream with the id, or nil.
func (t *Table) ByID(id uint32) *Upstream { return t.index.byID(id) }

// Apply replaces the table's upstreams by those of the usage list. An upstream whose entry did not
// change keeps its state; one whose entry changed, for example to a new address, is replaced by a
// new upstream. Apply marks the removed and replaced upstreams as draining and returns them.
func (t *Table) Apply(listed []usage.Upstream, now time.Time) []*Upstream {
	names := make(map[string]bool, len(listed))
	for i := range listed {
		names[listed[i].Name] = true
	}
	var removed []string
	for _, u := range t.Snapshot().All {
		if !names[u.Name] {
			removed = append(removed, u.Name)
		}
	}
	return t.Update(listed, removed, now)
}

// Update adds or replaces upstreams and removes those of the given names. Like Apply, it keeps the
// state of an upstream whose entry did not change, marks the removed and replaced ones as draining
// and returns them.
func (t *Table) Update(changed []usage.Upstream, removed []string, now time.Time) []*Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	edit := newEdit(t)
	for _, name := range removed {
		edit.remove(t.index.byName(name))
	}
	for i := range changed {
		entry := &changed[i]
		u := t.index.byName(entry.Name)
		if u != nil && sameUpstream(&u.Upstream, entry) {
			continue
		}
		edit.remove(u)
		edit.add(entry)
	}
	if edit.changed {
		t.snapshot.Store(edit.next)
	}
	for _, u := range edit.removed {
		u.MarkDraining(now)
	}
	return edit.removed
}

func sameUpstream(a, b *usage.Upstream) bool {
	return a.Kind == b.Kind && a.Address == b.Address && a.DataCentre == b.DataCentre &&
		a.Service == b.Service && a.Slots == b.Slots && a.CacheTokens == b.CacheTokens &&
		a.Fenced == b.Fenced && a.Version == b.Version && slices.Equal(a.Models, b.Models)
}

// edit builds the snapshot after one update. It copies each list at the first change of it.
type edit struct {
	table   *Table
	next    *Snapshot
	copied  map[*group]bool
	removed []*Upstream
	changed bool
}

// newEdit returns an edit of the table's snapshot; the lock is held.
func newEdit(t *Table) *edit {
	old := t.snapshot.Load()
	return &edit{
		table:  t,
		next:   &Snapshot{All: old.All, index: &t.index, models: maps.Clone(old.models), services: maps.Clone(old.services)},
		copied: map[*group]bool{},
	}
}

// begin copies what every change affects.
func (e *edit) begin() {
	if e.changed {
		return
	}
	e.changed = true
	e.next.All = slices.Clone(e.next.All)
	if e.next.models == nil {
		e.next.models, e.next.services = map[string][]*Endpoint{}, map[string][]*Endpoint{}
	}
}

func (e *edit) add(entry *usage.Upstream) {
	e.begin()
	t := e.table
	t.nextID++
	u := newUpstream(*entry, t.nextID, &t.active)
	u.position = len(e.next.All)
	e.next.All = append(e.next.All, u)
	for _, key := range groupKeys(entry) {
		g := t.groups[key]
		if g == nil {
			g = &group{key: key}
			t.groups[key] = g
		}
		endpoint := &Endpoint{Upstream: u, Name: key.name, group: g}
		u.endpoints = append(u.endpoints, endpoint)
		list := e.list(g)
		endpoint.position.Store(int32(len(list)))
		e.setList(g, append(list, endpoint))
	}
	t.index.add(u)
}

// remove removes an upstream. The last one of each list takes its place.
func (e *edit) remove(u *Upstream) {
	if u == nil {
		return
	}
	e.begin()
	last := len(e.next.All) - 1
	e.next.All[u.position] = e.next.All[last]
	e.next.All[u.position].position = u.position
	e.next.All = e.next.All[:last]
	for _, endpoint := range u.endpoints {
		g := endpoint.group
		list := e.list(g)
		at, last := endpoint.position.Load(), len(list)-1
		list[at] = list[last]
		list[at].position.Store(at)
		e.setList(g, list[:last])
		g.leave(endpoint)
	}
	e.table.index.remove(u)
	e.removed = append(e.removed, u)
}

// list returns the group's endpoints, copied if they are those of the old snapshot.
func (e *edit) list(g *group) []*Endpoint {
	list := e.lists(g)[g.key.name]
	if !e.copied[g] {
		e.copied[g] = true
		list = slices.Clone(list)
	}
	return list
}

func (e *edit) setList(g *group, list []*Endpoint) {
	if len(list) == 0 {
		delete(e.lists(g), g.key.name)
		return
	}
	e.lists(g)[g.key.name] = list
}

func (e *edit) lists(g *group) map[string][]*Endpoint {
	if g.key.service {
		return e.next.services
	}
	return e.next.models
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
