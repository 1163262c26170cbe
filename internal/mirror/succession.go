package mirror

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"
)

// Who follows the store: in each data centre the first instance by name that is
// answered. The others leave the store to it, and take over where it falls silent.
// Of the followers, those of two data centres ask the store for changes, and the
// others stand by.
const (
	// watchersMost is the number of data centres whose followers ask the store for
	// changes all the time.
	watcherDataCentres = 2
	// silentRounds is how many rounds in a row the instances that should follow
	// the store must be silent before this one does it.
	takeOverRounds = 2
	// askMost bounds the instances that are asked in a round whether they follow.
	// Each of them that lives and is not answered doubles the rounds that this
	// one waits: while the store is away a few instances of a data centre call
	// it, and not all of a fleet four times a second each.
	maxQueried = 4
	// unreachedFor is how long an instance that did not answer is not asked.
	unreachableRetryDelay = 3 * time.Second
	// silentRoundsAtStart is the same for an instance that has heard of no
	// other yet: all start at once, and those at the seeds' addresses may be late.
	takeOverRoundsAtStart = 4
	// followsLeast is how long an instance follows at least, so that two that
	// hear of each other by turns do not both start and stop.
	minFollowTime = 2 * time.Second
	// lostMost is how long the store may not answer a follower that others rely on.
	maxUnavailable = 700 * time.Millisecond
)

// before returns the peers that this instance leaves the store to while they
// follow it: those of the data centre that should do so sooner, the first of all
// first. Where those can't, others have taken over; of these the first by name
// goes on, and one that does not follow leaves it to any.
func (r *Relay) peersToDeferTo(peers []Peer) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	preceding := r.precedingPeers(peers)
	if p, ok := r.firstFollower(); ok && r.defersTo(p) {
		preceding = append([]Peer{p}, preceding...)
	}
	if r.namedFollower != nil && r.defersTo(*r.namedFollower) {
		preceding = append([]Peer{*r.namedFollower}, preceding...)
	}
	r.namedFollower = nil
	return preceding
}

// leavesTo reports whether this instance leaves the store to p while p follows it.
func (r *Relay) defersTo(p Peer) bool { return r.cancelFollow == nil || p.Name < r.name }

// firstFollower returns the first peer by name of the data centre that follows
// the store by its last word.
func (r *Relay) firstFollower() (first Peer, ok bool) {
	for _, p := range r.followers {
		if p.DataCentre == r.dataCentre && (!ok || p.Name < first.Name) {
			first, ok = p, true
		}
	}
	return first, ok
}

func (r *Relay) precedingPeers(peers []Peer) []Peer {
	var preceding []Peer
	now := time.Now()
	for _, p := range peers {
		if p.DataCentre == r.dataCentre && p.Name < r.name && now.After(r.unreachableUntil[p.Name]) {
			preceding = append(preceding, p)
		}
	}
	slices.SortFunc(preceding, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	return preceding[:min(maxQueried, len(preceding))]
}

func (r *Relay) startFollowing(ctx context.Context) {
	if r.cancelFollow != nil {
		return
	}
	r.logger.Info("following the store")
	ctx, cancel := context.WithCancel(ctx)
	r.cancelFollow, r.followingSince = cancel, time.Now()
	done := make(chan struct{})
	r.followerDone = done
	go func() {
		defer close(done)
		r.follower.Run(ctx)
	}()
}

func (r *Relay) stopFollowing() {
	if r.cancelFollow == nil {
		return
	}
	r.logger.Info("leaving the store to others")
	r.cancelFollow()
	<-r.followerDone
	r.cancelFollow = nil
}

// Following reports whether this instance follows the store and is answered.
func (r *Relay) Following() bool {
	return r.follower.Active() && r.follower.UnavailableFor(time.Now()) < maxUnavailable
}

// Watching reports whether this instance follows the store, is answered, and asks it for
// changes all the time.
func (r *Relay) Watching() bool { return r.Following() && !r.follower.standby.Load() }

// watches reports whether this instance, a follower, is to ask the store for changes.
// In a fleet of many data centres those of the first two do: with one of them lost, what
// changes still comes at once. The others are told by the relay, and take over where they
// no longer hear two.
func (r *Relay) shouldWatch() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.reliedOnWatchers()) < watcherDataCentres
}

