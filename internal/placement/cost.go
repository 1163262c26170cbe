package placement

const (
	// tieMargin is how close to the best cost a candidate counts as equal.
	// Instances that see the same late reports would otherwise all choose the
	// same upstream at the same moment.
	tieMargin = 0.03
	// tieFloor is the least margin in weighted seconds.
	minTieMargin = 0.01
	// othersWeight is the weight of what a step costs other calls. At 1 those
	// seconds count like its own, so that the sum over all programs is least;
	// the rest stands for what the delayed calls in turn cost the next ones.
	coRunnerWeight = 1.5
	// replicaShare is the part of a shared prefix's prefill that counts as
	// wasted while too few engines hold it.
	wantedCopyWeight = 0.25
	// patienceForHome bounds how long a step waits for a full upstream, as a
	// share of the time that it saves there.
	maxWaitPerSaving = 1.0
)

// Price estimates the course of a step at a candidate and its cost.
//
// Latency is what the program waits: way, queue, uncached prefill, decode, each
// at the learned speed and the measured slowness. Wasted is the prefill of
// tokens that some allowed candidate has cached.
func EstimateCost(c *Candidate, s *Step, bestCached int) Estimate {
	moved := movedTokens(c, s, bestCached)
	uncached := float64(max(0, s.Prompt-c.Cached-moved))
	batch := min(c.Load.Total+1, max(1, c.Slots))
	tokenTime := c.Speed.TokenTime(batch)
	e := Estimate{Slowness: c.Load.Slowness, MovedTokens: moved}
	e.Wait = moveTime(moved, s) + c.RTT.Seconds() + c.ConnectCost.Seconds() + c.Load.Slowness*(queueTime(c)+float64(c.Load.Backlog)/c.Speed.Prefill)
	e.Prefill = c.Load.Slowness * uncached / c.Speed.Prefill
	e.Decode = c.Load.Slowness*float64(s.Output)*tokenTime + serviceCallTime(c, s)
	e.CoRunnerCost = coRunnerTime(c, s, e.Prefill)
	e.RedundantPrefill = c.Load.Slowness * redundantTokens(c, s, bestCached) / c.Speed.Prefill
	e.Cost = s.LatencyWeight*(e.Total()+coRunnerWeight*e.CoRunnerCost+expectedErrorCost(c)) + s.CacheWeight*e.RedundantPrefill
	return e
}

const (
	// errorCost is what a call costs its program that is answered with a failure,
	// in seconds: the turn is sent again after a pause, and there are few tries.
	errorCost = 5
	// errorsFree is the share of failures that says nothing: services fail one
	// call in a hundred by themselves, and that one must not drive all calls to
	// the other replicas.
	toleratedErrorRate = 0.3
)

// errorTime is the expected cost of failures at a candidate, in seconds.
func expectedErrorCost(c *Candidate) float64 {
	return errorCost * max(0, c.Load.ErrorRate-toleratedErrorRate)
}

// serviceSpread is how many times the mean a service's calls take by themselves:
// a replica counts as slow only beyond it.
const toleratedServiceSlowness = 2

// serviceTime is the time of a call to a service. Without the measured slowness
// a replica that takes four times as long gets as many calls as the others, and
// programs wait for the slowest of their tools.
func serviceCallTime(c *Candidate, s *Step) float64 {
	return s.MeanCall * max(1, c.Load.Slowness/toleratedServiceSlowness)
}

// moveMin is the least number of tokens worth moving between engines.
const minMovedTokens = 1024

// movedTokens is what is better fetched from the engine that holds it than
// prefilled again.
func movedTokens(c *Candidate, s *Step, bestCached int) int {
	missing := min(bestCached, s.Prompt) - c.Cached
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

// queueTime is the time until a slot is free, where all are taken.
func queueTime(c *Candidate) float64 {
	slots := max(1, c.Slots)
	excess := c.Load.Total - slots + 1
	if excess <= 0 {
		return 0
	}
	return float64(excess) * c.Speed.Call / float64(slots)
}

// othersTime is what the calls already there lose: each of their tokens comes
// later by the slope of the batch, and prefill takes a share of the decode.
func coRunnerTime(c *Candidate, s *Step, prefill float64) float64 {
	running := float64(min(c.Load.Total, c.Slots))
	return running * (c.Speed.TokenPerCall*float64(s.Output) + 0.5*prefill) * c.Load.Slowness
}

func redundantTokens(c *Candidate, s *Step, bestCached int) float64 {
	if movedTokens(c, s, bestCached) > 0 {
		return 0
	}
	missing := float64(max(0, min(bestCached, s.Prompt)-c.Cached))
	if s.WantedCopies <= 0 {
		return missing
	}
	// A hot shared prefix is wanted on more engines: its copy is an
	// investment that later programs use, so only a share of it is waste.
	shared := float64(max(0, min(s.SharedTokens, bestCached)-c.Cached))
	return missing - (1-wantedCopyWeight)*min(shared, missing)
}

func chooseCost(candidates []Candidate, s *Step, d *Decision) {
	best, bestFull := -1, -1
	for i := range candidates {
		c := &candidates[i]
		switch c.Rejection {
		case Allowed:
			c.Estimate = EstimateCost(c, s, d.BestCached)
			best = cheaper(candidates, best, i)
		case Full:
			c.Estimate = EstimateCost(c, s, d.BestCached)
			bestFull = cheaper(candidates, bestFull, i)
		}
	}
	switch {
	case worthWaiting(candidates, best, bestFull, s):
		d.Chosen, d.Wait = bestFull, true
	case best < 0:
		return
	default:
		d.Chosen = breakTie(candidates, best, s, d)
	}
	d.Estimate = candidates[d.Chosen].Estimate
}

// cheaper returns the better of the best so far, -1 if none, and another.
func cheaper(candidates []Candidate, best, other int) int {
	if best < 0 || candidates[other].Estimate.Cost < candidates[best].Estimate.Cost {
		return other
	}
	return best
}

// worthWaiting reports that a full upstream is better even with the wait for
// it. The wait is bounded by what it saves, so that a wrong estimate of when
// it becomes free costs at most as much again.
func worthWaiting(candidates []Candidate, best, bestFull int, s *Step) bool {
	if bestFull < 0 {
		return false
	}
	if best < 0 {
		return true
	}
	full := &candidates[bestFull].Estimate
	saved := (candidates[best].Estimate.Cost - full.Cost) / max(s.LatencyWeight, 0.01)
	return saved > 0 && s.Waited.Seconds() < maxWaitPerSaving*(saved+full.Wait)
}

// breakTie chooses by chance among the candidates about as good as the best. Of
// these, one without a connection to spare is left out where another has one:
// a new connection costs the upstream more than the step.
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
	return c.Rejection == Allowed && c.Estimate.Cost <= limit
}

// mix is the finalizer of SplitMix64 (Steele et al., 2014): successive
// uniform bits from one random seed, without a lock or an allocation.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Capable reports whether any candidate could ever take the step; a step that
// only waits for a full one is capable.
func AnyCapable(d *Decision) bool { return d.Rejections[Allowed]+d.Rejections[Full] > 0 }
