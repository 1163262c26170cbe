// Package store is the client's view of the platform's object API: small
// versioned objects with conditional updates and watches.
//
// The API is the only place where instances agree on anything and the only
// place that outlives them (brief, "Where it will run"). Each call and each
// waiting watch is counted against a rate shared by the fleet, so callers
// batch and prefer watches to polling.
package store

import (
	"context"

	"github.com/pkg/errors"
)

// MaxValue is the largest value in bytes that the object API accepts (brief).
const MaxValue = 1 << 20

// Version orders all writes to the store. Zero stands for "no such object".
type Version uint64

// Key names an object within its kind.
type Key struct {
	Kind string
	Name string
}

// String returns the key as kind/name.
func (k Key) String() string { return k.Kind + "/" + k.Name }

// Object is a stored value with the version of its last write.
type Object struct {
	Key     Key
	Version Version
	Value   []byte
}

// Event reports a write seen by a watch. A deletion has a nil Value and Deleted set.
type Event struct {
	Object  Object
	Deleted bool
}

// The errors that a Client returns, to be tested with errors.Is.
var (
	// ErrNotFound says that the object does not exist.
	ErrNotFound = errors.New("store: not found")
	// ErrConflict says that the condition on the version did not hold; nothing was written.
	ErrConflict = errors.New("store: version conflict")
	// ErrUnavailable says that the store refused or could not be reached before
	// the request was sent; nothing was written.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrRateLimited is an ErrUnavailable that says nothing about the store's
	// health: the call exceeded the rate and is worth repeating soon.
	ErrRateLimited = errors.Wrap(ErrUnavailable, "store: rate limited")
	// ErrUnknown says that the answer was lost: a write may or may not have
	// taken effect and must be settled by reading back.
	ErrUnknown = errors.New("store: outcome unknown")
	// ErrTooLarge says that the value exceeds MaxValue; nothing was written.
	ErrTooLarge = errors.New("store: value too large")
	// ErrGone says that a watch cannot resume from the asked version; list again.
	ErrGone = errors.New("store: watch version gone")
)

// Conflict is an ErrConflict that tells the object as it is.
type Conflict struct{ Present Object }

// Error implements error.
func (c *Conflict) Error() string { return ErrConflict.Error() }

// Is reports that it is an ErrConflict.
func (c *Conflict) Is(target error) bool { return target == ErrConflict }

// Client is what the packages of foxhall use of the object API.
//
// Put writes the value on the condition that the object's version is still
// base; base 0 means "create only if absent". Delete carries the same
// condition. List returns the objects of a kind whose names start with prefix,
// in name order. Watch sends each write to the kind after version from, in
// order, until ctx ends or the stream breaks; then the channel is closed and
// the caller resumes from the last version that it saw.
type Client interface {
	Get(ctx context.Context, key Key) (Object, error)
	Put(ctx context.Context, key Key, value []byte, base Version) (Version, error)
	Delete(ctx context.Context, key Key, base Version) error
	List(ctx context.Context, kind, prefix string) ([]Object, error)
	Watch(ctx context.Context, kind string, from Version) (<-chan Event, error)
}
