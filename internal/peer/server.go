package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"
	"github.com/twitchtv/twirp"

	"foxhall/internal/peer/peerpb"
)

// HeaderSecret is the request header with the secret shared by all instances.
const HeaderSecret = "Foxhall-Peer-Secret"

// maxRequestBytes bounds a request. The largest are copies of a log entry
// and configuration chunks, both at most a store value of 1 MB.
const maxRequestBytes = 4 << 20

// Server serves the calls of other instances.
type Server struct {
	handlers        Handlers
	secret          [sha256.Size]byte
	twirp           http.Handler
	unauthenticated metrics.Counter
}

// NewServer returns a server that passes calls with the right secret to handlers. Counters of calls
// by method and of unauthenticated calls are registered in registry.
func NewServer(handlers Handlers, secret string, registry metrics.Registry) *Server {
	s := &Server{
		handlers:        handlers,
		secret:          sha256.Sum256([]byte(secret)),
		unauthenticated: metrics.GetOrRegisterCounter("peer.server.unauthenticated", registry),
	}
	s.twirp = peerpb.NewPeerServer(s, twirp.WithServerHooks(countCalls(registry)))
	return s
}

func countCalls(registry metrics.Registry) *twirp.ServerHooks {
	return &twirp.ServerHooks{
		RequestRouted: func(ctx context.Context) (context.Context, error) {
			method, _ := twirp.MethodName(ctx)
			metrics.GetOrRegisterCounter("peer.server.calls."+method, registry).Inc(1)
			return ctx, nil
		},
	}
}

// Register registers the service on mux.
func (s *Server) Register(mux *http.ServeMux) { mux.Handle(peerpb.PeerPathPrefix, s) }

// RegisterEcho registers the service on an echo router.
func (s *Server) RegisterEcho(e *echo.Echo) {
	e.POST(peerpb.PeerPathPrefix+"*", echo.WrapHandler(s))
}

// ServeHTTP implements http.Handler. The secrets are compared by digest in constant time: a
// comparison that stops at the first differing byte would let a caller guess the secret byte by
// byte from response times.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	digest := sha256.Sum256([]byte(r.Header.Get(HeaderSecret)))
	if subtle.ConstantTimeCompare(digest[:], s.secret[:]) != 1 {
		s.unauthenticated.Inc(1)
		_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "wrong peer secret"))
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
	s.twirp.ServeHTTP(w, r)
}

func unimplemented(service string) error {
	return twirp.NewError(twirp.Unimplemented, service+" is not served by this instance")
}

// Ping implements peerpb.Peer.
func (s *Server) Ping(ctx context.Context, r *peerpb.PingRequest) (*peerpb.PingResponse, error) {
	if s.handlers.Heartbeats == nil {
		return nil, unimplemented("heartbeats")
	}
	return s.handlers.Heartbeats.Ping(ctx, r)
}

// PingVia implements peerpb.Peer.
func (s *Server) PingVia(ctx context.Context, r *peerpb.PingViaRequest) (*peerpb.PingViaResponse, error) {
	if s.handlers.Heartbeats == nil {
		return nil, unimplemented("heartbeats")
	}
	return s.handlers.Heartbeats.PingVia(ctx, r)
}

// Join implements peerpb.Peer.
func (s *Server) Join(ctx context.Context, r *peerpb.JoinRequest) (*peerpb.JoinResponse, error) {
	if s.handlers.Heartbeats == nil {
		return nil, unimplemented("heartbeats")
	}
	return s.handlers.Heartbeats.Join(ctx, r)
}

// ConfigVersion implements peerpb.Peer.
func (s *Server) ConfigVersion(ctx context.Context, r *peerpb.ConfigVersionRequest) (*peerpb.ConfigVersionResponse, error) {
	if s.handlers.Configuration == nil {
		return nil, unimplemented("configuration")
	}
	return s.handlers.Configuration.ConfigVersion(ctx, r)
}

