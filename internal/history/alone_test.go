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
	soleHolderTime = 2 * suspectTimeout
)

// newLoneWorld returns three keepers, a and b in the east and c in the west, with
// entries there and in the north.
func newThreeKeeperCluster(t *testing.T, maxDiskFailures int) *cluster {
	cl := newCluster(t, 3, maxDiskFailures)
	cl.machines[0].dataCentre, cl.machines[1].dataCentre, cl.machines[2].dataCentre = east, east, west
	cl.entryOnlyDataCentres = []string{north}
	return cl
}

// inLoneWorld runs a test in such a world that is whole.
func testOnThreeKeepers(t *testing.T, maxDiskFailures int, test func(cl *cluster, fail func(error))) {
	testOnCluster(t, func(t *testing.T) *cluster { return newThreeKeeperCluster(t, maxDiskFailures) }, test)
}

// inWorldOf runs a test on virtual time over keepers that are whole.
func testOnCluster(t *testing.T, build func(t *testing.T) *cluster, test func(cl *cluster, fail func(error))) {
	var failed error
	synctest.Test(t, func(t *testing.T) {
		cl := build(t)
		cl.startAll()
		time.Sleep(convergenceTime)
		test(cl, func(err error) {
			if failed == nil && err != nil {
				failed = err
			}
		})
		if failed != nil {
			t.Log(strings.Join(cl.trace.lines, "\n"))
		}
		cl.stopAll()
		time.Sleep(releaseTimeout)
	})
	is.New(t).NoErr(failed)
}

// find looks a turn up, for a program of its own.
func findTurn(cl *cluster, turn string) error {
	_, err := cl.client(entryIn(north)).Reserve(context.Background(), gateway.Reservation{
		Program: "heir-" + turn, Turn: "heir", Previous: turn, MaxOutputTokens: 1, Budget: 10,
	})
	return errors.Wrapf(err, "after %s", turn)
}

func (cl *cluster) powerCycleAll() {
	for _, m := range cl.machines {
		m.powerOff(0)
	}
	for _, m := range cl.machines {
		m.restart()
	}
}

// Callers everywhere lose each turn for the whole of a cut: two of three keepers
// are cut off with their data centre, and the third has nobody to share with. It
// must serve alone, and what it said must outlast a loss of everyone's power.
func TestLastKeeperServesAsSoleHolder(t *testing.T) {
	testOnThreeKeepers(t, 1, func(cl *cluster, fail func(error)) {
		fail(retainTurn(cl.client(entryIn(west)), "p", "first", ""))
		cl.setDataCentreIsolated(east, true)
		time.Sleep(soleHolderTime)
		start := time.Now()
		fail(retainTurn(cl.client(entryIn(west)), "p", "second", "first"))
		if took := time.Since(start); took > suspectTimeout {
			fail(errors.Errorf("served after %v", took))
		}
		cl.powerCycleAll()
		time.Sleep(startupGrace + soleHolderTime)
		fail(retainTurn(cl.client(entryIn(north)), "p", "third", "second"))
		cl.setDataCentreIsolated(east, false)
		time.Sleep(convergenceTime)
		cl.powerCycleAll()
		time.Sleep(convergenceTime)
		if !cl.fullyReplicated() || len(cl.roleOf("p").Backups) != 1 {
			fail(errors.New("not on two disks after the cut"))
		}
		fail(findTurn(cl, "third"))
	})
}

// A turn is lost that its caller saw end. A keeper is cut off with its data
// centre but reaches the store; taking its slices alone it would serve callers
// there, and its disk, the one that may be lost, goes before the cut is over.
func TestIsolatedKeeperDoesNotBecomeSoleHolder(t *testing.T) {
	testOnThreeKeepers(t, 1, func(cl *cluster, fail func(error)) {
		cl.setDataCentreIsolated(west, true)
		start := time.Now()
		for time.Since(start) < 5*time.Second {
			if retainTurn(cl.client(entryIn(west)), "p", "alone", "") == nil {
				fail(errors.New("a turn was kept on the disk of the keeper that is cut off"))
			}
			time.Sleep(messageDelay)
		}
		cl.machine("c").wipe()
		cl.machine("c").start()
		fail(retainTurn(cl.client(entryIn(north)), "p", "first", ""))
		cl.setDataCentreIsolated(west, false)
		time.Sleep(convergenceTime)
		fail(retainTurn(cl.client(entryIn(west)), "p", "second", "first"))
	})
}

