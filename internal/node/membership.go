package node

import (
	"maps"
	"net"
	"net/netip"
	"slices"

	"foxhall/internal/history"
	"foxhall/internal/mirror"
)

// membership is an immutable view of the registered instances. It is made once for each change of
// them.
type membership struct {
	members map[string]member
	// others are all members but this instance, sorted by name.
	others []member
	// dataCentres are the sorted data centres of the members.
	dataCentres []string
	// entryCount is the number of members that take calls, and entryIndex the number of those whose
	// names sort before this instance's.
	entryCount, entryIndex int
	// entryAddresses and keeperAddresses are the datagram addresses of the other instances that take
	// calls or share the shards.
	entryAddresses, keeperAddresses []*net.UDPAddr
	// candidates are the keepers that share the shards, sorted by name.
	candidates []history.Candidate
	// peers are the others, or the instances at the seeds' addresses while there are none.
	peers *mirror.Peers
	// rings choose the instances that hold the records of streams.
	rings *holderRings
}

// newMembership returns the view of the present members.
func (f *fleet) newMembership() *membership {
	v := &membership{members: maps.Clone(f.members)}
	dataCentres := map[string]bool{}
	var peers []mirror.Peer
	var keepers []history.Candidate
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(v.members)) {
		m := v.members[name]
		dataCentres[m.DataCentre] = true
		if m.Entry {
			v.entryCount++
		}
		if m.Entry && name < f.settings.Instance {
			v.entryIndex++
		}
		if m.Keeper {
			keepers = append(keepers, history.Candidate{Name: m.Name, DataCentre: m.DataCentre})
		}
		if name == f.settings.Instance {
			continue
		}
		v.others = append(v.others, m)
		peers = append(peers, mirror.Peer{Name: m.Name, DataCentre: m.DataCentre, Relay: f.relayClient(m.IP)})
		if m.Entry {
			v.entryAddresses = append(v.entryAddresses, f.datagramAddress(m))
		}
	}
	v.candidates = history.ActiveKeepers(keepers, f.holders)
	for _, k := range v.candidates {
		if k.Name != f.settings.Instance {
			v.keeperAddresses = append(v.keeperAddresses, f.datagramAddress(v.members[k.Name]))
		}
	}
	if len(peers) == 0 {
		peers = f.seedPeers()
	}
	v.dataCentres = slices.Sorted(maps.Keys(dataCentres))
	v.peers = mirror.NewPeers(peers)
	v.rings = newHolderRings(slices.Collect(maps.Values(v.members)), f.settings.Instance, func(m member) netip.AddrPort {
		a := f.datagramAddress(m).AddrPort()
		return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
	})
	return v
}

func (f *fleet) datagramAddress(m member) *net.UDPAddr {
	return &net.UDPAddr{IP: net.ParseIP(m.IP), Port: f.settings.PeerPort}
}

// seedPeers returns the instances at the seeds' addresses; the lock is held.
func (f *fleet) seedPeers() []mirror.Peer {
	var peers []mirror.Peer
	for _, ip := range f.settings.Seeds {
		if ip != f.settings.IP {
			peers = append(peers, mirror.Peer{Name: ip, Relay: f.relayClient(ip)})
		}
	}
	return peers
}
