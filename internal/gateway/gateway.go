package gateway

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/engine"
	"foxhall/internal/limit"
	"foxhall/internal/routing"
	"foxhall/internal/scheduler"
	"foxhall/internal/step"
)

const (
	// notReadyAfter is when a caller may come again to an instance that does
	// not know its configuration yet; it takes about that long to read it.
	notReadyRetryAfter = 500 * time.Millisecond
	// sendsMost bounds the replicas asked for one call. A replica that refuses
	// has not run it, so that it may go on to others, but not for ever.
	maxAttempts = 4
	// leastLeft is the least time worth giving to a replica.
	minTimeLeft = 5 * time.Millisecond
)

// Gateway serves calls. It is safe for concurrent use.
type Gateway struct {
	settings  Settings
	scheduler *scheduler.Scheduler
	replicas  Replicas
	turns     Turns
	logger    log.Interface
	// settling are the turns that ended and are not settled yet.
	pendingSettlements sync.WaitGroup

	latency  metrics.Histogram
	outcomes [CallerGone + 1]metrics.Counter
	reasons  *reasonCounters
	attempts *attemptCounters
}

// Settings are what a gateway is told by the instance that it serves in.
type Settings struct {
	// Table returns the configuration in force, or nil before the first.
	Table func() *routing.Table
	// Instances returns the number of instances that send to replicas, which
	// share what a replica allows.
	Instances func() int
	// CutOffFor returns for how long this instance has been cut off from the
	// other data centres.
	IsolatedFor func() time.Duration
	// Quotas holds customers to their quotas.
	Quotas Quotas
	// Silence returns for how long nothing was heard from a data centre; 0 where that can't be said.
	SilentFor func(dataCentre string) time.Duration
	// WhenSilent has f called should a data centre fall silent before stop is called. The
	// replicas there may answer all the same.
	OnSilence func(dataCentre string, f func()) (stop func())
}

// Quotas holds customers to their quotas over the whole fleet.
type Quotas interface {
	// Admit admits a call, or tells when it is worth to come again.
	Admit(c limit.Call, now time.Time) (limit.Verdict, time.Duration)
	// Return gives the admission of a call back that has not run.
	Return(customer string, admitted, now time.Time)
}

// latencySample is the number of recent calls that the histogram keeps.
const latencySampleSize = 1028

// New returns a gateway.
func New(s Settings, sched *scheduler.Scheduler, replicas Replicas, turns Turns, logger log.Interface, registry metrics.Registry) *Gateway {
	g := &Gateway{settings: s, scheduler: sched, replicas: replicas, turns: turns, logger: logger, reasons: newReasonCounters(registry), attempts: newAttemptCounters(registry)}
	g.latency = metrics.GetOrRegisterHistogram("gateway.call.us", registry, metrics.NewUniformSample(latencySampleSize))
	for o := range g.outcomes {
		g.outcomes[o] = metrics.GetOrRegisterCounter("gateway.calls."+Outcome(o).String(), registry)
	}
	return g
}

// Serve takes a call to its end. ctx ends when the caller leaves.
func (g *Gateway) Serve(ctx context.Context, call *Call, caller Caller) Result {
	f := &inFlightCall{gateway: g, call: call, caller: caller, callerCtx: ctx}
	result := f.serve(ctx)
	if ctx.Err() != nil && result.Outcome != Answered {
		result.Outcome, result.Reason = CallerGone, CallerDisconnected
	}
	g.latency.Update(time.Since(call.Arrived).Microseconds())
	g.outcomes[result.Outcome].Inc(1)
	if result.Reason != "" {
		g.reasons.count(result.Reason, f.customerName())
	}
	f.logResult(&result)
	return result
}

// flight is one call under way.
type inFlightCall struct {
	gateway *Gateway
	call    *Call
	caller  Caller
	// gone ends when the caller leaves.
	callerCtx context.Context
	table     *routing.Table
	route     *routing.Route
	service   *routing.Service
	// customer is whose call it is; nil where no key is needed.
	customer *routing.Customer
	deadline time.Time
	// body is what replicas are to receive.
	body          []byte
	blocks        []uint64
	triedReplicas []string
	// home is the engine that most likely has the prompt cached.
	lastUpstream string
	// sends counts sendings.
	attempts int
	// runs are the replicas that may have run the call.
	possibleRuns replicaNames
	// replica is the one that was sent to last.
	lastReplica string
	// begun says that the answer's head was passed on.
	headerSent bool
	// firstAt is when the first event was passed on.
	firstEventAt time.Time
	stageTimes   stageTimes
}

// stages is the time that a call spent in each part of its way.
type stageTimes struct {
	// reserving is the wait for the program's keepers before a turn, keeping the
	// wait for them after it.
	reserving, retaining time.Duration
	// placing is the wait for a place at a replica.
	placing time.Duration
	// sending is the time at replicas up to the head of their answers.
	awaitingHeader time.Duration
}

