// Package dispatch executes steps: it checks limits, reserves budget, acquires an upstream, sends
// the step to it, and retries where that is safe. It implements owner.Executor.
package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"foxhall/internal/chat"
	"foxhall/internal/engine"
	"foxhall/internal/httpconn"
	"foxhall/internal/owner"
	"foxhall/internal/plan"
	"foxhall/internal/quarantine"
	"foxhall/internal/scheduler"
	"foxhall/internal/step"
	"foxhall/internal/tool"
	"foxhall/internal/usage"
)

// Cost is the amount that a step reserves from its plan's budget or settles afterwards.
type Cost struct {
	Money  plan.Micros
	Tokens int64
}

// Reservation is a part of a plan's budget that is reserved for one step.
type Reservation interface {
	// Settle replaces the reservation by the actual cost.
	Settle(actual Cost)
	// Release cancels the reservation.
	Release()
}

// Budget reserves amounts from the budgets of plans.
type Budget interface {
	Reserve(ctx context.Context, p *plan.Plan, cost Cost) (Reservation, *step.Result)
}

// Gate admits steps within the rate and concurrency limits of their plan. The caller of Enter calls
// release once, when the step has ended.
type Gate interface {
	Enter(ctx context.Context, p *plan.Plan, deadline time.Time) (release func(), refusal *step.Result)
}

// Lists returns the plan list and the usage list in force.
type Lists interface {
	Lists() (*plan.List, *usage.List)
}

// Scheduler grants steps a slot on an upstream.
type Scheduler interface {
	Acquire(ctx context.Context, r scheduler.Request) (*scheduler.Grant, *scheduler.Refusal)
}

// Engines sends model calls to engines. It passes each chunk of the response to onChunk.
type Engines interface {
	Complete(ctx context.Context, addr string, r *engine.Request, onChunk func(engine.Chunk) error) (*engine.Response, error)
}

// Tools sends calls to tool services.
type Tools interface {
	Call(ctx context.Context, call tool.Call) (tool.Response, error)
}

// Options are the dependencies of an Executor.
type Options struct {
	Lists     Lists
	Gate      Gate
	Budget    Budget
	Scheduler Scheduler
	Engines   Engines
	Tools     Tools
	// Quarantine holds the contents under which upstreams ended; nil for a table of this executor alone.
	Quarantine *quarantine.Table
	// Probe reports whether an address accepts connections; nil if that can't be found out.
	Probe    func(ctx context.Context, address string) httpconn.Liveness
	Registry metrics.Registry
}

// Executor implements owner.Executor.
type Executor struct {
	opt     Options
	retries metrics.Counter
	hedges  metrics.Counter
	cached  metrics.Counter
	prompt  metrics.Counter
}

// New returns an executor.
func New(o Options) *Executor {
	if o.Quarantine == nil {
		o.Quarantine = quarantine.NewTable(o.Registry)
	}
	if o.Probe == nil {
		o.Probe = func(context.Context, string) httpconn.Liveness { return httpconn.LivenessUnknown }
	}
	return &Executor{
		opt:     o,
		retries: metrics.GetOrRegisterCounter("dispatch.retries", o.Registry),
		hedges:  metrics.GetOrRegisterCounter("dispatch.hedges", o.Registry),
		cached:  metrics.GetOrRegisterCounter("dispatch.prompt_tokens_cached", o.Registry),
		prompt:  metrics.GetOrRegisterCounter("dispatch.prompt_tokens", o.Registry),
	}
}

