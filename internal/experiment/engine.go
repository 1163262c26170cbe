package experiment

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"foxhall/internal/engine"
)

// EngineSpec describes an engine of speed 1.
type EngineSpec struct {
	// Slots is the number of requests that run at once, Queue the number that may wait; further
	// requests are refused.
	Slots, Queue int
	// StepTime is the fixed time of a step, which generates one token of each running request;
	// StepPerCall is the time added for each running request.
	StepTime, StepPerCall time.Duration
	// PrefillSpeed is in prompt tokens per second; ChunkTokens is the greatest number of prompt
	// tokens in one step.
	PrefillSpeed float64
	ChunkTokens  int
	// CacheTokens is the engine's memory in tokens. Running requests and the prefix cache share it.
	CacheTokens int
}

// request is one turn at an engine.
type request struct {
	sequence int
	// rank is the engine priority; 0 is the most urgent.
	rank   int
	blocks []uint64
	prompt int
	// toPrefill is the number of prompt tokens left to prefill, toGenerate that of output tokens
	// left to generate; generated is the number of those generated.
	toPrefill, toGenerate, generated int
	// preempted is true once the request has lost its slot: what the engine had of it is gone.
	preempted bool
	// cached is the number of prompt tokens in the cache when the engine admitted the request.
	cached       int
	started      bool
	onFirstToken func()
	onDone       func()
}

// modelEngine is one engine of the model.
type modelEngine struct {
	spec  EngineSpec
	clock *clock
	// slowdown is the factor on all times.
	slowdown float64
	// cache holds blocks of prompts; the least recently used block is evicted first.
	cache *simplelru.LRU[uint64, struct{}]
	// held counts the running requests that use a block.
	held map[uint64]int
	// waiting is in order of rank and arrival, running in order of admission.
	waiting, running []*request
	stepping         bool
	draining         bool
	// failing makes the engine fail every request at once.
	failing bool
	// prefilled is the number of prompt tokens that were prefilled, preemptions that of requests
	// that lost their slot.
	prefilled, preemptions int
}

func newModelEngine(spec EngineSpec, c *clock, slow float64) (*modelEngine, error) {
	cache, err := simplelru.NewLRU[uint64, struct{}](max(1, spec.CacheTokens/engine.BlockTokens), nil)
	return &modelEngine{spec: spec, clock: c, slowdown: slow, cache: cache, held: map[uint64]int{}}, err
}

// submit queues a request and returns true, or returns false if the queue is full or the engine
// is draining.
func (e *modelEngine) submit(r *request) bool {
	if e.draining || len(e.running)+len(e.waiting) >= e.spec.Slots+e.spec.Queue {
		return false
	}
	e.enqueue(r)
	e.wake()
	return true
}

// enqueue adds a request to those that wait, behind those of its rank that arrived before it.
func (e *modelEngine) enqueue(r *request) {
	i := len(e.waiting)
	for i > 0 && (e.waiting[i-1].rank > r.rank || e.waiting[i-1].rank == r.rank && e.waiting[i-1].sequence > r.sequence) {
		i--
	}
	e.waiting = slices.Insert(e.waiting, i, r)
}

// wake starts a step if none is running and there are requests.
func (e *modelEngine) wake() {
	if !e.stepping && len(e.waiting)+len(e.running) > 0 {
		e.step()
	}
}

// step prefills at most a chunk of prompt tokens and generates one token of each running request
// whose prompt is prefilled.
func (e *modelEngine) step() {
	e.stepping = true
	e.admit()
	var decoding []*request
	read, budget := 0, e.spec.ChunkTokens
	for _, r := range e.running {
		if r.toPrefill == 0 {
			decoding = append(decoding, r)
			continue
		}
		n := min(budget, r.toPrefill)
		r.toPrefill -= n
		budget -= n
		read += n
		if r.toPrefill == 0 {
			decoding = append(decoding, r)
			e.cacheBlocks(r)
		}
	}
	e.prefilled += read
	took := float64(e.spec.StepTime) + float64(e.spec.StepPerCall)*float64(len(e.running)) +
		float64(time.Second)*float64(read)/e.spec.PrefillSpeed
	e.clock.schedule(time.Duration(e.slowdown*took), func() { e.finishStep(decoding) })
}

