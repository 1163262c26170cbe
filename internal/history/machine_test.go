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
	// Kind is one of the cases of perform.
	Kind string
	// A and B are random numbers that select the machine, the program and other parameters.
	A, B int
	// For is the duration of a fault. Turns use a fraction of it as their running time.
	For time.Duration
}

// actionKinds are the kinds of actions that a plan consists of. A kind that is listed several times
// is drawn more often.
var actionKinds = []string{
	"turn", "turn", "turn", "turn", "turn", "turn", "abandon", "unknown", "draw", "draw", "draw", "draw", "newentry",
	"kill", "power", "wipe", "freeze", "cut", "store", "lose", "powerall", "wait",
}

// drawPlan draws a plan of 10 to 50 actions of the given kinds.
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
	// testBudget is the budget, in tokens, of programs whose turns are retained, and
	// testMaxOutputTokens the maximum output of each of their turns.
	testBudget          = 100
	testMaxOutputTokens = 20
	// convergenceTime is the longest time from the end of all faults until all holders are complete
	// again: keepers detect a loss, reassign shards and transfer the records to the new holders.
	convergenceTime = 5 * time.Second
	programCount    = 3
	// unretainedBudget is the budget, in tokens, of programs whose turns are not retained. With
	// unretainedMaxOutputTokens and unretainedTurnCount their turns reach it.
	unretainedBudget          = 300
	unretainedMaxOutputTokens = 25
	unretainedTurnCount       = 10
)

// oracle records the responses that callers received, and the failures found in them.
type oracle struct {
	mu       sync.Mutex
	failures []string
	// retained are the acknowledged turns of each program.
	retained [programCount][]acknowledgedTurn
	// outputTokens counts the tokens that callers of each program may have received, and
	// unretainedTokens those of the programs whose turns are not retained.
	outputTokens     [programCount]int
	unretainedTokens [programCount]int
	// entries are the clients of the entries that hold allowances, by the entry's number.
	entries   map[int]*Client
	turnCount int
	// calls are the calls and the ends of faults that run in the background.
	calls sync.WaitGroup
}

// acknowledgedTurn is a retained turn whose settlement was acknowledged. Its chain ends with the
// turn itself.
type acknowledgedTurn struct {
	id    string
	chain []string
	ended time.Time
}

func (o *oracle) fail(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failures = append(o.failures, fmt.Sprintf(format, args...))
}

// countEvent counts the faults and outcomes of all runs. The log of the counts shows if the random
// plans stop covering one of them.
func (r *run) countEvent(event string) {
	r.oracle.mu.Lock()
	defer r.oracle.mu.Unlock()
	r.eventCounts[event]++
}

// run is the execution of one plan.
type run struct {
	*cluster
	oracle
	eventCounts map[string]int
	// retention is that of turns. Where they outlive it, programs have no budget: it ends with their
	// accounts.
	retention time.Duration
	// diskLostUntil is when the records of the last lost disk have been replicated again, so that
	// another disk may fail.
	diskLostUntil time.Time
}

// TestRandomFaults runs random plans of turns and faults on four keepers, of which one at a time may
// lose its disk. A call that continues an acknowledged turn must get the turn's complete chain, or
// fail with another error than ErrNoSuchTurn, which is only for turns that never existed. The output
// of a program's turns must never exceed its budget. All acknowledged turns must be served some
// seconds after the last fault, see convergenceTime.
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

// TestRandomFaultsWithTwoDiskFailures is the same on six keepers where two disks may fail at once,
// in some plans while all other machines lose power. Each shard is on at least three disks.
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

// dataCentreFaultKinds are actionKinds with the isolation of data centres, which often leaves one
// keeper as the last one, the loss of its disk while the others are frozen, and the draining of a keeper.
var dataCentreFaultKinds = append([]string{"centre", "centre", "centrewipe", "centrewipe", "solewipe", "solewipe", "retire"}, actionKinds...)

// TestRandomFaultsWithSoleHolders is the same on three keepers, where the data centre with two of
// them may be isolated, in some plans with the store reachable from both sides. An isolated keeper
// may lose its disk before the isolation ends.
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

// TestRandomFaultsInThreeDataCentres is the same on six keepers in three data centres, where two
// disks may fail at once.
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

