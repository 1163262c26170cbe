package history

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"foxhall/internal/gateway"
	"foxhall/internal/history/historypb"
)

const (
	east, west, north = "east", "west", "north"
	// aloneIn is how long a last keeper may take until it serves: the silence, the
	// witnesses, the store, and a turn's caller that comes again.
	aloneIn = 2 * suspectTimeout
)

// newLoneWorld returns three keepers, a and b in the east and c in the west, with
// entries there and in the north.
func newLoneWorld(t *testing.T, disksLost int) *world {
	w := newWorld(t, 3, disksLost)
	w.machines[0].dataCentre, w.machines[1].dataCentre, w.machines[2].dataCentre = east, east, west
	w.entriesOnly = []string{north}
	return w
}

// inLoneWorld runs a test in such a world that is whole.
func inLoneWorld(t *testing.T, disksLost int, test func(w *world, fail func(error))) {
	inWorldOf(t, func(t *testing.T) *world { return newLoneWorld(t, disksLost) }, test)
}

// inWorldOf runs a test on virtual time over keepers that are whole.
func inWorldOf(t *testing.T, build func(t *testing.T) *world, test func(w *world, fail func(error))) {
	var failed error
	synctest.Test(t, func(t *testing.T) {
		w := build(t)
		w.startAll()
		time.Sleep(settledIn)
		test(w, func(err error) {
			if failed == nil && err != nil {
				failed = err
			}
		})
		if failed != nil {
			t.Log(strings.Join(w.trace.lines, "\n"))
		}
		w.stopAll()
		time.Sleep(releaseTimeout)
	})
	is.New(t).NoErr(failed)
}

// find looks a turn up, for a program of its own.
func find(w *world, turn string) error {
	_, err := w.client(entryIn(north)).Reserve(context.Background(), gateway.Reservation{
		Program: "heir-" + turn, Turn: "heir", Previous: turn, MaxOutputTokens: 1, Budget: 10,
	})
	return errors.Wrapf(err, "after %s", turn)
}

func (w *world) powerAll() {
	for _, m := range w.machines {
		m.powerOff(0)
	}
	for _, m := range w.machines {
		m.restart()
	}
}

// Callers everywhere lose each turn for the whole of a cut: two of three keepers
// are cut off with their data centre, and the third has nobody to share with. It
// must serve alone, and what it said must outlast a loss of everyone's power.
func TestLastKeeperServesAlone(t *testing.T) {
	inLoneWorld(t, 1, func(w *world, fail func(error)) {
		fail(keep(w.client(entryIn(west)), "p", "first", ""))
		w.cutDataCentre(east, true)
		time.Sleep(aloneIn)
		began := time.Now()
		fail(keep(w.client(entryIn(west)), "p", "second", "first"))
		if took := time.Since(began); took > suspectTimeout {
			fail(errors.Errorf("served after %v", took))
		}
		w.powerAll()
		time.Sleep(startupGrace + aloneIn)
		fail(keep(w.client(entryIn(north)), "p", "third", "second"))
		w.cutDataCentre(east, false)
		time.Sleep(settledIn)
		w.powerAll()
		time.Sleep(settledIn)
		if !w.whole() || len(w.role("p").Backups) != 1 {
			fail(errors.New("not on two disks after the cut"))
		}
		fail(find(w, "third"))
	})
}

// A turn is lost that its caller saw end. A keeper is cut off with its data
// centre but reaches the store; taking its slices alone it would serve callers
// there, and its disk, the one that may be lost, goes before the cut is over.
func TestKeeperThatIsCutOffTakesNothingAlone(t *testing.T) {
	inLoneWorld(t, 1, func(w *world, fail func(error)) {
		w.cutDataCentre(west, true)
		began := time.Now()
		for time.Since(began) < 5*time.Second {
			if keep(w.client(entryIn(west)), "p", "alone", "") == nil {
				fail(errors.New("a turn was kept on the disk of the keeper that is cut off"))
			}
			time.Sleep(wayTime)
		}
		w.machine("c").wipe()
		w.machine("c").start()
		fail(keep(w.client(entryIn(north)), "p", "first", ""))
		w.cutDataCentre(west, false)
		time.Sleep(settledIn)
		fail(keep(w.client(entryIn(west)), "p", "second", "first"))
	})
}

