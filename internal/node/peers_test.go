package node

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/history/historypb"
	"foxhall/internal/mirror/mirrorpb"
)

// zeros reads as zero bytes without end, and counts them.
type zeros struct{ read int64 }

func (z *zeros) Read(p []byte) (int, error) {
	clear(p)
	z.read += int64(len(p))
	return len(p), nil
}

// Guards against an instance that exceeds its memory by a message of another instance: bodies with
// and without a stated length must end at the bound.
func TestMessagesOfPeersAreBounded(t *testing.T) {
	for _, length := range []int64{-1, 1 << 40} {
		is := is.New(t)
		n := newTestNode(t)
		body := &zeros{}
		r := httptest.NewRequest(http.MethodPost, "/twirp/foxhall.mirror.Relay/Exchange", io.NopCloser(body))
		r.ContentLength = length
		r.Header.Set("Content-Type", "application/protobuf")
		w := httptest.NewRecorder()
		n.peerHandler().ServeHTTP(w, r)
		is.True(w.Code >= 400)
		is.True(body.read <= 2*maxPeerBytes)
		is.Equal(metrics.GetOrRegisterCounter("peers.oversized", n.registry).Count(), int64(1))
	}
}

// Guards against a process of another system that answers at an address of this one: what it is sent is lost with it,
// and its lists spoil those of others. Instances that state no fleet are accepted, as of an earlier version.
func TestInstancesOfAnotherFleetAreRefused(t *testing.T) {
	for _, c := range []struct {
		own, sender string
		served      bool
	}{{"a", "a", true}, {"a", "", true}, {"", "b", true}, {"", "", true}, {"a", "b", false}} {
		is := is.New(t)
		n := newTestNodeWith(t, func(s *Settings) { s.Fleet = c.own })
		sender := newTestNodeWith(t, func(s *Settings) { s.Fleet = c.sender })
		server := httptest.NewServer(n.peerHandler())
		defer server.Close()
		relay := mirrorpb.NewRelayProtobufClient(server.URL, sender.fleet.client)
		_, err := relay.Exchange(t.Context(), &mirrorpb.ExchangeRequest{From: "sender"})
		is.Equal(err == nil, c.served)
		is.Equal(metrics.GetOrRegisterCounter("peers.foreign", n.registry).Count() == 0, c.served)
	}
}

// Guards against a keeper that counts as live while no other instance can connect to it: it would keep its shards, or be
// given some, and their turns would be refused. An entry stays ready, since callers reach it.
func TestKeeperBroadcastsItsStatusWhileItListens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newTestNode(t)
		n.fleet.receives.set()
		broadcasts := 0
		n.fleet.broadcast = func([]byte, []*net.UDPAddr) { broadcasts++ }
		expect := func(canBeReached bool, count int) {
			t.Helper()
			n.fleet.BroadcastStatus(&historypb.StatusResponse{Name: "me"})
			is.Equal(n.fleet.canBeReached(), canBeReached)
			is.Equal(broadcasts, count)
		}
		expect(false, 0)
		listener, ended := newPipeListener(), make(chan error, 1)
		go func() { ended <- n.servePeersOn(t.Context(), listener) }()
		synctest.Wait()
		expect(true, 1)
		listener.failed.Store(true)
		listener.Close()
		is.True(errors.Is(<-ended, errAcceptFailed))
		expect(false, 1)
		is.True(n.fleet.couldBeReached())
	})
}
