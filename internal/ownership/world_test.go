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

// world is a data centre of instances with one stand-in store.
type world struct {
	t testing.TB
	// manual reports whether instances reconcile only when the test calls Reconcile.
	manual       bool
	standIn      *standin.Store
	startedCount int

	mu        sync.Mutex
	instances []*instance
	// heldBy is the cohorts of the instances that held a copy of each event, for failure reports.
	heldBy map[string][]program.Cohort
	// steps counts the calls to the store and to peers.
	steps atomic.Int64
}

// maxSteps is far more than the calls of any plan. If instances call each other endlessly, the run
// stops at this number and reports their state.
const maxSteps = 100_000

// step counts a call of an instance and panics with the state of all instances after maxSteps calls.
func (w *world) step(what string) {
	if w.steps.Add(1) <= maxSteps {
		return
	}
	state := fmt.Sprintf("%d calls to the store and to peers, the last to %s, at %v", maxSteps, what, time.Now())
	for _, inst := range w.all(func(*instance) bool { return true }) {
		seal, number, fenced := inst.log.Fenced()
		state += fmt.Sprintf("\n%s: running %v, reachable %v, fenced %v (%v, %v), %d store calls",
			inst.self.Cohort, running(inst), reachable(inst), fenced, seal, number, inst.gate.calls.Load())
	}
	panic(state)
}

// gate is a store client that blocks while its instance is paused, both before a call is sent and
// before its response is returned. After a crash every call fails.
type gate struct {
	store.Client
	world   *world
	calls   atomic.Int64
	mu      sync.Mutex
	resume  chan struct{}
	crashed bool
}

// pass blocks while the instance is paused and fails after a crash.
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

// instance is one incarnation of an instance.
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
	// isolated reports whether the instance considers itself isolated: it counts nobody as living.
	isolated bool
}

func newWorld(t *testing.T) *world {
	return &world{t: t, standIn: standin.NewStore(), heldBy: map[string][]program.Cohort{}}
}

// start starts a new instance.
func (w *world) start(weight float64) *instance {
	w.startedCount++
	cohort := program.Cohort(fmt.Sprintf("sul1.i%d.%04d", w.startedCount, w.startedCount))
	inst := &instance{world: w, self: Member{Instance: fmt.Sprint("i", w.startedCount), Cohort: cohort, Addr: "10.0.0.1:7000", Weight: weight}}
	inst.metrics = metrics.NewRegistry()
	inst.gate = &gate{Client: w.standIn, world: w}
	inst.tracked = store.Track(inst.gate, nil)
	inst.held, _ = ledger.OpenHeldCopies("", 0)
	inst.owner = newFakeOwner(inst)
	var err error
	inst.log, err = ledger.Open(context.Background(), ledger.Options{
		Cohort: cohort, Address: inst.self.Addr, Store: inst.tracked, Holders: inst, Successors: inst, Snapshots: inst.owner,
		Registry: inst.metrics, WritesPerSecond: 200, WriteTimeout: time.Second,
		Compaction: ledger.CompactionOptions{MinEntries: 6, MaxEntries: 12},
	})
	if err != nil {
		w.t.Fatal(err)
	}
	inst.reconciler = New(Options{
		Self: inst.self, Store: inst.tracked, Log: inst.log, Members: inst, Adopter: inst.owner, Copies: inst, Outages: inst.tracked,
		Notifier: inst, Registry: inst.metrics, Interval: 3 * time.Second, Grace: 2 * time.Second, RankDelay: 500 * time.Millisecond,
	})
	ctx, cancel := context.WithCancel(context.Background())
	inst.cancel = cancel
	w.mu.Lock()
	w.instances = append(w.instances, inst)
	w.mu.Unlock()
	if !w.manual {
		inst.goroutines.Go(func() { inst.reconciler.Run(ctx) })
	}
	return inst
}

// all returns the instances that pass the filter.
func (w *world) all(filter func(*instance) bool) []*instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(w.instances), func(inst *instance) bool { return !filter(inst) })
}

func reachable(inst *instance) bool { return inst.crashedAt.IsZero() && !inst.paused && !inst.stopped }

func running(inst *instance) bool { return inst.crashedAt.IsZero() }

// crash ends an instance. Calls that it has sent may still take effect.
func (w *world) crash(inst *instance) {
	w.mu.Lock()
	inst.crashedAt = time.Now()
	w.mu.Unlock()
	inst.gate.mu.Lock()
	inst.gate.crashed = true
	inst.gate.mu.Unlock()
	w.resume(inst)
	inst.close()
	for _, other := range w.all(reachable) {
		other.goroutines.Go(func() { _ = other.log.ReplicateHeld(context.Background()) })
	}
}

// close stops the instance and waits for its goroutines.
func (inst *instance) close() {
	inst.cancel()
	inst.log.Close()
	inst.goroutines.Wait()
	inst.tracked.Close()
}

func (w *world) pause(inst *instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	inst.paused, inst.pausedAt = true, time.Now()
	inst.gate.mu.Lock()
	defer inst.gate.mu.Unlock()
	inst.gate.resume = make(chan struct{})
}

func (w *world) setIsolated(inst *instance, isolated bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	inst.isolated = isolated
}

