package node

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/mirror"
	"foxhall/internal/routing"
)

func replica(id string, incarnation int64, draining bool) routing.Replica {
	return routing.Replica{ID: id, Incarnation: incarnation, Service: "s", Address: "10.0.0.1:80", Slots: 2, Draining: draining}
}

// put returns the entry of a replica.
func put(r routing.Replica) mirror.Entry {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return mirror.Entry{Name: r.ID, Value: value}
}

// newTestReplicaSet returns a set of replicas, which counts the decoded entries.
func newTestReplicaSet(decoded *int, replicas ...routing.Replica) *replicaSet {
	s := newReplicaSet(func(_ string, data []byte) (r routing.Replica, ok bool) {
		*decoded++
		return r, json.Unmarshal(data, &r) == nil
	})
	for _, r := range replicas {
		s.update([]mirror.Entry{put(r)}, nil, 0)
	}
	return s
}

// Guards against refusing all calls for seconds after a store outage: the entries of live replicas
// expired during it, and are written again only after its end. The replicas must stay in use for
// the grace period and be dropped after it.
func TestExpiredReplicasAreUsedWithinTheGracePeriod(t *testing.T) {
	is := is.New(t)
	s := newTestReplicaSet(new(int), replica("a", 1, false), replica("b", 1, false))
	is.Equal(len(s.update(nil, []string{"a", "b"}, time.Second)), 0)
	is.Equal(len(s.byID), 2)
	s.update([]mirror.Entry{put(replica("a", 1, false))}, nil, time.Second)
	is.Equal(len(s.byID), 2)
	gone := s.update(nil, nil, 0)
	is.Equal(len(gone), 1)
	is.Equal(gone[0].before.Name(), "b@1")
	is.Equal(len(s.byID), 1)
}

// Guards against calls to a draining replica whose entry is removed within the grace period after a
// store outage. The removal of a draining replica must not be delayed.
func TestRemovalOfDrainingReplicaIsNotDelayed(t *testing.T) {
	is := is.New(t)
	s := newTestReplicaSet(new(int), replica("a", 1, true))
	is.Equal(len(s.update(nil, []string{"a"}, time.Second)), 1)
	is.Equal(len(s.byID), 0)
}

// Guards against replicas that stay hidden, or come back, because of an entry of another writer. An
// entry that can't be decoded must not hide the others, counts as removed, and counts again once it
// can be decoded.
func TestUndecodableEntryCountsAsRemoved(t *testing.T) {
	is := is.New(t)
	s := newTestReplicaSet(new(int), replica("a", 1, false), replica("b", 1, false))
	broken := mirror.Entry{Name: "a", Value: []byte("{")}
	changes := s.update([]mirror.Entry{broken, put(replica("c", 1, false))}, nil, 0)
	is.Equal(len(changes), 2)
	_, known := s.byID["a"]
	is.True(!known)
	is.Equal(len(s.byID), 2)
	is.Equal(len(s.update([]mirror.Entry{broken}, nil, 0)), 0)
	s.update([]mirror.Entry{put(replica("a", 1, false))}, nil, 0)
	is.Equal(len(s.byID), 3)
	s.update(nil, []string{"a"}, 0)
	is.Equal(len(s.update(nil, nil, 0)), 0)
	is.Equal(len(s.byID), 2)
}

// Guards against processor time that grows with the square of the fleet's size, because each change
// of one replica is followed by work on all of them. A change must decode one entry and change one
// upstream, however many there are.
func TestChangeOfOneReplicaCostsOneChange(t *testing.T) {
	for _, size := range []int{100, 200, 400} {
		is := is.New(t)
		decoded := 0
		s := newTestReplicaSet(&decoded)
		var entries []mirror.Entry
		for i := range size {
			entries = append(entries, put(replica(fmt.Sprint(i), 1, false)))
		}
		s.update(entries, nil, 0)
		decoded = 0
		table := routing.NewTable(1, routing.Limits{}, nil, nil, []routing.Service{{Name: "s"}})
		changed, removed := upstreamChanges(table, s.update([]mirror.Entry{put(replica("7", 2, false))}, nil, 0))
		is.Equal(decoded, 1)
		is.Equal(len(changed), 1)
		is.Equal(removed, []string{"7@1"})
	}
}

// A replica restarted under the same id must count as a new upstream: the load and cache known of
// the previous incarnation do not apply to it.
func TestUpstreamsAreNamedByIncarnation(t *testing.T) {
	is := is.New(t)
	engine := routing.Service{Name: "s", Engine: &routing.Engine{CacheTokens: 9}}
	table := routing.NewTable(1, routing.Limits{}, nil, nil, []routing.Service{engine})
	set := newTestReplicaSet(new(int), replica("a", 1, false), replica("b", 1, true))
	list, removed := upstreamChanges(table, append(set.all(), set.update([]mirror.Entry{put(replica("a", 2, false))}, nil, 0)...))
	is.Equal(len(list), 2)
	is.True(list[0].Name != list[1].Name)
	is.Equal(list[0].Models, []string{"s"})
	is.Equal(routing.ReplicaID(list[1].Name), "a")
	is.Equal(removed, []string{"b@1", "a@1"})
}

// Guards against a version that counts as gone while replicas run it, and against one that counts as
// running for ever: replicas come, change their version at a restart, and go.
func TestVersionsOfReplicasAreCounted(t *testing.T) {
	is := is.New(t)
	versioned := func(id, version string) mirror.Entry {
		r := replica(id, 1, false)
		r.Version = version
		return put(r)
	}
	s := newTestReplicaSet(new(int))
	s.update([]mirror.Entry{versioned("a", "v1"), versioned("b", "v1")}, nil, 0)
	service := s.byID["a"].Service
	is.True(s.versions.Runs(service, "v1"))
	s.update([]mirror.Entry{versioned("a", "v2")}, nil, 0)
	is.True(s.versions.Runs(service, "v1"))
	is.True(s.versions.Runs(service, "v2"))
	is.True(!s.versions.Runs("other", "v2"))
	s.update(nil, []string{"b"}, time.Second)
	is.True(s.versions.Runs(service, "v1")) // it may still be alive
	s.update(nil, nil, 0)
	is.True(!s.versions.Runs(service, "v1"))
	versions, counts := s.versions.Listed(service)
	is.Equal(versions, []string{"v2"})
	is.Equal(counts, []int{1})
}
