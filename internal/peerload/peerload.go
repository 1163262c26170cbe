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
	sendEvery = 60 * time.Millisecond
	// quietEvery is the time between them while nothing is under way.
	quietEvery = 150 * time.Millisecond
	// loadLife is how long a peer's load counts without a newer datagram.
	loadLife = 1500 * time.Millisecond
	// EntryReach and KeeperReach bound the peers that hear from an instance at once, so
	// that its cost stays the same whatever the size of the fleet. It goes through all of
	// them by turns, and receivers scale what they hear to their number. There are few
	// keepers, and callers wait for one that is lost until that is heard.
	EntryFanout  = 24
	KeeperFanout = 48
	// sumEvery is the least time between two sums over what all peers tell. In a
	// fleet of seventy, four hundred datagrams come in a second; a sum for each
	// of them took 1.7% of a core (BenchmarkTake: 42 µs, 6 with the pause).
	sumEvery = 15 * time.Millisecond
	// maxDatagram fits some hundred upstreams.
	maxDatagram = 8 << 10
)

// Exchange sends this instance's load and takes in the others'.
type Exchange struct {
	name       string
	dataCentre string
	// reach is the number of peers that hear at once.
	reach int
	table *upstream.Table
	// peers returns the addresses of the other instances that send calls.
	peers  func() []*net.UDPAddr
	logger log.Interface

	mu    sync.Mutex
	heard map[string]heard
	// signs are when anything was last heard from each data centre, and lives
	// from each instance.
	signs map[string]time.Time
	lives map[string]life
	// addresses are where the datagrams of instances come from, and where they take them.
	addresses map[string]netip.AddrPort
	// round are the peers that are still to hear in this round of all of them. The sending
	// goroutine uses it.
	round []*net.UDPAddr
	conn  atomic.Pointer[net.UDPConn]
	// onStanding takes in the standings of other keepers; nil for an instance that is none.
	onStanding func([]byte)
	// quotas are told of calls of customers; nil for an instance that admits none.
	quotas Quotas
	// began is when this instance started.
	began time.Time
	// listens is since when datagrams are taken in without a pause.
	listens time.Time
	// known is the number of peers at the last sending. It is kept here, so that
	// those who ask whom it hears may hold the lock that peers takes.
	known int
	// summed is when the peers' loads were summed up last, unsummed that one has
	// told something since.
	summed   time.Time
	unsummed bool
}

type heard struct {
	load *peerloadpb.Load
	at   time.Time
}

// life is when an instance was heard last, and how many times it sends until each of its
// peers has had one.
type life struct {
	at    time.Time
	turns uint32
	// busy says that it had calls under way.
	busy bool
}

// silentFor reports that nothing came for as long as some datagrams of a small fleet take.
func (l life) silentFor(t time.Duration, now time.Time) bool {
	return now.Sub(l.at) >= t*time.Duration(max(1, l.turns))
}

// New returns an exchange that is not yet running, with the number of peers that are to
// hear at once.
func New(name, dataCentre string, reach int, table *upstream.Table, peers func() []*net.UDPAddr, logger log.Interface) *Exchange {
	now := time.Now()
	return &Exchange{
		name: name, dataCentre: dataCentre, reach: reach, table: table, peers: peers, logger: logger,
		heard: map[string]heard{}, signs: map[string]time.Time{}, lives: map[string]life{},
		addresses: map[string]netip.AddrPort{}, began: now, listens: now,
	}
}

// Silence returns for how long nothing was heard from a data centre; 0 for one
// that was never heard from, of which nothing can be said.
func (x *Exchange) DataCentreSilentFor(dataCentre string) time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	at, ok := x.signs[dataCentre]
	if !ok || dataCentre == x.dataCentre {
		return 0
	}
	return time.Since(at)
}

// Unheard returns for how long an instance was not heard; false for one that never was.
func (x *Exchange) SilentFor(instance string) (time.Duration, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	l, ok := x.lives[instance]
	return time.Since(l.at), ok
}

// leastOthers is the number of other data centres, or of other instances of a
// fleet within one, whose silence at the same time shows that this instance is
// cut off and not they.
const leastOthers = 2

