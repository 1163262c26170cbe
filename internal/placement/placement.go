// Package placement decides which upstream a step is sent to. Its functions are pure: they filter
// a snapshot of the candidates, estimate costs and choose, without I/O, so that a decision can be
// replayed from its log line.
package placement

import (
	"time"

	"foxhall/internal/upstream"
)

// Policy is a placement policy.
type Policy string

// The policies. Cost is the default; the others are baselines for comparison.
const (
	Cost          Policy = "cost"
	RoundRobin    Policy = "round-robin"
	LeastInFlight Policy = "least-in-flight"
	ProgramHash   Policy = "program-hash"
	PrefixOnly    Policy = "prefix-only"
)

// Policies lists all policies, the default first.
var Policies = []Policy{Cost, RoundRobin, LeastInFlight, ProgramHash, PrefixOnly}

// Candidate is a snapshot of one upstream, the input of a decision.
type Candidate struct {
	// Index is the upstream's index in the caller's list.
	Index int
	// ID is the upstream's identity in the table.
	ID    uint32
	Slots int
	Load  upstream.Load
	Speed upstream.Speed
	// CachedTokens is the number of the prompt's tokens that the upstream has cached.
	CachedTokens int
	// RTT is the round-trip time to the upstream's data centre; 0 in this data centre.
	RTT time.Duration
	// ViewAge is the age of the view of the upstream's data centre; 0 in this data centre.
	ViewAge time.Duration
	// ConnectCost is the cost of a new connection; 0 if one is idle.
	ConnectCost time.Duration
	// NoConnection is set if no connection is idle and no further one may be opened.
	NoConnection bool
	// Refusal is set if the upstream refused this step before, for its load: the higher the later. It gets the step
	// again, and is waited for, only if no other with a place is expected to complete it in time.
	Refusal int
	// SpeedAge is the time since the latest response from which Speed was learned; -1 if there was none.
	SpeedAge time.Duration
	// Estimate is set by Decide, and Late if the step can't be completed there by its deadline.
	Estimate Estimate
	Late     bool
	// Rejection is the reason why the candidate is rejected, or Allowed.
	Rejection Reason
}

// Reason is the reason why a candidate is rejected.
type Reason uint8

// The reasons, in the order in which they are checked.
const (
	Allowed Reason = iota
	NotGranted
	OtherVersion
	Tried
	Avoided
	NotLoaded
	Draining
	CircuitOpen
	Stalled
	ViewTooOld
	Full
	NoConnection
	reasonCount
)

// String returns the reason's name in log lines.
func (r Reason) String() string {
	return [...]string{"allowed", "not-granted", "other-version", "tried", "avoided", "not-loaded", "leaving", "broken", "stalled", "view-too-old", "full", "no-connection"}[r]
}

// isFull reports whether the candidate can take the step once a call that is under way there has ended.
func (r Reason) isFull() bool { return r == Full || r == NoConnection }

// Step is the step to be placed.
type Step struct {
	// PromptTokens is the length of the prompt and OutputTokens the expected length of the output, in tokens.
	PromptTokens, OutputTokens int
	// MeanCall is the mean duration of a call to the service, in seconds; 0 for a model call.
	MeanCall float64
	// LatencyWeight is the weight of a second of waiting, and CacheWeight that of a second of
	// redundant prefill.
	LatencyWeight, CacheWeight float64
	// LastUpstream is the identity of the upstream of the program's last step; 0 if none.
	LastUpstream uint32
	// ProgramHash is a hash of the program and DecisionNumber counts decisions. Both are used by the baselines.
	ProgramHash, DecisionNumber uint64
	// Random is uniformly distributed bits, used to break ties.
	Random uint64
	// Waited is how long the step has waited in the queue.
	Waited time.Duration
	// Left is the time until the step's deadline, if HasDeadline is set.
	Left        time.Duration
	HasDeadline bool
	// MoveTokensPerSecond is the rate at which the program's cache can be moved to another engine;
	// 0 if it cannot be moved.
	MoveTokensPerSecond float64
	// MaxViewAge is the maximum age of the view of another data centre; 0 for the constant
	// MaxViewAge.
	MaxViewAge time.Duration
	// WantedCopies is the number of engines that should cache the step's shared prefix, and
	// SharedTokens is the length of the prefix. WantedCopies is 0 if no more copies are wanted.
	WantedCopies, SharedTokens int
}

// MaxViewAge is the default maximum age of the view of another data centre. With an older view, its
// upstreams may be full or unreachable, and a response from there may come too late.
const MaxViewAge = 5 * time.Second

