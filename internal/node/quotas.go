package node

import (
	"context"
	"time"

	"foxhall/internal/mirror"
)

// fleetEvery is how often it is counted how many instances are heard: several times before
// callers are sent elsewhere.
const fleetEvery = 100 * time.Millisecond

// followFleet tells the quotas which part of the fleet this instance hears.
func (n *Node) followFleet(ctx context.Context) {
	for ctx.Err() == nil {
		heard, all := 0, 1
		if _, known := n.mirror.AsOf(mirror.Fleet); known {
			heard, all = n.fleet.heardEntries(n.hearsEntry)
		}
		n.quotas.SetFleet(heard, all, n.load.GossipRound(), time.Now())
		pause(ctx, fleetEvery)
	}
}

// hearsEntry reports whether an instance is heard. Where nothing comes from its data centre,
// that shows sooner than by its own silence.
func (n *Node) hearsEntry(m member) bool {
	return n.load.DataCentreSilentFor(m.DataCentre) <= cutAfter && n.load.Alive(m.Name, cutAfter)
}
