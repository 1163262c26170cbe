package mirror

import (
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"foxhall/internal/store"
)

// listing returns a listing of replicas, each of which last changed at a revision.
func listing(partial bool, asOf store.Version, revisions map[string]store.Version) store.Listing {
	l := store.Listing{Partial: partial, AsOf: asOf}
	for name, revision := range revisions {
		l.Objects = append(l.Objects, store.Object{Key: store.Key{Kind: string(Replicas), Name: name}, Version: revision, Value: []byte("{}")})
	}
	return l
}

func newIdleFollower() *Follower {
	return NewFollower(New(), nil, &log.Logger{Handler: discard.Default})
}

// handOn sends what the other mirror lacks.
func handOn(from, to *Mirror) {
	asOf, known := to.AsOf(Replicas)
	if d, ok := from.Since(Replicas, asOf, known); ok {
		to.Apply(d)
	}
}

// Guards against a replica that is removed everywhere since an instance that has just started could not find its entry
// in the list: what that instance hands on counts as the whole list.
func TestPartialListOfANewInstanceRemovesNothingElsewhere(t *testing.T) {
	is := is.New(t)
	other, started := newIdleFollower(), newIdleFollower()
	other.applyListing(Replicas, listing(false, 5, map[string]store.Version{"a": 1, "b": 2, "c": 3}))
	started.applyListing(Replicas, listing(true, 6, map[string]store.Version{"a": 1, "c": 6}))
	handOn(started.mirror, other.mirror)
	_, exists := other.mirror.Get(Replicas, "b")
	is.True(exists)
	c, _ := other.mirror.Get(Replicas, "c")
	is.Equal(c.Revision, store.Version(6)) // what was found is handed on
}

// Guards against entries that differ between instances for good after a list that could not be read to its end: one that
// was found late, at an old revision, and one that was removed meanwhile.
func TestListThatIsCompleteAgainIsHandedOnWhole(t *testing.T) {
	is := is.New(t)
	other, follower := newIdleFollower(), newIdleFollower()
	for _, f := range []*Follower{other, follower} {
		f.applyListing(Replicas, listing(false, 5, map[string]store.Version{"a": 1, "b": 2}))
	}
	follower.applyListing(Replicas, listing(true, 8, map[string]store.Version{"a": 8}))
	handOn(follower.mirror, other.mirror)
	follower.applyListing(Replicas, listing(false, 9, map[string]store.Version{"a": 8, "late": 7}))
	handOn(follower.mirror, other.mirror)
	is.Equal(other.mirror.Entries(Replicas), follower.mirror.Entries(Replicas))
	is.Equal(other.mirror.Len(Replicas), 2)
}
