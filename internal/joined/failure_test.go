package joined

import (
	"strings"
	"testing"
	"time"
)

// expectPromises runs the events, which may overlap, and fails the test if a guarantee was violated.
// With checkMemory it also checks that engines released the memory of ended programs.
func expectPromises(t *testing.T, checkMemory bool, events ...event) {
	t.Helper()
	if violations := runEvents(t, events, checkMemory); len(violations) > 0 {
		t.Errorf("events %+v\n%s", events, strings.Join(violations, "\n"))
	}
}

// Guards against a rolling replacement that interrupts requests. Instances of both data centres are
// stopped one after the other while programs run on them. Each must complete its responses, hand its
// programs over and exit; no connection breaks during a call, and every program finishes.
func TestPlannedStopsBreakNoRequest(t *testing.T) {
	expectPromises(t, false,
		event{After: 2 * time.Second, Kind: "stop", Which: 0, For: 4 * time.Second},
		event{After: 3 * time.Second, Kind: "stop", Which: 1, For: 4 * time.Second},
		event{After: 3 * time.Second, Kind: "stop", Which: 3, For: 4 * time.Second})
}

// Guards against engine memory that is never released because the owner of the program was killed:
// other instances take its programs over and end them. Once repeats of their steps are no longer
// answered, no engine may hold memory for them.
func TestMemoryIsReleasedAfterKill(t *testing.T) {
	expectPromises(t, true,
		event{After: 3 * time.Second, Kind: "kill", Which: 0, For: 4 * time.Second},
		event{After: 3 * time.Second, Kind: "kill", Which: 3, For: 4 * time.Second})
}

// Guards against faults that are handled one at a time but not together: in each pair one fault
// hinders the recovery from the other. Every guarantee that the oracle checks must hold, and no
// program may end without a code in explainedCodes.
func TestPromisesUnderPairsOfFaults(t *testing.T) {
	const s = time.Second
	for name, events := range map[string][]event{
		// No instance can seal the dead owner's log before the outage ends.
		"store down, owner killed": {{After: 3 * s, Kind: "store-down", For: 10 * s}, {After: s, Kind: "kill", Which: 0, For: 4 * s}},
		// The survivors that detect the failure cannot write the seal.
		"store unreachable, owner killed": {{After: 3 * s, Kind: "cut-platform", Which: 0, For: 10 * s}, {After: s, Kind: "kill", Which: 1, For: 4 * s}},
		// An unreachable instance must get the edit once it is reachable again.
		"instance isolated, edit": {{After: 3 * s, Kind: "isolate", Which: 2, For: 8 * s}, {After: s, Kind: "edit"}},
		// The seal is written, but the successor does not get the store's response.
		"store responses lost, owner killed": {{After: 3 * s, Kind: "lose-answers", N: 3, For: 10 * s}, {Kind: "kill", Which: 0, For: 4 * s}},
		// The handoff must be written while each write takes most of its timeout.
		"store slow, planned stop": {{After: 3 * s, Kind: "store-slow", N: 1, For: 10 * s}, {After: s, Kind: "stop", Which: 0, For: 4 * s}},
		// The successor is killed during the adoption.
		"owner killed, successor killed": {{After: 3 * s, Kind: "kill", Which: 0, For: 30 * s}, {After: 4 * s, Kind: "kill", Which: 1, For: 8 * s}},
		// Both sides of a network partition suspect the other, and one instance is really dead.
		"data centres partitioned, owner killed": {{After: 3 * s, Kind: "cut-centres", For: 10 * s}, {After: s, Kind: "kill", Which: 3, For: 4 * s}},
		// The step took effect at the service, and the owner is killed while it waits for the response.
		"service hangs, owner killed": {{After: 3 * s, Kind: "tool-hang", Which: 0, N: 3, For: 6 * s}, {After: s, Kind: "kill", Which: 0, For: 4 * s}},
		// The store drops writes while operators edit concurrently.
		"writes lost, concurrent edits": {{After: 3 * s, Kind: "drop-writes", N: 3, For: 8 * s}, {After: s / 2, Kind: "race"}},
		// The upstream starts draining while one instance cannot learn of it from its peers.
		"engine drains, instance isolated": {{After: 3 * s, Kind: "isolate", Which: 1, For: 3 * s}, {Kind: "engine-leaves", Which: 0, For: 12 * s}},
	} {
		t.Run(name, func(t *testing.T) { expectPromises(t, false, events...) })
	}
}

