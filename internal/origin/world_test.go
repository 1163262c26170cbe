package origin

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	worldService = "service"
	// worldDelay is the time that a datagram takes, worldViewLag the most that a change of the replicas takes
	// to an instance's view.
	worldDelay, worldViewLag = 2 * time.Millisecond, 2 * time.Second
	worldLife                = minLife
	// worldResumption is how long a process takes at most to read what it finds after a pause, worldPause how long it
	// takes to notice a pause that is longer.
	worldResumption, worldPause = 50 * time.Millisecond, 500 * time.Millisecond
	// worldLate is how late a datagram may be in a network that loses some.
	worldLate = 2 * time.Second
	// worldCheck is the most time between two reads of the list.
	worldCheck = 2 * time.Second
)

// world is a set of instances in a network, within a bubble. Its replicas are the truth that the views of
// the instances follow.
type world struct {
	t testing.TB
	// instances take calls; keepers only hold records.
	instances, keepers []*testInstance
	// domains is the number of failure domains; each instance has one of its own while it is 0.
	domains int

	// mu guards all that follows, and the fields of the instances.
	mu     sync.Mutex
	random *rand.Rand
	// replicas counts the replicas of each version, at the start and after all changes.
	replicas map[string]int
	changes  []replicaChange
	// loss is the share of the datagrams that are lost, twice that of those that arrive twice.
	loss, twice float64
	// onRecord is called for the records that an instance has received or made, with mu held; nil for nothing.
	onRecord func(n *testInstance, incarnation int, records []Record)
}

// testInstance is one instance. A restart replaces its registry and view.
type testInstance struct {
	world    *world
	number   int
	versions *Versions
	registry *Registry
	// incarnation counts the starts.
	incarnation int
	down, cut   bool
	// cutTo are the instances that receive nothing from this one.
	cutTo map[*testInstance]bool
	// staleSince is since when the instance does not follow the list of replicas; zero if it does.
	staleSince time.Time
	// pausedSince is since when the process stands still; zero if it runs. unread is what it will find then.
	pausedSince time.Time
	unread      []func()
	// renewals counts the reads on demand.
	renewals int
	// applied is the number of changes of the replicas that the instance has seen.
	applied int
	// since and until are the interval of which the view lacks no change.
	since, until time.Time
	// loses is set if the store has dropped its history before the instance follows the list again.
	loses bool
}

// replicaChange replaces a replica of one version by one of another; empty for none.
type replicaChange struct{ before, after string }

func newWorld(t testing.TB, random *rand.Rand, instances int, replicas map[string]int) *world {
	w := &world{t: t, random: random, replicas: replicas}
	for i := range instances {
		w.instances = append(w.instances, &testInstance{world: w, number: i})
	}
	for _, n := range w.instances {
		n.start()
	}
	return w
}

// addKeepers adds instances that only hold records.
func (w *world) addKeepers(count int) {
	for range count {
		n := &testInstance{world: w, number: len(w.instances) + len(w.keepers)}
		w.keepers = append(w.keepers, n)
		n.start()
	}
}

// all returns the instances and the keepers, by their numbers.
func (w *world) all() []*testInstance { return slices.Concat(w.instances, w.keepers) }

// restartAll restarts all instances that take calls, without their records.
func (w *world) restartAll() {
	for _, n := range w.instances {
		n.start()
	}
}

// start starts an instance that knows no records and the replicas of this moment.
func (n *testInstance) start() {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	n.incarnation++
	n.down, n.versions, n.applied = false, NewVersions(), len(n.world.changes)
	n.pausedSince, n.unread, n.loses = time.Time{}, nil, false
	n.since, n.until = time.Now(), time.Now()
	n.registry = NewRegistry(n.versions, n, n, metrics.NewRegistry())
	for version, count := range n.world.replicas {
		for range count {
			n.versions.Replace(nil, &Replica{Service: worldService, Version: version}, time.Now())
		}
	}
	n.versions.Begin(time.Now())
	n.check(n.incarnation)
}

// check renews the view now and then until the instance restarts.
func (n *testInstance) check(incarnation int) {
	n.after(time.Duration(1+n.world.random.Int64N(int64(worldCheck))), func() {
		n.Renew()
		n.world.set(func() { n.check(incarnation) })
	})
}

// Age implements View. It is the time since the instance last followed the list.
func (n *testInstance) Age(now time.Time) time.Duration {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	if n.staleSince.IsZero() {
		return 0
	}
	return now.Sub(n.staleSince)
}

// Complete implements View.
func (n *testInstance) Complete() (since, until time.Time) {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	return n.since, n.until
}

// UnansweredFor implements View.
func (n *testInstance) UnansweredFor(now time.Time) time.Duration { return n.Age(now) }

