// Package wake detects pauses of this process: it was frozen, or its machine was suspended. State
// that the process read before may have changed unnoticed.
package wake

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since a fixed moment.
type Clock func() time.Duration

// BootTime is the clock that includes the time in which the machine was suspended. The monotonic clock
// behind time.Since excludes it, so that information received before a suspension would seem recent
// afterwards.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("wake: reading CLOCK_BOOTTIME failed: " + err.Error())
	}
	return time.Duration(t.Nano())
}

// Watch reads the clock at each interval until ctx ends. If more than interval + maxPause has
// passed since the last reading, it calls onPause with that time.
func Watch(ctx context.Context, clock Clock, interval, maxPause time.Duration, onPause func(pause time.Duration)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	last := clock()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		// The clock is read only once in each iteration. A pause between two readings would go
		// undetected.
		now := clock()
		if gap := now - last; gap > interval+maxPause {
			onPause(gap)
		}
		last = now
	}
}
