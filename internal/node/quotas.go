package node

import (
	"context"
	"time"

	"foxhall/internal/mirror"
)

// fleetEvery is how often it is counted how many instances are heard: several times before
// callers are sent elsewhere.
const fleetSizeInterval = 100 * time.Millisecond

// followFleet tells the quotas which part of the fleet this instance hears.
func (n *Node) reportFleetSize(ctx context.Context) {
	for ctx.Err() == nil {
		alive, all := 0, 1
		if _, known := n.mirror.AsOf(mirror.Fleet); known {
			alive, all = n.fleet.countAliveEntries(n.isEntryAlive)
		}
		n.quotas.SetFleet(alive, all, n.load.GossipRound(), time.Now())
		sleep(ctx, fleetSizeInterval)
	}
}

// hearsEntry reports whether an instance is heard. Where nothing comes from its data centre,
// that shows sooner than by its own silence.
func (n *Node) isEntryAlive(m member) bool {
	return n.load.DataCentreSilentFor(m.DataCentre) <= partitionTimeout && n.load.Alive(m.Name, partitionTimeout)
}
