package mirror

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"foxhall/internal/mirror/mirrorpb"
	"foxhall/internal/store"
)

const (
	// relayEvery is the time between two rounds. With one peer chosen by chance
	// a change reaches some hundred instances in a few rounds even where every
	// message sent at the change was lost.
	roundInterval = 300 * time.Millisecond
	// relayTime bounds one exchange.
	exchangeTimeout = 400 * time.Millisecond
	// fanOut is the number of peers that hear of a change at once.
	changeFanout = 3
)

// Peer is another instance.
type Peer struct {
	Name       string
	DataCentre string
	Relay      mirrorpb.Relay
}

// Relay exchanges a mirror's state with other instances, and decides whether
// this instance follows the store itself: in each data centre the first by
// name that is answered does. Two that do it for a while do no harm.
type Relay struct {
	name       string
	dataCentre string
	mirror     *Mirror
	follower   *Follower
	peers      func() []Peer
	logger     log.Interface

	changed chan struct{}

	mu sync.Mutex
	// followers are the peers that follow the store, by their last word, and watching
	// those of them that ask it for changes.
	followers, watching map[string]Peer
	// told is a peer that another named as follower and that was not yet asked.
	namedFollower *Peer
	// elsewhere are the followers of other data centres that were named and are to be
	// asked themselves, by data centre.
	remoteFollowers map[string]Peer
	// unreached are the peers that did not answer, by when they may be asked again.
	unreachableUntil map[string]time.Time
	// turn counts the rounds in which this instance stood by.
	standbyRound int
	// silent counts the rounds in which no other follower of the data centre answered.
	roundsWithoutFollower int
	cancelFollow          context.CancelFunc
	followerDone          chan struct{}
	followingSince        time.Time
}

var _ mirrorpb.Relay = (*Relay)(nil)

// NewRelay returns a relay that is not yet running. peers returns the other
// instances known now.
func NewRelay(name, dataCentre string, m *Mirror, f *Follower, peers func() []Peer, logger log.Interface) *Relay {
	r := &Relay{
		name:             name,
		dataCentre:       dataCentre,
		mirror:           m,
		follower:         f,
		peers:            peers,
		logger:           logger,
		changed:          make(chan struct{}, 1),
		followers:        map[string]Peer{},
		watching:         map[string]Peer{},
		remoteFollowers:  map[string]Peer{},
		unreachableUntil: map[string]time.Time{},
	}
	m.OnChange(func(Kind) {
		select {
		case r.changed <- struct{}{}:
		default:
		}
	})
	return r
}