// ConfigFetch implements peerpb.Peer.
func (s *Server) ConfigFetch(ctx context.Context, r *peerpb.ConfigFetchRequest) (*peerpb.ConfigFetchResponse, error) {
	if s.handlers.Configuration == nil {
		return nil, unimplemented("configuration")
	}
	return s.handlers.Configuration.ConfigFetch(ctx, r)
}

// ConfigOffer implements peerpb.Peer.
func (s *Server) ConfigOffer(ctx context.Context, r *peerpb.ConfigOfferRequest) (*peerpb.ConfigOfferResponse, error) {
	if s.handlers.Configuration == nil {
		return nil, unimplemented("configuration")
	}
	return s.handlers.Configuration.ConfigOffer(ctx, r)
}

// Hold implements peerpb.Peer.
func (s *Server) Hold(ctx context.Context, r *peerpb.HoldRequest) (*peerpb.HoldResponse, error) {
	if s.handlers.Copies == nil {
		return nil, unimplemented("copies")
	}
	return s.handlers.Copies.Hold(ctx, r)
}

// Held implements peerpb.Peer.
func (s *Server) Held(ctx context.Context, r *peerpb.HeldRequest) (*peerpb.HeldResponse, error) {
	if s.handlers.Copies == nil {
		return nil, unimplemented("copies")
	}
	return s.handlers.Copies.Held(ctx, r)
}

// Release implements peerpb.Peer.
func (s *Server) Release(ctx context.Context, r *peerpb.ReleaseRequest) (*peerpb.ReleaseResponse, error) {
	if s.handlers.Copies == nil {
		return nil, unimplemented("copies")
	}
	return s.handlers.Copies.Release(ctx, r)
}

// Offer implements peerpb.Peer.
func (s *Server) Offer(ctx context.Context, r *peerpb.OfferRequest) (*peerpb.OfferResponse, error) {
	if s.handlers.Successor == nil {
		return nil, unimplemented("successor")
	}
	return s.handlers.Successor.Offer(ctx, r)
}

// AdoptNotice implements peerpb.Peer.
func (s *Server) AdoptNotice(ctx context.Context, r *peerpb.AdoptNoticeRequest) (*peerpb.AdoptNoticeResponse, error) {
	if s.handlers.Successor == nil {
		return nil, unimplemented("successor")
	}
	return s.handlers.Successor.AdoptNotice(ctx, r)
}

// ReportOutcome implements peerpb.Peer.
func (s *Server) ReportOutcome(ctx context.Context, r *peerpb.ReportOutcomeRequest) (*peerpb.ReportOutcomeResponse, error) {
	if s.handlers.Successor == nil {
		return nil, unimplemented("successor")
	}
	return s.handlers.Successor.ReportOutcome(ctx, r)
}

// UpstreamSignals implements peerpb.Peer.
func (s *Server) UpstreamSignals(ctx context.Context, r *peerpb.UpstreamSignalsRequest) (*peerpb.UpstreamSignalsResponse, error) {
	if s.handlers.Upstreams == nil {
		return nil, unimplemented("upstreams")
	}
	return s.handlers.Upstreams.UpstreamSignals(ctx, r)
}

// Gone implements peerpb.Peer.
func (s *Server) Gone(ctx context.Context, r *peerpb.GoneRequest) (*peerpb.GoneResponse, error) {
	if s.handlers.Programs == nil {
		return nil, unimplemented("programs")
	}
	return s.handlers.Programs.Gone(ctx, r)
}

// Divide implements peerpb.Peer.
func (s *Server) Divide(ctx context.Context, r *peerpb.DivideRequest) (*peerpb.DivideResponse, error) {
	if s.handlers.Limits == nil {
		return nil, unimplemented("limits")
	}
	return s.handlers.Limits.Divide(ctx, r)
}

// Loads implements peerpb.Peer.
func (s *Server) Loads(ctx context.Context, r *peerpb.LoadsRequest) (*peerpb.LoadsResponse, error) {
	if s.handlers.Upstreams == nil {
		return nil, unimplemented("upstreams")
	}
	return s.handlers.Upstreams.Loads(ctx, r)
}
