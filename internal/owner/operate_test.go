package owner

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"foxhall/internal/plan"
	"foxhall/internal/program"
	"foxhall/internal/step"
)

// Programs have earnings, end, expire and are taken over, while the appends that end them are
// refused, lost or delayed and owners crash during them. The sum contains every answered step exactly
// once, and no other.
func TestEarningsAreCountedOnce(t *testing.T) {
	checkInVirtualTime(t, func(rt *rapid.T, w *world) {
		steps := int64(0)
		for range rapid.IntRange(1, 12).Draw(rt, "rounds") {
			fault := rapid.SampledFrom([]string{ok, ok, refused, responseLost, dropped, delayed, crash, writtenThenCrash}).Draw(rt, "fault")
			w.setDecisions(func(*gate) string { return ok })
			for range rapid.IntRange(0, 3).Draw(rt, "programs") {
				call := modelCall("", 1, "hello")
				call.EndsProgram = rapid.Bool().Draw(rt, "ends")
				if w.call(w.owner(), call).result.Outcome == step.Done {
					steps++
				}
			}
			advance(time.Duration(rapid.IntRange(1, 90).Draw(rt, "minutes")) * time.Minute)
			w.sweepWith(fault, rapid.IntRange(0, 2).Draw(rt, "append"))
			w.adoptionIncomplete = rapid.Bool().Draw(rt, "adoption incomplete")
			if w.owner().crashed.Load() || rapid.IntRange(0, 3).Draw(rt, "take-over") == 0 {
				w.takeOver(true, rapid.Bool().Draw(rt, "late written"))
			}
			w.checkEarnings(rt, steps)
			w.owner().svc.Sweep(context.Background())
		}
		w.stopAtGates()
		advance(24 * time.Hour)
		w.owner().svc.Sweep(context.Background())
		w.checkEarnings(rt, steps)
		if remaining := len(w.owner().svc.Programs(false)); remaining > 0 {
			rt.Fatalf("%d programs did not expire", remaining)
		}
	})
}

// sweepWith sweeps once, with the fault at the append of that number, counted from 0.
func (w *world) sweepWith(fault string, number int) {
	crashes := false
	w.setDecisions(func(g *gate) string {
		number--
		if g.kind != "append" || number != -1 {
			return ok
		}
		crashes = fault == crash || fault == writtenThenCrash
		return fault
	})
	go w.owner().svc.Sweep(context.Background())
	synctest.Wait()
	w.owner().crashed.Store(crashes)
	advance(time.Minute)
	w.stopAtGates()
}

func (w *world) checkEarnings(rt *rapid.T, steps int64) {
	sums := w.owner().svc.Earnings(time.Time{})
	var got CustomerEarnings
	if len(sums) > 0 {
		got = sums[0]
	}
	if got.Steps != steps || got.Price != 100*steps || got.Cut != 10*steps {
		rt.Fatalf("%d steps were answered, the sum is %+v", steps, got)
	}
}

// A model call fails after it has incurred a cost, and the store refuses to record it twice while the
// program becomes idle. The program is not ended before its last earning is recorded.
func TestFailedStepIsCounted(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *world) {
		is := is.New(t)
		id := w.openProgram(t)
		w.call(w.owner(), modelCall(id, 1, "hello"))
		w.stopAtGates("model", "append")
		failed := w.call(w.owner(), modelCall(id, 2, "more"))
		w.release(0, dropped)
		w.release(0, refused)
		is.Equal(failed.result.Outcome, step.Unknown)
		advance(2 * time.Hour)
		w.sweepWith(refused, 0)
		w.owner().svc.Sweep(context.Background())
		is.Equal(len(w.owner().svc.Programs(false)), 1)
		w.owner().svc.Sweep(context.Background())
		is.Equal(len(w.owner().svc.Programs(false)), 0)
		is.Equal(w.owner().svc.Earnings(time.Time{})[0].Steps, int64(2))
	})
}

// A program's last response asks for a tool and its caller makes no further call. After ten minutes
// the program is listed as stalled and counted in a metric; it is still there days later. A program
// whose last response asks for no tool expires after an hour, and its engine memory is released once.
func TestAbandonedProgramIsStalled(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *world) {
		is := is.New(t)
		svc := w.owner().svc
		released := 0
		svc.o.ReleaseHooks = []ReleaseHook{func(program.ID) { released++ }}
		abandoned := w.openProgram(t)
		w.call(w.owner(), toolStep(abandoned, 1, "search", "trees"))
		w.call(w.owner(), modelCall(abandoned, 2, "plan it"))
		w.call(w.owner(), toolStep(abandoned, 3, "search", "nursery"))
		w.call(w.owner(), modelCall("", 1, "hello"))
		advance(9 * time.Minute)
		svc.Sweep(context.Background())
		is.Equal(len(svc.Programs(true)), 0)
		advance(time.Minute)
		svc.Sweep(context.Background())
		is.Equal(svc.Programs(true)[0].ID, abandoned)
		is.Equal(svc.meters.stalled.Value(), int64(1))
		advance(48 * time.Hour)
		svc.Sweep(context.Background())
		is.Equal(len(svc.Programs(false)), 1)
		is.Equal(svc.Programs(true)[0].ID, abandoned)
		is.Equal(released, 1)
	})
}

