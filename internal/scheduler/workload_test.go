package scheduler

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"foxhall/internal/cache"
	"foxhall/internal/engine"
	"foxhall/internal/placement"
	"foxhall/internal/standin"
	"foxhall/internal/upstream"
	"foxhall/internal/usage"
)

// scenario is a workload and the engines that serve it.
type scenario struct {
	name                       string
	engines                    int
	slots, cacheTokens         int
	prefill, decode, slowdown  float64
	turns                      [2]int
	shared, families           int
	user, output               [2]int
	pause, deadline            time.Duration
	childShare                 float64
	latencyWeight, cacheWeight float64
}

// The two workloads: agents of buyers with short tool calls and a deadline to bid, and night traffic
// with long tool waits on small engines.
var (
	kerlouan = scenario{
		name: "kerlouan", engines: 15, slots: 12, cacheTokens: 96 * 1024, prefill: 5000, decode: 60, slowdown: 0.06,
		turns: [2]int{3, 9}, shared: 1500, families: 6, user: [2]int{200, 900}, output: [2]int{40, 200},
		pause: 1500 * time.Millisecond, deadline: 60 * time.Second, childShare: 0.2, latencyWeight: 1, cacheWeight: 0.3,
	}
	semente = scenario{
		name: "semente", engines: 9, slots: 8, cacheTokens: 64 * 1024, prefill: 3000, decode: 45, slowdown: 0.08,
		turns: [2]int{3, 8}, shared: 2500, families: 4, user: [2]int{200, 1200}, output: [2]int{30, 150},
		pause: 6 * time.Second, deadline: 120 * time.Second, childShare: 0.1, latencyWeight: 0.3, cacheWeight: 1,
	}
	speedFactors = []float64{1, 0.6, 0.35}
)

const (
	testModel     = "oak"
	testInstances = 4
	testPlans     = 3
	// Programs that start during warmUp are not counted, because caches and learned speeds are
	// empty then under every policy.
	warmUp  = 30 * time.Second
	runTime = 120 * time.Second
	// faultAfter is the time from the end of the warm-up to the start of a fault.
	faultAfter = 30 * time.Second
)

// arrivalRate returns the arrival rate, in programs per second, at which the engines are loaded to
// the given share. At 100%, all engines decode in full batches and prefill each program's new tokens
// once, with all earlier tokens cached.
func (c *scenario) arrivalRate(share float64) float64 {
	turns := float64(c.turns[0]+c.turns[1]) / 2
	steps := turns * (1 + c.childShare*2*0.5)
	outputTokens := steps * float64(c.output[0]+c.output[1]) / 2
	inputTokens := steps * float64(c.user[0]+c.user[1]) / 2
	capacity := 0.0
	for i := range c.engines {
		f := speedFactors[i%len(speedFactors)]
		batch := float64(c.slots) * c.decode * f / (1 + c.slowdown*float64(c.slots-1))
		capacity += 1 / (outputTokens/batch + 0.5*inputTokens/(c.prefill*f))
	}
	return share * capacity
}

// outcome is the measurements of one run.
type outcome struct {
	latencies                                    []float64
	began, inTime, refused, missedDeadline, lost int
	prompt, recomputed, calls                    int64
	staleMemory                                  float64
	planBegan, planInTime                        [testPlans]int
	wrong                                        int
}

type bench struct {
	scenario  scenario
	policy    placement.Policy
	fleet     standin.Fleet
	instances []*Scheduler
	tables    []*upstream.Table
	listed    []usage.Upstream
	grants    [testPlans]*usage.Grant
	random    *rand.Rand

	mu            sync.Mutex
	outcome       outcome
	endedPrograms map[string]bool
	// callerTimeout is how long callers wait, at least the scenario's deadline.
	callerTimeout time.Duration
	warmUpEnd     time.Time
	// arrivalDuration is how long programs arrive after the warm-up.
	arrivalDuration time.Duration
	// onFault is called faultAfter after the warm-up; nil for no fault.
	onFault func()
	// sentAt is the times at which steps were sent to each engine.
	sentAt map[string][]time.Time
}

