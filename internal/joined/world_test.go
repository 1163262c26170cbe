package joined

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/config"
	"foxhall/internal/fuzzing"
	"foxhall/internal/instance"
	"foxhall/internal/load"
	"foxhall/internal/plan"
	"foxhall/internal/settings"
	"foxhall/internal/standin"
	"foxhall/internal/usage"
)

func TestMain(m *testing.M) {
	fuzzing.Fix(20261202, 12)
	// go-metrics starts a goroutine with its first meter that never ends, so it must start outside
	// the synctest bubble of a test.
	metrics.NewMeter()
	log.SetHandler(discard.New())
	os.Exit(m.Run())
}

// Keys of the customers: one for each scenario, and one with a small budget.
const (
	kerlouanKey = "joined-kerlouan-key"
	sementeKey  = "joined-semente-key"
	thriftKey   = "joined-thrift-key"
	// thriftTokens is the small budget, in tokens. Its model runs on separate engines, so that their
	// counts equal what the plan spent.
	thriftTokens = 3000
)

// dataCentres lists the data centres with their number of instances.
var dataCentres = []struct {
	dataCentre string
	instances  int
}{{"a", 3}, {"b", 2}}

// world holds instances in two data centres and the stand-ins that they share, on an in-memory
// network. Hosts are named "a/1#2": data centre, number of the instance, count of starts.
type world struct {
	network *standin.Network
	store   *standin.Store
	tools   map[string]*standin.Tool
	engines map[string]*standin.Engine
	servers []*http.Server
	running sync.WaitGroup

	mu     sync.Mutex
	nodes  map[string]*node
	starts int
	// acceptedVersion is the highest version that an operator got as accepted.
	acceptedVersion uint64
	edits           int
	// faultChanges counts how often the faults of each engine were set.
	faultChanges map[*standin.Engine]int
	calls        *callOrder
	// acceptedEdits are the edits that operators got as accepted.
	acceptedEdits []acceptedEdit
}

// node is one running instance with the function that stops it.
type node struct {
	name, host string
	instance   *instance.Instance
	stop       context.CancelFunc
	ended      chan struct{}
}

const storeAddress = "127.0.0.1:900"

// Durations of steps, long enough that most events meet some steps in flight: a model step takes a
// third of a second or more at decodeSpeed (tokens per second), a step at a service takes toolTime.
const (
	decodeSpeed = 80
	toolTime    = 200 * time.Millisecond
)

func newWorld() (*world, error) {
	w := &world{
		network: standin.NewNetwork(), store: standin.NewStore(),
		tools: map[string]*standin.Tool{}, engines: map[string]*standin.Engine{}, nodes: map[string]*node{},
		faultChanges: map[*standin.Engine]int{}, calls: newCallOrder(),
	}
	if err := w.serve("store", storeAddress, w.store.Handler()); err != nil {
		return nil, err
	}
	for n, s := range dataCentres {
		w.tools[s.dataCentre] = standin.NewTool("auction")
		w.tools[s.dataCentre].SetFaults(standin.ToolFaults{Delay: toolTime})
		if err := w.serve(s.dataCentre+"/tool", fmt.Sprintf("127.0.0.1:%d", 950+n), w.tools[s.dataCentre].Handler()); err != nil {
			return nil, err
		}
		for k, name := range []string{"fast", "slow", "thrift"} {
			if err := w.startEngine(s.dataCentre, name, fmt.Sprintf("127.0.0.1:%d", 910+10*n+k), 1-0.3*float64(k)); err != nil {
				return nil, err
			}
		}
	}
	return w, w.edit(context.Background(), nil)
}

func (w *world) serve(host, address string, h http.Handler) error {
	l, err := w.network.Host(host).Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h}
	w.servers = append(w.servers, server)
	w.running.Go(func() { _ = server.Serve(l) })
	return nil
}

func (w *world) startEngine(dc, name, address string, speed float64) error {
	e := standin.NewEngine(standin.EngineConfig{
		Name: dc + "-" + name, Slots: 16, MaxQueue: 64, CacheTokens: 20000, PrefillSpeed: 20000 * speed, DecodeSpeed: decodeSpeed * speed,
		BatchSlowdown: 0.03, Models: []string{modelOf(name)}, LoadLag: 100 * time.Millisecond, EventLag: 50 * time.Millisecond, KVSpeed: 1e5, ChunkTokens: 4, OnCall: w.calls.record,
	})
	w.engines[dc+"-"+name] = e
	return w.serve(dc+"/"+name, address, e.Handler())
}

func plansText(steps int) []byte {
	text := []byte{}
	for _, p := range []struct {
		name, key string
		tokens    int
	}{{"bids", kerlouanKey, 0}, {"pledges", sementeKey, 0}, {"thrift", thriftKey, thriftTokens}} {
		text = fmt.Appendf(text, "[[plan]]\nname = %q\ncustomer = %q\nkey_hashes = [%q]\n[plan.bounds]\nsteps = %d\n", p.name, p.name, plan.HashKey(p.key), steps)
		if p.tokens > 0 {
			text = fmt.Appendf(text, "[plan.budget]\ntokens = %d\nwindow = \"1h\"\n", p.tokens)
		}
	}
	return text
}

