package standin

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/engine"
)

// fleetEventPollInterval is the interval at which Fleet.Events polls for new events.
const fleetEventPollInterval = 50 * time.Millisecond

// Fleet maps addresses to engines and has the methods of engine.Client, so that tests can use the
// engines without a network. It must not be modified after first use.
type Fleet map[string]*Engine

func (f Fleet) engineAt(addr string) (*Engine, error) {
	e := f[addr]
	if e == nil {
		return nil, &engine.Error{Class: engine.ErrNotSent, Cause: errors.Errorf("no engine at %s", addr)}
	}
	return e, nil
}

// Complete runs a completion on the engine at addr.
func (f Fleet) Complete(ctx context.Context, addr string, r *engine.Request, onChunk func(engine.Chunk) error) (*engine.Response, error) {
	e, err := f.engineAt(addr)
	if err != nil {
		return nil, err
	}
	return e.Complete(ctx, r, onChunk)
}

// Load returns the load report of the engine at addr.
func (f Fleet) Load(_ context.Context, addr string) (engine.Load, error) {
	e, err := f.engineAt(addr)
	if err != nil {
		return engine.Load{}, err
	}
	return e.Load()
}

// State returns the state of the engine at addr.
func (f Fleet) State(_ context.Context, addr string, blocks bool) (engine.State, error) {
	e, err := f.engineAt(addr)
	if err != nil {
		return engine.State{}, err
	}
	return e.State(blocks)
}

// Order sends an order to the engine at addr.
func (f Fleet) Order(ctx context.Context, addr string, o engine.Order) error {
	e, err := f.engineAt(addr)
	if err != nil {
		return err
	}
	return e.Order(ctx, o)
}

// Events calls each for every event with a sequence number above from. It returns when ctx ends,
// each fails, or the engine fails or restarts.
func (f Fleet) Events(ctx context.Context, addr string, from uint64, each func(engine.Event) error) error {
	e, err := f.engineAt(addr)
	if err != nil {
		return err
	}
	boot := ""
	for ctx.Err() == nil {
		events, err := e.EventsAfter(from)
		if err != nil {
			return err
		}
		for _, event := range events {
			if err := each(event); err != nil {
				return err
			}
			from, boot = event.Seq, event.Boot
		}
		if current := e.Boot(); boot != "" && boot != current {
			return &engine.Error{Class: engine.ErrUnknown, Cause: errors.New("engine restarted")}
		}
		select {
		case <-time.After(fleetEventPollInterval):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// ImportKV copies a program's cache from the engine at order.From to the engine at addr.
func (f Fleet) ImportKV(ctx context.Context, addr string, order engine.KVImport) error {
	to, err := f.engineAt(addr)
	if err != nil {
		return err
	}
	from, err := f.engineAt(order.From)
	if err != nil {
		return err
	}
	kv, err := from.ExportKV(order.Program)
	if err != nil {
		return err
	}
	return to.ImportKV(ctx, kv)
}

// Boot returns the identifier of the engine's current boot.
func (e *Engine) Boot() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.currentBoot()
}
