// Package peerload exchanges load information about shared upstreams between instances, in small
// datagrams that may be lost.
//
// It prevents the following failure: instances that know only their own calls all choose the same
// engine, because it seems idle or has a shared prefix in its cache, and their calls queue there
// while other engines are idle.
package peerload

import (
	"cmp"
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"foxhall/internal/peerload/peerloadpb"
	"foxhall/internal/upstream"
	"foxhall/internal/wake"
)

const (
	// sendInterval is the time between two sends, about the time an engine takes for a prompt. It
	// is the same in a large fleet: with older load information, instances choose the same engines
	// in a burst.
	sendInterval = 60 * time.Millisecond
	// idleSendInterval is the time between two sends while no calls are in flight.
	idleSendInterval = 150 * time.Millisecond
	// loadLifetime is how long a peer's load counts without a newer datagram.
	loadLifetime = 1500 * time.Millisecond
	// EntryFanout and KeeperFanout bound the peers to which an entry or a keeper sends at once, so
	// that the cost does not depend on the size of the fleet. Successive sends go through all peers
	// in a round, and receivers extrapolate to the number of peers. Keepers have the larger fanout,
	// since there are few of them, and callers wait for a failed one until its silence is detected.
	EntryFanout  = 24
	KeeperFanout = 48
	// maxPause is the longest pause of this process that is counted as silence of the others. Together
	// with idleSendInterval it is shorter than any silence by which instances are judged, and it is
	// several times sendInterval, at which the clock is read.
	maxPause = 200 * time.Millisecond
	// maxDatagramBytes is the size of the receive buffer, enough for some hundred upstreams.
	maxDatagramBytes = 8 << 10
)

// Exchange sends this instance's load and receives that of the others.
type Exchange struct {
	name       string
	dataCentre string
	// fanout is the maximum number of peers in one send.
	fanout int
	table  *upstream.Table
	// peers returns the addresses of the other instances that send calls to upstreams.
	peers  func() []*net.UDPAddr
	logger log.Interface

	mu    sync.Mutex
	loads loadSums
	// dataCentreContacts holds the time of the last contact with each data centre, contacts the
	// last contact with each instance.
	dataCentreContacts map[string]time.Time
	contacts           map[string]contact
	// lastContactAt is the time of the last contact with any instance.
	lastContactAt time.Time
	// addresses holds, by instance, the source address of its datagrams, at which it also receives.
	addresses map[string]netip.AddrPort
	// pendingPeers are the peers that have not been sent a datagram in this round. Only the sending
	// goroutine uses it.
	pendingPeers []*net.UDPAddr
	conn         atomic.Pointer[net.UDPConn]
	// onKeeperStatus receives the status of other keepers. It is nil in an instance that is not a
	// keeper.
	onKeeperStatus func([]byte)
	// onLoadLowered is nil where no one waits for upstreams.
	onLoadLowered func()
	// quotas exchange customers' usage. It is nil in an instance that admits no calls.
	quotas Quotas
	// contents is nil in an instance that sends no calls.
	contents *contents
	// origins is nil in an instance that holds no records of streams.
	origins *origins
	// startedAt is the time when this instance started.
	startedAt time.Time
	// listeningSince is the time since which datagrams have been received without a pause, but for
	// the pauses that pauses detects.
	listeningSince time.Time
	pauses         *wake.Detector
	// peerCount is the number of peers at the start of the last round. It is stored here, instead
	// of calling peers under mu, so that callers of the exchange's methods may hold the lock that
	// peers takes.
	peerCount int
}

// contact is the last contact with an instance. sendsPerRound is the number of sends in which the
// instance sends one datagram to each of its peers.
type contact struct {
	receivedAt    time.Time
	sendsPerRound uint32
	// busy is true if the instance had calls in flight or customers' usage to report.
	busy bool
}

// isSilentFor reports whether nothing was received for t times the number of sends per round. t is
// thus the time that applies in a small fleet, whose rounds take one send.
func (c contact) isSilentFor(t time.Duration, now time.Time) bool {
	return now.Sub(c.receivedAt) >= t*time.Duration(max(1, c.sendsPerRound))
}

// New returns an exchange that is not yet running. fanout is the maximum number of peers in one
// send.
func New(name, dataCentre string, fanout int, table *upstream.Table, peers func() []*net.UDPAddr, logger log.Interface) *Exchange {
	now := time.Now()
	return &Exchange{
		name: name, dataCentre: dataCentre, fanout: fanout, table: table, peers: peers, logger: logger,
		loads: newLoadSums(table), dataCentreContacts: map[string]time.Time{}, contacts: map[string]contact{},
		addresses: map[string]netip.AddrPort{}, startedAt: now, listeningSince: now, pauses: wake.NewDetector(maxPause),
	}
}

