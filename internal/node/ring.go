package node

import (
	"cmp"
	"net/netip"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"foxhall/internal/origin"
)

const (
	// originHolders is the number of entries that hold the record of a stream, in different data centres as
	// far as there are so many.
	originHolders = 3
	// pointsPerEntry is the number of points of each entry on the ring. More points spread the records more
	// evenly and make the ring larger.
	pointsPerEntry = 8
)

// ring chooses the entries that hold the record of a stream: those that follow its key. A change of the
// registered entries changes the holders of few streams.
type ring struct {
	points []ringPoint
	// entries and dataCentres are the numbers of those on the ring.
	entries, dataCentres int
}

type ringPoint struct {
	at    uint64
	entry *ringEntry
}

type ringEntry struct {
	address    netip.AddrPort
	dataCentre string
	self       bool
}

// newRing returns the ring of the members that take callers' calls.
func newRing(members []member, self string, addressOf func(member) netip.AddrPort) *ring {
	r := &ring{}
	dataCentres := map[string]bool{}
	for _, m := range members {
		if !m.Entry {
			continue
		}
		r.entries++
		dataCentres[m.DataCentre] = true
		entry := &ringEntry{address: addressOf(m), dataCentre: m.DataCentre, self: m.Name == self}
		for i := range pointsPerEntry {
			r.points = append(r.points, ringPoint{at: xxhash.Sum64String(m.Name + " " + strconv.Itoa(i)), entry: entry})
		}
	}
	r.dataCentres = len(dataCentres)
	slices.SortFunc(r.points, func(a, b ringPoint) int { return cmp.Compare(a.at, b.at) })
	return r
}

// holders returns the entries that hold the record of a stream.
func (r *ring) holders(key origin.Key) []*ringEntry {
	wanted, wantedDataCentres := min(originHolders, r.entries), min(originHolders, r.dataCentres)
	chosen := make([]*ringEntry, 0, originHolders)
	var spare []*ringEntry
	first, _ := slices.BinarySearchFunc(r.points, uint64(key), func(p ringPoint, at uint64) int { return cmp.Compare(p.at, at) })
	for i := range r.points {
		if len(chosen) == wantedDataCentres && len(chosen)+len(spare) >= wanted {
			break
		}
		entry := r.points[(first+i)%len(r.points)].entry
		sameDataCentre := func(c *ringEntry) bool { return c.dataCentre == entry.dataCentre }
		switch {
		case slices.Contains(chosen, entry) || slices.Contains(spare, entry):
		case !slices.ContainsFunc(chosen, sameDataCentre):
			chosen = append(chosen, entry)
		case len(spare) < originHolders:
			spare = append(spare, entry)
		}
	}
	return append(chosen, spare[:min(len(spare), wanted-len(chosen))]...)
}

// originPeers reaches the entries that hold the records of streams.
type originPeers struct{ node *Node }

// Holders implements origin.Peers.
func (p originPeers) Holders(key origin.Key) (others []netip.AddrPort, self bool) {
	for _, entry := range p.node.fleet.current.Load().ring.holders(key) {
		if entry.self {
			self = true
			continue
		}
		others = append(others, entry.address)
	}
	return others, self
}

// Tell implements origin.Peers.
func (p originPeers) Tell(instance netip.AddrPort, records []origin.Record) {
	p.node.load.TellOrigins(instance, records)
}

// Ask implements origin.Peers.
func (p originPeers) Ask(instance netip.AddrPort, question origin.Question) {
	p.node.load.AskOrigin(instance, question)
}
