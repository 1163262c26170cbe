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
	// rolesEvery is how often the roles are looked at without an event.
	reconcileInterval = 100 * time.Millisecond
	// statusEvery is how often other keepers are asked how they stand.
	statusPollInterval = 150 * time.Millisecond
	// statusTime bounds one such question.
	statusTimeout = 300 * time.Millisecond
	// suspectAfter is how long a keeper may be silent before it is replaced: a
	// pause of the process or a lost packet passes, a loss does not. A needless
	// change costs the filling of a slice and no more.
	suspectTimeout = 550 * time.Millisecond
	// confirmedAfter is the same where entries of most data centres do not hear it
	// either: all of them do not pause at once.
	confirmedSuspectTimeout = 350 * time.Millisecond
	// refusedMost is the number of refused connections in a row that show that a
	// keeper's process is gone, which silence would show later.
	minRefusedConnections = 2
	// stalledAfter is how long a disk may take for one write; it takes 5 ms.
	diskStallTimeout = 500 * time.Millisecond
	// bootTime is how long after its start a keeper judges no other by silence.
	startupGrace = 1200 * time.Millisecond
	// abandonAfter is how long no keeper of a slice may have all of it before it
	// begins anew. All its disks are lost then, or it never began.
	forceRecoveryAfter = 10 * time.Second
)

// Adopt takes in an assignment of the store; an older one changes nothing.
func (k *Keeper) ApplyAssignment(a Assignment, version store.Version) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if version <= k.version {
		return
	}
	k.known, k.version = a, version
	// A newer assignment came from the store, so it is back.
	k.resetStoreBackoff()
	for _, s := range k.shards {
		if next := &a.Shards[s.id]; next.Epoch > s.role.Epoch {
			k.applyRole(s, *next)
		}
	}
	notify(k.wakeReconciler)
}

// assign puts a slice's newer role in force; the lock is held.
func (k *Keeper) applyRole(s *shard, next ShardAssignment) {
	k.settings.Logger.WithField("slice", s.id).WithField("epoch", next.Epoch).
		WithField("primary", next.Primary).WithField("partners", next.Backups).
		WithField("spare", next.OptionalBackups).WithField("mark", s.epochState.promised).WithField("base", s.epochState.base).Info("slice assigned")
	continues := k.isPrimary(s) && next.Epoch == s.role.Epoch+1 && next.Primary == k.settings.Name
	s.role = next
	s.unrecoverableSince, s.primaryIncompleteSince = time.Time{}, time.Time{}
	if !continues {
		s.abortPending()
	}
	if next.Primary == k.settings.Name {
		s.state.primaryEpoch = next.Epoch
		k.rebuildStreams(s)
	}
	// Nothing was decided before the first epoch.
	first := next.Epoch == 1 && s.epochState.base == 0 && next.diskOf(k.settings.Name) == k.disk
	if continues || first || k.resumesFormat1(s) {
		k.markComplete(s)
	}
}

// carriesOn reports that this keeper was made the primary by an assignment of form 1,
// and had not written that down when it was stopped.
func (k *Keeper) resumesFormat1(s *shard) bool {
	r := &s.role
	return r.Primary == k.settings.Name && len(r.Disks) == 0 && s.epochState.promised < r.Epoch && s.epochState.isComplete(r.Epoch-1)
}

// relink makes the ways to the partners those of the new role; the lock is held. A new
// partner is sent everything that is not on enough disks yet, and what waited for one
// that is gone is judged without it.
func (k *Keeper) rebuildStreams(s *shard) {
	var waiting []*pendingCommit
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
	for _, e := range waiting {
		s.completeIfCommitted(e)
	}
}

// makeWhole makes this keeper one that has all of the slice in the present epoch, once
// that is on its disk; the lock is held.
func (k *Keeper) markComplete(s *shard) {
	complete := epochState{promised: s.role.Epoch, base: s.role.Epoch}
	s.persistingState = true
	k.persist([]*historypb.Record{epochStateRecord(s.id, complete)}, func() {
		s.persistingState = false
		s.epochState.merge(complete)
		notify(k.wakeReconciler)
	})
}

// runRoles keeps each slice on as many keepers as it should be on.
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

func (k *Keeper) expire() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range k.shards {
		s.state.expire(time.Now())
	}
}

// reconcile fills partners that lack records, fetches what this keeper lacks of slices
// that it is to decide for, and proposes what must change.
func (k *Keeper) reconcile(ctx context.Context) {
	k.reconciliations.Add(1)
	k.mu.Lock()
	if k.version == 0 {
		k.mu.Unlock()
		k.bootstrap(ctx)
		return
	}
	assessments := k.assessPeers(time.Now())
	next, changed := k.proposeAssignment(assessments, time.Now())
	changed = changed && time.Now().After(k.storeRetryAt)
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

// begin makes the first assignment. The keeper with the lowest name does it, among those
// that it hears; should two do it, the store takes one.
func (k *Keeper) bootstrap(ctx context.Context) {
	age := time.Since(k.started)
	if age < startupGrace {
		return
	}
	keepers := k.liveKeepers()
	complete := len(keepers) == len(k.settings.Keepers())
	if len(keepers) == 0 || keepers[0].Name != k.settings.Name || !complete && age < 2*startupGrace {
		notify(k.wakeReader)
		return
	}
	a, version, err := k.assignments.Read(ctx)
	if err != nil {
		k.settings.Logger.WithError(err).Warn("assignment not read before the first is made")
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

// heardKeepers returns the keepers that are heard, this one among them, with their disks.
func (k *Keeper) liveKeepers() []Candidate {
	k.mu.Lock()
	defer k.mu.Unlock()
	assessments := k.assessPeers(time.Now())
	return slices.DeleteFunc(k.candidates(assessments), func(c Candidate) bool {
		return c.Name != k.settings.Name && !assessments[c.Name].live
	})
}

// candidates returns the registered keepers, with the disks of those that know decisions
// that are not on all disks of a slice; the lock is held.
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

// write proposes an assignment. A lost answer is settled by reading.
func (k *Keeper) writeAssignment(ctx context.Context, a Assignment, base store.Version) {
	present, version, err := k.assignments.Write(ctx, a, base)
	switch {
	case err == nil, errors.Is(err, store.ErrConflict) && version > 0:
		// Many keepers change the assignment at once after a loss. Each that came too late
		// goes on from what it was told, without a call and a pause to read it.
		k.ApplyAssignment(present, version)
	case errors.Is(err, store.ErrUnavailable):
		// Surely not written: there is nothing to read either.
		k.settings.Logger.WithError(err).Warn("assignment not written")
		k.backOffStore()
	case errors.Is(err, store.ErrConflict):
		notify(k.wakeReader)
	default:
		k.settings.Logger.WithError(err).Warn("assignment not known to be written")
		notify(k.wakeReader)
	}
}
