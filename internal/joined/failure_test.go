package joined

import (
	"strings"
	"testing"
	"time"
)

// expect runs the acts, which may overlap, and fails the test for each promise
// that does not hold afterwards.
func expectPromises(t *testing.T, memory bool, acts ...event) {
	t.Helper()
	if faults := runEvents(t, acts, memory); len(faults) > 0 {
		t.Errorf("acts %+v\n%s", acts, strings.Join(faults, "\n"))
	}
}

// Instances of both data centres are stopped one after the other while
// programs run on them, as in a rolling replacement. Each ends its answers,
// hands its programs over and goes; no caller sees a connection break under
// its call, and each program finishes.
func TestPlannedStopsBreakNoRequest(t *testing.T) {
	expectPromises(t, false,
		event{After: 2 * time.Second, Kind: "stop", Which: 0, For: 4 * time.Second},
		event{After: 3 * time.Second, Kind: "stop", Which: 1, For: 4 * time.Second},
		event{After: 3 * time.Second, Kind: "stop", Which: 3, For: 4 * time.Second})
}

// The owner of programs is killed, and others take them over and end them. No
// engine still holds their memory when their repeats are no longer answered.
func TestMemoryIsReleasedAfterKill(t *testing.T) {
	expectPromises(t, true,
		event{After: 3 * time.Second, Kind: "kill", Which: 0, For: 4 * time.Second},
		event{After: 3 * time.Second, Kind: "kill", Which: 3, For: 4 * time.Second})
}

// Two faults at once, each pair where one hinders what mends the other. What
// has to hold is the same for all: every promise that the oracle names, and
// no program lost without an explanation.
func TestPairsOfFaults(t *testing.T) {
	const s = time.Second
	for name, acts := range map[string][]event{
		// Nobody can seal the dead owner's log before the outage ends.
		"store down, owner killed": {{After: 3 * s, Kind: "store-down", For: 10 * s}, {After: s, Kind: "kill", Which: 0, For: 4 * s}},
		// The survivors that see the death cannot write its seal.
		"platform cut, owner killed": {{After: 3 * s, Kind: "cut-platform", Which: 0, For: 10 * s}, {After: s, Kind: "kill", Which: 1, For: 4 * s}},
		// An instance that cannot be reached gets the edit once it is back.
		"instance isolated, edit": {{After: 3 * s, Kind: "isolate", Which: 2, For: 8 * s}, {After: s, Kind: "edit"}},
		// The seal is written, and the successor is not told so.
		"answers lost, owner killed": {{After: 3 * s, Kind: "lose-answers", N: 3, For: 10 * s}, {Kind: "kill", Which: 0, For: 4 * s}},
		// The hand-over has to be written while each write takes most of its timeout.
		"store slow, planned stop": {{After: 3 * s, Kind: "store-slow", N: 1, For: 10 * s}, {After: s, Kind: "stop", Which: 0, For: 4 * s}},
		// The one that takes over dies while it does.
		"owner killed, successor killed": {{After: 3 * s, Kind: "kill", Which: 0, For: 30 * s}, {After: 4 * s, Kind: "kill", Which: 1, For: 8 * s}},
		// Both sides of a cut see the other as gone, and one really is.
		"data centres cut, owner killed": {{After: 3 * s, Kind: "cut-centres", For: 10 * s}, {After: s, Kind: "kill", Which: 3, For: 4 * s}},
		// The service took effect and the owner that waits for its answer dies.
		"service hangs, owner killed": {{After: 3 * s, Kind: "tool-hang", Which: 0, N: 3, For: 6 * s}, {After: s, Kind: "kill", Which: 0, For: 4 * s}},
		// Writes get lost while operators race.
		"writes lost, operators race": {{After: 3 * s, Kind: "drop-writes", N: 3, For: 8 * s}, {After: s / 2, Kind: "race"}},
		// The upstream leaves while one instance cannot hear of it from its peers.
		"engine leaves, instance isolated": {{After: 3 * s, Kind: "isolate", Which: 1, For: 3 * s}, {Kind: "engine-leaves", Which: 0, For: 12 * s}},
	} {
		t.Run(name, func(t *testing.T) { expectPromises(t, false, acts...) })
	}
}

// An engine drains and says so in its answers, while the platform's lagging
// list goes on to call it live and is written again as such; then, elsewhere,
// the list calls an engine leaving that itself says nothing of it, and one
// instance starts anew meanwhile and knows only what it reads and hears. One
// sign of leaving is enough: after a few seconds no call reaches either engine.
func TestEitherSignOfDrainingStopsNewCalls(t *testing.T) {
	expectPromises(t, false,
		event{After: time.Second, Kind: "list-stale", Which: 0, For: 6 * time.Second},
		event{Kind: "list-leaves", Which: 3, For: 6 * time.Second},
		event{After: 2 * time.Second, Kind: "kill", Which: 1, For: 4 * time.Second})
}

// Many programs of a small plan run in two data centres that are cut from each
// other, and instances with a part of the budget in hand are killed, some of
// them twice. What the dead held counts as spent: the callers get less than the
// budget, and never more.
func TestBudgetHoldsUnderPartitionsAndKills(t *testing.T) {
	thrifty := func(int) (string, string) { return thriftKey, "thrift" }
	faults := runEventsWith(t, thrifty, []event{
		{After: 2 * time.Second, Kind: "cut-centres", For: 9 * time.Second},
		{After: time.Second, Kind: "kill", Which: 0, For: 2 * time.Second},
		{After: time.Second, Kind: "kill", Which: 3, For: 2 * time.Second},
		{After: 2 * time.Second, Kind: "lose-answers", N: 2, For: 3 * time.Second},
		{After: time.Second, Kind: "kill", Which: 0, For: 2 * time.Second},
	}, false)
	if len(faults) > 0 {
		t.Error(strings.Join(faults, "\n"))
	}
}

// Operators race on one entry while the store applies writes and loses the
// answers, and an instance and then a data centre are out of reach; later the
// store answers some reads from an older state. Of edits
// from one version one is accepted and the others are told of a conflict; what
// was accepted is in force everywhere within ten seconds of the healing.
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

// A program's owner is killed while the rest of its data centre is away: one
// instance still stops, for as long as the object API is out of its reach, and
// the killed owner's replacement is alone and sees itself cut off. It sealed
// the dead log without a successor, and the callers were told "moved" for ever.
func TestOwnerKilledWhileItsDataCentreIsAway(t *testing.T) {
	expectPromises(t, false,
		event{After: time.Millisecond, Kind: "kill", Which: 4, For: 474 * time.Millisecond},
		event{After: 3690 * time.Millisecond, Kind: "stop", Which: 6, For: 291 * time.Millisecond},
		event{After: 208 * time.Millisecond, Kind: "stop", Which: 5, For: 202 * time.Millisecond},
		event{After: 3497 * time.Millisecond, Kind: "kill", Which: 8, For: 8826 * time.Millisecond})
}

// A caller's sub-agent starts just as its parent's owner stops. The call is
// relayed to the successor before that has adopted the parent, and was answered
// "no such program", although the parent went on there a moment later.
func TestSubAgentStartsDuringHandoff(t *testing.T) {
	expectPromises(t, false,
		event{After: 598 * time.Millisecond, Kind: "isolate", Which: 6, For: 202 * time.Millisecond},
		event{Kind: "stop", Which: 1, For: 201 * time.Millisecond},
		event{After: 1190 * time.Millisecond, Kind: "stop", Which: 3, For: 385 * time.Millisecond},
		event{After: 4 * time.Second, Kind: "stop", Which: 2, For: 269 * time.Millisecond})
}
