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

// act is one thing that happens while programs run.
type event struct {
	// After is the time since the act before.
	After time.Duration
	Kind  string
	// Which picks an instance, data centre or upstream, N is a count.
	Which, N int
	// For is how long a fault lasts.
	For time.Duration
}

// kinds are the faults, and the acts of operators and the platform.
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

// long also waits in each run until the memory of ended programs is released.
var checkMemoryAlways = flag.Bool("joined.long", false, "check the engines' memory in each run of the state machine")

// TestPromisesUnderFaults runs programs of two customers through five instances
// in two data centres while instances die, are cut off and are replaced, the
// object API fails, engines and services misbehave, upstreams leave and
// operators edit, several at a time. The oracle holds what callers were told
// against what the stand-ins saw, and checks the brief's promises by name.
func TestPromisesUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		acts := drawEvents(rt)
		faults := runEvents(t, acts, *checkMemoryAlways)
		if len(faults) > 0 {
			rt.Fatalf("acts %+v\n%s", acts, strings.Join(faults, "\n"))
		}
	})
}

// runActs runs the acts in a bubble of virtual time and returns the broken promises.
func runEvents(t *testing.T, acts []event, memory bool) []string {
	t.Helper()
	return runEventsWith(t, mixedCallers, acts, memory)
}

// runCrowd is runActs with another mix of callers.
func runEventsWith(t *testing.T, c callerMix, acts []event, memory bool) []string {
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
		w.runCallers(o, c, acts)
		w.calls.check(o)
		w.checkStops(o, acts)
		w.clearFaults()
		w.check(o)
		if memory {
			time.Sleep(releaseTimeout)
			w.checkMemory(o)
		}
		stopWatch()
		watching.Wait()
		w.close()
	})
	t.Logf("%d programs, %d ended, %d sends, %d broken connections, stuck %v, %d tokens of the small plan, %d edits accepted",
		o.programs, o.finished, o.attempts, len(o.brokenConnections), o.unfinished, o.spentTokens, o.acceptedEdits)
	return o.violations
}

// crowd gives each caller its key and model.
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

// play runs the callers and the acts at once, and waits for both.
func (w *world) runCallers(o *oracle, c callerMix, acts []event) {
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
	for _, a := range acts {
		time.Sleep(a.After)
		running.Go(func() { w.apply(o, a) })
	}
	running.Wait()
	w.clearFaults()
	callers.Wait()
}

// pick returns the data centre and number of the act's instance.
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

// act carries one act out and takes it back after its time.
func (w *world) apply(o *oracle, a event) {
	switch a.Kind {
	case "kill":
		w.replace(a, func(n *node) { w.network.Kill(n.host); n.stop() })
	case "stop":
		w.replace(a, func(n *node) { n.stop() })
	case "isolate":
		w.partitionFor(a.For, w.node(a.Which).host, "")
	case "cut-centres":
		w.partitionFor(a.For, "a/", "b/")
	case "cut-platform":
		dc, _ := instanceOf(a.Which)
		w.partitionFor(a.For, dc+"/", "store")
	case "edit", "race":
		w.applyEdits(a)
	case "list-leaves", "list-stale":
		w.contradictList(o, a)
	default:
		w.injectFault(o, a)
	}
}