// CutOffFor returns for how long this instance has heard nobody beyond its own
// data centre, though there are instances in several others, or nobody at all; 0
// where neither can be said. Registered are the data centres that have instances:
// one that was not heard yet has been silent since the start, or else an instance
// that starts behind a cut would take itself for connected and draw all callers.
func (x *Exchange) IsolatedFor(registered []string) time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	beyond := maps.Clone(x.signs)
	for _, dataCentre := range registered {
		if _, heard := beyond[dataCentre]; !heard {
			beyond[dataCentre] = x.began
		}
	}
	delete(beyond, x.dataCentre)
	lives := map[string]time.Time{}
	for name, l := range x.lives {
		lives[name] = l.at
	}
	now := time.Now()
	return max(silenceOfAll(beyond, now), silenceOfAll(lives, now))
}

// silenceOfAll returns the time since any of them was heard.
func silenceOfAll(heard map[string]time.Time, now time.Time) time.Duration {
	if len(heard) < leastOthers {
		return 0
	}
	last := time.Time{}
	for _, at := range heard {
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
	x.listens = time.Now()
}

// Run exchanges over the socket until ctx ends.
func (x *Exchange) Run(ctx context.Context, conn *net.UDPConn) {
	x.conn.Store(conn)
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	go x.receive(ctx, conn)
	ticker := time.NewTicker(sendEvery)
	defer ticker.Stop()
	var sent time.Time
	busy := false
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		x.sumLate()
		x.tellStarted(conn)
		load := x.own()
		atOnce := x.addUses(load, time.Now())
		// One empty datagram after the last call tells that it is over.
		if !due(active(load) || busy, time.Since(sent)) {
			continue
		}
		busy, sent = active(load), time.Now()
		x.send(conn, load, atOnce)
	}
}

// active reports whether the sender has calls under way or to tell of.
func active(l *peerloadpb.Load) bool { return len(l.Upstreams) > 0 || len(l.Customers) > 0 }

// due reports that it is time to send again.
func due(busy bool, sinceLast time.Duration) bool { return busy || sinceLast >= quietEvery }

// sumLate sums up what came right after the last sum and nothing came after.
func (x *Exchange) sumLate() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.unsummed {
		x.sum(time.Now())
	}
}

// Hears reports whether an instance was heard from lately, or never at all, of
// which nothing can be said. In a fleet of more peers than one instance sends
// to, each is heard so much more seldom.
func (x *Exchange) HeardOrUnknown(instance string, lately time.Duration) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	l, ok := x.lives[instance]
	return !ok || !l.silentFor(lately, time.Now())
}

// Misses reports whether an instance was not heard from lately. It says nothing
// while this one has not listened for that long.
func (x *Exchange) Silent(instance string, lately time.Duration) (misses, known bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	l, ok := x.lives[instance]
	if !ok {
		// Of one that was never heard it is not known how often it sends.
		l.turns = turns(x.known, EntryFanout)
	}
	listening := life{at: x.listens, turns: l.turns}
	return l.silentFor(lately, time.Now()), listening.silentFor(lately, time.Now())
}

// turns returns how many times an instance sends until each of its peers has had one.
func turns(peers, reach int) uint32 { return uint32(max(1, (peers+reach-1)/reach)) }

// Heard reports whether an instance was heard from lately.
func (x *Exchange) HeardWithin(instance string, lately time.Duration) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return time.Since(x.lives[instance].at) < lately
}

func (x *Exchange) own() *peerloadpb.Load {
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
	load.Turns = turns(x.known, x.reach)
	if load.Turns > 1 {
		next = x.with(next, atOnce)
	}
	x.mu.Unlock()
	x.sendTo(conn, load, next)
}

// with adds the instances of these names, as far as it is known where they are; the lock is
// held.
func (x *Exchange) with(peers []*net.UDPAddr, names []string) []*net.UDPAddr {
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
	if len(x.round) == 0 {
		x.round = x.peers()
		x.mu.Lock()
		x.known = len(x.round)
		x.mu.Unlock()
		if len(x.round) > x.reach {
			ranks := make(map[*net.UDPAddr]uint64, len(x.round))
			for _, p := range x.round {
				ranks[p] = xxhash.Sum64String(x.name + " " + p.String())
			}
			slices.SortFunc(x.round, func(a, b *net.UDPAddr) int { return cmp.Compare(ranks[a], ranks[b]) })
		}
	}
	n := min(x.reach, len(x.round))
	next := x.round[:n]
	x.round = x.round[n:]
	return next
}

