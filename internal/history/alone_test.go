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
	// soleHolderTime is how long the last keeper may take until it serves as the sole holder: the
	// suspicion timeout, the queries of witnesses, the write to the store and a caller's retry.
	soleHolderTime = 2 * suspectTimeout
)

// newThreeKeeperCluster returns a cluster of three keepers, a and b in the east and c in the west,
// with entries there and in the north.
func newThreeKeeperCluster(t *testing.T, maxDiskFailures int) *cluster {
	cl := newCluster(t, 3, maxDiskFailures)
	cl.machines[0].dataCentre, cl.machines[1].dataCentre, cl.machines[2].dataCentre = east, east, west
	cl.entryOnlyDataCentres = []string{north}
	return cl
}

// testOnThreeKeepers runs a test on such a cluster, of which all keepers are complete.
func testOnThreeKeepers(t *testing.T, maxDiskFailures int, test func(cl *cluster, fail func(error))) {
	testOnCluster(t, func(t *testing.T) *cluster { return newThreeKeeperCluster(t, maxDiskFailures) }, test)
}

// testOnCluster runs a test with virtual time on a cluster whose keepers are complete. The first
// error given to fail fails the test, and the trace is printed.
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

// findTurn looks a turn up by continuing it in another program.
func findTurn(cl *cluster, turn string) error {
	_, err := cl.client(entryIn(north)).Reserve(context.Background(), gateway.Reservation{
		Program: "heir-" + turn, Turn: "heir", Previous: turn, MaxOutputTokens: 1, Budget: 10,
	})
	return errors.Wrapf(err, "continuing turn %s", turn)
}

// powerCycleAll cuts the power of all machines, which loses all unsynced writes, and restarts them.
func (cl *cluster) powerCycleAll() {
	for _, m := range cl.machines {
		m.powerOff(0)
	}
	for _, m := range cl.machines {
		m.restart()
	}
}

// Guards against an outage for all callers while a data centre with two of three keepers is
// isolated, which leaves the third keeper without a backup. It must serve as the sole holder, and
// the turns that it acknowledged must survive a power failure of all machines.
func TestLastKeeperServesAsSoleHolder(t *testing.T) {
	testOnThreeKeepers(t, 1, func(cl *cluster, fail func(error)) {
		fail(retainTurn(cl.client(entryIn(west)), "p", "first", ""))
		cl.setDataCentreIsolated(east, true)
		time.Sleep(soleHolderTime)
		start := time.Now()
		fail(retainTurn(cl.client(entryIn(west)), "p", "second", "first"))
		if took := time.Since(start); took > suspectTimeout {
			fail(errors.Errorf("served only after %v", took))
		}
		cl.powerCycleAll()
		time.Sleep(startupGrace + soleHolderTime)
		fail(retainTurn(cl.client(entryIn(north)), "p", "third", "second"))
		cl.setDataCentreIsolated(east, false)
		time.Sleep(convergenceTime)
		cl.powerCycleAll()
		time.Sleep(convergenceTime)
		if !cl.fullyReplicated() || len(cl.roleOf("p").Backups) != 1 {
			fail(errors.New("shard not on two disks after the isolation ended"))
		}
		fail(findTurn(cl, "third"))
	})
}

