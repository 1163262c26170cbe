package node

import (
	"foxhall/internal/mirror"
	"foxhall/internal/store"
)

// decodeCache caches the decoded values of mirror entries. Each change of one entry causes all
// entries of its kind to be read again, and in a fleet of hundreds decoding the unchanged ones
// costs more than the work itself. Not safe for concurrent use.
type decodeCache[T any] struct {
	decode  func(mirror.Entry) (T, bool)
	entries map[string]cachedEntry[T]
}

type cachedEntry[T any] struct {
	revision store.Version
	value    T
	ok       bool
}

func newDecodeCache[T any](decode func(mirror.Entry) (T, bool)) *decodeCache[T] {
	return &decodeCache[T]{decode: decode}
}

// all returns the values of the entries that can be decoded, in the order of the entries.
func (d *decodeCache[T]) all(entries []mirror.Entry) []T {
	next := make(map[string]cachedEntry[T], len(entries))
	values := make([]T, 0, len(entries))
	for _, e := range entries {
		cached, exists := d.entries[e.Name]
		if !exists || cached.revision != e.Revision {
			cached = cachedEntry[T]{revision: e.Revision}
			cached.value, cached.ok = d.decode(e)
		}
		next[e.Name] = cached
		if cached.ok {
			values = append(values, cached.value)
		}
	}
	d.entries = next
	return values
}
