package scheduler

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"

	"foxhall/internal/cache"
	"foxhall/internal/chat"
	"foxhall/internal/placement"
	"foxhall/internal/step"
	"foxhall/internal/upstream"
	"foxhall/internal/usage"
)

func newTestScheduler(settings Settings, listed ...usage.Upstream) (*Scheduler, *upstream.Table) {
	table := upstream.NewTable()
	table.Apply(listed, time.Now())
	settings.DataCentre = "a"
	return New(settings, table, cache.New(cache.DefaultOptions)), table
}

func engineAt(name, dataCentre string, slots int) usage.Upstream {
	return usage.Upstream{Name: name, Address: name, Kind: usage.KindEngine, DataCentre: dataCentre, Models: []string{testModel}, Slots: slots}
}

func testRequest(program string) Request {
	return Request{Plan: "p", Model: testModel, Program: program, Root: program, Messages: []chat.Message{message("user", program, 300)}}
}

// fillSlots places n steps and returns their grants.
func fillSlots(t *testing.T, s *Scheduler, n int) []*Grant {
	var grants []*Grant
	for i := range n {
		g, refusal := s.Acquire(t.Context(), testRequest(fmt.Sprint("filler", i)))
		if refusal != nil {
			t.Fatalf("filler %d: %+v", i, refusal)
		}
		grants = append(grants, g)
	}
	return grants
}

// Another data centre has free engines. A step is sent there only if the plan may use it, the wait
// for the local engines is longer than the RTT, and the view of the other data centre is recent. With
// an older view, its engines may be unreachable.
func TestRemoteDataCentreOnlyWhenCheaper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		age := time.Second
		s, _ := newTestScheduler(Settings{RemoteCosts: map[string]time.Duration{"b": 50 * time.Millisecond}, RemoteViewAge: func(string) time.Duration { return age }},
			engineAt("local", "a", 2), engineAt("remote", "b", 2))
		both := &usage.Grant{Models: []string{testModel}, DataCentres: []string{"a", "b"}, LatencyWeight: 1}
		place := func(g *usage.Grant) string {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			r := testRequest("p1")
			r.Grant = g
			grant, refusal := s.Acquire(ctx, r)
			if refusal != nil {
				return string(refusal.Code)
			}
			grant.Done(Feedback{Cancelled: true})
			return grant.Upstream
		}
		is.Equal(place(both), "local")
		onlyLocal := &usage.Grant{Models: []string{testModel}, DataCentres: []string{"a"}, LatencyWeight: 1}
		for range 3 {
			r := testRequest("filler")
			r.Grant = onlyLocal
			_, refusal := s.Acquire(t.Context(), r)
			is.True(refusal == nil)
		}
		is.Equal(place(both), "remote")
		is.Equal(place(onlyLocal), string(step.CodeCancelled)) // waits for the local one
		age = time.Minute
		is.Equal(place(both), string(step.CodeCancelled))
	})
}

// A caller disconnects while its step waits. The step must be removed from the queue, the next one
// must be placed when a slot is free, and no slot may leak.
func TestCancelledStepLeaksNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, table := newTestScheduler(Settings{}, engineAt("e", "a", 1))
		grants := fillSlots(t, s, 2)
		ctx, cancel := context.WithCancel(t.Context())
		refused := make(chan *Refusal, 1)
		go func() {
			_, refusal := s.Acquire(ctx, testRequest("gone"))
			refused <- refusal
		}()
		granted := make(chan *Grant, 1)
		go func() {
			g, _ := s.Acquire(t.Context(), testRequest("next"))
			granted <- g
		}()
		synctest.Wait()
		is.Equal(s.Waiting(), 2)
		cancel()
		is.Equal((<-refused).Code, step.CodeCancelled)
		grants[0].Done(Feedback{Total: time.Second})
		grants[0].Done(Feedback{Total: time.Second}) // counts once
		(<-granted).Done(Feedback{Cancelled: true})
		grants[1].Done(Feedback{Cancelled: true})
		is.Equal(s.Waiting(), 0)
		is.Equal(table.Snapshot().Upstream("e").Load(time.Now().UnixNano()).Own, 0)
	})
}

// A caller disconnects at the moment at which its step is granted a slot, so nobody receives the
// grant. The slot must be released.
func TestGrantRacingWithCancelIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, table := newTestScheduler(Settings{}, engineAt("e", "a", 1))
		r := testRequest("p")
		w := s.newWaiter(&r)
		p := s.pool(&r)
		is.True(p.enqueue(w) == nil)
		is.Equal(table.Snapshot().Upstream("e").Load(time.Now().UnixNano()).Own, 1)
		p.abandon(w)
		is.Equal(table.Snapshot().Upstream("e").Load(time.Now().UnixNano()).Own, 0)
	})
}

