package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"foxhall/internal/fuzzing"
	"foxhall/internal/peer/peerpb"
	"foxhall/internal/program"
	"foxhall/internal/standin"
	"foxhall/internal/store"
)

func TestMain(m *testing.M) {
	fuzzing.Fix(7, 20)
	os.Exit(fuzzing.RunWithoutLeaks(m))
}

var errNoConnection = errors.New("no connection")

// network carries encoded messages between instances in memory.
type network struct {
	mu      sync.Mutex
	nodes   map[string]*node
	cuts    map[[2]string]bool
	loss    float64
	delay   time.Duration
	rng     *rand.Rand
	sent    map[string]int
	bytes   map[string]int
	objects *standin.Store
	timing  Timing
}

// node is a running or stopped process.
type node struct {
	net     *network
	runner  *Runner
	cohort  program.Cohort
	address string
	cancel  context.CancelFunc
	done    chan struct{}
	resumed chan struct{} // nil while not paused
	events  []Event
}

func newNetwork() *network {
	return &network{
		nodes:   map[string]*node{},
		cuts:    map[[2]string]bool{},
		rng:     rand.New(rand.NewPCG(1, 2)),
		delay:   time.Millisecond,
		sent:    map[string]int{},
		bytes:   map[string]int{},
		objects: standin.NewStore(),
		timing:  DefaultTiming(),
	}
}

// start starts a process at an address of the form "dc-instance". incarnation is
// the last part of its cohort.
func (n *network) start(dataCentre, instance string, incarnation int) *node {
	return n.startSeeded(dataCentre, instance, incarnation)
}

func (n *network) startSeeded(dataCentre, instance string, incarnation int, seeds ...string) *node {
	cohort := program.Cohort(fmt.Sprintf("%s.%s.%d", dataCentre, instance, incarnation))
	nd := &node{net: n, cohort: cohort, address: dataCentre + "-" + instance, done: make(chan struct{})}
	nd.runner = NewRunner(Options{
		Self:      cohort,
		Address:   nd.address,
		Report:    Report{Size: 1, StoreHealthy: true},
		Seeds:     seeds,
		Store:     pausableStore{n.objects, nd},
		Transport: memoryTransport{nd},
		Timing:    n.timing,
		Seed:      uint64(len(n.nodes)*100 + incarnation),
		OnEvent:   func(e Event) { nd.events = append(nd.events, e) },
		Log:       &log.Logger{Handler: discard.New(), Level: log.ErrorLevel},
		Registry:  metrics.NewRegistry(),
	})
	n.mu.Lock()
	n.nodes[nd.address] = nd
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	nd.cancel = cancel
	go func() {
		defer close(nd.done)
		_ = nd.runner.Run(ctx)
	}()
	nd.runner.Ready()
	return nd
}

// kill ends a process without an announcement.
func (nd *node) kill() {
	nd.resume()
	nd.net.mu.Lock()
	if nd.net.nodes[nd.address] == nd {
		delete(nd.net.nodes, nd.address)
	}
	nd.net.mu.Unlock()
	nd.cancel()
	<-nd.done
}

// pause pauses a process: its outgoing and incoming messages wait.
func (nd *node) pause() {
	nd.net.mu.Lock()
	defer nd.net.mu.Unlock()
	if nd.resumed == nil {
		nd.resumed = make(chan struct{})
	}
}

func (nd *node) resume() {
	nd.net.mu.Lock()
	defer nd.net.mu.Unlock()
	if nd.resumed != nil {
		close(nd.resumed)
		nd.resumed = nil
	}
}

func (nd *node) pauseEnd() chan struct{} {
	nd.net.mu.Lock()
	defer nd.net.mu.Unlock()
	return nd.resumed
}

func (n *network) cut(from, to string) { n.cuts[[2]string{from, to}] = true }

func (n *network) cutBothWays(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut(a, b)
	n.cut(b, a)
}

func (n *network) heal() {
	n.mu.Lock()
	n.cuts, n.loss = map[[2]string]bool{}, 0
	nodes := make([]*node, 0, len(n.nodes))
	for _, nd := range n.nodes {
		nodes = append(nodes, nd)
	}
	n.mu.Unlock()
	for _, nd := range nodes {
		nd.resume()
	}
}

