package history

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"foxhall/internal/history/historypb"
)

const (
	// stuckAfter is how long a primary that lives may take to have all of its slice,
	// before another takes the slice over.
	stuckAfter = 2 * time.Second
	// lostRounds is the number of rounds in which a primary on a disk without a name
	// must lack its slice: what is known of it lags.
	lostRounds = 3
)

// kept returns the keepers that still have what they acknowledged in an ensemble, this
// one among them, as far as they are heard; the lock is held.
func (k *Keeper) kept(s *shard, e *Ensemble, opinions map[string]opinion) []string {
	var names []string
	for _, name := range e.holders() {
		o := opinions[name]
		switch {
		case name == k.settings.Name:
			if e.keeps(name, k.disk, s.mark.Base) {
				names = append(names, name)
			}
		case o.heard && e.keeps(name, o.disk, o.marks[s.number].Base):
			names = append(names, name)
		}
	}
	return names
}

// collectable reports that this keeper has, or can fetch, all that was decided in the
// slice; the lock is held.
func (k *Keeper) collectable(s *shard, opinions map[string]opinion) bool {
	if s.mark.Base == 0 || s.mark.Base < s.role.oldest() {
		return false
	}
	for _, e := range s.role.chain() {
		if e.Epoch >= s.mark.Base && !e.complete(k.kept(s, &e, opinions)) && !k.exhausted(s, &e, opinions) {
			return false
		}
	}
	return true
}

// exhausted reports that no holder of an ensemble but those that are heard will ever have
// what it acknowledged: the others have new disks. The lock is held.
func (k *Keeper) exhausted(s *shard, e *Ensemble, opinions map[string]opinion) bool {
	kept := k.kept(s, e, opinions)
	for _, name := range e.holders() {
		o := opinions[name]
		replaced := o.heard && e.disk(name) != "" && o.disk != e.disk(name) || name == k.settings.Name
		if !slices.Contains(kept, name) && !replaced {
			return false
		}
	}
	return true
}

// sources returns the keepers to fetch from, so that with what this one has all decisions
// of the earlier ensembles are there; false where they can't be had now. The lock is held.
func (k *Keeper) sources(s *shard, opinions map[string]opinion) (map[string]string, bool) {
	forced := s.forced == s.role.Epoch
	if s.mark.Base < s.role.oldest() && !forced {
		return nil, false
	}
	from := map[string]string{}
	for _, e := range s.role.Before {
		if e.Epoch < s.mark.Base {
			continue
		}
		var has []string
		if e.keeps(k.settings.Name, k.disk, s.mark.Base) {
			has = append(has, k.settings.Name)
		}
		for _, name := range k.kept(s, &e, opinions) {
			if e.complete(has) && !forced {
				break
			}
			if name != k.settings.Name {
				has = append(has, name)
				from[name] = e.disk(name)
			}
		}
		if !e.complete(has) && !forced && !k.exhausted(s, &e, opinions) {
			return nil, false
		}
	}
	return from, true
}

// collectIfNeeded has this keeper, which the store made a slice's primary, fetch what it
// may lack of the decisions before; the lock is held.
func (k *Keeper) collectIfNeeded(ctx context.Context, s *shard, opinions map[string]opinion) {
	if s.role.Primary != k.settings.Name || s.role.Epoch == 0 || s.mark.Epoch > s.role.Epoch || s.marking || s.collecting {
		return
	}
	if recorded := s.role.disk(k.settings.Name); recorded != "" && recorded != k.disk {
		return
	}
	from, found := k.sources(s, opinions)
	if !found {
		return
	}
	k.tellLost(s, opinions)
	if len(from) == 0 {
		k.makeWhole(s)
		return
	}
	s.collecting = true
	go k.collect(ctx, s, s.role.Epoch, from)
}

// tellLost says which earlier ensembles lost more disks than may be lost at once: what
// was on these alone is gone. The lock is held.
func (k *Keeper) tellLost(s *shard, opinions map[string]opinion) {
	for _, e := range s.role.Before {
		if e.Epoch >= s.mark.Base && !e.complete(k.kept(s, &e, opinions)) {
			k.settings.Logger.WithField("slice", s.number).WithField("epoch", e.Epoch).WithField("holders", e.holders()).
				WithField("kept", k.kept(s, &e, opinions)).Error("decisions lost with more disks than may be")
		}
	}
}

