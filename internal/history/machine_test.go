package history

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"foxhall/internal/gateway"
)

// action is one step of a plan, drawn before the run so that it can be replayed.
type action struct {
	Kind string
	A, B int
	For  time.Duration
}

var actionKinds = []string{
	"turn", "turn", "turn", "turn", "turn", "turn", "abandon", "unknown", "draw", "draw", "draw", "draw", "newentry",
	"kill", "power", "wipe", "freeze", "cut", "store", "lose", "powerall", "wait",
}

func drawPlan(rt *rapid.T, kinds []string) []action {
	kind := rapid.SampledFrom(kinds)
	anyAction := rapid.Custom(func(rt *rapid.T) action {
		return action{
			Kind: kind.Draw(rt, "kind"),
			A:    rapid.IntRange(0, 1000).Draw(rt, "a"),
			B:    rapid.IntRange(0, 1000).Draw(rt, "b"),
			For:  time.Duration(rapid.IntRange(20, 4000).Draw(rt, "ms")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(anyAction, 10, 50).Draw(rt, "plan")
}

const (
	testBudget          = 100
	testMaxOutputTokens = 20
	// settledIn is how long keepers take at the most to be whole again after
	// all faults are over: they notice a loss, change keepers and fill the new one.
	convergenceTime = 5 * time.Second
	programCount    = 3
	// drawBudget is that of programs whose turns are not kept; drawMost and
	// drawTurns make their turns reach it.
	unretainedBudget          = 300
	unretainedMaxOutputTokens = 25
	unretainedTurnCount       = 10
)

// oracle is what callers were told.
type oracle struct {
	mu       sync.Mutex
	failures []string
	// kept are the acknowledged turns of each program, with their chains.
	retained [programCount][]acknowledgedTurn
	// made counts the tokens that callers of each program may have got, drawn
	// those of the programs whose turns are not kept.
	outputTokens     [programCount]int
	unretainedTokens [programCount]int
	// entries are the clients of the instances that callers reach.
	entries   map[int]*Client
	turnCount int
	calls     sync.WaitGroup
}

type acknowledgedTurn struct {
	id    string
	chain []string
}

func (o *oracle) fail(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failures = append(o.failures, fmt.Sprintf(format, args...))
}

// note counts what the runs went through, so that a machine that no longer
// reaches a fault is seen.
func (r *run) countEvent(event string) {
	r.oracle.mu.Lock()
	defer r.oracle.mu.Unlock()
	r.eventCounts[event]++
}

type run struct {
	*cluster
	oracle
	eventCounts map[string]int
	// lostUntil is until when one disk counts as lost, after which another may be.
	diskLostUntil time.Time
}

// TestKeepersMachine runs random plans of turns and faults over four keepers, of
// which one at a time may lose its disk. A turn whose end was acknowledged is
// found with its whole chain, or nothing is said of it; "no such turn" is only
// said of one that never was; a program's turns never make more than its
// budget; and some seconds after the last fault everything is served.
func TestRandomFaults(t *testing.T) {
	eventCounts := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawPlan(rt, actionKinds)
		var failures []string
		synctest.Test(t, func(t *testing.T) { failures = runPlan(t, newCluster(t, 4, 1), plan, eventCounts) })
		if len(failures) > 0 {
			rt.Fatalf("%v", failures[:min(3, len(failures))])
		}
	})
	t.Log(eventCounts)
}

// TestKeepersMachineOfThreeDisks is the same where two disks at once may be lost,
// at times while all others lose power: each slice is on three.
func TestRandomFaultsWithTwoDiskFailures(t *testing.T) {
	eventCounts := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawPlan(rt, actionKinds)
		var failures []string
		synctest.Test(t, func(t *testing.T) { failures = runPlan(t, newCluster(t, 6, 2), plan, eventCounts) })
		if len(failures) > 0 {
			rt.Fatalf("%v", failures[:min(3, len(failures))])
		}
	})
	t.Log(eventCounts)
}

