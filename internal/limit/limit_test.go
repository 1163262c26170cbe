package limit

import (
	"context"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"foxhall/internal/fuzzing"
	"foxhall/internal/plan"
)

func TestMain(m *testing.M) {
	fuzzing.Fix(20261202, 3000)
	os.Exit(m.Run())
}

// usedShare is the share that one instance received last.
type usedShare struct {
	share Share
	ends  time.Time
}

// Guards against shares that add up to more than a plan's limits. Instances of different sizes
// request varying shares, some responses are lost and some instances stop requesting. Each uses the
// last share that it received, or the default share after that has expired.
func TestSharesAgainstOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		names := []string{"a", "b", "c", "d", "e"}
		weights := map[string]float64{}
		for _, name := range names {
			weights[name] = float64(rapid.IntRange(1, 4).Draw(rt, "weight"))
		}
		members := newFleet(weights)
		limits := plan.Limits{
			Rate:        float64(rapid.IntRange(1, 100).Draw(rt, "rate")),
			Concurrency: rapid.IntRange(1, 40).Draw(rt, "concurrency"),
		}
		now, arbiter, uses := time.Unix(1000, 0), newArbiter(), map[string]usedShare{}
		rt.Repeat(map[string]func(*rapid.T){
			"ask": func(rt *rapid.T) {
				name := rapid.SampledFrom(names).Draw(rt, "name")
				demand := Demand{
					Plan: "p", Limits: limits, Rate: float64(rapid.IntRange(0, 100).Draw(rt, "offered")),
					Slots: rapid.IntRange(0, 30).Draw(rt, "slots"),
				}
				share := arbiter.allocate(name, demand, members, now)
				if rapid.IntRange(0, 3).Draw(rt, "lost") > 0 {
					uses[name] = usedShare{share: share, ends: now.Add(shareLifetime)}
				}
			},
			"time": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(rt, "ms")) * time.Millisecond)
			},
			"": func(rt *rapid.T) {
				var sum Share
				for _, name := range names {
					share := members.defaultShare(limits, name)
					if u, ok := uses[name]; ok && now.Before(u.ends) {
						share = u.share
					}
					sum.Rate += share.Rate
					sum.Slots += share.Slots
				}
				if sum.Rate > limits.Rate*1.000001 || sum.Slots > limits.Concurrency {
					rt.Fatalf("shares add up to rate %v and %d slots, limits are %v", sum.Rate, sum.Slots, limits)
				}
			},
		})
	})
}

// dataCentre is a set of gates that are arbiters for each other.
type dataCentre struct {
	mu    sync.Mutex
	gates map[string]*Gate
	down  bool
}

type member struct {
	dataCentre *dataCentre
	name       string
}

func (m member) Self() string { return m.name }

func (m member) Weights() map[string]float64 {
	m.dataCentre.mu.Lock()
	defer m.dataCentre.mu.Unlock()
	weights := map[string]float64{}
	for name := range m.dataCentre.gates {
		weights[name] = 1
	}
	return weights
}

func (m member) RequestShares(_ context.Context, instance string, demands []Demand) ([]Share, error) {
	m.dataCentre.mu.Lock()
	gate, down := m.dataCentre.gates[instance], m.dataCentre.down
	m.dataCentre.mu.Unlock()
	if down {
		return nil, errors.New("partition")
	}
	return gate.AllocateShares(m.name, demands), nil
}

// newDataCentre runs gates until stop is called.
func newDataCentre(names ...string) (f *dataCentre, stop func()) {
	f = &dataCentre{gates: map[string]*Gate{}}
	ctx, cancel := context.WithCancel(context.Background())
	for _, name := range names {
		f.gates[name] = NewGate(Options{Members: member{f, name}, Arbiters: member{f, name}})
	}
	var group sync.WaitGroup
	for _, g := range f.gates {
		group.Go(func() { _ = g.Run(ctx) })
	}
	return f, func() { cancel(); group.Wait() }
}

