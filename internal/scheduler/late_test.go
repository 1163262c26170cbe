package scheduler

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/upstream"
	"foxhall/internal/usage"
)

// tokensOut is the length of the output of the steps and samples below, in tokens.
const tokensOut = 11

// learnCalls lets an upstream have completed calls that took so long each.
func learnCalls(table *upstream.Table, name string, call time.Duration) {
	for range 20 {
		table.Snapshot().Upstream(name).Endpoint(testModel).Learn(upstream.Sample{Uncached: 300, Output: tokensOut, Batch: 1, FirstToken: call / 4, Total: call})
	}
}

// hurriedRequest returns a request for a step that has left until its deadline.
func hurriedRequest(program string, left time.Duration) Request {
	r := testRequest(program)
	r.OutputHint, r.Deadline = tokensOut, time.Now().Add(left)
	return r
}

// Guards against a step that is refused on its arrival, beside an idle upstream that is fast enough, for the mean
// duration of the calls at all upstreams.
func TestSlowUpstreamsDoNotRefuseWhatAFastOneServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, table := newTestScheduler(Settings{}, engineAt("fast", "a", 4), engineAt("slow", "a", 4))
		learnCalls(table, "fast", 200*time.Millisecond)
		learnCalls(table, "slow", 10*time.Second)
		g, refusal := s.Acquire(t.Context(), hurriedRequest("p", 1500*time.Millisecond))
		is.True(refusal == nil)
		is.Equal(g.Upstream, "fast")
	})
}

// Guards against a new upstream that counts as several times as slow as it is, since its first calls took longer than the
// mean of the others: its learned speed includes that already.
func TestFirstCallsAtANewUpstreamDoNotCountAsSlowness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, table := newTestScheduler(Settings{}, engineAt("new", "a", 4))
		calls := fillSlots(t, s, 4)
		time.Sleep(8 * time.Second)
		for _, g := range calls {
			g.Done(Feedback{Prompt: 300, Output: tokensOut, FirstToken: 2 * time.Second, Total: 8 * time.Second})
		}
		u := table.Snapshot().Upstream("new")
		is.Equal(u.Load(time.Now().UnixNano()).Slowness, 1.0)
		call := u.Endpoint(testModel).Speed().CallSeconds
		is.True(call > 7 && call < 9)
	})
}

// Guards against an estimate that refuses for ever the steps that would correct it: it was learned from slow responses,
// and none has come since.
func TestOutdatedEstimateRefusesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, table := newTestScheduler(Settings{}, engineAt("e", "a", 4))
		learnCalls(table, "e", 3*time.Second)
		_, refusal := s.Acquire(t.Context(), hurriedRequest("p", time.Second))
		is.True(refusal != nil) // the estimate is new
		time.Sleep(10 * time.Second)
		g, refusal := s.Acquire(t.Context(), hurriedRequest("p", time.Second))
		is.True(refusal == nil)
		g.Done(Feedback{Cancelled: true})
	})
}

// Guards against a step that waits for an upstream that is full and better, until its time suffices for none with a place.
func TestWaitForABetterUpstreamLeavesTimeForAFreeOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, table := newTestScheduler(Settings{}, engineAt("better", "a", 1), engineAt("free", "a", 4))
		var running []*Grant
		for range 2 {
			r := hurriedRequest("filler", time.Hour)
			r.Avoid = []string{"free"}
			g, refusal := s.Acquire(t.Context(), r)
			is.True(refusal == nil)
			running = append(running, g)
		}
		learnCalls(table, "better", 500*time.Millisecond)
		learnCalls(table, "free", 3*time.Second)
		r := hurriedRequest("p", 4*time.Second)
		// The caller's weights make a wait for the better one worthwhile for long.
		r.Grant = &usage.Grant{Models: []string{testModel}, DataCentres: []string{"a"}, LatencyWeight: 1, CacheWeight: 5}
		g, refusal := s.Acquire(t.Context(), r)
		is.True(refusal == nil)
		is.Equal(g.Upstream, "free")
		is.True(time.Until(r.Deadline) >= 3*time.Second) // what a call takes there
		for _, g := range running {
			g.Done(Feedback{Cancelled: true})
		}
	})
}

// Guards against a step that loses its place in the queue each time that an upstream refuses it, so that later ones are
// served and it is not.
func TestStepThatIsPlacedAgainKeepsItsPlaceInTheOrder(t *testing.T) {
	for _, loadControl := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s, _ := newTestScheduler(Settings{LoadControl: loadControl}, engineAt("e", "a", 1))
			running := fillSlots(t, s, 2)
			arrived := time.Now()
			time.Sleep(time.Second)
			granted := make(chan string, 2)
			acquire := func(r Request) {
				go func() {
					g, refusal := s.Acquire(t.Context(), r)
					is.True(refusal == nil)
					granted <- r.Program
					g.Done(Feedback{Cancelled: true})
				}()
				synctest.Wait()
			}
			later, refused := testRequest("later"), testRequest("refused")
			later.Arrived = time.Now()
			refused.Arrived, refused.RefusedBy, refused.NotRun = arrived, []string{"e"}, true
			acquire(later)
			acquire(refused)
			running[0].Done(Feedback{Cancelled: true})
			is.Equal(<-granted, "refused")
			running[1].Done(Feedback{Cancelled: true})
			is.Equal(<-granted, "later")
		})
	}
}