// The expected wait in the queue is longer than a caller's deadline. Waiting until the deadline would
// waste the caller's time and a slot: the step must be refused at once, without having been run, and
// with a Retry-After.
func TestOverloadIsRefusedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, _ := newTestScheduler(Settings{}, engineAt("e", "a", 1))
		fillSlots(t, s, 2)
		for i := range 20 {
			r := testRequest(fmt.Sprint("waits", i))
			r.Priority = maxPriority // goes first
			go func() { _, _ = s.Acquire(t.Context(), r) }()
		}
		synctest.Wait()
		begin := time.Now()
		r := testRequest("hurried")
		r.Deadline = begin.Add(5 * time.Second)
		_, refusal := s.Acquire(t.Context(), r)
		is.Equal(refusal.Code, step.CodeOverloaded)
		is.True(refusal.RetryAfter >= time.Second)
		is.Equal(time.Since(begin), time.Duration(0))
	})
}

// A step's deadline passes while the step is at the end of a long queue. It must be refused at that
// moment, not when the step reaches the head of the queue.
func TestDeadlineEndsQueueWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, _ := newTestScheduler(Settings{Policy: placement.LeastInFlight}, engineAt("e", "a", 1))
		fillSlots(t, s, 2)
		for i := range 3 * maxScanned {
			go func() { _, _ = s.Acquire(t.Context(), testRequest(fmt.Sprint("waits", i))) }()
		}
		synctest.Wait()
		begin := time.Now()
		r := testRequest("late")
		r.Deadline = begin.Add(5 * time.Second)
		_, refusal := s.Acquire(t.Context(), r)
		is.Equal(refusal.Code, step.CodeDeadline)
		is.Equal(time.Since(begin), 5*time.Second)
		is.Equal(s.Waiting(), 3*maxScanned)
	})
}

// All engines are draining. Steps must be refused within seconds, with a Retry-After, and nothing
// may be sent.
func TestNoUpstreamIsRefusedWithinSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, table := newTestScheduler(Settings{}, engineAt("e", "a", 4))
		table.Snapshot().Upstream("e").MarkDraining(time.Now())
		begin := time.Now()
		_, refusal := s.Acquire(t.Context(), testRequest("p"))
		is.Equal(refusal.Code, step.CodeNoUpstream)
		is.True(refusal.RetryAfter > 0)
		is.True(time.Since(begin) <= noUpstreamWait+scanInterval)
	})
}

// A program has run on two engines and ends. Its cache must be released on both, on the first one as
// soon as a step has completed on the second.
func TestCacheIsReleasedOnEveryEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		released := map[string]int{}
		s, table := newTestScheduler(Settings{ReleaseCache: func(address, program string) { released[address+" "+program]++ }}, engineAt("e", "a", 4), engineAt("f", "a", 4))
		g, _ := s.Acquire(t.Context(), testRequest("p"))
		g.Done(Feedback{Total: time.Second, FirstToken: time.Second})
		table.Snapshot().Upstream(g.Upstream).MarkDraining(time.Now())
		h, _ := s.Acquire(t.Context(), testRequest("p"))
		is.True(h.Upstream != g.Upstream)
		is.Equal(len(released), 0)
		h.Done(Feedback{Total: time.Second, FirstToken: time.Second})
		is.Equal(released[g.Upstream+" p"], 1)
		s.EndProgram("p")
		is.Equal(released[h.Upstream+" p"], 1)
		is.Equal(len(s.Programs()), 0)
	})
}

// A tool's calls usually take 1 s, and one takes 6 s. A service shows no progress before its
// response. If it counted as stalled after the time that an engine has for its first token, the calls
// of all other programs would be refused.
func TestSlowToolCallDoesNotStallTheService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, _ := newTestScheduler(Settings{}, usage.Upstream{Name: "t", Address: "t", Kind: usage.KindService, Service: "tool", DataCentre: "a", Slots: 4})
		call := func(program string) *Grant {
			g, refusal := s.Acquire(t.Context(), Request{Service: "tool", Program: program})
			is.True(refusal == nil)
			return g
		}
		for range 20 {
			g := call("p")
			time.Sleep(time.Second)
			g.Done(Feedback{Total: time.Second})
		}
		slow := call("slow")
		time.Sleep(6 * time.Second)
		call("other").Done(Feedback{Total: time.Second})
		slow.Done(Feedback{Total: 6 * time.Second})
	})
}

