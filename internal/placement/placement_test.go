package placement

import (
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"foxhall/internal/fuzzing"
	"foxhall/internal/upstream"
)

func TestMain(m *testing.M) {
	fuzzing.Fix(20261202, 1000)
	os.Exit(m.Run())
}

func drawCandidate(t *rapid.T, i int) Candidate {
	total := rapid.IntRange(0, 20).Draw(t, "total")
	return Candidate{
		Index: i, ID: uint32(i + 1), Slots: rapid.IntRange(1, 16).Draw(t, "slots"),
		Load: upstream.Load{
			Condition: rapid.SampledFrom([]upstream.Condition{upstream.Usable, upstream.Usable, upstream.Full, upstream.Stalled, upstream.CircuitOpen, upstream.Draining}).Draw(t, "condition"),
			Own:       total, Total: total, Slowness: rapid.Float64Range(0.5, 20).Draw(t, "slowness"),
		},
		Speed:        upstream.Speed{Prefill: rapid.Float64Range(10, 1e4).Draw(t, "prefill"), TokenBase: rapid.Float64Range(0.001, 0.1).Draw(t, "token"), CallSeconds: 2},
		CachedTokens: 64 * rapid.IntRange(0, 40).Draw(t, "cached"),
		ViewAge:      time.Duration(rapid.IntRange(0, 10).Draw(t, "age")) * time.Second,
		NoConnection: rapid.IntRange(0, 3).Draw(t, "no connection") == 0,
		Rejection:    rapid.SampledFrom([]Reason{Allowed, Allowed, Allowed, NotGranted, Tried, NotLoaded}).Draw(t, "refused"),
	}
}

// For any candidates, no policy chooses a rejected one, a full one is only waited for, one is chosen
// if any is free, and the same snapshot gives the same decision.
func TestDecideIsSound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 12).Draw(t, "n")
		candidates := make([]Candidate, n)
		for i := range candidates {
			candidates[i] = drawCandidate(t, i)
		}
		s := &Step{PromptTokens: 3000, OutputTokens: 100, LatencyWeight: rapid.Float64Range(0, 2).Draw(t, "latency"), CacheWeight: rapid.Float64Range(0, 2).Draw(t, "cache"),
			Random: rapid.Uint64().Draw(t, "random"), DecisionNumber: rapid.Uint64().Draw(t, "turn"), ProgramHash: rapid.Uint64().Draw(t, "key")}
		for _, policy := range Policies {
			first := append([]Candidate(nil), candidates...)
			d := Decide(policy, first, s)
			if again := Decide(policy, append([]Candidate(nil), candidates...), s); again != d {
				t.Fatalf("%s: %+v, then %+v", policy, d, again)
			}
			if d.Chosen < 0 {
				if d.Rejections[Allowed] > 0 {
					t.Fatalf("%s: none chosen although an upstream is free", policy)
				}
				continue
			}
			chosen := &first[d.Chosen]
			if sound := map[bool][]Reason{false: {Allowed}, true: {Full, NoConnection}}[d.ShouldWait]; !slices.Contains(sound, chosen.Rejection) {
				t.Fatalf("%s: chose an upstream that is %v", policy, chosen.Rejection)
			}
			if policy == Cost && !d.ShouldWait {
				checkCheapest(t, first, &d)
			}
		}
	})
}

func checkCheapest(t *rapid.T, candidates []Candidate, d *Decision) {
	for i := range candidates {
		e := &candidates[i].Estimate
		if candidates[i].Rejection == Allowed && d.Estimate.Cost > e.Cost+max(minTieMargin, tieMargin*e.Cost)+1e-9 {
			t.Fatalf("chose a cost of %v although a free upstream has %v", d.Estimate.Cost, e.Cost)
		}
	}
}

func twoCandidates() []Candidate {
	speed := upstream.Speed{Prefill: 1000, TokenBase: 0.02, TokenPerCall: 0.001, CallSeconds: 2}
	load := upstream.Load{Slowness: 1, Limit: 9}
	return []Candidate{{ID: 1, Slots: 8, Load: load, Speed: speed, CachedTokens: 4096}, {ID: 2, Slots: 8, Load: load, Speed: speed}}
}

