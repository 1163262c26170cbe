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

// Pass looks at all cohorts of the data centre once and does what is missing:
// it seals the logs of dead owners, adopts slices whose chain of seals ends
// here, and deletes what is adopted. One list call tells it all. It goes on
// after a failure and returns the first.
func (k *Reconciler) Reconcile(ctx context.Context) error {
	if seal, number, fenced := k.options.Log.Fenced(); fenced {
		return k.recordOwnSeal(ctx, seal, number)
	}
	cohorts, err := k.listCohorts(ctx)
	if err != nil {
		return err
	}
	if own := cohorts[k.options.Self.Cohort]; own == nil || own.Seal != nil {
		// Sealed, or adopted and deleted meanwhile. An empty append makes the
		// log find that out now and not at the next caller's expense.
		return k.options.Log.Append(ctx)
	}
	failed := k.takeOverDead(ctx, cohorts)
	if err := k.breakRings(ctx, cohorts); failed == nil {
		failed = err
	}
	if err := k.adoptAll(ctx, cohorts); failed == nil {
		failed = err
	}
	if err := k.retireAll(ctx, cohorts); failed == nil {
		failed = err
	}
	return failed
}

// list returns the data centre's cohorts by name. A corrupt object is logged
// by name and left out: nothing is known of its log.
func (k *Reconciler) listCohorts(ctx context.Context) (map[program.Cohort]*ledger.Cohort, error) {
	objects, err := k.options.Store.List(ctx, ledger.KindCohort, k.options.Self.Cohort.DataCentre()+".")
	if err != nil {
		return nil, errors.Wrap(err, "ownership: cohorts")
	}
	cohorts := map[program.Cohort]*ledger.Cohort{}
	for _, object := range objects {
		c, err := ledger.DecodeCohort(object)
		if err != nil {
			k.log.WithError(err).Error("cohort object unreadable")
			continue
		}
		cohorts[c.Cohort] = &c
		k.directory.ObserveSeal(c)
	}
	return cohorts, k.loadSuccessorSeals(ctx, cohorts)
}

// learnSuccessors reads what became of successors without an object. One of
// them may be alive, paused until its log was adopted and deleted, and not know
// it: membership would then end a chain of seals at it for good.
func (k *Reconciler) loadSuccessorSeals(ctx context.Context, cohorts map[program.Cohort]*ledger.Cohort) error {
	for _, cohort := range cohorts {
		if cohort.Seal == nil {
			continue
		}
		if err := k.loadSealChain(ctx, cohorts, cohort.Seal); err != nil {
			return err
		}
	}
	return nil
}

