package limit

import (
	"fmt"
	"time"
)

// Reason is the reason why a step was not admitted.
type Reason string

// The reasons of refusals.
const (
	// RateLimited means that the plan's rate is exhausted.
	RateLimited Reason = "rate limit of the plan"
	// ConcurrencyLimited means that the plan has its maximum of running steps.
	ConcurrencyLimited Reason = "concurrency limit of the plan"
	// Overloaded means that the instance will not have a free slot in time.
	Overloaded Reason = "instance overloaded"
	// DeadlineTooClose means that the step would end after the caller's deadline.
	DeadlineTooClose Reason = "deadline can't be met"
	// Cancelled means that the caller disconnected while the step waited.
	Cancelled Reason = "caller gone"
)

// Refusal is returned for a step that was not admitted. Nothing of the step has been sent.
type Refusal struct {
	Plan   string
	Reason Reason
	// RetryAfter is the estimated time until the step would be admitted; zero if unknown.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("limit: plan %q: %s, retry after %s", r.Plan, r.Reason, r.RetryAfter)
}
