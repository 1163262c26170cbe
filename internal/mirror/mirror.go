// Package mirror holds an instance's copy of the store's kinds. A few
// instances follow the store itself; the others take what changed from them,
// in the same form, so that calls to the store grow with changes and data
// centres and not with instances.
package mirror

import (
	"slices"
	"sync"
	"time"

	"foxhall/internal/store"
)

// Kind names a kind of object that is mirrored.
type Kind string

// The mirrored kinds.
const (
	// Config holds the operators' configuration, as one object.
	Config Kind = "config"
	// Replicas holds one entry for each replica that is alive or leaving.
	Replicas Kind = "replicas"
	// Retirements holds the operators' orders to empty an instance.
	Retirements Kind = "retirements"
	// Fleet holds what instances agree on among themselves.
	Fleet Kind = "fleet"
)

// Kinds lists all mirrored kinds.
var Kinds = []Kind{Config, Replicas, Retirements, Fleet}

// ConfigName is the one object of the kind Config.
const ConfigName = "main"

// keptRemovals bounds the removals that are remembered for peers that lag. One
// that lags further is sent the whole kind.
const maxTombstones = 512

// Entry is one object at its last change.
type Entry struct {
	Name     string
	Revision store.Version
	Value    []byte
}

// Delta is what changed in a kind after From and up to AsOf.
type Delta struct {
	Kind Kind
	// Full says that Entries are all of the kind, whatever From is.
	Full       bool
	From, AsOf store.Version
	Entries    []Entry
	Removed    []Entry
}

// copyOf is the mirrored state of one kind.
type kindCopy struct {
	known      bool
	asOf       store.Version
	entries    map[string]Entry
	tombstones []Entry
	// since is the version from which on removed is complete.
	tombstonesSince store.Version
	// confirmed is when the store last said what the kind holds, returned when it
	// last did so after an outage.
	confirmedAt, returnedAt time.Time
}

// Mirror is the copy of all kinds. It is safe for concurrent use.
type Mirror struct {
	mu        sync.Mutex
	kinds     map[Kind]*kindCopy
	listeners []func(Kind)
	// unsettledUntil is until when a removed replica may only be unheard of.
	graceUntil time.Time
}

// New returns an empty mirror.
func New() *Mirror {
	m := &Mirror{kinds: map[Kind]*kindCopy{}}
	for _, k := range Kinds {
		m.kinds[k] = &kindCopy{entries: map[string]Entry{}}
	}
	return m
}

// OnChange adds a function that is called, without a lock held, after a kind
// has changed. It must be called before the mirror is shared.
func (m *Mirror) OnChange(f func(Kind)) { m.listeners = append(m.listeners, f) }

// AsOf returns the version up to which the kind is known, and whether it is known at all.
func (m *Mirror) AsOf(k Kind) (store.Version, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.kinds[k]
	return c.asOf, c.known
}

// Age returns how long ago the store last said what the kind holds, to this
// instance or to one that told it.
func (m *Mirror) Age(k Kind, now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.kinds[k].confirmedAt)
}

// Confirm notes that the store said so at the time.
func (m *Mirror) Confirm(k Kind, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.kinds[k]
	if !at.After(c.confirmedAt) {
		return
	}
	if !c.confirmedAt.IsZero() && at.Sub(c.confirmedAt) >= outageThreshold {
		c.returnedAt = at
	}
	c.confirmedAt = at
}

// AfterOutage reports whether the store is silent for so long, or was until a
// moment ago, that entries may have lapsed meanwhile.
func (m *Mirror) AfterOutage(k Kind, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.kinds[k]
	silent := !c.confirmedAt.IsZero() && now.Sub(c.confirmedAt) >= outageThreshold
	return silent || now.Sub(c.returnedAt) < registrationTime
}

// Doubt takes back when the store last confirmed what is mirrored: this process
// did not run for a while, and what it holds may have changed unseen.
func (m *Mirror) MarkStale() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.kinds {
		c.confirmedAt = time.Time{}
	}
}

// Entries returns the kind's entries in the order of their names.
func (m *Mirror) Entries(k Kind) []Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.kinds[k].sortedEntries()
}

