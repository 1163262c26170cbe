package store

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
)

const (
	retryMin = 20 * time.Millisecond
	retryMax = 2 * time.Second
)

// Retry calls op with randomised exponential backoff until it returns something other than an outage
// (ErrUnavailable) or a lost response (ErrUnknown), or until ctx ends. It returns op's last error. op
// must be idempotent, because a call whose response was lost may have taken effect.
func Retry(ctx context.Context, op func() error) error {
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = retryMin
	waits.MaxInterval = retryMax
	for {
		err := op()
		if !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrUnknown) {
			return err
		}
		if !sleep(ctx, waits.NextBackOff()) {
			return err
		}
	}
}

// Update changes an object by a conditional update. change gets the current object, with version zero
// if the object is absent, and returns the new value, or false if there is nothing to change. It is
// called again after a conflict and after a lost response. As the lost update may have taken effect,
// change must return false for a value that already contains its change.
func Update(ctx context.Context, client Client, key Key, change func(Object) ([]byte, bool, error)) error {
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = retryMin
	waits.MaxInterval = retryMax
	for {
		err := updateOnce(ctx, client, key, change)
		if !errors.Is(err, ErrConflict) && !errors.Is(err, ErrUnknown) {
			return err
		}
		if !sleep(ctx, waits.NextBackOff()) {
			return err
		}
	}
}

func updateOnce(ctx context.Context, client Client, key Key, change func(Object) ([]byte, bool, error)) error {
	object, err := client.Get(ctx, key)
	if errors.Is(err, ErrNotFound) {
		object = Object{Key: key}
	} else if err != nil {
		return err
	}
	value, changed, err := change(object)
	if err != nil || !changed {
		return err
	}
	_, err = client.Put(ctx, key, value, object.Version)
	return err
}
