package node

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"foxhall/internal/mirror"
	"foxhall/internal/store"
)

// simulatedEntry is an entry with its connections to one replica, which it uses as far as it may.
type simulatedEntry struct {
	fleet *fleet
	name  string
	// cutOff is set while nothing reaches the entry, and nothing from it the others.
	cutOff bool
	// behind is how long the entry's view of the list lags.
	behind time.Duration
	// heard is when the entry received the last datagram of each other entry.
	heard map[string]time.Time
	// calls are the times at which the calls under way end. Each has a connection.
	calls []time.Time
}

// listChange is one change of the list of registered entries.
type listChange struct {
	at      time.Time
	entry   mirror.Entry
	removed bool
}

// entrySimulation is a fleet of entries in virtual time.
type entrySimulation struct {
	random  *rand.Rand
	limit   int
	entries []*simulatedEntry
	changes []listChange
	// removeAt is when the registration of an entry that is silent to all others is removed.
	removeAt map[string]time.Time
	started  int
}

func registrationOf(name string) []byte {
	data, err := json.Marshal(member{Name: name, IP: "10.0.0.1", DataCentre: "a", Entry: true})
	if err != nil {
		panic(err)
	}
	return data
}

func (s *entrySimulation) change(name string, removed bool) {
	e := mirror.Entry{Name: instancePrefix + name, Revision: store.Version(len(s.changes) + 1), Value: registrationOf(name)}
	s.changes = append(s.changes, listChange{at: time.Now(), entry: e, removed: removed})
}

// isListed reports whether the list contains the entry.
func (s *entrySimulation) isListed(name string) bool {
	for _, c := range slices.Backward(s.changes) {
		if c.entry.Name == instancePrefix+name {
			return !c.removed
		}
	}
	return false
}

// start starts an entry. known is set for one that was registered before.
func (s *entrySimulation) start(known bool) {
	s.started++
	e := &simulatedEntry{name: fmt.Sprint("e", s.started), heard: map[string]time.Time{}}
	e.behind = time.Duration(s.random.IntN(3)) * time.Second
	settings := &Settings{Instance: e.name, IP: "10.0.0.1", DataCentre: "a", CallersAddress: "10.0.0.1:1", PeerPort: 7}
	e.fleet = newFleet(settings, mirror.New(), nil, &log.Logger{Handler: discard.Default}, metrics.NewRegistry())
	e.fleet.contactedWithin = func(name string, within time.Duration) bool { return time.Since(e.heard[name]) < within }
	e.fleet.followsStore = func() bool { return !e.cutOff }
	s.entries = append(s.entries, e)
	if known {
		s.change(e.name, false)
	}
}

// update applies what reaches the entry of the list.
func (s *entrySimulation) update(e *simulatedEntry) {
	if e.cutOff {
		e.fleet.refreshStanding(time.Now())
		return
	}
	d := mirror.Delta{Kind: mirror.Fleet, Full: true, AsOf: 1}
	latest := map[string]listChange{}
	for i, c := range s.changes {
		if time.Since(c.at) >= e.behind {
			latest[c.entry.Name], d.AsOf = c, store.Version(i+2)
		}
	}
	for _, c := range latest {
		if !c.removed {
			d.Entries = append(d.Entries, c.entry)
		}
	}
	_, knew := e.fleet.mirror.AsOf(mirror.Fleet)
	e.fleet.mirror.Apply(d)
	e.fleet.refresh()
	if knew && !e.fleet.isJoined() && !s.isListed(e.name) {
		s.change(e.name, false)
	}
}

// exchange lets the entries that are not cut off send to those that they know.
func (s *entrySimulation) exchange() {
	for _, from := range s.entries {
		for _, to := range s.entries {
			if _, known := from.fleet.current.Load().members[to.name]; known && !from.cutOff && !to.cutOff {
				to.heard[from.name] = time.Now()
			}
		}
	}
}

// removeStale removes the registrations of the entries that have been silent for long.
func (s *entrySimulation) removeStale() {
	silent := map[string]bool{}
	for _, c := range s.changes {
		name := c.entry.Name[len(instancePrefix):]
		silent[name] = s.isListed(name)
	}
	for _, e := range s.entries {
		silent[e.name] = silent[e.name] && e.cutOff
	}
	for name, is := range silent {
		switch {
		case !is:
			delete(s.removeAt, name)
		case s.removeAt[name].IsZero():
			s.removeAt[name] = time.Now().Add(staleTimeout)
		case time.Now().After(s.removeAt[name]):
			delete(s.removeAt, name)
			s.change(name, true)
		}
	}
}

// strangers counts the running entries that another one doesn't know, or that count as newcomers, but for
// those with one connection.
func (s *entrySimulation) strangers() int {
	n := 0
	for _, e := range s.entries {
		stranger := !e.fleet.standing.settled.Load()
		for _, other := range s.entries {
			_, known := other.fleet.current.Load().members[e.name]
			stranger = stranger || !known
		}
		if stranger && e.fleet.connectionShare(s.limit) > 1 {
			n++
		}
	}
	return n
}

// useConnections ends the calls whose time has come and begins others on all connections that the entry
// may open.
func (s *entrySimulation) useConnections(e *simulatedEntry) {
	e.calls = slices.DeleteFunc(e.calls, func(end time.Time) bool { return !time.Now().Before(end) })
	for len(e.calls) < e.fleet.connectionShare(s.limit) {
		e.calls = append(e.calls, time.Now().Add(time.Duration(1+s.random.Int64N(int64(newcomerTime-3*time.Second)))))
	}
}

