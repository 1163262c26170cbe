package experiment

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/placement"
	"foxhall/internal/urgency"
)

// The default seed is fixed; others are started by hand.
var pressureSeed = flag.Uint64("pressure.seed", 1, "seed of the load patterns under pressure")

// contended is a small deployment in which client accounts of three ranks compete for engines. The
// first account is the hot one of patterns that have one.
var contended = Shape{
	Name: "contended", Entries: 12, Engines: 6, Speeds: []float64{1},
	Engine: EngineSpec{
		Slots: 8, Queue: 24, StepTime: 5 * time.Millisecond, StepPerCall: 50 * time.Microsecond,
		PrefillSpeed: 50_000, ChunkTokens: 2048, CacheTokens: 138_750,
	},
	Turns: [2]int{2, 9}, Input: [2]int{300, 1500}, Output: [2]int{12, 60}, Shared: 2560, Families: 3,
	Pause: 250 * time.Millisecond, DeadlineFactor: 2.4,
	Accounts: []Account{{Rank: 1, Share: 0.2}, {Rank: 0, Share: 0.2}, {Rank: 1, Share: 0.3}, {Rank: 2, Share: 0.3}},
}

// threeSpeeds are the factors on the times of engines with relative speeds of 0.6, 1.0 and 1.6.
var threeSpeeds = []float64{1 / 0.6, 1, 1 / 1.6}

const (
	// calmLoad is the load outside the bursts, as a share of the engines' rate with full batches.
	calmLoad = 0.6
	// hotFactor is the factor on the rate of the hot account.
	hotFactor = 6.8
	// manyEntries is the number of entries of a deployment in which an entry's own calls hardly ever
	// bound an engine.
	manyEntries = 51
	// rankMargin is by how much a rank may be served worse than a lower one.
	rankMargin = 0.05
)

// during returns a factor for the 6 s of a burst, and 1 outside.
func during(factor float64) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if t >= 11*time.Second && t < 17*time.Second {
			return factor
		}
		return 1
	}
}

// pressure is a load pattern at a deployment like contended.
type pressure struct {
	name      string
	entries   int
	speeds    []float64
	rate, hot func(time.Duration) float64
}

var pressures = []pressure{
	{name: "burst of 1.7", rate: during(1.7 / calmLoad)},
	{name: "burst of 2.2", rate: during(2.2 / calmLoad)},
	{name: "hot account", hot: during(hotFactor)},
	{name: "three speeds", speeds: threeSpeeds, rate: during(2.2 / calmLoad)},
	{name: "many entries", entries: manyEntries, speeds: threeSpeeds, rate: during(2.2 / calmLoad)},
}

// replay runs a pattern.
func (p *pressure) replay(t *testing.T, control Control) *Result {
	t.Helper()
	s := contended
	if p.entries > 0 {
		s.Entries = p.entries
	}
	if p.speeds != nil {
		s.Speeds = p.speeds
	}
	r, err := Run(Options{
		Shape: s, Pattern: &Pattern{Name: p.name, until: 18 * time.Second, rate: p.rate, hot: p.hot},
		Policy: placement.Cost, Control: control, Seed: *pressureSeed,
		Load: calmLoad * s.capacity(float64(s.Engine.Slots)) / s.rate(1),
	})
	is.New(t).NoErr(err)
	t.Logf("%s: %s", [...]string{"first come", "rank priorities", "load control"}[control], r.describe())
	return r
}

func (t *Tally) add(o Tally) { t.Total, t.Served = t.Total+o.Total, t.Served+o.Served }

// programs returns the programs of each rank, and those in time.
func (r *Result) programs() [ranks]Tally {
	var programs [ranks]Tally
	for i, a := range r.Accounts {
		programs[contended.Accounts[i].Rank].add(a)
	}
	return programs
}

