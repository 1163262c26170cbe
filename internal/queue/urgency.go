package queue

import (
	"cmp"
	"time"

	"foxhall/internal/urgency"
)

const (
	// rankDelay is by how much a call is placed later for each rank below the highest: a rank is worth
	// the time of about three calls. If ranks went first without limit, programs of a low rank would miss
	// their objectives beside a stream of programs of a higher one that have time.
	rankDelay = time.Second
	// lateDelay is how long after its arrival a late call counts as having its objective. It goes behind
	// the calls whose programs can still finish in time, and ahead of those that have more time than this.
	lateDelay = 4 * time.Second
	// maxDelayedRank bounds the ranks that delay a call.
	maxDelayedRank = 9
	// yieldShare is the part of the time between a call's arrival and its deadline in which it yields its
	// places to ordinary calls if it is late. The rest is enough for the call itself.
	yieldShare = 0.25
	// assumedTime is the time from the arrival to the deadline of a call without a deadline.
	assumedTime = 20 * time.Second
	// assumedObjective is the time after its arrival at which a call without an objective is assumed
	// to have one, for its place among calls that have one.
	assumedObjective = 10 * time.Second
	// maxSampled bounds the items that Sample looks at.
	maxSampled = 256
)

// Key is a place in the order; the lowest goes first.
type Key struct {
	At time.Time
	// Attained breaks ties: programs that have had little service go first.
	Attained time.Duration
}

// Compare returns a negative number if k goes before other.
func (k Key) Compare(other Key) int {
	return cmp.Or(k.At.Compare(other.At), cmp.Compare(k.Attained, other.Attained))
}

// Order determines the place of a model call in a queue that is ordered by urgency.
type Order struct {
	// Rank is that of the client account or the route; 0 is the highest.
	Rank int
	// Objective is the time by which the program should have finished; zero for none.
	Objective time.Time
	// Expected is the expected duration of this call on an engine with a free slot.
	Expected time.Duration
	// Resent is set if an earlier attempt of this call was refused or lost.
	Resent bool
	// Arrived is when the call arrived, Deadline when its caller gives up; zero for none.
	Arrived, Deadline time.Time
	// Attained is the service time that the program has had so far.
	Attained time.Duration
}

// State is the state of a waiting call at one moment, by which it is placed.
type State struct {
	// Class is how urgent the call is. It changes while the call waits.
	Class urgency.Class
	Rank  int
}

// At returns the state of the call at now. A late call that has waited for yieldShare of its time counts as
// Ordinary: ordinary calls that keep the engines full for late ones would else hold it until its deadline.
func (o *Order) At(now time.Time) State {
	s := State{Class: o.class(now), Rank: max(0, o.Rank)}
	if s.Class == urgency.Late && !now.Before(o.yieldsUntil()) {
		s.Class = urgency.Ordinary
	}
	return s
}

func (o *Order) class(now time.Time) urgency.Class {
	return urgency.ClassOf(urgency.Call{
		Left:         o.Objective.Sub(now),
		HasObjective: !o.Objective.IsZero(),
		Expected:     o.Expected,
		Resent:       o.Resent,
	})
}

// yieldsUntil returns until when the call yields if it is late.
func (o *Order) yieldsUntil() time.Time {
	total := assumedTime
	if !o.Deadline.IsZero() {
		total = max(0, o.Deadline.Sub(o.Arrived))
	}
	return o.Arrived.Add(time.Duration(yieldShare * float64(total)))
}

// Allowance returns the number of calls beyond an engine's slots from which on the engine is full
// for the call.
func (s State) Allowance() int { return urgency.Allowance(s.Class, s.Rank) }

// Key returns the call's place in the order at now: the earliest objective goes first, and each rank
// delays it. The keys of later arrivals grow with time, so that no call starves.
func (o *Order) Key(now time.Time) Key {
	at := o.objective()
	if o.class(now) == urgency.Late {
		at = o.Arrived.Add(lateDelay)
	}
	rank := min(maxDelayedRank, max(0, o.Rank))
	return Key{At: at.Add(time.Duration(rank) * rankDelay), Attained: o.Attained}
}

// objective returns the program's objective, or an assumed one. Without a bound, a call whose program has time
// for much longer than its caller waits would stay behind all arrivals until its deadline; with the deadline
// alone as the bound, programs of many calls would take the places of those with less time.
func (o *Order) objective() time.Time {
	assumed, deadline := o.Arrived.Add(assumedObjective), o.Deadline
	if deadline.IsZero() {
		deadline = o.Arrived.Add(assumedTime)
	}
	if o.Objective.IsZero() {
		return earlier(assumed, deadline)
	}
	return earlier(o.Objective, later(assumed, deadline))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// ChangesAt returns the first time after now at which the key may change; zero for never.
func (o *Order) ChangesAt(now time.Time) time.Time {
	if o.Objective.IsZero() {
		return time.Time{}
	}
	if tight := urgency.TightAt(o.Objective, o.Expected); tight.After(now) {
		return tight
	}
	// At LateAt itself, exactly the expected duration is left.
	if late := urgency.LateAt(o.Objective, o.Expected).Add(1); late.After(now) {
		return late
	}
	return time.Time{}
}