func (s *entrySimulation) connections() int {
	n := 0
	for _, e := range s.entries {
		n += len(e.calls)
	}
	return n
}

func (s *entrySimulation) cutOffCount() int {
	n := 0
	for _, e := range s.entries {
		if e.cutOff {
			n++
		}
	}
	return n
}

// disturb starts an entry, or ends, cuts off or rejoins one. What an entry can't know of is within what
// the reserve covers, see httpconn.Share: one newcomer, or one in eight entries, and some that are cut off.
func (s *entrySimulation) disturb() {
	i := s.random.IntN(len(s.entries))
	e := s.entries[i]
	switch s.random.IntN(6) {
	case 0, 1:
		if s.strangers() < max(1, len(s.entries)/8) && len(s.entries) < s.limit/2 {
			s.start(false)
		}
	case 2:
		if len(s.entries) > 1 {
			s.entries = slices.Delete(s.entries, i, i+1)
		}
	case 3:
		if s.cutOffCount() < s.limit/32 {
			e.cutOff = true
		}
	default:
		if s.strangers() < max(1, len(s.entries)/8) || !e.fleet.standing.forgotten.Load() {
			e.cutOff = false
		}
	}
}

// Guards against more connections to a replica than it accepts, which fails the calls of other entries:
// the sum over the entries is within the limit at any moment while entries start, end, are cut off, are
// removed as stale and come back, and know different numbers of entries.
func TestConnectionsOfAllEntriesStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			s := &entrySimulation{random: random, limit: 64 + random.IntN(500), removeAt: map[string]time.Time{}}
			for range 1 + random.IntN(12) {
				s.start(true)
			}
			time.Sleep(time.Minute)
			pause := []time.Duration{time.Second, 10 * time.Second, 5 * time.Minute}[random.IntN(3)]
			for step := range 150 {
				if random.IntN(4) == 0 {
					s.disturb()
				}
				s.removeStale()
				for _, e := range s.entries {
					s.update(e)
				}
				s.exchange()
				for _, e := range s.entries {
					s.useConnections(e)
				}
				if n := s.connections(); n > s.limit {
					for _, e := range s.entries {
						t.Logf("%s: cut off %t, settled %t, knows %d, share %d, calls %d", e.name, e.cutOff, e.fleet.standing.settled.Load(), e.fleet.entryCount(), e.fleet.connectionShare(s.limit), len(e.calls))
					}
					t.Fatalf("seed %d, step %d: %d connections of %d entries, limit %d, strangers %d", seed, step, n, len(s.entries), s.limit, s.strangers())
				}
				time.Sleep(time.Duration(1 + random.Int64N(int64(pause))))
			}
		})
	})
}

// Guards against an entry that gives up most of its connections although it is up to date: one that does
// not ask the store itself, since a keeper does, and that no other entry sends to, still learns from the
// keeper whether it is registered.
func TestEntryThatIsToldOfTheListIsNotForgotten(t *testing.T) {
	const limit = 400
	keeper := member{Name: "k", IP: "10.0.0.2", DataCentre: "a", Keeper: true}
	ended := member{Name: "ended", IP: "10.0.0.3", DataCentre: "a", Entry: true}
	for _, others := range [][]member{{keeper}, {keeper, ended}} {
		synctest.Test(t, func(t *testing.T) {
			settings := &Settings{Instance: "me", IP: "10.0.0.1", DataCentre: "a", CallersAddress: "10.0.0.1:1", PeerPort: 7}
			f := newFleet(settings, mirror.New(), nil, &log.Logger{Handler: discard.Default}, metrics.NewRegistry())
			f.contactedWithin = func(name string, _ time.Duration) bool { return name == keeper.Name }
			f.followsStore = func() bool { return false }
			d := mirror.Delta{Kind: mirror.Fleet, Full: true, AsOf: 9}
			for i, m := range append([]member{f.self()}, others...) {
				value, err := json.Marshal(m)
				if err != nil {
					t.Fatal(err)
				}
				d.Entries = append(d.Entries, mirror.Entry{Name: instancePrefix + m.Name, Revision: store.Version(i + 1), Value: value})
			}
			f.mirror.Apply(d)
			f.mirror.Confirm(mirror.Fleet, time.Now())
			f.refresh()
			share := f.connectionShare(limit)
			for range 120 {
				time.Sleep(time.Minute)
				f.mirror.Confirm(mirror.Fleet, time.Now())
				f.refreshStanding(time.Now())
				if now := f.connectionShare(limit); now != share {
					t.Fatalf("beside %d others: a share of %d connections, expected %d as at the start", len(others), now, share)
				}
			}
			// After a pause of the process nothing is confirmed until the next exchange.
			f.mirror.MarkStale()
			f.refreshStanding(time.Now())
			if now := f.connectionShare(limit); now != share {
				t.Fatalf("beside %d others: a share of %d connections after a pause, expected %d", len(others), now, share)
			}
			time.Sleep(staleTimeout)
			f.refreshStanding(time.Now())
			if now := f.connectionShare(limit); now >= share {
				t.Fatalf("beside %d others: a share of %d connections after %v of silence, expected less than %d", len(others), now, staleTimeout, share)
			}
		})
	}
}
