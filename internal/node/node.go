package node

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"foxhall/internal/cache"
	"foxhall/internal/gateway"
	"foxhall/internal/mirror"
	"foxhall/internal/netdial"
	"foxhall/internal/routing"
	"foxhall/internal/scheduler"
	"foxhall/internal/store"
	"foxhall/internal/upstream"
)

// Objects is what a node uses of the platform's store.
type Objects interface {
	store.Poller
	store.StatusWriter
	Get(ctx context.Context, key store.Key) (store.Object, error)
	Put(ctx context.Context, key store.Key, value []byte, base store.Version) (store.Version, error)
}

// Replicas sends calls and keeps connections to the replicas that are there.
type Replicas interface {
	gateway.Replicas
	Keep(targets map[gateway.Target]bool)
}

// Dialect is how the platform's parties are spoken to.
type Dialect struct {
	Objects  Objects
	Replicas Replicas
	// Table and Replica decode what operators and replicas write into the store.
	Table   func(data []byte) (*routing.Table, error)
	Replica func(id string, data []byte) (routing.Replica, bool)
	// Callers serves callers through the gateway.
	Callers func(g *gateway.Gateway, stopping func() bool) http.Handler
}

const (
	// memoryShare is the part of the allowed memory at which the collector
	// works harder; the rest is for the kernel's buffers, which count too.
	memoryShare = 0.7
	// outOfRotation is how long an entry that is to stop still takes new
	// connections: the balancer asks each second and leaves out after two misses.
	outOfRotation = 2600 * time.Millisecond
	// stopMargin is left of the grace for the process to end.
	stopMargin = 400 * time.Millisecond
	// viewBlocks bounds the entry's view of the engines' caches: 24 MB.
	viewBlocks = 1 << 17
	// refreshEvery is how often held-back removals are looked at again.
	refreshEvery = 250 * time.Millisecond
)

// Node is one running instance.
type Node struct {
	settings Settings
	dialect  Dialect
	logger   log.Interface
	registry metrics.Registry

	mirror   *mirror.Mirror
	follower *mirror.Follower
	table    atomic.Pointer[routing.Table]
	upstream *upstream.Table
	gateway  *gateway.Gateway
	stopping atomic.Bool

	changed  chan struct{}
	replicas []routing.Replica
	lapse    lapse
}

// New returns a node that is not yet running.
func New(s Settings, d Dialect, logger log.Interface) *Node {
	n := &Node{
		settings: s,
		dialect:  d,
		logger:   logger.WithField("instance", s.Instance),
		registry: metrics.NewRegistry(),
		mirror:   mirror.New(),
		upstream: upstream.NewTable(),
		changed:  make(chan struct{}, 1),
	}
	n.follower = mirror.NewFollower(n.mirror, d.Objects, n.logger)
	n.mirror.OnChange(func(mirror.Kind) { n.wake() })
	ways := map[string]time.Duration{}
	sched := scheduler.New(scheduler.Settings{
		DataCentre: s.DataCentre,
		Ways:       ways,
		Logger:     n.logger,
		Remote:     func(string) time.Duration { return 0 },
	}, n.upstream, cache.New(cache.Options{MaxBlocks: viewBlocks}))
	n.gateway = gateway.New(gateway.Settings{
		Table:     n.table.Load,
		Instances: func() int { return 9 },
		Stopping:  n.stopping.Load,
	}, sched, d.Replicas, nil, n.logger, n.registry)
	return n
}

func (n *Node) wake() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// Run serves until ctx ends, then stops without cutting a call off.
func (n *Node) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(n.settings.Memory)))
	n.logger.WithField("version", "").Info("start")
	// Serving outlasts ctx: a planned stop first ends what is under way.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	group.Go(func() error { n.follower.Run(serving); return nil })
	group.Go(func() error { n.control(serving); return nil })
	if n.settings.Callers != "" {
		group.Go(func() error { defer stop(); return n.serveEntry(ctx, serving) })
	}
	err := group.Wait()
	n.logger.Info("stop")
	return err
}

// control is the goroutine that owns what this instance believes.
func (n *Node) control(ctx context.Context) {
	ticker := time.NewTicker(refreshEvery)
	defer ticker.Stop()
	for {
		select {
		case <-n.changed:
			n.refresh()
		case <-ticker.C:
			if len(n.lapse.held) > 0 {
				n.refresh()
			}
		case <-ctx.Done():
			return
		}
	}
}

// refresh puts the mirror's state in force.
func (n *Node) refresh() {
	n.refreshTable()
	table := n.table.Load()
	if table == nil {
		return
	}
	var listed []routing.Replica
	for _, e := range n.mirror.Entries(mirror.Replicas) {
		if r, ok := n.dialect.Replica(e.Name, e.Value); ok {
			listed = append(listed, r)
		}
	}
	n.replicas = n.lapse.merge(n.replicas, listed, n.mirror.Unsettled(time.Now()))
	n.upstream.Apply(upstreamsOf(table, n.replicas), time.Now())
	n.dialect.Replicas.Keep(targetsOf(n.replicas))
}

// configName is the object that holds the configuration.
const configName = "main"

func (n *Node) refreshTable() {
	e, ok := n.mirror.Get(mirror.Config, configName)
	if !ok {
		return
	}
	table, err := n.dialect.Table(e.Value)
	if err != nil {
		n.logger.WithError(err).WithField("revision", uint64(e.Revision)).Warn("configuration not readable")
		return
	}
	if old := n.table.Load(); old != nil && table.Version <= old.Version {
		return
	}
	n.table.Store(table)
	n.logger.WithField("config", table.Version).WithField("revision", uint64(e.Revision)).Info("configuration in force")
}

// serveEntry serves callers until ctx ends, then ends what is under way.
func (n *Node) serveEntry(ctx, serving context.Context) error {
	callers := &http.Server{
		Handler:           n.dialect.Callers(n.gateway, n.stopping.Load),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          nil,
	}
	ready := &http.Server{Handler: http.HandlerFunc(n.serveReady), ReadHeaderTimeout: headerTimeout}
	var group errgroup.Group
	group.Go(func() error { return n.listen(serving, ready, n.settings.Ready) })
	group.Go(func() error { return n.listen(serving, callers, n.settings.Callers) })
	group.Go(func() error {
		<-ctx.Done()
		began := time.Now()
		n.stopping.Store(true)
		n.logger.Info("stopping")
		time.Sleep(outOfRotation)
		limit, cancel := context.WithDeadline(context.Background(), began.Add(n.settings.Grace-stopMargin))
		defer cancel()
		err := callers.Shutdown(limit)
		_ = ready.Close()
		return errors.Wrap(err, "calls cut off by the end of the grace")
	})
	return group.Wait()
}

// Bounds in force before operators' limits are known; callers stay within them.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 75 * time.Second
	maxHeader     = 64 << 10
)

func (n *Node) listen(ctx context.Context, server *http.Server, address string) error {
	listener, err := netdial.Listen(ctx, address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server.BaseContext = func(net.Listener) context.Context { return ctx }
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// serveReady answers the balancer.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (n *Node) ready() bool {
	_, known := n.mirror.AsOf(mirror.Replicas)
	return known && n.table.Load() != nil && !n.stopping.Load()
}
