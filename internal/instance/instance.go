// Package instance assembles the packages of foxhall into a running instance.
package instance

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/budget"
	"foxhall/internal/cache"
	"foxhall/internal/config"
	"foxhall/internal/control"
	"foxhall/internal/dispatch"
	"foxhall/internal/engine"
	"foxhall/internal/entry"
	"foxhall/internal/httpconn"
	"foxhall/internal/ledger"
	"foxhall/internal/limit"
	"foxhall/internal/membership"
	"foxhall/internal/netdial"
	"foxhall/internal/owner"
	"foxhall/internal/ownership"
	"foxhall/internal/peer"
	"foxhall/internal/placement"
	"foxhall/internal/program"
	"foxhall/internal/scheduler"
	"foxhall/internal/settings"
	"foxhall/internal/store"
	"foxhall/internal/tool"
	"foxhall/internal/upstream"
)

const (
	// toolDialTimeout bounds the time to connect to a tool service.
	toolDialTimeout = 2 * time.Second
	// maxToolResponse bounds the response of a tool service, in bytes. Responses are retained for
	// repeated calls and must fit into a log entry.
	maxToolResponse = 512 << 10
)

// Instance is one foxhall instance.
type Instance struct {
	settings settings.Settings
	// network is nil for TCP.
	network  Network
	cohort   program.Cohort
	registry metrics.Registry

	storeHTTP *store.HTTP
	store     *store.Tracked
	config    *config.Source
	budget    *budget.Allocator
	peers     *peer.Client
	control   *control.Loop
	members   *membership.Runner
	gate      *limit.Gate
	copies    *copies
	duties    *duties
	pauses    *pauseGuard
	remote    *remoteViews
	log       *ledger.Log
	ownership *ownership.Reconciler
	owner     *owner.Service
	table     *upstream.Table
	scheduler *scheduler.Scheduler
	engines   *engine.Client
	tools     *tool.Client
	entry     *entry.Server

	callerListener *listener
	peerListener   *listener
	stopping       atomic.Bool
	// wasReady reports whether the instance has been ready at least once.
	wasReady atomic.Bool
}

// New opens the listeners and builds an instance; Run serves them. Port 0 in the settings selects
// any free port.
func New(s settings.Settings) (*Instance, error) { return NewWithNetwork(nil, s) }

// NewWithNetwork is New with the given network in place of TCP, for fault-injection tests.
func NewWithNetwork(network Network, s settings.Settings) (*Instance, error) {
	i := &Instance{
		settings: s,
		network:  network,
		cohort:   program.NewCohort(s.DataCentre, s.Instance),
		registry: metrics.NewRegistry(),
		engines:  engine.NewClient(),
		tools:    tool.NewClient(toolDialTimeout, maxToolResponse),
		table:    upstream.NewTable(),
	}
	if err := i.openListeners(); err != nil {
		return nil, err
	}
	if err := i.build(); err != nil {
		_ = i.callerListener.server.Close()
		_ = i.peerListener.server.Close()
		return nil, err
	}
	return i, nil
}

func (i *Instance) openListeners() error {
	var err error
	network := i.network
	if network == nil {
		network = tcp{}
	}
	listen := &i.settings.Listen
	if i.callerListener, err = newListener(network, listen.Callers, i.settings.Callers); err != nil {
		return errors.Wrap(err, "listen.callers")
	}
	if i.peerListener, err = newListener(network, listen.Peers, i.settings.Callers); err != nil {
		_ = i.callerListener.listener.Close()
		return errors.Wrap(err, "listen.peers")
	}
	listen.Callers, listen.Peers = i.callerListener.address(), i.peerListener.address()
	return nil
}

func (i *Instance) build() error {
	s := i.settings
	i.storeHTTP = store.NewHTTP(s.Store.URL, s.Store.Timeout.Std())
	i.store = store.Track(store.Limit(i.storeHTTP, store.Rates{ReadsPerSecond: s.Store.ReadsPerSecond, WritesPerSecond: s.Store.WritesPerSecond}, i.registry), i.registry)
	i.peers = peer.NewClient(s.Peers.Secret, s.Peers.Timeout.Std(), i.registry)
	i.control = control.NewLoop(control.DefaultCapacity, i.registry)
	i.setDialers()
	i.members = i.newMembers()
	i.gate = limit.NewGate(limit.Options{Members: gateMembers{i}, Arbiters: arbiters{i}, Registry: i.registry})
	i.config = config.NewSource(i.store, config.Options{
		Peers: configPeers{i}, DataFolder: s.DataFolder, Registry: i.registry, Log: log.Log,
		Apply: func(next *config.Current) { i.table.Apply(next.Usage.Upstreams, time.Now()) },
	})
	i.budget = budget.NewAllocator(i.store, plansInForce{i.config}, budget.Options{Registry: i.registry, Log: log.Log})
	if err := i.newDuties(); err != nil {
		return err
	}
	i.remote = newRemoteViews(i)
	i.scheduler = i.newScheduler()
	if err := i.newOwner(); err != nil {
		return err
	}
	i.newEntry()
	i.setHandlers()
	return nil
}

