package scheduler

import (
	"context"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"foxhall/internal/fuzzing"
	"foxhall/internal/upstream"
	"foxhall/internal/usage"
)

func TestMain(m *testing.M) {
	fuzzing.Fix(20261202, 200)
	os.Exit(m.Run())
}

// asked is one step of the oracle: it waits, or has a grant, or is over.
type trackedStep struct {
	cancel  context.CancelFunc
	grant   *Grant
	refusal *Refusal
	over    bool
	done    bool
}

// world is a scheduler with what the oracle knows of it.
type oracle struct {
	s        *Scheduler
	table    *upstream.Table
	steps    []*trackedStep
	draining map[string]bool
}

func newOracle() *oracle {
	var listed []usage.Upstream
	for i := range 3 {
		listed = append(listed, engineAt(fmt.Sprint("e", i), "a", 2))
	}
	s, table := newTestScheduler(Settings{}, listed...)
	return &oracle{s: s, table: table, draining: map[string]bool{}}
}

func (w *oracle) ask(t *rapid.T) {
	ctx, cancel := context.WithCancel(context.Background())
	a := &trackedStep{cancel: cancel}
	r := testRequest(fmt.Sprint("p", rapid.IntRange(0, 4).Draw(t, "program")))
	r.Priority = rapid.IntRange(0, 3).Draw(t, "priority")
	if rapid.Bool().Draw(t, "hurried") {
		r.Deadline = time.Now().Add(time.Duration(rapid.IntRange(1, 20000).Draw(t, "ms")) * time.Millisecond)
	}
	w.steps = append(w.steps, a)
	go func() {
		a.grant, a.refusal = w.s.Acquire(ctx, r)
		a.over = true
	}()
}

// open returns the steps that hold a place.
func (w *oracle) openGrants() []*trackedStep {
	var open []*trackedStep
	for _, a := range w.steps {
		if a.grant != nil && !a.done {
			open = append(open, a)
		}
	}
	return open
}

func (w *oracle) finish(t *rapid.T, a *trackedStep) {
	a.done = true
	f := rapid.SampledFrom([]Feedback{
		{Prompt: 300, Output: 20, FirstToken: time.Second, Total: 2 * time.Second},
		{Cancelled: true},
		{Failure: &upstream.Failure{Kind: upstream.Lost}},
		{Failure: &upstream.Failure{Kind: upstream.NotSent}},
		{Failure: &upstream.Failure{Kind: upstream.Refused, Draining: true}},
	}).Draw(t, "feedback")
	if f.Failure != nil && f.Failure.Draining {
		w.draining[a.grant.Upstream] = true
	}
	if rapid.Bool().Draw(t, "first token") {
		a.grant.FirstToken()
	}
	a.grant.Done(f)
	a.grant.Done(f)
}

// check compares the scheduler's accounts with the oracle's.
func (w *oracle) check(t *rapid.T) {
	waiting, held := 0, map[string]int{}
	for _, a := range w.steps {
		if !a.over {
			waiting++
		}
	}
	for _, a := range w.openGrants() {
		held[a.grant.Upstream]++
	}
	if got := w.s.Waiting(); got != waiting {
		t.Fatalf("%d steps wait, oracle %d", got, waiting)
	}
	for _, u := range w.table.Snapshot().All {
		l := u.Load(time.Now().UnixNano())
		if l.Own != held[u.Name] {
			t.Fatalf("%s has %d calls, oracle %d", u.Name, l.Own, held[u.Name])
		}
		if l.Own == 0 && l.Backlog != 0 {
			t.Fatalf("%s is idle with a backlog of %d tokens", u.Name, l.Backlog)
		}
		if w.draining[u.Name] && l.Condition != upstream.Draining {
			t.Fatalf("%s is %v and should be leaving", u.Name, l.Condition)
		}
	}
}

// Steps come, are answered, fail in every way, are cancelled and run into
// their deadlines, while engines leave and time passes. Whatever happens, each
// place that was taken is given back once, no step is forgotten in the queue,
// and none is placed on an engine that is known to leave.
func TestSchedulerAgainstOracle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(inBubble{t}, func(t *rapid.T) {
			w := newOracle()
			t.Repeat(map[string]func(*rapid.T){
				"ask": func(t *rapid.T) {
					before := map[string]bool{}
					for name := range w.draining {
						before[name] = true
					}
					w.ask(t)
					synctest.Wait()
					if a := w.steps[len(w.steps)-1]; a.grant != nil && before[a.grant.Upstream] {
						t.Fatalf("placed on %s, which leaves", a.grant.Upstream)
					}
				},
				"finish": func(t *rapid.T) {
					if open := w.openGrants(); len(open) > 0 {
						w.finish(t, rapid.SampledFrom(open).Draw(t, "step"))
					}
				},
				"cancel": func(t *rapid.T) {
					if len(w.steps) > 0 {
						rapid.SampledFrom(w.steps).Draw(t, "step").cancel()
					}
				},
				"finishAndCancelAtOnce": func(t *rapid.T) {
					var waiting []*trackedStep
					for _, a := range w.steps {
						if !a.over {
							waiting = append(waiting, a)
						}
					}
					if open := w.openGrants(); len(open) > 0 {
						w.finish(t, open[0])
					}
					for _, a := range waiting {
						a.cancel() // it may just have been granted the place
					}
				},
				"time": func(t *rapid.T) { time.Sleep(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond) },
				"": func(t *rapid.T) {
					synctest.Wait()
					w.check(t)
				},
			})
			w.drain(t)
		})
	})
}

// inBubble hides testing.T's Deadline from rapid; it is in real time and may
// not be asked in a bubble.
type inBubble struct{ rapid.TB }

// drain ends everything; all accounts must come to nothing.
func (w *oracle) drain(t *rapid.T) {
	for _, a := range w.steps {
		a.cancel()
	}
	synctest.Wait()
	for _, a := range w.openGrants() {
		a.done = true
		a.grant.Done(Feedback{Cancelled: true})
	}
	synctest.Wait()
	w.check(t)
	time.Sleep(time.Minute)
}
