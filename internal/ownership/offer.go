package ownership

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"foxhall/internal/ledger"
	"foxhall/internal/program"
)

// Offered takes records that a former owner, which found its log sealed, still
// held. Records of slices that are not owned here are refused with ErrNotHere,
// and those of slices that are not adopted yet with ErrNotAdopted.
func (k *Reconciler) AcceptOffered(ctx context.Context, c ledger.Copy) error {
	byShard := map[int][]ledger.Record{}
	for _, r := range c.Records {
		byShard[r.Program.Shard()] = append(byShard[r.Program.Shard()], r)
	}
	for shard, records := range byShard {
		owner, err := k.successorOf(ctx, c.Cohort, shard)
		if err != nil {
			return err
		}
		if !owner.IsSelf {
			return errors.Wrap(ErrNotOwnedHere, string(owner.Cohort))
		}
		if err := k.acceptShard(ctx, c.Cohort, shard, records); err != nil {
			return err
		}
	}
	return nil
}

// successorOf returns the owner of a slice whose former owner says that its log
// is sealed. That one may be alive, so that it passes for the owner with an
// instance that started after its log was gone: its word goes first.
func (k *Reconciler) successorOf(ctx context.Context, c program.Cohort, shard int) (Owner, error) {
	owner, err := k.directory.locateShard(ctx, c, shard)
	if err != nil || owner.Cohort != c {
		return owner, err
	}
	if err := k.directory.Disowned(ctx, c); err != nil {
		return Owner{}, err
	}
	return k.directory.locateShard(ctx, c, shard)
}

// offeredSlice refuses records of a slice that is not adopted yet with
// ErrNotAdopted, so that they are offered again: an adoption under way may have
// read what it knows of, and nobody would look at them later. They are kept all
// the same, for an adoption that begins after the former owner is gone.
func (k *Reconciler) acceptShard(ctx context.Context, c program.Cohort, shard int, records []ledger.Record) error {
	k.mu.Lock()
	adopted := k.adoptedShards[cohortShard{c, shard}]
	if !adopted {
		k.keepLateRecords(c, records)
	}
	k.mu.Unlock()
	if !adopted {
		return errors.Wrapf(ErrNotAdopted, "%s: slice %d", c, shard)
	}
	return k.options.Adopter.AdoptLate(ctx, c, records)
}

// keepLate keeps each record once. The lock is held.
func (k *Reconciler) keepLateRecords(c program.Cohort, records []ledger.Record) {
	for _, r := range records {
		exists := slices.ContainsFunc(k.lateRecords[c], func(other ledger.Record) bool { return other.Sequence == r.Sequence })
		if !exists {
			k.lateRecords[c] = append(k.lateRecords[c], r)
		}
	}
}
