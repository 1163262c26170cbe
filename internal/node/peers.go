package node

import (
	"context"
	"net"
	"net/http"

	"github.com/rcrowley/go-metrics"

	"foxhall/internal/history/historypb"
	"foxhall/internal/httpconn"
	"foxhall/internal/mirror/mirrorpb"
	"foxhall/internal/output/outputpb"
)

// maxPeerBytes bounds the body of a message between instances, in bytes. The largest are turns with
// their chains, of which an instance of 536 MB may hold 13 MB for one call, and lists of thousands of
// replicas.
const maxPeerBytes = 16 << 20

// oversizedPeerBodies counts the messages of other instances that exceed maxPeerBytes.
func oversizedPeerBodies(registry metrics.Registry) metrics.Counter {
	return metrics.GetOrRegisterCounter("peers.oversized", registry)
}

// servePeers serves other instances.
func (n *Node) servePeers(ctx context.Context) error {
	listener, err := n.openTCP(ctx, n.settings.peerAddress(n.settings.IP))
	if err != nil {
		return err
	}
	return n.servePeersOn(ctx, listener)
}

// servePeersOn serves the instances that connect to a listener, until it fails or ctx ends.
func (n *Node) servePeersOn(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: n.peerHandler(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxInternalHeaderBytes}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	n.fleet.listens.set()
	n.fleet.listening.Store(true)
	defer n.fleet.listening.Store(false)
	return serve(ctx, server, listener)
}

func (n *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	relay := mirrorpb.NewRelayServer(n.relay)
	mux.Handle(relay.PathPrefix(), compressed(relay))
	if n.settings.CallersAddress != "" {
		mux.HandleFunc(viaPath, n.fleet.forwardToKeeper)
		witness := historypb.NewWitnessServer(n.fleet)
		mux.Handle(witness.PathPrefix(), witness)
		outputs := outputpb.NewOutputsServer(n.outputs)
		mux.Handle(outputs.PathPrefix(), outputs)
	}
	if n.keeper != nil {
		keeper := historypb.NewKeeperServer(n.keeper)
		mux.Handle(keeper.PathPrefix(), keeper)
	}
	return refuseForeign(boundRequests(mux, oversizedPeerBodies(n.registry)), n.settings.Fleet, n.logger, n.registry)
}

// boundRequests bounds the bodies of requests to maxPeerBytes.
func boundRequests(h http.Handler, oversized metrics.Counter) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > maxPeerBytes {
			oversized.Inc(1)
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		r.Body = httpconn.BoundBody(r.Body, maxPeerBytes, oversized)
		h.ServeHTTP(w, r)
	})
}
