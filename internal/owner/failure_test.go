package owner

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/plan"
	"foxhall/internal/program"
	"foxhall/internal/step"
)

func (w *world) openProgram(t *testing.T) program.ID {
	t.Helper()
	opened := w.owner().svc.Open(context.Background(), testPlan, "")
	is.New(t).Equal(opened.Outcome, step.Done)
	return opened.Program
}

// stopAtGates lets operations of the kinds wait for the test; all others succeed.
func (w *world) stopAtGates(kinds ...string) {
	w.setDecisions(func(g *gate) string {
		if slices.Contains(kinds, g.kind) {
			return ""
		}
		return ok
	})
}

func (w *world) totalEffects() (n int) {
	for _, count := range w.effects {
		n += count
	}
	return n
}

// A charge is sent and takes effect, and the owner crashes before it has the response. The caller
// repeats the call at the successor. The successor finds the intent without an outcome, answers
// "unknown" and sends nothing. Once the service's lookup knows the charge, the caller gets the
// response.
func TestOwnerCrashAfterToolEffect(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *world) {
		is := is.New(t)
		id := w.openProgram(t)
		w.stopAtGates("tool")
		first := w.call(w.owner(), charge(id, 1, "10"))
		w.release(0, actThenHang)
		w.release(0, crash)
		first.cancel()
		w.stopAtGates()
		n := w.takeOver(true, false)
		again := w.call(n, charge(id, 1, "10"))
		is.Equal(again.result.Outcome, step.Unknown)
		is.Equal(again.result.Code, step.CodeOutcomeUnknown)
		is.Equal(len(n.svc.UnknownSteps()), 1)
		w.mu.Lock()
		w.lookupKnows = true
		w.mu.Unlock()
		advance(time.Minute)
		settled := w.call(n, charge(id, 1, "10"))
		is.Equal(settled.result.Outcome, step.Done)
		is.Equal(len(n.svc.UnknownSteps()), 0)
		is.Equal(w.totalEffects(), 1)
	})
}

// An owner is paused after its intent is in the log and before it sends. A successor takes over and
// answers "unknown". The former owner resumes and makes the only attempt. Its log is sealed, so it
// reports the response to the successor and returns it to its own caller; both callers get the same
// response.
func TestOwnerPausedBetweenIntentAndSend(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *world) {
		is := is.New(t)
		id := w.openProgram(t)
		w.stopAtGates("tool")
		first := w.call(w.owner(), charge(id, 1, "10"))
		n := w.takeOver(true, false)
		advance(time.Minute) // a lookup that does not know the call settles nothing
		again := w.call(n, charge(id, 1, "10"))
		is.Equal(again.result.Outcome, step.Unknown)
		w.release(0, ok)
		is.Equal(first.result.Outcome, step.Done)
		advance(time.Second)
		settled := w.call(n, charge(id, 1, "10"))
		is.Equal(settled.result.Outcome, step.Done)
		is.Equal(string(settled.result.Body), string(first.result.Body))
		is.Equal(w.reportCount, 1)
		is.Equal(w.totalEffects(), 1)
	})
}

// The response to the append of an intent is lost, so the intent may be in the log. The owner has
// not sent the call and must not, so it answers "not run", and a retry runs the step once. If the
// owner had crashed instead, the successor would answer "unknown", since it can't know that nothing
// was sent.
func TestIntentAppendResponseLost(t *testing.T) {
	for _, fault := range []string{responseLost, dropped, delayed} {
		inVirtualTime(t, func(t *testing.T, w *world) {
			is := is.New(t)
			id := w.openProgram(t)
			w.stopAtGates("append")
			first := w.call(w.owner(), charge(id, 1, "10"))
			w.release(0, fault)
			is.Equal(first.result.Outcome, step.NotRun)
			is.True(first.result.RetryAfter > 0)
			is.Equal(w.totalEffects(), 0)
			w.stopAtGates()
			again := w.call(w.owner(), charge(id, 1, "10"))
			is.Equal(again.result.Outcome, step.Done)
			is.Equal(w.totalEffects(), 1)
			n := w.takeOver(true, true)
			replayed := w.call(n, charge(id, 1, "10"))
			is.Equal(replayed.result.Outcome, step.Done)
			is.True(replayed.result.Replayed)
			is.Equal(w.totalEffects(), 1)
		})
	}
}

