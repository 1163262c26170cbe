package placement

const (
	// tieMargin is the relative difference from the best cost up to which a candidate counts as
	// equal. Instances that see the same delayed reports would otherwise all choose the same
	// upstream at the same moment.
	tieMargin = 0.03
	// minTieMargin is the minimum margin, in weighted seconds.
	minTieMargin = 0.01
	// coRunnerWeight is the weight of the delay that a step causes to other calls. A weight of 1
	// counts their seconds like the step's own, which minimizes the sum over all programs. The
	// part above 1 accounts for the calls that the delayed calls delay in turn.
	coRunnerWeight = 1.5
	// wantedCopyWeight is the fraction of a shared prefix's prefill that counts as redundant while
	// too few engines have the prefix cached.
	wantedCopyWeight = 0.25
	// maxWaitPerSaving bounds how long a step waits for a full upstream, as a multiple of the time
	// that it saves there.
	maxWaitPerSaving = 1.0
)

// EstimateCost estimates the times of a step at a candidate and its cost.
//
// Latency is the time that the program waits: RTT, connection, cache move, queue, uncached prefill
// and decode. Queue, prefill and decode are at the learned speed and the measured slowness.
// Redundant prefill is the prefill of tokens that some allowed candidate has cached.
func EstimateCost(c *Candidate, s *Step, bestCached int) Estimate {
	moved := movedTokens(c, s, bestCached)
	uncached := float64(max(0, s.PromptTokens-c.CachedTokens-moved))
	batch := min(c.Load.Total+1, max(1, c.Slots))
	tokenTime := c.Speed.TokenTime(batch)
	e := Estimate{Slowness: c.Load.Slowness, MovedTokens: moved}
	e.Wait = moveTime(moved, s) + c.RTT.Seconds() + c.ConnectCost.Seconds() + c.Load.Slowness*(queueTime(c)+float64(c.Load.Backlog)/c.Speed.Prefill)
	e.Prefill = c.Load.Slowness * uncached / c.Speed.Prefill
	e.Decode = c.Load.Slowness*float64(s.OutputTokens)*tokenTime + serviceCallTime(c, s)
	e.CoRunnerCost = coRunnerTime(c, s, e.Prefill)
	e.RedundantPrefill = c.Load.Slowness * redundantTokens(c, s, bestCached) / c.Speed.Prefill
	e.Cost = s.LatencyWeight*(e.Total()+coRunnerWeight*e.CoRunnerCost+expectedErrorCost(c)) + s.CacheWeight*e.RedundantPrefill
	return e
}

const (
	// errorCost is the cost of a failed call to its program, in seconds: the turn is retried after
	// a backoff, and may be attempted a few times only.
	errorCost = 5
	// toleratedErrorRate is the error rate up to which errors are ignored. Services fail one call
	// in a hundred in normal operation, and a single failure must not divert all calls to the
	// other replicas.
	toleratedErrorRate = 0.3
)

// expectedErrorCost returns the expected cost of errors at a candidate, in seconds.
func expectedErrorCost(c *Candidate) float64 {
	return errorCost * max(0, c.Load.ErrorRate-toleratedErrorRate)
}

// toleratedServiceSlowness is the multiple of the mean that service calls take by normal variation.
// A replica counts as slow only above it.
const toleratedServiceSlowness = 2

// serviceCallTime returns the expected duration of a call to a service, in seconds. Without the
// measured slowness, a replica that takes four times as long would get as many calls as the others,
// and programs wait for the slowest of their tools.
func serviceCallTime(c *Candidate, s *Step) float64 {
	return s.MeanCall * max(1, c.Load.Slowness/toleratedServiceSlowness)
}

// minMovedTokens is the minimum number of tokens worth moving between engines.
const minMovedTokens = 1024

// movedTokens returns the number of tokens that are faster to fetch from the engine that has them
// cached than to prefill again.
func movedTokens(c *Candidate, s *Step, bestCached int) int {
	missing := min(bestCached, s.PromptTokens) - c.CachedTokens
	if missing < minMovedTokens || s.MoveTokensPerSecond <= c.Speed.Prefill {
		return 0
	}
	return missing
}

func moveTime(tokens int, s *Step) float64 {
	if tokens == 0 {
		return 0
	}
	return float64(tokens) / s.MoveTokensPerSecond
}

// queueTime returns the expected time until a slot is free, in seconds; 0 if one is free now.
func queueTime(c *Candidate) float64 {
	slots := max(1, c.Slots)
	excess := c.Load.Total - slots + 1
	if excess <= 0 {
		return 0
	}
	return float64(excess) * c.Speed.CallSeconds / float64(slots)
}

// coRunnerTime returns the total delay, in seconds, that the step causes to the calls already running
// at the candidate. The larger batch delays each of their tokens, and each call is delayed by half
// of the prefill time.
func coRunnerTime(c *Candidate, s *Step, prefill float64) float64 {
	running := float64(min(c.Load.Total, c.Slots))
	return running * (c.Speed.TokenPerCall*float64(s.OutputTokens) + 0.5*prefill) * c.Load.Slowness
}

