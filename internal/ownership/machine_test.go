package ownership

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"foxhall/internal/ledger"
	"foxhall/internal/program"
	"foxhall/internal/standin"
)

// action is one step of a plan. Plans are drawn before the run, so that they can be replayed.
type action struct {
	Kind    string
	A, B    int
	Timeout time.Duration
}

var actionKinds = []string{
	"open", "open", "append", "append", "append", "append", "append", "hold", "hold", "hold", "end",
	"crash", "pause", "resume", "start", "handover",
	"down", "slow", "late", "lose", "drop", "regress", "limit", "heal", "heal",
	"wait", "wait", "longwait",
}

// drawPlan draws 20 to 80 actions.
func drawPlan(rt *rapid.T) []action {
	kind := rapid.SampledFrom(actionKinds)
	one := rapid.Custom(func(rt *rapid.T) action {
		return action{
			Kind:    kind.Draw(rt, "kind"),
			A:       rapid.IntRange(0, 1000).Draw(rt, "a"),
			B:       rapid.IntRange(0, 1000).Draw(rt, "b"),
			Timeout: time.Duration(rapid.IntRange(20, 8000).Draw(rt, "ms")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(one, 20, 80).Draw(rt, "plan")
}

// oracle records the outcomes that were reported to callers.
type oracle struct {
	mu       sync.Mutex
	programs map[program.ID]*callerView
	order    []program.ID
}

// callerView is what the callers of one program know.
type callerView struct {
	acked, refused []string
	// startedAt and ackedAt are the logical times at which each event's append began and was
	// acknowledged. moment is the program's logical clock.
	startedAt, ackedAt map[string]int
	moment             int
	// ended reports whether the end was acknowledged, endAttempted whether it was attempted.
	ended, endAttempted  bool
	unsettled, uncertain int
}

// machine runs a plan in a world and compares the result with the oracle.
type machine struct {
	*world
	oracle
	calls      sync.WaitGroup
	eventCount int
}

// TestOwnershipMachine runs random plans of calls and faults. An acknowledged record must never be
// lost, one that was refused as not written must never appear, an ended program must stay ended, and
// each program must have exactly one owner at the end.
func TestOwnershipMachine(t *testing.T) {
	seen := map[string]int64{}
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawPlan(rt)
		var failure string
		synctest.Test(t, func(t *testing.T) {
			failure = runPlan(t, plan, seen)
		})
		seen["plans"]++
		seen["actions"] += int64(len(plan))
		if failure != "" {
			rt.Fatalf("%s", failure)
		}
	})
	t.Log(seen)
}

// runPlan runs a plan on four instances and returns a description of the failures, or "".
func runPlan(t *testing.T, plan []action, seen map[string]int64) string {
	m := &machine{world: newWorld(t), oracle: oracle{programs: map[program.ID]*callerView{}}}
	for i := range 4 {
		m.start(float64(i + 1))
	}
	time.Sleep(100 * time.Millisecond)
	for _, a := range plan {
		m.act(a)
		time.Sleep(10 * time.Millisecond)
	}
	failure := m.finish()
	for _, inst := range m.all(running) {
		inst.close()
	}
	m.calls.Wait()
	m.countOutcomes(seen)
	return failure
}

// countOutcomes adds the run's outcomes to the totals, which show whether the plans reach each fault.
func (m *machine) countOutcomes(seen map[string]int64) {
	seen["most steps"] = max(seen["most steps"], m.steps.Load())
	for _, t := range m.programs {
		seen["programs"]++
		seen["acked"] += int64(len(t.acked))
		seen["refused"] += int64(len(t.refused))
		seen["unsettled"] += int64(t.unsettled)
		seen["uncertain"] += int64(t.uncertain)
	}
	for _, inst := range m.all(func(*instance) bool { return true }) {
		if _, _, fenced := inst.log.Fenced(); fenced {
			seen["sealed"]++
		}
		inst.metrics.Each(func(name string, metric any) {
			if c, ok := metric.(metrics.Counter); ok {
				seen[name] += c.Count()
			}
		})
	}
}

// act performs one action. It leaves at least two instances reachable, and starts one only if fewer
// than six are reachable.
func (m *machine) act(a action) {
	up := m.all(reachable)
	inst := up[a.A%len(up)]
	f := m.faults()
	switch a.Kind {
	case "open":
		// The id is not random, so that a replayed plan has the same shards.
		id := program.ID(fmt.Sprintf("%s:%026d", inst.self.Cohort, len(m.order)))
		m.oracle.mu.Lock()
		m.programs[id] = &callerView{}
		m.oracle.mu.Unlock()
		m.order = append(m.order, id)
		inst.owner.insert(id, newProgram())
		m.call(inst, id, a.Timeout, false, false)
	case "append", "hold", "end":
		m.callSome(a)
	case "crash":
		if len(up) > 2 {
			m.crash(inst)
		}
	case "pause":
		if len(up) > 2 {
			m.pause(inst)
		}
	case "resume":
		m.resumeSome(a.A)
	case "start":
		if len(up) < 6 {
			m.start(1)
		}
	case "handover":
		m.handOver(inst, len(up), a.Timeout)
	case "down":
		m.standIn.SetFaults(standin.StoreFaults{Down: true})
	case "slow":
		m.standIn.SetFaults(standin.StoreFaults{Delay: a.Timeout / 4})
	case "late":
		m.standIn.SetFaults(standin.StoreFaults{Delay: a.Timeout / 2, LateWrites: true})
	case "lose":
		f.LoseAnswers = 1 + a.A%3
		m.standIn.SetFaults(f)
	case "drop":
		f.DropWrites = 1 + a.A%3
		m.standIn.SetFaults(f)
	case "regress":
		f.RegressReads = 1 + a.A%4
		m.standIn.SetFaults(f)
	case "limit":
		f.Writes = 20
		m.standIn.SetFaults(f)
	case "heal":
		m.standIn.SetFaults(standin.StoreFaults{})
	case "wait":
		time.Sleep(a.Timeout / 10)
	case "longwait":
		time.Sleep(a.Timeout * 2)
	}
}

func (m *machine) faults() standin.StoreFaults { return m.standIn.Faults() }

// callSome appends to a program on an instance that has it, which may be one that does not know yet
// that it has lost the program.
func (m *machine) callSome(a action) {
	if len(m.order) == 0 {
		return
	}
	id := m.order[a.A%len(m.order)]
	having := m.all(func(inst *instance) bool { return reachable(inst) && inst.owner.lookup(id) != nil })
	if len(having) == 0 {
		return
	}
	m.call(having[a.B%len(having)], id, a.Timeout, a.Kind == "hold", a.Kind == "end")
}

// call appends one event, or the program's end, and records the outcome that is reported to the
// caller. A paused instance continues its call when it is resumed; a crashed one reports nothing.
func (m *machine) call(inst *instance, id program.ID, timeout time.Duration, hold, end bool) {
	m.eventCount++
	event := fmt.Sprintf("%d", m.eventCount)
	m.calls.Go(func() {
		p := inst.owner.lookup(id)
		p.busy <- struct{}{}
		defer func() { <-p.busy }()
		if p.ended || !inst.owns(id) {
			return
		}
		record := ledger.Record{Program: id, Event: []byte(event)}
		if end {
			record = ledger.Record{Program: id, Kind: ledger.Tombstone}
			m.updateView(id, func(t *callerView) { t.endAttempted = true })
		}
		m.updateView(id, func(t *callerView) { t.markMoment(&t.startedAt, event) })
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		var err error
		if hold {
			err = inst.log.AppendOrReplicate(ctx, record)
		} else {
			err = inst.log.Append(ctx, record)
		}
		m.recordOutcome(p, id, event, end, err)
	})
}

// owns reports whether the instance is not fenced and has adopted the id's shard.
func (inst *instance) owns(id program.ID) bool {
	_, _, fenced := inst.log.Fenced()
	return !fenced && inst.reconciler.Adopted(id)
}

// recordOutcome applies the outcome of an append to the program and to the oracle.
func (m *machine) recordOutcome(p *fakeProgram, id program.ID, event string, end bool, err error) {
	m.updateView(id, func(t *callerView) {
		switch {
		case err == nil && end:
			t.ended, p.ended = true, true
		case err == nil:
			t.acked = append(t.acked, event)
			t.markMoment(&t.ackedAt, event)
			p.add(event)
		case errors.Is(err, ledger.ErrOutcomeUnknown):
			t.unsettled++
			p.ended = p.ended || end // it may have ended, so nothing more is appended
		default:
			t.refused = append(t.refused, event)
		}
	})
}

// updateView changes the oracle's view of a program under its lock.
func (m *machine) updateView(id program.ID, change func(*callerView)) {
	m.oracle.mu.Lock()
	defer m.oracle.mu.Unlock()
	change(m.programs[id])
}

func (m *machine) resumeSome(a int) {
	paused := m.all(func(inst *instance) bool { return inst.paused })
	if len(paused) > 0 {
		m.resume(paused[a%len(paused)])
	}
}

// handOver stops an instance as planned. The instance continues to run for a while, like a process
// whose last responses are in flight.
func (m *machine) handOver(inst *instance, up int, timeout time.Duration) {
	if up <= 2 {
		return
	}
	m.world.mu.Lock()
	inst.stopped = true
	m.world.mu.Unlock()
	inst.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		if err := inst.reconciler.HandOver(ctx); err != nil {
			m.world.mu.Lock()
			defer m.world.mu.Unlock()
			if _, _, fenced := inst.log.Fenced(); !fenced {
				inst.stopped = false
			}
		}
	})
}

