package gateway

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/buffer"
	"foxhall/internal/engine"
	"foxhall/internal/limit"
	"foxhall/internal/quarantine"
	"foxhall/internal/routing"
	"foxhall/internal/scheduler"
	"foxhall/internal/step"
)

const (
	// notReadyRetryAfter is the retry delay given to callers while the instance has no
	// configuration; reading it takes about that long.
	notReadyRetryAfter = 500 * time.Millisecond
	// unconfirmedRetryAfter is the retry delay given to callers whose route or key a newer configuration may have: another
	// instance may reach the store.
	unconfirmedRetryAfter = 200 * time.Millisecond
	// buffersFullRetryAfter is the retry delay given to callers while the memory for calls is in use:
	// a call of usual size ends in about that time.
	buffersFullRetryAfter = 500 * time.Millisecond
	// maxAttempts bounds the attempts of one call that reached a replica and were not refused for its load.
	maxAttempts = 4
	// minTimeLeft is the shortest time before the deadline at which another attempt starts.
	minTimeLeft = 5 * time.Millisecond
)

// Gateway serves calls. It is safe for concurrent use.
type Gateway struct {
	settings  Settings
	scheduler *scheduler.Scheduler
	replicas  Replicas
	turns     Turns
	logger    log.Interface
	isolation *quarantine.Isolation
	// pendingSettlements counts the ended turns whose reservations are being settled.
	pendingSettlements sync.WaitGroup
	shutdown           *shutdownState

	latency  metrics.Histogram
	outcomes [CallerGone + 1]metrics.Counter
	reasons  *reasonCounters
	attempts *attemptCounters
	// outOfReach measures how long retained turns can't be continued.
	outOfReach *outOfReach
}

// Settings connect a gateway to the instance that it runs in.
type Settings struct {
	// Table returns the configuration in force, or nil before the first.
	Table func() *routing.Table
	// TableIsCurrent reports whether the configuration in force lacks no change that has to be, and has it confirmed for a
	// short time if need be; nil if it always is current.
	TableIsCurrent func(ctx context.Context) bool
	// ConnectionShare returns this instance's share of the connections that a replica accepts from all
	// instances together.
	ConnectionShare func(maxConnections int) int
	// IsolatedFor returns how long this instance has been isolated from the other data centres.
	IsolatedFor func() time.Duration
	// Quotas enforces the customers' quotas.
	Quotas Quotas
	// Buffers bounds the memory held for calls; nil for no bound.
	Buffers *buffer.Budget
	// SilentFor returns the time since the last contact with a data centre; 0 if unknown.
	SilentFor func(dataCentre string) time.Duration
	// OnSilence registers f to be called if a data centre falls silent before stop is called.
	// Only its instances are known to be silent: its replicas may still respond.
	OnSilence func(dataCentre string, f func()) (stop func())
	// LoadControl gives the calls of all ranks the same priority at engines. An engine preempts a running
	// call for one of a higher priority, and the preempted prompt is prefilled again; the scheduler
	// orders the calls by rank before they are sent.
	LoadControl bool
	// Quarantine holds the contents under which replicas ended; nil for a table of this gateway alone.
	Quarantine *quarantine.Table
	// Turn returns this instance's turn to try rejected contents; nil if it never does.
	Turn func() quarantine.Turn
	// RunsVersion reports whether any replica of a service runs a version; nil if versions are not known.
	RunsVersion func(service, version string) bool
	// Origins knows at which version resumable streams began; nil if they may go on at any.
	Origins Origins
	// Outputs holds the output of turns that callers may resume; nil if they may resume none.
	Outputs Outputs
}

// Quotas enforces customers' quotas over all instances.
type Quotas interface {
	// Admit admits a call, or returns the delay after which a retry is worthwhile.
	Admit(c limit.Call, now time.Time) (limit.Verdict, time.Duration)
	// Return gives back the admission of a call that has not run.
	Return(customer string, admitted, now time.Time)
}

// latencySampleSize is the number of calls in the latency histogram's sample.
const latencySampleSize = 1028

// New returns a gateway.
func New(s Settings, sched *scheduler.Scheduler, replicas Replicas, turns Turns, logger log.Interface, registry metrics.Registry) *Gateway {
	if s.Buffers == nil {
		s.Buffers = buffer.NewBudget(0, registry)
	}
	if s.Quarantine == nil {
		s.Quarantine = quarantine.NewTable(registry)
	}
	g := &Gateway{settings: s, isolation: quarantine.NewIsolation(), shutdown: newShutdownState(), scheduler: sched, replicas: replicas, turns: turns, logger: logger, reasons: newReasonCounters(registry), attempts: newAttemptCounters(registry), outOfReach: newOutOfReach(registry)}
	g.latency = metrics.GetOrRegisterHistogram("gateway.call.us", registry, metrics.NewUniformSample(latencySampleSize))
	for o := range g.outcomes {
		g.outcomes[o] = metrics.GetOrRegisterCounter("gateway.calls."+Outcome(o).String(), registry)
	}
	return g
}

