package history

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"foxhall/internal/gateway"
)

// reconciliationsAtRest returns the mean number of reconciliations of a keeper in half a minute
// without any event.
func reconciliationsAtRest(t *testing.T, keepers int) int64 {
	perKeeper := int64(0)
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, keepers, 2)
		cl.startAll()
		time.Sleep(convergenceTime)
		count := func() (n int64) {
			for _, m := range cl.machines {
				n += m.process.keeper.reconciliations.Load()
			}
			return n
		}
		before := count()
		time.Sleep(30 * time.Second)
		perKeeper = (count() - before) / int64(keepers)
		cl.stopAll()
		time.Sleep(releaseTimeout)
	})
	return perKeeper
}

// Guards against reconciliations that grow with the square of the number of keepers, which happens
// if each status of each other keeper starts one. At rest, a keeper must reconcile as often among
// 24 keepers as among 4.
func TestReconciliationsAtRestDoNotGrowWithKeepers(t *testing.T) {
	few, many := reconciliationsAtRest(t, 4), reconciliationsAtRest(t, 24)
	t.Logf("%d reconciliations each of 4 keepers, %d each of 24", few, many)
	is.New(t).True(many <= few+few/10)
}

// Guards against a slow reassignment after the loss of a data centre. All keepers then write the
// assignment at once, and all but one conflict. If each had to read it again and wait before the
// next try, this would take a second. The shards must have other holders soon, and each try must
// cost one call, without a read.
func TestConcurrentReassignmentsNeedNoReads(t *testing.T) {
	build := func(t *testing.T) *cluster {
		cl := newCluster(t, 24, 2)
		for i, m := range cl.machines {
			m.dataCentre = string(rune('A' + i%5))
		}
		return cl
	}
	testOnCluster(t, build, func(cl *cluster, fail func(error)) {
		cl.mu.Lock()
		before, calls, reads := cl.version, cl.storeCalls, cl.storeReads
		cl.mu.Unlock()
		lost := cl.machines[0].dataCentre
		cl.setDataCentreIsolated(lost, true)
		time.Sleep(suspectTimeout + reconcileInterval + soleHolderTime/2)
		a := cl.currentAssignment()
		for s := range a.Shards {
			for _, name := range a.Shards[s].holders() {
				if cl.machine(name).dataCentre == lost {
					fail(errors.Errorf("shard %d is still held by %s, whose data centre is isolated", s, name))
				}
			}
		}
		cl.mu.Lock()
		defer cl.mu.Unlock()
		t.Logf("%d assignments written in %d store calls, %d of them reads", cl.version-before, cl.storeCalls-calls, cl.storeReads-reads)
		if cl.storeReads > reads {
			fail(errors.Errorf("%d reads of the assignment, want none", cl.storeReads-reads))
		}
	})
}

// Guards against take-overs that transfer all retained records. These transfers would keep the links
// busy for longer than a keeper may be unresponsive, so that turns wait for seconds and further
// keepers are replaced. Records that a keeper has already must not be sent to it.
func TestTakeOverTransfersOnlyMissingRecords(t *testing.T) {
	testOnCluster(t, func(t *testing.T) *cluster { return newCluster(t, 3, 1) }, func(cl *cluster, fail func(error)) {
		c := cl.client("entry")
		const turns, size = 60, 8 << 10
		for n := range turns {
			program := fmt.Sprint("p", n)
			_, err := c.Reserve(context.Background(), gateway.Reservation{Program: program, Turn: program, MaxOutputTokens: 1, Retention: time.Hour})
			fail(err)
			retained := &gateway.Turn{ID: program, Input: bytes.Repeat([]byte("x"), size), Ended: time.Now()}
			fail(c.Settle(context.Background(), gateway.Settlement{Program: program, Turn: program, RetainedTurn: retained, Retention: time.Hour}))
		}
		time.Sleep(time.Second)
		before := cl.transferredBytes.Load()
		cl.machines[0].stop()
		time.Sleep(convergenceTime)
		cl.machines[0].start()
		time.Sleep(convergenceTime)
		transferred := cl.transferredBytes.Load() - before
		t.Logf("%d bytes transferred after the loss and return of a keeper, %d retained", transferred, turns*size)
		if transferred > turns*size/4 {
			fail(errors.Errorf("%d bytes transferred of %d that all keepers have", transferred, turns*size))
		}
		fail(retainTurn(c, "heir", "heir", "p7"))
	})
}
