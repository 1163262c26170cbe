package engine

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// The classes of failure, to be tested with errors.Is.
var (
	// ErrNotSent says that no byte of the request left this process.
	ErrNotSent = errors.New("engine: not sent")
	// ErrNotRun says that the engine itself said that it did not run the call.
	ErrNotRun = errors.New("engine: not run")
	// ErrRejected says that the engine refused the request as invalid; it did
	// not run and no other engine would take it either.
	ErrRejected = errors.New("engine: rejected")
	// ErrUnknown says that the call may have run.
	ErrUnknown = errors.New("engine: outcome unknown")
	// ErrFenced says that an order carried an old fencing token.
	ErrFenced = errors.New("engine: order fenced")
)

// Error is the failure of a call to an engine. errors.Is matches its Class.
type Error struct {
	// Class is one of the package's errors.
	Class error
	// Status is the HTTP status, or 0 where there was no answer.
	Status int
	// RetryAfter is what the engine asked for; 0 if nothing.
	RetryAfter time.Duration
	// Leaving says that the engine drains.
	Draining bool
	// Partial says that a part of the answer had come.
	Partial bool
	// Cause is the transport's error or the engine's message.
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Status != 0 {
		return fmt.Sprintf("%v: status %d: %v", e.Class, e.Status, e.Cause)
	}
	return fmt.Sprintf("%v: %v", e.Class, e.Cause)
}

// Is implements the interface of errors.Is.
func (e *Error) Is(target error) bool { return target == e.Class }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Ran reports whether the call may have run, for a failure of any kind.
func MayHaveRun(err error) bool {
	return !errors.Is(err, ErrNotSent) && !errors.Is(err, ErrNotRun) && !errors.Is(err, ErrRejected)
}
