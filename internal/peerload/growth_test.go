package peerload

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"foxhall/internal/peerload/peerloadpb"
	"foxhall/internal/upstream"
	"foxhall/internal/usage"
)

// newLargeExchange returns an exchange with a number of upstreams.
func newLargeExchange(upstreams int) (*Exchange, *upstream.Table) {
	table := upstream.NewTable()
	var listed []usage.Upstream
	for i := range upstreams {
		listed = append(listed, usage.Upstream{Name: fmt.Sprint("u", i), Kind: usage.KindService, Service: "s", Slots: 4})
	}
	table.Apply(listed, time.Now())
	peers := func() []*net.UDPAddr { return nil }
	return New("me", "here", EntryFanout, table, peers, &log.Logger{Handler: discard.Default}), table
}

// Guards against processor time that grows with the number of upstreams at each datagram. A load
// must change the upstreams that it names or that its sender's former one named, and no other.
func TestLoadChangesOnlyTheUpstreamsThatItNames(t *testing.T) {
	for _, size := range []int{100, 200, 400} {
		is := is.New(t)
		x, table := newLargeExchange(size)
		now := time.Now()
		mark := now.Add(time.Hour)
		for _, u := range table.Snapshot().All {
			u.SetRemoteLoad(7, 0, mark)
		}
		named := func(from string, i int) *peerloadpb.Load {
			return &peerloadpb.Load{From: from, Upstreams: []uint64{upstream.NameHash(fmt.Sprint("u", i))}, Calls: []uint32{2}, Backlog: []uint32{0}}
		}
		x.RecordLoad(named("a", 1), now)
		x.RecordLoad(named("b", 1), now)
		x.RecordLoad(named("a", 2), now)
		want := map[string]int{"u1": 2, "u2": 2}
		for _, u := range table.Snapshot().All {
			expected, isNamed := want[u.Name]
			if !isNamed {
				expected = 7
			}
			is.Equal(u.Load(now.UnixNano()).Total, expected)
		}
	}
}

// Guards against an upstream that counts as loaded by a peer that has long sent nothing, because
// other peers report calls to it too.
func TestLoadOfASilentPeerExpiresBesideThatOfOthers(t *testing.T) {
	is := is.New(t)
	x, table := newLargeExchange(1)
	u := table.Snapshot().All[0]
	load := func(from string, calls uint32) *peerloadpb.Load {
		return &peerloadpb.Load{From: from, Upstreams: []uint64{u.Hash}, Calls: []uint32{calls}, Backlog: []uint32{0}}
	}
	begin := time.Now()
	x.RecordLoad(load("silent", 5), begin)
	later := begin.Add(loadLifetime)
	x.RecordLoad(load("other", 3), later)
	is.Equal(u.Load(later.UnixNano()).Total, 8)
	later = later.Add(time.Millisecond)
	x.expireLoads(later)
	is.Equal(u.Load(later.UnixNano()).Total, 3)
}
