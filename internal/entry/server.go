// Package entry is the callers' side of foxhall: the OpenAI-compatible HTTP
// API, the path to tool services, and the relay of a step to the instance that
// owns its program.
package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/semaphore"

	"foxhall/internal/plan"
	"foxhall/internal/program"
	"foxhall/internal/settings"
	"foxhall/internal/step"
	"foxhall/internal/usage"
)

// Programs runs the steps of the programs that this instance owns.
type Programs interface {
	Do(ctx context.Context, call step.Call, sink step.Sink) step.Result
	// Open starts a program without a step; parent is empty for a root program.
	Open(ctx context.Context, p *plan.Plan, parent program.ID) step.Result
	// End says that the plan's customer needs a program no longer.
	End(ctx context.Context, p *plan.Plan, id program.ID) step.Result
}

// Owner is the instance that owns a program.
type Owner struct {
	Instance string
	// Address is the owner's peer address, host:port.
	Address string
	Local   bool
}

// Directory finds the owner of a program.
type Directory interface {
	Locate(ctx context.Context, id program.ID) (Owner, error)
}

// Config gives the lists in force; both are nil before the first were read.
type Config interface {
	Lists() (*plan.List, *usage.List)
}

// Options are what a Server works with.
type Options struct {
	Limits    settings.Callers
	Programs  Programs
	Directory Directory
	Config    Config
	// Ready tells why this instance should get no calls, or is empty.
	Ready func() string
	// PeerSecret authenticates relayed calls.
	PeerSecret string
	Operators  settings.Operators
	Metrics    metrics.Registry
	// Dial replaces the way connections to owners are made; nil for TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Server serves callers and, on the peers' listener, relayed calls.
type Server struct {
	opt         Options
	requests    *semaphore.Weighted
	relayClient *http.Client
	refused     metrics.Counter
	relayed     metrics.Counter
	stepTimer   metrics.Timer
}

// New returns a server; nothing is listening yet.
func New(opt Options) *Server {
	return &Server{
		opt:         opt,
		requests:    semaphore.NewWeighted(int64(opt.Limits.MaxRequests)),
		relayClient: newRelayClient(opt.Dial),
		refused:     metrics.GetOrRegisterCounter("entry.refused", opt.Metrics),
		relayed:     metrics.GetOrRegisterCounter("entry.relayed", opt.Metrics),
		stepTimer:   metrics.GetOrRegisterTimer("entry.steps", opt.Metrics),
	}
}

// Close closes the idle connections to owners.
func (s *Server) Close() { s.relayClient.CloseIdleConnections() }

// Callers returns the handler of the callers' listener. Operators' endpoints
// are added to the returned group.
func (s *Server) Callers() (*echo.Echo, *echo.Group) {
	e := echo.New()
	e.HTTPErrorHandler = s.handleEchoError
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", s.handleReady)
	e.GET("/metrics", s.handleMetrics)
	s.addRoutes(e.Group("/v1", s.authenticate, s.limitRequests), false)
	return e, e.Group("/operator/v1", s.authenticateOperator)
}

// RelayPrefix is the path on the peers' listener under which relayed calls arrive.
const RelayPrefix = "/relay"

// RegisterRelay adds the routes of relayed calls to the peers' listener.
func (s *Server) RegisterRelay(e *echo.Echo) {
	s.addRoutes(e.Group(RelayPrefix+"/v1", s.authenticatePeer, s.authenticate), true)
}

func (s *Server) addRoutes(g *echo.Group, relayed bool) {
	g.POST("/chat/completions", s.handleChat(relayed))
	g.GET("/models", s.handleModels)
	g.Any("/tools/:service/*", s.handleTool(relayed))
	g.POST("/programs", s.handleOpen(relayed))
	g.DELETE("/programs/:id", s.handleEnd(relayed))
}

// bound refuses requests over the limit on those under way at once.
func (s *Server) limitRequests(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !s.requests.TryAcquire(1) {
			r := step.Refuse(http.StatusServiceUnavailable, step.CodeOverloaded, "too many requests under way on this instance")
			r.RetryAfter = time.Second
			return s.respond(c, r)
		}
		defer s.requests.Release(1)
		return next(c)
	}
}

func (s *Server) handleReady(c echo.Context) error {
	if reason := s.opt.Ready(); reason != "" {
		return c.String(http.StatusServiceUnavailable, reason+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}