// A caller ends its program without a step. Its engine memory is released at once, repeats still get
// their responses, new steps are refused, and the program is removed some minutes later. Another
// customer can't end it.
func TestEndWithoutStep(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *world) {
		is := is.New(t)
		svc := w.owner().svc
		released := 0
		svc.o.ReleaseHooks = []ReleaseHook{func(program.ID) { released++ }}
		id := w.openProgram(t)
		w.call(w.owner(), modelCall(id, 1, "hello"))
		otherPlan := &plan.Plan{Name: "other", Customer: "stranger"}
		is.Equal(svc.End(context.Background(), otherPlan, id).Code, step.CodeNotFound)
		for range 2 {
			is.Equal(svc.End(context.Background(), testPlan, id).Outcome, step.Done)
			is.Equal(released, 1)
		}
		is.True(w.call(w.owner(), modelCall(id, 1, "hello")).result.Replayed)
		is.Equal(w.call(w.owner(), modelCall(id, 2, "more")).result.Code, step.CodeProgramEnded)
		advance(10 * time.Minute)
		svc.Sweep(context.Background())
		is.Equal(w.call(w.owner(), modelCall(id, 1, "hello")).result.Code, step.CodeNotFound)
		is.Equal(svc.Earnings(time.Time{})[0].Steps, int64(1))
	})
}

// A service's lookup does not know a step when it becomes unknown, but does hours later. The lookup
// is repeated, and the step is settled without an operator.
func TestLookupSucceedsLater(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *world) {
		is := is.New(t)
		id := w.openProgram(t)
		w.stopAtGates("tool")
		c := w.call(w.owner(), charge(id, 1, "10"))
		w.release(0, responseLost)
		is.Equal(c.result.Outcome, step.Unknown)
		w.stopAtGates()
		advance(time.Hour)
		w.owner().svc.Sweep(context.Background())
		advance(time.Minute)
		is.Equal(len(w.owner().svc.UnknownSteps()), 1)
		w.mu.Lock()
		w.lookupKnows = true
		w.mu.Unlock()
		advance(time.Hour)
		w.owner().svc.Sweep(context.Background())
		advance(time.Minute)
		is.Equal(len(w.owner().svc.UnknownSteps()), 0)
		is.Equal(w.call(w.owner(), charge(id, 1, "10")).result.Outcome, step.Done)
	})
}

// During a planned stop, a charge in flight runs to its end, and calls that arrive wait. After the
// seal they are answered "not run" with the code "moved", and the successor runs them. No call is
// refused otherwise.
func TestDrainCompletesStepsInFlight(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *world) {
		is := is.New(t)
		id := w.openProgram(t)
		w.stopAtGates("tool")
		running := w.call(w.owner(), charge(id, 1, "10"))
		drained := make(chan error, 1)
		go func() { drained <- w.owner().svc.Drain(context.Background()) }()
		waiting := w.call(w.owner(), charge(id, 2, "20"))
		opening := w.call(w.owner(), modelCall("", 1, "hello"))
		cancelled := w.call(w.owner(), modelCall("", 1, "hello"))
		cancelled.cancel()
		synctest.Wait()
		is.Equal(len(w.owner().svc.Programs(false)), 2) // a program whose first step never began is removed
		empty := make(chan step.Result, 1)
		go func() { empty <- w.owner().svc.Open(context.Background(), testPlan, "") }()
		synctest.Wait()
		is.Equal(len(drained), 0)
		is.True(!running.ended.Load())
		is.True(!waiting.ended.Load())
		w.release(0, ok)
		is.NoErr(<-drained)
		is.Equal(running.result.Outcome, step.Done)
		old := w.owner()
		n := w.takeOver(true, false)
		old.svc.MarkMoved()
		synctest.Wait()
		is.Equal(waiting.result.Code, step.CodeMoved)
		is.Equal(waiting.result.Outcome, step.NotRun)
		is.Equal(opening.result.Code, step.CodeMoved)
		is.Equal((<-empty).Code, step.CodeMoved)
		w.stopAtGates()
		is.Equal(w.call(n, charge(id, 2, "20")).result.Outcome, step.Done)
		is.Equal(w.totalEffects(), 2)
	})
}