// A turn is lost that its caller saw end. Only the way between the keepers of a
// slice is cut, and each takes the other for lost. Entries hear both, so that
// neither may go on alone.
func TestPartitionedHoldersDoNotBecomeSoleHolders(t *testing.T) {
	testOnThreeKeepers(t, 1, func(cl *cluster, fail func(error)) {
		cl.machine("b").stop()
		time.Sleep(convergenceTime)
		cl.setLinkDown("a", "c", true)
		time.Sleep(convergenceTime)
		for s, role := range cl.currentAssignment().Shards {
			if len(role.Backups) == 0 {
				fail(errors.Errorf("slice %d is held by %s alone", s, role.Primary))
			}
		}
		cl.setLinkDown("a", "c", false)
		time.Sleep(convergenceTime)
		fail(retainTurn(cl.client(entryIn(north)), "p", "first", ""))
	})
}

func (cl *cluster) currentAssignment() Assignment {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.assignment
}

// A turn is lost that its caller saw end. A last keeper was frozen; the others are
// back meanwhile and whole, and its own disk is the next to go. What the entries
// said of the others before must not count after it woke.
func TestSoleHolderDiscardsLossEvidenceAfterPause(t *testing.T) {
	testOnThreeKeepers(t, 1, func(cl *cluster, fail func(error)) {
		cl.setDataCentreIsolated(east, true)
		time.Sleep(soleHolderTime)
		k := cl.machine("c").process.keeper
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
func TestSoleHolderStopsServingAfterOthersReturn(t *testing.T) {
	testOnThreeKeepers(t, 1, func(cl *cluster, fail func(error)) {
		cl.setDataCentreIsolated(east, true)
		time.Sleep(soleHolderTime)
		fail(retainTurn(cl.client(entryIn(north)), "p", "first", ""))
		cl.setStoreUnavailable(true)
		cl.setDataCentreIsolated(east, false)
		time.Sleep(rejoinGrace + suspectTimeout)
		if retainTurn(cl.client(entryIn(north)), "p", "on-one-disk", "first") == nil {
			fail(errors.New("a turn is on one disk, though no other is lost"))
		}
		cl.setStoreUnavailable(false)
		time.Sleep(convergenceTime)
		fail(retainTurn(cl.client(entryIn(north)), "p", "second", "first"))
	})
}

// Callers lose each turn for a second time: a partner is back and is lost again
// while it is filled. The last keeper must take the slices alone once more.
func TestBackupLossDuringTransferLeavesSoleHolder(t *testing.T) {
	testOnThreeKeepers(t, 1, func(cl *cluster, fail func(error)) {
		cl.setDataCentreIsolated(east, true)
		time.Sleep(soleHolderTime)
		fail(retainTurn(cl.client(entryIn(north)), "p", "first", ""))
		cl.setDataCentreIsolated(east, false)
		for len(cl.roleOf("p").Backups) == 0 {
			time.Sleep(messageDelay)
		}
		cl.setDataCentreIsolated(east, true)
		time.Sleep(soleHolderTime)
		fail(retainTurn(cl.client(entryIn(north)), "p", "second", "first"))
		cl.setDataCentreIsolated(east, false)
		time.Sleep(convergenceTime)
		fail(findTurn(cl, "second"))
	})
}

// Callers lose each turn for longer than the store is away: it is silent as a
// keeper is left alone. The keeper must take its slices soon after its return.
func TestLastKeeperServesOnceStoreIsAvailable(t *testing.T) {
	testOnThreeKeepers(t, 1, func(cl *cluster, fail func(error)) {
		cl.setStoreUnavailable(true)
		cl.setDataCentreIsolated(east, true)
		time.Sleep(3 * time.Second)
		if retainTurn(cl.client(entryIn(north)), "p", "too-early", "") == nil {
			fail(errors.New("kept on one disk with no change of holders"))
		}
		cl.setStoreUnavailable(false)
		time.Sleep(soleHolderTime)
		fail(retainTurn(cl.client(entryIn(north)), "p", "first", ""))
	})
}

// Where two disks may be lost, a keeper is left alone only after two are: while one
// is lost, its partner's disk may be the second to go.
func TestSoleHolderNeedsTwoLossesIfTwoDisksMayFail(t *testing.T) {
	testOnThreeKeepers(t, 2, func(cl *cluster, fail func(error)) {
		fail(retainTurn(cl.client(entryIn(north)), "p", "first", ""))
		cl.machine("a").stop()
		time.Sleep(soleHolderTime)
		for s, role := range cl.currentAssignment().Shards {
			if len(role.Backups) != 1 {
				fail(errors.Errorf("slice %d has %d partners", s, len(role.Backups)))
			}
		}
		cl.machine("b").stop()
		time.Sleep(soleHolderTime)
		fail(retainTurn(cl.client(entryIn(north)), "p", "second", "first"))
		cl.machine("a").start()
		cl.machine("b").start()
		time.Sleep(convergenceTime)
		fail(findTurn(cl, "second"))
	})
}

// Where two disks may be lost and there are only two keepers, the loss of one leaves
// no room for the loss of the other.
func TestLastOfTwoKeepersIsNoSoleHolderIfTwoDisksMayFail(t *testing.T) {
	twoKeepers := func(t *testing.T) *cluster {
		cl := newThreeKeeperCluster(t, 2)
		cl.machines = cl.machines[1:]
		return cl
	}
	testOnCluster(t, twoKeepers, func(cl *cluster, fail func(error)) {
		cl.machine("b").stop()
		time.Sleep(convergenceTime)
		for s, role := range cl.currentAssignment().Shards {
			if len(role.Backups) == 0 {
				fail(errors.Errorf("slice %d is held by %s alone", s, role.Primary))
			}
		}
	})
}

// A last keeper is ordered to be emptied. It must go on until another is back,
// share its slices with that one, and be empty only when they are whole without it.
func TestRetiringSoleHolderDrainsOnceOthersAreComplete(t *testing.T) {
	testOnThreeKeepers(t, 1, func(cl *cluster, fail func(error)) {
		cl.setDataCentreIsolated(east, true)
		time.Sleep(soleHolderTime)
		cl.setRetiring("c")
		time.Sleep(soleHolderTime)
		fail(retainTurn(cl.client(entryIn(north)), "p", "first", ""))
		if cl.machine("c").process.keeper.Drained() {
			fail(errors.New("the last keeper says that it is empty"))
		}
		cl.setDataCentreIsolated(east, false)
		time.Sleep(convergenceTime)
		if !cl.machine("c").process.keeper.Drained() {
			fail(errors.Errorf("not emptied: %v", cl.roleOf("p")))
		}
		cl.machine("c").wipe()
		fail(findTurn(cl, "first"))
	})
}

// A slice is never served again: its last keeper lost its disk too, which is more
// than may be lost. The one that had all of it before must take it back.
func TestEarlierHolderRecoversShardOfLostSoleHolder(t *testing.T) {
	testOnThreeKeepers(t, 1, func(cl *cluster, fail func(error)) {
		fail(retainTurn(cl.client(entryIn(north)), "p", "first", ""))
		cl.setDataCentreIsolated(east, true)
		time.Sleep(soleHolderTime)
		cl.machine("c").wipe()
		cl.setDataCentreIsolated(east, false)
		cl.machine("c").start()
		time.Sleep(convergenceTime)
		fail(retainTurn(cl.client(entryIn(north)), "p", "second", "first"))
	})
}

// Entries are asked about a keeper that is gone for good as long as it is registered,
// by all other keepers, ten times a second. Once it holds nothing, nobody needs to
// know of it.
func TestWitnessesAreNotQueriedAboutKeeperWithoutShards(t *testing.T) {
	testOnThreeKeepers(t, 1, func(cl *cluster, fail func(error)) {
		cl.machine("b").stop()
		time.Sleep(convergenceTime)
		before := cl.witnessQueries.Load()
		time.Sleep(time.Minute)
		if queries := cl.witnessQueries.Load() - before; queries > 0 {
			fail(errors.Errorf("asked %d times in a minute", queries))
		}
	})
}

// An assignment of another version, or one written by hand, names keepers that
// are not there or no partners at all. A keeper must judge it and stay up.
func TestKeepersSurviveInvalidAssignment(t *testing.T) {
	testOnThreeKeepers(t, 1, func(cl *cluster, fail func(error)) {
		odd, err := DecodeAssignment([]byte(`{"slices":[{"epoch":90,"primary":"c"},{"epoch":91,"primary":"nobody","partners":null},
			{"epoch":92,"primary":"","partners":["c","c","x"]}],"more":{"x":1}}`))
		fail(err)
		cl.mu.Lock()
		cl.assignment, cl.version = odd, cl.version+1
		cl.mu.Unlock()
		time.Sleep(convergenceTime)
		for _, m := range cl.machines {
			if _, err := m.process.keeper.Status(context.Background(), &historypb.StatusRequest{}); err != nil {
				fail(err)
			}
		}
	})
}
