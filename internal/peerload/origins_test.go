package peerload

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"foxhall/internal/origin"
	"foxhall/internal/peerload/peerloadpb"
	"foxhall/internal/upstream"
)

// originInstance is an exchange over a real socket whose records have fixed holders.
type originInstance struct {
	*Exchange
	registry *origin.Registry
	metrics  metrics.Registry
	address  netip.AddrPort
	holders  []netip.AddrPort
}

func newOriginInstance(t testing.TB) *originInstance {
	return newOriginInstanceAt(t, time.Now(), "v1", "v2")
}

// newOriginInstanceAt returns an instance that has seen these versions since a time.
func newOriginInstanceAt(t testing.TB, since time.Time, listed ...string) *originInstance {
	is := is.New(t)
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	n := &originInstance{metrics: metrics.NewRegistry(), address: conn.LocalAddr().(*net.UDPAddr).AddrPort()}
	n.Exchange = New(n.address.String(), "here", EntryFanout, upstream.NewTable(), func() []*net.UDPAddr { return nil }, &log.Logger{Handler: discard.Default})
	versions := origin.NewVersions()
	versions.Begin(since)
	for _, version := range listed {
		versions.Replace(nil, &origin.Replica{Service: "s", Version: version}, time.Now())
	}
	n.registry = origin.NewRegistry(versions, n, currentView{since}, n.metrics)
	n.SetOrigins(n.registry, n.metrics)
	go n.Run(ctx, conn)
	for n.conn.Load() == nil {
		time.Sleep(time.Millisecond)
	}
	return n
}

// currentView is a view that is always new.
type currentView struct{ since time.Time }

// Age implements origin.View.
func (currentView) Age(time.Time) time.Duration { return 0 }

// Complete implements origin.View.
func (v currentView) Complete() (since, until time.Time) { return v.since, time.Now() }

// UnansweredFor implements origin.View.
func (currentView) UnansweredFor(time.Time) time.Duration { return 0 }

// Renew implements origin.View.
func (currentView) Renew() <-chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}

// Holders implements origin.Peers.
func (n *originInstance) Holders(origin.Key) origin.Holders {
	holders := origin.Holders{}
	for _, address := range n.holders {
		holders.Others = append(holders.Others, origin.Holder{Address: address, Domain: address.String()})
	}
	return holders
}

// Tell implements origin.Peers.
func (n *originInstance) Tell(to netip.AddrPort, records []origin.Record) { n.TellOrigins(to, records) }

// Ask implements origin.Peers.
func (n *originInstance) Ask(to netip.AddrPort, q origin.Question) { n.AskOrigin(to, q) }

func originStream(call string) origin.Stream {
	return origin.Stream{Service: "s", Customer: "c", Call: call, Life: 10 * time.Second}
}

// Guards against records, questions and answers that are lost in their encoding.
func TestVersionOfAStreamTravelsBetweenInstances(t *testing.T) {
	is := is.New(t)
	began, holder, asks := newOriginInstance(t), newOriginInstance(t), newOriginInstance(t)
	began.holders, asks.holders = []netip.AddrPort{holder.address}, []netip.AddrPort{holder.address}
	long := origin.ShortVersion(strings.Repeat("v", 1000))
	for i, version := range []string{"v1", "v2", "", long} {
		s := originStream(fmt.Sprint("call", i))
		began.registry.Began(s, version)
		for holder.registry.Len() <= i {
			time.Sleep(time.Millisecond)
		}
		got := asks.registry.Resolve(t.Context(), s)
		is.Equal(got, origin.Resolution{Source: origin.Told, Version: version, Answers: 1})
	}
	is.Equal(asks.registry.Resolve(t.Context(), originStream("never")).Source, origin.Unknown)
}

// Guards against spans of views that are lost in their encoding: a holder has seen what the instance that asks has not.
func TestSpanOfAViewTravelsBetweenInstances(t *testing.T) {
	is := is.New(t)
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	defer socket.Close()
	n, to := newOriginInstanceAt(t, time.Now().Add(-time.Hour), "v1"), socket.LocalAddr().(*net.UDPAddr).AddrPort()
	for _, span := range []time.Duration{0, time.Second} {
		n.AskOrigin(to, origin.Question{Key: 1, Service: "s", Life: 10 * time.Second, ViewSpan: span})
		question := receiveLoad(t, socket)
		n.receiveOrigins(question, to)
		is.Equal(receiveLoad(t, socket).OriginAnswer.Covers, span > 0)
	}
}

func receiveLoad(t *testing.T, socket *net.UDPConn) *peerloadpb.Load {
	is, load := is.New(t), &peerloadpb.Load{}
	buffer := make([]byte, maxDatagramBytes)
	size, _, err := socket.ReadFromUDPAddrPort(buffer)
	is.NoErr(err)
	is.NoErr(proto.Unmarshal(buffer[:size], load))
	return load
}

