package placement

import (
	"time"

	"foxhall/internal/urgency"
)

const (
	// minEstimateLifetime is how long an estimate counts at least after the latest response that it was learned from. A
	// longer one counts for the time that it tells.
	minEstimateLifetime = time.Second
	// waitReserve is the time before the last moment for an upstream with a place at which a step stops waiting for a
	// better one: that of two scans of the queue.
	waitReserve = 100 * time.Millisecond
)

// leastTimes returns the least time that the step takes at the candidate, and the part of it that is the call's own.
// They are 0 if the candidate has not responded of late: an estimate by which calls are refused gets no further samples,
// and would refuse them for ever.
func leastTimes(c *Candidate, s *Step) (all, own time.Duration) {
	if c.SpeedAge < 0 || c.SpeedAge > max(minEstimateLifetime, seconds(c.Estimate.Total())) {
		return 0, 0
	}
	wait, call := seconds(c.Estimate.Wait), seconds(c.Estimate.Prefill+c.Estimate.Decode)
	if s.MeanCall > 0 {
		call = 0 // calls of services vary so widely that only the wait before them is certain
	}
	return urgency.CertainDuration(wait, call), urgency.CertainDuration(0, call)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// judgeLateness records whether the candidate can't complete the step by its deadline, and updates the least times over
// all candidates.
func judgeLateness(candidates []Candidate, i int, s *Step, d *Decision) {
	if !s.HasDeadline {
		return
	}
	c := &candidates[i]
	all, own := leastTimes(c, s)
	c.Late = all > s.Left
	if d.Soonest < 0 || all < d.Least {
		d.Soonest, d.Least = i, all
	}
	if d.LeastOwn < 0 || own < d.LeastOwn {
		d.LeastOwn = own
	}
}

// judgeAll records whether the step is late at all candidates, of which none was chosen by its estimate.
func judgeAll(candidates []Candidate, s *Step, d *Decision) {
	inTime := false
	for i := range candidates {
		c := &candidates[i]
		if c.Rejection != Allowed && !c.Rejection.isFull() {
			continue
		}
		c.Estimate = EstimateCost(c, s, d.BestCached)
		judgeLateness(candidates, i, s, d)
		inTime = inTime || !c.Late
	}
	d.Late = d.Soonest >= 0 && !inTime
}

// isInTime reports whether the step is expected to be completed at the candidate by its deadline.
func isInTime(c *Candidate, s *Step) bool {
	return !s.HasDeadline || seconds(c.Estimate.Total()) <= s.Left
}

// leavesTimeFor reports whether a step that waits for a better candidate can still go to the free one later, or would
// miss its deadline there anyway.
func leavesTimeFor(free, better *Candidate, s *Step) bool {
	if !s.HasDeadline || s.Left > seconds(free.Estimate.Total())+waitReserve {
		return true
	}
	return !isInTime(free, s) && isInTime(better, s)
}
