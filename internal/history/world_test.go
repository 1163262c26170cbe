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
	// wayTime is the time of a message in the tests' network.
	wayTime = time.Millisecond
	// mirrorTime is how long after a write the instances hear of it.
	mirrorTime = 100 * time.Millisecond
)

// trace keeps what keepers say, to be told with a failure.
type trace struct {
	mu    sync.Mutex
	began time.Time
	lines []string
}

// HandleLog implements log.Handler.
func (t *trace) HandleLog(e *log.Entry) error {
	t.say("%s %v", e.Message, e.Fields)
	return nil
}

func (t *trace) say(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lines = append(t.lines, fmt.Sprintf("%8.3f ", time.Since(t.began).Seconds())+fmt.Sprintf(format, args...))
}

// world is a few keepers with a store and a network between them, whose faults
// a test sets.
type world struct {
	t      *testing.T
	folder string
	trace  *trace

	mu       sync.Mutex
	machines []*machine
	cuts     map[[2]string]bool

	assignment Assignment
	version    store.Version
	storeDown  bool
	// noStore names a machine that the store does not answer, or a data centre.
	noStore string
	// storeCalls counts the calls to the store.
	storeCalls int
	// storeReads counts those of them that read.
	storeReads int
	loseWrites int
	// readError, if set, is what reading the assignment ends with.
	readError error
	// disksLost is the number of disks that may be lost at once.
	disksLost int
	// deaf names data centres whose entries can't tell whom they hear.
	deaf map[string]bool
	// entriesOnly names data centres without a keeper.
	entriesOnly []string
	// witnessed counts the questions to entries.
	witnessed atomic.Int64
	// moved counts the bytes of records that keepers send each other.
	moved atomic.Int64
	// asked counts the questions between keepers how they stand.
	asked atomic.Int64
	// lossy is the share of datagrams that are lost, as drawn by random.
	lossy  float64
	random *rand.Rand
	// retiring names the keeper that operators want emptied.
	retiring string
}

// machine is one place where a keeper runs, again and again.
type machine struct {
	world      *world
	name       string
	dataCentre string
	folder     string

	// running orders starts and ends of the process.
	running sync.Mutex
	// The world's lock guards the rest.
	process *process
	frozen  chan struct{}
}

// process is one run of a keeper.
type process struct {
	keeper *Keeper
	ctx    context.Context
	kill   context.CancelFunc
	ended  chan struct{}
}

func newWorld(t *testing.T, keepers, disksLost int) *world {
	w := &world{t: t, disksLost: disksLost, folder: t.TempDir(), cuts: map[[2]string]bool{}, deaf: map[string]bool{}, random: rand.New(rand.NewPCG(1, 2)), trace: &trace{began: time.Now()}}
	for i := range keepers {
		name := string(rune('a' + i))
		m := &machine{world: w, name: name, dataCentre: "dc-" + name, folder: filepath.Join(w.folder, name)}
		w.machines = append(w.machines, m)
	}
	return w
}

// logger keeps what an instance says for the trace.
func (w *world) logger(name string) log.Interface {
	return (&log.Logger{Handler: w.trace, Level: log.InfoLevel}).WithField("instance", name)
}

func (w *world) startAll() {
	for _, m := range w.machines {
		m.start()
	}
}

func (w *world) stopAll() {
	for _, m := range w.machines {
		m.unfreeze()
		m.stop()
	}
}

func (m *machine) start() {
	m.running.Lock()
	defer m.running.Unlock()
	m.startLocked()
}

