package mirror

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"foxhall/internal/mirror/mirrorpb"
	"foxhall/internal/store"
)

// Guards against processor time that grows with the number of entries at each exchange. Only the
// changed entries must be looked at for a peer that is a few changes behind.
func TestChangesForAPeerAreFoundWithoutASearch(t *testing.T) {
	for _, size := range []int{1000, 2000, 4000} {
		is := is.New(t)
		m := New()
		d := Delta{Kind: Replicas, Full: true, AsOf: 10}
		for i := range size {
			d.Entries = append(d.Entries, Entry{Name: fmt.Sprint(i), Revision: 1})
		}
		m.Apply(d)
		for i := range 3 {
			revision := store.Version(11 + i)
			m.Apply(Delta{Kind: Replicas, From: revision - 1, AsOf: revision, Entries: []Entry{{Name: "7", Revision: revision}}})
		}
		records, complete := m.kinds[Replicas].changes.since(11)
		is.True(complete)
		is.Equal(len(records), 2)
		got, lacks := m.Since(Replicas, 11, true)
		is.True(lacks && !got.Full)
		is.Equal(got.Entries, []Entry{{Name: "7", Revision: 13}})
	}
}

// Guards against a peer that misses changes because more of them came than are kept in order. The
// entries must be searched then.
func TestChangesBeyondTheLogAreSearched(t *testing.T) {
	is := is.New(t)
	m := New()
	m.Apply(Delta{Kind: Replicas, Full: true, AsOf: 1})
	for i := range 2 * maxLoggedChanges {
		revision := store.Version(2 + i)
		m.Apply(Delta{Kind: Replicas, From: revision - 1, AsOf: revision, Entries: []Entry{{Name: fmt.Sprint(i), Revision: revision}}})
	}
	is.True(len(m.kinds[Replicas].changes.records) <= maxLoggedChanges)
	got, lacks := m.Since(Replicas, 1, true)
	is.True(lacks)
	is.Equal(len(got.Entries), 2*maxLoggedChanges)
	got, _ = m.Since(Replicas, 2*maxLoggedChanges, true)
	is.Equal(len(got.Entries), 1)
}

// Guards against an instance of a large fleet that holds connections to most others, because it
// exchanges state with other peers each time. The number of peers that an instance calls in a minute
// must not grow with the fleet.
func TestInstancesCallFewPeersInAMinute(t *testing.T) {
	const maxPeers = neighbourCount + int(time.Minute/neighbourLifetime) + watcherDataCentres + maxQueried + bigDataCentres
	for _, size := range []int{50, 100, 200} {
		runInBigFleet(t, size, func(f *bigFleet) error {
			called := map[*instance]map[*instance]bool{}
			f.net.mu.Lock()
			f.net.lost = func(from, to *instance) bool {
				if called[from] == nil {
					called[from] = map[*instance]bool{}
				}
				called[from][to] = true
				return false
			}
			f.net.mu.Unlock()
			for range 20 {
				f.store.change()
				time.Sleep(3 * time.Second)
			}
			f.net.mu.Lock()
			defer f.net.mu.Unlock()
			most := 0
			for _, peers := range called {
				most = max(most, len(peers))
			}
			t.Logf("%d instances: at most %d peers called", size, most)
			if most > maxPeers {
				return fmt.Errorf("at %d instances one called %d peers, expected %d at most", size, most, maxPeers)
			}
			return nil
		})
	}
}

// replicaName returns a name like those of replicas.
func replicaName(i int) string { return fmt.Sprintf("i-%08x", uint32(i)*2654435761) }

// pagedStore is a store with a number of replicas, whose listings take one call for each page.
type pagedStore struct {
	storeClient
	replicas int
	calls    int
}

