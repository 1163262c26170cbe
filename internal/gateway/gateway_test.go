package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/cache"
	_ "foxhall/internal/fuzzing" // one processor under the race detector
	"foxhall/internal/httpconn"
	"foxhall/internal/limit"
	"foxhall/internal/routing"
	"foxhall/internal/scheduler"
	"foxhall/internal/upstream"
	"foxhall/internal/usage"
)

// fakeReplicas responds to attempts by a list of scripts, one for each attempt; the last one repeats.
type fakeReplicas struct {
	mu       sync.Mutex
	steps    []func(ctx context.Context, s *Attempt) (*Response, error)
	attempts []Attempt
	// refusing are the replicas that accept no connection.
	refusing map[string]bool
	// probeDelay is how long a probe takes.
	probeDelay time.Duration
}

// Probe implements Replicas.
func (f *fakeReplicas) Probe(ctx context.Context, t Target, _ int) httpconn.Liveness {
	if !sleep(ctx, f.probeDelay) {
		return httpconn.LivenessUnknown
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refusing[t.ID] {
		return httpconn.Refused
	}
	return httpconn.Listening
}

// testReplicas are the names of the service's replicas.
var testReplicas = []string{"a", "b", "c", "d"}

func (f *fakeReplicas) Send(ctx context.Context, s *Attempt) (*Response, error) {
	f.mu.Lock()
	n := len(f.attempts)
	f.attempts = append(f.attempts, *s)
	script := f.steps[min(n, len(f.steps)-1)]
	f.mu.Unlock()
	response, err := script(ctx, s)
	f.recordEnd(s.Target.ID, response, err)
	return response, err
}

// errEnds is the error of a connection whose replica ends.
var errEnds = errors.Wrap(httpconn.ErrBroken, "the replica ends")

// endingBody is the body of a response whose replica ends before its end.
type endingBody struct{ io.Reader }

// recordEnd makes a replica that ends under a call refuse connections.
func (f *fakeReplicas) recordEnd(replica string, response *Response, err error) {
	ends := errors.Is(err, errEnds)
	if response != nil {
		_, breaksOff := response.Body.(endingBody)
		ends = ends || breaksOff
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refusing == nil {
		f.refusing = map[string]bool{}
	}
	f.refusing[replica] = ends
}

func (f *fakeReplicas) targets() []string {
	var list []string
	for _, s := range f.attempts {
		list = append(list, s.Target.ID)
	}
	return list
}

type script = func(context.Context, *Attempt) (*Response, error)

func failsWith(err error) script {
	return func(context.Context, *Attempt) (*Response, error) { return nil, err }
}

func hangs(ctx context.Context, _ *Attempt) (*Response, error) {
	<-ctx.Done()
	return nil, errors.Wrap(httpconn.ErrResponseLost, "cancelled")
}

func respondsWith(a Response, body string) script {
	return func(context.Context, *Attempt) (*Response, error) {
		response := a // calls may run at the same time
		response.Body = strings.NewReader(body)
		if response.Length == 0 {
			response.Length = int64(len(body))
		}
		return NewResponse(response, func() {}), nil
	}
}

func succeedsWith(body string) script {
	return respondsWith(Response{Status: 200, Verified: true, Executed: true}, body)
}

var refuses = respondsWith(Response{Status: 503}, "full")

// streams sends events and then ends, or breaks off with err.
func streams(err error, events ...string) script {
	return func(context.Context, *Attempt) (*Response, error) {
		readers := []io.Reader{strings.NewReader(strings.Join(events, ""))}
		if err != nil {
			readers = append(readers, errorReader{err})
		}
		return NewResponse(Response{Status: 200, Verified: true, Executed: true, Length: -1, Body: io.MultiReader(readers...)}, func() {}), nil
	}
}

type errorReader struct{ err error }

func (e errorReader) Read([]byte) (int, error) { return 0, e.err }

func event(n int) string { return fmt.Sprintf("id: %d\ndata: d%d\n\n", n, n) }

// fakeTurns grants or refuses reservations, and records settlements.
type fakeTurns struct {
	mu         sync.Mutex
	reserveErr error
	chain      []Turn
	// lastUpstream is the engine that has the prompt cached.
	lastUpstream string
	settleErr    error
	settlements  []Settlement
	// reserveDelay and settleDelay are how long a reservation and a settlement take.
	reserveDelay, settleDelay time.Duration
}

func (f *fakeTurns) Reserve(ctx context.Context, _ Reservation) (Reserved, error) {
	if !sleep(ctx, f.reserveDelay) {
		return Reserved{}, ctx.Err()
	}
	return Reserved{Chain: f.chain, LastUpstream: f.lastUpstream}, f.reserveErr
}

func (f *fakeTurns) Settle(ctx context.Context, e Settlement) error {
	if !sleep(ctx, f.settleDelay) {
		return ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settlements = append(f.settlements, e)
	return f.settleErr
}

type fakeCaller struct {
	status int
	body   strings.Builder
	// writeDelay is how long the caller takes to read one part.
	writeDelay time.Duration
}

func (c *fakeCaller) Begin(status int, _ http.Header, _ int64) error {
	c.status = status
	return nil
}

func (c *fakeCaller) Write(part []byte) error {
	time.Sleep(c.writeDelay)
	c.body.Write(part)
	return nil
}

type testOutcome struct {
	result   Result
	status   int
	body     string
	duration time.Duration
	targets  []string
	attempts []Attempt
	// exceeded is the gateway's count of calls that may have run at more replicas than allowed.
	exceeded int64
	// erring are the replicas whose error rate is above 0 after the call.
	erring   []string
	lines    []*log.Entry
	registry metrics.Registry
}

// attemptsBy returns the gateway's count of attempts with the verdict.
func (o testOutcome) attemptsBy(v verdict) int64 {
	return metrics.GetOrRegisterCounter("gateway.sendings."+v.String(), o.registry).Count()
}

// serve serves one call by the replicas of a service, in virtual time.
func serve(t *testing.T, route routing.Route, call Call, turns *fakeTurns, steps ...script) testOutcome {
	neverSilent := func(string, func()) func() { return func() {} }
	return serveWithSilence(t, neverSilent, route, call, turns, steps...)
}

// serveWithSilence is serve with data centres that may fall silent.
func serveWithSilence(t *testing.T, onSilence func(string, func()) func(), route routing.Route, call Call, turns *fakeTurns, steps ...script) testOutcome {
	return serveWith(t, nil, Settings{OnSilence: onSilence}, route, call, turns, steps...)
}

// serveWith is serve with customers and settings. Settings that are nil get defaults under which
// nothing falls silent and no quota applies.
func serveWith(t *testing.T, customers *routing.Customers, settings Settings, route routing.Route, call Call, turns *fakeTurns, steps ...script) testOutcome {
	return serveCaller(t, &fakeCaller{}, customers, settings, route, call, turns, steps...)
}

// serveService is serve by the replicas of a service.
func serveService(t *testing.T, service routing.Service, route routing.Route, call Call, steps ...script) testOutcome {
	return serveServiceCaller(t, service, &fakeCaller{}, nil, Settings{}, route, call, nil, steps...)
}

// serveCaller is serveWith for a caller.
func serveCaller(t *testing.T, caller *fakeCaller, customers *routing.Customers, settings Settings, route routing.Route, call Call, turns *fakeTurns, steps ...script) testOutcome {
	service := routing.Service{Name: "s"}
	if route.Kind == routing.Stream {
		service.Engine = &routing.Engine{TokensPerEvent: 2}
	}
	return serveServiceCaller(t, service, caller, customers, settings, route, call, turns, steps...)
}

func serveServiceCaller(t *testing.T, service routing.Service, caller *fakeCaller, customers *routing.Customers, settings Settings, route routing.Route, call Call, turns *fakeTurns, steps ...script) testOutcome {
	var got testOutcome
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(service, customers, settings, route, turns, steps...)
		got = w.serve(caller, call)
	})
	return got
}

// testGateway is a gateway in front of the replicas of a service, within a bubble.
type testGateway struct {
	gateway   *Gateway
	replicas  *fakeReplicas
	upstreams *upstream.Table
	lines     *memory.Handler
	registry  metrics.Registry
}

func newTestGateway(service routing.Service, customers *routing.Customers, settings Settings, route routing.Route, turns *fakeTurns, steps ...script) *testGateway {
	w := &testGateway{replicas: &fakeReplicas{steps: steps}, upstreams: upstream.NewTable(), lines: memory.New(), registry: metrics.NewRegistry()}
	route.Host, route.Prefix, route.Services = "h", "/", []routing.WeightedService{{Service: "s", Weight: 1}}
	if route.Timeout == 0 {
		route.Timeout = 5 * time.Second
	}
	table := routing.NewTable(1, routing.Limits{}, customers, []routing.Route{route}, []routing.Service{service})
	var list []usage.Upstream
	for _, name := range testReplicas {
		u := usage.Upstream{Name: name, Address: name, Kind: usage.KindService, Service: "s", Slots: 4}
		if service.Engine != nil {
			u.Kind, u.Service, u.Models = usage.KindEngine, "", []string{"s"}
		}
		list = append(list, u)
	}
	w.upstreams.Apply(list, time.Now())
	scheduling := scheduler.Settings{LoadControl: settings.LoadControl}
	if settings.LoadControl {
		scheduling.Logger = &log.Logger{Handler: w.lines}
	}
	sched := scheduler.New(scheduling, w.upstreams, cache.New(cache.Options{MaxBlocks: 1 << 10}))
	settings.Table = func() *routing.Table { return table }
	if settings.ConnectionShare == nil {
		settings.ConnectionShare = func(maxConnections int) int { return maxConnections }
	}
	settings.IsolatedFor = func() time.Duration { return time.Second }
	if settings.Quotas == nil {
		settings.Quotas = limit.NewQuotas("entry", 1, limit.Tolerance{})
	}
	if settings.SilentFor == nil {
		settings.SilentFor = func(string) time.Duration { return 0 }
	}
	if settings.OnSilence == nil {
		settings.OnSilence = func(string, func()) func() { return func() {} }
	}
	w.gateway = New(settings, sched, w.replicas, turns, &log.Logger{Handler: w.lines}, w.registry)
	return w
}

// serve serves one call and waits until all that it left behind has ended.
func (w *testGateway) serve(caller *fakeCaller, call Call) testOutcome {
	var got testOutcome
	sent, logged := len(w.replicas.attempts), len(w.lines.Entries)
	call.Host, call.Path, call.Arrived = "h", "/x", time.Now()
	began := time.Now()
	got.result = w.gateway.Serve(context.Background(), &call, caller)
	got.duration, got.status, got.body, got.targets = time.Since(began), caller.status, caller.body.String(), w.replicas.targets()[sent:]
	got.attempts, got.exceeded = w.replicas.attempts[sent:], w.gateway.attempts.exceeded.Count()
	got.registry, got.erring = w.registry, erringUpstreams(w.upstreams)
	time.Sleep(settleTimeout)
	synctest.Wait()
	got.lines = w.lines.Entries[logged:]
	return got
}

func erringUpstreams(t *upstream.Table) []string {
	var names []string
	for _, u := range t.Snapshot().All {
		if u.Load(time.Now().UnixNano()).ErrorRate > 0 {
			names = append(names, u.Name)
		}
	}
	return names
}

// logFields returns the fields of the first log line with the message; nil if there is none.
func (o testOutcome) logFields(message string) log.Fields {
	for _, e := range o.lines {
		if e.Message == message {
			return e.Fields
		}
	}
	return nil
}

// Guards against a caller that is charged twice. The replica received the call and its response was
// lost, so that it may have run, and a retry would run it again. It must end as unknown.
func TestNonRepeatableCallThatMayHaveRunIsNotRetried(t *testing.T) {
	for _, script := range []script{
		failsWith(httpconn.ErrResponseLost), failsWith(httpconn.ErrUnresponsive), hangs,
		respondsWith(Response{Status: 200, Verified: true, Executed: true, Length: 99}, "cut short"),
		respondsWith(Response{Status: 200, Executed: true}, "unsigned"),
		respondsWith(Response{Status: 200, Verified: true, Executed: true, BodyAltered: true}, "packed"),
	} {
		is := is.New(t)
		got := serve(t, routing.Route{Kind: routing.AtMostOnce, Attempts: 3}, Call{ID: "r"}, nil, script, succeedsWith("second"))
		is.Equal(got.result.Outcome, Unknown)
		is.Equal(len(got.targets), 1)
		is.Equal(got.body, "")
	}
}

// Guards against a caller that is refused although another replica is free. A replica that states
// that it did not run the call, or that is unreachable, does not count against the attempts.
func TestCallThatDidNotRunIsRetriedOnAnotherReplica(t *testing.T) {
	for _, script := range []script{failsWith(httpconn.ErrNotSent), refuses, respondsWith(Response{Status: 421, Executed: true, Misdirected: true}, "")} {
		is := is.New(t)
		got := serve(t, routing.Route{Kind: routing.AtMostOnce, Attempts: 1}, Call{ID: "r"}, nil, script, succeedsWith("second"))
		is.Equal(got.result.Outcome, Completed)
		is.Equal(got.body, "second")
		is.True(got.targets[0] != got.targets[1])
	}
}

// Guards against calls reported as not run that ran: an idempotent call may have run at one replica
// before the others refused it.
func TestRefusalAfterLostResponseEndsAsUnknown(t *testing.T) {
	is := is.New(t)
	got := serve(t, routing.Route{Kind: routing.Idempotent, Attempts: 2}, Call{ID: "r"}, nil, failsWith(httpconn.ErrResponseLost), refuses)
	is.Equal(got.result.Outcome, Unknown)
}

// Guards against idempotent calls that are sent to more replicas than their route allows. If only
// one is allowed, the call is retried at the same replica.
func TestIdempotentCallIsRetriedWithinTheAttemptLimit(t *testing.T) {
	is := is.New(t)
	got := serve(t, routing.Route{Kind: routing.Idempotent, Attempts: 1}, Call{ID: "r"}, nil, failsWith(httpconn.ErrResponseLost), succeedsWith("second"))
	is.Equal(got.body, "second")
	is.Equal(got.targets[0], got.targets[1])
	got = serve(t, routing.Route{Kind: routing.Idempotent, Attempts: 2}, Call{ID: "r"}, nil, failsWith(httpconn.ErrResponseLost), succeedsWith("second"))
	is.Equal(got.body, "second")
	is.True(got.targets[0] != got.targets[1])
}

// Guards against callers that wait past the route's timeout.
func TestRouteTimeoutEndsTheCall(t *testing.T) {
	is := is.New(t)
	got := serve(t, routing.Route{Kind: routing.AtMostOnce, Attempts: 1, Timeout: 700 * time.Millisecond}, Call{ID: "r"}, nil, hangs)
	is.Equal(got.result, Result{Outcome: Unknown, Reason: TimedOut, Replica: got.targets[0], Attempts: 1})
	is.Equal(got.duration, 700*time.Millisecond)
}

// Guards against callers that receive an event twice, or a part of one. The replica broke off
// within an event; the stream must resume after the last complete one, at the same replica if the
// route allows only one.
func TestResumedStreamDeliversEachEventOnce(t *testing.T) {
	is := is.New(t)
	broken := streams(io.ErrUnexpectedEOF, event(1), event(2), "id: 3\ndata: d")
	got := serve(t, routing.Route{Kind: routing.Stream, Resumable: true, Attempts: 1}, Call{ID: "r"}, nil, broken, streams(nil, event(3), event(4)))
	is.Equal(got.result.Outcome, Completed)
	is.Equal(got.body, event(1)+event(2)+event(3)+event(4))
	is.Equal(got.targets[0], got.targets[1])
}

// Guards against callers that take a partial response for a complete one. A stream that breaks off
// and is not resumable must end as truncated.
func TestTruncatedStreamIsNotResumedUnlessResumable(t *testing.T) {
	is := is.New(t)
	got := serve(t, routing.Route{Kind: routing.Stream, Attempts: 2}, Call{ID: "r"}, nil, streams(io.ErrUnexpectedEOF, event(1)), streams(nil, event(2)))
	is.Equal(got.result.Outcome, Truncated)
	is.Equal(len(got.targets), 1)
}

func turnCall() Call {
	return Call{ID: "t2", Body: []byte("new"), Previous: "t1", MaxOutputTokens: 20, Program: Program{ID: "p", Budget: 100}}
}

var turnRoute = routing.Route{Kind: routing.Stream, Attempts: 1, RetainsTurns: true, Retention: time.Minute}

// Guards against turns that reach the engine without the earlier turns of their chain, or are
// retained without their output.
func TestTurnIsSentWithItsChainAndRetained(t *testing.T) {
	is := is.New(t)
	turns := &fakeTurns{chain: []Turn{{ID: "t1", Input: []byte("old"), Events: [][]byte{[]byte("x"), []byte("y")}}}}
	var body string
	got := serve(t, turnRoute, turnCall(), turns, func(ctx context.Context, s *Attempt) (*Response, error) {
		body = string(s.Body)
		return streams(nil, event(1), event(2))(ctx, s)
	})
	is.Equal(got.result.Outcome, Completed)
	is.Equal(body, "oldx\ny\nnew")
	is.Equal(len(turns.settlements), 1)
	is.Equal(turns.settlements[0].OutputTokens, 4)
	is.Equal(string(turns.settlements[0].RetainedTurn.Input), "new")
	is.Equal(turns.settlements[0].RetainedTurn.Events, [][]byte{[]byte("d1"), []byte("d2")})
}

// Guards against callers that continue a turn that does not exist. The end of a response may be
// forwarded only once the turn is durable.
func TestTurnThatCannotBeRetainedIsTruncated(t *testing.T) {
	is := is.New(t)
	turns := &fakeTurns{settleErr: errors.New("no disk")}
	got := serve(t, turnRoute, turnCall(), turns, streams(nil, event(1)))
	is.Equal(got.result.Outcome, Truncated)
	is.Equal(got.result.Reason, TurnNotRetained)
}

// Guards against whole responses that are broken off because their keepers are silent for a while and go
// on within the time that the call has left.
func TestTurnIsRetainedWithinTheDeadline(t *testing.T) {
	is := is.New(t)
	turns := &fakeTurns{settleDelay: retainTimeout + time.Second}
	got := serve(t, turnRoute, turnCall(), turns, streams(nil, event(1)))
	is.Equal(got.result.Outcome, Completed)
	is.Equal(len(turns.settlements), 1)
	route := turnRoute
	route.Timeout = time.Second
	got = serve(t, route, turnCall(), turns, streams(nil, event(1)))
	is.Equal(got.result.Reason, TurnNotRetained)
	is.Equal(got.duration, retainTimeout)
}

// Guards against callers that wait for changing keepers although their turn need not be retained:
// the response must end with its last event, and the turn be settled afterwards.
func TestTurnWithoutRetentionDoesNotWaitForSettlement(t *testing.T) {
	is := is.New(t)
	turns := &fakeTurns{settleDelay: time.Second}
	route := turnRoute
	route.RetainsTurns = false
	got := serve(t, route, turnCall(), turns, streams(nil, event(1), event(2)))
	is.Equal(got.result.Outcome, Completed)
	is.True(got.duration < turns.settleDelay)
	is.Equal(len(turns.settlements), 1)
	is.Equal(turns.settlements[0].OutputTokens, 4)
}

// Guards against programs that are refused too early, as if their last turn had used its whole
// reservation: retaining a turn failed, and nothing settled it afterwards.
func TestTurnIsSettledAfterRetainingFailed(t *testing.T) {
	is := is.New(t)
	turns := &fakeTurns{settleErr: errors.New("no disk")}
	serve(t, turnRoute, turnCall(), turns, streams(nil, event(1)))
	is.Equal(len(turns.settlements), 2)
	is.True(turns.settlements[1].RetainedTurn == nil)
	is.Equal(turns.settlements[1].OutputTokens, 2)
}

// Guards against an instance that stops with unsettled turns, so that other instances refuse their
// programs too early. It must wait for the settlements until its context ends.
func TestDrainWaitsForSettlements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := &Gateway{}
		g.pendingSettlements.Go(func() { time.Sleep(time.Second) })
		began := time.Now()
		short, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		g.Drain(short)
		is.Equal(time.Since(began), time.Millisecond)
		g.Drain(context.Background())
		is.Equal(time.Since(began), time.Second)
	})
}

