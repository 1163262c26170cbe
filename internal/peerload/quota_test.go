package peerload

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"foxhall/internal/limit"
	"foxhall/internal/peerload/peerloadpb"
)

// fakeQuotas reports preset values.
type fakeQuotas struct {
	report limit.QuotaReport
	atOnce []string
}

func (f *fakeQuotas) Report(time.Time) (limit.QuotaReport, []string) { return f.report, f.atOnce }

func (f *fakeQuotas) NewInstances(time.Time) ([]string, limit.QuotaReport) {
	return nil, limit.QuotaReport{}
}

func (f *fakeQuotas) Merge(limit.QuotaReport, time.Time) {}

// Guards against customers' calls that are counted wrongly by the instances that receive the
// report.
func TestQuotaReportSurvivesEncoding(t *testing.T) {
	is := is.New(t)
	x, _ := newTestExchange()
	report := limit.QuotaReport{From: "me", Incarnation: 7, ObservedFor: 5 * time.Second, Usage: []limit.CallUsage{{Customer: 1, Admitted: 9, Recent: 4}, {Customer: 2, Admitted: 1}}}
	x.SetQuotas(&fakeQuotas{report: report, atOnce: []string{"a"}})
	load := x.ownLoad()
	is.Equal(x.addUsage(load, time.Now()), []string{"a"})
	data, err := proto.Marshal(load)
	is.NoErr(err)
	heard := &peerloadpb.Load{}
	is.NoErr(proto.Unmarshal(data, heard))
	is.True(isConsistent(heard))
	got := decodeQuotaReport(heard)
	got.From = report.From
	is.Equal(got, report)
	heard.Made = heard.Made[:1]
	is.True(!isConsistent(heard))
}

// Guards against counts of many customers, sent to an instance that has started, that exceed one
// datagram.
func TestMaxCountsFitADatagram(t *testing.T) {
	is := is.New(t)
	load := &peerloadpb.Load{From: "edge-sul-a-10", DataCentre: "sul-a", Run: 1 << 63, KnownMs: 5000}
	for i := range uint64(maxCountsPerDatagram) {
		load.CountedCustomers, load.Counted = append(load.CountedCustomers, 1<<63+i), append(load.Counted, 1<<20)
	}
	data, err := proto.Marshal(load)
	is.NoErr(err)
	is.True(len(data) <= maxDatagramBytes)
}

// Guards against late reports to instances with calls of the same customer whose place in the round
// is far off.
func TestImmediateRecipientsAreAddedToTheNextPeers(t *testing.T) {
	is := is.New(t)
	x, _ := newTestExchange()
	next := []*net.UDPAddr{{IP: net.IPv4(10, 0, 0, 1).To4(), Port: 7}}
	for i := range 3 {
		x.recordAddress(fmt.Sprint("i", i+1), netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7))
	}
	all := x.addPeers(next, []string{"i1", "i3", "never heard"})
	is.Equal(len(all), 2) // the first is among the next peers already
	is.Equal(all[1].String(), "10.0.0.3:7")
}

// Guards against two faults: a busy instance of which three datagrams are missing counts as alive,
// so that a customer gets its quota on both sides of a network partition; or an idle instance,
// which sends less often, counts as unreachable.
func TestSilentInstancesAreDistinguishedFromIdleOnes(t *testing.T) {
	is := is.New(t)
	x, _ := newTestExchange()
	now := time.Now()
	x.contacts["busy"] = contact{receivedAt: now.Add(-600 * time.Millisecond), sendsPerRound: 3, busy: true}
	x.contacts["idle"] = contact{receivedAt: now.Add(-600 * time.Millisecond), sendsPerRound: 3}
	is.True(!x.Alive("busy", 450*time.Millisecond))
	is.True(x.Alive("idle", 450*time.Millisecond))
	is.True(!x.Alive("never heard", time.Hour))
}
