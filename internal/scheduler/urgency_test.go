package scheduler

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/placement"
	"foxhall/internal/queue"
	"foxhall/internal/step"
	"foxhall/internal/upstream"
	"foxhall/internal/usage"
)

// callSeconds is the duration of a call that the engines of these tests have learned.
const callSeconds = 1

// learnSpeed makes the table's engines learn that a call takes a second.
func learnSpeed(table *upstream.Table) {
	for _, endpoint := range table.Snapshot().Model(testModel) {
		for range 50 {
			endpoint.Learn(upstream.Sample{Uncached: 300, Output: 50, Batch: 8, FirstToken: 500 * time.Millisecond, Total: callSeconds * time.Second})
		}
	}
}

// newPressured returns a scheduler with load control and engines with 8 slots whose speed is known.
func newPressured(settings Settings, engines int) (*Scheduler, *upstream.Table) {
	settings.LoadControl = true
	var listed []usage.Upstream
	for i := range engines {
		listed = append(listed, engineAt(fmt.Sprint("e", i), "a", 8))
	}
	s, table := newTestScheduler(settings, listed...)
	learnSpeed(table)
	return s, table
}

// setPeers sets the number of calls that other instances have at an engine, for loadLifetime from now.
func setPeers(table *upstream.Table, name string, calls int) {
	const loadLifetime = 1500 * time.Millisecond
	if u := table.Snapshot().Upstream(name); u != nil {
		u.SetRemoteLoad(calls, 0, time.Now().Add(loadLifetime))
	}
}

// keepPeers sets the load of other instances again and again, as their datagrams do, until stop is
// called.
func keepPeers(table *upstream.Table, name string, calls int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	setPeers(table, name, calls)
	ticker := time.NewTicker(60 * time.Millisecond)
	go func() {
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				setPeers(table, name, calls)
			case <-ctx.Done():
				return
			}
		}
	}()
	return cancel
}

// urgentRequest returns a request of a rank whose program has some time left; 0 for no objective.
func urgentRequest(program string, rank int, left time.Duration) Request {
	r := testRequest(program)
	r.Priority = maxPriority - rank
	r.OutputHint = 50
	r.Arrived = time.Now()
	if left != 0 {
		r.Objective = r.Arrived.Add(left)
	}
	return r
}

// The times left of a call of each class, if a call takes a second.
const (
	tightLeft    = 2500 * time.Millisecond
	ordinaryLeft = 20 * time.Second
	lateLeft     = -time.Second
)

// isPlacedAtOnce reports whether a step is placed without waiting. Its place is free again afterwards.
func isPlacedAtOnce(s *Scheduler, r Request) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	granted := make(chan *Grant, 1)
	go func() {
		g, _ := s.Acquire(ctx, r)
		granted <- g
	}()
	synctest.Wait()
	select {
	case g := <-granted:
		if g == nil { // refused
			return false
		}
		g.Done(Feedback{Cancelled: true})
		return true
	default:
	}
	cancel()
	<-granted
	return false
}

// Guards against calls that queue inside an engine in order of arrival: counting the calls of all
// instances, an engine has fewer places for less urgent calls and for lower ranks.
func TestPlacesDependOnUrgency(t *testing.T) {
	for _, c := range []struct {
		name   string
		rank   int
		left   time.Duration
		resent bool
		places int
	}{
		{"tight", 0, tightLeft, false, 16}, {"ordinary", 0, ordinaryLeft, false, 12}, {"no objective", 0, 0, false, 12},
		{"late", 0, lateLeft, false, 10}, {"late, sent again", 0, lateLeft, true, 12},
		{"tight, lower rank", 1, tightLeft, false, 15}, {"ordinary, lowest rank", 9, ordinaryLeft, false, 11}, {"late, lowest rank", 9, lateLeft, false, 9},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s, table := newPressured(Settings{}, 1)
				r := urgentRequest("p", c.rank, c.left)
				r.Resent = c.resent
				setPeers(table, "e0", c.places-1)
				is.True(isPlacedAtOnce(s, r))
				setPeers(table, "e0", c.places)
				is.True(!isPlacedAtOnce(s, r))
			})
		})
	}
}

