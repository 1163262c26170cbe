package ownership

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"foxhall/internal/ledger"
	"foxhall/internal/program"
	"foxhall/internal/store"
)

// Reconcile examines all cohorts of the data centre once, which takes one list call, and does what is
// missing: it seals the logs of dead owners, breaks rings of seals, adopts shards whose chain of
// seals ends here, and deletes adopted logs. It continues after a failure and returns the first one.
func (rc *Reconciler) Reconcile(ctx context.Context) error {
	if seal, number, fenced := rc.options.Log.Fenced(); fenced {
		return rc.recordOwnSeal(ctx, seal, number)
	}
	cohorts, err := rc.listCohorts(ctx)
	if err != nil {
		return err
	}
	if own := cohorts[rc.options.Self.Cohort]; own == nil || own.Seal != nil {
		// The own log is sealed, or was adopted and deleted. An empty append makes the log detect
		// that now instead of in the next caller's append.
		return rc.options.Log.Append(ctx)
	}
	failed := rc.takeOverDead(ctx, cohorts)
	if err := rc.breakRings(ctx, cohorts); failed == nil {
		failed = err
	}
	if err := rc.adoptAll(ctx, cohorts); failed == nil {
		failed = err
	}
	if err := rc.retireAll(ctx, cohorts); failed == nil {
		failed = err
	}
	return failed
}

// listCohorts returns the data centre's cohorts by name. A corrupt object is logged with its key and
// left out, since nothing is known about its log.
func (rc *Reconciler) listCohorts(ctx context.Context) (map[program.Cohort]*ledger.Cohort, error) {
	objects, err := rc.options.Store.List(ctx, ledger.KindCohort, rc.options.Self.Cohort.DataCentre()+".")
	if err != nil {
		return nil, errors.Wrap(err, "ownership: cohorts")
	}
	cohorts := map[program.Cohort]*ledger.Cohort{}
	for _, object := range objects {
		c, err := ledger.DecodeCohort(object)
		if err != nil {
			rc.log.WithError(err).Error("cohort object unreadable; cohort left out of this pass")
			continue
		}
		cohorts[c.Cohort] = &c
		rc.directory.ObserveSeal(c)
	}
	return cohorts, rc.loadSuccessorSeals(ctx, cohorts)
}

// loadSuccessorSeals reads the seals of successors that have no object. Such a successor may be alive,
// paused until its log was adopted and deleted, and not know of it: by membership alone, the chain of
// seals would then end at it for ever.
func (rc *Reconciler) loadSuccessorSeals(ctx context.Context, cohorts map[program.Cohort]*ledger.Cohort) error {
	for _, cohort := range cohorts {
		if cohort.Seal == nil {
			continue
		}
		if err := rc.loadSealChain(ctx, cohorts, cohort.Seal); err != nil {
			return err
		}
	}
	return nil
}

// loadSealChain reads the seals of all cohorts without an object that a seal leads to.
func (rc *Reconciler) loadSealChain(ctx context.Context, cohorts map[program.Cohort]*ledger.Cohort, seal *ledger.Seal) error {
	passed := map[program.Cohort]bool{}
	next := successorSet(seal)
	for len(next) > 0 {
		found := map[program.Cohort]bool{}
		for c := range next {
			if passed[c] || cohorts[c] != nil || c == rc.options.Self.Cohort {
				continue
			}
			passed[c] = true
			seen, err := rc.directory.read(ctx, c)
			if err != nil {
				return err
			}
			if seen.cohort.Seal != nil {
				maps.Copy(found, successorSet(seen.cohort.Seal))
			}
		}
		next = found
	}
	return nil
}

// takeOverDead seals the logs whose owners have been dead long enough for this instance's rank. It
// replaces their cohorts in the map by the sealed ones.
func (rc *Reconciler) takeOverDead(ctx context.Context, cohorts map[program.Cohort]*ledger.Cohort) error {
	living := rc.options.Members.Living()
	if len(living) == 0 {
		// An instance that considers itself isolated counts nobody as living, including itself. A
		// seal needs a successor: after a seal without one, no instance could ever own the dead
		// cohort's programs.
		return nil
	}
	var failed error
	for _, dead := range rc.dueTakeOvers(cohorts, living) {
		candidates := slices.DeleteFunc(slices.Clone(living), func(m Member) bool { return m.Cohort == dead.Cohort })
		if len(candidates) == 0 {
			continue
		}
		sealed, err := rc.takeOver(ctx, dead, candidates)
		if err != nil {
			failed = err
			continue
		}
		cohorts[dead.Cohort] = &sealed
	}
	return failed
}

