package history

import (
	"context"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"foxhall/internal/history/historypb"
	"foxhall/internal/store"
)

// copiesToRead names the disks of the primaries whose copies in the store are needed to recover a shard.
type copiesToRead struct {
	disks []string
	// version is that of an assignment that names this keeper as the successor of these primaries. Copies that are
	// listed after it was written are complete.
	version store.Version
}

// copiesToRead returns the copies that this keeper needs to recover a shard: those of the earlier ensembles whose
// changes it can't fetch from their holders. The lock is held.
func (k *Keeper) copiesToRead(s *shard, assessments map[string]assessment) copiesToRead {
	c := copiesToRead{version: k.version}
	for _, e := range s.role.Previous {
		disk := e.diskOf(e.Primary)
		if e.Epoch >= s.epochState.base && disk != "" && !e.isRecoveryQuorum(k.intactHolders(s, &e, assessments)) && !slices.Contains(c.disks, disk) {
			c.disks = append(c.disks, disk)
		}
	}
	return c
}

// mayNeedCopies reports whether copies of earlier ensembles may be needed to recover the shard.
func (r *ShardAssignment) mayNeedCopies() bool {
	return slices.ContainsFunc(r.Previous, func(e Ensemble) bool { return e.isInStore() })
}

// needsCopiesOf reports whether the copies made by the keeper with the disk may be needed to recover the shard.
func (r *ShardAssignment) needsCopiesOf(disk string) bool {
	return slices.ContainsFunc(r.ensembles(), func(e Ensemble) bool { return e.isInStore() && e.diskOf(e.Primary) == disk })
}

// fetchCopies returns the records of a shard that the keeper with the disk copied to the store. Shards that
// are recovered by the same version of the assignment share one reading.
func (k *Keeper) fetchCopies(shardID uint32, disk string, version store.Version) ([]*historypb.Record, error) {
	key := fmt.Sprintf("%s at %d", disk, version)
	records, err, _ := k.copyReads.Do(key, func() (any, error) {
		ctx, cancel := context.WithTimeout(k.ctx, copyReadTimeout)
		defer cancel()
		return k.readCopies(ctx, disk)
	})
	if err != nil {
		return nil, errors.Wrap(err, "copies of changes")
	}
	return records.(map[uint32][]*historypb.Record)[shardID], nil
}

// readCopies returns the records that the keeper with the disk copied to the store, by shard.
func (k *Keeper) readCopies(ctx context.Context, disk string) (map[uint32][]*historypb.Record, error) {
	copies, err := k.settings.Copies.ListCopies(ctx, copyPrefix(disk))
	if err != nil {
		return nil, err
	}
	records := map[uint32][]*historypb.Record{}
	for _, c := range copies {
		all, err := decodeCopy(c.Data)
		if err != nil {
			return nil, errors.Wrapf(err, "copy %s", c.Name)
		}
		for _, r := range all {
			records[r.Slice] = append(records[r.Slice], r)
		}
	}
	return records, nil
}

// runCopyCleanup deletes copies that are not needed any more. The first of the live keepers does it.
func (k *Keeper) runCopyCleanup(ctx context.Context) {
	for sleep(ctx, copyCleanupInterval); ctx.Err() == nil; sleep(ctx, copyCleanupInterval) {
		keepers := k.liveKeepers()
		if k.isSpare() || len(keepers) < 2 || keepers[0].Name != k.settings.Name {
			continue // alone, all copies are needed
		}
		if err := k.cleanUpCopies(ctx); err != nil {
			k.settings.Logger.WithError(err).Warn("copies of changes not cleaned up; retrying")
		}
	}
}

// cleanUpCopies deletes the copies that no shard needs. The assignment is read after the copies are listed:
// a copy is written only after the assignment names its keeper as the primary of an ensemble that needs copies.
func (k *Keeper) cleanUpCopies(ctx context.Context) error {
	copies, err := k.settings.Copies.ListCopies(ctx, "")
	if err != nil || len(copies) == 0 {
		return err
	}
	a, _, err := k.assignments.Read(ctx)
	if err != nil {
		return err
	}
	needed := a.disksWithCopies()
	for _, c := range copies {
		if needed[diskOfCopy(c.Name)] {
			continue
		}
		if err := k.settings.Copies.DeleteCopy(ctx, c); err != nil {
			return err
		}
	}
	return nil
}

// disksWithCopies returns the disks of the primaries whose copies may be needed. Once enough backups are complete, the
// primary removes the earlier ensembles from the assignment.
func (a *Assignment) disksWithCopies() map[string]bool {
	needed := map[string]bool{}
	for id := range a.Shards {
		for _, e := range a.Shards[id].ensembles() {
			if e.isInStore() {
				needed[e.diskOf(e.Primary)] = true
			}
		}
	}
	return needed
}