// Guards against new calls to a draining engine when the signs disagree. In one data centre an engine
// reports in its responses that it drains while the platform's stale list, written again, has it as
// live. In the other one the list has an engine as draining that does not report it. Meanwhile one
// instance is killed and replaced, so that it knows only what it reads and what its peers send. One
// sign must be enough: after a few seconds no call reaches either engine.
func TestEitherSignOfDrainingStopsNewCalls(t *testing.T) {
	expectPromises(t, false,
		event{After: time.Second, Kind: "list-stale", Which: 0, For: 6 * time.Second},
		event{Kind: "list-leaves", Which: 3, For: 6 * time.Second},
		event{After: 2 * time.Second, Kind: "kill", Which: 1, For: 4 * time.Second})
}

// Guards against overspending a budget after a network partition and kills. Many programs of a plan
// with a small budget run in two partitioned data centres, and instances that hold a part of the
// budget are killed, some of them twice. The part that a killed instance held counts as spent, so the
// callers may get less than the budget but never more.
func TestBudgetHoldsUnderPartitionsAndKills(t *testing.T) {
	thrifty := func(int) (string, string) { return thriftKey, "thrift" }
	violations := runEventsWith(t, thrifty, []event{
		{After: 2 * time.Second, Kind: "cut-centres", For: 9 * time.Second},
		{After: time.Second, Kind: "kill", Which: 0, For: 2 * time.Second},
		{After: time.Second, Kind: "kill", Which: 3, For: 2 * time.Second},
		{After: 2 * time.Second, Kind: "lose-answers", N: 2, For: 3 * time.Second},
		{After: time.Second, Kind: "kill", Which: 0, For: 2 * time.Second},
	}, false)
	if len(violations) > 0 {
		t.Error(strings.Join(violations, "\n"))
	}
}

// Guards against accepted edits that are lost or reverted. Operators edit one entry concurrently while
// the store applies writes and drops the responses, and while an instance and then a data centre are
// unreachable; later the store answers some reads from an older state. Of the edits based on one
// version only one may be accepted, the others get a conflict; an accepted edit must be in force
// everywhere within ten seconds of the end of the faults.
func TestAcceptedEditsStayInForce(t *testing.T) {
	expectPromises(t, false,
		event{After: time.Second, Kind: "lose-answers", N: 3, For: 12 * time.Second},
		event{After: time.Second, Kind: "race"},
		event{Kind: "isolate", Which: 1, For: 9 * time.Second},
		event{After: time.Second, Kind: "cut-platform", Which: 3, For: 8 * time.Second},
		event{After: time.Second, Kind: "race"},
		event{After: 2 * time.Second, Kind: "race"},
		event{After: 2 * time.Second, Kind: "edit"},
		event{After: 7 * time.Second, Kind: "regress-reads", N: 3, For: 5 * time.Second})
}

// Guards against a log that is sealed without a successor, after which callers get "moved" for ever.
// A program's owner is killed while the rest of its data centre is away: one instance is still
// stopping, for as long as the object API is unreachable for it, and the killed owner's replacement
// is the only instance and considers itself isolated when it seals the log.
func TestLogIsSealedWithSuccessorWhileDataCentreIsAway(t *testing.T) {
	expectPromises(t, false,
		event{After: time.Millisecond, Kind: "kill", Which: 4, For: 474 * time.Millisecond},
		event{After: 3690 * time.Millisecond, Kind: "stop", Which: 6, For: 291 * time.Millisecond},
		event{After: 208 * time.Millisecond, Kind: "stop", Which: 5, For: 202 * time.Millisecond},
		event{After: 3497 * time.Millisecond, Kind: "kill", Which: 8, For: 8826 * time.Millisecond})
}

// Guards against the response "no such program" for a program that is being handed over. A sub-agent
// starts just as the owner of its parent stops, and the call is relayed to the successor before the
// successor has adopted the parent.
func TestSubAgentFindsParentDuringHandoff(t *testing.T) {
	expectPromises(t, false,
		event{After: 598 * time.Millisecond, Kind: "isolate", Which: 6, For: 202 * time.Millisecond},
		event{Kind: "stop", Which: 1, For: 201 * time.Millisecond},
		event{After: 1190 * time.Millisecond, Kind: "stop", Which: 3, For: 385 * time.Millisecond},
		event{After: 4 * time.Second, Kind: "stop", Which: 2, For: 269 * time.Millisecond})
}
