package mirror

import (
	"testing"

	"github.com/matryer/is"

	"foxhall/internal/store"
)

// Guards against memory that grows with each change: the values that were replaced within a response are kept for a feed
// whose user doesn't ask for them.
func TestReplacedEntriesAreKeptOnlyForWhoAsks(t *testing.T) {
	is := is.New(t)
	m := New()
	feed := m.NewFeed(Fleet)
	m.Apply(Delta{Kind: Fleet, Full: true, AsOf: 1})
	for n := range 100 {
		asOf := store.Version(10*n + 10)
		change := store.Event{Object: store.Object{Key: store.Key{Kind: string(Fleet), Name: "a"}, Version: asOf - 1}}
		newer := store.Event{Object: store.Object{Key: store.Key{Kind: string(Fleet), Name: "a"}, Version: asOf}}
		m.Apply(compactChanges(Fleet, asOf-10, store.Changes{AsOf: asOf, Events: []store.Event{change, newer}}))
		feed.Take()
	}
	is.Equal(len(feed.passed), 0)
}
