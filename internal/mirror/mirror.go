// Package mirror holds an instance's local copy of the store's contents. A few instances follow the
// store itself, and the others receive the changes from them in the same form. The number of store
// calls thus grows with changes and data centres, not with instances.
package mirror

import (
	"slices"
	"sync"
	"time"

	"foxhall/internal/store"
	"foxhall/internal/wake"
)

// Kind is a kind of mirrored object.
type Kind string

// The mirrored kinds.
const (
	// Config holds the operators' configuration as one object.
	Config Kind = "config"
	// Replicas holds one entry for each replica that is live or draining.
	Replicas Kind = "replicas"
	// Retirements holds the operators' orders to drain an instance.
	Retirements Kind = "retirements"
	// Fleet holds what instances agree on: their registrations and the assignment of shards.
	Fleet Kind = "fleet"
)

// Kinds lists all mirrored kinds.
var Kinds = []Kind{Config, Replicas, Retirements, Fleet}

// ConfigName is the name of the only object of the kind Config.
const ConfigName = "main"

// maxTombstones bounds the tombstones of a kind that are retained for outdated peers. A peer that
// is further behind receives all entries of the kind.
const maxTombstones = 512

// maxUnseen is the time between two responses about a kind in which no entry is assumed to come, to be used elsewhere
// and to go, where the store's history does not show it.
const maxUnseen = 2 * time.Second

// Entry is one object as of its last change.
type Entry struct {
	Name     string
	Revision store.Version
	Value    []byte
}

// Delta holds the changes of a kind after From and up to AsOf.
type Delta struct {
	Kind Kind
	// Full is true if Entries are all entries of the kind, whatever From is.
	Full bool
	// Partial is true for a listing that lacks entries that could not be found.
	Partial    bool
	From, AsOf store.Version
	Entries    []Entry
	Removed    []Entry
	// Passed are entries that were written and then replaced or removed after From and up to AsOf.
	Passed []Entry
}

// kindCopy is the mirrored state of one kind.
type kindCopy struct {
	known   bool
	asOf    store.Version
	entries map[string]Entry
	// changes lists the latest changed entries in the order of their revisions.
	changes    changeLog
	tombstones []Entry
	// tombstonesSince is the version after which tombstones are complete.
	tombstonesSince store.Version
	// feeds are told which entries change.
	feeds []*Feed
	// confirmedAt is the time of the store's last known response about the kind; zero if there is
	// none or the state is stale. returnedAt is the time of the first response after the latest
	// outage.
	confirmedAt, returnedAt time.Time
	// provenAt is when a read of the store began after which the state lacks no change; zero if there is none. It was made by
	// this process or, for the configuration, by another one that told it in response to a question. A response that
	// arrives late proves nothing of the time since. unbrokenSince is since when no entry can have come and gone unseen.
	provenAt, unbrokenSince time.Time
	// partial is set while entries may be missing that could not be found.
	partial bool
}

// Mirror is the local copy of all kinds. It is safe for concurrent use.
type Mirror struct {
	timing      Timing
	suspensions *wake.Suspensions

	mu        sync.Mutex
	kinds     map[Kind]*kindCopy
	listeners []func(Kind)
	// graceUntil is the time until which a removed replica may still be alive and about to register
	// again.
	graceUntil time.Time
	// staleAt is when the state was last marked stale.
	staleAt time.Time
}

// New returns an empty mirror.
func New() *Mirror {
	m := &Mirror{timing: NewTiming(0, 0), suspensions: wake.NewSuspensions(), kinds: map[Kind]*kindCopy{}}
	for _, k := range Kinds {
		m.kinds[k] = &kindCopy{entries: map[string]Entry{}}
	}
	return m
}

// OnChange adds a function that is called, without the lock held, after a kind has changed.
// OnChange must be called before the mirror is shared.
func (m *Mirror) OnChange(f func(Kind)) { m.listeners = append(m.listeners, f) }

// AsOf returns the version up to which the kind is known, and whether it is known at all.
func (m *Mirror) AsOf(k Kind) (store.Version, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.kinds[k]
	return c.asOf, c.known
}

// Age returns the time since the store's last response about the kind, to this instance or to
// another that relayed it.
func (m *Mirror) Age(k Kind, now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.kinds[k].confirmedAt)
}