func (s *pagedStore) Snapshot(_ context.Context, kind string) (store.Listing, error) {
	listing := store.Listing{AsOf: 5}
	if kind == string(Fleet) {
		listing.AsOf = 1 // older than what the mirror has
	}
	s.calls++
	for i := range s.replicas {
		if kind != string(Replicas) {
			break
		}
		if i > 0 && i%entriesPerCheck == 0 {
			s.calls++
		}
		listing.Objects = append(listing.Objects, store.Object{Key: store.Key{Kind: kind, Name: replicaName(i)}, Version: 1})
	}
	return listing, nil
}

func (s *pagedStore) Page(ctx context.Context, kind, after string) (store.Listing, bool, error) {
	calls := s.calls
	listing, err := s.Snapshot(ctx, kind)
	s.calls = calls + 1
	objects := slices.DeleteFunc(listing.Objects, func(o store.Object) bool { return o.Key.Name <= after })
	slices.SortFunc(objects, func(a, b store.Object) int { return strings.Compare(a.Key.Name, b.Key.Name) })
	listing.Objects = objects[:min(entriesPerCheck, len(objects))]
	return listing, len(objects) > entriesPerCheck, err
}

func (s *pagedStore) Poll(_ context.Context, _ string, from store.Version, _ time.Duration) (store.Changes, error) {
	s.calls++
	return store.Changes{AsOf: from}, nil
}

// Guards against calls to the store that grow with the number of replicas, because each check lists
// them all. The calls of a minute of checks must be the same for any number.
func TestChecksCostTheSameForAnyNumberOfReplicas(t *testing.T) {
	const checks = 60
	for _, replicas := range []int{100, 2500, 5000, 10000} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := &pagedStore{storeClient: storeClient{newFakeStore(), "i"}, replicas: replicas}
			f := NewFollower(New(), s, &log.Logger{Handler: discard.Default})
			is.NoErr(f.snapshot(t.Context(), Replicas))
			s.calls = 0
			for range checks {
				time.Sleep(f.mirror.timing.checkInterval)
				is.NoErr(f.checkReplicas(t.Context()))
			}
			t.Logf("%d replicas: %d calls in %d checks", replicas, s.calls, checks)
			is.True(s.calls <= 2*checks)
			is.Equal(f.mirror.Len(Replicas), replicas)
		})
	}
}

// Guards against a restart of a whole fleet that exceeds the store's rate, because each instance
// lists all replicas. The number of instances that do must not grow with the fleet.
func TestFewInstancesListTheReplicasAtARestart(t *testing.T) {
	for _, size := range []int{50, 100, 1000, 2000} {
		readers := 0
		for range size {
			m := New()
			d := Delta{Kind: Fleet, Full: true, AsOf: 5}
			for i := range size {
				d.Entries = append(d.Entries, Entry{Name: fmt.Sprint(i), Revision: 1})
			}
			m.Apply(d)
			f := NewFollower(m, &pagedStore{storeClient: storeClient{newFakeStore(), "i"}, replicas: 2 * entriesPerCheck}, &log.Logger{Handler: discard.Default})
			f.RefreshAtStart(t.Context())
			if _, known := m.AsOf(Replicas); known {
				readers++
			}
		}
		t.Logf("%d instances: %d list the replicas", size, readers)
		is := is.New(t)
		is.True(readers <= 2*maxStartReaders)
		is.True(size > maxStartReaders || readers == size)
	}
}

// listCounter passes exchanges on and counts the whole lists of replicas that responses hold.
type listCounter struct {
	to    *Relay
	lists *int
}

func (c listCounter) Exchange(ctx context.Context, r *mirrorpb.ExchangeRequest) (*mirrorpb.ExchangeResponse, error) {
	response, err := c.to.Exchange(ctx, r)
	if err == nil {
		for _, d := range response.Deltas {
			if d.Full && d.Kind == string(Replicas) {
				*c.lists++
			}
		}
	}
	return response, err
}

