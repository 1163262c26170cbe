package mirror

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"foxhall/internal/mirror/mirrorpb"
)

// Peer is another instance.
type Peer struct {
	Name       string
	DataCentre string
	Relay      mirrorpb.Relay
}

// Peers is an immutable set of other instances.
type Peers struct {
	all    []Peer
	byName map[string]Peer
	// byDataCentre is sorted by name.
	byDataCentre map[string][]Peer
}

// NewPeers returns the set of the listed instances.
func NewPeers(list []Peer) *Peers {
	p := &Peers{all: list, byName: make(map[string]Peer, len(list)), byDataCentre: map[string][]Peer{}}
	for _, peer := range list {
		p.byName[peer.Name] = peer
		p.byDataCentre[peer.DataCentre] = append(p.byDataCentre[peer.DataCentre], peer)
	}
	for _, members := range p.byDataCentre {
		slices.SortFunc(members, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	}
	return p
}

const (
	// neighbourCount is the number of neighbours of an instance, and remoteNeighbourCount that of
	// those in other data centres. Most are in the own one, so that a change crosses to another data
	// centre a few times and not once for each instance there: bytes between data centres are slow and
	// charged for.
	neighbourCount       = 8
	remoteNeighbourCount = 2
	// neighbourLifetime is the time after which one of the neighbours is replaced, so that no group
	// of instances has only each other for long.
	neighbourLifetime = 10 * time.Second
)

// neighbours are the peers with which an instance exchanges state regularly. They change slowly:
// each exchange with another peer opens a connection, and with random peers an instance of a large
// fleet would hold connections to most of the others.
type neighbours struct {
	local, remote []Peer
	rotatedAt     time.Time
}

// refresh replaces neighbours that are gone or may not be queried, and the oldest one after
// neighbourLifetime.
func (n *neighbours) refresh(peers *Peers, dataCentre string, isUsable func(name string) bool, now time.Time) {
	gone := func(p Peer) bool {
		present, ok := peers.byName[p.Name]
		return !ok || present != p || !isUsable(p.Name)
	}
	n.local, n.remote = slices.DeleteFunc(n.local, gone), slices.DeleteFunc(n.remote, gone)
	if n.rotatedAt.IsZero() {
		n.rotatedAt = now
	}
	if now.Sub(n.rotatedAt) >= neighbourLifetime {
		n.rotatedAt = now
		n.local, n.remote = n.local[min(1, len(n.local)):], n.remote[min(1, len(n.remote)):]
	}
	own := peers.byDataCentre[dataCentre]
	others := len(peers.all) - len(own)
	wantLocal := min(len(own), max(neighbourCount-remoteNeighbourCount, neighbourCount-others))
	n.local = fill(n.local, wantLocal, own, isUsable)
	isRemote := func(p Peer) bool { return p.DataCentre != dataCentre && isUsable(p.Name) }
	n.remote = fill(n.remote, min(others, neighbourCount-wantLocal), peers.all, func(name string) bool { return isRemote(peers.byName[name]) })
}

// fill adds random peers to the chosen ones until there are count. It gives up after a number of
// draws; a later round continues.
func fill(chosen []Peer, count int, from []Peer, isUsable func(name string) bool) []Peer {
	for range 4 * neighbourCount {
		if len(chosen) >= count || len(from) == 0 {
			break
		}
		p := from[rand.IntN(len(from))]
		isChosen := slices.ContainsFunc(chosen, func(c Peer) bool { return c.Name == p.Name })
		if !isChosen && isUsable(p.Name) {
			chosen = append(chosen, p)
		}
	}
	return chosen
}

// all returns the neighbours.
func (n *neighbours) all() []Peer { return append(slices.Clone(n.local), n.remote...) }