func usageText() []byte {
	text := []byte("[[model]]\nname = \"oak\"\n[[model]]\nname = \"thrift\"\n[[service]]\nname = \"auction\"\nrepeatable = [\"POST /quote\"]\n")
	for n, s := range dataCentres {
		for k, name := range []string{"fast", "slow", "thrift"} {
			text = fmt.Appendf(text, "[[upstream]]\nname = \"%s-%s\"\nkind = \"engine\"\naddress = \"127.0.0.1:%d\"\ndata_centre = %q\nmodels = [%q]\nslots = 16\ncache_tokens = 20000\n",
				s.dataCentre, name, 910+10*n+k, s.dataCentre, modelOf(name))
		}
		text = fmt.Appendf(text, "[[upstream]]\nname = \"%s-auction\"\nkind = \"service\"\naddress = \"127.0.0.1:%d\"\ndata_centre = %q\nservice = \"auction\"\nslots = 64\n", s.dataCentre, 950+n, s.dataCentre)
	}
	for _, g := range []string{"bids", "pledges", "thrift"} {
		text = fmt.Appendf(text, "[[grant]]\nplan = %q\nmodels = [%q]\nservices = [\"auction\"]\ndata_centres = [\"a\", \"b\"]\nlatency_weight = 1.0\n", g, modelOf(g))
	}
	return text
}

// modelOf returns the model of the engine or plan with the given name.
func modelOf(name string) string {
	if name == "thrift" {
		return "thrift"
	}
	return "oak"
}

// edit changes the bound on steps, which no program reaches, as an operator would, and records the
// version if the edit is accepted.
func (w *world) edit(ctx context.Context, client *config.Editor) error {
	if client == nil {
		client = config.NewEditor(w.store)
	}
	w.mu.Lock()
	w.edits++
	steps := 200 + w.edits
	w.mu.Unlock()
	plans, err := plan.Parse(plansText(steps))
	if err != nil {
		return err
	}
	uses, err := usage.Parse(usageText())
	if err != nil {
		return err
	}
	_, base, err := client.Get(ctx, 0)
	if err != nil && !strings.Contains(err.Error(), "no version") {
		base = 0
	}
	accepted, err := client.Apply(ctx, config.Proposal{Operator: "joined", Base: base, Plans: plans, Usage: uses})
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.acceptedVersion = max(w.acceptedVersion, accepted.Version)
	w.acceptedEdits = append(w.acceptedEdits, acceptedEdit{base: base, version: accepted.Version, steps: steps})
	return nil
}

// start starts an instance with its fixed addresses.
func (w *world) start(dc string, number int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	name := fmt.Sprintf("%s/%d", dc, number)
	host := fmt.Sprintf("%s#%d", name, w.starts)
	s := settings.Default()
	s.Instance, s.DataCentre = fmt.Sprintf("%s-%d", dc, number), dc
	s.Listen = settings.Listen{Callers: callersAddress(dc, number), Peers: peersAddress(dc, number)}
	s.Store.URL, s.Store.Timeout = "http://"+storeAddress, settings.Duration(500*time.Millisecond)
	s.Peers.Secret = "joined-joined-joined"
	for _, other := range dataCentres {
		for n := range other.instances {
			s.Peers.Seeds = append(s.Peers.Seeds, peersAddress(other.dataCentre, n+1))
		}
	}
	i, err := instance.NewWithNetwork(w.network.Host(host), s)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	n := &node{name: name, host: host, instance: i, stop: stop, ended: make(chan struct{})}
	w.nodes[name] = n
	w.running.Go(func() { w.run(ctx, n, s) })
	return nil
}

// run runs the instance as the serve command does: after an incarnation is fenced, it starts a new
// one.
func (w *world) run(ctx context.Context, n *node, s settings.Settings) {
	defer close(n.ended)
	for {
		if err := n.instance.Run(ctx); err == nil || ctx.Err() != nil {
			return
		}
		next, err := instance.NewWithNetwork(w.network.Host(n.host), s)
		if err != nil {
			return
		}
		w.mu.Lock()
		n.instance = next
		w.mu.Unlock()
	}
}

func callersAddress(dc string, number int) string {
	return fmt.Sprintf("127.0.0.1:%d", 2000+100*int(dc[0]-'a')+number)
}

func peersAddress(dc string, number int) string {
	return fmt.Sprintf("127.0.0.1:%d", 3000+100*int(dc[0]-'a')+number)
}

// client returns a client that sends to all instances with the key.
func (w *world) client(key string) *load.Client {
	var targets []string
	for _, s := range dataCentres {
		for n := range s.instances {
			targets = append(targets, "http://"+callersAddress(s.dataCentre, n+1))
		}
	}
	return load.NewClientWithDialer(w.network.Host("caller").DialContext, targets, key)
}

// effects returns how often each key took effect, summed over all services.
func (w *world) effects() map[string]int {
	sum := map[string]int{}
	for _, t := range w.tools {
		for key, n := range t.Effects() {
			sum[key] += n
		}
	}
	return sum
}

// close stops all instances and servers, so that the synctest bubble can end.
func (w *world) close() {
	w.mu.Lock()
	nodes := make([]*node, 0, len(w.nodes))
	for _, n := range w.nodes {
		nodes = append(nodes, n)
	}
	w.mu.Unlock()
	for _, n := range nodes {
		n.stop()
	}
	for _, n := range nodes {
		<-n.ended
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	w.running.Wait()
}
