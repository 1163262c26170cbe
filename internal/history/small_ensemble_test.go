package history

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/history/historypb"
)

const (
	// stopInterval is the time between the losses of two keepers, within which shards are reassigned.
	stopInterval = 700 * time.Millisecond
	// recoveryBound is the longest time from the start of all keepers that are left until each retained turn is
	// in reach again.
	recoveryBound = 15 * time.Second
)

// newTenKeeperCluster returns a cluster of ten keepers in three data centres.
func newTenKeeperCluster(t *testing.T, maxDiskFailures int) *cluster {
	cl := newCluster(t, 10, maxDiskFailures)
	for i, m := range cl.machines {
		m.dataCentre = []string{east, west, north}[i%3]
	}
	return cl
}

// shrinkTo stops keepers one after the other until the given number is left, and retains a turn of each of some
// programs meanwhile. It returns the turns that were acknowledged and the keepers that are left.
func (cl *cluster) shrinkTo(left int) (acknowledged []string, rest []*machine) {
	c := cl.client(entryIn(north))
	retain := func(round int) {
		for p := range 6 {
			program := fmt.Sprintf("p%d", p)
			if turn := fmt.Sprintf("%s-%d", program, round); retainTurn(c, program, turn, "") == nil {
				acknowledged = append(acknowledged, turn)
			}
		}
	}
	retain(0)
	stopped := len(cl.machines) - left
	for i, m := range cl.machines[:stopped] {
		began := time.Now()
		m.stop()
		retain(i + 1)
		time.Sleep(time.Until(began.Add(stopInterval)))
	}
	time.Sleep(soleHolderTime)
	retain(stopped + 1)
	return acknowledged, cl.machines[stopped:]
}

// checkTurns checks that all turns are found.
func (cl *cluster) checkTurns(turns []string, fail func(error)) {
	lost := slices.DeleteFunc(slices.Clone(turns), func(turn string) bool { return findTurn(cl, turn) == nil })
	if len(lost) > 0 {
		fail(errors.Errorf("%d of %d acknowledged turns not found: %v", len(lost), len(turns), lost))
		fail(findTurn(cl, lost[0]))
	}
}

// testShrunken runs a test on ten keepers after all of them but the given number were stopped.
func testShrunken(t *testing.T, left, maxDiskFailures int, test func(cl *cluster, acknowledged []string, rest []*machine, fail func(error))) {
	build := func(t *testing.T) *cluster { return newTenKeeperCluster(t, maxDiskFailures) }
	testOnCluster(t, build, func(cl *cluster, fail func(error)) {
		acknowledged, rest := cl.shrinkTo(left)
		if want := 12; len(acknowledged) < want {
			fail(errors.Errorf("%d turns acknowledged, want %d at least", len(acknowledged), want))
		}
		test(cl, acknowledged, rest, fail)
	})
}

// Guards against the loss of acknowledged turns with as many disks as may be lost: the last keepers of a shard number no
// more than that, and lose their disks.
func TestDisksOfAllHoldersOfASmallEnsembleLoseNoTurn(t *testing.T) {
	for _, row := range []struct{ left, maxDiskFailures int }{{1, 1}, {1, 2}, {2, 2}, {2, 3}, {3, 3}} {
		t.Run(fmt.Sprintf("%d left, %d may be lost", row.left, row.maxDiskFailures), func(t *testing.T) {
			testShrunken(t, row.left, row.maxDiskFailures, func(cl *cluster, acknowledged []string, rest []*machine, fail func(error)) {
				for _, m := range rest {
					m.wipe()
				}
				for _, m := range cl.machines {
					m.restart()
				}
				time.Sleep(recoveryBound)
				cl.checkTurns(acknowledged, fail)
			})
		})
	}
}

// knownAssignment returns the assignment that the keeper knows.
func (k *Keeper) knownAssignment() (Assignment, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.known, true
}

// Guards against a turn that is acknowledged and lost, and against one that is answered as unknown, by a sole holder
// whose successor has read its changes from the store: it is isolated, and has not learnt of its successor.
func TestReplacedSoleHolderAcknowledgesNothing(t *testing.T) {
	testOnThreeKeepers(t, 1, func(cl *cluster, fail func(error)) {
		cl.setDataCentreIsolated(east, true)
		time.Sleep(soleHolderTime)
		cl.mu.Lock()
		cl.mirrorStalledAt = "c"
		cl.mu.Unlock()
		cl.setDataCentreIsolated(east, false)
		cl.setDataCentreIsolated(west, true)
		k, programs := cl.machine("c").process.keeper, 0
		var acknowledged []string
		for began := time.Now(); time.Since(began) < 2*witnessValidity; programs++ {
			program := fmt.Sprintf("p%d", programs)
			atC := NewClient(&entry{cluster: cl, name: entryIn(west), onlyKeeper: "c"}, k.knownAssignment, cl.logger("entry"))
			if retainTurnWithin(callTimeout, atC, program, program, "") == nil {
				acknowledged = append(acknowledged, program)
			}
			replaced := cl.roleOf("p").Primary != "c"
			response, err := k.Find(context.Background(), &historypb.FindRequest{Turn: "unknown"})
			fail(err)
			if replaced && slices.Contains(response.Absent, ShardOf("p")) {
				fail(errors.New("the replaced holder confirms that a turn is absent"))
			}
		}
		if len(acknowledged) == 0 || cl.roleOf("p").Primary == "c" {
			fail(errors.Errorf("%d turns acknowledged, primary %s; want some, and another one", len(acknowledged), cl.roleOf("p").Primary))
		}
		cl.mu.Lock()
		cl.mirrorStalledAt = ""
		cl.mu.Unlock()
		cl.setDataCentreIsolated(west, false)
		time.Sleep(convergenceTime)
		cl.checkTurns(acknowledged, fail)
	})
}

