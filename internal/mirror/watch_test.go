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

// inForceIn is the shortest time that operators of today's sites give a change to be in
// force.
const changeDeadline = 2 * time.Second

// metIn is more than followers need to meet, each by chance.
const discoveryTime = 30 * time.Second

// network carries exchanges between the instances of a test; lost ones hang.
type network struct {
	mu   sync.Mutex
	lost func(from, to *instance) bool
	// sent counts the exchanges that arrived.
	sent int
}

// way is one instance's way to another.
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

// bigFleet is a fleet in five data centres, as its network and store see it.
type bigFleet struct {
	store *fakeStore
	net   *network
	all   []*instance
}

const bigDataCentres = 5

func (n *instance) dataCentre() string { return n.relay.dataCentre }

// inBigFleet runs a test on virtual time over a fleet that is whole.
func runInBigFleet(t *testing.T, size int, test func(f *bigFleet) error) {
	var failed error
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := &bigFleet{store: newFakeStore(), net: &network{}}
		quiet := &log.Logger{Handler: discard.Default}
		for i := range size {
			n := &instance{name: fmt.Sprintf("i%03d", i), mirror: New()}
			peers := func() []Peer {
				var peers []Peer
				for _, other := range f.all {
					if other != n {
						peers = append(peers, Peer{Name: other.name, DataCentre: other.dataCentre(), Relay: link{f.net, n, other}})
					}
				}
				return peers
			}
			follower := NewFollower(n.mirror, storeClient{f.store, n.name}, quiet)
			n.relay = NewRelay(n.name, fmt.Sprint("dc-", i%bigDataCentres), n.mirror, follower, peers, quiet)
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

// watching returns the instances that ask the store for changes.
func (f *bigFleet) watching() []*instance {
	return slices.DeleteFunc(slices.Clone(f.all), func(n *instance) bool { return !n.relay.Watching() })
}

func names(instances []*instance) (list []string) {
	for _, n := range instances {
		list = append(list, n.name+" in "+n.dataCentre())
	}
	return list
}

// lose has the network lose exchanges.
func (f *bigFleet) setLoss(lost func(from, to *instance) bool) {
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	f.net.lost = lost
}

// without loses all exchanges with these instances.
func (f *bigFleet) isolate(gone ...*instance) {
	f.setLoss(func(from, to *instance) bool { return slices.Contains(gone, from) || slices.Contains(gone, to) })
}

// refuse has the store refuse instances, those that wait for changes too.
func (f *bigFleet) refuse(instances ...*instance) {
	f.store.set(func() {
		for _, n := range instances {
			f.store.refused[n.name] = true
		}
		close(f.store.changed)
		f.store.changed = make(chan struct{})
	})
}

// behind returns the instances but those left out that do not know the version of the
// configuration and of what instances agree on.
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

// Calls to the store grow with data centres and changes by their product: the follower of
// each data centre asks for each change. Two must do for a fleet of any size.
func TestTwoDataCentresAskForChanges(t *testing.T) {
	for _, size := range []int{10, 200} {
		runInBigFleet(t, size, func(f *bigFleet) error {
			if w := f.watching(); len(w) != 2 {
				return errors.Errorf("of %d, %v watch", size, names(w))
			}
			f.store.set(func() { clear(f.store.calls) })
			for range 20 {
				f.store.change()
				time.Sleep(time.Second)
			}
			f.store.mu.Lock()
			defer f.store.mu.Unlock()
			// Each watcher asks four kinds for each change, and once for the next.
			if polls, most := f.store.calls["poll"], 2*len(Kinds)*21; polls > most {
				return errors.Errorf("%d instances: %d questions for changes, %d allowed", size, polls, most)
			}
			return nil
		})
	}
}

// Callers meet an old configuration in each of these cases: those that ask for changes
// are lost in some way, and the others must find what changed in time.
func TestChangeIsInForceWhateverBecomesOfTheWatchers(t *testing.T) {
	cases := []struct {
		name string
		// lose loses watchers, and returns the instances that need not know.
		lose func(f *bigFleet, watching []*instance) []*instance
	}{
		{"nothing is lost", func(*bigFleet, []*instance) []*instance { return nil }},
		{"one is killed or frozen", func(f *bigFleet, w []*instance) []*instance {
			f.isolate(w[0])
			f.refuse(w[0])
			return w[:1]
		}},
		{"both are killed or frozen", func(f *bigFleet, w []*instance) []*instance {
			f.isolate(w...)
			f.refuse(w...)
			return w
		}},
		{"both are turned away by the store", func(f *bigFleet, w []*instance) []*instance {
			f.refuse(w...)
			return nil
		}},
		{"one is deaf to its peers and reaches the store", func(f *bigFleet, w []*instance) []*instance {
			f.isolate(w[0])
			return nil
		}},
		{"both are deaf to their peers", func(f *bigFleet, w []*instance) []*instance {
			f.isolate(w...)
			return nil
		}},
		{"their data centres are cut off", func(f *bigFleet, w []*instance) []*instance {
			f.setLoss(func(from, to *instance) bool {
				inside := func(n *instance) bool {
					return n.dataCentre() == w[0].dataCentre() || n.dataCentre() == w[1].dataCentre()
				}
				return inside(from) != inside(to)
			})
			return nil
		}},
		{"another data centre is cut off and reaches the store", func(f *bigFleet, w []*instance) []*instance {
			f.setLoss(func(from, to *instance) bool { return (from.dataCentre() == "dc-4") != (to.dataCentre() == "dc-4") })
			return nil
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			// At the worst the loss comes just before the change, or a while before.
			for _, pause := range []time.Duration{0, 500 * time.Millisecond, 5 * time.Second} {
				runInBigFleet(t, 50, func(f *bigFleet) error {
					except := c.lose(f, f.watching())
					time.Sleep(pause)
					f.store.change()
					time.Sleep(changeDeadline)
					if late := f.outdated(6, except...); late != nil {
						return errors.Errorf("%v after the loss, behind: %v", pause, late)
					}
					return nil
				})
			}
		})
	}
}

// The same where the store leaves all questions for changes unanswered. Only what must be
// in force soon is read anew then.
func TestChangeIsInForceWhileAllQuestionsAreUnanswered(t *testing.T) {
	runInBigFleet(t, 50, func(f *bigFleet) error {
		f.store.set(func() { f.store.ignorePolls = true })
		f.store.change()
		time.Sleep(changeDeadline)
		if late := outdated(f.all, 6); late != nil {
			return errors.Errorf("behind: %v", late)
		}
		return nil
	})
}

// After an outage all data centres go on asking for changes. Two must be left again.
func TestOthersStandByAgainAfterAnOutage(t *testing.T) {
	runInBigFleet(t, 50, func(f *bigFleet) error {
		f.refuse(f.all...)
		time.Sleep(5 * time.Second)
		f.store.set(func() { clear(f.store.refused) })
		f.store.change()
		time.Sleep(discoveryTime)
		if w, late := f.watching(), f.outdated(6); len(w) != 2 || late != nil {
			return errors.Errorf("%v watch, behind: %v", names(w), late)
		}
		return nil
	})
}
