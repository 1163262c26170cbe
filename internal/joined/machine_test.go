package joined

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"foxhall/internal/standin"
	"foxhall/internal/step"
)

// event is one fault or edit that takes place while programs run.
type event struct {
	// After is the time since the start of the previous event.
	After time.Duration
	Kind  string
	// Which selects an instance, data centre or upstream; N is a count.
	Which, N int
	// For is the duration of a fault.
	For time.Duration
}

// eventKinds lists the faults and the actions of operators and of the platform.
var eventKinds = []string{
	"kill", "isolate", "stop", "cut-centres", "cut-platform", "store-down", "store-slow", "lose-answers", "drop-writes",
	"engine-down", "engine-hang", "engine-slow", "engine-leaves", "tool-hang", "tool-drop", "tool-refuse", "edit", "race",
}

func drawEvents(t *rapid.T) []event {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
		return event{
			After: time.Duration(rapid.IntRange(0, 4000).Draw(t, "after")) * time.Millisecond,
			Kind:  rapid.SampledFrom(eventKinds).Draw(t, "kind"),
			Which: rapid.IntRange(0, 9).Draw(t, "which"),
			N:     rapid.IntRange(1, 3).Draw(t, "n"),
			For:   time.Duration(rapid.IntRange(200, 12000).Draw(t, "for")) * time.Millisecond,
		}
	}), 1, 8).Draw(t, "acts")
}

// checkMemoryAlways makes each run wait for releaseTimeout and check that engines released the
// memory of ended programs.
var checkMemoryAlways = flag.Bool("joined.long", false, "check the engines' memory in each run of the state machine")

// TestPromisesUnderFaults runs programs of two customers on five instances in two data centres
// while several faults overlap: instances are killed, isolated and replaced, the object API fails,
// engines and services fail, upstreams drain and operators edit. The oracle compares the responses of
// callers with what the stand-ins counted and reports each violated guarantee by its text.
func TestPromisesUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		events := drawEvents(rt)
		violations := runEvents(t, events, *checkMemoryAlways)
		if len(violations) > 0 {
			rt.Fatalf("events %+v\n%s", events, strings.Join(violations, "\n"))
		}
	})
}

// runEvents runs the events in a synctest bubble (virtual time) and returns the violations.
func runEvents(t *testing.T, events []event, checkMemory bool) []string {
	t.Helper()
	return runEventsWith(t, mixedCallers, events, checkMemory)
}

// runEventsWith is runEvents with the given mix of callers.
func runEventsWith(t *testing.T, c callerMix, events []event, checkMemory bool) []string {
	t.Helper()
	o := newOracle()
	synctest.Test(t, func(t *testing.T) {
		w, err := newWorld()
		if err != nil {
			t.Fatal(err)
		}
		for _, s := range dataCentres {
			for n := range s.instances {
				if err := w.start(s.dataCentre, n+1); err != nil {
					t.Fatal(err)
				}
			}
		}
		time.Sleep(15 * time.Second)
		watch, stopWatch := context.WithCancel(context.Background())
		var watching sync.WaitGroup
		watching.Go(func() { w.watchVersions(watch, o) })
		w.runCallers(o, c, events)
		w.calls.check(o)
		w.checkStops(o, events)
		w.clearFaults()
		w.check(o)
		if checkMemory {
			time.Sleep(releaseTimeout)
			w.checkMemory(o)
		}
		stopWatch()
		watching.Wait()
		w.close()
	})
	t.Logf("%d programs, %d finished, %d attempts, %d broken connections, unfinished %v, %d tokens spent by the plan with the small budget, %d edits accepted",
		o.programs, o.finished, o.attempts, len(o.brokenConnections), o.unfinished, o.spentTokens, o.acceptedEdits)
	return o.violations
}

// callerMix returns the key and the model of a caller.
type callerMix func(id int) (key, model string)

func mixedCallers(id int) (string, string) {
	switch {
	case id%8 == 7:
		return thriftKey, "thrift"
	case id%2 == 1:
		return sementeKey, "oak"
	}
	return kerlouanKey, "oak"
}