// Confirm records that the store confirmed the mirrored state of the kind at a time.
func (m *Mirror) Confirm(k Kind, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.kinds[k]
	if !at.After(c.confirmedAt) {
		return
	}
	if !c.confirmedAt.IsZero() && at.Sub(c.confirmedAt) >= m.timing.outageThreshold {
		c.returnedAt = at
	}
	c.confirmedAt = at
}

// EntriesMayHaveExpired reports whether entries may have expired because the store is unresponsive,
// or was until less than registrationTime ago.
func (m *Mirror) EntriesMayHaveExpired(k Kind, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.kinds[k]
	silent := !c.confirmedAt.IsZero() && now.Sub(c.confirmedAt) >= m.timing.outageThreshold
	return silent || now.Sub(c.returnedAt) < registrationTime
}

// MarkStale marks all kinds as unconfirmed. It is called after a pause of this process, in which
// the store may have changed unnoticed.
func (m *Mirror) MarkStale() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.staleAt = time.Now()
	for _, c := range m.kinds {
		c.confirmedAt, c.provenAt = time.Time{}, time.Time{}
	}
}

// handleSuspension marks the state as stale if the machine was suspended: the clock of the times here excludes that.
func (m *Mirror) handleSuspension() { m.suspensions.Handle(m.MarkStale) }

// prove records that a read of the store found a version of a kind. It began the given age before a question of this
// process, or with it. A question from before the state was marked stale proves nothing: how long ago it was is unknown.
func (m *Mirror) prove(k Kind, asked time.Time, age time.Duration, asOf store.Version) {
	m.handleSuspension()
	m.mu.Lock()
	defer m.mu.Unlock()
	at := asked.Add(-age)
	if c := m.kinds[k]; c.known && c.asOf >= asOf && at.After(c.provenAt) && !asked.Before(m.staleAt) {
		c.provenAt = at
	}
}

// IsCurrent reports whether the mirror lacks no change of the kind that has to be in force by now.
func (m *Mirror) IsCurrent(k Kind, now time.Time) bool {
	m.handleSuspension()
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.kinds[k].provenAt) <= m.timing.changeDeadline
}

// version returns the version of a kind and the age that peers are told of it.
func (m *Mirror) version(k Kind, now time.Time) (asOf store.Version, age time.Duration, known bool) {
	m.handleSuspension()
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.kinds[k]
	confirmedAt := c.confirmedAt
	if k == Config {
		confirmedAt = c.provenAt
	}
	return c.asOf, now.Sub(confirmedAt), c.known
}

// unseenFor returns the time since the last known response about the kind.
func (m *Mirror) unseenFor(k Kind, now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.kinds[k].unseenFor(now)
}

func (c *kindCopy) unseenFor(now time.Time) time.Duration {
	return min(now.Sub(c.provenAt), now.Sub(c.confirmedAt))
}

// Entries returns the kind's entries sorted by name.
func (m *Mirror) Entries(k Kind) []Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.kinds[k].sortedEntries()
}

// Len returns the number of the kind's entries.
func (m *Mirror) Len(k Kind) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.kinds[k].entries)
}

// Get returns one entry.
func (m *Mirror) Get(k Kind, name string) (Entry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.kinds[k].entries[name]
	return e, ok
}

// Since returns the changes of the kind after a version, and false if there are none. With known
// false, which stands for a peer that has no version of the kind, it returns all entries.
func (m *Mirror) Since(k Kind, from store.Version, known bool) (Delta, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.kinds[k]
	if !c.known || known && from >= c.asOf {
		return Delta{}, false
	}
	d := Delta{Kind: k, From: from, AsOf: c.asOf}
	whole := !known || from < c.tombstonesSince
	if whole {
		d.Entries = c.sortedEntries()
	} else {
		d.Entries = c.changedSince(from)
	}
	// Entries that could not be found must not be removed elsewhere.
	if d.Full = whole && !(known && c.partial); d.Full {
		return d, true
	}
	for _, e := range c.tombstones {
		if e.Revision > from {
			d.Removed = append(d.Removed, e)
		}
	}
	return d, true
}

// changedSince returns the entries that changed after a version.
func (c *kindCopy) changedSince(from store.Version) []Entry {
	var changed []Entry
	if names, complete := c.changes.since(from); complete {
		for _, r := range names {
			if e, ok := c.entries[r.name]; ok && e.Revision == r.revision {
				changed = append(changed, e)
			}
		}
		return changed
	}
	for _, e := range c.entries {
		if e.Revision > from {
			changed = append(changed, e)
		}
	}
	return changed
}

