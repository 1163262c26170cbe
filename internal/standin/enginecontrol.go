package standin

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/chat"
	"foxhall/internal/engine"
)

// eventLog holds the most recent cache events with their times.
type eventLog struct {
	lastSeq uint64
	recent  []timedEvent
}

type timedEvent struct {
	engine.Event
	at time.Time
}

func (e *Engine) publish(kind engine.EventKind, blocks []uint64) {
	if len(blocks) == 0 {
		return
	}
	e.events.lastSeq++
	if e.faults.DropEvents {
		return
	}
	event := engine.Event{Boot: e.currentBoot(), Seq: e.events.lastSeq, Kind: kind, Blocks: slices.Clone(blocks)}
	e.events.recent = append(e.events.recent, timedEvent{event, e.advancedTo})
	if len(e.events.recent) > maxEngineEvents {
		e.events.recent = slices.Clone(e.events.recent[len(e.events.recent)-maxEngineEvents/2:])
	}
}

// EventsAfter returns the cache events with sequence numbers above from that are at least EventLag
// old.
func (e *Engine) EventsAfter(from uint64) ([]engine.Event, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	if e.faults.Down {
		return nil, &engine.Error{Class: engine.ErrNotSent, Cause: errors.New("connection refused")}
	}
	if e.faults.Hang {
		return nil, nil
	}
	visible := e.advancedTo.Add(-e.config.EventLag)
	var events []engine.Event
	start, _ := slices.BinarySearchFunc(e.events.recent, from+1, func(t timedEvent, seq uint64) int {
		return int(int64(t.Seq) - int64(seq))
	})
	for _, t := range e.events.recent[start:] {
		if t.at.After(visible) {
			break
		}
		events = append(events, t.Event)
	}
	return events, nil
}

// loadLog holds recent load reports, so that they can be returned with the configured lag.
type loadLog struct {
	reports []timedLoad
}

type timedLoad struct {
	engine.Load
	at time.Time
}

// Load returns the latest recorded report that is at least LoadLag old, or the oldest one if none is.
func (e *Engine) Load() (engine.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	if e.faults.Down {
		return engine.Load{}, &engine.Error{Class: engine.ErrNotSent, Cause: errors.New("connection refused")}
	}
	e.loads.reports = append(e.loads.reports, timedLoad{e.currentLoad(), e.advancedTo})
	visible := e.advancedTo.Add(-e.config.LoadLag)
	latestVisible := 0
	for i, report := range e.loads.reports {
		if report.at.After(visible) {
			break
		}
		latestVisible = i
	}
	e.loads.reports = e.loads.reports[latestVisible:]
	report := e.loads.reports[0].Load
	report.AgeMillis = e.advancedTo.Sub(e.loads.reports[0].at).Milliseconds()
	if e.faults.LieLoad {
		report.Running, report.Waiting, report.PrefillTokens = 0, 0, 0
	}
	return report, nil
}

func (e *Engine) currentLoad() engine.Load {
	load := engine.Load{
		Running:     len(e.running),
		Waiting:     len(e.waiting),
		CacheTokens: len(e.cache.blocks) * engine.BlockTokens,
		Draining:    e.faults.Leaving,
	}
	for _, s := range e.running {
		load.PrefillTokens += max(0, int(s.prefillTokensLeft))
	}
	for _, s := range e.waiting {
		load.PrefillTokens += s.promptTokens
	}
	return load
}

// State returns the engine's role, fencing token, loaded models and cached tokens per program, and
// the cached block hashes if blocks is set.
func (e *Engine) State(blocks bool) (engine.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	if e.faults.Down {
		return engine.State{}, &engine.Error{Class: engine.ErrNotSent, Cause: errors.New("connection refused")}
	}
	state := engine.State{Boot: e.currentBoot(), Seq: e.events.lastSeq, Role: e.role, Token: e.fencingToken, Programs: map[string]int{}}
	for _, name := range slices.Sorted(maps.Keys(e.models)) {
		state.Models = append(state.Models, *e.models[name])
	}
	for program, held := range e.cache.programs {
		state.Programs[program] = len(held) * engine.BlockTokens
	}
	if blocks {
		state.Blocks = slices.Collect(maps.Keys(e.cache.blocks))
	}
	return state, nil
}