// longRetention outlasts every plan.
const longRetention = time.Hour

// shortRetention is outlived by chains whose turns are apart.
const shortRetention = time.Minute

// restingKinds are kinds of actions with rests between turns of nearly their retention.
var restingKinds = []string{
	"turn", "turn", "turn", "turn", "turn", "turn", "rest", "rest", "rest", "herd", "herd", "kill", "wipe", "freeze", "cut", "store",
}

// maxRestingActions bounds the plans of programs that rest, which take minutes of virtual time.
const maxRestingActions = 20

// TestRandomFaultsWithChainsThatOutliveTheirTurns is the same with programs that rest: the first turns
// of a chain are needed long after their own retention has passed.
func TestRandomFaultsWithChainsThatOutliveTheirTurns(t *testing.T) {
	eventCounts := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawPlan(rt, restingKinds)
		plan = plan[:min(len(plan), maxRestingActions)]
		var failures []string
		synctest.Test(t, func(t *testing.T) {
			failures = runPlanWithRetention(t, newCluster(t, 4, 1), plan, eventCounts, shortRetention)
		})
		if len(failures) > 0 {
			rt.Fatalf("%v", failures[:min(3, len(failures))])
		}
	})
	t.Log(eventCounts)
}

// runPlan runs a plan on the cluster, ends all faults, and checks that all acknowledged turns are
// served. It returns the failures found.
func runPlan(t *testing.T, cl *cluster, plan []action, eventCounts map[string]int) []string {
	return runPlanWithRetention(t, cl, plan, eventCounts, longRetention)
}

func runPlanWithRetention(t *testing.T, cl *cluster, plan []action, eventCounts map[string]int, retention time.Duration) []string {
	r := &run{cluster: cl, eventCounts: eventCounts, retention: retention, oracle: oracle{entries: map[int]*Client{}}}
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

// perform starts one action. Calls continue and faults end in the background.
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
		// An entry that restarts has lost its allowances.
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
	case "solewipe":
		r.wipeSoleHolder(m, a)
	case "store":
		r.setStoreUnavailable(true)
		r.runAfter(a.For, func() { r.setStoreUnavailable(false) })
	case "lose":
		// The next one or two writes to the store take effect, but their responses are lost.
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
	case "rest":
		time.Sleep(r.retention/2 + r.retention*time.Duration(a.B)/3000)
	case "herd":
		// The first restart writes the logs anew, the second reads them.
		for range 2 {
			for _, m := range r.machines {
				m.stop()
			}
			for _, m := range r.machines {
				m.restart()
			}
			time.Sleep(convergenceTime)
		}
	}
}

// wipe replaces as many disks at once as may fail. It does nothing unless there is no other fault
// and all disks lost before have been replicated again: until then, a record may be on one disk
// only. Where two disks may fail, the power of all machines fails as well in half of the cases. The
// kind "wipesilent" replaces the disks during an outage of the store, with turns in flight.
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

