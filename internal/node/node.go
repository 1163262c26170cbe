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

	"foxhall/internal/buffer"
	"foxhall/internal/cache"
	"foxhall/internal/gateway"
	"foxhall/internal/history"
	"foxhall/internal/history/historypb"
	"foxhall/internal/limit"
	"foxhall/internal/mirror"
	"foxhall/internal/netdial"
	"foxhall/internal/origin"
	"foxhall/internal/output"
	"foxhall/internal/peerload"
	"foxhall/internal/quarantine"
	"foxhall/internal/routing"
	"foxhall/internal/scheduler"
	"foxhall/internal/store"
	"foxhall/internal/upstream"
	"foxhall/internal/wake"
)

// Objects is the part of the platform's store that a node uses.
type Objects interface {
	store.Poller
	store.StatusWriter
	Put(ctx context.Context, key store.Key, value []byte, base store.Version) (store.Version, error)
	Delete(ctx context.Context, key store.Key, base store.Version) error
}

// Replicas sends calls to the present replicas and keeps connections to them.
type Replicas interface {
	gateway.Replicas
	// RetainTargets closes the connections to targets that are not listed, those that have been idle for
	// too long, and idle ones above the target's limit.
	RetainTargets(limitOf func(gateway.Target) (limit int, listed bool))
	// Connections reports whether there is an idle connection to a target, and whether one is free if at
	// most limit may be in use.
	Connections(name, address string, limit int) (idle, free bool)
}

// Adapter holds what depends on the platform's protocols: the store, the replicas, the formats of
// stored objects and the callers' API.
type Adapter struct {
	Objects  Objects
	Replicas Replicas
	// Table and Replica decode the objects that operators and replicas write to the store.
	Table   func(data []byte) (*routing.Table, error)
	Replica func(id string, data []byte) (routing.Replica, bool)
	// Problem returns why an entry of a replica can't be decoded.
	Problem func(id string, data []byte) error
	// RetirementStatus encodes the status of an operators' order to drain an instance.
	RetirementStatus func(done bool) []byte
	// Callers returns the handler that serves callers through the gateway. While divert returns
	// true, callers are to use other instances.
	Callers func(g *gateway.Gateway, divert func() bool) http.Handler
}

