package engine

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// The classes of failure, to be tested with errors.Is.
var (
	// ErrNotSent indicates that this process sent no byte of the request.
	ErrNotSent = errors.New("engine: not sent")
	// ErrNotRun indicates that the engine itself reported that it did not run the call.
	ErrNotRun = errors.New("engine: not run")
	// ErrRejected indicates that the engine refused the request as invalid. The call did not run,
	// and no other engine would accept it either.
	ErrRejected = errors.New("engine: rejected")
	// ErrUnknown indicates that the call may have run.
	ErrUnknown = errors.New("engine: outcome unknown")
	// ErrFenced indicates that an order had an outdated fencing token.
	ErrFenced = errors.New("engine: order fenced")
)

// Error is the failure of a call to an engine. errors.Is matches its Class.
type Error struct {
	// Class is one of the package's error variables.
	Class error
	// Status is the HTTP status, or 0 if there was no response.
	Status int
	// RetryAfter is the delay that the engine asked for, or 0 if it named none.
	RetryAfter time.Duration
	// Draining indicates that the engine drains.
	Draining bool
	// Partial indicates that a part of the response had arrived.
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

// Is reports whether target is the error's class; errors.Is uses it.
func (e *Error) Is(target error) bool { return target == e.Class }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// MayHaveRun reports whether a call that failed with err may have run. It is true for any error not
// known to exclude that.
func MayHaveRun(err error) bool {
	return !errors.Is(err, ErrNotSent) && !errors.Is(err, ErrNotRun) && !errors.Is(err, ErrRejected)
}