// A turn is lost that its caller saw end. Only the way between the keepers of a
// slice is cut, and each takes the other for lost. Entries hear both, so that
// neither may go on alone.
func TestKeepersThatLoseEachOtherDoNotGoAlone(t *testing.T) {
	inLoneWorld(t, 1, func(w *world, fail func(error)) {
		w.machine("b").stop()
		time.Sleep(settledIn)
		w.cut("a", "c", true)
		time.Sleep(settledIn)
		for s, role := range w.assigned().Shards {
			if len(role.Backups) == 0 {
				fail(errors.Errorf("slice %d is held by %s alone", s, role.Primary))
			}
		}
		w.cut("a", "c", false)
		time.Sleep(settledIn)
		fail(keep(w.client(entryIn(north)), "p", "first", ""))
	})
}

func (w *world) assigned() Assignment {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.assignment
}

// A turn is lost that its caller saw end. A last keeper was frozen; the others are
// back meanwhile and whole, and its own disk is the next to go. What the entries
// said of the others before must not count after it woke.
func TestLastKeeperThatWokeServesNothingByAnOldWord(t *testing.T) {
	inLoneWorld(t, 1, func(w *world, fail func(error)) {
		w.cutDataCentre(east, true)
		time.Sleep(aloneIn)
		k := w.machine("c").process.keeper
		k.mu.Lock()
		defer k.mu.Unlock()
		s := k.shards[ShardOf("p")]
		if v := k.servingVerdict(s, time.Now()); v != historypb.Verdict_DONE {
			fail(errors.Errorf("alone: %v", v))
		}
		k.mu.Unlock()
		k.ResetAfterPause()
		k.mu.Lock()
		if v := k.servingVerdict(s, time.Now()); v == historypb.Verdict_DONE {
			fail(errors.New("serves by an old word"))
		}
	})
}

// A turn is lost that its caller saw end. A last keeper hears the others again but
// can't reach the store, which alone makes them partners. Once they no longer
// count as lost its own disk may go, so that it must stop to acknowledge.
func TestLastKeeperStopsWhereTheOthersAreBackForLong(t *testing.T) {
	inLoneWorld(t, 1, func(w *world, fail func(error)) {
		w.cutDataCentre(east, true)
		time.Sleep(aloneIn)
		fail(keep(w.client(entryIn(north)), "p", "first", ""))
		w.setStore(true)
		w.cutDataCentre(east, false)
		time.Sleep(rejoinGrace + suspectTimeout)
		if keep(w.client(entryIn(north)), "p", "on-one-disk", "first") == nil {
			fail(errors.New("a turn is on one disk, though no other is lost"))
		}
		w.setStore(false)
		time.Sleep(settledIn)
		fail(keep(w.client(entryIn(north)), "p", "second", "first"))
	})
}

// Callers lose each turn for a second time: a partner is back and is lost again
// while it is filled. The last keeper must take the slices alone once more.
func TestReturnedPartnerIsLostDuringItsFilling(t *testing.T) {
	inLoneWorld(t, 1, func(w *world, fail func(error)) {
		w.cutDataCentre(east, true)
		time.Sleep(aloneIn)
		fail(keep(w.client(entryIn(north)), "p", "first", ""))
		w.cutDataCentre(east, false)
		for len(w.role("p").Backups) == 0 {
			time.Sleep(wayTime)
		}
		w.cutDataCentre(east, true)
		time.Sleep(aloneIn)
		fail(keep(w.client(entryIn(north)), "p", "second", "first"))
		w.cutDataCentre(east, false)
		time.Sleep(settledIn)
		fail(find(w, "second"))
	})
}

// Callers lose each turn for longer than the store is away: it is silent as a
// keeper is left alone. The keeper must take its slices soon after its return.
func TestStoreIsSilentAsTheLastKeeperIsLeftAlone(t *testing.T) {
	inLoneWorld(t, 1, func(w *world, fail func(error)) {
		w.setStore(true)
		w.cutDataCentre(east, true)
		time.Sleep(3 * time.Second)
		if keep(w.client(entryIn(north)), "p", "too-early", "") == nil {
			fail(errors.New("kept on one disk with no change of holders"))
		}
		w.setStore(false)
		time.Sleep(aloneIn)
		fail(keep(w.client(entryIn(north)), "p", "first", ""))
	})
}