// lastKeeperKinds leave a keeper alone more often than the other faults.
var dataCentreFaultKinds = append([]string{"centre", "centre", "centrewipe", "centrewipe", "retire"}, actionKinds...)

// TestLastKeeperMachine is the same where a data centre with two of three keepers
// may be cut off, at times with the store in reach of both sides, and one of the
// keepers that are cut off may lose its disk before the cut is over.
func TestRandomFaultsWithSoleHolders(t *testing.T) {
	eventCounts := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawPlan(rt, dataCentreFaultKinds)
		var failures []string
		synctest.Test(t, func(t *testing.T) { failures = runPlan(t, newThreeKeeperCluster(t, 1), plan, eventCounts) })
		if len(failures) > 0 {
			rt.Fatalf("%v", failures[:min(3, len(failures))])
		}
	})
	t.Log(eventCounts)
}

// TestDataCentresMachine is the same over six keepers in three data centres, of which
// two at once may lose their disks.
func TestRandomFaultsInThreeDataCentres(t *testing.T) {
	eventCounts := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawPlan(rt, dataCentreFaultKinds)
		var failures []string
		synctest.Test(t, func(t *testing.T) {
			cl := newCluster(t, 6, 2)
			for i, m := range cl.machines {
				m.dataCentre = []string{east, west, north}[i%3]
			}
			failures = runPlan(t, cl, plan, eventCounts)
		})
		if len(failures) > 0 {
			rt.Fatalf("%v", failures[:min(3, len(failures))])
		}
	})
	t.Log(eventCounts)
}

func runPlan(t *testing.T, cl *cluster, plan []action, eventCounts map[string]int) []string {
	r := &run{cluster: cl, eventCounts: eventCounts, oracle: oracle{entries: map[int]*Client{}}}
	r.startAll()
	time.Sleep(convergenceTime)
	for _, a := range plan {
		r.trace.printf("%s %v", a.Kind, a)
		r.perform(a)
		r.countEvent(a.Kind)
		time.Sleep(30 * time.Millisecond)
	}
	r.calls.Wait()
	r.healAll()
	time.Sleep(convergenceTime)
	r.checkAll()
	r.stopAll()
	time.Sleep(releaseTimeout)
	if len(r.failures) > 0 {
		t.Log(strings.Join(r.trace.lines, "\n"))
	}
	return r.failures
}

func (r *run) perform(a action) {
	m := r.machines[a.A%len(r.machines)]
	switch a.Kind {
	case "turn", "abandon":
		r.calls.Go(func() { r.runTurn(a) })
	case "unknown":
		r.calls.Go(func() { r.continueUnknownTurn(a) })
	case "draw":
		r.calls.Go(func() { r.runUnretainedTurns(a) })
	case "newentry":
		r.oracle.mu.Lock()
		delete(r.entries, a.A%3)
		r.oracle.mu.Unlock()
	case "kill":
		m.stop()
		r.runAfter(a.For, m.restart)
	case "power":
		m.powerOff(float64(a.B) / 1000)
		r.runAfter(a.For, m.restart)
	case "wipe", "wipesilent":
		r.wipe(m, a)
	case "freeze":
		m.pause()
		r.runAfter(a.For, m.resume)
	case "cut":
		other := r.machines[a.B%len(r.machines)]
		r.setLinkDown(m.name, other.name, true)
		r.runAfter(a.For, func() { r.setLinkDown(m.name, other.name, false) })
	case "centre":
		r.setDataCentreIsolated(m.dataCentre, true)
		r.runAfter(a.For, func() { r.setDataCentreIsolated(m.dataCentre, false) })
	case "retire":
		r.setRetiring(m.name)
		r.runAfter(a.For, func() { r.setRetiring("") })
	case "centrewipe":
		r.wipeWhileIsolated(m, a)
	case "store":
		r.setStoreUnavailable(true)
		r.runAfter(a.For, func() { r.setStoreUnavailable(false) })
	case "lose":
		r.cluster.mu.Lock()
		r.writeResponsesToLose = 1 + a.B%2
		r.cluster.mu.Unlock()
	case "powerall":
		for _, m := range r.machines {
			m.powerOff(float64(a.B) / 1000)
		}
		r.runAfter(a.For, func() {
			for _, m := range r.machines {
				m.restart()
			}
		})
	case "wait":
		time.Sleep(a.For)
	}
}