// The log's store is unavailable during the entire step. A charge is refused at once as "not run",
// with a retry delay. A model call runs, its turn is held by peers, and a successor serves it.
func TestStoreUnavailableDuringStep(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *world) {
		is := is.New(t)
		id := w.openProgram(t)
		w.storeDown = true
		w.stopAtGates("admit") // the charge is refused before it takes up capacity
		start := time.Now()
		refusal := w.call(w.owner(), charge(id, 1, "10"))
		is.Equal(refusal.result.Outcome, step.NotRun)
		is.Equal(refusal.result.Code, step.CodeStoreUnavailable)
		is.True(refusal.result.RetryAfter > 0)
		is.Equal(time.Since(start), time.Duration(0))
		w.stopAtGates()
		turn := w.call(w.owner(), modelCall(id, 1, "hello"))
		is.Equal(turn.result.Outcome, step.Done)
		w.storeDown = false
		n := w.takeOver(true, false)
		second := w.call(n, modelCall(id, 2, "more"))
		is.Equal(second.result.Outcome, step.Done)
		is.Equal(w.engineRuns[1].history, []string{"hello", "answer 1", "more"})
		is.Equal(w.totalEffects(), 0)
	})
}

// The balancer sends one charge to two instances, which both relay it to the owner. The second
// arrives while the first is in flight and joins it: there is one charge, and both get its response.
// A third, after the end, gets the recorded response.
func TestBalancerSendsOneCallTwice(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *world) {
		is := is.New(t)
		id := w.openProgram(t)
		w.stopAtGates("tool")
		first := w.call(w.owner(), charge(id, 1, "10"))
		second := w.call(w.owner(), charge(id, 1, "10"))
		is.Equal(w.waitingGates(), []string{"tool"})
		other := w.call(w.owner(), charge(id, 1, "99"))
		is.Equal(other.result.Code, step.CodeKeyReused)
		w.release(0, ok)
		third := w.call(w.owner(), charge(id, 1, "10"))
		for _, c := range []*caller{first, second, third} {
			is.Equal(c.result.Outcome, step.Done)
			is.Equal(string(c.result.Body), "did charge 10")
		}
		is.True(third.result.Replayed)
		is.Equal(w.totalEffects(), 1)
	})
}

// A charge without a program, or without a step number and idempotency key, can't be distinguished
// from its repeat. It is refused before anything is done.
func TestUnidentifiedChargeIsRefused(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *world) {
		is := is.New(t)
		unopened := w.call(w.owner(), charge("", 1, "10"))
		is.Equal(unopened.result.Code, step.CodeBadRequest)
		unnumbered := w.call(w.owner(), charge(w.openProgram(t), 0, "10"))
		is.Equal(unnumbered.result.Code, step.CodeBadRequest)
		is.Equal(w.totalEffects(), 0)
	})
}

// A caller disconnects while its response streams. No caller waits, so the model call is cancelled
// and its slot is freed, unless a repeat has joined it. A charge that was sent is not cancelled: it
// runs to its end and its outcome is recorded.
func TestCallerDisconnects(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *world) {
		is := is.New(t)
		id := w.openProgram(t)
		w.stopAtGates("model", "tool")
		only := w.call(w.owner(), modelCall(id, 1, "hello"))
		only.cancel()
		synctest.Wait()
		is.Equal(len(w.waitingGates()), 0)
		is.Equal(only.result.Outcome, step.Unknown)

		first := w.call(w.owner(), modelCall(id, 1, "hello"))
		joined := w.call(w.owner(), modelCall(id, 1, "hello"))
		first.cancel()
		synctest.Wait()
		w.release(0, ok)
		is.Equal(joined.result.Outcome, step.Done)

		cancelled := w.call(w.owner(), charge(id, 2, "10"))
		cancelled.cancel()
		synctest.Wait()
		is.Equal(w.waitingGates(), []string{"tool"})
		w.release(0, ok)
		again := w.call(w.owner(), charge(id, 2, "10"))
		is.Equal(again.result.Outcome, step.Done)
		is.Equal(w.totalEffects(), 1)
	})
}

// A streamed response is complete, but its turn is not durable yet. The caller has the text so far
// and neither the finish reason nor the end mark. It gets them once the turn is durable, and never
// if the turn can't be made durable.
func TestStreamEndWaitsForDurableTurn(t *testing.T) {
	for _, fault := range []string{ok, refused, responseLost} {
		inVirtualTime(t, func(t *testing.T, w *world) {
			is := is.New(t)
			id := w.openProgram(t)
			w.stopAtGates("append")
			call := modelCall(id, 1, "hello")
			call.Model.Stream = true
			c := w.call(w.owner(), call)
			is.Equal(w.waitingGates(), []string{"append"})
			is.Equal(c.sink.received(), "first second ")
			w.release(0, fault)
			if fault == ok {
				is.Equal(c.sink.received(), `first second "finish_reason":"stop"[DONE]`)
				return
			}
			is.Equal(c.sink.received(), "first second ")
			is.Equal(c.result.Outcome, step.Unknown)
			w.stopAtGates()
			again := w.call(w.owner(), call)
			is.Equal(again.result.Outcome, step.Done)
			is.Equal(again.result.AssistantMessage, message("assistant", "answer 1")) // the run is not repeated
		})
	}
}

