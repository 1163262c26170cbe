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
	opened := w.owner().svc.Open(context.Background(), buyerPlan, "")
	is.New(t).Equal(opened.Outcome, step.Done)
	return opened.Program
}

// stopAt leaves gates of the kinds to the test.
func (w *world) stopAtGates(kinds ...string) {
	w.decide(func(g *gate) string {
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

// A donor's charge is sent, the tool charges, and the owner dies before it has
// the answer. The donor asks again at the successor. The successor finds the
// intent without an outcome, so it says "unknown" and sends nothing; once the
// service's lookup knows the charge, the donor gets its answer.
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

// An owner is paused after its intent is in the log and before it sends. A
// successor takes over and says "unknown". The old owner wakes and sends: that
// is the one send. Its log is sealed, so it reports the answer to the
// successor, and gives it to its own caller; both tell the same.
func TestOwnerPausedBetweenIntentAndSend(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *world) {
		is := is.New(t)
		id := w.openProgram(t)
		w.stopAtGates("tool")
		first := w.call(w.owner(), charge(id, 1, "10"))
		n := w.takeOver(true, false)
		advance(time.Minute) // the service's lookup does not know the call yet, which settles nothing
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

// The answer to the append of an intent is lost; the intent may be in the log.
// The owner has not sent and must not, so the caller is told "not run", and a
// retry runs the step once. Had the owner died instead, the successor would
// say "unknown", since it can't see that nothing was sent.
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

// The log's store is down for the whole step. A charge is refused at once, in
// no time, as "not run" with a time to ask again; a model call goes on, its
// turn held by peers, and a successor serves it.
func TestStoreUnavailableDuringStep(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *world) {
		is := is.New(t)
		id := w.openProgram(t)
		w.storeDown = true
		w.stopAtGates("admit") // it is refused before it takes a place from anyone
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

// The balancer sends one charge to two instances, which both relay it to the
// owner. The second arrives while the first runs and joins it: one charge, and
// both get its answer. A third, after the end, gets it from the record.
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

// A charge without a program, or without a number and key, can't be told from
// its repeat. It is refused before anything is done.
func TestUnidentifiedChargeIsRefused(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *world) {
		is := is.New(t)
		unopened := w.call(w.owner(), charge("", 1, "10"))
		is.Equal(unopened.result.Code, step.CodeBadRequest)
		unnamed := w.call(w.owner(), charge(w.openProgram(t), 0, "10"))
		is.Equal(unnamed.result.Code, step.CodeBadRequest)
		is.Equal(w.totalEffects(), 0)
	})
}

// A caller goes away while its answer streams. Nobody waits, so the model call
// is cancelled and its slot is free, unless a repeat has joined it. A charge
// that was sent is not cancelled: it runs on and its outcome is recorded.
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

// A streamed answer is whole, but its turn is not yet durable. The caller has
// the text so far and neither the finish reason nor the end mark; it gets them
// with the durable turn, and never if the turn can't be made durable.
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
			is.Equal(c.sink.given(), "first second ")
			w.release(0, fault)
			if fault == ok {
				is.Equal(c.sink.given(), `first second "finish_reason":"stop"[DONE]`)
				return
			}
			is.Equal(c.sink.given(), "first second ")
			is.Equal(c.result.Outcome, step.Unknown)
			w.stopAtGates()
			again := w.call(w.owner(), call)
			is.Equal(again.result.Outcome, step.Done)
			is.Equal(again.result.Answer, message("assistant", "answer 1")) // the run is not repeated
		})
	}
}

// An owner is paused while a model call waits for its place, and a successor
// runs the program on. The owner wakes: its lease tells that it was away, so
// the call is not sent, the engines see the program's calls in order, and the
// refusal is true.
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

// An answer is too large for any entry of the log. It is not kept and not
// given out as whole, and the program goes on without it.
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

// A repeat joins a streamed answer halfway, and a third caller wants it whole.
// The repeat gets the stream from its beginning, the third the answer in one
// body, and the engine is asked once.
func TestRepeatJoinsAStream(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *world) {
		is := is.New(t)
		id := w.openProgram(t)
		w.stopAtGates("model")
		streamed := modelCall(id, 1, "hello")
		streamed.Model.Stream = true
		first, second := w.call(w.owner(), streamed), w.call(w.owner(), streamed)
		nonStreaming := w.call(w.owner(), modelCall(id, 1, "hello"))
		is.Equal(second.sink.given(), first.sink.given())
		w.release(0, ok)
		for _, c := range []*caller{first, second} {
			is.Equal(c.sink.given(), `first second "finish_reason":"stop"[DONE]`)
			is.Equal(len(c.result.Body), 0)
		}
		is.True(strings.Contains(string(nonStreaming.result.Body), "answer 1"))
		is.Equal(len(w.engineRuns), 1)
	})
}

// Two steps cross in the balancer: step 2 arrives first and waits for step 1.
// A step whose predecessor does not come is refused with the missing number.
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

// A tool hangs. A charge that was sent ends at the plan's step time as
// "unknown", is listed, and an operator resolves it.
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

// A caller's deadline passes. While the step still waits for its place, the
// answer is "not run"; once a charge was sent it is "unknown".
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

// A stranger uses another customer's program id. The answer is the same as for
// an id that does not exist, for calls, sub-agents and repeats.
func TestOtherCustomersProgramIsNotFound(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *world) {
		is := is.New(t)
		id := w.openProgram(t)
		w.call(w.owner(), modelCall(id, 1, "secret"))
		stranger := modelCall(id, 1, "secret")
		stranger.Plan = &plan.Plan{Name: "other", Customer: "stranger"}
		nowhere := modelCall(program.NewID(w.owner().svc.Cohort()), 1, "secret")
		got, want := w.call(w.owner(), stranger).result, w.call(w.owner(), nowhere).result
		is.Equal(got, want)
		is.Equal(got.Code, step.CodeNotFound)
		child := step.Call{Plan: stranger.Plan, Parent: id, Model: stranger.Model}
		is.Equal(w.call(w.owner(), child).result.Code, step.CodeNotFound)
	})
}

// A program's sub-agent is the first call that reaches the successor, which has
// not read the log of the former owner yet. It was told that its parent does
// not exist, and gave up, although the parent went on. It waits for the parent
// to be taken over, as each other call does.
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
		opened := n.svc.Open(context.Background(), buyerPlan, parent)
		is.Equal(opened.Outcome, step.Done)
		is.True(!n.adopting.Load())
	})
}

// An owner is paused while a service looks something up, which may be done
// again, and a successor takes over. The old owner wakes with the answer and
// can't record it. It gave the answer to its caller as done; the caller's next
// step then came too early for the successor, for ever. The caller is told to
// ask again, and the successor looks it up anew.
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

// A repeatable call's answer can't be made durable: whether it is in the log is
// not known. Its caller asks again and again, and is told no answer until it is
// recorded; the repeat was answered as done from memory, which a crash forgets.
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
