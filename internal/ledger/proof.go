package ledger

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/store"
)

// proofMaxAge is how long a successful write proves that the log has not been sealed, adopted and
// deleted. It is far shorter than the time for which the seal of an adopted log is kept (see
// ownership.Options.Retention).
const proofMaxAge = time.Minute

// existenceProof is the time at which the log was last known to exist.
type existenceProof struct{ confirmedAt time.Time }

// renew records that the log existed at the given time.
func (p *existenceProof) renew(at time.Time) { p.confirmedAt = at }

// isFresh reports whether the proof is younger than proofMaxAge by both the monotonic clock and the
// wall clock. The monotonic clock may stop while a machine is suspended, and the wall clock may be
// set back.
func (p *existenceProof) isFresh() bool {
	now := time.Now()
	elapsed := now.Sub(p.confirmedAt)
	wall := now.Round(0).Sub(p.confirmedAt.Round(0))
	return max(elapsed, wall) < proofMaxAge
}

// verifyAndCommit commits a batch whose write was accepted, if the log still exists.
//
// This guards against an owner that is paused for so long that its log is sealed, adopted and
// deleted. Its next number is then free again, its write succeeds, and it would send a step that
// its successor may run, too. If the last proof is older than proofMaxAge, the cohort's object is
// therefore read before the write is accepted. The object is deleted before the seal entry, so an
// owner that found the number free because of the deletion finds no object.
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
			// The entry is in an unsealed log, or before the seal and therefore adopted with the
			// others. An object that can't be decoded still exists.
			l.commit(b, started)
			return
		default:
			l.fence(b, cohort.Seal, cohort.SealNumber)
			return
		}
	}
	l.abortBatch(b, true)
}

// readCohort returns the cohort's object or, if it was deleted, the one under the moved key.
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