// wipeWhileIsolated replaces the disk of a keeper while its data centre is isolated. The keepers of
// the isolated data centre count as lost already, so that this is no further disk failure.
func (r *run) wipeWhileIsolated(m *machine, a action) {
	if time.Now().Before(r.diskLostUntil) || !r.staysFaultFree() {
		return
	}
	r.countEvent("wiped while isolated")
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

// wipeSoleHolder replaces the disk of a keeper while all others are frozen, so that it may have become the
// sole holder of its shards. It is the only disk that is lost.
func (r *run) wipeSoleHolder(m *machine, a action) {
	if time.Now().Before(r.diskLostUntil) || !r.staysFaultFree() {
		return
	}
	r.countEvent("wiped as sole holder")
	for _, other := range r.machines {
		if other != m {
			other.pause()
		}
	}
	time.Sleep(soleHolderTime)
	for n := range 4 {
		r.calls.Go(func() { r.runTurn(action{Kind: "turn", A: a.A + n, B: a.B + n, For: a.For}) })
		time.Sleep(a.For / 4)
	}
	m.wipe()
	if a.B%2 == 0 {
		m.restart()
	}
	for _, other := range r.machines {
		other.resume()
	}
	time.Sleep(a.For / 4)
	m.restart()
	r.diskLostUntil = time.Now().Add(convergenceTime)
}

// staysFaultFree reports whether there is no fault now and, after a wait of convergenceTime, none
// either. All holders are complete then.
func (r *run) staysFaultFree() bool {
	if !r.faultFree() {
		return false
	}
	time.Sleep(convergenceTime)
	return r.faultFree()
}

// faultFree reports whether all keepers run and reach each other and the store.
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

// runAfter runs f in the background after the delay.
func (r *run) runAfter(delay time.Duration, f func()) {
	r.calls.Go(func() {
		time.Sleep(delay)
		f()
	})
}

// restart starts the process unless it runs.
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

// healAll ends all faults.
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

// programName returns the id of a program. Programs 2n and 2n+1 share an id and belong to different
// customers.
func programName(i int) string { return fmt.Sprintf("program-%d", i/2) }

// customerName returns the customer of a program.
func customerName(i int) string { return fmt.Sprintf("customer-%d", i%2) }

// runTurn runs one turn of a program. Two thirds of the turns continue one of the program's
// acknowledged turns, if there are any. A turn of the kind "abandon" is settled with the maximum
// output and is not retained.
func (r *run) runTurn(a action) {
	p := a.A % programCount
	r.oracle.mu.Lock()
	r.turnCount++
	id := fmt.Sprintf("turn-%d", r.turnCount)
	var previous acknowledgedTurn
	if kept := r.retainedTurns(p, 0); len(kept) > 0 && a.B%3 > 0 {
		previous = kept[a.B%len(kept)]
		if r.retention < longRetention {
			previous = kept[len(kept)-1]
		}
	}
	r.oracle.mu.Unlock()
	client := r.client(fmt.Sprintf("entry-%d", a.B%3))
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	reserved, err := client.Reserve(ctx, gateway.Reservation{
		Customer: customerName(p), Program: programName(p), Turn: id, Previous: previous.id,
		MaxOutputTokens: testMaxOutputTokens, Budget: r.budget(), Retention: r.retention, Retain: true,
	})
	if err != nil {
		r.checkError(err, previous)
		return
	}
	r.checkChain(reserved.Chain, previous)
	r.countOutputTokens(p, testMaxOutputTokens)
	time.Sleep(a.For / 20)
	settlement := gateway.Settlement{Customer: customerName(p), Program: programName(p), Turn: id, OutputTokens: testMaxOutputTokens, Retention: r.retention}
	if a.Kind == "turn" {
		settlement.OutputTokens = a.B % testMaxOutputTokens
		r.countOutputTokens(p, settlement.OutputTokens-testMaxOutputTokens)
		settlement.RetainedTurn = &gateway.Turn{ID: id, Previous: previous.id, Input: []byte(id), Ended: time.Now()}
	}
	if reserved.CarryChain {
		settlement.Chain = reserved.Chain
	}
	err = client.Settle(ctx, settlement)
	r.trace.printf("%s of %s in shard %d after %q settled: %v", id, programName(p), ShardOf(programName(p)), previous.id, err)
	if err == nil && settlement.RetainedTurn != nil {
		r.oracle.mu.Lock()
		r.retained[p] = append(r.retained[p], acknowledgedTurn{id: id, chain: append(append([]string(nil), previous.chain...), id), ended: settlement.RetainedTurn.Ended})
		r.oracle.mu.Unlock()
	}
}

// retainedTurns returns the program's acknowledged turns that are retained for the given time from now on.
func (r *run) retainedTurns(p int, left time.Duration) []acknowledgedTurn {
	var kept []acknowledgedTurn
	for _, k := range r.retained[p] {
		if time.Since(k.ended)+left < r.retention {
			kept = append(kept, k)
		}
	}
	return kept
}

// budget returns the budget, in tokens, of programs whose turns are retained; 0 for none.
func (r *run) budget() int {
	if r.retention < longRetention {
		return 0
	}
	return testBudget
}

// entryClient returns the client of an entry, which keeps its allowances until the entry restarts.
func (r *run) entryClient(n int) *Client {
	r.oracle.mu.Lock()
	defer r.oracle.mu.Unlock()
	if r.entries[n] == nil {
		r.entries[n] = r.client(fmt.Sprintf("entry-%d", n))
	}
	return r.entries[n]
}

// runUnretainedTurns runs turns of a program that are not retained, one after the other. Their total
// output must never exceed the budget.
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
		// A call to a keeper takes time on the virtual clock; a turn on an allowance begins without.
		if time.Since(start) == 0 {
			r.eventCounts["covered by an allowance"]++
		}
		r.oracle.mu.Unlock()
		if total > unretainedBudget {
			r.fail("%s output %d tokens of a budget of %d", program, total, unretainedBudget)
		}
		time.Sleep(a.For / 20)
		if err := c.Settle(ctx, gateway.Settlement{Program: program, Turn: id, OutputTokens: outputTokens, Retention: time.Hour}); err != nil {
			r.checkError(err, acknowledgedTurn{})
		}
	}
}