// wipe empties as many disks at once as may be lost, if no other is lost: what is
// on one keeper alone until it is copied must not be lost too.
func (r *run) wipe(m *machine, a action) {
	if time.Now().Before(r.diskLostUntil) || !r.staysFaultFree() {
		return
	}
	r.countEvent("wiped")
	if a.Kind == "wipesilent" {
		r.setStoreUnavailable(true)
		r.runAfter(a.For, func() { r.setStoreUnavailable(false) })
		for n := range 4 {
			r.calls.Go(func() { r.runTurn(action{Kind: "turn", A: a.A + n, B: a.B + n, For: a.For}) })
		}
		time.Sleep(time.Duration(a.B) * messageDelay / 10)
	}
	m.wipe()
	if r.maxDiskFailures > 1 {
		r.machines[(a.A+1+a.B%(len(r.machines)-1))%len(r.machines)].wipe()
	}
	if r.maxDiskFailures > 1 && a.B%2 == 0 {
		for _, other := range r.machines {
			other.powerOff(float64(a.B) / 1000)
		}
	}
	time.Sleep(a.For / 4)
	for _, other := range r.machines {
		other.restart()
	}
	r.diskLostUntil = time.Now().Add(convergenceTime)
}

// wipeBehindCut empties the disk of a keeper whose data centre is cut off, before
// the cut is over: it is one disk of those that are lost with the data centre.
func (r *run) wipeWhileIsolated(m *machine, a action) {
	if time.Now().Before(r.diskLostUntil) || !r.staysFaultFree() {
		return
	}
	r.countEvent("wiped behind a cut")
	r.setDataCentreIsolated(m.dataCentre, true)
	if a.B%2 == 0 {
		r.setStoreUnreachableFrom(m.dataCentre)
	}
	for n := range 4 {
		r.calls.Go(func() { r.runTurn(action{Kind: "turn", A: a.A + n, B: a.B + n, For: a.For}) })
		time.Sleep(a.For / 4)
	}
	m.wipe()
	m.restart()
	time.Sleep(a.For / 4)
	r.setDataCentreIsolated(m.dataCentre, false)
	r.setStoreUnreachableFrom("")
	r.diskLostUntil = time.Now().Add(convergenceTime)
}

// calm reports that all keepers run and reach each other and the store, and
// have done so for long enough to be whole.
func (r *run) staysFaultFree() bool {
	if !r.faultFree() {
		return false
	}
	time.Sleep(convergenceTime)
	return r.faultFree()
}

func (r *run) faultFree() bool {
	r.cluster.mu.Lock()
	defer r.cluster.mu.Unlock()
	for _, m := range r.machines {
		if m.process == nil || m.paused != nil {
			return false
		}
	}
	for _, down := range r.linksDown {
		if down {
			return false
		}
	}
	return !r.storeUnavailable
}

func (r *run) runAfter(delay time.Duration, f func()) {
	r.calls.Go(func() {
		time.Sleep(delay)
		f()
	})
}

func (m *machine) restart() {
	m.lifecycleMu.Lock()
	defer m.lifecycleMu.Unlock()
	m.cluster.mu.Lock()
	running := m.process != nil
	m.cluster.mu.Unlock()
	if !running {
		m.startLocked()
	}
}