// A program's history is cached on one engine, and that engine fills up. Steps are sent there until
// the wait costs more than prefilling the history again. With a higher cache weight, they are sent
// there for longer.
func TestLastUpstreamIsLeftWhenItCostsMore(t *testing.T) {
	is := is.New(t)
	callsWhenLeft := func(cacheWeight float64) int {
		for running := range 40 {
			c := twoCandidates()
			c[0].Load.Total = running
			if d := Decide(Cost, c, &Step{PromptTokens: 4200, OutputTokens: 100, LatencyWeight: 1, CacheWeight: cacheWeight}); d.Chosen == 1 {
				return running
			}
		}
		return 40
	}
	is.True(callsWhenLeft(0) > 0)
	is.True(callsWhenLeft(0) < 40)
	is.True(callsWhenLeft(2) > callsWhenLeft(0))
}

// Many instances see the same engines at the same moment. If ties were broken by order, all of them
// would choose the first engine.
func TestTiesSpread(t *testing.T) {
	is := is.New(t)
	counts := map[int]int{}
	for random := range 1000 {
		c := make([]Candidate, 10)
		for i := range c {
			c[i] = twoCandidates()[1]
		}
		d := Decide(Cost, c, &Step{PromptTokens: 100, OutputTokens: 10, LatencyWeight: 1, Random: uint64(random) << 32})
		counts[d.Chosen]++
	}
	is.Equal(len(counts), 10)
	for _, n := range counts {
		is.True(n < 200)
	}
}

// A prefix that many programs share is cached on one engine only. While more copies are wanted, only
// a fraction of its prefill on another engine counts as redundant, and a less loaded engine is
// chosen. A program's own history counts in full.
func TestHotPrefixIsReplicated(t *testing.T) {
	is := is.New(t)
	choose := func(wanted int) int {
		c := twoCandidates()
		c[0].Load.Total = 7
		return Decide(Cost, c, &Step{PromptTokens: 4200, OutputTokens: 400, LatencyWeight: 0.4, CacheWeight: 1, WantedCopies: wanted, SharedTokens: 4096}).Chosen
	}
	is.Equal(choose(0), 0)
	is.Equal(choose(3), 1)
}

func TestCacheIsRetainedOnlyForShortWaits(t *testing.T) {
	is := is.New(t)
	turnover := CacheTurnover(64000, 3200) // 20 s
	is.True(ShouldRetainCache(2*time.Second, turnover))
	is.True(!ShouldRetainCache(15*time.Second, turnover))
	is.True(ShouldRetainCache(time.Hour, CacheTurnover(64000, 0))) // no other program needs the space
}

// Programs wait for the slowest of their tools. A replica that takes four times as long must get no
// calls while others are free. A replica whose times vary only as service times normally do must
// still be chosen.
func TestSlowServiceReplicaIsAvoided(t *testing.T) {
	is := is.New(t)
	slow := upstream.Load{Slowness: 4, Limit: 8}
	usual := upstream.Load{Slowness: 1.8, Limit: 8}
	candidates := []Candidate{
		{ID: 1, Slots: 4, Load: slow, Speed: upstream.DefaultSpeed},
		{ID: 2, Slots: 4, Load: usual, Speed: upstream.DefaultSpeed, RTT: 5 * time.Millisecond},
		{ID: 3, Slots: 4, Load: upstream.Load{Slowness: 1, Limit: 8}, Speed: upstream.DefaultSpeed, RTT: 5 * time.Millisecond},
	}
	d := Decide(Cost, candidates, &Step{LatencyWeight: 1, MeanCall: 0.1})
	is.True(d.Chosen != 0)
	is.Equal(d.Ties, 2)
}

