package peerload

import (
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	_ "foxhall/internal/fuzzing" // one processor under the race detector
	"foxhall/internal/peerload/peerloadpb"
	"foxhall/internal/upstream"
	"foxhall/internal/usage"
)

func newTestExchange() (*Exchange, *upstream.Upstream) {
	table := upstream.NewTable()
	table.Apply([]usage.Upstream{{Name: "u", Address: "u", Kind: usage.KindService, Service: "s", Slots: 4}}, time.Now())
	peers := func() []*net.UDPAddr { return make([]*net.UDPAddr, 2) }
	x := New("me", "here", EntryFanout, table, peers, &log.Logger{Handler: discard.Default})
	return x, table.Snapshot().Upstream("u")
}

func loadOf(from, dataCentre string, calls uint32) *peerloadpb.Load {
	return &peerloadpb.Load{From: from, DataCentre: dataCentre, Upstreams: []uint64{xxhash.Sum64String("u")}, Calls: []uint32{calls}, Backlog: []uint32{10 * calls}}
}

// Guards against calls that queue at one upstream while others are idle, because no instance knows
// the calls of the others. Reported load must count, and only until it expires.
func TestRemoteLoadCountsUntilItExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		x, u := newTestExchange()
		x.RecordLoad(loadOf("a", "here", 2), time.Now())
		x.RecordLoad(loadOf("b", "there", 3), time.Now())
		load := u.Load(time.Now().UnixNano())
		is.Equal([]int{load.Own, load.Total, load.Backlog}, []int{0, 5, 50})
		x.RecordLoad(loadOf("a", "here", 1), time.Now())
		is.Equal(u.Load(time.Now().UnixNano()).Total, 4)
		time.Sleep(loadLifetime)
		is.Equal(u.Load(time.Now().UnixNano()).Total, 0)
	})
}

// Guards against calls to a data centre behind a network partition. It must be detected by its
// silence, and a data centre without any contact so far must not count as silent.
func TestOnlyContactedDataCentresBecomeSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		x, _ := newTestExchange()
		is.Equal(x.DataCentreSilentFor("there"), time.Duration(0))
		is.True(x.ReachableOrUnknown("b", time.Second))
		_, heard := x.SilentFor("b")
		is.True(!heard)
		x.RecordLoad(loadOf("b", "there", 1), time.Now())
		time.Sleep(2 * time.Second)
		is.Equal(x.DataCentreSilentFor("there"), 2*time.Second)
		is.Equal(x.DataCentreSilentFor("here"), time.Duration(0))
		is.True(!x.ReachableOrUnknown("b", time.Second))
		age, _ := x.SilentFor("b")
		is.Equal(age, 2*time.Second)
	})
}

// Guards against refusing callers of an isolated data centre for as long as it is isolated, because
// its entries count as ready and the load balancer keeps sending callers there. An entry must
// conclude from the silence of all others that it is isolated, but not from the loss of one data
// centre or from its own start.
func TestIsolationIsTheSilenceOfAllOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		x, _ := newTestExchange()
		is.True(x.IsolatedFor(nil) < time.Second)
		x.RecordLoad(loadOf("a", "here", 1), time.Now())
		x.RecordLoad(loadOf("b", "there", 1), time.Now())
		time.Sleep(2 * time.Second)
		x.RecordLoad(loadOf("a", "here", 1), time.Now())
		is.True(x.IsolatedFor(nil) < time.Second)
		x.RecordLoad(loadOf("c", "elsewhere", 1), time.Now())
		is.True(x.IsolatedFor(nil) < time.Second)
		time.Sleep(2 * time.Second)
		x.RecordLoad(loadOf("a", "here", 1), time.Now())
		is.True(x.IsolatedFor(nil) > time.Second)
		x.RecordLoad(loadOf("b", "there", 1), time.Now())
		is.True(x.IsolatedFor(nil) < time.Second)
	})
}

