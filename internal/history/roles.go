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
	rolesEvery = 100 * time.Millisecond
	// statusEvery is how often other keepers are asked how they stand.
	statusEvery = 150 * time.Millisecond
	// statusTime bounds one such question.
	statusTime = 300 * time.Millisecond
	// suspectAfter is how long a keeper may be silent before it is replaced: a
	// pause of the process or a lost packet passes, a loss does not. A needless
	// change costs the filling of a slice and no more.
	suspectAfter = 550 * time.Millisecond
	// confirmedAfter is the same where entries of most data centres do not hear it
	// either: all of them do not pause at once.
	confirmedAfter = 350 * time.Millisecond
	// refusedMost is the number of refused connections in a row that show that a
	// keeper's process is gone, which silence would show later.
	refusedMost = 2
	// stalledAfter is how long a disk may take for one write; it takes 5 ms.
	stalledAfter = 500 * time.Millisecond
	// bootTime is how long after its start a keeper judges no other by silence.
	bootTime = 1200 * time.Millisecond
	// abandonAfter is how long no keeper of a slice may have all of it before it
	// begins anew. All its disks are lost then, or it never began.
	abandonAfter = 10 * time.Second
)

// Adopt takes in an assignment of the store; an older one changes nothing.
func (k *Keeper) Adopt(a Assignment, version store.Version) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if version <= k.version {
		return
	}
	k.known, k.version = a, version
	// A newer assignment came from the store, so it is back.
	k.storeBack()
	for _, s := range k.slices {
		if next := a.Slices[s.number]; next.Epoch > s.role.Epoch {
			k.assign(s, next)
		}
	}
	notify(k.wakeRoles)
}

// assign puts a slice's newer role in force; the lock is held.
func (k *Keeper) assign(s *slice, next Role) {
	k.settings.Logger.WithField("slice", s.number).WithField("epoch", next.Epoch).
		WithField("primary", next.Primary).WithField("partners", next.Partners).
		WithField("mark", s.mark.Epoch).WithField("synced", s.mark.Synced).Info("slice assigned")
	continues := k.primary(s) && next.Epoch == s.role.Epoch+1
	s.role = next
	s.lostSince, s.primaryLostSince = time.Time{}, time.Time{}
	if next.Primary != k.settings.Name {
		s.drop()
		return
	}
	s.state.epoch = next.Epoch
	k.relink(s, continues)
	k.raise(s)
}

// relink makes the ways to the partners those of the new role; the lock is held.
// What waited for a partner that is one no longer waits for it in vain, and a new
// one is sent everything that is not on all disks yet.
func (k *Keeper) relink(s *slice, continues bool) {
	var waiting []*entry
	for _, l := range s.links {
		l.filled = l.filled && continues
		for _, e := range l.entries {
			if !slices.Contains(waiting, e) {
				waiting = append(waiting, e)
			}
		}
	}
	old := s.links
	s.links = map[string]*link{}
	for _, name := range s.role.Partners {
		if old[name] != nil {
			s.links[name] = old[name]
			s.links[name].continues = continues
			continue
		}
		s.link(name).entries = slices.Clone(waiting)
		for _, e := range waiting {
			e.waits++
		}
	}
	for name, l := range old {
		if s.role.partner(name) {
			continue
		}
		for _, e := range l.entries {
			k.arrived(e)
		}
	}
	for _, name := range s.role.Partners {
		k.wakeSender(name)
	}
}

// raise makes the keeper that proposed an epoch its primary, once its own mark
// is on the disk. It must have had all of the slice in the epoch before.
func (k *Keeper) raise(s *slice) {
	epoch := s.role.Epoch
	first := epoch == 1 && k.settings.FirstStart && s.mark.Epoch == 0
	had := s.mark.Synced && (s.mark.Epoch == epoch-1 || s.salvaged == epoch-1 && s.mark.Epoch == epoch-2)
	if s.marking || s.mark.Epoch >= epoch || !first && !had {
		return
	}
	s.marking = true
	k.persist([]*historypb.Record{markRecord(s.number, epoch, true)}, func() {
		s.marking = false
		if s.mark.Epoch < epoch {
			s.mark.Epoch, s.mark.Synced = epoch, true
		}
		notify(k.wakeRoles)
	})
}

// runRoles keeps each slice on as many keepers as it should be on.
func (k *Keeper) runRoles(ctx context.Context) {
	ticker := time.NewTicker(rolesEvery)
	defer ticker.Stop()
	expired := time.Now()
	for {
		select {
		case <-k.wakeRoles:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if time.Since(expired) > expireEvery {
			expired = time.Now()
			k.expire()
		}
		k.reconcile(ctx)
	}
}

func (k *Keeper) expire() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range k.slices {
		s.state.expire(time.Now())
	}
}

// reconcile fills partners that lack records and proposes what must change.
func (k *Keeper) reconcile(ctx context.Context) {
	k.mu.Lock()
	if k.version == 0 {
		k.mu.Unlock()
		k.begin(ctx)
		return
	}
	opinions := k.opinions(time.Now())
	next, changed := k.propose(opinions, time.Now())
	changed = changed && time.Now().After(k.storeAfter)
	base := k.version
	for _, s := range k.slices {
		if k.primary(s) {
			for _, name := range s.role.Partners {
				k.fillIfNeeded(ctx, s, name, opinions[name])
			}
		}
	}
	k.mu.Unlock()
	if changed {
		k.write(ctx, next, base)
	}
}

// begin makes the first assignment. The keeper with the lowest name does it;
// should two do it, the store takes one.
func (k *Keeper) begin(ctx context.Context) {
	keepers := k.settings.Keepers()
	if time.Since(k.started) < bootTime || len(keepers) == 0 || keepers[0].Name != k.settings.Name {
		if time.Since(k.started) > bootTime {
			notify(k.wakeRead)
		}
		return
	}
	a, version, err := k.assignments.Read(ctx)
	if err != nil {
		k.settings.Logger.WithError(err).Warn("assignment not read before the first is made")
		return
	}
	if version > 0 {
		k.Adopt(a, version)
		return
	}
	if first, ok := First(keepers, k.partners()); ok {
		k.write(ctx, first, 0)
	}
}

// write proposes an assignment. A lost answer is settled by reading.
func (k *Keeper) write(ctx context.Context, a Assignment, base store.Version) {
	version, err := k.assignments.Write(ctx, a, base)
	switch {
	case err == nil:
		k.Adopt(a, version)
	case errors.Is(err, store.ErrUnavailable):
		// Surely not written: there is nothing to read either.
		k.settings.Logger.WithError(err).Warn("assignment not written")
		k.storeLost()
	case errors.Is(err, store.ErrConflict):
		notify(k.wakeRead)
	default:
		k.settings.Logger.WithError(err).Warn("assignment not known to be written")
		notify(k.wakeRead)
	}
}
