package scheduler

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"

	"foxhall/internal/step"
)

// Guards against steps that are sent where no connection is free: they go elsewhere, or wait until a
// call there ends, and are not refused for it. Steps that were granted and are yet to be sent count.
func TestStepWaitsForAConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		lines := memory.New()
		var fullX, fullY atomic.Bool
		settings := Settings{
			Logger: &log.Logger{Handler: lines},
			Connections: func(name, _ string, _ int) (idle, free bool) {
				return true, !map[string]*atomic.Bool{"x": &fullX, "y": &fullY}[name].Load()
			},
		}
		s, _ := newTestScheduler(settings, engineAt("x", "a", 8), engineAt("y", "a", 8))
		request := testRequest("p")
		request.MaxConnections = 2
		var grants []*Grant
		counts := map[string]int{}
		for range 4 {
			g, refusal := s.Acquire(t.Context(), request)
			is.True(refusal == nil)
			counts[g.Upstream]++
			grants = append(grants, g)
		}
		is.Equal(counts, map[string]int{"x": 2, "y": 2})

		began := time.Now()
		time.AfterFunc(time.Second, func() { grants[0].Done(Feedback{Cancelled: true}) })
		g, refusal := s.Acquire(t.Context(), request)
		is.True(refusal == nil)
		is.Equal(g.Upstream, grants[0].Upstream)
		is.Equal(time.Since(began), time.Second)

		// A connection that is freed without the end of a call of the scheduler is found by the next scan.
		for _, g := range append(grants[1:], g) {
			g.Done(Feedback{Cancelled: true})
		}
		fullX.Store(true)
		fullY.Store(true)
		time.AfterFunc(time.Second, func() { fullY.Store(false) })
		began = time.Now()
		g, refusal = s.Acquire(t.Context(), request)
		is.True(refusal == nil)
		is.Equal(g.Upstream, "y")
		is.True(time.Since(began) <= time.Second+scanInterval)
		is.Equal(lines.Entries[len(lines.Entries)-1].Fields["out_no-connection"], 1)
		g.Done(Feedback{Cancelled: true})

		// Without a limit the connections don't matter.
		fullY.Store(true)
		request.MaxConnections = 0
		_, refusal = s.Acquire(t.Context(), request)
		is.True(refusal == nil)
	})
}

// Guards against steps that wait for a connection although more of them may be opened by now, and that hold
// those behind them, to whose requests this is known.
func TestWaitingStepsFollowTheLimitOfConnections(t *testing.T) {
	for _, loadControl := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s, _ := newTestScheduler(Settings{LoadControl: loadControl}, engineAt("x", "a", 8))
			request := testRequest("p")
			request.MaxConnections = 1
			holder, refusal := s.Acquire(t.Context(), request)
			is.True(refusal == nil)
			defer holder.Done(Feedback{Cancelled: true})
			placed := make(chan *Grant, 4)
			acquire := func(r Request) {
				g, _ := s.Acquire(t.Context(), r)
				placed <- g
			}
			for range 3 {
				go acquire(request)
			}
			synctest.Wait()
			is.Equal(s.Waiting(), 3)
			request.MaxConnections = 8
			go acquire(request)
			synctest.Wait()
			is.Equal(s.Waiting(), 0)
			for range 4 {
				(<-placed).Done(Feedback{Cancelled: true})
			}
		})
	}
}

// Guards against steps that are refused for lack of retries although they were never sent, and against a
// budget that such steps raise.
func TestStepPlacedAgainTakesNoRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, _ := newTestScheduler(Settings{}, engineAt("x", "a", 8), engineAt("y", "a", 8))
		acquire := func(tried []string, again bool) step.Code {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			r := testRequest("p")
			r.Tried, r.Again = tried, again
			g, refusal := s.Acquire(ctx, r)
			if refusal != nil {
				return refusal.Code
			}
			g.Done(Feedback{Cancelled: true})
			return ""
		}
		for range 50 {
			is.Equal(acquire(nil, true), step.Code(""))
			is.Equal(acquire([]string{"x"}, true), step.Code(""))
		}
		is.Equal(acquire([]string{"x"}, false), step.Code("")) // the retry of this second
		is.Equal(acquire([]string{"x"}, false), step.CodeOverloaded)
	})
}

// Guards against decisions that allocate: there are thousands in a second.
func TestDecisionDoesNotAllocate(t *testing.T) {
	for _, n := range []int{100, 440} {
		p, w, endpoints := newDecisionFixture(n, Settings{})
		w.request.MaxConnections = 6
		calls := 0
		p.scheduler.settings.Connections = func(_, _ string, limit int) (idle, free bool) {
			calls++
			return calls%2 == 0, calls%3 == 0
		}
		now := time.Now()
		if allocations := testing.AllocsPerRun(100, func() { p.decide(endpoints, w, now) }); allocations != 0 {
			t.Errorf("%d candidates: %v allocations", n, allocations)
		}
		if calls == 0 {
			t.Error("no look at the connections")
		}
	}
}
