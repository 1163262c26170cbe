package budget

import (
	"fmt"
	"time"
)

// Reason tells why a reservation was refused.
type Reason string

// The reasons of refusals.
const (
	// Exhausted says that the budget of the window is spent or held elsewhere.
	Exhausted Reason = "budget exhausted"
	// TooLarge says that the cost exceeds the whole budget.
	TooLarge Reason = "larger than the whole budget"
	// StoreUnavailable says that nothing is held and the store can't be asked.
	StoreUnavailable Reason = "object API unavailable"
	// Behind says that the plan was edited and this instance has not got the edit yet.
	PlanOutdated Reason = "the plan's edit has not arrived yet"
	// Removed says that the plan is not in the list in force.
	Removed Reason = "plan removed"
	// Busy says that a draw is under way and did not end soon enough.
	Busy Reason = "draw under way"
	// Closed says that the instance is stopping.
	Closed Reason = "shutting down"
)

// Refusal is the error of a reservation that was not made.
type Refusal struct {
	Plan   string
	Reason Reason
	// RetryAfter tells when asking again is of use; zero where it is not.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("budget: plan %q: %s, retry after %s", r.Plan, r.Reason, r.RetryAfter)
}
