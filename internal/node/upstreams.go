package node

import (
	"time"

	"foxhall/internal/gateway"
	"foxhall/internal/routing"
	"foxhall/internal/usage"
)

// upstreamsOf turns the replicas into the scheduler's upstreams. A draining
// replica is left out, which marks it as leaving for calls that wait.
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

// logReplicas writes a line for each replica that came, changed or went.
func (n *Node) logReplicas(before, now []routing.Replica, revision uint64) {
	old := map[string]routing.Replica{}
	for _, r := range before {
		old[r.Name()] = r
	}
	say := func(r *routing.Replica, what string) {
		n.logger.WithField("replica", r.Name()).WithField("service", r.Service).WithField("address", r.Address).
			WithField("revision", revision).Info(what)
	}
	for i := range now {
		r := &now[i]
		was, known := old[r.Name()]
		delete(old, r.Name())
		switch {
		case !known:
			say(r, "replica added")
		case was.Draining != r.Draining:
			say(r, "replica draining")
		}
	}
	for _, r := range old {
		say(&r, "replica removed")
	}
}

// targetsOf returns the connections worth keeping: also those to draining
// replicas, which still answer.
func targetsOf(replicas []routing.Replica) map[gateway.Target]bool {
	targets := map[gateway.Target]bool{}
	for i := range replicas {
		targets[gateway.Target{ID: replicas[i].Name(), Address: replicas[i].Address}] = true
	}
	return targets
}

// lapse holds back removals of replicas while they may only be unheard of:
// their entries lapse while the store is away.
type lapse struct {
	held map[string]routing.Replica
}

// merge returns the replicas to use: those listed, and those that were listed
// before and may come back within the unsettled time.
func (l *lapse) merge(before, now []routing.Replica, unsettled time.Duration) []routing.Replica {
	listed := map[string]bool{}
	for i := range now {
		listed[now[i].ID] = true
	}
	if unsettled <= 0 {
		l.held = nil
		return now
	}
	if l.held == nil {
		l.held = map[string]routing.Replica{}
	}
	for _, r := range before {
		if !listed[r.ID] && !r.Draining {
			l.held[r.ID] = r
		}
	}
	all := now
	for id, r := range l.held {
		if listed[id] {
			delete(l.held, id)
			continue
		}
		all = append(all, r)
	}
	return all
}
