package history

import (
	"slices"
	"time"

	"foxhall/internal/history/historypb"
)

// When every other keeper is lost or drains, the last keeper becomes the sole holder of its shards; otherwise
// no retained turn could be served until another keeper returned. What a sole holder acknowledges
// is on its disk and, as copies, in the platform's store. Silence does not show that the disks of the
// others are lost, so its own disk may be the one that fails. A keeper that is itself isolated is no sole
// holder: it is one only while witnesses confirm the loss of all others that it has no contact with.

// rejoinGrace is how long a keeper still counts as lost after contact is restored: it becomes a
// backup only by a reassignment, and its disk is behind until then.
const rejoinGrace = 3 * time.Second

// isLastKeeper reports whether this is the last keeper for a shard: the loss of all other keepers is
// confirmed, or they drain where the shard's present holders can't commit any more. They number at
// least maxDiskFailures. The lock is held.
//
// A draining keeper is no backup even then: it ends within its grace period whatever happens, or is
// removed with its disk. Holders that drain but still commit stay, since their disks are more than one.
func (k *Keeper) isLastKeeper(s *shard, assessments map[string]assessment, now time.Time) bool {
	others, stuck := k.otherKeepers(), !k.canCommit(s, assessments)
	for _, name := range others {
		if v := k.views[name]; v == nil || !v.loss.isCurrent(now) && !(stuck && k.drains(name, now)) {
			return false
		}
	}
	return len(others) >= k.maxDiskFailures()
}

// canCommit reports whether enough of the shard's holders are live to commit changes; the lock is held.
func (k *Keeper) canCommit(s *shard, assessments map[string]assessment) bool {
	intact := k.intactHolders(s, &s.role.Ensemble, assessments)
	return slices.Contains(intact, s.role.Primary) && len(intact) > s.role.requiredAcks()
}

// drains reports whether another keeper is responsive and draining; the lock is held. A status from before a pause of
// this process doesn't count, since the keeper may have returned and taken shards over.
func (k *Keeper) drains(name string, now time.Time) bool {
	v := k.views[name]
	heard := v != nil && v.status != nil && v.lastContact.After(k.started) && !v.unresponsive(now)
	return heard && (v.status.Leaving || k.settings.IsRetiring(name))
}

// otherKeepers returns the names of the other registered keepers.
func (k *Keeper) otherKeepers() []string {
	var names []string
	for _, c := range k.settings.Keepers() {
		if c.Name != k.settings.Name {
			names = append(names, c.Name)
		}
	}
	return names
}

// isSoleHolder reports whether this keeper is the primary of the shard without any backup.
func (k *Keeper) isSoleHolder(s *shard) bool {
	return s.role.Primary == k.settings.Name && len(s.role.Backups) == 0
}

// isUncertainSoleHolder reports whether this keeper is the shard's sole holder without being certain of it: the
// others may have taken the shard over. The lock is held.
func (k *Keeper) isUncertainSoleHolder(s *shard, now time.Time) bool {
	return k.isSoleHolder(s) && k.servingVerdict(s, now) != historypb.Verdict_DONE
}

// recentlyReturned reports whether contact with the keeper was restored less than rejoinGrace ago.
func (v *peerView) recentlyReturned(now time.Time) bool {
	return now.Sub(v.lastContact) < suspectTimeout && now.Sub(v.loss.contactSince) < rejoinGrace
}

// servingVerdict returns DONE if this keeper may acknowledge changes to a shard of which it is the
// primary, and otherwise the verdict that the caller gets; the lock is held.
//
// A sole holder may have been isolated since it became one, and the other keepers may have recovered
// without what it acknowledges since. It therefore acknowledges only while each other keeper is confirmed
// lost, recently returned or draining: none of these takes a shard over that this keeper serves.
func (k *Keeper) servingVerdict(s *shard, now time.Time) historypb.Verdict {
	if !k.isSoleHolder(s) {
		if k.isIsolated() {
			return historypb.Verdict_ISOLATED
		}
		return historypb.Verdict_DONE
	}
	for _, name := range k.otherKeepers() {
		if v := k.views[name]; v == nil || !v.loss.isCurrent(now) && !v.recentlyReturned(now) && !k.drains(name, now) {
			return k.soleHolderRefusal(now)
		}
	}
	return historypb.Verdict_DONE
}

// soleHolderRefusal returns the verdict for a caller that a sole holder can't serve: NOT_NOW while
// the loss of the others may still be confirmed, ISOLATED where this keeper is the isolated one.
func (k *Keeper) soleHolderRefusal(now time.Time) historypb.Verdict {
	if now.Sub(k.started) < startupGrace || !k.isIsolated() {
		return historypb.Verdict_NOT_NOW
	}
	return historypb.Verdict_ISOLATED
}
