// Package placement decides which upstream a step goes to. Its functions are
// pure: they filter, price and choose over a snapshot of the candidates and do
// no I/O, so that a decision can be replayed from what its log line says.
package placement

import (
	"time"

	"foxhall/internal/upstream"
)

// Policy names a way to choose.
type Policy string

// The policies. Cost is the product's; the others are baselines to measure it against.
const (
	Cost          Policy = "cost"
	RoundRobin    Policy = "round-robin"
	LeastInFlight Policy = "least-in-flight"
	ProgramHash   Policy = "program-hash"
	PrefixOnly    Policy = "prefix-only"
)

// Policies lists all policies, the product's first.
var Policies = []Policy{Cost, RoundRobin, LeastInFlight, ProgramHash, PrefixOnly}

// Candidate is one upstream as a decision sees it.
type Candidate struct {
	// Index is the upstream's place in the caller's list.
	Index int
	// ID is the upstream's identity in the table.
	ID    uint32
	Slots int
	Load  upstream.Load
	Speed upstream.Speed
	// Cached is the number of the prompt's tokens held there.
	Cached int
	// Way is the time to the upstream and back beyond the local; 0 in this data centre.
	RTT time.Duration
	// ViewAge is the age of what is known of another data centre; 0 in this one.
	ViewAge time.Duration
	// Connect is the cost of a new connection, where none is idle.
	ConnectCost time.Duration
	// Estimate is set by a decision.
	Estimate Estimate
	// Refused is why the candidate is out, or Allowed.
	Rejection Reason
}

// Reason is why a candidate is out.
type Reason uint8

// The reasons, in the order in which they are checked.
const (
	Allowed Reason = iota
	NotGranted
	Tried
	NotLoaded
	Draining
	CircuitOpen
	Stalled
	ViewTooOld
	Full
	reasonCount
)

// String returns the reason's name in log lines.
func (r Reason) String() string {
	return [...]string{"allowed", "not-granted", "tried", "not-loaded", "leaving", "broken", "stalled", "view-too-old", "full"}[r]
}

// Step is what a decision needs to know of a step.
type Step struct {
	// Prompt and Output are in tokens; Output is what is expected.
	Prompt, Output int
	// Call is the mean time of a call to the service, in seconds; 0 for a model call.
	MeanCall float64
	// Latency and Cache weigh seconds of waiting and seconds of repeated prefill.
	LatencyWeight, CacheWeight float64
	// Home is the upstream of the program's last step; 0 if none.
	LastUpstream uint32
	// Key spreads programs; Turn counts decisions. Both are for the baselines.
	Key, Turn uint64
	// Random breaks ties: uniform bits of this decision.
	Random uint64
	// Waited is how long the step has waited in the queue.
	Waited time.Duration
	// MoveSpeed is the rate in tokens a second at which the program's cache can
	// be moved to another engine; 0 where it can't.
	MoveTokensPerSecond float64
	// MaxViewAge is how old the view of another data centre may be; 0 for the
	// package's default.
	MaxViewAge time.Duration
	// WantedReplicas is how many engines should hold the step's shared prefix,
	// and SharedTokens its length.
	WantedCopies, SharedTokens int
}

// MaxViewAge is how old the view of another data centre may be where a step
// names no bound. Past it the
// other side may be gone or full, and a step sent there may come back late.
const MaxViewAge = 5 * time.Second

// Decision is the outcome with its reasons.
type Decision struct {
	// Chosen is the candidate's place in the slice given, or -1.
	Chosen int
	// Wait says that the step should wait for the chosen one, which is full.
	Wait     bool
	Estimate Estimate
	// Ties is the number of candidates among which chance decided.
	Ties int
	// BestCached is the largest number of the prompt's tokens that an allowed candidate holds.
	BestCached int
	// Out counts the candidates by the reason for which they were out.
	Rejections [reasonCount]int
}

// Estimate is the expected course of a step at one candidate, in seconds.
type Estimate struct {
	Wait, Prefill, Decode float64
	// Others is what the step costs the calls that already run there.
	CoRunnerCost float64
	// Wasted is the prefill of tokens that are cached at another candidate.
	RedundantPrefill float64
	Cost             float64
	// Moved is the number of tokens to be fetched from the engine that holds them.
	MovedTokens int
	// Slowness is the measured slowness that the times above include.
	Slowness float64
}

// Total is the time until the answer is whole.
func (e Estimate) Total() float64 { return e.Wait + e.Prefill + e.Decode }

// Expected is how long a call with an answer of that length should have taken at
// an upstream that is neither slow nor fast. An answer three times as long as its
// hint takes longer for no fault of the engine: taken for slowness, instances
// differ by factors in what they think of one engine, and the one that thinks
// best of it sends all of its calls there.
func (e Estimate) ExpectedDuration(s *Step, outputTokens int) time.Duration {
	if s.MeanCall > 0 {
		return time.Duration(s.MeanCall * float64(time.Second))
	}
	if e.Slowness == 0 {
		return 0
	}
	decode := e.Decode
	if s.Output > 0 {
		decode *= float64(outputTokens) / float64(s.Output)
	}
	return time.Duration((e.Wait + e.Prefill + decode) / e.Slowness * float64(time.Second))
}

// Filter sets the candidates' Refused and counts the reasons.
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
		if c.Rejection == Allowed || c.Rejection == Full {
			d.BestCached = max(d.BestCached, c.Cached)
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
	default:
		return Allowed
	}
}

// Decide filters the candidates and chooses one by the policy.
func Decide(policy Policy, candidates []Candidate, s *Step) Decision {
	d := Decision{Chosen: -1}
	Filter(candidates, s.MaxViewAge, &d)
	switch policy {
	case RoundRobin:
		chooseNth(candidates, s.Turn, &d)
	case ProgramHash:
		chooseNth(candidates, s.Key, &d)
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
	return d
}