// finish ends all faults, waits, and compares the programs with the oracle. It returns the failures.
func (m *machine) finish() string {
	m.standIn.SetFaults(standin.StoreFaults{})
	for _, inst := range m.all(func(inst *instance) bool { return inst.paused }) {
		m.resume(inst)
	}
	m.calls.Wait()
	m.replaceLast()
	time.Sleep(3 * time.Minute)
	var failures []string
	for _, id := range m.order {
		if failure := m.check(id, m.programs[id]); failure != "" {
			failures = append(failures, fmt.Sprintf("%s: %s", id, failure))
		}
	}
	return strings.Join(failures, "\n")
}

// replaceLast starts an instance if the plan left none that can take over: in operation dead
// instances are replaced, and a fenced one restarts as a new incarnation. The plan of rapid seed
// 59, for example, ends with four dead instances and the fifth fenced.
func (m *machine) replaceLast() {
	fit := func(inst *instance) bool {
		_, _, fenced := inst.log.Fenced()
		return running(inst) && !fenced
	}
	if len(m.all(fit)) == 0 {
		m.start(1)
	}
}

// check compares one program with the oracle and returns the failure, or "".
func (m *machine) check(id program.ID, t *callerView) string {
	inst, p, failure := m.ownerOf(id)
	if failure == unknownCohort && len(t.acked) == 0 {
		// The owner died before it created the cohort's object.
		return ""
	}
	if failure != "" {
		return failure
	}
	if t.ended {
		if p != nil && !p.ended {
			return "expected the program to stay ended, found it alive on " + string(inst.self.Cohort)
		}
		return ""
	}
	if p == nil && inst.owner.isUnproven(id) {
		t.uncertain++
		return "" // callers are told that it is uncertain, not unknown
	}
	if p == nil || p.ended {
		if len(t.acked) > 0 && !t.endAttempted {
			return fmt.Sprintf("lost on %s, acknowledged %v", inst.self.Cohort, t.acked)
		}
		return ""
	}
	for _, event := range t.refused {
		if slices.Contains(p.Events, event) {
			return fmt.Sprintf("refused event %s appears in %v on %s", event, p.Events, inst.self.Cohort)
		}
	}
	if p.Uncertain {
		t.uncertain++
		return ""
	}
	if got := intersect(p.Events, t.acked); len(got) != len(t.acked) || t.misplaced(got) {
		return fmt.Sprintf("has %v on %s, acknowledged %v, held by %v", p.Events, inst.self.Cohort, t.acked, m.holders(t.acked))
	}
	return ""
}

