package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/origin"
)

// Guards against operators who don't learn since when an instance was out of step with the store: cut off, or paused, after
// which no response counts. An instance that starts is not out of step.
func TestOutOfDateViewIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	v, now := &viewAges{}, time.Now()
	update := func(after, age time.Duration) (changed bool, notCurrentFor time.Duration) {
		now = now.Add(after)
		changed, since := v.update(age, now)
		return changed, now.Sub(since)
	}
	unconfirmed := time.Since(time.Time{})
	changed, _ := update(0, unconfirmed)
	is.True(!changed)
	changed, _ = update(time.Second, 0)
	is.True(!changed)
	changed, _ = update(time.Second, time.Second)
	is.True(!changed)
	changed, lasted := update(origin.MaxViewAge, unconfirmed)
	is.True(changed)
	is.Equal(lasted, origin.MaxViewAge+time.Second)
	changed, _ = update(time.Second, origin.MaxViewAge+time.Second)
	is.True(!changed)
	changed, lasted = update(time.Second, 0)
	is.True(changed)
	is.Equal(lasted, origin.MaxViewAge+3*time.Second)
}