// offerSteps sends steps at even intervals of pace, each running for service if admitted. It calls
// note with the result of each, one call at a time, and returns when all steps have ended.
func offerSteps(g *Gate, p *plan.Plan, count int, interval, service time.Duration, note func(waited time.Duration, refusal *Refusal)) {
	var group sync.WaitGroup
	var noting sync.Mutex
	for range count {
		group.Go(func() {
			start := time.Now()
			release, refusal := g.Admit(context.Background(), p, time.Time{})
			waited := time.Since(start)
			noting.Lock()
			note(waited, refusal)
			noting.Unlock()
			if refusal == nil {
				time.Sleep(service)
				release()
			}
		})
		time.Sleep(interval)
	}
	group.Wait()
}

// All of a plan's steps arrive at one of five instances. Within a few seconds that instance gets
// nearly the full rate. When the steps move to another instance, that one gets it.
func TestShareFollowsDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, stop := newDataCentre("a", "b", "c", "d", "e")
		defer stop()
		p := &plan.Plan{Name: "p", Limits: plan.Limits{Rate: 20, Burst: 5}}
		for _, name := range []string{"b", "d"} {
			g := f.gates[name]
			nothing := func(time.Duration, *Refusal) {}
			offerSteps(g, p, 300, 20*time.Millisecond, time.Millisecond, nothing)
			before := g.admitted.Count()
			offerSteps(g, p, 500, 20*time.Millisecond, time.Millisecond, nothing)
			admitted := float64(g.admitted.Count()-before) / 10
			t.Logf("%s admits %.1f a second of 20", name, admitted)
			is.True(admitted >= 0.8*20 && admitted <= 1.5*20)
		}
	})
}

// A plan with fewer slots than there are instances is served by each instance, also while the
// arbiters are unreachable.
func TestFewSlotsAndNoArbiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, stop := newDataCentre("a", "b", "c", "d", "e")
		defer stop()
		p := &plan.Plan{Name: "p", Limits: plan.Limits{Concurrency: 2}}
		for _, down := range []bool{false, true} {
			f.mu.Lock()
			f.down = down
			f.mu.Unlock()
			for _, g := range f.gates {
				release, refusal := g.Admit(context.Background(), p, time.Time{})
				is.True(refusal == nil)
				release()
				time.Sleep(2 * shareLifetime) // its share expires
			}
		}
	})
}

// One customer floods an instance of eight slots with ten times its capacity, another calls rarely.
// The second customer waits at most for about the next free slot; without fair queueing its steps
// would queue behind the flood. Most steps of the flood are refused, with a RetryAfter.
func TestFloodDoesNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const service = 100 * time.Millisecond
		g := NewGate(Options{Capacity: 8, MaxWait: 2 * time.Second, MaxQueue: 200})
		flood, calm := &plan.Plan{Name: "flood"}, &plan.Plan{Name: "calm"}
		var floodRefused, floodSeen int
		var worst time.Duration
		var group sync.WaitGroup
		group.Go(func() {
			offerSteps(g, flood, 8000, 1250*time.Microsecond, service, func(waited time.Duration, refusal *Refusal) {
				floodSeen++
				if refusal != nil {
					floodRefused++
					is.True(refusal.RetryAfter > 0)
				}
			})
		})
		time.Sleep(time.Second)
		group.Go(func() {
			offerSteps(g, calm, 40, 200*time.Millisecond, service, func(waited time.Duration, refusal *Refusal) {
				is.True(refusal == nil)
				worst = max(worst, waited)
			})
		})
		group.Wait()
		t.Logf("calm waits %v at most; flood refused %d of %d", worst, floodRefused, floodSeen)
		is.True(worst <= service)
		is.True(floodRefused > floodSeen/2)
	})
}

// A step that can't meet its deadline is refused on arrival, not near its deadline; a step that can
// meet it waits. After RetryAfter a step is admitted.
func TestShedsEarlyWithRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := NewGate(Options{})
		p := &plan.Plan{Name: "p", Limits: plan.Limits{Rate: 1, Burst: 1}}
		enter := func(within time.Duration) (time.Duration, *Refusal) {
			start := time.Now()
			release, refusal := g.Admit(context.Background(), p, start.Add(within))
			if refusal == nil {
				release()
			}
			return time.Since(start), refusal
		}
		_, refusal := enter(10 * time.Second)
		is.True(refusal == nil)
		waited, refusal := enter(time.Second)
		is.Equal(refusal.Reason, DeadlineTooClose)
		is.Equal(waited, time.Duration(0))
		time.Sleep(refusal.RetryAfter)
		waited, refusal = enter(10 * time.Second)
		is.True(refusal == nil)
		is.Equal(waited, time.Duration(0)) // RetryAfter was exact
		waited, refusal = enter(10 * time.Second)
		is.True(refusal == nil)
		is.True(waited <= time.Second+time.Millisecond)
	})
}

