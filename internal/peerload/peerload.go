// Package peerload tells instances what the others have under way at the same
// upstreams, by small datagrams that may be lost.
//
// The failure it prevents: instances that know only their own calls all take
// the same engine for idle, or the one that holds a shared prefix, and queue
// there while others stand idle.
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
)

const (
	// sendEvery is the time between two sendings; an engine takes about as long for a
	// prompt. It is no longer in a large fleet: with older load, instances choose the same
	// engines in a burst.
	sendInterval = 60 * time.Millisecond
	// quietEvery is the time between them while nothing is under way.
	idleSendInterval = 150 * time.Millisecond
	// loadLife is how long a peer's load counts without a newer datagram.
	loadLifetime = 1500 * time.Millisecond
	// EntryReach and KeeperReach bound the peers that hear from an instance at once, so
	// that its cost stays the same whatever the size of the fleet. It goes through all of
	// them by turns, and receivers scale what they hear to their number. There are few
	// keepers, and callers wait for one that is lost until that is heard.
	EntryFanout  = 24
	KeeperFanout = 48
	// sumEvery is the least time between two sums over what all peers tell. In a
	// fleet of seventy, four hundred datagrams come in a second; a sum for each
	// of them took 1.7% of a core (BenchmarkTake: 42 µs, 6 with the pause).
	sumInterval = 15 * time.Millisecond
	// maxDatagram fits some hundred upstreams.
	maxDatagramBytes = 8 << 10
)

// Exchange sends this instance's load and takes in the others'.
type Exchange struct {
	name       string
	dataCentre string
	// reach is the number of peers that hear at once.
	fanout int
	table  *upstream.Table
	// peers returns the addresses of the other instances that send calls.
	peers  func() []*net.UDPAddr
	logger log.Interface

	mu    sync.Mutex
	loads map[string]receivedLoad
	// signs are when anything was last heard from each data centre, and lives
	// from each instance.
	dataCentreContacts map[string]time.Time
	contacts           map[string]contact
	// addresses are where the datagrams of instances come from, and where they take them.
	addresses map[string]netip.AddrPort
	// round are the peers that are still to hear in this round of all of them. The sending
	// goroutine uses it.
	pendingPeers []*net.UDPAddr
	conn         atomic.Pointer[net.UDPConn]
	// onStanding takes in the standings of other keepers; nil for an instance that is none.
	onKeeperStatus func([]byte)
	// quotas are told of calls of customers; nil for an instance that admits none.
	quotas Quotas
	// began is when this instance started.
	startedAt time.Time
	// listens is since when datagrams are taken in without a pause.
	listeningSince time.Time
	// known is the number of peers at the last sending. It is kept here, so that
	// those who ask whom it hears may hold the lock that peers takes.
	peerCount int
	// summed is when the peers' loads were summed up last, unsummed that one has
	// told something since.
	summedAt   time.Time
	sumPending bool
}

type receivedLoad struct {
	load       *peerloadpb.Load
	receivedAt time.Time
}

// life is when an instance was heard last, and how many times it sends until each of its
// peers has had one.
type contact struct {
	heardAt       time.Time
	sendsPerRound uint32
	// busy says that it had calls under way.
	busy bool
}

// silentFor reports that nothing came for as long as some datagrams of a small fleet take.
func (l contact) isSilentFor(t time.Duration, now time.Time) bool {
	return now.Sub(l.heardAt) >= t*time.Duration(max(1, l.sendsPerRound))
}

// New returns an exchange that is not yet running, with the number of peers that are to
// hear at once.
func New(name, dataCentre string, fanout int, table *upstream.Table, peers func() []*net.UDPAddr, logger log.Interface) *Exchange {
	now := time.Now()
	return &Exchange{
		name: name, dataCentre: dataCentre, fanout: fanout, table: table, peers: peers, logger: logger,
		loads: map[string]receivedLoad{}, dataCentreContacts: map[string]time.Time{}, contacts: map[string]contact{},
		addresses: map[string]netip.AddrPort{}, startedAt: now, listeningSince: now,
	}
}

// Silence returns for how long nothing was heard from a data centre; 0 for one
// that was never heard from, of which nothing can be said.
func (x *Exchange) DataCentreSilentFor(dataCentre string) time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	at, ok := x.dataCentreContacts[dataCentre]
	if !ok || dataCentre == x.dataCentre {
		return 0
	}
	return time.Since(at)
}

// Unheard returns for how long an instance was not heard; false for one that never was.
func (x *Exchange) SilentFor(instance string) (time.Duration, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	l, ok := x.contacts[instance]
	return time.Since(l.heardAt), ok
}

