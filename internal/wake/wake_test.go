package wake

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	_ "foxhall/internal/fuzzing" // one processor under the race detector
)

// An instance goes on by a configuration that was replaced while its machine was
// suspended: by its steady clock it heard of it a moment ago. The pause must show
// by a clock that counts it, once, and short ones must not.
func TestSuspensionShows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		var suspended atomic.Int64
		clock := func() time.Duration { return time.Since(began) + time.Duration(suspended.Load()) }
		ctx, cancel := context.WithCancel(context.Background())
		var pauses []time.Duration
		go Watch(ctx, clock, 100*time.Millisecond, time.Second, func(p time.Duration) { pauses = append(pauses, p) })
		time.Sleep(450 * time.Millisecond)
		suspended.Add(int64(900 * time.Millisecond))
		time.Sleep(time.Second)
		is.Equal(len(pauses), 0)
		suspended.Add(int64(5 * time.Second))
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		is.Equal(pauses, []time.Duration{5*time.Second + 100*time.Millisecond})
	})
}

// The clock must be one that goes on, in steps fine enough to show a pause.
func TestBootClockGoesOn(t *testing.T) {
	is := is.New(t)
	first := Boot()
	is.True(first > 0)
	is.True(Boot() >= first)
}