func (f *inFlightCall) serve(ctx context.Context) Result {
	f.table = f.gateway.settings.Table()
	if f.table == nil {
		return refused(NoConfiguration, notReadyRetryAfter)
	}
	f.route = f.table.Match(f.call.Host, f.call.Path)
	if f.route == nil {
		return refused(NoRoute, 0)
	}
	if !f.authenticate() {
		return refused(UnknownKey, 0)
	}
	f.service = f.table.Service(f.route.Choose(f.serviceKey()))
	if f.service == nil {
		return refused(NoReplica, notReadyRetryAfter)
	}
	if refusal := f.admit(); refusal != nil {
		return *refusal
	}
	admitted := time.Now()
	result := f.serveAdmitted(ctx)
	if result.Outcome == NotRun && f.customer != nil {
		f.gateway.settings.Quotas.Return(f.customer.Name, admitted, time.Now())
	}
	return result
}

// admit holds the call's customer to its quota.
func (f *inFlightCall) admit() *Result {
	if f.customer == nil {
		return nil
	}
	verdict, after := f.gateway.settings.Quotas.Admit(limit.Call{
		Customer:      f.customer.Name,
		Program:       f.call.Program.ID,
		StartsProgram: f.route.Kind == routing.Stream && f.call.Previous == "",
	}, time.Now())
	if verdict == limit.Admitted {
		return nil
	}
	reason := OverQuota
	if verdict == limit.Undetermined {
		reason = QuotaUnknown
	}
	result := refused(reason, after)
	return &result
}

// run takes an admitted call to its end.
func (f *inFlightCall) serveAdmitted(ctx context.Context) Result {
	f.deadline = f.call.Arrived.Add(f.route.Timeout)
	if !f.call.Deadline.IsZero() && f.call.Deadline.Before(f.deadline) {
		f.deadline = f.call.Deadline
	}
	ctx, cancel := context.WithDeadline(ctx, f.deadline)
	defer cancel()
	f.body = f.call.Body
	f.blocks = hashBlocks(f.service.Name, f.call.Prompt)
	if f.route.Kind != routing.Stream {
		return f.serveNonStreaming(ctx)
	}
	if f.gateway.turns != nil && (f.route.RetainsTurns || f.call.Program.Budget > 0) {
		return f.serveTurn(ctx)
	}
	return f.serveStream(ctx, &streamRecord{})
}

// identify finds out whose call it is; false where the route needs a key and the call has
// none that is in force. A key that is not needed still tells whose call it is.
func (f *inFlightCall) authenticate() bool {
	if f.table.Customers == nil {
		return true
	}
	if f.call.Key != nil {
		f.customer = f.table.Customers.ByKey(*f.call.Key)
	}
	return f.customer != nil || f.route.Public
}

// customerName returns the name of the client account; empty for none.
func (f *inFlightCall) customerName() string {
	if f.customer == nil {
		return ""
	}
	return f.customer.Name
}

// priority is the call's rank, 0 the first.
func (f *inFlightCall) priority() int {
	if f.customer != nil && f.customer.Priority != nil {
		return max(0, *f.customer.Priority)
	}
	return f.route.Priority
}

// key is what a call's service is chosen by: a program stays with one.
func (f *inFlightCall) serviceKey() uint64 {
	if f.call.Program.ID != "" {
		return xxhash.Sum64String(f.call.Program.ID)
	}
	return xxhash.Sum64String(f.call.ID)
}

// acquire gets a replica from the scheduler.
func (f *inFlightCall) acquire(ctx context.Context) (*scheduler.Grant, *scheduler.Refusal) {
	r := scheduler.Request{
		Customer:           f.customerName(),
		Program:            f.call.Program.ID,
		Priority:           maxPriority - min(maxPriority, f.priority()),
		Deadline:           f.deadline,
		Tried:              f.triedReplicas,
		MaxTokens:          f.call.MaxOutput,
		OutputHint:         min(f.call.OutputHint, f.call.MaxOutput),
		Blocks:             f.blocks,
		PromptTokens:       f.call.PromptTokens,
		Plan:               f.route.Name,
		LastUpstream:       f.lastUpstream,
		LastUpstreamBlocks: f.sharedBlocks(),
		Repeatable:         f.route.Repeatable(),
	}
	if r.Program == "" {
		r.Program = f.call.ID
	}
	if f.service.Engine != nil {
		r.Model = f.service.Name
	} else {
		r.Service = f.service.Name
	}
	began := time.Now()
	defer func() { f.stageTimes.placing += time.Since(began) }()
	return f.gateway.scheduler.Acquire(ctx, r)
}

