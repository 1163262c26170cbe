package owner

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/cryptotest"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"pgregory.net/rapid"

	"foxhall/internal/chat"
	"foxhall/internal/fuzzing"
	"foxhall/internal/plan"
	"foxhall/internal/program"
	"foxhall/internal/step"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.steps", "120")
	fuzzing.Fix(20261202, 250)
	os.Exit(m.Run())
}

// What a gate's keeper decides.
const (
	ok               = "ok"
	crash            = "crash"   // the process dies here
	refused          = "refused" // not written, not admitted
	responseLost     = "lost"    // done, but the answer is lost
	dropped          = "nothing" // not done, and the answer is lost
	delayed          = "later"   // the answer is lost, and it is done after a while
	notSent          = "not sent"
	actThenHang      = "act" // the tool acts and then hangs
	expired          = "over"
	tooLarge         = "too large"
	writtenThenCrash = "written, then the process dies"
)

// gate is a point where a service waits for something outside.
type gate struct {
	kind string
	node *node
	work *Work
	ch   chan string
}

// world holds what is outside of the services: their logs, the tools and the
// engines, and a gate wherever a service waits for one of them.
type world struct {
	mu    sync.Mutex
	gates []*gate
	// auto decides a gate at once, or leaves it to the test with "".
	auto      func(g *gate) string
	storeDown bool
	nodes     []*node
	callers   []*caller
	effects   map[string]int
	// engine holds the history of each model run, oldest first.
	engineRuns  []engineRun
	answerCount int
	// reports are outcomes that former owners gave to the successor.
	reportCount int
	// incomplete says that successors die before an adoption is recorded as complete.
	incomplete bool
	// lookups says that the pay service knows its calls.
	lookupKnows bool
}

// node is one instance with its service and log.
type node struct {
	w       *world
	svc     *Service
	crashed atomic.Bool
	// adopting says that slices are still being taken over.
	adopting atomic.Bool
	sealed   bool
	records  []Record
	held     []Record
	delayed  []Record
	// torn says that a record was lost with its entry.
	torn bool
	// before are records of the log that this one did not wholly adopt.
	unadopted []Record
}

func newWorld() *world {
	w := &world{effects: map[string]int{}}
	w.auto = func(*gate) string { return ok }
	w.start()
	return w
}

func (w *world) start() *node {
	n := &node{w: w}
	name := fmt.Sprintf("i%d", len(w.nodes))
	svc, err := New(Options{
		Cohort:    program.NewCohort("dc", name),
		Log:       n,
		Executor:  n,
		Catalogue: w,
		Lookup:    w,
		Successor: n,
		Lease:     n,
		Residency: n,
		Logger:    &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
	})
	if err != nil {
		panic(err)
	}
	n.svc = svc
	w.nodes = append(w.nodes, n)
	return n
}

// Adopted implements Residency.
func (n *node) Adopted(program.ID) bool { return !n.adopting.Load() }

// last is the node that owns everything.
func (w *world) owner() *node { return w.nodes[len(w.nodes)-1] }

// await stops at a gate until the test, or the end of ctx, decides.
func (w *world) await(ctx context.Context, g *gate) string {
	w.mu.Lock()
	if g.node.crashed.Load() {
		w.mu.Unlock()
		runtime.Goexit()
	}
	if d := w.auto(g); d != "" {
		w.mu.Unlock()
		return g.decided(d)
	}
	g.ch = make(chan string, 1)
	w.gates = append(w.gates, g)
	w.mu.Unlock()
	select {
	case d := <-g.ch:
		return g.decided(d)
	case <-ctx.Done():
		w.mu.Lock()
		w.gates = slices.DeleteFunc(w.gates, func(other *gate) bool { return other == g })
		w.mu.Unlock()
		return g.decided(expired)
	}
}

func (g *gate) decided(d string) string {
	if d == crash || g.node.crashed.Load() {
		runtime.Goexit()
	}
	return d
}

