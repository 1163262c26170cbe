package instance

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/ledger"
	"foxhall/internal/settings"
	"foxhall/internal/standin"
	"foxhall/internal/store"
)

// While an instance was paused, another one marked its log as about to be sealed and died before it
// wrote the seal. The mark remains, and an instance that waited for its removal would refuse every
// step indefinitely. An entry that the log accepts proves that the instance still owns its
// programs.
func TestAbandonedSealMarkDoesNotBlockSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		api := standin.NewStore()
		i := &Instance{cohort: "dc.me.1", store: store.Track(api, nil)}
		defer i.store.Close()
		i.settings.Store.Timeout = settings.Duration(time.Second)
		var err error
		i.log, err = ledger.Open(t.Context(), ledger.Options{Cohort: i.cohort, Store: i.store, WritesPerSecond: 100})
		is.NoErr(err)
		defer i.log.Close()
		synctest.Wait()
		is.NoErr(ledger.UpdateCohort(t.Context(), api, i.cohort, func(c *ledger.Cohort) bool {
			c.Sealing = true
			return true
		}))
		p := &pauseGuard{instance: i, maxPause: time.Second, clock: func() time.Duration { return 0 }}
		p.uncertain.Store(true)
		p.confirmOwnership(t.Context())
		is.True(p.Held())
		_, err = ledger.SealLog(t.Context(), api, i.cohort, ledger.Seal{By: "dc.b.1"})
		is.NoErr(err)
		p.uncertain.Store(true)
		p.confirmOwnership(t.Context())
		is.True(!p.Held())
	})
}