// setDialers makes all clients dial through the network, unless it is TCP.
func (i *Instance) setDialers() {
	dial := i.dial()
	if dial == nil {
		return
	}
	i.storeHTTP.SetDialer(dial)
	i.peers.SetDialer(dial)
	i.engines.SetDialer(dial)
	i.tools.SetDialer(dial)
}

func (i *Instance) dial() func(ctx context.Context, network, address string) (net.Conn, error) {
	if i.network == nil {
		return nil
	}
	return i.network.DialContext
}

// setHandlers sets the handlers of both listeners.
func (i *Instance) setHandlers() {
	callers, operators := i.entry.CallersHandler()
	i.owner.Register(operators)
	control.NewOperator(i.control, i.members).Register(operators)
	peers := echo.New()
	i.entry.RegisterRelay(peers)
	i.peerServer().RegisterEcho(peers)
	i.callerListener.server.Handler = callers
	i.peerListener.server.Handler = peers
}

func (i *Instance) newMembers() *membership.Runner {
	s := i.settings
	timing := membership.DefaultTiming()
	timing.Period = s.Peers.Heartbeat.Std()
	timing.ProbeTimeout = s.Peers.ProbeTimeout.Std()
	timing.SuspectTimeout = s.Peers.SuspectTimeout.Std()
	timing.LoneTimeout = s.Peers.LoneTimeout.Std()
	return membership.NewRunner(membership.Options{
		Self: i.cohort, Address: s.Listen.Peers, Report: i.report(), Seeds: s.Peers.Seeds, Store: i.store,
		Transport: membership.PeerTransport{Client: i.peers}, Timing: timing, Seed: rand.Uint64(),
		OnView:  func(v *membership.View) { _ = i.control.Post(control.MembersChanged{View: v}) },
		OnEvent: i.onMemberEvent,
		Log:     log.Log, Registry: i.registry,
	})
}

// onMemberEvent reacts to the death of a member: it starts the check for programs to take over at
// once, and replicates the copies that the member may have held.
func (i *Instance) onMemberEvent(e membership.Event) {
	if e.Kind != membership.DeclaredDead {
		return
	}
	if i.ownership != nil {
		i.ownership.Wake()
	}
	if i.log != nil && e.Member.DataCentre() == i.settings.DataCentre {
		go i.copies.replicateHeld(i.log.ReplicateHeld)
	}
}

// sizeUnit is the value of membership.Report.Size for an instance of size 1.
const sizeUnit = 100

// report returns this instance's state to be sent in heartbeats.
func (i *Instance) report() membership.Report {
	r := membership.Report{Size: uint32(i.settings.Size * sizeUnit)}
	if i.config != nil {
		r.ConfigVersion = i.config.Version()
	}
	// A single instance may lose the object API and rely on peers' copies while the others still
	// reach it. Its successor must then know to ask for those copies.
	r.StoreHealthy = !i.store.Down() && (i.log == nil || !i.log.ReliesOnCopies())
	return r
}

func (i *Instance) newScheduler() *scheduler.Scheduler {
	return scheduler.New(scheduler.Settings{
		DataCentre:    i.settings.DataCentre,
		QueueLimit:    i.settings.Placement.QueueLimit,
		RemoteCosts:   i.dataCentreRTTs(),
		RemoteViewAge: i.remote.age,
		Policy:        placement.Policy(i.settings.Placement.Policy),
		Logger:        log.Log,
		Random:        rand.Uint64,
		Mover:         i.engines,
		ReleaseCache:  i.duties.releases.Enqueue,
	}, i.table, cache.New(cache.DefaultOptions))
}

// dataCentreRTTs returns the round-trip time to each other data centre.
func (i *Instance) dataCentreRTTs() map[string]time.Duration {
	rtts := map[string]time.Duration{}
	for dc, rtt := range i.settings.Placement.DataCentreRTT {
		rtts[dc] = rtt.Std()
	}
	return rtts
}

