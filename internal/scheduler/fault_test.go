package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/placement"
	"foxhall/internal/standin"
)

// faultLoad is low enough that the other engines can take over the work of a failed one.
const faultLoad = 0.5

type faultCase struct {
	name   string
	faults standin.EngineFaults
	// engines is the number of faulty engines, the fast one first.
	engines int
	// duration is the duration of the fault; 0 for unlimited.
	duration time.Duration
	// detection is how long after the fault new steps may still be sent to the faulty engines, and
	// maxTrials is how many may be sent in the 30 s after that, as half-open trials; -1 for any.
	detection time.Duration
	maxTrials int
}

// Each case is a fault of one or more engines while programs run on them. Callers may only see
// slower programs: every program finishes, each response matches the program's own history, and
// once the fault is detected no new step but half-open trials is sent to the engine.
var faultCases = []faultCase{
	// Connections are refused and calls in flight are cut. Detected at the first refusal.
	{name: "crashes", faults: standin.EngineFaults{Down: true}, engines: 1, detection: 3 * time.Second, maxTrials: 0},
	// Calls are accepted and make no progress. Detected at the longest progress timeout.
	{name: "hangs", faults: standin.EngineFaults{Hang: true}, engines: 1, detection: 20 * time.Second, maxTrials: 20},
	// The engines drain. Their responses and load reports say so.
	{name: "half of the engines drain", faults: standin.EngineFaults{Leaving: true}, engines: 8, detection: 3 * time.Second, maxTrials: 0},
	{name: "slow", faults: standin.EngineFaults{Slow: 10}, engines: 1, detection: 20 * time.Second, maxTrials: -1},
	{name: "wrong load reports", faults: standin.EngineFaults{LieLoad: true}, engines: 5, maxTrials: -1},
	{name: "drops events", faults: standin.EngineFaults{DropEvents: true}, engines: 5, duration: 30 * time.Second, maxTrials: -1},
	{name: "restarts with an empty cache", faults: standin.EngineFaults{Restart: true}, engines: 5, maxTrials: -1},
}

func TestFaults(t *testing.T) {
	for _, c := range faultCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var b *bench
			var out outcome
			synctest.Test(t, func(t *testing.T) {
				b = newBench(kerlouan, placement.Cost, 7)
				b.onFault = func() { b.injectFaults(c) }
				b.arrivalDuration = faultAfter + 50*time.Second
				out = b.run(t, faultLoad)
			})
			b.check(t, c, out)
		})
	}
}

func (b *bench) injectFaults(c faultCase) {
	for i := range c.engines {
		e := b.fleet[fmt.Sprintf("e%02d", i)]
		e.SetFaults(c.faults)
		if c.duration > 0 {
			time.AfterFunc(c.duration, func() { e.SetFaults(standin.EngineFaults{}) })
		}
	}
}

func (b *bench) check(t *testing.T, c faultCase, out outcome) {
	is := is.New(t)
	is.Equal(out.wrong, 0)
	is.Equal(out.lost+out.missedDeadline+out.refused, 0)
	is.Equal(len(out.latencies), out.began) // no program is lost
	before := b.sentBetween("e00", -30*time.Second, 0)
	after := 0
	for i := range c.engines {
		after += b.sentBetween(fmt.Sprintf("e%02d", i), c.detection, c.detection+30*time.Second)
	}
	lastSent := time.Duration(0)
	for _, at := range b.sentAt["e00"] {
		lastSent = max(lastSent, at.Sub(b.warmUpEnd.Add(faultAfter)))
	}
	if c.maxTrials >= 0 {
		is.True(after <= c.maxTrials) // new steps were sent after the fault was detected
	}
	slices.Sort(out.latencies)
	t.Logf("%s: %d steps to e00 in the 30 s before the fault, %d to the faulty engines in the 30 s from %v after it; last step to e00 after %v; program p50 %.1f s, p95 %.1f s of %d programs",
		c.name, before, after, c.detection, lastSent.Round(100*time.Millisecond), quantile(out.latencies, 0.5), quantile(out.latencies, 0.95), out.began)
}
