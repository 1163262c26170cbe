package owner

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/chat"
	"foxhall/internal/program"
	"foxhall/internal/step"
)

// An owner that was cut off held a turn and a new program with peers. After the
// take-over it comes back and offers them. They follow on what the successor
// has, so nothing is in doubt any more. Offered again, they change nothing; a
// program that went on without its turn keeps its course.
func TestLateRecordsOfFormerOwner(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *world) {
		is := is.New(t)
		id, other := w.openProgram(t), w.openProgram(t)
		w.call(w.owner(), modelCall(id, 1, "one"))
		w.call(w.owner(), modelCall(other, 1, "1st"))
		w.storeDown = true
		w.call(w.owner(), modelCall(id, 2, "two"))
		w.call(w.owner(), modelCall(other, 2, "2nd"))
		unseen := w.call(w.owner(), modelCall("", 1, "new")).result.Program
		w.storeDown = false
		old := w.owner()
		n := w.takeOver(false, false)
		fullConversation := modelCall(other, 2, "")
		fullConversation.Model.Messages = []chat.Message{message("user", "1st"), message("assistant", "answer 2"), message("user", "2nd again")}
		is.Equal(w.call(n, fullConversation).result.Outcome, step.Done)
		for range 2 {
			is.NoErr(n.svc.AdoptLate(context.Background(), old.svc.Cohort(), old.held))
		}
		is.Equal(w.call(n, modelCall(id, 3, "three")).result.Outcome, step.Done)
		is.Equal(w.call(n, modelCall(unseen, 2, "more")).result.Outcome, step.Done)
		is.Equal(w.call(n, modelCall(other, 3, "3rd")).result.Outcome, step.Done)
		is.Equal(w.engineRuns[6].history, []string{"one", "answer 1", "two", "answer 3", "three"})
		is.Equal(w.engineRuns[7].history, []string{"new", "answer 5", "more"})
		is.Equal(w.engineRuns[8].history, []string{"1st", "answer 2", "2nd again", "answer 6", "3rd"})
	})
}

// The answer to the append of late records is lost. They may be in the log, so
// the program goes on behind them; a later successor finds one course.
func TestLateRecordsAppendResponseLost(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *world) {
		is := is.New(t)
		id := w.openProgram(t)
		w.call(w.owner(), modelCall(id, 1, "one"))
		w.storeDown = true
		w.call(w.owner(), modelCall(id, 2, "two"))
		w.storeDown = false
		old := w.owner()
		n := w.takeOver(false, false)
		w.decide(func(*gate) string { return responseLost })
		is.True(n.svc.AdoptLate(context.Background(), old.svc.Cohort(), old.held) != nil)
		w.stopAtGates()
		fullConversation := modelCall(id, 2, "")
		fullConversation.Model.Messages = []chat.Message{message("user", "one"), message("assistant", "answer 1"), message("user", "2nd")}
		is.Equal(w.call(n, fullConversation).result.Code, step.CodeKeyReused)
		is.Equal(w.call(n, modelCall(id, 3, "three")).result.Outcome, step.Done)
		is.Equal(w.call(w.takeOver(true, false), modelCall(id, 4, "four")).result.Outcome, step.Done)
		is.Equal(w.engineRuns[3].history, []string{"one", "answer 1", "two", "answer 2", "three", "answer 3", "four"})
	})
}

// A charge is made while the store goes down; its outcome is held by peers that
// are lost with the owner's connection. The successor says "unknown". When the
// former owner is back and offers the outcome, the charge is settled.
func TestLateOutcomeSettlesCharge(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *world) {
		is := is.New(t)
		id := w.openProgram(t)
		w.stopAtGates("tool")
		first := w.call(w.owner(), charge(id, 1, "10"))
		w.storeDown = true
		w.release(0, ok)
		is.Equal(first.result.Outcome, step.Done)
		w.storeDown = false
		old := w.owner()
		n := w.takeOver(false, false)
		is.Equal(w.call(n, charge(id, 1, "10")).result.Outcome, step.Unknown)
		for range 2 {
			is.NoErr(n.svc.AdoptLate(context.Background(), old.svc.Cohort(), old.held))
		}
		is.Equal(string(w.call(n, charge(id, 1, "10")).result.Body), "did charge 10")
		is.Equal(n.svc.Earnings(time.Time{})[0].Steps, int64(1))
		is.Equal(w.totalEffects(), 1)
	})
}