func (w *world) resume(inst *instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	inst.gate.mu.Lock()
	defer inst.gate.mu.Unlock()
	if inst.paused {
		close(inst.gate.resume)
	}
	inst.paused, inst.gate.resume = false, nil
}

// Living implements Members.
func (inst *instance) Living() []Member {
	var out []Member
	for _, other := range inst.world.all(func(other *instance) bool { return reachable(other) && !inst.isolated }) {
		if _, _, fenced := other.log.Fenced(); !fenced {
			out = append(out, other.self)
		}
	}
	return out
}

// Find implements Members.
func (inst *instance) Find(c program.Cohort) (Member, bool) {
	if other := inst.world.find(c); other != nil {
		return other.self, true
	}
	return Member{}, false
}

// Dead implements Members. Every second crash is known at once. The others are noticed only by
// their absence, unless they never created their cohort's object or their last heartbeat said that
// they rely on peers' copies.
func (inst *instance) Dead() []Dead {
	var out []Dead
	for i, other := range inst.world.all(func(*instance) bool { return true }) {
		holding := other.log.ReliesOnCopies()
		if !running(other) && (i%2 == 0 || holding || !other.log.Created()) {
			out = append(out, Dead{Cohort: other.self.Cohort, Since: other.crashedAt, StoreDown: holding})
		} else if other.paused && holding {
			out = append(out, Dead{Cohort: other.self.Cohort, Since: other.pausedAt, StoreDown: true})
		}
	}
	return out
}

// Sealed implements Notifier.
func (inst *instance) Sealed(_ context.Context, m Member, c program.Cohort) {
	if other := inst.world.find(m.Cohort); other != nil {
		other.reconciler.ObserveSealed(c)
	}
}

func (w *world) find(c program.Cohort) *instance {
	for _, inst := range w.all(reachable) {
		if inst.self.Cohort == c {
			return inst
		}
	}
	return nil
}

// Hold implements ledger.Holders.
func (inst *instance) Hold(_ context.Context, c ledger.Copy) (int, error) {
	inst.world.step("holders")
	held := 0
	for _, other := range inst.world.all(reachable) {
		if other != inst && held < ledger.RequiredCopies && !other.reconciler.Sealed(c.Cohort) && other.held.Hold(c) == nil {
			held++
			inst.world.noteHeld(c, other.self.Cohort)
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
func (inst *instance) Release(_ context.Context, c program.Cohort, upTo uint64) {
	for _, other := range inst.world.all(running) {
		_ = other.held.Release(c, upTo)
	}
}

// Offer implements ledger.Successors.
func (inst *instance) Offer(ctx context.Context, seal *ledger.Seal, c ledger.Copy) error {
	inst.world.step("successors")
	for _, r := range c.Records {
		owner, err := inst.reconciler.Directory().Locate(ctx, r.Program)
		if err != nil {
			return err
		}
		other := inst.world.find(owner.Cohort)
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
func (inst *instance) Collect(_ context.Context, c program.Cohort) ([]ledger.Copy, int) {
	inst.world.step("copies")
	var copies []ledger.Copy
	unreached := 0
	for _, other := range inst.world.all(func(*instance) bool { return true }) {
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

// DropAll implements Copies.
func (inst *instance) DropAll(_ context.Context, c program.Cohort) {
	inst.Release(context.Background(), c, ^uint64(0))
}

// fakeOwner is a minimal owner of programs. The state of a program is the list of its events.
type fakeOwner struct {
	instance *instance
	mu       sync.Mutex
	programs map[program.ID]*fakeProgram
	// unproven are the shards of which all records of a program may be lost.
	unproven map[cohortShard]bool
}

type fakeProgram struct {
	// busy is a semaphore that serialises access to the program. It is a channel because the clock
	// of a synctest bubble stops while a goroutine waits for a mutex.
	busy      chan struct{}
	Events    []string
	Uncertain bool
	ended     bool
}

func newProgram() *fakeProgram { return &fakeProgram{busy: make(chan struct{}, 1)} }

func newFakeOwner(inst *instance) *fakeOwner {
	return &fakeOwner{instance: inst, programs: map[program.ID]*fakeProgram{}, unproven: map[cohortShard]bool{}}
}

// markUnproven records the shards that can't be proven complete, as an owner has to for ids that it
// does not know.
func (o *fakeOwner) markUnproven(a Adoption) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, c := range a.Unproven {
		o.unproven[cohortShard{c, a.Shard}] = true
	}
}

// isUnproven reports whether the id's shard can't be proven complete.
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
			o.insert(id, p) // otherwise late records would restore the program
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

// AdoptLate implements Adopter.
func (o *fakeOwner) AdoptLate(ctx context.Context, _ program.Cohort, records []ledger.Record) error {
	for _, r := range records {
		// All records of the program may arrive late.
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

// Instances call each other endlessly, so that a run of the machine would take minutes without any
// output. The run must stop and report the instances and their state.
func TestEndlessCallsStopWithStateReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.manual = true
		inst := w.start(1)
		defer inst.close()
		synctest.Wait() // the log's own first call must not be the one that exceeds maxSteps
		w.steps.Store(maxSteps)
		defer func() {
			w.steps.Store(0)
			if state, _ := recover().(string); !strings.Contains(state, string(inst.self.Cohort)+": running true") {
				t.Errorf("stopped with %q", state)
			}
		}()
		inst.world.step("the store")
	})
}
