package node

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"foxhall/internal/mirror"
	"foxhall/internal/routing"
	"foxhall/internal/store"
)

// maxReplicaBytes is the memory for each replica with which an instance of 120 MB holds twenty
// thousand of them in a quarter of its memory.
const maxReplicaBytes = 1500

// heapInUse returns the bytes of live objects.
func heapInUse() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// replicaEntry returns the entry of a replica, about as large as those of the platform.
func replicaEntry(t *testing.T, i int, revision store.Version) mirror.Entry {
	r := routing.Replica{
		ID: fmt.Sprintf("i-%010x", i), Incarnation: int64(revision), Service: "s",
		Address: fmt.Sprintf("10.%d.%d.%d:8400", i>>16, i>>8&255, i&255), DataCentre: "sul-a", Slots: 16,
	}
	value, err := json.Marshal(r)
	is.New(t).NoErr(err)
	return mirror.Entry{Name: r.ID, Revision: revision, Value: value}
}

// Guards against instances that exceed their memory in a fleet with thousands of replicas, of which
// they call a few. All copies of a replica together must stay below a bound that does not depend on
// the number of replicas.
func TestMemoryOfReplicasIsBounded(t *testing.T) {
	for _, size := range []int{5000, 10000, 20000} {
		before := heapInUse()
		n := newTestNode(t)
		d := mirror.Delta{Kind: mirror.Replicas, Full: true, AsOf: 2}
		for i := range size {
			d.Entries = append(d.Entries, replicaEntry(t, i, 2))
		}
		n.mirror.Apply(d)
		d.Entries = nil
		n.refresh()
		perReplica := (heapInUse() - before) / int64(size)
		t.Logf("%d replicas: %d B each", size, perReplica)
		is.New(t).True(perReplica <= maxReplicaBytes)
		runtime.KeepAlive(n)
	}
}

// Guards against garbage, and processor time, that grows with the square of the fleet while replicas
// register or are replaced: what a change of one replica allocates must be no more than the pointers
// of the others.
func TestChangeOfOneReplicaAllocatesLittle(t *testing.T) {
	const runs, fixed, perReplica = 20, 24 << 10, 24
	for _, size := range []int{1000, 2000, 4000} {
		n := newTestNode(t)
		d := mirror.Delta{Kind: mirror.Replicas, Full: true, AsOf: 2}
		for i := range size {
			d.Entries = append(d.Entries, replicaEntry(t, i, 2))
		}
		n.mirror.Apply(d)
		n.refresh()
		revision := store.Version(2)
		change := func() {
			revision++
			n.mirror.Apply(mirror.Delta{Kind: mirror.Replicas, From: revision - 1, AsOf: revision, Entries: []mirror.Entry{replicaEntry(t, 7, revision)}})
			n.refresh()
		}
		change()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range runs {
			change()
		}
		runtime.ReadMemStats(&after)
		allocated := int(after.TotalAlloc-before.TotalAlloc) / runs
		t.Logf("%d replicas: %d B allocated by a change", size, allocated)
		is.New(t).True(allocated <= fixed+perReplica*size)
		is.New(t).Equal(len(n.upstream.Snapshot().All), size)
	}
}