// Guards against steps that are sent for ever to an upstream that is too slow for them: none of them ends in a response
// that would renew its estimate.
func TestCallsCutOffAtTheirDeadlineConfirmTheEstimate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const call, left, steps = 8 * time.Second, 2 * time.Second, 40
		s, table := newTestScheduler(Settings{}, engineAt("slow", "a", 4))
		learnCalls(table, "slow", call)
		time.Sleep(20 * time.Second)
		sent := 0
		for range steps {
			g, refusal := s.Acquire(t.Context(), hurriedRequest("p", left))
			time.Sleep(left)
			if refusal == nil {
				sent++
				g.Done(Feedback{Cancelled: true, DeadlinePassed: true})
			}
		}
		is.True(sent <= steps*int(left/time.Second)/int(call/time.Second)+1) // one in the time that the estimate tells
		is.True(sent > 1)
	})
}

// Guards against an isolated step, which may end its upstream, that is sent although it can't be done in time.
func TestIsolatedStepIsRefusedIfLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, table := newTestScheduler(Settings{}, engineAt("e", "a", 4))
		learnCalls(table, "e", 8*time.Second)
		r := hurriedRequest("p", time.Second)
		r.Isolated = true
		_, refusal := s.Acquire(t.Context(), r)
		is.True(refusal != nil)
		is.Equal(refusal.Cause, Late)
	})
}

// runStep acquires a place for a step and runs it for as long as its upstream takes.
func runStep(t *testing.T, s *Scheduler, r Request, takes map[string]time.Duration) *Refusal {
	g, refusal := s.Acquire(t.Context(), r)
	if refusal != nil {
		return refusal
	}
	call := takes[g.Upstream]
	time.Sleep(call)
	g.Done(Feedback{Prompt: 300, Output: tokensOut, FirstToken: call / 4, Total: call})
	return nil
}

// Guards against a step that is refused on arrival for the length of the queue, though it goes before the others.
func TestHurriedStepIsNotRefusedForStepsBehindIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const call = 500 * time.Millisecond
		takes := map[string]time.Duration{"e": call}
		s, table := newTestScheduler(Settings{}, engineAt("e", "a", 4))
		learnCalls(table, "e", call)
		var running sync.WaitGroup
		for i := range 60 {
			running.Go(func() { runStep(t, s, hurriedRequest(fmt.Sprint("patient-", i), time.Minute), takes) })
		}
		time.Sleep(call + call/5)
		is.True(runStep(t, s, hurriedRequest("hurried", 3*call), takes) == nil)
		running.Wait()
	})
}

// Guards against steps that are refused on arrival for the mean duration of calls, which one slow upstream makes long,
// while the fast ones serve the queue in time.
func TestSlowUpstreamDoesNotDecideTheWaitOfTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const fast, slow = 200 * time.Millisecond, 20 * time.Second
		takes := map[string]time.Duration{"f1": fast, "f2": fast, "f3": fast, "slow": slow}
		s, table := newTestScheduler(Settings{}, engineAt("f1", "a", 4), engineAt("f2", "a", 4), engineAt("f3", "a", 4), engineAt("slow", "a", 4))
		for name, call := range takes {
			learnCalls(table, name, call)
		}
		var running sync.WaitGroup
		for i := range 60 { // the fast ones do 15 at a time
			running.Go(func() {
				if refusal := runStep(t, s, hurriedRequest(fmt.Sprint("step-", i), 1500*time.Millisecond), takes); refusal != nil {
					t.Errorf("step %d: %v", i, refusal.Fields())
				}
			})
			synctest.Wait()
		}
		running.Wait()
	})
}

// Guards against a queue of steps that takes most of a core: none of their samples of a large fleet can serve them in
// time, and each scan looks at all upstreams for each of them. The one that can must be found soon all the same.
func TestStepLateAtItsSampleSeldomLooksAtAllUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const engines, slots, scans = 440, 8, 100
		var looked atomic.Int64
		var listed []usage.Upstream
		for i := range engines {
			listed = append(listed, engineAt(fmt.Sprint("e", i), "a", slots))
		}
		s, table := newTestScheduler(Settings{Connections: func(string, string, int) (idle, free bool) {
			looked.Add(1)
			return true, true
		}}, listed...)
		fast := table.Snapshot().Model(testModel)[1].Upstream // the first sample begins at 0
		for _, endpoint := range table.Snapshot().Model(testModel) {
			call := time.Minute
			if endpoint.Upstream == fast {
				call = time.Second
			}
			learnCalls(table, endpoint.Upstream.Name, call)
		}
		for fast.Load(time.Now().UnixNano()).Condition == upstream.Usable {
			fast.Begin(time.Now().UnixNano(), 0, time.Hour)
		}
		r := testRequest("p")
		r.OutputHint, r.Deadline = tokensOut, time.Now().Add(10*time.Second)
		grants := make(chan *Grant, 1)
		go func() {
			g, refusal := s.Acquire(t.Context(), r)
			if refusal != nil {
				t.Errorf("%+v", refusal)
			}
			grants <- g
		}()
		synctest.Wait()
		is.Equal(s.Waiting(), 1)
		is.True(looked.Load() >= engines) // the step is not left waiting without a look at all
		looked.Store(0)
		for range scans {
			s.pool(&r).scanIfWaiting()
		}
		is.True(looked.Load() <= scans*(sampleSize+maxCacheHolders+maxRecent))
		fast.Finish(time.Now().UnixNano())
		freed := time.Now()
		g := <-grants
		is.True(g != nil)
		is.Equal(g.Upstream, fast.Name)
		is.True(time.Since(freed) <= searchInterval+scanInterval)
		g.Done(Feedback{Cancelled: true})
	})
}
