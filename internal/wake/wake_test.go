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

// Guards against use of a configuration that was replaced while the machine was suspended: by the
// monotonic clock it was received a moment ago. A clock that includes the suspension must show the
// pause once, and short pauses must not be reported.
func TestSuspensionIsDetected(t *testing.T) {
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

// The clock must be positive and never go back.
func TestBootClockIsMonotonic(t *testing.T) {
	is := is.New(t)
	first := BootTime()
	is.True(first > 0)
	is.True(BootTime() >= first)
}

// Guards against a decision that is made just after a pause and before it is detected.
func TestPauseIsDetectedByTheFirstDecisionAfterIt(t *testing.T) {
	is := is.New(t)
	d, now := NewDetector(200*time.Millisecond), time.Unix(1000, 0)
	is.True(d.ResumedAt(now).IsZero())
	now = now.Add(time.Hour)
	is.True(d.ResumedAt(now).IsZero()) // nothing read the clock before
	for range 10 {
		d.Read(now)
		now = now.Add(200 * time.Millisecond)
		is.True(d.ResumedAt(now).IsZero())
	}
	now = now.Add(time.Second)
	is.Equal(d.ResumedAt(now), now)
	is.Equal(d.ResumedAt(now.Add(100*time.Millisecond)), now)
	is.Equal(d.ResumedAt(now.Add(-time.Second)), now) // a time taken before the pause ended
}

// Guards against information from before a suspension that counts as recent in the first decision after it.
func TestSuspensionIsDetectedByTheFirstDecisionAfterIt(t *testing.T) {
	is := is.New(t)
	var ran, suspended time.Duration
	s := newSuspensions(func() time.Duration { return ran + suspended }, func() time.Duration { return ran })
	detected := func(s *Suspensions) (yes bool) {
		s.Handle(func() {
			yes = true
			is.True(!s.mu.TryLock()) // another decision would be made before what is outdated is discarded
		})
		return yes
	}
	ran += time.Hour
	is.True(!detected(s))
	suspended += time.Second
	is.True(detected(s))
	is.True(!detected(s))
	is.True(!detected(NewSuspensions()))
}

// Guards against a process that was descheduled between the readings of the two clocks and takes that for a suspension, and
// against a suspension in that moment that is detected only after the decision, or never.
func TestInterruptedReadingIsNoSuspension(t *testing.T) {
	is := is.New(t)
	const long = time.Second
	var ran, suspended time.Duration
	// beforeMonotonic and afterMonotonic happen around the next reading of the monotonic clock, or around all.
	var beforeMonotonic, afterMonotonic func()
	always := false
	run := func(f *func()) {
		if *f != nil {
			(*f)()
		}
		if !always {
			*f = nil
		}
	}
	s := newSuspensions(func() time.Duration { return ran + suspended }, func() time.Duration {
		run(&beforeMonotonic)
		defer run(&afterMonotonic)
		return ran
	})
	detected := func() (yes bool) {
		s.Handle(func() { yes = true })
		return yes
	}
	deschedule, suspend := func() { ran += long }, func() { suspended += long }
	for _, interrupted := range []*func(){&beforeMonotonic, &afterMonotonic} {
		*interrupted = deschedule
		is.True(!detected())
		is.True(!detected())
		*interrupted = suspend
		is.True(detected())
		is.True(!detected())
	}
	suspend()
	always, beforeMonotonic = true, deschedule
	is.True(!detected())
	always, beforeMonotonic = false, nil
	is.True(detected())
	is.True(!detected())
}
