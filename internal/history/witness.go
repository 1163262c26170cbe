package history

import (
	"context"
	"slices"
	"time"
)

// A keeper without contact to another can't distinguish the loss of that keeper from a network
// partition between the two or its own isolation. The store can't help, since both sides of a
// partition may reach it. Entries serve as witnesses: which of them respond shows on which side of
// a partition this keeper is, and whether they have contact shows whether the other keeper is lost.

const (
	// suspicionDelay is how long a keeper may be unresponsive before entries are asked about it, so
	// that they have responded by the time it would be replaced. Two of its broadcasts are late by
	// then.
	suspicionDelay = 200 * time.Millisecond
	// witnessInterval is the time between two queries of entries about unresponsive keepers.
	witnessInterval = 100 * time.Millisecond
	// maxContactGap is the longest time between two responses of entries that count as continuous
	// contact. minContactSpan is how long the contact must have lasted, which is long enough to
	// receive the status of a running keeper.
	maxContactGap  = 300 * time.Millisecond
	minContactSpan = 200 * time.Millisecond
	// witnessValidity is how long a confirmation by witnesses is valid. It spans several witness
	// queries, since some may fail.
	witnessValidity = time.Second
)

// Witness is an entry's report on its contact with a keeper.
type Witness struct {
	DataCentre string
	HasContact bool
}

// lossEvidence is the evidence of a keeper's loss.
type lossEvidence struct {
	// confirmedAt is when witnesses last confirmed the loss.
	confirmedAt time.Time
	// contactSince is when the present contact with the keeper began, with no gap in which it would
	// have been replaced.
	contactSince time.Time
}

// isCurrent reports whether witnesses confirmed the loss within witnessValidity.
func (l *lossEvidence) isCurrent(now time.Time) bool {
	return now.Sub(l.confirmedAt) <= witnessValidity
}

// recordContact records contact with a keeper; the lock is held.
func (v *peerView) recordContact(now time.Time) {
	if v.status == nil || v.unresponsive(now) {
		v.loss.contactSince = now
	}
	v.lastContact, v.loss.confirmedAt = now, time.Time{}
}

// runWitnesses asks entries about unresponsive keepers.
func (k *Keeper) runWitnesses(ctx context.Context) {
	ticker := time.NewTicker(witnessInterval)
	defer ticker.Stop()
	queries := newKeyedLimiter(1)
	for {
		for _, name := range k.suspectedKeepers() {
			queries.start(name, func() { k.queryWitnesses(ctx, name) })
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// suspectedKeepers returns the unresponsive keepers about which entries are asked: those that hold
// shards, and all of them if this keeper may be the last one. Keepers that were replaced for good
// are left out: they stay registered for long, and asking about them would cost each keeper a call
// to most entries ten times a second.
func (k *Keeper) suspectedKeepers() []string {
	if k.isSpare() {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	last := k.allUnresponsive(suspicionDelay) || slices.ContainsFunc(k.shards[:], k.isSoleHolder)
	var names []string
	for name, v := range k.views {
		if time.Since(v.lastContact) > suspicionDelay && (last || k.known.countHeldBy(name) > 0) {
			names = append(names, name)
		}
	}
	return names
}

func (k *Keeper) queryWitnesses(ctx context.Context, name string) {
	witnesses := k.peers.QueryWitnesses(ctx, name)
	noContact := !anyHasContact(witnesses)
	reachable := k.reachableShare(witnesses)
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if reachable >= halfOfDataCentres {
		k.witnessContact.record(now)
	}
	v := k.views[name]
	if noContact && reachable > halfOfDataCentres && now.Sub(v.lastContact) > suspicionDelay {
		if !v.loss.isCurrent(now) {
			k.settings.Logger.WithField("keeper", name).WithField("silent_ms", now.Sub(v.lastContact).Milliseconds()).
				WithField("witnesses", len(witnesses)).Info("loss of keeper confirmed by witnesses")
		}
		v.loss.confirmedAt = now
	}
	notify(k.wakeReconciler)
}

func anyHasContact(witnesses []Witness) bool {
	for _, w := range witnesses {
		if w.HasContact {
			return true
		}
	}
	return false
}

// halfOfDataCentres is the reachable share on each side of a partition between two data centres,
// where neither side is the minority.
const halfOfDataCentres = 0.5

// reachableShare returns the share of data centres that this keeper reaches: its own and those with
// an entry that responded; 0 if none responded.
func (k *Keeper) reachableShare(witnesses []Witness) float64 {
	if len(witnesses) == 0 {
		return 0
	}
	reached := map[string]bool{k.settings.DataCentre: true}
	for _, w := range witnesses {
		reached[w.DataCentre] = true
	}
	return float64(len(reached)) / float64(max(1, k.settings.DataCentres))
}

// contactPeriod is the period over which entries of at least half of the data centres responded.
type contactPeriod struct{ since, last time.Time }

// record extends the period by a response at now, or begins a new one after a gap.
func (r *contactPeriod) record(now time.Time) {
	if now.Sub(r.last) > maxContactGap {
		r.since = now
	}
	r.last = now
}

// isEstablished reports whether this keeper is not in the minority of a network partition, and has
// not been for long enough to receive the statuses of running keepers. Otherwise it must not
// replace unresponsive keepers. In a minority, it would take shards from the side to which callers
// are routed, and store turns on disks that may be lost together. Just after a partition, it would
// replace keepers that it has not asked yet.
func (r *contactPeriod) isEstablished(now time.Time) bool {
	return now.Sub(r.last) <= maxContactGap && r.last.Sub(r.since) >= minContactSpan
}