// route returns the receiver of a message after the network's delay. If the
// message is lost, it waits until ctx ends.
func (n *network) route(ctx context.Context, from *node, to string) (*node, error) {
	if frozen := from.pauseEnd(); frozen != nil {
		<-frozen // a paused process does not observe its own deadline either
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	time.Sleep(n.delay)
	n.mu.Lock()
	receiver, up := n.nodes[to]
	lost := n.cuts[[2]string{from.address, to}] || n.rng.Float64() < n.loss
	n.sent[from.address]++
	n.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if !up {
		return nil, errNoConnection
	}
	if frozen := receiver.pauseEnd(); frozen != nil {
		select {
		case <-frozen:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return receiver, nil
}

func (n *network) count(from string, messages ...proto.Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range messages {
		n.bytes[from] += proto.Size(m)
	}
}

// totalMessages returns the number of messages sent by all instances.
func (n *network) totalMessages() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	total := 0
	for _, sent := range n.sent {
		total += sent
	}
	return total
}

// totalBytes returns the encoded size of all heartbeats and their responses.
func (n *network) totalBytes() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	total := 0
	for _, bytes := range n.bytes {
		total += bytes
	}
	return total
}

// memoryTransport is a node's Transport over the network. Each message is encoded
// and decoded as on the wire.
type memoryTransport struct{ from *node }

func recode[M proto.Message](m M, into M) M {
	data, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	if err := proto.Unmarshal(data, into); err != nil {
		panic(err)
	}
	return into
}

func (m memoryTransport) Ping(ctx context.Context, to string, p Ping) (Pong, error) {
	receiver, err := m.from.net.route(ctx, m.from, to)
	if err != nil {
		return Pong{}, err
	}
	request := recode(pingToWire(p), &peerpb.PingRequest{})
	response, err := Service{receiver.runner}.Ping(ctx, request)
	if err != nil {
		return Pong{}, err
	}
	m.from.net.count(m.from.address, request, response)
	response = recode(response, &peerpb.PingResponse{})
	return pongFromWire(response.GetResponder(), response.GetRecords())
}

func (m memoryTransport) PingVia(ctx context.Context, to string, v IndirectPing) (IndirectPong, error) {
	receiver, err := m.from.net.route(ctx, m.from, to)
	if err != nil {
		return IndirectPong{}, err
	}
	response, err := Service{receiver.runner}.PingVia(ctx, recode(indirectPingToWire(v), &peerpb.PingViaRequest{}))
	if err != nil || ctx.Err() != nil {
		return IndirectPong{}, errors.Wrap(errNoConnection, "no response in time")
	}
	record, ok := fromWire(response.GetTarget())
	return IndirectPong{Reached: response.GetReached() && ok, Target: record}, nil
}

func (m memoryTransport) Join(ctx context.Context, to string, sender Record) (Pong, error) {
	receiver, err := m.from.net.route(ctx, m.from, to)
	if err != nil {
		return Pong{}, err
	}
	response, err := Service{receiver.runner}.Join(ctx, &peerpb.JoinRequest{Sender: toWire(sender)})
	if err != nil {
		return Pong{}, err
	}
	return pongFromWire(response.GetResponder(), response.GetRecords())
}

// startFleet starts size instances in each of the given number of data centres
// and waits until they know each other.
func (n *network) startFleet(centres, size int) []*node {
	var nodes []*node
	for c := range centres {
		for i := range size {
			nodes = append(nodes, n.start(fmt.Sprintf("dc%d", c), fmt.Sprintf("i%d", i), 1))
		}
	}
	time.Sleep(2 * time.Minute)
	return nodes
}

func (n *network) setStoreDown(down bool) { n.objects.SetFaults(standin.StoreFaults{Down: down}) }

func (n *network) stop() {
	n.heal()
	n.mu.Lock()
	var nodes []*node
	for _, nd := range n.nodes {
		nodes = append(nodes, nd)
	}
	n.mu.Unlock()
	for _, nd := range nodes {
		nd.kill()
	}
}

// stateOf returns the state of another node in this node's view; a removed member
// counts as dead.
func (nd *node) stateOf(other *node) State {
	m, ok := nd.runner.View().Member(other.cohort)
	if !ok {
		return Dead
	}
	return m.State
}

// checkNoneDeclaredDead checks that the node declared none of the others dead.
func (nd *node) checkNoneDeclaredDead(is *is.I, others []*node) {
	is.Helper()
	for _, other := range others {
		is.Equal(nd.eventCount(DeclaredDead, other.cohort), 0)
	}
}

func (nd *node) eventCount(kind EventKind, of program.Cohort) int {
	nd.runner.mu.Lock()
	defer nd.runner.mu.Unlock()
	count := 0
	for _, e := range nd.events {
		if e.Kind == kind && e.Member.Cohort == of {
			count++
		}
	}
	return count
}

// pausableStore is a node's object API; its calls wait while the node is paused.
type pausableStore struct {
	store.Client
	node *node
}

func (g pausableStore) wait() {
	if frozen := g.node.pauseEnd(); frozen != nil {
		<-frozen
	}
}

func (g pausableStore) List(ctx context.Context, kind, prefix string) ([]store.Object, error) {
	g.wait()
	return g.Client.List(ctx, kind, prefix)
}

func (g pausableStore) Put(ctx context.Context, key store.Key, value []byte, base store.Version) (store.Version, error) {
	g.wait()
	return g.Client.Put(ctx, key, value, base)
}

func (g pausableStore) Delete(ctx context.Context, key store.Key, base store.Version) error {
	g.wait()
	return g.Client.Delete(ctx, key, base)
}

func storeKey(c program.Cohort) store.Key { return store.Key{Kind: KindInstance, Name: string(c)} }
