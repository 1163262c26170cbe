package node

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// partRestartDelay is the time from the end of a part to its next start.
const partRestartDelay = time.Second

var errPartEnded = errors.New("node: part ended before the stop")

// keepRunning runs a part of this instance until ctx ends. A part that ends before is started again after
// partRestartDelay. It returns the error of the last run.
//
// It prevents the following failure: a part ends unheard, and the instance runs on without it until it is stopped.
func (n *Node) keepRunning(ctx context.Context, part string, run func(context.Context) error) error {
	for {
		err := run(ctx)
		if ctx.Err() != nil {
			return n.logEnd(part, err)
		}
		if err == nil {
			err = errPartEnded
		}
		n.logger.WithField("part", part).WithError(err).Error("part of this instance failed; will be started again")
		sleep(ctx, partRestartDelay)
		if ctx.Err() != nil {
			return err
		}
	}
}

// logEnd logs the end of a part that is not started again if it failed, and returns its error.
func (n *Node) logEnd(part string, err error) error {
	if err != nil {
		n.logger.WithField("part", part).WithError(err).Error("part of this instance ended with an error")
	}
	return err
}
