package ownership

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"foxhall/internal/ledger"
	"foxhall/internal/program"
)

// AcceptOffered takes records that a former owner had only as copies on peers when it found its log
// sealed. Records of shards that are not owned here are refused with ErrNotOwnedHere, and those of
// shards that are not adopted yet with ErrNotAdopted.
func (rc *Reconciler) AcceptOffered(ctx context.Context, c ledger.Copy) error {
	byShard := map[int][]ledger.Record{}
	for _, r := range c.Records {
		byShard[r.Program.Shard()] = append(byShard[r.Program.Shard()], r)
	}
	for shard, records := range byShard {
		owner, err := rc.successorOf(ctx, c.Cohort, shard)
		if err != nil {
			return err
		}
		if !owner.IsSelf {
			return errors.Wrap(ErrNotOwnedHere, string(owner.Cohort))
		}
		if err := rc.acceptShard(ctx, c.Cohort, shard, records); err != nil {
			return err
		}
	}
	return nil
}

// successorOf returns the owner of a shard whose former owner reports that its log is sealed. The
// former owner may be alive, and an instance that started after its log was deleted would still take
// it for the owner. Its own report takes precedence.
func (rc *Reconciler) successorOf(ctx context.Context, c program.Cohort, shard int) (Owner, error) {
	owner, err := rc.directory.locateShard(ctx, c, shard)
	if err != nil || owner.Cohort != c {
		return owner, err
	}
	if err := rc.directory.ReadAgain(ctx, c); err != nil {
		return Owner{}, err
	}
	return rc.directory.locateShard(ctx, c, shard)
}

// acceptShard passes the records of one shard to the adopter. If the shard is not adopted yet, it
// returns ErrNotAdopted, so that the records are offered again: an adoption in progress may already
// have read its records, and would not see these. They are kept all the same, for an adoption that
// begins after the former owner has died.
func (rc *Reconciler) acceptShard(ctx context.Context, c program.Cohort, shard int, records []ledger.Record) error {
	rc.mu.Lock()
	adopted := rc.adoptedShards[cohortShard{c, shard}]
	if !adopted {
		rc.keepLateRecords(c, records)
	}
	rc.mu.Unlock()
	if !adopted {
		return errors.Wrapf(ErrNotAdopted, "%s: shard %d", c, shard)
	}
	return rc.options.Adopter.AdoptLate(ctx, c, records)
}

// keepLateRecords adds the records to lateRecords, each sequence once. The caller holds the lock.
func (rc *Reconciler) keepLateRecords(c program.Cohort, records []ledger.Record) {
	for _, r := range records {
		exists := slices.ContainsFunc(rc.lateRecords[c], func(other ledger.Record) bool { return other.Sequence == r.Sequence })
		if !exists {
			rc.lateRecords[c] = append(rc.lateRecords[c], r)
		}
	}
}