// markMoment records the logical time of an event.
func (t *callerView) markMoment(moments *map[string]int, event string) {
	if *moments == nil {
		*moments = map[string]int{}
	}
	t.moment++
	(*moments)[event] = t.moment
}

// misplaced reports whether an event follows one whose append began only after the event was
// acknowledged. Overlapping appends may be in any order: an owner that is paused between its write
// and the response reports the write after its successor has continued (rapid seed 1152985: 2
// written, log sealed, 6 written, 6 acknowledged, 2 acknowledged).
func (t *callerView) misplaced(events []string) bool {
	for i, early := range events {
		for _, late := range events[i+1:] {
			if t.ackedAt[late] < t.startedAt[early] {
				return true
			}
		}
	}
	return false
}

// holders describes which instances held copies of the events, and when they crashed.
func (m *machine) holders(events []string) []string {
	var out []string
	for _, e := range events {
		for _, c := range m.heldBy[e] {
			for _, inst := range m.all(func(inst *instance) bool { return inst.self.Cohort == c }) {
				out = append(out, fmt.Sprintf("%s: %s (crashed %v)", e, c, inst.crashedAt))
			}
		}
	}
	return out
}

// intersect returns the events that are wanted, in their order.
func intersect(events, wanted []string) []string {
	var out []string
	for _, e := range events {
		if slices.Contains(wanted, e) {
			out = append(out, e)
		}
	}
	return out
}

