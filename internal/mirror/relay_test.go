package mirror

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
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

// fakeStore holds one object, which each kind shows; watches may be deaf.
type fakeStore struct {
	mu      sync.Mutex
	version store.Version
	changed chan struct{}
	// deaf says that questions for changes are left unanswered, refused names
	// instances that are refused.
	ignorePolls bool
	refused     map[string]bool
	calls       map[string]int
}

type storeClient struct {
	*fakeStore
	instance string
}

func (s storeClient) beginCall(call string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[call]++
	if s.refused[s.instance] {
		return store.ErrUnavailable
	}
	return nil
}

func (s storeClient) object() store.Object {
	return store.Object{Key: store.Key{Kind: string(Config), Name: ConfigName}, Version: s.version}
}

func (s storeClient) Get(context.Context, store.Key) (store.Object, error) {
	if err := s.beginCall("get"); err != nil {
		return store.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.object(), nil
}

func (s storeClient) Snapshot(context.Context, string) (store.Listing, error) {
	if err := s.beginCall("list"); err != nil {
		return store.Listing{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return store.Listing{AsOf: s.version, Objects: []store.Object{s.object()}}, nil
}

func (s storeClient) Poll(ctx context.Context, _ string, from store.Version, wait time.Duration) (store.Changes, error) {
	if err := s.beginCall("poll"); err != nil {
		return store.Changes{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		version, changed, deaf, refused := s.version, s.changed, s.ignorePolls, s.refused[s.instance]
		s.mu.Unlock()
		if refused {
			return store.Changes{}, store.ErrUnavailable
		}
		if version > from && !deaf {
			return store.Changes{AsOf: version, Events: []store.Event{{Object: s.object()}}}, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return store.Changes{AsOf: from}, nil
		case <-ctx.Done():
			return store.Changes{}, errors.Wrap(store.ErrUnknown, "cancelled")
		}
	}
}

func (s *fakeStore) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
}

// checks counts the calls that read something anew.
func (s *fakeStore) checks() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls["get"] + s.calls["list"]
}

func (s *fakeStore) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

type instance struct {
	name   string
	mirror *Mirror
	relay  *Relay
}

// fleetOf runs instances in two data centres over one store.
func startFleet(ctx context.Context, s *fakeStore, size int) []*instance {
	var all []*instance
	for i := range size {
		name := fmt.Sprintf("i%02d", i)
		n := &instance{name: name, mirror: New()}
		peers := func() []Peer {
			var peers []Peer
			for j, other := range all {
				if other != n {
					peers = append(peers, Peer{Name: other.name, DataCentre: fmt.Sprint(j % 2), Relay: other.relay})
				}
			}
			return peers
		}
		quiet := &log.Logger{Handler: discard.Default}
		follower := NewFollower(n.mirror, storeClient{s, name}, quiet)
		n.relay = NewRelay(name, fmt.Sprint(i%2), n.mirror, follower, peers, quiet)
		all = append(all, n)
	}
	for i, n := range all {
		go n.relay.Run(ctx, i < 2, false)
	}
	return all
}

func newFakeStore() *fakeStore {
	return &fakeStore{version: 5, changed: make(chan struct{}), refused: map[string]bool{}, calls: map[string]int{}}
}

func countFollowing(all []*instance) int {
	n := 0
	for _, i := range all {
		if i.relay.Following() {
			n++
		}
	}
	return n
}

func outdated(all []*instance, version store.Version) (list []string) {
	for _, i := range all {
		if e, _ := i.mirror.Get(Config, ConfigName); e.Revision != version {
			list = append(list, i.name)
		}
	}
	return list
}

var _ mirrorpb.Relay = (*Relay)(nil)

func runInFleet(t *testing.T, test func(s *fakeStore, all []*instance) error) {
	runInFleetOf(t, 6, test)
}

func runInFleetOf(t *testing.T, size int, test func(s *fakeStore, all []*instance) error) {
	var failed error
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := newFakeStore()
		all := startFleet(ctx, s, size)
		time.Sleep(5 * time.Second)
		failed = test(s, all)
		cancel()
		time.Sleep(time.Minute)
	})
	is.New(t).NoErr(failed)
}

// One instance in each data centre asks the store, and all know what it holds.
func TestOneFollowerInEachDataCentre(t *testing.T) {
	runInFleet(t, func(s *fakeStore, all []*instance) error {
		s.change()
		time.Sleep(time.Second)
		if n, late := countFollowing(all), outdated(all, 6); n != 2 || late != nil {
			return errors.Errorf("%d follow, behind: %v", n, late)
		}
		before := s.checks()
		time.Sleep(20 * time.Second)
		if n := s.checks() - before; n > 60 {
			return errors.Errorf("%d checks in 20 s", n)
		}
		return nil
	})
}

// Callers meet an old configuration: the store refuses the instances that
// follow it and serves the others. They must take over, and pass on.
func TestRefusedFollowersAreReplaced(t *testing.T) {
	runInFleet(t, func(s *fakeStore, all []*instance) error {
		s.set(func() { s.refused["i00"], s.refused["i01"] = true, true })
		s.change()
		time.Sleep(2 * time.Second)
		if late := outdated(all, 6); late != nil {
			return errors.Errorf("behind: %v", late)
		}
		return nil
	})
}

