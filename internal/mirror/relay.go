package mirror

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
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
	relayEvery = 300 * time.Millisecond
	// relayTime bounds one exchange.
	relayTime = 400 * time.Millisecond
	// fanOut is the number of peers that hear of a change at once.
	fanOut = 3
	// silentRounds is how many rounds in a row the instances that should follow
	// the store must be silent before this one does it.
	silentRounds = 2
	// askMost bounds the instances that are asked in a round whether they follow.
	// Each of them that lives and is not answered doubles the rounds that this
	// one waits: while the store is away a few instances of a data centre call
	// it, and not all of a fleet four times a second each.
	askMost = 4
	// unreachedFor is how long an instance that did not answer is not asked.
	unreachedFor = 3 * time.Second
	// silentRoundsAtStart is the same for an instance that has heard of no
	// other yet: all start at once, and those at the seeds' addresses may be late.
	silentRoundsAtStart = 4
	// followsLeast is how long an instance follows at least, so that two that
	// hear of each other by turns do not both start and stop.
	followsLeast = 2 * time.Second
	// lostMost is how long the store may not answer a follower that others rely on.
	lostMost = 700 * time.Millisecond
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

	wake chan struct{}

	mu sync.Mutex
	// followers are the peers that follow the store, by their last word.
	followers map[string]Peer

	// told is a peer that another named as follower and that was not yet asked.
	told *Peer
	// unreached are the peers that did not answer, by when they may be asked again.
	unreached map[string]time.Time
	// silent counts the rounds in which no other follower of the data centre answered.
	silent      int
	followStop  context.CancelFunc
	followDone  chan struct{}
	followSince time.Time
}

var _ mirrorpb.Relay = (*Relay)(nil)

