package ledger

import (
	"context"
	"iter"

	"github.com/pkg/errors"

	"foxhall/internal/store"
)

// giveToHolders has peers hold the request's records. Fewer copies than needed
// leave the outcome open: the records stay queued for the log.
func (l *Log) replicateToPeers(ctx context.Context, r *request) error {
	n, err := l.options.Holders.Hold(ctx, Copy{Cohort: l.options.Cohort, Records: r.records})
	if n >= RequiredCopies {
		l.meters.held.Inc(int64(len(r.records)))
		return nil
	}
	l.meters.unsettled.Inc(1)
	l.log.WithError(err).WithField("copies", n).Warn("too few peers hold a copy")
	return errors.Wrapf(ErrUnsettled, "%d copies held", n)
}

// heldCopy returns all held records. The lock is held.
func (l *Log) heldCopy() Copy {
	c := Copy{Cohort: l.options.Cohort}
	for _, r := range l.held {
		c.Records = append(c.Records, r.records...)
	}
	return c
}

// offer gives held records to the successors until they have taken them.
func (l *Log) offer(seal *Seal, c Copy) {
	err := store.Retry(l.ctx, func() error {
		if err := l.options.Successors.Offer(l.ctx, seal, c); err != nil {
			l.log.WithError(err).Warn("held records not taken by the successors yet")
			return store.ErrUnavailable
		}
		return nil
	})
	if err != nil {
		l.log.WithField("records", len(c.Records)).Error("held records not offered before the stop")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = nil
}

// Rehold gives everything that is held to the holders again. It is called when
// a peer is gone: a holder that dies takes its copies with it, and a second
// death would lose turns that callers were told are durable. On a log that was
// closed it is ErrClosed.
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
			return errors.Wrapf(ErrUnsettled, "%d copies held: %v", n, err)
		}
	}
	return nil
}

// copyBatches cuts a copy into parts of the size of an entry.
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
