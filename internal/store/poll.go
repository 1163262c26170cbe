package store

import (
	"context"
	"time"
)

// Listing holds all objects of a kind at one version of the store.
type Listing struct {
	Objects []Object
	AsOf    Version
}

// Changes holds the writes to a kind after a given version, up to and including AsOf.
type Changes struct {
	Events []Event
	AsOf   Version
}

// Poller reads all objects of a kind and the changes to them.
//
// Poll returns the changes after version from; it waits up to wait for the first one. ErrGone
// indicates that the store no longer has the changes since from; the caller must take a new snapshot
// of the kind.
type Poller interface {
	Get(ctx context.Context, key Key) (Object, error)
	Snapshot(ctx context.Context, kind string) (Listing, error)
	// Page returns the objects of a kind that follow a name, as many as the store returns at once, and
	// whether there are more.
	Page(ctx context.Context, kind, after string) (page Listing, more bool, err error)
	Poll(ctx context.Context, kind string, from Version, wait time.Duration) (Changes, error)
}

// StatusWriter writes the status of an object whose value operators own.
type StatusWriter interface {
	PutStatus(ctx context.Context, key Key, status []byte) error
}