// A program that loops and opens sub-agents is stopped at its plan's bounds on steps, children and
// depth. A sub-agent whose first step is refused does not count, its service time counts for its
// root, and it is in its root's shard.
func TestBoundsOfProgramsAndChildren(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *world) {
		is := is.New(t)
		bound := &plan.Plan{Name: "b", Customer: "kerlouan", Bounds: plan.Bounds{Steps: 2, Depth: 1, Children: 2}}
		do := func(id, parent program.ID, number int) step.Result {
			call := modelCall(id, number, "x")
			call.Plan, call.Parent = bound, parent
			return w.call(w.owner(), call).result
		}
		root := do("", "", 1).Program
		w.setDecisions(func(g *gate) string {
			if g.kind == "admit" {
				return refused
			}
			return ok
		})
		is.Equal(do("", root, 1).Code, step.CodeOverloaded)
		w.stopAtGates()
		first, second := do("", root, 1), do("", root, 1)
		is.Equal(first.Outcome, step.Done)
		is.Equal(second.Outcome, step.Done)
		is.Equal(first.Program.Shard(), root.Shard())
		is.Equal(do("", root, 1).Code, step.CodeBounds)
		is.Equal(do("", first.Program, 1).Code, step.CodeBounds)
		n := w.takeOver(true, false)
		is.Equal(len(n.svc.Programs(false)), 3)
		is.Equal(do("", root, 1).Code, step.CodeBounds)
		is.Equal(do(root, "", 2).Outcome, step.Done)
		is.Equal(do(root, "", 3).Code, step.CodeBounds)
	})
}

// An adoption fails halfway because the store becomes unavailable. Calls to its programs wait, none
// is answered that its program does not exist, and compaction does not take the programs for ended.
// After a retry of the adoption the programs continue.
func TestAdoptionFailsHalfway(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *world) {
		is := is.New(t)
		id := w.openProgram(t)
		w.call(w.owner(), modelCall(id, 1, "one"))
		old := w.owner()
		old.sealed = true
		n := w.start()
		w.storeDown = true
		adoption := Adoption{Cohort: old.svc.Cohort(), Shard: id.Shard(), Records: old.records}
		is.True(n.svc.Adopt(context.Background(), adoption) != nil)
		_, live := n.svc.Snapshot(id)
		is.True(live)
		waiting := w.call(n, modelCall(id, 2, "two"))
		is.True(!waiting.ended.Load())
		w.storeDown = false
		is.NoErr(n.svc.Adopt(context.Background(), adoption))
		synctest.Wait()
		is.Equal(waiting.result.Outcome, step.Done)
		is.Equal(w.engineRuns[1].history, []string{"one", "answer 1", "two"})
	})
}

// An operator lists unknown steps over HTTP, resolves one, and gets the sums of the earnings.
func TestOperatorEndpoints(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *world) {
		is := is.New(t)
		id := w.openProgram(t)
		w.call(w.owner(), modelCall(id, 1, "hello"))
		w.setDecisions(func(g *gate) string {
			if g.kind == "tool" {
				return responseLost
			}
			return ok
		})
		w.call(w.owner(), charge(id, 2, "10"))
		e := echo.New()
		w.owner().svc.Register(e.Group("/operator/v1"))
		ask := func(method, path, body string, into any) int {
			request := httptest.NewRequest(method, "/operator/v1"+path, strings.NewReader(body))
			request.Header.Set("Content-Type", "application/json")
			response := httptest.NewRecorder()
			e.ServeHTTP(response, request)
			if into != nil {
				is.NoErr(json.Unmarshal(response.Body.Bytes(), into))
			}
			return response.Code
		}
		var unknown []UnknownStep
		is.Equal(ask("GET", "/steps?unknown=true", "", &unknown), http.StatusOK)
		is.Equal(len(unknown), 1)
		is.Equal(unknown[0].Number, 2)
		resolve := `{"program":"` + string(id) + `","number":2,"ran":true,"operator":"ana","note":"in the bank's list"}`
		is.Equal(ask("POST", "/steps/resolve", resolve, nil), http.StatusNoContent)
		is.Equal(ask("POST", "/steps/resolve", resolve, nil), http.StatusConflict)
		is.Equal(w.call(w.owner(), charge(id, 2, "10")).result.Outcome, step.Done)
		var programs []ProgramInfo
		is.Equal(ask("GET", "/programs?stalled=true", "", &programs), http.StatusOK)
		is.Equal(len(programs), 0)
		var sums []CustomerEarnings
		since := time.Now().Add(-time.Hour).UTC().Format(time.RFC3339)
		is.Equal(ask("GET", "/earnings?since="+since, "", &sums), http.StatusOK)
		is.Equal(sums, []CustomerEarnings{{Customer: "kerlouan", Steps: 1, Price: 100, Cut: 10}})
		is.Equal(ask("GET", "/earnings", "", nil), http.StatusBadRequest)
	})
}