const (
	// memoryLimitShare is the part of the allowed memory that is set as the Go runtime's soft
	// limit. The rest is for the kernel's buffers, which count as well.
	memoryLimitShare = 0.7
	// bufferShare is the part of the allowed memory that calls under way may hold.
	bufferShare = 0.2
	// cacheViewBlocks bounds the entry's view of the engines' caches, which takes up to 24 MB.
	cacheViewBlocks = 1 << 17
	// partitionTimeout is how long another data centre may send nothing before calls to it stop. By
	// then three datagrams in a row from each of its instances are lost.
	partitionTimeout = 450 * time.Millisecond
	// keeperSilenceTimeout is how long a keeper may send nothing before this entry, asked as a
	// witness, reports it as unresponsive. By then two datagrams in a row are lost, and the asking
	// keeper has had no contact either.
	keeperSilenceTimeout = 350 * time.Millisecond
	// isolationTimeout is how long all other data centres may send nothing before this entry asks
	// the load balancer to divert its callers. It exceeds partitionTimeout, since it moves all
	// callers at once.
	isolationTimeout = 600 * time.Millisecond
	// connectCost is the assumed cost of a new connection to a replica: the round trip, the
	// handshake, and one of the connections that the replica allows. It exceeds the margin within
	// which candidates count as equal.
	connectCost = 15 * time.Millisecond
	// remoteCost is the assumed cost of a call to another data centre, apart from load: a network
	// partition would truncate it, and its bytes are charged for.
	remoteCost = 30 * time.Millisecond
	// pauseCheckInterval is how often the process checks whether it was paused. maxHarmlessPause is
	// the longest pause in which its state cannot become outdated: a change has 2 s to come into
	// force.
	pauseCheckInterval = 500 * time.Millisecond
	maxHarmlessPause   = 500 * time.Millisecond
	// removalCheckInterval is how often delayed removals of replicas are reconsidered.
	removalCheckInterval = 250 * time.Millisecond
	// connectionSweepInterval is how often connections to replicas that have been idle for too long
	// are closed. An entry of a large fleet calls a replica again only after minutes.
	connectionSweepInterval = time.Second
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
	// quarantine holds the contents of calls under which replicas ended.
	quarantine *quarantine.Table
	// origins knows at which version of their service streams began.
	origins *origin.Registry
	// outputs holds the output of turns that callers may resume.
	outputs *output.Registry
	turns   *history.Client
	gateway *gateway.Gateway
	// buffers is the memory that calls under way may hold.
	buffers *buffer.Budget
	// dataCentreSilence and keeperSilence notify waiting calls of an unresponsive data centre or
	// keeper.
	dataCentreSilence, keeperSilence *silenceMonitor
	stopping                         atomic.Bool

	refreshRequested chan struct{}
	// configRevision is the store revision of the configuration decoded last, so that a large one
	// is not decoded again at each change of a replica. The table in force is no older.
	configRevision atomic.Uint64
	configView     configView
	// assigned is the newest assignment of shards, assignedRevision its store revision.
	assigned         atomic.Pointer[history.Assignment]
	assignedRevision store.Version
	// unusable are the entries that yield no replica.
	unusable *unusableEntries
	// replicaFeed reports the changes that replicas has yet to apply. appliedTable is the table by
	// which the upstreams were made from the replicas. Only the refreshing goroutine uses them.
	replicaFeed  *mirror.Feed
	replicas     *replicaSet
	appliedTable *routing.Table
}

// New returns a node that is not yet running.
func New(s Settings, d Adapter, logger log.Interface, registry metrics.Registry) (*Node, error) {
	if s.Memory > 0 {
		// A keeper reads its log below, which needs the limit most.
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.Memory)))
	}
	n := &Node{
		settings:         s,
		adapter:          d,
		logger:           logger.WithField("instance", s.Instance),
		registry:         registry,
		mirror:           mirror.New(),
		upstream:         upstream.NewTable(),
		quarantine:       quarantine.NewTable(registry),
		quotas:           limit.NewQuotas(s.Instance, rand.Uint64(), s.Tolerance),
		refreshRequested: make(chan struct{}, 1),

		dataCentreSilence: newSilenceMonitor(),
		keeperSilence:     newSilenceMonitor(),
	}
	n.mirror.SetTiming(mirror.NewTiming(s.ChangeDeadline, s.Heartbeat))
	n.replicaFeed, n.replicas = n.mirror.NewFeed(mirror.Replicas), newReplicaSet(d.Replica)
	n.unusable = newUnusableEntries(d.Problem, n.logger, registry)
	n.fleet = newFleet(&n.settings, n.mirror, d.Objects, n.logger, registry)
	n.mirror.OnChange(func(mirror.Kind) { n.requestRefresh() })
	follower := mirror.NewFollower(n.mirror, d.Objects, n.logger)
	n.configView = configView{n.mirror, follower, &n.configRevision}
	n.relay = mirror.NewRelay(s.Instance, s.DataCentre, n.mirror, follower, n.fleet.peers, n.logger)
	n.relay.SetJoined(n.fleet.isJoined)
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
	n.origins = origin.NewRegistry(n.replicas.versions, originPeers{n}, replicaView{n.mirror, n.replicaFeed, follower}, registry)
	n.fleet.broadcast = n.load.BroadcastKeeperStatus
	if n.keeper != nil {
		n.load.OnKeeperStatus(n.receiveKeeperStatus)
	}
	if s.CallersAddress != "" {
		n.load.SetQuotas(n.quotas)
		n.load.SetQuarantine(n.quarantine, registry)
	}
	n.load.SetOrigins(n.origins, registry)
	n.fleet.isReachable = n.isReachable
	n.fleet.isSilent = n.isSilent
	n.fleet.isIsolated = n.isIsolated
	n.fleet.contactedWithin, n.fleet.followsStore = n.load.ContactedWithin, n.relay.Following
	n.openGateway()
	return n, nil
}