// Guards against a restarted instance on a slow link that never gets the list of replicas, because all
// of its neighbours send it at once and none within the time of an exchange. It must be sent once.
func TestRestartedInstanceIsSentTheListOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		lists := 0
		logger := &log.Logger{Handler: discard.Default}
		var peers []Peer
		for i := range 8 {
			m := New()
			d := Delta{Kind: Replicas, Full: true, AsOf: 5}
			for j := range 100 {
				d.Entries = append(d.Entries, Entry{Name: fmt.Sprint(j), Revision: 5})
			}
			m.Apply(d)
			m.Apply(Delta{Kind: Fleet, Full: true, AsOf: 5})
			other := NewRelay(fmt.Sprint("peer-", i), "a", m, NewFollower(m, nil, logger), nil, logger)
			peers = append(peers, Peer{Name: fmt.Sprint("peer-", i), DataCentre: "a", Relay: listCounter{other, &lists}})
		}
		m := New()
		store := storeClient{newFakeStore(), "i"}
		store.refused["i"] = true
		r := NewRelay("i", "a", m, NewFollower(m, store, logger), func() *Peers { return NewPeers(peers) }, logger)
		go r.Run(ctx, false, true)
		time.Sleep(2 * time.Second)
		is.Equal(m.Len(Replicas), 100)
		is.Equal(lists, 1)
		cancel()
		time.Sleep(time.Minute)
	})
}

// Guards against followers whose connections, messages and memory grow with their data centre, because
// all of its instances ask the follower in each round. The exchanges that a follower gets must not grow
// with the fleet, and another instance must take over in time if those that ask each round are lost.
func TestFollowersGetFewExchanges(t *testing.T) {
	const maxPerRound = 40
	for _, size := range []int{100, 200, 400} {
		runInBigFleet(t, size, func(f *bigFleet) error {
			received := map[*instance]int{}
			f.setLoss(func(_, to *instance) bool {
				received[to]++
				return false
			})
			const rounds = 50
			time.Sleep(rounds * roundInterval)
			f.net.mu.Lock()
			most := 0
			for _, n := range received {
				most = max(most, n/rounds)
			}
			f.net.mu.Unlock()
			t.Logf("%d instances: at most %d exchanges a round", size, most)
			if most > maxPerRound {
				return errors.Errorf("%d instances: one gets %d exchanges a round, expected %d at most", size, most, maxPerRound)
			}
			first := slices.DeleteFunc(slices.Clone(f.all), func(n *instance) bool {
				return n.dataCentre() != "dc-0" || n.name > fmt.Sprintf("i%03d", bigDataCentres*followerCheckers)
			})
			f.isolate(first...)
			f.refuse(first...)
			time.Sleep(5 * time.Second)
			for _, n := range f.all {
				if n.dataCentre() == "dc-0" && !slices.Contains(first, n) && n.relay.Following() {
					return nil
				}
			}
			return errors.Errorf("%d instances: nobody follows the store in the data centre after the loss of %d", size, len(first))
		})
	}
}

// Guards against an instance that exceeds its memory because many peers ask it for whole lists at once.
func TestWholeListsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := New()
		d := Delta{Kind: Replicas, Full: true, AsOf: 5}
		for i := range maxListedEntries / 2 {
			d.Entries = append(d.Entries, Entry{Name: fmt.Sprint(i), Revision: 5})
		}
		m.Apply(d)
		logger := &log.Logger{Handler: discard.Default}
		r := NewRelay("i", "a", m, NewFollower(m, nil, logger), nil, logger)
		sent := 0
		for range 100 {
			response, err := r.Exchange(t.Context(), &mirrorpb.ExchangeRequest{From: "j"})
			is.NoErr(err)
			sent += len(response.Deltas)
		}
		is.Equal(sent, 2)
		time.Sleep(time.Second)
		response, err := r.Exchange(t.Context(), &mirrorpb.ExchangeRequest{From: "j"})
		is.NoErr(err)
		is.Equal(len(response.Deltas), 1)
	})
}
