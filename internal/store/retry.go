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

// Retry calls op again with growing, randomised waits while it fails with an
// outage or a lost answer, until ctx ends; then it returns op's last error.
// op must be idempotent: a lost answer may have taken effect.
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

// Update changes an object by conditional update. change gets the current
// object, with version zero if it is absent, and returns the new value, or
// false if there is nothing to change. It is called again after a conflict and
// after a lost answer, when it sees whether its effect is there, so it must
// return false on a value that already holds its effect.
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