// The store is down, a turn is held by peers, and they are lost with its owner.
// The successor can't tell whether turns are missing. It says so, to steps that
// only carry a number, to late repeats and for ids it does not know, instead of
// serving another history; a caller with its whole conversation may go on.
func TestHeldRecordsLost(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *world) {
		is := is.New(t)
		id := w.openProgram(t)
		seen := w.call(w.owner(), modelCall(id, 1, "one")).result.Turn
		w.storeDown = true
		w.call(w.owner(), modelCall(id, 2, "two"))
		unseen := w.openProgram(t)
		w.storeDown = false
		n := w.takeOver(false, false)
		for number := 2; number <= 3; number++ {
			r := w.call(n, modelCall(id, number, "two")).result
			is.Equal(r.Outcome, step.NotRun)
			is.Equal(r.Code, step.CodeHistoryUncertain)
			is.Equal(r.MissingStep, 2)
		}
		is.Equal(w.call(n, modelCall(unseen, 1, "x")).result.Code, step.CodeHistoryUncertain)
		once := charge(id, 2, "10") // its intent may be what was lost, whatever turn the caller has seen
		once.After = seen
		is.Equal(w.call(n, once).result.Code, step.CodeHistoryUncertain)
		is.Equal(len(w.engineRuns), 2)
		fullConversation := modelCall(id, 2, "")
		fullConversation.Model.Messages = []chat.Message{message("user", "one"), message("assistant", "answer 1"), message("user", "2nd")}
		is.Equal(w.call(n, fullConversation).result.Outcome, step.Done)
		is.Equal(w.call(n, modelCall(id, 3, "three")).result.Outcome, step.Done)
	})
}

// The append of a slice's snapshots fails. Before the adoption is called again,
// the former owner offers a turn and a charge's outcome, which come in the tail
// of the second call. The programs are resident from the first, without them:
// the caller's next step would be answered without the turn, unseen, and the
// charge stay unknown.
func TestRetriedAdoptionMergesTail(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *world) {
		is := is.New(t)
		old := w.owner()
		id, buys := w.openProgram(t), w.openProgram(t)
		w.call(old, modelCall(id, 1, "one"))
		w.stopAtGates("tool")
		w.call(old, charge(buys, 1, "7"))
		w.storeDown = true
		w.release(0, ok)
		w.call(old, modelCall(id, 2, "two"))
		w.storeDown, old.sealed = false, true
		n := w.start()
		adopt := func(p program.ID, decision string, tail []Record) error {
			w.decide(func(*gate) string { return decision })
			a := Adoption{Cohort: old.svc.Cohort(), Shard: p.Shard(), Tail: Tail{Records: recordsOf(p, tail)}}
			a.Records = recordsOf(p, old.records)
			return n.svc.Adopt(context.Background(), a)
		}
		for _, p := range []program.ID{id, buys} {
			is.True(adopt(p, refused, nil) != nil)
			is.NoErr(adopt(p, ok, old.held))
		}
		is.Equal(w.call(n, modelCall(id, 3, "three")).result.Outcome, step.Done)
		is.Equal(w.engineRuns[2].history, []string{"one", "answer 1", "two", "answer 2", "three"})
		is.Equal(string(w.call(n, charge(buys, 1, "7")).result.Body), "did charge 7")
	})
}

func recordsOf(id program.ID, list []Record) []Record {
	return slices.DeleteFunc(slices.Clone(list), func(r Record) bool { return r.Program != id })
}