// If responses longer or shorter than their hints counted as slowness, the instances' estimates of
// one engine would differ by factors, and the instance with the best one would send all its calls
// there. The expected duration must depend on the actual output length and on the speed of an engine
// that is neither slow nor fast.
func TestOutputLengthDoesNotCountAsSlowness(t *testing.T) {
	is := is.New(t)
	e := Estimate{Wait: 0.2, Prefill: 0.2, Decode: 0.4, Slowness: 2}
	model := &Step{OutputTokens: 20}
	is.Equal(e.ExpectedDuration(model, 20), 400*time.Millisecond)
	is.Equal(e.ExpectedDuration(model, 60), 800*time.Millisecond)
	fast := Estimate{Decode: 0.2, Slowness: 0.5}
	is.Equal(fast.ExpectedDuration(model, 20), 400*time.Millisecond)
	is.Equal(e.ExpectedDuration(&Step{MeanCall: 0.1}, 0), 100*time.Millisecond)
}

// A replica that fails its calls is idle and would have the lowest cost. It must be avoided while
// another is free, but a single failure must not be enough for that.
func TestUpstreamWithErrorsIsAvoided(t *testing.T) {
	is := is.New(t)
	withErrorRate := func(errorRate float64) Candidate {
		return Candidate{Slots: 4, Load: upstream.Load{Slowness: 1, Limit: 8, ErrorRate: errorRate}, Speed: upstream.DefaultSpeed}
	}
	busy := withErrorRate(0)
	busy.Load.Total = 3
	step := &Step{LatencyWeight: 1, PromptTokens: 600, OutputTokens: 10}
	is.Equal(Decide(Cost, []Candidate{withErrorRate(0.25), busy}, step).Chosen, 0)
	is.Equal(Decide(Cost, []Candidate{withErrorRate(0.58), busy}, step).Chosen, 1)
}

// Guards against an isolated step that goes again and again to the upstream with the fewest calls, which refuses it.
func TestUpstreamsThatRefusedTheStepComeLast(t *testing.T) {
	is := is.New(t)
	candidates := []Candidate{
		{Load: upstream.Load{Total: 0}, Refusal: 2},
		{Load: upstream.Load{Total: 1}, Refusal: 1},
		{Load: upstream.Load{Total: 3}},
		{Load: upstream.Load{Total: 2}},
	}
	is.Equal(Decide(LeastInFlight, candidates, &Step{}).Chosen, 3)
	is.Equal(Decide(LeastInFlight, candidates[:2], &Step{}).Chosen, 1)
}

// Guards against a step that waits again and again for an upstream that has refused it, beside one with a place.
func TestUpstreamThatRefusedTheStepIsNotPreferredToOneWithAPlace(t *testing.T) {
	is := is.New(t)
	speed := upstream.Speed{Prefill: 1000, TokenBase: 0.01, CallSeconds: 1, Samples: 1}
	step := Step{PromptTokens: 5000, OutputTokens: 10, LatencyWeight: 1, CacheWeight: 1}
	load := upstream.Load{Limit: 5, Slowness: 1}
	full := load
	full.Condition = upstream.Full
	candidates := func(refusal int) []Candidate {
		return []Candidate{
			{Slots: 4, Load: full, Speed: speed, CachedTokens: 4900, Refusal: refusal},
			{Slots: 4, Load: load, Speed: speed},
		}
	}
	d := Decide(Cost, candidates(0), &step)
	is.Equal(d.Chosen, 0) // worth waiting for
	is.True(d.ShouldWait)
	d = Decide(Cost, candidates(1), &step)
	is.Equal(d.Chosen, 1)
	is.True(!d.ShouldWait)
	d = Decide(Cost, candidates(1)[:1], &step)
	is.Equal(d.Chosen, 0) // the only one
	is.True(d.ShouldWait)
	// Those that have places again are tried in turn.
	all := candidates(2)
	all[0].Load, all[1].Refusal = load, 1
	is.Equal(Decide(Cost, all, &step).Chosen, 1)
	all = candidates(1)
	all[0].Load, all[1].Refusal = load, 2
	is.Equal(Decide(Cost, all, &step).Chosen, 0)
}
