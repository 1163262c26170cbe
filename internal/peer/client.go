package peer

import (
	"context"
	"net"
	"net/http"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/httpconn"
	"foxhall/internal/peer/peerpb"
)

const (
	// maxIdleConnections bounds the idle connections that a client keeps open. Heartbeats go to two
	// ring successors and to random members in turn, so one connection to each of several hundred
	// members would cost megabytes for connections used once in minutes.
	maxIdleConnections = 64
	// idleTimeout is how long an unused connection stays open.
	idleTimeout = 90 * time.Second
	// maxStubs bounds the cached generated clients, one for each address.
	maxStubs = 1024
)

// Client calls other instances.
type Client struct {
	http      *http.Client
	transport *http.Transport
	secret    string
	timeout   time.Duration
	stubs     *lru.Cache[string, peerpb.Peer]
	registry  metrics.Registry
	failures  metrics.Counter
}

// NewClient returns a client that authenticates with the secret. timeout applies to calls whose
// context has no deadline. Calls by method, failures, and bytes in both directions are counted in
// registry.
func NewClient(secret string, timeout time.Duration, registry metrics.Registry) *Client {
	transport := &http.Transport{
		DialContext:         countedDialer(&net.Dialer{Timeout: timeout}, newTraffic("peer.client", registry)),
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	cache, err := lru.New[string, peerpb.Peer](maxStubs)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &Client{
		http:      &http.Client{Transport: httpconn.NewTransport(transport)},
		transport: transport,
		secret:    secret,
		timeout:   timeout,
		stubs:     cache,
		registry:  registry,
		failures:  metrics.GetOrRegisterCounter("peer.client.failures", registry),
	}
}

// SetDialer replaces the function that opens connections. It must be called before the first
// call. Tests use it to run the client on a network with injected faults.
func (c *Client) SetDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	c.transport.DialContext = dial
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do implements peerpb.HTTPClient. It adds the secret to the request.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	r.Header.Set(HeaderSecret, c.secret)
	r.Header.Set("User-Agent", "foxhall")
	return c.http.Do(r)
}

func (c *Client) stub(address string) peerpb.Peer {
	if stub, ok := c.stubs.Get(address); ok {
		return stub
	}
	stub := peerpb.NewPeerProtobufClient("http://"+address, c)
	c.stubs.Add(address, stub)
	return stub
}

// call performs one call of method at address, and applies the client's timeout if ctx has no
// deadline.
func call[Q, A any](ctx context.Context, c *Client, address, method string, request Q, invoke func(peerpb.Peer, context.Context, Q) (A, error)) (A, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.timeout)
		defer cancel()
	}
	metrics.GetOrRegisterCounter("peer.client.calls."+method, c.registry).Inc(1)
	response, err := invoke(c.stub(address), ctx, request)
	if err != nil {
		c.failures.Inc(1)
		return response, errors.WithMessagef(classify(ctx, err), "%s at %s", method, address)
	}
	return response, nil
}

// Ping sends a heartbeat to the instance at address.
func (c *Client) Ping(ctx context.Context, address string, r *peerpb.PingRequest) (*peerpb.PingResponse, error) {
	return call(ctx, c, address, "Ping", r, peerpb.Peer.Ping)
}

// PingVia asks the instance at address to ping a third instance.
func (c *Client) PingVia(ctx context.Context, address string, r *peerpb.PingViaRequest) (*peerpb.PingViaResponse, error) {
	return call(ctx, c, address, "PingVia", r, peerpb.Peer.PingVia)
}

// Join requests all membership records of the instance at address.
func (c *Client) Join(ctx context.Context, address string, r *peerpb.JoinRequest) (*peerpb.JoinResponse, error) {
	return call(ctx, c, address, "Join", r, peerpb.Peer.Join)
}

