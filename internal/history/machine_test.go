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
	one := rapid.Custom(func(rt *rapid.T) action {
		return action{
			Kind: kind.Draw(rt, "kind"),
			A:    rapid.IntRange(0, 1000).Draw(rt, "a"),
			B:    rapid.IntRange(0, 1000).Draw(rt, "b"),
			For:  time.Duration(rapid.IntRange(20, 4000).Draw(rt, "ms")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(one, 10, 50).Draw(rt, "plan")
}

const (
	testBudget = 100
	testMost   = 20
	// settledIn is how long keepers take at the most to be whole again after
	// all faults are over: they notice a loss, change keepers and fill the new one.
	settledIn = 5 * time.Second
	programs  = 3
	// drawBudget is that of programs whose turns are not kept; drawMost and
	// drawTurns make their turns reach it.
	drawBudget = 300
	drawMost   = 25
	drawTurns  = 10
)

// oracle is what callers were told.
type oracle struct {
	mu       sync.Mutex
	failures []string
	// kept are the acknowledged turns of each program, with their chains.
	kept [programs][]keptAnswer
	// made counts the tokens that callers of each program may have got, drawn
	// those of the programs whose turns are not kept.
	made  [programs]int
	drawn [programs]int
	// entries are the clients of the instances that callers reach.
	entries map[int]*Client
	turns   int
	calls   sync.WaitGroup
}

type keptAnswer struct {
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
func (r *run) note(what string) {
	r.oracle.mu.Lock()
	defer r.oracle.mu.Unlock()
	r.seen[what]++
}

type run struct {
	*world
	oracle
	seen map[string]int
	// lostUntil is until when one disk counts as lost, after which another may be.
	lostUntil time.Time
}

// TestKeepersMachine runs random plans of turns and faults over four keepers, of
// which one at a time may lose its disk. A turn whose end was acknowledged is
// found with its whole chain, or nothing is said of it; "no such turn" is only
// said of one that never was; a program's turns never make more than its
// budget; and some seconds after the last fault everything is served.
func TestKeepersMachine(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawPlan(rt, actionKinds)
		var failures []string
		synctest.Test(t, func(t *testing.T) { failures = runPlan(t, newWorld(t, 4, 1), plan, seen) })
		if len(failures) > 0 {
			rt.Fatalf("%v", failures[:min(3, len(failures))])
		}
	})
	t.Log(seen)
}

// TestKeepersMachineOfThreeDisks is the same where two disks at once may be lost,
// at times while all others lose power: each slice is on three.
func TestKeepersMachineOfThreeDisks(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawPlan(rt, actionKinds)
		var failures []string
		synctest.Test(t, func(t *testing.T) { failures = runPlan(t, newWorld(t, 6, 2), plan, seen) })
		if len(failures) > 0 {
			rt.Fatalf("%v", failures[:min(3, len(failures))])
		}
	})
	t.Log(seen)
}

// lastKeeperKinds leave a keeper alone more often than the other faults.
var lastKeeperKinds = append([]string{"centre", "centre", "centrewipe", "centrewipe", "retire"}, actionKinds...)

// TestLastKeeperMachine is the same where a data centre with two of three keepers
// may be cut off, at times with the store in reach of both sides, and one of the
// keepers that are cut off may lose its disk before the cut is over.
func TestLastKeeperMachine(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawPlan(rt, lastKeeperKinds)
		var failures []string
		synctest.Test(t, func(t *testing.T) { failures = runPlan(t, newLoneWorld(t, 1), plan, seen) })
		if len(failures) > 0 {
			rt.Fatalf("%v", failures[:min(3, len(failures))])
		}
	})
	t.Log(seen)
}

// TestDataCentresMachine is the same over six keepers in three data centres, of which
// two at once may lose their disks.
func TestDataCentresMachine(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawPlan(rt, lastKeeperKinds)
		var failures []string
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, 6, 2)
			for i, m := range w.machines {
				m.dataCentre = []string{east, west, north}[i%3]
			}
			failures = runPlan(t, w, plan, seen)
		})
		if len(failures) > 0 {
			rt.Fatalf("%v", failures[:min(3, len(failures))])
		}
	})
	t.Log(seen)
}

