package joined

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"foxhall/internal/config"
	"foxhall/internal/engine"
	"foxhall/internal/instance"
	"foxhall/internal/standin"
	"foxhall/internal/step"
	"foxhall/internal/store"
)

// callOrder records the history lengths of each program's calls in the order of their admission by
// any engine.
type callOrder struct {
	mu sync.Mutex
	// longest maps a program to the longest history of its calls so far, in messages.
	longest map[string]int
	// regressions maps a program to the last call with a shorter history than an earlier one: the
	// longest length before it and its own.
	regressions map[string][2]int
	calls       int
}

func newCallOrder() *callOrder {
	return &callOrder{longest: map[string]int{}, regressions: map[string][2]int{}}
}

// record records one call. The call of each turn has a longer history than the call before; a repeat
// of a turn has one of the same length.
func (c *callOrder) record(r *engine.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	n, longest := len(r.Chat.Messages), c.longest[r.Program]
	if n < longest {
		c.regressions[r.Program] = [2]int{longest, n}
	}
	c.longest[r.Program] = max(longest, n)
}

func (c *callOrder) check(o *oracle) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for program, n := range c.regressions {
		o.violation(promiseOrder, "%s: a call with %d messages came after one with %d", program, n[1], n[0])
	}
}

// setEngine replaces an engine's faults and counts the change.
func (w *world) setEngine(e *standin.Engine, f standin.EngineFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faultChanges[e]++
	e.SetFaults(f)
}

func (w *world) faultChangesOf(e *standin.Engine) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faultChanges[e]
}

// drainingTimeout is how long the instances may take to learn that an upstream is draining. Users
// expect a few seconds.
const drainingTimeout = 4 * time.Second

// waitOut waits for the duration of the event. If an engine drains, it checks that no call reaches
// the engine after drainingTimeout, unless another event changed the engine's faults meanwhile.
func (w *world) waitOut(o *oracle, ev event, e *standin.Engine) {
	if ev.Kind != "engine-leaves" || ev.For <= drainingTimeout {
		time.Sleep(ev.For)
		return
	}
	changes := w.faultChangesOf(e)
	time.Sleep(drainingTimeout)
	before := e.Counts()
	time.Sleep(ev.For - drainingTimeout)
	after := e.Counts()
	if w.faultChangesOf(e) == changes && after.Calls+after.Refused != before.Calls+before.Refused {
		o.violation(promiseDraining, "%d calls reached an engine that had been draining for %s",
			after.Calls+after.Refused-before.Calls-before.Refused, drainingTimeout)
	}
}

// checkStops checks, if there are no events but planned stops, that no connection broke during a
// call and that no program is unfinished for another reason than its budget.
func (w *world) checkStops(o *oracle, events []event) {
	for _, ev := range events {
		if ev.Kind != "stop" {
			return
		}
	}
	o.mu.Lock()
	broken, stuck := o.brokenConnections, o.unfinished
	o.mu.Unlock()
	for _, b := range broken {
		o.violation(promiseGracefulStop, "%s", b)
	}
	for code, n := range stuck {
		if code != step.CodeBudget {
			o.violation(promiseGracefulStop, "%d programs ended with %s", n, code)
		}
	}
}

// acceptedEdit is an edit of the bound on steps for which the operator got the response that it is
// accepted.
type acceptedEdit struct {
	base, version uint64
	steps         int
}

// checkEdits checks that each accepted edit is in its version unchanged, and that only one of the
// edits of one entry based on the same version was accepted.
func (w *world) checkEdits(o *oracle) {
	w.mu.Lock()
	held := w.acceptedEdits
	o.acceptedEdits = len(held)
	w.mu.Unlock()
	bases := map[uint64]uint64{}
	editor := config.NewEditor(w.store)
	for _, e := range held {
		if other, ok := bases[e.base]; ok && other != e.version {
			o.violation(promiseConfig, "versions %d and %d were both accepted with the base version %d", other, e.version, e.base)
		}
		bases[e.base] = e.version
		pair, _, err := editor.Get(context.Background(), e.version)
		if err != nil {
			o.violation(promiseConfig, "version %d can't be read: %v", e.version, err)
			continue
		}
		if got := pair.Plans.Plans[0].Bounds.Steps; got != e.steps {
			o.violation(promiseConfig, "version %d has a bound of %d steps, want %d", e.version, got, e.steps)
		}
	}
}

// contradictList makes the platform's list and an engine contradict each other: either only the list
// has the engine as draining ("list-leaves"), or the list is stale and has a draining engine as live
// ("list-stale"). In both cases no call may reach the engine after drainingTimeout.
func (w *world) contradictList(o *oracle, ev event) {
	dc, _ := instanceOf(ev.Which)
	e := w.engines[dc+"-fast"]
	if ev.Kind == "list-leaves" {
		w.writeEndpoints(o, dc, dc+"-fast")
	} else {
		w.writeEndpoints(o, dc, "")
		w.setEngine(e, standin.EngineFaults{Leaving: true})
		time.Sleep(drainingTimeout / 2)
		w.writeEndpoints(o, dc, "")
	}
	otherCalls := w.engines[dc+"-slow"].Counts().Calls
	time.Sleep(drainingTimeout)
	before := e.Counts()
	time.Sleep(ev.For)
	after := e.Counts()
	if n := after.Calls + after.Refused - before.Calls - before.Refused; n != 0 {
		o.violation(promiseDraining, "%s: %d calls reached the engine", ev.Kind, n)
	}
	if w.engines[dc+"-slow"].Counts().Calls == otherCalls {
		o.violation(promiseDraining, "%s: the other engine got no calls either, so the check shows nothing", ev.Kind)
	}
	w.setEngine(e, standin.EngineFaults{})
	w.writeEndpoints(o, dc, "")
}

// writeEndpoints writes the platform's list of a data centre with one upstream as leaving, or none if
// leaving is empty.
func (w *world) writeEndpoints(o *oracle, dc, leaving string) {
	var endpoints instance.Endpoints
	for _, name := range []string{"-fast", "-slow", "-thrift", "-auction"} {
		if dc+name == leaving {
			endpoints.Draining = append(endpoints.Draining, leaving)
			continue
		}
		endpoints.Live = append(endpoints.Live, dc+name)
	}
	value, err := json.Marshal(endpoints)
	if err != nil {
		panic(err)
	}
	ctx := context.Background()
	key := store.Key{Kind: instance.KindEndpoints, Name: dc}
	object, _ := w.store.Get(ctx, key)
	if _, err := w.store.Put(ctx, key, value, object.Version); err != nil {
		o.violation(promiseDraining, "the list can't be written: %v", err)
	}
}
