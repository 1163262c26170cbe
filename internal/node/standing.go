package node

import (
	"slices"
	"sync/atomic"
	"time"

	"foxhall/internal/httpconn"
	"foxhall/internal/mirror"
)

// newcomerTime is how long an entry that registered anew counts as a newcomer after all others know it. The
// calls that they had under way when they learned of it may be above their shares. Most have ended by then.
const newcomerTime = 30 * time.Second

// standing is what the other entries know of this one, by which it takes its share of the connections to
// replicas. An entry that was registered when it started is known to them.
type standing struct {
	// knowsFleet is set once this instance has read the list of registered instances.
	knowsFleet atomic.Bool
	// settled is set once all registered entries know this one, and forgotten while they may have ceased to.
	settled, forgotten atomic.Bool
	// registersAnew is set if the list lacked this instance, and joinedAt is when it was found there.
	// followedAt is when this instance last read the store, or had the store's response relayed. Only the
	// refreshing goroutine uses them.
	registersAnew        bool
	joinedAt, followedAt time.Time
	// knownAt is since when all other entries know this one, as far as it can tell; zero while they don't.
	knownAt time.Time
}

// refreshStanding applies a change of the registered instances, or the passing of time.
func (f *fleet) refreshStanding(now time.Time) {
	s := &f.standing
	_, known := f.mirror.AsOf(mirror.Fleet)
	s.knowsFleet.Store(known)
	switch {
	case !f.isJoined():
		s.registersAnew, s.joinedAt, s.knownAt = s.registersAnew || known, time.Time{}, time.Time{}
	case s.joinedAt.IsZero():
		s.joinedAt = now
	}
	wasForgotten := s.forgotten.Load()
	s.forgotten.Store(!s.joinedAt.IsZero() && f.mayBeForgotten(now))
	if wasForgotten {
		s.registersAnew = true
		s.settled.Store(false)
		if !s.forgotten.Load() && !s.joinedAt.IsZero() {
			s.joinedAt, s.knownAt = now, time.Time{}
		}
	}
	switch {
	case s.joinedAt.IsZero():
		s.settled.Store(false)
	case !s.settled.Load() && !s.forgotten.Load():
		s.settled.Store(!s.registersAnew || f.isKnownToAll(now))
	}
}

// mayBeForgotten reports whether the others may be about to remove this entry's registration as stale, and
// to take its share of the connections, without its notice: for long it has had nothing of the store, neither
// read by itself nor relayed by another instance, and nothing from another entry.
func (f *fleet) mayBeForgotten(now time.Time) bool {
	const silence = staleTimeout - staleCheckInterval
	s := &f.standing
	if f.followsStore() {
		s.followedAt = now
	}
	if confirmedAt := now.Add(-f.mirror.Age(mirror.Fleet, now)); confirmedAt.After(s.followedAt) {
		s.followedAt = confirmedAt
	}
	if now.Sub(s.joinedAt) < silence || now.Sub(s.followedAt) < silence {
		return false
	}
	return !slices.ContainsFunc(f.others(), func(m member) bool { return m.Entry && f.contactedWithin(m.Name, silence) })
}

// isKnownToAll reports whether every other entry has known this one for newcomerTime. An entry sends
// datagrams only to those that it knows. One that sends none may be cut off and hold a share that leaves
// this one out, until its registration is removed.
func (f *fleet) isKnownToAll(now time.Time) bool {
	s, alone := &f.standing, true
	for _, m := range f.others() {
		if !m.Entry {
			continue
		}
		alone = false
		if !f.contactedWithin(m.Name, now.Sub(s.joinedAt)) {
			s.knownAt = time.Time{}
			return false
		}
	}
	if s.knownAt.IsZero() {
		s.knownAt = now
	}
	return alone || now.Sub(s.knownAt) >= newcomerTime
}

// connectionShare returns the number of connections that this instance may open to a replica that
// accepts limit connections from all entries together.
func (f *fleet) connectionShare(limit int) int {
	s, entries := &f.standing, f.entryCount()
	forgotten := s.forgotten.Load()
	if entries == 1 && !s.knowsFleet.Load() || entries > 1 && forgotten {
		entries = 0
	}
	return httpconn.Share(limit, entries, forgotten || !s.settled.Load())
}
