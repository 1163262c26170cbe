package node

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/history"
	"foxhall/internal/history/historypb"
	"foxhall/internal/httpconn"
	"foxhall/internal/mirror"
	"foxhall/internal/mirror/mirrorpb"
	"foxhall/internal/netdial"
	"foxhall/internal/quarantine"
	"foxhall/internal/store"
)

const (
	// instancePrefix begins the names of the objects by which instances find each other.
	// assignmentName is the name of the object that assigns shards to keepers.
	instancePrefix = "instance-"
	assignmentName = "assignment"
	// peerIdleTimeout is how long an unused connection between instances is kept.
	peerIdleTimeout = time.Minute
	// registrationDelay is the delay before an instance registers, since its present registration may
	// not have reached the mirror yet. registrationInterval is how often it checks that the
	// registration exists.
	registrationDelay = 300 * time.Millisecond
	// registrationConfirmTime is how long a written registration may take to reach the mirror. At the
	// start of a large fleet it takes seconds, and a second write would only conflict.
	registrationConfirmTime = 5 * time.Second
	registrationInterval    = 10 * time.Second
	// staleTimeout is how long an instance may send nothing before its registration is removed. It
	// is longer than network partitions between data centres last.
	staleTimeout       = 30 * time.Minute
	staleCheckInterval = time.Minute
)

// member is an instance as it is registered in the store.
type member struct {
	Name       string `json:"name"`
	IP         string `json:"ip"`
	DataCentre string `json:"data_centre"`
	// Entry is true for an instance that takes callers' calls, Keeper for one that has a disk.
	Entry  bool `json:"entry"`
	Keeper bool `json:"keeper"`
}

// fleet holds what this instance knows of the other instances, and its clients of them.
type fleet struct {
	settings *Settings
	mirror   *mirror.Mirror
	objects  Objects
	client   *http.Client
	// isReachable reports whether an instance has sent something recently. It returns true for an
	// instance that never did, of which nothing is known.
	isReachable func(name string) bool
	// onSilence calls f if the instance becomes unresponsive before stop is called.
	onSilence func(name string, f func()) (stop func())
	// isSilent reports whether an instance has sent nothing recently, and whether this instance has
	// listened long enough to know.
	isSilent func(name string) (silent, known bool)
	// isIsolated reports whether this instance has had no recent contact with any other data
	// centre.
	isIsolated func() bool
	// contactedWithin reports whether an instance has sent something within a time.
	contactedWithin func(name string, within time.Duration) bool
	// followsStore reports whether this instance asks the store itself for changes.
	followsStore func() bool
	// broadcast sends a keeper's status to other keepers.
	broadcast func(status []byte, keepers []*net.UDPAddr)
	logger    log.Interface

	// feed reports the changed registrations. members holds the registered instances by name, and
	// latestAssignment the last decoded assignment. Only the refreshing goroutine uses them.
	feed             *mirror.Feed
	members          map[string]member
	latestAssignment decodedAssignment
	// holders are the keepers that the latest assignment names.
	holders map[string]bool

	// current is derived from members whenever they change, since each call and each datagram needs
	// a part of it.
	current atomic.Pointer[membership]
	// standing is what the others know of this instance.
	standing standing
	// listens and receives are set once this instance has listened for other instances' connections and datagrams.
	listens, receives *latch
	// listening is true while the listener for other instances' connections is open.
	listening atomic.Bool

	mu            sync.Mutex
	keeperClients map[string]historypb.Keeper
	relayClients  map[string]mirrorpb.Relay
}

// decodedAssignment is the assignment of shards as of a revision; ok is false if it can't be
// decoded.
type decodedAssignment struct {
	revision   store.Version
	assignment history.Assignment
	ok         bool
}

func newFleet(s *Settings, m *mirror.Mirror, o Objects, logger log.Interface, registry metrics.Registry) *fleet {
	transport := &http.Transport{
		DialContext:         netdial.Dial,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     peerIdleTimeout,
	}
	bounded := httpconn.NewBoundedTransport(transport, maxPeerBytes, oversizedPeerBodies(registry))
	f := &fleet{
		settings:      s,
		mirror:        m,
		objects:       o,
		logger:        logger,
		client:        &http.Client{Transport: fleetTransport{bounded, s.Fleet}},
		feed:          m.NewFeed(mirror.Fleet),
		members:       map[string]member{s.Instance: selfOf(s)},
		keeperClients: map[string]historypb.Keeper{},
		relayClients:  map[string]mirrorpb.Relay{},
		listens:       newLatch(),
		receives:      newLatch(),
	}
	f.current.Store(f.newMembership())
	return f
}

