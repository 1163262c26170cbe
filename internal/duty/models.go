package duty

import (
	"time"

	"foxhall/internal/engine"
	"foxhall/internal/upstream"
	"foxhall/internal/usage"
)

// defaultSlots is the number of slots assumed for engines if the usage list
// specifies none.
const defaultSlots = 16

// publishServing records in the table the name under which each engine serves each
// model: that of the wanted version if it is ready, otherwise that of another
// ready version.
func (k *Manager) publishServing(observations []observed) {
	snapshot := k.table.Snapshot()
	for _, m := range k.settings.Models() {
		for _, endpoint := range snapshot.Model(m.Name) {
			for _, o := range observations {
				if o.upstream == endpoint.Upstream {
					endpoint.SetServing(chooseServing(&m, o.state.Models))
				}
			}
		}
	}
}

// chooseServing chooses one of the names under which an engine has loaded a model.
// An engine that lists no loaded models serves any model under the model's name.
func chooseServing(m *usage.Model, loaded []engine.LoadedModel) upstream.Serving {
	if len(loaded) == 0 {
		return upstream.Serving{Name: m.Name, Ready: true}
	}
	best := upstream.Serving{Name: m.Name}
	for i := range loaded {
		l := &loaded[i]
		if l.Model != m.Name || !l.Ready {
			continue
		}
		if isCurrent(l, m) {
			return upstream.Serving{Name: l.Served, Ready: true}
		}
		best = upstream.Serving{Name: l.Served, Ready: true}
	}
	return best
}

func (k *Manager) planModels(observations []observed, token uint64, now time.Time) []Action {
	engines := make([]Engine, 0, len(observations))
	for _, o := range observations {
		if len(o.state.Models) == 0 && len(o.upstream.Models) == 1 {
			continue // the engine serves its only model under any name
		}
		engines = append(engines, Engine{
			Name:    o.upstream.Name,
			Allowed: o.upstream.Models,
			Usable:  o.upstream.Load(now.UnixNano()).Condition <= upstream.Full,
			Loaded:  o.state.Models,
		})
	}
	return k.limitLoads(Plan(engines, k.modelTargets(observations, now), token, k.settings.MaxModels), token, now)
}

func (k *Manager) modelTargets(observations []observed, now time.Time) []ModelTarget {
	demand := k.settings.Demand()
	var targets []ModelTarget
	for _, m := range k.settings.Models() {
		have, slots, allowed := 0, 0, 0
		for _, o := range observations {
			for i := range o.state.Models {
				if o.state.Models[i].Model == m.Name {
					have++
					break
				}
			}
		}
		for _, endpoint := range k.table.Snapshot().Model(m.Name) {
			slots += endpoint.Upstream.Slots
			allowed++
		}
		if allowed == 0 {
			continue
		}
		perEngine := slots / allowed
		if perEngine == 0 {
			perEngine = defaultSlots
		}
		engines := k.sizer.Size(m.Name, demand[m.Name], perEngine, have, now)
		targets = append(targets, ModelTarget{Model: m, Engines: min(engines, allowed)})
	}
	return targets
}

// unloadDelay is how long an unload must be wanted before it is ordered. Other
// instances see the new name up to a round later, and a call granted under the
// old name may still be in flight; the engine would reject it after an immediate
// unload.
const unloadDelay = 3 * roundInterval

// pendingUnloads records since when each unload has been wanted.
type pendingUnloads struct {
	wantedSince map[unloadKey]time.Time
}

type unloadKey struct{ engine, served string }

// delay removes unloads from the actions until they have been wanted in every
// round for unloadDelay.
func (d *pendingUnloads) delay(actions []Action, now time.Time) []Action {
	previous := d.wantedSince
	d.wantedSince = map[unloadKey]time.Time{}
	var remaining []Action
	for _, a := range actions {
		if a.Order.Kind != engine.OrderUnload {
			remaining = append(remaining, a)
			continue
		}
		key := unloadKey{a.Engine, a.Order.Served}
		since, wanted := previous[key]
		if !wanted {
			since = now
		}
		d.wantedSince[key] = since
		if now.Sub(since) >= unloadDelay {
			remaining = append(remaining, a)
		}
	}
	return remaining
}

// limitLoads limits loads to the rate of the weight store and sets the token of
// the remaining orders. Loads of the same model and version count once and are
// ordered together: engines that request the same weights at the same time share
// one fetch.
func (k *Manager) limitLoads(actions []Action, token uint64, now time.Time) []Action {
	allowed := map[string]bool{}
	var remaining []Action
	for _, a := range actions {
		a.Order.Token = token
		if a.Order.Kind == engine.OrderLoad {
			weights := a.Order.Model + "@" + a.Order.Version
			if _, decided := allowed[weights]; !decided {
				allowed[weights] = k.fetchLimiter.AllowN(now, 1)
			}
			if !allowed[weights] {
				continue
			}
		}
		remaining = append(remaining, a)
	}
	return remaining
}