func (n *Node) openGateway() {
	sched := scheduler.New(scheduler.Settings{
		DataCentre:    n.settings.DataCentre,
		RemoteCosts:   n.settings.remoteCosts(),
		Logger:        n.logger,
		Random:        rand.Uint64,
		Connections:   n.adapter.Replicas.Connections,
		ConnectCost:   connectCost,
		RemoteViewAge: n.load.DataCentreSilentFor,
		MaxViewAge:    partitionTimeout,
		LoadControl:   n.settings.LoadControl,
		Registry:      n.registry,
	}, n.upstream, cache.New(cache.Options{MaxBlocks: cacheViewBlocks}))
	if n.settings.LoadControl {
		n.load.OnLoadLowered(sched.OnLoadLowered)
	}
	n.fleet.onSilence = n.keeperSilence.onSilence
	n.buffers = buffer.NewBudget(int64(bufferShare*float64(n.settings.Memory)), n.registry)
	n.turns = history.NewClient(n.fleet, n.assignment, n.logger)
	n.outputs = output.NewRegistry(n.settings.Instance, n.fleet, n.buffers, n.logger, n.registry)
	n.gateway = gateway.New(gateway.Settings{
		Table:           n.table.Load,
		TableIsCurrent:  n.configView.IsCurrent,
		ConnectionShare: n.fleet.connectionShare,
		IsolatedFor:     n.isolatedFor,
		Quotas:          n.quotas,
		Buffers:         n.buffers,

		LoadControl: n.settings.LoadControl,

		SilentFor: n.load.DataCentreSilentFor,
		OnSilence: n.dataCentreSilence.onSilence,

		Quarantine:  n.quarantine,
		Turn:        n.fleet.turn,
		RunsVersion: n.replicas.versions.Runs,
		Origins:     n.origins,
		Outputs:     n.outputs,
	}, sched, n.adapter.Replicas, n.turns, n.logger, n.registry)
}

