package node

import (
	"net/http"
	"time"

	"foxhall/internal/mirror"
)

// serveReady answers the balancer.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (n *Node) isReady() bool {
	_, known := n.mirror.AsOf(mirror.Replicas)
	return known && n.table.Load() != nil && !n.divertsCallers()
}

// sendsAway reports that callers are better served elsewhere: this instance is
// about to stop, or it is cut off. An entry that is cut off can make no turn
// durable, while those of other data centres can and are within callers' reach.
func (n *Node) divertsCallers() bool { return n.stopping.Load() || n.isIsolated() }

func (n *Node) isIsolated() bool { return n.isolatedFor() > isolationTimeout }

func (n *Node) isolatedFor() time.Duration { return n.load.IsolatedFor(n.fleet.dataCentres()) }