// Serve serves a call until it ends. ctx is cancelled when the caller disconnects.
func (g *Gateway) Serve(ctx context.Context, call *Call, caller Caller) Result {
	f := &inFlightCall{gateway: g, call: call, caller: caller, callerCtx: ctx, hold: call.Hold}
	if f.hold == nil {
		f.hold = g.NewHold()
		defer f.hold.Release()
	}
	result := f.serve(ctx)
	f.boundRetryAfter(&result)
	if ctx.Err() != nil && result.Outcome != Completed {
		result.Outcome, result.Reason = CallerGone, CallerDisconnected
		if g.shutdown.hasEnded() {
			result.Reason = Stopping
		}
	}
	g.latency.Update(time.Since(call.Arrived).Microseconds())
	g.outcomes[result.Outcome].Inc(1)
	if result.Reason != "" {
		g.reasons.count(result.Reason, f.customerName())
	}
	f.recordRefusal(&result)
	f.logResult(&result)
	return result
}

// inFlightCall is the state of one call that is being served.
type inFlightCall struct {
	gateway *Gateway
	call    *Call
	caller  Caller
	// hold is the memory held for the call.
	hold *buffer.Hold
	// callerCtx is cancelled when the caller disconnects.
	callerCtx context.Context
	table     *routing.Table
	route     *routing.Route
	service   *routing.Service
	// customer is the customer that the call belongs to; nil if it has no known key or the
	// configuration has no customers.
	customer *routing.Customer
	deadline time.Time
	// body is the request body sent to replicas.
	body   []byte
	blocks []uint64
	// fingerprint identifies the content that replicas receive.
	fingerprint quarantine.Fingerprint
	// triedReplicas are those that get no further attempt, refusedBy those that refused one for their load or were not
	// reached, the latest last; refusals counts these attempts. unreachedSince is when a replica was not reached first,
	// if none has been since.
	triedReplicas, refusedBy []string
	refusals                 int
	unreachedSince           time.Time
	// placeAgain is set if the latest attempt had no connection, was refused for a replica's load or was not sent: the
	// next one stands for it and draws on no budget. repeatedPlacements counts those without a connection.
	placeAgain         bool
	repeatedPlacements int
	// lastUpstream is the engine that most likely has the prompt cached.
	lastUpstream string
	// attempts counts the attempts so far, hedges those that were hedges.
	attempts, hedges int
	// possibleRuns are the replicas that may have run the call, open the attempts that have not ended.
	possibleRuns replicaNames
	open         []*attemptState
	// leaveIsolation ends the time in which the call runs alone; nil if it does not.
	leaveIsolation func()
	// awaitedEnds is the number of ends, proven and doubtful, for whose proof the call has waited.
	awaitedEnds int
	// hedgeHolds are the memory held for hedges' responses.
	hedgeHolds []*buffer.Hold
	// lastReplica is the replica of the latest attempt, lastVersion the version of its software.
	lastReplica, lastVersion string
	// replicaRefuses is set if the replica of the latest attempt refused a connection after it.
	replicaRefuses bool
	// streamVersion is the version at which the stream must go on.
	streamVersion streamVersion
	// headerSent is set once the response header was forwarded to the caller.
	headerSent bool
	// firstEventAt is when the first event, or the complete response, was forwarded.
	firstEventAt time.Time
	stageTimes   stageTimes
	// reachedReplica is set once a replica may have run the call.
	reachedReplica bool
	// outOfReach is how long the turn that the call continues has been, or was, out of reach.
	outOfReach time.Duration
}

func (f *inFlightCall) serve(ctx context.Context) Result {
	if refusal := f.match(ctx); refusal != nil {
		return *refusal
	}
	f.service = f.table.Service(f.route.Choose(f.serviceKey()))
	if f.service == nil {
		return refused(NoReplica, notReadyRetryAfter)
	}
	if f.service.Engine != nil && exceedsEngines(f.call, f.service.Engine) {
		return refused(PromptTooLarge, 0)
	}
	f.setDeadline()
	if !f.isAccepted() {
		return refused(Stopping, 0)
	}
	if refusal := f.awaitWhileAccepted(ctx, f.admit); refusal != nil {
		return *refusal
	}
	admitted := time.Now()
	result := f.serveAdmitted(ctx)
	if result.Outcome == NotRun && f.customer != nil {
		f.gateway.settings.Quotas.Return(f.customer.Name, admitted, time.Now())
	}
	return result
}