// The same in a fleet of one data centre, in which a single instance is isolated.
func TestIsolationInAFleetOfOneDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		x, _ := newTestExchange()
		x.RecordLoad(loadOf("a", "here", 1), time.Now())
		time.Sleep(2 * time.Second)
		is.True(x.IsolatedFor(nil) < time.Second)
		x.RecordLoad(loadOf("b", "here", 1), time.Now())
		is.True(x.IsolatedFor(nil) < time.Second)
		time.Sleep(2 * time.Second)
		is.True(x.IsolatedFor(nil) > time.Second)
	})
}

// If each instance learned only from its own callers' failures which replica fails all calls,
// hundreds of turns would fail with fifty instances. The report of one instance must suffice for
// all, and only until it expires.
func TestFailingReplicasAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		x, u := newTestExchange()
		for range 3 {
			u.RecordFailure(time.Now(), upstream.Failure{Kind: upstream.Errored})
		}
		is.Equal(x.ownLoad().Erring, []uint64{xxhash.Sum64String("u")})
		y, other := newTestExchange()
		y.RecordLoad(x.ownLoad(), time.Now())
		is.True(other.Load(time.Now().UnixNano()).ErrorRate > 0)
		is.True(!other.HasHighErrorRate(time.Now()))
		time.Sleep(loadLifetime + time.Millisecond)
		is.Equal(other.Load(time.Now().UnixNano()).ErrorRate, 0.0)
	})
}

// Guards against an entry in a fleet of seventy spending half of its processor time on sums over
// its peers' loads. The number of sums must not grow with the number of datagrams.
func BenchmarkRecordLoad(b *testing.B) {
	x, _ := newTestExchange()
	now := time.Now()
	load := loadOf("a", "here", 2)
	for i := range 70 {
		load.Upstreams = append(load.Upstreams, uint64(i))
		load.Calls, load.Backlog = append(load.Calls, 1), append(load.Backlog, 1)
	}
	for i := range 70 {
		peer := proto.Clone(load).(*peerloadpb.Load)
		peer.From = fmt.Sprint(i)
		x.RecordLoad(peer, now)
	}
	for b.Loop() {
		now = now.Add(2500 * time.Microsecond)
		x.RecordLoad(load, now)
	}
}

// Guards against all callers of an isolated data centre staying with an instance there that has
// just started: it had no contact with the others and reports that it is ready. It must count other
// data centres as silent since its start, but only those that have instances.
func TestInstanceStartedInAPartitionIsIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		x, _ := newTestExchange()
		others := []string{"here", "there", "elsewhere"}
		x.RecordLoad(loadOf("neighbour", "here", 1), time.Now())
		time.Sleep(time.Second)
		x.RecordLoad(loadOf("neighbour", "here", 1), time.Now())
		is.Equal(x.IsolatedFor(others), time.Second)
		is.Equal(x.IsolatedFor([]string{"here", "there"}), time.Duration(0))
		x.RecordLoad(loadOf("b", "there", 1), time.Now())
		is.Equal(x.IsolatedFor(others), time.Duration(0))
	})
}

// Guards against calls that wait although a peer has reported that an upstream has fewer calls, and against
// scans for each datagram: only a lower number of calls is reported, by a datagram, by a datagram that no
// longer names the upstream, or by the expiry of a silent peer's load.
func TestLowerLoadsAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		x, u := newTestExchange()
		reports := 0
		x.OnLoadLowered(func() {
			reports++
			x.SilentFor("a") // the exchange may be used within the call
		})
		record := func(from string, calls uint32) int {
			reports = 0
			x.RecordLoad(loadOf(from, "here", calls), time.Now())
			return reports
		}
		is.Equal(record("a", 4), 0)
		is.Equal(record("a", 4), 0)
		is.Equal(record("b", 2), 0)
		is.Equal(record("a", 3), 1)
		is.Equal(record("a", 5), 0)
		reports = 0
		x.RecordLoad(&peerloadpb.Load{From: "a", DataCentre: "here"}, time.Now())
		is.Equal(reports, 1)
		is.Equal(u.Load(time.Now().UnixNano()).Total, 2)
		reports = 0
		time.Sleep(loadLifetime + time.Millisecond)
		x.expireLoads(time.Now())
		x.expireLoads(time.Now())
		is.Equal(reports, 1)
	})
}
