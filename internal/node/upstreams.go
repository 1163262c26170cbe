package node

import (
	"time"

	"foxhall/internal/gateway"
	"foxhall/internal/routing"
	"foxhall/internal/usage"
)

// upstreamsOf converts replicas to the scheduler's upstreams. Draining replicas are omitted, which
// marks them as draining for waiting calls.
func upstreamsOf(table *routing.Table, replicas []routing.Replica) []usage.Upstream {
	var list []usage.Upstream
	for i := range replicas {
		r := &replicas[i]
		service := table.Service(r.Service)
		if r.Draining || service == nil {
			continue
		}
		u := usage.Upstream{Name: r.Name(), Address: r.Address, DataCentre: r.DataCentre, Slots: r.Slots}
		if service.Engine != nil {
			u.Kind, u.Models = usage.KindEngine, []string{service.Name}
			u.CacheTokens = service.Engine.CacheTokens
		} else {
			u.Kind, u.Service = usage.KindService, service.Name
		}
		list = append(list, u)
	}
	return list
}

// logReplicas logs each replica that was added, changed its draining state or was removed.
func (n *Node) logReplicas(previous, current []routing.Replica, revision uint64) {
	old := map[string]routing.Replica{}
	for _, r := range previous {
		old[r.Name()] = r
	}
	logChange := func(r *routing.Replica, message string) {
		n.logger.WithField("replica", r.Name()).WithField("service", r.Service).WithField("address", r.Address).
			WithField("revision", revision).Info(message)
	}
	for i := range current {
		r := &current[i]
		before, known := old[r.Name()]
		delete(old, r.Name())
		switch {
		case !known:
			logChange(r, "replica added")
		case before.Draining != r.Draining:
			logChange(r, "replica draining")
		}
	}
	for _, r := range old {
		logChange(&r, "replica removed")
	}
}

// targetsOf returns the targets whose connections are retained, including draining replicas, which
// still complete calls.
func targetsOf(replicas []routing.Replica) map[gateway.Target]bool {
	targets := map[gateway.Target]bool{}
	for i := range replicas {
		targets[gateway.Target{ID: replicas[i].Name(), Address: replicas[i].Address}] = true
	}
	return targets
}

// removalHold delays removals of replicas that may still be alive: entries expire while the store
// is unavailable.
type removalHold struct {
	held map[string]routing.Replica
}

// merge returns the replicas to use: those listed now, and those listed before that may register
// again within the remaining grace period.
func (h *removalHold) merge(previous, current []routing.Replica, grace time.Duration) []routing.Replica {
	listed := map[string]bool{}
	for i := range current {
		listed[current[i].ID] = true
	}
	if grace <= 0 {
		h.held = nil
		return current
	}
	if h.held == nil {
		h.held = map[string]routing.Replica{}
	}
	for _, r := range previous {
		if !listed[r.ID] && !r.Draining {
			h.held[r.ID] = r
		}
	}
	all := current
	for id, r := range h.held {
		if listed[id] {
			delete(h.held, id)
			continue
		}
		all = append(all, r)
	}
	return all
}