// An owner is paused while a model call waits for its placement, and a successor continues the
// program. The owner resumes without a lease, so the call is not sent, the engines see the program's
// calls in order, and "not run" is true.
func TestOwnerPausedBeforeModelCall(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *world) {
		is := is.New(t)
		id := w.openProgram(t)
		old := w.owner()
		w.stopAtGates("admit")
		paused := w.call(old, modelCall(id, 1, "one"))
		n := w.takeOver(true, false)
		w.stopAtGates()
		w.call(n, modelCall(id, 1, "one"))
		w.call(n, modelCall(id, 2, "two"))
		w.release(0, ok)
		is.Equal(paused.result.Outcome, step.NotRun)
		is.Equal(len(w.engineRuns), 2)
	})
}

// A response is too large for a log entry. It is neither kept nor returned as complete, and the
// program continues without it.
func TestResponseTooLargeForLog(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *world) {
		is := is.New(t)
		id := w.openProgram(t)
		w.stopAtGates("append")
		c := w.call(w.owner(), modelCall(id, 1, "one"))
		w.release(0, tooLarge)
		is.Equal(c.result.Outcome, step.Unknown)
		is.Equal(c.result.Code, step.CodeUpstreamFailed)
		w.stopAtGates()
		is.Equal(w.call(w.owner(), modelCall(id, 1, "shorter")).result.Outcome, step.Done)
	})
}

// A repeat joins a streamed response halfway, and a third caller makes a non-streaming request. The
// repeat gets the stream from its beginning, the third caller the response in one body, and the
// engine gets one call.
func TestRepeatJoinsStream(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *world) {
		is := is.New(t)
		id := w.openProgram(t)
		w.stopAtGates("model")
		streamed := modelCall(id, 1, "hello")
		streamed.Model.Stream = true
		first, second := w.call(w.owner(), streamed), w.call(w.owner(), streamed)
		nonStreaming := w.call(w.owner(), modelCall(id, 1, "hello"))
		is.Equal(second.sink.received(), first.sink.received())
		w.release(0, ok)
		for _, c := range []*caller{first, second} {
			is.Equal(c.sink.received(), `first second "finish_reason":"stop"[DONE]`)
			is.Equal(len(c.result.Body), 0)
		}
		is.True(strings.Contains(string(nonStreaming.result.Body), "answer 1"))
		is.Equal(len(w.engineRuns), 1)
	})
}

// Two steps arrive out of order: step 2 arrives first and waits for step 1. A step whose predecessor
// does not arrive is refused with the number of the missing step.
func TestStepsArriveOutOfOrder(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *world) {
		is := is.New(t)
		id := w.openProgram(t)
		second := w.call(w.owner(), modelCall(id, 2, "two"))
		is.True(!second.ended.Load())
		first := w.call(w.owner(), modelCall(id, 1, "one"))
		is.Equal(first.result.Outcome, step.Done)
		is.Equal(second.result.Outcome, step.Done)
		is.Equal(w.engineRuns[1].history, []string{"one", "answer 1", "two"})
		early := w.call(w.owner(), modelCall(id, 5, "five"))
		advance(time.Second)
		is.Equal(early.result.Outcome, step.NotRun)
		is.Equal(early.result.MissingStep, 3)
	})
}

// A tool hangs. A charge that was sent ends as "unknown" when the plan's bound on the step's time has
// passed. It is listed until an operator resolves it.
func TestHangingTool(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *world) {
		is := is.New(t)
		id := w.openProgram(t)
		w.stopAtGates("tool")
		call := charge(id, 1, "10")
		call.Plan = &plan.Plan{Name: "buyer", Customer: "kerlouan", Bounds: plan.Bounds{StepTime: plan.Duration(time.Minute)}}
		c := w.call(w.owner(), call)
		advance(59 * time.Second)
		is.True(!c.ended.Load())
		advance(2 * time.Second)
		is.Equal(c.result.Outcome, step.Unknown)
		is.Equal(c.result.Code, step.CodeOutcomeUnknown)
		is.Equal(len(w.owner().svc.UnknownSteps()), 1)
		err := w.owner().svc.Resolve(context.Background(), id, program.Resolution{Number: 1, Verdict: program.NotRun, By: "operator ana"})
		is.NoErr(err)
		is.Equal(len(w.owner().svc.UnknownSteps()), 0)
		again := w.call(w.owner(), charge(id, 1, "10"))
		is.Equal(again.result.Outcome, step.NotRun)
	})
}

