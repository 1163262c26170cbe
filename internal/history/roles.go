package history

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/history/historypb"
	"foxhall/internal/store"
)

const (
	// reconcileInterval is the time between reconciliations without an event.
	reconcileInterval = 100 * time.Millisecond
	// statusPollInterval is the time between status requests to keepers without recent contact.
	statusPollInterval = 150 * time.Millisecond
	// statusTimeout bounds one status request.
	statusTimeout = 300 * time.Millisecond
	// suspectTimeout is how long a keeper may be unresponsive before it is replaced. It outlasts a
	// pause of the process or a lost packet. A needless replacement costs no more than a state
	// transfer.
	suspectTimeout = 550 * time.Millisecond
	// confirmedSuspectTimeout replaces suspectTimeout where entries of most data centres have no
	// contact with the keeper either: not all of them pause at once.
	confirmedSuspectTimeout = 350 * time.Millisecond
	// minRefusedConnections is the number of refused connections in a row that show that a keeper's
	// process has ended, sooner than its unresponsiveness would.
	minRefusedConnections = 2
	// diskStallTimeout is how long one disk write may take before the disk counts as stalled;
	// usually it takes 5 ms.
	diskStallTimeout = 500 * time.Millisecond
	// startupGrace is how long after its start a keeper counts no other as unresponsive.
	startupGrace = 1200 * time.Millisecond
	// refusalGrace is how long after its start a keeper counts no other as ended by refused connections: keepers
	// that start together listen within it. Silence takes longer to tell, since it may be this keeper's own.
	refusalGrace = startupGrace / 2
	// bootstrapReadInterval is the time between two reads of the assignment by a keeper that waits for
	// the first one. Gossip delivers it sooner.
	bootstrapReadInterval = time.Second
	// forceRecoveryAfter is how long a shard may be unrecoverable, with all its holders live,
	// before it continues with the records that are left. All its disks are lost then, or it never
	// began.
	forceRecoveryAfter = 10 * time.Second
)

// ApplyAssignment applies an assignment from the store; an older one changes nothing.
func (k *Keeper) ApplyAssignment(a Assignment, version store.Version) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if version <= k.version {
		return
	}
	k.known, k.version = a, version
	// A newer assignment shows that the store is available.
	k.resetStoreBackoff()
	for _, s := range k.shards {
		if next := &a.Shards[s.id]; next.Epoch > s.role.Epoch {
			k.applyRole(s, *next)
		}
	}
	notify(k.wakeReconciler)
}

// applyRole applies a shard's newer assignment; the lock is held.
func (k *Keeper) applyRole(s *shard, next ShardAssignment) {
	k.settings.Logger.WithField("slice", s.id).WithField("epoch", next.Epoch).
		WithField("primary", next.Primary).WithField("partners", next.Backups).
		WithField("spare", next.OptionalBackups).WithField("disks", next.Disks).WithField("durable_on", next.disksPerChange()).WithField("tolerated", k.maxDiskFailures()).WithField("copied", next.Copied).WithField("mark", s.epochState.promised).WithField("base", s.epochState.base).Info("shard assigned")
	continues := k.isPrimary(s) && next.Epoch == s.role.Epoch+1 && next.Primary == k.settings.Name
	s.role = next
	s.copiesChanges = next.Copied || !next.survives(k.maxDiskFailures())
	s.unrecoverableSince, s.primaryIncompleteSince = time.Time{}, time.Time{}
	if !continues {
		s.abortPending()
	}
	if next.Primary == k.settings.Name {
		s.state.primaryEpoch = next.Epoch
		k.rebuildStreams(s)
	}
	// Nothing was committed before the first epoch. A promise may be what is left of a damaged log.
	first := next.Epoch == 1 && s.epochState == (epochState{}) && next.diskOf(k.settings.Name) == k.disk
	if continues || first || k.resumesFormat1(s) {
		k.markComplete(s)
	}
}

// resumesFormat1 reports whether an assignment of format version 1 made this keeper the primary and
// it stopped before that was on its disk.
func (k *Keeper) resumesFormat1(s *shard) bool {
	r := &s.role
	return r.Primary == k.settings.Name && len(r.Disks) == 0 && s.epochState.promised < r.Epoch && s.epochState.isComplete(r.Epoch-1)
}

// rebuildStreams replaces the streams by those to the backups of the new role; the lock is held. A
// new backup is sent all uncommitted changes, and changes that waited for a removed backup are
// committed if the remaining acknowledgements suffice.
func (k *Keeper) rebuildStreams(s *shard) {
	waiting := slices.Clone(s.uncopied)
	for _, l := range s.streams {
		for _, e := range l.pending {
			if !e.completed && !slices.Contains(waiting, e) {
				waiting = append(waiting, e)
			}
		}
	}
	old := s.streams
	s.streams = map[string]*backupStream{}
	for _, name := range s.role.Backups {
		if l := old[name]; l != nil && l.disk == s.role.diskOf(name) {
			s.streams[name] = l
		} else {
			s.streamTo(name).pending = slices.Clone(waiting)
		}
		k.wakeSender(name)
	}
	if !s.copiesChanges {
		s.uncopied = nil
	}
	for _, e := range waiting {
		if !s.copiesChanges {
			// Its copy may be removed before another epoch needs one.
			e.copyRequested, e.copied = false, false
		}
		k.copyIfNeeded(s, e)
		s.completeIfCommitted(e)
	}
}

// markComplete makes this keeper complete in the shard's present epoch once that is on its disk;
// the lock is held.
func (k *Keeper) markComplete(s *shard) {
	complete := epochState{promised: s.role.Epoch, base: s.role.Epoch}
	s.persistingState = true
	k.persist([]*historypb.Record{epochStateRecord(s.id, complete)}, func() {
		s.persistingState = false
		s.epochState.merge(complete)
		notify(k.wakeReconciler)
	})
}

