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
	for _, s := range k.slices {
		// One that leaves hands its slices to others that have them, and what only
		// it has is its to share first.
		if leaving && k.othersHave(s, opinions) || !k.mustChange(s, opinions, now) {
			continue
		}
		partners, found := k.choosePartners(&next, s, opinions, now)
		switch {
		case !found:
			stuck++
		case s.role.Primary != k.settings.Name || !s.role.heldBy(partners):
			next.Slices[s.number] = Role{Epoch: s.role.Epoch + 1, Primary: k.settings.Name, Partners: partners}
			changed = true
		}
	}
	k.tellStuck(stuck, opinions, now)
	return next, changed
}

// choosePartners chooses those that are to hold a slice beside this keeper: none
// where it is the last. It returns false where there is none to be had now.
func (k *Keeper) choosePartners(next *Assignment, s *slice, opinions map[string]opinion, now time.Time) ([]string, bool) {
	me := Candidate{Name: k.settings.Name, DataCentre: k.settings.DataCentre}
	out := func(name string) bool {
		o, known := opinions[name]
		return !known || !o.heard || o.out
	}
	partners := next.partnersFor(int(s.number), me, k.settings.Keepers(), k.partners(), out)
	if len(partners) == 0 && !k.lastKeeper(now) {
		return nil, false
	}
	return k.withHolders(s, partners, opinions), true
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

// partners is the number of partners that a slice should have.
func (k *Keeper) partners() int { return max(1, k.settings.Partners) }

// tooFew reports that a slice has fewer partners than it should and that there
// are keepers that could become some.
func (k *Keeper) tooFew(s *slice, opinions map[string]opinion) bool {
	if len(s.role.Partners) >= k.partners() {
		return false
	}
	usable := 0
	for _, o := range opinions {
		if o.heard && !o.out {
			usable++
		}
	}
	return usable > len(s.role.Partners)
}

// othersHave reports that another holder is there and has all of the slice.
func (k *Keeper) othersHave(s *slice, opinions map[string]opinion) bool {
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
func (k *Keeper) withHolders(s *slice, chosen []string, opinions map[string]opinion) []string {
	number, epoch := int(s.number), s.role.Epoch
	if s.role.Primary != k.settings.Name || allHave(chosen, opinions, number, epoch) {
		return chosen
	}
	partners := slices.Clone(chosen)
	for _, name := range s.role.Partners {
		if !slices.Contains(chosen, name) && opinions[name].has(number, epoch) {
			partners = append(partners, name)
		}
	}
	return partners
}

func allHave(names []string, opinions map[string]opinion, slice int, epoch uint64) bool {
	for _, name := range names {
		if !opinions[name].has(slice, epoch) {
			return false
		}
	}
	return true
}

// spreadAfter is how long a keeper must be heard before slices are given to it for
// the sake of its data centre alone.
const spreadAfter = time.Second

// couldSpread reports that two holders of a slice share a data centre while a keeper
// of another one is to be had: it was lost, and the slice went to what was left. A
// cut would take the slice whole.
func (k *Keeper) couldSpread(s *slice, opinions map[string]opinion, now time.Time) bool {
	centres := map[string]string{}
	for _, c := range k.settings.Keepers() {
		centres[c.Name] = c.DataCentre
	}
	held := map[string]int{}
	for _, name := range s.role.holders() {
		held[centres[name]]++
	}
	if len(held) == len(s.role.Partners)+1 {
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

func (k *Keeper) mustChange(s *slice, opinions map[string]opinion, now time.Time) bool {
	if s.mark.Synced && s.role.Epoch > 1 && s.mark.Epoch == s.role.Epoch-1 && s.role.Primary != k.settings.Name {
		return k.unheard(s, opinions, now) || k.orphaned(s, opinions)
	}
	if s.role.Epoch == 0 || s.mark.Epoch != s.role.Epoch {
		return k.abandoned(s, opinions, now)
	}
	switch {
	case !s.mark.Synced:
		return k.abandoned(s, opinions, now)
	case s.role.Primary == k.settings.Name:
		for _, name := range s.role.Partners {
			if o, known := opinions[name]; !known && now.Sub(k.started) > bootTime || o.out {
				return true
			}
		}
		return len(s.role.Partners) > k.partners() || k.tooFew(s, opinions) || k.couldSpread(s, opinions, now)
	case s.role.partner(k.settings.Name):
		o, known := opinions[s.role.Primary]
		return o.out || !known && now.Sub(k.started) > bootTime || s.primaryLost(o)
	default:
		return false
	}
}