func (n *Node) openKeeper() error {
	k, err := history.Open(history.Settings{
		Name:            n.settings.Instance,
		DataCentre:      n.settings.DataCentre,
		DataCentres:     len(n.settings.DataCentres),
		LogDir:          n.settings.DataFolder,
		MaxDiskFailures: n.settings.MaxDiskFailures,
		Keepers:         n.fleet.candidates,
		IsRetiring:      n.isRetiring,
		CanBeReached:    n.fleet.canBeReached,
		Copies:          n.fleet,
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

// Run serves until ctx ends, then completes calls in flight and stops.
func (n *Node) Run(ctx context.Context) error {
	n.logger.WithField("keeper", n.keeper != nil).WithField("data_centre", n.settings.DataCentre).Info("start")
	// Serving outlasts ctx: a planned stop first completes calls in flight.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	n.fleet.refresh()
	var group errgroup.Group
	group.Go(func() error { n.relay.Run(serving, n.settings.isSeed(), !n.settings.FirstStart); return nil })
	group.Go(func() error { n.runRefresh(serving); return nil })
	group.Go(func() error {
		wake.Watch(serving, wake.BootTime, pauseCheckInterval, maxHarmlessPause, n.afterPause(serving))
		return nil
	})
	group.Go(func() error { watchLateness(serving, wake.BootTime, n.logger, n.registry); return nil })
	group.Go(func() error { n.fleet.register(serving); return nil })
	if n.settings.CallersAddress != "" {
		// Keepers receive no load datagrams and can't detect unresponsive instances.
		group.Go(func() error { n.fleet.removeStale(serving, n.relay.Following, n.load.ContactedWithin); return nil })
	}
	group.Go(func() error { return n.keepRunning(serving, "peers", n.servePeers) })
	group.Go(func() error { return n.keepRunning(serving, "metrics", n.serveMetrics) })
	if n.keeper != nil {
		group.Go(func() error { return n.logEnd("keeper", n.keeper.Run(serving)) })
		group.Go(func() error { n.runRetirement(serving); return nil })
	}
	group.Go(func() error {
		defer stop()
		if n.settings.CallersAddress == "" {
			return n.handOff(ctx)
		}
		return n.logEnd("callers", n.serveEntry(ctx, serving))
	})
	group.Go(func() error { return n.keepRunning(serving, "load exchange", n.exchangeLoad) })
	if n.settings.CallersAddress != "" {
		group.Go(func() error { n.reportFleetSize(serving); return nil })
	}
	group.Go(func() error {
		n.dataCentreSilence.run(serving, func(dc string) bool { return n.load.DataCentreSilentFor(dc) > partitionTimeout })
		return nil
	})
	group.Go(func() error { n.logSilence(serving); return nil })
	group.Go(func() error { n.logViewAge(serving); return nil })
	group.Go(func() error {
		n.keeperSilence.run(serving, func(name string) bool { return !n.fleet.isReachable(name) })
		return nil
	})
	err := group.Wait()
	n.logger.Info("stop")
	return err
}

// afterPause returns the function to call after a pause of this process.
func (n *Node) afterPause(ctx context.Context) func(time.Duration) {
	return func(paused time.Duration) {
		n.logger.WithField("paused_ms", paused.Milliseconds()).Warn("process was paused; reading the store again")
		n.load.ResetAfterPause()
		n.origins.ResetAfterPause()
		if n.keeper != nil {
			n.keeper.ResetAfterPause()
		}
		go n.relay.Recheck(ctx)
	}
}

// exchangeLoad sends this instance's load to the entries, which also serves as its heartbeat: an
// entry detects a network partition by missing datagrams.
func (n *Node) exchangeLoad(ctx context.Context) error {
	address, err := net.ResolveUDPAddr("udp", n.settings.peerAddress(n.settings.IP))
	if err != nil {
		return errors.Wrap(err, "load exchange")
	}
	conn, err := openListener(ctx, n.logger, address.String(), func() (*net.UDPConn, error) { return net.ListenUDP("udp", address) })
	if err != nil {
		return errors.Wrap(err, "load exchange")
	}
	n.fleet.receives.set()
	return errors.Wrap(n.load.Run(ctx, conn), "load exchange")
}

// receiveKeeperStatus handles the broadcast status of another keeper.
func (n *Node) receiveKeeperStatus(data []byte) {
	status := &historypb.StatusResponse{}
	if err := proto.Unmarshal(data, status); err != nil {
		n.logger.WithError(err).Debug("status of a keeper can't be decoded; ignored")
		return
	}
	n.keeper.ObserveStatus(status)
}

// handOff waits until ctx ends, then hands this keeper's shards off to other keepers.
func (n *Node) handOff(ctx context.Context) error {
	<-ctx.Done()
	n.logger.Info("stopping")
	if n.keeper == nil {
		return nil
	}
	handoffCtx, cancel := context.WithTimeout(context.Background(), handoffTime(n.settings.Grace))
	defer cancel()
	n.keeper.HandOff(handoffCtx)
	return nil
}

const (
	// handoffMargin is the part of the grace period left after a handoff, at most maxHandoffShare of it.
	handoffMargin   = 1500 * time.Millisecond
	maxHandoffShare = 1.0 / 4
)

// handoffTime returns the part of the grace period in which a keeper hands its shards off.
func handoffTime(grace time.Duration) time.Duration {
	return grace - min(handoffMargin, time.Duration(maxHandoffShare*float64(grace)))
}

// serveEntry serves callers until ctx ends, then completes calls in flight.
func (n *Node) serveEntry(ctx, serving context.Context) error {
	listener, err := openListener(ctx, n.logger, n.settings.CallersAddress, func() (net.Listener, error) {
		return netdial.ListenForCallers(serving, n.settings.CallersAddress)
	})
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	return n.serveCallers(ctx, serving, listener)
}

// serveCallers serves the callers that connect to a listener. If it fails, a planned stop begins, since no further
// caller can connect: calls in flight are completed, and the process ends with the error.
func (n *Node) serveCallers(ctx, serving context.Context, listener net.Listener) error {
	callers := &http.Server{
		Handler:           markServed(n.adapter.Callers(n.gateway, n.divertsCallers)),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         trackConnState,
		ConnContext:       withConn,
	}
	limited := &callerListener{Listener: listener, limits: n.limits, conns: newCallerConns(n.settings.Memory, n.logger, n.registry), buffers: n.buffers}
	var group errgroup.Group
	answering, stopAnswering := context.WithCancel(serving)
	defer stopAnswering()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	group.Go(func() error { return n.keepRunning(answering, "readiness", n.serveReadiness) })
	group.Go(func() error {
		defer stop()
		err := serve(serving, callers, limited)
		if err == nil && ctx.Err() == nil {
			err = errPartEnded
		}
		if err != nil {
			n.logger.WithError(err).Error("callers can't connect any more; stopping")
		}
		return errors.Wrap(err, "listener for callers")
	})
	group.Go(func() error {
		<-ctx.Done()
		plan := planStop(time.Now(), n.settings.Grace)
		n.gateway.BeginShutdown(plan.calls)
		n.stopping.Store(true)
		n.logger.Info("stopping")
		time.Sleep(time.Until(plan.calls.Diverted))
		drainCtx, cancel := context.WithDeadline(context.Background(), plan.closed)
		defer cancel()
		stopRefusing := n.gateway.OnShutdownEnd(limited.conns.refuseHeaders)
		defer stopRefusing()
		err := drain(drainCtx, callers, limited)
		n.logger.WithField("stopping_ms", time.Since(plan.calls.Began).Milliseconds()).Info("stopped serving callers")
		settleCtx, cancel := context.WithDeadline(context.Background(), plan.settled)
		defer cancel()
		n.gateway.Drain(settleCtx)
		n.turns.Drain(settleCtx)
		stopAnswering()
		return errors.Wrap(err, "end of the grace period")
	})
	return group.Wait()
}

// Upper bounds of the operators' limits, in force before those are known.
const (
	headerTimeout = 10 * time.Second
	// idleTimeout is long, since a caller may keep its connection idle up to the operators' limit.
	idleTimeout    = 5 * time.Minute
	maxHeaderBytes = 64 << 10
	// maxInternalHeaderBytes bounds the headers of other instances, readiness probes and metrics.
	maxInternalHeaderBytes = 16 << 10
)

// limits returns the operators' limits in force, or the zero value before the first configuration.
func (n *Node) limits() routing.Limits {
	if table := n.table.Load(); table != nil {
		return table.Limits
	}
	return routing.Limits{}
}

func (n *Node) listen(ctx context.Context, server *http.Server, address string) error {
	listener, err := n.openTCP(ctx, address)
	if err != nil {
		return err
	}
	return serve(ctx, server, listener)
}

func (n *Node) openTCP(ctx context.Context, address string) (net.Listener, error) {
	listener, err := openListener(ctx, n.logger, address, func() (net.Listener, error) { return netdial.Listen(ctx, address) })
	return listener, errors.Wrap(err, "listen")
}

// serve serves the connections of a listener until it is closed.
func serve(ctx context.Context, server *http.Server, listener net.Listener) error {
	server.BaseContext = func(net.Listener) context.Context { return ctx }
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}