// silentSince returns the time since which a sender is silent whose last datagram was received at
// lastContact. What it sent while this process was paused is still to be read.
func (x *Exchange) silentSince(lastContact, now time.Time) time.Time {
	if resumed := x.pauses.ResumedAt(now); resumed.After(lastContact) {
		return resumed
	}
	return lastContact
}

// DataCentreSilentFor returns the time since the last contact with another data centre. It returns
// 0 if there was none, since nothing is then known, and for the own data centre.
func (x *Exchange) DataCentreSilentFor(dataCentre string) time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	at, ok := x.dataCentreContacts[dataCentre]
	if !ok || dataCentre == x.dataCentre {
		return 0
	}
	now := time.Now()
	return now.Sub(x.silentSince(at, now))
}

// SilentFor returns the time since the last contact with an instance, and false if there was none.
func (x *Exchange) SilentFor(instance string) (time.Duration, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	last, ok := x.contacts[instance]
	return time.Since(last.receivedAt), ok
}

// minSilentOthers is the number of other data centres, or of other instances in a fleet within one
// data centre, whose simultaneous silence shows that this instance is isolated rather than they.
const minSilentOthers = 2

// IsolatedFor returns for how long this instance has had no contact with any other data centre, if
// there are several others, or with any instance at all. It returns 0 if neither can be determined.
// registered are the data centres that have instances. One without contact so far counts as silent
// since the start; otherwise an instance that starts in a network partition would consider itself
// connected and attract all callers.
func (x *Exchange) IsolatedFor(registered []string) time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	others := maps.Clone(x.dataCentreContacts)
	for _, dataCentre := range registered {
		if _, heard := others[dataCentre]; !heard {
			others[dataCentre] = x.startedAt
		}
	}
	delete(others, x.dataCentre)
	now := time.Now()
	silence := commonSilence(others, now)
	if len(x.contacts) >= minSilentOthers {
		silence = max(silence, now.Sub(x.lastContactAt))
	}
	return now.Sub(x.silentSince(now.Add(-silence), now))
}

// commonSilence returns the time since the latest of the contacts, or 0 if there are fewer than
// minSilentOthers.
func commonSilence(contacts map[string]time.Time, now time.Time) time.Duration {
	if len(contacts) < minSilentOthers {
		return 0
	}
	last := time.Time{}
	for _, at := range contacts {
		if at.After(last) {
			last = at
		}
	}
	return now.Sub(last)
}

// ResetAfterPause is called after a pause of this process, in which it received nothing.
func (x *Exchange) ResetAfterPause() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.listeningSince = time.Now()
}

// Run exchanges datagrams over the socket until ctx ends, or until none can be received any more, which is an error.
// It closes the socket.
func (x *Exchange) Run(ctx context.Context, conn *net.UDPConn) error {
	x.conn.Store(conn)
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	received := make(chan error, 1)
	go func() { received <- x.receive(ctx, conn) }()
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	var sent time.Time
	busy := false
	for {
		select {
		case <-ticker.C:
		case <-x.newsOfContents():
			x.sendNews(conn, time.Now())
			continue
		case err := <-received:
			return err
		case <-ctx.Done():
			return nil
		}
		x.pauses.Read(time.Now())
		x.maintainContents(conn, time.Now())
		x.expireLoads(time.Now())
		x.reportToNewInstances(conn)
		load := x.ownLoad()
		atOnce := x.addUsage(load, time.Now())
		// One empty datagram after the last call reports that no call is in flight.
		if !isDue(isActive(load) || busy, time.Since(sent)) {
			continue
		}
		busy, sent = isActive(load), time.Now()
		x.send(conn, load, atOnce)
	}
}

// isActive reports whether the sender has calls in flight or customers' usage to report.
func isActive(l *peerloadpb.Load) bool { return len(l.Upstreams) > 0 || len(l.Customers) > 0 }

// isDue reports whether it is time to send again.
func isDue(busy bool, sinceLast time.Duration) bool { return busy || sinceLast >= idleSendInterval }

// expireLoads removes the loads of peers that have sent none for loadLifetime.
func (x *Exchange) expireLoads(now time.Time) {
	x.mu.Lock()
	x.loads.expire(x.peerCount, now)
	lowered := x.takeLowered()
	x.mu.Unlock()
	x.reportLowered(lowered)
}

