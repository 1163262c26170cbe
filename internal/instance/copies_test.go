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
func TestHoldersDeclaredDeadBeforeTheirOwner(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := membership.NewTable("dc.me.1", "", membership.Report{}, membership.DefaultTiming(), now)
	dead := func(c program.Cohort, ago time.Duration, left bool) {
		table.Merge(membership.Record{Cohort: c, State: membership.Dead, DeadFor: ago, LeftGracefully: left}, now)
	}
	dead("dc.owner.1", 10*time.Second, false)
	dead("dc.b.1", 30*time.Second, false)
	dead("dc.c.1", 25*time.Second, false)
	dead("dc.left.1", 5*time.Second, true)
	dead("dc.old.1", 5*time.Minute, false)
	dead("other.d.1", 5*time.Second, false)
	is.Equal(lostHolders(table.View(now), "dc", "dc.owner.1"), 2)
	table.Merge(membership.Record{Cohort: "dc.silent.1", State: membership.Suspect}, now)
	is.Equal(lostHolders(table.View(now), "dc", "dc.owner.1"), 3)
}

// A holder dies while others can't be reached for longer than one try. Given up
// after it, one copy of the turns is left, and a second death loses them. So it
// is tried until it succeeds, and once more for a death meanwhile.
func TestCopiesAreHeldAgainUntilItSucceeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, tries := &copies{}, 0
		c.rehold(func(context.Context) error {
			if tries++; tries < 3 {
				return ledger.ErrUnsettled
			}
			if tries == 3 {
				c.rehold(nil)
			}
			return nil
		})
		is.Equal(tries, 4)
		c.rehold(func(context.Context) error { return ledger.ErrClosed })
	})
}

// Two holders are stopped as planned while the object API is down, one after
// the other. Had the first not given its copies to peers, the second would take
// the last ones along. What too few took is told, so that the instance counts
// as lost.
func TestLeavingHolderHandsItsCopiesOn(t *testing.T) {
	is := is.New(t)
	held, err := ledger.OpenHeldCopies("", 0)
	is.NoErr(err)
	is.NoErr((&Instance{copies: &copies{held: held}}).handOnCopies(t.Context()))
	for _, c := range []program.Cohort{"dc.a.1", "dc.b.1"} {
		is.NoErr(held.Hold(ledger.Copy{Cohort: c, Records: []ledger.Record{{Sequence: 1, Event: []byte("turn")}}}))
	}
	given := map[program.Cohort]int{}
	takers := map[program.Cohort]int{"dc.a.1": 1, "dc.b.1": 2}
	err = handOn(t.Context(), held, func(_ context.Context, c ledger.Copy) (int, error) {
		given[c.Cohort] += len(c.Records)
		return takers[c.Cohort], errors.New("unreachable")
	})
	is.True(err != nil)
	is.Equal(given, map[program.Cohort]int{"dc.a.1": 1, "dc.b.1": 1})
	takers["dc.a.1"] = 2
	is.NoErr(handOn(t.Context(), held, func(_ context.Context, c ledger.Copy) (int, error) { return takers[c.Cohort], nil }))
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
		ctx, cancel := context.WithTimeout(t.Context(), 2*forgetEvery)
		defer cancel()
		c.run(ctx)
		is.Equal(held.Cohorts(), []program.Cohort{"dc.retiring.1", "dc.unknown.1"})
	})
}