// ConfigVersion requests the version of the configuration in force at address.
func (c *Client) ConfigVersion(ctx context.Context, address string, r *peerpb.ConfigVersionRequest) (*peerpb.ConfigVersionResponse, error) {
	return call(ctx, c, address, "ConfigVersion", r, peerpb.Peer.ConfigVersion)
}

// ConfigFetch requests a newer manifest and the chunks that the sender lacks.
func (c *Client) ConfigFetch(ctx context.Context, address string, r *peerpb.ConfigFetchRequest) (*peerpb.ConfigFetchResponse, error) {
	return call(ctx, c, address, "ConfigFetch", r, peerpb.Peer.ConfigFetch)
}

// ConfigOffer sends a newer manifest and chunks to the instance at address.
func (c *Client) ConfigOffer(ctx context.Context, address string, r *peerpb.ConfigOfferRequest) (*peerpb.ConfigOfferResponse, error) {
	return call(ctx, c, address, "ConfigOffer", r, peerpb.Peer.ConfigOffer)
}

// Hold asks the instance at address to hold copies of records.
func (c *Client) Hold(ctx context.Context, address string, r *peerpb.HoldRequest) (*peerpb.HoldResponse, error) {
	return call(ctx, c, address, "Hold", r, peerpb.Peer.Hold)
}

// Held requests the copies that the instance at address holds for a cohort.
func (c *Client) Held(ctx context.Context, address string, r *peerpb.HeldRequest) (*peerpb.HeldResponse, error) {
	return call(ctx, c, address, "Held", r, peerpb.Peer.Held)
}

// Release asks the instance at address to drop copies.
func (c *Client) Release(ctx context.Context, address string, r *peerpb.ReleaseRequest) (*peerpb.ReleaseResponse, error) {
	return call(ctx, c, address, "Release", r, peerpb.Peer.Release)
}

// Offer sends records of a sealed cohort to the successor at address.
func (c *Client) Offer(ctx context.Context, address string, r *peerpb.OfferRequest) (*peerpb.OfferResponse, error) {
	return call(ctx, c, address, "Offer", r, peerpb.Peer.Offer)
}

// AdoptNotice notifies the instance at address of adopted shards.
func (c *Client) AdoptNotice(ctx context.Context, address string, r *peerpb.AdoptNoticeRequest) (*peerpb.AdoptNoticeResponse, error) {
	return call(ctx, c, address, "AdoptNotice", r, peerpb.Peer.AdoptNotice)
}

// ReportOutcome sends a step's outcome to the successor at address.
func (c *Client) ReportOutcome(ctx context.Context, address string, r *peerpb.ReportOutcomeRequest) (*peerpb.ReportOutcomeResponse, error) {
	return call(ctx, c, address, "ReportOutcome", r, peerpb.Peer.ReportOutcome)
}

// UpstreamSignals exchanges observations of upstreams with the instance at address.
func (c *Client) UpstreamSignals(ctx context.Context, address string, r *peerpb.UpstreamSignalsRequest) (*peerpb.UpstreamSignalsResponse, error) {
	return call(ctx, c, address, "UpstreamSignals", r, peerpb.Peer.UpstreamSignals)
}

// Gone asks the instance at address which of the given programs that it owns have ended.
func (c *Client) Gone(ctx context.Context, address string, r *peerpb.GoneRequest) (*peerpb.GoneResponse, error) {
	return call(ctx, c, address, "Gone", r, peerpb.Peer.Gone)
}

// Divide asks the arbiter at address for this instance's share of the plans' limits.
func (c *Client) Divide(ctx context.Context, address string, r *peerpb.DivideRequest) (*peerpb.DivideResponse, error) {
	return call(ctx, c, address, "Divide", r, peerpb.Peer.Divide)
}

// Loads requests the load of the data centre of the instance at address.
func (c *Client) Loads(ctx context.Context, address string, r *peerpb.LoadsRequest) (*peerpb.LoadsResponse, error) {
	return call(ctx, c, address, "Loads", r, peerpb.Peer.Loads)
}