// Guards against callers that wait for a replica across a network partition until the connection
// times out. When the data centre falls silent, a call must go to another replica immediately if
// its route allows one more attempt, and keep waiting if not: the replica may still be running.
func TestCallsFailOverFromSilentDataCentreWithinTheAttemptLimit(t *testing.T) {
	silenceAfter, timeout := 300*time.Millisecond, 2*time.Second
	hangsAfterOneEvent := func(ctx context.Context, s *Attempt) (*Response, error) {
		body := &hangingReader{ctx: ctx, start: strings.NewReader(event(1))}
		return NewResponse(Response{Status: 200, Length: -1, Verified: true, Executed: true, Body: body}, func() {}), nil
	}
	is := is.New(t)
	route := routing.Route{Kind: routing.Idempotent, Attempts: 2, Timeout: timeout}
	got := serveWithSilence(t, fallsSilentAfter(silenceAfter), route, Call{}, nil, hangs, succeedsWith("done"))
	is.Equal(got.result.Outcome, Completed)
	is.Equal(got.duration, silenceAfter)

	stream := routing.Route{Kind: routing.Stream, Resumable: true, Attempts: 2, Timeout: timeout}
	got = serveWithSilence(t, fallsSilentAfter(silenceAfter), stream, Call{}, nil, hangsAfterOneEvent, streams(nil, event(2)))
	is.Equal(got.result.Outcome, Completed)
	is.Equal(got.body, event(1)+event(2))
	is.Equal(got.duration, silenceAfter)

	for _, notFailingOver := range []routing.Route{
		{Kind: routing.Idempotent, Attempts: 1, Timeout: timeout},
		{Kind: routing.Stream, Resumable: true, Attempts: 1, Timeout: timeout},
		{Kind: routing.AtMostOnce, Attempts: 2, Timeout: timeout},
	} {
		got = serveWithSilence(t, fallsSilentAfter(silenceAfter), notFailingOver, Call{}, nil, hangs, hangs, succeedsWith("twice"))
		is.Equal(got.duration, timeout)
		is.Equal(countDistinct(got.targets), 1)
	}
}

