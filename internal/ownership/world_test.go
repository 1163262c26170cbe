package ownership

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"foxhall/internal/ledger"
	"foxhall/internal/program"
	"foxhall/internal/standin"
	"foxhall/internal/store"
)

// world is a data centre of instances over one stand-in store.
type world struct {
	t testing.TB
	// manual worlds don't run passes by themselves.
	manual  bool
	standIn *standin.Store
	started int

	mu        sync.Mutex
	instances []*instance
	// heldBy tells for each event which instances held a copy, for failures.
	heldBy map[string][]program.Cohort
	// steps counts the calls to the store and to peers.
	steps atomic.Int64
}

// stepsMost is far more than the calls of any plan. Instances that call each other without
// end stop the run there, and say in which state.
const maxSteps = 100_000

// step counts a call of an instance.
func (w *world) step(what string) {
	if w.steps.Add(1) <= maxSteps {
		return
	}
	state := fmt.Sprintf("%d calls to the store and to peers, the last to %s, at %v", maxSteps, what, time.Now())
	for _, n := range w.all(func(*instance) bool { return true }) {
		at, seal, fenced := n.log.Fenced()
		state += fmt.Sprintf("\n%s: running %v, reachable %v, fenced %v (%v, %v), %d store calls",
			n.self.Cohort, running(n), reachable(n), fenced, at, seal, n.gate.calls.Load())
	}
	panic(state)
}

// gate is a store client that stops while its instance is paused: before a
// call leaves and before its answer is seen. After a crash nothing passes.
type gate struct {
	store.Client
	world   *world
	calls   atomic.Int64
	mu      sync.Mutex
	resume  chan struct{}
	crashed bool
}

