package ownership

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/ledger"
	"foxhall/internal/program"
	"foxhall/internal/store"
)

// purgeEvery is how often the first in rank looks for seals past their retention.
const purgeInterval = time.Hour

// retireAll deletes the logs whose slices are all adopted. Any instance may do
// it again after another's crash; the ranks keep them from racing.
func (k *Reconciler) retireAll(ctx context.Context, cohorts map[program.Cohort]*ledger.Cohort) error {
	living := k.options.Members.Living()
	var failed error
	for c, cohort := range cohorts {
		if cohort.Adopted != ledger.AllAdopted || time.Since(cohort.AdoptedAt) < k.rankDelay(c, living) {
			continue
		}
		if err := k.retire(ctx, cohort); failed == nil {
			failed = err
		}
	}
	if err := k.purge(ctx, living); failed == nil {
		failed = err
	}
	return failed
}

// retire deletes an adopted log in an order that is safe at every point. The
// seal's copy comes first, since programs are found by it. The cohort's object
// goes last but for the seal entry: a former owner that was paused finds its
// number taken by the seal, and one that was paused past the retention finds
// no object (see ledger's proof of a late write).
func (k *Reconciler) retire(ctx context.Context, c *ledger.Cohort) error {
	_, err := k.options.Store.Put(ctx, ledger.MovedKey(c.Cohort), ledger.EncodeCohort(*c), 0)
	if err != nil && !errors.Is(err, store.ErrConflict) {
		return errors.Wrap(err, "ownership: retire")
	}
	if err := ledger.DeleteEntries(ctx, k.options.Store, c.Cohort, c.First, c.SealNumber); err != nil {
		return errors.Wrap(err, "ownership: retire")
	}
	if err := deleteObject(ctx, k.options.Store, ledger.CohortKey(c.Cohort)); err != nil {
		return errors.Wrap(err, "ownership: retire")
	}
	if k.options.Copies != nil {
		k.options.Copies.Forget(ctx, c.Cohort)
	}
	k.mu.Lock()
	delete(k.absentSince, c.Cohort)
	delete(k.lateRecords, c.Cohort)
	k.mu.Unlock()
	k.log.WithField("retired", string(c.Cohort)).Info("log of an adopted cohort deleted")
	return nil
}

// purge deletes the seals that no living program can need any more.
func (k *Reconciler) purge(ctx context.Context, living []Member) error {
	k.mu.Lock()
	due := time.Since(k.purgedAt) >= purgeInterval
	k.mu.Unlock()
	if !due || k.rankDelay(program.Cohort(k.options.Self.Cohort.DataCentre()), living) > 0 {
		return nil
	}
	objects, err := k.options.Store.List(ctx, ledger.KindCohortMoved, k.options.Self.Cohort.DataCentre()+".")
	if err != nil {
		return errors.Wrap(err, "ownership: purge")
	}
	for _, object := range objects {
		c, err := ledger.DecodeCohort(object)
		if err != nil || time.Since(c.AdoptedAt) < k.options.Retention {
			continue
		}
		if err := k.purgeOne(ctx, c); err != nil {
			return errors.Wrap(err, "ownership: purge")
		}
	}
	k.mu.Lock()
	k.purgedAt = time.Now()
	k.mu.Unlock()
	return nil
}

// purgeOne forgets a cohort whose programs are past their longest life.
func (k *Reconciler) purgeOne(ctx context.Context, c ledger.Cohort) error {
	if err := deleteObject(ctx, k.options.Store, ledger.EntryKey(c.Cohort, c.SealNumber)); err != nil {
		return err
	}
	return deleteObject(ctx, k.options.Store, ledger.MovedKey(c.Cohort))
}

func deleteObject(ctx context.Context, client store.Client, key store.Key) error {
	return store.Retry(ctx, func() error {
		object, err := client.Get(ctx, key)
		if err == nil {
			err = client.Delete(ctx, key, object.Version)
		}
		if errors.Is(err, store.ErrNotFound) {
			return nil
		}
		return err
	})
}