// hangingReader returns the bytes of start and then blocks until ctx ends.
type hangingReader struct {
	ctx   context.Context
	start io.Reader
}

func (r *hangingReader) Read(p []byte) (int, error) {
	if n, err := r.start.Read(p); err == nil {
		return n, nil
	}
	<-r.ctx.Done()
	return 0, r.ctx.Err()
}

// Guards against programs that lose tokens that they did not use: a turn that did not run returns
// its whole reservation, a truncated one the tokens that it did not generate.
func TestReservationIsSettledByOutputTokens(t *testing.T) {
	is := is.New(t)
	turns := &fakeTurns{}
	got := serve(t, turnRoute, turnCall(), turns, refuses)
	is.Equal(got.result.Outcome, NotRun)
	is.Equal(turns.settlements[0].OutputTokens, 0)
	turns = &fakeTurns{}
	got = serve(t, turnRoute, turnCall(), turns, streams(io.ErrUnexpectedEOF, event(1), event(2)))
	is.Equal(got.result.Outcome, Truncated)
	is.Equal(turns.settlements[0].OutputTokens, 4)
	is.True(turns.settlements[0].RetainedTurn == nil)
}

// Guards against turns refused before any attempt that end with another outcome or reason.
func TestRefusedTurnsGiveTheReason(t *testing.T) {
	for err, reason := range map[error]Reason{
		ErrBudgetExhausted: BudgetExhausted, ErrNoSuchTurn: NoSuchTurn, ErrIsolated: TurnsUnavailable, errors.New("x"): TurnsUnavailable,
	} {
		is := is.New(t)
		got := serve(t, turnRoute, turnCall(), &fakeTurns{reserveErr: err}, succeedsWith("never"))
		is.Equal(got.result.Outcome, NotRun)
		is.Equal(got.result.Reason, reason)
		is.Equal(len(got.targets), 0)
	}
}