func (k *Reconciler) loadSealChain(ctx context.Context, cohorts map[program.Cohort]*ledger.Cohort, seal *ledger.Seal) error {
	passed := map[program.Cohort]bool{}
	next := successorSet(seal)
	for len(next) > 0 {
		found := map[program.Cohort]bool{}
		for c := range next {
			if passed[c] || cohorts[c] != nil || c == k.options.Self.Cohort {
				continue
			}
			passed[c] = true
			seen, err := k.directory.read(ctx, c)
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

// takeOverDead seals the logs whose owner is dead long enough for this
// instance's rank. The sealed cohorts replace those in the map.
func (k *Reconciler) takeOverDead(ctx context.Context, cohorts map[program.Cohort]*ledger.Cohort) error {
	living := k.options.Members.Living()
	if len(living) == 0 {
		// An instance that sees itself cut off counts nobody as living, itself
		// included. A seal needs a successor: one without would end the chain
		// nowhere, and no instance could ever own the dead one's programs.
		return nil
	}
	var failed error
	for _, dead := range k.dueTakeOvers(cohorts, living) {
		candidates := slices.DeleteFunc(slices.Clone(living), func(m Member) bool { return m.Cohort == dead.Cohort })
		if len(candidates) == 0 {
			continue
		}
		sealed, err := k.takeOver(ctx, dead, candidates)
		if err != nil {
			failed = err
			continue
		}
		cohorts[dead.Cohort] = &sealed
	}
	return failed
}

// dead returns the unsealed cohorts that it is this instance's turn to take
// over: those of dead owners, and those that somebody began to seal and did not
// end. Left so, a living owner could never compact its log again.
func (k *Reconciler) dueTakeOvers(cohorts map[program.Cohort]*ledger.Cohort, living []Member) []Dead {
	reportedDead := map[program.Cohort]Dead{}
	for _, d := range k.options.Members.Dead() {
		reportedDead[d.Cohort] = d
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.untilTakeOver = k.options.Interval
	var due []Dead
	for c, cohort := range cohorts {
		_, lives := k.options.Members.Find(c)
		if lives && !cohort.Sealing || cohort.Seal != nil || c == k.options.Self.Cohort {
			delete(k.absentSince, c)
			continue
		}
		if k.absentSince[c].IsZero() {
			k.absentSince[c] = time.Now()
		}
		d, ok := reportedDead[c]
		if !ok {
			d = Dead{Cohort: c, Since: k.absentSince[c]}
		}
		if k.isDue(d, living) {
			due = append(due, d)
		}
		delete(reportedDead, c)
	}
	return append(due, k.dueWithoutObject(reportedDead, cohorts, living)...)
}

// unrecorded returns dead cohorts that never made their object: the object API
// was down for all their life, and peers may hold copies for them.
func (k *Reconciler) dueWithoutObject(reportedDead map[program.Cohort]Dead, cohorts map[program.Cohort]*ledger.Cohort, living []Member) []Dead {
	var due []Dead
	for c, d := range reportedDead {
		seen, ok := k.directory.cache.Get(c)
		sealed := ok && seen.cohort.Seal != nil
		if cohorts[c] == nil && !sealed && c != k.options.Self.Cohort && k.isDue(d, living) {
			due = append(due, d)
		}
	}
	return due
}

// turn returns how much longer than the first in rank this instance waits.
func (k *Reconciler) rankDelay(c program.Cohort, living []Member) time.Duration {
	rank := slices.IndexFunc(RankMembers(c, living), func(m Member) bool { return m.Cohort == k.options.Self.Cohort })
	return time.Duration(max(rank, 0)) * k.options.RankDelay
}

// takeOver seals a dead cohort's log. Whoever wins, the seal that holds is
// followed by all.
func (k *Reconciler) takeOver(ctx context.Context, dead Dead, candidates []Member) (ledger.Cohort, error) {
	if err := k.ensureObject(ctx, dead.Cohort); err != nil {
		return ledger.Cohort{}, err
	}
	seal := ledger.Seal{By: k.options.Self.Cohort, At: time.Now(), Successors: DistributeShards(dead.Cohort, candidates)}
	sealed, err := ledger.SealLog(ctx, k.options.Store, dead.Cohort, seal)
	if err != nil {
		return ledger.Cohort{}, errors.Wrap(err, "ownership: take-over")
	}
	k.takenOverCounter.Inc(1)
	k.directory.ObserveSeal(sealed)
	k.log.WithFields(log.Fields{
		"dead": string(dead.Cohort), "since": dead.Since, "entry": sealed.SealNumber,
		"by": string(sealed.Seal.By), "successors": len(successorSet(sealed.Seal)),
	}).Info("log of a dead owner sealed")
	k.notify(ctx, sealed)
	return sealed, nil
}

// ensureObject makes the object of a cohort that died before it could, unless
// the cohort was adopted and deleted before. A create that takes effect late
// brings the object of such a cohort back, without its seal: sealed again, at an
// entry that was deleted, its programs would have two owners. What outlives the
// object tells, and is asked first.
func (k *Reconciler) ensureObject(ctx context.Context, c program.Cohort) error {
	moved, err := k.movedCohort(ctx, c)
	if err != nil {
		return err
	}
	if moved != nil {
		k.directory.ObserveSeal(*moved)
		if err := deleteObject(ctx, k.options.Store, ledger.CohortKey(c)); err != nil {
			return errors.Wrap(err, string(c))
		}
		return errors.Wrapf(store.ErrNotFound, "%s: adopted before", c)
	}
	_, err = k.options.Store.Get(ctx, ledger.CohortKey(c))
	if !errors.Is(err, store.ErrNotFound) {
		return err
	}
	return ledger.CreateCohort(ctx, k.options.Store, ledger.Cohort{Cohort: c, First: 1})
}

// moved returns what outlives the object of an adopted cohort, or nil. It asks
// for a listing: the read of a single object may come from an older state, in
// which there is none, and a cohort would be sealed a second time.
func (k *Reconciler) movedCohort(ctx context.Context, c program.Cohort) (*ledger.Cohort, error) {
	objects, err := k.options.Store.List(ctx, ledger.KindCohortMoved, ledger.MovedKey(c).Name)
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

// notify tells the successors, so that they don't wait for their next pass.
func (k *Reconciler) notify(ctx context.Context, sealed ledger.Cohort) {
	if k.options.Notifier == nil {
		return
	}
	for c := range successorSet(sealed.Seal) {
		if m, ok := k.options.Members.Find(c); ok && c != k.options.Self.Cohort {
			k.options.Notifier.Sealed(ctx, m, sealed.Cohort)
		}
	}
}

func successorSet(seal *ledger.Seal) map[program.Cohort]bool {
	found := map[program.Cohort]bool{}
	for _, c := range seal.Successors {
		found[c] = true
	}
	return found
}

// HandOver seals this instance's own log at a planned stop and tells the
// successors. The caller has drained before: what is appended afterwards is
// refused as fenced. With nobody to take the programs it is ErrNoSuccessor.
func (k *Reconciler) HandOver(ctx context.Context) error {
	others := slices.DeleteFunc(slices.Clone(k.options.Members.Living()), func(m Member) bool {
		return m.Cohort == k.options.Self.Cohort
	})
	if len(others) == 0 {
		return ErrNoSuccessor
	}
	seal, number, err := k.options.Log.Seal(ctx, DistributeShards(k.options.Self.Cohort, others))
	if err != nil {
		return errors.Wrap(err, "ownership: hand-over")
	}
	k.log.WithFields(log.Fields{"entry": number, "successors": len(successorSet(seal))}).Info("log handed over")
	return errors.Wrap(k.recordOwnSeal(ctx, seal, number), "ownership: hand-over")
}

// recordOwn makes the own log's seal known in the cohort's object, from where
// others learn it. A hand-over whose answer was lost would else leave a sealed
// log whose owner lives, and which therefore nobody looks into.
func (k *Reconciler) recordOwnSeal(ctx context.Context, seal *ledger.Seal, number uint64) error {
	k.mu.Lock()
	nothingToDo := k.ownSealRecorded || seal == nil
	k.mu.Unlock()
	if nothingToDo {
		return nil
	}
	sealed, err := ledger.RecordSeal(ctx, k.options.Store, k.options.Self.Cohort, seal, number)
	if errors.Is(err, store.ErrNotFound) {
		// Adopted and deleted, unless the answer came from an older state of
		// the store: only what outlives the object proves that it is gone.
		_, err = k.options.Store.Get(ctx, ledger.MovedKey(k.options.Self.Cohort))
		sealed = ledger.Cohort{Cohort: k.options.Self.Cohort, Seal: seal, SealNumber: number}
	}
	if err != nil {
		return err
	}
	k.mu.Lock()
	k.ownSealRecorded = true
	k.mu.Unlock()
	k.directory.ObserveSeal(sealed)
	k.notify(ctx, sealed)
	return nil
}
