package node

import (
	"context"
	"time"

	"foxhall/internal/mirror"
)

// fleetSizeInterval is how often reachable entries are counted: several times within
// isolationTimeout, after which callers are diverted.
const fleetSizeInterval = 100 * time.Millisecond

// reportFleetSize reports to the quotas how many entries this instance reaches, and how many there
// are. Without quotas nobody needs to count them.
func (n *Node) reportFleetSize(ctx context.Context) {
	for ctx.Err() == nil {
		if !n.quotas.InUse() {
			sleep(ctx, fleetSizeInterval)
			continue
		}
		alive, all := 0, 1
		if _, known := n.mirror.AsOf(mirror.Fleet); known {
			alive, all = n.fleet.countAliveEntries(n.isEntryAlive)
		}
		n.quotas.SetFleet(alive, all, n.load.GossipRound(), time.Now())
		sleep(ctx, fleetSizeInterval)
	}
}

// isEntryAlive reports whether an entry is reachable. The silence of its whole data centre is
// detected sooner than that of the entry alone.
func (n *Node) isEntryAlive(m member) bool {
	return n.load.DataCentreSilentFor(m.DataCentre) <= partitionTimeout && n.load.Alive(m.Name, partitionTimeout)
}