// Guards against a change for deployments that don't ask for load control: other instances' calls make
// no engine full, and the order is that of the plan's priority and attained service.
func TestWithoutLoadControlOnlyOwnCallsFillAnEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, table := newTestScheduler(Settings{}, engineAt("e0", "a", 8))
		learnSpeed(table)
		setPeers(table, "e0", 100)
		is.True(isPlacedAtOnce(s, urgentRequest("p", 9, lateLeft)))
		r := urgentRequest("p", 3, tightLeft)
		w := s.newWaiter(&r)
		is.True(s.pool(&r).enqueue(w) == nil)
		is.True(!w.byUrgency)
		is.Equal(w.item.Key(), queue.Key{At: w.criteria.Key()})
	})
}

// Guards against load control in pools to which it does not apply: services, and baseline policies.
func TestServicesAndBaselinesAreNotOrderedByUrgency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, table := newTestScheduler(Settings{LoadControl: true}, usage.Upstream{Name: "t", Address: "t", Kind: usage.KindService, Service: "tool", DataCentre: "a", Slots: 4})
		setPeers(table, "t", 100)
		is.True(isPlacedAtOnce(s, Request{Service: "tool", Program: "p"}))
		s, table = newPressured(Settings{Policy: placement.LeastInFlight}, 1)
		setPeers(table, "e0", 100)
		is.True(isPlacedAtOnce(s, urgentRequest("p", 0, lateLeft)))
	})
}

// acquireAll starts a call for each request and returns the programs in the order in which they are
// placed, while one place after the other becomes free.
func acquireAll(t *testing.T, s *Scheduler, holder *Grant, requests []Request) []string {
	grants := make(chan *Grant, len(requests))
	for _, r := range requests {
		go func() {
			g, refusal := s.Acquire(t.Context(), r)
			if refusal != nil {
				t.Errorf("%s: %+v", r.Program, refusal)
			}
			grants <- g
		}()
		synctest.Wait()
	}
	var order []string
	for range requests {
		holder.Done(Feedback{Cancelled: true})
		holder = <-grants
		order = append(order, holder.waiter.request.Program)
	}
	holder.Done(Feedback{Cancelled: true})
	return order
}

// holdOnePlace fills an engine for calls of every class and returns the grant of one of its places.
func holdOnePlace(t *testing.T, s *Scheduler, table *upstream.Table) *Grant {
	for range 8 {
		table.Snapshot().Upstream("e0").Begin(time.Now().UnixNano(), 0, time.Hour)
	}
	g, refusal := s.Acquire(t.Context(), urgentRequest("holder", 0, tightLeft))
	if refusal != nil {
		t.Fatalf("%+v", refusal)
	}
	return g
}

// Guards against places that go to calls in order of arrival: a place that becomes free goes to the
// earliest objective, where a rank counts as a second and a late call as one that is due in 4 s.
func TestFreePlacesGoByRankAndUrgency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, table := newPressured(Settings{}, 1)
		holder := holdOnePlace(t, s, table)
		order := acquireAll(t, s, holder, []Request{
			urgentRequest("late", 0, lateLeft), urgentRequest("ordinary", 0, ordinaryLeft), urgentRequest("low tight", 2, tightLeft),
			urgentRequest("earlier", 0, ordinaryLeft-time.Second), urgentRequest("tight", 0, tightLeft),
		})
		is.Equal(order, []string{"tight", "late", "low tight", "earlier", "ordinary"})
	})
}

