package node

import (
	"foxhall/internal/mirror"
	"foxhall/internal/store"
)

// decoded keeps what the mirror's entries decode to. Each change of one entry has all
// of its kind looked at again, and in a fleet of hundreds decoding the others costs
// more than the work itself. It is used by one goroutine.
type decoded[T any] struct {
	decode  func(mirror.Entry) (T, bool)
	entries map[string]decodedEntry[T]
}

type decodedEntry[T any] struct {
	revision store.Version
	value    T
	ok       bool
}

func newDecoded[T any](decode func(mirror.Entry) (T, bool)) *decoded[T] {
	return &decoded[T]{decode: decode}
}

// all returns the values of the entries that can be read, in their order.
func (d *decoded[T]) all(entries []mirror.Entry) []T {
	next := make(map[string]decodedEntry[T], len(entries))
	values := make([]T, 0, len(entries))
	for _, e := range entries {
		known, exists := d.entries[e.Name]
		if !exists || known.revision != e.Revision {
			known = decodedEntry[T]{revision: e.Revision}
			known.value, known.ok = d.decode(e)
		}
		next[e.Name] = known
		if known.ok {
			values = append(values, known.value)
		}
	}
	d.entries = next
	return values
}
