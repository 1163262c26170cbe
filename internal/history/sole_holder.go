package history

import (
	"time"

	"foxhall/internal/history/historypb"
)

// A slice of which all other holders are lost, with no keeper left to become one,
// is held by its last keeper alone: else no kept turn is served until one is back.
// What it then acknowledges is on one disk. That is safe while as many disks as may
// be lost at once are lost already, and would not be for a keeper that is itself
// the one cut off: its disk may be lost with what only it has. So a keeper holds
// slices alone only where witnesses confirm that all others are lost, and only as
// long.

// returnTime is how long a keeper that is heard again counts as lost: it takes a
// change of holders to make it a partner, and its disk is behind until then.
const rejoinGrace = 3 * time.Second

// lastKeeper reports that all other keepers are lost, and at least as many as may
// be lost at once; the lock is held.
func (k *Keeper) isLastKeeper(now time.Time) bool {
	others := k.otherKeepers()
	for _, name := range others {
		if v := k.views[name]; v == nil || !v.loss.isCurrent(now) {
			return false
		}
	}
	return len(others) >= k.maxDiskFailures()
}

// others returns the names of the other keepers.
func (k *Keeper) otherKeepers() []string {
	var names []string
	for _, c := range k.settings.Keepers() {
		if c.Name != k.settings.Name {
			names = append(names, c.Name)
		}
	}
	return names
}

// alone reports that this keeper holds the slice with no partner.
func (k *Keeper) isSoleHolder(s *shard) bool {
	return s.role.Primary == k.settings.Name && len(s.role.Backups) == 0
}

// justBack reports that the keeper is heard again and counts as lost for now.
func (v *peerView) recentlyReturned(now time.Time) bool {
	return now.Sub(v.lastContact) < suspectTimeout && now.Sub(v.loss.contactSince) < rejoinGrace
}

// serves returns whether this keeper may acknowledge something in a slice that it
// decides for, by DONE, or how the caller is to be turned away; the lock is held.
//
// A keeper that holds a slice alone may have been cut off since, and its disk be
// the next to go while the others are whole again and know nothing of what it
// acknowledges. So it does so only while each other keeper is lost or just back.
func (k *Keeper) servingVerdict(s *shard, now time.Time) historypb.Verdict {
	if !k.isSoleHolder(s) {
		if k.isIsolated() {
			return historypb.Verdict_ISOLATED
		}
		return historypb.Verdict_DONE
	}
	for _, name := range k.otherKeepers() {
		if v := k.views[name]; v == nil || !v.loss.isCurrent(now) && !v.recentlyReturned(now) {
			return k.soleHolderRefusal(now)
		}
	}
	return historypb.Verdict_DONE
}

// unsure turns a caller away from a slice held alone: for a moment while others
// may still turn out to be lost, for good where this keeper is the one cut off.
func (k *Keeper) soleHolderRefusal(now time.Time) historypb.Verdict {
	if now.Sub(k.started) < startupGrace || !k.isIsolated() {
		return historypb.Verdict_NOT_NOW
	}
	return historypb.Verdict_ISOLATED
}
