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

// eventLog keeps the last cache events with the time at which they happened.
type eventLog struct {
	seq  uint64
	kept []timedEvent
}

type timedEvent struct {
	engine.Event
	at time.Time
}

func (e *Engine) publish(kind engine.EventKind, blocks []uint64) {
	if len(blocks) == 0 {
		return
	}
	e.events.seq++
	if e.faults.DropEvents {
		return
	}
	event := engine.Event{Boot: e.bootName(), Seq: e.events.seq, Kind: kind, Blocks: slices.Clone(blocks)}
	e.events.kept = append(e.events.kept, timedEvent{event, e.last})
	if len(e.events.kept) > engineEventsKept {
		e.events.kept = slices.Clone(e.events.kept[len(e.events.kept)-engineEventsKept/2:])
	}
}

// EventsAfter returns the cache events after number from that are old enough
// to have come through.
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
	visible := e.last.Add(-e.config.EventLag)
	var events []engine.Event
	start, _ := slices.BinarySearchFunc(e.events.kept, from+1, func(t timedEvent, seq uint64) int {
		return int(int64(t.Seq) - int64(seq))
	})
	for _, t := range e.events.kept[start:] {
		if t.at.After(visible) {
			break
		}
		events = append(events, t.Event)
	}
	return events, nil
}

// loadLog delays load reports by the configured lag.
type loadLog struct {
	kept []timedLoad
}

type timedLoad struct {
	engine.Load
	at time.Time
}

// Load returns the report that is old enough to have come through.
func (e *Engine) Load() (engine.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	if e.faults.Down {
		return engine.Load{}, &engine.Error{Class: engine.ErrNotSent, Cause: errors.New("connection refused")}
	}
	e.load.kept = append(e.load.kept, timedLoad{e.currentLoad(), e.last})
	visible := e.last.Add(-e.config.LoadLag)
	keep := 0
	for i, report := range e.load.kept {
		if report.at.After(visible) {
			break
		}
		keep = i
	}
	e.load.kept = e.load.kept[keep:]
	report := e.load.kept[0].Load
	report.AgeMillis = e.last.Sub(e.load.kept[0].at).Milliseconds()
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
		load.PrefillTokens += max(0, int(s.prefillLeft))
	}
	for _, s := range e.waiting {
		load.PrefillTokens += s.prompt
	}
	return load
}

// State returns what the engine holds.
func (e *Engine) State(blocks bool) (engine.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	if e.faults.Down {
		return engine.State{}, &engine.Error{Class: engine.ErrNotSent, Cause: errors.New("connection refused")}
	}
	state := engine.State{Boot: e.bootName(), Seq: e.events.seq, Role: e.role, Token: e.token, Programs: map[string]int{}}
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

// Cached returns how many tokens of the conversation the engine holds.
func (e *Engine) Cached(model string, messages []chat.Message) int {
	blocks := engine.Blocks(nil, model, messages)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	return e.cache.match(blocks) * engine.BlockTokens
}

// Order carries out an order, or refuses an old token where the engine checks.
func (e *Engine) Order(ctx context.Context, o engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	if e.faults.Down {
		return &engine.Error{Class: engine.ErrNotSent, Cause: errors.New("connection refused")}
	}
	if e.config.Fenced && o.Token < e.token {
		return &engine.Error{Class: engine.ErrFenced, Status: 409, Cause: errors.Errorf("token %d is older than %d", o.Token, e.token)}
	}
	e.token = max(e.token, o.Token)
	switch o.Kind {
	case engine.OrderLoad:
		e.loadModel(o)
	case engine.OrderUnload:
		e.unload(o.Served)
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

// loadModel is idempotent: a model that is loaded or loading stays as it is.
func (e *Engine) loadModel(o engine.Order) {
	if e.models[o.Served] != nil {
		return
	}
	loaded := &engine.Loaded{Served: o.Served, Model: o.Model, Version: o.Version, Adapter: o.Adapter}
	e.models[o.Served] = loaded
	if e.config.Fetch == nil {
		loaded.Ready = true
		return
	}
	go e.fetch(o, loaded)
}

// unload takes a model out at once; calls that run on it are broken.
func (e *Engine) unload(served string) {
	for _, s := range slices.Concat(e.running, e.waiting) {
		if s.model == served {
			e.counts.Broken++
			e.end(s, &engine.Error{Class: engine.ErrUnknown, Partial: s.decoded > 0, Cause: errors.New("model unloaded")})
		}
	}
	delete(e.models, served)
	e.admit()
	e.schedule()
}

func (e *Engine) fetch(o engine.Order, loaded *engine.Loaded) {
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

// ExportKV returns the cache of a program.
func (e *Engine) ExportKV(program string) (engine.KV, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Down {
		return engine.KV{}, &engine.Error{Class: engine.ErrNotSent, Cause: errors.New("connection refused")}
	}
	blocks := slices.Collect(maps.Keys(e.cache.programs[program]))
	return engine.KV{Program: program, Blocks: blocks}, nil
}

// ImportKV takes a program's cache in, which lasts by the size of it.
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
	kept, added, evicted := e.cache.store(kv.Blocks, kv.Program)
	e.cache.unpin(kept)
	e.publish(engine.Evicted, evicted)
	e.publish(engine.Stored, added)
	return nil
}
