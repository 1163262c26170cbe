package peerload

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"foxhall/internal/peerload/peerloadpb"
	"foxhall/internal/quarantine"
	"foxhall/internal/upstream"
)

// contentsFleet is a fleet of exchanges over real sockets.
type contentsFleet struct {
	is        *is.I
	ctx       context.Context
	mu        sync.Mutex
	addresses []*net.UDPAddr
	tables    []*quarantine.Table
	exchanges []*Exchange
}

func newContentsFleet(t *testing.T, n int) *contentsFleet {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f := &contentsFleet{is: is.New(t), ctx: ctx}
	for range n {
		f.start()
	}
	return f
}

// start starts one more instance, which knows the others and is known to them.
func (f *contentsFleet) start() *quarantine.Table {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	f.is.NoErr(err)
	own := conn.LocalAddr().(*net.UDPAddr)
	peers := func() []*net.UDPAddr {
		f.mu.Lock()
		defer f.mu.Unlock()
		var others []*net.UDPAddr
		for _, a := range f.addresses {
			if a.Port != own.Port {
				others = append(others, a)
			}
		}
		return others
	}
	registry := metrics.NewRegistry()
	table := quarantine.NewTable(registry)
	x := New(own.String(), "here", EntryFanout, upstream.NewTable(), peers, &log.Logger{Handler: discard.Default})
	x.SetQuarantine(table, registry)
	f.mu.Lock()
	f.addresses, f.tables, f.exchanges = append(f.addresses, own), append(f.tables, table), append(f.exchanges, x)
	f.mu.Unlock()
	go x.Run(f.ctx, conn)
	return table
}

// waitUntilKnown waits until all tables count so many ends under the content.
func (f *contentsFleet) waitUntilKnown(t *testing.T, tables []*quarantine.Table, content quarantine.Fingerprint, ends int) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		known := 0
		for _, table := range tables {
			if table.Standing(content, time.Now()).Ends == ends {
				known++
			}
		}
		if known == len(tables) {
			return
		}
	}
	t.Fatalf("not all of %d instances count %d ends", len(tables), ends)
}

func fingerprintOf(name string) quarantine.Fingerprint {
	c := quarantine.Content{Body: []byte(name)}
	return c.Fingerprint()
}

func recordEnds(table *quarantine.Table, content quarantine.Fingerprint, names ...string) {
	for _, name := range names {
		now := time.Now()
		table.RecordEnd(content, quarantine.End{Replica: name, Evidence: quarantine.Proven, Began: now.Add(-time.Millisecond), At: now}, now)
	}
}

// Guards against a call that goes on at another instance as if nothing had ended: each end reaches all
// instances, also where the first sender does not reach all, and so does a completion.
func TestEndsReachAllInstances(t *testing.T) {
	f := newContentsFleet(t, 2*EntryFanout)
	content := fingerprintOf("poison")
	recordEnds(f.tables[0], content, "a")
	recordEnds(f.tables[1], content, "b")
	recordEnds(f.tables[2], content, "c")
	f.waitUntilKnown(t, f.tables, content, 3)
	f.tables[3].RecordCompletion(content, time.Now())
	f.waitUntilKnown(t, f.tables, content, 0)
}

// Guards against an instance that has started and sends what the others reject.
func TestStartedInstanceLearnsOfEarlierEnds(t *testing.T) {
	f := newContentsFleet(t, 3)
	content := fingerprintOf("poison")
	recordEnds(f.tables[0], content, "a", "b", "c")
	f.waitUntilKnown(t, f.tables, content, 3)
	table := f.start()
	for started := f.exchanges[len(f.exchanges)-1]; !started.KnowsContents(); {
		time.Sleep(time.Millisecond)
	}
	f.is.Equal(table.Standing(content, time.Now()).Ends, 3)
}

// Guards against ends that nobody else learns, since the instance that saw them knew no other one yet.
func TestPeersThatBecomeKnownLearnOfEarlierEnds(t *testing.T) {
	is := is.New(t)
	receiver, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	defer receiver.Close()
	sender, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	defer sender.Close()
	x, _ := newTestExchange()
	registry := metrics.NewRegistry()
	table := quarantine.NewTable(registry)
	x.SetQuarantine(table, registry)
	var peers []*net.UDPAddr
	x.peers = func() []*net.UDPAddr { return peers }
	recordEnds(table, fingerprintOf("poison"), "a")
	x.contents.repeatedAt = time.Now().Add(time.Hour) // no repeats
	x.sendNews(sender, time.Now())
	x.maintainContents(sender, time.Now())
	sent := metrics.GetOrRegisterCounter("quarantine.datagrams.sent", registry)
	is.Equal(sent.Count(), int64(0))
	peers = []*net.UDPAddr{receiver.LocalAddr().(*net.UDPAddr)}
	for range 3 {
		x.maintainContents(sender, time.Now())
	}
	is.Equal(sent.Count(), int64(1)) // once
}

