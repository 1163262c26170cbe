package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"foxhall/internal/cache"
	"foxhall/internal/gateway"
	"foxhall/internal/history"
	"foxhall/internal/history/historypb"
	"foxhall/internal/limit"
	"foxhall/internal/mirror"
	"foxhall/internal/mirror/mirrorpb"
	"foxhall/internal/netdial"
	"foxhall/internal/peerload"
	"foxhall/internal/routing"
	"foxhall/internal/scheduler"
	"foxhall/internal/store"
	"foxhall/internal/upstream"
	"foxhall/internal/wake"
)

// Objects is what a node uses of the platform's store.
type Objects interface {
	store.Poller
	store.StatusWriter
	Put(ctx context.Context, key store.Key, value []byte, base store.Version) (store.Version, error)
	Delete(ctx context.Context, key store.Key, base store.Version) error
}

// Replicas sends calls and keeps connections to the replicas that are there.
type Replicas interface {
	gateway.Replicas
	RetainTargets(targets map[gateway.Target]bool)
	Idle(name, address string) bool
}

// Dialect is how the platform's parties are spoken to.
type Adapter struct {
	Objects  Objects
	Replicas Replicas
	// Table and Replica decode what operators and replicas write into the store.
	Table   func(data []byte) (*routing.Table, error)
	Replica func(id string, data []byte) (routing.Replica, bool)
	// RetirementStatus encodes what is said of an order to empty an instance.
	RetirementStatus func(done bool) []byte
	// Callers serves callers through the gateway.
	Callers func(g *gateway.Gateway, divert func() bool) http.Handler
}

const (
	// memoryShare is the part of the allowed memory at which the collector
	// works harder; the rest is for the kernel's buffers, which count too.
	memoryLimitShare = 0.7
	// outOfRotation is how long an entry that is to stop still takes new
	// connections: the balancer asks each second and leaves out after two misses.
	balancerDelay = 2600 * time.Millisecond
	// stopMargin is left of the grace for the process to end.
	shutdownMargin = 400 * time.Millisecond
	// viewBlocks bounds the entry's view of the engines' caches: 24 MB.
	cacheViewBlocks = 1 << 17
	// cutAfter is how long nothing may be heard from another data centre before
	// no more calls go there: three datagrams in a row from each of its
	// instances are lost then.
	partitionTimeout = 450 * time.Millisecond
	// missedAfter is how long an instance is not heard before that is told to a
	// keeper which asks: two datagrams in a row are lost then, and the keeper
	// has missed it by itself.
	keeperSilenceTimeout = 350 * time.Millisecond
	// isolatedAfter is how long nothing may be heard from all other data centres
	// before this entry asks the balancer to send callers elsewhere. Above
	// cutAfter, since it moves all callers at once.
	isolationTimeout = 600 * time.Millisecond
	// connectCost is what a new connection to a replica is taken to cost: the
	// way, the replica's handshake, and a place among those that it allows. It
	// lies above the margin within which candidates count as equal.
	connectCost = 15 * time.Millisecond
	// remoteCost is what a call to another data centre is taken to cost beside
	// its load: a cut between them breaks it off, and its bytes are paid for.
	remoteCost = 30 * time.Millisecond
	// pauseLook is how often this process looks whether it was paused, and
	// pauseLongest the longest pause in which nothing it holds can go out of
	// date: a change has 2 s to come into force.
	pauseCheckInterval = 500 * time.Millisecond
	maxHarmlessPause   = 500 * time.Millisecond
	// refreshEvery is how often held-back removals are looked at again.
	removalCheckInterval = 250 * time.Millisecond
)

// Node is one running instance.
type Node struct {
	settings Settings
	adapter  Adapter
	logger   log.Interface
	registry metrics.Registry

	mirror   *mirror.Mirror
	fleet    *fleet
	relay    *mirror.Relay
	load     *peerload.Exchange
	keeper   *history.Keeper
	table    atomic.Pointer[routing.Table]
	upstream *upstream.Table
	quotas   *limit.Quotas
	gateway  *gateway.Gateway
	// dataCentres and keepers tell when nothing comes from them any more.
	dataCentreSilence, keeperSilence *silenceMonitor
	stopping                         atomic.Bool

	refreshRequested chan struct{}
	// configRevision is the store's of the configuration that was read last, so
	// that a large one is not read again with each change of a replica.
	configRevision store.Version
	// assigned is the newest assignment of slices, assignedRevision the store's of it.
	assigned         atomic.Pointer[history.Assignment]
	assignedRevision store.Version
	decodedReplicas  *decodeCache[routing.Replica]
	replicas         []routing.Replica
	removals         removalHold
}

