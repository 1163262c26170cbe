package peerload

import (
	"time"

	"foxhall/internal/peerload/peerloadpb"
	"foxhall/internal/upstream"
)

// loadSums sums the loads of the other instances by upstream. A load that arrives replaces the
// sender's former one, which costs as much as the calls in both, however many peers and upstreams
// there are.
type loadSums struct {
	table *upstream.Table
	peers map[string]*receivedLoad
	// oldest and newest are the ends of the list of the peers' loads, in the order of their arrival.
	oldest, newest *receivedLoad
	sums           map[uint64]remoteLoad
	// lowered is set if the calls at some upstream became fewer since it was last cleared.
	lowered bool
}

// receivedLoad is the last load of a peer, in a linked list.
type receivedLoad struct {
	load           *peerloadpb.Load
	receivedAt     time.Time
	previous, next *receivedLoad
}

// remoteLoad is the load of an upstream by calls of other instances.
type remoteLoad struct{ calls, backlog int }

func newLoadSums(table *upstream.Table) loadSums {
	return loadSums{table: table, peers: map[string]*receivedLoad{}, sums: map[uint64]remoteLoad{}}
}

// replace replaces a peer's load. peerCount is the number of all peers, to which the sums are
// extrapolated.
func (s *loadSums) replace(load *peerloadpb.Load, peerCount int, now time.Time) {
	s.expire(peerCount, now)
	old := s.peers[load.From]
	if old != nil {
		s.add(old.load, -1)
		s.unlink(old)
	}
	s.add(load, 1)
	received := &receivedLoad{load: load, receivedAt: now}
	s.peers[load.From] = received
	s.append(received)
	scale := s.scale(peerCount)
	s.publish(load, scale, now)
	if old != nil {
		s.publish(old.load, scale, now)
	}
	for _, hash := range load.Erring {
		if u := s.table.ByHash(hash); u != nil {
			u.PeerReportedErrors(now.Add(loadLifetime))
		}
	}
}

// expire removes the loads that are older than loadLifetime.
func (s *loadSums) expire(peerCount int, now time.Time) {
	for s.oldest != nil && now.Sub(s.oldest.receivedAt) > loadLifetime {
		expired := s.oldest
		s.add(expired.load, -1)
		s.unlink(expired)
		delete(s.peers, expired.load.From)
		s.publish(expired.load, s.scale(peerCount), now)
	}
}

// scale returns the factor from the load of the reporting peers to that of all peers. With few
// loads, the peers that sent none are down or unreachable, so there is nothing to extrapolate to.
func (s *loadSums) scale(peerCount int) float64 {
	reporting := len(s.peers)
	if reporting < EntryFanout/2 {
		return 1
	}
	return max(1, float64(peerCount)/float64(reporting))
}

func (s *loadSums) add(load *peerloadpb.Load, sign int) {
	for i, hash := range load.Upstreams {
		sum := s.sums[hash]
		sum.calls += sign * int(load.Calls[i])
		sum.backlog += sign * int(load.Backlog[i])
		if sum == (remoteLoad{}) {
			delete(s.sums, hash)
			continue
		}
		s.sums[hash] = sum
	}
}

// publish sets the remote load of the upstreams that a load names.
func (s *loadSums) publish(load *peerloadpb.Load, scale float64, now time.Time) {
	for _, hash := range load.Upstreams {
		if u := s.table.ByHash(hash); u != nil {
			sum := s.sums[hash]
			if u.SetRemoteLoad(int(scale*float64(sum.calls)), int(scale*float64(sum.backlog)), now.Add(loadLifetime)) {
				s.lowered = true
			}
		}
	}
}

func (s *loadSums) append(r *receivedLoad) {
	r.previous = s.newest
	if s.newest != nil {
		s.newest.next = r
	} else {
		s.oldest = r
	}
	s.newest = r
}

func (s *loadSums) unlink(r *receivedLoad) {
	if r.previous != nil {
		r.previous.next = r.next
	} else {
		s.oldest = r.next
	}
	if r.next != nil {
		r.next.previous = r.previous
	} else {
		s.newest = r.previous
	}
}
