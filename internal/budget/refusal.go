package budget

import (
	"fmt"
	"time"
)

// Reason is the reason why a reservation was refused.
type Reason string

// The reasons of refusals.
const (
	// Exhausted means that the budget of the window is spent, or held by other instances.
	Exhausted Reason = "budget exhausted"
	// TooLarge means that the cost exceeds the plan's full budget.
	TooLarge Reason = "larger than the whole budget"
	// StoreUnavailable means that too little is held and the store is unavailable.
	StoreUnavailable Reason = "object API unavailable"
	// PlanOutdated means that this instance has not received the last edit of the plan.
	PlanOutdated Reason = "the plan's edit has not arrived yet"
	// Removed means that the plan is not in the list in force.
	Removed Reason = "plan removed"
	// Busy means that no draw for the need ended in time.
	Busy Reason = "draw under way"
	// Closed means that the instance is stopping.
	Closed Reason = "shutting down"
)

// Refusal is the error of a refused reservation.
type Refusal struct {
	Plan   string
	Reason Reason
	// RetryAfter is the time after which a retry may succeed; zero if none will.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("budget: plan %q: %s, retry after %s", r.Plan, r.Reason, r.RetryAfter)
}