// New returns a node that is not yet running.
func New(s Settings, d Adapter, logger log.Interface, registry metrics.Registry) (*Node, error) {
	n := &Node{
		settings:         s,
		adapter:          d,
		logger:           logger.WithField("instance", s.Instance),
		registry:         registry,
		mirror:           mirror.New(),
		upstream:         upstream.NewTable(),
		quotas:           limit.NewQuotas(s.Instance, rand.Uint64(), s.Tolerance),
		refreshRequested: make(chan struct{}, 1),

		dataCentreSilence: newSilenceMonitor(),
		keeperSilence:     newSilenceMonitor(),
	}
	n.decodedReplicas = newDecodeCache(func(e mirror.Entry) (routing.Replica, bool) { return d.Replica(e.Name, e.Value) })
	n.fleet = newFleet(&n.settings, n.mirror, d.Objects, n.logger)
	n.mirror.OnChange(func(mirror.Kind) { n.requestRefresh() })
	follower := mirror.NewFollower(n.mirror, d.Objects, n.logger)
	n.relay = mirror.NewRelay(s.Instance, s.DataCentre, n.mirror, follower, n.fleet.peers, n.logger)
	if s.DataFolder != "" {
		if err := n.openKeeper(); err != nil {
			return nil, err
		}
	}
	fanout := peerload.EntryFanout
	if n.keeper != nil {
		fanout = peerload.KeeperFanout
	}
	n.load = peerload.New(s.Instance, s.DataCentre, fanout, n.upstream, n.fleet.entryAddresses, n.logger)
	n.fleet.broadcast = n.load.BroadcastKeeperStatus
	if n.keeper != nil {
		n.load.OnKeeperStatus(n.receiveKeeperStatus)
	}
	if s.Callers != "" {
		n.load.SetQuotas(n.quotas)
	}
	n.fleet.isReachable = func(name string) bool { return n.load.HeardOrUnknown(name, partitionTimeout) }
	n.fleet.isSilent = func(name string) (bool, bool) { return n.load.Silent(name, keeperSilenceTimeout) }
	n.fleet.isIsolated = n.isIsolated
	n.openGateway()
	return n, nil
}

func (n *Node) openGateway() {
	sched := scheduler.New(scheduler.Settings{
		DataCentre:        n.settings.DataCentre,
		DataCentreRTT:     n.settings.dataCentreRTT(),
		Logger:            n.logger,
		Random:            rand.Uint64,
		HasIdleConnection: n.adapter.Replicas.Idle,
		ConnectCost:       connectCost,
		RemoteViewAge:     n.load.DataCentreSilentFor,
		MaxViewAge:        partitionTimeout,
	}, n.upstream, cache.New(cache.Options{MaxBlocks: cacheViewBlocks}))
	n.fleet.onSilence = n.keeperSilence.onSilence
	turns := history.NewClient(n.fleet, n.assignment, n.logger)
	n.gateway = gateway.New(gateway.Settings{
		Table:       n.table.Load,
		Instances:   n.fleet.entryCount,
		IsolatedFor: n.isolatedFor,
		Quotas:      n.quotas,

		SilentFor: n.load.DataCentreSilentFor,
		OnSilence: n.dataCentreSilence.onSilence,
	}, sched, n.adapter.Replicas, turns, n.logger, n.registry)
}

func (n *Node) openKeeper() error {
	k, err := history.Open(history.Settings{
		Name:            n.settings.Instance,
		DataCentre:      n.settings.DataCentre,
		DataCentres:     len(n.settings.DataCentres),
		Folder:          n.settings.DataFolder,
		MaxDiskFailures: n.settings.MaxDiskFailures,
		Keepers:         n.fleet.candidates,
		Retiring:        n.isRetiring,
		Logger:          n.logger,
	}, n.fleet, n.fleet)
	n.keeper = k
	return err
}

func (n *Node) assignment() (history.Assignment, bool) {
	if a := n.assigned.Load(); a != nil {
		return *a, true
	}
	return history.Assignment{}, false
}

func (n *Node) requestRefresh() {
	select {
	case n.refreshRequested <- struct{}{}:
	default:
	}
}

