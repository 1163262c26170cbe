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
	// recoveryTimeout is how long a live primary may be incomplete before another keeper takes its
	// shard over.
	recoveryTimeout = 2 * time.Second
	// copyReadTimeout bounds the reading of copies from the store, of up to some 50 MB.
	copyReadTimeout = 6 * time.Second
	// incompleteRounds is the number of status rounds in which a primary on a disk of unknown name
	// must be incomplete before it is replaced, since its known status lags behind.
	incompleteRounds = 3
)

// intactHolders returns the live keepers, including this one, that still have everything that they
// acknowledged in an ensemble; the lock is held.
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

// canRecover reports whether this keeper has, or can fetch, all committed changes of the shard; the
// lock is held. Where the holders of an ensemble are silent, it reads their changes from the store only if it may replace
// silent keepers, see contactPeriod.isEstablished: they may be serving on the larger side of a network partition.
func (k *Keeper) canRecover(s *shard, assessments map[string]assessment, now time.Time) bool {
	if s.epochState.base == 0 || s.epochState.base < s.role.minBase() {
		return false
	}
	for _, e := range s.role.ensembles() {
		if e.Epoch < s.epochState.base || e.isRecoveryQuorum(k.intactHolders(s, &e, assessments)) {
			continue
		}
		inStore := e.Copied && k.witnessContact.isEstablished(now)
		if !inStore && !k.allIntactReachable(s, &e, assessments) {
			return false
		}
	}
	return true
}

// allIntactReachable reports whether the live intact holders are the only ones left of an ensemble:
// the disks of all others were replaced. The lock is held.
func (k *Keeper) allIntactReachable(s *shard, e *Ensemble, assessments map[string]assessment) bool {
	intact := k.intactHolders(s, e, assessments)
	for _, name := range e.holders() {
		o := assessments[name]
		replaced := o.live && e.diskOf(name) != "" && o.disk != e.diskOf(name) || name == k.settings.Name
		if !slices.Contains(intact, name) && !replaced {
			return false
		}
	}
	return true
}

// recoverySources returns the keepers, with the names of their disks, from which this one must
// fetch to have all committed changes of the earlier ensembles; false if that is not possible now.
// The lock is held.
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
		var intact []string
		if e.isIntact(k.settings.Name, k.disk, s.epochState.base) {
			intact = append(intact, k.settings.Name)
		}
		for _, name := range k.intactHolders(s, &e, assessments) {
			if e.isRecoveryQuorum(intact) && !forced {
				break
			}
			if name != k.settings.Name {
				intact = append(intact, name)
				from[name] = e.diskOf(name)
			}
		}
		if !e.isRecoveryQuorum(intact) && !forced && !e.Copied && !k.allIntactReachable(s, &e, assessments) {
			return nil, false
		}
	}
	return from, true
}

// recoverIfNeeded starts to fetch the committed changes that this keeper may lack of a shard of
// which it became the primary; the lock is held.
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
	k.noteLostCommits(s, assessments)
	copies := k.copiesToRead(s, assessments)
	if len(from) == 0 && len(copies.disks) == 0 {
		k.markComplete(s)
		return
	}
	s.recovering = true
	go k.recoverShard(ctx, s, s.role.Epoch, from, copies)
}

// noteLostCommits logs the earlier ensembles of which changes may be lost, with the disks that are gone, and records the
// loss, which may have come after the assignment was proposed. The lock is held.
func (k *Keeper) noteLostCommits(s *shard, assessments map[string]assessment) {
	for _, e := range s.role.Previous {
		intact := k.intactHolders(s, &e, assessments)
		if e.Epoch < s.epochState.base || e.isInStore() || e.isRecoveryQuorum(intact) {
			continue
		}
		s.role.LostAtUnixMs = time.Now().UnixMilli()
		lost := len(e.holders()) - len(intact)
		line := k.settings.Logger.WithField("slice", s.id).WithField("epoch", e.Epoch).WithField("holders", e.holders()).WithField("kept", intact).
			WithField("disks", e.Disks).WithField("durable_on", e.disksPerChange()).WithField("lost", lost).WithField("tolerated", k.maxDiskFailures())
		if lost > k.maxDiskFailures() {
			line.Error("more disks lost than tolerated; committed changes of the epoch may be lost")
		} else {
			line.Error("committed changes of the epoch may be lost, though no more disks are lost than tolerated")
		}
	}
}