// Guards against a call that keeps its place in the order although its program's time has become short.
func TestWaitingCallsBecomeTight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, table := newPressured(Settings{}, 1)
		defer keepPeers(table, "e0", 13)() // no place for ordinary calls, some for tight ones
		r := urgentRequest("p", 0, 8*time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		g, refusal := s.Acquire(ctx, r)
		is.True(refusal == nil)
		waited := time.Since(r.Arrived)
		is.True(waited > 2*time.Second && waited < 6*time.Second)
		is.Equal(g.waiter.urgent.state.Class.String(), "tight")
		g.Done(Feedback{Cancelled: true})
	})
}

// Guards against a late call that starves: calls with little time left keep arriving, and one that arrives
// more than 4 s after it must go behind it.
func TestLateCallGoesBeforeLaterArrivals(t *testing.T) {
	for _, left := range []time.Duration{tightLeft, ordinaryLeft} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s, table := newPressured(Settings{}, 1)
			holder := holdOnePlace(t, s, table)
			late := urgentRequest("late", 0, lateLeft)
			late.Deadline = late.Arrived.Add(40 * time.Second)
			grants := make(chan *Grant, 2)
			acquire := func(r Request) {
				ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
				defer cancel()
				g, _ := s.Acquire(ctx, r)
				grants <- g
			}
			go acquire(late)
			time.Sleep(4500 * time.Millisecond)
			go acquire(urgentRequest("later", 0, left))
			time.Sleep(100 * time.Millisecond)
			holder.Done(Feedback{Cancelled: true})
			g := <-grants
			is.True(g != nil)
			first := g.waiter.request.Program
			g.Done(Feedback{Cancelled: true})
			(<-grants).Done(Feedback{Cancelled: true})
			is.Equal(first, "late")
		})
	}
}

// Guards against a place that becomes free while the queue is scanned and goes to a call behind those for which
// the scan has found the engine full.
func TestPlaceThatBecomesFreeWithinAScanGoesToTheFirstCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var duringScan atomic.Pointer[func()]
		s, table := newPressured(Settings{Connections: func(string, string, int) (idle, free bool) {
			if f := duringScan.Swap(nil); f != nil {
				(*f)()
			}
			return true, true
		}}, 1)
		holder := holdOnePlace(t, s, table)
		grants := make(chan *Grant, 2)
		for _, r := range []Request{urgentRequest("late", 0, lateLeft), urgentRequest("ordinary", 0, ordinaryLeft)} {
			go func() {
				g, refusal := s.Acquire(t.Context(), r)
				if refusal != nil {
					t.Errorf("%s: %+v", r.Program, refusal)
				}
				grants <- g
			}()
			synctest.Wait()
		}
		is.Equal(s.Waiting(), 2)
		// The next scan has looked at the engine's load for the late call when the holder's call ends.
		endHolder := func() {
			before := table.Snapshot().Upstream("e0").Load(time.Now().UnixNano()).Own
			go holder.Done(Feedback{Cancelled: true})
			for range 10000 {
				runtime.Gosched()
				if table.Snapshot().Upstream("e0").Load(time.Now().UnixNano()).Own < before {
					return
				}
			}
		}
		duringScan.Store(&endHolder)
		g := <-grants
		first := g.waiter.request.Program
		g.Done(Feedback{Cancelled: true})
		(<-grants).Done(Feedback{Cancelled: true})
		is.Equal(first, "late")
	})
}

// Guards against late calls that wait for ever while more urgent ones take every place: after a quarter of
// its time a late call may use the places of ordinary ones.
func TestLateCallDoesNotStarve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, table := newPressured(Settings{}, 1)
		defer keepPeers(table, "e0", 11)()
		r := urgentRequest("late", 0, lateLeft)
		r.Deadline = r.Arrived.Add(20 * time.Second)
		g, refusal := s.Acquire(t.Context(), r)
		is.True(refusal == nil)
		waited := time.Since(r.Arrived)
		is.True(waited >= 5*time.Second && waited <= 5*time.Second+2*scanInterval)
		g.Done(Feedback{Cancelled: true})
	})
}

