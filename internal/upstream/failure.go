package upstream

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/engine"
)

// FailureKind is the kind of a failure, which determines its effect on the upstream's health.
type FailureKind uint8

// The kinds of failure.
const (
	// Lost indicates that the call may have run and its response is missing.
	Lost FailureKind = iota
	// NotSent indicates that the upstream could not be reached: no byte of the call was sent.
	NotSent
	// Refused indicates that the upstream itself reported that it did not run the call.
	Refused
	// Invalid indicates an invalid request, which has no bearing on the upstream's health.
	Invalid
	// Unresponsive indicates that the upstream stopped responding to anything: the call may have
	// run, and other calls sent now would be lost as well.
	Unresponsive
	// Errored indicates that the upstream ran the call and responded with an error of its own.
	Errored
)

// Failure describes a failed call to the table.
type Failure struct {
	Kind FailureKind
	// SentAt is when the call or probe was sent; zero if it is not known.
	SentAt time.Time
	// Draining indicates that the upstream drains.
	Draining bool
	// Repeated indicates that the upstream refused the same call before.
	Repeated bool
	// Overloaded indicates that the upstream refused the call for its load.
	Overloaded bool
	// NotLoaded indicates that the engine has not loaded the model.
	NotLoaded bool
}

// FailureOf converts an error of the engine client to a failure.
func FailureOf(err error) Failure {
	var f Failure
	var failure *engine.Error
	if errors.As(err, &failure) {
		f.Draining = failure.Draining
		f.NotLoaded = failure.Status == http.StatusNotFound
	}
	switch {
	case errors.Is(err, engine.ErrNotSent):
		f.Kind = NotSent
	case errors.Is(err, engine.ErrNotRun):
		f.Kind = Refused
		f.Overloaded = !f.Draining && failure != nil && (failure.Status == http.StatusServiceUnavailable || failure.Status == http.StatusTooManyRequests)
	case errors.Is(err, engine.ErrRejected):
		f.Kind = Invalid
	}
	return f
}
