package history

import (
	"context"
	"slices"
	"time"
)

// A keeper that hears another no longer can't tell whether that one is lost, or the
// way between them, or whether it is itself cut off; and the store, which may be in
// reach of both sides of a cut, does not tell either. Entries do: which of them
// answer shows on which side this keeper is, and what they hear whether the other
// is lost.

const (
	// doubtAfter is how long a keeper may be silent before entries are asked about
	// it, so that they have answered by the time at which it would be replaced:
	// one of its answers is late then.
	suspicionDelay = 200 * time.Millisecond
	// doubtEvery is how often they are asked.
	witnessInterval = 100 * time.Millisecond
	// reachGap is the longest time between two answers of entries that show that
	// this keeper has reached them all the while, and reachSpan how long it must
	// have: a keeper that is there is heard in it.
	maxContactGap  = 300 * time.Millisecond
	minContactSpan = 200 * time.Millisecond
	// wordLife is how long the word of witnesses counts. They are asked again as
	// often as the keepers, and some rounds may go amiss.
	witnessValidity = time.Second
)

// Witness is what an entry says of a keeper.
type Witness struct {
	DataCentre  string
	HearsKeeper bool
}

// loss is what is known of a keeper's loss.
type lossEvidence struct {
	// confirmed is when witnesses confirmed it last.
	confirmedAt time.Time
	// heardSince is since when the keeper is heard again, with no gap in which it
	// would have been replaced.
	contactSince time.Time
}

// holds reports that the keeper is lost by a word that is not out of date.
func (l *lossEvidence) isCurrent(now time.Time) bool {
	return now.Sub(l.confirmedAt) <= witnessValidity
}

// noteHeard takes in that a keeper answered; the lock is held.
func (v *peerView) recordContact(now time.Time) {
	if v.status == nil || v.unresponsive(now) {
		v.loss.contactSince = now
	}
	v.lastContact, v.loss.confirmedAt = now, time.Time{}
}

// runWitnesses asks entries about keepers that are silent.
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

// doubted returns the keepers that were not heard for a while and that entries are
// to be asked about: those that hold slices, and all of them where this keeper may
// be the last. One that was replaced for good stays registered for long, and to ask
// about it all that time would cost each keeper a call to most entries ten times a
// second.
func (k *Keeper) suspectedKeepers() []string {
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
	witnesses := k.peers.Witnesses(ctx, name)
	unheard := !anyHears(witnesses)
	reachable := k.reachableShare(witnesses)
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if reachable >= halfOfDataCentres {
		k.quorumContact.record(now)
	}
	v := k.views[name]
	if unheard && reachable > halfOfDataCentres && now.Sub(v.lastContact) > suspicionDelay {
		if !v.loss.isCurrent(now) {
			k.settings.Logger.WithField("keeper", name).WithField("silent_ms", now.Sub(v.lastContact).Milliseconds()).
				WithField("witnesses", len(witnesses)).Info("keeper lost by the word of entries")
		}
		v.loss.confirmedAt = now
	}
	notify(k.wakeReconciler)
}

func anyHears(witnesses []Witness) bool {
	for _, w := range witnesses {
		if w.HearsKeeper {
			return true
		}
	}
	return false
}

// half of the data centres are on each side where two lose each other: none of
// the sides is the smaller one.
const halfOfDataCentres = 0.5

// shareOf returns the share of data centres that this keeper reaches: its own and
// those of which an entry answered; 0 where none did.
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

// reach is over which time entries of at least half of the data centres answered.
type contactPeriod struct{ since, last time.Time }

// note takes in that they did.
func (r *contactPeriod) record(now time.Time) {
	if now.Sub(r.last) > maxContactGap {
		r.since = now
	}
	r.last = now
}

// holds reports that this keeper is not on the smaller side of a cut, and has not
// been for long enough to hear the others again if they are there. Otherwise it
// must not replace those that it does not hear: beside keepers that are cut off
// with it, it would take slices from the side that callers are sent to, and keep
// turns on disks that may be lost together; and after the cut it would replace
// those that it has not asked yet.
func (r *contactPeriod) isEstablished(now time.Time) bool {
	return now.Sub(r.last) <= maxContactGap && r.last.Sub(r.since) >= minContactSpan
}
