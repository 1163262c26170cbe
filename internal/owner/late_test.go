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

// An isolated owner has a turn and a new program held by peers, and offers them after the take-over.
// Records that continue the successor's history are adopted, and the history is certain again.
// Offering them twice changes nothing. A program that has continued without its turn keeps its
// history.
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

// The response to the append of late records is lost. They may be in the log, so the program
// continues after them, and a later successor finds one consistent history.
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
		w.setDecisions(func(*gate) string { return responseLost })
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

// The store becomes unavailable during a charge, and the peers that hold its outcome are unreachable
// together with the owner. The successor answers "unknown". The charge is settled once the former
// owner offers the outcome.
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

// The store is unavailable, a turn is held by peers, and these are lost together with the owner. The
// successor can't know whether turns are missing. It reports the history as uncertain to steps that
// only carry a number, to late repeats and for unknown ids, instead of serving a different history.
// A caller that sends its full conversation may continue.
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
		once := charge(id, 2, "10") // its intent may have been lost, whatever turn the caller has seen
		once.AfterTurn = seen
		is.Equal(w.call(n, once).result.Code, step.CodeHistoryUncertain)
		is.Equal(len(w.engineRuns), 2)
		fullConversation := modelCall(id, 2, "")
		fullConversation.Model.Messages = []chat.Message{message("user", "one"), message("assistant", "answer 1"), message("user", "2nd")}
		is.Equal(w.call(n, fullConversation).result.Outcome, step.Done)
		is.Equal(w.call(n, modelCall(id, 3, "three")).result.Outcome, step.Done)
	})
}

// The append of a shard's snapshots fails. Before the adoption is retried, the former owner offers a
// turn and the outcome of a charge, which are in the tail of the second try. The programs are
// resident since the first try; if the second did not merge the tail, the next step would be answered
// without the turn, unnoticed, and the charge would stay unknown.
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
			w.setDecisions(func(*gate) string { return decision })
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
