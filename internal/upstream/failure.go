package upstream

import (
	"net/http"

	"github.com/pkg/errors"

	"foxhall/internal/engine"
)

// Kind is what a failed call says about the upstream.
type Kind uint8

// The kinds of failure.
const (
	// Lost says that the call may have run and its answer is missing.
	Lost Kind = iota
	// NotSent says that the upstream could not be reached: no byte left.
	NotSent
	// Refused says that the upstream itself said that it did not run the call.
	Refused
	// Invalid says that the request was at fault, and nothing about the upstream.
	Invalid
	// Silent says that the upstream stopped answering anything: the call may
	// have run, and others sent there now would be lost like it.
	Unresponsive
	// Erred says that the upstream ran the call and answered with a failure of
	// its own.
	Errored
)

// Failure is a failed call as the table sees it.
type Failure struct {
	Kind Kind
	// Leaving says that the upstream drains.
	Draining bool
	// NotLoaded says that the engine does not hold the model.
	NotLoaded bool
}

// FailureOf returns the failure that an error of the engine client stands for.
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
	case errors.Is(err, engine.ErrRejected):
		f.Kind = Invalid
	}
	return f
}