// Renew implements View. The response tells of the changes up to a moment between call and arrival.
func (n *testInstance) Renew() <-chan struct{} {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	done, began := make(chan struct{}), time.Now()
	n.renewals++
	if !n.staleSince.IsZero() {
		time.AfterFunc(renewalWait, func() { close(done) })
		return done
	}
	n.after(worldDelay, func() {
		n.world.mu.Lock()
		defer n.world.mu.Unlock()
		changes := len(n.world.changes)
		n.after(time.Duration(n.world.random.Int64N(int64(worldResumption))), func() {
			defer close(done)
			n.follow(changes)
			n.world.mu.Lock()
			defer n.world.mu.Unlock()
			if n.applied >= changes && began.After(n.until) {
				n.until = began
			}
		})
	})
	return done
}

func (n *testInstance) address() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n.number)}), 1)
}

// holders returns two instances and two keepers, or three instances where there are no keepers.
func (w *world) holders(key Key) []*testInstance {
	if len(w.keepers) == 0 {
		return lowest(key, w.instances, 3)
	}
	return append(lowest(key, w.instances, 2), lowest(key, w.keepers, 2)...)
}

// lowest returns the instances with the lowest hashes of the key and their number.
func lowest(key Key, instances []*testInstance, count int) []*testInstance {
	ranked := slices.Clone(instances)
	rank := func(n *testInstance) uint64 {
		return (uint64(key) ^ uint64(n.number+1)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	}
	slices.SortFunc(ranked, func(a, b *testInstance) int { return cmp.Compare(rank(a), rank(b)) })
	return ranked[:min(count, len(ranked))]
}

// Holders implements Peers.
func (n *testInstance) Holders(key Key) Holders {
	holders := Holders{Domain: n.domain()}
	for _, holder := range n.world.holders(key) {
		if holder == n {
			holders.Self = true
			continue
		}
		holders.Others = append(holders.Others, Holder{Address: holder.address(), Domain: holder.domain()})
	}
	return holders
}

func (n *testInstance) domain() string {
	if n.world.domains == 0 {
		return fmt.Sprint(n.number)
	}
	return fmt.Sprint(n.number % n.world.domains)
}

// Tell implements Peers.
func (n *testInstance) Tell(to netip.AddrPort, records []Record) {
	n.send(to, func(other *testInstance, registry *Registry) {
		registry.Receive(records)
		other.noteRecords(registry, records)
	})
}

// noteRecords notes that a registry of the instance, which may have been replaced since, has records.
func (n *testInstance) noteRecords(registry *Registry, records []Record) {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	if n.world.onRecord != nil && n.registry == registry {
		n.world.onRecord(n, n.incarnation, records)
	}
}

// Ask implements Peers.
func (n *testInstance) Ask(to netip.AddrPort, q Question) {
	n.send(to, func(other *testInstance, registry *Registry) {
		a := registry.Answer(q)
		other.send(n.address(), func(_ *testInstance, asking *Registry) { asking.ReceiveAnswer(other.address(), a) })
	})
}

// send delivers a datagram, late, once, twice or never.
func (n *testInstance) send(to netip.AddrPort, deliver func(*testInstance, *Registry)) {
	other := n.world.all()[to.Addr().As4()[3]]
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	sender := n.incarnation
	if n.cut || n.down || other.cut || n.cutTo[other] || n.world.random.Float64() < n.world.loss {
		return
	}
	copies := 1
	if n.world.random.Float64() < n.world.twice {
		copies = 2
	}
	for range copies {
		delay := worldDelay + time.Duration(n.world.random.Int64N(int64(worldDelay)))
		if n.world.random.Float64() < n.world.loss/2 {
			delay += time.Duration(n.world.random.Int64N(int64(worldLate)))
		}
		other.after(delay, func() {
			n.world.mu.Lock()
			delivered, registry := sender == n.incarnation, other.registry
			n.world.mu.Unlock()
			if delivered {
				deliver(other, registry)
			}
		})
	}
}

// after calls f after a delay, unless the instance is down then or has restarted; once it runs again if it stands
// still. The world's lock is held.
func (n *testInstance) after(delay time.Duration, f func()) {
	w, incarnation := n.world, n.incarnation
	var run func()
	run = func() {
		w.mu.Lock()
		runs := !n.down && n.incarnation == incarnation
		if runs && !n.pausedSince.IsZero() {
			n.unread, runs = append(n.unread, run), false
		}
		w.mu.Unlock()
		if runs {
			f()
		}
	}
	time.AfterFunc(delay, run)
}

// pause stops the process, resume lets it run again. It then handles in any order what it finds, while it takes
// calls already.
func (n *testInstance) pause() {
	n.world.set(func() {
		if n.pausedSince.IsZero() {
			n.pausedSince = time.Now()
			n.stopFollowing()
		}
	})
}

func (n *testInstance) resumeProcess() {
	n.world.set(func() {
		if n.pausedSince.IsZero() {
			return
		}
		paused := time.Since(n.pausedSince)
		n.pausedSince = time.Time{}
		for _, f := range n.unread {
			time.AfterFunc(time.Duration(n.world.random.Int64N(int64(worldResumption))), f)
		}
		n.unread = nil
		if paused > worldPause {
			n.after(time.Duration(n.world.random.Int64N(int64(worldPause))), n.registry.ResetAfterPause)
		}
		n.followAgain()
	})
}

// stopFollowing cuts the instance from the store. The world's lock is held.
func (n *testInstance) stopFollowing() {
	if n.staleSince.IsZero() {
		n.staleSince = time.Now()
	}
}

// followAgain lets the instance read the history of the list again. The world's lock is held.
func (n *testInstance) followAgain() {
	n.after(time.Duration(n.world.random.Int64N(int64(worldResumption))), func() {
		n.world.set(func() {
			n.staleSince = time.Time{}
		})
		n.follow(len(n.world.changes))
	})
}

// netChanges returns the changes without what came and went.
func netChanges(changes []replicaChange) []replicaChange {
	net := map[string]int{}
	for _, c := range changes {
		net[c.before]--
		net[c.after]++
	}
	var come, gone []replicaChange
	for _, version := range slices.Sorted(maps.Keys(net)) {
		count := net[version]
		for ; version != "" && count > 0; count-- {
			come = append(come, replicaChange{after: version})
		}
		for ; version != "" && count < 0; count++ {
			gone = append(gone, replicaChange{before: version})
		}
	}
	return append(come, gone...)
}

// follow applies the changes up to a number of them.
func (n *testInstance) follow(changes int) {
	n.world.mu.Lock()
	var seen []replicaChange
	if n.staleSince.IsZero() && changes > n.applied {
		seen, n.applied = n.world.changes[n.applied:changes], changes
		if n.loses {
			seen, n.loses, n.since = netChanges(seen), false, time.Now()
		}
	}
	versions, registry := n.versions, n.registry
	n.world.mu.Unlock()
	for _, c := range seen {
		if t, ok := versions.Replace(worldReplica(c.before), worldReplica(c.after), time.Now()); ok && t.Mixed {
			registry.TellAll(worldService)
		}
	}
}

func worldReplica(version string) *Replica {
	if version == "" {
		return nil
	}
	return &Replica{Service: worldService, Version: version}
}

// change replaces a replica of one version by one of another; empty for none. The instances that follow the
// list see it after a while.
func (w *world) change(before, after string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if before != "" {
		w.replicas[before]--
	}
	if after != "" {
		w.replicas[after]++
	}
	w.changes = append(w.changes, replicaChange{before, after})
	changes := len(w.changes)
	for _, n := range w.all() {
		n.after(time.Duration(w.random.Int64N(int64(worldViewLag))), func() { n.follow(changes) })
	}
}

// testStream is a stream and the version at which it truly began.
type testStream struct {
	call, version string
	began         time.Time
}

func (s testStream) stream() Stream {
	return Stream{Service: worldService, Customer: "customer", Call: s.call, Life: worldLife}
}

// begin begins a stream at a version that the instance sees.
func (n *testInstance) begin(call, version string) testStream {
	s := testStream{call: call, version: version, began: time.Now()}
	n.registry.Began(s.stream(), version)
	n.noteRecords(n.registry, []Record{{Key: s.key()}})
	return s
}

// resume resolves a stream and fails the test if that yields another version than the stream began at.
func (n *testInstance) resume(s testStream) Resolution {
	got := n.registry.Resolve(context.Background(), s.stream())
	if got.Found() && got.Version != s.version {
		n.world.t.Errorf("%s began at %s and goes on at %s (%s, %d answers)", s.call, s.version, got.Version, got.Source, got.Answers)
	}
	return got
}

// inWorld plays f with instances that have run for longer than a stream lives.
func inWorld(t *testing.T, instances int, replicas map[string]int, f func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, rand.New(rand.NewPCG(1, 2)), instances, replicas)
		time.Sleep(2 * worldLife)
		f(w)
	})
}

// other returns an instance that neither is n nor holds the record of the stream.
func (w *world) other(n *testInstance, s testStream) *testInstance {
	holders := w.holders(s.key())
	for _, other := range w.instances {
		if other != n && !slices.Contains(holders, other) {
			return other
		}
	}
	panic("origin: too few instances")
}

func (s testStream) key() Key {
	stream := s.stream()
	return stream.Key()
}

func callNumber(n int) string { return fmt.Sprintf("call-%d", n) }

// set changes fields of the world or of its instances.
func (w *world) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}