// OnLoadLowered sets the function to be called when the calls of other instances at an upstream have
// become fewer. It must not block, and it must be set before Run.
func (x *Exchange) OnLoadLowered(f func()) { x.onLoadLowered = f }

// takeLowered reports whether a load was lowered since its last call. The caller holds the lock.
func (x *Exchange) takeLowered() bool {
	lowered := x.loads.lowered
	x.loads.lowered = false
	return lowered
}

func (x *Exchange) reportLowered(lowered bool) {
	if lowered && x.onLoadLowered != nil {
		x.onLoadLowered()
	}
}

// ReachableOrUnknown reports whether the last contact with an instance is recent. It returns true if
// there was none, since nothing is known of the instance then. within is scaled to the instance's
// round length, since an instance with more peers than its fanout sends to each of them less often.
func (x *Exchange) ReachableOrUnknown(instance string, within time.Duration) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	last, ok := x.contacts[instance]
	last.receivedAt = x.silentSince(last.receivedAt, now)
	return !ok || !last.isSilentFor(within, now)
}

// Silent reports whether there was no recent contact with an instance. known is false if this
// instance has not listened long enough to tell.
func (x *Exchange) Silent(instance string, within time.Duration) (silent, known bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	last, ok := x.contacts[instance]
	if !ok {
		// Without any contact the instance's round length is unknown; that of an entry is assumed.
		last.sendsPerRound = sendsPerRound(x.peerCount, EntryFanout)
	}
	now := time.Now()
	listening := contact{receivedAt: x.silentSince(x.listeningSince, now), sendsPerRound: last.sendsPerRound}
	return last.isSilentFor(within, now), listening.isSilentFor(within, now)
}

// SilentDataCentre reports whether nothing was received from another data centre for a time, and
// whether this instance has listened for so long. It needs no round of sends: some instance of a
// data centre sends to this one at every moment, however many instances there are.
func (x *Exchange) SilentDataCentre(dataCentre string, within time.Duration) (silent, known bool) {
	silentFor := x.DataCentreSilentFor(dataCentre)
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	return silentFor >= within, now.Sub(x.silentSince(x.listeningSince, now)) >= within
}

// sendsPerRound returns the number of sends in which an instance sends one datagram to each of its
// peers.
func sendsPerRound(peers, fanout int) uint32 { return uint32(max(1, (peers+fanout-1)/fanout)) }

// ContactedWithin reports whether the last contact with an instance is more recent than within.
func (x *Exchange) ContactedWithin(instance string, within time.Duration) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return time.Since(x.contacts[instance].receivedAt) < within
}

// ownLoad returns the load of this instance's calls. It costs as much as the upstreams with calls.
func (x *Exchange) ownLoad() *peerloadpb.Load {
	now := time.Now()
	load := &peerloadpb.Load{From: x.name, DataCentre: x.dataCentre}
	isReported := func(u *upstream.Upstream) bool {
		return u.HasHighErrorRate(now) || u.Load(now.UnixNano()).Own > 0
	}
	for _, u := range x.table.Active(isReported) {
		if u.HasHighErrorRate(now) {
			load.Erring = append(load.Erring, u.Hash)
		}
		l := u.Load(now.UnixNano())
		if l.Own == 0 {
			continue
		}
		load.Upstreams = append(load.Upstreams, u.Hash)
		load.Calls = append(load.Calls, uint32(l.Own))
		load.Backlog = append(load.Backlog, uint32(max(0, l.OwnBacklog)))
	}
	return load
}

// send sends the load to the next peers and, if a round takes more than one send, also to the
// instances named in atOnce.
func (x *Exchange) send(conn *net.UDPConn, load *peerloadpb.Load, atOnce []string) {
	next := x.nextPeers()
	x.mu.Lock()
	load.Turns = sendsPerRound(x.peerCount, x.fanout)
	if load.Turns > 1 {
		next = x.addPeers(next, atOnce)
	}
	x.mu.Unlock()
	x.sendTo(conn, load, next)
}

// addPeers adds the named instances whose addresses are known. The caller holds the lock.
func (x *Exchange) addPeers(peers []*net.UDPAddr, names []string) []*net.UDPAddr {
	all := slices.Clone(peers)
	for _, name := range names {
		address := x.addresses[name]
		same := func(p *net.UDPAddr) bool { return p.AddrPort() == address }
		if address.IsValid() && !slices.ContainsFunc(peers, same) {
			all = append(all, net.UDPAddrFromAddrPort(address))
		}
	}
	return all
}

