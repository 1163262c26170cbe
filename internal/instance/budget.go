package instance

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"foxhall/internal/budget"
	"foxhall/internal/config"
	"foxhall/internal/dispatch"
	"foxhall/internal/plan"
	"foxhall/internal/step"
)

// plansInForce implements budget.Plans with the lists in force of a config.Source.
type plansInForce struct{ source *config.Source }

// Plans implements budget.Plans.
func (p plansInForce) Plans() (*plan.List, uint64) {
	current := p.source.Current()
	if current == nil {
		return nil, 0
	}
	return current.Plans, current.Version
}

// Changed implements budget.Plans.
func (p plansInForce) Changed() <-chan struct{} { return p.source.Changed() }

// budgets implements dispatch.Budget with a budget.Allocator.
type budgets struct{ allocator *budget.Allocator }

// reservation implements dispatch.Reservation.
type reservation struct{ *budget.Reservation }

// Settle implements dispatch.Reservation.
func (r reservation) Settle(actual dispatch.Cost) { r.Reservation.Settle(budget.Cost(actual)) }

// Reserve implements dispatch.Budget.
func (b budgets) Reserve(ctx context.Context, p *plan.Plan, cost dispatch.Cost) (dispatch.Reservation, *step.Result) {
	reserved, err := b.allocator.Reserve(ctx, p, budget.Cost(cost))
	if err == nil {
		return reservation{reserved}, nil
	}
	r := step.Refuse(http.StatusServiceUnavailable, step.CodeOverloaded, err.Error())
	var refusal *budget.Refusal
	if errors.As(err, &refusal) {
		r.RetryAfter = refusal.RetryAfter
		r.Status, r.Code = budgetStatus(refusal.Reason)
	}
	return nil, &r
}

func budgetStatus(reason budget.Reason) (int, step.Code) {
	switch reason {
	case budget.Exhausted, budget.TooLarge:
		return http.StatusTooManyRequests, step.CodeBudget
	case budget.StoreUnavailable:
		return http.StatusServiceUnavailable, step.CodeStoreUnavailable
	case budget.Removed:
		return http.StatusForbidden, step.CodeNotInPlan
	case budget.Closed:
		return http.StatusServiceUnavailable, step.CodeShuttingDown
	default:
		return http.StatusServiceUnavailable, step.CodeOverloaded
	}
}