// Run serves until ctx ends, then stops without cutting a call off.
func (n *Node) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(n.settings.Memory)))
	n.logger.WithField("keeper", n.keeper != nil).WithField("data_centre", n.settings.DataCentre).Info("start")
	// Serving outlasts ctx: a planned stop first ends what is under way.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	n.fleet.refresh()
	var group errgroup.Group
	group.Go(func() error { n.relay.Run(serving, n.settings.isSeed(), !n.settings.FirstStart); return nil })
	group.Go(func() error { n.runRefresh(serving); return nil })
	group.Go(func() error {
		wake.Watch(serving, wake.Boot, pauseCheckInterval, maxHarmlessPause, n.afterPause(serving))
		return nil
	})
	group.Go(func() error { return n.fleet.register(serving) })
	if n.settings.Callers != "" {
		// Keepers are sent no datagrams and can't tell who is silent.
		group.Go(func() error { n.fleet.removeStale(serving, n.relay.Following, n.load.HeardWithin); return nil })
	}
	group.Go(func() error { return n.servePeers(serving) })
	group.Go(func() error { return n.serveMetrics(serving) })
	if n.keeper != nil {
		group.Go(func() error { return n.keeper.Run(serving) })
		group.Go(func() error { n.runRetirement(serving); return nil })
	}
	group.Go(func() error {
		defer stop()
		if n.settings.Callers == "" {
			return n.handOff(ctx)
		}
		return n.serveEntry(ctx, serving)
	})
	group.Go(func() error { return n.exchangeLoad(serving) })
	if n.settings.Callers != "" {
		group.Go(func() error { n.reportFleetSize(serving); return nil })
	}
	group.Go(func() error {
		n.dataCentreSilence.run(serving, func(dc string) bool { return n.load.DataCentreSilentFor(dc) > partitionTimeout })
		return nil
	})
	group.Go(func() error { n.logSilence(serving); return nil })
	group.Go(func() error {
		n.keeperSilence.run(serving, func(name string) bool { return !n.fleet.isReachable(name) })
		return nil
	})
	err := group.Wait()
	n.logger.Info("stop")
	return err
}

// woke returns what is done after a pause of this process.
func (n *Node) afterPause(ctx context.Context) func(time.Duration) {
	return func(paused time.Duration) {
		n.logger.WithField("paused_ms", paused.Milliseconds()).Warn("did not run for a while")
		n.load.ResetAfterPause()
		if n.keeper != nil {
			n.keeper.ResetAfterPause()
		}
		go n.relay.Recheck(ctx)
	}
}

// exchangeLoad tells the entries what this instance has under way, and that it
// lives: from a data centre that is cut off they hear nothing.
func (n *Node) exchangeLoad(ctx context.Context) error {
	address, err := net.ResolveUDPAddr("udp", n.settings.peerAddress(n.settings.IP))
	if err != nil {
		return errors.Wrap(err, "load exchange")
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return errors.Wrap(err, "load exchange")
	}
	n.load.Run(ctx, conn)
	return nil
}

// takeStanding takes in how another keeper stands.
func (n *Node) receiveKeeperStatus(data []byte) {
	status := &historypb.StatusResponse{}
	if err := proto.Unmarshal(data, status); err != nil {
		n.logger.WithError(err).Debug("standing of a keeper not readable")
		return
	}
	n.keeper.ObserveStatus(status)
}

// leave waits for the order to stop and hands over what this instance keeps.
func (n *Node) handOff(ctx context.Context) error {
	<-ctx.Done()
	n.logger.Info("stopping")
	if n.keeper == nil {
		return nil
	}
	limit, cancel := context.WithTimeout(context.Background(), n.settings.Grace-handoffMargin)
	defer cancel()
	n.keeper.HandOff(limit)
	return nil
}

// handOverMargin is left of the grace after a hand-over.
const handoffMargin = 1500 * time.Millisecond

// servePeers serves other instances.
func (n *Node) servePeers(ctx context.Context) error {
	mux := http.NewServeMux()
	relay := mirrorpb.NewRelayServer(n.relay)
	mux.Handle(relay.PathPrefix(), relay)
	if n.settings.Callers != "" {
		mux.HandleFunc(viaPath, n.fleet.forwardToKeeper)
		witness := historypb.NewWitnessServer(n.fleet)
		mux.Handle(witness.PathPrefix(), witness)
	}
	if n.keeper != nil {
		keeper := historypb.NewKeeperServer(n.keeper)
		mux.Handle(keeper.PathPrefix(), keeper)
	}
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	return n.listen(ctx, server, n.settings.peerAddress(n.settings.IP))
}

