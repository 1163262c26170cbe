package mirror

import (
	"context"
	"fmt"
	"slices"
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

// changeDeadlines are the times within which operators of present sites require a change to be in
// force.
var changeDeadlines = []time.Duration{2 * time.Second, 3 * time.Second, 5 * time.Second}

// discoveryTime is longer than followers need to discover each other through random exchanges.
const discoveryTime = 30 * time.Second

// network carries exchanges between the instances of a test. Lost exchanges wait for their timeout.
type network struct {
	mu   sync.Mutex
	lost func(from, to *instance) bool
	// sent counts the exchanges, including lost ones.
	sent int
}

// link is the network path from one instance to another.
type link struct {
	net      *network
	from, to *instance
}

func (w link) Exchange(ctx context.Context, r *mirrorpb.ExchangeRequest) (*mirrorpb.ExchangeResponse, error) {
	time.Sleep(time.Millisecond)
	w.net.mu.Lock()
	lost := w.net.lost != nil && w.net.lost(w.from, w.to)
	w.net.sent++
	w.net.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return w.to.relay.Exchange(ctx, r)
}

// bigFleet is a fleet in five data centres with its network and store.
type bigFleet struct {
	store *fakeStore
	net   *network
	all   []*instance
}

const bigDataCentres = 5

func (n *instance) dataCentre() string { return n.relay.dataCentre }

// runInBigFleet runs a test in virtual time on a fleet whose followers have discovered each other.
func runInBigFleet(t *testing.T, size int, test func(f *bigFleet) error) {
	runInBigFleetWith(t, size, NewTiming(0, 0), test)
}

// runInBigFleetWith is runInBigFleet with intervals.
func runInBigFleetWith(t *testing.T, size int, timing Timing, test func(f *bigFleet) error) {
	var failed error
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := &bigFleet{store: newFakeStore(), net: &network{}}
		logger := &log.Logger{Handler: discard.Default}
		for i := range size {
			n := &instance{name: fmt.Sprintf("i%03d", i), mirror: New()}
			n.mirror.SetTiming(timing)
			peers := func() *Peers {
				var peers []Peer
				for _, other := range f.all {
					if other != n {
						peers = append(peers, Peer{Name: other.name, DataCentre: other.dataCentre(), Relay: link{f.net, n, other}})
					}
				}
				return NewPeers(peers)
			}
			follower := NewFollower(n.mirror, storeClient{f.store, n.name}, logger)
			n.relay = NewRelay(n.name, fmt.Sprint("dc-", i%bigDataCentres), n.mirror, follower, peers, logger)
			f.all = append(f.all, n)
		}
		for i, n := range f.all {
			go n.relay.Run(ctx, i < 3, false)
		}
		time.Sleep(discoveryTime)
		failed = test(f)
		cancel()
		time.Sleep(time.Minute)
	})
	is.New(t).NoErr(failed)
}

// watching returns the instances that poll the store for changes.
func (f *bigFleet) watching() []*instance {
	return slices.DeleteFunc(slices.Clone(f.all), func(n *instance) bool { return !n.relay.Watching() })
}

func names(instances []*instance) (list []string) {
	for _, n := range instances {
		list = append(list, n.name+" in "+n.dataCentre())
	}
	return list
}

// setLoss makes the network lose the exchanges for which lost returns true.
func (f *bigFleet) setLoss(lost func(from, to *instance) bool) {
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	f.net.lost = lost
}

// isolate makes the network lose all exchanges with these instances.
func (f *bigFleet) isolate(isolated ...*instance) {
	f.setLoss(func(from, to *instance) bool { return slices.Contains(isolated, from) || slices.Contains(isolated, to) })
}

// refuse makes the store refuse calls of instances, including their waiting polls.
func (f *bigFleet) refuse(instances ...*instance) {
	f.store.set(func() {
		for _, n := range instances {
			f.store.refused[n.name] = true
		}
		close(f.store.changed)
		f.store.changed = make(chan struct{})
	})
}

// silence makes the store leave all calls of instances unanswered, including their waiting polls.
func (f *bigFleet) silence(instances ...*instance) {
	f.store.set(func() {
		for _, n := range instances {
			f.store.silent[n.name] = true
		}
		close(f.store.changed)
		f.store.changed = make(chan struct{})
	})
}

// followers returns the instances that follow the store.
func (f *bigFleet) followers() []*instance {
	return slices.DeleteFunc(slices.Clone(f.all), func(n *instance) bool { return !n.relay.Following() })
}

// outdated returns the instances, other than the excepted ones, that lack the version of the kinds
// Config or Fleet.
func (f *bigFleet) outdated(version store.Version, except ...*instance) (list []string) {
	for _, n := range f.all {
		for _, k := range []Kind{Config, Fleet} {
			if e, _ := n.mirror.Get(k, ConfigName); e.Revision != version && !slices.Contains(except, n) {
				list = append(list, n.name+" "+string(k))
			}
		}
	}
	return list
}