// countOutputTokens adds output tokens to those of a program, and checks its budget. A negative
// number corrects an earlier call.
func (r *run) countOutputTokens(p, tokens int) {
	r.oracle.mu.Lock()
	r.outputTokens[p] += tokens
	total := r.outputTokens[p]
	r.oracle.mu.Unlock()
	if r.budget() > 0 && total > testBudget {
		r.fail("program %d output %d tokens of a budget of %d", p, total, testBudget)
	}
}

// checkError checks that an acknowledged turn is not reported as missing, and counts the error.
func (r *run) checkError(err error, previous acknowledgedTurn) {
	if errors.Is(err, gateway.ErrNoSuchTurn) {
		r.fail("turn %s was acknowledged and is reported as missing", previous.id)
	}
	r.countEvent(err.Error())
}

// checkChain checks that the chain is that of the previous turn.
func (r *run) checkChain(chain []gateway.Turn, previous acknowledgedTurn) {
	var ids []string
	for _, t := range chain {
		ids = append(ids, t.ID)
	}
	if fmt.Sprint(ids) != fmt.Sprint(previous.chain) {
		r.fail("chain %v, want %v", ids, previous.chain)
	}
	r.countEvent("served")
}

// continueUnknownTurn tries to continue a turn that never existed, which must fail.
func (r *run) continueUnknownTurn(a action) {
	client := r.client("entry-0")
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	_, err := client.Reserve(ctx, gateway.Reservation{
		Program: programName(programCount + a.A), Turn: fmt.Sprintf("after-nothing-%d", a.B), Previous: "nothing", MaxOutputTokens: 1, Budget: 10,
	})
	if err == nil {
		r.fail("a turn that never existed was continued")
	}
}

// checkAll checks that all acknowledged turns are served, by continuing each in another program, so
// that all shards are searched.
func (r *run) checkAll() {
	client := r.client("entry-9")
	for p := range programCount {
		for i, k := range r.retainedTurns(p, convergenceTime) {
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

// checkOtherCustomer checks that another customer can't continue the turn.
func (r *run) checkOtherCustomer(client *Client, p int, k acknowledgedTurn) {
	_, err := client.Reserve(context.Background(), gateway.Reservation{
		Customer: customerName(p + 1), Program: programName(p), Turn: "stranger-" + k.id, Previous: k.id, MaxOutputTokens: 1, Budget: 10,
	})
	if !errors.Is(err, gateway.ErrNoSuchTurn) {
		r.fail("turn %s of %s continued by another customer: got %v, want ErrNoSuchTurn", k.id, customerName(p), err)
	}
}

// describeHolders describes, for a failure message, which keepers have a turn, with their epoch
// states and roles in its shard. The shard of the first program is always included.
func (r *run) describeHolders(turn string) string {
	var b strings.Builder
	for _, m := range r.machines {
		if m.process == nil {
			continue
		}
		k := m.process.keeper
		k.mu.Lock()
		for _, s := range k.shards {
			if s.state.turnByID(turn) != nil || s.id == ShardOf(programName(0)) {
				fmt.Fprintf(&b, "; %s shard %d: turn present %v, epoch state %v, role %v, primary %v",
					m.name, s.id, s.state.turnByID(turn) != nil, s.epochState, s.role, k.isPrimary(s))
			}
		}
		k.mu.Unlock()
	}
	return b.String()
}
