// Package instance joins the parts of foxhall into one running instance.
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
	"foxhall/internal/ledger"
	"foxhall/internal/limit"
	"foxhall/internal/membership"
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
	// toolDialTimeout bounds how long an unreachable service is waited for.
	toolDialTimeout = 2 * time.Second
	// maxToolAnswer bounds an answer of a service, in bytes; it is kept for
	// repeats and must fit into a log entry.
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
	// settled says that it was ready once.
	wasReady atomic.Bool
}

// New opens the listeners and builds an instance; Run serves them. Port 0 in
// the settings stands for any free port.
func New(s settings.Settings) (*Instance, error) { return NewOn(nil, s) }

// NewOn is New on a network other than TCP, for tests of faults.
func NewOn(network Network, s settings.Settings) (*Instance, error) {
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
	i.store = store.Track(store.Limit(i.storeHTTP, store.Rates{Reads: s.Store.ReadsPerSecond, Writes: s.Store.WritesPerSecond}, i.registry), i.registry)
	i.peers = peer.NewClient(s.Peers.Secret, s.Peers.Timeout.Std(), i.registry)
	i.control = control.NewLoop(control.DefaultCapacity, i.registry)
	i.setDialers()
	i.members = i.newMembers()
	i.gate = limit.NewGate(limit.Options{Members: gateMembers{i}, Arbiters: arbiters{i}, Registry: i.registry})
	i.config = config.NewSource(i.store, config.Options{
		Peers: configPeers{i}, Folder: s.DataFolder, Registry: i.registry, Log: log.Log,
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

// dialThrough puts the network, if it is not TCP, under all clients.
func (i *Instance) setDialers() {
	dial := i.dial()
	if dial == nil {
		return
	}
	i.storeHTTP.DialThrough(dial)
	i.peers.DialThrough(dial)
	i.engines.DialThrough(dial)
	i.tools.DialThrough(dial)
}

func (i *Instance) dial() func(ctx context.Context, network, address string) (net.Conn, error) {
	if i.network == nil {
		return nil
	}
	return i.network.DialContext
}

// handle puts the handlers on the listeners.
func (i *Instance) setHandlers() {
	callers, operators := i.entry.Callers()
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

// memberChanged looks at once for programs to take over when a member died,
// and has copies held again that it may have held.
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

// sizeUnit is the size that membership knows an instance of size 1 by.
const sizeUnit = 100

// report is what heartbeats tell of this instance.
func (i *Instance) report() membership.Report {
	r := membership.Report{Size: uint32(i.settings.Size * sizeUnit)}
	if i.config != nil {
		r.ConfigVersion = i.config.Version()
	}
	// Peers' copies may be relied on by one instance alone, cut off from the
	// object API; its successor must know to ask for them.
	r.StoreHealthy = !i.store.Down() && (i.log == nil || !i.log.Holding())
	return r
}

func (i *Instance) newScheduler() *scheduler.Scheduler {
	return scheduler.New(scheduler.Settings{
		DataCentre:    i.settings.DataCentre,
		QueueLimit:    i.settings.Placement.QueueLimit,
		DataCentreRTT: i.dataCentreRTTs(),
		RemoteViewAge: i.remote.age,
		Policy:        placement.Policy(i.settings.Placement.Policy),
		Logger:        log.Log,
		Random:        rand.Uint64,
		Mover:         i.engines,
		ReleaseCache:  i.duties.releases.Release,
	}, i.table, cache.New(cache.DefaultOptions))
}

// ways gives the time to each other data centre and back.
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
		log.WithError(err).Error("copies held for other instances are damaged")
	}
	i.copies = &copies{instance: i, held: held}
	i.log, err = ledger.Open(context.Background(), ledger.Options{
		Cohort: i.cohort, Address: i.settings.Listen.Peers, Store: i.store,
		Holders: i.copies, Successors: successors{i}, Snapshots: snapshots{i},
		Writes: i.settings.Store.WritesPerSecond, WriteTimeout: i.settings.Store.Timeout.Std(),
		Logger: log.Log, Registry: i.registry,
	})
	if err != nil {
		return err
	}
	i.newOwnership()
	i.pauses = newPauseGuard(i)
	i.owner, err = owner.New(owner.Options{
		Cohort: i.cohort, Log: cohortLog{i.log}, Executor: i.newExecutor(), Catalogue: catalogue{i.config},
		Lookup: lookup{i}, Successor: successors{i}, Residency: i.ownership, Lease: i.pauses, Released: []owner.ReleaseHook{i.releaseEngineState},
		GapWait: i.settings.Programs.GapWait.Std(), IdleExpiry: i.settings.Programs.IdleExpiry.Std(),
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
		Engines: i.engines, Tools: i.tools, Registry: i.registry,
	})
}

func (i *Instance) newEntry() {
	i.entry = entry.New(entry.Options{
		Limits: i.settings.Callers, Programs: i.owner, Directory: directory{i}, Config: lists{i.config},
		Ready: i.notReadyReason, Dial: i.dial(), PeerSecret: i.settings.Peers.Secret, Operators: i.settings.Operators, Metrics: i.registry,
	})
}

// notReady tells why the balancer should send no calls here, or is empty.
func (i *Instance) notReadyReason() string {
	if i.stopping.Load() {
		return "stopping"
	}
	if ok, reason := i.config.Ready(); !ok {
		return reason
	}
	// An instance that starts while the object API is down has the lists from
	// its peers a moment before it may call them. A step that it ran then could
	// be recorded nowhere, and its caller be told no outcome. Once it was ready
	// it stays so: being cut off later must not end what it can still serve.
	if !i.wasReady.Load() && i.store.Down() && len(i.copies.rankedHolders(i.cohort)) < ledger.RequiredCopies {
		return "too few peers are known to hold copies while the object API is down"
	}
	i.wasReady.Store(true)
	return ""
}

// CallersURL returns where callers are served.
func (i *Instance) CallersURL() string { return "http://" + i.callerListener.address() }

// PeersAddress returns where peers are served, host:port.
func (i *Instance) PeersAddress() string { return i.peerListener.address() }

// ConfigVersion returns the version of the lists in force; 0 for none.
func (i *Instance) ConfigVersion() uint64 { return i.config.Version() }

// Cohort returns the cohort of this incarnation.
func (i *Instance) Cohort() program.Cohort { return i.cohort }
