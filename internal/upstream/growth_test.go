package upstream

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/usage"
)

// largeTable returns a table of engines.
func largeTable(size int) *Table {
	t := NewTable()
	var listed []usage.Upstream
	for i := range size {
		listed = append(listed, engineEntry(i, 1))
	}
	t.Apply(listed, time.Now())
	return t
}

func engineEntry(i, incarnation int) usage.Upstream {
	return usage.Upstream{
		Name: fmt.Sprintf("engine-%06d@%d", i, incarnation), Address: "10.0.0.1:80", DataCentre: "a",
		Kind: usage.KindEngine, Models: []string{"m"}, Slots: 16,
	}
}

// maxCopiedBytes is what a change may allocate for each upstream in the table: two pointers, with
// the rounding of allocations.
const maxCopiedBytes = 24

// Guards against processor time that grows with the square of the fleet while thousands of upstreams
// register or are replaced. The number of allocations of a change must not depend on the number of
// upstreams, and it must copy no more than their pointers.
func TestChangeOfOneUpstreamDoesNotRebuildTheTable(t *testing.T) {
	// mapGrowth is the number of allocations of a map that grows or is compacted during the runs.
	const runs, mapGrowth = 20, 2
	var allocations []float64
	for _, size := range []int{1000, 2000, 4000} {
		is := is.New(t)
		table := largeTable(size)
		incarnation := 1
		replace := func() {
			incarnation++
			table.Update([]usage.Upstream{engineEntry(7, incarnation)}, []string{engineEntry(7, incarnation-1).Name}, time.Now())
		}
		replace()
		allocations = append(allocations, testing.AllocsPerRun(runs, replace))
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range runs {
			replace()
		}
		runtime.ReadMemStats(&after)
		const fixed = 8 << 10
		perChange := float64(after.TotalAlloc-before.TotalAlloc) / runs
		is.True(perChange <= float64(fixed+maxCopiedBytes*size))
		is.Equal(len(table.Snapshot().All), size)
		is.Equal(len(table.Snapshot().Model("m")), size)
	}
	t.Logf("allocations of a change: %v", allocations)
	is.New(t).True(slices.Max(allocations) <= slices.Min(allocations)+mapGrowth)
}

// maxUpstreamBytes is the memory for each upstream that capacity planning reckons with.
const maxUpstreamBytes = 1200

// Guards against instances that exceed their memory in a fleet with thousands of upstreams, of which
// they call a few. The memory of an upstream must not grow with their number.
func TestMemoryOfAnIdleUpstreamIsBounded(t *testing.T) {
	for _, size := range []int{5000, 10000, 20000} {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := largeTable(size)
		runtime.GC()
		runtime.ReadMemStats(&after)
		perUpstream := (int64(after.HeapAlloc) - int64(before.HeapAlloc)) / int64(size)
		t.Logf("%d upstreams: %d B each", size, perUpstream)
		is.New(t).True(perUpstream <= maxUpstreamBytes)
		runtime.KeepAlive(table)
	}
}

// Guards against calls to upstreams that the table has removed or replaced: the lists of a model are
// edited in place of being built anew. After each change they must hold exactly the present
// upstreams, each at the position that its endpoint names.
func TestListsHoldExactlyThePresentUpstreams(t *testing.T) {
	is := is.New(t)
	table := largeTable(9)
	old := table.Snapshot()
	table.Update([]usage.Upstream{engineEntry(20, 1), engineEntry(3, 1)}, []string{engineEntry(0, 1).Name, engineEntry(8, 1).Name, "unknown"}, time.Now())
	is.Equal(len(old.All), 9)
	is.Equal(len(old.Model("m")), 9)
	now := table.Snapshot()
	is.Equal(len(now.All), 8)
	seen := map[string]bool{}
	for i, e := range now.Model("m") {
		at, ok := e.Position(now.Model("m"))
		is.True(ok && at == i)
		is.Equal(table.ByID(e.Upstream.ID), e.Upstream)
		is.Equal(table.ByHash(e.Upstream.Hash), e.Upstream)
		seen[e.Upstream.Name] = true
	}
	is.Equal(len(seen), 8)
	is.True(!seen[engineEntry(0, 1).Name] && !seen[engineEntry(8, 1).Name] && seen[engineEntry(20, 1).Name])
}

// Guards against reports of an instance's load that cost as much as all upstreams. An upstream must
// be looked at only while it has calls.
func TestOnlyUpstreamsWithCallsAreActive(t *testing.T) {
	is := is.New(t)
	table := largeTable(100)
	now := time.Now()
	hasCalls := func(u *Upstream) bool { return u.Load(now.UnixNano()).Own > 0 }
	is.Equal(len(table.Active(hasCalls)), 0)
	u := table.Snapshot().All[5]
	u.Begin(now.UnixNano(), 10, time.Second)
	is.Equal(table.Active(hasCalls), []*Upstream{u})
	u.Finish(now.UnixNano())
	looked := 0
	count := func(u *Upstream) bool { looked++; return hasCalls(u) }
	is.Equal(len(table.Active(count)), 0)
	is.Equal(len(table.Active(count)), 0)
	is.Equal(looked, 1)
}
