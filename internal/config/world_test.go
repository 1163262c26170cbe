package config

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/pkg/errors"

	"foxhall/internal/fuzzing"
	"foxhall/internal/plan"
	"foxhall/internal/standin"
	"foxhall/internal/store"
	"foxhall/internal/usage"
)

func TestMain(m *testing.M) {
	fuzzing.Fix(20261202, 40)
	log.SetHandler(discard.New())
	os.Exit(m.Run())
}

// firstReads stores the first object that any client read for each key, to be returned by stale
// reads.
type firstReads struct {
	mu      sync.Mutex
	objects map[store.Key]store.Object
}

// faultyClient is the store client of one instance or operator, with its own faults.
type faultyClient struct {
	store.Client
	firstReads *firstReads

	mu          sync.Mutex
	unreachable bool
	staleReads  bool
	cancels     []context.CancelFunc
}

// setFaults replaces the client's faults and ends its watches. While unreachable, all calls fail
// except Delete and List; with staleReads, reads return the first object read.
func (c *faultyClient) setFaults(unreachable, staleReads bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreachable, c.staleReads = unreachable, staleReads
	for _, cancel := range c.cancels {
		cancel()
	}
	c.cancels = nil
}

func (c *faultyClient) faults() (unreachable, staleReads bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unreachable, c.staleReads
}

func (c *faultyClient) Get(ctx context.Context, key store.Key) (store.Object, error) {
	unreachable, staleReads := c.faults()
	if unreachable {
		return store.Object{}, store.ErrUnavailable
	}
	object, err := c.Client.Get(ctx, key)
	if err != nil {
		return object, err
	}
	c.firstReads.mu.Lock()
	defer c.firstReads.mu.Unlock()
	if _, ok := c.firstReads.objects[key]; !ok {
		c.firstReads.objects[key] = object
	}
	if staleReads {
		return c.firstReads.objects[key], nil
	}
	return object, nil
}

func (c *faultyClient) Put(ctx context.Context, key store.Key, value []byte, base store.Version) (store.Version, error) {
	if unreachable, _ := c.faults(); unreachable {
		return 0, store.ErrUnavailable
	}
	return c.Client.Put(ctx, key, value, base)
}

func (c *faultyClient) Watch(ctx context.Context, kind string, from store.Version) (<-chan store.Event, error) {
	if unreachable, _ := c.faults(); unreachable {
		return nil, store.ErrUnavailable
	}
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	c.cancels = append(c.cancels, cancel)
	c.mu.Unlock()
	return c.Client.Watch(ctx, kind, from)
}

// node is an instance with its present source, which a restart replaces.
type node struct {
	source     atomic.Pointer[Source]
	isolated   atomic.Bool
	cluster    *cluster
	index      int
	client     *faultyClient
	dataFolder string
	stop       func()
	// highestVersion is the highest version seen in force on the instance.
	highestVersion uint64
}

// cluster is a store with instances and operators.
type cluster struct {
	store      *standin.Store
	firstReads *firstReads
	nodes      []*node
	operators  []*faultyClient
}

// newCluster starts an instance for each data folder; an empty folder stands for no disk.
func newCluster(folders ...string) *cluster {
	c := &cluster{store: standin.NewStore(), firstReads: &firstReads{objects: map[store.Key]store.Object{}}}
	for i, folder := range folders {
		n := &node{cluster: c, index: i, dataFolder: folder, client: c.newClient()}
		c.nodes = append(c.nodes, n)
		n.source.Store(n.newSource())
	}
	for _, n := range c.nodes {
		n.run()
	}
	for range 3 {
		c.operators = append(c.operators, c.newClient())
	}
	return c
}

func (c *cluster) newClient() *faultyClient {
	return &faultyClient{Client: c.store, firstReads: c.firstReads}
}

func (c *cluster) close() {
	for _, n := range c.nodes {
		n.stop()
	}
}

func (n *node) Current() *Current { return n.source.Load().Current() }

// newSource returns a source for the next run of the instance.
func (n *node) newSource() *Source {
	return NewSource(n.client, Options{Peers: n, DataFolder: n.dataFolder, PollInterval: 30 * time.Second})
}

func (n *node) start() {
	n.source.Store(n.newSource())
	n.run()
}

// run runs the present source until stop is called.
func (n *node) run() {
	ctx, cancel := context.WithCancel(context.Background())
	source := n.source.Load()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = source.Run(ctx)
	}()
	n.stop = func() { cancel(); <-done }
}

// Sample implements Peers.
func (n *node) Sample(count int) []Peer {
	var peers []Peer
	for _, i := range rand.Perm(len(n.cluster.nodes)) {
		if i != n.index && len(peers) < count {
			peers = append(peers, peerLink{from: n, to: n.cluster.nodes[i]})
		}
	}
	return peers
}

// peerLink is a peer reached over a network that can be partitioned.
type peerLink struct{ from, to *node }

var errPartitioned = errors.New("partition")

func (p peerLink) Name() string { return fmt.Sprint(p.to.index) }

func (p peerLink) checkReachable() error {
	if p.from.isolated.Load() || p.to.isolated.Load() {
		return errPartitioned
	}
	return nil
}

func (p peerLink) Version(context.Context) (uint64, error) {
	return p.to.source.Load().Version(), p.checkReachable()
}

func (p peerLink) Export(_ context.Context, have ChunkInventory) (Update, error) {
	return p.to.source.Load().Export(have), p.checkReachable()
}

func (p peerLink) Offer(_ context.Context, update Update) ([]Digest, error) {
	if err := p.checkReachable(); err != nil {
		return nil, err
	}
	return p.to.source.Load().Offer(update)
}

// withTokens returns the plans with one plan's token budget set, or without the plan.
func withTokens(plans *plan.List, name string, tokens int64) *plan.List {
	var next []plan.Plan
	found := false
	for _, p := range plans.Plans {
		if p.Name == name {
			found = true
			p.Budget.Tokens = tokens
		}
		next = append(next, p)
	}
	if !found {
		next = append(next, testPlan(name, tokens))
	}
	return plan.Restore(next)
}

func testPlan(name string, tokens int64) plan.Plan {
	return plan.Plan{
		Name: name, Customer: "customer-" + name, KeyHashes: []string{plan.HashKey("key of " + name)},
		Budget: plan.Budget{Tokens: tokens, Window: plan.Duration(time.Hour)},
		Limits: plan.Limits{Rate: 10, Concurrency: 4},
	}
}

// testUsage returns a usage list that grants each plan one model.
func testUsage(plans *plan.List) *usage.List {
	list := &usage.List{
		Models:   []usage.Model{{Name: "oak"}, {Name: "elm"}},
		Services: []usage.Service{{Name: "ledger", Repeatable: []string{"GET /*"}}},
		Upstreams: []usage.Upstream{
			{Name: "e1", Kind: usage.KindEngine, Address: "127.0.0.1:9001", DataCentre: "a", Models: []string{"oak", "elm"}, Slots: 8},
			{Name: "s1", Kind: usage.KindService, Address: "127.0.0.1:9002", DataCentre: "b", Service: "ledger", Slots: 8},
		},
	}
	for _, p := range plans.Plans {
		list.Grants = append(list.Grants, usage.Grant{Plan: p.Name, Models: []string{"oak"}, DataCentres: []string{"a"}, LatencyWeight: 1})
	}
	list.Index()
	return list
}

func makeFolder(t *testing.T, folder string) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		t.Fatal(err)
	}
}