// Guards against the loss of an acknowledged turn. A keeper is isolated with its data centre but
// reaches the store. If it became a sole holder, it would serve the callers there, and its disk, the
// one that may fail, fails before the isolation ends.
func TestIsolatedKeeperDoesNotBecomeSoleHolder(t *testing.T) {
	testOnThreeKeepers(t, 1, func(cl *cluster, fail func(error)) {
		cl.setDataCentreIsolated(west, true)
		start := time.Now()
		for time.Since(start) < 5*time.Second {
			if retainTurn(cl.client(entryIn(west)), "p", "alone", "") == nil {
				fail(errors.New("a turn was retained on the disk of the isolated keeper"))
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

// Guards against the loss of an acknowledged turn. Only the link between the two holders of a shard
// is down, and each counts the other as lost. Entries have contact with both, so that neither may
// become a sole holder.
func TestPartitionedHoldersDoNotBecomeSoleHolders(t *testing.T) {
	testOnThreeKeepers(t, 1, func(cl *cluster, fail func(error)) {
		cl.machine("b").stop()
		time.Sleep(convergenceTime)
		cl.setLinkDown("a", "c", true)
		time.Sleep(convergenceTime)
		for s, role := range cl.currentAssignment().Shards {
			if len(role.Backups) == 0 {
				fail(errors.Errorf("shard %d has %s as its sole holder", s, role.Primary))
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

// Guards against the loss of an acknowledged turn. A sole holder was paused; the other keepers have
// returned meanwhile and are complete, and the disk of the sole holder fails next. The reports of
// witnesses from before the pause must not count after it.
func TestSoleHolderDiscardsLossEvidenceAfterPause(t *testing.T) {
	testOnThreeKeepers(t, 1, func(cl *cluster, fail func(error)) {
		cl.setDataCentreIsolated(east, true)
		time.Sleep(soleHolderTime)
		k := cl.machine("c").process.keeper
		k.mu.Lock()
		defer k.mu.Unlock()
		s := k.shards[ShardOf("p")]
		if v := k.servingVerdict(s, time.Now()); v != historypb.Verdict_DONE {
			fail(errors.Errorf("verdict %v as the sole holder before the pause, want DONE", v))
		}
		k.mu.Unlock()
		k.ResetAfterPause()
		k.mu.Lock()
		if v := k.servingVerdict(s, time.Now()); v == historypb.Verdict_DONE {
			fail(errors.New("the sole holder serves by evidence from before its pause"))
		}
	})
}

// Guards against turns that are refused, and settlements that fail, for as long as a keeper drains: another one is
// lost meanwhile, so that the third has no backup but the draining one.
func TestLossBesideDrainingKeeperIsServed(t *testing.T) {
	testOnThreeKeepers(t, 1, func(cl *cluster, fail func(error)) {
		fail(retainTurn(cl.client(entryIn(north)), "p", "first", ""))
		role := cl.roleOf("p")
		lost, draining := role.Primary, role.Backups[0]
		drain, end := context.WithTimeout(context.Background(), 10*time.Second)
		defer end()
		go cl.machine(draining).process.keeper.HandOff(drain)
		time.Sleep(100 * time.Millisecond)
		cl.machine(lost).powerOff(0)
		start := time.Now()
		for retainTurn(cl.client(entryIn(north)), "p", "second", "first") != nil {
			if time.Since(start) > 10*time.Second {
				break
			}
		}
		if took := time.Since(start); took > soleHolderTime {
			fail(errors.Errorf("served only after %v", took))
		}
		end()
		cl.machine(draining).stop()
		time.Sleep(soleHolderTime)
		fail(retainTurn(cl.client(entryIn(north)), "p", "third", "second"))
		cl.machine(lost).restart()
		cl.machine(draining).start()
		time.Sleep(convergenceTime)
		fail(findTurn(cl, "third"))
	})
}

// Guards against a turn that is answered as unknown. A sole holder was paused; the other keepers may have taken
// its shards over meanwhile and retained the turn.
func TestSoleHolderConfirmsNoAbsenceAfterPause(t *testing.T) {
	testOnThreeKeepers(t, 1, func(cl *cluster, fail func(error)) {
		cl.setDataCentreIsolated(east, true)
		time.Sleep(soleHolderTime)
		k := cl.machine("c").process.keeper
		confirmed := func() int {
			response, err := k.Find(context.Background(), &historypb.FindRequest{Turn: "unknown"})
			fail(err)
			return len(response.Absent)
		}
		if n := confirmed(); n != ShardCount {
			fail(errors.Errorf("%d shards confirmed by the sole holder before the pause, want all", n))
		}
		k.ResetAfterPause()
		if n := confirmed(); n != 0 {
			fail(errors.Errorf("%d shards confirmed by evidence from before the pause", n))
		}
	})
}

// Guards against the same beside keepers that were all draining when last heard: the time of a suspension is not
// counted, so that they seem to have been heard just now.
func TestSoleHolderBesideDrainingKeepersServesNothingByEvidenceFromBeforePause(t *testing.T) {
	testOnThreeKeepers(t, 1, func(cl *cluster, fail func(error)) {
		cl.setDataCentreIsolated(east, true)
		time.Sleep(soleHolderTime)
		drain, end := context.WithCancel(context.Background())
		defer end()
		go cl.machine("a").process.keeper.HandOff(drain)
		go cl.machine("b").process.keeper.HandOff(drain)
		cl.setDataCentreIsolated(east, false)
		time.Sleep(rejoinGrace + suspectTimeout)
		k := cl.machine("c").process.keeper
		verdict := func() historypb.Verdict {
			k.mu.Lock()
			defer k.mu.Unlock()
			return k.servingVerdict(k.shards[ShardOf("p")], time.Now())
		}
		if v := verdict(); v != historypb.Verdict_DONE {
			fail(errors.Errorf("verdict %v beside draining keepers before the pause, want DONE", v))
		}
		k.ResetAfterPause()
		if v := verdict(); v == historypb.Verdict_DONE {
			fail(errors.New("the sole holder serves by statuses from before its pause"))
		}
		response, err := k.Find(context.Background(), &historypb.FindRequest{Turn: "unknown"})
		fail(err)
		if n := len(response.Absent); n != 0 {
			fail(errors.Errorf("%d shards confirmed by statuses from before the pause", n))
		}
		time.Sleep(suspectTimeout)
		if v := verdict(); v != historypb.Verdict_DONE {
			fail(errors.Errorf("verdict %v once the draining keepers are heard again, want DONE", v))
		}
	})
}

// Guards against the loss of an acknowledged turn. A sole holder has contact with the other keepers
// again but can't reach the store, so that no reassignment makes them backups. Once they have
// returned for good, its own disk may fail, so it must stop acknowledging turns.
func TestSoleHolderStopsServingAfterOthersReturn(t *testing.T) {
	testOnThreeKeepers(t, 1, func(cl *cluster, fail func(error)) {
		cl.setDataCentreIsolated(east, true)
		time.Sleep(soleHolderTime)
		fail(retainTurn(cl.client(entryIn(north)), "p", "first", ""))
		cl.setStoreUnavailable(true)
		cl.setDataCentreIsolated(east, false)
		time.Sleep(rejoinGrace + suspectTimeout)
		if retainTurn(cl.client(entryIn(north)), "p", "on-one-disk", "first") == nil {
			fail(errors.New("a turn was acknowledged on one disk, although no other disk is lost"))
		}
		cl.setStoreUnavailable(false)
		time.Sleep(convergenceTime)
		fail(retainTurn(cl.client(entryIn(north)), "p", "second", "first"))
	})
}

// Guards against a second outage for all callers: a keeper that returned as a backup is lost again
// during the state transfer to it. The last keeper must become the sole holder once more.
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

// Guards against an outage that lasts longer than that of the store, which is unavailable when all
// keepers but one are lost. The last keeper must become the sole holder soon after the store is
// available again, and must not serve before.
func TestLastKeeperServesOnceStoreIsAvailable(t *testing.T) {
	testOnThreeKeepers(t, 1, func(cl *cluster, fail func(error)) {
		cl.setStoreUnavailable(true)
		cl.setDataCentreIsolated(east, true)
		time.Sleep(3 * time.Second)
		if retainTurn(cl.client(entryIn(north)), "p", "too-early", "") == nil {
			fail(errors.New("a turn was retained on one disk without a reassignment"))
		}
		cl.setStoreUnavailable(false)
		time.Sleep(soleHolderTime)
		fail(retainTurn(cl.client(entryIn(north)), "p", "first", ""))
	})
}

// Guards against a sole holder after one loss where two disks may fail at once: the disk of the
// sole holder may be the second to fail. Two of three keepers must remain holders after the first
// loss, and the last one may become the sole holder only after the second.
func TestSoleHolderNeedsTwoLossesIfTwoDisksMayFail(t *testing.T) {
	testOnThreeKeepers(t, 2, func(cl *cluster, fail func(error)) {
		fail(retainTurn(cl.client(entryIn(north)), "p", "first", ""))
		cl.machine("a").stop()
		time.Sleep(soleHolderTime)
		for s, role := range cl.currentAssignment().Shards {
			if len(role.Backups) != 1 {
				fail(errors.Errorf("shard %d has %d backups, want 1", s, len(role.Backups)))
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

// Guards against a sole holder among only two keepers where two disks may fail at once: after the
// loss of one, the disk of the other may still fail.
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
				fail(errors.Errorf("shard %d has %s as its sole holder", s, role.Primary))
			}
		}
	})
}

// Guards against data loss when operators drain a sole holder. It must serve until another keeper
// has returned, replicate its shards to that one, and count as drained only when the other holders
// are complete.
func TestRetiringSoleHolderDrainsOnceOthersAreComplete(t *testing.T) {
	testOnThreeKeepers(t, 1, func(cl *cluster, fail func(error)) {
		cl.setDataCentreIsolated(east, true)
		time.Sleep(soleHolderTime)
		cl.setRetiring("c")
		time.Sleep(soleHolderTime)
		fail(retainTurn(cl.client(entryIn(north)), "p", "first", ""))
		if cl.machine("c").process.keeper.Drained() {
			fail(errors.New("the sole holder reports that it is drained"))
		}
		cl.setDataCentreIsolated(east, false)
		time.Sleep(convergenceTime)
		if !cl.machine("c").process.keeper.Drained() {
			fail(errors.Errorf("keeper c not drained; shard assigned to %v", cl.roleOf("p")))
		}
		cl.machine("c").wipe()
		fail(findTurn(cl, "first"))
	})
}

// Guards against turns that are left on one disk. The order to drain a keeper counts as carried out, upon which its disk
// is removed, while another one is lost and the third is the sole holder.
func TestRetiringKeeperIsNotDrainedBesideSoleHolder(t *testing.T) {
	testOnThreeKeepers(t, 1, func(cl *cluster, fail func(error)) {
		fail(retainTurn(cl.client(entryIn(north)), "p", "first", ""))
		cl.setDataCentreIsolated(east, true)
		time.Sleep(soleHolderTime)
		cl.setRetiring("a")
		cl.machine("b").stop()
		cl.setDataCentreIsolated(east, false)
		time.Sleep(convergenceTime)
		if cl.machine("a").process.keeper.Drained() {
			fail(errors.Errorf("keeper a drained; shard assigned to %v", cl.roleOf("p")))
		}
		cl.machine("b").start()
		time.Sleep(convergenceTime)
		if !cl.machine("a").process.keeper.Drained() {
			fail(errors.Errorf("keeper a not drained; shard assigned to %v", cl.roleOf("p")))
		}
		cl.machine("a").wipe()
		fail(findTurn(cl, "first"))
	})
}

// Guards against a shard that is never served again. Its sole holder lost its disk as well, so that
// more disks are lost than may fail at once. The keeper that had all of the shard before must take
// it over.
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

// Guards against needless witness queries: about a keeper that is lost for good but still
// registered, all other keepers would ask the entries ten times a second. Once it holds no shards,
// they must stop.
func TestWitnessesAreNotQueriedAboutKeeperWithoutShards(t *testing.T) {
	testOnThreeKeepers(t, 1, func(cl *cluster, fail func(error)) {
		cl.machine("b").stop()
		time.Sleep(convergenceTime)
		before := cl.witnessQueries.Load()
		time.Sleep(time.Minute)
		if queries := cl.witnessQueries.Load() - before; queries > 0 {
			fail(errors.Errorf("%d witness queries in a minute, want none", queries))
		}
	})
}

// Guards against a crash on an assignment that was written by another version or by hand. It names
// keepers that do not exist, the same keeper twice, or no backups. Keepers must apply it and
// continue to run.
func TestKeepersSurviveInvalidAssignment(t *testing.T) {
	testOnThreeKeepers(t, 1, func(cl *cluster, fail func(error)) {
		invalid, err := DecodeAssignment([]byte(`{"slices":[{"epoch":90,"primary":"c"},{"epoch":91,"primary":"nobody","partners":null},
			{"epoch":92,"primary":"","partners":["c","c","x"]}],"more":{"x":1}}`))
		fail(err)
		cl.mu.Lock()
		cl.assignment, cl.version = invalid, cl.version+1
		cl.mu.Unlock()
		time.Sleep(convergenceTime)
		for _, m := range cl.machines {
			if _, err := m.process.keeper.Status(context.Background(), &historypb.StatusRequest{}); err != nil {
				fail(err)
			}
		}
	})
}

// Guards against the loss of acknowledged turns with one disk, where one may be lost: the other keepers
// are only frozen, and the last one acknowledges on its disk alone.
func TestDiskLossOfSoleHolderLosesNoTurnWhileOthersAreFrozen(t *testing.T) {
	testOnThreeKeepers(t, 1, func(cl *cluster, fail func(error)) {
		fail(retainTurn(cl.client(entryIn(north)), "p", "first", ""))
		cl.machine("a").pause()
		cl.machine("b").pause()
		time.Sleep(soleHolderTime)
		err := retainTurn(cl.client(entryIn(north)), "p", "second", "first")
		acknowledged := err == nil // it need not be
		cl.machine("c").wipe()
		cl.machine("a").resume()
		cl.machine("b").resume()
		cl.machine("c").start()
		time.Sleep(2 * convergenceTime)
		fail(findTurn(cl, "first"))
		if acknowledged {
			fail(findTurn(cl, "second"))
		}
	})
}

// Guards against the loss of an acknowledged turn with one disk: that of a sole holder which got a backup again, but
// didn't fill it yet. The holder before it comes back with its disk, which has the turn.
func TestDiskLossOfSoleHolderBeforeItsBackupIsFilledLosesNoTurn(t *testing.T) {
	for _, delay := range []time.Duration{0, 100, 300} {
		t.Run((delay * messageDelay).String(), func(t *testing.T) {
			testOnThreeKeepers(t, 1, func(cl *cluster, fail func(error)) {
				fail(retainTurn(cl.client(entryIn(north)), "p", "first", ""))
				role := cl.roleOf("p")
				earlier, sole, other := role.Primary, role.Backups[0], ""
				for _, m := range cl.machines {
					if !role.hasHolder(m.name) {
						other = m.name
					}
				}
				cl.machine(other).stop()
				cl.machine(earlier).stop()
				time.Sleep(soleHolderTime)
				fail(retainTurn(cl.client(entryIn(north)), "p", "second", "first"))
				cl.machine(other).start()
				for len(cl.roleOf("p").Backups) == 0 {
					time.Sleep(messageDelay)
				}
				cl.setLinkDown(sole, other, true) // the transfer fails
				time.Sleep(delay * messageDelay)
				cl.machine(sole).wipe()
				cl.setLinkDown(sole, other, false)
				cl.machine(earlier).start()
				cl.machine(sole).start()
				time.Sleep(defaultRetention / 2)
				fail(findTurn(cl, "first"))
				fail(findTurn(cl, "second"))
			})
		})
	}
}
