package node

import (
	"context"
	"time"

	"foxhall/internal/gateway"
	"foxhall/internal/mirror"
	"foxhall/internal/routing"
)

// runRefresh updates this instance's state after each change of the mirror until ctx ends. Only its
// goroutine calls refresh.
func (n *Node) runRefresh(ctx context.Context) {
	ticker := time.NewTicker(removalCheckInterval)
	defer ticker.Stop()
	sweep := time.NewTicker(connectionSweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-n.refreshRequested:
			n.refresh()
		case <-ticker.C:
			if len(n.replicas.held) > 0 {
				n.refresh()
			}
		case <-sweep.C:
			n.fleet.refreshStanding(time.Now())
			n.adapter.Replicas.RetainTargets(n.connectionLimitOf)
		case <-ctx.Done():
			return
		}
	}
}

// refresh brings the mirror's contents into force.
func (n *Node) refresh() {
	n.fleet.refresh()
	n.refreshAssignment()
	n.refreshTable()
	table := n.table.Load()
	if table == nil {
		return
	}
	changed, removed := n.replicaFeed.Take()
	defer n.replicaFeed.Applied()
	n.replicas.pass(n.replicaFeed.TakePassed())
	changes := n.replicas.update(changed, removed, n.mirror.RegistrationGrace(time.Now()))
	n.unusable.observe(changed, n.replicas.undecoded, removed, time.Now())
	asOf, known := n.mirror.AsOf(mirror.Replicas)
	if known {
		n.replicas.versions.Begin(time.Now())
	}
	n.followVersions()
	n.logReplicas(changes, uint64(asOf))
	n.confirmEnds(changes)
	if !table.SameServices(n.appliedTable) {
		// The upstreams of removed replicas are no longer in the set.
		changes = append(changes, n.replicas.all()...)
	}
	n.appliedTable = table
	if len(changes) == 0 {
		return
	}
	upstreams, gone := upstreamChanges(table, changes)
	n.upstream.Update(upstreams, gone, time.Now())
	n.adapter.Replicas.RetainTargets(n.connectionLimitOf)
}

// followVersions logs the services that have come to run several versions, or one again. Of the former it
// tells the holders of records at which version the streams under way began.
func (n *Node) followVersions() {
	for _, t := range n.replicas.transitions {
		versions, counts := n.replicas.versions.Listed(t.Service)
		line := n.logger.WithField("service", t.Service).WithField("versions", versions).WithField("replicas", counts)
		if !t.Mixed {
			line.WithField("mixed_ms", t.Lasted.Milliseconds()).Info("one version of a service again")
			continue
		}
		line.Info("several versions of a service")
		n.origins.TellAll(t.Service)
	}
}

// connectionLimitOf returns the number of connections that this instance may open to a target, and
// whether the target is in use.
func (n *Node) connectionLimitOf(t gateway.Target) (limit int, listed bool) {
	r, listed := n.replicas.target(t)
	if !listed {
		return 0, false
	}
	service := &routing.Service{}
	if table := n.table.Load(); table != nil && table.Service(r.Service) != nil {
		service = table.Service(r.Service)
	}
	return gateway.ConnectionLimit(service, n.fleet.connectionShare), true
}

// confirmEnds tells the quarantine of replicas that were replaced by a later start, or removed without
// having drained.
func (n *Node) confirmEnds(changes []replicaChange) {
	for _, c := range changes {
		if c.before == nil {
			continue
		}
		replaced := c.after != nil && c.after.Name() != c.before.Name()
		// An entry that has become unusable tells nothing of its replica.
		_, listed := n.mirror.Get(mirror.Replicas, c.before.ID)
		removed := c.after == nil && !c.before.Draining && !listed
		if !replaced && !removed {
			continue
		}
		if contents := n.quarantine.ConfirmEnds(c.before.Name(), replaced, time.Now()); contents > 0 {
			n.logger.WithField("replica", c.before.Name()).WithField("contents", contents).Info("end of a replica confirmed by the list")
		}
	}
}

func (n *Node) refreshAssignment() {
	a, version, ok := n.fleet.assignment()
	if !ok || version == n.assignedRevision {
		return
	}
	n.assignedRevision = version
	n.assigned.Store(&a)
	n.turns.AssignmentChanged()
	if n.keeper != nil {
		n.keeper.ApplyAssignment(a, version)
	}
}

func (n *Node) refreshTable() {
	e, ok := n.mirror.Get(mirror.Config, mirror.ConfigName)
	if !ok || uint64(e.Revision) == n.configRevision.Load() {
		return
	}
	defer n.configRevision.Store(uint64(e.Revision))
	table, err := n.adapter.Table(e.Value)
	if err != nil {
		n.logger.WithError(err).WithField("revision", uint64(e.Revision)).Warn("configuration can't be decoded; the previous one stays in force")
		return
	}
	if old := n.table.Load(); old != nil && table.Version <= old.Version {
		return
	}
	n.quotas.Set(table.Customers.Quotas(), time.Now())
	n.table.Store(table)
	n.logger.WithField("config", table.Version).WithField("revision", uint64(e.Revision)).Info("configuration in force")
}
