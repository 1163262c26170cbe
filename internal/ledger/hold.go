package ledger

import (
	"context"
	"iter"

	"github.com/pkg/errors"

	"foxhall/internal/store"
)

// replicateToPeers sends the request's records to the holders. If fewer than RequiredCopies peers
// confirm, the outcome is unknown: the records stay queued for the log.
func (l *Log) replicateToPeers(ctx context.Context, r *request) error {
	n, err := l.options.Holders.Hold(ctx, Copy{Cohort: l.options.Cohort, Records: r.records})
	if n >= RequiredCopies {
		l.meters.held.Inc(int64(len(r.records)))
		return nil
	}
	l.meters.unknownOutcomes.Inc(1)
	l.log.WithError(err).WithField("copies", n).Warn("too few peers hold copies; outcome of the append unknown")
	return errors.Wrapf(ErrOutcomeUnknown, "%d peers hold a copy, too few", n)
}

// heldCopy returns a copy with all held records. The caller holds the lock.
func (l *Log) heldCopy() Copy {
	c := Copy{Cohort: l.options.Cohort}
	for _, r := range l.held {
		c.Records = append(c.Records, r.records...)
	}
	return c
}

// offer sends held records to the successors until they have accepted them or the log is closed.
func (l *Log) offer(seal *Seal, c Copy) {
	err := store.Retry(l.ctx, func() error {
		if err := l.options.Successors.Offer(l.ctx, seal, c); err != nil {
			l.log.WithError(err).Warn("successors did not accept held records; retrying")
			return store.ErrUnavailable
		}
		return nil
	})
	if err != nil {
		l.log.WithField("records", len(c.Records)).Error("log closed before the successors accepted held records")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = nil
}

// ReplicateHeld sends all held records to the holders again. It is called when a peer has failed:
// the copies on it are lost, and a second failure would lose turns that were reported to callers
// as durable. On a closed log it returns ErrClosed.
func (l *Log) ReplicateHeld(ctx context.Context) error {
	if l.ctx.Err() != nil {
		return ErrClosed
	}
	l.mu.Lock()
	c := l.heldCopy()
	l.mu.Unlock()
	if len(c.Records) == 0 {
		return nil
	}
	for batch := range splitCopy(c) {
		n, err := l.options.Holders.Hold(ctx, batch)
		if n < RequiredCopies {
			return errors.Wrapf(ErrOutcomeUnknown, "%d peers hold a copy, too few: %v", n, err)
		}
	}
	return nil
}

// splitCopy splits a copy into parts that each fit into an entry.
func splitCopy(c Copy) iter.Seq[Copy] {
	return func(yield func(Copy) bool) {
		part := Copy{Cohort: c.Cohort}
		size := 0
		for _, r := range c.Records {
			if size+r.size() > MaxBatch && size > 0 {
				if !yield(part) {
					return
				}
				part.Records, size = nil, 0
			}
			part.Records = append(part.Records, r)
			size += r.size()
		}
		if size > 0 {
			yield(part)
		}
	}
}
