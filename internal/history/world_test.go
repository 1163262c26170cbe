package history

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"foxhall/internal/history/historypb"
	"foxhall/internal/store"
)

const (
	// messageDelay is the one-way latency of the simulated network.
	messageDelay = time.Millisecond
	// mirrorDelay is how long after a write of the assignment the instances learn of it.
	mirrorDelay = 100 * time.Millisecond
)

// trace collects the log lines of a test, which are printed if it fails.
type trace struct {
	mu    sync.Mutex
	start time.Time
	lines []string
}

// HandleLog implements log.Handler.
func (t *trace) HandleLog(e *log.Entry) error {
	t.printf("%s %v", e.Message, e.Fields)
	return nil
}

func (t *trace) printf(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lines = append(t.lines, fmt.Sprintf("%8.3f ", time.Since(t.start).Seconds())+fmt.Sprintf(format, args...))
}

// cluster runs keepers over a simulated network and store, with faults set by a test.
type cluster struct {
	t     *testing.T
	dir   string
	trace *trace

	mu       sync.Mutex
	machines []*machine
	// linksDown is keyed by sender and receiver. A link with true delivers no message.
	linksDown map[[2]string]bool

	assignment       Assignment
	version          store.Version
	storeUnavailable bool
	// storeDelay is added to the time of each call about copies. It is set before the keepers start.
	storeDelay time.Duration
	// storeUnreachableFrom names a machine or a data centre from which the store is unreachable.
	storeUnreachableFrom string
	// olderVersion names a keeper whose statuses are those of a version without copies of several holders.
	olderVersion string
	// mirrorStalledAt names a machine that learns of no assignment but by its own calls to the store.
	mirrorStalledAt string
	// storeCalls counts the calls to the store, and storeReads the reads among them.
	storeCalls int
	storeReads int
	// writeResponsesToLose is the number of coming writes that take effect but whose response is
	// lost.
	writeResponsesToLose int
	// readError is returned by reads of the assignment; nil if they succeed.
	readError error
	// maxDiskFailures is the number of disks that may fail at once.
	maxDiskFailures int
	// unresponsiveEntries names data centres whose entries do not respond to witness queries.
	unresponsiveEntries map[string]bool
	// entryOnlyDataCentres names the data centres that have an entry but no keeper.
	entryOnlyDataCentres []string
	witnessQueries       atomic.Int64
	// transferredBytes counts the bytes of records and inventories that keepers send each other.
	transferredBytes atomic.Int64
	statusRequests   atomic.Int64
	// failsAppend reports whether an append is refused; nil for none. The cluster's lock guards it.
	failsAppend func(*historypb.AppendRequest) bool
	// linkBytesPerSecond is the rate of the link of each keeper to the others; 0 for no limit.
	linkBytesPerSecond int64
	// datagramLossRate is the share of datagrams that are lost, as drawn by random.
	datagramLossRate float64
	random           *rand.Rand
	// retiringKeeper names the keeper that operators want drained, alsoRetiring further ones.
	retiringKeeper string
	alsoRetiring   map[string]bool
	// unregistered names the machines that aren't part of the system yet.
	unregistered map[string]bool
	// copies are the copies in the store, by name.
	copies map[string][]byte
}

// machine is a host with a disk that runs one keeper, in successive processes.
type machine struct {
	cluster    *cluster
	name       string
	dataCentre string
	dir        string

	// onOpen is called with the log that a process has opened; nil for nothing.
	onOpen func(ctx context.Context, l *diskLog) error
	// lifecycleMu serialises starts and stops of the process.
	lifecycleMu sync.Mutex
	// The cluster's lock guards the rest. process is nil while none runs. paused is nil unless the
	// process is paused, and is closed when it resumes.
	process *process
	paused  chan struct{}

	// sendingMu guards linkFreeAt, when the link will have sent all messages.
	sendingMu  sync.Mutex
	linkFreeAt time.Time
}