func newBench(c scenario, policy placement.Policy, seed uint64) *bench {
	b := &bench{scenario: c, policy: policy, fleet: standin.Fleet{}, random: rand.New(rand.NewPCG(seed, 77)), endedPrograms: map[string]bool{}, sentAt: map[string][]time.Time{}, arrivalDuration: runTime}
	for i := range c.engines {
		f := speedFactors[i%len(speedFactors)]
		name := fmt.Sprintf("e%02d", i)
		b.fleet[name] = standin.NewEngine(standin.EngineConfig{
			Name: name, Slots: c.slots, CacheTokens: c.cacheTokens, PrefillSpeed: c.prefill * f, DecodeSpeed: c.decode * f,
			BatchSlowdown: c.slowdown, LoadLag: 500 * time.Millisecond, EventLag: 300 * time.Millisecond,
		})
		b.listed = append(b.listed, usage.Upstream{
			Name: name, Address: name, Kind: usage.KindEngine, DataCentre: "a", Models: []string{testModel}, Slots: c.slots, CacheTokens: c.cacheTokens,
		})
	}
	for i := range b.grants {
		b.grants[i] = &usage.Grant{Models: []string{testModel}, Services: []string{"tool"}, DataCentres: []string{"a"}, LatencyWeight: c.latencyWeight, CacheWeight: c.cacheWeight}
	}
	for i := range testInstances {
		b.instances = append(b.instances, b.newInstance(seed, i))
	}
	return b
}

func (b *bench) newInstance(seed uint64, i int) *Scheduler {
	listed := append([]usage.Upstream(nil), b.listed...)
	listed = append(listed, usage.Upstream{Name: "tool", Address: "tool", Kind: usage.KindService, Service: "tool", DataCentre: "a", Slots: 10000})
	table := upstream.NewTable()
	table.Apply(listed, time.Now())
	random := rand.New(rand.NewPCG(seed, uint64(i)))
	var mu sync.Mutex
	b.tables = append(b.tables, table)
	return New(Settings{
		DataCentre: "a", Policy: b.policy, Mover: b.mover(),
		Random: func() uint64 {
			mu.Lock()
			defer mu.Unlock()
			return random.Uint64()
		},
		ReleaseCache: func(address, program string) {
			_ = b.fleet.Order(context.Background(), address, engine.Order{Kind: engine.OrderRelease, Programs: []string{program}})
		},
	}, table, cache.New(cache.DefaultOptions))
}

// run starts programs at the given load for arrivalDuration after the warm-up and waits for all of
// them.
func (b *bench) run(t *testing.T, load float64) outcome {
	ctx, cancel := context.WithCancel(t.Context())
	var background, work sync.WaitGroup
	for _, node := range b.instances {
		background.Go(func() { node.Run(ctx, b.fleet) })
	}
	background.Go(func() { b.measureStaleMemory(ctx) })
	background.Go(func() { b.exchange(ctx) })
	rate := b.scenario.arrivalRate(load)
	// Below saturation, callers wait for the end, so that late programs count in the latency. In
	// overload, they give up at the deadline.
	b.callerTimeout = time.Hour
	if load > 1 {
		b.callerTimeout = b.scenario.deadline
	}
	b.warmUpEnd = time.Now().Add(warmUp)
	end := b.warmUpEnd.Add(b.arrivalDuration)
	if b.onFault != nil {
		time.AfterFunc(warmUp+faultAfter, b.onFault)
	}
	for n := 0; ; n++ {
		time.Sleep(time.Duration(b.random.ExpFloat64() / rate * float64(time.Second)))
		if time.Now().After(end) {
			break
		}
		p := b.newProgram(n)
		work.Go(func() { p.run(ctx) })
	}
	work.Wait()
	cancel()
	background.Wait()
	return b.outcome
}

// exchange distributes upstream signals among the instances, as peers do.
func (b *bench) exchange(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-time.After(500 * time.Millisecond):
		case <-ctx.Done():
		}
		for _, from := range b.tables {
			for _, signal := range from.Signals(time.Now()) {
				for _, to := range b.tables {
					to.ApplySignal(time.Now(), signal)
				}
			}
		}
	}
}

// measureStaleMemory measures the mean share of all cache memory that is held by ended programs.
func (b *bench) measureStaleMemory(ctx context.Context) {
	total := float64(b.scenario.engines * b.scenario.cacheTokens)
	samples := 0.0
	for ctx.Err() == nil {
		held := 0.0
		for addr := range b.fleet {
			state, err := b.fleet.State(ctx, addr, false)
			if err != nil {
				continue
			}
			b.mu.Lock()
			for program, tokens := range state.Programs {
				if b.endedPrograms[program] {
					held += float64(tokens)
				}
			}
			b.mu.Unlock()
		}
		samples++
		b.outcome.staleMemory += (held/total - b.outcome.staleMemory) / samples
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
	}
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// mover returns the fleet under the cost policy. The baselines do not move caches.
func (b *bench) mover() Mover {
	if b.policy != placement.Cost {
		return nil
	}
	return b.fleet
}

func (b *bench) recordSent(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sentAt[name] = append(b.sentAt[name], time.Now())
}

// sentBetween returns the number of steps sent to an engine from one time to another, both relative
// to the start of the fault.
func (b *bench) sentBetween(name string, from, to time.Duration) int {
	n := 0
	for _, at := range b.sentAt[name] {
		if since := at.Sub(b.warmUpEnd.Add(faultAfter)); since >= from && since < to {
			n++
		}
	}
	return n
}
