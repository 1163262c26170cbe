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

// callOrder holds what the engines saw of each program, in the order in which
// any of them admitted its calls.
type callOrder struct {
	mu sync.Mutex
	// messages is the longest history that a call of the program brought.
	longest     map[string]int
	regressions map[string][2]int
	calls       int
}

func newCallOrder() *callOrder {
	return &callOrder{longest: map[string]int{}, regressions: map[string][2]int{}}
}

// note sees one call. Each turn's call brings a longer history than the one
// before; a repeat of a turn brings one as long.
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

// setEngine replaces an engine's faults and counts that it did.
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

// aware is how long all may take to learn that an upstream leaves ("a few
// seconds" in the brief).
const drainingTimeout = 4 * time.Second

// settle waits for the act's time. Where an engine leaves, it checks that after
// a few seconds no call reaches it any more, unless another act took that back.
func (w *world) waitOut(o *oracle, a event, e *standin.Engine) {
	if a.Kind != "engine-leaves" || a.For <= drainingTimeout {
		time.Sleep(a.For)
		return
	}
	set := w.faultChangesOf(e)
	time.Sleep(drainingTimeout)
	before := e.Counts()
	time.Sleep(a.For - drainingTimeout)
	after := e.Counts()
	if w.faultChangesOf(e) == set && after.Calls+after.Refused != before.Calls+before.Refused {
		o.violation(promiseDraining, "%d calls reached an engine that had been leaving for %s",
			after.Calls+after.Refused-before.Calls-before.Refused, drainingTimeout)
	}
}

// judgeStops checks that planned stops, where nothing else happens, break no
// connection under a call and leave no program unfinished.
func (w *world) checkStops(o *oracle, acts []event) {
	for _, a := range acts {
		if a.Kind != "stop" {
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

// heldEdit is an edit of the bound on steps that its operator was told is accepted.
type acceptedEdit struct {
	base, version uint64
	steps         int
}

// judgeEdits checks that each accepted edit stands in its version as its
// operator made it, and that of edits of one entry from one version only one
// was accepted.
func (w *world) checkEdits(o *oracle) {
	w.mu.Lock()
	held := w.acceptedEdits
	o.acceptedEdits = len(held)
	w.mu.Unlock()
	bases := map[uint64]uint64{}
	editor := config.NewEditor(w.store)
	for _, e := range held {
		if other, ok := bases[e.base]; ok && other != e.version {
			o.violation(promiseConfig, "versions %d and %d were both accepted from %d", other, e.version, e.base)
		}
		bases[e.base] = e.version
		pair, _, err := editor.Get(context.Background(), e.version)
		if err != nil {
			o.violation(promiseConfig, "version %d can't be read: %v", e.version, err)
			continue
		}
		if got := pair.Plans.Plans[0].Bounds.Steps; got != e.steps {
			o.violation(promiseConfig, "version %d has %d steps, its operator set %d", e.version, got, e.steps)
		}
	}
}

// contradict has the platform's list say one thing of an upstream and the
// upstream itself another: either the list is right ("list-leaves"), or it is
// stale and says live of an engine that leaves ("list-stale"). After a few
// seconds nothing may reach the engine, whoever is right.
func (w *world) contradictList(o *oracle, a event) {
	dc, _ := instanceOf(a.Which)
	e := w.engines[dc+"-fast"]
	if a.Kind == "list-leaves" {
		w.writeEndpoints(o, dc, dc+"-fast")
	} else {
		w.writeEndpoints(o, dc, "")
		w.setEngine(e, standin.EngineFaults{Leaving: true})
		time.Sleep(drainingTimeout / 2)
		w.writeEndpoints(o, dc, "")
	}
	other := w.engines[dc+"-slow"].Counts().Calls
	time.Sleep(drainingTimeout)
	before := e.Counts()
	time.Sleep(a.For)
	after := e.Counts()
	if n := after.Calls + after.Refused - before.Calls - before.Refused; n != 0 {
		o.violation(promiseDraining, "%s: %d calls reached the engine", a.Kind, n)
	}
	if w.engines[dc+"-slow"].Counts().Calls == other {
		o.violation(promiseDraining, "%s: no calls came that could have gone to the engine", a.Kind)
	}
	w.setEngine(e, standin.EngineFaults{})
	w.writeEndpoints(o, dc, "")
}

// list writes the platform's list of a data centre.
func (w *world) writeEndpoints(o *oracle, dc, leaving string) {
	var endpoints instance.Endpoints
	for _, name := range []string{"-fast", "-slow", "-thrift", "-auction"} {
		if dc+name == leaving {
			endpoints.Leaving = append(endpoints.Leaving, leaving)
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