// A non-streaming response is long. With a timeout for the first token only, the engine would count
// as stalled while it decodes.
func TestNonStreamingTimeoutIncludesDecode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, table := newTestScheduler(Settings{}, engineAt("e", "a", 4))
		r := testRequest("p")
		r.NonStreaming = true
		g, refusal := s.Acquire(t.Context(), r)
		is.True(refusal == nil)
		time.Sleep(time.Duration(2 * g.Decision.Estimate.Decode * float64(time.Second)))
		is.Equal(table.Snapshot().Upstream("e").Load(time.Now().UnixNano()).Condition, upstream.Usable)
		is.True(g.ProgressTimeout > time.Duration(2*g.Decision.Estimate.Decode*float64(time.Second)))
		g.Done(Feedback{Cancelled: true})
	})
}

// Only repeatable calls may be hedged.
func TestOnlyRepeatableCallsAreHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, _ := newTestScheduler(Settings{}, usage.Upstream{Name: "t", Address: "t", Kind: usage.KindService, Service: "tool", DataCentre: "a", Slots: 4})
		for _, repeatable := range []bool{true, false} {
			g, refusal := s.Acquire(t.Context(), Request{Service: "tool", Program: "p", Repeatable: repeatable})
			is.True(refusal == nil)
			is.Equal(g.HedgeAfter > 0, repeatable)
			g.Done(Feedback{Total: time.Second})
		}
	})
}

// Every placement and every refusal must write one log line with the reasons, so that an operator
// can explain it.
func TestEveryOutcomeIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		handler := memory.New()
		s, table := newTestScheduler(Settings{Logger: &log.Logger{Handler: handler, Level: log.InfoLevel}}, engineAt("e", "a", 4))
		fillSlots(t, s, 1)
		table.Snapshot().Upstream("e").MarkDraining(time.Now())
		_, refusal := s.Acquire(t.Context(), testRequest("p"))
		is.True(refusal != nil)
		is.Equal(len(handler.Entries), 2)
		placed, refused := handler.Entries[0], handler.Entries[1]
		is.Equal(placed.Fields["upstream"], "e")
		is.Equal(placed.Fields["out_allowed"], 1)
		is.Equal(refused.Fields["out_leaving"], 1)
		is.Equal(refused.Fields["program"], "p")
	})
}

// An engine's circuit breaker is half-open and one trial is in flight. Then an older call to the
// engine is cancelled and another one is refused. Neither is the trial, so the circuit must stay
// open until the trial itself has ended.
func TestOlderCallsDoNotEndHalfOpenTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, table := newTestScheduler(Settings{}, engineAt("e", "a", 8))
		u := table.Snapshot().Upstream("e")
		condition := func() upstream.Condition { return u.Load(time.Now().UnixNano()).Condition }
		older := fillSlots(t, s, 2)
		for range 3 {
			u.RecordFailure(time.Now(), upstream.Failure{Kind: upstream.Lost})
		}
		time.Sleep(time.Second)
		trial, refusal := s.Acquire(t.Context(), testRequest("trial"))
		is.True(refusal == nil)
		older[0].Done(Feedback{Cancelled: true})
		is.Equal(condition(), upstream.CircuitOpen)
		older[1].Done(Feedback{Failure: &upstream.Failure{Kind: upstream.Refused}})
		is.Equal(condition(), upstream.CircuitOpen)
		trial.Done(Feedback{Cancelled: true})
		is.Equal(condition(), upstream.Usable)
	})
}

// Many steps of one plan wait for a data centre that is full. The step of another plan is the last
// in the queue, and its engines are idle. It must not wait for the others: periodic scans alone must
// place it within the time of two rotations through the queue.
func TestBlockedStepsDoNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		freshView := func(string) time.Duration { return time.Second }
		s, _ := newTestScheduler(Settings{RemoteCosts: map[string]time.Duration{"b": 0}, RemoteViewAge: freshView}, engineAt("busy", "b", 1), engineAt("idle", "a", 4))
		requestIn := func(program, dataCentre string) Request {
			r := testRequest(program)
			r.Grant = &usage.Grant{Models: []string{testModel}, DataCentres: []string{dataCentre}, LatencyWeight: 1}
			return r
		}
		const waiting = 8 * maxScanned
		for i := range waiting {
			go func() { _, _ = s.Acquire(t.Context(), requestIn(fmt.Sprint("far", i), "b")) }()
		}
		synctest.Wait()
		begin := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
		defer cancel()
		g, refusal := s.Acquire(ctx, requestIn("near", "a"))
		is.True(refusal == nil)
		is.Equal(g.Upstream, "idle")
		is.True(time.Since(begin) <= 2*waiting/maxRotated*scanInterval)
	})
}