// decodeMember decodes an instance's registration.
func decodeMember(e mirror.Entry) (member, bool) {
	var m member
	ok := strings.HasPrefix(e.Name, instancePrefix) && json.Unmarshal(e.Value, &m) == nil && m.Name != ""
	return m, ok
}

func (f *fleet) self() member { return selfOf(f.settings) }

func selfOf(s *Settings) member {
	return member{
		Name:       s.Instance,
		IP:         s.IP,
		DataCentre: s.DataCentre,
		Entry:      s.CallersAddress != "",
		Keeper:     s.DataFolder != "",
	}
}

// refresh applies the changes of the registered instances.
func (f *fleet) refresh() {
	entries, removed := f.feed.Take()
	changed := false
	for _, e := range entries {
		if m, ok := decodeMember(e); ok {
			changed = f.setMember(m) || changed
		} else {
			removed = append(removed, e.Name)
		}
	}
	for _, name := range removed {
		changed = f.removeMember(strings.TrimPrefix(name, instancePrefix)) || changed
	}
	if changed {
		f.current.Store(f.newMembership())
	}
	f.refreshStanding(time.Now())
}

// setMember adds or replaces a member and reports whether it changed. What this instance is follows
// from its settings alone.
func (f *fleet) setMember(m member) (changed bool) {
	if m.Name == f.settings.Instance || f.members[m.Name] == m {
		return false
	}
	f.members[m.Name] = m
	return true
}

func (f *fleet) removeMember(name string) (changed bool) {
	if _, known := f.members[name]; !known || name == f.settings.Instance {
		return false
	}
	delete(f.members, name)
	return true
}

// entryCount returns the number of instances that take callers' calls.
func (f *fleet) entryCount() int { return f.current.Load().entryCount }

// turn returns this instance's turn among those that take callers' calls.
func (f *fleet) turn() quarantine.Turn {
	v := f.current.Load()
	return quarantine.Turn{Index: v.entryIndex, Count: v.entryCount}
}

// countAliveEntries returns the number of entries for which isAlive holds and the number of all
// entries, both including this instance.
func (f *fleet) countAliveEntries(isAlive func(member) bool) (alive, all int) {
	alive, all = 1, 1
	for _, m := range f.others() {
		if !m.Entry {
			continue
		}
		all++
		if isAlive(m) {
			alive++
		}
	}
	return alive, all
}

// dataCentres returns the names of the data centres that have instances. Callers must not modify
// the slice.
func (f *fleet) dataCentres() []string { return f.current.Load().dataCentres }

// dataCentreOf returns the data centre of an instance, or "" if the instance is unknown.
func (f *fleet) dataCentreOf(name string) string { return f.current.Load().members[name].DataCentre }

// entryAddresses returns the datagram addresses of the other instances that take callers' calls.
// Callers must not modify the slice.
func (f *fleet) entryAddresses() []*net.UDPAddr { return f.current.Load().entryAddresses }

// candidates returns the instances that have a disk, sorted by name.
func (f *fleet) candidates() []history.Candidate { return slices.Clone(f.current.Load().candidates) }

// peers returns the other instances, or those at the seeds' addresses while no others are known.
func (f *fleet) peers() *mirror.Peers { return f.current.Load().peers }

// relayClient returns the client of the instance at an IP address. The caller holds the lock.
func (f *fleet) relayClient(ip string) mirrorpb.Relay {
	if f.relayClients[ip] == nil {
		f.relayClients[ip] = mirrorpb.NewRelayProtobufClient("http://"+f.settings.peerAddress(ip), f.client)
	}
	return f.relayClients[ip]
}

