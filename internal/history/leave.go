package history

import (
	"context"
	"slices"
	"time"
)

// HandOff drains this keeper: it returns once other keepers hold all shards or ctx ends.
func (k *Keeper) HandOff(ctx context.Context) {
	k.mu.Lock()
	k.draining = true
	k.mu.Unlock()
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for !k.Drained() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Drained reports whether this keeper holds no shards and all holders of each shard are complete. A
// retiring keeper is removed with its disk, so that more disks than may fail at once must be left; one that only
// stops returns with its disk.
func (k *Keeper) Drained() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.version == 0 {
		return false
	}
	assessments, retiring := k.assessPeers(time.Now()), k.settings.IsRetiring(k.settings.Name)
	for id, r := range k.known.Shards {
		if r.Epoch == 0 || r.hasHolder(k.settings.Name) || retiring && !r.survives(k.maxDiskFailures()) {
			return false
		}
		for _, name := range r.holders() {
			if !assessments[name].isComplete(id, r.Epoch) {
				return false
			}
		}
	}
	return true
}

// leavesToOthers reports whether this keeper, which drains, leaves the holders of a shard to others: to a keeper that stays and
// can take it over, or to a primary that drains as well. The lock is held.
//
// A successor needs all of the shard and a backup. Until there are both, a primary that drains serves its shard, and
// makes those that stay its only backups: they have all of it when it ends.
func (k *Keeper) leavesToOthers(s *shard, assessments map[string]assessment) bool {
	successor := slices.ContainsFunc(s.role.holders(), func(name string) bool {
		o := assessments[name]
		return name != k.settings.Name && !o.ineligible && o.isComplete(int(s.id), s.role.Epoch)
	})
	if k.isPrimary(s) {
		return successor && countUsable(assessments) > 1
	}
	primary := assessments[s.role.Primary]
	return successor || primary.live && !s.primaryIncomplete(primary)
}
