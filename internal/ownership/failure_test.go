package ownership

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"foxhall/internal/ledger"
	"foxhall/internal/program"
	"foxhall/internal/store"
)

func (n *instance) seed(t *testing.T, programs int) []program.ID {
	t.Helper()
	var ids []program.ID
	for i := range programs {
		id := program.ID(fmt.Sprintf("%s:%026d", n.self.Cohort, i))
		n.owner.insert(id, newProgram()).add("turn")
		if err := n.log.Append(t.Context(), ledger.Record{Program: id, Event: []byte("turn")}); err != nil {
			t.Fatal(err)
		}
		ids = append(ids, id)
	}
	return ids
}

// checkAllOn fails unless the node owns and holds all the programs.
func checkAllOn(t *testing.T, n *instance, ids []program.ID) {
	t.Helper()
	for _, id := range ids {
		owner, err := n.reconciler.Directory().Locate(t.Context(), id)
		if err != nil || !owner.IsSelf {
			t.Fatalf("%s is located at %v, %v", id, owner, err)
		}
		p := n.owner.lookup(id)
		if !n.reconciler.Adopted(id) || p == nil || len(p.Events) != 1 {
			t.Fatalf("%s is not whole on its owner: %v", id, p)
		}
	}
}

// Two instances stop at the same moment. Each seals its log before it learns
// of the other and names it: the seals form a ring and nobody owns the
// programs. The third instance breaks the ring and adopts them all.
func TestRingOfSealsIsBroken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		a, b := w.start(1), w.start(1)
		ids := append(a.seed(t, 20), b.seed(t, 20)...)
		for _, pair := range [][2]*instance{{a, b}, {b, a}} {
			_, _, err := pair[0].log.Seal(t.Context(), DistributeShards(pair[0].self.Cohort, []Member{pair[1].self}))
			is.NoErr(err)
		}
		c := w.start(1)
		time.Sleep(time.Minute)
		checkAllOn(t, c, ids)
		for _, n := range w.all(running) {
			n.close()
		}
	})
}

// A planned stop hands over to two instances. The one that left and one of the
// successors are killed before the successor has adopted. The chain of seals
// leads on to the survivor, which adopts the slices of both.
func TestBothInstancesOfAHandOverKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		w.manual = true
		stopping, successor := w.start(1), w.start(1)
		w.manual = false
		survivor := w.start(1)
		ids := append(stopping.seed(t, 40), successor.seed(t, 10)...)
		is.NoErr(stopping.reconciler.HandOver(t.Context()))
		// The survivor's keeper reads the world's state: it must be at rest.
		synctest.Wait()
		w.crash(stopping)
		w.crash(successor)
		time.Sleep(time.Minute)
		checkAllOn(t, survivor, ids)
		survivor.close()
	})
}

// An owner is paused between its intent and the next one while a successor
// takes over. Awake, its append is refused as fenced, which is a true "not
// run", and it can tell its caller where the program is now.
func TestOwnerPausedPastTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		paused, other := w.start(1), w.start(1)
		ids := paused.seed(t, 10)
		w.pause(paused)
		time.Sleep(time.Minute)
		checkAllOn(t, other, ids)
		w.resume(paused)
		err := paused.log.Append(context.Background(), ledger.Record{Program: ids[0], Event: []byte("late")})
		is.True(errors.Is(err, ledger.ErrFenced))
		owner, err := paused.reconciler.Directory().Locate(t.Context(), ids[0])
		is.NoErr(err)
		is.Equal(owner.Cohort, other.self.Cohort)
		paused.close()
		other.close()
	})
}

// Members of different size get slices by their size, the same whoever works
// it out, and at most maxSuccessors of them read the log.
func TestSpreadBySize(t *testing.T) {
	is := is.New(t)
	members := []Member{{Cohort: "d.a.1", Weight: 1}, {Cohort: "d.b.1", Weight: 2}, {Cohort: "d.c.1", Weight: 5}}
	counts := map[program.Cohort]int{}
	for _, c := range DistributeShards("d.x.1", members) {
		counts[c]++
	}
	is.Equal(counts, map[program.Cohort]int{"d.a.1": 8, "d.b.1": 16, "d.c.1": 40})
	is.Equal(DistributeShards("d.x.1", []Member{members[2], members[0], members[1]}), DistributeShards("d.x.1", members))
	var many []Member
	for i := range 74 {
		many = append(many, Member{Cohort: program.Cohort(fmt.Sprintf("d.i%d.1", i))})
	}
	spread := DistributeShards("d.x.1", many)
	is.Equal(len(successorSet(&ledger.Seal{Successors: spread})), maxSuccessors)
}

