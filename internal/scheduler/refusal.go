package scheduler

import (
	"time"

	"github.com/apex/log"

	"foxhall/internal/placement"
	"foxhall/internal/step"
)

// Cause is the rule by which a step was refused, as used in log lines and metrics.
type Cause string

// The causes.
const (
	// QueueFull: too many steps wait.
	QueueFull Cause = "queue_full"
	// LateOnArrival: behind the steps that wait, it can't be done by its deadline.
	LateOnArrival Cause = "late_on_arrival"
	// Late: no upstream is estimated to do it by its deadline.
	Late Cause = "late"
	// DeadlinePassed: its deadline passed in the queue.
	DeadlinePassed Cause = "deadline_passed"
	// NoUpstream: no upstream could take it, now or after a wait.
	NoUpstream Cause = "no_upstream"
	// NotLoaded: no upstream has the model loaded.
	NotLoaded Cause = "not_loaded"
	// NoVersion: no upstream runs the version that it needs.
	NoVersion Cause = "version_gone"
	// NoRetry: the retry budget is used up.
	NoRetry Cause = "retry_budget"
	// NotPermitted: the plan may not use the model or service.
	NotPermitted Cause = "not_permitted"
	// Cancelled: its caller is gone.
	Cancelled Cause = "cancelled"
)

// Refusal is the reason why a step was not placed on an upstream, and so was not run.
type Refusal struct {
	Code       step.Code
	Status     int
	Message    string
	Cause      Cause
	RetryAfter time.Duration
	// VersionGone is set if no upstream has the version that the step needs.
	VersionGone bool
	// Estimate is the estimate by which the step counts as late; nil if it was refused for another cause.
	Estimate *Estimate

	// decision is the last decision made for the step, if any.
	decision placement.Decision
}

// Estimate is an estimate by which a step can't be done by its deadline.
type Estimate struct {
	// Upstream is the one for which Need is estimated; empty for all together.
	Upstream string
	// Need is the least time that the step takes, Left the time until its deadline.
	Need, Left time.Duration
	// Age is the time since the latest response that the estimate was learned from; -1 if there was none.
	Age time.Duration
}

func refuse(cause Cause, code step.Code, status int, message string, after time.Duration) *Refusal {
	return &Refusal{Cause: cause, Code: code, Status: status, Message: message, RetryAfter: after}
}

// Fields implements log.Fielder.
func (r *Refusal) Fields() log.Fields {
	fields := log.Fields{"placement": string(r.Cause)}
	if e := r.Estimate; e != nil {
		fields["need_ms"], fields["had_ms"] = e.Need.Milliseconds(), e.Left.Milliseconds()
		if e.Age >= 0 {
			fields["estimate_age_ms"] = e.Age.Milliseconds()
		}
		if e.Upstream != "" {
			fields["estimate_of"] = e.Upstream
		}
	}
	for reason, n := range r.decision.Rejections {
		if n > 0 {
			fields["out_"+placement.Reason(reason).String()] = n
		}
	}
	return fields
}
