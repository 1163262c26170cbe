package budget

import (
	"context"
	"flag"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"pgregory.net/rapid"

	"foxhall/internal/plan"
	"foxhall/internal/standin"
	"foxhall/internal/store"
)

// flagsGiven is the set of flags on the command line.
var flagsGiven = map[string]bool{}

// TestMain fixes the seed unless the command line gives it.
func TestMain(m *testing.M) {
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { flagsGiven[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.steps": "60", "rapid.nofailfile": "true"} {
		if !flagsGiven[name] {
			_ = flag.Set(name, value)
		}
	}
	log.SetHandler(discard.New())
	os.Exit(m.Run())
}

// check runs a property that many times, unless the command line sets the number.
func check(t *testing.T, checks string, property func(*rapid.T)) {
	t.Helper()
	if !flagsGiven["rapid.checks"] {
		_ = flag.Set("rapid.checks", checks)
	}
	rapid.Check(t, property)
}

// planSource provides the plans in force on one instance.
type planSource struct {
	mu      sync.Mutex
	list    *plan.List
	version uint64
	changed chan struct{}
}

func (l *planSource) Plans() (*plan.List, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.list, l.version
}

func (l *planSource) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

func (l *planSource) set(list *plan.List, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version <= l.version {
		return
	}
	l.list, l.version = list, version
	close(l.changed)
	l.changed = make(chan struct{})
}

// testWindow is the budget window of the tests.
const testWindow = time.Minute

// onePlan returns a list with one plan with that token budget, or an empty list for 0.
func onePlan(tokens int64) *plan.List {
	if tokens == 0 {
		return plan.Restore(nil)
	}
	return plan.Restore([]plan.Plan{{
		Name: "p", Customer: "c", Budget: plan.Budget{Tokens: tokens, Window: plan.Duration(testWindow)},
	}})
}

// link is an instance's connection to the store. With staleReads, reads return the first object that
// any instance read.
type link struct {
	store.Client
	firstRead               map[store.Key]store.Object
	mu                      *sync.Mutex
	partitioned, staleReads bool
	// afterPut is called after each Put, if set.
	afterPut func()
}

func (l *link) Get(ctx context.Context, key store.Key) (store.Object, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.partitioned {
		return store.Object{}, store.ErrUnavailable
	}
	l.mu.Unlock()
	object, err := l.Client.Get(ctx, key)
	l.mu.Lock()
	if err != nil {
		return object, err
	}
	if _, ok := l.firstRead[key]; !ok {
		l.firstRead[key] = object
	}
	if l.staleReads {
		return l.firstRead[key], nil
	}
	return object, nil
}

func (l *link) Put(ctx context.Context, key store.Key, value []byte, base store.Version) (store.Version, error) {
	l.mu.Lock()
	partitioned, afterPut := l.partitioned, l.afterPut
	l.mu.Unlock()
	if partitioned {
		return 0, store.ErrUnavailable
	}
	if afterPut != nil {
		defer afterPut()
	}
	return l.Client.Put(ctx, key, value, base)
}

func (l *link) set(partitioned, staleReads bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partitioned, l.staleReads = partitioned, staleReads
}

// node is one instance with its allocator, a new one after each restart.
type node struct {
	*Allocator
	plans *planSource
	link  *link
	skew  time.Duration
	stop  context.CancelFunc
	done  chan struct{}
}

type world struct {
	store     *standin.Store
	firstRead map[store.Key]store.Object
	mu        sync.Mutex
	nodes     []*node
}

func newWorld(tokens int64, skews ...time.Duration) *world {
	w := &world{store: standin.NewStore(), firstRead: map[store.Key]store.Object{}}
	for _, skew := range skews {
		n := &node{skew: skew, plans: &planSource{changed: make(chan struct{})}}
		n.link = &link{Client: w.store, firstRead: w.firstRead, mu: &w.mu}
		n.plans.set(onePlan(tokens), 1)
		n.start()
		w.nodes = append(w.nodes, n)
	}
	return w
}

func (n *node) start() {
	n.Allocator = NewAllocator(n.link, n.plans, Options{
		Shards: 1, Horizon: 20 * time.Second, ShareDivisor: 4, Lead: 5 * time.Second, RenewInterval: 5 * time.Second,
		Now: func() time.Time { return time.Now().Add(n.skew) },
	})
	allocator := n.Allocator
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	n.done = make(chan struct{})
	done := n.done
	go func() {
		defer close(done)
		_ = allocator.Run(ctx)
	}()
}

// crash stops the allocator without returning its holdings.
func (n *node) crash() {
	n.stop()
	n.Allocator.cancel()
	<-n.done
	n.Allocator.draws.Wait()
}

func (w *world) close() {
	w.store.SetFaults(standin.StoreFaults{})
	for _, n := range w.nodes {
		n.crash()
	}
}

func (n *node) reserve(tokens int64) (*Reservation, error) {
	p := &plan.Plan{Name: "p"}
	return n.Allocator.Reserve(context.Background(), p, Cost{Tokens: tokens})
}

// inBubble runs f in virtual time and passes a panic, by which rapid reports a failure, on to the
// caller.
func inBubble(t *testing.T, f func()) {
	var caught any
	synctest.Test(t, func(*testing.T) {
		defer func() { caught = recover() }()
		f()
	})
	if caught != nil {
		panic(caught)
	}
}
