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
)

// newTestExchangeAmong returns the exchange of an instance with a number of peers.
func newTestExchangeAmong(name string, peers, fanout int) *Exchange {
	addresses := func() []*net.UDPAddr {
		var list []*net.UDPAddr
		for i := range peers {
			list = append(list, &net.UDPAddr{IP: net.IPv4(10, 0, byte(i>>8), byte(i)), Port: 7})
		}
		return list
	}
	return New(name, "here", fanout, upstream.NewTable(), addresses, &log.Logger{Handler: discard.Default})
}

// Guards against an instance of a large fleet that is considered unresponsive because some peers
// receive nothing from it for seconds, as happens if the peers of each send are random. Each peer
// must be sent one datagram in each round of the reported number of sends.
func TestEachPeerIsSentADatagramInEachRound(t *testing.T) {
	for _, peers := range []int{1, 9, 24, 25, 80, 194, 369} {
		for _, fanout := range []int{EntryFanout, KeeperFanout} {
			is := is.New(t)
			x := newTestExchangeAmong("me", peers, fanout)
			last := map[string]int{}
			maxSends := int(sendsPerRound(peers, fanout))
			for send := range 10 * maxSends {
				next := x.nextPeers()
				is.True(len(next) <= fanout)
				for _, p := range next {
					if before, heard := last[p.String()]; heard && send-before > maxSends {
						t.Fatalf("%d peers, fanout %d: %s is sent a datagram after %d sends", peers, fanout, p, send-before)
					}
					last[p.String()] = send
				}
			}
			is.Equal(len(last), peers)
		}
	}
}

// Guards against all instances sending to the same peers at the same time, which overloads small
// ones. Two instances must go through the peers in different orders.
func TestInstancesSendInDifferentOrders(t *testing.T) {
	is := is.New(t)
	first := func(name string) string { return fmt.Sprint(newTestExchangeAmong(name, 194, EntryFanout).nextPeers()) }
	is.Equal(first("a"), first("a"))
	is.True(first("a") != first("b"))
}

// Guards against requests to a failed keeper for as long as the silence of one entry among hundreds
// takes to detect. The silence allowed to an instance must follow from the round length that it
// reported itself.
func TestSilenceIsJudgedByTheSendersRoundLength(t *testing.T) {
	is := is.New(t)
	x := newTestExchangeAmong("me", 194, EntryFanout)
	x.nextPeers()
	now := time.Now()
	x.RecordLoad(&peerloadpb.Load{From: "keeper", Turns: 4}, now.Add(-5*time.Second))
	x.RecordLoad(&peerloadpb.Load{From: "entry", Turns: 9}, now.Add(-5*time.Second))
	x.RecordLoad(&peerloadpb.Load{From: "older", Turns: 0}, now.Add(-5*time.Second))
	is.True(!x.ReachableOrUnknown("keeper", time.Second))
	is.True(x.ReachableOrUnknown("entry", time.Second))
	is.True(x.ReachableOrUnknown("older", time.Second))
	is.True(x.ReachableOrUnknown("stranger", time.Second))
	x.listeningSince = now.Add(-5 * time.Second)
	silent, known := x.Silent("keeper", time.Second)
	is.True(silent && known)
	silent, known = x.Silent("entry", time.Second)
	is.True(!silent && !known)
}

// Guards against engines of a large fleet that are overloaded in a burst while others are idle,
// because instances report their load rarely and choose by outdated load. Each peer must receive
// the load of a busy instance within the time of a few prompts.
func TestBusyInstanceOfALargeFleetReachesPeersSoon(t *testing.T) {
	for peers, limit := range map[int]time.Duration{9: sendInterval, 194: 600 * time.Millisecond, 369: loadLifetime} {
		x := newTestExchangeAmong("me", peers, EntryFanout)
		heard := map[string]time.Duration{}
		sent := -idleSendInterval
		for now := time.Duration(0); now < 10*time.Second; now += sendInterval {
			if !isDue(true, now-sent) {
				continue
			}
			sent = now
			for _, p := range x.nextPeers() {
				if before, ok := heard[p.String()]; ok && now-before > limit {
					t.Fatalf("%d peers: %s is sent a datagram after %v", peers, p, now-before)
				}
				heard[p.String()] = now
			}
		}
		if len(heard) != peers {
			t.Fatalf("%d of %d peers are sent a datagram", len(heard), peers)
		}
	}
}
