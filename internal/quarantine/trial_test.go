package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// alone is the turn of the only instance.
var alone = Turn{Count: 1}

func running(versions ...string) func(string) bool {
	return func(v string) bool {
		for _, r := range versions {
			if r == v {
				return true
			}
		}
		return false
	}
}

// rejectedTable returns a table with a content that ended MaxEnds replicas of a version, the last at start.
func rejectedTable(version string) (*Table, Fingerprint) {
	table, f := newTable(), fingerprint("f")
	for i := range MaxEnds {
		e := endAt(fmt.Sprint("r", i), Proven, i-MaxEnds+1, 1)
		e.Version = version
		table.RecordEnd(f, e, start)
	}
	return table, f
}

// Guards against good calls that are refused for long after the version that ended under them was
// replaced, and against more than one trial at a time.
func TestRejectedContentIsTriedOnceItsVersionIsGone(t *testing.T) {
	is := is.New(t)
	table, f := rejectedTable("v1")
	due := start.Add(trialDelay)
	is.True(!table.Trial(f, alone, running("v2"), due.Add(-time.Millisecond)))
	is.True(!table.Trial(f, alone, running("v1", "v2"), due))
	is.True(table.Trial(f, alone, running("v2"), due))
	is.True(!table.Trial(f, alone, running("v2"), due.Add(time.Second))) // in the same slot
	is.True(!table.Trial(f, alone, running("v2"), due.Add(trialSlot-trialGuard)))
	is.True(table.Trial(f, alone, running("v2"), due.Add(trialSlot)))
	table.RecordCompletion(f, due.Add(trialSlot+time.Second))
	is.True(!table.Standing(f, due.Add(trialSlot+time.Second)).Rejected())
	is.True(!table.Trial(fingerprint("other"), alone, running("v2"), due))
}

// Guards against calls that are refused until a version changes although their replicas ended for another
// reason, and against a content that is tried as soon as its version is unknown.
func TestContentOfARunningVersionIsTriedLater(t *testing.T) {
	for _, version := range []string{"v1", ""} {
		is := is.New(t)
		table, f := rejectedTable(version)
		due := start.Add(sameVersionTrialDelay)
		is.True(!table.Trial(f, alone, running("v1"), due.Add(-time.Millisecond)))
		is.True(table.Trial(f, alone, running("v1"), due))
	}
}

// Guards against replicas that end one after the other by trials: each that fails doubles the delay, and
// their number is bounded.
func TestTrialsThatEndReplicasAreBounded(t *testing.T) {
	is := is.New(t)
	table, f := rejectedTable("v0")
	last, ends := start, MaxEnds
	for now := start; now.Before(start.Add(4 * Lifetime)); now = now.Add(time.Second) {
		if !table.Standing(f, now).Rejected() || !table.Trial(f, alone, running(), now) {
			continue
		}
		is.True(now.Sub(last) >= min(trialDelay<<(ends-MaxEnds), sameVersionTrialDelay))
		last, ends = now, ends+1
		table.RecordEnd(f, End{Replica: fmt.Sprint("trial", ends), Version: fmt.Sprint("v", ends), Evidence: Proven, Began: now, At: now}, now)
	}
	is.Equal(ends, maxEndsKept)
}

// maxReportDelay is how late a report of an end may be for turns to be apart.
const maxReportDelay = 2 * time.Second

// Guards against instances that try a rejected content at the same time: their turns must be apart,
// although each learnt of the last end a little later.
func TestInstancesTryByTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 12).Draw(t, "instances")
		seer, f := rejectedTable("v1")
		tables := []*Table{seer}
		own, _ := seer.TakeNews(start)
		for i := 1; i < count; i++ {
			other := newTable()
			other.Merge(own, start.Add(time.Duration(rapid.IntRange(0, int(maxReportDelay/time.Millisecond)).Draw(t, "late ms"))*time.Millisecond))
			tables = append(tables, other)
		}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "calls"), 0))
		var last time.Time
		tried := 0
		for ms := 0; ms < int((sameVersionTrialDelay+trialSlot*time.Duration(count))/time.Millisecond); ms += 250 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			for i, table := range tables {
				// Calls with the content come at any time.
				if random.IntN(8) > 0 || !table.Trial(f, Turn{Index: i, Count: count}, running("v2"), now) {
					continue
				}
				if gap := now.Sub(last); !last.IsZero() && gap < trialGuard-maxReportDelay {
					t.Fatalf("instance %d tries %v after another one", i, gap)
				}
				last = now
				tried++
			}
		}
		if tried == 0 {
			t.Fatal("no instance ever tries")
		}
	})
}