// Decision is the result of Decide, with the figures that explain it.
type Decision struct {
	// Chosen is the index of the chosen candidate in the slice passed to Decide, or -1.
	Chosen int
	// ShouldWait reports whether the step should wait for the chosen candidate, which is full.
	ShouldWait bool
	Estimate   Estimate
	// Late is set if no upstream can complete the step by its deadline, by the estimates of all candidates that have a
	// place or may get one. Least is the least time that it takes, at the candidate with the index Soonest (-1 for
	// none), and LeastOwn the least time of the call alone; -1 if unknown. They are set for steps with a deadline.
	Late            bool
	Soonest         int
	Least, LeastOwn time.Duration
	// AwaitsReopening is set if the step would be late, but for upstreams whose circuit breakers may close soon. It waits
	// for them.
	AwaitsReopening bool
	// Ties is the number of candidates among which the choice was random.
	Ties int
	// BestCached is the largest number of the prompt's tokens that an allowed or full candidate
	// has cached.
	BestCached int
	// Rejections is the number of candidates for each reason, Allowed included.
	Rejections [reasonCount]int
}

// Estimate is the estimated times and costs of a step at one candidate, in seconds.
type Estimate struct {
	Wait, Prefill, Decode float64
	// CoRunnerCost is the total delay that the step causes to the calls already running there.
	CoRunnerCost float64
	// RedundantPrefill is the prefill time of tokens that another candidate has cached.
	RedundantPrefill float64
	// Cost is the weighted sum by which candidates are compared.
	Cost float64
	// MovedTokens is the number of tokens to be fetched from the engine that has them cached.
	MovedTokens int
	// Slowness is the measured slowness that the times above include.
	Slowness float64
}

// Total returns the time until the response is complete, in seconds.
func (e Estimate) Total() float64 { return e.Wait + e.Prefill + e.Decode }

// ExpectedDuration returns how long a call with outputTokens output tokens should have taken at an
// upstream that is neither slow nor fast. A response three times as long as its hint takes longer
// through no fault of the engine. If that counted as slowness, the instances' estimates of one
// engine would differ by factors, and the instance with the best one would send all its calls there.
func (e Estimate) ExpectedDuration(s *Step, outputTokens int) time.Duration {
	if s.MeanCall > 0 {
		return time.Duration(s.MeanCall * float64(time.Second))
	}
	if e.Slowness == 0 {
		return 0
	}
	decode := e.Decode
	if s.OutputTokens > 0 {
		decode *= float64(outputTokens) / float64(s.OutputTokens)
	}
	return time.Duration((e.Wait + e.Prefill + decode) / e.Slowness * float64(time.Second))
}

// Filter sets the candidates' Rejection and counts the reasons.
func Filter(candidates []Candidate, maxViewAge time.Duration, d *Decision) {
	if maxViewAge == 0 {
		maxViewAge = MaxViewAge
	}
	for i := range candidates {
		c := &candidates[i]
		if c.Rejection == Allowed {
			c.Rejection = rejectionOf(c, maxViewAge)
		}
		d.Rejections[c.Rejection]++
		if c.Rejection == Allowed || c.Rejection.isFull() {
			d.BestCached = max(d.BestCached, c.CachedTokens)
		}
	}
}

func rejectionOf(c *Candidate, maxViewAge time.Duration) Reason {
	switch c.Load.Condition {
	case upstream.Draining:
		return Draining
	case upstream.CircuitOpen:
		return CircuitOpen
	case upstream.Stalled:
		return Stalled
	}
	switch {
	case c.ViewAge > maxViewAge:
		return ViewTooOld
	case c.Load.Condition == upstream.Full:
		return Full
	case c.NoConnection:
		return NoConnection
	default:
		return Allowed
	}
}

// FullCount returns the number of candidates that can take the step once a call there has ended.
func (d *Decision) FullCount() int { return d.Rejections[Full] + d.Rejections[NoConnection] }

// Decide filters the candidates and chooses one according to the policy.
func Decide(policy Policy, candidates []Candidate, s *Step) Decision {
	d := Decision{Chosen: -1, Soonest: -1, LeastOwn: -1}
	Filter(candidates, s.MaxViewAge, &d)
	switch policy {
	case RoundRobin:
		chooseNth(candidates, s.DecisionNumber, &d)
	case ProgramHash:
		chooseNth(candidates, s.ProgramHash, &d)
	case LeastInFlight:
		chooseLeastInFlight(candidates, s, &d)
	case PrefixOnly:
		chooseLongestPrefix(candidates, s, &d)
	default:
		chooseCost(candidates, s, &d)
	}
	if d.Chosen >= 0 && policy != Cost {
		d.Estimate = EstimateCost(&candidates[d.Chosen], s, d.BestCached)
	}
	if policy == LeastInFlight {
		judgeAll(candidates, s, &d)
	}
	return d
}
