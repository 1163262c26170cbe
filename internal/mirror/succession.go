package mirror

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"
)

// Election of followers: in each data centre, the first instance by name to which the store
// responds follows the store. The others defer to it, and take over if it becomes unresponsive. The
// followers of two data centres poll the store for changes (they watch it), and the others are on
// standby.
const (
	// watcherDataCentres is the number of data centres whose followers watch the store.
	watcherDataCentres = 2
	// takeOverRounds is the number of successive rounds without a follower after which this
	// instance follows the store itself.
	takeOverRounds = 2
	// maxQueried bounds the preceding instances that are asked in a round whether they follow. Each
	// one that responds but gets no response from the store doubles the number of rounds to wait.
	// During a store outage, only a few instances of a data centre thus call the store, rather than
	// all of the fleet four times a second each.
	maxQueried = 4
	// unreachableRetryDelay is how long an instance that did not respond is not queried again.
	unreachableRetryDelay = 3 * time.Second
	// takeOverRoundsAtStart replaces takeOverRounds in an instance that knows no other yet. All
	// instances start at once, and those at the seeds' addresses may be late.
	takeOverRoundsAtStart = 4
	// minFollowTime is the minimum time for which an instance follows, so that two that discover
	// each other alternately do not both keep starting and stopping.
	minFollowTime = 2 * time.Second
	// maxUnavailable is how long the store may leave a follower without response before others stop
	// deferring to it.
	maxUnavailable = 700 * time.Millisecond
)

// peersToDeferTo returns the peers to which this instance leaves the store while they follow it:
// those that precede it by name in the data centre, sorted by name. Known followers come before
// them, since others may have taken over where the preceding peers can't follow. Of several
// followers the first by name continues. An instance that does not follow defers to any follower.
func (r *Relay) peersToDeferTo(peers *Peers) []Peer {
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

// defersTo reports whether this instance leaves the store to p while p follows it.
func (r *Relay) defersTo(p Peer) bool { return r.cancelFollow == nil || p.Name < r.name }

// firstFollower returns the first peer by name in this data centre that followed the store
// according to its last response. The caller holds the lock.
func (r *Relay) firstFollower() (first Peer, ok bool) {
	for _, p := range r.followers {
		if p.DataCentre == r.dataCentre && (!ok || p.Name < first.Name) {
			first, ok = p, true
		}
	}
	return first, ok
}

// precedingPeers returns the first peers by name in this data centre that precede this instance and
// may be queried at present, at most maxQueried. The caller holds the lock.
func (r *Relay) precedingPeers(peers *Peers) []Peer {
	var preceding []Peer
	now := time.Now()
	for _, p := range peers.byDataCentre[r.dataCentre] {
		if p.Name >= r.name || len(preceding) == maxQueried {
			break
		}
		if now.After(r.unreachableUntil[p.Name]) {
			preceding = append(preceding, p)
		}
	}
	return preceding
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
	r.logger.Info("stopped following the store")
	r.cancelFollow()
	<-r.followerDone
	r.cancelFollow = nil
}

// Following reports whether this instance follows the store and gets responses from it.
func (r *Relay) Following() bool {
	return r.follower.Active() && r.follower.UnavailableFor(time.Now()) < maxUnavailable
}

// Watching reports whether this instance follows the store, gets responses from it, and polls it
// for changes.
func (r *Relay) Watching() bool { return r.Following() && !r.follower.standby.Load() }

// shouldWatch reports whether this instance, a follower, is to poll the store for changes. In a
// fleet of many data centres the followers of the first two do, so that changes still arrive at
// once if one of them fails. The others receive changes through the relay, and take over if fewer
// than two respond.
func (r *Relay) shouldWatch() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.reliedOnWatchers()) < watcherDataCentres
}

// reliedOnWatchers returns the watching peers that make it unnecessary for this instance to watch:
// one of each of the first data centres that precede its own by name. The caller holds the lock.
func (r *Relay) reliedOnWatchers() []Peer {
	first := map[string]Peer{}
	for _, p := range r.watching {
		known, ok := first[p.DataCentre]
		if p.DataCentre < r.dataCentre && (!ok || p.Name < known.Name) {
			first[p.DataCentre] = p
		}
	}
	watchers := slices.Collect(maps.Values(first))
	slices.SortFunc(watchers, func(a, b Peer) int { return strings.Compare(a.DataCentre, b.DataCentre) })
	return watchers[:min(watcherDataCentres, len(watchers))]
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

// knownFollower returns the first follower by name in this data centre that has itself reported
// following, including this instance, or "" for none. Followers named only by others are excluded,
// or the name of one that has stopped would circulate indefinitely.
func (r *Relay) knownFollower() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	first, ok := r.firstFollower()
	if r.Following() && (!ok || r.name < first.Name) {
		return r.name
	}
	return first.Name
}

// recordNamedFollower records the follower that a peer of this data centre names.
//
// It prevents the following failure: many instances take over from followers refused by the store,
// and discover each other through their own queries only after minutes. All that time several
// instances of a data centre call a store that is in trouble. The other instances know the first of
// them, since they defer to it, so any response names it. The named peer is queried in the next
// round before this instance relies on it.
func (r *Relay) recordNamedFollower(name string) {
	if name == "" || name == r.name || !r.isUndiscovered(name) {
		return
	}
	if p, ok := r.peers().byName[name]; ok && p.DataCentre == r.dataCentre {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.namedFollower = &p
	}
}

// recordRemoteFollower records the follower that a peer of another data centre names for it.
// Followers must know each other to leave polls to two of them, and in a fleet of hundreds random
// exchanges bring them together only after minutes.
func (r *Relay) recordRemoteFollower(dataCentre, name string) {
	if name == "" || !r.follower.Active() || !r.isUndiscovered(name) {
		return
	}
	if p, ok := r.peers().byName[name]; ok && p.DataCentre == dataCentre {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.remoteFollowers[dataCentre] = p
	}
}

// undiscoveredPeers returns, for a follower that knows too few watchers, the peers of the first
// data centres that precede its own and in which it knows no watcher. The caller holds the lock.
func (r *Relay) undiscoveredPeers(peers *Peers) []Peer {
	if !r.follower.Active() || len(r.reliedOnWatchers()) >= watcherDataCentres {
		return nil
	}
	known := map[string]bool{}
	for _, p := range r.watching {
		known[p.DataCentre] = true
	}
	var first []Peer
	found := 0
	for _, dc := range slices.Sorted(maps.Keys(peers.byDataCentre)) {
		if dc < r.dataCentre && !known[dc] && found < watcherDataCentres {
			first = append(first, peers.byDataCentre[dc]...)
			found++
		}
	}
	return first
}

// isUndiscovered reports whether a peer is not a known follower and may be queried at present.
func (r *Relay) isUndiscovered(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.followers[name]
	return !known && time.Now().After(r.unreachableUntil[name])
}
