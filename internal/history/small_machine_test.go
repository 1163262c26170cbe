package history

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

const (
	// minLossInterval and maxLossInterval bound the time between two losses of a series, in milliseconds.
	minLossInterval, maxLossInterval = 300, 800
	// smallRetention outlasts every plan. Programs whose turns are retained for less than longRetention have no budget.
	smallRetention = longRetention / 2
	// drainBound is the longest time that a planned exit waits for its successors.
	drainBound = 2 * time.Second
	// defaultSmallPlans is the number of plans where that of other random tests is defaultChecks.
	defaultSmallPlans = 4
)

// smallPlan is a series of losses of keepers, with a final fault in or after it.
type smallPlan struct {
	MaxDiskFailures int
	Seed            uint64
	Losses          []smallLoss
	// Final is the kind of the final fault, and Disks how many disks it takes at most.
	Final string
	Disks int
	// AtAcknowledgement means that the final fault follows an acknowledgement; else it follows the series after Pause.
	AtAcknowledgement bool
	// LoseAll means that losses of power take all unsynced writes.
	LoseAll     bool
	Pause, Away time.Duration
}

// smallLoss is the loss of a keeper, or of the store, for some time.
type smallLoss struct {
	Kind    string
	Machine int
	After   time.Duration
	// For is how long it lasts; 0 if until the end.
	For time.Duration
}

var (
	smallLossKinds = []string{"kill", "kill", "exit", "freeze", "power"}
	// shortLossKinds are those of keepers that come back within the series, and of the store.
	shortLossKinds = []string{"freeze", "freeze", "kill", "store"}
	// smallFinalKinds are the final faults: all processes are killed, all machines lose power, the disks of some that
	// serve are lost, at times while all others lose power, or these are gone for good.
	smallFinalKinds = []string{"killall", "powerall", "disks", "disks", "diskspower", "gone"}
)

func drawMilliseconds(rt *rapid.T, least, most int, label string) time.Duration {
	return time.Duration(rapid.IntRange(least, most).Draw(rt, label)) * time.Millisecond
}

func drawSmallPlan(rt *rapid.T) smallPlan {
	p := smallPlan{
		MaxDiskFailures:   rapid.IntRange(1, 3).Draw(rt, "disks that may be lost"),
		Seed:              rapid.Uint64().Draw(rt, "seed"),
		Final:             rapid.SampledFrom(smallFinalKinds).Draw(rt, "final"),
		AtAcknowledgement: rapid.Bool().Draw(rt, "at an acknowledgement"),
		LoseAll:           rapid.IntRange(0, 2).Draw(rt, "lose all") == 0,
		Pause:             drawMilliseconds(rt, 0, 4000, "pause"),
		Away:              drawMilliseconds(rt, 0, 3000, "away"),
	}
	p.Disks = p.MaxDiskFailures
	if rapid.IntRange(0, 3).Draw(rt, "fewer") == 0 {
		p.Disks = rapid.IntRange(1, p.MaxDiskFailures).Draw(rt, "disks")
	}
	order := rapid.Permutation([]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}).Draw(rt, "order")
	down, mayReturn := rapid.IntRange(1, 9).Draw(rt, "down"), true
	if rapid.IntRange(0, 3).Draw(rt, "many are left") > 0 {
		down, mayReturn = len(order)-rapid.IntRange(1, p.MaxDiskFailures).Draw(rt, "left"), false
	}
	for _, m := range order[:down] {
		l := drawSmallLoss(rt, smallLossKinds, m)
		if mayReturn && rapid.IntRange(0, 2).Draw(rt, "returns") == 0 {
			l.For = drawMilliseconds(rt, 100, 3000, "for")
		}
		p.Losses = append(p.Losses, l)
	}
	for range rapid.IntRange(0, 4).Draw(rt, "short") {
		l := drawSmallLoss(rt, shortLossKinds, rapid.SampledFrom(order[down:]).Draw(rt, "machine"))
		l.For = drawMilliseconds(rt, 100, 2000, "for")
		at := rapid.IntRange(0, len(p.Losses)).Draw(rt, "at")
		p.Losses = slices.Insert(p.Losses, at, l)
	}
	return p
}

func drawSmallLoss(rt *rapid.T, kinds []string, machine int) smallLoss {
	return smallLoss{
		Kind:    rapid.SampledFrom(kinds).Draw(rt, "kind"),
		Machine: machine,
		After:   drawMilliseconds(rt, minLossInterval, maxLossInterval, "after"),
	}
}

// smallRun is the execution of a smallPlan.
type smallRun struct {
	*run
	plan smallPlan
	// events are the counts of all plans, without the errors that callers see.
	events  map[string]int
	disks   map[*machine]*powerDisk
	changes map[*machine]chan struct{}
	// ended is closed when callers stop, and acknowledged receives a value after each acknowledgement.
	ended        chan struct{}
	acknowledged chan struct{}
	// faults are the losses under way.
	faults sync.WaitGroup
	isOver bool
	// gone are the machines that never come back.
	gone []*machine
}