// lostAt returns when changes of a shard were lost last in the role that this keeper proposes, in Unix milliseconds: now
// if some may be on no disk that is left and not in the store. The lock is held.
func (k *Keeper) lostAt(s *shard, role *ShardAssignment, assessments map[string]assessment, now time.Time) int64 {
	losesEpoch := func(e Ensemble) bool {
		return e.Epoch >= s.epochState.base && !e.isInStore() && !e.isRecoveryQuorum(k.intactHolders(s, &e, assessments))
	}
	if !k.isPrimary(s) && (s.forcedEpoch == role.Epoch || slices.ContainsFunc(role.Previous, losesEpoch)) {
		return now.UnixMilli()
	}
	return s.role.LostAtUnixMs
}

// recoverShard fetches the records of a shard from the keepers, given with the names of their
// disks, and from the copies in the store. After that, this keeper is complete.
func (k *Keeper) recoverShard(ctx context.Context, s *shard, epoch uint64, from map[string]string, copies copiesToRead) {
	ctx, cancel := context.WithTimeout(ctx, recoverTimeout(copies))
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	responses := make(chan *historypb.FetchResponse, len(from)+len(copies.disks))
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
	for _, disk := range copies.disks {
		group.Go(func() error {
			records, err := k.fetchCopies(s.id, disk, copies.version)
			if err == nil {
				k.settings.Logger.WithField("slice", s.id).WithField("disk", disk).WithField("records", len(records)).Warn("holders of an earlier epoch out of reach; its changes are taken from the store")
				responses <- &historypb.FetchResponse{Records: records}
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
		k.settings.Logger.WithError(err).WithField("slice", s.id).Warn("recovery of the shard failed; retrying")
		return
	}
	if s.role.Epoch != epoch {
		return
	}
	var applied []*historypb.Record
	for response := range responses {
		for _, r := range response.Records {
			if s.state.apply(r) {
				applied = append(applied, r)
			}
		}
	}
	k.persist(applied, nil)
	k.markComplete(s)
}

// isBehind reports whether another keeper could take the shard over with less to fetch; the lock is
// held.
func (k *Keeper) isBehind(s *shard, assessments map[string]assessment) bool {
	for name := range s.role.allHolders() {
		if o := assessments[name]; name != k.settings.Name && o.live && !o.ineligible && o.epochStates[s.id].base > s.epochState.base {
			return true
		}
	}
	return false
}

// primaryFailed reports whether the shard's primary does not serve it and is not expected to; the
// lock is held.
func (k *Keeper) primaryFailed(s *shard, assessments map[string]assessment, now time.Time) bool {
	o, known := assessments[s.role.Primary]
	return o.ineligible || !known && now.Sub(k.started) > startupGrace || s.primaryIncomplete(o)
}

// primaryIncomplete reports whether the primary is live but lacks its shard: its disk was replaced,
// or it can't fetch what it lacks. The time is measured between statuses of the primary, since its
// last status before a network partition does not show what it has received since.
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

// recoverTimeout bounds one attempt to recover a shard.
func recoverTimeout(copies copiesToRead) time.Duration {
	if len(copies.disks) > 0 {
		return copyReadTimeout
	}
	return commitTimeout
}

// mustForceRecovery reports whether the shard can't be recovered in full, and this keeper has to
// continue with the records that are left. If all holders are live, this takes forceRecoveryAfter,
// and otherwise the time for which the records of the unresponsive holders are retained. More disks
// were lost then than may fail at once.
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
		Error("shard lost on more disks than tolerated; continuing with the records that are left")
	return true
}

// allHoldersLive reports whether all other holders of the shard are live, including those of
// earlier ensembles that may be needed; the lock is held.
func (k *Keeper) allHoldersLive(s *shard, assessments map[string]assessment) bool {
	for name := range s.role.allHolders() {
		if name != k.settings.Name && !assessments[name].live {
			return false
		}
	}
	return true
}

// leadsForcedRecovery reports whether this keeper is a holder and no other live holder has a higher
// base; among equals the primary leads, or else the keeper with the lowest name. The lock is held.
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