// Cached returns the number of tokens of the conversation's prefix in the cache.
func (e *Engine) Cached(model string, messages []chat.Message) int {
	blocks := engine.Blocks(nil, model, messages)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	return e.cache.match(blocks) * engine.BlockTokens
}

// Order executes an order. An engine configured as Fenced rejects orders with an old fencing token.
func (e *Engine) Order(ctx context.Context, o engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	if e.faults.Down {
		return &engine.Error{Class: engine.ErrNotSent, Cause: errors.New("connection refused")}
	}
	if e.config.Fenced && o.Token < e.fencingToken {
		return &engine.Error{Class: engine.ErrFenced, Status: 409, Cause: errors.Errorf("token %d is older than %d", o.Token, e.fencingToken)}
	}
	e.fencingToken = max(e.fencingToken, o.Token)
	switch o.Kind {
	case engine.OrderLoad:
		e.loadModel(o)
	case engine.OrderUnload:
		e.unloadModel(o.Served)
	case engine.OrderRole:
		e.role = o.Role
	case engine.OrderRelease:
		for _, program := range o.Programs {
			e.cache.release(program)
		}
	default:
		return &engine.Error{Class: engine.ErrRejected, Status: 400, Cause: errors.Errorf("unknown order %q", o.Kind)}
	}
	return nil
}

// loadModel starts to load a model. It is idempotent: a model that is loaded or loading stays
// unchanged.
func (e *Engine) loadModel(o engine.Order) {
	if e.models[o.Served] != nil {
		return
	}
	loaded := &engine.LoadedModel{Served: o.Served, Model: o.Model, Version: o.Version, Adapter: o.Adapter}
	e.models[o.Served] = loaded
	if e.config.Fetch == nil {
		loaded.Ready = true
		return
	}
	go e.fetchWeights(o, loaded)
}

// unloadModel removes a model at once; its running and waiting calls fail.
func (e *Engine) unloadModel(served string) {
	for _, s := range slices.Concat(e.running, e.waiting) {
		if s.model == served {
			e.counts.Broken++
			e.endSequence(s, &engine.Error{Class: engine.ErrUnknown, Partial: s.decodedTokens > 0, Cause: errors.New("model unloaded")})
		}
	}
	delete(e.models, served)
	e.admit()
	e.schedule()
}

func (e *Engine) fetchWeights(o engine.Order, loaded *engine.LoadedModel) {
	err := e.config.Fetch(context.Background(), o.Model, o.Version)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.models[o.Served] != loaded {
		return
	}
	if err != nil {
		delete(e.models, o.Served)
		return
	}
	loaded.Ready = true
}

// ExportKV returns the cached blocks that a program holds.
func (e *Engine) ExportKV(program string) (engine.KV, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Down {
		return engine.KV{}, &engine.Error{Class: engine.ErrNotSent, Cause: errors.New("connection refused")}
	}
	blocks := slices.Collect(maps.Keys(e.cache.programs[program]))
	return engine.KV{Program: program, Blocks: blocks}, nil
}

// ImportKV adds a program's exported blocks to the cache. The transfer takes time in proportion to
// their size, at KVSpeed.
func (e *Engine) ImportKV(ctx context.Context, kv engine.KV) error {
	tokens := float64(len(kv.Blocks) * engine.BlockTokens)
	select {
	case <-time.After(time.Duration(tokens / e.config.KVSpeed * float64(time.Second))):
	case <-ctx.Done():
		return &engine.Error{Class: engine.ErrUnknown, Cause: ctx.Err()}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	if e.faults.Down {
		return &engine.Error{Class: engine.ErrUnknown, Cause: errors.New("connection reset")}
	}
	pinned, added, evicted := e.cache.store(kv.Blocks, kv.Program)
	e.cache.unpin(pinned)
	e.publish(engine.Evicted, evicted)
	e.publish(engine.Stored, added)
	return nil
}
