package node

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/wake"
)

const (
	// lateCheckInterval is how often the process checks whether it runs in time, maxLateness how late it may be
	// without a log line. Callers notice a refusal that comes later.
	lateCheckInterval = 50 * time.Millisecond
	maxLateness       = 150 * time.Millisecond
)

// watchLateness logs and counts the times in which this process did not run, for want of a processor or because
// it was stopped. They tell a call that waited for the process from one that waited within it.
func watchLateness(ctx context.Context, clock wake.Clock, logger log.Interface, registry metrics.Registry) {
	late := metrics.GetOrRegisterCounter("process.late_ms", registry)
	wake.Watch(ctx, clock, lateCheckInterval, maxLateness, func(gap time.Duration) {
		ms := (gap - lateCheckInterval).Milliseconds()
		late.Inc(ms)
		logger.WithField("late_ms", ms).Info("process ran late")
	})
}
