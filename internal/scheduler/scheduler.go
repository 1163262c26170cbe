// Package scheduler assigns steps to upstreams. It combines the upstream table, the cache view, the
// placement decisions and the queue: Acquire waits for an upstream for one step, and the Grant's
// Done reports the outcome of the step.
package scheduler

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/cache"
	"foxhall/internal/chat"
	"foxhall/internal/engine"
	"foxhall/internal/placement"
	"foxhall/internal/step"
	"foxhall/internal/upstream"
	"foxhall/internal/usage"
)

// Settings configure a scheduler.
type Settings struct {
	// DataCentre is the data centre of this instance. Its upstreams are local.
	DataCentre string
	// RemoteCosts is the cost of a call to each other data centre, such as the round-trip time to it.
	RemoteCosts map[string]time.Duration
	// Policy is the placement policy; empty for placement.Cost.
	Policy placement.Policy
	// QueueLimit bounds the number of steps that wait for one model or service; 0 for 4096.
	QueueLimit int
	// Logger receives one line for each decision; nil for none.
	Logger log.Interface
	// Random returns uniformly distributed bits, used to break ties.
	Random func() uint64
	// RemoteViewAge returns the age of the view of another data centre. If it is nil, the views of
	// other data centres count as too old.
	RemoteViewAge func(dataCentre string) time.Duration
	// Connections reports whether a connection to an upstream is open and unused, and whether one is free
	// if at most limit may be in use. It is called for each candidate of a decision. If it is nil,
	// connections cost nothing and all are free. ConnectCost is the cost of a new connection.
	Connections func(upstream, address string, limit int) (idle, free bool)
	ConnectCost time.Duration
	// MaxViewAge is the maximum age of the view of another data centre; 0 for placement.MaxViewAge.
	MaxViewAge time.Duration
	// LoadControl turns on the admission of model calls by urgency: an engine is full for a call from
	// a number of calls of all instances on that depends on the call's urgency and rank, and calls wait
	// in the order of both. It requires placement.Cost.
	LoadControl bool
	// Registry receives the metrics of LoadControl; nil for none.
	Registry metrics.Registry
	// Mover moves programs' caches between engines; nil for no moves.
	Mover Mover
	// ReleaseCache asks an engine to release a program's cache memory; nil for none. It must not
	// block.
	ReleaseCache func(address string, program string)
}

// Mover makes an engine fetch a program's cache from another engine. engine.Client implements it.
type Mover interface {
	ImportKV(ctx context.Context, addr string, order engine.KVImport) error
}

