package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxhall/internal/engine"
)

const blockTokens = engine.BlockTokens

// Shape describes a workload of programs and the fleet that serves it.
type Shape struct {
	Name             string
	Entries, Engines int
	Engine           EngineSpec
	// Speeds are the factors on engines' times, assigned to the engines in turn; a lower one is
	// faster.
	Speeds []float64
	// Turns, Input and Output are the minimum and maximum of a program's turns, and of a turn's new
	// prompt tokens and output tokens.
	Turns, Input, Output [2]int
	// Shared is the length in tokens of the prompt prefix that all programs of a family share,
	// Families the number of families.
	Shared, Families int
	// Pause is the mean pause between turns, which stands for tool calls.
	Pause time.Duration
	// DeadlineFactor times a program's time on idle engines, plus deadlineAllowance, is the time
	// within which it is on time.
	DeadlineFactor float64
	// Accounts are the client accounts whose programs run; none for programs of one rank.
	Accounts []Account
}

// Account is a client account: its rank, 0 being the highest, and its share of the programs.
type Account struct {
	Rank  int
	Share float64
}

// Kerlouan and Semente are the shapes of the two users' workloads.
var (
	Kerlouan = Shape{
		Name: "kerlouan", Entries: 7, Engines: 14, Speeds: []float64{0.7, 0.7, 1.7},
		Engine: EngineSpec{
			Slots: 24, Queue: 72, StepTime: 5090 * time.Microsecond, StepPerCall: 30 * time.Microsecond,
			PrefillSpeed: 51_100, ChunkTokens: 4096, CacheTokens: 290_216,
		},
		Turns: [2]int{2, 9}, Input: [2]int{300, 1500}, Output: [2]int{12, 90}, Shared: 2560, Families: 3,
		Pause: 250 * time.Millisecond, DeadlineFactor: 2.4,
	}
	Semente = Shape{
		Name: "semente", Entries: 9, Engines: 18, Speeds: []float64{0.7, 0.7, 1.7},
		Engine: EngineSpec{
			Slots: 64, Queue: 192, StepTime: 6730 * time.Microsecond, StepPerCall: 40 * time.Microsecond,
			PrefillSpeed: 30_600, ChunkTokens: 2048, CacheTokens: 221_282,
		},
		Turns: [2]int{2, 11}, Input: [2]int{300, 1500}, Output: [2]int{20, 130}, Shared: 2560, Families: 3,
		Pause: 300 * time.Millisecond, DeadlineFactor: 2.7,
	}
)

// Shapes lists all shapes.
var Shapes = []Shape{Kerlouan, Semente}

// rate returns the number of programs per second that loads the engines to the share. At a share
// of 1, prefill and steps take all of the engines' time, with batches half full and every earlier
// token found in a cache.
func (s *Shape) rate(share float64) float64 {
	return share * s.capacity(float64(s.Engine.Slots)/2)
}

// capacity returns the number of programs per second that the engines serve with batches of a size.
func (s *Shape) capacity(batch float64) float64 {
	step := s.Engine.StepTime.Seconds() + batch*s.Engine.StepPerCall.Seconds()
	perTurn := mean(s.Input)/s.Engine.PrefillSpeed + mean(s.Output)*step/batch
	speed := 0.0
	for i := range s.Engines {
		speed += s.speed(i)
	}
	return speed / (mean(s.Turns) * perTurn)
}

func (s *Shape) speed(engine int) float64 { return 1 / s.Speeds[engine%len(s.Speeds)] }

func mean(r [2]int) float64 { return float64(r[0]+r[1]) / 2 }

// program is a running agent program.
type program struct {
	number int
	entry  int
	// account is the index of the program's account, rank the account's; 0 is the highest.
	account, rank int
	turns         int
	prompt        int
	blocks        []uint64
	// startedAt is the time of its start, deadline the time up to which it is on time.
	startedAt, deadline time.Time
	// failures is the number of failures in a row of its present turn.
	failures int
	// loops is true if the program never ends by itself and earns nothing.
	loops bool
}

// draw returns a random integer within the bounds; lower ones are more frequent.
func draw(random *rand.Rand, r [2]int) int {
	return r[0] + int(math.Pow(random.Float64(), 1.5)*float64(r[1]-r[0]+1))
}

// grow adds tokens to the prompt. Block hashes are chained, so that equal hashes mean equal
// prefixes; the blocks of the shared prefix depend on the family alone.
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

// idealTurn returns the time of a turn on an idle engine of speed 1.
func (s *Shape) idealTurn(input, output int) time.Duration {
	step := s.Engine.StepTime + s.Engine.StepPerCall
	return time.Duration(float64(input)/s.Engine.PrefillSpeed*float64(time.Second)) + time.Duration(output)*step
}
