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
	bySlice := map[int][]ledger.Record{}
	for _, r := range c.Records {
		bySlice[r.Program.Shard()] = append(bySlice[r.Program.Shard()], r)
	}
	for slice, records := range bySlice {
		owner, err := k.successorOf(ctx, c.Cohort, slice)
		if err != nil {
			return err
		}
		if !owner.IsSelf {
			return errors.Wrap(ErrNotHere, string(owner.Cohort))
		}
		if err := k.offeredSlice(ctx, c.Cohort, slice, records); err != nil {
			return err
		}
	}
	return nil
}

// successorOf returns the owner of a slice whose former owner says that its log
// is sealed. That one may be alive, so that it passes for the owner with an
// instance that started after its log was gone: its word goes first.
func (k *Reconciler) successorOf(ctx context.Context, c program.Cohort, slice int) (Owner, error) {
	owner, err := k.dir.follow(ctx, c, slice)
	if err != nil || owner.Cohort != c {
		return owner, err
	}
	if err := k.dir.Disowned(ctx, c); err != nil {
		return Owner{}, err
	}
	return k.dir.follow(ctx, c, slice)
}

// offeredSlice refuses records of a slice that is not adopted yet with
// ErrNotAdopted, so that they are offered again: an adoption under way may have
// read what it knows of, and nobody would look at them later. They are kept all
// the same, for an adoption that begins after the former owner is gone.
func (k *Reconciler) offeredSlice(ctx context.Context, c program.Cohort, slice int, records []ledger.Record) error {
	k.mu.Lock()
	done := k.complete[sliceOf{c, slice}]
	if !done {
		k.keepLate(c, records)
	}
	k.mu.Unlock()
	if !done {
		return errors.Wrapf(ErrNotAdopted, "%s: slice %d", c, slice)
	}
	return k.o.Adopter.AdoptLate(ctx, c, records)
}

// keepLate keeps each record once. The lock is held.
func (k *Reconciler) keepLate(c program.Cohort, records []ledger.Record) {
	for _, r := range records {
		kept := slices.ContainsFunc(k.late[c], func(other ledger.Record) bool { return other.Sequence == r.Sequence })
		if !kept {
			k.late[c] = append(k.late[c], r)
		}
	}
}
