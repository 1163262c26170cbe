package node

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	_ "foxhall/internal/fuzzing" // one processor under the race detector
)

// Guards against calls that are late without a trace, since the process did not run.
func TestLatenessIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began, lines, registry := time.Now(), memory.New(), metrics.NewRegistry()
		var stopped atomic.Int64
		clock := func() time.Duration { return time.Since(began) + time.Duration(stopped.Load()) }
		ctx, cancel := context.WithCancel(context.Background())
		go watchLateness(ctx, clock, &log.Logger{Handler: lines}, registry)
		for _, d := range []time.Duration{0, maxLateness / 2, 400 * time.Millisecond} {
			stopped.Add(int64(d))
			time.Sleep(10*lateCheckInterval + time.Millisecond)
		}
		cancel()
		synctest.Wait()
		is.Equal(len(lines.Entries), 1)
		is.Equal(lines.Entries[0].Fields["late_ms"], int64(400))
		is.Equal(metrics.GetOrRegisterCounter("process.late_ms", registry).Count(), int64(400))
	})
}