// finishStep delivers the tokens of a step and starts the next one.
func (e *modelEngine) finishStep(decoding []*request) {
	for _, r := range decoding {
		r.toGenerate--
		r.generated++
		if !r.started {
			r.started = true
			r.onFirstToken()
		}
		if r.toGenerate > 0 {
			continue
		}
		e.stop(r)
		r.onDone()
	}
	e.stepping = false
	e.wake()
}

// admit moves waiting requests to free slots, in order of rank and arrival. Where none is free, or
// the memory is full, a request preempts the newest of the least urgent ones that run.
func (e *modelEngine) admit() {
	for e.memory() > e.spec.CacheTokens && len(e.running) > 1 {
		e.preempt(e.leastUrgent())
	}
	for len(e.waiting) > 0 {
		r := e.waiting[0]
		if len(e.running) > 0 && (len(e.running) >= e.spec.Slots || e.memory()+e.added(r) > e.spec.CacheTokens) {
			last := e.leastUrgent()
			if last.rank <= r.rank {
				break
			}
			e.preempt(last)
			continue
		}
		e.waiting = e.waiting[1:]
		e.start(r)
	}
	e.cache.Resize(max(1, (e.spec.CacheTokens-e.generated())/engine.BlockTokens))
}

// start runs a request. One that was preempted is prefilled again, with what it had generated.
func (e *modelEngine) start(r *request) {
	if r.preempted {
		r.toPrefill = r.prompt + r.generated
	} else {
		r.cached = min(r.prompt, e.cachedBlocks(r.blocks)*engine.BlockTokens)
		r.toPrefill = max(1, r.prompt-r.cached)
	}
	for _, b := range r.blocks {
		e.held[b]++
	}
	e.running = append(e.running, r)
}

// stop ends a running request.
func (e *modelEngine) stop(r *request) {
	e.running = slices.DeleteFunc(e.running, func(other *request) bool { return other == r })
	for _, b := range r.blocks {
		if e.held[b]--; e.held[b] == 0 {
			delete(e.held, b)
		}
	}
}

func (e *modelEngine) preempt(r *request) {
	e.preemptions++
	r.preempted = true
	e.stop(r)
	e.enqueue(r)
}

// leastUrgent returns the newest of the least urgent running requests.
func (e *modelEngine) leastUrgent() *request {
	last := e.running[0]
	for _, r := range e.running {
		if r.rank >= last.rank {
			last = r
		}
	}
	return last
}

// memory returns the tokens that running requests hold; a block that several share counts once.
func (e *modelEngine) memory() int { return len(e.held)*engine.BlockTokens + e.generated() }

// added returns the tokens that a request would add to the memory held.
func (e *modelEngine) added(r *request) int {
	tokens := r.generated
	for _, b := range r.blocks {
		if e.held[b] == 0 {
			tokens += engine.BlockTokens
		}
	}
	return tokens
}

// generated returns the output tokens of the running requests.
func (e *modelEngine) generated() int {
	n := 0
	for _, r := range e.running {
		n += r.generated
	}
	return n
}

// cachedBlocks returns the number of leading blocks that are in the cache.
func (e *modelEngine) cachedBlocks(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := e.cache.Get(b); !ok {
			return i
		}
	}
	return len(blocks)
}

// cacheBlocks adds the blocks of a prompt to the cache.
func (e *modelEngine) cacheBlocks(r *request) {
	for _, b := range r.blocks {
		e.cache.Add(b, struct{}{})
	}
}

// drain makes the engine refuse new requests and finish those that it has.
func (e *modelEngine) drain() { e.draining = true }
