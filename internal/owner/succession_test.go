package owner

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/program"
	"foxhall/internal/step"
)

// An owner is paused in a search, which is step 1. A successor continues without it, and its step 1
// is a charge that may have run. The former owner resumes and finds its log sealed. If it reported
// the search's response for step 1, the caller would be answered that the charge was done, with the
// response of the search.
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

// The snapshot of one program of a shard is too large for a log entry. The program is not served and
// is listed as broken; the others continue. Otherwise its append would fail each try of the adoption,
// and calls to all other programs of the shard would wait forever.
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
		turn := program.RecordTurn(program.StepResult{Identity: program.StepIdentity{Number: 1}},
			program.Turn{Message: message("assistant", strings.Repeat("a", 1<<20))})
		old.records = append(old.records, records(large, state.NumberEvents(time.Now(), turn))...)
		n := w.takeOver(true, false)
		is.Equal(w.call(n, modelCall(large, 2, "more")).result.Code, step.CodeHistoryUncertain)
		is.Equal(w.call(n, modelCall(small, 1, "hello")).result.Outcome, step.Done)
	})
}

// A call whose path or idempotency key is longer than a program can keep for each of its steps is
// refused before anything is done.
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

// leaseLostAfterFirstCheck is the lease of an owner that is paused after it first checks the lease.
type leaseLostAfterFirstCheck struct{ checks int }

func (l *leaseLostAfterFirstCheck) Held() bool { l.checks++; return l.checks == 1 }

// An owner is paused in the append of a charge's intent. Meanwhile a successor lists the charge as
// unknown, an operator resolves it as not run, and the caller makes a new charge. If the owner sent
// the first charge when it resumes, there would be two. It checks its lease again and withdraws the
// intent, and "not run" is true.
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

// An owner is paused while the first attempt at a step fails, and a successor continues the program.
// Work.MaySend must tell the executor that no further attempt may be made.
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
