// Package entry serves callers: the OpenAI-compatible HTTP API, calls of tool services, and the
// relay of a step to the instance that owns its program.
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
	// Do runs a step. It streams the response to the sink unless that is nil.
	Do(ctx context.Context, call step.Call, sink step.Sink) step.Result
	// Open starts a program without a step; parent is empty for a root program.
	Open(ctx context.Context, p *plan.Plan, parent program.ID) step.Result
	// End ends a program at the request of the plan's customer.
	End(ctx context.Context, p *plan.Plan, id program.ID) step.Result
}

// Owner is the instance that owns a program.
type Owner struct {
	Instance string
	// Address is the owner's peer address, host:port.
	Address string
	// IsSelf reports whether the owner is this instance.
	IsSelf bool
}

// Directory looks up the owner of a program.
type Directory interface {
	Locate(ctx context.Context, id program.ID) (Owner, error)
}

// Config returns the lists in force; both are nil until the first ones are read.
type Config interface {
	Lists() (*plan.List, *usage.List)
}

// Options are the settings and dependencies of a Server.
type Options struct {
	Limits    settings.Callers
	Programs  Programs
	Directory Directory
	Config    Config
	// NotReadyReason returns the reason why this instance should get no calls, or an empty string.
	NotReadyReason func() string
	// PeerSecret authenticates relayed calls.
	PeerSecret string
	Operators  settings.Operators
	Metrics    metrics.Registry
	// Dial connects to owners; nil means TCP.
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

// New returns a server. It opens no listener.
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

// CallersHandler returns the handler of the callers' listener and the group to which the endpoints
// for operators are added.
func (s *Server) CallersHandler() (*echo.Echo, *echo.Group) {
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

// limitRequests is a middleware that refuses requests above the limit of requests in flight.
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
	if reason := s.opt.NotReadyReason(); reason != "" {
		return c.String(http.StatusServiceUnavailable, reason+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}