func redundantTokens(c *Candidate, s *Step, bestCached int) float64 {
	if movedTokens(c, s, bestCached) > 0 {
		return 0
	}
	missing := float64(max(0, min(bestCached, s.PromptTokens)-c.CachedTokens))
	if s.WantedCopies <= 0 {
		return missing
	}
	// More copies of a popular shared prefix are wanted. Later programs use a new copy, so only a
	// fraction of its prefill counts as redundant.
	shared := float64(max(0, min(s.SharedTokens, bestCached)-c.CachedTokens))
	return missing - (1-wantedCopyWeight)*min(shared, missing)
}

func chooseCost(candidates []Candidate, s *Step, d *Decision) {
	best, bestFull, bestAgain, bestFullAgain := -1, -1, -1, -1
	mayReopen := false
	for i := range candidates {
		c := &candidates[i]
		if c.Rejection == CircuitOpen && c.Load.MayReopen {
			mayReopen = true
		}
		if c.Rejection != Allowed && !c.Rejection.isFull() {
			continue
		}
		c.Estimate = EstimateCost(c, s, d.BestCached)
		judgeLateness(candidates, i, s, d)
		switch {
		case c.Late:
		case c.Rejection == Allowed && c.Refusal == 0:
			best = cheaper(candidates, best, i)
		case c.Rejection == Allowed:
			bestAgain = refusedEarlier(candidates, bestAgain, i)
		case c.Refusal == 0:
			bestFull = cheaper(candidates, bestFull, i)
		default:
			bestFullAgain = cheaper(candidates, bestFullAgain, i)
		}
	}
	if best < 0 || !isInTime(&candidates[best], s) {
		if bestAgain >= 0 && (best < 0 || isInTime(&candidates[bestAgain], s)) {
			best = bestAgain
		}
		if bestFullAgain >= 0 {
			bestFull = cheaper(candidates, bestFull, bestFullAgain)
		}
	}
	switch {
	case best < 0 && bestFull < 0 && d.Soonest >= 0 && mayReopen:
		d.AwaitsReopening = true
		return
	case best < 0 && bestFull < 0 && d.Soonest >= 0:
		d.Late, d.Chosen, d.ShouldWait = true, d.Soonest, candidates[d.Soonest].Rejection != Allowed
	case worthWaiting(candidates, best, bestFull, s):
		d.Chosen, d.ShouldWait = bestFull, true
	case best < 0:
		return
	case best == bestAgain:
		d.Chosen, d.Ties = best, 1
	default:
		d.Chosen = breakTie(candidates, best, s, d)
	}
	d.Estimate = candidates[d.Chosen].Estimate
}

// cheaper returns the index with the lower cost of best and other. A best of -1 means none yet.
func cheaper(candidates []Candidate, best, other int) int {
	if best < 0 || candidates[other].Estimate.Cost < candidates[best].Estimate.Cost {
		return other
	}
	return best
}

// refusedEarlier returns the index of the one that refused the step longer ago, so that all are tried in turn. A best of
// -1 means none yet.
func refusedEarlier(candidates []Candidate, best, other int) int {
	if best < 0 || candidates[other].Refusal < candidates[best].Refusal {
		return other
	}
	return best
}

// worthWaiting reports whether the best full upstream is better than the best free one even with
// the wait for it. The wait is bounded by the time that it saves, so that a wrong estimate of when
// a slot becomes free costs at most as much again.
func worthWaiting(candidates []Candidate, best, bestFull int, s *Step) bool {
	if bestFull < 0 {
		return false
	}
	if best < 0 {
		return true
	}
	full := &candidates[bestFull].Estimate
	saved := (candidates[best].Estimate.Cost - full.Cost) / max(s.LatencyWeight, 0.01)
	return saved > 0 && leavesTimeFor(&candidates[best], &candidates[bestFull], s) && s.Waited.Seconds() < maxWaitPerSaving*(saved+full.Wait)
}

// breakTie chooses at random among the candidates whose cost is within the tie margin of the best.
// Of these, only those with the lowest connection cost take part, because a new connection costs
// the upstream more than the step.
func breakTie(candidates []Candidate, best int, s *Step, d *Decision) int {
	cost := candidates[best].Estimate.Cost
	limit := cost + max(minTieMargin, tieMargin*cost)
	connect := candidates[best].ConnectCost
	for i := range candidates {
		if tied(&candidates[i], limit) {
			connect = min(connect, candidates[i].ConnectCost)
		}
	}
	random := s.Random
	chosen := best
	for i := range candidates {
		if c := &candidates[i]; !tied(c, limit) || c.ConnectCost > connect {
			continue
		}
		d.Ties++
		if random = splitMix64(random); random%uint64(d.Ties) == 0 {
			chosen = i
		}
	}
	return chosen
}

func tied(c *Candidate, limit float64) bool {
	return c.Rejection == Allowed && !c.Late && c.Refusal == 0 && c.Estimate.Cost <= limit
}

// splitMix64 is the finalizer of SplitMix64 (Steele et al., 2014). It derives successive uniform
// bits from one random seed without a lock or an allocation.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// AnyCapable reports whether any candidate is able to take the step, now or once it has a free slot.
func AnyCapable(d *Decision) bool { return d.Rejections[Allowed]+d.FullCount() > 0 }
