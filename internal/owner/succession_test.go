package owner

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/program"
	"foxhall/internal/step"
)

// An owner is paused in a search, step 1. A successor runs on without it, and
// its step 1 is a charge that may have run. The old owner wakes, its log is
// sealed, and it reported the search's answer under the number 1: the donor
// was told that the charge was done, with the search's answer.
func TestReportOfDifferentStepIsIgnored(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *world) {
		is := is.New(t)
		id := w.openProgram(t)
		w.stopAtGates("tool")
		search := w.call(w.owner(), toolStep(id, 1, "search", "trees"))
		n := w.takeOver(true, false)
		w.call(n, charge(id, 1, "10"))
		w.release(1, dropped)
		w.release(0, ok)
		is.Equal(search.result.Outcome, step.Unknown)
		advance(time.Minute)
		is.Equal(w.reportCount, 0)
		is.Equal(w.call(n, charge(id, 1, "10")).result.Outcome, step.Unknown)
	})
}

// One program of a slice has a snapshot that no entry holds. Its append failed
// the adoption each time, and the callers of all others in the slice waited for
// good. That one is not served and listed as broken; the others go on.
func TestTooLargeProgramDoesNotBlockShard(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *world) {
		is := is.New(t)
		large, small := w.openProgram(t), w.openProgram(t)
		old := w.owner()
		state := &program.State{ID: large}
		for _, r := range old.records {
			if event, err := program.Decode(r.Event); err == nil && r.Program == large {
				is.NoErr(state.Apply(event))
			}
		}
		turn := program.RecordTurn(program.StepResult{Head: program.StepIdentity{Number: 1}},
			program.Turn{Message: message("assistant", strings.Repeat("a", 1<<20))})
		old.records = append(old.records, records(large, state.NumberEvents(time.Now(), turn))...)
		n := w.takeOver(true, false)
		is.Equal(w.call(n, modelCall(large, 2, "more")).result.Code, step.CodeHistoryUncertain)
		is.Equal(w.call(n, modelCall(small, 1, "hello")).result.Outcome, step.Done)
	})
}

// A call's path, or its key, is longer than any program can carry for each of
// its steps. It is refused before anything is done, truly as not run.
func TestLongNamesAreRefused(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *world) {
		is := is.New(t)
		id, long := w.openProgram(t), strings.Repeat("q", 3<<10)
		path, key := toolStep(id, 1, "search", ""), modelCall(id, 1, "hello")
		path.Tool.Path, key.IdempotencyKey = "/"+long, long
		is.Equal(w.call(w.owner(), path).result.Code, step.CodeBounds)
		is.Equal(w.call(w.owner(), key).result.Code, step.CodeBounds)
	})
}

// heldOnce is the lease of an owner that is paused after its first look at it.
type leaseLostAfterFirstCheck struct{ checks int }

func (l *leaseLostAfterFirstCheck) Held() bool { l.checks++; return l.checks == 1 }

// An owner is paused in the append of a charge's intent. Meanwhile a successor
// lists the charge as unknown, an operator says that it did not run, and the
// donor pays anew. The owner wakes and sent it all the same: two charges. It
// looks at its lease again, takes the intent back, and "not run" is true.
func TestOwnerPausedDuringIntentAppend(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *world) {
		is := is.New(t)
		id, svc := w.openProgram(t), w.owner().svc
		svc.o.Lease = &leaseLostAfterFirstCheck{}
		paused := w.call(w.owner(), charge(id, 1, "10"))
		is.Equal(w.totalEffects(), 0)
		is.Equal(paused.result.Outcome, step.NotRun)
		is.Equal(paused.result.Code, step.CodeOwnerUnreachable)
		svc.o.Lease = w.owner()
		is.Equal(w.call(w.owner(), charge(id, 1, "10")).result.Outcome, step.Done)
		is.Equal(w.totalEffects(), 1)
	})
}

// An owner is paused while the first attempt at a step fails, and a successor
// runs the program on. The executor must be told that it may not try again.
func TestReplacedOwnerMayNotSendAgain(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *world) {
		is := is.New(t)
		id := w.openProgram(t)
		w.stopAtGates("tool")
		w.call(w.owner(), charge(id, 1, "10"))
		work := w.gates[0].work
		is.True(work.MaySend())
		w.takeOver(true, false)
		is.True(!work.MaySend())
	})
}