// TestRandomFaultsOfSmallEnsembles loses most of ten keepers in series, then the last ones with their disks. Guards
// against the loss of what few holders acknowledged: recoveryBound after the start of all that are left, each
// acknowledged turn must be served with its chain, and it is never answered as unknown.
func TestRandomFaultsOfSmallEnsembles(t *testing.T) {
	if checks := flag.Lookup("rapid.checks"); checks.Value.String() == fmt.Sprint(defaultChecks) {
		_ = checks.Value.Set(fmt.Sprint(defaultSmallPlans))
		defer func() { _ = checks.Value.Set(fmt.Sprint(defaultChecks)) }()
	}
	eventCounts := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawSmallPlan(rt)
		var failures []string
		synctest.Test(t, func(t *testing.T) { failures = runSmallPlan(t, plan, eventCounts) })
		if len(failures) > 0 {
			rt.Fatalf("%v", failures[:min(3, len(failures))])
		}
	})
	t.Log(eventCounts)
}

func runSmallPlan(t *testing.T, plan smallPlan, eventCounts map[string]int) []string {
	cl := newTenKeeperCluster(t, plan.MaxDiskFailures)
	r := &smallRun{
		run:  &run{cluster: cl, eventCounts: map[string]int{}, retention: smallRetention, oracle: oracle{entries: map[int]*Client{}}},
		plan: plan, events: eventCounts, disks: map[*machine]*powerDisk{}, changes: map[*machine]chan struct{}{},
		ended: make(chan struct{}), acknowledged: make(chan struct{}, 1),
	}
	r.prepareDisks()
	r.startAll()
	time.Sleep(convergenceTime)
	for p := range programCount {
		r.calls.Go(func() { r.runProgram(p) })
	}
	r.runSeries()
	close(r.ended)
	r.calls.Wait()
	r.recover()
	recovered := time.Now().Add(recoveryBound)
	for range 8 { // each turn ends within 6 s
		for p := range programCount {
			r.calls.Go(func() { r.runTurn(action{Kind: "turn", A: p, B: 1}) })
		}
		time.Sleep(time.Second)
	}
	r.calls.Wait()
	time.Sleep(time.Until(recovered))
	r.countRecoveries()
	r.checkAll()
	r.events["plans"]++
	r.stopAll()
	time.Sleep(releaseTimeout)
	if len(r.failures) > 0 {
		t.Logf("%+v; gone for good: %v\n%s", plan, names(r.gone), strings.Join(r.trace.lines, "\n"))
	}
	return r.failures
}

func (r *smallRun) prepareDisks() {
	for i, m := range r.machines {
		d, err := newPowerDisk(m.dir, r.plan.Seed+uint64(i))
		if err != nil {
			r.t.Fatal(err)
		}
		r.disks[m], r.changes[m] = d, make(chan struct{}, 1)
		m.onOpen = d.attach
	}
}

// runProgram runs the turns of a program, each after the one before.
func (r *smallRun) runProgram(p int) {
	random := rand.New(rand.NewPCG(r.plan.Seed, uint64(p)))
	for {
		select {
		case <-r.ended:
			return
		case <-time.After(time.Duration(random.IntN(60)) * time.Millisecond):
		}
		r.oracle.mu.Lock()
		before := len(r.retained[p])
		r.oracle.mu.Unlock()
		r.runTurn(action{Kind: "turn", A: p, B: random.IntN(1000), For: time.Duration(random.IntN(400)) * time.Millisecond})
		r.oracle.mu.Lock()
		served := len(r.retained[p]) > before
		r.oracle.mu.Unlock()
		if served {
			role := r.roleOf(programName(p))
			r.count(fmt.Sprintf("turns of ensembles of %d, copied %v", len(role.holders()), role.Copied))
			notify(r.acknowledged)
		}
	}
}

func (r *smallRun) count(event string) {
	r.oracle.mu.Lock()
	defer r.oracle.mu.Unlock()
	r.events[event]++
}

// change runs f once no other change of the machine is under way.
func (r *smallRun) change(m *machine, f func()) {
	r.changes[m] <- struct{}{}
	defer func() { <-r.changes[m] }()
	f()
}

// runSeries runs the losses and the final fault.
func (r *smallRun) runSeries() {
	for _, l := range r.plan.Losses {
		time.Sleep(l.After)
		r.trace.printf("loss %+v", l)
		r.count("loss: " + l.Kind)
		r.faults.Go(func() { r.lose(l) })
	}
	time.Sleep(r.plan.Pause)
	if r.plan.AtAcknowledgement {
		select {
		case <-r.acknowledged: // an earlier one
		default:
		}
		select {
		case <-r.acknowledged:
		case <-time.After(convergenceTime):
		}
	}
	r.final()
	r.faults.Wait()
}

// over reports whether the final fault has been.
func (r *smallRun) over() bool {
	r.oracle.mu.Lock()
	defer r.oracle.mu.Unlock()
	return r.isOver
}