// replace ends an instance and starts another under the same name.
func (w *world) replace(a event, end func(*node)) {
	n := w.node(a.Which)
	end(n)
	<-n.ended
	time.Sleep(a.For / 4)
	dc, number := instanceOf(a.Which)
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

// operate has operators edit: one, or two at once from the same version.
func (w *world) applyEdits(a event) {
	operators := 1
	if a.Kind == "race" {
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

// misbehave sets the fault of a stand-in for the act's time.
func (w *world) injectFault(o *oracle, a event) {
	engines := []string{"a-fast", "a-slow", "b-fast", "b-slow"}
	e := w.engines[engines[a.Which%len(engines)]]
	dc, _ := instanceOf(a.Which)
	tool := w.tools[dc]
	switch a.Kind {
	case "store-down":
		w.store.SetFaults(standin.StoreFaults{Down: true})
	case "store-slow":
		w.store.SetFaults(standin.StoreFaults{Delay: time.Duration(a.N) * 300 * time.Millisecond})
	case "lose-answers":
		w.store.SetFaults(standin.StoreFaults{LoseAnswers: 4 * a.N})
	case "drop-writes":
		w.store.SetFaults(standin.StoreFaults{DropWrites: 4 * a.N})
	case "regress-reads":
		w.store.SetFaults(standin.StoreFaults{RegressReads: 8 * a.N})
	case "engine-down":
		w.setEngine(e, standin.EngineFaults{Down: true})
	case "engine-hang":
		w.setEngine(e, standin.EngineFaults{Hang: true})
	case "engine-slow":
		w.setEngine(e, standin.EngineFaults{Slow: 10, LieLoad: true, DropEvents: true})
	case "engine-leaves":
		w.setEngine(e, standin.EngineFaults{Leaving: true})
	case "tool-hang":
		tool.SetFaults(standin.ToolFaults{Delay: toolTime, Hang: a.N})
	case "tool-drop":
		tool.SetFaults(standin.ToolFaults{Delay: toolTime, Drop: a.N})
	case "tool-refuse":
		tool.SetFaults(standin.ToolFaults{Delay: toolTime, Refuse: a.N})
	}
	w.waitOut(o, a, e)
	w.clearFault(a.Kind, e, tool)
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

// heal takes back every fault.
func (w *world) clearFaults() {
	w.store.SetFaults(standin.StoreFaults{})
	for _, e := range w.engines {
		w.setEngine(e, standin.EngineFaults{})
	}
	for _, t := range w.tools {
		t.SetFaults(standin.ToolFaults{Delay: toolTime})
	}
}

// watchVersions checks that the version in force never goes back on a node.
func (w *world) watchVersions(ctx context.Context, o *oracle) {
	highest := map[*node]uint64{}
	for ctx.Err() == nil {
		w.mu.Lock()
		for name, n := range w.nodes {
			v := n.instance.ConfigVersion()
			if v < highest[n] && v != 0 {
				o.violation(promiseConfig, "%s went back from %d to %d", name, highest[n], v)
			}
			highest[n] = max(highest[n], v)
		}
		w.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
	}
}

// inForce is how long after healing an accepted edit may take to be in force
// everywhere (letter 1).
const inForceTimeout = 10 * time.Second

// released is how long after its end a program's memory may stay on engines:
// its repeats are answered for five minutes, and the sweep comes after that.
const releaseTimeout = 12 * time.Minute

// judge checks what can be said only once all is calm.
func (w *world) check(o *oracle) {
	time.Sleep(inForceTimeout)
	w.mu.Lock()
	for name, n := range w.nodes {
		if v := n.instance.ConfigVersion(); v < w.acceptedVersion {
			o.violation(promiseConfig, "%s has version %d in force, %d was accepted", name, v, w.acceptedVersion)
		}
	}
	w.mu.Unlock()
	o.checkEffects(w.effects())
	if o.spentTokens = w.spentTokens(); o.spentTokens > thriftTokens {
		o.violation(promiseBudget, "%d of %d tokens were spent", o.spentTokens, thriftTokens)
	}
	w.checkEdits(o)
	w.checkPrograms(o)
}

// spent returns the tokens that the engines of the small plan computed.
func (w *world) spentTokens() int64 {
	spent := int64(0)
	for _, dc := range dataCentres {
		counts := w.engines[dc.dataCentre+"-thrift"].Counts()
		spent += counts.PromptTokens + counts.GeneratedTokens
	}
	return spent
}

// explained are the codes with which a program may end under faults: its
// outcome is unknown and told so, its history can't be proved whole and told
// so, or its budget is spent. Anything else is a program lost.
var explainedCodes = map[step.Code]bool{
	step.CodeOutcomeUnknown: true, step.CodeHistoryUncertain: true, step.CodeBudget: true,
}

func (w *world) checkPrograms(o *oracle) {
	ended := o.finished
	for code, n := range o.unfinished {
		ended += n
		if !explainedCodes[code] {
			o.violation("nothing silently disappears", "%d programs could not go on: %s, %v", n, code, o.unexplained)
		}
	}
	if ended != o.programs {
		o.violation("nothing silently disappears", "%d of %d programs ended", ended, o.programs)
	}
}

// judgeMemory checks that no engine still holds memory of an ended program.
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

// A day without faults: every program finishes.
func TestProgramsFinishWithoutFaults(t *testing.T) {
	if faults := runEvents(t, nil, true); len(faults) > 0 {
		t.Fatal(strings.Join(faults, "\n"))
	}
}