// Guards against a datagram about streams that an instance of an earlier version takes for a load report, by
// which a data centre without a name would count as heard.
func TestOlderInstancesIgnoreOrigins(t *testing.T) {
	is := is.New(t)
	for _, load := range originDatagrams(t) {
		load.Origins, load.OriginQuestion, load.OriginAnswer = nil, nil, nil // what an older instance decodes
		is.True(hasContents(load))
		is.Equal(len(decodeContents(load.Contents)), 0)
	}
}

// originDatagrams returns a datagram of each kind, as received.
func originDatagrams(t *testing.T) []*peerloadpb.Load {
	is := is.New(t)
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	defer socket.Close()
	n, to := newOriginInstance(t), socket.LocalAddr().(*net.UDPAddr).AddrPort()
	n.TellOrigins(to, []origin.Record{{Key: 1, Version: "v1", Life: time.Second}})
	n.AskOrigin(to, origin.Question{Key: 1, Service: "s", Life: time.Second})
	n.receiveOrigins(&peerloadpb.Load{OriginQuestion: &peerloadpb.OriginQuestion{Stream: 1, Service: "s", LifeMs: 1000}}, to)
	var loads []*peerloadpb.Load
	for range 3 {
		buffer := make([]byte, maxDatagramBytes)
		size, _, err := socket.ReadFromUDPAddrPort(buffer)
		is.NoErr(err)
		load := &peerloadpb.Load{}
		is.NoErr(proto.Unmarshal(buffer[:size], load))
		loads = append(loads, load)
	}
	return loads
}

const (
	// designRate is the number of streams per second of an entry at the size to design for.
	designRate = 62
	// controlBytes is the control traffic per second that an instance may have there, in bytes.
	controlBytes = 7000
	// originHolders is the number of holders of each record.
	originHolders = 4
)

// Guards against records that take more than their part of an instance's control traffic: a second of streams
// is sent and received, each in a datagram of its own, while two versions serve.
func TestBytesOfTheVersionsOfStreams(t *testing.T) {
	is := is.New(t)
	n := newOriginInstance(t)
	for range originHolders {
		n.holders = append(n.holders, newOriginInstance(t).address)
	}
	for i := range designRate {
		n.registry.Began(originStream(fmt.Sprint("call", i)), "v1.2")
	}
	sent := metrics.GetOrRegisterCounter("streams.origin.datagrams.sent", n.metrics).Count()
	bytes := metrics.GetOrRegisterCounter("streams.origin.datagrams.bytes", n.metrics).Count()
	is.Equal(sent, int64(originHolders*designRate))
	t.Logf("%d records per second: %d bytes sent in %d datagrams", designRate, bytes, sent)
	is.True(bytes <= controlBytes)
}

// Guards against records that don't fit a datagram when many are told at once.
func TestManyRecordsAreSplitIntoDatagrams(t *testing.T) {
	is := is.New(t)
	n, holder := newOriginInstance(t), newOriginInstance(t)
	version := strings.Repeat("v", origin.MaxVersionBytes)
	var records []origin.Record
	for i := range 1000 {
		records = append(records, origin.Record{Key: origin.Key(i), Version: version, Life: time.Minute})
	}
	n.TellOrigins(holder.address, records)
	for deadline := time.Now().Add(5 * time.Second); holder.registry.Len() < len(records) && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(holder.registry.Len(), len(records))
}

// Compares what the record of a stream costs before its first event leaves, as a ratio: with the datagrams to
// its holders, and without.
func BenchmarkBegan(b *testing.B) {
	for _, holders := range []int{0, originHolders} {
		b.Run(fmt.Sprint(holders, " holders"), func(b *testing.B) {
			n := newOriginInstance(b)
			for range holders {
				n.holders = append(n.holders, newOriginInstance(b).address)
			}
			for i := range b.N {
				n.registry.Began(originStream(fmt.Sprint(i)), "v1")
			}
		})
	}
}

// Measures what a record costs its holder, apart from the system call that reads it, while the table is full.
func BenchmarkReceiveOrigin(b *testing.B) {
	n := newOriginInstance(b)
	load := &peerloadpb.Load{Contents: []*peerloadpb.QuarantinedContent{{}}, Origins: []*peerloadpb.StreamOrigin{{Version: "v1.2", LifeMs: 10000}}}
	for i := range b.N {
		load.Origins[0].Stream = uint64(i)
		b.StopTimer()
		data, err := proto.Marshal(load)
		if err != nil {
			b.Fatal(err)
		}
		b.StartTimer()
		got := &peerloadpb.Load{}
		if proto.Unmarshal(data, got) != nil || !isConsistent(got) || !hasOrigins(got) {
			b.Fatal("not received")
		}
		n.receiveOrigins(got, n.address)
	}
}