// reliedOn returns the peers that ask the store for changes so that this instance need
// not, one of each data centre that goes before its own; the lock is held.
func (r *Relay) reliedOnWatchers() []Peer {
	first := map[string]Peer{}
	for _, p := range r.watching {
		known, ok := first[p.DataCentre]
		if p.DataCentre < r.dataCentre && (!ok || p.Name < known.Name) {
			first[p.DataCentre] = p
		}
	}
	relied := slices.Collect(maps.Values(first))
	slices.SortFunc(relied, func(a, b Peer) int { return strings.Compare(a.DataCentre, b.DataCentre) })
	return relied[:min(watcherDataCentres, len(relied))]
}

func (r *Relay) recordFollowing(p Peer, following, watching bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	setMember(r.followers, p, following)
	setMember(r.watching, p, following && watching)
}

func setMember(peers map[string]Peer, p Peer, member bool) {
	if member {
		peers[p.Name] = p
		return
	}
	delete(peers, p.Name)
}

func (r *Relay) markUnreachable(p Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreachableUntil[p.Name] = time.Now().Add(unreachableRetryDelay)
}

// knownFollower returns the first of the data centre that follows the store by
// its own word, this instance among them; empty for none. What this instance was
// only told is left out, or the name of one that has stopped would go round for
// good.
func (r *Relay) knownFollower() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	first, ok := r.firstFollower()
	if r.Following() && (!ok || r.name < first.Name) {
		return r.name
	}
	return first.Name
}

// noteTold takes in whom a peer of the data centre names as its follower.
//
// The failure: many take over from followers that are refused, and by their own
// questions those hear of each other only after minutes; all that time a store
// in trouble is called by several instances of a data centre. All others know
// the first of them, as they leave the store to it, so any answer tells. The
// named one is asked itself in the next round, before it is relied on.
func (r *Relay) recordNamedFollower(name string) {
	if name == "" || name == r.name || !r.isUndiscovered(name) {
		return
	}
	for _, p := range r.peers() {
		if p.Name == name && p.DataCentre == r.dataCentre {
			r.mu.Lock()
			r.namedFollower = &p
			r.mu.Unlock()
			return
		}
	}
}

// noteElsewhere takes in whom a peer of another data centre names as the follower there.
// Followers must know each other to leave questions to two of them, and meet by chance
// only after minutes in a fleet of hundreds.
func (r *Relay) recordRemoteFollower(dataCentre, name string) {
	if name == "" || !r.follower.Active() || !r.isUndiscovered(name) {
		return
	}
	for _, p := range r.peers() {
		if p.Name == name && p.DataCentre == dataCentre {
			r.mu.Lock()
			r.remoteFollowers[dataCentre] = p
			r.mu.Unlock()
			return
		}
	}
}

// strangers returns, for a follower that relies on too few, the peers of the first data
// centres before its own of which it knows nobody that asks the store for changes; the
// lock is held.
func (r *Relay) undiscoveredPeers(peers []Peer) []Peer {
	if !r.follower.Active() || len(r.reliedOnWatchers()) >= watcherDataCentres {
		return nil
	}
	known := map[string]bool{}
	for _, p := range r.watching {
		known[p.DataCentre] = true
	}
	byDataCentre := map[string][]Peer{}
	for _, p := range peers {
		if p.DataCentre < r.dataCentre && !known[p.DataCentre] {
			byDataCentre[p.DataCentre] = append(byDataCentre[p.DataCentre], p)
		}
	}
	var first []Peer
	for _, dc := range slices.Sorted(maps.Keys(byDataCentre))[:min(watcherDataCentres, len(byDataCentre))] {
		first = append(first, byDataCentre[dc]...)
	}
	return first
}

// unheard reports whether nothing is known yet of the peer, which should answer.
func (r *Relay) isUndiscovered(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.followers[name]
	return !known && time.Now().After(r.unreachableUntil[name])
}