// Guards against turns that are out of reach for as long as turns are retained: the last keepers of a shard, no more than
// may be lost, never come back.
func TestHoldersOfASmallEnsembleGoneForGoodLeaveTurnsInReach(t *testing.T) {
	for _, row := range []struct{ left, maxDiskFailures int }{{1, 1}, {2, 2}, {3, 3}} {
		t.Run(fmt.Sprintf("%d left, %d may be lost", row.left, row.maxDiskFailures), func(t *testing.T) {
			testShrunken(t, row.left, row.maxDiskFailures, func(cl *cluster, acknowledged []string, rest []*machine, fail func(error)) {
				for _, m := range rest {
					m.stop()
				}
				for _, m := range cl.machines {
					if !slices.Contains(rest, m) {
						m.restart()
					}
				}
				time.Sleep(recoveryBound)
				cl.checkTurns(acknowledged, fail)
			})
		})
	}
}

// Guards against copies that use up the store's rate: the calls of the last two of ten keepers don't grow with their
// turns, which go on.
func TestCopiesOfASmallEnsembleAreBoundedInRate(t *testing.T) {
	const (
		programs = 64
		length   = 10 * time.Second
	)
	testShrunken(t, 2, 2, func(cl *cluster, _ []string, rest []*machine, fail func(error)) {
		cl.mu.Lock()
		before := cl.storeCalls
		cl.mu.Unlock()
		var served, refused atomic.Int64
		var calls sync.WaitGroup
		began := time.Now()
		for p := range programs {
			calls.Go(func() {
				c, program := cl.client(entryIn(north)), fmt.Sprintf("busy-%d", p)
				for n := 0; time.Since(began) < length; n++ {
					if retainTurn(c, program, fmt.Sprintf("%s-%d", program, n), "") == nil {
						served.Add(1)
					} else {
						refused.Add(1)
					}
				}
			})
		}
		calls.Wait()
		cl.mu.Lock()
		made := cl.storeCalls - before
		cl.mu.Unlock()
		most := len(rest) * 2 * int(length/copyInterval)
		if made > most+most/10 || refused.Load() > 0 || served.Load() < programs*int64(length/time.Second) {
			fail(errors.Errorf("%d calls to the store, want %d at most; %d turns served, %d refused", made, most, served.Load(), refused.Load()))
		}
		t.Logf("%d turns in %v, %d calls to the store", served.Load(), length, made)
	})
}

// Guards against copies that are removed while a successor may rely on them: the backups that returned are not filled yet.
func TestCopiesStayWhileTheAssignmentListsTheirEnsemble(t *testing.T) {
	testShrunken(t, 2, 2, func(cl *cluster, acknowledged []string, rest []*machine, fail func(error)) {
		cl.mu.Lock()
		cl.failsAppend = func(r *historypb.AppendRequest) bool {
			return slices.ContainsFunc(r.Slices, func(s *historypb.SliceAppend) bool { return s.Complete })
		}
		cl.mu.Unlock()
		for _, m := range cl.machines {
			m.restart()
		}
		time.Sleep(2 * copyCleanupInterval)
		if n, _ := cl.copyCount(); n == 0 {
			fail(errors.New("the copies are gone while no backup is filled"))
		}
		for _, m := range rest {
			m.wipe()
		}
		cl.mu.Lock()
		cl.failsAppend = nil
		cl.mu.Unlock()
		time.Sleep(recoveryBound)
		cl.checkTurns(acknowledged, fail)
		for _, m := range rest {
			m.restart()
		}
		time.Sleep(2*copyCleanupInterval + convergenceTime)
		a := cl.currentAssignment()
		if n, _ := cl.copyCount(); n > 0 || len(a.disksWithCopies()) > 0 {
			fail(errors.Errorf("%d copies are left, of the disks %v", n, a.disksWithCopies()))
		}
		cl.checkTurns(acknowledged, fail)
	})
}

// Guards against the loss of turns beside a keeper of an older version, which removes the copies of an ensemble with several
// holders: such an ensemble must be recovered from its disks, and is marked as copied once no such keeper is left.
func TestNoEnsembleIsMarkedAsCopiedBesideAnOlderVersion(t *testing.T) {
	build := func(t *testing.T) *cluster {
		cl := newThreeKeeperCluster(t, 2)
		cl.olderVersion = "a"
		return cl
	}
	testOnCluster(t, build, func(cl *cluster, fail func(error)) {
		cl.machine("a").stop()
		time.Sleep(soleHolderTime)
		for s, role := range cl.currentAssignment().Shards {
			if role.Copied {
				fail(errors.Errorf("shard %d is marked as copied: %v", s, role))
			}
		}
		cl.mu.Lock()
		cl.olderVersion = ""
		cl.mu.Unlock()
		cl.machine("a").start()
		time.Sleep(convergenceTime)
		cl.machine("a").stop()
		time.Sleep(soleHolderTime)
		for s, role := range cl.currentAssignment().Shards {
			if !role.Copied {
				fail(errors.Errorf("shard %d is not marked as copied: %v", s, role))
			}
		}
	})
}
