package mirror

import (
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"foxhall/internal/store"
)

func newSampler(replicas int) (*Follower, *pagedStore) {
	s := &pagedStore{storeClient: storeClient{newFakeStore(), "i"}, replicas: replicas}
	return NewFollower(New(), s, &log.Logger{Handler: discard.Default}), s
}

// Guards against refusing all calls for seconds after a restart of everything, until each instance has
// the list of thousands of replicas. Some of them must be known after two calls, however many there
// are, and the list must replace them whole.
func TestRestartedInstanceBeginsWithASample(t *testing.T) {
	for _, replicas := range []int{1000, 2000, 10000} {
		is := is.New(t)
		f, s := newSampler(replicas)
		is.NoErr(f.SampleReplicas(t.Context()))
		_, known := f.mirror.AsOf(Replicas)
		is.True(!known)
		is.True(s.calls <= 2)
		is.True(f.mirror.Len(Replicas) > 0 && f.mirror.Len(Replicas) <= entriesPerCheck)
		feed := f.mirror.NewFeed(Replicas)
		feed.Take()
		s.replicas = replicas - 10
		is.NoErr(f.snapshot(t.Context(), Replicas))
		is.Equal(f.mirror.Len(Replicas), replicas-10)
		changed, _ := feed.Take()
		is.Equal(len(changed), replicas-10)
		f.mirror.ApplySample(Replicas, nil)
		is.Equal(f.mirror.Len(Replicas), replicas-10)
	}
}

// A list of one page is the whole list, and costs one call.
func TestSampleOfAShortListIsTheList(t *testing.T) {
	is := is.New(t)
	f, s := newSampler(entriesPerCheck)
	is.NoErr(f.SampleReplicas(t.Context()))
	_, known := f.mirror.AsOf(Replicas)
	is.True(known)
	is.Equal(s.calls, 1)
	is.Equal(f.mirror.Len(Replicas), entriesPerCheck)
}

// Guards against calls to a replica that is gone or drains, which the sample still has: a later sample
// must replace the earlier one by the same part of the list as it is then.
func TestLaterSampleReplacesTheEarlier(t *testing.T) {
	is := is.New(t)
	f, s := newSampler(4000)
	is.NoErr(f.SampleReplicas(t.Context()))
	before := versions(f.mirror)
	s.replicas = 3000
	is.NoErr(f.SampleReplicas(t.Context()))
	kept, gone := 0, 0
	present := map[string]bool{}
	for i := range s.replicas {
		present[replicaName(i)] = true
	}
	for name := range versions(f.mirror) {
		is.True(present[name])
	}
	for name := range before {
		if present[name] {
			kept++
		} else {
			gone++
		}
	}
	is.True(kept > 0 && gone > 0)
}

// Guards against all instances that restart together sending their calls to the same few replicas. The
// samples of two hundred instances must cover most of twenty pages of replicas.
func TestSamplesOfInstancesDiffer(t *testing.T) {
	is := is.New(t)
	const replicas = 20 * entriesPerCheck
	covered := map[string]bool{}
	for range 200 {
		f, _ := newSampler(replicas)
		is.NoErr(f.SampleReplicas(t.Context()))
		for name := range versions(f.mirror) {
			covered[name] = true
		}
	}
	is.True(len(covered) > replicas*3/4)
}

// Names that have no part in common, or nothing else, must not end the process.
func TestRandomNameOfAnyNames(t *testing.T) {
	for _, names := range [][]string{{"a"}, {""}, {"a", "b"}, {"x", "xy"}, {"00", "01", "0"}} {
		var objects []store.Object
		for _, n := range names {
			objects = append(objects, store.Object{Key: store.Key{Name: n}})
		}
		_ = randomName(objects)
	}
}
