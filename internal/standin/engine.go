package standin

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/engine"
)

// EngineConfig is the configuration of a stand-in model engine. Zero sizes and speeds are
// replaced by defaults.
type EngineConfig struct {
	Name string
	// Slots is the maximum batch size in calls.
	Slots int
	// MaxQueue is the maximum number of calls that wait for a slot.
	MaxQueue int
	// CacheTokens is the capacity of the prefix cache in tokens.
	CacheTokens int
	// PrefillSpeed is in tokens per second; prompts are prefilled one at a time.
	PrefillSpeed float64
	// DecodeSpeed is in tokens per second for a batch of one.
	DecodeSpeed float64
	// BatchSlowdown is the slowdown of every call per additional call in the batch:
	// speed = DecodeSpeed / (1 + BatchSlowdown * (batch - 1)).
	BatchSlowdown float64
	// LoadLag delays load reports, EventLag cache events.
	LoadLag  time.Duration
	EventLag time.Duration
	// KVSpeed is the rate of KV cache imports in tokens per second.
	KVSpeed float64
	// ChunkTokens is the number of tokens in a streamed chunk.
	ChunkTokens int
	// Fenced makes the engine reject orders whose fencing token is older than the last accepted one.
	Fenced bool
	// Models are loaded at start and served under their own names. If empty, every model is
	// served until an order loads one.
	Models []string
	// Fetch loads a model's weights; the model is ready when it returns. If nil, models are ready
	// at once.
	Fetch func(ctx context.Context, model, version string) error
	// OnCall, if not nil, is called for each accepted call in order of arrival, with the engine's
	// lock held; it must not block.
	OnCall func(r *engine.Request)
}

// EngineFaults are the faults that can be injected into a stand-in engine.
type EngineFaults struct {
	// Down refuses new calls and fails those in flight.
	Down bool
	// Hang stops the progress of all calls without failing them.
	Hang bool
	// Slow is the divisor of all speeds; 0 and 1 leave them unchanged.
	Slow float64
	// LieLoad makes load reports show an idle engine.
	LieLoad bool
	// DropEvents drops cache events after assigning their sequence numbers, which leaves gaps.
	DropEvents bool
	// Leaving rejects new calls with the response that the engine is draining and did not run them.
	Leaving bool
	// Restart fails all calls and clears the cache, once, when the faults are set.
	Restart bool
}

// EngineCounts are an engine's counters of calls and tokens since its creation.
type EngineCounts struct {
	Calls, Refused, Finished, Broken, Cancelled int64
	PromptTokens, CachedTokens, GeneratedTokens int64
}

// decodeShareDuringPrefill is the fraction of the decode speed that remains while a prompt is
// prefilled.
const decodeShareDuringPrefill = 0.5

// Defaults of EngineConfig (speeds in tokens per second) and limits of the engine.
const (
	defaultSlots        = 16
	defaultMaxQueue     = 256
	defaultCacheTokens  = 64 * 1024
	defaultPrefillSpeed = 8000
	defaultDecodeSpeed  = 60
	defaultChunkTokens  = 8
	defaultKVSpeed      = 20000
	maxEngineEvents     = 16384
	engineRetryAfter    = time.Second
	defaultOutputTokens = 24
)

// Engine simulates a model engine with continuous batching. Between two events each call progresses
// at a constant rate, so the simulation does no work per token. All time comes from package time,
// so that it runs on the virtual time of testing/synctest.
type Engine struct {
	config EngineConfig

	mu           sync.Mutex
	faults       EngineFaults
	boot         int
	cache        *blockCache
	running      []*sequence
	waiting      []*sequence
	arrivals     int64
	advancedTo   time.Time
	timer        *time.Timer
	events       eventLog
	loads        loadLog
	models       map[string]*engine.LoadedModel
	role         string
	fencingToken uint64
	counts       EngineCounts
}

// NewEngine returns an engine with an empty cache and no faults.
func NewEngine(config EngineConfig) *Engine {
	setDefaults(&config)
	e := &Engine{
		config:     config,
		cache:      newBlockCache(config.CacheTokens / engine.BlockTokens),
		advancedTo: time.Now(),
		models:     map[string]*engine.LoadedModel{},
		role:       "both",
		boot:       1,
	}
	for _, name := range config.Models {
		e.models[name] = &engine.LoadedModel{Served: name, Model: name, Ready: true}
	}
	return e
}

func setDefaults(c *EngineConfig) {
	if c.Slots == 0 {
		c.Slots = defaultSlots
	}
	if c.MaxQueue == 0 {
		c.MaxQueue = defaultMaxQueue
	}
	if c.CacheTokens == 0 {
		c.CacheTokens = defaultCacheTokens
	}
	if c.PrefillSpeed == 0 {
		c.PrefillSpeed = defaultPrefillSpeed
	}
	if c.DecodeSpeed == 0 {
		c.DecodeSpeed = defaultDecodeSpeed
	}
	if c.ChunkTokens == 0 {
		c.ChunkTokens = defaultChunkTokens
	}
	if c.KVSpeed == 0 {
		c.KVSpeed = defaultKVSpeed
	}
}

