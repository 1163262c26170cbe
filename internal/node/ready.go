package node

import (
	"context"
	"net/http"
	"time"

	"foxhall/internal/mirror"
)

// serveReadiness serves the load balancer's probes until ctx ends.
func (n *Node) serveReadiness(ctx context.Context) error {
	server := &http.Server{Handler: http.HandlerFunc(n.serveReady), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxInternalHeaderBytes}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	return n.listen(ctx, server, n.settings.ReadyAddress)
}

// serveReady answers the load balancer's probes.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (n *Node) isReady() bool {
	_, known := n.mirror.AsOf(mirror.Replicas)
	known = known || n.mirror.Len(mirror.Replicas) > 0 // a sample serves, too
	return known && n.fleet.couldBeReached() && n.table.Load() != nil && n.load.KnowsContents() && !n.divertsCallers()
}

// divertsCallers reports whether callers are better served by other instances: this one is stopping
// or isolated. An isolated entry can make no turn durable, while entries of other data centres can,
// and callers reach them.
func (n *Node) divertsCallers() bool { return n.stopping.Load() || n.isIsolated() }

func (n *Node) isIsolated() bool { return n.isolatedFor() > isolationTimeout }

func (n *Node) isolatedFor() time.Duration { return n.load.IsolatedFor(n.fleet.dataCentres()) }
