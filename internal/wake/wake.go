// Package wake tells a process that it did not run for a while: it was frozen,
// or its machine was suspended. What it held before may have changed unseen.
package wake

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since some fixed moment.
type Clock func() time.Duration

// Boot is the clock that counts the time in which the machine was suspended,
// which the steady clock behind time.Since leaves out. With that one a process
// takes what it heard before a suspension for fresh.
func Boot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("wake: the boot clock can't be read: " + err.Error())
	}
	return time.Duration(t.Nano())
}

// Watch looks at the clock at each interval until ctx ends, and calls woke with
// the length of each pause that was longer than the longest that does no harm.
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
		// The clock is read once: a pause between two readings would be taken
		// for seen and never show.
		now := clock()
		if gap := now - last; gap > interval+maxPause {
			onPause(gap)
		}
		last = now
	}
}