func (i *Instance) newOwner() error {
	held, err := ledger.OpenHeldCopies(i.settings.DataFolder, 0)
	if err != nil {
		log.WithError(err).Error("some copies held for other instances could not be loaded")
	}
	i.copies = &copies{instance: i, held: held}
	i.log, err = ledger.Open(context.Background(), ledger.Options{
		Cohort: i.cohort, Address: i.settings.Listen.Peers, Store: i.store,
		Holders: i.copies, Successors: successors{i}, Snapshots: snapshots{i},
		WritesPerSecond: i.settings.Store.WritesPerSecond, WriteTimeout: i.settings.Store.Timeout.Std(),
		Logger: log.Log, Registry: i.registry,
	})
	if err != nil {
		return err
	}
	i.newOwnership()
	i.pauses = newPauseGuard(i)
	i.owner, err = owner.New(owner.Options{
		Cohort: i.cohort, Log: cohortLog{i.log}, Executor: i.newExecutor(), Catalogue: catalogue{i.config},
		Lookup: lookup{i}, Successor: successors{i}, Residency: i.ownership, Lease: i.pauses, ReleaseHooks: []owner.ReleaseHook{i.releaseEngineState},
		MissingStepTimeout: i.settings.Programs.GapWait.Std(), IdleExpiry: i.settings.Programs.IdleExpiry.Std(),
		Logger: log.Log, Registry: i.registry,
	})
	return err
}

func (i *Instance) newOwnership() {
	s := i.settings
	i.ownership = ownership.New(ownership.Options{
		Self:  ownership.Member{Instance: s.Instance, Cohort: i.cohort, Addr: s.Listen.Peers, Weight: s.Size * sizeUnit},
		Store: i.store, Log: i.log, Members: ownershipMembers{i}, Adopter: adopter{i},
		Copies: i.copies, Outages: i.store, Notifier: notifier{i},
		Grace: s.Programs.TakeOverGrace.Std(), Logger: log.Log, Registry: i.registry,
	})
}

func (i *Instance) newExecutor() *dispatch.Executor {
	return dispatch.New(dispatch.Options{
		Lists: lists{i.config}, Gate: gate{i.gate}, Budget: budgets{i.budget}, Scheduler: i.scheduler,
		Engines: i.engines, Tools: i.tools, Probe: i.probe, Registry: i.registry,
	})
}

// probe reports whether an upstream's address accepts connections.
func (i *Instance) probe(ctx context.Context, address string) httpconn.Liveness {
	dial := i.dial()
	if dial == nil {
		dial = netdial.Dial
	}
	return httpconn.ProbeAddress(ctx, dial, address)
}

func (i *Instance) newEntry() {
	i.entry = entry.New(entry.Options{
		Limits: i.settings.Callers, Programs: i.owner, Directory: directory{i}, Config: lists{i.config},
		NotReadyReason: i.notReadyReason, Dial: i.dial(), PeerSecret: i.settings.Peers.Secret, Operators: i.settings.Operators, Metrics: i.registry,
	})
}

// notReadyReason returns why the load balancer should send no calls here, or "" when ready.
func (i *Instance) notReadyReason() string {
	if i.stopping.Load() {
		return "stopping"
	}
	if ok, reason := i.config.Ready(); !ok {
		return reason
	}
	// An instance that starts while the object API is down gets the lists from its peers shortly
	// before it can use the peers as holders. A step run in between could be recorded nowhere, and
	// its caller would get no outcome. Once ready, an instance stays ready: it must keep serving
	// what it can when it loses the object API or its peers later.
	if !i.wasReady.Load() && i.store.Down() && len(i.copies.rankedHolders(i.cohort)) < ledger.RequiredCopies {
		return "too few peers are known to hold copies while the object API is down"
	}
	i.wasReady.Store(true)
	return ""
}

// CallersURL returns the base URL of the callers' listener.
func (i *Instance) CallersURL() string { return "http://" + i.callerListener.address() }

// PeersAddress returns the address of the peers' listener as host:port.
func (i *Instance) PeersAddress() string { return i.peerListener.address() }

// ConfigVersion returns the version of the lists in force, or 0 if there are none.
func (i *Instance) ConfigVersion() uint64 { return i.config.Version() }

// Cohort returns the cohort of this incarnation.
func (i *Instance) Cohort() program.Cohort { return i.cohort }