// process is one incarnation of a keeper.
type process struct {
	keeper *Keeper
	ctx    context.Context
	kill   context.CancelFunc
	done   chan struct{}
	// connections ends when the process exits and closes its connections.
	connections      context.Context
	closeConnections context.CancelFunc
}

func newCluster(t *testing.T, keepers, maxDiskFailures int) *cluster {
	cl := &cluster{t: t, maxDiskFailures: maxDiskFailures, dir: t.TempDir(), linksDown: map[[2]string]bool{}, copies: map[string][]byte{}, unresponsiveEntries: map[string]bool{}, alsoRetiring: map[string]bool{}, unregistered: map[string]bool{}, random: rand.New(rand.NewPCG(1, 2)), trace: &trace{start: time.Now()}}
	for i := range keepers {
		name := string(rune('a' + i))
		m := &machine{cluster: cl, name: name, dataCentre: "dc-" + name, dir: filepath.Join(cl.dir, name)}
		cl.machines = append(cl.machines, m)
	}
	return cl
}

// logger returns a logger that adds an instance's log lines to the trace.
func (cl *cluster) logger(name string) log.Interface {
	return (&log.Logger{Handler: cl.trace, Level: log.InfoLevel}).WithField("instance", name)
}

func (cl *cluster) startAll() {
	for _, m := range cl.machines {
		m.start()
	}
}

func (cl *cluster) stopAll() {
	for _, m := range cl.machines {
		m.resume()
		m.stop()
	}
}

func (m *machine) start() {
	m.lifecycleMu.Lock()
	defer m.lifecycleMu.Unlock()
	m.startLocked()
}

func (m *machine) startLocked() {
	cl := m.cluster
	k, err := Open(Settings{
		Name:            m.name,
		DataCentre:      m.dataCentre,
		DataCentres:     len(cl.dataCentres()),
		LogDir:          m.dir,
		MaxDiskFailures: cl.maxDiskFailures,
		Keepers:         cl.candidates,
		IsRetiring:      cl.isRetiring,
		Copies:          m,
		Logger:          cl.logger(m.name),
	}, m, m)
	if err != nil {
		cl.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	if m.onOpen != nil {
		if err := m.onOpen(ctx, k.log); err != nil {
			cl.t.Fatal(err)
		}
	}
	p := &process{keeper: k, ctx: ctx, kill: cancel, done: make(chan struct{})}
	p.connections, p.closeConnections = context.WithCancel(context.Background())
	cl.mu.Lock()
	m.process = p
	cl.mu.Unlock()
	go func() {
		defer close(p.done)
		_ = k.Run(ctx)
	}()
	go m.deliverAssignments(p)
}

// deliverAssignments gives new assignments to the keeper, as the mirror does.
func (m *machine) deliverAssignments(p *process) {
	for p.ctx.Err() == nil {
		sleep(p.ctx, mirrorDelay)
		cl := m.cluster
		cl.mu.Lock()
		a, version, unavailable := cl.assignment, cl.version, cl.storeUnavailable || cl.storeUnreachableFrom == m.name || cl.storeUnreachableFrom == m.dataCentre || cl.mirrorStalledAt == m.name
		cl.mu.Unlock()
		if !unavailable && version > 0 {
			p.keeper.ApplyAssignment(a, version)
		}
	}
}

// stop ends the process as SIGKILL would. Writes that were not synced survive.
func (m *machine) stop() {
	m.lifecycleMu.Lock()
	defer m.lifecycleMu.Unlock()
	m.stopLocked()
}

// exit ends the process as a planned stop does: callers notice at once that their connections are closed.
func (m *machine) exit() {
	m.cluster.mu.Lock()
	p := m.process
	m.cluster.mu.Unlock()
	if p != nil {
		p.closeConnections()
	}
	m.stop()
}

func (m *machine) stopLocked() {
	m.cluster.mu.Lock()
	p := m.process
	m.process = nil
	m.cluster.mu.Unlock()
	if p != nil {
		p.kill()
		<-p.done
	}
}

// powerOff ends the process as a power failure would. Of the unsynced bytes, the given share
// survives, from their start.
func (m *machine) powerOff(survivingShare float64) {
	m.lifecycleMu.Lock()
	defer m.lifecycleMu.Unlock()
	m.cluster.mu.Lock()
	p := m.process
	m.cluster.mu.Unlock()
	m.stopLocked()
	if p == nil {
		return
	}
	l := p.keeper.log
	size := l.synced + int64(survivingShare*float64(l.size-l.synced))
	if err := os.Truncate(l.segmentPath(l.segment), size); err != nil {
		m.cluster.t.Fatal(err)
	}
}

// wipe ends the process and replaces its disk by an empty one.
func (m *machine) wipe() {
	m.lifecycleMu.Lock()
	defer m.lifecycleMu.Unlock()
	m.stopLocked()
	if err := os.RemoveAll(m.dir); err != nil {
		m.cluster.t.Fatal(err)
	}
}

func (m *machine) pause() {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	if m.paused == nil {
		m.paused = make(chan struct{})
	}
}

func (m *machine) resume() {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	if m.paused != nil {
		close(m.paused)
		m.paused = nil
	}
}

func (cl *cluster) candidates() []Candidate {
	var list []Candidate
	for _, m := range cl.machines {
		if !cl.isRegistered(m.name) {
			continue
		}
		list = append(list, Candidate{Name: m.name, DataCentre: m.dataCentre})
	}
	return list
}

func (cl *cluster) machine(name string) *machine {
	i := slices.IndexFunc(cl.machines, func(m *machine) bool { return m.name == name })
	if i < 0 {
		return nil
	}
	return cl.machines[i]
}

func (cl *cluster) setLinkDown(a, b string, down bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.linksDown[[2]string{a, b}], cl.linksDown[[2]string{b, a}] = down, down
}

func (cl *cluster) isLinkDown(a, b string) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.linksDown[[2]string{a, b}]
}

