package history

import (
	"context"
	"time"

	"foxhall/internal/history/historypb"
)

// primaryLost reports that the primary lives and has lost its disk. What is
// known of it lags, so that it must say so for some rounds. Its last word before
// a cut says nothing of what it has had since.
func (s *slice) primaryLost(o opinion) bool {
	if !o.heard || o.has(int(s.number), s.role.Epoch) {
		s.primaryLostSince = time.Time{}
		return false
	}
	if s.primaryLostSince.IsZero() {
		s.primaryLostSince = o.at
	}
	return o.at.Sub(s.primaryLostSince) > lostRounds*statusEvery
}

// lostRounds is the number of rounds in which a primary must lack its slice.
const lostRounds = 3

// unheard reports that this keeper became a partner in an epoch of which its primary
// was lost before it told so. All that was acknowledged before is here, and nothing
// is without this keeper's word since.
func (k *Keeper) unheard(s *slice, opinions map[string]opinion, now time.Time) bool {
	o, known := opinions[s.role.Primary]
	silent := known && o.out && !o.heard || !known && now.Sub(k.started) > bootTime
	if !s.role.partner(k.settings.Name) || !silent {
		return false
	}
	s.salvaged = s.role.Epoch
	return true
}

// orphaned reports that this keeper, which had all of the slice in the epoch
// before, has to take it over from one that holds it no longer. It comes to
// that when a proposal takes effect late, after its proposer lost its disk: the
// slice's primary has nothing then, and its partners only what was acknowledged
// since, all of them the same. That is fetched first; together they are all of
// the slice.
func (k *Keeper) orphaned(s *slice, opinions map[string]opinion) bool {
	primary := opinions[s.role.Primary]
	number, epoch := int(s.number), s.role.Epoch
	if !s.primaryLost(primary) || primary.marks[number].Epoch+1 >= epoch && primary.marks[number].Synced {
		return false
	}
	if len(s.role.Partners) == 0 {
		// What it acknowledged alone is lost with its disk: there is no more than
		// what is here.
		s.salvaged = epoch
		return true
	}
	from := ""
	for _, name := range s.role.Partners {
		if name == k.settings.Name {
			continue
		}
		switch partner := opinions[name]; {
		case partner.has(number, epoch):
			return false
		case partner.heard:
			from = name
		}
	}
	if from == "" {
		return false
	}
	if s.salvaged == epoch {
		return true
	}
	if !s.salvaging {
		s.salvaging = true
		go k.salvage(s, s.role.Epoch, from)
	}
	return false
}

// salvage fetches what a partner of a lost primary has.
func (k *Keeper) salvage(s *slice, epoch uint64, from string) {
	ctx, cancel := context.WithTimeout(k.ctx, opTime)
	defer cancel()
	response, err := k.peers.Fetch(ctx, from, &historypb.FetchRequest{Slice: s.number})
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		s.salvaging = false
		k.settings.Logger.WithError(err).WithField("slice", s.number).Warn("slice not salvaged")
		return
	}
	for _, r := range response.Records {
		s.state.apply(r)
	}
	k.persist(response.Records, func() {
		s.salvaging, s.salvaged = false, epoch
		notify(k.wakeRoles)
	})
}

// heldBefore reports that some keeper had all of the slice in the epoch before.
func heldBefore(s *slice, opinions map[string]opinion) bool {
	for _, o := range opinions {
		if o.marks[s.number].Synced && o.marks[s.number].Epoch+1 == s.role.Epoch {
			return true
		}
	}
	return false
}

// abandoned reports that no keeper has all of a slice and that this one, its
// primary, has to begin it anew. It comes to that only when all its disks are
// lost, or before the slice's first record.
func (k *Keeper) abandoned(s *slice, opinions map[string]opinion, now time.Time) bool {
	if s.role.Epoch == 0 || s.role.Primary != k.settings.Name || s.marking || !k.verified ||
		!noneHas(s, opinions) || heldBefore(s, opinions) {
		s.lostSince = time.Time{}
		return false
	}
	if s.lostSince.IsZero() {
		s.lostSince = now
	}
	if now.Sub(s.lostSince) < abandonAfter {
		return false
	}
	k.settings.Logger.WithField("slice", s.number).WithField("epoch", s.role.Epoch).Error("slice lost on all its disks, begun anew")
	s.mark.Epoch, s.mark.Synced = s.role.Epoch, true
	s.lostSince = time.Time{}
	return true
}

// noneHas reports that all partners of a slice are heard and none has all of it.
func noneHas(s *slice, opinions map[string]opinion) bool {
	for _, name := range s.role.Partners {
		if o := opinions[name]; !o.heard || o.has(int(s.number), s.role.Epoch) {
			return false
		}
	}
	return true
}
