package node

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"foxhall/internal/origin"
)

func ringOf(members []member, self string) *ring {
	return newRing(members, self, func(m member) netip.AddrPort { return netip.MustParseAddrPort(m.IP + ":1") })
}

func ringMembers(count, dataCentres int) []member {
	var members []member
	for i := range count {
		members = append(members, member{
			Name: fmt.Sprintf("entry-%d", i), IP: fmt.Sprintf("10.0.%d.%d", i/250, i%250), DataCentre: fmt.Sprintf("dc-%d", i%dataCentres), Entry: true,
		})
	}
	return members
}

// Guards against a record whose holders are one entry, or in one data centre, and against entries that look for
// it elsewhere because they know the members in another order.
func TestHoldersAreDifferentAndInDifferentDataCentres(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		count, dataCentres := rapid.IntRange(1, 40).Draw(rt, "entries"), rapid.IntRange(1, 6).Draw(rt, "data centres")
		key := origin.Key(rapid.Uint64().Draw(rt, "key"))
		members := ringMembers(count, dataCentres)
		chosen := ringOf(members, "entry-0").holders(key)
		names, centres := map[netip.AddrPort]bool{}, map[string]bool{}
		for _, holder := range chosen {
			names[holder.address], centres[holder.dataCentre] = true, true
		}
		if len(chosen) != min(originHolders, count) || len(names) != len(chosen) || len(centres) != min(originHolders, count, dataCentres) {
			rt.Fatalf("%d holders, %d of them different, in %d data centres", len(chosen), len(names), len(centres))
		}
		rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		for i, holder := range ringOf(members, "entry-1").holders(key) {
			if holder.address != chosen[i].address {
				rt.Fatalf("holder %d differs between two entries", i)
			}
		}
	})
}

// Guards against records that are looked for at other entries after one entry has come or gone.
func TestChangeOfOneEntryKeepsMostHolders(t *testing.T) {
	is := is.New(t)
	const streams = 2000
	members := ringMembers(50, 5)
	before, after := ringOf(members, ""), ringOf(members[1:], "")
	kept := 0
	for i := range streams {
		addresses := map[netip.AddrPort]bool{}
		for _, holder := range before.holders(origin.Key(uint64(i) * 0x9e3779b97f4a7c15)) {
			addresses[holder.address] = true
		}
		for _, holder := range after.holders(origin.Key(uint64(i) * 0x9e3779b97f4a7c15)) {
			if addresses[holder.address] {
				kept++
			}
		}
	}
	is.True(kept > streams*originHolders*9/10) // one of 50 entries holds 2 in 100
}

// Guards against a choice of holders whose cost grows with the entries, and against a ring that is walked
// round where a data centre has few of them.
func BenchmarkHolders(b *testing.B) {
	for _, count := range []int{7, 370, 1000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			r := ringOf(ringMembers(count, 5), "")
			for i := range b.N {
				r.holders(origin.Key(uint64(i) * 0x9e3779b97f4a7c15))
			}
		})
	}
}