// runReconciler reconciles the roles of all shards periodically and on events.
func (k *Keeper) runReconciler(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	expired := time.Now()
	for {
		select {
		case <-k.wakeReconciler:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if time.Since(expired) > expireInterval {
			expired = time.Now()
			k.expire()
		}
		k.reconcile(ctx)
	}
}

// expire removes the expired records of all shards. Calls get the lock between two shards. A shard that is
// being recovered keeps them: its inventory lists them, and one holder may have the turn before a missing
// one that another has.
func (k *Keeper) expire() {
	now := time.Now()
	for _, s := range k.shards {
		k.mu.Lock()
		if !s.recovering {
			k.expireShard(s, now)
		}
		k.mu.Unlock()
	}
}

// expireShard removes the expired records of a shard; the lock is held or not needed.
func (k *Keeper) expireShard(s *shard, now time.Time) {
	incomplete := s.state.expire(now)
	if len(incomplete) == 0 {
		return
	}
	// One line for all: the loss of more disks than tolerated may leave thousands.
	t := incomplete[0]
	k.settings.Logger.WithField("slice", s.id).WithField("epoch", s.role.Epoch).WithField("base", s.epochState.base).
		WithField("turns", len(incomplete)).WithField("request", t.Id).WithField("ended_ms_ago", now.UnixMilli()-t.EndedUnixMs).
		WithField("missing", t.Previous).WithField("removed_unix_ms", s.state.removed.find(recordKey(t.Customer, t.Previous))).
		Warn("turns retained without those that they continue")
}

// reconcile transfers records to incomplete backups, recovers shards of which this keeper is the
// new primary, and proposes the reassignments that are needed.
func (k *Keeper) reconcile(ctx context.Context) {
	k.reconciliations.Add(1)
	if k.isSpare() {
		return
	}
	k.mu.Lock()
	if k.version == 0 {
		k.mu.Unlock()
		k.bootstrap(ctx)
		return
	}
	assessments := k.assessPeers(time.Now())
	next, changed := k.proposeAssignment(assessments, time.Now())
	changed = changed && time.Now().After(k.storeRetryAt) && (k.canBeReached() || k.isDraining())
	base := k.version
	for _, s := range k.shards {
		if !k.isPrimary(s) {
			k.recoverIfNeeded(ctx, s, assessments)
			continue
		}
		for _, name := range s.role.Backups {
			k.transferIfNeeded(ctx, s, name, assessments[name])
		}
	}
	k.mu.Unlock()
	if changed {
		k.writeAssignment(ctx, next, base)
	}
}

// bootstrap makes the first assignment. The keeper with the lowest name among the live ones does
// it; if two do, the store accepts one.
func (k *Keeper) bootstrap(ctx context.Context) {
	k.mu.Lock()
	age := time.Since(k.started)
	k.mu.Unlock()
	if age < startupGrace {
		return
	}
	keepers := k.liveKeepers()
	complete := len(keepers) == len(k.settings.Keepers())
	if len(keepers) == 0 || keepers[0].Name != k.settings.Name || !complete && age < 2*startupGrace || !k.canBeReached() {
		if time.Since(k.bootstrapReadAt) >= bootstrapReadInterval {
			k.bootstrapReadAt = time.Now()
			notify(k.wakeReader)
		}
		return
	}
	a, version, err := k.assignments.Read(ctx)
	if err != nil {
		k.settings.Logger.WithError(err).Warn("assignment can't be read; initial assignment postponed")
		return
	}
	if version > 0 {
		k.ApplyAssignment(a, version)
		return
	}
	if first, ok := InitialAssignment(keepers, k.maxDiskFailures()); ok {
		k.writeAssignment(ctx, first, 0)
	}
}

func (k *Keeper) canBeReached() bool {
	return k.settings.CanBeReached == nil || k.settings.CanBeReached()
}

// liveKeepers returns the live keepers, including this one, with their disks.
func (k *Keeper) liveKeepers() []Candidate {
	k.mu.Lock()
	defer k.mu.Unlock()
	assessments := k.assessPeers(time.Now())
	return slices.DeleteFunc(k.candidates(assessments), func(c Candidate) bool {
		return c.Name != k.settings.Name && !assessments[c.Name].live
	})
}

// candidates returns the registered keepers, with the disks of those that support optional backups;
// the lock is held.
func (k *Keeper) candidates(assessments map[string]assessment) []Candidate {
	list := slices.Clone(k.settings.Keepers())
	for i, c := range list {
		if c.Name == k.settings.Name {
			list[i].Disk = k.disk
		} else if o := assessments[c.Name]; o.supportsOptionalBackups {
			list[i].Disk = o.disk
		}
	}
	return list
}

// writeAssignment writes an assignment by a conditional update. If the response is lost, the
// assignment is read again.
func (k *Keeper) writeAssignment(ctx context.Context, a Assignment, base store.Version) {
	present, version, err := k.assignments.Write(ctx, a, base)
	switch {
	case err == nil, errors.Is(err, store.ErrConflict) && version > 0:
		// After a loss many keepers change the assignment at once. Those that conflict continue
		// from the returned assignment, which saves the read and its pause.
		k.ApplyAssignment(present, version)
	case errors.Is(err, store.ErrUnavailable):
		// The store certainly did not write it, so there is no need to read it.
		k.settings.Logger.WithError(err).Warn("store unavailable; assignment not written")
		k.backOffStore()
	case errors.Is(err, store.ErrConflict):
		notify(k.wakeReader)
	default:
		k.settings.Logger.WithError(err).Warn("outcome of writing the assignment unknown; reading it again")
		notify(k.wakeReader)
	}
}
