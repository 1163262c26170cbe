package experiment

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/placement"
)

func options(t *testing.T, s Shape, pattern string, load float64) Options {
	t.Helper()
	p, err := PatternOf(pattern)
	is.New(t).NoErr(err)
	return Options{Shape: s, Pattern: p, Policy: placement.Cost, Load: load, Seed: 1}
}

// Guards against nondeterminism: policies can be compared only if the same options give the same
// result.
func TestRunsRepeat(t *testing.T) {
	is := is.New(t)
	o := options(t, Kerlouan, "burst", 0.6)
	first, err := Run(o)
	is.NoErr(err)
	second, err := Run(o)
	is.NoErr(err)
	is.Equal(first.InTime, second.InTime)
	is.Equal(first.P95, second.P95)
	is.True(first.Programs > 1000)
}

// One engine in six becomes four times as slow at full load, and the hints of response lengths are
// often wrong. If long responses are taken for slow engines, instances disagree on the speed of
// each engine: 0.674 of the programs are on time, against 0.764 otherwise.
func TestSlowEnginesAreDistinguishedFromLongResponses(t *testing.T) {
	result, err := Run(options(t, Semente, "slow", 1.05))
	is := is.New(t)
	is.NoErr(err)
	t.Logf("%.3f in time", result.InTimeShare())
	is.True(result.InTimeShare() > 0.73)
}

// Under a burst at more load than the engines can serve, the share of programs on time must exceed
// that of the best baseline.
func TestBurstAgainstBaselines(t *testing.T) {
	c, err := Compare(options(t, Kerlouan, "burst", 1.1), []placement.Policy{placement.Cost, placement.LeastInFlight, placement.PrefixOnly}, []uint64{1})
	is := is.New(t)
	is.NoErr(err)
	t.Logf("ratio %.2f", c.Ratio())
	is.True(c.Ratio() > 1.15)

	var table bytes.Buffer
	is.NoErr(c.WriteTable(&table))
	is.Equal(strings.Count(table.String(), "\n"), 6)
	path := filepath.Join(t.TempDir(), "burst.svg")
	is.NoErr(c.SavePlot(path))
	data, err := os.ReadFile(path)
	is.NoErr(err)
	is.True(bytes.Contains(data, []byte("<svg")))
}

func TestUnknownPattern(t *testing.T) {
	_, err := PatternOf("flood")
	is.New(t).True(err != nil)
}

// Comparisons of policies depend on the model of an engine: a cached prefix is not prefilled again,
// a long prompt is prefilled in chunks between the tokens of other requests, and a full queue
// refuses.
func TestModelEngine(t *testing.T) {
	is := is.New(t)
	c := &clock{now: simulationStart}
	spec := EngineSpec{Slots: 2, Queue: 1, StepTime: 10 * time.Millisecond, PrefillSpeed: 10_000, ChunkTokens: 100, CacheTokens: 1 << 16}
	e, err := newModelEngine(spec, c, 1)
	is.NoErr(err)
	first := map[string]time.Duration{}
	ask := func(name string, p *program, out int) bool {
		return e.submit(&request{
			blocks: p.blocks, prompt: p.prompt, toGenerate: out,
			onFirstToken: func() { first[name] = c.now.Sub(simulationStart) }, onDone: func() {},
		})
	}
	long := &program{}
	long.grow(640, 1)
	short := &program{}
	short.grow(64, 2)
	is.True(ask("long", long, 1))
	is.True(ask("short", short, 50))
	is.True(ask("third", short, 1))
	is.True(!ask("fourth", short, 1))
	c.run(simulationStart.Add(time.Hour))
	// Seven steps of 100 tokens, 20 ms each; the short prompt is prefilled in the rest of the last
	// step.
	is.Equal(first["long"], 6*20*time.Millisecond+20*time.Millisecond)
	is.True(first["short"] >= first["long"])
	is.Equal(e.cachedBlocks(long.blocks), 10)
	read := e.prefilled
	is.True(ask("again", long, 1))
	c.run(simulationStart.Add(2 * time.Hour))
	is.Equal(e.prefilled-read, 1)
}

// Comparisons of engine priorities depend on the model of preemption: a more urgent request takes the
// slot of the newest of the least urgent ones, which is prefilled again, and waits for equal ones.
func TestModelEnginePreempts(t *testing.T) {
	is := is.New(t)
	c := &clock{now: simulationStart}
	spec := EngineSpec{Slots: 2, Queue: 8, StepTime: 10 * time.Millisecond, PrefillSpeed: 10_000, ChunkTokens: 1000, CacheTokens: 1 << 16}
	e, err := newModelEngine(spec, c, 1)
	is.NoErr(err)
	var ended []int
	ask := func(after time.Duration, sequence, rank int) {
		p := &program{}
		p.grow(640, uint64(sequence))
		c.schedule(after, func() {
			is.True(e.submit(&request{
				sequence: sequence, rank: rank, blocks: p.blocks, prompt: p.prompt, toGenerate: 10,
				onFirstToken: func() {}, onDone: func() { ended = append(ended, sequence) },
			}))
		})
	}
	ask(0, 1, 1)
	ask(0, 2, 2)
	ask(0, 3, 2)
	ask(100*time.Millisecond, 4, 1) // preempts 2, the only running one of rank 2
	ask(200*time.Millisecond, 5, 0) // preempts 4, the newer one of rank 1
	c.run(simulationStart.Add(time.Hour))
	is.Equal(ended, []int{1, 5, 4, 2, 3})
	is.Equal(e.preemptions, 2)
	is.True(e.prefilled >= 7*640)
	is.Equal(len(e.held), 0)
}

// The memory of running requests and the cache share one size: requests that don't fit wait, although
// slots are free, and a shared prefix counts once.
func TestModelEngineMemory(t *testing.T) {
	is := is.New(t)
	c := &clock{now: simulationStart}
	spec := EngineSpec{Slots: 8, Queue: 8, StepTime: 10 * time.Millisecond, PrefillSpeed: 10_000, ChunkTokens: 1000, CacheTokens: 1500}
	e, err := newModelEngine(spec, c, 1)
	is.NoErr(err)
	most := 0
	for i := range 6 {
		p := &program{}
		p.grow(640, uint64(1+i/2))
		is.True(e.submit(&request{
			sequence: i, blocks: p.blocks, prompt: p.prompt, toGenerate: 40,
			onFirstToken: func() { most = max(most, len(e.running)) }, onDone: func() {},
		}))
	}
	c.run(simulationStart.Add(time.Hour))
	is.Equal(most, 4) // two prefixes of 640 tokens, each used by two requests
	is.Equal(e.preemptions, 0)
	is.Equal(len(e.waiting)+len(e.running), 0)
}

// One engine in seven fails every request at once. It is then idle and appears to have the prompts
// that it was sent in its cache, which attracts more turns: 0.899 of the programs are on time if
// failures don't count against an engine, and 1.000 if they do.
func TestFailingEnginesAreAvoided(t *testing.T) {
	result, err := Run(options(t, Kerlouan, "err", 0.7))
	is := is.New(t)
	is.NoErr(err)
	t.Logf("%.4f in time, %d failed", result.InTimeShare(), result.Failed)
	is.True(result.InTimeShare() > 0.99)
	is.True(result.Failed <= 2)
}