func (g *gate) pass() error {
	g.calls.Add(1)
	g.world.step("the store")
	g.mu.Lock()
	resume := g.resume
	g.mu.Unlock()
	if resume != nil {
		<-resume
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.crashed {
		return store.ErrUnknown
	}
	return nil
}

func (g *gate) Get(ctx context.Context, key store.Key) (store.Object, error) {
	if err := g.pass(); err != nil {
		return store.Object{}, err
	}
	object, err := g.Client.Get(ctx, key)
	return object, errors.Wrap(firstOf(g.pass(), err), "gate")
}

func (g *gate) Put(ctx context.Context, key store.Key, value []byte, base store.Version) (store.Version, error) {
	if err := g.pass(); err != nil {
		return 0, err
	}
	version, err := g.Client.Put(ctx, key, value, base)
	return version, firstOf(g.pass(), err)
}

func (g *gate) Delete(ctx context.Context, key store.Key, base store.Version) error {
	if err := g.pass(); err != nil {
		return err
	}
	err := g.Client.Delete(ctx, key, base)
	return firstOf(g.pass(), err)
}

func (g *gate) List(ctx context.Context, kind, prefix string) ([]store.Object, error) {
	if err := g.pass(); err != nil {
		return nil, err
	}
	objects, err := g.Client.List(ctx, kind, prefix)
	return objects, firstOf(g.pass(), err)
}

func firstOf(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// node is one incarnation of an instance.
type instance struct {
	world      *world
	self       Member
	gate       *gate
	tracked    *store.Tracked
	log        *ledger.Log
	reconciler *Reconciler
	held       *ledger.HeldCopies
	owner      *fakeOwner
	metrics    metrics.Registry
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	// paused, stopped and crashedAt are guarded by the world's lock.
	paused    bool
	pausedAt  time.Time
	stopped   bool
	crashedAt time.Time
	// isolated says that the instance sees itself cut off: it counts nobody as living.
	isolated bool
}

func newWorld(t *testing.T) *world {
	return &world{t: t, standIn: standin.NewStore(), heldBy: map[string][]program.Cohort{}}
}

// start brings up a new instance.
func (w *world) start(weight float64) *instance {
	w.started++
	cohort := program.Cohort(fmt.Sprintf("sul1.i%d.%04d", w.started, w.started))
	n := &instance{world: w, self: Member{Instance: fmt.Sprint("i", w.started), Cohort: cohort, Addr: "10.0.0.1:7000", Weight: weight}}
	n.metrics = metrics.NewRegistry()
	n.gate = &gate{Client: w.standIn, world: w}
	n.tracked = store.Track(n.gate, nil)
	n.held, _ = ledger.OpenHeldCopies("", 0)
	n.owner = newFakeOwner(n)
	var err error
	n.log, err = ledger.Open(context.Background(), ledger.Options{
		Cohort: cohort, Address: n.self.Addr, Store: n.tracked, Holders: n, Successors: n, Snapshots: n.owner,
		Registry: n.metrics, Writes: 200, WriteTimeout: time.Second,
		Compaction: ledger.CompactionOptions{MinEntries: 6, MaxEntries: 12},
	})
	if err != nil {
		w.t.Fatal(err)
	}
	n.reconciler = New(Options{
		Self: n.self, Store: n.tracked, Log: n.log, Members: n, Adopter: n.owner, Copies: n, Outages: n.tracked,
		Notifier: n, Registry: n.metrics, Interval: 3 * time.Second, Grace: 2 * time.Second, RankDelay: 500 * time.Millisecond,
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	w.mu.Lock()
	w.instances = append(w.instances, n)
	w.mu.Unlock()
	if !w.manual {
		n.goroutines.Go(func() { n.reconciler.Run(ctx) })
	}
	return n
}

// all returns the instances that pass the filter.
func (w *world) all(filter func(*instance) bool) []*instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(w.instances), func(n *instance) bool { return !filter(n) })
}

func reachable(n *instance) bool { return n.crashedAt.IsZero() && !n.paused && !n.stopped }

func running(n *instance) bool { return n.crashedAt.IsZero() }

// crash ends an instance. What it has sent may still take effect.
func (w *world) crash(n *instance) {
	w.mu.Lock()
	n.crashedAt = time.Now()
	w.mu.Unlock()
	n.gate.mu.Lock()
	n.gate.crashed = true
	n.gate.mu.Unlock()
	w.resume(n)
	n.close()
	for _, other := range w.all(reachable) {
		other.goroutines.Go(func() { _ = other.log.ReplicateHeld(context.Background()) })
	}
}

func (n *instance) close() {
	n.cancel()
	n.log.Close()
	n.goroutines.Wait()
	n.tracked.Close()
}

func (w *world) pause(n *instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n.paused, n.pausedAt = true, time.Now()
	n.gate.mu.Lock()
	defer n.gate.mu.Unlock()
	n.gate.resume = make(chan struct{})
}

func (w *world) setIsolated(n *instance, isolated bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n.isolated = isolated
}

func (w *world) resume(n *instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n.gate.mu.Lock()
	defer n.gate.mu.Unlock()
	if n.paused {
		close(n.gate.resume)
	}
	n.paused, n.gate.resume = false, nil
}

// Living implements Members.
func (n *instance) Living() []Member {
	var out []Member
	for _, other := range n.world.all(func(other *instance) bool { return reachable(other) && !n.isolated }) {
		if _, _, fenced := other.log.Fenced(); !fenced {
			out = append(out, other.self)
		}
	}
	return out
}

// Find implements Members.
func (n *instance) Find(c program.Cohort) (Member, bool) {
	if other := n.world.find(c); other != nil {
		return other.self, true
	}
	return Member{}, false
}

// Dead implements Members: every second crash is known at once, the others
// only show by their absence, unless they never made their cohort's object or
// their last heartbeat told that they rely on peers' copies.
func (n *instance) Dead() []Dead {
	var out []Dead
	for i, other := range n.world.all(func(*instance) bool { return true }) {
		holding := other.log.Holding()
		if !running(other) && (i%2 == 0 || holding || !other.log.Created()) {
			out = append(out, Dead{Cohort: other.self.Cohort, Since: other.crashedAt, StoreDown: holding})
		} else if other.paused && holding {
			out = append(out, Dead{Cohort: other.self.Cohort, Since: other.pausedAt, StoreDown: true})
		}
	}
	return out
}

// Sealed implements Notifier.
func (n *instance) Sealed(_ context.Context, m Member, c program.Cohort) {
	if other := n.world.find(m.Cohort); other != nil {
		other.reconciler.ObserveSealed(c)
	}
}

func (w *world) find(c program.Cohort) *instance {
	for _, n := range w.all(reachable) {
		if n.self.Cohort == c {
			return n
		}
	}
	return nil
}

// Hold implements ledger.Holders.
func (n *instance) Hold(_ context.Context, c ledger.Copy) (int, error) {
	n.world.step("holders")
	held := 0
	for _, other := range n.world.all(reachable) {
		if other != n && held < ledger.RequiredCopies && !other.reconciler.Sealed(c.Cohort) && other.held.Hold(c) == nil {
			held++
			n.world.noteHeld(c, other.self.Cohort)
		}
	}
	return held, nil
}

func (w *world) noteHeld(c ledger.Copy, by program.Cohort) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range c.Records {
		w.heldBy[string(r.Event)] = append(w.heldBy[string(r.Event)], by)
	}
}

// Release implements ledger.Holders.
func (n *instance) Release(_ context.Context, c program.Cohort, upTo uint64) {
	for _, other := range n.world.all(running) {
		_ = other.held.Release(c, upTo)
	}
}

// Offer implements ledger.Successors.
func (n *instance) Offer(ctx context.Context, seal *ledger.Seal, c ledger.Copy) error {
	n.world.step("successors")
	for _, r := range c.Records {
		owner, err := n.reconciler.Directory().Locate(ctx, r.Program)
		if err != nil {
			return err
		}
		other := n.world.find(owner.Cohort)
		if other == nil {
			return errors.New("successor unreachable")
		}
		part := ledger.Copy{Cohort: c.Cohort, Records: []ledger.Record{r}}
		if err := other.reconciler.AcceptOffered(ctx, part); err != nil {
			return err
		}
	}
	return nil
}

// Collect implements Copies.
func (n *instance) Collect(_ context.Context, c program.Cohort) ([]ledger.Copy, int) {
	n.world.step("copies")
	var copies []ledger.Copy
	unreached := 0
	for _, other := range n.world.all(func(*instance) bool { return true }) {
		switch {
		case other.self.Cohort == c:
		case reachable(other) || other.stopped && running(other):
			copies = append(copies, other.held.Held(c))
		case other.paused || time.Since(other.crashedAt) < 2*deathMargin:
			unreached++
		}
	}
	return copies, unreached
}

// Forget implements Copies.
func (n *instance) Forget(_ context.Context, c program.Cohort) {
	n.Release(context.Background(), c, ^uint64(0))
}

// fakeOwner is the simplest owner of programs: a program's state is the list
// of its events.
type fakeOwner struct {
	instance *instance
	mu       sync.Mutex
	programs map[program.ID]*fakeProgram
	// doubted are the slices of which programs may be lost whole.
	unproven map[cohortShard]bool
}

type fakeProgram struct {
	// busy serialises what is done with the program. It is a channel since a
	// goroutine that waits for a mutex stops a bubble's clock.
	busy      chan struct{}
	Events    []string
	Uncertain bool
	ended     bool
}

func newProgram() *fakeProgram { return &fakeProgram{busy: make(chan struct{}, 1)} }

func newFakeOwner(n *instance) *fakeOwner {
	return &fakeOwner{instance: n, programs: map[program.ID]*fakeProgram{}, unproven: map[cohortShard]bool{}}
}

// doubt remembers what can't be proven whole, as an owner has to for ids that
// it does not know.
func (o *fakeOwner) markUnproven(a Adoption) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, c := range a.Unproven {
		o.unproven[cohortShard{c, a.Shard}] = true
	}
}

