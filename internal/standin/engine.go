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

// EngineConfig describes a model engine.
type EngineConfig struct {
	Name string
	// Slots is the largest batch; MaxQueue bounds the calls that wait for it.
	Slots    int
	MaxQueue int
	// CacheTokens is the size of the prefix cache.
	CacheTokens int
	// PrefillSpeed is in tokens a second, for one prompt after the other.
	PrefillSpeed float64
	// DecodeSpeed is in tokens a second for a batch of one.
	DecodeSpeed float64
	// BatchSlowdown is how much each further call of a batch slows every call:
	// speed = DecodeSpeed / (1 + BatchSlowdown * (batch - 1)).
	BatchSlowdown float64
	// LoadLag and EventLag are how late load reports and cache events come.
	LoadLag  time.Duration
	EventLag time.Duration
	// KVSpeed is the rate of cache imports in tokens a second.
	KVSpeed float64
	// ChunkTokens is the number of tokens in a streamed chunk.
	ChunkTokens int
	// Fenced refuses orders with an old fencing token.
	Fenced bool
	// Models are loaded from the start, under their own names; none means that
	// any model is served.
	Models []string
	// Fetch gets weights before a model is ready; nil takes no time.
	Fetch func(ctx context.Context, model, version string) error
	// OnCall sees each call in the order in which the engine admits them; it
	// must return at once. Nil means that nobody looks.
	OnCall func(r *engine.Request)
}

// EngineFaults are the ways in which a stand-in engine can misbehave.
type EngineFaults struct {
	// Down refuses new calls and breaks those under way.
	Down bool
	// Hang keeps calls without any progress.
	Hang bool
	// Slow divides all speeds; 0 and 1 mean none.
	Slow float64
	// LieLoad reports an idle engine.
	LieLoad bool
	// DropEvents numbers cache events but loses them.
	DropEvents bool
	// Leaving answers new calls that the engine drains and did not run them.
	Leaving bool
	// Restart breaks all calls and loses the cache once, when the faults are set.
	Restart bool
}

// EngineCounts counts what an engine has done.
type EngineCounts struct {
	Calls, Refused, Finished, Broken, Cancelled int64
	PromptTokens, CachedTokens, GeneratedTokens int64
}

// prefillShare is the part of the decode speed that remains while a prompt is prefilled.
const decodeShareDuringPrefill = 0.5

// The defaults of an EngineConfig.
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

// Engine is a model engine with continuous batching. It moves in continuous
// time: between two events each call progresses at a constant rate, so that it
// costs no work per token. All time comes from package time.
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
	models       map[string]*engine.Loaded
	role         string
	fencingToken uint64
	counts       EngineCounts
}

// NewEngine returns an engine without faults.
func NewEngine(config EngineConfig) *Engine {
	setDefaults(&config)
	e := &Engine{
		config:     config,
		cache:      newBlockCache(config.CacheTokens / engine.BlockTokens),
		advancedTo: time.Now(),
		models:     map[string]*engine.Loaded{},
		role:       "both",
		boot:       1,
	}
	for _, name := range config.Models {
		e.models[name] = &engine.Loaded{Served: name, Model: name, Ready: true}
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

// SetFaults replaces the faults in force.
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

// Counts returns what the engine has done so far.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Complete runs one completion, as engine.Client does over HTTP.
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

// enter admits a call or says why the engine does not run it.
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

// abort frees the slot of a call whose caller is gone.
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

// end takes the call out of the engine and wakes its caller.
func (e *Engine) endSequence(s *sequence, err error) {
	e.running = remove(e.running, s)
	e.waiting = remove(e.waiting, s)
	e.cache.unpin(s.pinned)
	s.pinned = nil
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