// Get returns one entry.
func (m *Mirror) Get(k Kind, name string) (Entry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.kinds[k].entries[name]
	return e, ok
}

// Since returns what changed in the kind after a version; false if nothing did.
func (m *Mirror) Since(k Kind, from store.Version, known bool) (Delta, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.kinds[k]
	if !c.known || known && from >= c.asOf {
		return Delta{}, false
	}
	d := Delta{Kind: k, From: from, AsOf: c.asOf}
	if !known || from < c.tombstonesSince {
		d.Full = true
		d.Entries = c.sortedEntries()
		return d, true
	}
	for _, e := range c.sortedEntries() {
		if e.Revision > from {
			d.Entries = append(d.Entries, e)
		}
	}
	for _, e := range c.tombstones {
		if e.Revision > from {
			d.Removed = append(d.Removed, e)
		}
	}
	return d, true
}

// Apply takes in a delta, and reports whether anything changed. What is older
// than the copy changes nothing, so that a late answer never takes it back.
func (m *Mirror) Apply(d Delta) bool {
	m.mu.Lock()
	changed, becameKnown := m.kinds[d.Kind].apply(d)
	m.mu.Unlock()
	if changed || becameKnown {
		for _, f := range m.listeners {
			f(d.Kind)
		}
	}
	return changed
}

// apply reports whether entries changed, and whether the kind became known.
func (c *kindCopy) apply(d Delta) (changed, becameKnown bool) {
	switch {
	case c.known && (d.AsOf < c.asOf || d.AsOf == c.asOf && !d.Full):
		return false, false
	case d.Full:
		changed = c.applyListing(d)
	case !c.known || d.From > c.asOf:
		return false, false
	default:
		changed = c.applyChanges(d)
	}
	becameKnown = !c.known
	c.known, c.asOf = true, d.AsOf
	return changed, becameKnown
}

// replace takes in a whole listing. What it lacks was removed at some revision
// up to its own; told so, peers need not be sent the whole kind again.
func (c *kindCopy) applyListing(d Delta) bool {
	if !c.known {
		for _, e := range d.Entries {
			c.entries[e.Name] = e
		}
		c.tombstonesSince = d.AsOf
		return len(d.Entries) > 0
	}
	listed := map[string]bool{}
	for _, e := range d.Entries {
		listed[e.Name] = true
	}
	for name := range c.entries {
		if !listed[name] {
			d.Removed = append(d.Removed, Entry{Name: name, Revision: d.AsOf})
		}
	}
	return c.applyChanges(d)
}

func (c *kindCopy) applyChanges(d Delta) bool {
	changed := false
	for _, e := range d.Entries {
		if e.Revision > c.entries[e.Name].Revision {
			c.entries[e.Name] = e
			changed = true
		}
	}
	for _, e := range d.Removed {
		if e.Revision < c.asOf {
			continue
		}
		if old, ok := c.entries[e.Name]; ok && old.Revision <= e.Revision {
			delete(c.entries, e.Name)
			changed = true
		}
		c.tombstones = append(c.tombstones, Entry{Name: e.Name, Revision: e.Revision})
	}
	if over := len(c.tombstones) - maxTombstones; over > 0 {
		c.tombstonesSince = c.tombstones[over-1].Revision
		c.tombstones = slices.Clone(c.tombstones[over:])
	}
	return changed
}

func (c *kindCopy) sortedEntries() []Entry {
	entries := make([]Entry, 0, len(c.entries))
	for _, e := range c.entries {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		switch {
		case a.Name < b.Name:
			return -1
		case a.Name > b.Name:
			return 1
		default:
			return 0
		}
	})
	return entries
}

// Unsettled returns how much longer a removed replica may only be unheard of:
// entries lapse while the store is away, and those of living replicas are back
// a moment after its return.
func (m *Mirror) RegistrationGrace(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(0, m.graceUntil.Sub(now))
}

// SetUnsettled notes that entries may be missing until then.
func (m *Mirror) SetRegistrationGrace(until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if until.After(m.graceUntil) {
		m.graceUntil = until
	}
}
