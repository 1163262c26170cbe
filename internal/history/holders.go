package history

import (
	"slices"
	"time"
)

// proposeAssignment returns the assignment that this keeper proposes, and whether it differs from
// the known one; the lock is held. Only a keeper that can recover a shard changes its holders.
func (k *Keeper) proposeAssignment(assessments map[string]assessment, now time.Time) (Assignment, bool) {
	next, changed, unplaceable := k.known, false, 0
	if k.stalledFor() > diskStallTimeout {
		return next, false
	}
	draining := k.isDraining()
	selector := k.newBackupSelector(&next, assessments)
	for _, s := range k.shards {
		if draining && k.leavesToOthers(s, assessments) || !k.mustReassign(s, assessments, now) {
			continue
		}
		role, found := k.nextAssignment(selector, s, assessments, now)
		switch {
		case !found:
			unplaceable++
		case s.forcedEpoch == role.Epoch || k.mustPublish(s, &role):
			next.Shards[s.id] = role
			changed = true
		}
	}
	k.logUnplaceable(unplaceable, assessments, now)
	return next, changed
}

// mustPublish reports whether a shard's next assignment differs from the present one in more than its epoch; the lock is
// held.
func (k *Keeper) mustPublish(s *shard, next *ShardAssignment) bool {
	needsNoCopiesNow := s.role.mayNeedCopies() && !next.mayNeedCopies()
	return !next.sameReplicaSet(&s.role.Ensemble) || needsNoCopiesNow || next.LostAtUnixMs > k.known.Shards[s.id].LostAtUnixMs
}

// newBackupSelector returns a selector among the live keepers; the lock is held.
func (k *Keeper) newBackupSelector(next *Assignment, assessments map[string]assessment) *backupSelector {
	c := &backupSelector{assignment: next, keepers: k.candidates(assessments), maxDiskFailures: k.maxDiskFailures(), shardsHeld: map[string]int{}}
	// Where all keepers drain, those that retire outlast those that stop.
	allDrain := k.isDraining() && countUsable(assessments) == 0
	c.excluded = func(name string) bool {
		o, known := assessments[name]
		outlasts := allDrain && k.settings.IsRetiring(name) && !o.stopping
		return !known || !o.live || o.ineligible && !outlasts
	}
	for i := range next.Shards {
		if next.Shards[i].Epoch > 0 {
			c.countHolders(&next.Shards[i])
		}
	}
	return c
}

// nextAssignment returns a shard's next assignment with this keeper as the primary, without backups
// if it is the last keeper. It returns false if no backup is available now.
func (k *Keeper) nextAssignment(selector *backupSelector, s *shard, assessments map[string]assessment, now time.Time) (ShardAssignment, bool) {
	self := Candidate{Name: k.settings.Name, DataCentre: k.settings.DataCentre, Disk: k.disk}
	backups := selector.selectBackups(int(s.id), self)
	if len(backups) == 0 && !k.isLastKeeper(s, assessments, now) {
		return ShardAssignment{}, false
	}
	backups = k.withCurrentBackups(s, backups, selector.keepers, assessments)
	role := ShardAssignment{Ensemble: newEnsemble(s.role.Epoch+1, self, backups, k.maxDiskFailures()), Previous: withoutCovered(s.role.ensembles())}
	role.Copied = k.marksCopies(&role.Ensemble)
	role.LostAtUnixMs = k.lostAt(s, &role, assessments, now)
	switch {
	case k.earlierEpochsReplicated(s, assessments):
		role.Previous = []Ensemble{s.role.Ensemble}
	case len(role.Previous) > maxPreviousEnsembles:
		k.settings.Logger.WithField("slice", s.id).WithField("ensembles", len(role.Previous)).Error("too many reassignments without complete backups; earlier holders are forgotten")
		role.Previous = slices.DeleteFunc(role.Previous, func(e Ensemble) bool { return e.Epoch < s.epochState.base })
	}
	return role, true
}

// maxPreviousEnsembles is the number of earlier ensembles beyond which those that this keeper does
// not need itself are removed: changes of these may be on its disk alone then. It bounds the size of the assignment,
// which stays below 200 KB.
const maxPreviousEnsembles = 24

// earlierEpochsReplicated reports whether this keeper is the shard's primary and at least
// maxDiskFailures backups have all changes committed before its epoch. A successor then needs none of
// the earlier ensembles. With fewer backups it may: the disks of all present holders may fail at once.
func (k *Keeper) earlierEpochsReplicated(s *shard, assessments map[string]assessment) bool {
	if !k.isPrimary(s) {
		return false
	}
	have := 0
	for _, name := range s.role.Backups {
		if assessments[name].isComplete(int(s.id), s.role.Epoch) {
			have++
		}
	}
	return have >= k.maxDiskFailures()
}

// marksCopies reports whether successors may recover an ensemble of this keeper from the store: its changes are on no more
// disks than may fail at once, and no other keeper is known to be of a version that would remove the copies. The lock is
// held.
func (k *Keeper) marksCopies(e *Ensemble) bool {
	if e.survives(k.maxDiskFailures()) {
		return false
	}
	return !slices.ContainsFunc(k.otherKeepers(), func(name string) bool {
		v := k.views[name]
		return v != nil && v.status != nil && !v.status.Copies
	})
}