// lose runs one loss. What returns from it does so before the final fault only.
func (r *smallRun) lose(l smallLoss) {
	m := r.machines[l.Machine]
	undo := func() { r.change(m, m.restart) }
	switch l.Kind {
	case "kill":
		r.change(m, m.stop)
	case "exit":
		r.exitPlanned(m)
	case "freeze":
		m.pause()
		undo = m.resume
	case "power":
		r.cutPower([]*machine{m})
	case "store":
		r.setStoreUnavailable(true)
		undo = func() { r.setStoreUnavailable(false) }
	}
	if l.For == 0 {
		return
	}
	time.Sleep(l.For)
	if !r.over() {
		undo()
	}
}

func (r *smallRun) exitPlanned(m *machine) {
	r.cluster.mu.Lock()
	p := m.process
	r.cluster.mu.Unlock()
	if p == nil {
		return
	}
	ctx, cancel := context.WithTimeout(p.ctx, drainBound)
	defer cancel()
	p.keeper.HandOff(ctx)
	if !r.over() {
		r.change(m, m.exit)
	}
}

// cutPower cuts the power of machines at one moment.
func (r *smallRun) cutPower(machines []*machine) {
	for _, m := range machines {
		r.disks[m].cut()
		r.kill(m)
	}
	for _, m := range machines {
		r.change(m, func() {
			m.resume()
			m.stop()
			if err := r.disks[m].lose(r.plan.LoseAll); err != nil {
				r.fail("%v", err)
			}
		})
	}
}

// kill kills the process of a machine without waiting for its end.
func (r *smallRun) kill(m *machine) {
	r.cluster.mu.Lock()
	defer r.cluster.mu.Unlock()
	if m.process != nil {
		m.process.kill()
	}
}

// final runs the final fault. Machines that are gone for good are left without a process and a name in the system.
func (r *smallRun) final() {
	r.oracle.mu.Lock()
	r.isOver = true
	r.oracle.mu.Unlock()
	victims := r.victims()
	r.trace.printf("final %s, disks of %v", r.plan.Final, names(victims))
	r.count("final: " + r.plan.Final)
	r.countLostEnsembles(victims)
	rest := slices.DeleteFunc(slices.Clone(r.machines), func(m *machine) bool { return slices.Contains(victims, m) })
	for _, m := range victims {
		r.kill(m)
	}
	switch r.plan.Final {
	case "killall":
		for _, m := range rest {
			r.kill(m)
		}
		for _, m := range rest {
			r.change(m, m.stop)
		}
	case "powerall", "diskspower":
		r.cutPower(rest)
	}
	for _, m := range victims {
		r.change(m, func() { r.wipeDisk(m) })
	}
	if r.plan.Final == "gone" {
		r.gone = victims
	}
}

func (r *smallRun) wipeDisk(m *machine) {
	m.resume()
	m.wipe()
	d := r.disks[m]
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.files) > 0 {
		d.forget(d.files[0])
	}
}

// victims returns the machines whose disks the final fault takes: those that serve first.
func (r *smallRun) victims() []*machine {
	if r.plan.Final == "killall" || r.plan.Final == "powerall" {
		return nil
	}
	var serving, others []*machine
	a := r.currentAssignment()
	for _, m := range r.machines {
		if r.isRunning(m.name) && slices.ContainsFunc(a.Shards[:], func(s ShardAssignment) bool { return s.hasHolder(m.name) }) {
			serving = append(serving, m)
		} else {
			others = append(others, m)
		}
	}
	return append(serving, others...)[:r.plan.Disks]
}

func names(machines []*machine) []string {
	var list []string
	for _, m := range machines {
		list = append(list, m.name)
	}
	return list
}

// countLostEnsembles counts the shards of programs that lose the disks of all their holders.
func (r *smallRun) countLostEnsembles(victims []*machine) {
	lost := names(victims)
	for p := range programCount {
		role := r.roleOf(programName(p))
		holders := role.holders()
		if len(holders) > 0 && !slices.ContainsFunc(holders, func(h string) bool { return !slices.Contains(lost, h) }) {
			r.count(fmt.Sprintf("shards that lost the disks of all %d holders", len(holders)))
		}
	}
}

// recover ends all faults and starts all machines but those that are gone for good.
func (r *smallRun) recover() {
	time.Sleep(r.plan.Away)
	r.setStoreUnavailable(false)
	for _, m := range r.machines {
		if slices.Contains(r.gone, m) {
			continue
		}
		m.resume()
		r.change(m, m.restart)
	}
}

// countRecoveries counts the recoveries of shards from the store, and what losses of power took.
func (r *smallRun) countRecoveries() {
	r.trace.mu.Lock()
	lines := slices.Clone(r.trace.lines)
	r.trace.mu.Unlock()
	for _, line := range lines {
		for _, event := range []string{"its changes are taken from the store", "log compacted", "damaged record", "more disks lost than tolerated"} {
			if strings.Contains(line, event) {
				r.count(event)
			}
		}
	}
	for _, d := range r.disks {
		for kind, n := range d.lost {
			r.events["power: "+kind] += n
		}
	}
}