// Guards against a wait for calls of an instance that has died, or whose datagrams are all lost: its calls
// count for 1.5 s, and the next scan places the waiting calls.
func TestLoadsOfLostPeersExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, table := newPressured(Settings{}, 2)
		setPeers(table, "e0", 40)
		setPeers(table, "e1", 40)
		begin := time.Now()
		for i := range 8 {
			g, refusal := s.Acquire(t.Context(), urgentRequest(fmt.Sprint(i), 0, ordinaryLeft))
			is.True(refusal == nil)
			defer g.Done(Feedback{Cancelled: true})
		}
		is.True(time.Since(begin) >= 1500*time.Millisecond && time.Since(begin) <= 1500*time.Millisecond+2*scanInterval)
	})
}

// Guards against calls that are bound to an engine while they wait: it ends, and they are placed on
// another one as soon as that has a place.
func TestEndOfAnEngineWhileCallsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, table := newPressured(Settings{}, 2)
		defer keepPeers(table, "e0", 12)()
		stop := keepPeers(table, "e1", 30)
		defer stop()
		synctest.Wait()
		grants := make(chan *Grant, 4)
		for i := range 4 {
			go func() {
				g, refusal := s.Acquire(t.Context(), urgentRequest(fmt.Sprint(i), 0, ordinaryLeft))
				if refusal != nil {
					t.Errorf("%+v", refusal)
				}
				grants <- g
			}()
		}
		time.Sleep(time.Second)
		is.Equal(s.Waiting(), 4)
		table.Apply([]usage.Upstream{engineAt("e1", "a", 8)}, time.Now()) // e0 has ended
		time.Sleep(time.Second)
		is.Equal(s.Waiting(), 4)
		stop()
		time.Sleep(1600 * time.Millisecond)
		is.Equal(s.Waiting(), 0)
		for range 4 {
			g := <-grants
			is.Equal(g.Upstream, "e1")
			g.Done(Feedback{Cancelled: true})
		}
	})
}

// Guards against calls that wait for the next periodic scan although another instance has reported a free
// place, and against a scan for each datagram.
func TestLowerLoadOfPeersIsUsedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, table := newPressured(Settings{}, 1)
		setPeers(table, "e0", 20)
		placed := make(chan time.Time, 1)
		go func() {
			g, _ := s.Acquire(t.Context(), urgentRequest("p", 0, ordinaryLeft))
			placed <- time.Now()
			g.Done(Feedback{Cancelled: true})
		}()
		synctest.Wait()
		time.Sleep(scanInterval / 2)
		// Many datagrams arrive, the first ones without a free place.
		begin := time.Now()
		for i := range 20 {
			if i == 10 {
				setPeers(table, "e0", 3)
			}
			s.OnLoadLowered()
		}
		is.True((<-placed).Sub(begin) <= rescanInterval)
		begin = time.Now()
		for range 200 {
			s.OnLoadLowered()
			time.Sleep(time.Millisecond)
		}
		is.True(time.Unix(0, s.rescannedAt.Load()).After(begin))
		last := s.rescannedAt.Load()
		s.OnLoadLowered()
		s.OnLoadLowered()
		synctest.Wait()
		is.True(s.rescannedAt.Load() == last || s.rescannedAt.Load() >= last+int64(rescanInterval))
	})
}

