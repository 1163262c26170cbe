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

// faultLoad leaves the other engines room for a lost one's work.
const faultLoad = 0.5

type faultCase struct {
	name   string
	faults standin.EngineFaults
	// engines is the number of engines that misbehave, the fast one first.
	engines int
	// lasts is when the fault ends; 0 for never.
	duration time.Duration
	// graceful is how long new work may still come, and trickle how many steps
	// may come in the half minute after, as trials.
	detection time.Duration
	maxTrials int
}

// An engine fails in one of the ways below while programs run on it. Callers
// see slower programs, and nothing else: every program finishes, each answer
// is the one to its own history, and but for single trials no new work goes to
// the engine once its state has shown.
var faultCases = []faultCase{
	// Connections are refused and calls under way are cut: known at the first refusal.
	{name: "dies", faults: standin.EngineFaults{Down: true}, engines: 1, detection: 3 * time.Second, maxTrials: 0},
	// Calls are accepted and stand still: known when the most patient call has waited in vain.
	{name: "hangs", faults: standin.EngineFaults{Hang: true}, engines: 1, detection: 20 * time.Second, maxTrials: 20},
	// It drains: its answers and its reports say so.
	{name: "half leave", faults: standin.EngineFaults{Leaving: true}, engines: 8, detection: 3 * time.Second, maxTrials: 0},
	{name: "slow", faults: standin.EngineFaults{Slow: 10}, engines: 1, detection: 20 * time.Second, maxTrials: -1},
	{name: "lies about load", faults: standin.EngineFaults{LieLoad: true}, engines: 5, maxTrials: -1},
	{name: "drops events", faults: standin.EngineFaults{DropEvents: true}, engines: 5, duration: 30 * time.Second, maxTrials: -1},
	{name: "restarts cold", faults: standin.EngineFaults{Restart: true}, engines: 5, maxTrials: -1},
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
	is.Equal(out.lost+out.late+out.refused, 0)
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
		is.True(after <= c.maxTrials) // new work came after its state had shown
	}
	slices.Sort(out.latencies)
	t.Logf("%s: %d steps to e00 in the 30 s before, %d to the faulty ones in the 30 s from %v on; last after %v; program p50 %.1f s, p95 %.1f s of %d",
		c.name, before, after, c.detection, lastSent.Round(100*time.Millisecond), quantile(out.latencies, 0.5), quantile(out.latencies, 0.95), out.began)
}