// leastOthers is the number of other data centres, or of other instances of a
// fleet within one, whose silence at the same time shows that this instance is
// cut off and not they.
const minSilentOthers = 2

// CutOffFor returns for how long this instance has heard nobody beyond its own
// data centre, though there are instances in several others, or nobody at all; 0
// where neither can be said. Registered are the data centres that have instances:
// one that was not heard yet has been silent since the start, or else an instance
// that starts behind a cut would take itself for connected and draw all callers.
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
	instances := map[string]time.Time{}
	for name, l := range x.contacts {
		instances[name] = l.heardAt
	}
	now := time.Now()
	return max(commonSilence(others, now), commonSilence(instances, now))
}

// silenceOfAll returns the time since any of them was heard.
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

// Woke is called after a pause of this process, in which nothing was heard.
func (x *Exchange) ResetAfterPause() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.listeningSince = time.Now()
}

// Run exchanges over the socket until ctx ends.
func (x *Exchange) Run(ctx context.Context, conn *net.UDPConn) {
	x.conn.Store(conn)
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	go x.receive(ctx, conn)
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	var sent time.Time
	busy := false
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		x.sumPendingLoads()
		x.reportToNewInstances(conn)
		load := x.ownLoad()
		atOnce := x.addUsage(load, time.Now())
		// One empty datagram after the last call tells that it is over.
		if !isDue(isActive(load) || busy, time.Since(sent)) {
			continue
		}
		busy, sent = isActive(load), time.Now()
		x.send(conn, load, atOnce)
	}
}

// active reports whether the sender has calls under way or to tell of.
func isActive(l *peerloadpb.Load) bool { return len(l.Upstreams) > 0 || len(l.Customers) > 0 }

// due reports that it is time to send again.
func isDue(busy bool, sinceLast time.Duration) bool { return busy || sinceLast >= idleSendInterval }

// sumLate sums up what came right after the last sum and nothing came after.
func (x *Exchange) sumPendingLoads() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.sumPending {
		x.sumLoads(time.Now())
	}
}

// Hears reports whether an instance was heard from lately, or never at all, of
// which nothing can be said. In a fleet of more peers than one instance sends
// to, each is heard so much more seldom.
func (x *Exchange) HeardOrUnknown(instance string, within time.Duration) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	l, ok := x.contacts[instance]
	return !ok || !l.isSilentFor(within, time.Now())
}

// Misses reports whether an instance was not heard from lately. It says nothing
// while this one has not listened for that long.
func (x *Exchange) Silent(instance string, within time.Duration) (silent, known bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	l, ok := x.contacts[instance]
	if !ok {
		// Of one that was never heard it is not known how often it sends.
		l.sendsPerRound = sendsPerRound(x.peerCount, EntryFanout)
	}
	listening := contact{heardAt: x.listeningSince, sendsPerRound: l.sendsPerRound}
	return l.isSilentFor(within, time.Now()), listening.isSilentFor(within, time.Now())
}

// turns returns how many times an instance sends until each of its peers has had one.
func sendsPerRound(peers, fanout int) uint32 { return uint32(max(1, (peers+fanout-1)/fanout)) }

// Heard reports whether an instance was heard from lately.
func (x *Exchange) HeardWithin(instance string, within time.Duration) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return time.Since(x.contacts[instance].heardAt) < within
}

func (x *Exchange) ownLoad() *peerloadpb.Load {
	now := time.Now()
	load := &peerloadpb.Load{From: x.name, DataCentre: x.dataCentre}
	for _, u := range x.table.Snapshot().All {
		if u.HasHighErrorRate(now) {
			load.Erring = append(load.Erring, xxhash.Sum64String(u.Name))
		}
		l := u.Load(now.UnixNano())
		if l.Own == 0 {
			continue
		}
		load.Upstreams = append(load.Upstreams, xxhash.Sum64String(u.Name))
		load.Calls = append(load.Calls, uint32(l.Own))
		load.Backlog = append(load.Backlog, uint32(max(0, l.OwnBacklog)))
	}
	return load
}

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

// with adds the instances of these names, as far as it is known where they are; the lock is
// held.
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
		x.logger.WithError(err).Warn("load not encoded")
		return
	}
	for _, p := range peers {
		if _, err := conn.WriteToUDP(data, p); err != nil {
			// A lost datagram is made good by the next.
			x.logger.WithError(err).Debug("load not sent")
		}
	}
}

