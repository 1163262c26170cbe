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
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"foxhall/internal/history"
	"foxhall/internal/history/historypb"
	"foxhall/internal/mirror"
	"foxhall/internal/mirror/mirrorpb"
	"foxhall/internal/netdial"
	"foxhall/internal/store"
)

const (
	// instancePrefix begins the names of the objects by which instances find
	// each other; assignmentName is the one that tells who holds which slice.
	instancePrefix = "instance-"
	assignmentName = "assignment"
	// peerIdle is how long a connection between instances is kept without use.
	peerIdleTimeout = time.Minute
	// registerPause is the pause before an instance registers: its entry may be
	// on its way. registerEvery is how often it looks whether it is still there.
	registrationDelay    = 300 * time.Millisecond
	registrationInterval = 10 * time.Second
	// forgetAfter is how long an instance may be silent before its entry is
	// removed: longer than data centres lose each other.
	staleTimeout       = 30 * time.Minute
	staleCheckInterval = time.Minute
)

// member is an instance as it is registered in the store.
type member struct {
	Name       string `json:"name"`
	IP         string `json:"ip"`
	DataCentre string `json:"data_centre"`
	// Entry says that it takes callers, Keeper that it has a disk.
	Entry  bool `json:"entry"`
	Keeper bool `json:"keeper"`
}

// fleet is what this instance knows of the others.
type fleet struct {
	settings *Settings
	mirror   *mirror.Mirror
	objects  Objects
	client   *http.Client
	// hears reports whether an instance was heard from lately.
	isReachable func(name string) bool
	// whenSilent has f called should an instance fall silent before stop is called.
	onSilence func(name string, f func()) (stop func())
	// misses reports whether an instance was not heard from lately, and whether
	// this one can tell.
	isSilent func(name string) (misses, known bool)
	// cutOff reports whether this instance hears nobody beyond its data centre.
	isIsolated func() bool
	// tell sends a keeper's standing to other keepers.
	broadcast func(standing []byte, keepers []*net.UDPAddr)
	logger    log.Interface

	// listed and assigned are what the mirror's entries decode to. The goroutine that
	// refreshes uses them.
	decodedMembers    *decodeCache[member]
	decodedAssignment *decodeCache[history.Assignment]

	mu      sync.Mutex
	members map[string]member
	// centres are the data centres of the members, which each call asks for.
	dataCentreNames []string
	keeperClients   map[string]historypb.Keeper
	relayClients    map[string]mirrorpb.Relay
}

func newFleet(s *Settings, m *mirror.Mirror, o Objects, logger log.Interface) *fleet {
	transport := &http.Transport{
		DialContext:         netdial.Dial,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     peerIdleTimeout,
		DisableCompression:  true,
	}
	f := &fleet{
		settings:       s,
		mirror:         m,
		objects:        o,
		logger:         logger,
		client:         &http.Client{Transport: transport},
		decodedMembers: newDecodeCache(decodeMember),
		members:        map[string]member{},
		keeperClients:  map[string]historypb.Keeper{},
		relayClients:   map[string]mirrorpb.Relay{},
	}
	f.decodedAssignment = newDecodeCache(f.decodeAssignment)
	return f
}

// decodeMember reads an instance's entry.
func decodeMember(e mirror.Entry) (member, bool) {
	var m member
	ok := strings.HasPrefix(e.Name, instancePrefix) && json.Unmarshal(e.Value, &m) == nil && m.Name != ""
	return m, ok
}

// decodeAssignment reads the assignment of slices. One that can't be read changes nothing.
func (f *fleet) decodeAssignment(e mirror.Entry) (history.Assignment, bool) {
	a, err := history.DecodeAssignment(e.Value)
	if err != nil {
		f.logger.WithError(err).WithField("revision", uint64(e.Revision)).Error("assignment not readable")
	}
	return a, err == nil
}

func (f *fleet) self() member {
	return member{
		Name:       f.settings.Instance,
		IP:         f.settings.IP,
		DataCentre: f.settings.DataCentre,
		Entry:      f.settings.Callers != "",
		Keeper:     f.settings.DataFolder != "",
	}
}

// refresh takes in the registered instances.
func (f *fleet) refresh() {
	members := map[string]member{}
	for _, m := range f.decodedMembers.all(f.mirror.Entries(mirror.Fleet)) {
		members[m.Name] = m
	}
	members[f.settings.Instance] = f.self()
	dataCentres := map[string]bool{}
	for _, m := range members {
		dataCentres[m.DataCentre] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members, f.dataCentreNames = members, slices.Sorted(maps.Keys(dataCentres))
}

// entries returns the number of instances that take callers.
func (f *fleet) entryCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, m := range f.members {
		if m.Entry {
			n++
		}
	}
	return n
}

// heardEntries returns how many of the instances that take callers are heard, and how many
// there are, this one included.
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

// dataCentres returns those that have instances. The list is not to be changed.
func (f *fleet) dataCentres() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dataCentreNames
}

// datagramAddresses returns where the other entries take datagrams.
func (f *fleet) entryAddresses() []*net.UDPAddr {
	return f.addressesOf(func(m member) bool { return m.Entry })
}

// addresses returns where those of the other instances take datagrams.
func (f *fleet) addressesOf(include func(member) bool) []*net.UDPAddr {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*net.UDPAddr
	for _, m := range f.members {
		if m.Name != f.settings.Instance && include(m) {
			list = append(list, &net.UDPAddr{IP: net.ParseIP(m.IP), Port: f.settings.PeerPort})
		}
	}
	return list
}

