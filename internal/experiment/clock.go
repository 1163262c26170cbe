package experiment

import (
	"container/heap"
	"time"
)

// simulationStart is the virtual time at which each run begins. Its value is arbitrary, but fixed,
// so that runs with the same seed are identical.
var simulationStart = time.Unix(1_700_000_000, 0)

// clock is a virtual clock that runs events in the order of their times.
type clock struct {
	now      time.Time
	events   events
	sequence int
}

// event is an action at a time; sequence is the order in which events were scheduled.
type event struct {
	at       time.Time
	sequence int
	action   func()
}

// schedule runs do after the duration d of virtual time.
func (c *clock) schedule(d time.Duration, do func()) {
	c.sequence++
	heap.Push(&c.events, event{at: c.now.Add(d), sequence: c.sequence, action: do})
}

// run runs events until none is left or the next one is after end.
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

// events is a heap of events by time; events at the same time keep the order of scheduling.
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