// The store is called to death in the moment of its return: while it was away all
// instances took to following it. What a fleet calls then must not grow with it.
func TestOutageCostsNoMoreCallsInALargeFleet(t *testing.T) {
	outage := func(size int) (calls int) {
		runInFleetOf(t, size, func(s *fakeStore, all []*instance) error {
			before := 0
			s.set(func() {
				for _, i := range all {
					s.refused[i.name] = true
				}
				before = s.calls["poll"] + s.calls["get"] + s.calls["list"]
				close(s.changed)
				s.changed = make(chan struct{})
			})
			time.Sleep(5 * time.Second)
			s.set(func() {
				calls = s.calls["poll"] + s.calls["get"] + s.calls["list"] - before
				clear(s.refused)
			})
			s.change()
			time.Sleep(time.Second)
			if late := outdated(all, 6); late != nil {
				return errors.Errorf("behind after the outage: %v", late)
			}
			return nil
		})
		return calls
	}
	small, large := outage(10), outage(60)
	t.Logf("%d calls in 5 s by 10 instances, %d by 60", small, large)
	is.New(t).True(large <= 2*small)
}

// Callers meet an old configuration: the store leaves questions for changes
// unanswered while it drops its history. A check must find the change.
func TestDeafWatchesAreChecked(t *testing.T) {
	runInFleet(t, func(s *fakeStore, all []*instance) error {
		s.set(func() { s.ignorePolls = true })
		s.change()
		time.Sleep(2 * time.Second)
		if late := outdated(all, 6); late != nil {
			return errors.Errorf("behind: %v", late)
		}
		return nil
	})
}

// All calls are refused for seconds after the store was away: its first word
// says that replicas are gone, whose entries lapsed. An instance must know, when
// it hears of that, that they may only be unheard of.
func TestFirstWordAfterAnOutageIsUnsettled(t *testing.T) {
	var unsettled, before time.Duration
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := newFakeStore()
		m := New()
		var away atomic.Bool
		m.OnChange(func(k Kind) {
			if k == Replicas && away.Load() {
				unsettled = m.RegistrationGrace(time.Now())
			}
		})
		f := NewFollower(m, storeClient{s, "i"}, &log.Logger{Handler: discard.Default})
		go f.Run(ctx)
		time.Sleep(10 * time.Second)
		before = m.RegistrationGrace(time.Now())
		s.set(func() { s.refused["i"] = true })
		time.Sleep(4 * time.Second)
		away.Store(true)
		s.set(func() { s.refused["i"] = false })
		s.change()
		time.Sleep(time.Second)
		cancel()
		time.Sleep(time.Minute)
	})
	is := is.New(t)
	is.Equal(before, time.Duration(0))
	is.Equal(unsettled, registrationTime)
}

// A replica whose entry was removed goes on getting calls: instances that are
// restarted one after the other each take the store's first word to them for its
// return from an outage, and tell all others that removed replicas may be back.
// One that never heard the store, or doubts what it heard, knows of no outage.
func TestFirstWordToARestartedInstanceUnsettlesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		m := New()
		f := NewFollower(m, storeClient{s, "i"}, &log.Logger{Handler: discard.Default})
		f.Refresh(context.Background())
		is.Equal(m.RegistrationGrace(time.Now()), time.Duration(0))
		time.Sleep(time.Minute)
		m.MarkStale()
		f.Refresh(context.Background())
		is.Equal(m.RegistrationGrace(time.Now()), time.Duration(0))
	})
}

// A replica whose entry was removed goes on getting calls: an instance that was cut
// off alone takes its return for the store's, and tells all others that removed
// replicas may be back. Those that heard the store meanwhile must not believe it,
// and those that did not must.
func TestReturnOfACutOffInstanceUnsettlesNobodyElse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := New()
		r := NewRelay("i", "a", m, nil, nil, &log.Logger{Handler: discard.Default})
		r.follower = NewFollower(m, nil, r.logger)
		word := &mirrorpb.ExchangeRequest{From: "j", UnsettledMs: registrationTime.Milliseconds()}
		m.Confirm(Replicas, time.Now())
		time.Sleep(outageThreshold / 2)
		_, err := r.Exchange(context.Background(), word)
		is.NoErr(err)
		is.Equal(m.RegistrationGrace(time.Now()), time.Duration(0))
		time.Sleep(outageThreshold)
		_, err = r.Exchange(context.Background(), word)
		is.NoErr(err)
		is.Equal(m.RegistrationGrace(time.Now()), registrationTime)
	})
}

// A store that refuses the first instances of a large data centre is called by all
// the others: each asks the first ones whether they follow, and never hears of the
// one that took over; or several that took over hear of each other only by chance.
func TestOneTakesOverForManyRefused(t *testing.T) {
	runInFleetOf(t, 40, func(s *fakeStore, all []*instance) error {
		s.set(func() {
			for _, i := range all[:10] {
				s.refused[i.name] = true
			}
			close(s.changed)
			s.changed = make(chan struct{})
		})
		time.Sleep(40 * time.Second)
		s.change()
		time.Sleep(2 * time.Second)
		if n, late := countFollowing(all), outdated(all, 6); n != 2 || late != nil {
			return errors.Errorf("%d follow, behind: %v", n, late)
		}
		return nil
	})
}