// SetFaults replaces the current faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	e.faults = f
	if f.Down || f.Restart {
		e.failAll()
	}
	if f.Restart {
		e.boot++
		e.cache = newBlockCache(e.config.CacheTokens / engine.BlockTokens)
		e.events = eventLog{}
	}
	e.faults.Restart = false
	e.schedule()
}

// Counts returns the current counters.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Complete runs one completion and has the semantics of engine.Client.Complete over HTTP.
func (e *Engine) Complete(ctx context.Context, r *engine.Request, onChunk func(engine.Chunk) error) (*engine.Response, error) {
	s, err := e.enqueue(r)
	if err != nil {
		return nil, err
	}
	stream := newStreamer(s, r, onChunk)
	for {
		select {
		case <-s.done:
			return e.finish(s, stream)
		case <-s.progress:
			if err := stream.emit(e.decodedTokens(s)); err != nil {
				e.abort(s)
				return nil, &engine.Error{Class: engine.ErrUnknown, Partial: true, Cause: err}
			}
		case <-ctx.Done():
			e.abort(s)
			return nil, &engine.Error{Class: engine.ErrUnknown, Cause: ctx.Err()}
		}
	}
}

func (e *Engine) finish(s *sequence, stream *streamer) (*engine.Response, error) {
	if s.err != nil {
		return nil, s.err
	}
	if err := stream.finish(); err != nil {
		return nil, &engine.Error{Class: engine.ErrUnknown, Partial: true, Cause: err}
	}
	return s.response(), nil
}

// enqueue accepts a call into the queue or returns the reason for which the engine rejects it.
func (e *Engine) enqueue(r *engine.Request) (*sequence, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	if err := e.checkAdmission(r); err != nil {
		e.counts.Refused++
		return nil, err
	}
	e.arrivals++
	s := newSequence(r, e.arrivals, e.config.ChunkTokens)
	e.waiting = append(e.waiting, s)
	slices.SortStableFunc(e.waiting, compareSequences)
	e.counts.Calls++
	if e.config.OnCall != nil {
		e.config.OnCall(r)
	}
	e.addRunning(r.ServedModel(), 1)
	e.admit()
	e.schedule()
	return s, nil
}

func (e *Engine) checkAdmission(r *engine.Request) *engine.Error {
	loaded := e.models[r.ServedModel()]
	switch {
	case e.faults.Down:
		return &engine.Error{Class: engine.ErrNotSent, Cause: errors.New("connection refused")}
	case e.faults.Leaving:
		return &engine.Error{Class: engine.ErrNotRun, Status: 503, Draining: true, RetryAfter: engineRetryAfter, Cause: errors.New("leaving")}
	case len(e.models) > 0 && loaded == nil:
		return &engine.Error{Class: engine.ErrNotRun, Status: 404, Cause: errors.Errorf("model %q is not loaded", r.ServedModel())}
	case loaded != nil && !loaded.Ready:
		return &engine.Error{Class: engine.ErrNotRun, Status: 503, RetryAfter: engineRetryAfter, Cause: errors.New("model is loading")}
	case len(e.waiting) >= e.config.MaxQueue:
		return &engine.Error{Class: engine.ErrNotRun, Status: 429, RetryAfter: engineRetryAfter, Cause: errors.New("queue is full")}
	default:
		return nil
	}
}

func (e *Engine) addRunning(served string, n int) {
	if loaded := e.models[served]; loaded != nil {
		loaded.Running += n
	}
}

func (e *Engine) decodedTokens(s *sequence) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return int(s.decodedTokens)
}

// abort cancels a call and frees its slot after the caller has disconnected.
func (e *Engine) abort(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	if s.ended {
		return
	}
	e.counts.Cancelled++
	e.endSequence(s, &engine.Error{Class: engine.ErrUnknown, Cause: context.Canceled})
	e.admit()
	e.schedule()
}

func (e *Engine) failAll() {
	for _, s := range slices.Concat(e.running, e.waiting) {
		e.counts.Broken++
		e.endSequence(s, &engine.Error{Class: engine.ErrUnknown, Partial: s.decodedTokens > 0, Cause: errors.New("connection reset")})
	}
}

// endSequence removes the call from the engine, records its error and wakes the caller.
func (e *Engine) endSequence(s *sequence, err error) {
	e.running = remove(e.running, s)
	e.waiting = remove(e.waiting, s)
	e.cache.unpin(s.pinnedBlocks)
	s.pinnedBlocks = nil
	s.ended = true
	s.err = err
	s.endedAt = e.advancedTo
	e.addRunning(s.model, -1)
	close(s.done)
}

func remove(list []*sequence, s *sequence) []*sequence {
	if i := slices.Index(list, s); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

func (e *Engine) currentBoot() string { return fmt.Sprintf("%s-%d", e.config.Name, e.boot) }
