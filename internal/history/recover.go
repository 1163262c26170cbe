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
	recoveryTimeout = 2 * time.Second
	// lostRounds is the number of rounds in which a primary on a disk without a name
	// must lack its slice: what is known of it lags.
	incompleteRounds = 3
)

// kept returns the keepers that still have what they acknowledged in an ensemble, this
// one among them, as far as they are heard; the lock is held.
func (k *Keeper) intactHolders(s *shard, e *Ensemble, assessments map[string]assessment) []string {
	var names []string
	for _, name := range e.holders() {
		o := assessments[name]
		switch {
		case name == k.settings.Name:
			if e.isIntact(name, k.disk, s.epochState.base) {
				names = append(names, name)
			}
		case o.live && e.isIntact(name, o.disk, o.epochStates[s.id].base):
			names = append(names, name)
		}
	}
	return names
}

// collectable reports that this keeper has, or can fetch, all that was decided in the
// slice; the lock is held.
func (k *Keeper) canRecover(s *shard, assessments map[string]assessment) bool {
	if s.epochState.base == 0 || s.epochState.base < s.role.minBase() {
		return false
	}
	for _, e := range s.role.ensembles() {
		if e.Epoch >= s.epochState.base && !e.isRecoveryQuorum(k.intactHolders(s, &e, assessments)) && !k.allIntactReachable(s, &e, assessments) {
			return false
		}
	}
	return true
}

// exhausted reports that no holder of an ensemble but those that are heard will ever have
// what it acknowledged: the others have new disks. The lock is held.
func (k *Keeper) allIntactReachable(s *shard, e *Ensemble, assessments map[string]assessment) bool {
	kept := k.intactHolders(s, e, assessments)
	for _, name := range e.holders() {
		o := assessments[name]
		replaced := o.live && e.diskOf(name) != "" && o.disk != e.diskOf(name) || name == k.settings.Name
		if !slices.Contains(kept, name) && !replaced {
			return false
		}
	}
	return true
}

// sources returns the keepers to fetch from, so that with what this one has all decisions
// of the earlier ensembles are there; false where they can't be had now. The lock is held.
func (k *Keeper) recoverySources(s *shard, assessments map[string]assessment) (map[string]string, bool) {
	forced := s.forcedEpoch == s.role.Epoch
	if s.epochState.base < s.role.minBase() && !forced {
		return nil, false
	}
	from := map[string]string{}
	for _, e := range s.role.Previous {
		if e.Epoch < s.epochState.base {
			continue
		}
		var has []string
		if e.isIntact(k.settings.Name, k.disk, s.epochState.base) {
			has = append(has, k.settings.Name)
		}
		for _, name := range k.intactHolders(s, &e, assessments) {
			if e.isRecoveryQuorum(has) && !forced {
				break
			}
			if name != k.settings.Name {
				has = append(has, name)
				from[name] = e.diskOf(name)
			}
		}
		if !e.isRecoveryQuorum(has) && !forced && !k.allIntactReachable(s, &e, assessments) {
			return nil, false
		}
	}
	return from, true
}

// collectIfNeeded has this keeper, which the store made a slice's primary, fetch what it
// may lack of the decisions before; the lock is held.
func (k *Keeper) recoverIfNeeded(ctx context.Context, s *shard, assessments map[string]assessment) {
	if s.role.Primary != k.settings.Name || s.role.Epoch == 0 || s.epochState.promised > s.role.Epoch || s.persistingState || s.recovering {
		return
	}
	if recorded := s.role.diskOf(k.settings.Name); recorded != "" && recorded != k.disk {
		return
	}
	from, found := k.recoverySources(s, assessments)
	if !found {
		return
	}
	k.logLostDecisions(s, assessments)
	if len(from) == 0 {
		k.markComplete(s)
		return
	}
	s.recovering = true
	go k.recoverShard(ctx, s, s.role.Epoch, from)
}

// tellLost says which earlier ensembles lost more disks than may be lost at once: what
// was on these alone is gone. The lock is held.
func (k *Keeper) logLostDecisions(s *shard, assessments map[string]assessment) {
	for _, e := range s.role.Previous {
		if e.Epoch >= s.epochState.base && !e.isRecoveryQuorum(k.intactHolders(s, &e, assessments)) {
			k.settings.Logger.WithField("slice", s.id).WithField("epoch", e.Epoch).WithField("holders", e.holders()).
				WithField("kept", k.intactHolders(s, &e, assessments)).Error("decisions lost with more disks than may be")
		}
	}
}

