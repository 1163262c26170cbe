package command

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"foxhall/internal/control"
)

// pollInterval is the interval between status requests while waiting for an edit to be in force.
const pollInterval = 500 * time.Millisecond

// outdatedError indicates that instances do not have the version in force yet.
type outdatedError struct {
	version   uint64
	instances []control.StatusInstance
}

// Error implements error.
func (e *outdatedError) Error() string {
	names := make([]string, len(e.instances))
	for i, s := range e.instances {
		names[i] = fmt.Sprintf("%s in %s at version %d", s.Instance, s.DataCentre, s.ConfigVersion)
	}
	return fmt.Sprintf("accepted, but version %d is not yet in force on %s", e.version, strings.Join(names, ", "))
}

// waitInForce polls an instance until all instances that it knows have the version in force.
func waitInForce(ctx context.Context, c *cli.Command, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, c.Duration("wait-timeout"))
	defer cancel()
	var lastErr error
	count, err := backoff.Retry(ctx, func() (int, error) {
		count, err := countInForce(ctx, c.String("instance"), c.String("key"), version)
		if err != nil && (lastErr == nil || ctx.Err() == nil) {
			// The end of the wait is no reason: the last status tells why it went on.
			lastErr = err
		}
		return count, err
	}, backoff.WithBackOff(backoff.NewConstantBackOff(pollInterval)), backoff.WithMaxElapsedTime(0))
	if err != nil {
		return lastErr
	}
	_, err = fmt.Fprintf(c.Root().Writer, "in force on all %d instances\n", count)
	return err
}

// countInForce returns the number of instances, or an error unless all have the version in force.
func countInForce(ctx context.Context, instance, key string, version uint64) (int, error) {
	status, err := fetchStatus(ctx, instance, key, true)
	if err != nil {
		return 0, errors.Wrap(err, "accepted, but the status cannot be read")
	}
	if len(status.Instances) == 0 {
		return 0, errors.New("accepted, but the queried instance reports no instances")
	}
	outdated := &outdatedError{version: version}
	for _, s := range status.Instances {
		if s.ConfigVersion < version {
			outdated.instances = append(outdated.instances, s)
		}
	}
	if len(outdated.instances) > 0 {
		return 0, outdated
	}
	return len(status.Instances), nil
}
