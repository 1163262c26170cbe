package node

import (
	"time"
	"unique"

	"foxhall/internal/gateway"
	"foxhall/internal/mirror"
	"foxhall/internal/origin"
	"foxhall/internal/routing"
	"foxhall/internal/usage"
)

// replicaSet holds the replicas in use, draining ones included. It is brought up to date by the
// changes of the mirror's entries, at a cost that does not depend on the number of replicas. Not
// safe for concurrent use.
type replicaSet struct {
	decode func(id string, data []byte) (routing.Replica, bool)
	byID   map[string]routing.Replica
	// held are the ids of replicas whose removal is delayed because they may still be alive: entries
	// expire while the store is unavailable.
	held map[string]bool
	// versions counts the replicas by version. transitions are those of the latest update.
	versions    *origin.Versions
	transitions []origin.Transition
	// undecoded are the entries of the latest update that yield no replica.
	undecoded []mirror.Entry
}

func newReplicaSet(decode func(id string, data []byte) (routing.Replica, bool)) *replicaSet {
	return &replicaSet{decode: decode, byID: map[string]routing.Replica{}, held: map[string]bool{}, versions: origin.NewVersions()}
}

// replicaChange is the change of one replica. before is nil for a new one, after for a removed one.
type replicaChange struct{ before, after *routing.Replica }

// update applies changed and removed entries. grace is how much longer a removed replica may
// register again; until then it stays in use, unless it was draining.
func (s *replicaSet) update(changed []mirror.Entry, removed []string, grace time.Duration) []replicaChange {
	var changes []replicaChange
	s.transitions, s.undecoded = s.transitions[:0], nil
	for _, e := range changed {
		r, ok := s.decode(e.Name, e.Value)
		if !ok {
			s.undecoded = append(s.undecoded, e)
			if _, known := s.byID[e.Name]; known {
				changes = append(changes, s.remove(e.Name))
			}
			continue
		}
		delete(s.held, e.Name)
		// Thousands of replicas have few services, data centres and versions.
		r.Service, r.DataCentre = unique.Make(r.Service).Value(), unique.Make(r.DataCentre).Value()
		r.Version = unique.Make(origin.ShortVersion(r.Version)).Value()
		change := replicaChange{after: &r}
		if before, known := s.byID[e.Name]; known {
			change.before = &before
		}
		s.byID[e.Name] = r
		s.count(change)
		changes = append(changes, change)
	}
	for _, id := range removed {
		r, known := s.byID[id]
		switch {
		case !known:
		case grace > 0 && !r.Draining:
			s.held[id] = true
		default:
			changes = append(changes, s.remove(id))
		}
	}
	if grace <= 0 {
		for id := range s.held {
			changes = append(changes, s.remove(id))
		}
	}
	return changes
}

// pass counts the versions of replicas that came and went.
func (s *replicaSet) pass(entries []mirror.Entry) {
	for _, e := range entries {
		if r, ok := s.decode(e.Name, e.Value); ok {
			s.versions.Passed(&origin.Replica{Service: r.Service, Version: origin.ShortVersion(r.Version)}, time.Now())
		}
	}
}

// count brings the counts of versions up to date with a change.
func (s *replicaSet) count(c replicaChange) {
	if t, ok := s.versions.Replace(originReplica(c.before), originReplica(c.after), time.Now()); ok {
		s.transitions = append(s.transitions, t)
	}
}

func originReplica(r *routing.Replica) *origin.Replica {
	if r == nil {
		return nil
	}
	return &origin.Replica{Service: r.Service, Version: r.Version, Draining: r.Draining}
}

func (s *replicaSet) remove(id string) replicaChange {
	r := s.byID[id]
	delete(s.byID, id)
	delete(s.held, id)
	change := replicaChange{before: &r}
	s.count(change)
	return change
}

// target returns the replica of a target, and whether it is in use, draining ones included: they still
// complete calls.
func (s *replicaSet) target(t gateway.Target) (routing.Replica, bool) {
	r, ok := s.byID[routing.ReplicaID(t.ID)]
	return r, ok && r.Name() == t.ID && r.Address == t.Address
}

// all returns every replica as a change, for a table with other services.
func (s *replicaSet) all() []replicaChange {
	changes := make([]replicaChange, 0, len(s.byID))
	for _, r := range s.byID {
		changes = append(changes, replicaChange{before: &r, after: &r})
	}
	return changes
}

// upstreamChanges converts changes of replicas to changes of the scheduler's upstreams. A draining
// replica is removed, which marks it as draining for waiting calls.
func upstreamChanges(table *routing.Table, changes []replicaChange) (changed []usage.Upstream, removed []string) {
	for _, c := range changes {
		u, usable := usage.Upstream{}, false
		if c.after != nil {
			u, usable = upstreamOf(table, c.after)
		}
		if usable {
			changed = append(changed, u)
		}
		if c.before == nil {
			continue
		}
		if name := c.before.Name(); !usable || name != u.Name {
			removed = append(removed, name)
		}
	}
	return changed, removed
}

// upstreamOf converts a replica to an upstream. It returns false if the replica gets no calls.
func upstreamOf(table *routing.Table, r *routing.Replica) (usage.Upstream, bool) {
	service := table.Service(r.Service)
	if r.Draining || service == nil {
		return usage.Upstream{}, false
	}
	u := usage.Upstream{Name: r.Name(), Address: r.Address, DataCentre: r.DataCentre, Slots: r.Slots, Version: r.Version}
	if service.Engine != nil {
		u.Kind, u.Models = usage.KindEngine, []string{service.Name}
		u.CacheTokens = service.Engine.CacheTokens
	} else {
		u.Kind, u.Service = usage.KindService, service.Name
	}
	return u, true
}

// logReplicas logs each replica that was added, changed its draining state or was removed.
func (n *Node) logReplicas(changes []replicaChange, revision uint64) {
	logChange := func(r *routing.Replica, message string) {
		n.logger.WithField("replica", r.Name()).WithField("service", r.Service).WithField("address", r.Address).
			WithField("replica_version", r.Version).WithField("revision", revision).Info(message)
	}
	for _, c := range changes {
		switch {
		case c.after == nil:
			logChange(c.before, "replica removed")
		case c.before == nil:
			logChange(c.after, "replica added")
		case c.before.Name() != c.after.Name():
			logChange(c.before, "replica removed")
			logChange(c.after, "replica added")
		case c.before.Draining != c.after.Draining:
			logChange(c.after, "replica draining")
		}
	}
}