// Request is one step that needs an upstream.
type Request struct {
	// Plan is the name of the customer's plan, or of the route where there are no plans. Grant is
	// what the plan may use; nil for no restriction.
	Plan  string
	Grant *usage.Grant
	// Exactly one of Model and Service is set.
	Model   string
	Service string
	// Customer is the client account, which has its own namespace of program ids; empty if program
	// ids are unique across customers.
	Customer string
	// Program is the step's program. Root is the top-level program of which it is a sub-agent, or
	// the program itself if it is none.
	Program string
	Root    string
	// Critical reports whether a parent waits for this sub-agent.
	Critical bool
	// Priority is the plan's priority, from 0 to 9; higher goes first.
	Priority int
	// Messages is the complete conversation of a model call.
	Messages []chat.Message
	// BlockHashes are the chained block hashes of the prompt and PromptTokens is its length. They
	// replace Messages for a caller that has only the hashes.
	BlockHashes  []uint64
	PromptTokens int
	// LastUpstream is the upstream that ran the program's last step according to other instances,
	// and LastUpstreamBlocks is how many blocks of the prompt it had cached.
	LastUpstream       string
	LastUpstreamBlocks int
	// OutputHint is the expected number of output tokens; 0 to estimate it from the plan's
	// earlier responses.
	OutputHint      int
	MaxOutputTokens int
	// NonStreaming reports whether the engine is asked for a single response instead of a stream,
	// so that it shows no progress before the end.
	NonStreaming bool
	// Deadline is when the caller gives up; zero for none.
	Deadline time.Time
	// CallID is the id of the call in log lines; empty for none.
	CallID string
	// Arrived is when the call arrived at this instance; zero if unknown. A step that is placed again keeps its place in
	// the order of arrival. Waited is how long the call has waited for its earlier placements.
	Arrived time.Time
	Waited  time.Duration
	// Objective is the time by which the program should have finished; zero if unknown. Resent is set if an earlier
	// attempt was refused or lost. They are used only with Settings.LoadControl.
	Objective time.Time
	Resent    bool
	// Tried is the names of the upstreams that failed the step before, or have it.
	Tried []string
	// RefusedBy is the names of the upstreams that refused the step for their load or could not be reached, the latest
	// last. They may get it again once they do not count as full or broken any more and no other upstream with a place is
	// expected to be in time.
	RefusedBy []string
	// Refusals is the number of these refusals.
	Refusals int
	// UnreachedSince is when the step could not reach an upstream first, if it has reached none since; zero otherwise.
	UnreachedSince time.Time
	// NotRun is set if all upstreams in Tried refused the step or could not be reached. It then draws on no retry
	// budget: an upstream that refuses steps counts as full, so that they do not multiply its load.
	NotRun bool
	// MaxConnections is the number of connections that this instance may have to one upstream; 0 for no
	// limit. An upstream to which so many are in use is full.
	MaxConnections int
	// Again is set if the step was granted before and not sent, or refused for the upstream's load. It draws on no retry
	// budget: the placement before did.
	Again bool
	// Hedge is set if an attempt of the step is under way. Hedges have a retry budget of their own, so that
	// many silent upstreams leave the budget of failed attempts untouched.
	Hedge bool
	// Repeatable reports whether a service call may be sent more than once.
	Repeatable bool
	// Isolated is set for a step that may end its upstream: it goes to the one with the fewest calls,
	// and to none of those in Avoid while there is another.
	Isolated bool
	Avoid    []string
	// AtVersion is set for a step that only upstreams whose software has this version may take.
	AtVersion bool
	Version   string
}

// Scheduler places steps. It is safe for concurrent use.
type Scheduler struct {
	settings         Settings
	table            *upstream.Table
	view             *cache.View
	retries          *upstream.RetryBudget
	hedges           *upstream.RetryBudget
	programs         *programs
	toolWaits        toolWaits
	outputLengths    outputLengths
	prefixPopularity *popularity
	inflow           inflows
	moveRates        moveRates
	decisionCount    atomic.Uint64
	// urgencyMetrics is nil without LoadControl or a registry.
	urgencyMetrics *urgencyMetrics
	// rescanScheduled is set while a scan of the queues is scheduled, rescannedAt is when the last one
	// began, in Unix nanoseconds.
	rescanScheduled atomic.Bool
	rescannedAt     atomic.Int64

	mu    sync.RWMutex
	pools map[poolKey]*pool
}

type poolKey struct {
	service bool
	name    string
}

// New returns a scheduler on the table and the cache view. The caller adds and removes the table's
// upstreams; Run reads their load reports and cache events.
func New(settings Settings, table *upstream.Table, view *cache.View) *Scheduler {
	if settings.Policy == "" {
		settings.Policy = placement.Cost
	}
	if settings.QueueLimit == 0 {
		settings.QueueLimit = defaultQueueLimit
	}
	s := &Scheduler{
		settings:         settings,
		table:            table,
		view:             view,
		retries:          upstream.NewRetryBudget(),
		hedges:           upstream.NewRetryBudget(),
		programs:         newPrograms(),
		prefixPopularity: newPopularity(),
		pools:            map[poolKey]*pool{},
	}
	if settings.LoadControl && settings.Registry != nil {
		s.urgencyMetrics = newUrgencyMetrics(s, settings.Registry)
	}
	return s
}