// collect fetches what the keepers have of a slice, each by the name of its disk. With
// that, this keeper has all of it.
func (k *Keeper) collect(ctx context.Context, s *shard, epoch uint64, from map[string]string) {
	ctx, cancel := context.WithTimeout(ctx, opTime)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	responses := make(chan *historypb.FetchResponse, len(from))
	k.mu.Lock()
	have := s.state.inventory()
	k.mu.Unlock()
	for name, disk := range from {
		group.Go(func() error {
			response, err := k.peers.Fetch(ctx, name, &historypb.FetchRequest{Slice: s.number, Epoch: epoch, Disk: disk, Have: have})
			if err == nil && response.Refused {
				err = errors.Errorf("%s refuses epoch %d", name, epoch)
			}
			if err == nil {
				responses <- response
			}
			return err
		})
	}
	err := group.Wait()
	close(responses)
	k.mu.Lock()
	defer k.mu.Unlock()
	s.collecting = false
	if err != nil {
		k.settings.Logger.WithError(err).WithField("slice", s.number).Warn("decisions of earlier holders not fetched")
		return
	}
	if s.role.Epoch != epoch {
		return
	}
	var news []*historypb.Record
	for response := range responses {
		for _, r := range response.Records {
			if s.state.apply(r) {
				news = append(news, r)
			}
		}
	}
	k.persist(news, nil)
	k.makeWhole(s)
}

// behind reports that another keeper could take the slice over with less to fetch; the
// lock is held.
func (k *Keeper) behind(s *shard, opinions map[string]opinion) bool {
	for name := range s.role.everHeld() {
		if o := opinions[name]; name != k.settings.Name && o.heard && !o.out && o.marks[s.number].Base > s.mark.Base {
			return true
		}
	}
	return false
}

// primaryGone reports that the slice's primary does not decide and is not about to; the
// lock is held.
func (k *Keeper) primaryGone(s *shard, opinions map[string]opinion, now time.Time) bool {
	o, known := opinions[s.role.Primary]
	return o.out || !known && now.Sub(k.started) > bootTime || s.primaryLost(o)
}

// primaryLost reports that the primary lives and does not have its slice: its disk is
// lost, or it can't fetch what it lacks. Its last word before a cut says nothing of what
// it has had since.
func (s *shard) primaryLost(o opinion) bool {
	if !o.heard || o.has(int(s.number), s.role.Epoch) {
		s.primaryLostSince = time.Time{}
		return false
	}
	recorded := s.role.disk(s.role.Primary)
	if recorded != "" && recorded != o.disk {
		return true
	}
	if s.primaryLostSince.IsZero() {
		s.primaryLostSince = o.at
	}
	limit := stuckAfter
	if recorded == "" {
		limit = lostRounds * statusEvery
	}
	return o.at.Sub(s.primaryLostSince) > limit
}

// abandoned reports that the slice can't be had whole from any keepers, and that this one
// has to go on with what it has: soon where all its holders are heard, else after the time
// for which the decisions of the silent ones are kept at all. More disks were lost then
// than may be at once.
func (k *Keeper) abandoned(s *shard, opinions map[string]opinion, now time.Time) bool {
	if s.role.Epoch == 0 || s.marking || s.collecting || !k.verified || !k.firstToAbandon(s, opinions) {
		s.lostSince = time.Time{}
		return false
	}
	if s.lostSince.IsZero() {
		s.lostSince = now
	}
	limit := defaultRetention
	if k.allHeard(s, opinions) {
		limit = abandonAfter
	}
	if now.Sub(s.lostSince) < limit {
		return false
	}
	s.lostSince = time.Time{}
	s.forced = s.role.Epoch + 1
	k.settings.Logger.WithField("slice", s.number).WithField("epoch", s.role.Epoch).WithField("base", s.mark.Base).
		Error("slice lost on more disks than may be, continued with what is left")
	return true
}

// allHeard reports that all other holders of the slice are heard, also those of earlier
// ensembles that may be needed; the lock is held.
func (k *Keeper) allHeard(s *shard, opinions map[string]opinion) bool {
	for name := range s.role.everHeld() {
		if name != k.settings.Name && !opinions[name].heard {
			return false
		}
	}
	return true
}

// firstToAbandon reports that this keeper is a holder and that no other that is heard has
// more of the slice; of equals the primary goes on, else the one with the lowest name. The
// lock is held.
func (k *Keeper) firstToAbandon(s *shard, opinions map[string]opinion) bool {
	holders := s.role.everHeld()
	for name := range holders {
		other := opinions[name].marks[s.number].Base
		switch {
		case name == k.settings.Name || !opinions[name].heard:
		case other > s.mark.Base:
			return false
		case other == s.mark.Base && s.role.Primary != k.settings.Name && (name == s.role.Primary || name < k.settings.Name):
			return false
		}
	}
	return holders[k.settings.Name]
}