func (r *run) healAll() {
	r.cluster.mu.Lock()
	clear(r.linksDown)
	r.storeUnavailable, r.writeResponsesToLose = false, 0
	r.cluster.mu.Unlock()
	for _, m := range r.machines {
		m.resume()
		m.restart()
	}
}

// programName and customerName have programs of two customers share each id.
func programName(i int) string { return fmt.Sprintf("program-%d", i/2) }

func customerName(i int) string { return fmt.Sprintf("customer-%d", i%2) }

// turn runs one turn of a program, continuing one of its kept turns.
func (r *run) runTurn(a action) {
	p := a.A % programCount
	r.oracle.mu.Lock()
	r.turnCount++
	id := fmt.Sprintf("turn-%d", r.turnCount)
	var previous acknowledgedTurn
	if n := len(r.retained[p]); n > 0 && a.B%3 > 0 {
		previous = r.retained[p][a.B%n]
	}
	r.oracle.mu.Unlock()
	client := r.client(fmt.Sprintf("entry-%d", a.B%3))
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	reserved, err := client.Reserve(ctx, gateway.Reservation{
		Customer: customerName(p), Program: programName(p), Turn: id, Previous: previous.id,
		MaxOutputTokens: testMaxOutputTokens, Budget: testBudget, Retention: time.Hour, Retain: true,
	})
	if err != nil {
		r.checkError(err, previous)
		return
	}
	r.checkChain(reserved.Chain, previous)
	r.countOutputTokens(p, testMaxOutputTokens)
	time.Sleep(a.For / 20)
	settlement := gateway.Settlement{Customer: customerName(p), Program: programName(p), Turn: id, OutputTokens: testMaxOutputTokens, Retention: time.Hour}
	if a.Kind == "turn" {
		settlement.OutputTokens = a.B % testMaxOutputTokens
		r.countOutputTokens(p, settlement.OutputTokens-testMaxOutputTokens)
		settlement.RetainedTurn = &gateway.Turn{ID: id, Previous: previous.id, Input: []byte(id), Ended: time.Now()}
	}
	err = client.Settle(ctx, settlement)
	r.trace.printf("%s of %s in slice %d after %q settled: %v", id, programName(p), ShardOf(programName(p)), previous.id, err)
	if err == nil && settlement.RetainedTurn != nil {
		r.oracle.mu.Lock()
		r.retained[p] = append(r.retained[p], acknowledgedTurn{id: id, chain: append(append([]string(nil), previous.chain...), id)})
		r.oracle.mu.Unlock()
	}
}

// entry returns the client of an instance, which holds allowances until it ends.
func (r *run) entryClient(n int) *Client {
	r.oracle.mu.Lock()
	defer r.oracle.mu.Unlock()
	if r.entries[n] == nil {
		r.entries[n] = r.client(fmt.Sprintf("entry-%d", n))
	}
	return r.entries[n]
}

// drawTurns runs turns that are not kept, one after the other. Each makes at
// most what it reserved; all together never more than the budget.
func (r *run) runUnretainedTurns(a action) {
	p := a.A % programCount
	c := r.entryClient(a.B % 3)
	program := fmt.Sprintf("drawing-%d", p)
	ctx := context.Background()
	for range unretainedTurnCount {
		r.oracle.mu.Lock()
		r.turnCount++
		id := fmt.Sprintf("turn-%d", r.turnCount)
		r.oracle.mu.Unlock()
		start := time.Now()
		_, err := c.Reserve(ctx, gateway.Reservation{Program: program, Turn: id, MaxOutputTokens: unretainedMaxOutputTokens, Budget: unretainedBudget, Retention: time.Hour})
		if err != nil {
			r.checkError(err, acknowledgedTurn{})
			time.Sleep(a.For / 20)
			continue
		}
		outputTokens := unretainedMaxOutputTokens - a.B%5
		r.oracle.mu.Lock()
		r.unretainedTokens[p] += outputTokens
		total := r.unretainedTokens[p]
		if time.Since(start) == 0 {
			r.eventCounts["at once"]++
		}
		r.oracle.mu.Unlock()
		if total > unretainedBudget {
			r.fail("%s made %d of %d tokens", program, total, unretainedBudget)
		}
		time.Sleep(a.For / 20)
		if err := c.Settle(ctx, gateway.Settlement{Program: program, Turn: id, OutputTokens: outputTokens, Retention: time.Hour}); err != nil {
			r.checkError(err, acknowledgedTurn{})
		}
	}
}

