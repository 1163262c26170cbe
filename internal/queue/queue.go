// Package queue orders the steps that wait for an upstream. The order depends on the service that
// the whole program has had, not only on the single step. The package does no I/O.
package queue

import (
	"container/heap"
	"time"
)

// The weights of the order, as times by which a step's key is advanced or delayed.
const (
	// priorityAdvance is how much earlier a step's key is for each level of its plan's priority.
	priorityAdvance = 2 * time.Second
	// criticalAdvance is how much earlier the key is for a sub-agent that its parent waits for.
	criticalAdvance = 500 * time.Millisecond
	// attainedWeight is how much later the key is, in seconds per second of attained service.
	attainedWeight = 0.5
	// maxAttainedDelay and maxDelayShare, a share of the step's time, bound the delay by attained service, so that a
	// long program is neither delayed without limit nor until its deadlines pass.
	maxAttainedDelay = 10 * time.Second
	maxDelayShare    = 0.25
	// deadlineLead is how long before its deadline a step counts as enqueued at the latest.
	deadlineLead = 10 * time.Second
)

// Criteria determine a step's place in the queue.
type Criteria struct {
	// Enqueued is when the step began to wait.
	Enqueued time.Time
	// Attained is the service time that the program has had so far, including its root and all
	// sub-agents of the root.
	Attained time.Duration
	// Deadline is when the caller gives up; zero for none.
	Deadline time.Time
	// Priority is the plan's priority, from 0 to 9; higher goes first.
	Priority int
	// Critical reports whether a parent waits for this sub-agent.
	Critical bool
}

// Key returns the time at which the step counts as enqueued; the earliest key goes first. A program
// that has had little service goes before one that has had much (least attained service), and a
// step counts as enqueued at the latest deadlineLead before its deadline. A step's key never
// changes, while the keys of later steps grow with time, so no step starves.
func (c *Criteria) Key() time.Time {
	delay := min(maxAttainedDelay, time.Duration(attainedWeight*float64(c.Attained)))
	if !c.Deadline.IsZero() {
		delay = max(0, min(delay, time.Duration(maxDelayShare*float64(c.Deadline.Sub(c.Enqueued)))))
	}
	key := c.Enqueued.Add(delay - time.Duration(c.Priority)*priorityAdvance)
	if c.Critical {
		key = key.Add(-criticalAdvance)
	}
	if latest := c.Deadline.Add(-deadlineLead); !c.Deadline.IsZero() && latest.Before(key) {
		return latest
	}
	return key
}

// Item is one waiting step.
type Item[T any] struct {
	Value    T
	key      Key
	sequence uint64
	index    int
}

// Key returns the item's place in the order.
func (i *Item[T]) Key() Key { return i.key }

// Queue is a priority queue of waiting steps in the order of their keys, first in first out among
// equal keys. It is not safe for concurrent use.
type Queue[T any] struct {
	items        itemHeap[T]
	lastSequence uint64
}

// Len returns the number of waiting steps.
func (q *Queue[T]) Len() int { return len(q.items) }

// Push adds a step with a time as its key and returns its item.
func (q *Queue[T]) Push(key time.Time, value T) *Item[T] { return q.PushKey(Key{At: key}, value) }

// PushKey adds a step and returns its item.
func (q *Queue[T]) PushKey(key Key, value T) *Item[T] {
	q.lastSequence++
	item := &Item[T]{Value: value, key: key, sequence: q.lastSequence}
	heap.Push(&q.items, item)
	return item
}

// At returns the item at index i of the heap, from 0 to Len-1. The first item in order is at index
// 0. The others are only roughly in order, and any change of the queue may move them.
func (q *Queue[T]) At(i int) *Item[T] { return q.items[i] }

// Remove removes an item from anywhere in the queue and reports whether it was in the queue.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	if item.index < 0 || item.index >= len(q.items) || q.items[item.index] != item {
		return false
	}
	heap.Remove(&q.items, item.index)
	return true
}

// Pop removes and returns the first item, or returns nil if the queue is empty.
func (q *Queue[T]) Pop() *Item[T] {
	if len(q.items) == 0 {
		return nil
	}
	return heap.Pop(&q.items).(*Item[T])
}

// Rekey changes the keys of the waiting steps for which f returns true, and restores the order.
func (q *Queue[T]) Rekey(f func(T) (Key, bool)) {
	changed := false
	for _, item := range q.items {
		if key, differs := f(item.Value); differs {
			item.key, changed = key, true
		}
	}
	if changed {
		heap.Init(&q.items)
	}
}

// Sample calls f with waiting steps and the number of steps that each of them stands for: with all of
// them and 1, or in a queue of more than maxSampled with evenly spaced ones.
func (q *Queue[T]) Sample(f func(item *Item[T], weight int)) {
	stride := (len(q.items) + maxSampled - 1) / maxSampled
	for i := 0; i < len(q.items); i += stride {
		f(q.items[i], min(stride, len(q.items)-i))
	}
}

// Restore returns a popped item to its former place in the order.
func (q *Queue[T]) Restore(item *Item[T]) { heap.Push(&q.items, item) }

type itemHeap[T any] []*Item[T]

func (s itemHeap[T]) Len() int { return len(s) }

func (s itemHeap[T]) Less(i, j int) bool {
	if c := s[i].key.Compare(s[j].key); c != 0 {
		return c < 0
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