// Where two disks may be lost, a keeper is left alone only after two are: while one
// is lost, its partner's disk may be the second to go.
func TestTwoOfThreeAreLostWhereTwoMayBe(t *testing.T) {
	inLoneWorld(t, 2, func(w *world, fail func(error)) {
		fail(keep(w.client(entryIn(north)), "p", "first", ""))
		w.machine("a").stop()
		time.Sleep(aloneIn)
		for s, role := range w.assigned().Shards {
			if len(role.Backups) != 1 {
				fail(errors.Errorf("slice %d has %d partners", s, len(role.Backups)))
			}
		}
		w.machine("b").stop()
		time.Sleep(aloneIn)
		fail(keep(w.client(entryIn(north)), "p", "second", "first"))
		w.machine("a").start()
		w.machine("b").start()
		time.Sleep(settledIn)
		fail(find(w, "second"))
	})
}

// Where two disks may be lost and there are only two keepers, the loss of one leaves
// no room for the loss of the other.
func TestLastOfTwoKeepersDoesNotGoAloneWhereTwoMayBeLost(t *testing.T) {
	twoKeepers := func(t *testing.T) *world {
		w := newLoneWorld(t, 2)
		w.machines = w.machines[1:]
		return w
	}
	inWorldOf(t, twoKeepers, func(w *world, fail func(error)) {
		w.machine("b").stop()
		time.Sleep(settledIn)
		for s, role := range w.assigned().Shards {
			if len(role.Backups) == 0 {
				fail(errors.Errorf("slice %d is held by %s alone", s, role.Primary))
			}
		}
	})
}

// A last keeper is ordered to be emptied. It must go on until another is back,
// share its slices with that one, and be empty only when they are whole without it.
func TestLastKeeperIsOrderedToBeEmptied(t *testing.T) {
	inLoneWorld(t, 1, func(w *world, fail func(error)) {
		w.cutDataCentre(east, true)
		time.Sleep(aloneIn)
		w.setRetiring("c")
		time.Sleep(aloneIn)
		fail(keep(w.client(entryIn(north)), "p", "first", ""))
		if w.machine("c").process.keeper.Drained() {
			fail(errors.New("the last keeper says that it is empty"))
		}
		w.cutDataCentre(east, false)
		time.Sleep(settledIn)
		if !w.machine("c").process.keeper.Drained() {
			fail(errors.Errorf("not emptied: %v", w.role("p")))
		}
		w.machine("c").wipe()
		fail(find(w, "first"))
	})
}

// A slice is never served again: its last keeper lost its disk too, which is more
// than may be lost. The one that had all of it before must take it back.
func TestSliceOfALostLastKeeperIsTakenBack(t *testing.T) {
	inLoneWorld(t, 1, func(w *world, fail func(error)) {
		fail(keep(w.client(entryIn(north)), "p", "first", ""))
		w.cutDataCentre(east, true)
		time.Sleep(aloneIn)
		w.machine("c").wipe()
		w.cutDataCentre(east, false)
		w.machine("c").start()
		time.Sleep(settledIn)
		fail(keep(w.client(entryIn(north)), "p", "second", "first"))
	})
}

// Entries are asked about a keeper that is gone for good as long as it is registered,
// by all other keepers, ten times a second. Once it holds nothing, nobody needs to
// know of it.
func TestEntriesAreNotAskedAboutAKeeperThatHoldsNothing(t *testing.T) {
	inLoneWorld(t, 1, func(w *world, fail func(error)) {
		w.machine("b").stop()
		time.Sleep(settledIn)
		before := w.witnessed.Load()
		time.Sleep(time.Minute)
		if asked := w.witnessed.Load() - before; asked > 0 {
			fail(errors.Errorf("asked %d times in a minute", asked))
		}
	})
}

// An assignment of another version, or one written by hand, names keepers that
// are not there or no partners at all. A keeper must judge it and stay up.
func TestOddAssignmentsAreJudged(t *testing.T) {
	inLoneWorld(t, 1, func(w *world, fail func(error)) {
		odd, err := DecodeAssignment([]byte(`{"slices":[{"epoch":90,"primary":"c"},{"epoch":91,"primary":"nobody","partners":null},
			{"epoch":92,"primary":"","partners":["c","c","x"]}],"more":{"x":1}}`))
		fail(err)
		w.mu.Lock()
		w.assignment, w.version = odd, w.version+1
		w.mu.Unlock()
		time.Sleep(settledIn)
		for _, m := range w.machines {
			if _, err := m.process.keeper.Status(context.Background(), &historypb.StatusRequest{}); err != nil {
				fail(err)
			}
		}
	})
}
