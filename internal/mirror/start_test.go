package mirror

import (
	"context"
	"fmt"
	"sync"
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

// registryStore holds the registrations of instances, and counts the calls to it.
type registryStore struct {
	mu      sync.Mutex
	version store.Version
	changed chan struct{}
	objects []store.Object
	calls   int
}

func (s *registryStore) register(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.version++
	s.objects = append(s.objects, store.Object{Key: store.Key{Kind: string(Fleet), Name: name}, Version: s.version})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *registryStore) since(kind string, from store.Version) (changes store.Changes, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes.AsOf = s.version
	for _, o := range s.objects {
		if kind == string(Fleet) && o.Version > from {
			changes.Events = append(changes.Events, store.Event{Object: o})
		}
	}
	return changes, s.changed
}

func (s *registryStore) total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *registryStore) count() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
}

func (s *registryStore) Get(context.Context, store.Key) (store.Object, error) {
	s.count()
	return store.Object{}, store.ErrNotFound
}

func (s *registryStore) Snapshot(_ context.Context, kind string) (store.Listing, error) {
	s.count()
	changes, _ := s.since(kind, 0)
	listing := store.Listing{AsOf: changes.AsOf}
	for _, e := range changes.Events {
		listing.Objects = append(listing.Objects, e.Object)
	}
	return listing, nil
}

func (s *registryStore) Page(ctx context.Context, kind, _ string) (store.Listing, bool, error) {
	page, err := s.Snapshot(ctx, kind)
	return page, false, err
}

func (s *registryStore) Poll(ctx context.Context, kind string, from store.Version, wait time.Duration) (store.Changes, error) {
	s.count()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, changed := s.since(kind, from)
		if len(changes.Events) > 0 || wait == 0 {
			return changes, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return changes, nil
		case <-ctx.Done():
			return store.Changes{}, errors.Wrap(store.ErrUnknown, "cancelled")
		}
	}
}

// callAfter carries exchanges after a delay.
type callAfter struct{ to *Relay }

func (c callAfter) Exchange(ctx context.Context, r *mirrorpb.ExchangeRequest) (*mirrorpb.ExchangeResponse, error) {
	time.Sleep(time.Millisecond)
	return c.to.Exchange(ctx, r)
}

// storeCallsAtStart returns the store calls of a fleet in five data centres that starts at once, with
// three seeds, until all instances know each other.
func storeCallsAtStart(t *testing.T, size int) (calls int, failed error) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := &registryStore{version: 1, changed: make(chan struct{})}
		logger := &log.Logger{Handler: discard.Default}
		names, relays, mirrors := make([]string, size), make([]*Relay, size), make([]*Mirror, size)
		byName := map[string]int{}
		dataCentre := func(i int) string { return fmt.Sprint("dc-", i%bigDataCentres) }
		for i := range size {
			names[i], mirrors[i] = fmt.Sprintf("i%03d", (i*7919)%size), New()
			byName[names[i]] = i
			feed := mirrors[i].NewFeed(Fleet)
			known := map[string]bool{}
			peers := func() *Peers {
				changed, _ := feed.Take()
				for _, e := range changed {
					known[e.Name] = true
				}
				var list []Peer
				for name := range known {
					if j := byName[name]; j != i {
						list = append(list, Peer{Name: name, DataCentre: dataCentre(j), Relay: callAfter{relays[j]}})
					}
				}
				for j := 0; j < 3 && len(list) == 0; j++ {
					if j != i {
						list = append(list, Peer{Name: fmt.Sprint("seed-", j), Relay: callAfter{relays[j]}})
					}
				}
				return NewPeers(list)
			}
			var mu sync.Mutex
			locked := func() *Peers {
				mu.Lock()
				defer mu.Unlock()
				return peers()
			}
			follower := NewFollower(mirrors[i], s, logger)
			relays[i] = NewRelay(names[i], dataCentre(i), mirrors[i], follower, locked, logger)
			relays[i].SetJoined(func() bool {
				_, joined := mirrors[i].Get(Fleet, names[i])
				return joined
			})
		}
		for i, r := range relays {
			go r.Run(ctx, i < 3, false)
			go func() {
				for _, known := mirrors[i].AsOf(Fleet); !known && ctx.Err() == nil; _, known = mirrors[i].AsOf(Fleet) {
					time.Sleep(300 * time.Millisecond)
				}
				s.register(names[i])
			}()
		}
		time.Sleep(10 * time.Second)
		for i, m := range mirrors {
			if m.Len(Fleet) != size {
				failed = errors.Errorf("%s knows %d of %d instances after the start", names[i], m.Len(Fleet), size)
			}
		}
		cancel()
		time.Sleep(time.Minute)
		calls = s.total()
	})
	return calls, failed
}

// Guards against a fleet whose instances all follow the store at its start, because none knows
// another one in its data centre yet. Beyond one registration for each instance, the calls must not
// grow with the fleet.
func TestStoreCallsAtStartDoNotGrowWithInstances(t *testing.T) {
	const maxCalls = 400
	for _, size := range []int{50, 100, 200} {
		calls, failed := storeCallsAtStart(t, size)
		is := is.New(t)
		is.NoErr(failed)
		t.Logf("%d instances: %d store calls beside the registrations", size, calls-size)
		is.True(calls-size <= maxCalls)
	}
}
