package store

import (
	"context"
	"time"
)

// Listing holds all objects of a kind, or a page of them, at one version of the store. An object that can't be
// read is listed without a value if its name is known, and is left out otherwise.
type Listing struct {
	Objects []Object
	AsOf    Version
	// Next is the name after which the next page begins; empty if there is none.
	Next string
	// Partial is set if there may be objects that could not be found. What is listed holds.
	Partial bool
}

// Changes holds the writes to a kind after a given version, up to and including AsOf.
type Changes struct {
	Events []Event
	AsOf   Version
}

// Poller reads all objects of a kind and the changes to them.
//
// Poll returns the changes after version from; it waits up to wait for the first one. ErrGone
// indicates that the store no longer has the changes since from, or that it can't be told which objects
// changed; the caller must take a new snapshot of the kind. An object that can't be read has no value.
type Poller interface {
	Get(ctx context.Context, key Key) (Object, error)
	Snapshot(ctx context.Context, kind string) (Listing, error)
	// Page returns the objects of a kind that follow a name, as many as the store returns at once, and
	// whether there are more, which follow the page's Next.
	Page(ctx context.Context, kind, after string) (page Listing, more bool, err error)
	Poll(ctx context.Context, kind string, from Version, wait time.Duration) (Changes, error)
}

// StatusWriter writes the status of an object whose value operators own.
type StatusWriter interface {
	PutStatus(ctx context.Context, key Key, status []byte) error
}
