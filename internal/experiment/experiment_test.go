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

// A comparison says nothing if the same run differs from itself.
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

// One engine in six turns four times as slow at full load, with hints of answers'
// lengths that are often far off. Where the lengths of answers pass for slowness of
// engines, instances differ in what they think of each engine: 0.679 of the programs
// were on time, against 0.777.
func TestSlowEnginesAreDistinguishedFromLongResponses(t *testing.T) {
	result, err := Run(options(t, Semente, "slow", 1.05))
	is := is.New(t)
	is.NoErr(err)
	t.Logf("%.3f in time", result.InTimeShare())
	is.True(result.InTimeShare() > 0.73)
}

// A burst at more load than the engines can take: programs on time against those
// under the best baseline.
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

// What the model's engines do is what the measured policies are judged by: a
// cached prefix is not read again, a long prompt is read in chunks between others'
// tokens, and a full queue refuses.
func TestModelEngine(t *testing.T) {
	is := is.New(t)
	c := &clock{now: simulationStart}
	spec := EngineSpec{Slots: 2, Queue: 1, StepTime: 10 * time.Millisecond, Prefill: 10_000, Chunk: 100, CacheTokens: 1 << 16}
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
	// Seven steps of 100 tokens, 20 ms each; the short prompt is read in the last
	// one's rest.
	is.Equal(first["long"], 6*20*time.Millisecond+20*time.Millisecond)
	is.True(first["short"] >= first["long"])
	is.Equal(e.cachedBlocks(long.blocks), 10)
	read := e.prefilled
	is.True(ask("again", long, 1))
	c.run(simulationStart.Add(2 * time.Hour))
	is.Equal(e.prefilled-read, 1)
}

// One engine in seven fails at once all it is sent, and stands idle with the
// prompts it was sent, which draws more: 0.857 of the programs were on time before
// failures counted against engines, and 1.000 after.
func TestFailingEnginesAreAvoided(t *testing.T) {
	result, err := Run(options(t, Kerlouan, "err", 0.7))
	is := is.New(t)
	is.NoErr(err)
	t.Logf("%.4f in time, %d failed", result.InTimeShare(), result.Failed)
	is.True(result.InTimeShare() > 0.99)
	is.True(result.Failed <= 2)
}