// collect fetches what the keepers have of a slice, each by the name of its disk. With
// that, this keeper has all of it.
func (k *Keeper) recoverShard(ctx context.Context, s *shard, epoch uint64, from map[string]string) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	responses := make(chan *historypb.FetchResponse, len(from))
	k.mu.Lock()
	have := s.state.inventory()
	k.mu.Unlock()
	for name, disk := range from {
		group.Go(func() error {
			response, err := k.peers.Fetch(ctx, name, &historypb.FetchRequest{Slice: s.id, Epoch: epoch, Disk: disk, Have: have})
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
	s.recovering = false
	if err != nil {
		k.settings.Logger.WithError(err).WithField("slice", s.id).Warn("decisions of earlier holders not fetched")
		return
	}
	if s.role.Epoch != epoch {
		return
	}
	var learned []*historypb.Record
	for response := range responses {
		for _, r := range response.Records {
			if s.state.apply(r) {
				learned = append(learned, r)
			}
		}
	}
	k.persist(learned, nil)
	k.markComplete(s)
}

// behind reports that another keeper could take the slice over with less to fetch; the
// lock is held.
func (k *Keeper) isBehind(s *shard, assessments map[string]assessment) bool {
	for name := range s.role.allHolders() {
		if o := assessments[name]; name != k.settings.Name && o.live && !o.ineligible && o.epochStates[s.id].base > s.epochState.base {
			return true
		}
	}
	return false
}

// primaryGone reports that the slice's primary does not decide and is not about to; the
// lock is held.
func (k *Keeper) primaryFailed(s *shard, assessments map[string]assessment, now time.Time) bool {
	o, known := assessments[s.role.Primary]
	return o.ineligible || !known && now.Sub(k.started) > startupGrace || s.primaryIncomplete(o)
}

// primaryLost reports that the primary lives and does not have its slice: its disk is
// lost, or it can't fetch what it lacks. Its last word before a cut says nothing of what
// it has had since.
func (s *shard) primaryIncomplete(o assessment) bool {
	if !o.live || o.isComplete(int(s.id), s.role.Epoch) {
		s.primaryIncompleteSince = time.Time{}
		return false
	}
	recorded := s.role.diskOf(s.role.Primary)
	if recorded != "" && recorded != o.disk {
		return true
	}
	if s.primaryIncompleteSince.IsZero() {
		s.primaryIncompleteSince = o.lastContact
	}
	limit := recoveryTimeout
	if recorded == "" {
		limit = incompleteRounds * statusPollInterval
	}
	return o.lastContact.Sub(s.primaryIncompleteSince) > limit
}

// abandoned reports that the slice can't be had whole from any keepers, and that this one
// has to go on with what it has: soon where all its holders are heard, else after the time
// for which the decisions of the silent ones are kept at all. More disks were lost then
// than may be at once.
func (k *Keeper) mustForceRecovery(s *shard, assessments map[string]assessment, now time.Time) bool {
	if s.role.Epoch == 0 || s.persistingState || s.recovering || !k.verified || !k.leadsForcedRecovery(s, assessments) {
		s.unrecoverableSince = time.Time{}
		return false
	}
	if s.unrecoverableSince.IsZero() {
		s.unrecoverableSince = now
	}
	limit := defaultRetention
	if k.allHoldersLive(s, assessments) {
		limit = forceRecoveryAfter
	}
	if now.Sub(s.unrecoverableSince) < limit {
		return false
	}
	s.unrecoverableSince = time.Time{}
	s.forcedEpoch = s.role.Epoch + 1
	k.settings.Logger.WithField("slice", s.id).WithField("epoch", s.role.Epoch).WithField("base", s.epochState.base).
		Error("slice lost on more disks than may be, continued with what is left")
	return true
}

// allHeard reports that all other holders of the slice are heard, also those of earlier
// ensembles that may be needed; the lock is held.
func (k *Keeper) allHoldersLive(s *shard, assessments map[string]assessment) bool {
	for name := range s.role.allHolders() {
		if name != k.settings.Name && !assessments[name].live {
			return false
		}
	}
	return true
}

// firstToAbandon reports that this keeper is a holder and that no other that is heard has
// more of the slice; of equals the primary goes on, else the one with the lowest name. The
// lock is held.
func (k *Keeper) leadsForcedRecovery(s *shard, assessments map[string]assessment) bool {
	holders := s.role.allHolders()
	for name := range holders {
		other := assessments[name].epochStates[s.id].base
		switch {
		case name == k.settings.Name || !assessments[name].live:
		case other > s.epochState.base:
			return false
		case other == s.epochState.base && s.role.Primary != k.settings.Name && (name == s.role.Primary || name < k.settings.Name):
			return false
		}
	}
	return holders[k.settings.Name]
}