// waitWhilePaused waits until the machine is not paused, or fails when ctx ends.
func (m *machine) waitWhilePaused(ctx context.Context) error {
	m.cluster.mu.Lock()
	resumed := m.paused
	m.cluster.mu.Unlock()
	if resumed == nil {
		return nil
	}
	select {
	case <-resumed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// call calls a keeper through the simulated network. A machine without a process refuses the
// connection. If the link is down, or the keeper is paused or killed during the call, there is no
// response until ctx ends.
func call[T any](ctx context.Context, cl *cluster, from, to string, f func(context.Context, *Keeper) (T, error)) (T, error) {
	var zero T
	target := cl.machine(to)
	if target == nil {
		return zero, errors.New("no such keeper")
	}
	noResponse := func() (T, error) {
		<-ctx.Done()
		return zero, ctx.Err()
	}
	sleep(ctx, messageDelay)
	if cl.isLinkDown(from, to) || target.waitWhilePaused(ctx) != nil {
		return noResponse()
	}
	cl.mu.Lock()
	p := target.process
	cl.mu.Unlock()
	if p == nil {
		return zero, syscall.ECONNREFUSED
	}
	connected, disconnect := context.WithCancel(ctx)
	defer disconnect()
	defer context.AfterFunc(p.connections, disconnect)()
	response, err := f(connected, p.keeper)
	sleep(ctx, messageDelay)
	if p.connections.Err() != nil {
		return zero, syscall.ECONNRESET
	}
	if cl.isLinkDown(from, to) || p.ctx.Err() != nil || target.waitWhilePaused(ctx) != nil || ctx.Err() != nil {
		return noResponse()
	}
	return response, err
}

// Append implements Peers.
func (m *machine) Append(ctx context.Context, name string, r *historypb.AppendRequest) (*historypb.AppendResponse, error) {
	m.cluster.mu.Lock()
	fails := m.cluster.failsAppend
	m.cluster.mu.Unlock()
	if fails != nil && fails(r) {
		sleep(ctx, messageDelay)
		return nil, syscall.ECONNREFUSED
	}
	if err := m.waitWhilePaused(ctx); err != nil {
		return nil, err
	}
	m.cluster.transferredBytes.Add(int64(proto.Size(r)))
	return call(ctx, m.cluster, m.name, name, func(ctx context.Context, k *Keeper) (*historypb.AppendResponse, error) {
		if err := m.transmit(ctx, proto.Size(r)); err != nil {
			return nil, err
		}
		return k.Append(ctx, r)
	})
}

// transmit waits for as long as the link takes for a message. Messages that are sent at once share the link.
func (m *machine) transmit(ctx context.Context, size int) error {
	if m.cluster.linkBytesPerSecond == 0 {
		return nil
	}
	m.sendingMu.Lock()
	took := time.Duration(size) * time.Second / time.Duration(m.cluster.linkBytesPerSecond)
	now := time.Now()
	if m.linkFreeAt.Before(now) {
		m.linkFreeAt = now
	}
	sent := m.linkFreeAt.Add(took)
	deadline, bounded := ctx.Deadline()
	inTime := !bounded || sent.Before(deadline)
	if !inTime {
		sent = deadline // the rest is not sent
	}
	m.linkFreeAt = sent
	m.sendingMu.Unlock()
	sleep(ctx, time.Until(sent))
	if !inTime {
		return context.DeadlineExceeded
	}
	return ctx.Err()
}

// Status implements Peers.
func (m *machine) Status(ctx context.Context, name string, r *historypb.StatusRequest) (*historypb.StatusResponse, error) {
	m.cluster.statusRequests.Add(1)
	if err := m.waitWhilePaused(ctx); err != nil {
		return nil, err
	}
	return call(ctx, m.cluster, m.name, name, func(ctx context.Context, k *Keeper) (*historypb.StatusResponse, error) {
		status, err := k.Status(ctx, r)
		return m.cluster.asSent(status), err
	})
}

// asSent returns a keeper's status as its version sends it.
func (cl *cluster) asSent(status *historypb.StatusResponse) *historypb.StatusResponse {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	status.Copies = status.Copies && status.Name != cl.olderVersion
	return status
}

// BroadcastStatus implements Peers.
func (m *machine) BroadcastStatus(status *historypb.StatusResponse) {
	cl := m.cluster
	if !cl.isRunning(m.name) {
		return
	}
	status = cl.asSent(status)
	for _, other := range cl.machines {
		if other == m || cl.isLinkDown(m.name, other.name) || cl.datagramLost() {
			continue
		}
		go func() {
			time.Sleep(messageDelay)
			cl.mu.Lock()
			p, paused := other.process, other.paused != nil
			cl.mu.Unlock()
			if p != nil && !paused && p.ctx.Err() == nil {
				p.keeper.ObserveStatus(proto.Clone(status).(*historypb.StatusResponse))
			}
		}()
	}
}

// datagramLost decides at random whether the network loses a datagram.
func (cl *cluster) datagramLost() bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.random.Float64() < cl.datagramLossRate
}

// Fetch implements Peers.
func (m *machine) Fetch(ctx context.Context, name string, r *historypb.FetchRequest) (*historypb.FetchResponse, error) {
	if err := m.waitWhilePaused(ctx); err != nil {
		return nil, err
	}
	return call(ctx, m.cluster, m.name, name, func(ctx context.Context, k *Keeper) (*historypb.FetchResponse, error) {
		response, err := k.Fetch(ctx, r)
		m.cluster.transferredBytes.Add(int64(proto.Size(response)))
		return response, err
	})
}

// List implements Peers.
func (m *machine) List(ctx context.Context, name string, r *historypb.ListRequest) (*historypb.ListResponse, error) {
	if err := m.waitWhilePaused(ctx); err != nil {
		return nil, err
	}
	return call(ctx, m.cluster, m.name, name, func(ctx context.Context, k *Keeper) (*historypb.ListResponse, error) {
		response, err := k.List(ctx, r)
		m.cluster.transferredBytes.Add(int64(proto.Size(response)))
		return response, err
	})
}

// entryIn returns the name of a data centre's entry, which serves as a witness.
func entryIn(dataCentre string) string { return "entry-of-" + dataCentre }

// dataCentres returns the data centres of all keepers and entries.
func (cl *cluster) dataCentres() []string {
	names := slices.Clone(cl.entryOnlyDataCentres)
	for _, m := range cl.machines {
		if !slices.Contains(names, m.dataCentre) {
			names = append(names, m.dataCentre)
		}
	}
	return names
}

// QueryWitnesses implements Peers.
func (m *machine) QueryWitnesses(ctx context.Context, name string) []Witness {
	if m.waitWhilePaused(ctx) != nil {
		return nil
	}
	sleep(ctx, 2*messageDelay)
	cl := m.cluster
	cl.witnessQueries.Add(1)
	var witnesses []Witness
	for _, dc := range cl.dataCentres() {
		if cl.entriesUnresponsive(dc) || cl.isLinkDown(m.name, entryIn(dc)) {
			continue
		}
		witnesses = append(witnesses, Witness{DataCentre: dc, HasContact: cl.isRunning(name) && !cl.isLinkDown(name, entryIn(dc))})
	}
	return witnesses
}

func (cl *cluster) isRetiring(name string) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.retiringKeeper == name || cl.alsoRetiring[name]
}