// set adds or replaces an entry.
func (c *kindCopy) set(e Entry) {
	c.entries[e.Name] = e
	c.changes.add(e.Name, e.Revision)
	c.notify(e.Name)
}

// remove removes an entry.
func (c *kindCopy) remove(name string) {
	delete(c.entries, name)
	c.notify(name)
}

func (c *kindCopy) notify(name string) {
	for _, f := range c.feeds {
		f.pending[name] = struct{}{}
	}
}

// Apply applies a delta and reports whether an entry changed. A delta older than the mirrored state
// has no effect, so that a delayed response never reverts that state.
func (m *Mirror) Apply(d Delta) bool {
	m.mu.Lock()
	changed, becameKnown := m.kinds[d.Kind].apply(d, time.Now())
	passed := m.kinds[d.Kind].pass(d.Passed)
	m.mu.Unlock()
	if changed || becameKnown || passed {
		for _, f := range m.listeners {
			f(d.Kind)
		}
	}
	return changed
}

// apply reports whether entries changed, and whether the kind became known.
func (c *kindCopy) apply(d Delta, now time.Time) (changed, becameKnown bool) {
	switch {
	case c.known && (d.AsOf < c.asOf || d.AsOf == c.asOf && !d.Full):
		return false, false
	case d.Full:
		if !c.known || d.AsOf > c.asOf && c.unseenFor(now) > maxUnseen {
			c.unbrokenSince = now
		}
		changed = c.applyListing(d)
		if c.partial && !d.Partial {
			c.tombstonesSince = d.AsOf // others may lack entries that were found late, at old revisions
		}
		c.partial = d.Partial
	case !c.known || d.From > c.asOf:
		return false, false
	default:
		if c.lacksPassed(d) {
			c.unbrokenSince = now
		}
		changed = c.applyChanges(d)
		c.partial = c.partial || d.Partial
	}
	becameKnown = !c.known
	c.known, c.asOf = true, d.AsOf
	return changed, becameKnown
}

// lacksPassed reports whether a delta removes an entry that this mirror has never held.
func (c *kindCopy) lacksPassed(d Delta) bool {
	named := func(list []Entry, name string) bool {
		return slices.ContainsFunc(list, func(e Entry) bool { return e.Name == name })
	}
	for _, e := range d.Removed {
		_, held := c.entries[e.Name]
		if !held && e.Revision > c.asOf && !named(c.tombstones, e.Name) && !named(d.Passed, e.Name) {
			return true
		}
	}
	return false
}

// pass tells the feeds of entries that came and went.
func (c *kindCopy) pass(entries []Entry) bool {
	for _, f := range c.feeds {
		f.passed = append(f.passed, entries...)
	}
	return len(entries) > 0
}

// applyListing applies a complete listing. Entries that it lacks were removed at some revision up
// to its own. They get tombstones, so that peers need not be sent all entries of the kind again.
func (c *kindCopy) applyListing(d Delta) bool {
	if !c.known {
		c.removeUnlisted(d.Entries)
		for _, e := range d.Entries {
			if e.Revision < c.entries[e.Name].Revision {
				continue // listed twice
			}
			c.entries[e.Name] = e
			c.notify(e.Name)
			if e.Revision > d.AsOf {
				c.changes.add(e.Name, e.Revision) // changed while the pages of the listing were read
			}
		}
		c.tombstonesSince, c.changes.completeSince = d.AsOf, d.AsOf
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
			c.set(e)
			changed = true
		}
	}
	for _, e := range d.Removed {
		if e.Revision < c.asOf {
			continue
		}
		if old, ok := c.entries[e.Name]; ok && old.Revision <= e.Revision {
			c.remove(e.Name)
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

// RegistrationGrace returns how much longer a removed replica may still be alive. Entries expire
// during a store outage, and live replicas register again soon after it.
func (m *Mirror) RegistrationGrace(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(0, m.graceUntil.Sub(now))
}

// SetRegistrationGrace records that entries of live replicas may be missing until a time. It never
// shortens the grace.
func (m *Mirror) SetRegistrationGrace(until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if until.After(m.graceUntil) {
		m.graceUntil = until
	}
}