// Tell sends a keeper's standing to other keepers. It may be lost.
func (x *Exchange) BroadcastKeeperStatus(standing []byte, keepers []*net.UDPAddr) {
	if conn := x.conn.Load(); conn != nil {
		x.sendTo(conn, &peerloadpb.Load{From: x.name, DataCentre: x.dataCentre, Standing: standing}, keepers)
	}
}

func (x *Exchange) receive(ctx context.Context, conn *net.UDPConn) {
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			continue
		}
		load := &peerloadpb.Load{}
		if proto.Unmarshal(buffer[:n], load) != nil || !even(load) {
			continue
		}
		if len(load.Standing) > 0 {
			if x.onStanding != nil {
				x.onStanding(load.Standing)
			}
			continue
		}
		now := time.Now()
		if len(load.Counted) > 0 {
			x.hearCounted(load, now)
			continue
		}
		x.take(load, now)
		x.locate(load.From, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		if x.quotas != nil {
			x.quotas.Merge(tellingOf(load), now)
		}
	}
}

func (x *Exchange) locate(name string, address netip.AddrPort) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.addresses[name] = address
}

// Round is how long it takes this instance to tell all its peers, while it is busy.
func (x *Exchange) GossipRound() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return time.Duration(turns(x.known, x.reach)) * sendEvery
}

// missedMost is the number of datagrams of a busy instance that may be lost in a row.
const missedMost = 3

// Alive reports whether an instance was heard as lately as some datagrams of it take, of
// which one with calls under way sends more. One that was never heard is not.
func (x *Exchange) Alive(instance string, lately time.Duration) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	l, ok := x.lives[instance]
	if !ok {
		return false
	}
	now := time.Now()
	if l.busy {
		return now.Sub(l.at) < max(lately, missedMost*time.Duration(max(1, l.turns))*sendEvery)
	}
	return !l.silentFor(lately, now)
}

// OnStanding has f take in the standings of other keepers. It is called before Run.
func (x *Exchange) OnKeeperStatus(f func([]byte)) { x.onStanding = f }

// take takes in a peer's load.
func (x *Exchange) take(load *peerloadpb.Load, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.heard[load.From] = heard{load: load, at: now}
	x.signs[load.DataCentre], x.lives[load.From] = now, life{at: now, turns: x.turnsOf(load), busy: active(load)}
	x.unsummed = true
	if now.Sub(x.summed) >= sumEvery {
		x.sum(now)
	}
}

// turnsOf returns the sender's turns. One of an older version tells none, and sends to as
// many at once as an entry; the lock is held.
func (x *Exchange) turnsOf(load *peerloadpb.Load) uint32 {
	if load.Turns == 0 {
		return turns(x.known, EntryFanout)
	}
	return load.Turns
}

// sum puts what the others have into the table; the lock is held.
func (x *Exchange) sum(now time.Time) {
	x.summed, x.unsummed = now, false
	calls, backlog, erring := map[uint64]int{}, map[uint64]int{}, map[uint64]bool{}
	known := 0
	for from, h := range x.heard {
		if now.Sub(h.at) > loadLife {
			delete(x.heard, from)
			continue
		}
		known++
		for _, hash := range h.load.Erring {
			erring[hash] = true
		}
		for i, hash := range h.load.Upstreams {
			calls[hash] += int(h.load.Calls[i])
			backlog[hash] += int(h.load.Backlog[i])
		}
	}
	scale := max(1, float64(x.known)/float64(max(1, known)))
	if known < EntryFanout/2 {
		// Few peers: those not heard from are down or cut off, and send nothing.
		scale = 1
	}
	for _, u := range x.table.Snapshot().All {
		hash := xxhash.Sum64String(u.Name)
		if erring[hash] {
			u.PeerReportedErrors(now.Add(loadLife))
		}
		u.SetRemoteLoad(int(scale*float64(calls[hash])), int(scale*float64(backlog[hash])), now.Add(loadLife))
	}
}