// candidates returns the instances that have a disk, by name.
func (f *fleet) candidates() []history.Candidate {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []history.Candidate
	for _, m := range f.members {
		if m.Keeper {
			list = append(list, history.Candidate{Name: m.Name, DataCentre: m.DataCentre})
		}
	}
	slices.SortFunc(list, func(a, b history.Candidate) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// peers returns the other instances, and those at the seeds' addresses while
// no others are known.
func (f *fleet) peers() []mirror.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []mirror.Peer
	for _, m := range f.members {
		if m.Name != f.settings.Instance {
			list = append(list, mirror.Peer{Name: m.Name, DataCentre: m.DataCentre, Relay: f.relayClient(m.IP)})
		}
	}
	if len(list) > 0 {
		return list
	}
	for _, ip := range f.settings.Seeds {
		if ip != f.settings.IP {
			list = append(list, mirror.Peer{Name: ip, Relay: f.relayClient(ip)})
		}
	}
	return list
}

// relay returns the client of the instance at the IP number; the lock is held.
func (f *fleet) relayClient(ip string) mirrorpb.Relay {
	if f.relayClients[ip] == nil {
		f.relayClients[ip] = mirrorpb.NewRelayProtobufClient("http://"+f.settings.peerAddress(ip), f.client)
	}
	return f.relayClients[ip]
}

// keeper returns a client of the keeper of that name.
func (f *fleet) keeperClient(name string) (historypb.Keeper, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[name]
	if !ok {
		return nil, false
	}
	return f.keeperClientAt("http://" + f.settings.peerAddress(m.IP)), true
}

// keeperAt returns the client at a base URL; the lock is held.
func (f *fleet) keeperClientAt(base string) historypb.Keeper {
	if f.keeperClients[base] == nil {
		f.keeperClients[base] = historypb.NewKeeperProtobufClient(base, f.client)
	}
	return f.keeperClients[base]
}

// Keeper implements history.Keepers. A keeper that this instance no longer
// hears is asked through another entry: the way to the keepers may be cut while
// the ways to the other entries, and theirs to the keepers, stand.
func (f *fleet) Keeper(name string) (historypb.Keeper, bool) {
	direct, ok := f.keeperClient(name)
	if !ok || f.isReachable(name) {
		return direct, ok
	}
	// No lock is held while it is asked whom this instance hears.
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

// WhenSilent implements history.Keepers. One that is not heard already is asked
// through another entry.
func (f *fleet) OnSilence(name string, callback func()) (stop func()) {
	if !f.isReachable(name) {
		return func() {}
	}
	return f.onSilence(name, callback)
}

// CutOff implements history.Keepers.
func (f *fleet) Isolated() bool { return f.isIsolated() }

// viaPath begins the path at which an entry passes calls on to a keeper.
const viaPath = "/via/"

// serveVia passes a call on to the keeper named in its path. Where this instance
// does not hear it either, the caller is told at once and asks another.
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

// Tell implements history.Peers.
func (f *fleet) BroadcastStatus(status *historypb.StatusResponse) {
	data, err := proto.Marshal(status)
	if err != nil {
		f.logger.WithError(err).Warn("standing not encoded")
		return
	}
	f.broadcast(data, f.addressesOf(func(m member) bool { return m.Keeper }))
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
	present, decodeErr := history.DecodeAssignment(conflict.Present.Value)
	if decodeErr != nil {
		f.logger.WithError(decodeErr).Error("assignment not readable")
		return history.Assignment{}, 0, err
	}
	return present, conflict.Present.Version, err
}

// assignment returns the newest mirrored assignment.
func (f *fleet) assignment() (history.Assignment, store.Version, bool) {
	e, ok := f.mirror.Get(mirror.Fleet, assignmentName)
	if !ok {
		return history.Assignment{}, 0, false
	}
	list := f.decodedAssignment.all([]mirror.Entry{e})
	if len(list) == 0 {
		return history.Assignment{}, 0, false
	}
	return list[0], e.Revision, true
}

// register keeps this instance's entry in the store, so that others find it.
// It writes only where the entry is missing or says something else.
func (f *fleet) register(ctx context.Context) error {
	self := f.self()
	key := store.Key{Kind: string(mirror.Fleet), Name: instancePrefix + self.Name}
	value, err := json.Marshal(self)
	if err != nil {
		return errors.Wrap(err, "register")
	}
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
			f.logger.WithError(err).Warn("instance not registered")
		}
	}
	return nil
}

func (f *fleet) isRegistered(self member, name string) bool {
	e, exists := f.mirror.Get(mirror.Fleet, name)
	var listed member
	return exists && json.Unmarshal(e.Value, &listed) == nil && listed == self
}

// forget removes the entries of instances that were not heard for long, which
// were replaced under other names. One that lives enters itself again. Only a
// follower does it, so that its calls do not grow with the fleet.
func (f *fleet) removeStale(ctx context.Context, following func() bool, heardWithin func(name string, within time.Duration) bool) {
	firstSeen := map[string]time.Time{}
	for sleep(ctx, staleCheckInterval); ctx.Err() == nil; sleep(ctx, staleCheckInterval) {
		for _, m := range f.others() {
			if firstSeen[m.Name].IsZero() {
				firstSeen[m.Name] = time.Now()
			}
			if !following() || time.Since(firstSeen[m.Name]) < staleTimeout || heardWithin(m.Name, staleTimeout) {
				continue
			}
			key := store.Key{Kind: string(mirror.Fleet), Name: instancePrefix + m.Name}
			e, ok := f.mirror.Get(mirror.Fleet, key.Name)
			if !ok {
				continue
			}
			err := f.objects.Delete(ctx, key, e.Revision)
			f.logger.WithField("gone", m.Name).WithField("deleted", err == nil).Info("instance not heard for long")
		}
	}
}

// list returns the other instances.
func (f *fleet) others() []member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var others []member
	for _, m := range f.members {
		if m.Name != f.settings.Instance {
			others = append(others, m)
		}
	}
	return others
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
