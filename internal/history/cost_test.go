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

// looksIn returns how often keepers looked at their roles in half a minute of rest, each on
// the mean.
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

// Keepers of a large fleet spend their time on each other: each answer of each other one
// has a keeper look at all roles, which grows with the square of their number. At rest a
// keeper must look as often among many as among few.
func TestReconciliationsAtRestDoNotGrowWithKeepers(t *testing.T) {
	few, many := reconciliationsAtRest(t, 4), reconciliationsAtRest(t, 24)
	t.Logf("%d looks among 4 keepers, %d among 24", few, many)
	is.New(t).True(many <= few+few/10)
}

// A data centre is lost, and a fleet of many keepers spends the next second on writing the
// assignment: all change it at once, and each but one comes too late, reads it anew, waits
// and tries again. The slices must have other holders soon, and a try must cost one call.
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
					fail(errors.Errorf("slice %d is still held by %s", s, name))
				}
			}
		}
		cl.mu.Lock()
		defer cl.mu.Unlock()
		t.Logf("%d changes in %d calls, %d of them reads", cl.version-before, cl.storeCalls-calls, cl.storeReads-reads)
		if cl.storeReads > reads {
			fail(errors.Errorf("%d reads", cl.storeReads-reads))
		}
	})
}

// Turns wait for seconds after a keeper was lost, and keepers are taken for lost in turn:
// those that take its slices over fetch and send all that is kept, over links that are busy
// for longer than their silence may last. What the others have already must not be moved.
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
		t.Logf("%d bytes moved at a loss and a return, %d kept", transferred, turns*size)
		if transferred > turns*size/4 {
			fail(errors.Errorf("%d bytes moved of %d that all have", transferred, turns*size))
		}
		fail(retainTurn(c, "heir", "heir", "p7"))
	})
}