// Run exchanges until ctx ends. With seed it follows the store at once, since
// the others come to it; they follow when it is silent. With restarted it reads
// the store once by itself: the sooner an instance that was down knows what is
// in force, the fewer callers it refuses.
func (r *Relay) Run(ctx context.Context, seed, restarted bool) {
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	switch {
	case seed:
		r.startFollowing(ctx)
	case restarted:
		go r.follower.Refresh(ctx)
	}
	defer r.stopFollowing()
	for {
		select {
		case <-ticker.C:
			r.runRound(ctx)
		case <-r.changed:
			r.pushChange(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// Recheck reads the store once, after a pause of this process: a change that was
// made meanwhile must not wait for a peer that happens to tell of it.
func (r *Relay) Recheck(ctx context.Context) {
	r.mirror.MarkStale()
	r.follower.Refresh(ctx)
}

// round talks to those that should follow the store here, and to one peer of
// any data centre, through which a data centre without the store stays current.
func (r *Relay) runRound(ctx context.Context) {
	peers := r.peers()
	hasFollower, responding := false, 0
	for _, p := range r.peersToDeferTo(peers) {
		following, ok := r.exchange(ctx, p)
		if !ok {
			r.markUnreachable(p)
			continue
		}
		responding++
		if following {
			hasFollower = true
			break
		}
	}
	if r.cancelFollow != nil {
		r.follower.SetStandby(!r.shouldWatch())
	}
	if p, ok := r.chooseExchangePeer(peers); ok {
		_, answered := r.exchange(ctx, p)
		// Before the others of the data centre are known, any that answers will do.
		_, known := r.mirror.AsOf(Fleet)
		hasFollower = hasFollower || answered && !known
	}
	if hasFollower {
		r.roundsWithoutFollower = 0
		if r.cancelFollow != nil && time.Since(r.followingSince) >= minFollowTime {
			r.stopFollowing()
		}
		return
	}
	requiredRounds := takeOverRounds
	if _, known := r.mirror.AsOf(Fleet); !known {
		requiredRounds = takeOverRoundsAtStart
	}
	if r.roundsWithoutFollower++; r.roundsWithoutFollower >= requiredRounds<<responding {
		r.startFollowing(ctx)
	}
}

// spread tells some peers of a change at once.
func (r *Relay) pushChange(ctx context.Context) {
	peers := r.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers[:min(changeFanout, len(peers))] {
		go r.exchange(ctx, p)
	}
}

// exchange takes what the peer knows and this instance does not, and gives it
// what it lacks. It reports whether the peer follows the store and is answered.
func (r *Relay) exchange(ctx context.Context, p Peer) (following, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	request := &mirrorpb.ExchangeRequest{
		From:        r.name,
		Versions:    r.versions(),
		UnsettledMs: r.mirror.RegistrationGrace(time.Now()).Milliseconds(),
	}
	response, err := p.Relay.Exchange(ctx, request)
	if err != nil {
		r.logger.WithError(err).WithField("peer", p.Name).Debug("not exchanged")
		r.recordFollowing(p, false, false)
		return false, false
	}
	r.applyDeltas(response.Deltas, response.UnsettledMs)
	r.applyConfirmations(response.Versions)
	r.recordFollowing(p, response.Following, response.Watching)
	if p.DataCentre == r.dataCentre {
		r.recordNamedFollower(response.Follower)
	} else {
		r.recordRemoteFollower(p.DataCentre, response.Follower)
	}
	if deltas := r.missingDeltas(response.Versions); len(deltas) > 0 {
		push := &mirrorpb.ExchangeRequest{From: r.name, Versions: r.versions(), Deltas: deltas}
		if _, err := p.Relay.Exchange(ctx, push); err != nil {
			// A lost push is made good by a later round.
			r.logger.WithError(err).WithField("peer", p.Name).Debug("not passed on")
		}
	}
	return response.Following, true
}

// Exchange implements mirrorpb.Relay.
func (r *Relay) Exchange(_ context.Context, request *mirrorpb.ExchangeRequest) (*mirrorpb.ExchangeResponse, error) {
	r.applyDeltas(request.Deltas, request.UnsettledMs)
	r.applyConfirmations(request.Versions)
	now := time.Now()
	return &mirrorpb.ExchangeResponse{
		Versions:    r.versions(),
		Deltas:      r.missingDeltas(request.Versions),
		Following:   r.Following(),
		Watching:    r.Watching(),
		UnsettledMs: r.mirror.RegistrationGrace(now).Milliseconds(),
		Follower:    r.knownFollower(),
	}, nil
}

// confirm takes in when the store spoke last to another instance, of what this
// one holds too.
func (r *Relay) applyConfirmations(versions []*mirrorpb.Version) {
	now := time.Now()
	for _, v := range versions {
		k := Kind(v.Kind)
		if !slices.Contains(Kinds, k) {
			continue
		}
		if asOf, known := r.mirror.AsOf(k); known && uint64(asOf) >= v.AsOf {
			r.mirror.Confirm(k, now.Add(-time.Duration(v.AgeMs)*time.Millisecond))
		}
	}
}

// partner chooses whom to exchange with in a round. Followers often choose each
// other, so that what one of them has asked the store the others need not ask. One
// that stands by asks those that it relies on by turns: it must know soon when they
// are lost.
func (r *Relay) chooseExchangePeer(peers []Peer) (Peer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if watchers := r.reliedOnWatchers(); r.cancelFollow != nil && len(watchers) >= watcherDataCentres {
		r.standbyRound++
		return watchers[r.standbyRound%len(watchers)], true
	}
	for dc, p := range r.remoteFollowers {
		delete(r.remoteFollowers, dc)
		return p, true
	}
	if undiscovered := r.undiscoveredPeers(peers); len(undiscovered) > 0 && rand.IntN(2) == 0 {
		return undiscovered[rand.IntN(len(undiscovered))], true
	}
	if r.cancelFollow != nil && len(r.followers) > 0 && rand.IntN(4) > 0 {
		n := rand.IntN(len(r.followers))
		for _, p := range r.followers {
			if n--; n < 0 {
				return p, true
			}
		}
	}
	if len(peers) == 0 {
		return Peer{}, false
	}
	return peers[rand.IntN(len(peers))], true
}

func (r *Relay) versions() []*mirrorpb.Version {
	var versions []*mirrorpb.Version
	now := time.Now()
	for _, k := range Kinds {
		if asOf, known := r.mirror.AsOf(k); known {
			age := r.mirror.Age(k, now).Milliseconds()
			versions = append(versions, &mirrorpb.Version{Kind: string(k), AsOf: uint64(asOf), AgeMs: age})
		}
	}
	return versions
}

// lacking returns what an instance with these versions does not know.
func (r *Relay) missingDeltas(versions []*mirrorpb.Version) []*mirrorpb.Delta {
	known := map[Kind]store.Version{}
	for _, v := range versions {
		known[Kind(v.Kind)] = store.Version(v.AsOf)
	}
	var deltas []*mirrorpb.Delta
	for _, k := range Kinds {
		from, ok := known[k]
		if d, lacks := r.mirror.Since(k, from, ok); lacks {
			deltas = append(deltas, encodeDelta(d))
		}
	}
	return deltas
}

func (r *Relay) applyDeltas(deltas []*mirrorpb.Delta, unsettledMs int64) {
	// An instance that was cut off takes its own return for the store's. Those that
	// heard the store all along must not hold removed replicas for its word.
	if unsettledMs > 0 && r.mirror.AfterOutage(Replicas, time.Now()) {
		r.mirror.SetRegistrationGrace(time.Now().Add(time.Duration(unsettledMs) * time.Millisecond))
	}
	for _, d := range deltas {
		if k := Kind(d.Kind); slices.Contains(Kinds, k) {
			r.mirror.Apply(Delta{
				Kind:    k,
				Full:    d.Full,
				From:    store.Version(d.From),
				AsOf:    store.Version(d.AsOf),
				Entries: decodeEntries(d.Entries),
				Removed: decodeEntries(d.Removed),
			})
		}
	}
}
