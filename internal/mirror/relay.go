package mirror

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"

	"foxhall/internal/mirror/mirrorpb"
	"foxhall/internal/store"
)

const (
	// roundInterval is the time between two gossip rounds. With one random peer in each round, a
	// change reaches about a hundred instances in a few rounds even if every message sent at the
	// change was lost.
	roundInterval = 300 * time.Millisecond
	// exchangeTimeout bounds one exchange with a peer.
	exchangeTimeout = 400 * time.Millisecond
	// changeFanout is the number of neighbours to which a change is pushed at once.
	changeFanout = 3
)

// Relay exchanges a mirror's state with other instances, and decides whether this instance follows
// the store itself. In each data centre the first instance by name to which the store responds
// follows it. Two followers at a time in a data centre do no harm.
type Relay struct {
	name       string
	dataCentre string
	mirror     *Mirror
	follower   *Follower
	peers      func() *Peers
	logger     log.Interface

	changed chan struct{}
	// lists limits the whole lists that are sent to peers.
	lists *rate.Limiter

	mu sync.Mutex
	// followers are the peers that follow the store according to their last response, and watching
	// those of them that poll it for changes.
	followers, watching map[string]Peer
	// namedFollower is a peer of this data centre that another named as follower and that has not
	// been queried yet.
	namedFollower *Peer
	// remoteFollowers are the followers that peers of other data centres named and that are yet to
	// be queried, by data centre.
	remoteFollowers map[string]Peer
	// unreachableUntil holds, for peers that did not respond, the time when they may be queried
	// again.
	unreachableUntil map[string]time.Time
	neighbours       neighbours
	// standbyRound counts the rounds in which this instance, a follower, relied on other watchers.
	standbyRound int
	// roundsWithoutFollower counts successive rounds in which no peer that this instance defers to
	// responded that it follows the store.
	roundsWithoutFollower int
	// joined reports whether this instance is registered. startExchanges counts the exchanges before
	// it was, and skippedRounds the rounds to skip until the next one.
	joined                        func() bool
	startExchanges, skippedRounds int
	cancelFollow                  context.CancelFunc
	followerDone                  chan struct{}
	followingSince                time.Time
}

var _ mirrorpb.Relay = (*Relay)(nil)

