package history

import (
	"slices"
	"time"
)

// propose returns the assignment that this keeper wants, where it differs; the
// lock is held. Only a keeper that has all of a slice may change its holders.
func (k *Keeper) propose(opinions map[string]opinion, now time.Time) (Assignment, bool) {
	next, changed, stuck := k.known, false, 0
	if k.stalled() > stalledAfter {
		return next, false
	}
	leaving := k.leavingNow()
	choose := k.newChooser(&next, opinions)
	for _, s := range k.shards {
		// One that leaves hands its slices to others that have them, and what only
		// it has is its to share first.
		if leaving && k.othersHave(s, opinions) || !k.mustChange(s, opinions, now) {
			continue
		}
		role, found := k.nextRole(choose, s, opinions, now)
		switch {
		case !found:
			stuck++
		case s.forced == role.Epoch || !role.sameHolders(&s.role.Ensemble):
			next.Shards[s.number] = role
			changed = true
		}
	}
	k.tellStuck(stuck, opinions, now)
	return next, changed
}

// newChooser returns a chooser among the keepers that are heard; the lock is held.
func (k *Keeper) newChooser(next *Assignment, opinions map[string]opinion) *chooser {
	c := &chooser{assignment: next, keepers: k.candidates(opinions), disksLost: k.disksLost(), held: map[string]int{}}
	c.out = func(name string) bool {
		o, known := opinions[name]
		return !known || !o.heard || o.out
	}
	for i := range next.Shards {
		if next.Shards[i].Epoch > 0 {
			c.count(&next.Shards[i])
		}
	}
	return c
}

// nextRole returns a slice's next role with this keeper as the primary: alone where it
// is the last one. It returns false where no partner is to be had now.
func (k *Keeper) nextRole(choose *chooser, s *shard, opinions map[string]opinion, now time.Time) (ShardAssignment, bool) {
	me := Candidate{Name: k.settings.Name, DataCentre: k.settings.DataCentre, Disk: k.disk}
	partners := choose.partnersFor(int(s.number), me)
	if len(partners) == 0 && !k.lastKeeper(now) {
		return ShardAssignment{}, false
	}
	partners = k.withHolders(s, partners, choose.keepers, opinions)
	role := ShardAssignment{Ensemble: ensembleOf(s.role.Epoch+1, me, partners, k.disksLost()), Before: s.role.chain()}
	switch {
	case k.settled(s, opinions):
		role.Before = []Ensemble{s.role.Ensemble}
	case len(role.Before) > chainMost:
		role.Before = slices.DeleteFunc(role.Before, func(e Ensemble) bool { return e.Epoch < s.mark.Base })
	}
	return role, true
}

// chainMost is the number of earlier ensembles beyond which those that this keeper does
// not need itself are left out.
const chainMost = 8

// settled reports that this keeper decides for the slice, and that as many partners as
// may be lost at once have all that was decided before its epoch: whoever takes the slice
// over needs none of the earlier ensembles.
func (k *Keeper) settled(s *shard, opinions map[string]opinion) bool {
	if !k.primary(s) {
		return false
	}
	have := 0
	for _, name := range s.role.Backups {
		if opinions[name].has(int(s.number), s.role.Epoch) {
			have++
		}
	}
	return have >= min(k.disksLost(), len(s.role.Backups))
}

// tellStuck says why slices that should be held by others are not: no keeper is
// to be had, and it is not certain that this one is the last.
func (k *Keeper) tellStuck(slices int, opinions map[string]opinion, now time.Time) {
	if slices == 0 || now.Sub(k.stuckTold) < stuckEvery {
		return
	}
	k.stuckTold = now
	for _, name := range k.others() {
		o, v := opinions[name], k.views[name]
		entry := k.settings.Logger.WithField("slices", slices).WithField("keeper", name).
			WithField("heard", o.heard).WithField("out", o.out).WithField("reach", k.reach.holds(now))
		if v != nil {
			entry = entry.WithField("silent_ms", now.Sub(v.heard).Milliseconds()).WithField("lost", v.loss.holds(now))
		}
		entry.Info("no holder to be had")
	}
}

// stuckEvery is the least time between two such words.
const stuckEvery = time.Second

// disksLost is the number of disks that may be lost at once.
func (k *Keeper) disksLost() int { return max(1, k.settings.MaxDiskFailures) }