// count adds what a turn made, and checks the budget.
func (r *run) countOutputTokens(p, tokens int) {
	r.oracle.mu.Lock()
	r.outputTokens[p] += tokens
	total := r.outputTokens[p]
	r.oracle.mu.Unlock()
	if total > testBudget {
		r.fail("program %d made %d of %d tokens", p, total, testBudget)
	}
}

func (r *run) checkError(err error, previous acknowledgedTurn) {
	if errors.Is(err, gateway.ErrNoSuchTurn) {
		r.fail("turn %s was kept and is denied", previous.id)
	}
	r.countEvent(err.Error())
}

func (r *run) checkChain(chain []gateway.Turn, previous acknowledgedTurn) {
	var ids []string
	for _, t := range chain {
		ids = append(ids, t.ID)
	}
	if fmt.Sprint(ids) != fmt.Sprint(previous.chain) {
		r.fail("chain %v in place of %v", ids, previous.chain)
	}
	r.countEvent("served")
}

// unknownTurn continues a turn that never was.
func (r *run) continueUnknownTurn(a action) {
	client := r.client("entry-0")
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	_, err := client.Reserve(ctx, gateway.Reservation{
		Program: programName(programCount + a.A), Turn: fmt.Sprintf("after-nothing-%d", a.B), Previous: "nothing", MaxOutputTokens: 1, Budget: 10,
	})
	if err == nil {
		r.fail("a turn that never was is continued")
	}
}

// checkAll asks for everything that was acknowledged, from another program, so
// that all slices are asked.
func (r *run) checkAll() {
	client := r.client("entry-9")
	for p := range programCount {
		for i, k := range r.retained[p] {
			reserved, err := client.Reserve(context.Background(), gateway.Reservation{
				Customer: customerName(p), Program: fmt.Sprintf("heir-%d-%d", p, i), Turn: "heir", Previous: k.id, MaxOutputTokens: 1, Budget: 10,
			})
			if err != nil {
				r.fail("turn %s not served after the faults: %v%s", k.id, err, r.describeHolders(k.id))
				continue
			}
			r.checkChain(reserved.Chain, k)
			r.checkOtherCustomer(client, p, k)
		}
	}
}

// checkStranger has another customer ask for a turn.
func (r *run) checkOtherCustomer(client *Client, p int, k acknowledgedTurn) {
	_, err := client.Reserve(context.Background(), gateway.Reservation{
		Customer: customerName(p + 1), Program: programName(p), Turn: "stranger-" + k.id, Previous: k.id, MaxOutputTokens: 1, Budget: 10,
	})
	if !errors.Is(err, gateway.ErrNoSuchTurn) {
		r.fail("turn %s of %s asked for by another customer: %v", k.id, customerName(p), err)
	}
}

// whereIs tells which keepers hold a turn, and what they take themselves for.
func (r *run) describeHolders(turn string) string {
	var b strings.Builder
	for _, m := range r.machines {
		k := m.process.keeper
		k.mu.Lock()
		for _, s := range k.shards {
			if s.state.turnByID(turn) != nil || s.id == ShardOf(programName(0)) {
				fmt.Fprintf(&b, "; %s slice %d: here %v, mark %v, role %v, primary %v",
					m.name, s.id, s.state.turnByID(turn) != nil, s.epochState, s.role, k.isPrimary(s))
			}
		}
		k.mu.Unlock()
	}
	return b.String()
}