// An instance was paused while its log was sealed, lives again and does not know yet. A ring that
// its seal is part of is broken into its own log: nobody owns its slices, and the others wake each
// other without end to break the ring again.
func TestRingIsNotBrokenIntoASealedLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		w.manual = true
		a, b, c := w.start(1), w.start(1), w.start(1)
		ids := a.seed(t, 20)
		ids = append(ids, b.seed(t, 20)...)
		c.seed(t, 1)
		_, _, err := b.log.Seal(t.Context(), DistributeShards(b.self.Cohort, []Member{a.self}))
		is.NoErr(err)
		is.NoErr(b.reconciler.Reconcile(t.Context()))
		w.pause(a)
		time.Sleep(time.Second)
		_, err = c.reconciler.takeOver(t.Context(), Dead{Cohort: a.self.Cohort}, []Member{b.self})
		is.NoErr(err)
		time.Sleep(time.Minute)
		w.resume(a)
		is.NoErr(c.reconciler.Reconcile(t.Context()))
		checkAllOn(t, c, ids)
		for _, n := range w.all(running) {
			n.close()
		}
	})
}

// offering is an adopter that is offered a late record while it adopts.
type offeringAdopter struct {
	*fakeOwner
	shard       int
	duringAdopt func()
}

func (o offeringAdopter) Adopt(ctx context.Context, a Adoption) error {
	err := o.fakeOwner.Adopt(ctx, a)
	if a.Shard == o.shard {
		o.duringAdopt()
	}
	return err
}

// A former owner offers a turn, which its caller was told is durable, while the
// successor has read its log and writes the snapshots. Told "taken", it drops
// the turn, the slice counts as adopted, and nobody looks at the turn again. So
// the offer must fail until the slice is adopted, and bring the turn then.
func TestOfferDuringAdoption(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		w.manual = true
		former, successor := w.start(1), w.start(1)
		defer successor.close()
		id := former.seed(t, 1)[0]
		w.crash(former)
		time.Sleep(time.Minute)
		late := ledger.Copy{Cohort: former.self.Cohort, Records: []ledger.Record{{Program: id, Sequence: 9, Event: []byte("late")}}}
		var during error
		successor.reconciler.options.Adopter = offeringAdopter{successor.owner, id.Shard(), func() { during = successor.reconciler.AcceptOffered(t.Context(), late) }}
		is.NoErr(successor.reconciler.Reconcile(t.Context()))
		is.True(errors.Is(during, ErrNotAdopted))
		is.NoErr(successor.reconciler.AcceptOffered(t.Context(), late))
		is.Equal(successor.owner.lookup(id).Events, []string{"turn", "late"})
	})
}

// An instance marks a log as about to be sealed and dies before the seal; the
// owner lives after all. Nobody would look at the log again, and the mark keeps
// its owner from compacting it for ever. Another instance ends what was begun.
func TestBegunSealOfALivingOwnerIsEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		owner, other := w.start(1), w.start(1)
		defer owner.close()
		defer other.close()
		ids := owner.seed(t, 10)
		is.NoErr(ledger.UpdateCohort(t.Context(), w.standIn, owner.self.Cohort, func(c *ledger.Cohort) bool {
			c.Sealing = true
			return true
		}))
		time.Sleep(time.Minute)
		checkAllOn(t, other, ids)
	})
}

// A program has two owners. Its cohort was taken over, adopted and deleted; then a
// create of the cohort's object takes effect that was sent long before, since
// nothing is there any more. The object has no seal, and the cohort's owner is
// dead: it is sealed again, with another successor. The adoption that was must
// hold, and the object go.
func TestLateCreateOfADeletedCohortChangesNoOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		a, b := w.start(1), w.start(1)
		ids := a.seed(t, 20)
		w.crash(a)
		time.Sleep(time.Minute)
		checkAllOn(t, b, ids)
		_, err := w.standIn.Get(t.Context(), ledger.CohortKey(a.self.Cohort))
		is.True(errors.Is(err, store.ErrNotFound))
		c := w.start(100)
		is.NoErr(ledger.CreateCohort(t.Context(), w.standIn, ledger.Cohort{Cohort: a.self.Cohort, First: 1}))
		time.Sleep(time.Minute)
		checkAllOn(t, b, ids)
		_, err = w.standIn.Get(t.Context(), ledger.CohortKey(a.self.Cohort))
		is.True(errors.Is(err, store.ErrNotFound))
		owner, err := c.reconciler.Directory().Locate(t.Context(), ids[0])
		is.NoErr(err)
		is.Equal(owner.Cohort, b.self.Cohort)
		for _, n := range w.all(running) {
			n.close()
		}
	})
}
