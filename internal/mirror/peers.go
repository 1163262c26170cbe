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
	// neighbourCount is the number of neighbours of an instance. The graph of all instances is then
	// connected, and stays so when a third of them are lost.
	neighbourCount = 8
	// neighbourLifetime is the time after which one of the neighbours is replaced, so that no group
	// of instances has only each other for long.
	neighbourLifetime = 10 * time.Second
)

// neighbours are the peers with which an instance exchanges state regularly. They change slowly:
// each exchange with another peer opens a connection, and with random peers an instance of a large
// fleet would hold connections to most of the others.
type neighbours struct {
	chosen    []Peer
	rotatedAt time.Time
}

// refresh replaces neighbours that are gone or may not be queried, and the oldest one after
// neighbourLifetime.
func (n *neighbours) refresh(peers *Peers, isUsable func(name string) bool, now time.Time) {
	n.chosen = slices.DeleteFunc(n.chosen, func(p Peer) bool {
		present, ok := peers.byName[p.Name]
		return !ok || present != p || !isUsable(p.Name)
	})
	if len(n.chosen) >= neighbourCount && now.Sub(n.rotatedAt) >= neighbourLifetime {
		n.chosen, n.rotatedAt = slices.Delete(n.chosen, 0, 1), now
	}
	for range neighbourCount {
		if len(n.chosen) >= min(neighbourCount, len(peers.all)) {
			return
		}
		p := peers.all[rand.IntN(len(peers.all))]
		if !n.contains(p.Name) && isUsable(p.Name) {
			n.chosen = append(n.chosen, p)
		}
	}
}

func (n *neighbours) contains(name string) bool {
	return slices.ContainsFunc(n.chosen, func(p Peer) bool { return p.Name == name })
}