// keeperClient returns a client of the named keeper.
func (f *fleet) keeperClient(name string) (historypb.Keeper, bool) {
	m, ok := f.current.Load().members[name]
	if !ok {
		return nil, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.keeperClientAt("http://" + f.settings.peerAddress(m.IP)), true
}

// keeperClientAt returns the client for a base URL. The caller holds the lock.
func (f *fleet) keeperClientAt(base string) historypb.Keeper {
	if f.keeperClients[base] == nil {
		f.keeperClients[base] = historypb.NewKeeperProtobufClient(base, f.client)
	}
	return f.keeperClients[base]
}

// Keeper implements history.Keepers. An unreachable keeper is called through another entry: a
// network partition may separate this instance from the keeper, but not from other entries, nor
// those from the keeper.
func (f *fleet) Keeper(name string) (historypb.Keeper, bool) {
	direct, ok := f.keeperClient(name)
	if !ok || f.isReachable(name) {
		return direct, ok
	}
	// isReachable is called without the lock held, since it may need the same lock.
	var others []member
	for _, m := range f.others() {
		if m.Entry && f.isReachable(m.Name) {
			others = append(others, m)
		}
	}
	if len(others) == 0 {
		return nil, false
	}
	other := others[rand.IntN(len(others))]
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.keeperClientAt("http://" + f.settings.peerAddress(other.IP) + viaPath + name), true
}

// OnSilence implements history.Keepers. A keeper that is unreachable already is called through
// another entry, whose silence is not watched.
func (f *fleet) OnSilence(name string, callback func()) (stop func()) {
	if !f.isReachable(name) {
		return func() {}
	}
	return f.onSilence(name, callback)
}

// Isolated implements history.Keepers.
func (f *fleet) Isolated() bool { return f.isIsolated() }

// viaPath is the path prefix under which an entry forwards calls to a keeper.
const viaPath = "/via/"

// forwardToKeeper forwards a call to the keeper named in its path. If the keeper is unreachable
// from this entry too, it responds at once with status 503, and the sender tries another entry.
func (f *fleet) forwardToKeeper(w http.ResponseWriter, r *http.Request) {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, viaPath), "/")
	keeper, ok := f.keeperClient(name)
	if !ok || !f.isReachable(name) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	http.StripPrefix(viaPath+name, historypb.NewKeeperServer(keeper)).ServeHTTP(w, r)
}

var errNoInstance = errors.New("node: no such instance")

// Append implements history.Peers.
func (f *fleet) Append(ctx context.Context, name string, r *historypb.AppendRequest) (*historypb.AppendResponse, error) {
	k, ok := f.keeperClient(name)
	if !ok {
		return nil, errNoInstance
	}
	return k.Append(ctx, r)
}

// Status implements history.Peers.
func (f *fleet) Status(ctx context.Context, name string, r *historypb.StatusRequest) (*historypb.StatusResponse, error) {
	k, ok := f.keeperClient(name)
	if !ok {
		return nil, errNoInstance
	}
	return k.Status(ctx, r)
}

// Fetch implements history.Peers.
func (f *fleet) Fetch(ctx context.Context, name string, r *historypb.FetchRequest) (*historypb.FetchResponse, error) {
	k, ok := f.keeperClient(name)
	if !ok {
		return nil, errNoInstance
	}
	return k.Fetch(ctx, r)
}

// List implements history.Peers.
func (f *fleet) List(ctx context.Context, name string, r *historypb.ListRequest) (*historypb.ListResponse, error) {
	k, ok := f.keeperClient(name)
	if !ok {
		return nil, errNoInstance
	}
	return k.List(ctx, r)
}

var assignmentKey = store.Key{Kind: string(mirror.Fleet), Name: assignmentName}

// Read implements history.Assignments.
func (f *fleet) Read(ctx context.Context) (history.Assignment, store.Version, error) {
	object, err := f.objects.Get(ctx, assignmentKey)
	if errors.Is(err, store.ErrNotFound) {
		return history.Assignment{}, 0, nil
	}
	if err != nil {
		return history.Assignment{}, 0, err
	}
	a, err := history.DecodeAssignment(object.Value)
	return a, object.Version, err
}

