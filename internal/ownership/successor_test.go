package ownership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/ledger"
	"foxhall/internal/program"
)

// An owner dies while the only other instance of the data centre considers itself isolated, so that it
// counts nobody as living. If it sealed the log then, the seal would name no successor, no instance
// could ever own the programs, and their callers would be redirected for ever.
func TestNoSealWithoutASuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		a, b := w.start(1), w.start(1)
		id := program.NewID(a.self.Cohort)
		is.NoErr(a.log.Append(context.Background(), ledger.Record{Program: id, Event: []byte("turn")}))
		w.setIsolated(b, true)
		w.crash(a)
		time.Sleep(time.Minute)
		w.setIsolated(b, false)
		time.Sleep(10 * time.Second)
		owner, err := b.reconciler.Directory().Locate(context.Background(), id)
		is.NoErr(err)
		is.True(owner.IsSelf)
		is.True(b.reconciler.Adopted(id))
		b.close()
	})
}