// setRetiringToo orders a keeper drained beside others, or ends that.
func (cl *cluster) setRetiringToo(name string, retiring bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.alsoRetiring[name] = retiring
}

// setRegistered adds a machine to the system, or leaves it out.
func (cl *cluster) setRegistered(name string, registered bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.unregistered[name] = !registered
}

func (cl *cluster) isRegistered(name string) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return !cl.unregistered[name]
}

func (cl *cluster) entriesUnresponsive(dataCentre string) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.unresponsiveEntries[dataCentre]
}

// isRunning reports whether a keeper's process runs and is not paused.
func (cl *cluster) isRunning(name string) bool {
	m := cl.machine(name)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return m != nil && m.process != nil && m.paused == nil
}

// setDataCentreIsolated isolates a data centre's keepers and entry from all others, or ends that.
func (cl *cluster) setDataCentreIsolated(dataCentre string, isolated bool) {
	inside, outside := cl.splitByDataCentre(dataCentre)
	for _, a := range inside {
		for _, b := range outside {
			cl.setLinkDown(a, b, isolated)
		}
	}
}

// splitByDataCentre returns the keepers and entries inside and outside of a data centre.
func (cl *cluster) splitByDataCentre(dataCentre string) (inside, outside []string) {
	for _, dc := range cl.dataCentres() {
		if dc == dataCentre {
			inside = append(inside, entryIn(dc))
		} else {
			outside = append(outside, entryIn(dc))
		}
	}
	for _, m := range cl.machines {
		if m.dataCentre == dataCentre {
			inside = append(inside, m.name)
		} else {
			outside = append(outside, m.name)
		}
	}
	return inside, outside
}