// relay locates the owner as an entry does: if the instance found disowns the program, the directory
// reads that cohort again and the owner is located again.
func (m *machine) relay(inst *instance, id program.ID) (Owner, error) {
	var last Owner
	for range maxHops {
		found, err := inst.reconciler.Directory().Locate(context.Background(), id)
		last = found
		if err != nil || found.IsSelf {
			return found, err
		}
		to := m.find(found.Cohort)
		if to == nil || to.owns(id) {
			return found, nil
		}
		if _, _, fenced := to.log.Fenced(); !fenced {
			return found, nil
		}
		if err := inst.reconciler.Directory().ReadAgain(context.Background(), found.Cohort); err != nil {
			return found, err
		}
	}
	return last, errors.New("no owner found within the maximum number of hops")
}

const unknownCohort = "cohort unknown"

// ownerOf returns the program's owner, on which all running instances must agree, or the failure.
func (m *machine) ownerOf(id program.ID) (*instance, *fakeProgram, string) {
	var owner Owner
	for _, inst := range m.all(running) {
		found, err := m.relay(inst, id)
		if errors.Is(err, ErrUnknownCohort) {
			return nil, nil, unknownCohort
		}
		if err != nil {
			return nil, nil, fmt.Sprintf("not located by %s: %v", inst.self.Cohort, err)
		}
		if owner.Cohort != "" && owner.Cohort != found.Cohort {
			return nil, nil, fmt.Sprintf("owned by %s and, according to %s, by %s", owner.Cohort, inst.self.Cohort, found.Cohort)
		}
		owner = found
	}
	inst := m.find(owner.Cohort)
	if inst == nil {
		return nil, nil, "owner is not reachable: " + string(owner.Cohort)
	}
	if !inst.owns(id) {
		return nil, nil, "not adopted by its owner " + string(owner.Cohort)
	}
	return inst, inst.owner.lookup(id), ""
}