func (r *Result) describe() string {
	s := fmt.Sprintf("%d programs, %d in time, %d late, %d failed; %d preempted, %d refused by engines", r.Programs, r.InTime, r.Late, r.Failed, r.Preempted, r.Refused)
	for rank, n := range r.programs() {
		s += fmt.Sprintf("; rank %d %.3f in time", rank, n.Share())
	}
	s += fmt.Sprintf("; first account %.3f", r.Accounts[0].Share())
	if n := len(r.RefusedAfter); n > 0 {
		slices.Sort(r.RefusedAfter)
		s += fmt.Sprintf("; %d refused after median %v, 95%% %v, all %v", n, r.RefusedAfter[n/2], r.RefusedAfter[n*95/100], r.RefusedAfter[n-1])
	}
	least, rank, class := Tally{}, 0, urgency.Tight
	for i := range ranks {
		for c, q := range r.Queued[i] {
			if q.Share() < least.Share() {
				least, rank, class = q, i, urgency.Class(c)
			}
		}
	}
	return s + fmt.Sprintf("; least served: rank %d, %v, %d of %d calls, longest wait %v", rank, class, least.Served, least.Total, r.LongestWait[rank][class])
}

// Guards against load control that serves callers worse than no load control: fewer programs in time
// than with ranks as engine priorities or with calls in order of arrival on any pattern, a rank that is served worse than a lower one, calls that are held until their
// deadline, and programs that never end.
func TestLoadControlUnderPressure(t *testing.T) {
	for _, p := range pressures {
		t.Run(p.name, func(t *testing.T) {
			is := is.New(t)
			before, firstCome, controlled := p.replay(t, RankPriorities), p.replay(t, FirstCome), p.replay(t, LoadControl)
			is.True(before.Preempted > 0) // the pattern must show what load control is for
			is.Equal(controlled.Preempted, 0)
			if p.entries == 0 {
				is.Equal(controlled.Refused, 0) // an engine's queue is longer than the largest allowance
			}
			// The calls of many entries between two reports may exceed the queue.
			is.True(controlled.Refused <= firstCome.Refused)
			is.True(controlled.InTime >= before.InTime)
			is.True(controlled.InTime >= firstCome.InTime)
			checkRanks(t, controlled)
			checkNobodyStarves(t, controlled)
			if p.hot != nil {
				for i := range controlled.Accounts {
					is.True(controlled.Accounts[i].Served >= before.Accounts[i].Served)
				}
			}
		})
	}
}

// checkRanks checks that no rank is served worse than a lower one.
func checkRanks(t *testing.T, r *Result) {
	t.Helper()
	programs := r.programs()
	for rank := 1; rank < ranks; rank++ {
		if higher, lower := programs[rank-1].Share(), programs[rank].Share(); higher < lower-rankMargin {
			t.Errorf("rank %d: %.3f in time, rank %d: %.3f", rank-1, higher, rank, lower)
		}
	}
}

// checkNobodyStarves checks that calls of each rank and of each class are served, that none waits until
// its deadline, and that all programs end.
func checkNobodyStarves(t *testing.T, r *Result) {
	t.Helper()
	var byRank [ranks]Tally
	var byClass [len(urgency.Classes)]Tally
	for rank := range ranks {
		for c, q := range r.Queued[rank] {
			byRank[rank].add(q)
			byClass[c].add(q)
		}
	}
	for i, q := range append(byRank[:], byClass[:]...) {
		if q.Total > 0 && q.Served == 0 {
			t.Errorf("none of %d calls served of %v", q.Total, [...]string{"rank 0", "rank 1", "rank 2", "tight", "ordinary", "late"}[i])
		}
	}
	if r.Expired > 0 || r.Running > 0 {
		t.Errorf("%d calls waited until their deadlines, %d programs did not end", r.Expired, r.Running)
	}
}

// Guards against starvation of late calls and of the lowest rank while the load stays above the
// engines' rate.
func TestNobodyStarvesUnderLastingPressure(t *testing.T) {
	p := pressure{name: "lasting", rate: func(time.Duration) float64 { return 1.7 / calmLoad }}
	r := p.replay(t, LoadControl)
	checkRanks(t, r)
	checkNobodyStarves(t, r)
}
