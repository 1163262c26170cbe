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

// seed creates programs with one turn each on the instance and returns their ids.
func (inst *instance) seed(t *testing.T, programs int) []program.ID {
	t.Helper()
	var ids []program.ID
	for i := range programs {
		id := program.ID(fmt.Sprintf("%s:%026d", inst.self.Cohort, i))
		inst.owner.insert(id, newProgram()).add("turn")
		if err := inst.log.Append(t.Context(), ledger.Record{Program: id, Event: []byte("turn")}); err != nil {
			t.Fatal(err)
		}
		ids = append(ids, id)
	}
	return ids
}

// checkAllOn fails the test unless the instance owns all the programs and each has its one event.
func checkAllOn(t *testing.T, inst *instance, ids []program.ID) {
	t.Helper()
	for _, id := range ids {
		owner, err := inst.reconciler.Directory().Locate(t.Context(), id)
		if err != nil || !owner.IsSelf {
			t.Fatalf("%s: expected this instance as owner, found %v, %v", id, owner, err)
		}
		p := inst.owner.lookup(id)
		if !inst.reconciler.Adopted(id) || p == nil || len(p.Events) != 1 {
			t.Fatalf("%s: expected an adopted program with one event on its owner, found %v", id, p)
		}
	}
}

// Two instances stop at the same time. Each seals its log and names the other as successor before it
// knows of the other's stop: the seals form a ring, and nobody owns the programs. A third instance must
// break the ring and adopt all of them.
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
		for _, inst := range w.all(running) {
			inst.close()
		}
	})
}

// An instance hands over to two successors at a planned stop. It and one of the successors are killed
// before that successor has adopted its shards. The chain of seals leads to the survivor, which must
// adopt the shards of both.
func TestHandOverWithBothInstancesKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		w.manual = true
		stopping, successor := w.start(1), w.start(1)
		w.manual = false
		survivor := w.start(1)
		ids := append(stopping.seed(t, 40), successor.seed(t, 10)...)
		is.NoErr(stopping.reconciler.HandOver(t.Context()))
		// The survivor's reconciler reads the state of the test's instances, so it must be idle.
		synctest.Wait()
		w.crash(stopping)
		w.crash(successor)
		time.Sleep(time.Minute)
		checkAllOn(t, survivor, ids)
		survivor.close()
	})
}

// An owner is paused between two intents while a successor takes over. When it resumes, its append must
// be refused as fenced, which correctly means that the step was not run, and it must locate the
// program's new owner for its caller.
func TestOwnerPausedDuringTakeOverIsFenced(t *testing.T) {
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

// Members must get shards in proportion to their weights, independent of the order of members, and at
// most maxSuccessors of them may read the log.
func TestDistributeShardsByWeight(t *testing.T) {
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

// An instance is paused while its log is sealed; it resumes and does not know of the seal yet. Its seal
// is part of a ring. If the ring were broken by naming this instance as successor, its shards would
// still have no owner, and the others would wake each other endlessly to break the ring again.
func TestRingIsNotReassignedToSealedLog(t *testing.T) {
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
		for _, inst := range w.all(running) {
			inst.close()
		}
	})
}

// offeringAdopter is an adopter that calls duringAdopt while it adopts one shard.
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

// A former owner offers a turn that was reported as durable to its caller, after the successor has read
// the log and while it writes the snapshots. If the offer were accepted then, the former owner would
// drop the turn, the shard would count as adopted, and the turn would be lost. The offer must fail until
// the shard is adopted, and succeed with the turn then.
func TestOfferDuringAdoptionIsRefused(t *testing.T) {
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

// An instance sets Cohort.Sealing and dies before it writes the seal, while the owner is alive. The mark
// would keep the owner from compacting its log for ever, as no instance examines the log of a living
// owner. Another instance must finish the seal and adopt the programs.
func TestUnfinishedSealOfLivingOwnerIsFinished(t *testing.T) {
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

// A cohort is taken over, adopted and deleted. Then a creation of its object takes effect that was sent
// long before, since the object does not exist. It has no seal, and the cohort's owner is dead; sealed
// again with another successor, its programs would have two owners. The earlier adoption must stay in
// effect and the object be deleted.
func TestLateCreationOfDeletedCohortKeepsOwner(t *testing.T) {
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
		for _, inst := range w.all(running) {
			inst.close()
		}
	})
}
