// Package scheduler joins the upstream table, the cache view, the placement
// decisions and the queue behind one call: Acquire waits for an upstream for
// one step, and the Grant's Done feeds back what became of it.
package scheduler

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

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
	// DataCentre is this instance's; its upstreams are local.
	DataCentre string
	// Ways gives the time to another data centre and back.
	DataCentreRTT map[string]time.Duration
	// Policy is the way to choose; empty for placement.Cost.
	Policy placement.Policy
	// QueueLimit bounds the steps that wait for one model or service; 0 for 4096.
	QueueLimit int
	// Logger gets one line for each decision; nil for none.
	Logger log.Interface
	// Random gives uniform bits to break ties with.
	Random func() uint64
	// Remote tells how old the view of another data centre is; nil for never fresh.
	RemoteViewAge func(dataCentre string) time.Duration
	// Idle reports whether a connection to an upstream is open and unused, and
	// Connect is what a new one costs; nil where connections cost nothing.
	HasIdleConnection func(upstream, address string) bool
	ConnectCost       time.Duration
	// MaxViewAge is how old that view may be; 0 for placement.MaxViewAge.
	MaxViewAge time.Duration
	// Mover moves programs' caches between engines; nil for no moves.
	Mover Mover
	// Release asks engines to give up a program's memory; nil for none. It must not block.
	Release func(address string, program string)
}

// Mover lets an engine fetch a program's cache from another; engine.Client is one.
type Mover interface {
	ImportKV(ctx context.Context, addr string, order engine.KVImport) error
}

// Request is one step that needs an upstream.
type Request struct {
	// Plan names the customer's plan, Grant what it may use.
	Plan  string
	Grant *usage.Grant
	// Exactly one of Model and Service is set.
	Model   string
	Service string
	// Customer names the client account, each with programs of its own; empty where ids of
	// programs tell them apart.
	Customer string
	// Program is the step's program; Root is the program at the top of its
	// sub-agents, the same where it is none.
	Program string
	Root    string
	// Critical says that a parent waits for this sub-agent.
	Critical bool
	// Priority is the plan's, from 0 to 9.
	Priority int
	// Messages is the whole conversation of a model call.
	Messages []chat.Message
	// Blocks are the chained hashes of the prompt and PromptTokens its length,
	// for a caller that names the prompt's parts in place of Messages.
	Blocks       []uint64
	PromptTokens int
	// Home names the upstream that is known, from beyond this instance, to have
	// run the program's last step, and HomeBlocks how much of the prompt it had.
	LastUpstream       string
	LastUpstreamBlocks int
	// OutputHint is the expected number of output tokens; 0 where only the
	// plan's earlier answers tell.
	OutputHint int
	MaxTokens  int
	// Whole says that the engine is asked for a whole answer and not a stream,
	// so that it shows no progress before the end.
	NonStreaming bool
	// Deadline is when the caller gives up; zero for none.
	Deadline time.Time
	// Tried names the upstreams that failed the step before.
	Tried []string
	// Repeatable says that a service call may be sent more than once.
	Repeatable bool
}

// Refusal says truthfully that the step was not run, and why.
type Refusal struct {
	Code       step.Code
	Status     int
	Message    string
	RetryAfter time.Duration

	// decision is the last that was made for the step, if any.
	decision placement.Decision
}

// Scheduler places steps. It is safe for concurrent use.
type Scheduler struct {
	settings         Settings
	table            *upstream.Table
	view             *cache.View
	retries          *upstream.RetryBudget
	programs         *programs
	toolWaits        toolWaits
	outputLengths    outputLengths
	prefixPopularity *popularity
	inflow           inflows
	moveRates        moveRates
	decisionCount    atomic.Uint64

	mu    sync.RWMutex
	pools map[poolKey]*pool
}

type poolKey struct {
	service bool
	name    string
}

// New returns a scheduler over the table and view, which others feed.
func New(settings Settings, table *upstream.Table, view *cache.View) *Scheduler {
	if settings.Policy == "" {
		settings.Policy = placement.Cost
	}
	if settings.QueueLimit == 0 {
		settings.QueueLimit = defaultQueueLimit
	}
	return &Scheduler{
		settings:         settings,
		table:            table,
		view:             view,
		retries:          upstream.NewRetryBudget(),
		programs:         newPrograms(),
		prefixPopularity: newPopularity(),
		pools:            map[poolKey]*pool{},
	}
}

// Acquire waits for an upstream for the step, in the order of the queue, and
// returns a grant or a refusal. Nothing has been sent. The caller sends the
// step and calls the grant's Done exactly once.
//
// The end of ctx is a refusal with CodeCancelled.
func (s *Scheduler) Acquire(ctx context.Context, r Request) (*Grant, *Refusal) {
	if refusal := s.check(&r); refusal != nil {
		return nil, refusal
	}
	if len(r.Tried) > 0 && !s.retries.Take(time.Now()) {
		return nil, refuse(step.CodeOverloaded, 503, "the retry budget is used up", time.Second)
	}
	if len(r.Tried) == 0 {
		s.retries.Attempt()
	}
	w := s.newWaiter(&r)
	p := s.pool(&r)
	grant, refusal := p.place(ctx, w)
	if refusal != nil {
		s.logRefusal(w, refusal)
		return nil, refusal
	}
	s.recordPlacement(grant, time.Now())
	s.logDecision(grant)
	s.moveCache(ctx, grant)
	return grant, nil
}

// check refuses what no waiting would help.
func (s *Scheduler) check(r *Request) *Refusal {
	members := s.table.Snapshot()
	switch {
	case r.Model != "" && r.Grant != nil && !r.Grant.AllowsModel(r.Model):
		return refuse(step.CodeForbidden, 403, "the plan may not use the model", 0)
	case r.Service != "" && r.Grant != nil && !r.Grant.AllowsService(r.Service):
		return refuse(step.CodeForbidden, 403, "the plan may not use the service", 0)
	case r.Model != "" && len(members.Model(r.Model)) == 0:
		return refuse(step.CodeModelNotFound, 404, "no engine has the model", 0)
	case r.Service != "" && len(members.Service(r.Service)) == 0:
		return refuse(step.CodeNoUpstream, 503, "no replica serves the service", 0)
	default:
		return nil
	}
}

func refuse(code step.Code, status int, message string, after time.Duration) *Refusal {
	return &Refusal{Code: code, Status: status, Message: message, RetryAfter: after}
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

// Waiting returns the number of steps that wait in this instance.
func (s *Scheduler) Waiting() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	n := 0
	for _, p := range s.pools {
		n += p.waiting()
	}
	return n
}

// Demand returns for each model the steps under way and waiting, on which the
// placement of models is decided.
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

// End forgets a program and releases its memory on the engines that have it.
func (s *Scheduler) End(program string) {
	for _, address := range s.programs.remove(program) {
		s.release(address, program)
	}
}

func (s *Scheduler) release(address, program string) {
	if s.settings.Release != nil {
		s.settings.Release(address, program)
	}
}

// Programs returns the programs whose memory this instance knows to be held.
func (s *Scheduler) Programs() []string { return s.programs.names() }
