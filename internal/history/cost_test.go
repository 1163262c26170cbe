package history

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
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
				n += m.process.keeper.looks.Load()
			}
			return n
		}
		before := count()
		time.Sleep(30 * time.Second)
		looks = (count() - before) / int64(keepers)
		w.stopAll()
		time.Sleep(releaseTime)
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
