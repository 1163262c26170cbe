package mirror

import (
	"slices"
	"time"

	"foxhall/internal/store"
)

// Feed reports which entries of a kind changed, so that the cost of following a kind is that of its
// changes and not that of its entries.
type Feed struct {
	mirror *Mirror
	kind   Kind
	// pending holds the names of the entries that changed since the last Take. The mirror's lock
	// protects it.
	pending map[string]struct{}
	// passed are entries that came and went, applying is set between Take and Applied, since and until are as of the last
	// contents applied.
	passed       []Entry
	applying     bool
	since, until time.Time
}

// NewFeed returns a feed of the kind's entries and their changes.
func (m *Mirror) NewFeed(k Kind) *Feed {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := &Feed{mirror: m, kind: k, pending: map[string]struct{}{}}
	for name := range m.kinds[k].entries {
		f.pending[name] = struct{}{}
	}
	m.kinds[k].feeds = append(m.kinds[k].feeds, f)
	return f
}

// Take returns the entries that changed since the last call, as they are now, and the names of those
// that were removed.
func (f *Feed) Take() (changed []Entry, removed []string) {
	f.mirror.mu.Lock()
	defer f.mirror.mu.Unlock()
	entries := f.mirror.kinds[f.kind].entries
	for name := range f.pending {
		if e, ok := entries[name]; ok {
			changed = append(changed, e)
		} else {
			removed = append(removed, name)
		}
	}
	f.pending = map[string]struct{}{}
	f.applying = true
	return changed, removed
}

// TakePassed returns the entries that came and went since the last call.
func (f *Feed) TakePassed() []Entry {
	f.mirror.mu.Lock()
	defer f.mirror.mu.Unlock()
	passed := f.passed
	f.passed = nil
	return passed
}

// Applied is called once what Take and TakePassed returned is in use.
func (f *Feed) Applied() {
	f.mirror.mu.Lock()
	defer f.mirror.mu.Unlock()
	f.applying = false
}

// Complete returns the interval of which no change is missing in what the feed's user applied. It ends when the last
// read of the store began, and is empty if there was none. The read was made by this instance; one of the configuration
// may have been made by a peer.
func (f *Feed) Complete() (since, until time.Time) {
	f.mirror.handleSuspension()
	f.mirror.mu.Lock()
	defer f.mirror.mu.Unlock()
	if len(f.pending) == 0 && len(f.passed) == 0 && !f.applying {
		c := f.mirror.kinds[f.kind]
		f.since, f.until = c.unbrokenSince, c.provenAt
	}
	return f.since, f.until
}

// maxLoggedChanges bounds the changes of a kind that are kept in order. A peer that is further
// behind costs a search of all entries.
const maxLoggedChanges = 4096

// changeLog is a bounded list of changes in the order of their revisions.
type changeLog struct {
	records []changeRecord
	// completeSince is the version after which no change is missing.
	completeSince store.Version
}

type changeRecord struct {
	name     string
	revision store.Version
}

// add adds a change. Changes arrive nearly in order, so the search for its place starts at the end.
func (l *changeLog) add(name string, revision store.Version) {
	at := len(l.records)
	for at > 0 && l.records[at-1].revision > revision {
		at--
	}
	l.records = slices.Insert(l.records, at, changeRecord{name, revision})
	if len(l.records) > maxLoggedChanges {
		dropped := len(l.records) / 4
		l.completeSince = max(l.completeSince, l.records[dropped-1].revision)
		l.records = slices.Clone(l.records[dropped:])
	}
}

// since returns the changes after a version, and false if some of them may be missing.
func (l *changeLog) since(from store.Version) (records []changeRecord, complete bool) {
	if from < l.completeSince {
		return nil, false
	}
	first := len(l.records)
	for first > 0 && l.records[first-1].revision > from {
		first--
	}
	return l.records[first:], true
}