// Guards against calls that are held until their deadline, or that are refused when there is a place. A
// call that can't be done by its deadline, by the calls of all instances, is refused on arrival as not run;
// one whose outlook becomes hopeless while it waits is refused then. Both with the expected time until the
// queue has drained.
func TestHopelessCallsAreRefusedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, table := newPressured(Settings{}, 1)
		defer keepPeers(table, "e0", 15)()
		// The engine has 15 calls of other instances, so this one expects about a sixteenth of the places
		// that become free, one per second.
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for i := range 10 {
			go func() { _, _ = s.Acquire(ctx, urgentRequest(fmt.Sprint("waits", i), 0, 0)) }()
		}
		synctest.Wait()
		is.Equal(s.Waiting(), 10)
		r := urgentRequest("hurried", 0, ordinaryLeft+time.Second)
		r.Deadline = r.Arrived.Add(3 * time.Second)
		_, refusal := s.Acquire(t.Context(), r)
		is.True(refusal != nil)
		is.Equal(refusal.Code, step.CodeOverloaded)
		is.Equal(refusal.Status, 503)
		is.True(refusal.RetryAfter >= 2*time.Second && refusal.RetryAfter < time.Minute)
		is.Equal(time.Since(r.Arrived), time.Duration(0))
		// The same call with a higher urgency has a place.
		r = urgentRequest("tight", 0, tightLeft)
		r.Deadline = r.Arrived.Add(5 * time.Second)
		is.True(isPlacedAtOnce(s, r))
		// A call with more time waits, as long as it may still be done by its deadline.
		r = urgentRequest("patient", 0, 0)
		r.Deadline = r.Arrived.Add(40 * time.Second)
		_, refusal = s.Acquire(t.Context(), r)
		is.True(refusal != nil)
		is.Equal(refusal.Code, step.CodeOverloaded)
		is.True(time.Since(r.Arrived) > 10*time.Second)
		is.True(time.Until(r.Deadline) > 3*time.Second)
	})
}

// Guards against estimates of waiting times that count engines of a data centre to which no call may be sent,
// since nothing is known of its load.
func TestCapacityCountsOnlyReachableDataCentres(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		age := time.Second
		s, table := newTestScheduler(Settings{LoadControl: true, RemoteViewAge: func(string) time.Duration { return age }}, engineAt("near", "a", 8), engineAt("far", "b", 8))
		learnSpeed(table)
		setPeers(table, "near", 10)
		r := urgentRequest("p", 0, 0)
		p := s.pool(&r)
		c := p.currentCapacity(time.Now())
		is.Equal(c.calls, 10)
		is.Equal(c.free[0], 8)
		is.Equal(c.free[4], 2+9) // the limit of own calls bounds the places at the idle engine
		is.True(c.rate > 17.9 && c.rate < 18.1)
		age = time.Minute
		time.Sleep(capacityLifetime)
		c = p.currentCapacity(time.Now())
		is.Equal(c.free[4], 2)
	})
}

// Guards against refusals by default speeds: until a call has completed, nothing is refused for its
// expected duration, and no call counts as tight or late by it.
func TestDefaultSpeedsDecideNothingAboutUrgency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, _ := newTestScheduler(Settings{LoadControl: true}, engineAt("e0", "a", 8))
		r := urgentRequest("p", 0, 100*time.Millisecond)
		r.Deadline = r.Arrived.Add(200 * time.Millisecond)
		g, refusal := s.Acquire(t.Context(), r)
		is.True(refusal == nil)
		is.Equal(g.waiter.urgent.state.Class.String(), "ordinary")
		g.Done(Feedback{Cancelled: true})
	})
}

