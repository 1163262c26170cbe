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
	// Reason is the reason for the order, for the log line.
	Reason string
}

// Engine is the state of an engine from which Plan derives orders.
type Engine struct {
	Name string
	// Allowed are the models that the engine has loaded or may load.
	Allowed []string
	// Usable reports whether the engine may get work. No model is loaded on an
	// engine that is not usable.
	Usable bool
	Loaded []engine.LoadedModel
}

// ModelTarget is the number of engines that should have a model loaded.
type ModelTarget struct {
	Model   usage.Model
	Engines int
}

// Plan returns the orders that bring the engines closer to the targets.
//
// When the version of a model changes, the new version is loaded under a new name.
// The old name is unloaded when the new one is ready on enough engines and no call
// runs on the old one. Each call names the version it runs on, so that no call
// runs on both. Names contain the epoch, the holder's fencing token: a late order
// of an earlier holder, at an engine that does not check tokens, can load or
// unload only names of its own epoch, and what it loaded is unloaded as outdated.
func Plan(engines []Engine, targets []ModelTarget, token uint64, maxModels int) []Action {
	slices.SortFunc(engines, func(a, b Engine) int { return cmp.Compare(a.Name, b.Name) })
	var actions []Action
	for _, target := range targets {
		actions = append(actions, planModel(engines, target, token, maxModels)...)
	}
	return actions
}

func planModel(engines []Engine, target ModelTarget, token uint64, maxModels int) []Action {
	have, ready := 0, 0
	for i := range engines {
		if current := engines[i].findCurrent(&target.Model); current != nil && engines[i].Usable {
			have++
			if current.Ready {
				ready++
			}
		}
	}
	var actions []Action
	for have < target.Engines {
		e := leastLoaded(engines, &target.Model, maxModels)
		if e == nil {
			break
		}
		actions = append(actions, e.planLoad(&target.Model, token))
		have++
	}
	return append(actions, planUnloads(engines, target, ready)...)
}

// planUnloads returns the unloads of idle outdated versions, if enough engines are
// ready with the current one, and of idle copies beyond the target.
func planUnloads(engines []Engine, target ModelTarget, ready int) []Action {
	var actions []Action
	surplus := ready - target.Engines
	for i := len(engines) - 1; i >= 0; i-- {
		e := &engines[i]
		for _, l := range e.Loaded {
			if l.Model != target.Model.Name || l.Running > 0 {
				continue
			}
			current := isCurrent(&l, &target.Model)
			switch {
			case !current && ready >= max(1, target.Engines):
				actions = append(actions, unloadAction(e.Name, l.Served, "outdated"))
			case current && l.Ready && surplus > 0:
				surplus--
				actions = append(actions, unloadAction(e.Name, l.Served, "not wanted"))
			}
		}
	}
	return actions
}

func isCurrent(l *engine.LoadedModel, m *usage.Model) bool {
	return l.Model == m.Name && l.Version == m.Version && l.Adapter == m.Adapter
}

func (e *Engine) findCurrent(m *usage.Model) *engine.LoadedModel {
	for i := range e.Loaded {
		if isCurrent(&e.Loaded[i], m) {
			return &e.Loaded[i]
		}
	}
	return nil
}

// leastLoaded returns the engine with the fewest models among those that may load
// the model, or nil. An outdated version of the same model does not count, since
// it is unloaded soon.
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

// planLoad returns the order to load the model and adds the model to Loaded, so
// that the same plan does not order it twice.
func (e *Engine) planLoad(m *usage.Model, token uint64) Action {
	served := engine.ServedName(m.Name, m.Version, m.Adapter, token)
	e.Loaded = append(e.Loaded, engine.LoadedModel{Served: served, Model: m.Name, Version: m.Version, Adapter: m.Adapter})
	order := engine.Order{Kind: engine.OrderLoad, Token: token, Served: served, Model: m.Name, Version: m.Version, Adapter: m.Adapter}
	return Action{Engine: e.Name, Order: order, Reason: "wanted"}
}

func unloadAction(engineName, served, reason string) Action {
	return Action{Engine: engineName, Order: engine.Order{Kind: engine.OrderUnload, Served: served}, Reason: reason}
}
