package joined

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/config"
	"foxhall/internal/instance"
	"foxhall/internal/load"
	"foxhall/internal/plan"
	"foxhall/internal/settings"
	"foxhall/internal/standin"
	"foxhall/internal/usage"
)

var (
	capacityInstances = flag.Int("capacity.instances", 3, "instances of TestCapacity, all in one data centre; at most 99")
	capacityEngines   = flag.Int("capacity.engines", 2, "engines of TestCapacity, all in one data centre; at most 99")
	capacityRate      = flag.Float64("capacity.rate", 2, "model steps a second for each instance of TestCapacity")
	capacityWords     = flag.Int("capacity.words", 60, "words in each message of TestCapacity's programs, 5 bytes or 1.25 tokens each")
	capacitySticky    = flag.Bool("capacity.sticky", false, "send all steps of a program in TestCapacity to one instance, so that none is relayed")
)

const (
	// capacitySettleTime lets the instances find each other and load the configuration before the
	// first count.
	capacitySettleTime = 20 * time.Second
	// capacityWindow is the virtual time for which each state is measured.
	capacityWindow = 40 * time.Second
	// capacityTurns is the number of model steps of a program. Each is sent to an instance chosen at
	// random, as by a load balancer.
	capacityTurns = 4
	// capacityDrainTime lets the last programs end before the final count.
	capacityDrainTime = 10 * time.Second
)

// usageSnapshot holds the values of all counters at one time.
type usageSnapshot struct {
	at        time.Time
	flows     map[string]standin.Flow
	store     standin.StoreCounts
	processor time.Duration
	allocated uint64
}

func (w *world) snapshot(t *standin.TrafficCounter) usageSnapshot {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return usageSnapshot{time.Now(), t.Flows(), w.store.Counts(), time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), memory.TotalAlloc}
}

// memoryInUse returns the bytes in use by heap and stacks after a garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// logUsage logs the average resource usage of one instance per virtual second between two snapshots.
func logUsage(t *testing.T, state string, a, b usageSnapshot, instances int) {
	instanceSeconds := b.at.Sub(a.at).Seconds() * float64(instances)
	bytes := int64(0)
	for kind, g := range b.flows {
		bytes += g.BytesReceived + g.BytesSent - a.flows[kind].BytesReceived - a.flows[kind].BytesSent
	}
	t.Logf("%s: %.2f KB/s on own connections, processor %.3f%% of a core (stand-ins included), %.0f KB/s allocated, store %.2f reads/s %.2f writes/s",
		state, float64(bytes)/instanceSeconds/1000, 100*(b.processor-a.processor).Seconds()/instanceSeconds, float64(b.allocated-a.allocated)/instanceSeconds/1000,
		float64(b.store.Reads-a.store.Reads)/instanceSeconds, float64(b.store.Writes-a.store.Writes)/instanceSeconds)
	for _, kind := range slices.Sorted(maps.Keys(b.flows)) {
		f, g := a.flows[kind], b.flows[kind]
		if g == f {
			continue
		}
		t.Logf("%s: %-40s %8.3f calls/s %9.0f B/s out %9.0f B/s in", state, kind,
			float64(g.Calls-f.Calls)/instanceSeconds, float64(g.BytesSent-f.BytesSent)/instanceSeconds, float64(g.BytesReceived-f.BytesReceived)/instanceSeconds)
	}
}

