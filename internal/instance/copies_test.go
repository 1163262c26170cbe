package instance

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	_ "foxhall/internal/fuzzing" // one processor under the race detector
	"foxhall/internal/ledger"
	"foxhall/internal/membership"
	"foxhall/internal/program"
	"foxhall/internal/standin"
	"foxhall/internal/store"
)

// A rack with an owner and both holders of its copies fails during an outage of the object API, and
// the holders are declared dead before their owner. If they were not counted, turns reported to
// callers as durable would be taken for never recorded, without any sign of the loss. A suspected
// holder counts as well; one that left gracefully does not, because it handed off its copies.
func TestHoldersDeadBeforeOwnerAreCounted(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := membership.NewTable("dc.me.1", "", membership.Report{}, membership.DefaultTiming(), now)
	addDead := func(c program.Cohort, deadFor time.Duration, leftGracefully bool) {
		table.Merge(membership.Record{Cohort: c, State: membership.Dead, DeadFor: deadFor, LeftGracefully: leftGracefully}, now)
	}
	addDead("dc.owner.1", 10*time.Second, false)
	addDead("dc.b.1", 30*time.Second, false)
	addDead("dc.c.1", 25*time.Second, false)
	addDead("dc.left.1", 5*time.Second, true)
	addDead("dc.old.1", 5*time.Minute, false)
	addDead("other.d.1", 5*time.Second, false)
	is.Equal(countUnreachableHolders(table.View(now), "dc", "dc.owner.1"), 2)
	table.Merge(membership.Record{Cohort: "dc.silent.1", State: membership.Suspect}, now)
	is.Equal(countUnreachableHolders(table.View(now), "dc", "dc.owner.1"), 3)
}

// A holder dies while other peers are unreachable for longer than one attempt. Without retries, a
// single copy of the turns would remain and a second death would lose them. Replication is retried
// until it succeeds, and runs once more after a death in the meantime.
func TestReplicateHeldRetriesUntilSuccess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, attempts := &copies{}, 0
		c.replicateHeld(func(context.Context) error {
			if attempts++; attempts < 3 {
				return ledger.ErrOutcomeUnknown
			}
			if attempts == 3 {
				c.replicateHeld(nil)
			}
			return nil
		})
		is.Equal(attempts, 4)
		c.replicateHeld(func(context.Context) error { return ledger.ErrClosed })
	})
}

// Two holders are stopped in turn as planned while the object API is down. Unless the first hands
// off its copies to peers, the last copies disappear with the second. When too few peers accept
// them, the handoff returns an error, so that the instance counts as dead.
func TestDepartingHolderHandsOffCopies(t *testing.T) {
	is := is.New(t)
	held, err := ledger.OpenHeldCopies("", 0)
	is.NoErr(err)
	is.NoErr((&Instance{copies: &copies{held: held}}).handOffCopies(t.Context()))
	for _, c := range []program.Cohort{"dc.a.1", "dc.b.1"} {
		is.NoErr(held.Hold(ledger.Copy{Cohort: c, Records: []ledger.Record{{Sequence: 1, Event: []byte("turn")}}}))
	}
	offered := map[program.Cohort]int{}
	holders := map[program.Cohort]int{"dc.a.1": 1, "dc.b.1": 2}
	err = handOffHeld(t.Context(), held, func(_ context.Context, c ledger.Copy) (int, error) {
		offered[c.Cohort] += len(c.Records)
		return holders[c.Cohort], errors.New("unreachable")
	})
	is.True(err != nil)
	is.Equal(offered, map[program.Cohort]int{"dc.a.1": 1, "dc.b.1": 1})
	holders["dc.a.1"] = 2
	is.NoErr(handOffHeld(t.Context(), held, func(_ context.Context, c ledger.Copy) (int, error) { return holders[c.Cohort], nil }))
}

// A holder is unreachable when the copies of an adopted cohort are released. Kept indefinitely,
// they would use up the space for others in the next outage. They are dropped once only the
// cohort's moved object exists, and not before.
func TestCopiesOfMovedCohortsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		api := standin.NewStore()
		held, err := ledger.OpenHeldCopies("", 0)
		is.NoErr(err)
		c := &copies{instance: &Instance{store: store.Track(api, nil)}, held: held}
		defer c.instance.store.Close()
		for _, cohort := range []program.Cohort{"dc.moved.1", "dc.retiring.1", "dc.unknown.1"} {
			is.NoErr(held.Hold(ledger.Copy{Cohort: cohort, Records: []ledger.Record{{Sequence: 1}}}))
		}
		for _, key := range []store.Key{ledger.MovedKey("dc.moved.1"), ledger.MovedKey("dc.retiring.1"), ledger.CohortKey("dc.retiring.1")} {
			_, err := api.Put(t.Context(), key, []byte("x"), 0)
			is.NoErr(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 2*forgetInterval)
		defer cancel()
		c.run(ctx)
		is.Equal(held.Cohorts(), []program.Cohort{"dc.retiring.1", "dc.unknown.1"})
	})
}
