package store

import (
	"context"
	"time"
)

// Listing is all objects of a kind at one version of the store.
type Listing struct {
	Objects []Object
	AsOf    Version
}

// Changes are the writes to a kind after one version and up to AsOf.
type Changes struct {
	Events []Event
	AsOf   Version
}

// Poller reads whole kinds and what changed in them.
//
// Poll waits up to wait for a first event. ErrGone says that the history since
// from is no longer kept; the kind must be listed again.
type Poller interface {
	Get(ctx context.Context, key Key) (Object, error)
	Snapshot(ctx context.Context, kind string) (Listing, error)
	Poll(ctx context.Context, kind string, from Version, wait time.Duration) (Changes, error)
}

// StatusWriter writes what the system says of an object that operators own.
type StatusWriter interface {
	PutStatus(ctx context.Context, key Key, status []byte) error
}