// Read implements Assignments.
func (m *machine) Read(ctx context.Context) (Assignment, store.Version, error) {
	if err := m.waitWhilePaused(ctx); err != nil {
		return Assignment{}, 0, err
	}
	sleep(ctx, 4*messageDelay)
	cl := m.cluster
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.storeCalls++
	cl.storeReads++
	if cl.storeUnavailable || cl.storeUnreachableFrom == m.name || cl.storeUnreachableFrom == m.dataCentre {
		return Assignment{}, 0, store.ErrUnavailable
	}
	return cl.assignment, cl.version, cl.readError
}

// Write implements Assignments.
func (m *machine) Write(ctx context.Context, a Assignment, base store.Version) (Assignment, store.Version, error) {
	if err := m.waitWhilePaused(ctx); err != nil {
		return Assignment{}, 0, err
	}
	sleep(ctx, 4*messageDelay)
	cl := m.cluster
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.storeCalls++
	switch {
	case cl.storeUnavailable || cl.storeUnreachableFrom == m.name || cl.storeUnreachableFrom == m.dataCentre:
		return Assignment{}, 0, store.ErrUnavailable
	case base != cl.version:
		return cl.assignment, cl.version, store.ErrConflict
	}
	cl.assignment = a
	cl.version++
	if cl.writeResponsesToLose > 0 {
		cl.writeResponsesToLose--
		return Assignment{}, 0, store.ErrUnknown
	}
	return a, cl.version, nil
}