// A caller's deadline passes. While the step still waits for its placement, the outcome is "not
// run"; once a charge was sent, it is "unknown".
func TestDeadlineOutcome(t *testing.T) {
	for kind, want := range map[string]step.Outcome{"admit": step.NotRun, "tool": step.Unknown} {
		inVirtualTime(t, func(t *testing.T, w *world) {
			is := is.New(t)
			id := w.openProgram(t)
			w.stopAtGates(kind)
			call := charge(id, 1, "10")
			call.Deadline = time.Now().Add(time.Second)
			c := w.call(w.owner(), call)
			advance(time.Second)
			is.True(c.ended.Load())
			is.Equal(c.result.Outcome, want)
			is.Equal(w.totalEffects(), 0)
		})
	}
}

// A customer uses the id of another customer's program. The response to calls, sub-agents and
// repeats is the same as for an id that does not exist.
func TestOtherCustomersProgramIsNotFound(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *world) {
		is := is.New(t)
		id := w.openProgram(t)
		w.call(w.owner(), modelCall(id, 1, "secret"))
		otherCustomers := modelCall(id, 1, "secret")
		otherCustomers.Plan = &plan.Plan{Name: "other", Customer: "stranger"}
		unknownProgram := modelCall(program.NewID(w.owner().svc.Cohort()), 1, "secret")
		got, want := w.call(w.owner(), otherCustomers).result, w.call(w.owner(), unknownProgram).result
		is.Equal(got, want)
		is.Equal(got.Code, step.CodeNotFound)
		child := step.Call{Plan: otherCustomers.Plan, Parent: id, Model: otherCustomers.Model}
		is.Equal(w.call(w.owner(), child).result.Code, step.CodeNotFound)
	})
}

// The first call that reaches a successor opens a sub-agent, and the successor has not read the log
// of the former owner yet. The call must wait until the parent is adopted, as all other calls do,
// instead of being answered that its parent does not exist.
func TestSubAgentWaitsForParentAdoption(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *world) {
		is := is.New(t)
		parent := w.openProgram(t)
		old := w.owner()
		old.sealed = true
		n := w.start()
		n.adopting.Store(true)
		go func() {
			time.Sleep(300 * time.Millisecond)
			w.adoptAll(n, old, Tail{})
			n.adopting.Store(false)
		}()
		opened := n.svc.Open(context.Background(), testPlan, parent)
		is.Equal(opened.Outcome, step.Done)
		is.True(!n.adopting.Load())
	})
}

// An owner is paused during a repeatable tool call, and a successor takes over. The former owner
// resumes with the response and can't record it. If it returned the response as done, the successor
// would refuse the caller's next step forever because this one is missing. Instead the caller is
// asked to repeat the call, and the successor runs it again.
func TestOwnerPausedDuringRepeatableCall(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *world) {
		is := is.New(t)
		id := w.openProgram(t)
		w.stopAtGates("tool")
		first := w.call(w.owner(), toolStep(id, 1, "search", "trees"))
		n := w.takeOver(true, false)
		w.release(0, ok)
		is.Equal(first.result.Outcome, step.Unknown)
		is.True(first.result.RetryAfter > 0)
		w.stopAtGates()
		again := w.call(n, toolStep(id, 1, "search", "trees"))
		is.Equal(again.result.Outcome, step.Done)
		is.Equal(w.call(n, charge(id, 2, "10")).result.Outcome, step.Done)
	})
}

// It is unknown whether the response of a repeatable call is in the log. A caller that repeats the
// call gets no response until it is recorded: one returned from memory would be lost in a crash.
func TestRepeatOfUnrecordedResponse(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *world) {
		is := is.New(t)
		id := w.openProgram(t)
		w.stopAtGates("append")
		for range 2 {
			asked := w.call(w.owner(), toolStep(id, 1, "search", "trees"))
			w.release(0, dropped)
			is.Equal(asked.result.Outcome, step.Unknown)
			is.True(asked.result.RetryAfter > 0)
		}
		w.stopAtGates()
		is.Equal(w.call(w.owner(), toolStep(id, 1, "search", "trees")).result.Outcome, step.Done)
	})
}
