package output

import (
	"bytes"
	"slices"
)

// Question asks for the events that the caller of a resumed turn has.
type Question struct {
	Customer, Program string
	// Attempt is that of the caller, with the ID of its last event.
	Attempt Attempt
}

// Answer is what an instance holds of an attempt.
type Answer struct {
	// Root is the attempt from which the turn has gone on, and Parent the one whose events this attempt has taken over;
	// empty for an attempt from the start.
	Root, Parent string
	// Empty is set if the attempt has taken over and forwarded nothing.
	Empty bool
	// Ambiguous is set if several of its events have the ID asked for, or there was another attempt of its ID.
	Ambiguous bool
	// Events are those up to the one with the ID asked for; nil if there is none.
	Events []Event
}

// Source tells how the events of a resumed turn were found.
type Source uint8

const (
	// Found: the events are known.
	Found Source = iota
	// Unknown: no attempt is known that has forwarded the caller's last event.
	Unknown
	// Unreachable: an attempt that may have forwarded it is not to be had now, or for good.
	Unreachable
	// Ambiguous: several attempts have forwarded it, with other events before it or at the start of other turns.
	Ambiguous
)

// String returns the name in log lines and counters.
func (s Source) String() string {
	return [...]string{"found", "unknown", "unreachable", "ambiguous"}[s]
}

// Resolution is what was found of a resumed turn.
type Resolution struct {
	Source Source
	// Root and Parent are those of the attempt that resumes the turn, see Answer.
	Root, Parent string
	Events       []Event
}

// candidate is an attempt at the turn. answer is nil if it is not known what the attempt has forwarded.
type candidate struct {
	Attempt
	answer *Answer
}

// resolve finds the events of the caller among the attempts at turns of its line. Attempts without an answer may have
// forwarded anything. A caller resumes a turn only after it has left the attempt before: what that one forwards beyond
// the caller's last event reaches nobody.
func resolve(q *Question, attempts []Attempt, answers map[string]*Answer) Resolution {
	var candidates []candidate
	for _, a := range attempts {
		c := candidate{a, answers[a.Call]}
		if a.Line == q.Attempt.Line && a.Call != q.Attempt.Call && c.mayBelongTo(q.Attempt.Resumes) && !c.isBare(q.Attempt.After) {
			candidates = append(candidates, c)
		}
	}
	var holders []candidate
	for _, c := range candidates {
		switch {
		case c.answer == nil && !isParent(c.Call, candidates):
			return Resolution{Source: Unreachable}
		case c.answer == nil:
		case c.answer.Ambiguous:
			return Resolution{Source: Ambiguous}
		case c.answer.Events != nil && !isLeftBefore(&c, candidates):
			holders = append(holders, c)
		}
	}
	if len(holders) == 0 {
		return Resolution{Source: Unknown}
	}
	first := holders[0]
	for _, other := range holders[1:] {
		if other.answer.Root != first.answer.Root || !equalEvents(other.answer.Events, first.answer.Events) {
			return Resolution{Source: Ambiguous}
		}
	}
	return Resolution{Source: Found, Root: first.answer.Root, Parent: first.Call, Events: first.answer.Events}
}

// mayBelongTo reports whether the attempt may be one at the turn that began with the named call; any if that is empty.
func (c *candidate) mayBelongTo(root string) bool {
	switch {
	case root == "":
		return true
	case c.answer != nil && c.answer.Root != "":
		return c.answer.Root == root
	case c.After == "":
		return c.Call == root
	default:
		return c.Resumes == "" || c.Resumes == root
	}
}

// isBare reports whether the attempt has certainly brought its caller no event, if that is the one whose last event is
// after. A caller that still has the same last event got none of an attempt that resumed after it.
func (c *candidate) isBare(after string) bool {
	if c.answer != nil {
		return c.answer.Empty
	}
	return c.After == after
}

// isParent reports whether one of the attempts has taken over the events of the named one. Whatever else that one has
// forwarded reached nobody.
func isParent(call string, attempts []candidate) bool {
	return slices.ContainsFunc(attempts, func(c candidate) bool { return c.answer != nil && c.answer.Parent == call })
}

// isLeftBefore reports whether the caller of an attempt had left it before it got the event that is asked for.
func isLeftBefore(c *candidate, attempts []candidate) bool {
	before := c.answer.Events[:len(c.answer.Events)-1]
	return slices.ContainsFunc(attempts, func(next candidate) bool {
		return next.answer != nil && next.answer.Parent == c.Call &&
			slices.ContainsFunc(before, func(e Event) bool { return e.ID == next.After })
	})
}

func equalEvents(a, b []Event) bool {
	return slices.EqualFunc(a, b, func(x, y Event) bool { return x.ID == y.ID && bytes.Equal(x.Data, y.Data) })
}
