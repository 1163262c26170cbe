// Package routing holds the aggregate of what operators accept for traffic:
// routes, the services behind them and the limits on callers. A Table is
// immutable; its rules do no I/O.
package routing

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// Repeat says how often the calls of a route may run.
type Kind uint8

// The kinds of route.
const (
	// Once says that a call runs at most once.
	Once Kind = iota
	// Idempotent says that a call may run more than once.
	Idempotent
	// Stream says that the answer is a stream of events. A stream runs at most
	// once unless its route is resumable.
	Stream
)

// String returns the kind's name in log lines.
func (k Kind) String() string {
	return [...]string{"once", "idempotent", "stream"}[k]
}

// Share is one service behind a route with its weight among the others.
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
	// Timeout bounds a call from its arrival to the end of its answer.
	Timeout time.Duration
	// Objective is the time within which an answer is on time; of a stream,
	// the time to its first event.
	Objective time.Duration
	// GapObjective is the longest pause between two events of a stream that is on time.
	GapObjective time.Duration
	// Attempts is the number of replicas to which one call may be sent.
	Attempts int
	// Priority is the rank among routes, 0 the first.
	Priority int
	Services []WeightedService
	// Affinity says that replicas serve faster what they served before.
	Affinity bool
	// Resumable says that a broken stream may go on at another replica.
	Resumable bool
	// KeepsTurns says that calls continue from earlier answers, which are kept
	// for Retention after the last of their chain.
	RetainsTurns bool
	Retention    time.Duration
	// Public says that calls need no key.
	Public bool
}

// Repeatable reports whether a call of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Engine describes the engines of a model service.
type Engine struct {
	Slots int
	// CacheTokens is an engine's memory in tokens.
	CacheTokens int
	// TokensPerEvent is the number of output tokens that one event stands for.
	TokensPerEvent int
	Models         []string
}

// Service is a group of replicas that serve alike.
type Service struct {
	Name string
	// MaxConnections is what one replica accepts from all instances together.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one accepted version of routes, services and limits.
type Table struct {
	Version uint64
	Limits  Limits
	// Customers is nil where calls need no key on any route.
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

// Match returns the route of the host with the longest prefix of the path, or nil.
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

// Services returns the number of services.
func (t *Table) ServiceCount() int { return len(t.services) }

// Choose returns the route's service for a call: by weight, and the same for
// the same key.
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
	// ID is the replica's own name, by which it knows whether a call is for it.
	ID string
	// Incarnation changes at each start, also under the same id.
	Incarnation int64
	Service     string
	Address     string
	DataCentre  string
	Slots       int
	Draining    bool
}

// nameMark separates a replica's id from its incarnation in its name.
const incarnationSeparator = "@"

// Name tells the replica's incarnation from earlier ones of the same id, which
// know nothing of each other.
func (r *Replica) Name() string {
	return r.ID + incarnationSeparator + strconv.FormatInt(r.Incarnation, 10)
}

// IDOf returns the id of the replica of that name.
func ReplicaID(name string) string {
	id, _, _ := strings.Cut(name, incarnationSeparator)
	return id
}
