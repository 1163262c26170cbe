// Package queue orders the steps that wait for an upstream. The order is by
// whole programs, not by calls, and it does no I/O.
package queue

import (
	"container/heap"
	"time"
)

// The weights of the order, each as a time by which a step is moved.
const (
	// priorityShift is how much earlier one step of a plan's priority counts.
	priorityAdvance = 2 * time.Second
	// criticalShift is how much earlier a sub-agent counts that its parent waits for.
	criticalAdvance = 500 * time.Millisecond
	// attainedWeight is how much later a second of attained service counts.
	attainedWeight = 0.5
	// attainedMax bounds that, so that a long program waits only so much longer.
	maxAttainedDelay = 10 * time.Second
	// deadlineLead is how long before its deadline a step counts as enqueued at
	// the latest.
	deadlineLead = 10 * time.Second
)

// Position is what decides a step's place.
type Criteria struct {
	// Enqueued is when the step began to wait.
	Enqueued time.Time
	// Attained is the service time that the whole program, from its root down,
	// has had so far.
	Attained time.Duration
	// Deadline is when the caller gives up; zero for none.
	Deadline time.Time
	// Priority is the plan's, from 0 to 9.
	Priority int
	// Critical says that a parent waits for this sub-agent.
	Critical bool
}

// Key returns the moment for which the step counts as enqueued; the earliest
// goes first. A program that had little service goes before one that had much
// (least attained service), and one whose deadline is near counts as enqueued
// deadlineLead before it. Since the key never changes while later steps'
// keys grow with time, nothing starves.
func (p *Criteria) Key() time.Time {
	delay := min(maxAttainedDelay, time.Duration(attainedWeight*float64(p.Attained)))
	key := p.Enqueued.Add(delay - time.Duration(p.Priority)*priorityAdvance)
	if p.Critical {
		key = key.Add(-criticalAdvance)
	}
	if latest := p.Deadline.Add(-deadlineLead); !p.Deadline.IsZero() && latest.Before(key) {
		return latest
	}
	return key
}

// Item is one waiting step.
type Item[T any] struct {
	Value    T
	key      time.Time
	sequence uint64
	index    int
}

// Queue holds waiting steps in the order of their keys, first come first among
// equals. It is not safe for concurrent use.
type Queue[T any] struct {
	items        itemHeap[T]
	lastSequence uint64
}

// Len returns the number of waiting steps.
func (q *Queue[T]) Len() int { return len(q.items) }

// Push adds a step and returns its item.
func (q *Queue[T]) Push(key time.Time, value T) *Item[T] {
	q.lastSequence++
	item := &Item[T]{Value: value, key: key, sequence: q.lastSequence}
	heap.Push(&q.items, item)
	return item
}

// At returns the item at a place from 0 to below Len. The first is at 0; the
// others stand only roughly in order, and in other places after each change.
func (q *Queue[T]) At(i int) *Item[T] { return q.items[i] }

// Remove takes an item out, wherever it stands; it reports whether it was in.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	if item.index < 0 || item.index >= len(q.items) || q.items[item.index] != item {
		return false
	}
	heap.Remove(&q.items, item.index)
	return true
}

// Pop takes the first item out, or returns nil.
func (q *Queue[T]) Pop() *Item[T] {
	if len(q.items) == 0 {
		return nil
	}
	return heap.Pop(&q.items).(*Item[T])
}

// Restore puts a popped item back in its old place.
func (q *Queue[T]) Restore(item *Item[T]) { heap.Push(&q.items, item) }

type itemHeap[T any] []*Item[T]

func (s itemHeap[T]) Len() int { return len(s) }

func (s itemHeap[T]) Less(i, j int) bool {
	if !s[i].key.Equal(s[j].key) {
		return s[i].key.Before(s[j].key)
	}
	return s[i].sequence < s[j].sequence
}

func (s itemHeap[T]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].index, s[j].index = i, j
}

// Push implements heap.Interface.
func (s *itemHeap[T]) Push(x any) {
	item := x.(*Item[T])
	item.index = len(*s)
	*s = append(*s, item)
}

// Pop implements heap.Interface.
func (s *itemHeap[T]) Pop() any {
	old := *s
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*s = old[:len(old)-1]
	last.index = -1
	return last
}