func runPlan(t *testing.T, w *world, plan []action, seen map[string]int) []string {
	r := &run{world: w, seen: seen, oracle: oracle{entries: map[int]*Client{}}}
	r.startAll()
	time.Sleep(settledIn)
	for _, a := range plan {
		r.trace.say("%s %v", a.Kind, a)
		r.act(a)
		r.note(a.Kind)
		time.Sleep(30 * time.Millisecond)
	}
	r.calls.Wait()
	r.healAll()
	time.Sleep(settledIn)
	r.checkAll()
	r.stopAll()
	time.Sleep(releaseTimeout)
	if len(r.failures) > 0 {
		t.Log(strings.Join(r.trace.lines, "\n"))
	}
	return r.failures
}

func (r *run) act(a action) {
	m := r.machines[a.A%len(r.machines)]
	switch a.Kind {
	case "turn", "abandon":
		r.calls.Go(func() { r.turn(a) })
	case "unknown":
		r.calls.Go(func() { r.unknownTurn(a) })
	case "draw":
		r.calls.Go(func() { r.drawTurns(a) })
	case "newentry":
		r.oracle.mu.Lock()
		delete(r.entries, a.A%3)
		r.oracle.mu.Unlock()
	case "kill":
		m.stop()
		r.later(a.For, m.restart)
	case "power":
		m.powerOff(float64(a.B) / 1000)
		r.later(a.For, m.restart)
	case "wipe", "wipesilent":
		r.wipe(m, a)
	case "freeze":
		m.freeze()
		r.later(a.For, m.unfreeze)
	case "cut":
		other := r.machines[a.B%len(r.machines)]
		r.cut(m.name, other.name, true)
		r.later(a.For, func() { r.cut(m.name, other.name, false) })
	case "centre":
		r.cutDataCentre(m.dataCentre, true)
		r.later(a.For, func() { r.cutDataCentre(m.dataCentre, false) })
	case "retire":
		r.setRetiring(m.name)
		r.later(a.For, func() { r.setRetiring("") })
	case "centrewipe":
		r.wipeBehindCut(m, a)
	case "store":
		r.setStore(true)
		r.later(a.For, func() { r.setStore(false) })
	case "lose":
		r.world.mu.Lock()
		r.loseWrites = 1 + a.B%2
		r.world.mu.Unlock()
	case "powerall":
		for _, m := range r.machines {
			m.powerOff(float64(a.B) / 1000)
		}
		r.later(a.For, func() {
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
	if time.Now().Before(r.lostUntil) || !r.calm() {
		return
	}
	r.note("wiped")
	if a.Kind == "wipesilent" {
		r.setStore(true)
		r.later(a.For, func() { r.setStore(false) })
		for n := range 4 {
			r.calls.Go(func() { r.turn(action{Kind: "turn", A: a.A + n, B: a.B + n, For: a.For}) })
		}
		time.Sleep(time.Duration(a.B) * wayTime / 10)
	}
	m.wipe()
	if r.disksLost > 1 {
		r.machines[(a.A+1+a.B%(len(r.machines)-1))%len(r.machines)].wipe()
	}
	if r.disksLost > 1 && a.B%2 == 0 {
		for _, other := range r.machines {
			other.powerOff(float64(a.B) / 1000)
		}
	}
	time.Sleep(a.For / 4)
	for _, other := range r.machines {
		other.restart()
	}
	r.lostUntil = time.Now().Add(settledIn)
}

// wipeBehindCut empties the disk of a keeper whose data centre is cut off, before
// the cut is over: it is one disk of those that are lost with the data centre.
func (r *run) wipeBehindCut(m *machine, a action) {
	if time.Now().Before(r.lostUntil) || !r.calm() {
		return
	}
	r.note("wiped behind a cut")
	r.cutDataCentre(m.dataCentre, true)
	if a.B%2 == 0 {
		r.setNoStore(m.dataCentre)
	}
	for n := range 4 {
		r.calls.Go(func() { r.turn(action{Kind: "turn", A: a.A + n, B: a.B + n, For: a.For}) })
		time.Sleep(a.For / 4)
	}
	m.wipe()
	m.restart()
	time.Sleep(a.For / 4)
	r.cutDataCentre(m.dataCentre, false)
	r.setNoStore("")
	r.lostUntil = time.Now().Add(settledIn)
}

// calm reports that all keepers run and reach each other and the store, and
// have done so for long enough to be whole.
func (r *run) calm() bool {
	if !r.undisturbed() {
		return false
	}
	time.Sleep(settledIn)
	return r.undisturbed()
}

func (r *run) undisturbed() bool {
	r.world.mu.Lock()
	defer r.world.mu.Unlock()
	for _, m := range r.machines {
		if m.process == nil || m.frozen != nil {
			return false
		}
	}
	for _, on := range r.cuts {
		if on {
			return false
		}
	}
	return !r.storeDown
}

func (r *run) later(after time.Duration, f func()) {
	r.calls.Go(func() {
		time.Sleep(after)
		f()
	})
}

func (m *machine) restart() {
	m.running.Lock()
	defer m.running.Unlock()
	m.world.mu.Lock()
	running := m.process != nil
	m.world.mu.Unlock()
	if !running {
		m.startLocked()
	}
}

func (r *run) healAll() {
	r.world.mu.Lock()
	clear(r.cuts)
	r.storeDown, r.loseWrites = false, 0
	r.world.mu.Unlock()
	for _, m := range r.machines {
		m.unfreeze()
		m.restart()
	}
}

// programName and customerName have programs of two customers share each id.
func programName(i int) string { return fmt.Sprintf("program-%d", i/2) }

func customerName(i int) string { return fmt.Sprintf("customer-%d", i%2) }

// turn runs one turn of a program, continuing one of its kept turns.
func (r *run) turn(a action) {
	p := a.A % programs
	r.oracle.mu.Lock()
	r.turns++
	id := fmt.Sprintf("turn-%d", r.turns)
	var before keptAnswer
	if n := len(r.kept[p]); n > 0 && a.B%3 > 0 {
		before = r.kept[p][a.B%n]
	}
	r.oracle.mu.Unlock()
	client := r.client(fmt.Sprintf("entry-%d", a.B%3))
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	reserved, err := client.Reserve(ctx, gateway.Reservation{
		Customer: customerName(p), Program: programName(p), Turn: id, Previous: before.id,
		MaxOutputTokens: testMost, Budget: testBudget, Retention: time.Hour, Retain: true,
	})
	if err != nil {
		r.judgeRefusal(err, before)
		return
	}
	r.judgeChain(reserved.Chain, before)
	r.count(p, testMost)
	time.Sleep(a.For / 20)
	ending := gateway.Settlement{Customer: customerName(p), Program: programName(p), Turn: id, OutputTokens: testMost, Retention: time.Hour}
	if a.Kind == "turn" {
		ending.OutputTokens = a.B % testMost
		r.count(p, ending.OutputTokens-testMost)
		ending.RetainedTurn = &gateway.Turn{ID: id, Previous: before.id, Input: []byte(id), Ended: time.Now()}
	}
	err = client.Settle(ctx, ending)
	r.trace.say("%s of %s in slice %d after %q settled: %v", id, programName(p), ShardOf(programName(p)), before.id, err)
	if err == nil && ending.RetainedTurn != nil {
		r.oracle.mu.Lock()
		r.kept[p] = append(r.kept[p], keptAnswer{id: id, chain: append(append([]string(nil), before.chain...), id)})
		r.oracle.mu.Unlock()
	}
}

// entry returns the client of an instance, which holds allowances until it ends.
func (r *run) entry(n int) *Client {
	r.oracle.mu.Lock()
	defer r.oracle.mu.Unlock()
	if r.entries[n] == nil {
		r.entries[n] = r.client(fmt.Sprintf("entry-%d", n))
	}
	return r.entries[n]
}

// drawTurns runs turns that are not kept, one after the other. Each makes at
// most what it reserved; all together never more than the budget.
func (r *run) drawTurns(a action) {
	p := a.A % programs
	c := r.entry(a.B % 3)
	program := fmt.Sprintf("drawing-%d", p)
	ctx := context.Background()
	for range drawTurns {
		r.oracle.mu.Lock()
		r.turns++
		id := fmt.Sprintf("turn-%d", r.turns)
		r.oracle.mu.Unlock()
		began := time.Now()
		_, err := c.Reserve(ctx, gateway.Reservation{Program: program, Turn: id, MaxOutputTokens: drawMost, Budget: drawBudget, Retention: time.Hour})
		if err != nil {
			r.judgeRefusal(err, keptAnswer{})
			time.Sleep(a.For / 20)
			continue
		}
		made := drawMost - a.B%5
		r.oracle.mu.Lock()
		r.drawn[p] += made
		total := r.drawn[p]
		if time.Since(began) == 0 {
			r.seen["at once"]++
		}
		r.oracle.mu.Unlock()
		if total > drawBudget {
			r.fail("%s made %d of %d tokens", program, total, drawBudget)
		}
		time.Sleep(a.For / 20)
		if err := c.Settle(ctx, gateway.Settlement{Program: program, Turn: id, OutputTokens: made, Retention: time.Hour}); err != nil {
			r.judgeRefusal(err, keptAnswer{})
		}
	}
}

// count adds what a turn made, and checks the budget.
func (r *run) count(p, tokens int) {
	r.oracle.mu.Lock()
	r.made[p] += tokens
	made := r.made[p]
	r.oracle.mu.Unlock()
	if made > testBudget {
		r.fail("program %d made %d of %d tokens", p, made, testBudget)
	}
}

func (r *run) judgeRefusal(err error, before keptAnswer) {
	if errors.Is(err, gateway.ErrNoSuchTurn) {
		r.fail("turn %s was kept and is denied", before.id)
	}
	r.note(err.Error())
}

func (r *run) judgeChain(chain []gateway.Turn, before keptAnswer) {
	var ids []string
	for _, t := range chain {
		ids = append(ids, t.ID)
	}
	if fmt.Sprint(ids) != fmt.Sprint(before.chain) {
		r.fail("chain %v in place of %v", ids, before.chain)
	}
	r.note("served")
}

// unknownTurn continues a turn that never was.
func (r *run) unknownTurn(a action) {
	client := r.client("entry-0")
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	_, err := client.Reserve(ctx, gateway.Reservation{
		Program: programName(programs + a.A), Turn: fmt.Sprintf("after-nothing-%d", a.B), Previous: "nothing", MaxOutputTokens: 1, Budget: 10,
	})
	if err == nil {
		r.fail("a turn that never was is continued")
	}
}

// checkAll asks for everything that was acknowledged, from another program, so
// that all slices are asked.
func (r *run) checkAll() {
	client := r.client("entry-9")
	for p := range programs {
		for i, k := range r.kept[p] {
			reserved, err := client.Reserve(context.Background(), gateway.Reservation{
				Customer: customerName(p), Program: fmt.Sprintf("heir-%d-%d", p, i), Turn: "heir", Previous: k.id, MaxOutputTokens: 1, Budget: 10,
			})
			if err != nil {
				r.fail("turn %s not served after the faults: %v%s", k.id, err, r.whereIs(k.id))
				continue
			}
			r.judgeChain(reserved.Chain, k)
			r.checkStranger(client, p, k)
		}
	}
}

// checkStranger has another customer ask for a turn.
func (r *run) checkStranger(client *Client, p int, k keptAnswer) {
	_, err := client.Reserve(context.Background(), gateway.Reservation{
		Customer: customerName(p + 1), Program: programName(p), Turn: "stranger-" + k.id, Previous: k.id, MaxOutputTokens: 1, Budget: 10,
	})
	if !errors.Is(err, gateway.ErrNoSuchTurn) {
		r.fail("turn %s of %s asked for by another customer: %v", k.id, customerName(p), err)
	}
}

// whereIs tells which keepers hold a turn, and what they take themselves for.
func (r *run) whereIs(turn string) string {
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
