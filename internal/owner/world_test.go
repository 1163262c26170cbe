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

// Decisions on an operation that waits at a gate.
const (
	ok               = "ok"
	crash            = "crash"         // the process crashes before the operation
	refused          = "refused"       // not written, or not admitted
	responseLost     = "response lost" // executed, but its response is lost
	dropped          = "dropped"       // not executed, and no response comes
	delayed          = "delayed"       // its response is lost, and it is executed later
	notSent          = "not sent"
	actThenHang      = "act, then hang" // the tool has its effect and then hangs
	expired          = "expired"        // the operation's context ended first
	tooLarge         = "too large"
	writtenThenCrash = "written, then crash"
)

// gate is an operation outside the service that a service waits for.
type gate struct {
	kind string
	node *node
	work *Work
	ch   chan string
}

// world simulates what is outside the services (their logs, the tools and the engines), with a gate
// at each operation that a service waits for.
type world struct {
	mu    sync.Mutex
	gates []*gate
	// decideGate returns the decision on a gate, or "" to let the operation wait for the test.
	decideGate func(g *gate) string
	storeDown  bool
	nodes      []*node
	callers    []*caller
	effects    map[string]int
	// engineRuns are all model runs, oldest first.
	engineRuns  []engineRun
	answerCount int
	// reportCount is the number of outcomes that former owners reported to the successor.
	reportCount int
	// adoptionIncomplete indicates that a successor crashes before its adoption is recorded as
	// complete.
	adoptionIncomplete bool
	// lookupKnows indicates that lookups find the calls that had their effect.
	lookupKnows bool
}

// node is one instance with its service and log.
type node struct {
	w       *world
	svc     *Service
	crashed atomic.Bool
	// adopting indicates that shards are still being adopted.
	adopting atomic.Bool
	sealed   bool
	// records are those in the log, held those that only peers have, delayed those of appends that
	// were answered with ErrOutcomeUnknown and are written later.
	records []Record
	held    []Record
	delayed []Record
	// recordLost indicates that the log lost a record together with its entry.
	recordLost bool
	// unadopted are the records of logs whose adoption into this one is not complete.
	unadopted []Record
}

func newWorld() *world {
	w := &world{effects: map[string]int{}}
	w.decideGate = func(*gate) string { return ok }
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

// owner returns the node that owns all programs: the last one started.
func (w *world) owner() *node { return w.nodes[len(w.nodes)-1] }

// waitAtGate waits for the decision on an operation. It is expired if ctx ends first.
func (w *world) waitAtGate(ctx context.Context, g *gate) string {
	w.mu.Lock()
	if g.node.crashed.Load() {
		w.mu.Unlock()
		runtime.Goexit()
	}
	if d := w.decideGate(g); d != "" {
		w.mu.Unlock()
		return g.proceed(d)
	}
	g.ch = make(chan string, 1)
	w.gates = append(w.gates, g)
	w.mu.Unlock()
	select {
	case d := <-g.ch:
		return g.proceed(d)
	case <-ctx.Done():
		w.mu.Lock()
		w.gates = slices.DeleteFunc(w.gates, func(other *gate) bool { return other == g })
		w.mu.Unlock()
		return g.proceed(expired)
	}
}

// proceed returns the decision, or ends the goroutine if the process has crashed.
func (g *gate) proceed(d string) string {
	if d == crash || g.node.crashed.Load() {
		runtime.Goexit()
	}
	return d
}

// release lets the i-th waiting operation proceed with the decision d.
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

// waitingGates returns the kinds of the waiting operations.
func (w *world) waitingGates() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	kinds := []string{}
	for _, g := range w.gates {
		kinds = append(kinds, g.kind)
	}
	return kinds
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

var testPlan = &plan.Plan{Name: "buyer", Customer: "kerlouan", CutBasisPoints: 1000}

func modelCall(id program.ID, number int, user string) step.Call {
	return step.Call{Plan: testPlan, Program: id, Number: number,
		Model: &chat.Request{Model: "m", Messages: []chat.Message{message("user", user)}}}
}

func toolStep(id program.ID, number int, service, body string) step.Call {
	return step.Call{Plan: testPlan, Program: id, Number: number,
		Tool: &step.ToolRequest{Service: service, Method: "POST", Path: "/", Body: []byte(body)}}
}

func charge(id program.ID, number int, body string) step.Call {
	return toolStep(id, number, "pay", "charge "+body)
}

// recordingSink records what was streamed to a caller.
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

func (k *recordingSink) received() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.text
}

// caller is one call in flight.
type caller struct {
	result step.Result
	ended  atomic.Bool
	sink   *recordingSink
	cancel context.CancelFunc
}

// call starts a call and returns once all goroutines wait.
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

// inVirtualTime runs a test in virtual time with a new world.
func inVirtualTime(t *testing.T, test func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		defer w.close()
		test(t, w)
	})
}

// checkInVirtualTime is inVirtualTime for rapid tests. A rapid failure is a panic, which must be
// passed on outside the synctest bubble.
func checkInVirtualTime(t *testing.T, test func(rt *rapid.T, w *world)) {
	rapid.Check(t, func(rt *rapid.T) {
		var failure any
		synctest.Test(t, func(t *testing.T) {
			cryptotest.SetGlobalRandom(t, 1) // makes ids, and so shards, the same in each run
			w := newWorld()
			defer w.close()
			defer func() { failure = recover() }()
			test(rt, w)
		})
		if fmt.Sprintf("%T", failure) == "rapid.invalidData" {
			panic(failure) // a signal of rapid itself, which must reach it as a panic from a separate line
		}
		if failure != nil {
			rt.Fatalf("%v", failure)
		}
	})
}

// advance advances virtual time by d.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}