// sharedBlocks is the number of the prompt's blocks before its last part, which
// is new with this call.
func (f *inFlightCall) sharedBlocks() int {
	tokens := 0
	for _, p := range f.call.Prompt[:max(0, len(f.call.Prompt)-1)] {
		tokens += p.Tokens
	}
	return min(len(f.blocks), tokens/engine.BlockTokens)
}

// priorityMost is the scheduler's highest priority; routes count from 0, the first.
const maxPriority = 9

// refusal is the end of a call for which there is no replica.
func (f *inFlightCall) refuse(r *scheduler.Refusal) Result {
	reason := Overloaded
	if r.Code == step.CodeNoUpstream || r.Code == step.CodeModelNotFound {
		reason = NoReplica
	}
	result := refused(reason, r.RetryAfter)
	result.Attempts, result.Replica = f.attempts, f.lastReplica
	return result
}

// sendTo sends the call once to the granted replica.
func (f *inFlightCall) sendTo(ctx context.Context, g *scheduler.Grant, resumeAfter string) (*Response, error) {
	f.lastReplica = g.Upstream
	f.attempts++
	g.Sent()
	attempt := &Attempt{
		Call:           f.call,
		Target:         Target{ID: g.Upstream, Address: g.Address},
		Body:           f.body,
		Timeout:        time.Until(f.deadline),
		Priority:       f.priority(),
		Customer:       f.customerName(),
		ResumeAfter:    resumeAfter,
		MaxConnections: f.connectionLimit(),
	}
	began := time.Now()
	defer func() { f.stageTimes.awaitingHeader += time.Since(began) }()
	return f.gateway.replicas.Send(ctx, attempt)
}

// connections is this instance's part of what a replica accepts from all.
func (f *inFlightCall) connectionLimit() int {
	if f.service.MaxConnections == 0 {
		return unlimitedConnections
	}
	return max(1, f.service.MaxConnections/max(1, f.gateway.settings.Instances()))
}

// unlimited is the number of connections to a replica that names no bound.
const unlimitedConnections = 1 << 10

func (f *inFlightCall) result(outcome Outcome, reason Reason, status int) Result {
	return Result{Outcome: outcome, Reason: reason, Status: status, Replica: f.lastReplica, Attempts: f.attempts}
}

func (f *inFlightCall) isOutOfTime() bool { return time.Until(f.deadline) < minTimeLeft }

// logEnd writes the one line from which the call's course can be told.
func (f *inFlightCall) logResult(r *Result) {
	fields := log.Fields{
		"request": f.call.ID,
		"outcome": r.Outcome.String(),
		"ms":      time.Since(f.call.Arrived).Milliseconds(),
		"sends":   r.Attempts,
	}
	if f.call.Program.ID != "" {
		fields["program"] = f.call.Program.ID
	}
	if objective := f.call.Program.Objective; !objective.IsZero() {
		fields["program_left_ms"] = time.Until(objective).Milliseconds()
	}
	if f.table != nil {
		fields["version"] = f.table.Version
	}
	if f.route != nil {
		fields["route"] = f.route.Name
	}
	if f.customer != nil {
		fields["customer"] = f.customer.Name
	}
	if r.Replica != "" {
		fields["replica"] = r.Replica
	}
	if r.Status != 0 {
		fields["status"] = r.Status
	}
	if !f.firstEventAt.IsZero() {
		fields["first_ms"] = f.firstEventAt.Sub(f.call.Arrived).Milliseconds()
	}
	f.stageTimes.addTo(fields)
	if r.Cause != nil {
		fields["cause"] = r.Cause
		fields["previous"] = f.call.Previous
	}
	if r.Reason != "" {
		fields["reason"] = string(r.Reason)
		fields["retry_ms"] = r.RetryAfter.Milliseconds()
		if !f.deadline.IsZero() {
			fields["left_ms"] = time.Until(f.deadline).Milliseconds()
		}
	}
	f.gateway.logger.WithFields(fields).Info("call")
}

// log adds the stages that took a millisecond or more.
func (s *stageTimes) addTo(fields log.Fields) {
	for name, d := range map[string]time.Duration{
		"reserving_ms": s.reserving, "keeping_ms": s.retaining, "placing_ms": s.placing, "sending_ms": s.awaitingHeader,
	} {
		if d >= time.Millisecond {
			fields[name] = d.Milliseconds()
		}
	}
}

// MaxHeader returns the largest header that callers may send; without a
// configuration the server's own bound counts.
func (g *Gateway) MaxHeader() int {
	if t := g.settings.Table(); t != nil && t.Limits.MaxHeaderBytes > 0 {
		return t.Limits.MaxHeaderBytes
	}
	return math.MaxInt
}

// MaxBody returns the largest body that callers may send, or otherwise before
// the first configuration.
func (g *Gateway) MaxBody(otherwise int64) int64 {
	if t := g.settings.Table(); t != nil && t.Limits.MaxBodyBytes > 0 {
		return t.Limits.MaxBodyBytes
	}
	return otherwise
}