// newCapacityWorld starts engines and instances in data centre "a".
func newCapacityWorld(t *standin.TrafficCounter, instances, engines int) (*world, error) {
	w := &world{
		network: standin.NewNetwork(), store: standin.NewStore(),
		engines: map[string]*standin.Engine{}, nodes: map[string]*node{}, faultChanges: map[*standin.Engine]int{}, calls: newCallOrder(),
	}
	if err := w.serve("store", storeAddress, w.store.Handler()); err != nil {
		return nil, err
	}
	text := []byte("[[model]]\nname = \"oak\"\n")
	for n := range engines {
		address := fmt.Sprintf("127.0.0.1:%d", 910+n)
		if err := w.startEngine("a", fmt.Sprintf("e%d", n), address, 1); err != nil {
			return nil, err
		}
		text = fmt.Appendf(text, "[[upstream]]\nname = \"a-e%d\"\nkind = \"engine\"\naddress = %q\ndata_centre = \"a\"\nmodels = [\"oak\"]\nslots = 16\ncache_tokens = 20000\n", n, address)
	}
	text = fmt.Appendf(text, "[[grant]]\nplan = \"bids\"\nmodels = [\"oak\"]\ndata_centres = [\"a\"]\nlatency_weight = 1.0\n")
	uses, err := usage.Parse(text)
	if err != nil {
		return nil, err
	}
	plans, err := plan.Parse(fmt.Appendf(nil, "[[plan]]\nname = \"bids\"\ncustomer = \"bids\"\nkey_hashes = [%q]\n", plan.HashKey(kerlouanKey)))
	if err != nil {
		return nil, err
	}
	if _, err := config.NewEditor(w.store).Apply(context.Background(), config.Proposal{Operator: "joined", Plans: plans, Usage: uses}); err != nil {
		return nil, err
	}
	for n := range instances {
		if err := w.startCountedInstance(t, n+1); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (w *world) startCountedInstance(t *standin.TrafficCounter, number int) error {
	name := fmt.Sprintf("a/%d", number)
	s := settings.Default()
	s.Instance, s.DataCentre = fmt.Sprintf("a-%d", number), "a"
	s.Listen = settings.Listen{Callers: callersAddress("a", number), Peers: peersAddress("a", number)}
	s.Store.URL = "http://" + storeAddress
	s.Peers.Secret = "joined-joined-joined"
	s.Peers.Seeds = []string{peersAddress("a", 1), peersAddress("a", 2), peersAddress("a", 3)}
	i, err := instance.NewWithNetwork(standin.CountedHost{Host: w.network.Host(name), Traffic: t}, s)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	n := &node{name: name, host: name, instance: i, stop: stop, ended: make(chan struct{})}
	w.nodes[name] = n
	w.running.Go(func() {
		defer close(n.ended)
		_ = i.Run(ctx)
	})
	return nil
}

// runLoad starts programs for capacityWindow at the given rate, in model steps per second, and
// waits for them.
func (w *world) runLoad(o *oracle, instances int, rate float64) {
	var targets []string
	for n := range instances {
		targets = append(targets, "http://"+callersAddress("a", n+1))
	}
	client := load.NewClientWithDialer(w.network.Host("caller").DialContext, targets, kerlouanKey)
	defer client.Close()
	random := rand.New(rand.NewPCG(1, 2))
	var programs sync.WaitGroup
	for id := range int(rate * capacityWindow.Seconds() / capacityTurns) {
		origins := random.Perm(capacityTurns * instances)
		programs.Go(func() {
			a := &agent{oracle: o, client: client, model: "oak", next: 1}
			for turn := range capacityTurns {
				a.origin = origins[turn]
				if *capacitySticky {
					a.origin = origins[0] + capacityTurns - turn
				}
				if !a.sendTurn(context.Background(), fmt.Sprintf("%d %d %s", id, turn, strings.Repeat("word ", *capacityWords)), turn == capacityTurns-1) {
					return
				}
			}
			o.mu.Lock()
			o.finished++
			o.mu.Unlock()
		})
		time.Sleep(time.Duration(capacityTurns / rate * float64(time.Second)))
	}
	programs.Wait()
}

// TestCapacity measures the resource usage of complete instances at rest and under a steady load:
// calls and bytes by kind of request, calls of the object API, processor time and memory. The
// default size is small; flags set a larger one. It fails if a program does not finish
// or a response is wrong.
//
//	go test ./internal/joined -run TestCapacity -v -capacity.instances 30 -capacity.engines 20
func TestCapacity(t *testing.T) {
	is := is.New(t)
	instances, engines := *capacityInstances, *capacityEngines
	o, counts := newOracle(), standin.NewTrafficCounter()
	before := memoryInUse()
	var want int
	synctest.Test(t, func(t *testing.T) {
		w, err := newCapacityWorld(counts, instances, engines)
		is.NoErr(err)
		time.Sleep(capacitySettleTime)
		t.Logf("%d instances, %d engines: %.2f MB for each instance at rest, its share of the stand-ins included",
			instances, engines, (memoryInUse()-before)/float64(instances)/1e6)
		a := w.snapshot(counts)
		time.Sleep(capacityWindow)
		logUsage(t, "rest", a, w.snapshot(counts), instances)
		rate := *capacityRate * float64(instances)
		want = int(rate * capacityWindow.Seconds() / capacityTurns)
		a = w.snapshot(counts)
		w.runLoad(o, instances, rate)
		time.Sleep(capacityDrainTime)
		logUsage(t, "load", a, w.snapshot(counts), instances)
		w.close()
	})
	is.Equal(o.finished, want)
	is.Equal(len(o.violations), 0)
}