// Guards against callers of an isolated data centre that retry there repeatedly, because the retry
// delay is too short, or miss their deadline, because it is too long. The retry delay must end when
// the load balancer sends them to another data centre.
func TestTurnInIsolatedDataCentreIsRetriedAfterBalancerFailover(t *testing.T) {
	is := is.New(t)
	got := serve(t, turnRoute, turnCall(), &fakeTurns{reserveErr: ErrIsolated}, succeedsWith("never"))
	is.Equal(got.result.RetryAfter, balancerFailoverTime-time.Second)
}

// Guards against a replica that fails all calls immediately and therefore attracts ever more of
// them. Its own failures must count against it; faults of a call and passed deadlines must not.
func TestServerErrorsCountAgainstTheReplica(t *testing.T) {
	is := is.New(t)
	is.Equal(failureOf(500).Kind, upstream.Errored)
	is.Equal(failureOf(503).Kind, upstream.Errored)
	for _, status := range []int{200, 402, 404, 504} {
		is.True(failureOf(status) == nil)
	}
	got := serve(t, turnRoute, turnCall(), &fakeTurns{}, respondsWith(Response{Status: 500, Verified: true, Executed: true}, "broken"))
	is.Equal(got.status, 500)
	is.Equal(got.body, "broken")
	is.Equal(got.result.Outcome, Completed)
}
