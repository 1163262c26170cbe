package node

import (
	"cmp"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxhall/internal/mirror"
	"foxhall/internal/origin"
)

const (
	// entryHolders and keeperHolders are the numbers of entries and keepers that hold the record of a stream.
	// Further entries take the place of missing keepers, up to maxEntryHolders.
	entryHolders, keeperHolders = 2, 2
	maxEntryHolders             = 3
	// pointsPerMember is the number of points of each member on a ring. More points spread the records more
	// evenly and make the ring larger.
	pointsPerMember = 8
	// minDomains is the least number of data centres with which those are the failure domains of the holders:
	// with one of them lost, holders of two others are left.
	minDomains = 3
)

// holderRings choose the entries and keepers that hold the record of a stream. Keepers outlive a failure of
// all entries.
type holderRings struct {
	entries, keepers *ring
	// self and domain are this instance and its failure domain.
	self, domain string
}

// ring chooses the members that follow a key. A change of the members changes few of the choices.
type ring struct {
	points []ringPoint
	// members is the number of members on the ring.
	members     int
	dataCentres []string
}

type ringPoint struct {
	at     uint64
	member *ringMember
}

type ringMember struct {
	name, dataCentre string
	holder           origin.Holder
}

// newHolderRings returns the rings of the members.
func newHolderRings(members []member, self string, addressOf func(member) netip.AddrPort) *holderRings {
	dataCentres := map[string]bool{}
	for _, m := range members {
		dataCentres[m.DataCentre] = true
	}
	domainOf := func(m member) string {
		if len(dataCentres) < minDomains {
			return m.Name
		}
		return m.DataCentre
	}
	r := &holderRings{entries: &ring{}, keepers: &ring{}, self: self}
	for _, m := range members {
		if m.Name == self {
			r.domain = domainOf(m)
		}
		on := &ringMember{name: m.Name, dataCentre: m.DataCentre, holder: origin.Holder{Address: addressOf(m), Domain: domainOf(m)}}
		switch {
		case m.Entry:
			r.entries.add(on)
		case m.Keeper:
			r.keepers.add(on)
		}
	}
	r.entries.sort()
	r.keepers.sort()
	return r
}

func (r *ring) add(m *ringMember) {
	r.members++
	if !slices.Contains(r.dataCentres, m.dataCentre) {
		r.dataCentres = append(r.dataCentres, m.dataCentre)
	}
	for i := range pointsPerMember {
		r.points = append(r.points, ringPoint{at: xxhash.Sum64String(m.name + " " + strconv.Itoa(i)), member: m})
	}
}

func (r *ring) sort() {
	slices.SortFunc(r.points, func(a, b ringPoint) int { return cmp.Compare(a.at, b.at) })
}

// holders returns the entries and keepers that hold the record of a stream, in different data centres as far as
// there are so many.
func (r *holderRings) holders(key origin.Key) []*ringMember {
	keepers := min(keeperHolders, r.keepers.members)
	entries := min(maxEntryHolders, entryHolders+keeperHolders-keepers)
	chosen := r.entries.choose(make([]*ringMember, 0, entryHolders+keeperHolders), entries, key)
	return r.keepers.choose(chosen, keepers, key)
}

// choose appends up to so many members to those that are chosen.
func (r *ring) choose(chosen []*ringMember, wanted int, key origin.Key) []*ringMember {
	first, _ := slices.BinarySearchFunc(r.points, uint64(key), func(p ringPoint, at uint64) int { return cmp.Compare(p.at, at) })
	others := len(chosen)
	for range min(wanted, r.members) {
		chosen = append(chosen, r.next(chosen, others, first))
	}
	return chosen
}

// next returns the first member from a point on that is not chosen and in none of the data centres to avoid. The
// first of those chosen are others, of another ring.
func (r *ring) next(chosen []*ringMember, others, first int) *ringMember {
	avoided := r.avoided(chosen, chosen[others:])
	for i := range r.points {
		m := r.points[(first+i)%len(r.points)].member
		if !isIn(m.dataCentre, avoided) && !slices.Contains(chosen, m) {
			return m
		}
	}
	panic("node: all members of the ring are chosen")
}

// avoided returns the first of the lists of members that leaves a data centre of the ring, if their data centres
// are avoided; nil for none.
func (r *ring) avoided(lists ...[]*ringMember) []*ringMember {
	for _, members := range lists {
		if slices.ContainsFunc(r.dataCentres, func(dc string) bool { return !isIn(dc, members) }) {
			return members
		}
	}
	return nil
}

// isIn reports whether any of the members is in the data centre.
func isIn(dataCentre string, members []*ringMember) bool {
	return slices.ContainsFunc(members, func(m *ringMember) bool { return m.dataCentre == dataCentre })
}

// replicaView is this instance's view of the replicas.
type replicaView struct {
	mirror   *mirror.Mirror
	feed     *mirror.Feed
	follower *mirror.Follower
}

// Age implements origin.View.
func (v replicaView) Age(now time.Time) time.Duration { return v.mirror.Age(mirror.Replicas, now) }

// Complete implements origin.View.
func (v replicaView) Complete() (since, until time.Time) { return v.feed.Complete() }

// Renew implements origin.View.
func (v replicaView) Renew() <-chan struct{} { return v.follower.Renew() }

// UnansweredFor implements origin.View.
func (v replicaView) UnansweredFor(now time.Time) time.Duration { return v.follower.UnansweredFor(now) }

// originPeers reaches the instances that hold the records of streams.
type originPeers struct{ node *Node }

// Holders implements origin.Peers.
func (p originPeers) Holders(key origin.Key) origin.Holders {
	rings := p.node.fleet.current.Load().rings
	holders := origin.Holders{Domain: rings.domain}
	for _, m := range rings.holders(key) {
		if m.name == rings.self {
			holders.Self = true
			continue
		}
		holders.Others = append(holders.Others, m.holder)
	}
	return holders
}

// Tell implements origin.Peers.
func (p originPeers) Tell(instance netip.AddrPort, records []origin.Record) {
	p.node.load.TellOrigins(instance, records)
}

// Ask implements origin.Peers.
func (p originPeers) Ask(instance netip.AddrPort, question origin.Question) {
	p.node.load.AskOrigin(instance, question)
}
