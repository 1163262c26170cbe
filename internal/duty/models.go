package duty

import (
	"time"

	"foxhall/internal/engine"
	"foxhall/internal/upstream"
	"foxhall/internal/usage"
)

// defaultSlots is assumed of an engine for which the usage list gives none.
const defaultSlots = 16

// publish tells the table under which name each engine serves each model: the
// version wanted where it is ready, or else another that is.
func (k *Keeper) publishServing(seen []observed) {
	members := k.table.Snapshot()
	for _, m := range k.settings.Models() {
		for _, cell := range members.Model(m.Name) {
			for _, o := range seen {
				if o.upstream == cell.Upstream {
					cell.SetServing(chooseServing(&m, o.state.Models))
				}
			}
		}
	}
}

// servingOf picks among the names under which an engine holds a model. An
// engine that names no models at all serves any under its own name.
func chooseServing(m *usage.Model, loaded []engine.Loaded) upstream.Serving {
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

func (k *Keeper) planModels(seen []observed, token uint64, now time.Time) []Action {
	engines := make([]Engine, 0, len(seen))
	for _, o := range seen {
		if len(o.state.Models) == 0 && len(o.upstream.Models) == 1 {
			continue // it serves its one model whatever the name
		}
		engines = append(engines, Engine{
			Name:    o.upstream.Name,
			Allowed: o.upstream.Models,
			Usable:  o.upstream.Load(now.UnixNano()).Condition <= upstream.Full,
			Loaded:  o.state.Models,
		})
	}
	return k.limitLoads(Plan(engines, k.modelTargets(seen, now), token, k.settings.MaxModels), token, now)
}

func (k *Keeper) modelTargets(seen []observed, now time.Time) []ModelTarget {
	demand := k.settings.Demand()
	var wants []ModelTarget
	for _, m := range k.settings.Models() {
		have, slots, allowed := 0, 0, 0
		for _, o := range seen {
			for i := range o.state.Models {
				if o.state.Models[i].Model == m.Name {
					have++
					break
				}
			}
		}
		for _, cell := range k.table.Snapshot().Model(m.Name) {
			slots += cell.Upstream.Slots
			allowed++
		}
		if allowed == 0 {
			continue
		}
		perEngine := slots / allowed
		if perEngine == 0 {
			perEngine = defaultSlots
		}
		replicas := k.sizer.Size(m.Name, demand[m.Name], perEngine, have, now)
		wants = append(wants, ModelTarget{Model: m, Engines: min(replicas, allowed)})
	}
	return wants
}

// drainHold is how long an unload must be wanted before it is ordered. The
// other instances see the new name up to a round later, and a call granted
// under the old one may still be on its way: unloaded at once, the engine
// refuses it.
const unloadDelay = 3 * roundInterval

// drains remembers since when each unload is wanted.
type pendingUnloads struct {
	wantedSince map[unloadKey]time.Time
}

type unloadKey struct{ engine, served string }

// hold keeps unloads back until they have been wanted in every round of the hold.
func (d *pendingUnloads) delay(actions []Action, now time.Time) []Action {
	before := d.wantedSince
	d.wantedSince = map[unloadKey]time.Time{}
	var kept []Action
	for _, a := range actions {
		if a.Order.Kind != engine.OrderUnload {
			kept = append(kept, a)
			continue
		}
		key := unloadKey{a.Engine, a.Order.Served}
		since, wanted := before[key]
		if !wanted {
			since = now
		}
		d.wantedSince[key] = since
		if now.Sub(since) >= unloadDelay {
			kept = append(kept, a)
		}
	}
	return kept
}

// paced holds loads back to the rate of the weight store. The loads of one
// model and version go together and count once: engines that ask for the same
// weights at the same time share one fetch.
func (k *Keeper) limitLoads(actions []Action, token uint64, now time.Time) []Action {
	allowed := map[string]bool{}
	var kept []Action
	for _, a := range actions {
		a.Order.Token = token
		if a.Order.Kind == engine.OrderLoad {
			weights := a.Order.Model + "@" + a.Order.Version
			if _, asked := allowed[weights]; !asked {
				allowed[weights] = k.fetchLimiter.AllowN(now, 1)
			}
			if !allowed[weights] {
				continue
			}
		}
		kept = append(kept, a)
	}
	return kept
}