// entry is an instance that takes callers' calls, and reserves and settles turns at the keepers.
type entry struct {
	cluster *cluster
	name    string
	// onlyKeeper is the only reachable keeper; empty if all are reachable.
	onlyKeeper string
	// isolated means that the entry reaches no other data centre.
	isolated bool
	// unreachable names the keepers that the entry knows to be unreachable; the cluster's lock guards it.
	unreachable map[string]bool
}

func (e *entry) setUnreachable(name string, unreachable bool) {
	e.cluster.mu.Lock()
	defer e.cluster.mu.Unlock()
	e.unreachable[name] = unreachable
}

func (e *entry) isUnreachable(name string) bool {
	e.cluster.mu.Lock()
	defer e.cluster.mu.Unlock()
	return e.unreachable[name]
}

// OnSilence implements Keepers. It never calls f: in these tests, calls to an unresponsive keeper
// end by their timeout.
func (e *entry) OnSilence(string, func()) (stop func()) { return func() {} }

// Isolated implements Keepers.
func (e *entry) Isolated() bool { return e.isolated }

// remoteKeeper calls a keeper from an entry.
type remoteKeeper struct {
	historypb.Keeper
	e    *entry
	name string
}

// Keeper implements Keepers.
func (e *entry) Keeper(name string) (historypb.Keeper, bool) {
	if e.cluster.machine(name) == nil || e.isUnreachable(name) || e.onlyKeeper != "" && e.onlyKeeper != name {
		return nil, false
	}
	return &remoteKeeper{e: e, name: name}, true
}

func (r *remoteKeeper) Reserve(ctx context.Context, request *historypb.ReserveRequest) (*historypb.ReserveResponse, error) {
	return call(ctx, r.e.cluster, r.e.name, r.name, func(ctx context.Context, k *Keeper) (*historypb.ReserveResponse, error) {
		return k.Reserve(ctx, request)
	})
}

func (r *remoteKeeper) Settle(ctx context.Context, request *historypb.SettleRequest) (*historypb.SettleResponse, error) {
	return call(ctx, r.e.cluster, r.e.name, r.name, func(ctx context.Context, k *Keeper) (*historypb.SettleResponse, error) {
		return k.Settle(ctx, request)
	})
}

func (r *remoteKeeper) Draw(ctx context.Context, request *historypb.DrawRequest) (*historypb.DrawResponse, error) {
	return call(ctx, r.e.cluster, r.e.name, r.name, func(ctx context.Context, k *Keeper) (*historypb.DrawResponse, error) {
		return k.Draw(ctx, request)
	})
}

func (r *remoteKeeper) Find(ctx context.Context, request *historypb.FindRequest) (*historypb.FindResponse, error) {
	return call(ctx, r.e.cluster, r.e.name, r.name, func(ctx context.Context, k *Keeper) (*historypb.FindResponse, error) {
		return k.Find(ctx, request)
	})
}

// client returns a client that knows the newest assignment in the store.
func (cl *cluster) client(name string) *Client {
	return NewClient(&entry{cluster: cl, name: name}, func() (Assignment, bool) {
		cl.mu.Lock()
		defer cl.mu.Unlock()
		return cl.assignment, cl.version > 0
	}, cl.logger("entry"))
}

func (cl *cluster) setStoreUnavailable(unavailable bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.storeUnavailable = unavailable
}

func (cl *cluster) setStoreUnreachableFrom(name string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.storeUnreachableFrom = name
}

func (cl *cluster) setRetiring(name string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.retiringKeeper = name
}