// runCallers runs the callers and the events concurrently and waits for both.
func (w *world) runCallers(o *oracle, c callerMix, events []event) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var callers sync.WaitGroup
	for id := range 16 {
		key, model := c(id)
		callers.Go(func() {
			time.Sleep(time.Duration(id*900) * time.Millisecond)
			client := w.client(key)
			defer client.Close()
			a := &agent{oracle: o, client: client, model: model}
			a.run(ctx, id, 3+id%4)
		})
	}
	var running sync.WaitGroup
	for _, ev := range events {
		time.Sleep(ev.After)
		running.Go(func() { w.apply(o, ev) })
	}
	running.Wait()
	w.clearFaults()
	callers.Wait()
}

// instanceOf returns the data centre and the number of the instance that which selects.
func instanceOf(which int) (string, int) {
	if which%5 < 3 {
		return "a", which%5 + 1
	}
	return "b", which%5 - 2
}

func (w *world) node(which int) *node {
	dc, n := instanceOf(which)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[fmt.Sprintf("%s/%d", dc, n)]
}

// apply applies one event and reverts it after its duration.
func (w *world) apply(o *oracle, ev event) {
	switch ev.Kind {
	case "kill":
		w.replace(ev, func(n *node) { w.network.Kill(n.host); n.stop() })
	case "stop":
		w.replace(ev, func(n *node) { n.stop() })
	case "isolate":
		w.partitionFor(ev.For, w.node(ev.Which).host, "")
	case "cut-centres":
		w.partitionFor(ev.For, "a/", "b/")
	case "cut-platform":
		dc, _ := instanceOf(ev.Which)
		w.partitionFor(ev.For, dc+"/", "store")
	case "edit", "race":
		w.applyEdits(ev)
	case "list-leaves", "list-stale":
		w.contradictList(o, ev)
	default:
		w.injectFault(o, ev)
	}
}

// replace ends an instance and starts another one under the same name.
func (w *world) replace(ev event, end func(*node)) {
	n := w.node(ev.Which)
	end(n)
	<-n.ended
	time.Sleep(ev.For / 4)
	dc, number := instanceOf(ev.Which)
	w.mu.Lock()
	same := w.nodes[n.name] == n
	w.mu.Unlock()
	if same {
		_ = w.start(dc, number)
	}
}

func (w *world) partitionFor(d time.Duration, one, other string) {
	w.network.Cut(one, other)
	w.network.Cut(other, one)
	time.Sleep(d)
	w.network.Heal(one, other)
	w.network.Heal(other, one)
}

// applyEdits makes one edit, or two concurrent edits based on the same version.
func (w *world) applyEdits(ev event) {
	operators := 1
	if ev.Kind == "race" {
		operators = 2
	}
	var editing sync.WaitGroup
	for range operators {
		editing.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			_ = w.edit(ctx, nil)
		})
	}
	editing.Wait()
}

// injectFault sets a fault on a stand-in for the duration of the event.
func (w *world) injectFault(o *oracle, ev event) {
	engines := []string{"a-fast", "a-slow", "b-fast", "b-slow"}
	e := w.engines[engines[ev.Which%len(engines)]]
	dc, _ := instanceOf(ev.Which)
	tool := w.tools[dc]
	switch ev.Kind {
	case "store-down":
		w.store.SetFaults(standin.StoreFaults{Down: true})
	case "store-slow":
		w.store.SetFaults(standin.StoreFaults{Delay: time.Duration(ev.N) * 300 * time.Millisecond})
	case "lose-answers":
		w.store.SetFaults(standin.StoreFaults{LoseAnswers: 4 * ev.N})
	case "drop-writes":
		w.store.SetFaults(standin.StoreFaults{DropWrites: 4 * ev.N})
	case "regress-reads":
		w.store.SetFaults(standin.StoreFaults{RegressReads: 8 * ev.N})
	case "engine-down":
		w.setEngine(e, standin.EngineFaults{Down: true})
	case "engine-hang":
		w.setEngine(e, standin.EngineFaults{Hang: true})
	case "engine-slow":
		w.setEngine(e, standin.EngineFaults{Slow: 10, LieLoad: true, DropEvents: true})
	case "engine-leaves":
		w.setEngine(e, standin.EngineFaults{Leaving: true})
	case "tool-hang":
		tool.SetFaults(standin.ToolFaults{Delay: toolTime, Hang: ev.N})
	case "tool-drop":
		tool.SetFaults(standin.ToolFaults{Delay: toolTime, Drop: ev.N})
	case "tool-refuse":
		tool.SetFaults(standin.ToolFaults{Delay: toolTime, Refuse: ev.N})
	}
	w.waitOut(o, ev, e)
	w.clearFault(ev.Kind, e, tool)
}

