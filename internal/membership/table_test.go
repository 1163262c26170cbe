package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/program"
)

var start = time.Unix(1000, 0)

// tableOf returns a table of instance a.self.1 with the given members live.
func tableOf(others ...program.Cohort) *Table {
	t := NewTable("a.self.1", "a-self", Report{Size: 1, StoreHealthy: true}, DefaultTiming(), start)
	t.Announce(Live, start)
	for _, c := range others {
		t.Merge(Record{Cohort: c, Address: string(c), State: Live}, start)
		t.RecordContact(c, start)
	}
	return t
}

func stateIn(t *Table, c program.Cohort) State {
	m, _ := t.Lookup(c)
	return m.State
}

// Witnesses in another data centre do not replace those in the member's own,
// since a network partition may separate the data centres. Three witnesses in
// the member's own data centre suffice.
func TestDeathNeedsWitnessesOfTheOwnDataCentre(t *testing.T) {
	is := is.New(t)
	late := start.Add(DefaultTiming().SuspectTimeout)
	members := []program.Cohort{"a.m.1", "a.x.1", "a.y.1", "a.z.1", "b.p.1", "b.q.1"}
	table := tableOf(members...)
	table.Suspect("a.m.1", 0, []program.Cohort{"a.self.1", "b.p.1", "b.q.1"}, start)
	table.Tick(late)
	is.Equal(stateIn(table, "a.m.1"), Suspect)
	table.Suspect("a.m.1", 0, []program.Cohort{"a.x.1", "a.y.1"}, start)
	table.Tick(late)
	is.Equal(stateIn(table, "a.m.1"), Dead)
}

// A witness that is itself suspect does not count: it may be the isolated one.
func TestSuspectWitnessDoesNotCount(t *testing.T) {
	is := is.New(t)
	table := tableOf("a.m.1", "a.x.1", "a.y.1", "a.z.1")
	table.Suspect("a.m.1", 0, []program.Cohort{"a.self.1", "a.x.1", "a.y.1"}, start)
	table.Suspect("a.x.1", 0, []program.Cohort{"a.z.1"}, start)
	table.Tick(start.Add(DefaultTiming().SuspectTimeout))
	is.Equal(stateIn(table, "a.m.1"), Suspect)
}

// Three witnesses suspect a member, and one of them is replaced by a new process.
// The list of witnesses is full, but the dead witness does not count. The new
// process must replace it in the list, or the member stays suspect for ever.
func TestDeadWitnessIsReplaced(t *testing.T) {
	is := is.New(t)
	late := start.Add(DefaultTiming().SuspectTimeout * massFailureTimeoutFactor)
	table := tableOf("a.m.1", "a.x.1", "a.y.1")
	table.Suspect("a.m.1", 0, []program.Cohort{"a.self.1", "a.x.1", "a.y.1"}, start)
	table.DeclareSuperseded("a.x.1", start)
	table.Merge(Record{Cohort: "a.x.2", Address: "a.x.1", State: Live}, start)
	table.Tick(late)
	is.Equal(stateIn(table, "a.m.1"), Suspect)
	table.Suspect("a.m.1", 0, []program.Cohort{"a.x.2"}, start)
	table.Tick(late)
	is.Equal(stateIn(table, "a.m.1"), Dead)
}

// Most helpers of an indirect probe do not respond: the cause may as well be the
// prober's own link or pause as the member's death, so it raises no suspicion.
func TestUnresponsiveHelpersRaiseNoSuspicion(t *testing.T) {
	is := is.New(t)
	table := tableOf("a.m.1", "a.x.1", "a.y.1", "a.z.1", "a.v.1", "a.w.1")
	outcome := IndirectProbeFailure{Failed: []program.Cohort{"a.x.1"}, Unresponsive: []program.Cohort{"a.y.1", "a.z.1"}}
	table.RecordProbeFailure("a.m.1", 0, outcome, start)
	is.Equal(stateIn(table, "a.m.1"), Live)
	outcome.Unresponsive = nil
	table.RecordProbeFailure("a.m.1", 0, outcome, start)
	is.Equal(stateIn(table, "a.m.1"), Suspect)
}

// A minority has declared two of five others dead and fails to reach a third. If
// recently declared deaths did not count, each one would make it look less like
// a minority, until it had declared all others dead.
func TestRecentlyDeadCountAsUnreachable(t *testing.T) {
	is := is.New(t)
	table := tableOf("a.m.1", "a.n.1", "a.o.1", "a.x.1", "a.y.1")
	table.Merge(Record{Cohort: "a.m.1", State: Dead}, start)
	table.Merge(Record{Cohort: "a.n.1", State: Dead}, start)
	table.MarkUnreachable("a.o.1", start)
	table.Tick(start)
	is.True(table.View(start).Isolated) // three reachable, three unreachable
	later := start.Add(DefaultTiming().IsolationHold)
	table.RecordContact("a.x.1", later)
	table.RecordContact("a.y.1", later)
	table.Tick(later)
	is.True(!table.View(later).Isolated)
}