// Write implements history.Assignments.
func (f *fleet) Write(ctx context.Context, a history.Assignment, base store.Version) (history.Assignment, store.Version, error) {
	data, err := a.Encode()
	if err != nil {
		return history.Assignment{}, 0, err
	}
	version, err := f.objects.Put(ctx, assignmentKey, data, base)
	var conflict *store.Conflict
	if !errors.As(err, &conflict) {
		return a, version, err
	}
	present, decodeErr := history.DecodeAssignment(conflict.Current.Value)
	if decodeErr != nil {
		f.logger.WithError(decodeErr).Error("assignment of shards can't be decoded; ignored")
		return history.Assignment{}, 0, err
	}
	return present, conflict.Current.Version, err
}

// assignment returns the newest assignment in the mirror. One that can't be decoded changes nothing.
func (f *fleet) assignment() (history.Assignment, store.Version, bool) {
	e, exists := f.mirror.Get(mirror.Fleet, assignmentName)
	if !exists {
		return history.Assignment{}, 0, false
	}
	latest := &f.latestAssignment
	if latest.revision != e.Revision {
		a, err := history.DecodeAssignment(e.Value)
		if err != nil {
			f.logger.WithError(err).WithField("revision", uint64(e.Revision)).Error("assignment of shards can't be decoded; ignored")
		}
		*latest = decodedAssignment{revision: e.Revision, assignment: a, ok: err == nil}
		if holders := a.Holders(); err == nil && !maps.Equal(holders, f.holders) {
			f.holders = holders
			f.current.Store(f.newMembership())
		}
	}
	return latest.assignment, latest.revision, latest.ok
}

// register keeps this instance registered in the store, so that others find it, until ctx ends. It
// writes only when the registration is missing or differs, and once other instances can reach this one: they would
// count it as one that is lost.
func (f *fleet) register(ctx context.Context) {
	self := f.self()
	key := store.Key{Kind: string(mirror.Fleet), Name: instancePrefix + self.Name}
	value, err := json.Marshal(self)
	if err != nil {
		panic(errors.Wrap(err, "registration can't be encoded"))
	}
	f.awaitReachability(ctx)
	for ctx.Err() == nil {
		if f.isRegistered(self, key.Name) {
			sleep(ctx, registrationInterval)
			continue
		}
		sleep(ctx, registrationDelay)
		if _, known := f.mirror.AsOf(mirror.Fleet); !known || f.isRegistered(self, key.Name) {
			continue
		}
		e, _ := f.mirror.Get(mirror.Fleet, key.Name)
		if _, err := f.objects.Put(ctx, key, value, e.Revision); err != nil {
			f.logger.WithError(err).Warn("registration of this instance in the store failed; will retry")
			continue
		}
		sleep(ctx, registrationConfirmTime)
	}
}

// isJoined reports whether this instance is registered as far as it knows.
func (f *fleet) isJoined() bool {
	e, exists := f.mirror.Get(mirror.Fleet, instancePrefix+f.settings.Instance)
	return exists && len(e.Value) > 0
}

func (f *fleet) isRegistered(self member, name string) bool {
	e, exists := f.mirror.Get(mirror.Fleet, name)
	var listed member
	return exists && json.Unmarshal(e.Value, &listed) == nil && listed == self
}

// removeStale removes the registrations of instances that have sent nothing for staleTimeout, which
// happens when they are replaced under other names. A live instance registers again. Only a
// follower does this, so that the number of store calls does not grow with the fleet.
func (f *fleet) removeStale(ctx context.Context, following func() bool, contactedWithin func(name string, within time.Duration) bool) {
	firstSeen := map[string]time.Time{}
	for sleep(ctx, staleCheckInterval); ctx.Err() == nil; sleep(ctx, staleCheckInterval) {
		for _, m := range f.others() {
			if firstSeen[m.Name].IsZero() {
				firstSeen[m.Name] = time.Now()
			}
			if !following() || time.Since(firstSeen[m.Name]) < staleTimeout || contactedWithin(m.Name, staleTimeout) {
				continue
			}
			key := store.Key{Kind: string(mirror.Fleet), Name: instancePrefix + m.Name}
			e, ok := f.mirror.Get(mirror.Fleet, key.Name)
			if !ok {
				continue
			}
			err := f.objects.Delete(ctx, key, e.Revision)
			f.logger.WithField("gone", m.Name).WithField("deleted", err == nil).Info("stale instance: tried to remove its registration")
		}
	}
}

// others returns the other instances. Callers must not modify the slice.
func (f *fleet) others() []member { return f.current.Load().others }

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
