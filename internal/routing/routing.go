// Package routing defines the routing configuration that operators have accepted: routes, the
// services behind them, customers and the limits on callers. A Table is immutable, and the package
// does no I/O.
package routing

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Kind is the kind of a route; it determines how often the route's calls may run.
type Kind uint8

// The kinds of route.
const (
	// AtMostOnce: a call runs at most once.
	AtMostOnce Kind = iota
	// Idempotent: a call may run more than once.
	Idempotent
	// Stream: the response is a stream of events. A stream runs at most once unless its route is
	// resumable.
	Stream
)

// String returns the kind's name in log lines.
func (k Kind) String() string {
	return [...]string{"once", "idempotent", "stream"}[k]
}

// WeightedService is one service behind a route with its weight relative to the others.
type WeightedService struct {
	Service string
	Weight  int
}

// Route sends the calls of one host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds a call from its arrival to the end of its response.
	Timeout time.Duration
	// Objective is the target time to a complete response, or to the first event of a stream.
	Objective time.Duration
	// GapObjective is the target for the longest pause between two events of a stream.
	GapObjective time.Duration
	// Attempts is the number of replicas that may run one call.
	Attempts int
	// Priority is the rank among routes; 0 is the most urgent.
	Priority int
	Services []WeightedService
	// Affinity is set if a replica serves a call faster after it has served similar ones.
	Affinity bool
	// Resumable is set if a stream that breaks off may be resumed, at the same replica or another.
	Resumable bool
	// RetainsTurns is set if calls continue from earlier turns, which are retained for Retention
	// after the last turn of their chain.
	RetainsTurns bool
	Retention    time.Duration
	// Public is set if calls need no key.
	Public bool
}

// Repeatable reports whether a call of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Engine describes the engines of a model service.
type Engine struct {
	Slots int
	// CacheTokens is the capacity of an engine's cache in tokens.
	CacheTokens int
	// TokensPerEvent is the number of output tokens in one event.
	TokensPerEvent int
	Models         []string
}

// Service is a group of interchangeable replicas.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one replica accepts from all instances
	// together; 0 for no limit.
	MaxConnections int
	// Engine describes the replicas of a model service; nil for any other service.
	Engine *Engine
}

// Limits bound the requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one accepted version of the routing configuration.
type Table struct {
	Version uint64
	Limits  Limits
	// Customers is nil if calls need no key on any route.
	Customers *Customers

	routes   map[string][]*Route
	services map[string]*Service
}

// NewTable returns the table of one version.
func NewTable(version uint64, limits Limits, customers *Customers, routes []Route, services []Service) *Table {
	t := &Table{Version: version, Limits: limits, Customers: customers, routes: map[string][]*Route{}, services: map[string]*Service{}}
	for i := range services {
		t.services[services[i].Name] = &services[i]
	}
	for i := range routes {
		r := &routes[i]
		t.routes[r.Host] = append(t.routes[r.Host], r)
	}
	for _, hostRoutes := range t.routes {
		slices.SortStableFunc(hostRoutes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Match returns the host's route with the longest prefix that matches the path, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service of that name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// SameServices reports whether another table has the same services with the same engines.
func (t *Table) SameServices(other *Table) bool {
	return other != nil && maps.EqualFunc(t.services, other.services, func(a, b *Service) bool {
		return a.Engine.equal(b.Engine)
	})
}

func (e *Engine) equal(other *Engine) bool {
	if e == nil || other == nil {
		return e == other
	}
	return e.Slots == other.Slots && e.CacheTokens == other.CacheTokens &&
		e.TokensPerEvent == other.TokensPerEvent && slices.Equal(e.Models, other.Models)
}

// ServiceCount returns the number of services.
func (t *Table) ServiceCount() int { return len(t.services) }

// Choose returns one of the route's services, in proportion to their weights. The same key gives
// the same service.
func (r *Route) Choose(key uint64) string {
	total := 0
	for _, s := range r.Services {
		total += max(0, s.Weight)
	}
	if total == 0 {
		if len(r.Services) == 0 {
			return ""
		}
		return r.Services[0].Service
	}
	offset := int(key % uint64(total))
	for _, s := range r.Services {
		if offset -= max(0, s.Weight); offset < 0 {
			return s.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}

// Replica is one running replica of a service.
type Replica struct {
	// ID identifies the replica; the replica compares it to recognise calls that are not meant for it.
	ID string
	// Incarnation changes at each start of a replica with the same ID.
	Incarnation int64
	Service     string
	Address     string
	DataCentre  string
	// Version is that of the replica's software; empty if it is not known.
	Version  string
	Slots    int
	Draining bool
}

// incarnationSeparator separates a replica's ID from its incarnation in its name.
const incarnationSeparator = "@"

// Name returns the replica's ID with its incarnation. Incarnations of the same ID share no state.
func (r *Replica) Name() string {
	return r.ID + incarnationSeparator + strconv.FormatInt(r.Incarnation, 10)
}

// ReplicaID returns the ID in a name returned by Replica.Name.
func ReplicaID(name string) string {
	id, _, _ := strings.Cut(name, incarnationSeparator)
	return id
}

// Incarnation returns the incarnation in a name returned by Replica.Name; 0 if there is none.
func Incarnation(name string) int64 {
	_, incarnation, _ := strings.Cut(name, incarnationSeparator)
	n, err := strconv.ParseInt(incarnation, 10, 64)
	if err != nil {
		return 0
	}
	return n
}
