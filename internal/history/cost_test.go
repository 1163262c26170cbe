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
func looksIn(t *testing.T, keepers int) int64 {
	looks := int64(0)
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, keepers, 2)
		w.startAll()
		time.Sleep(settledIn)
		count := func() (n int64) {
			for _, m := range w.machines {
				n += m.process.keeper.reconciliations.Load()
			}
			return n
		}
		before := count()
		time.Sleep(30 * time.Second)
		looks = (count() - before) / int64(keepers)
		w.stopAll()
		time.Sleep(releaseTimeout)
	})
	return looks
}

// Keepers of a large fleet spend their time on each other: each answer of each other one
// has a keeper look at all roles, which grows with the square of their number. At rest a
// keeper must look as often among many as among few.
func TestKeepersAtRestLookAsOftenAmongMany(t *testing.T) {
	few, many := looksIn(t, 4), looksIn(t, 24)
	t.Logf("%d looks among 4 keepers, %d among 24", few, many)
	is.New(t).True(many <= few+few/10)
}

// A data centre is lost, and a fleet of many keepers spends the next second on writing the
// assignment: all change it at once, and each but one comes too late, reads it anew, waits
// and tries again. The slices must have other holders soon, and a try must cost one call.
func TestManyKeepersChangeTheAssignmentAtOnce(t *testing.T) {
	build := func(t *testing.T) *world {
		w := newWorld(t, 24, 2)
		for i, m := range w.machines {
			m.dataCentre = string(rune('A' + i%5))
		}
		return w
	}
	inWorldOf(t, build, func(w *world, fail func(error)) {
		w.mu.Lock()
		before, calls, reads := w.version, w.storeCalls, w.storeReads
		w.mu.Unlock()
		lost := w.machines[0].dataCentre
		w.cutDataCentre(lost, true)
		time.Sleep(suspectTimeout + reconcileInterval + aloneIn/2)
		a := w.assigned()
		for s := range a.Shards {
			for _, name := range a.Shards[s].holders() {
				if w.machine(name).dataCentre == lost {
					fail(errors.Errorf("slice %d is still held by %s", s, name))
				}
			}
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		t.Logf("%d changes in %d calls, %d of them reads", w.version-before, w.storeCalls-calls, w.storeReads-reads)
		if w.storeReads > reads {
			fail(errors.Errorf("%d reads", w.storeReads-reads))
		}
	})
}

// Turns wait for seconds after a keeper was lost, and keepers are taken for lost in turn:
// those that take its slices over fetch and send all that is kept, over links that are busy
// for longer than their silence may last. What the others have already must not be moved.
func TestTakeoverMovesOnlyWhatIsLacking(t *testing.T) {
	inWorldOf(t, func(t *testing.T) *world { return newWorld(t, 3, 1) }, func(w *world, fail func(error)) {
		c := w.client("entry")
		const turns, size = 60, 8 << 10
		for n := range turns {
			program := fmt.Sprint("p", n)
			_, err := c.Reserve(context.Background(), gateway.Reservation{Program: program, Turn: program, MaxOutputTokens: 1, Retention: time.Hour})
			fail(err)
			kept := &gateway.Turn{ID: program, Input: bytes.Repeat([]byte("x"), size), Ended: time.Now()}
			fail(c.Settle(context.Background(), gateway.Settlement{Program: program, Turn: program, RetainedTurn: kept, Retention: time.Hour}))
		}
		time.Sleep(time.Second)
		before := w.moved.Load()
		w.machines[0].stop()
		time.Sleep(settledIn)
		w.machines[0].start()
		time.Sleep(settledIn)
		moved := w.moved.Load() - before
		t.Logf("%d bytes moved at a loss and a return, %d kept", moved, turns*size)
		if moved > turns*size/4 {
			fail(errors.Errorf("%d bytes moved of %d that all have", moved, turns*size))
		}
		fail(keep(c, "heir", "heir", "p7"))
	})
}
