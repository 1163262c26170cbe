package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against a content that ends silent replicas after its runs were given up, and of whose ends none
// counts, at this instance or at others; and against one end that counts for each run.
func TestGivenUpRunsBecomeEndsWithALaterStart(t *testing.T) {
	is := is.New(t)
	table, other, f := newTable(), newTable(), fingerprint("f")
	for i := range MaxEnds {
		replica := fmt.Sprint("r", i)
		for run := range 2 {
			table.RecordGivenUp(f, endAt(replica, Silent, 100*run, 50), at(100*run))
		}
		is.Equal(table.Standing(f, start), Standing{Ends: i})
		own, _ := table.TakeNews(start)
		is.Equal(len(own), 0)
		is.Equal(table.ConfirmEnds(replica, true, at(1000)), 1)
		is.Equal(table.Standing(f, start), Standing{Ends: i + 1})
		own, _ = table.TakeNews(at(1000))
		other.Merge(own, at(1000))
		is.Equal(other.Standing(f, start), Standing{Ends: i + 1})
	}
	is.True(table.Standing(f, start).Rejected())
}

// Guards against runs that were given up and are held against their content without a proof, or beside one
// that counts already.
func TestGivenUpRunsProveNothingByThemselves(t *testing.T) {
	for name, c := range map[string]struct {
		// replaced and leftAt are those of the replica's departure; the run lasted from 50 ms to 100 ms.
		replaced  bool
		leftAt    int
		completed bool
		known     []Evidence
		want      Standing
	}{
		"removed":                      {replaced: false, leftAt: 200},
		"replaced long after":          {replaced: true, leftAt: 101 + int(proofWindow/time.Millisecond)},
		"replaced before":              {replaced: true, leftAt: 40},
		"replaced after":               {replaced: true, leftAt: 200, want: Standing{Ends: 1}},
		"replaced meanwhile":           {replaced: true, leftAt: 70, want: Standing{Ends: 1}},
		"completed elsewhere":          {replaced: true, leftAt: 200, completed: true},
		"beside a broken run":          {replaced: true, leftAt: 200, known: []Evidence{Broken}, want: Standing{Ends: 1}},
		"beside a proven end":          {replaced: true, leftAt: 200, known: []Evidence{Proven}, want: Standing{Ends: 1}},
		"beside a broken run, removed": {replaced: false, leftAt: 200, known: []Evidence{Broken}, want: Standing{Ends: 1}},
	} {
		for _, listFirst := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", list first ", listFirst), func(t *testing.T) {
				is := is.New(t)
				table, f, now := newTable(), fingerprint("f"), at(max(100, c.leftAt))
				leave := func() { table.ConfirmEnds("r", c.replaced, at(c.leftAt)) }
				if listFirst {
					leave()
				}
				for _, evidence := range c.known {
					table.RecordEnd(f, endAt("r", evidence, 30, 10), now)
				}
				table.RecordGivenUp(f, endAt("r", Silent, 100, 50), at(100))
				if c.completed {
					table.RecordCompletion(f, now)
				}
				if !listFirst {
					leave()
				}
				is.Equal(table.Standing(f, now), c.want)
			})
		}
	}
}

// Guards against memory that grows with the runs that are given up, and contents with known ends that are
// forgotten for them.
func TestGivenUpRunsAreBounded(t *testing.T) {
	is := is.New(t)
	table, f := newTable(), fingerprint("f")
	table.RecordEnd(f, endAt("r", Broken, 0, 1), start)
	for i := range 2 * maxRecords {
		table.RecordGivenUp(fingerprint(fmt.Sprint(i)), endAt("s", Silent, i, 1), at(i))
		table.RecordGivenUp(fingerprint("one"), endAt(fmt.Sprint("s", i), Silent, i, 1), at(i))
	}
	is.Equal(table.givenUp.Len(), maxGivenUp)
	ends, _ := table.givenUp.Peek(fingerprint("one"))
	is.Equal(len(ends), maxEndsKept)
	is.Equal(table.Standing(f, start), Standing{Doubts: 1})
	is.Equal(len(table.records), 1)
}