// open lets the i-th waiting gate go on.
func (w *world) release(i int, d string) {
	g := w.takeGate(i)
	g.ch <- d
	synctest.Wait()
}

func (w *world) takeGate(i int) *gate {
	w.mu.Lock()
	defer w.mu.Unlock()
	g := w.gates[i]
	w.gates = slices.Delete(w.gates, i, i+1)
	return g
}

// waiting returns the gates' kinds.
func (w *world) waitingGates() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := []string{}
	for _, g := range w.gates {
		out = append(out, g.kind)
	}
	return out
}

func message(role, content string) chat.Message {
	raw, _ := json.Marshal(map[string]string{"role": role, "content": content})
	return chat.Message{Role: role, Raw: raw}
}

func text(m chat.Message) string {
	var body struct{ Content string }
	_ = json.Unmarshal(m.Raw, &body)
	return body.Content
}

var buyerPlan = &plan.Plan{Name: "buyer", Customer: "kerlouan", CutBasisPoints: 1000}

func modelCall(id program.ID, number int, user string) step.Call {
	return step.Call{Plan: buyerPlan, Program: id, Number: number,
		Model: &chat.Request{Model: "m", Messages: []chat.Message{message("user", user)}}}
}

func toolStep(id program.ID, number int, service, body string) step.Call {
	return step.Call{Plan: buyerPlan, Program: id, Number: number,
		Tool: &step.ToolRequest{Service: service, Method: "POST", Path: "/", Body: []byte(body)}}
}

func charge(id program.ID, number int, body string) step.Call {
	return toolStep(id, number, "pay", "charge "+body)
}

// sink keeps what a caller was given.
type recordingSink struct {
	mu   sync.Mutex
	text string
}

func (k *recordingSink) Begin(step.Result) error { return nil }

func (k *recordingSink) Chunk(data []byte) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.text += string(data)
	return nil
}

func (k *recordingSink) given() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.text
}

// caller is one call under way.
type caller struct {
	result step.Result
	ended  atomic.Bool
	sink   *recordingSink
	cancel context.CancelFunc
}

// call starts a call and returns once all is waiting.
func (w *world) call(n *node, call step.Call) *caller {
	ctx, cancel := context.WithCancel(context.Background())
	c := &caller{cancel: cancel, sink: &recordingSink{}}
	w.callers = append(w.callers, c)
	var k step.Sink
	if call.Model != nil && call.Model.Stream {
		k = c.sink
	}
	go func() {
		c.result = n.svc.Do(ctx, call, k)
		c.ended.Store(true)
	}()
	synctest.Wait()
	return c
}

func (w *world) close() {
	w.mu.Lock()
	for _, n := range w.nodes {
		n.crashed.Store(true)
	}
	gates := w.gates
	w.gates = nil
	w.mu.Unlock()
	for _, g := range gates {
		g.ch <- crash
	}
	for _, c := range w.callers {
		c.cancel()
	}
	synctest.Wait()
	for _, n := range w.nodes {
		n.svc.Close()
	}
}

// virtual runs a test in virtual time against a fresh world.
func inVirtualTime(t *testing.T, test func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		defer w.close()
		test(t, w)
	})
}

// explore is virtual for rapid, whose failures are panics that must leave the bubble.
func checkInVirtualTime(t *testing.T, test func(rt *rapid.T, w *world)) {
	rapid.Check(t, func(rt *rapid.T) {
		var failure any
		synctest.Test(t, func(t *testing.T) {
			cryptotest.SetGlobalRandom(t, 1) // ids, and so slices, are the same in each run
			w := newWorld()
			defer w.close()
			defer func() { failure = recover() }()
			test(rt, w)
		})
		if fmt.Sprintf("%T", failure) == "rapid.invalidData" {
			panic(failure) // rapid wants its own signals back, from a line of their own
		}
		if failure != nil {
			rt.Fatalf("%v", failure)
		}
	})
}

// pass lets virtual time pass.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}
