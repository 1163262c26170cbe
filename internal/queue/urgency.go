package queue

import (
	"cmp"
	"time"

	"foxhall/internal/urgency"
)

const (
	// overdueShare is the part of the time between a call's arrival and its deadline after which it
	// goes ahead of all later arrivals. The rest of the time is enough for the call itself and for
	// the overdue calls that arrived before it.
	overdueShare = 0.25
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
	// Rank is 0 for the highest rank.
	Rank int
	// Level orders the calls of a rank: 0 for calls that have waited too long, then by class.
	Level uint8
	At    time.Time
	// Attained breaks ties: programs that have had little service go first.
	Attained time.Duration
}

// Compare returns a negative number if k goes before other.
func (k Key) Compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Rank, other.Rank), cmp.Compare(k.Level, other.Level), k.At.Compare(other.At), cmp.Compare(k.Attained, other.Attained))
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

// State is the state of a waiting call at one moment, by which it is ordered and placed.
type State struct {
	// Class is how urgent the call is. It changes while the call waits.
	Class urgency.Class
	// Rank is the rank by which the call is ordered.
	Rank int
	// Overdue is set if the call has waited for overdueShare of its time.
	Overdue bool
}

// OverdueAt returns when the call goes ahead of all later arrivals.
func (o *Order) OverdueAt() time.Time {
	total := assumedTime
	if !o.Deadline.IsZero() {
		total = max(0, o.Deadline.Sub(o.Arrived))
	}
	return o.Arrived.Add(time.Duration(overdueShare * float64(total)))
}

// At returns the state of the call at now. An overdue call counts as at least Ordinary and as of the
// next higher rank. Without that, a stream of more urgent calls, or of calls of that rank, would hold
// it until its deadline.
func (o *Order) At(now time.Time) State {
	s := State{Rank: max(0, o.Rank), Overdue: !now.Before(o.OverdueAt())}
	s.Class = urgency.ClassOf(urgency.Call{
		Rank:         o.Rank,
		Left:         o.Objective.Sub(now),
		HasObjective: !o.Objective.IsZero(),
		Expected:     o.Expected,
		Resent:       o.Resent,
	})
	if s.Overdue {
		s.Rank = max(0, s.Rank-1)
		s.Class = min(s.Class, urgency.Ordinary)
	}
	return s
}

// Allowance returns the number of calls beyond an engine's slots from which on the engine is full
// for the call.
func (s State) Allowance() int { return urgency.Allowance(s.Class, s.Rank) }

// Key returns the call's place in the order at now, by rank first. Within a rank, overdue calls go
// first, in the order of arrival; then tight and ordinary ones, each by the earliest objective; then
// late ones, in the order of arrival.
func (o *Order) Key(now time.Time) Key {
	s := o.At(now)
	key := Key{Rank: s.Rank, Attained: o.Attained}
	switch {
	case s.Overdue:
		key.At = o.Arrived
	case s.Class == urgency.Late:
		key.Level, key.At = 1+uint8(s.Class), o.Arrived
	default:
		key.Level, key.At = 1+uint8(s.Class), o.objective()
	}
	return key
}

// objective returns the program's objective, or an assumed one that is no later than the deadline.
func (o *Order) objective() time.Time {
	if !o.Objective.IsZero() {
		return o.Objective
	}
	assumed := o.Arrived.Add(assumedObjective)
	if !o.Deadline.IsZero() && o.Deadline.Before(assumed) {
		return o.Deadline
	}
	return assumed
}

// ChangesAt returns the first time after now at which the key changes; zero for never.
func (o *Order) ChangesAt(now time.Time) time.Time {
	var first time.Time
	consider := func(t time.Time) {
		if t.After(now) && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	consider(o.OverdueAt())
	if !o.Objective.IsZero() {
		consider(urgency.TightAt(o.Objective, o.Expected))
		// At LateAt itself, exactly the expected duration is left.
		consider(urgency.LateAt(o.Objective, o.Expected).Add(1))
	}
	return first
}