// Guards against datagrams that do not fit into the receive buffer or are lost whole, and against
// contents that change on their way.
func TestContentsAreSplitIntoDatagrams(t *testing.T) {
	is := is.New(t)
	receiver, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	defer receiver.Close()
	sender, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	defer sender.Close()
	x, _ := newTestExchange()
	registry := metrics.NewRegistry()
	x.SetQuarantine(quarantine.NewTable(registry), registry)
	var reports []quarantine.Report
	const count = 100
	for i := range count {
		reports = append(reports, quarantine.Report{Fingerprint: fingerprintOf(fmt.Sprint(i)), Generation: uint32(i), Ends: []quarantine.ReportedEnd{
			{Replica: fmt.Sprintf("i-%010x@%d", i, 1700000000000), Version: fmt.Sprint("v", i%3), Evidence: quarantine.Broken, Age: time.Second, Ran: 20 * time.Millisecond},
		}})
	}
	x.sendContents(sender, reports, []*net.UDPAddr{receiver.LocalAddr().(*net.UDPAddr)})
	var got []quarantine.Report
	buffer := make([]byte, 64<<10)
	for len(got) < count {
		is.NoErr(receiver.SetReadDeadline(time.Now().Add(10 * time.Second)))
		n, err := receiver.Read(buffer)
		is.NoErr(err)
		is.True(n <= maxDatagramBytes)
		load := &peerloadpb.Load{}
		is.NoErr(proto.Unmarshal(buffer[:n], load))
		is.True(hasContents(load))
		got = append(got, decodeContents(load.Contents)...)
	}
	is.Equal(got, reports)
}

// Guards against a datagram with lists of different lengths that stops the process or is taken half.
func TestMalformedContentsAreIgnored(t *testing.T) {
	is := is.New(t)
	fingerprint := make([]byte, len(quarantine.Fingerprint{}))
	is.Equal(len(decodeContents([]*peerloadpb.QuarantinedContent{
		{Fingerprint: []byte("short")},
		{Fingerprint: fingerprint, Upstreams: []string{"a"}},
		{Fingerprint: fingerprint, Upstreams: []string{"a"}, Evidence: []uint32{1}, AgeMs: []uint32{1}},
	})), 0)
	known := decodeContents([]*peerloadpb.QuarantinedContent{{Fingerprint: fingerprint, Upstreams: []string{"a"}, Evidence: []uint32{99}, AgeMs: []uint32{1}, RanMs: []uint32{1}, Restarts: []uint32{0}}})
	is.Equal(known[0].Ends[0].Evidence, quarantine.Proven)
	is.Equal(known[0].Ends[0].Version, "") // the sender is of an older version
}

// maxBytesPerEnd is what one end may cost an instance that passes it on, whatever the size of the fleet.
const maxBytesPerEnd = (EntryFanout + relayFanout) * 120

// Guards against bytes that grow with the instances, the upstreams or the calls: an end costs its sender
// the same in fleets of any size, and without ends nothing is sent.
func TestBytesOfAnEndDoNotGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	defer conn.Close()
	for _, size := range []int{50, 200, 1000} {
		x, _ := newTestExchange()
		registry := metrics.NewRegistry()
		table := quarantine.NewTable(registry)
		peers := make([]*net.UDPAddr, size)
		for i := range peers {
			peers[i] = conn.LocalAddr().(*net.UDPAddr)
		}
		x.peers = func() []*net.UDPAddr { return peers }
		x.SetQuarantine(table, registry)
		bytes := metrics.GetOrRegisterCounter("quarantine.datagrams.bytes", registry)
		x.sendNews(conn, time.Now())
		is.Equal(bytes.Count(), int64(0))
		const ends = 20
		for i := range ends {
			recordEnds(table, fingerprintOf(fmt.Sprint(i)), fmt.Sprintf("i-%010x@%d", i, 1700000000000))
		}
		x.sendNews(conn, time.Now())
		t.Logf("%d instances: %d B for each end", size, bytes.Count()/ends)
		is.True(bytes.Count() <= ends*maxBytesPerEnd)
	}
}