// setDeadline sets when the call's time is up.
func (f *inFlightCall) setDeadline() {
	f.deadline = f.call.Arrived.Add(f.route.Timeout)
	if !f.call.Deadline.IsZero() && f.call.Deadline.Before(f.deadline) {
		f.deadline = f.call.Deadline
	}
}

// maxReportWait bounds how long a call waits for other instances' reports of the customer's calls.
// A round of reports, which takes 0.3 s in a fleet of 120, fits into it.
const maxReportWait = 400 * time.Millisecond

const (
	// maxMajorityWait bounds how long a call waits until this instance, which has started or heard too few others
	// for a short time, has heard a majority of them.
	maxMajorityWait      = time.Second
	majorityPollInterval = 50 * time.Millisecond
)

// admit checks the call against its customer's quota. It returns nil if the call is admitted. A
// call that the quota may still cover waits for the reports of other instances, after a start or a short silence of
// the others until a majority of them has been heard.
//
// It prevents the following failure: a customer below its quota whose calls arrive at one instance
// at once is refused there, although the other instances use nothing of the quota.
func (f *inFlightCall) admit(ctx context.Context) *Result {
	if f.customer == nil {
		return nil
	}
	began := time.Now()
	for {
		verdict, after := f.gateway.settings.Quotas.Admit(limit.Call{
			Customer:      f.customer.Name,
			Program:       f.call.Program.ID,
			StartsProgram: f.route.Kind == routing.Stream && f.call.Previous == "",
		}, time.Now())
		switch {
		case verdict == limit.Admitted:
			f.stageTimes.admitting = time.Since(began)
			return nil
		case verdict == limit.AwaitsReports && time.Since(began)+after <= min(maxReportWait, time.Until(f.deadline)/2) && sleep(ctx, after):
			continue
		case verdict == limit.AwaitsMajority && time.Since(began) < min(maxMajorityWait, time.Until(f.deadline)/2) && sleep(ctx, majorityPollInterval):
			continue
		}
		f.stageTimes.admitting = time.Since(began)
		reason := OverQuota
		if verdict == limit.Undetermined || verdict == limit.AwaitsMajority {
			reason = QuotaUndetermined
		}
		result := refused(reason, after)
		return &result
	}
}

// sleep waits for d and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// serveAdmitted serves a call that its quota admitted.
func (f *inFlightCall) serveAdmitted(ctx context.Context) Result {
	ctx, cancel := context.WithDeadline(ctx, f.deadline)
	defer cancel()
	ctx, release := f.gateway.shutdown.untilEnded(ctx)
	defer release()
	defer f.release()
	f.setBody(f.call.Body)
	if f.service.Engine != nil {
		f.blocks = hashBlocks(f.service.Name, f.call.Prompt)
	}
	if f.route.Kind != routing.Stream {
		return f.serveNonStreaming(ctx)
	}
	if refusal := f.awaitWhileAccepted(ctx, f.resolveVersion); refusal != nil {
		return *refusal
	}
	if f.gateway.turns != nil && (f.route.RetainsTurns || f.call.Program.Budget > 0) {
		return f.serveTurn(ctx)
	}
	return f.serveStream(ctx, &streamRecord{})
}

// release frees what the call held beside its own memory.
func (f *inFlightCall) release() {
	if f.leaveIsolation != nil {
		f.leaveIsolation()
	}
	for _, hold := range f.hedgeHolds {
		hold.Release()
	}
}

// customerName returns the name of the call's customer; empty for none.
func (f *inFlightCall) customerName() string {
	if f.customer == nil {
		return ""
	}
	return f.customer.Name
}

// priority returns the call's rank; 0 is the most urgent.
func (f *inFlightCall) priority() int {
	if f.customer != nil && f.customer.Priority != nil {
		return max(0, *f.customer.Priority)
	}
	return f.route.Priority
}

// commonEnginePriority is the rank that engines are given for all calls under load control. It is in
// the middle of their range.
const commonEnginePriority = 5

// replicaPriority returns the rank that the replica is given.
func (f *inFlightCall) replicaPriority() int {
	if f.gateway.settings.LoadControl && f.service.Engine != nil {
		return commonEnginePriority
	}
	return f.priority()
}

// serviceKey returns the key by which the route chooses the call's service. All calls of a
// program have the same key, so that they go to the same service, and so have those of one stream.
func (f *inFlightCall) serviceKey() uint64 {
	if f.call.Program.ID != "" {
		return xxhash.Sum64String(f.call.Program.ID)
	}
	if f.call.ResumeAfter != "" && f.call.Resumes != "" {
		return xxhash.Sum64String(f.call.Resumes)
	}
	return xxhash.Sum64String(f.call.ID)
}