// Guards against a wait that can't be explained: log lines and metrics state class, rank, the time in the
// queue and the number of full engines. Without load control, class, rank and that number don't appear.
func TestUrgencyIsLoggedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		handler, registry := memory.New(), metrics.NewRegistry()
		s, table := newPressured(Settings{Logger: &log.Logger{Handler: handler, Level: log.InfoLevel}, Registry: registry}, 2)
		setPeers(table, "e0", 12)
		setPeers(table, "e1", 12)
		r := urgentRequest("p", 1, ordinaryLeft)
		r.CallID = "r1"
		go func() {
			time.Sleep(time.Second)
			is.Equal(registry.Get("scheduler.queue.waiting").(metrics.Gauge).Value(), int64(1))
		}()
		g, refusal := s.Acquire(t.Context(), r)
		is.True(refusal == nil)
		g.Done(Feedback{Cancelled: true})
		placed := handler.Entries[0]
		is.Equal(placed.Message, "placed")
		is.Equal(placed.Fields["class"], "ordinary")
		is.Equal(placed.Fields["rank"], 1)
		is.Equal(placed.Fields["request"], "r1")
		is.Equal(placed.Fields["full"], 2) // when it last had to wait
		is.Equal(placed.Fields["waited_for"], waitsForPlace)
		is.Equal(placed.Fields["queued_ms"], int64(1500))
		is.Equal(registry.Get("scheduler.class.ordinary").(metrics.Counter).Count(), int64(1))
		is.Equal(registry.Get("scheduler.queue.waited.us").(metrics.Histogram).Max(), int64(1500000))
		is.Equal(registry.Get("scheduler.queue.waiting").(metrics.Gauge).Value(), int64(0))

		setPeers(table, "e0", 100)
		setPeers(table, "e1", 100)
		hurried := urgentRequest("q", 0, lateLeft)
		hurried.Deadline = hurried.Arrived.Add(time.Second)
		_, refusal = s.Acquire(t.Context(), hurried)
		is.True(refusal != nil)
		is.Equal(handler.Entries[1].Fields["class"], "late")
		is.Equal(handler.Entries[1].Message, "refused")

		handler = memory.New()
		s, _ = newTestScheduler(Settings{Logger: &log.Logger{Handler: handler, Level: log.InfoLevel}, Registry: registry}, engineAt("e0", "a", 8))
		is.True(isPlacedAtOnce(s, r))
		is.Equal(handler.Entries[0].Fields["request"], "r1")
		for _, field := range []string{"class", "rank", "full", "waited_for"} {
			_, found := handler.Entries[0].Fields[field]
			is.True(!found)
		}
	})
}

// Guards against allocations for each candidate in the request path.
func TestDecisionByUrgencyDoesNotAllocate(t *testing.T) {
	for _, settings := range []Settings{{DataCentre: "a"}, {DataCentre: "a", LoadControl: true}} {
		p, w, endpoints := newDecisionFixture(100, settings)
		now := time.Now()
		allocations := testing.AllocsPerRun(200, func() {
			w.step.Random++
			p.decide(endpoints, w, now)
		})
		if allocations > 0 {
			t.Errorf("%v allocations per decision with load control %v", allocations, settings.LoadControl)
		}
	}
}

// A long queue of late calls of the highest rank waits. Guards against tight calls of a lower rank behind
// them that are not considered, although the engines have places for them.
func TestLateCallsOfAHighRankDoNotHideTightOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, table := newPressured(Settings{}, 1)
		defer keepPeers(table, "e0", 12)()
		ctx, cancel := context.WithCancel(t.Context())
		for i := range 4 * maxScanned {
			go func() { _, _ = s.Acquire(ctx, urgentRequest(fmt.Sprint("late", i), 0, lateLeft)) }()
		}
		synctest.Wait()
		is.Equal(s.Waiting(), 4*maxScanned)
		tight := urgentRequest("tight", 1, tightLeft)
		tight.Deadline = tight.Arrived.Add(5 * time.Second) // too early to wait for the late ones
		is.True(isPlacedAtOnce(s, tight))
		cancel()
		synctest.Wait()
		is.Equal(s.Waiting(), 0)
	})
}

// Guards against an engine among hundreds whose free place is never found, because each scan looks at the
// same sample of them.
func TestFreePlaceInALargeFleetIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, table := newPressured(Settings{}, 440)
		for i := range 440 {
			if i != 137 {
				setPeers(table, fmt.Sprint("e", i), 30)
			}
		}
		begin := time.Now()
		g, refusal := s.Acquire(t.Context(), urgentRequest("p", 0, ordinaryLeft))
		is.True(refusal == nil)
		is.Equal(g.Upstream, "e137")
		is.True(time.Since(begin) <= 10*scanInterval)
		g.Done(Feedback{Cancelled: true})
	})
}

