package experiment

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"foxhall/internal/engine"
)

// EngineSpec describes an engine of speed 1.
type EngineSpec struct {
	// Slots is the number of requests that run at once, Queue the number that
	// wait before others are refused.
	Slots, Queue int
	// A step, which makes one token of each running request, takes StepTime and
	// StepPerCall for each of them.
	StepTime, StepPerCall time.Duration
	// Prefill is in prompt tokens a second, Chunk the most of them in one step.
	Prefill float64
	Chunk   int
	// CacheTokens is how much of prompts is kept for later requests.
	CacheTokens int
}

// request is one turn at an engine.
type request struct {
	sequence int
	blocks   []uint64
	prompt   int
	// unread is what is left to prefill, toMake the tokens left to make.
	toPrefill, toGenerate int
	// cached is what the engine had of the prompt when it admitted the request.
	cached       int
	started      bool
	onFirstToken func()
	onDone       func()
}

// modelEngine is one engine of the model.
type modelEngine struct {
	spec  EngineSpec
	clock *clock
	// slow multiplies all times.
	slowdown float64
	// cache holds prompts' blocks, the least recently used yields.
	cache            *simplelru.LRU[uint64, struct{}]
	waiting, running []*request
	stepping         bool
	draining         bool
	// errs says that it fails at once all that it is sent.
	failing bool
	// prefilled counts the prompt tokens that were read.
	prefilled int
}

func newModelEngine(spec EngineSpec, c *clock, slow float64) (*modelEngine, error) {
	cache, err := simplelru.NewLRU[uint64, struct{}](max(1, spec.CacheTokens/engine.BlockTokens), nil)
	return &modelEngine{spec: spec, clock: c, slowdown: slow, cache: cache}, err
}

// submit takes a request in, or refuses it where the queue is full.
func (e *modelEngine) submit(r *request) bool {
	if e.draining || len(e.running)+len(e.waiting) >= e.spec.Slots+e.spec.Queue {
		return false
	}
	e.waiting = append(e.waiting, r)
	e.wake()
	return true
}

func (e *modelEngine) wake() {
	if !e.stepping && len(e.waiting)+len(e.running) > 0 {
		e.step()
	}
}

// step makes one token of each running request that has its prompt read.
func (e *modelEngine) step() {
	e.stepping = true
	e.admit()
	var decoding []*request
	read, budget := 0, e.spec.Chunk
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
		float64(time.Second)*float64(read)/e.spec.Prefill
	e.clock.schedule(time.Duration(e.slowdown*took), func() { e.finishStep(decoding) })
}

// end gives out the step's tokens and goes on.
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

func (e *modelEngine) admit() {
	for len(e.running) < e.spec.Slots && len(e.waiting) > 0 {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		r.cached = min(r.prompt, e.cachedBlocks(r.blocks)*engine.BlockTokens)
		r.toPrefill = max(1, r.prompt-r.cached)
		e.running = append(e.running, r)
	}
}

// held returns how many of the first blocks are cached.
func (e *modelEngine) cachedBlocks(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := e.cache.Get(b); !ok {
			return i
		}
	}
	return len(blocks)
}

func (e *modelEngine) cacheBlocks(r *request) {
	for _, b := range r.blocks {
		e.cache.Add(b, struct{}{})
	}
}

// leave ends the engine once what it has is done.
func (e *modelEngine) drain() { e.draining = true }