// tooFew reports that a slice could have more partners than it has.
func (k *Keeper) tooFew(s *shard, opinions map[string]opinion) bool {
	if len(s.role.Backups) > k.disksLost() {
		return false
	}
	usable := 0
	for _, o := range opinions {
		if o.heard && !o.out {
			usable++
		}
	}
	return usable > len(s.role.Backups)
}

// othersHave reports that another holder is there and has all of the slice.
func (k *Keeper) othersHave(s *shard, opinions map[string]opinion) bool {
	for _, name := range s.role.holders() {
		if name != k.settings.Name && opinions[name].has(int(s.number), s.role.Epoch) {
			return true
		}
	}
	return false
}

// withHolders returns the partners chosen for a slice, and beside them its present
// ones until the chosen have all of it: else the primary would have it alone while
// they are filled, and its loss would leave nobody who knows all.
func (k *Keeper) withHolders(s *shard, chosen, keepers []Candidate, opinions map[string]opinion) []Candidate {
	number, epoch := int(s.number), s.role.Epoch
	if !k.primary(s) || allHave(chosen, opinions, number, epoch) {
		return chosen
	}
	partners := slices.Clone(chosen)
	for _, c := range keepers {
		if s.role.partner(c.Name) && !contains(chosen, c.Name) && opinions[c.Name].has(number, epoch) {
			partners = append(partners, c)
		}
	}
	return partners
}

func allHave(keepers []Candidate, opinions map[string]opinion, slice int, epoch uint64) bool {
	return !slices.ContainsFunc(keepers, func(c Candidate) bool { return !opinions[c.Name].has(slice, epoch) })
}

// spreadAfter is how long a keeper must be heard before slices are given to it for
// the sake of its data centre alone.
const spreadAfter = time.Second

// couldSpread reports that two holders of a slice share a data centre while a keeper
// of another one is to be had: it was lost, and the slice went to what was left. A
// cut would take the slice whole.
func (k *Keeper) couldSpread(s *shard, opinions map[string]opinion, now time.Time) bool {
	centres := map[string]string{}
	for _, c := range k.settings.Keepers() {
		centres[c.Name] = c.DataCentre
	}
	held := map[string]int{}
	for _, name := range s.role.holders() {
		held[centres[name]]++
	}
	if len(held) > min(k.disksLost(), len(s.role.Backups)) {
		return false
	}
	for name, o := range opinions {
		if held[centres[name]] == 0 && o.heard && !o.out && now.Sub(k.views[name].loss.heardSince) > spreadAfter {
			return true
		}
	}
	return false
}

func (k *Keeper) leavingNow() bool { return k.leaving || k.settings.Retiring(k.settings.Name) }

// mustChange reports that this keeper should give a slice other holders: as its primary,
// or because it can take the place of one that is gone. The lock is held.
func (k *Keeper) mustChange(s *shard, opinions map[string]opinion, now time.Time) bool {
	switch {
	case k.primary(s):
		return k.partnersMustChange(s, opinions, now)
	case s.role.Epoch == 0 || s.mark.Epoch > s.role.Epoch && s.role.Primary == k.settings.Name:
		return false
	case s.role.Primary != k.settings.Name && !k.primaryGone(s, opinions, now):
		return false
	case k.collectable(s, opinions):
		// The primary fetches what it lacks by itself, unless it has another disk.
		s.lostSince = time.Time{}
		return s.role.Primary != k.settings.Name && !k.behind(s, opinions)
	case !k.abandoned(s, opinions, now):
		return false
	case s.role.Primary == k.settings.Name && s.role.disk(k.settings.Name) == k.disk:
		s.forced = s.role.Epoch
		return false
	default:
		return true
	}
}

// partnersMustChange reports that a slice's partners are not those it should have, or
// that others may be better.
func (k *Keeper) partnersMustChange(s *shard, opinions map[string]opinion, now time.Time) bool {
	for _, name := range s.role.Backups {
		o, known := opinions[name]
		if !known && now.Sub(k.started) > bootTime || o.out || o.heard && o.disk != "" && o.disk != s.role.disk(name) {
			return true
		}
	}
	surplus := len(s.role.Backups) > k.disksLost()+1 || len(s.role.Backups) > k.disksLost() && s.role.OptionalBackups == 0
	return surplus || k.tooFew(s, opinions) || k.couldSpread(s, opinions, now)
}