// Two of five others become unresponsive together. That may be a network
// partition that is only partly detected, so they are declared dead after three
// times the usual timeout.
func TestMassFailureExtendsTheSuspectTimeout(t *testing.T) {
	is := is.New(t)
	table := tableOf("a.m.1", "a.n.1", "a.x.1", "a.y.1", "a.z.1")
	witnesses := []program.Cohort{"a.self.1", "a.x.1", "a.y.1"}
	table.Suspect("a.m.1", 0, witnesses, start)
	table.Suspect("a.n.1", 0, witnesses, start)
	table.Tick(start.Add(DefaultTiming().SuspectTimeout))
	is.Equal(stateIn(table, "a.m.1"), Suspect)
	table.Tick(start.Add(massFailureTimeoutFactor * DefaultTiming().SuspectTimeout))
	is.Equal(stateIn(table, "a.m.1"), Dead)
}

// A planned stop stays in force whether it is announced before or after a
// suspicion: the leaving member gets no new work.
func TestLeavingOverridesSuspicion(t *testing.T) {
	is := is.New(t)
	table := tableOf("a.m.1", "a.x.1")
	table.Suspect("a.m.1", 0, []program.Cohort{"a.x.1"}, start)
	table.Merge(Record{Cohort: "a.m.1", Address: "a.m.1", State: Leaving, Incarnation: 1}, start)
	table.Suspect("a.m.1", 1, []program.Cohort{"a.x.1"}, start)
	is.Equal(stateIn(table, "a.m.1"), Leaving)
	table.Merge(Record{Cohort: "a.m.1", Address: "a.m.1", State: Live}, start)
	is.Equal(stateIn(table, "a.m.1"), Leaving) // an outdated record does not make it live
}

// The platform's list announces a stop before the member does, or lags behind
// its death. It excludes a leaving member from new work and causes no death alone.
func TestPlatformListIsAWeakSignal(t *testing.T) {
	is := is.New(t)
	table := tableOf("a.m.1", "a.x.1", "a.y.1")
	table.ObserveList(map[string]bool{"a.m.1": true, "a-self": false})
	is.Equal(len(table.View(start).Available("a")), 3) // m is about to be stopped; x and y are not listed
	table.Tick(start.Add(time.Hour))
	is.Equal(stateIn(table, "a.x.1"), Live)
}

// Only the first few instances of a large data centre in rank compete for a
// lease, and none that was fenced.
func TestFewInstancesContendForALease(t *testing.T) {
	is := is.New(t)
	const fleet, wanted = 20, 3
	contending := 0
	for i := range fleet {
		now := start
		table := NewTable(program.Cohort(fmt.Sprintf("a.i%d.1", i)), "", Report{Size: 1}, DefaultTiming(), now)
		table.Announce(Live, now)
		for j := range fleet {
			c := program.Cohort(fmt.Sprintf("a.i%d.1", j))
			table.Merge(Record{Cohort: c, State: Live, ReportSequence: 1, Report: Report{Size: 1}}, now)
		}
		if !table.View(now).IsContender("leases", wanted) {
			continue
		}
		contending++
		table.Fence(now)
		is.True(!table.View(now).IsContender("leases", wanted))
	}
	is.Equal(contending, wanted)
}

// An instance of three times the size ranks first for about three times as many
// keys, and a member that leaves moves only its own keys.
func TestRankFollowsSize(t *testing.T) {
	is := is.New(t)
	table := tableOf("a.m.1", "a.x.1")
	table.Merge(Record{Cohort: "a.m.1", State: Live, ReportSequence: 1, Report: Report{Size: 3}}, start)
	full := table.View(start)
	table.Merge(Record{Cohort: "a.x.1", State: Leaving, Incarnation: 1}, start)
	without := table.View(start)
	first := map[program.Cohort]int{}
	for i := range 5000 {
		key := string(rune(i))
		winner := full.Ranked("a", key)[0].Cohort
		first[winner]++
		if winner != "a.x.1" {
			is.Equal(without.Ranked("a", key)[0].Cohort, winner)
		}
	}
	is.True(first["a.m.1"] > 2850 && first["a.m.1"] < 3150) // 3 of 5
}
