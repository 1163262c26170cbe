// Package urgency decides how urgent a model call is by the time that its program has left, and how
// full an engine may be for it. The functions are pure.
//
// It prevents the following failure: in a burst above the engines' rate, calls queue inside the
// engines in order of arrival, and programs with much time left delay those that then finish too
// late.
package urgency

import "time"

// tightCalls is the number of further calls of the same duration below which a program's time is
// tight: a program that still has time for this many can wait for one of them and finish in time.
const tightCalls = 4

// Call is what the urgency of a call depends on.
type Call struct {
	// Left is the time until the program's objective; it counts only if HasObjective is set.
	Left         time.Duration
	HasObjective bool
	// Expected is the expected duration of this call on an engine with a free slot.
	Expected time.Duration
	// Resent is set if an earlier attempt of this call was refused or lost.
	Resent bool
}

// Class is how urgent a call is within its rank. The most urgent class is the lowest value.
type Class uint8

// The classes.
const (
	// Tight is the class of a call whose program has time for fewer than tightCalls more calls of
	// this duration.
	Tight Class = iota
	// Ordinary is the class of a call with more time or without an objective.
	Ordinary
	// Late is the class of a call whose program can no longer finish by its objective.
	Late
)

// Classes lists all classes, the most urgent first.
var Classes = [...]Class{Tight, Ordinary, Late}

// String returns the class's name in log lines and metrics.
func (c Class) String() string { return [...]string{"tight", "ordinary", "late"}[c] }

// ClassOf returns the class of a call. A call that is sent again is at least Ordinary, since it has
// already waited once.
func ClassOf(c Call) Class {
	switch {
	case !c.HasObjective:
		return Ordinary
	case c.Left < c.Expected || c.Left <= 0:
		if c.Resent {
			return Ordinary
		}
		return Late
	case c.Left < tightCalls*c.Expected:
		return Tight
	default:
		return Ordinary
	}
}

// TightAt returns when a call with an objective becomes Tight, and LateAt when it becomes Late.
func TightAt(objective time.Time, expected time.Duration) time.Time {
	return objective.Add(-tightCalls * expected)
}

// LateAt returns when a call with an objective becomes Late.
func LateAt(objective time.Time, expected time.Duration) time.Time {
	return objective.Add(-expected)
}

// The allowances are the numbers of calls beyond an engine's slots, counted over all entries, from
// which on the engine is full for a call of the highest rank. The differences are the places that
// are reserved for more urgent calls. Twice the slots, for engines with 8, is a wait of one call's
// duration inside the engine, of which a tight call has several left.
const (
	tightAllowance    = 8
	ordinaryAllowance = 4
	lateAllowance     = 2
	// MaxAllowance is the largest allowance of any call.
	MaxAllowance = tightAllowance
	// rankReduction is by how many calls the allowance of ranks below the highest is smaller.
	rankReduction = 1
)

// Allowance returns the number of calls of all entries beyond an engine's slots from which on the
// engine is full for a call of this class and rank. A call of the highest rank has a larger allowance
// than one of a lower rank and the same class, so that this rank counts also between entries, whose
// queues don't know of each other.
func Allowance(c Class, rank int) int {
	allowance := [...]int{tightAllowance, ordinaryAllowance, lateAllowance}[c]
	if rank > 0 {
		allowance -= rankReduction
	}
	return allowance
}

// IsFull reports whether an engine with the calls of all entries is full for a call with the
// allowance.
func IsFull(calls, slots, allowance int) bool { return calls >= slots+allowance }
