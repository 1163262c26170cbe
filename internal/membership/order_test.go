package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"foxhall/internal/program"
)

// drawRecords draws records of one member as other instances may send them. Each report belongs to one
// incarnation, and a member that announces its end does so in an incarnation of its own, see Table.Leave.
func drawRecords(t *rapid.T, c program.Cohort) []Record {
	last := rapid.Uint64Range(1, 3).Draw(t, "incarnations")
	leaves := rapid.Bool().Draw(t, "leaves")
	var records []Record
	for range rapid.IntRange(2, 10).Draw(t, "records") {
		r := Record{Cohort: c, Address: "10.0.0.9:1", Incarnation: rapid.Uint64Range(1, last).Draw(t, "incarnation")}
		r.State = rapid.SampledFrom([]State{Joining, Live, Suspect, Leaving, Dead}).Draw(t, "state")
		r.ReportSequence = 10*r.Incarnation + rapid.Uint64Range(0, 9).Draw(t, "report")
		r.Report = Report{Load: uint32(r.ReportSequence)}
		if leaves && r.Incarnation == last {
			r.State, r.LeftGracefully = Dead, true
		}
		records = append(records, r)
	}
	return records
}

// condition is what must not depend on the order of records.
func condition(t *Table, c program.Cohort) string {
	m, _ := t.Lookup(c)
	return fmt.Sprintf("%v, incarnation %d, left gracefully: %t, report %d with load %d", m.State, m.Incarnation, m.LeftGracefully, m.ReportSequence, m.Report.Load)
}

// Guards against instances that disagree for good on a member, because the same records reached them in
// another order or more than once.
func TestRecordsOfAMemberMergeInAnyOrder(t *testing.T) {
	const member = program.Cohort("dc.m.1")
	now := time.Unix(1000, 0)
	rapid.Check(t, func(t *rapid.T) {
		records := drawRecords(t, member)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 0))
		want := ""
		for n := range 20 {
			table := NewTable("dc.self.1", "10.0.0.1:1", Report{}, DefaultTiming(), now)
			for _, i := range random.Perm(len(records)) {
				for range 1 + random.IntN(2) {
					table.Merge(records[i], now)
				}
			}
			got := condition(table, member)
			if n == 0 {
				want = got
			}
			if got != want {
				t.Fatalf("%s; in another order: %s", got, want)
			}
		}
	})
}
