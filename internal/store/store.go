// Package store contains clients of the platform's object API, which stores small versioned objects
// and offers conditional updates and watches.
//
// The object API is the only means by which instances reach agreement, and the only storage that
// outlives them. Each call and each waiting watch counts against a rate limit that all instances
// share, so callers should batch their calls and prefer watches to polling.
package store

import (
	"context"

	"github.com/pkg/errors"
)

// MaxValue is the size of the largest value that the object API accepts, in bytes.
const MaxValue = 1 << 20

// Version orders all writes to the store. Zero means that the object does not exist.
type Version uint64

// Key identifies an object by its kind and its name within the kind.
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

// Event is a write to an object, as delivered by a watch. A deletion has a nil Value and Deleted set.
type Event struct {
	Object  Object
	Deleted bool
}

// Errors of a Client, to be tested with errors.Is.
var (
	// ErrNotFound indicates that the object does not exist.
	ErrNotFound = errors.New("store: not found")
	// ErrConflict indicates that the object has another version than the condition requires; nothing
	// was written.
	ErrConflict = errors.New("store: version conflict")
	// ErrUnavailable indicates that the store rejected the request or could not be reached before the
	// request was sent; nothing was written.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrRateLimited is an ErrUnavailable that does not indicate a fault of the store: the call
	// exceeded the rate limit and can be repeated soon.
	ErrRateLimited = errors.Wrap(ErrUnavailable, "store: rate limited")
	// ErrUnknown indicates that the response was lost: a write may or may not have taken effect, and
	// the caller must read the object to find out.
	ErrUnknown = errors.New("store: outcome unknown")
	// ErrTooLarge indicates that the value exceeds MaxValue; nothing was written.
	ErrTooLarge = errors.New("store: value too large")
	// ErrGone indicates that a watch can't resume from the requested version; the caller must list
	// the kind again.
	ErrGone = errors.New("store: watch version gone")
)

// Conflict is an ErrConflict with the present object.
type Conflict struct{ Current Object }

// Error implements error.
func (c *Conflict) Error() string { return ErrConflict.Error() }

// Is reports whether target is ErrConflict.
func (c *Conflict) Is(target error) bool { return target == ErrConflict }

// Client is the part of the object API that the packages of foxhall use.
//
// Put writes the value on the condition that the object's version is still base; base 0 means that
// the object must not exist. Delete has the same condition. List returns the objects of a kind
// whose names start with prefix, ordered by name. Watch sends each write to the kind after version
// from, in order, until ctx ends or the stream breaks. Then it closes the channel, and the caller
// can resume from the last version received.
type Client interface {
	Get(ctx context.Context, key Key) (Object, error)
	Put(ctx context.Context, key Key, value []byte, base Version) (Version, error)
	Delete(ctx context.Context, key Key, base Version) error
	List(ctx context.Context, kind, prefix string) ([]Object, error)
	Watch(ctx context.Context, kind string, from Version) (<-chan Event, error)
}
