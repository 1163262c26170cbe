// Package wake detects pauses of this process: it was frozen, or its machine was suspended. State
// that the process read before may have changed unnoticed.
package wake

import (
	"context"
	"sync"
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

// monotonic is the clock behind time.Since.
func monotonic() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic("wake: reading CLOCK_MONOTONIC failed: " + err.Error())
	}
	return time.Duration(t.Nano())
}

const (
	// maxDrift is the most by which the two clocks may drift apart between two readings without a suspension.
	maxDrift = 50 * time.Millisecond
	// maxReadingTime is the most that reading both clocks may take for the difference to be usable, maxReadings how often
	// they are read for a usable one.
	maxReadingTime = 5 * time.Millisecond
	maxReadings    = 10
)

// Suspensions detects that the machine was suspended, before the first decision by times from before it. It is safe for
// concurrent use.
type Suspensions struct {
	boot, monotonic Clock

	mu     sync.Mutex
	offset time.Duration
}

// NewSuspensions returns a detector of suspensions from now on.
func NewSuspensions() *Suspensions { return newSuspensions(BootTime, monotonic) }

func newSuspensions(boot, monotonic Clock) *Suspensions {
	s := &Suspensions{boot: boot, monotonic: monotonic}
	s.offset, _ = s.readOffset() // without a usable reading, the first call reports a suspension
	return s
}

// Handle calls onSuspension if the machine was suspended since the last call. Concurrent calls return only after
// it, so that none decides by what it discards.
func (s *Suspensions) Handle(onSuspension func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset, ok := s.readOffset()
	if !ok {
		return // the next call compares with the same offset
	}
	before := s.offset
	s.offset = offset
	if offset-before > maxDrift {
		onSuspension()
	}
}

// readOffset returns the time by which the boot clock is ahead of the monotonic one. A reading during which the process
// did not run shows too low an offset, so that the next one would look like a suspension.
func (s *Suspensions) readOffset() (offset time.Duration, ok bool) {
	for range maxReadings {
		began := s.boot()
		offset = began - s.monotonic()
		if s.boot()-began <= maxReadingTime {
			return offset, true
		}
	}
	return 0, false
}

// Detector detects a pause of this process before the first decision after it. After a pause, timers
// fire before the sockets are read, so that all others seem to have been silent as long as the pause
// took; Watch may report it too late. It is safe for concurrent use.
type Detector struct {
	maxPause time.Duration

	mu sync.Mutex
	// lastReading is zero before the first reading.
	lastReading, resumedAt time.Time
}

// NewDetector returns a detector of pauses longer than maxPause.
func NewDetector(maxPause time.Duration) *Detector { return &Detector{maxPause: maxPause} }

// Read reads the clock. It is to be called at intervals well below maxPause; the first call begins
// the detection.
func (d *Detector) Read(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.read(now)
}

func (d *Detector) read(now time.Time) {
	if !d.lastReading.IsZero() && now.Sub(d.lastReading) > d.maxPause {
		d.resumedAt = now
	}
	if now.After(d.lastReading) {
		d.lastReading = now
	}
}

// ResumedAt returns the end of the last pause up to now, or the zero time if there was none.
func (d *Detector) ResumedAt(now time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.lastReading.IsZero() {
		d.read(now)
	}
	return d.resumedAt
}