func (m *machine) startLocked() {
	w := m.world
	k, err := Open(Settings{
		Name:            m.name,
		DataCentre:      m.dataCentre,
		DataCentres:     len(w.dataCentres()),
		LogDir:          m.folder,
		MaxDiskFailures: w.disksLost,
		Keepers:         w.candidates,
		IsRetiring:      w.isRetiring,
		Logger:          w.logger(m.name),
	}, m, m)
	if err != nil {
		w.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{keeper: k, ctx: ctx, kill: cancel, ended: make(chan struct{})}
	w.mu.Lock()
	m.process = p
	w.mu.Unlock()
	go func() {
		defer close(p.ended)
		_ = k.Run(ctx)
	}()
	go m.follow(p)
}

// follow passes the assignment on to the keeper as the mirror does.
func (m *machine) follow(p *process) {
	for p.ctx.Err() == nil {
		sleep(p.ctx, mirrorTime)
		w := m.world
		w.mu.Lock()
		a, version, lost := w.assignment, w.version, w.storeDown || w.noStore == m.name || w.noStore == m.dataCentre
		w.mu.Unlock()
		if !lost && version > 0 {
			p.keeper.ApplyAssignment(a, version)
		}
	}
}

// stop ends the process as SIGKILL does.
func (m *machine) stop() {
	m.running.Lock()
	defer m.running.Unlock()
	m.stopLocked()
}

func (m *machine) stopLocked() {
	m.world.mu.Lock()
	p := m.process
	m.process = nil
	m.world.mu.Unlock()
	if p != nil {
		p.kill()
		<-p.ended
	}
}

// powerOff ends the process and loses some of what was not synced.
func (m *machine) powerOff(kept float64) {
	m.running.Lock()
	defer m.running.Unlock()
	m.world.mu.Lock()
	p := m.process
	m.world.mu.Unlock()
	m.stopLocked()
	if p == nil {
		return
	}
	l := p.keeper.log
	size := l.synced + int64(kept*float64(l.size-l.synced))
	if err := os.Truncate(l.segmentPath(l.segment), size); err != nil {
		m.world.t.Fatal(err)
	}
}

// wipe ends the process and empties its disk.
func (m *machine) wipe() {
	m.running.Lock()
	defer m.running.Unlock()
	m.stopLocked()
	if err := os.RemoveAll(m.folder); err != nil {
		m.world.t.Fatal(err)
	}
}

func (m *machine) freeze() {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	if m.frozen == nil {
		m.frozen = make(chan struct{})
	}
}

func (m *machine) unfreeze() {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	if m.frozen != nil {
		close(m.frozen)
		m.frozen = nil
	}
}

func (w *world) candidates() []Candidate {
	var list []Candidate
	for _, m := range w.machines {
		list = append(list, Candidate{Name: m.name, DataCentre: m.dataCentre})
	}
	return list
}

func (w *world) machine(name string) *machine {
	i := slices.IndexFunc(w.machines, func(m *machine) bool { return m.name == name })
	if i < 0 {
		return nil
	}
	return w.machines[i]
}

func (w *world) cut(a, b string, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts[[2]string{a, b}], w.cuts[[2]string{b, a}] = on, on
}

func (w *world) isCut(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cuts[[2]string{a, b}]
}

// pass waits until a frozen machine goes on.
func (m *machine) pass(ctx context.Context) error {
	m.world.mu.Lock()
	frozen := m.frozen
	m.world.mu.Unlock()
	if frozen == nil {
		return nil
	}
	select {
	case <-frozen:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// call runs a call from one place to a keeper, with the network's faults.
func call[T any](ctx context.Context, w *world, from, to string, f func(context.Context, *Keeper) (T, error)) (T, error) {
	var none T
	target := w.machine(to)
	if target == nil {
		return none, errors.New("no such keeper")
	}
	silent := func() (T, error) {
		<-ctx.Done()
		return none, ctx.Err()
	}
	sleep(ctx, wayTime)
	if w.isCut(from, to) || target.pass(ctx) != nil {
		return silent()
	}
	w.mu.Lock()
	p := target.process
	w.mu.Unlock()
	if p == nil {
		return none, syscall.ECONNREFUSED
	}
	answer, err := f(ctx, p.keeper)
	sleep(ctx, wayTime)
	if w.isCut(from, to) || p.ctx.Err() != nil || target.pass(ctx) != nil || ctx.Err() != nil {
		return silent()
	}
	return answer, err
}

// Append implements Peers.
func (m *machine) Append(ctx context.Context, name string, r *historypb.AppendRequest) (*historypb.AppendResponse, error) {
	if err := m.pass(ctx); err != nil {
		return nil, err
	}
	m.world.moved.Add(int64(proto.Size(r)))
	return call(ctx, m.world, m.name, name, func(ctx context.Context, k *Keeper) (*historypb.AppendResponse, error) {
		return k.Append(ctx, r)
	})
}

// Status implements Peers.
func (m *machine) Status(ctx context.Context, name string, r *historypb.StatusRequest) (*historypb.StatusResponse, error) {
	m.world.asked.Add(1)
	if err := m.pass(ctx); err != nil {
		return nil, err
	}
	return call(ctx, m.world, m.name, name, func(ctx context.Context, k *Keeper) (*historypb.StatusResponse, error) {
		return k.Status(ctx, r)
	})
}

// Tell implements Peers.
func (m *machine) BroadcastStatus(status *historypb.StatusResponse) {
	w := m.world
	if !w.runs(m.name) {
		return
	}
	for _, other := range w.machines {
		if other == m || w.isCut(m.name, other.name) || w.datagramLost() {
			continue
		}
		go func() {
			time.Sleep(wayTime)
			w.mu.Lock()
			p, frozen := other.process, other.frozen != nil
			w.mu.Unlock()
			if p != nil && !frozen && p.ctx.Err() == nil {
				p.keeper.ObserveStatus(proto.Clone(status).(*historypb.StatusResponse))
			}
		}()
	}
}

// datagramLost draws whether the network loses a datagram.
func (w *world) datagramLost() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Float64() < w.lossy
}

// Fetch implements Peers.
func (m *machine) Fetch(ctx context.Context, name string, r *historypb.FetchRequest) (*historypb.FetchResponse, error) {
	if err := m.pass(ctx); err != nil {
		return nil, err
	}
	return call(ctx, m.world, m.name, name, func(ctx context.Context, k *Keeper) (*historypb.FetchResponse, error) {
		response, err := k.Fetch(ctx, r)
		m.world.moved.Add(int64(proto.Size(response)))
		return response, err
	})
}

// List implements Peers.
func (m *machine) List(ctx context.Context, name string, r *historypb.ListRequest) (*historypb.ListResponse, error) {
	if err := m.pass(ctx); err != nil {
		return nil, err
	}
	return call(ctx, m.world, m.name, name, func(ctx context.Context, k *Keeper) (*historypb.ListResponse, error) {
		response, err := k.List(ctx, r)
		m.world.moved.Add(int64(proto.Size(response)))
		return response, err
	})
}

// entryIn names the entry of a data centre, which witnesses whom it hears.
func entryIn(dataCentre string) string { return "entry-of-" + dataCentre }

// dataCentres returns where the keepers stand.
func (w *world) dataCentres() []string {
	names := slices.Clone(w.entriesOnly)
	for _, m := range w.machines {
		if !slices.Contains(names, m.dataCentre) {
			names = append(names, m.dataCentre)
		}
	}
	return names
}

// QueryWitnesses implements Peers.
func (m *machine) QueryWitnesses(ctx context.Context, name string) []Witness {
	if m.pass(ctx) != nil {
		return nil
	}
	sleep(ctx, 2*wayTime)
	w := m.world
	w.witnessed.Add(1)
	var witnesses []Witness
	for _, dc := range w.dataCentres() {
		if w.isDeaf(dc) || w.isCut(m.name, entryIn(dc)) {
			continue
		}
		witnesses = append(witnesses, Witness{DataCentre: dc, HearsKeeper: w.runs(name) && !w.isCut(name, entryIn(dc))})
	}
	return witnesses
}

func (w *world) isRetiring(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.retiring == name
}

func (w *world) isDeaf(dataCentre string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.deaf[dataCentre]
}

// runs reports whether a keeper's process runs and is not frozen.
func (w *world) runs(name string) bool {
	m := w.machine(name)
	w.mu.Lock()
	defer w.mu.Unlock()
	return m != nil && m.process != nil && m.frozen == nil
}

// cutDataCentre cuts a data centre's keepers and entry off from all others.
func (w *world) cutDataCentre(dataCentre string, on bool) {
	inside, outside := w.places(dataCentre)
	for _, a := range inside {
		for _, b := range outside {
			w.cut(a, b, on)
		}
	}
}

// places returns the keepers and entries inside and outside of a data centre.
func (w *world) places(dataCentre string) (inside, outside []string) {
	for _, dc := range w.dataCentres() {
		if dc == dataCentre {
			inside = append(inside, entryIn(dc))
		} else {
			outside = append(outside, entryIn(dc))
		}
	}
	for _, m := range w.machines {
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
	if err := m.pass(ctx); err != nil {
		return Assignment{}, 0, err
	}
	sleep(ctx, 4*wayTime)
	w := m.world
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeCalls++
	w.storeReads++
	if w.storeDown || w.noStore == m.name || w.noStore == m.dataCentre {
		return Assignment{}, 0, store.ErrUnavailable
	}
	return w.assignment, w.version, w.readError
}

// Write implements Assignments.
func (m *machine) Write(ctx context.Context, a Assignment, base store.Version) (Assignment, store.Version, error) {
	if err := m.pass(ctx); err != nil {
		return Assignment{}, 0, err
	}
	sleep(ctx, 4*wayTime)
	w := m.world
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeCalls++
	switch {
	case w.storeDown || w.noStore == m.name || w.noStore == m.dataCentre:
		return Assignment{}, 0, store.ErrUnavailable
	case base != w.version:
		return w.assignment, w.version, store.ErrConflict
	}
	w.assignment = a
	w.version++
	if w.loseWrites > 0 {
		w.loseWrites--
		return Assignment{}, 0, store.ErrUnknown
	}
	return a, w.version, nil
}

// entryPoint is an instance that reserves and settles.
type entryPoint struct {
	world *world
	name  string
	// only, if set, is the one keeper in reach.
	only string
	// cutOff says that it hears nobody beyond its data centre.
	cutOff bool
}

// WhenSilent implements Keepers. Its silence shows in the time of the calls here.
func (e *entryPoint) OnSilence(string, func()) (stop func()) { return func() {} }

// CutOff implements Keepers.
func (e *entryPoint) Isolated() bool { return e.cutOff }

type remoteKeeper struct {
	historypb.Keeper
	e    *entryPoint
	name string
}

// Keeper implements Keepers.
func (e *entryPoint) Keeper(name string) (historypb.Keeper, bool) {
	if e.world.machine(name) == nil || e.only != "" && e.only != name {
		return nil, false
	}
	return &remoteKeeper{e: e, name: name}, true
}

func (r *remoteKeeper) Reserve(ctx context.Context, q *historypb.ReserveRequest) (*historypb.ReserveResponse, error) {
	return call(ctx, r.e.world, r.e.name, r.name, func(ctx context.Context, k *Keeper) (*historypb.ReserveResponse, error) {
		return k.Reserve(ctx, q)
	})
}

func (r *remoteKeeper) Settle(ctx context.Context, q *historypb.SettleRequest) (*historypb.SettleResponse, error) {
	return call(ctx, r.e.world, r.e.name, r.name, func(ctx context.Context, k *Keeper) (*historypb.SettleResponse, error) {
		return k.Settle(ctx, q)
	})
}

func (r *remoteKeeper) Draw(ctx context.Context, q *historypb.DrawRequest) (*historypb.DrawResponse, error) {
	return call(ctx, r.e.world, r.e.name, r.name, func(ctx context.Context, k *Keeper) (*historypb.DrawResponse, error) {
		return k.Draw(ctx, q)
	})
}

func (r *remoteKeeper) Find(ctx context.Context, q *historypb.FindRequest) (*historypb.FindResponse, error) {
	return call(ctx, r.e.world, r.e.name, r.name, func(ctx context.Context, k *Keeper) (*historypb.FindResponse, error) {
		return k.Find(ctx, q)
	})
}

// client returns a client whose assignment is the store's newest.
func (w *world) client(name string) *Client {
	return NewClient(&entryPoint{world: w, name: name}, func() (Assignment, bool) {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.assignment, w.version > 0
	}, w.logger("entry"))
}

func (w *world) setStore(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeDown = down
}

func (w *world) setNoStore(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noStore = name
}

func (w *world) setRetiring(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.retiring = name
}