// Acquire waits in the queue for an upstream for the step and returns a grant or a refusal. It does
// not send the step: the caller sends it and calls the grant's Done exactly once.
//
// If ctx is done first, the result is a refusal with CodeCancelled.
func (s *Scheduler) Acquire(ctx context.Context, r Request) (*Grant, *Refusal) {
	if refusal := s.check(&r); refusal != nil {
		return nil, refusal
	}
	if !s.mayTry(&r, time.Now()) {
		return nil, refuse(NoRetry, step.CodeOverloaded, 503, "the retry budget is used up", time.Second)
	}
	w := s.newWaiter(&r)
	p := s.pool(&r)
	grant, refusal := p.place(ctx, w)
	if m := s.urgencyMetrics; m != nil && w.byUrgency {
		m.waited.Update(time.Since(w.enqueued).Microseconds())
	}
	if refusal != nil {
		s.logRefusal(w, refusal)
		return nil, refusal
	}
	s.recordPlacement(grant, time.Now())
	s.logDecision(grant)
	s.moveCache(ctx, grant)
	return grant, nil
}

// mayTry takes a retry or a hedge from its budget, or records a first attempt.
func (s *Scheduler) mayTry(r *Request, now time.Time) bool {
	switch {
	case r.Again:
		return true
	case r.Hedge:
		return s.hedges.TryTake(now)
	case len(r.Tried)+len(r.RefusedBy) == 0:
	case r.NotRun:
		return true
	default:
		return s.retries.TryTake(now)
	}
	s.retries.RecordAttempt()
	s.hedges.RecordAttempt()
	return true
}

// check refuses a step that would not succeed after any wait.
func (s *Scheduler) check(r *Request) *Refusal {
	members := s.table.Snapshot()
	switch {
	case r.Model != "" && r.Grant != nil && !r.Grant.AllowsModel(r.Model):
		return refuse(NotPermitted, step.CodeNotInPlan, 403, "the plan may not use the model", 0)
	case r.Service != "" && r.Grant != nil && !r.Grant.AllowsService(r.Service):
		return refuse(NotPermitted, step.CodeNotInPlan, 403, "the plan may not use the service", 0)
	case r.Model != "" && len(members.Model(r.Model)) == 0:
		return refuse(NoUpstream, step.CodeModelNotFound, 404, "no engine has the model", 0)
	case r.Service != "" && len(members.Service(r.Service)) == 0:
		return refuse(NoUpstream, step.CodeNoUpstream, 503, "no replica serves the service", 0)
	default:
		return nil
	}
}

func (s *Scheduler) pool(r *Request) *pool {
	key := poolKey{name: r.Model}
	if r.Service != "" {
		key = poolKey{service: true, name: r.Service}
	}
	s.mu.RLock()
	p := s.pools[key]
	s.mu.RUnlock()
	if p != nil {
		return p
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pools[key] == nil {
		s.pools[key] = newPool(s, key)
	}
	return s.pools[key]
}

func (s *Scheduler) endpoints(key poolKey) []*upstream.Endpoint {
	if key.service {
		return s.table.Snapshot().Service(key.name)
	}
	return s.table.Snapshot().Model(key.name)
}

// Waiting returns the number of steps queued in this instance.
func (s *Scheduler) Waiting() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	n := 0
	for _, p := range s.pools {
		n += p.waiting()
	}
	return n
}

// Demand returns the number of running and queued steps of each model, which decides on which
// engines models are loaded. A model counts as 1 for demandRetention after its last step.
func (s *Scheduler) Demand() map[string]int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	demand := map[string]int{}
	for key, p := range s.pools {
		if !key.service {
			demand[key.name] = p.demand()
		}
	}
	return demand
}

// EndProgram removes a program's state and releases its cache memory on the engines that hold it.
// It finds only programs whose requests name no customer.
func (s *Scheduler) EndProgram(program string) {
	for _, address := range s.programs.remove(program) {
		s.release(address, program)
	}
}

func (s *Scheduler) release(address, program string) {
	if s.settings.ReleaseCache != nil {
		s.settings.ReleaseCache(address, program)
	}
}

// Programs returns the programs that this instance has state of, each by its programKey.
func (s *Scheduler) Programs() []string { return s.programs.names() }