// control is the goroutine that owns what this instance believes.
func (n *Node) runRefresh(ctx context.Context) {
	ticker := time.NewTicker(removalCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.refreshRequested:
			n.refresh()
		case <-ticker.C:
			if len(n.removals.held) > 0 {
				n.refresh()
			}
		case <-ctx.Done():
			return
		}
	}
}

// refresh puts the mirror's state in force.
func (n *Node) refresh() {
	n.fleet.refresh()
	n.refreshAssignment()
	n.refreshTable()
	table := n.table.Load()
	if table == nil {
		return
	}
	listed := n.decodedReplicas.all(n.mirror.Entries(mirror.Replicas))
	previous := n.replicas
	n.replicas = n.removals.merge(previous, listed, n.mirror.RegistrationGrace(time.Now()))
	asOf, _ := n.mirror.AsOf(mirror.Replicas)
	n.logReplicas(previous, n.replicas, uint64(asOf))
	n.upstream.Apply(upstreamsOf(table, n.replicas), time.Now())
	n.adapter.Replicas.RetainTargets(targetsOf(n.replicas))
}

func (n *Node) refreshAssignment() {
	a, version, ok := n.fleet.assignment()
	if !ok || version == n.assignedRevision {
		return
	}
	n.assignedRevision = version
	n.assigned.Store(&a)
	if n.keeper != nil {
		n.keeper.ApplyAssignment(a, version)
	}
}

func (n *Node) refreshTable() {
	e, ok := n.mirror.Get(mirror.Config, mirror.ConfigName)
	if !ok || e.Revision == n.configRevision {
		return
	}
	n.configRevision = e.Revision
	table, err := n.adapter.Table(e.Value)
	if err != nil {
		n.logger.WithError(err).WithField("revision", uint64(e.Revision)).Warn("configuration not readable")
		return
	}
	if old := n.table.Load(); old != nil && table.Version <= old.Version {
		return
	}
	n.quotas.Set(table.Customers.Quotas(), time.Now())
	n.table.Store(table)
	n.logger.WithField("config", table.Version).WithField("revision", uint64(e.Revision)).Info("configuration in force")
}

// serveEntry serves callers until ctx ends, then ends what is under way.
func (n *Node) serveEntry(ctx, serving context.Context) error {
	callers := &http.Server{
		Handler:           n.adapter.Callers(n.gateway, n.divertsCallers),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         trackConnState,
	}
	ready := &http.Server{Handler: http.HandlerFunc(n.serveReady), ReadHeaderTimeout: headerTimeout}
	var group errgroup.Group
	group.Go(func() error { return n.listen(serving, ready, n.settings.Ready) })
	group.Go(func() error {
		return n.listenWrapped(serving, callers, n.settings.Callers, func(l net.Listener) net.Listener {
			return &callerListener{Listener: l, limits: n.limits}
		})
	})
	group.Go(func() error {
		<-ctx.Done()
		began := time.Now()
		n.stopping.Store(true)
		n.logger.Info("stopping")
		time.Sleep(balancerDelay)
		limit, cancel := context.WithDeadline(context.Background(), began.Add(n.settings.Grace-shutdownMargin))
		defer cancel()
		err := callers.Shutdown(limit)
		n.gateway.Drain(limit)
		_ = ready.Close()
		return errors.Wrap(err, "calls cut off by the end of the grace")
	})
	return group.Wait()
}

// Bounds beyond which no operator's limit goes, in force before theirs are known.
const (
	headerTimeout = 10 * time.Second
	// idleTimeout is long, since a caller may use its connection up to the
	// operators' limit.
	idleTimeout    = 5 * time.Minute
	maxHeaderBytes = 64 << 10
)

// limits returns the operators' limits in force; none before the first.
func (n *Node) limits() routing.Limits {
	if table := n.table.Load(); table != nil {
		return table.Limits
	}
	return routing.Limits{}
}

func (n *Node) listen(ctx context.Context, server *http.Server, address string) error {
	return n.listenWrapped(ctx, server, address, func(l net.Listener) net.Listener { return l })
}

// listenThrough serves what the wrapped listener accepts.
func (n *Node) listenWrapped(ctx context.Context, server *http.Server, address string, wrap func(net.Listener) net.Listener) error {
	listener, err := netdial.Listen(ctx, address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	listener = wrap(listener)
	server.BaseContext = func(net.Listener) context.Context { return ctx }
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
