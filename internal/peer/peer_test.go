package peer

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"

	"foxhall/internal/peer/peerpb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// copies implements Copies and stores all records. A call of Hold for the cohort "hang" blocks
// until its caller gives up; one for "refuse" is refused, and one for "malformed" is rejected as
// invalid.
type copies struct{ held []*peerpb.HeldRecord }

func (c *copies) Hold(ctx context.Context, r *peerpb.HoldRequest) (*peerpb.HoldResponse, error) {
	switch r.Cohort {
	case "hang":
		<-ctx.Done()
		return nil, ctx.Err()
	case "refuse":
		return nil, Refuse("no room")
	case "malformed":
		return nil, Invalid("no such cohort name")
	}
	c.held = append(c.held, r.Records...)
	return &peerpb.HoldResponse{HeldSequence: uint64(len(c.held))}, nil
}

func (c *copies) Held(context.Context, *peerpb.HeldRequest) (*peerpb.HeldResponse, error) {
	return &peerpb.HeldResponse{Records: c.held}, nil
}

func (c *copies) Release(context.Context, *peerpb.ReleaseRequest) (*peerpb.ReleaseResponse, error) {
	c.held = nil
	return &peerpb.ReleaseResponse{}, nil
}

// serve starts a server with the handlers, and returns its address and the number of accepted
// connections.
func serve(t *testing.T, h Handlers, registry metrics.Registry) (string, *atomic.Int64) {
	t.Helper()
	var accepted atomic.Int64
	server := httptest.NewUnstartedServer(NewServer(h, "secret", registry))
	server.Listener = CountListener(server.Listener, registry)
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			accepted.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), &accepted
}

func newClient(t *testing.T, secret string, registry metrics.Registry) *Client {
	c := NewClient(secret, time.Minute, registry)
	t.Cleanup(c.Close)
	return c
}

// After ErrUnreachable, ErrRefused, ErrInvalid or ErrUnauthenticated the peer did not act on the
// call; after ErrTimeout and ErrUnknown it may have. A wrongly classified failure would mislead
// callers.
func TestFailuresAreClassified(t *testing.T) {
	is := is.New(t)
	registry := metrics.NewRegistry()
	address, _ := serve(t, Handlers{Copies: &copies{}}, registry)
	client := newClient(t, "secret", registry)
	ctx := context.Background()
	hold := func(c *Client, cohort string) error {
		_, err := c.Hold(ctx, address, &peerpb.HoldRequest{Cohort: cohort})
		return err
	}
	is.NoErr(hold(client, "bzh1.a.x"))
	is.True(errors.Is(hold(client, "refuse"), ErrRefused))
	is.True(errors.Is(hold(client, "malformed"), ErrInvalid))
	is.True(errors.Is(hold(newClient(t, "wrong", registry), "bzh1.a.x"), ErrUnauthenticated))
	is.True(errors.Is(hold(newClient(t, "", registry), "bzh1.a.x"), ErrUnauthenticated))

	_, err := client.Ping(ctx, address, &peerpb.PingRequest{})
	is.True(errors.Is(err, ErrUnimplemented)) // this server has no heartbeats

	expiring, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	_, err = client.Hold(expiring, address, &peerpb.HoldRequest{Cohort: "hang"})
	is.True(errors.Is(err, ErrTimeout))

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(listener.Close())
	_, err = client.Held(ctx, listener.Addr().String(), &peerpb.HeldRequest{})
	is.True(errors.Is(err, ErrUnreachable))
}

// A response that does not follow the peer protocol, because another process now listens on the
// address, is an unknown outcome and not a success.
func TestForeignResponseIsUnknown(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusTeapot)
	}))
	defer server.Close()
	client := newClient(t, "secret", metrics.NewRegistry())
	_, err := client.Loads(context.Background(), server.Listener.Addr().String(), &peerpb.LoadsRequest{})
	is.True(errors.Is(err, ErrUnknown))
}

// Sequential calls share one connection, and both sides count the same bytes.
func TestConnectionIsReusedAndCounted(t *testing.T) {
	is := is.New(t)
	registry := metrics.NewRegistry()
	address, accepted := serve(t, Handlers{Copies: &copies{}}, registry)
	client := newClient(t, "secret", registry)
	for range 20 {
		_, err := client.Hold(context.Background(), address, &peerpb.HoldRequest{Cohort: "bzh1.a.x"})
		is.NoErr(err)
	}
	is.Equal(accepted.Load(), int64(1))
	count := func(name string) int64 { return metrics.GetOrRegisterCounter(name, registry).Count() }
	is.Equal(count("peer.client.calls.Hold"), int64(20))
	is.Equal(count("peer.server.calls.Hold"), int64(20))
	is.True(count("peer.client.bytes_out") > 0)
	// A write is counted after it completes, so the reader's count may be ahead briefly. If the
	// counts never become equal, the test times out.
	for count("peer.client.bytes_out") != count("peer.server.bytes_in") ||
		count("peer.client.bytes_in") != count("peer.server.bytes_out") {
		runtime.Gosched()
	}
}

// FuzzServer sends arbitrary bodies to several methods and to an unknown one. The server must
// respond with a valid status and must not panic.
func FuzzServer(f *testing.F) {
	server := NewServer(Handlers{Copies: &copies{}}, "secret", metrics.NewRegistry())
	methods := []string{"Ping", "Join", "Hold", "Held", "Release", "Offer", "ConfigFetch", "ConfigOffer", "UpstreamSignals", "None"}
	f.Add(uint8(2), []byte("\x0a\x08bzh1.a.x"))
	f.Add(uint8(0), []byte{0xff, 0x01})
	f.Fuzz(func(t *testing.T, method uint8, body []byte) {
		path := peerpb.PeerPathPrefix + methods[int(method)%len(methods)]
		r := httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body))
		r.Header.Set("Content-Type", "application/protobuf")
		r.Header.Set(HeaderSecret, "secret")
		ctx, cancel := context.WithCancel(r.Context())
		cancel() // so that the handler that hangs returns
		w := httptest.NewRecorder()
		server.ServeHTTP(w, r.WithContext(ctx))
		if w.Code < 200 || w.Code > 599 {
			t.Fatalf("status %d", w.Code)
		}
	})
}
