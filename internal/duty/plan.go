package duty

import (
	"cmp"
	"slices"

	"foxhall/internal/engine"
	"foxhall/internal/usage"
)

// Action is one order for one engine.
type Action struct {
	Engine string
	Order  engine.Order
	// Reason says in the log line why it is given.
	Reason string
}

// Engine is what the plan knows of an engine.
type Engine struct {
	Name string
	// Allowed are the models that it has or may load.
	Allowed []string
	// Usable says that it may get work; one that is not keeps what it has.
	Usable bool
	Loaded []engine.Loaded
}

// Want is how many engines should hold a model.
type ModelTarget struct {
	Model   usage.Model
	Engines int
}

// Plan returns the orders that bring the engines closer to what is wanted.
//
// A model whose version changed is loaded anew under its new name; the old name
// goes when the new one is ready on enough engines and no call runs on the old.
// A call names what it runs on, so no call ever sees both. Names carry the
// epoch, the holder's fencing token: an order of an earlier holder that arrives
// late at an engine that does not check can load or unload only its own names,
// and what it loaded is unloaded as outdated.
func Plan(engines []Engine, wants []ModelTarget, token uint64, maxModels int) []Action {
	slices.SortFunc(engines, func(a, b Engine) int { return cmp.Compare(a.Name, b.Name) })
	var actions []Action
	for _, want := range wants {
		actions = append(actions, planModel(engines, want, token, maxModels)...)
	}
	return actions
}

func planModel(engines []Engine, want ModelTarget, token uint64, maxModels int) []Action {
	have, ready := 0, 0
	for i := range engines {
		if current := engines[i].findCurrent(&want.Model); current != nil && engines[i].Usable {
			have++
			if current.Ready {
				ready++
			}
		}
	}
	var actions []Action
	for have < want.Engines {
		e := leastLoaded(engines, &want.Model, maxModels)
		if e == nil {
			break
		}
		actions = append(actions, e.planLoad(&want.Model, token))
		have++
	}
	return append(actions, planUnloads(engines, want, ready)...)
}

// planUnloads unloads outdated names when enough engines are ready with the
// current one, and idle copies beyond the number wanted.
func planUnloads(engines []Engine, want ModelTarget, ready int) []Action {
	var actions []Action
	surplus := ready - want.Engines
	for i := len(engines) - 1; i >= 0; i-- {
		e := &engines[i]
		for _, l := range e.Loaded {
			if l.Model != want.Model.Name || l.Running > 0 {
				continue
			}
			current := isCurrent(&l, &want.Model)
			switch {
			case !current && ready >= max(1, want.Engines):
				actions = append(actions, unloadAction(e.Name, l.Served, "outdated"))
			case current && l.Ready && surplus > 0:
				surplus--
				actions = append(actions, unloadAction(e.Name, l.Served, "not wanted"))
			}
		}
	}
	return actions
}

func isCurrent(l *engine.Loaded, m *usage.Model) bool {
	return l.Model == m.Name && l.Version == m.Version && l.Adapter == m.Adapter
}

func (e *Engine) findCurrent(m *usage.Model) *engine.Loaded {
	for i := range e.Loaded {
		if isCurrent(&e.Loaded[i], m) {
			return &e.Loaded[i]
		}
	}
	return nil
}

// roomiest returns the engine that may load the model and holds the fewest
// models. An outdated version of the same model does not count: it is about to go.
func leastLoaded(engines []Engine, m *usage.Model, maxModels int) *Engine {
	var best *Engine
	for i := range engines {
		e := &engines[i]
		if !e.Usable || e.findCurrent(m) != nil || !slices.Contains(e.Allowed, m.Name) || e.countOtherModels(m) >= maxModels {
			continue
		}
		if best == nil || e.countOtherModels(m) < best.countOtherModels(m) {
			best = e
		}
	}
	return best
}

func (e *Engine) countOtherModels(m *usage.Model) int {
	n := 0
	for _, l := range e.Loaded {
		if l.Model != m.Name {
			n++
		}
	}
	return n
}

// load orders the model and notes it as loading, so that the same plan does
// not order it twice.
func (e *Engine) planLoad(m *usage.Model, token uint64) Action {
	served := engine.ServedName(m.Name, m.Version, m.Adapter, token)
	e.Loaded = append(e.Loaded, engine.Loaded{Served: served, Model: m.Name, Version: m.Version, Adapter: m.Adapter})
	order := engine.Order{Kind: engine.OrderLoad, Token: token, Served: served, Model: m.Name, Version: m.Version, Adapter: m.Adapter}
	return Action{Engine: e.Name, Order: order, Reason: "wanted"}
}

func unloadAction(name, served, reason string) Action {
	return Action{Engine: name, Order: engine.Order{Kind: engine.OrderUnload, Served: served}, Reason: reason}
}
