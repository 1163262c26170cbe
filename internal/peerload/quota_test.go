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

// fakeQuotas tells what it is given.
type fakeQuotas struct {
	telling limit.Telling
	atOnce  []string
}

func (f *fakeQuotas) Tell(time.Time) (limit.Telling, []string) { return f.telling, f.atOnce }

func (f *fakeQuotas) Started(time.Time) ([]string, limit.Telling) { return nil, limit.Telling{} }

func (f *fakeQuotas) Hear(limit.Telling, time.Time) {}

// Calls of customers are counted wrongly by the instances that are told of them.
func TestUsesAreTakenInAsTheyAreTold(t *testing.T) {
	is := is.New(t)
	x, _ := exchange()
	told := limit.Telling{From: "me", Run: 7, Known: 5 * time.Second, Uses: []limit.Use{{Customer: 1, Made: 9, Recent: 4}, {Customer: 2, Made: 1}}}
	x.OnUses(&fakeQuotas{telling: told, atOnce: []string{"a"}})
	load := x.own()
	is.Equal(x.addUses(load, time.Now()), []string{"a"})
	data, err := proto.Marshal(load)
	is.NoErr(err)
	heard := &peerloadpb.Load{}
	is.NoErr(proto.Unmarshal(data, heard))
	is.True(even(heard))
	got := tellingOf(heard)
	got.From = told.From
	is.Equal(got, told)
	heard.Made = heard.Made[:1]
	is.True(!even(heard))
}

// What an instance that has started is told of many customers does not fit one datagram.
func TestCountsOfManyCustomersFitTheirDatagrams(t *testing.T) {
	is := is.New(t)
	load := &peerloadpb.Load{From: "edge-sul-a-10", DataCentre: "sul-a", Run: 1 << 63, KnownMs: 5000}
	for i := range uint64(countedMost) {
		load.CountedCustomers, load.Counted = append(load.CountedCustomers, 1<<63+i), append(load.Counted, 1<<20)
	}
	data, err := proto.Marshal(load)
	is.NoErr(err)
	is.True(len(data) <= maxDatagram)
}

// Instances that have calls of the same customer hear late, since their turn is far away.
func TestThoseThatHearAtOnceAreAddedToTheTurn(t *testing.T) {
	is := is.New(t)
	x, _ := exchange()
	next := []*net.UDPAddr{{IP: net.IPv4(10, 0, 0, 1).To4(), Port: 7}}
	for i := range 3 {
		x.locate(fmt.Sprint("i", i+1), netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7))
	}
	all := x.with(next, []string{"i1", "i3", "never heard"})
	is.Equal(len(all), 2) // the first has its turn already
	is.Equal(all[1].String(), "10.0.0.3:7")
}

// An instance of which three datagrams are missing counts as heard, and a customer has its
// quota on both sides of a cut; one that is idle and sends seldom counts as cut off.
func TestSilentInstancesAreToldFromIdleOnes(t *testing.T) {
	is := is.New(t)
	x, _ := exchange()
	now := time.Now()
	x.lives["busy"] = life{at: now.Add(-600 * time.Millisecond), turns: 3, busy: true}
	x.lives["idle"] = life{at: now.Add(-600 * time.Millisecond), turns: 3}
	is.True(!x.Alive("busy", 450*time.Millisecond))
	is.True(x.Alive("idle", 450*time.Millisecond))
	is.True(!x.Alive("never heard", time.Hour))
}