func (w *world) clearFault(kind string, e *standin.Engine, tool *standin.Tool) {
	switch {
	case strings.HasPrefix(kind, "engine"):
		w.setEngine(e, standin.EngineFaults{})
	case strings.HasPrefix(kind, "tool"):
		tool.SetFaults(standin.ToolFaults{Delay: toolTime})
	default:
		w.store.SetFaults(standin.StoreFaults{})
	}
}

// clearFaults clears the faults of all stand-ins.
func (w *world) clearFaults() {
	w.store.SetFaults(standin.StoreFaults{})
	for _, e := range w.engines {
		w.setEngine(e, standin.EngineFaults{})
	}
	for _, t := range w.tools {
		t.SetFaults(standin.ToolFaults{Delay: toolTime})
	}
}

// watchVersions checks that the configuration version in force never decreases on a node.
func (w *world) watchVersions(ctx context.Context, o *oracle) {
	highest := map[*node]uint64{}
	for ctx.Err() == nil {
		w.mu.Lock()
		for name, n := range w.nodes {
			v := n.instance.ConfigVersion()
			if v < highest[n] && v != 0 {
				o.violation(promiseConfig, "%s: version in force decreased from %d to %d", name, highest[n], v)
			}
			highest[n] = max(highest[n], v)
		}
		w.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
	}
}

// inForceTimeout is how long after the end of the faults an accepted edit may take to be in force
// everywhere.
const inForceTimeout = 10 * time.Second

// releaseTimeout is how long after a program's end engines may hold its memory: repeats of its steps
// are answered for five minutes, and the sweep follows.
const releaseTimeout = 12 * time.Minute

// check checks the guarantees that can be judged only after all faults and programs have ended.
func (w *world) check(o *oracle) {
	time.Sleep(inForceTimeout)
	w.mu.Lock()
	for name, n := range w.nodes {
		if v := n.instance.ConfigVersion(); v < w.acceptedVersion {
			o.violation(promiseConfig, "%s: version %d is in force, want at least the accepted version %d", name, v, w.acceptedVersion)
		}
	}
	w.mu.Unlock()
	o.checkEffects(w.effects())
	if o.spentTokens = w.spentTokens(); o.spentTokens > thriftTokens {
		o.violation(promiseBudget, "%d tokens were spent, the budget is %d", o.spentTokens, thriftTokens)
	}
	w.checkEdits(o)
	w.checkPrograms(o)
}

// spentTokens returns the number of tokens computed by the engines of the plan with the small budget.
func (w *world) spentTokens() int64 {
	spent := int64(0)
	for _, dc := range dataCentres {
		counts := w.engines[dc.dataCentre+"-thrift"].Counts()
		spent += counts.PromptTokens + counts.GeneratedTokens
	}
	return spent
}

// explainedCodes are the codes with which a program may end under faults: the outcome of a step is
// reported as unknown, the history is reported as possibly incomplete, or the budget is exhausted.
// A program that ends with any other code violates a guarantee.
var explainedCodes = map[step.Code]bool{
	step.CodeOutcomeUnknown: true, step.CodeHistoryUncertain: true, step.CodeBudget: true,
}

func (w *world) checkPrograms(o *oracle) {
	ended := o.finished
	for code, n := range o.unfinished {
		ended += n
		if !explainedCodes[code] {
			o.violation("nothing silently disappears", "%d programs could not continue: %s, %v", n, code, o.unexplained)
		}
	}
	if ended != o.programs {
		o.violation("nothing silently disappears", "only %d of %d programs ended", ended, o.programs)
	}
}

// checkMemory checks that no engine holds memory of an ended program.
func (w *world) checkMemory(o *oracle) {
	gone := map[string]bool{}
	for _, id := range o.endedPrograms {
		gone[id] = true
	}
	for name, e := range w.engines {
		state, err := e.State(false)
		if err != nil {
			o.violation(promiseMemoryReleased, "%s: %v", name, err)
			continue
		}
		for id, tokens := range state.Programs {
			if gone[id] {
				o.violation(promiseMemoryReleased, "%s holds %d tokens of the ended program %s", name, tokens, id)
			}
		}
	}
}

// Guards against programs that fail without any fault: every program must finish, and engines must
// release its memory.
func TestProgramsFinishWithoutFaults(t *testing.T) {
	if violations := runEvents(t, nil, true); len(violations) > 0 {
		t.Fatal(strings.Join(violations, "\n"))
	}
}