// NewRelay returns a relay that is not yet running. peers returns the other instances known at
// present.
func NewRelay(name, dataCentre string, m *Mirror, f *Follower, peers func() *Peers, logger log.Interface) *Relay {
	r := &Relay{
		name:             name,
		dataCentre:       dataCentre,
		mirror:           m,
		follower:         f,
		peers:            peers,
		logger:           logger,
		changed:          make(chan struct{}, 1),
		lists:            rate.NewLimiter(maxListedEntries, maxListedEntries),
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

// SetJoined sets the function that reports whether this instance is registered, so that the members
// of its data centre know it. It must be called before Run.
//
// It prevents the following failure: a fleet starts, no instance knows another one in its data
// centre yet, and all of them follow the store.
func (r *Relay) SetJoined(joined func() bool) { r.joined = joined }

// Run exchanges state with peers until ctx ends. With seed it follows the store at once, since the
// other instances contact the seeds first and follow the store only if these are unresponsive. With
// restarted it reads the store once itself: the sooner a restarted instance knows what is in force,
// the fewer calls it refuses.
func (r *Relay) Run(ctx context.Context, seed, restarted bool) {
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	if seed {
		r.startFollowing(ctx)
		restarted = false
	}
	defer r.stopFollowing()
	go r.fetchReplicas(ctx, restarted)
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

// Recheck reads the store once after a pause of this process, so that a change made in the pause
// need not wait for a gossip round.
func (r *Relay) Recheck(ctx context.Context) {
	r.mirror.MarkStale()
	r.follower.Refresh(ctx)
}

// runRound exchanges state with the peers that should follow the store in this data centre, and
// with one peer of any data centre. Through the latter, a data centre that can't reach the store
// stays current.
func (r *Relay) runRound(ctx context.Context) {
	peers, joined := r.peers(), r.hasJoined()
	if !joined && r.skippedRounds > 0 {
		r.skippedRounds--
		return
	}
	hasFollower, responding := false, 0
	checks := r.shouldCheckFollower(peers)
	for _, p := range r.peersToDeferTo(peers) {
		if !checks {
			hasFollower = true
			break
		}
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
		_, responded := r.exchange(ctx, p)
		if !responded {
			r.markUnreachable(p)
		}
		// Until this instance is registered, its data centre's members may be too: any peer that
		// responds counts.
		hasFollower = hasFollower || responded && !joined
		r.backOffSeeds(responded && !joined)
	}
	if hasFollower {
		r.roundsWithoutFollower = 0
		if r.cancelFollow != nil && time.Since(r.followingSince) >= minFollowTime {
			r.stopFollowing()
		}
		return
	}
	requiredRounds := takeOverRounds
	if !joined {
		requiredRounds = takeOverRoundsAtStart
	}
	if r.roundsWithoutFollower++; r.roundsWithoutFollower >= requiredRounds<<responding {
		r.startFollowing(ctx)
	}
}

// followerCheckers is the number of instances of a data centre, the first ones by name, that ask its
// follower in each round whether it follows the store. As many of the others do on average. If all
// asked, a follower's connections, messages and memory would grow with its data centre.
const followerCheckers = 8

// shouldCheckFollower reports whether this instance asks its follower in this round. One that found
// none in its last check asks in each round, so that it can take over.
func (r *Relay) shouldCheckFollower(peers *Peers) bool {
	own := peers.byDataCentre[r.dataCentre]
	if r.cancelFollow != nil || r.roundsWithoutFollower > 0 || len(own) <= followerCheckers {
		return true
	}
	return own[followerCheckers-1].Name > r.name || rand.IntN(len(own)) < followerCheckers
}

// hasJoined reports whether this instance is registered as far as it knows, so that it knows the
// others that registered before it.
func (r *Relay) hasJoined() bool {
	_, known := r.mirror.AsOf(Fleet)
	return known && (r.joined == nil || r.joined())
}

// maxSkippedRounds bounds the rounds that an instance skips before it is registered.
const maxSkippedRounds = 8

// backOffSeeds skips rounds after an exchange with a seed, more after each. All instances of a fleet
// may start at once and know only the seeds.
func (r *Relay) backOffSeeds(waiting bool) {
	if !waiting {
		return
	}
	r.startExchanges++
	r.skippedRounds = rand.IntN(min(maxSkippedRounds, 1<<min(r.startExchanges, 8)))
}

// pushChange exchanges state with a few neighbours right after a change. Only an instance that
// follows the store pushes to other data centres: theirs have followers, too, and spread the change.
func (r *Relay) pushChange(ctx context.Context) {
	chosen := r.currentNeighbours(r.peers())
	targets := chosen.local
	if len(targets) == 0 || r.cancelFollow != nil {
		targets = append(targets, chosen.remote...)
	}
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	for _, p := range targets[:min(changeFanout, len(targets))] {
		go r.exchange(ctx, p)
	}
}

// currentNeighbours returns a copy of the neighbours that may be queried at present.
func (r *Relay) currentNeighbours(peers *Peers) neighbours {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.neighbours.refresh(peers, r.dataCentre, func(name string) bool { return !now.Before(r.unreachableUntil[name]) }, now)
	return neighbours{local: slices.Clone(r.neighbours.local), remote: slices.Clone(r.neighbours.remote)}
}

// exchange applies the changes that this instance lacks and the peer has, and sends the peer those
// that it lacks. It reports whether the peer follows the store and gets responses from it, and
// whether the peer responded.
func (r *Relay) exchange(ctx context.Context, p Peer) (following, ok bool) {
	return r.exchangeFor(ctx, p, r.versions(), exchangeTimeout)
}

// exchangeFor is exchange with the versions that this instance states, and a timeout.
func (r *Relay) exchangeFor(ctx context.Context, p Peer, versions []*mirrorpb.Version, timeout time.Duration) (following, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request := &mirrorpb.ExchangeRequest{
		From:        r.name,
		Versions:    versions,
		UnsettledMs: r.mirror.RegistrationGrace(time.Now()).Milliseconds(),
	}
	asked := time.Now()
	response, err := p.Relay.Exchange(ctx, request)
	if err != nil {
		r.logger.WithError(err).WithField("peer", p.Name).Debug("exchange with a peer failed; a later round repeats it")
		r.recordFollowing(p, false, false)
		return false, false
	}
	r.applyDeltas(response.Deltas, response.UnsettledMs)
	r.applyConfirmations(response.Versions)
	r.proveConfig(response.Versions, asked)
	r.recordFollowing(p, response.Following, response.Watching)
	if p.DataCentre == r.dataCentre {
		r.recordNamedFollower(response.Follower)
	} else {
		r.recordRemoteFollower(p.DataCentre, response.Follower)
	}
	if deltas := r.limitLists(r.missingDeltas(response.Versions)); len(deltas) > 0 {
		push := &mirrorpb.ExchangeRequest{From: r.name, Versions: r.versions(), Deltas: deltas}
		if _, err := p.Relay.Exchange(ctx, push); err != nil {
			// A later round repeats a lost push.
			r.logger.WithError(err).WithField("peer", p.Name).Debug("push of changes to a peer failed; a later round repeats it")
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
		Deltas:      r.limitLists(r.missingDeltas(request.Versions)),
		Following:   r.Following(),
		Watching:    r.Watching(),
		UnsettledMs: r.mirror.RegistrationGrace(now).Milliseconds(),
		Follower:    r.knownFollower(),
	}, nil
}

// applyConfirmations applies the times of the store's last responses to another instance, for the
// kinds whose version this mirror has reached.
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

// proveConfig applies what a peer responded about the age of the configuration to a question of this instance. A request
// of a peer proves nothing, since it may have been on the way, or unread, for any time.
func (r *Relay) proveConfig(versions []*mirrorpb.Version, asked time.Time) {
	for _, v := range versions {
		if Kind(v.Kind) == Config {
			r.mirror.prove(Config, asked, time.Duration(v.AgeMs)*time.Millisecond, store.Version(v.AsOf))
		}
	}
}

// chooseExchangePeer returns the additional peer of a round. Followers prefer each other, so that
// they need not repeat each other's store calls. A standby follower alternates between the watchers
// that it relies on, to detect their failure soon.
func (r *Relay) chooseExchangePeer(peers *Peers) (Peer, bool) {
	current := r.currentNeighbours(peers)
	chosen := current.all()
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
	if len(chosen) == 0 {
		return Peer{}, false
	}
	return chosen[rand.IntN(len(chosen))], true
}

// versions returns the versions of all kinds. While a registered instance does not know the replicas,
// it states the highest version of them, so that peers do not send the whole list: thousands of
// replicas take longer than an exchange may, and each of the peers would begin to send them. See
// fetchReplicas. Before it is registered the whole system may be starting, with few replicas.
func (r *Relay) versions() []*mirrorpb.Version {
	versions := r.knownVersions()
	if _, known := r.mirror.AsOf(Replicas); !known && r.hasJoined() {
		versions = append(versions, &mirrorpb.Version{Kind: string(Replicas), AsOf: math.MaxUint64})
	}
	return versions
}

// knownVersions returns the versions of the kinds that are known.
func (r *Relay) knownVersions() []*mirrorpb.Version {
	var versions []*mirrorpb.Version
	now := time.Now()
	for _, k := range Kinds {
		if asOf, age, known := r.mirror.version(k, now); known {
			versions = append(versions, &mirrorpb.Version{Kind: string(k), AsOf: uint64(asOf), AgeMs: age.Milliseconds()})
		}
	}
	return versions
}

const (
	// fetchTimeout bounds the transfer of the whole list of replicas from a peer: a megabyte, compressed,
	// over the slowest links in use, shared by a few transfers.
	fetchTimeout = 5 * time.Second
	// fetchInterval is the pause between two attempts to fetch the list.
	fetchInterval = 200 * time.Millisecond
	// maxFetchFailures is the number of peers that may fail before the list is read from the store.
	maxFetchFailures = 2
)

// fetchReplicas asks one peer after another for the whole list of replicas until it is known, once
// this instance is registered. A restarted instance reads the store first.
func (r *Relay) fetchReplicas(ctx context.Context, restarted bool) {
	if restarted {
		r.follower.RefreshAtStart(ctx)
	}
	failures, sampledAt := 0, time.Now()
	for ; ctx.Err() == nil; sleep(ctx, fetchInterval) {
		if _, known := r.mirror.AsOf(Replicas); known {
			return
		}
		if restarted && time.Since(sampledAt) >= r.mirror.timing.checkInterval {
			sampledAt = time.Now()
			if err := r.follower.SampleReplicas(ctx); err != nil {
				r.logger.WithError(err).Debug("sample of the replicas not read; the present one stays")
			}
		}
		if !r.hasJoined() {
			continue
		}
		if failures >= maxFetchFailures {
			failures = 0
			r.follower.refresh(ctx, Replicas)
			continue
		}
		current := r.currentNeighbours(r.peers())
		chosen := current.local
		if len(chosen) == 0 {
			chosen = current.remote
		}
		if len(chosen) == 0 {
			continue
		}
		p := chosen[rand.IntN(len(chosen))]
		if _, ok := r.exchangeFor(ctx, p, r.knownVersions(), fetchTimeout); !ok {
			r.logger.WithField("peer", p.Name).Info("list of replicas not received from a peer; asking another one")
			r.markUnreachable(p)
			failures++
		}
	}
}

// missingDeltas returns the changes that an instance with these versions lacks.
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

// maxListedEntries is the number of entries per second that whole lists sent to peers may have, and at
// once. A list of thousands takes several megabytes until it is sent, and at a start many peers ask.
const maxListedEntries = 20000

// limitLists removes whole lists beyond maxListedEntries. Their receiver asks again, or another peer.
func (r *Relay) limitLists(deltas []*mirrorpb.Delta) []*mirrorpb.Delta {
	return slices.DeleteFunc(deltas, func(d *mirrorpb.Delta) bool {
		return d.Full && !r.lists.AllowN(time.Now(), min(maxListedEntries, len(d.Entries)))
	})
}

func (r *Relay) applyDeltas(deltas []*mirrorpb.Delta, graceMs int64) {
	// An instance that was isolated mistakes its own return for the end of a store outage, and
	// announces a registration grace. Instances that kept contact with the store must not retain
	// removed replicas because of that.
	if graceMs > 0 && r.mirror.EntriesMayHaveExpired(Replicas, time.Now()) {
		r.mirror.SetRegistrationGrace(time.Now().Add(time.Duration(graceMs) * time.Millisecond))
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