func (o *fakeOwner) isUnproven(id program.ID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.unproven[cohortShard{id.Cohort(), id.Shard()}]
}

func (o *fakeOwner) lookup(id program.ID) *fakeProgram {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.programs[id]
}

func (o *fakeOwner) insert(id program.ID, p *fakeProgram) *fakeProgram {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.programs[id] == nil {
		o.programs[id] = p
	}
	return o.programs[id]
}

// Snapshot implements ledger.Snapshotter.
func (o *fakeOwner) Snapshot(id program.ID) ([]byte, bool) {
	p := o.lookup(id)
	if p == nil {
		return nil, false
	}
	p.busy <- struct{}{}
	defer func() { <-p.busy }()
	return p.encode(), !p.ended
}

func (p *fakeProgram) encode() []byte {
	data, err := json.Marshal(p)
	if err != nil {
		panic(err)
	}
	return data
}

// fold rebuilds programs from records.
func fold(records []ledger.Record) map[program.ID]*fakeProgram {
	programs := map[program.ID]*fakeProgram{}
	for _, r := range records {
		p := programs[r.Program]
		if p == nil {
			p = newProgram()
			programs[r.Program] = p
		}
		switch r.Kind {
		case ledger.Tombstone:
			p.ended = true
		case ledger.Snapshot:
			if err := json.Unmarshal(r.Event, p); err != nil {
				panic(err)
			}
		default:
			p.add(string(r.Event))
		}
	}
	return programs
}

func (p *fakeProgram) add(event string) {
	if !slices.Contains(p.Events, event) {
		p.Events = append(p.Events, event)
	}
}

// Adopt implements Adopter.
func (o *fakeOwner) Adopt(ctx context.Context, a Adoption) error {
	o.markUnproven(a)
	var group errgroup.Group
	for id, p := range fold(slices.Concat(a.Records, a.Tail.Records)) {
		if p.ended {
			o.insert(id, p) // late records must not bring it back
			continue
		}
		p.Uncertain = p.Uncertain || a.Tail.Uncertain
		p = o.insert(id, p)
		group.Go(func() error {
			return o.instance.log.Append(ctx, ledger.Record{Program: id, Event: p.encode(), Kind: ledger.Snapshot})
		})
	}
	return group.Wait()
}

// Late implements Adopter.
func (o *fakeOwner) AdoptLate(ctx context.Context, _ program.Cohort, records []ledger.Record) error {
	for _, r := range records {
		// Its first record may have come late, too.
		p := o.insert(r.Program, newProgram())
		p.busy <- struct{}{}
		present := slices.Contains(p.Events, string(r.Event))
		var err error
		if !present && !p.ended {
			err = o.instance.log.Append(ctx, ledger.Record{Program: r.Program, Event: r.Event})
		}
		if err == nil && !p.ended {
			p.add(string(r.Event))
		}
		<-p.busy
		if err != nil {
			return err
		}
	}
	return nil
}

// A run of the machine is busy for minutes and tells nothing: instances call each other
// without end. It must stop, and say who they are and how they stand.
func TestEndlessCallsAreStoppedWithTheirState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.manual = true
		n := w.start(1)
		defer n.close()
		synctest.Wait() // the log's own first call must not be the one too many
		w.steps.Store(maxSteps)
		defer func() {
			w.steps.Store(0)
			if state, _ := recover().(string); !strings.Contains(state, string(n.self.Cohort)+": running true") {
				t.Errorf("stopped with %q", state)
			}
		}()
		n.world.step("the store")
	})
}
