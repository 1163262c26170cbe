package peer

import (
	"context"
	"net"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"
)

// The errors that a Client returns, to be tested with errors.Is.
var (
	// ErrUnreachable indicates that no connection could be made: the peer has not received the
	// call.
	ErrUnreachable = errors.New("peer: unreachable")
	// ErrTimeout indicates that the call timed out: the peer may have acted on it.
	ErrTimeout = errors.New("peer: timeout")
	// ErrUnknown indicates that the outcome is unknown, for example because the response was lost:
	// the peer may have acted on the call.
	ErrUnknown = errors.New("peer: outcome unknown")
	// ErrUnauthenticated indicates that the shared secrets differ.
	ErrUnauthenticated = errors.New("peer: unauthenticated")
	// ErrUnimplemented indicates that the peer does not serve this method.
	ErrUnimplemented = errors.New("peer: unimplemented")
	// ErrRefused indicates that the peer's handler understood the call and refused it.
	ErrRefused = errors.New("peer: refused")
	// ErrInvalid indicates that the peer could not decode the call or found it malformed.
	ErrInvalid = errors.New("peer: invalid message")
)

// Refuse returns the error for a handler that refuses a call. The caller gets ErrRefused.
func Refuse(reason string) error { return twirp.NewError(twirp.FailedPrecondition, reason) }

// Invalid returns the error for a handler that rejects a malformed message. The caller gets
// ErrInvalid.
func Invalid(reason string) error { return twirp.NewError(twirp.InvalidArgument, reason) }

// classify wraps the error of a failed call in one of the package's errors.
func classify(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	if ctx.Err() != nil {
		return errors.Wrap(ErrTimeout, err.Error())
	}
	var twirpErr twirp.Error
	if !errors.As(err, &twirpErr) {
		return errors.Wrap(ErrUnknown, err.Error())
	}
	return errors.Wrap(errorForCode(twirpErr.Code()), twirpErr.Msg())
}

func errorForCode(code twirp.ErrorCode) error {
	switch code {
	case twirp.Unauthenticated, twirp.PermissionDenied:
		return ErrUnauthenticated
	case twirp.Unimplemented, twirp.BadRoute, twirp.NotFound:
		return ErrUnimplemented
	case twirp.FailedPrecondition, twirp.ResourceExhausted, twirp.Aborted:
		return ErrRefused
	case twirp.InvalidArgument, twirp.Malformed:
		return ErrInvalid
	case twirp.DeadlineExceeded, twirp.Canceled:
		return ErrTimeout
	default:
		return ErrUnknown
	}
}