// nextPeers returns those whose turn it is. The order is each instance's own, or all would
// send to the same peers at once, and stays while the peers are the same: each of them
// then hears at even times.
func (x *Exchange) nextPeers() []*net.UDPAddr {
	if len(x.pendingPeers) == 0 {
		x.pendingPeers = x.peers()
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

// Tell sends a keeper's standing to other keepers. It may be lost.
func (x *Exchange) BroadcastKeeperStatus(status []byte, keepers []*net.UDPAddr) {
	if conn := x.conn.Load(); conn != nil {
		x.sendTo(conn, &peerloadpb.Load{From: x.name, DataCentre: x.dataCentre, Standing: status}, keepers)
	}
}

func (x *Exchange) receive(ctx context.Context, conn *net.UDPConn) {
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			continue
		}
		load := &peerloadpb.Load{}
		if proto.Unmarshal(buffer[:n], load) != nil || !isConsistent(load) {
			continue
		}
		if len(load.Standing) > 0 {
			if x.onKeeperStatus != nil {
				x.onKeeperStatus(load.Standing)
			}
			continue
		}
		now := time.Now()
		if len(load.Counted) > 0 {
			x.mergeCounts(load, now)
			continue
		}
		x.recordLoad(load, now)
		x.recordAddress(load.From, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		if x.quotas != nil {
			x.quotas.Merge(decodeQuotaReport(load), now)
		}
	}
}

func (x *Exchange) recordAddress(name string, address netip.AddrPort) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.addresses[name] = address
}

// Round is how long it takes this instance to tell all its peers, while it is busy.
func (x *Exchange) GossipRound() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return time.Duration(sendsPerRound(x.peerCount, x.fanout)) * sendInterval
}

// missedMost is the number of datagrams of a busy instance that may be lost in a row.
const maxLostDatagrams = 3

// Alive reports whether an instance was heard as lately as some datagrams of it take, of
// which one with calls under way sends more. One that was never heard is not.
func (x *Exchange) Alive(instance string, within time.Duration) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	l, ok := x.contacts[instance]
	if !ok {
		return false
	}
	now := time.Now()
	if l.busy {
		return now.Sub(l.heardAt) < max(within, maxLostDatagrams*time.Duration(max(1, l.sendsPerRound))*sendInterval)
	}
	return !l.isSilentFor(within, now)
}

// OnStanding has f take in the standings of other keepers. It is called before Run.
func (x *Exchange) OnKeeperStatus(f func([]byte)) { x.onKeeperStatus = f }

// take takes in a peer's load.
func (x *Exchange) recordLoad(load *peerloadpb.Load, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.loads[load.From] = receivedLoad{load: load, receivedAt: now}
	x.dataCentreContacts[load.DataCentre], x.contacts[load.From] = now, contact{heardAt: now, sendsPerRound: x.sendsPerRoundOf(load), busy: isActive(load)}
	x.sumPending = true
	if now.Sub(x.summedAt) >= sumInterval {
		x.sumLoads(now)
	}
}

// turnsOf returns the sender's turns. One of an older version tells none, and sends to as
// many at once as an entry; the lock is held.
func (x *Exchange) sendsPerRoundOf(load *peerloadpb.Load) uint32 {
	if load.Turns == 0 {
		return sendsPerRound(x.peerCount, EntryFanout)
	}
	return load.Turns
}

// sum puts what the others have into the table; the lock is held.
func (x *Exchange) sumLoads(now time.Time) {
	x.summedAt, x.sumPending = now, false
	calls, backlog, erring := map[uint64]int{}, map[uint64]int{}, map[uint64]bool{}
	heard := 0
	for from, h := range x.loads {
		if now.Sub(h.receivedAt) > loadLifetime {
			delete(x.loads, from)
			continue
		}
		heard++
		for _, hash := range h.load.Erring {
			erring[hash] = true
		}
		for i, hash := range h.load.Upstreams {
			calls[hash] += int(h.load.Calls[i])
			backlog[hash] += int(h.load.Backlog[i])
		}
	}
	scale := max(1, float64(x.peerCount)/float64(max(1, heard)))
	if heard < EntryFanout/2 {
		// Few peers: those not heard from are down or cut off, and send nothing.
		scale = 1
	}
	for _, u := range x.table.Snapshot().All {
		hash := xxhash.Sum64String(u.Name)
		if erring[hash] {
			u.PeerReportedErrors(now.Add(loadLifetime))
		}
		u.SetRemoteLoad(int(scale*float64(calls[hash])), int(scale*float64(backlog[hash])), now.Add(loadLifetime))
	}
}
