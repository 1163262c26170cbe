package output

import (
	"container/list"
	"slices"
	"time"

	"foxhall/internal/buffer"
)

const (
	// recordOverhead and eventOverhead are the memory in bytes that a record and an event of it take beside IDs and data.
	recordOverhead = 256
	eventOverhead  = 64
)

// Record holds the output of one attempt. A nil record holds nothing.
type Record struct {
	registry *Registry
	key      Key

	// The fields below are guarded by the registry's lock.
	root, parent string
	events       []Event
	// contested is set once there was another attempt of the same ID.
	contested bool
	// size is the memory in bytes that the record takes.
	size int
	// expires is when the caller can't resume the turn any more. element is the place among the ended ones; nil before
	// the end. hold counts the memory from then on, which is the call's before.
	expires time.Time
	element *list.Element
	hold    *buffer.Hold
}

// TakeOver adds the events that the attempt's caller has of an earlier attempt, before any other.
func (r *Record) TakeOver(found Resolution) {
	if r == nil {
		return
	}
	r.registry.mu.Lock()
	defer r.registry.mu.Unlock()
	r.root, r.parent = found.Root, found.Parent
	for _, e := range found.Events {
		r.addLocked(e)
	}
}

// Add adds an event that is about to be forwarded.
func (r *Record) Add(e Event) {
	if r == nil {
		return
	}
	r.registry.mu.Lock()
	defer r.registry.mu.Unlock()
	r.addLocked(e)
}

func (r *Record) addLocked(e Event) {
	r.events = append(r.events, e)
	r.size += len(e.ID) + len(e.Data) + eventOverhead
}

// End ends the attempt. The record is held on until the turn can't be resumed any more, or there is no room.
func (r *Record) End() {
	if r != nil {
		r.registry.end(r)
	}
}

// answer returns what is held up to the event with the ID; the lock is held.
func (r *Record) answer(after string) *Answer {
	a := &Answer{Root: r.root, Parent: r.parent, Empty: len(r.events) == 0 && !r.contested, Ambiguous: r.contested}
	has := func(e Event) bool { return e.ID == after }
	i := slices.IndexFunc(r.events, has)
	if i < 0 {
		return a
	}
	a.Ambiguous = a.Ambiguous || slices.ContainsFunc(r.events[i+1:], has)
	a.Events = r.events[: i+1 : i+1]
	return a
}
