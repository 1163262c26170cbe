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

// Instances queue at one upstream while others stand idle: none knows of the
// others' calls. What they tell must count, and no longer than it is told.
func TestOthersCallsCountWhileTheyAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		x, u := newTestExchange()
		x.recordLoad(loadOf("a", "here", 2), time.Now())
		x.recordLoad(loadOf("b", "there", 3), time.Now())
		x.sumPendingLoads()
		load := u.Load(time.Now().UnixNano())
		is.Equal([]int{load.Own, load.Total, load.Backlog}, []int{0, 5, 50})
		time.Sleep(sumInterval)
		x.recordLoad(loadOf("a", "here", 1), time.Now())
		is.Equal(u.Load(time.Now().UnixNano()).Total, 4)
		time.Sleep(loadLifetime)
		is.Equal(u.Load(time.Now().UnixNano()).Total, 0)
	})
}

// Calls go into a data centre that is cut off. It must be seen by its silence,
// and one that was never heard must not pass for cut off.
func TestSilenceIsOfDataCentresThatWereHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		x, _ := newTestExchange()
		is.Equal(x.DataCentreSilentFor("there"), time.Duration(0))
		is.True(x.HeardOrUnknown("b", time.Second))
		_, heard := x.SilentFor("b")
		is.True(!heard)
		x.recordLoad(loadOf("b", "there", 1), time.Now())
		time.Sleep(2 * time.Second)
		is.Equal(x.DataCentreSilentFor("there"), 2*time.Second)
		is.Equal(x.DataCentreSilentFor("here"), time.Duration(0))
		is.True(!x.HeardOrUnknown("b", time.Second))
		age, _ := x.SilentFor("b")
		is.Equal(age, 2*time.Second)
	})
}

// Callers of a data centre that is cut off are refused as long as the cut lasts:
// its entries count as ready, and the balancer goes on sending callers there.
// An entry must see from the silence of all others that it is the one cut off,
// and must not take the loss of one data centre, or a start, for that.
func TestCutOffIsTheSilenceOfAllOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		x, _ := newTestExchange()
		is.True(x.IsolatedFor(nil) < time.Second)
		x.recordLoad(loadOf("a", "here", 1), time.Now())
		x.recordLoad(loadOf("b", "there", 1), time.Now())
		time.Sleep(2 * time.Second)
		x.recordLoad(loadOf("a", "here", 1), time.Now())
		is.True(x.IsolatedFor(nil) < time.Second)
		x.recordLoad(loadOf("c", "elsewhere", 1), time.Now())
		is.True(x.IsolatedFor(nil) < time.Second)
		time.Sleep(2 * time.Second)
		x.recordLoad(loadOf("a", "here", 1), time.Now())
		is.True(x.IsolatedFor(nil) > time.Second)
		x.recordLoad(loadOf("b", "there", 1), time.Now())
		is.True(x.IsolatedFor(nil) < time.Second)
	})
}

// The same in a fleet of one data centre, where an instance is cut off alone.
func TestCutOffAloneInOneDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		x, _ := newTestExchange()
		x.recordLoad(loadOf("a", "here", 1), time.Now())
		time.Sleep(2 * time.Second)
		is.True(x.IsolatedFor(nil) < time.Second)
		x.recordLoad(loadOf("b", "here", 1), time.Now())
		is.True(x.IsolatedFor(nil) < time.Second)
		time.Sleep(2 * time.Second)
		is.True(x.IsolatedFor(nil) > time.Second)
	})
}

// Each instance learns by its own callers' failures which replica fails all calls:
// with fifty instances hundreds of turns fail. One's word must be enough for all,
// and no longer than it is told.
func TestErringReplicasAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		x, u := newTestExchange()
		for range 3 {
			u.Failed(time.Now(), upstream.Failure{Kind: upstream.Errored})
		}
		is.Equal(x.ownLoad().Erring, []uint64{xxhash.Sum64String("u")})
		y, other := newTestExchange()
		y.recordLoad(x.ownLoad(), time.Now())
		is.True(other.Load(time.Now().UnixNano()).ErrorRate > 0)
		is.True(!other.HasHighErrorRate(time.Now()))
		time.Sleep(loadLifetime + time.Millisecond)
		is.Equal(other.Load(time.Now().UnixNano()).ErrorRate, 0.0)
	})
}

// An entry among seventy spends half of its processor time on adding up what its
// peers tell. The sums must not grow with the datagrams.
func BenchmarkTake(b *testing.B) {
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
		x.recordLoad(peer, now)
	}
	for b.Loop() {
		now = now.Add(2500 * time.Microsecond)
		x.recordLoad(load, now)
	}
}

// All callers of a data centre that is cut off stay with the one instance there that
// has just started: it never heard the others, and says that it is ready. It must
// count them as silent since its start, and only those that have instances.
func TestInstanceThatStartsBehindACutIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		x, _ := newTestExchange()
		others := []string{"here", "there", "elsewhere"}
		x.recordLoad(loadOf("neighbour", "here", 1), time.Now())
		time.Sleep(time.Second)
		x.recordLoad(loadOf("neighbour", "here", 1), time.Now())
		is.Equal(x.IsolatedFor(others), time.Second)
		is.Equal(x.IsolatedFor([]string{"here", "there"}), time.Duration(0))
		x.recordLoad(loadOf("b", "there", 1), time.Now())
		is.Equal(x.IsolatedFor(others), time.Duration(0))
	})
}
