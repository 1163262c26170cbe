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

// fakeStore holds one object, which it returns for each kind. It may leave polls unanswered.
type fakeStore struct {
	mu      sync.Mutex
	version store.Version
	changed chan struct{}
	// ignorePolls leaves polls for changes unanswered. refused holds the names of instances whose
	// calls fail.
	ignorePolls bool
	refused     map[string]bool
	// silent holds the names of instances whose calls get no response.
	silent map[string]bool
	calls  map[string]int
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
	if s.silent[s.instance] {
		s.mu.Unlock()
		time.Sleep(silentCallTimeout)
		s.mu.Lock()
		return store.ErrUnknown
	}
	return nil
}

const (
	// silentCallTimeout is the timeout of a call to the store, silentPollTimeout the time until a waiting
	// poll on a silent connection fails: keep-alive probes and the dial that follows take that long.
	silentCallTimeout = time.Second
	silentPollTimeout = 2700 * time.Millisecond
)

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

func (s storeClient) Page(ctx context.Context, kind, _ string) (store.Listing, bool, error) {
	page, err := s.Snapshot(ctx, kind)
	return page, false, err
}

func (s storeClient) Poll(ctx context.Context, _ string, from store.Version, wait time.Duration) (store.Changes, error) {
	if err := s.beginCall("poll"); err != nil {
		return store.Changes{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		version, changed, deaf, refused, silent := s.version, s.changed, s.ignorePolls, s.refused[s.instance], s.silent[s.instance]
		s.mu.Unlock()
		if silent {
			time.Sleep(silentPollTimeout)
			return store.Changes{}, store.ErrUnknown
		}
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

// checks returns the number of reads other than polls.
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

// startFleet runs instances in two data centres over one store.
func startFleet(ctx context.Context, s *fakeStore, size int) []*instance {
	var all []*instance
	for i := range size {
		name := fmt.Sprintf("i%02d", i)
		n := &instance{name: name, mirror: New()}
		peers := func() *Peers {
			var peers []Peer
			for j, other := range all {
				if other != n {
					peers = append(peers, Peer{Name: other.name, DataCentre: fmt.Sprint(j % 2), Relay: other.relay})
				}
			}
			return NewPeers(peers)
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
	return &fakeStore{version: 5, changed: make(chan struct{}), refused: map[string]bool{}, silent: map[string]bool{}, calls: map[string]int{}}
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

// One instance in each data centre follows the store, and all instances learn its contents.
func TestOneFollowerInEachDataCentre(t *testing.T) {
	runInFleet(t, func(s *fakeStore, all []*instance) error {
		s.change()
		time.Sleep(time.Second)
		if n, late := countFollowing(all), outdated(all, 6); n != 2 || late != nil {
			return errors.Errorf("%d instances follow, want 2; outdated: %v", n, late)
		}
		before := s.checks()
		time.Sleep(20 * time.Second)
		if n := s.checks() - before; n > 60 {
			return errors.Errorf("%d checks in 20 s, want at most 60", n)
		}
		return nil
	})
}

// Guards against an outdated configuration when the store refuses the instances that follow it and
// serves the others. Others must take over and relay changes.
func TestRefusedFollowersAreReplaced(t *testing.T) {
	runInFleet(t, func(s *fakeStore, all []*instance) error {
		s.set(func() { s.refused["i00"], s.refused["i01"] = true, true })
		s.change()
		time.Sleep(2 * time.Second)
		if late := outdated(all, 6); late != nil {
			return errors.Errorf("outdated: %v", late)
		}
		return nil
	})
}

// Guards against overload of a store on its return, after all instances started to follow it during
// the outage. The number of calls during an outage must not grow with the fleet.
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
				return errors.Errorf("outdated after the outage: %v", late)
			}
			return nil
		})
		return calls
	}
	small, large := outage(10), outage(60)
	t.Logf("%d calls in 5 s by 10 instances, %d by 60", small, large)
	is.New(t).True(large <= 2*small)
}

// Guards against an outdated configuration when the store leaves polls for changes unanswered while
// it drops its history. A check must find the change.
func TestUnansweredPollsAreMadeUpForByChecks(t *testing.T) {
	runInFleet(t, func(s *fakeStore, all []*instance) error {
		s.set(func() { s.ignorePolls = true })
		s.change()
		time.Sleep(2 * time.Second)
		if late := outdated(all, 6); late != nil {
			return errors.Errorf("outdated: %v", late)
		}
		return nil
	})
}

// Guards against refusing all calls for seconds after a store outage: the first response lacks live
// replicas whose entries expired. The registration grace must be set by the time listeners learn of
// the removals.
func TestFirstResponseAfterAnOutageSetsTheGraceTime(t *testing.T) {
	var grace, graceBefore time.Duration
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := newFakeStore()
		m := New()
		var unavailable atomic.Bool
		m.OnChange(func(k Kind) {
			if k == Replicas && unavailable.Load() {
				grace = m.RegistrationGrace(time.Now())
			}
		})
		f := NewFollower(m, storeClient{s, "i"}, &log.Logger{Handler: discard.Default})
		go f.Run(ctx)
		time.Sleep(10 * time.Second)
		graceBefore = m.RegistrationGrace(time.Now())
		s.set(func() { s.refused["i"] = true })
		time.Sleep(4 * time.Second)
		unavailable.Store(true)
		s.set(func() { s.refused["i"] = false })
		s.change()
		time.Sleep(time.Second)
		cancel()
		time.Sleep(time.Minute)
	})
	is := is.New(t)
	is.Equal(graceBefore, time.Duration(0))
	is.Equal(grace, registrationTime)
}

// Guards against calls to a removed replica during a rolling restart of instances: if each took its
// first response from the store for the end of an outage, it would announce a registration grace to
// all others. An instance without any response so far, or with stale state, must assume no outage.
func TestFirstResponseToARestartedInstanceSetsNoGraceTime(t *testing.T) {
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

// Guards against calls to a removed replica: an instance that was isolated mistakes its own return
// for the end of a store outage, and announces a registration grace to all others. Instances with
// recent contact to the store must ignore it, and those without must accept it.
func TestReturnOfAnIsolatedInstanceSetsNoGraceTimeElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := New()
		r := NewRelay("i", "a", m, nil, nil, &log.Logger{Handler: discard.Default})
		r.follower = NewFollower(m, nil, r.logger)
		announcement := &mirrorpb.ExchangeRequest{From: "j", UnsettledMs: registrationTime.Milliseconds()}
		m.Confirm(Replicas, time.Now())
		time.Sleep(m.timing.outageThreshold / 2)
		_, err := r.Exchange(context.Background(), announcement)
		is.NoErr(err)
		is.Equal(m.RegistrationGrace(time.Now()), time.Duration(0))
		time.Sleep(m.timing.outageThreshold)
		_, err = r.Exchange(context.Background(), announcement)
		is.NoErr(err)
		is.Equal(m.RegistrationGrace(time.Now()), registrationTime)
	})
}

// Guards against calls from all instances of a large data centre to a store that refuses the first
// ones. This happens if each instance queries only the first ones and never learns of the one that
// took over, or if several that took over discover each other only by chance.
func TestOneFollowerTakesOverForManyRefused(t *testing.T) {
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
			return errors.Errorf("%d instances follow, want 2; outdated: %v", n, late)
		}
		return nil
	})
}