// Guards against calls that are held until their deadlines although they wait for connections: an engine with
// free slots and all of this instance's connections in use has no place for its calls.
func TestCallsThatWaitForConnectionsAreRefusedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, _ := newPressured(Settings{}, 1)
		request := func(program string, timeout time.Duration) Request {
			r := urgentRequest(program, 0, 0)
			r.MaxConnections, r.Deadline = 1, r.Arrived.Add(timeout)
			return r
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for i := range 20 {
			go func() { _, _ = s.Acquire(ctx, request(fmt.Sprint("waits", i), time.Hour)) }()
		}
		synctest.Wait()
		is.Equal(s.Waiting(), 19)
		r := request("hurried", 4*time.Second)
		r.Objective = r.Arrived.Add(12 * time.Second) // behind those that wait
		_, refusal := s.Acquire(t.Context(), r)
		is.True(refusal != nil)
		is.Equal(refusal.Code, step.CodeOverloaded)
		is.Equal(time.Since(r.Arrived), time.Duration(0))
	})
}

// Guards against a sum over all engines for each arrival: arrivals that waited for the pool's lock are older
// than the capacity that the holder of the lock has summed up.
func TestCapacityIsKeptForOlderArrivals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, _ := newPressured(Settings{}, 1)
		r := urgentRequest("p", 0, 0)
		p := s.pool(&r)
		arrived := time.Now()
		time.Sleep(time.Millisecond)
		now := time.Now()
		is.Equal(p.currentCapacity(now).at, now)
		is.Equal(p.currentCapacity(arrived).at, now)
	})
}

// Guards against a Retry-After for which a refused step counts as one that waits ahead of itself.
func TestRefusedStepIsNotAheadOfItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, table := newPressured(Settings{}, 1)
		setPeers(table, "e0", 11) // one place is left, behind three calls that wait for a slot
		r := urgentRequest("p", 0, 0)
		r.Deadline = r.Arrived.Add(800 * time.Millisecond)
		_, refusal := s.Acquire(t.Context(), r)
		is.True(refusal != nil)
		is.Equal(refusal.Message, "the deadline can't be met; not run")
		is.Equal(refusal.RetryAfter, minRetryAfter)
	})
}

// Guards against a refusal although an engine has a place: the calls of other instances there have ended since
// the places were counted for an estimate.
func TestCallWithAPlaceIsNotRefusedByAnOldEstimate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, table := newPressured(Settings{}, 1)
		setPeers(table, "e0", 15)
		r := urgentRequest("earlier", 0, 0)
		r.Deadline = r.Arrived.Add(time.Second)
		_, refusal := s.Acquire(t.Context(), r)
		is.True(refusal != nil) // the engine is full for it, and the next place comes too late
		setPeers(table, "e0", 0)
		time.Sleep(capacityLifetime / 2)
		r = urgentRequest("p", 0, 0)
		r.Deadline = r.Arrived.Add(time.Second)
		is.True(isPlacedAtOnce(s, r))
	})
}

// Guards against a waiting step that is refused for the mean duration of calls, while the fastest engine has a place in
// time.
func TestHopelessnessIsJudgedByTheFastestEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, table := newTestScheduler(Settings{LoadControl: true}, engineAt("fast", "a", 8), engineAt("slow", "a", 8))
		learnCalls(table, "fast", 500*time.Millisecond)
		learnCalls(table, "slow", 10*time.Second)
		setPeers(table, "fast", 100)
		setPeers(table, "slow", 100)
		granted := make(chan string, 2)
		for _, program := range []string{"ahead", "behind"} {
			go func() {
				r := urgentRequest(program, 0, ordinaryLeft)
				r.OutputHint, r.Deadline = tokensOut, time.Now().Add(3*time.Second)
				g, refusal := s.Acquire(t.Context(), r)
				if refusal != nil {
					granted <- refusal.Message
					return
				}
				granted <- g.Upstream
			}()
			synctest.Wait()
		}
		time.Sleep(300 * time.Millisecond)
		setPeers(table, "fast", 0)
		s.OnLoadLowered()
		is.Equal(<-granted, "fast")
		is.Equal(<-granted, "fast")
	})
}
