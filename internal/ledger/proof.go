package ledger

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/store"
)

// proofAge is the time for which a successful write proves that the log has
// not been sealed, adopted and deleted. It is far below the time for which a
// sealed log is kept (ownership.Retention).
const proofMaxAge = time.Minute

// proof remembers when the log was last known to exist.
type existenceProof struct{ confirmedAt time.Time }

func (p *existenceProof) renew(at time.Time) { p.confirmedAt = at }

// fresh reports whether the proof is young by the monotonic clock and by the
// wall clock. The monotonic clock may stand still while a machine is
// suspended, the wall clock may be set back.
func (p *existenceProof) isFresh() bool {
	now := time.Now()
	elapsed := now.Sub(p.confirmedAt)
	wall := now.Round(0).Sub(p.confirmedAt.Round(0))
	return max(elapsed, wall) < proofMaxAge
}

// concludeWritten tells the callers of a batch whose write was accepted.
//
// The failure: an owner is paused for so long that its log was sealed, adopted
// and deleted. Its next number is then free again, its write succeeds, and it
// would send a step that its successor may run too. A write later than
// proofAge after the last proof is therefore believed only after a look at the
// cohort's object: it is deleted before the log's seal entry is, so whoever
// found the number free because of the deletion finds the object gone.
func (l *Log) verifyAndCommit(b *batch, started time.Time) {
	if l.proof.isFresh() {
		l.commit(b, started)
		return
	}
	for l.ctx.Err() == nil {
		cohort, err := l.readCohort()
		switch {
		case err != nil && !errors.Is(err, store.ErrNotFound) && !errors.Is(err, ErrCorrupt):
			l.suspend(b)
			l.pause(downPollInterval)
		case cohort.Seal == nil && err == nil, cohort.SealNumber > b.entry.Number, errors.Is(err, ErrCorrupt):
			// In a living log, or before the seal and so adopted with the rest.
			// An object that can't be read is still there.
			l.commit(b, started)
			return
		default:
			l.fence(b, cohort.Seal, cohort.SealNumber)
			return
		}
	}
	l.abortBatch(b, true)
}

// readCohort returns the cohort's object, or what outlives it.
func (l *Log) readCohort() (Cohort, error) {
	ctx, cancel := context.WithTimeout(l.ctx, l.options.WriteTimeout)
	defer cancel()
	object, err := l.options.Store.Get(ctx, CohortKey(l.options.Cohort))
	if errors.Is(err, store.ErrNotFound) {
		object, err = l.options.Store.Get(ctx, MovedKey(l.options.Cohort))
	}
	if err != nil {
		return Cohort{}, err
	}
	return DecodeCohort(object)
}