// acquire asks the scheduler for a replica. One for a suspected content has few other calls and, if
// possible, none with another suspected content.
func (f *inFlightCall) acquire(ctx context.Context, suspected, hedges bool) (*scheduler.Grant, *scheduler.Refusal) {
	r := scheduler.Request{
		Customer:           f.customerName(),
		Program:            f.call.Program.ID,
		Priority:           maxPriority - min(maxPriority, f.priority()),
		Deadline:           f.placementDeadline(),
		Tried:              f.triedReplicas,
		RefusedBy:          f.refusedBy,
		Refusals:           f.refusals,
		UnreachedSince:     f.unreachedSince,
		MaxConnections:     f.placementLimit(),
		NotRun:             len(f.possibleRuns) == 0,
		Again:              f.placeAgain,
		Hedge:              hedges,
		MaxOutputTokens:    f.call.MaxOutputTokens,
		OutputHint:         min(f.call.OutputHint, f.call.MaxOutputTokens),
		BlockHashes:        f.blocks,
		PromptTokens:       f.call.PromptTokens,
		Plan:               f.route.Name,
		LastUpstream:       f.lastUpstream,
		LastUpstreamBlocks: f.sharedBlocks(),
		Repeatable:         f.route.Repeatable(),
		CallID:             f.call.ID,
		Objective:          f.call.Program.Objective,
		Arrived:            f.call.Arrived,
		Waited:             f.stageTimes.placing,
		Resent:             f.attempts > 0,
		AtVersion:          f.streamVersion.fixed,
		Version:            f.streamVersion.version,
	}
	if suspected {
		r.Isolated, r.Avoid = true, f.gateway.isolation.Replicas()
	}
	if r.Program == "" {
		r.Program = f.call.ID
	}
	if f.service.Engine != nil {
		r.Model = f.service.Name
	} else {
		r.Service = f.service.Name
	}
	f.placeAgain = false
	began := time.Now()
	defer func() { f.stageTimes.placing += time.Since(began) }()
	return f.gateway.scheduler.Acquire(ctx, r)
}

// sharedBlocks returns the number of the prompt's blocks before its last part. Only that part is
// new in this call.
func (f *inFlightCall) sharedBlocks() int {
	tokens := 0
	for _, p := range f.call.Prompt[:max(0, len(f.call.Prompt)-1)] {
		tokens += p.Tokens
	}
	return min(len(f.blocks), tokens/engine.BlockTokens)
}

// maxPriority is the scheduler's most urgent priority. Ranks of routes and customers run the
// other way: 0 is the most urgent.
const maxPriority = 9

// refuse returns the result of a call for which the scheduler granted no replica.
func (f *inFlightCall) refuse(r *scheduler.Refusal) Result {
	reason := Overloaded
	if r.Code == step.CodeNoUpstream || r.Code == step.CodeModelNotFound {
		reason = NoReplica
	}
	if r.VersionGone {
		reason = VersionGone
	}
	result := refused(reason, r.RetryAfter)
	result.Attempts, result.Replica, result.Cause = f.attempts, f.lastReplica, &placementError{r}
	return result
}

func (f *inFlightCall) result(outcome Outcome, reason Reason, status int) Result {
	return Result{Outcome: outcome, Reason: reason, Status: status, Replica: f.lastReplica, Attempts: f.attempts}
}

func (f *inFlightCall) isOutOfTime() bool { return time.Until(f.deadline) < minTimeLeft }

// NewHold returns a hold on the memory budget of calls.
func (g *Gateway) NewHold() *buffer.Hold { return g.settings.Buffers.NewHold() }

// RefuseUnbuffered records a call whose body did not fit into the memory budget, and returns its
// result.
func (g *Gateway) RefuseUnbuffered(call *Call) Result {
	f := &inFlightCall{gateway: g, call: call, table: g.settings.Table()}
	return f.refuseUnread(refused(BuffersFull, buffersFullRetryAfter))
}

// refuseUnread records the refusal of a call whose body was not read, and returns it.
func (f *inFlightCall) refuseUnread(result Result) Result {
	f.gateway.outcomes[result.Outcome].Inc(1)
	f.gateway.reasons.count(result.Reason, "")
	f.logResult(&result)
	return result
}

// MaxHeaderBytes returns the largest request header that callers may send, in bytes. Without a
// configured limit only the server's own limit applies.
func (g *Gateway) MaxHeaderBytes() int {
	if t := g.settings.Table(); t != nil && t.Limits.MaxHeaderBytes > 0 {
		return t.Limits.MaxHeaderBytes
	}
	return math.MaxInt
}

// MaxBodyBytes returns the largest request body that callers may send, in bytes, or the value of
// otherwise if no limit is configured.
func (g *Gateway) MaxBodyBytes(otherwise int64) int64 {
	if t := g.settings.Table(); t != nil && t.Limits.MaxBodyBytes > 0 {
		return t.Limits.MaxBodyBytes
	}
	return otherwise
}