// dueTakeOvers returns the unsealed cohorts that this instance may take over now: those of dead
// owners, and those that an instance began to seal without finishing. If the latter were left, a
// living owner could never compact its log again.
func (rc *Reconciler) dueTakeOvers(cohorts map[program.Cohort]*ledger.Cohort, living []Member) []Dead {
	reportedDead := map[program.Cohort]Dead{}
	for _, d := range rc.options.Members.Dead() {
		reportedDead[d.Cohort] = d
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.untilTakeOver = rc.options.Interval
	var due []Dead
	for c, cohort := range cohorts {
		_, lives := rc.options.Members.Find(c)
		if lives && !cohort.Sealing || cohort.Seal != nil || c == rc.options.Self.Cohort {
			delete(rc.absentSince, c)
			continue
		}
		if rc.absentSince[c].IsZero() {
			rc.absentSince[c] = time.Now()
		}
		d, ok := reportedDead[c]
		if !ok {
			d = Dead{Cohort: c, Since: rc.absentSince[c]}
		}
		if rc.isDue(d, living) {
			due = append(due, d)
		}
		delete(reportedDead, c)
	}
	return append(due, rc.dueWithoutObject(reportedDead, cohorts, living)...)
}

// dueWithoutObject returns the dead cohorts, of those given, that never created their object and that
// this instance may take over now. The object API was down for all their life, and peers may hold
// copies for them. The caller holds the lock.
func (rc *Reconciler) dueWithoutObject(reportedDead map[program.Cohort]Dead, cohorts map[program.Cohort]*ledger.Cohort, living []Member) []Dead {
	var due []Dead
	for c, d := range reportedDead {
		seen, ok := rc.directory.cache.Get(c)
		sealed := ok && seen.cohort.Seal != nil
		if cohorts[c] == nil && !sealed && c != rc.options.Self.Cohort && rc.isDue(d, living) {
			due = append(due, d)
		}
	}
	return due
}

// rankDelay returns how much longer than the first in rank this instance waits.
func (rc *Reconciler) rankDelay(c program.Cohort, living []Member) time.Duration {
	rank := slices.IndexFunc(RankMembers(c, living), func(m Member) bool { return m.Cohort == rc.options.Self.Cohort })
	return time.Duration(max(rank, 0)) * rc.options.RankDelay
}

// takeOver seals a dead cohort's log. If another instance sealed it first, that seal is in effect and
// is returned.
func (rc *Reconciler) takeOver(ctx context.Context, dead Dead, candidates []Member) (ledger.Cohort, error) {
	if err := rc.ensureObject(ctx, dead.Cohort); err != nil {
		return ledger.Cohort{}, err
	}
	seal := ledger.Seal{By: rc.options.Self.Cohort, At: time.Now(), Successors: DistributeShards(dead.Cohort, candidates)}
	sealed, err := ledger.SealLog(ctx, rc.options.Store, dead.Cohort, seal)
	if err != nil {
		return ledger.Cohort{}, errors.Wrap(err, "ownership: take-over")
	}
	rc.takenOverCounter.Inc(1)
	rc.directory.ObserveSeal(sealed)
	rc.log.WithFields(log.Fields{
		"dead": string(dead.Cohort), "since": dead.Since, "entry": sealed.SealNumber,
		"by": string(sealed.Seal.By), "successors": len(successorSet(sealed.Seal)),
	}).Info("log of a dead owner sealed")
	rc.notify(ctx, sealed)
	return sealed, nil
}

// ensureObject creates the object of a cohort whose owner died before it did so. If the cohort was
// adopted and deleted before, it deletes the object instead and returns store.ErrNotFound: a creation
// that takes effect late can bring such an object back without its seal. If the log were then sealed
// again, at an entry that was deleted, its programs would have two owners. The object under the moved
// key shows such a cohort, and is therefore read first.
func (rc *Reconciler) ensureObject(ctx context.Context, c program.Cohort) error {
	moved, err := rc.movedCohort(ctx, c)
	if err != nil {
		return err
	}
	if moved != nil {
		rc.directory.ObserveSeal(*moved)
		if err := deleteObject(ctx, rc.options.Store, ledger.CohortKey(c)); err != nil {
			return errors.Wrap(err, string(c))
		}
		return errors.Wrapf(store.ErrNotFound, "%s: cohort already adopted and deleted", c)
	}
	_, err = rc.options.Store.Get(ctx, ledger.CohortKey(c))
	if !errors.Is(err, store.ErrNotFound) {
		return err
	}
	return ledger.CreateCohort(ctx, rc.options.Store, ledger.Cohort{Cohort: c, First: 1})
}

// movedCohort returns the cohort that is kept under the moved key, or nil. It uses a list call: the
// read of a single object may return an older state in which the object does not exist yet, and the
// cohort would be sealed a second time.
func (rc *Reconciler) movedCohort(ctx context.Context, c program.Cohort) (*ledger.Cohort, error) {
	objects, err := rc.options.Store.List(ctx, ledger.KindCohortMoved, ledger.MovedKey(c).Name)
	if err != nil {
		return nil, errors.Wrap(err, string(c))
	}
	for _, object := range objects {
		if object.Key != ledger.MovedKey(c) {
			continue
		}
		moved, err := ledger.DecodeCohort(object)
		return &moved, errors.Wrap(err, string(c))
	}
	return nil, nil
}

// notify informs the successors of a seal, so that they need not wait for their next pass.
func (rc *Reconciler) notify(ctx context.Context, sealed ledger.Cohort) {
	if rc.options.Notifier == nil {
		return
	}
	for c := range successorSet(sealed.Seal) {
		if m, ok := rc.options.Members.Find(c); ok && c != rc.options.Self.Cohort {
			rc.options.Notifier.Sealed(ctx, m, sealed.Cohort)
		}
	}
}

// successorSet returns the distinct successors that the seal names.
func successorSet(seal *ledger.Seal) map[program.Cohort]bool {
	found := map[program.Cohort]bool{}
	for _, c := range seal.Successors {
		found[c] = true
	}
	return found
}

// HandOver seals this instance's own log at a planned stop and informs the successors. The caller must
// have drained the instance before: later appends are refused with ledger.ErrFenced. If there is no
// other instance to adopt the programs, it returns ErrNoSuccessor.
func (rc *Reconciler) HandOver(ctx context.Context) error {
	others := slices.DeleteFunc(slices.Clone(rc.options.Members.Living()), func(m Member) bool {
		return m.Cohort == rc.options.Self.Cohort
	})
	if len(others) == 0 {
		return ErrNoSuccessor
	}
	seal, number, err := rc.options.Log.Seal(ctx, DistributeShards(rc.options.Self.Cohort, others))
	if err != nil {
		return errors.Wrap(err, "ownership: hand-over")
	}
	rc.log.WithFields(log.Fields{"entry": number, "successors": len(successorSet(seal))}).Info("log handed over")
	return errors.Wrap(rc.recordOwnSeal(ctx, seal, number), "ownership: hand-over")
}

// recordOwnSeal copies the own log's seal into the cohort's object, where other instances find it.
// Otherwise a hand-over whose response was lost would leave a sealed log that no instance examines,
// since its owner is alive.
func (rc *Reconciler) recordOwnSeal(ctx context.Context, seal *ledger.Seal, number uint64) error {
	rc.mu.Lock()
	nothingToDo := rc.ownSealRecorded || seal == nil
	rc.mu.Unlock()
	if nothingToDo {
		return nil
	}
	sealed, err := ledger.RecordSeal(ctx, rc.options.Store, rc.options.Self.Cohort, seal, number)
	if errors.Is(err, store.ErrNotFound) {
		// The cohort was adopted and deleted, unless the response came from an older state of the
		// store. Only the object under the moved key proves the deletion.
		_, err = rc.options.Store.Get(ctx, ledger.MovedKey(rc.options.Self.Cohort))
		sealed = ledger.Cohort{Cohort: rc.options.Self.Cohort, Seal: seal, SealNumber: number}
	}
	if err != nil {
		return err
	}
	rc.mu.Lock()
	rc.ownSealRecorded = true
	rc.mu.Unlock()
	rc.directory.ObserveSeal(sealed)
	rc.notify(ctx, sealed)
	return nil
}