// If the follower of each data centre polled for each change, store calls would grow with the
// product of data centres and changes. Two data centres must suffice for a fleet of any size.
func TestTwoDataCentresWatchTheStore(t *testing.T) {
	for _, size := range []int{10, 200} {
		runInBigFleet(t, size, func(f *bigFleet) error {
			if w := f.watching(); len(w) != 2 {
				return errors.Errorf("%d instances: %v watch, want two", size, names(w))
			}
			f.store.set(func() { clear(f.store.calls) })
			for range 20 {
				f.store.change()
				time.Sleep(time.Second)
			}
			f.store.mu.Lock()
			defer f.store.mu.Unlock()
			// Each watcher polls four kinds for each change, and once more for the next.
			if polls, limit := f.store.calls["poll"], 2*len(Kinds)*21; polls > limit {
				return errors.Errorf("%d instances: %d polls for changes, want at most %d", size, polls, limit)
			}
			return nil
		})
	}
}

// Guards against an outdated configuration when the watchers fail or become unreachable in some
// way. The other instances must learn of a change in time.
func TestChangeIsInForceAfterLossOfWatchers(t *testing.T) {
	cases := []struct {
		name string
		// lose makes watchers fail or unreachable, and returns the instances that need not learn of
		// the change.
		lose func(f *bigFleet, watching []*instance) []*instance
	}{
		{"no failure", func(*bigFleet, []*instance) []*instance { return nil }},
		{"one watcher is killed or frozen", func(f *bigFleet, w []*instance) []*instance {
			f.isolate(w[0])
			f.refuse(w[0])
			return w[:1]
		}},
		{"both watchers are killed or frozen", func(f *bigFleet, w []*instance) []*instance {
			f.isolate(w...)
			f.refuse(w...)
			return w
		}},
		{"the store refuses both watchers", func(f *bigFleet, w []*instance) []*instance {
			f.refuse(w...)
			return nil
		}},
		{"one watcher reaches the store but no peers", func(f *bigFleet, w []*instance) []*instance {
			f.isolate(w[0])
			return nil
		}},
		{"both watchers reach the store but no peers", func(f *bigFleet, w []*instance) []*instance {
			f.isolate(w...)
			return nil
		}},
		{"the watchers' data centres are partitioned from the others", func(f *bigFleet, w []*instance) []*instance {
			f.setLoss(func(from, to *instance) bool {
				inside := func(n *instance) bool {
					return n.dataCentre() == w[0].dataCentre() || n.dataCentre() == w[1].dataCentre()
				}
				return inside(from) != inside(to)
			})
			return nil
		}},
		{"another data centre reaches the store but no other data centre", func(f *bigFleet, w []*instance) []*instance {
			f.setLoss(func(from, to *instance) bool { return (from.dataCentre() == "dc-4") != (to.dataCentre() == "dc-4") })
			return nil
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			// The loss is worst just before the change, or some time before it.
			for _, pause := range []time.Duration{0, 500 * time.Millisecond, 5 * time.Second} {
				for _, deadline := range changeDeadlines {
					runInBigFleetWith(t, 50, NewTiming(deadline, deadline), func(f *bigFleet) error {
						except := c.lose(f, f.watching())
						time.Sleep(pause)
						f.store.change()
						time.Sleep(deadline)
						if late := f.outdated(6, except...); late != nil {
							return errors.Errorf("%v after the loss, to be in force in %v, outdated: %v", pause, deadline, late)
						}
						return nil
					})
				}
			}
		})
	}
}

// The same where the store leaves all polls for changes unanswered. Only the configuration and the
// replicas are read by checks then.
func TestChangeIsInForceWhileAllPollsAreUnanswered(t *testing.T) {
	for _, deadline := range changeDeadlines {
		runInBigFleetWith(t, 50, NewTiming(deadline, deadline), func(f *bigFleet) error {
			f.store.set(func() { f.store.ignorePolls = true })
			f.store.change()
			time.Sleep(deadline)
			if late := outdated(f.all, 6); late != nil {
				return errors.Errorf("to be in force in %v, outdated: %v", deadline, late)
			}
			return nil
		})
	}
}

// Guards against all data centres polling for changes after an outage. Two must remain.
func TestTwoDataCentresWatchAgainAfterAnOutage(t *testing.T) {
	runInBigFleet(t, 50, func(f *bigFleet) error {
		f.refuse(f.all...)
		time.Sleep(5 * time.Second)
		f.store.set(func() { clear(f.store.refused) })
		f.store.change()
		time.Sleep(discoveryTime)
		if w, late := f.watching(), f.outdated(6); len(w) != 2 || late != nil {
			return errors.Errorf("%v watch, want two; outdated: %v", names(w), late)
		}
		return nil
	})
}

// Guards against an outdated configuration when the links of all followers to the store fall silent:
// they still respond to the other instances, and their waiting polls show nothing for seconds.
func TestChangeIsInForceAfterSilenceOfTheStoreToAllFollowers(t *testing.T) {
	const (
		deadline  = 3 * time.Second
		heartbeat = 1200 * time.Millisecond
		// pause is the time from the silence to the change.
		pause = 1200 * time.Millisecond
	)
	for range 5 {
		runInBigFleetWith(t, 50, NewTiming(deadline, heartbeat), func(f *bigFleet) error {
			f.silence(f.followers()...)
			time.Sleep(pause)
			f.store.change()
			time.Sleep(deadline)
			if late := outdated(f.all, 6); late != nil {
				return errors.Errorf("to be in force in %v, outdated: %v", deadline, late)
			}
			return nil
		})
	}
}