// Admit implements owner.Executor. If a later check refuses the step, the resources acquired so far
// are released in reverse order.
func (e *Executor) Admit(ctx context.Context, w *owner.Work) (owner.PlacedStep, *step.Result) {
	_, lists := e.opt.Lists.Lists()
	grant := lists.Grant(w.Call.Plan.Name)
	price, refusal := e.price(w, lists, grant)
	if refusal != nil {
		return nil, refusal
	}
	a := &admission{executor: e, work: w, usageGrant: grant, price: price, fingerprint: fingerprintOf(w)}
	if a.standing().Rejected() {
		return nil, a.rejectQuarantined()
	}
	leaveGate, refusal := e.opt.Gate.Enter(ctx, w.Call.Plan, w.Deadline)
	if refusal != nil {
		return nil, refusal
	}
	reservation, refusal := e.opt.Budget.Reserve(ctx, w.Call.Plan, price.worstCase(w))
	if refusal != nil {
		leaveGate()
		return nil, refusal
	}
	a.leaveGate, a.reservation = leaveGate, reservation
	if refusal := a.acquireUpstream(ctx); refusal != nil {
		reservation.Release()
		leaveGate()
		return nil, refusal
	}
	if w.Call.Model != nil {
		return &modelStep{admission: a}, nil
	}
	return &toolStep{admission: a}, nil
}

// price checks that the plan may make the call and returns its price.
func (e *Executor) price(w *owner.Work, lists *usage.List, grant *usage.Grant) (price, *step.Result) {
	if grant == nil {
		return price{}, refuse(http.StatusForbidden, step.CodeNotInPlan, "the plan may use nothing at present")
	}
	if t := w.Call.Tool; t != nil {
		service := lists.Service(t.Service)
		if service == nil || !grant.AllowsService(t.Service) {
			return price{}, refuse(http.StatusForbidden, step.CodeNotInPlan, "the plan may not use the service "+t.Service)
		}
		return price{call: service.CallPrice}, nil
	}
	model := lists.Model(w.Call.Model.Model)
	if model == nil {
		return price{}, refuse(http.StatusNotFound, step.CodeModelNotFound, "no model "+w.Call.Model.Model)
	}
	if !grant.AllowsModel(model.Name) {
		return price{}, refuse(http.StatusForbidden, step.CodeNotInPlan, "the plan may not use the model "+model.Name)
	}
	p := price{prompt: model.PromptPrice, output: model.OutputPrice}
	return p, checkContext(w, model)
}

// checkContext refuses a model call if its history and the requested output exceed the model's
// context.
func checkContext(w *owner.Work, model *usage.Model) *step.Result {
	need := chat.EstimateTokens(w.History) + w.Call.Model.MaxTokens
	if model.ContextTokens == 0 || need <= model.ContextTokens {
		return nil
	}
	return refuse(http.StatusBadRequest, step.CodeBadRequest, "the conversation exceeds the model's context")
}

func refuse(status int, code step.Code, message string) *step.Result {
	r := step.Refuse(status, code, message)
	return &r
}

// tokensPerPrice is the number of tokens to which the prices of a model refer.
const tokensPerPrice = 1_000_000

// price holds the prices that apply to one step.
type price struct {
	// prompt and output are the prices of tokensPerPrice tokens.
	prompt, output plan.Micros
	// call is the price of a tool call.
	call plan.Micros
}

// total returns the price of a step with the given token counts, rounded up.
func (p price) total(prompt, output int) plan.Micros {
	tokens := p.prompt*plan.Micros(prompt) + p.output*plan.Micros(output)
	return p.call + (tokens+tokensPerPrice-1)/tokensPerPrice
}

// estimateMargin is the factor by which a prompt may exceed its estimated tokens. Budgets are
// enforced only if no step settles for more than its reservation.
const estimateMargin = 2

// worstCase returns the highest possible cost of the step.
func (p price) worstCase(w *owner.Work) Cost {
	if w.Call.Model == nil {
		return Cost{Money: p.call}
	}
	prompt := estimateMargin * chat.EstimateTokens(w.History)
	output := w.Call.Model.MaxOutputTokens()
	return Cost{Money: p.total(prompt, output), Tokens: int64(prompt + output)}
}

// actual returns the cost of a step with the given token usage.
func (p price) actual(u chat.Usage) Cost {
	return Cost{Money: p.total(u.PromptTokens, u.CompletionTokens), Tokens: int64(u.PromptTokens + u.CompletionTokens)}
}