// A caller disconnects while its step waits: the step is never admitted, and its place in the queue
// is freed.
func TestCallerGoneWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := NewGate(Options{Capacity: 1})
		p := &plan.Plan{Name: "p"}
		release, refusal := g.Admit(context.Background(), p, time.Time{})
		is.True(refusal == nil)
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		_, refusal = g.Admit(ctx, p, time.Time{})
		is.Equal(refusal.Reason, Cancelled)
		release()
		is.Equal(g.running, 0)
		is.Equal(g.waiting, 0)
		release, refusal = g.Admit(context.Background(), p, time.Time{})
		is.True(refusal == nil)
		release()
	})
}

// A customer floods the instance after a long idle time. It must not have accumulated credit for
// that time: a customer with steady steps still waits at most for about the next free slot.
func TestIdleTimeGivesNoCredit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const service = 100 * time.Millisecond
		g := NewGate(Options{Capacity: 8})
		back, steady := &plan.Plan{Name: "back"}, &plan.Plan{Name: "steady"}
		nothing := func(time.Duration, *Refusal) {}
		offerSteps(g, back, 1, 0, service, nothing)
		offerSteps(g, steady, 400, 25*time.Millisecond, service, nothing)
		var group sync.WaitGroup
		group.Go(func() { offerSteps(g, back, 500, time.Millisecond, service, nothing) })
		time.Sleep(service)
		var worst time.Duration
		offerSteps(g, steady, 10, service, service, func(waited time.Duration, refusal *Refusal) {
			is.True(refusal == nil)
			worst = max(worst, waited)
		})
		group.Wait()
		is.True(worst <= service)
	})
}

// The queue of an instance is full of one customer's steps when another customer's step arrives: the
// newest step of the first customer is evicted and refused at once.
func TestFullQueueEvictsTheLargest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := NewGate(Options{Capacity: 1, MaxQueue: 10, MaxWait: time.Hour})
		flood, calm := &plan.Plan{Name: "flood"}, &plan.Plan{Name: "calm"}
		var group sync.WaitGroup
		refused := 0
		group.Go(func() {
			offerSteps(g, flood, 11, 0, time.Second, func(waited time.Duration, refusal *Refusal) {
				if refusal != nil {
					refused++
					is.Equal(refusal.Reason, Overloaded)
					is.Equal(waited, time.Millisecond)
				}
			})
		})
		time.Sleep(time.Millisecond)
		offerSteps(g, calm, 1, 0, time.Second, func(_ time.Duration, refusal *Refusal) { is.True(refusal == nil) })
		group.Wait()
		is.Equal(refused, 1)
	})
}

// Steps of many plans wait for their own rate limits while the instance has free capacity. A step of
// another plan must wait for its own rate limit only, and must not be refused for its near deadline:
// none of the waiting steps delays it.
func TestOthersRateLimitsDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := NewGate(Options{Capacity: 2})
		var group sync.WaitGroup
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			p := &plan.Plan{Name: name, Priority: 9, Limits: plan.Limits{Rate: 1, Burst: 1}}
			group.Go(func() { offerSteps(g, p, 3, 0, 0, func(time.Duration, *Refusal) {}) })
		}
		time.Sleep(100 * time.Millisecond)
		is.True(g.queuedGauge.Value() > 0)
		x := &plan.Plan{Name: "x", Limits: plan.Limits{Rate: 20, Burst: 1}}
		for range 3 {
			release, refusal := g.Admit(context.Background(), x, time.Now().Add(150*time.Millisecond))
			is.True(refusal == nil)
			release()
		}
		group.Wait()
	})
}
