package ownership

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/ledger"
	"foxhall/internal/program"
	"foxhall/internal/store"
)

// purgeInterval is how often the instance of the first rank searches for seals past their retention.
const purgeInterval = time.Hour

// retireAll deletes the logs whose shards are all adopted. Any instance may repeat it after another
// one's crash; the rank delays keep them from racing.
func (rc *Reconciler) retireAll(ctx context.Context, cohorts map[program.Cohort]*ledger.Cohort) error {
	living := rc.options.Members.Living()
	var failed error
	for c, cohort := range cohorts {
		if cohort.Adopted != ledger.AllAdopted || time.Since(cohort.AdoptedAt) < rc.rankDelay(c, living) {
			continue
		}
		if err := rc.retire(ctx, cohort); failed == nil {
			failed = err
		}
	}
	if err := rc.purge(ctx, living); failed == nil {
		failed = err
	}
	return failed
}

// retire deletes an adopted log in an order in which a crash at any point is safe. First it stores
// the object under the moved key, by which programs are located. Then it deletes the entries before
// the seal, and last the cohort's object. The seal entry stays until purge: a former owner that was
// paused finds its number used by the seal, and one that was paused for longer than the retention
// finds no object of the cohort (see ledger.Log, which checks the object before a late write).
func (rc *Reconciler) retire(ctx context.Context, c *ledger.Cohort) error {
	_, err := rc.options.Store.Put(ctx, ledger.MovedKey(c.Cohort), ledger.EncodeCohort(*c), 0)
	if err != nil && !errors.Is(err, store.ErrConflict) {
		return errors.Wrap(err, "ownership: retire")
	}
	if err := ledger.DeleteEntries(ctx, rc.options.Store, c.Cohort, c.First, c.SealNumber); err != nil {
		return errors.Wrap(err, "ownership: retire")
	}
	if err := deleteObject(ctx, rc.options.Store, ledger.CohortKey(c.Cohort)); err != nil {
		return errors.Wrap(err, "ownership: retire")
	}
	if rc.options.Copies != nil {
		rc.options.Copies.DropAll(ctx, c.Cohort)
	}
	rc.mu.Lock()
	delete(rc.absentSince, c.Cohort)
	delete(rc.lateRecords, c.Cohort)
	rc.mu.Unlock()
	rc.log.WithField("retired", string(c.Cohort)).Info("adopted log deleted")
	return nil
}

// purge deletes the seals of cohorts of which no program can still be alive, if it is due and this
// instance is the first in rank.
func (rc *Reconciler) purge(ctx context.Context, living []Member) error {
	rc.mu.Lock()
	due := time.Since(rc.purgedAt) >= purgeInterval
	rc.mu.Unlock()
	if !due || rc.rankDelay(program.Cohort(rc.options.Self.Cohort.DataCentre()), living) > 0 {
		return nil
	}
	objects, err := rc.options.Store.List(ctx, ledger.KindCohortMoved, rc.options.Self.Cohort.DataCentre()+".")
	if err != nil {
		return errors.Wrap(err, "ownership: purge")
	}
	for _, object := range objects {
		c, err := ledger.DecodeCohort(object)
		if err != nil || time.Since(c.AdoptedAt) < rc.options.Retention {
			continue
		}
		if err := rc.purgeOne(ctx, c); err != nil {
			return errors.Wrap(err, "ownership: purge")
		}
	}
	rc.mu.Lock()
	rc.purgedAt = time.Now()
	rc.mu.Unlock()
	return nil
}

// purgeOne deletes the seal entry and the moved object of a cohort.
func (rc *Reconciler) purgeOne(ctx context.Context, c ledger.Cohort) error {
	if err := deleteObject(ctx, rc.options.Store, ledger.EntryKey(c.Cohort, c.SealNumber)); err != nil {
		return err
	}
	return deleteObject(ctx, rc.options.Store, ledger.MovedKey(c.Cohort))
}

// deleteObject deletes an object, with retries. It is no error if the object does not exist.
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
