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
	// CacheTokens is the size of the prefix cache in tokens.
	CacheTokens int
}

// request is one turn at an engine.
type request struct {
	sequence int
	blocks   []uint64
	prompt   int
	// toPrefill is the number of prompt tokens left to prefill, toGenerate that of output tokens
	// left to generate.
	toPrefill, toGenerate int
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
	cache            *simplelru.LRU[uint64, struct{}]
	waiting, running []*request
	stepping         bool
	draining         bool
	// failing makes the engine fail every request at once.
	failing bool
	// prefilled is the number of prompt tokens that were prefilled.
	prefilled int
}

func newModelEngine(spec EngineSpec, c *clock, slow float64) (*modelEngine, error) {
	cache, err := simplelru.NewLRU[uint64, struct{}](max(1, spec.CacheTokens/engine.BlockTokens), nil)
	return &modelEngine{spec: spec, clock: c, slowdown: slow, cache: cache}, err
}

// submit queues a request and returns true, or returns false if the queue is full or the engine
// is draining.
func (e *modelEngine) submit(r *request) bool {
	if e.draining || len(e.running)+len(e.waiting) >= e.spec.Slots+e.spec.Queue {
		return false
	}
	e.waiting = append(e.waiting, r)
	e.wake()
	return true
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
		if !r.started {
			r.started = true
			r.onFirstToken()
		}
		if r.toGenerate > 0 {
			continue
		}
		e.running = slices.DeleteFunc(e.running, func(other *request) bool { return other == r })
		r.onDone()
	}
	e.stepping = false
	e.wake()
}

// admit moves waiting requests to free slots, in order of arrival.
func (e *modelEngine) admit() {
	for len(e.running) < e.spec.Slots && len(e.waiting) > 0 {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		r.cached = min(r.prompt, e.cachedBlocks(r.blocks)*engine.BlockTokens)
		r.toPrefill = max(1, r.prompt-r.cached)
		e.running = append(e.running, r)
	}
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
