package experiment

import (
	"container/heap"
	"time"
)

// epoch is the moment at which each run begins. Any will do; a fixed one makes
// runs with one seed the same.
var simulationStart = time.Unix(1_700_000_000, 0)

// clock runs events in the order of their times.
type clock struct {
	now      time.Time
	events   events
	sequence int
}

type event struct {
	at       time.Time
	sequence int
	action   func()
}

// after runs do when the time has passed.
func (c *clock) schedule(d time.Duration, do func()) {
	c.sequence++
	heap.Push(&c.events, event{at: c.now.Add(d), sequence: c.sequence, action: do})
}

// run goes on until nothing is left to do, or until the end.
func (c *clock) run(end time.Time) {
	for len(c.events) > 0 {
		e := heap.Pop(&c.events).(event)
		if e.at.After(end) {
			return
		}
		c.now = e.at
		e.action()
	}
}

// events is a heap of events by time, first come first among equals.
type events []event

func (s events) Len() int { return len(s) }

func (s events) Less(i, j int) bool {
	if !s[i].at.Equal(s[j].at) {
		return s[i].at.Before(s[j].at)
	}
	return s[i].sequence < s[j].sequence
}

func (s events) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *events) Push(x any) { *s = append(*s, x.(event)) }

// Pop implements heap.Interface.
func (s *events) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}
