package node

import (
	"net/http"
	"time"

	"foxhall/internal/mirror"
)

// serveReady answers the balancer.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (n *Node) ready() bool {
	_, known := n.mirror.AsOf(mirror.Replicas)
	return known && n.table.Load() != nil && !n.sendsAway()
}

// sendsAway reports that callers are better served elsewhere: this instance is
// about to stop, or it is cut off. An entry that is cut off can make no turn
// durable, while those of other data centres can and are within callers' reach.
func (n *Node) sendsAway() bool { return n.stopping.Load() || n.isolated() }

func (n *Node) isolated() bool { return n.cutOffFor() > isolatedAfter }

func (n *Node) cutOffFor() time.Duration { return n.load.IsolatedFor(n.fleet.dataCentres()) }
