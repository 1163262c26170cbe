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

// trackedStep is one step of the oracle: it waits, has a grant, or is over.
type trackedStep struct {
	cancel   context.CancelFunc
	grant    *Grant
	refusal  *Refusal
	over     bool
	finished bool
}

// oracle is a scheduler with the state that it is expected to have.
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

func (o *oracle) startStep(t *rapid.T) {
	ctx, cancel := context.WithCancel(context.Background())
	a := &trackedStep{cancel: cancel}
	r := testRequest(fmt.Sprint("p", rapid.IntRange(0, 4).Draw(t, "program")))
	r.Priority = rapid.IntRange(0, 3).Draw(t, "priority")
	if rapid.Bool().Draw(t, "hurried") {
		r.Deadline = time.Now().Add(time.Duration(rapid.IntRange(1, 20000).Draw(t, "ms")) * time.Millisecond)
	}
	o.steps = append(o.steps, a)
	go func() {
		a.grant, a.refusal = o.s.Acquire(ctx, r)
		a.over = true
	}()
}

// openGrants returns the steps that occupy a slot.
func (o *oracle) openGrants() []*trackedStep {
	var open []*trackedStep
	for _, a := range o.steps {
		if a.grant != nil && !a.finished {
			open = append(open, a)
		}
	}
	return open
}

func (o *oracle) finish(t *rapid.T, a *trackedStep) {
	a.finished = true
	f := rapid.SampledFrom([]Feedback{
		{Prompt: 300, Output: 20, FirstToken: time.Second, Total: 2 * time.Second},
		{Cancelled: true},
		{Failure: &upstream.Failure{Kind: upstream.Lost}},
		{Failure: &upstream.Failure{Kind: upstream.NotSent}},
		{Failure: &upstream.Failure{Kind: upstream.Refused, Draining: true}},
	}).Draw(t, "feedback")
	if f.Failure != nil && f.Failure.Draining {
		o.draining[a.grant.Upstream] = true
	}
	if rapid.Bool().Draw(t, "first token") {
		a.grant.RecordFirstToken()
	}
	a.grant.Done(f)
	a.grant.Done(f)
}

// check compares the scheduler's counts with those of the oracle.
func (o *oracle) check(t *rapid.T) {
	waiting, held := 0, map[string]int{}
	for _, a := range o.steps {
		if !a.over {
			waiting++
		}
	}
	for _, a := range o.openGrants() {
		held[a.grant.Upstream]++
	}
	if got := o.s.Waiting(); got != waiting {
		t.Fatalf("%d steps wait, oracle %d", got, waiting)
	}
	for _, u := range o.table.Snapshot().All {
		l := u.Load(time.Now().UnixNano())
		if l.Own != held[u.Name] {
			t.Fatalf("%s has %d calls, oracle %d", u.Name, l.Own, held[u.Name])
		}
		if l.Own == 0 && l.Backlog != 0 {
			t.Fatalf("%s is idle with a backlog of %d tokens", u.Name, l.Backlog)
		}
		if o.draining[u.Name] && l.Condition != upstream.Draining {
			t.Fatalf("%s is %v, want draining", u.Name, l.Condition)
		}
	}
}

// Steps arrive, complete, fail, are cancelled and reach their deadlines, while engines drain and
// time passes. Every slot that is taken is released exactly once, no step is left in the queue, and
// no step is placed on an engine that is known to drain.
func TestSchedulerAgainstOracle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(inBubble{t}, func(t *rapid.T) {
			o := newOracle()
			t.Repeat(map[string]func(*rapid.T){
				"ask": func(t *rapid.T) {
					before := map[string]bool{}
					for name := range o.draining {
						before[name] = true
					}
					o.startStep(t)
					synctest.Wait()
					if a := o.steps[len(o.steps)-1]; a.grant != nil && before[a.grant.Upstream] {
						t.Fatalf("placed on %s, which is draining", a.grant.Upstream)
					}
				},
				"finish": func(t *rapid.T) {
					if open := o.openGrants(); len(open) > 0 {
						o.finish(t, rapid.SampledFrom(open).Draw(t, "step"))
					}
				},
				"cancel": func(t *rapid.T) {
					if len(o.steps) > 0 {
						rapid.SampledFrom(o.steps).Draw(t, "step").cancel()
					}
				},
				"finishAndCancelAtOnce": func(t *rapid.T) {
					var waiting []*trackedStep
					for _, a := range o.steps {
						if !a.over {
							waiting = append(waiting, a)
						}
					}
					if open := o.openGrants(); len(open) > 0 {
						o.finish(t, open[0])
					}
					for _, a := range waiting {
						a.cancel() // it may have been granted the slot at the same moment
					}
				},
				"time": func(t *rapid.T) { time.Sleep(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond) },
				"": func(t *rapid.T) {
					synctest.Wait()
					o.check(t)
				},
			})
			o.drain(t)
		})
	})
}

// inBubble hides the Deadline method of testing.T from rapid. The deadline is in real time and must
// not be read in a synctest bubble.
type inBubble struct{ rapid.TB }

// drain cancels all steps and ends all grants; all counts must return to 0.
func (o *oracle) drain(t *rapid.T) {
	for _, a := range o.steps {
		a.cancel()
	}
	synctest.Wait()
	for _, a := range o.openGrants() {
		a.finished = true
		a.grant.Done(Feedback{Cancelled: true})
	}
	synctest.Wait()
	o.check(t)
	time.Sleep(time.Minute)
}
