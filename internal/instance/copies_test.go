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

// A rack with an owner and both holders of its copies fails in an outage of the
// object API. The holders are declared dead before their owner. Left out of the
// count, they would have turns that callers were told are durable pass for never
// taken, unseen. A holder that is only silent yet counts as well; one that left
// had handed its copies on.
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

// A holder dies while others can't be reached for longer than one try. Given up
// after it, one copy of the turns is left, and a second death loses them. So it
// is tried until it succeeds, and once more for a death meanwhile.
func TestReplicateHeldRetriesUntilSuccess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, attempts := &copies{}, 0
		c.replicateHeld(func(context.Context) error {
			if attempts++; attempts < 3 {
				return ledger.ErrUnsettled
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

// Two holders are stopped as planned while the object API is down, one after
// the other. Had the first not given its copies to peers, the second would take
// the last ones along. What too few took is told, so that the instance counts
// as lost.
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

// A holder can't be reached when the copies of an adopted cohort are let go.
// Kept for ever, they take the room for others in the next outage. They are
// forgotten once only the cohort's moved object is left, and none before.
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