// NewRelay returns a relay that is not yet running. peers returns the other
// instances known now.
func NewRelay(name, dataCentre string, m *Mirror, f *Follower, peers func() []Peer, logger log.Interface) *Relay {
	r := &Relay{
		name:       name,
		dataCentre: dataCentre,
		mirror:     m,
		follower:   f,
		peers:      peers,
		logger:     logger,
		wake:       make(chan struct{}, 1),
		followers:  map[string]Peer{},
		unreached:  map[string]time.Time{},
	}
	m.OnChange(func(Kind) {
		select {
		case r.wake <- struct{}{}:
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
	ticker := time.NewTicker(relayEvery)
	defer ticker.Stop()
	switch {
	case seed:
		r.follow(ctx)
	case restarted:
		go r.follower.Look(ctx)
	}
	defer r.unfollow()
	for {
		select {
		case <-ticker.C:
			r.round(ctx)
		case <-r.wake:
			r.spread(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// Recheck reads the store once, after a pause of this process: a change that was
// made meanwhile must not wait for a peer that happens to tell of it.
func (r *Relay) Recheck(ctx context.Context) {
	r.mirror.Doubt()
	r.follower.Look(ctx)
}

// round talks to those that should follow the store here, and to one peer of
// any data centre, through which a data centre without the store stays current.
func (r *Relay) round(ctx context.Context) {
	peers := r.peers()
	better, trying := false, 0
	for _, p := range r.before(peers) {
		following, ok := r.exchange(ctx, p)
		if !ok {
			r.noteUnreached(p)
			continue
		}
		trying++
		if following {
			better = true
			break
		}
	}
	if p, ok := r.partner(peers); ok {
		_, answered := r.exchange(ctx, p)
		// Before the others of the data centre are known, any that answers will do.
		_, known := r.mirror.AsOf(Fleet)
		better = better || answered && !known
	}
	if better {
		r.silent = 0
		if r.followStop != nil && time.Since(r.followSince) >= followsLeast {
			r.unfollow()
		}
		return
	}
	patience := silentRounds
	if _, known := r.mirror.AsOf(Fleet); !known {
		patience = silentRoundsAtStart
	}
	if r.silent++; r.silent >= patience<<trying {
		r.follow(ctx)
	}
}

// before returns the peers that this instance leaves the store to while they
// follow it: those of the data centre that should do so sooner, the first of all
// first. Where those can't, others have taken over; of these the first by name
// goes on, and one that does not follow leaves it to any.
func (r *Relay) before(peers []Peer) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.sooner(peers)
	if p, ok := r.firstFollower(); ok && r.leavesTo(p) {
		before = append([]Peer{p}, before...)
	}
	if r.told != nil && r.leavesTo(*r.told) {
		before = append([]Peer{*r.told}, before...)
	}
	r.told = nil
	return before
}

// leavesTo reports whether this instance leaves the store to p while p follows it.
func (r *Relay) leavesTo(p Peer) bool { return r.followStop == nil || p.Name < r.name }

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

func (r *Relay) sooner(peers []Peer) []Peer {
	var before []Peer
	now := time.Now()
	for _, p := range peers {
		if p.DataCentre == r.dataCentre && p.Name < r.name && now.After(r.unreached[p.Name]) {
			before = append(before, p)
		}
	}
	slices.SortFunc(before, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	return before[:min(askMost, len(before))]
}

// spread tells some peers of a change at once.
func (r *Relay) spread(ctx context.Context) {
	peers := r.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers[:min(fanOut, len(peers))] {
		go r.exchange(ctx, p)
	}
}

func (r *Relay) follow(ctx context.Context) {
	if r.followStop != nil {
		return
	}
	r.logger.Info("following the store")
	ctx, cancel := context.WithCancel(ctx)
	r.followStop, r.followSince = cancel, time.Now()
	done := make(chan struct{})
	r.followDone = done
	go func() {
		defer close(done)
		r.follower.Run(ctx)
	}()
}

func (r *Relay) unfollow() {
	if r.followStop == nil {
		return
	}
	r.logger.Info("leaving the store to others")
	r.followStop()
	<-r.followDone
	r.followStop = nil
}

// exchange takes what the peer knows and this instance does not, and gives it
// what it lacks. It reports whether the peer follows the store and is answered.
func (r *Relay) exchange(ctx context.Context, p Peer) (following, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, relayTime)
	defer cancel()
	request := &mirrorpb.ExchangeRequest{
		From:        r.name,
		Versions:    r.versions(),
		UnsettledMs: r.mirror.Unsettled(time.Now()).Milliseconds(),
	}
	response, err := p.Relay.Exchange(ctx, request)
	if err != nil {
		r.logger.WithError(err).WithField("peer", p.Name).Debug("not exchanged")
		r.noteFollowing(p, false)
		return false, false
	}
	r.take(response.Deltas, response.UnsettledMs)
	r.confirm(response.Versions)
	r.noteFollowing(p, response.Following)
	if p.DataCentre == r.dataCentre {
		r.noteTold(response.Follower)
	}
	if deltas := r.lacking(response.Versions); len(deltas) > 0 {
		push := &mirrorpb.ExchangeRequest{From: r.name, Versions: r.versions(), Deltas: deltas}
		if _, err := p.Relay.Exchange(ctx, push); err != nil {
			// A lost push is made good by a later round.
			r.logger.WithError(err).WithField("peer", p.Name).Debug("not passed on")
		}
	}
	return response.Following, true
}

// Following reports whether this instance follows the store and is answered.
func (r *Relay) Following() bool {
	return r.follower.Active() && r.follower.LostFor(time.Now()) < lostMost
}

// Exchange implements mirrorpb.Relay.
func (r *Relay) Exchange(_ context.Context, request *mirrorpb.ExchangeRequest) (*mirrorpb.ExchangeResponse, error) {
	r.take(request.Deltas, request.UnsettledMs)
	r.confirm(request.Versions)
	now := time.Now()
	return &mirrorpb.ExchangeResponse{
		Versions:    r.versions(),
		Deltas:      r.lacking(request.Versions),
		Following:   r.Following(),
		UnsettledMs: r.mirror.Unsettled(now).Milliseconds(),
		Follower:    r.knownFollower(),
	}, nil
}

// confirm takes in when the store spoke last to another instance, of what this
// one holds too.
func (r *Relay) confirm(versions []*mirrorpb.Version) {
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

func (r *Relay) noteFollowing(p Peer, following bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if following {
		r.followers[p.Name] = p
		return
	}
	delete(r.followers, p.Name)
}

func (r *Relay) noteUnreached(p Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreached[p.Name] = time.Now().Add(unreachedFor)
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
func (r *Relay) noteTold(name string) {
	if name == "" || name == r.name || !r.unheard(name) {
		return
	}
	for _, p := range r.peers() {
		if p.Name == name && p.DataCentre == r.dataCentre {
			r.mu.Lock()
			r.told = &p
			r.mu.Unlock()
			return
		}
	}
}

// unheard reports whether nothing is known yet of the peer, which should answer.
func (r *Relay) unheard(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.followers[name]
	return !known && time.Now().After(r.unreached[name])
}

// partner chooses whom to exchange with in a round. Followers often choose each
// other, so that what one of them has asked the store the others need not ask.
func (r *Relay) partner(peers []Peer) (Peer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.followStop != nil && len(r.followers) > 0 && rand.IntN(4) > 0 {
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
func (r *Relay) lacking(versions []*mirrorpb.Version) []*mirrorpb.Delta {
	known := map[Kind]store.Version{}
	for _, v := range versions {
		known[Kind(v.Kind)] = store.Version(v.AsOf)
	}
	var deltas []*mirrorpb.Delta
	for _, k := range Kinds {
		from, ok := known[k]
		if d, lacks := r.mirror.Since(k, from, ok); lacks {
			deltas = append(deltas, wireDelta(d))
		}
	}
	return deltas
}

func (r *Relay) take(deltas []*mirrorpb.Delta, unsettledMs int64) {
	// An instance that was cut off takes its own return for the store's. Those that
	// heard the store all along must not hold removed replicas for its word.
	if unsettledMs > 0 && r.mirror.AfterOutage(Replicas, time.Now()) {
		r.mirror.SetUnsettled(time.Now().Add(time.Duration(unsettledMs) * time.Millisecond))
	}
	for _, d := range deltas {
		if k := Kind(d.Kind); slices.Contains(Kinds, k) {
			r.mirror.Apply(Delta{
				Kind:    k,
				Full:    d.Full,
				From:    store.Version(d.From),
				AsOf:    store.Version(d.AsOf),
				Entries: entries(d.Entries),
				Removed: entries(d.Removed),
			})
		}
	}
}

func wireDelta(d Delta) *mirrorpb.Delta {
	return &mirrorpb.Delta{
		Kind:    string(d.Kind),
		Full:    d.Full,
		From:    uint64(d.From),
		AsOf:    uint64(d.AsOf),
		Entries: wireEntries(d.Entries),
		Removed: wireEntries(d.Removed),
	}
}

func wireEntries(list []Entry) []*mirrorpb.Entry {
	out := make([]*mirrorpb.Entry, 0, len(list))
	for _, e := range list {
		out = append(out, &mirrorpb.Entry{Name: e.Name, Revision: uint64(e.Revision), Value: e.Value})
	}
	return out
}

func entries(list []*mirrorpb.Entry) []Entry {
	out := make([]Entry, 0, len(list))
	for _, e := range list {
		out = append(out, Entry{Name: e.Name, Revision: store.Version(e.Revision), Value: e.Value})
	}
	return out
}
