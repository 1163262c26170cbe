package node

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"foxhall/internal/mirror"
	"foxhall/internal/store"
)

// If each instance decoded all entries at every change of one, processor time would grow with the
// square of the fleet's size. A change must cost one decoding, however many entries there are.
func TestChangeOfOneEntryDecodesOne(t *testing.T) {
	is := is.New(t)
	const entries = 200
	decodes := 0
	d := newDecodeCache(func(e mirror.Entry) (string, bool) {
		decodes++
		return string(e.Value), len(e.Value) > 0
	})
	var list []mirror.Entry
	for i := range entries {
		list = append(list, mirror.Entry{Name: fmt.Sprintf("e%03d", i), Revision: 1, Value: []byte("one")})
	}
	is.Equal(len(d.all(list)), entries)
	is.Equal(decodes, entries)
	list[7] = mirror.Entry{Name: "e007", Revision: 2, Value: []byte("two")}
	values := d.all(list)
	is.Equal(decodes, entries+1)
	is.Equal(values[7], "two")
}

// An entry that can't be decoded must not hide the others, and a removed one must not come back.
// The result must follow from the mirror's present entries.
func TestDecodedFollowsTheMirror(t *testing.T) {
	is := is.New(t)
	d := newDecodeCache(func(e mirror.Entry) (string, bool) { return string(e.Value), string(e.Value) != "bad" })
	entry := func(name string, revision store.Version, value string) mirror.Entry {
		return mirror.Entry{Name: name, Revision: revision, Value: []byte(value)}
	}
	is.Equal(d.all([]mirror.Entry{entry("a", 1, "bad"), entry("b", 1, "b1")}), []string{"b1"})
	is.Equal(d.all([]mirror.Entry{entry("a", 2, "a2")}), []string{"a2"})
	is.Equal(d.all([]mirror.Entry{entry("a", 2, "a2"), entry("b", 3, "b3")}), []string{"a2", "b3"})
	is.Equal(d.all(nil), []string{})
}