// logUnplaceable logs that shards which need other holders keep theirs, because no keeper is eligible
// and it is not certain that this one is the last, with the evidence on each other keeper.
func (k *Keeper) logUnplaceable(shards int, assessments map[string]assessment, now time.Time) {
	if shards == 0 || now.Sub(k.unplaceableLoggedAt) < unplaceableLogInterval {
		return
	}
	k.unplaceableLoggedAt = now
	for _, name := range k.otherKeepers() {
		o, v := assessments[name], k.views[name]
		entry := k.settings.Logger.WithField("slices", shards).WithField("keeper", name).
			WithField("heard", o.live).WithField("out", o.ineligible).WithField("reach", k.witnessContact.isEstablished(now))
		if v != nil {
			entry = entry.WithField("silent_ms", now.Sub(v.lastContact).Milliseconds()).WithField("lost", v.loss.isCurrent(now))
		}
		entry.Info("no eligible backup; shards keep their holders")
	}
}

// unplaceableLogInterval is the shortest time between two calls of logUnplaceable that log.
const unplaceableLogInterval = time.Second

// maxDiskFailures is the number of disks that may fail at once, at least 1.
func (k *Keeper) maxDiskFailures() int { return max(1, k.settings.MaxDiskFailures) }

// underReplicated reports whether a shard has too few backups and more are available.
func (k *Keeper) underReplicated(s *shard, assessments map[string]assessment) bool {
	if len(s.role.Backups) > k.maxDiskFailures() {
		return false
	}
	return countUsable(assessments) > len(s.role.Backups)
}

// countUsable counts the other keepers that may be given shards.
func countUsable(assessments map[string]assessment) int {
	usable := 0
	for _, o := range assessments {
		if o.live && !o.ineligible {
			usable++
		}
	}
	return usable
}

// withCurrentBackups returns the backups chosen for a shard, and in addition its present complete
// ones until the chosen are complete. Without them, the primary would be the only complete holder
// during the state transfers, and its loss would lose committed changes.
func (k *Keeper) withCurrentBackups(s *shard, chosen, keepers []Candidate, assessments map[string]assessment) []Candidate {
	id, epoch := int(s.id), s.role.Epoch
	if !k.isPrimary(s) || allComplete(chosen, assessments, id, epoch) {
		return chosen
	}
	backups := slices.Clone(chosen)
	for _, c := range keepers {
		if s.role.hasBackup(c.Name) && !containsKeeper(chosen, c.Name) && assessments[c.Name].isComplete(id, epoch) {
			backups = append(backups, c)
		}
	}
	return backups
}

func allComplete(keepers []Candidate, assessments map[string]assessment, shardID int, epoch uint64) bool {
	return !slices.ContainsFunc(keepers, func(c Candidate) bool { return !assessments[c.Name].isComplete(shardID, epoch) })
}

// spreadDelay is how long contact with a keeper must last before shards are assigned to it only to
// spread them over data centres.
const spreadDelay = time.Second

// shouldSpread reports whether two holders of a shard share a data centre while a keeper of another
// data centre is available. This happens when a data centre returns after a loss. Until the shard
// is spread again, the isolation of one data centre makes it unavailable.
func (k *Keeper) shouldSpread(s *shard, assessments map[string]assessment, now time.Time) bool {
	dataCentres := map[string]string{}
	for _, c := range k.settings.Keepers() {
		dataCentres[c.Name] = c.DataCentre
	}
	holdersIn := map[string]int{}
	for _, name := range s.role.holders() {
		holdersIn[dataCentres[name]]++
	}
	if len(holdersIn) > min(k.maxDiskFailures(), len(s.role.Backups)) {
		return false
	}
	for name, o := range assessments {
		if holdersIn[dataCentres[name]] == 0 && o.live && !o.ineligible && now.Sub(k.views[name].loss.contactSince) > spreadDelay {
			return true
		}
	}
	return false
}

func (k *Keeper) isDraining() bool { return k.draining || k.settings.IsRetiring(k.settings.Name) }

// mustReassign reports whether this keeper should propose other holders for a shard: as its
// primary, or because it can replace a primary that failed. The lock is held.
func (k *Keeper) mustReassign(s *shard, assessments map[string]assessment, now time.Time) bool {
	switch {
	case k.isPrimary(s):
		return k.backupsMustChange(s, assessments, now)
	case s.role.Epoch == 0 || s.epochState.promised > s.role.Epoch && s.role.Primary == k.settings.Name:
		return false
	case s.role.Primary != k.settings.Name && !k.primaryFailed(s, assessments, now):
		return false
	case k.canRecover(s, assessments, now):
		// The primary fetches what it lacks itself, unless its disk was replaced.
		s.unrecoverableSince = time.Time{}
		return s.role.Primary != k.settings.Name && !k.isBehind(s, assessments)
	case !k.mustForceRecovery(s, assessments, now):
		return false
	case s.role.Primary == k.settings.Name && s.role.diskOf(k.settings.Name) == k.disk:
		s.forcedEpoch = s.role.Epoch
		s.role.LostAtUnixMs = now.UnixMilli()
		return false
	default:
		return true
	}
}

// backupsMustChange reports whether a shard's backups should be replaced, reduced or extended.
func (k *Keeper) backupsMustChange(s *shard, assessments map[string]assessment, now time.Time) bool {
	for _, name := range s.role.Backups {
		o, known := assessments[name]
		if !known && now.Sub(k.started) > startupGrace || o.ineligible || o.live && o.disk != "" && o.disk != s.role.diskOf(name) {
			return true
		}
	}
	hasLost := s.role.LostAtUnixMs > k.known.Shards[s.id].LostAtUnixMs
	needsNoCopiesNow := s.role.mayNeedCopies() && k.earlierEpochsReplicated(s, assessments)
	if hasLost || needsNoCopiesNow || s.role.Copied != k.marksCopies(&s.role.Ensemble) {
		return true
	}
	surplus := len(s.role.Backups) > k.maxDiskFailures()+1 || len(s.role.Backups) > k.maxDiskFailures() && s.role.OptionalBackups == 0
	return surplus || k.underReplicated(s, assessments) || k.shouldSpread(s, assessments, now)
}
