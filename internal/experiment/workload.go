package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxhall/internal/engine"
)

const blockTokens = engine.BlockTokens

// Shape is a workload of programs and the fleet that it meets.
type Shape struct {
	Name             string
	Entries, Engines int
	Engine           EngineSpec
	// Speeds are given to the engines in turn.
	Speeds []float64
	// Turns, Input and Output are the least and most of a program's turns, and of
	// a turn's new prompt tokens and output tokens.
	Turns, Input, Output [2]int
	// Shared is the length of the prompt's part that all programs of a family
	// share, Families their number.
	Shared, Families int
	// Pause is the mean pause between turns, for tools.
	Pause time.Duration
	// AimFactor times its time on idle engines is how long a program may take to
	// be on time.
	DeadlineFactor float64
}

// The two users' shapes, after their sheets.
var (
	Kerlouan = Shape{
		Name: "kerlouan", Entries: 7, Engines: 14, Speeds: []float64{0.7, 0.7, 1.7},
		Engine: EngineSpec{
			Slots: 24, Queue: 72, StepTime: 5090 * time.Microsecond, StepPerCall: 30 * time.Microsecond,
			Prefill: 51_100, Chunk: 4096, CacheTokens: 290_216,
		},
		Turns: [2]int{2, 9}, Input: [2]int{300, 1500}, Output: [2]int{12, 90}, Shared: 2560, Families: 3,
		Pause: 250 * time.Millisecond, DeadlineFactor: 2.4,
	}
	Semente = Shape{
		Name: "semente", Entries: 9, Engines: 18, Speeds: []float64{0.7, 0.7, 1.7},
		Engine: EngineSpec{
			Slots: 64, Queue: 192, StepTime: 6730 * time.Microsecond, StepPerCall: 40 * time.Microsecond,
			Prefill: 30_600, Chunk: 2048, CacheTokens: 221_282,
		},
		Turns: [2]int{2, 11}, Input: [2]int{300, 1500}, Output: [2]int{20, 130}, Shared: 2560, Families: 3,
		Pause: 300 * time.Millisecond, DeadlineFactor: 2.7,
	}
)

// Shapes lists them.
var Shapes = []Shape{Kerlouan, Semente}

// rate returns the programs a second at which the engines are loaded to the
// share. At 1 their prefill and their steps, in batches half full, take all of
// their time, with every earlier token found in a cache.
func (s *Shape) rate(share float64) float64 {
	turns := mean(s.Turns)
	batch := float64(s.Engine.Slots) / 2
	step := s.Engine.StepTime.Seconds() + batch*s.Engine.StepPerCall.Seconds()
	perTurn := mean(s.Input)/s.Engine.Prefill + mean(s.Output)*step/batch
	capacity := 0.0
	for i := range s.Engines {
		capacity += s.speed(i)
	}
	return share * capacity / (turns * perTurn)
}

func (s *Shape) speed(engine int) float64 { return 1 / s.Speeds[engine%len(s.Speeds)] }

func mean(r [2]int) float64 { return float64(r[0]+r[1]) / 2 }

// program is one agent program under way.
type program struct {
	number int
	entry  int
	turns  int
	prompt int
	blocks []uint64
	// began and aim tell when it began and until when it is on time.
	startedAt, deadline time.Time
	// failures counts how often its turn failed.
	failures int
	// loops says that it goes on for ever and earns nothing.
	loops bool
}

// draw returns an integer between the bounds, the lower ones more often.
func draw(random *rand.Rand, r [2]int) int {
	return r[0] + int(math.Pow(random.Float64(), 1.5)*float64(r[1]-r[0]+1))
}

// grow adds tokens to the prompt. Blocks are chained, so that equal ones mean
// equal prefixes; the shared part's are the family's.
func (p *program) grow(tokens int, owner uint64) {
	p.prompt += tokens
	for len(p.blocks) < p.prompt/blockTokens {
		previous := owner
		if n := len(p.blocks); n > 0 {
			previous = p.blocks[n-1] ^ owner
		}
		var b [8]byte
		for i := range b {
			b[i] = byte(previous >> (8 * i))
		}
		p.blocks = append(p.blocks, xxhash.Sum64(b[:]))
	}
}

// idealTurn is a turn's time on an idle engine of speed 1.
func (s *Shape) idealTurn(input, output int) time.Duration {
	step := s.Engine.StepTime + s.Engine.StepPerCall
	return time.Duration(float64(input)/s.Engine.Prefill*float64(time.Second)) + time.Duration(output)*step
}