func (x *Exchange) sendTo(conn *net.UDPConn, load *peerloadpb.Load, peers []*net.UDPAddr) {
	data, err := proto.Marshal(load)
	if err != nil {
		x.logger.WithError(err).Warn("load can't be encoded; datagram dropped")
		return
	}
	for _, p := range peers {
		if _, err := conn.WriteToUDP(data, p); err != nil {
			// The next datagram makes up for a lost one.
			x.logger.WithError(err).Debug("datagram not sent; the next one makes up for it")
		}
	}
}

// nextPeers returns the peers of the next send. The order differs between instances, since all
// would otherwise send to the same peers simultaneously. It does not change while the set of peers
// does not, so that each of them receives datagrams at regular intervals.
func (x *Exchange) nextPeers() []*net.UDPAddr {
	if len(x.pendingPeers) == 0 {
		x.pendingPeers = slices.Clone(x.peers())
		x.mu.Lock()
		x.peerCount = len(x.pendingPeers)
		x.mu.Unlock()
		if len(x.pendingPeers) > x.fanout {
			ranks := make(map[*net.UDPAddr]uint64, len(x.pendingPeers))
			for _, p := range x.pendingPeers {
				ranks[p] = xxhash.Sum64String(x.name + " " + p.String())
			}
			slices.SortFunc(x.pendingPeers, func(a, b *net.UDPAddr) int { return cmp.Compare(ranks[a], ranks[b]) })
		}
	}
	n := min(x.fanout, len(x.pendingPeers))
	next := x.pendingPeers[:n]
	x.pendingPeers = x.pendingPeers[n:]
	return next
}

// BroadcastKeeperStatus sends a keeper's status to other keepers. It may be lost.
func (x *Exchange) BroadcastKeeperStatus(status []byte, keepers []*net.UDPAddr) {
	if conn := x.conn.Load(); conn != nil {
		x.sendTo(conn, &peerloadpb.Load{From: x.name, DataCentre: x.dataCentre, Standing: status}, keepers)
	}
}

// receive receives datagrams until ctx ends or reads fail for good.
func (x *Exchange) receive(ctx context.Context, conn datagramReader) error {
	buffer := make([]byte, maxDatagramBytes)
	failures := readFailures{logger: x.logger}
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			if err := failures.add(err); err != nil {
				return err
			}
			continue
		}
		failures.count = 0
		x.receiveDatagram(buffer[:n], from)
	}
}

func (x *Exchange) recordAddress(name string, address netip.AddrPort) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.addresses[name] = address
}

// GossipRound returns the time in which this instance sends to all of its peers while it is busy.
func (x *Exchange) GossipRound() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return time.Duration(sendsPerRound(x.peerCount, x.fanout)) * sendInterval
}

// maxLostDatagrams is the number of datagrams in a row after which a busy instance counts as not
// alive.
const maxLostDatagrams = 3

// Alive reports whether the last contact with an instance is recent, measured by its interval
// between datagrams, which is shorter while calls are in flight. It returns false if there was no
// contact.
func (x *Exchange) Alive(instance string, within time.Duration) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	last, ok := x.contacts[instance]
	if !ok {
		return false
	}
	now := time.Now()
	if last.busy {
		return now.Sub(last.receivedAt) < max(within, maxLostDatagrams*time.Duration(max(1, last.sendsPerRound))*sendInterval)
	}
	return !last.isSilentFor(within, now)
}

// OnKeeperStatus sets the function that receives the status of other keepers. It must be called
// before Run.
func (x *Exchange) OnKeeperStatus(f func([]byte)) { x.onKeeperStatus = f }

// RecordLoad records a peer's load and the contact with it.
func (x *Exchange) RecordLoad(load *peerloadpb.Load, now time.Time) {
	x.mu.Lock()
	x.loads.replace(load, x.peerCount, now)
	x.lastContactAt = now
	x.dataCentreContacts[load.DataCentre], x.contacts[load.From] = now, contact{receivedAt: now, sendsPerRound: x.sendsPerRoundOf(load), busy: isActive(load)}
	lowered := x.takeLowered()
	x.mu.Unlock()
	x.reportLowered(lowered)
}

// sendsPerRoundOf returns the sender's number of sends per round. Older versions don't report it
// and have the fanout of an entry. The caller holds the lock.
func (x *Exchange) sendsPerRoundOf(load *peerloadpb.Load) uint32 {
	if load.Turns == 0 {
		return sendsPerRound(x.peerCount, EntryFanout)
	}
	return load.Turns
}
