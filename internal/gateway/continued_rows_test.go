package gateway

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"foxhall/internal/httpconn"
	"foxhall/internal/routing"
)

// promptReplica is the replica that has the prompt of the continued turn cached.
const promptReplica = "a"

// rowTime is the time that the callers of a row have.
const rowTime = 5 * time.Second

// rowWidth is the number of sub-agents that continue one turn at once.
const rowWidth = 6

// continuedTurns are turns of which only those that continue another have a prompt that is cached.
type continuedTurns struct{ fakeTurns }

// Reserve implements Turns.
func (c *continuedTurns) Reserve(_ context.Context, r Reservation) (Reserved, error) {
	if r.Previous == "" {
		return Reserved{}, nil
	}
	return Reserved{Chain: []Turn{{ID: r.Previous, Input: []byte("old"), Replica: promptReplica}}, LastUpstream: promptReplica}, nil
}

// rowReplicas are replicas of which some end an attempt in one way until a moment; the others run it.
type rowReplicas struct {
	way     script
	failing []string
	until   time.Time

	mu sync.Mutex
	// runs are the replicas that may have run a call, by its ID.
	runs map[string][]string
}

func (r *rowReplicas) send(ctx context.Context, a *Attempt) (*Response, error) {
	time.Sleep(time.Millisecond)
	var response *Response
	var err error
	if slices.Contains(r.failing, a.Target.ID) && time.Now().Before(r.until) {
		response, err = r.way(ctx, a)
	} else {
		body := &pacedEvents{left: pacedEventCount, pause: 5 * time.Millisecond}
		response = NewResponse(Response{Status: 200, Verified: true, Executed: true, Length: -1, Body: body}, func() {})
	}
	if errors.Is(err, httpconn.ErrResponseLost) || response != nil && response.Executed {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.runs[a.Call.ID] = append(r.runs[a.Call.ID], a.Target.ID)
	}
	return response, err
}

// rowEntry is an entry in front of the replicas that shares no state with others.
func rowEntry(replicas *rowReplicas, attempts int) *testGateway {
	service := routing.Service{Name: "s", Engine: &routing.Engine{TokensPerEvent: 2}}
	route := routing.Route{Kind: routing.Stream, Attempts: attempts, RetainsTurns: true, Retention: time.Minute, Timeout: time.Minute}
	w := newTestGateway(service, nil, Settings{}, route, nil, replicas.send)
	w.gateway.turns = &continuedTurns{}
	return w
}

// rowCall is a turn of one size; previous is empty for a first one.
func rowCall(id, previous string, agent int) Call {
	call := Call{
		ID: id, Host: "h", Path: "/x", Previous: previous, MaxOutputTokens: 2 * pacedEventCount, PromptTokens: 5120, Body: []byte(id[:2]), Program: Program{ID: "p", Budget: 1000},
		Prompt: []Part{{ID: 1, Tokens: 4096}, {ID: uint64(10 + agent), Tokens: 1024}}, Arrived: time.Now(),
	}
	if previous == "" {
		call.Program.ID, call.Prompt[0].ID = "first", 2
	}
	call.Deadline = call.Arrived.Add(rowTime)
	return call
}

// rowResults are the results of a fan of turns that continue one, and of a first turn of the same moment.
type rowResults struct {
	continued [rowWidth]Result
	first     Result
}

func serveRow(w *testGateway, try string) (got rowResults) {
	var running sync.WaitGroup
	for i := range rowWidth {
		call := rowCall(fmt.Sprint("c", i, "-", try), "t1", i)
		running.Go(func() { got.continued[i] = w.gateway.Serve(context.Background(), &call, &fakeCaller{}) })
	}
	call := rowCall("f0-"+try, "", rowWidth)
	running.Go(func() { got.first = w.gateway.Serve(context.Background(), &call, &fakeCaller{}) })
	running.Wait()
	return got
}

// failsAfter fails with err after a time, or when the attempt's time is up: a connection that is not accepted in time was
// not sent.
func failsAfter(d time.Duration, err error) script {
	return func(ctx context.Context, _ *Attempt) (*Response, error) {
		sleep(ctx, d)
		return nil, err
	}
}

// rowWays are the ways in which an attempt ends before its replica has begun to run it.
var rowWays = map[string]script{
	"connection refused": failsWith(errors.Wrap(httpconn.ErrNotSent, "connection refused")),
	"connect timeout":    failsAfter(700*time.Millisecond, errors.Wrap(httpconn.ErrNotSent, "i/o timeout")),
	"connection limit":   failsWith(httpconn.ErrConnectionLimit),
	"address of another": respondsWith(Response{Status: http.StatusMisdirectedRequest, Misdirected: true}, ""),
	"full":               refuses,
	"too many requests":  respondsWith(Response{Status: http.StatusTooManyRequests}, ""),
	"not run, no load":   respondsWith(Response{Status: http.StatusBadRequest}, ""),
	"draining":           respondsWith(Response{Status: http.StatusServiceUnavailable, Draining: true}, ""),
}

// lostWays are the ways in which an attempt ends so that its replica may have run it.
var lostWays = map[string]script{
	"reset":           failsWith(errors.Wrap(httpconn.ErrResponseLost, "connection reset")),
	"reset with wait": failsAfter(300*time.Millisecond, errors.Wrap(httpconn.ErrResponseLost, "connection reset")),
}

// forEachRow plays each way at the replica of the prompt alone, and at all replicas but one.
func forEachRow(t *testing.T, ways map[string]script, play func(t *testing.T, replicas *rowReplicas, attempts int)) {
	for name, way := range ways {
		for _, failing := range [][]string{{promptReplica}, {promptReplica, "b", "c"}} {
			for _, attempts := range []int{1, 2} {
				t.Run(fmt.Sprintf("%s at %d, %d attempts", name, len(failing), attempts), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						play(t, &rowReplicas{way: way, failing: failing, until: time.Now().Add(time.Hour), runs: map[string][]string{}}, attempts)
						time.Sleep(settleTimeout)
						synctest.Wait()
					})
				})
			}
		}
	}
}

// Guards against turns that are refused, or run twice, since the replica that has their prompt, or all but one, end
// their attempts before they run, while first turns are served.
func TestContinuedTurnsAreServedWhereAnyReplicaRunsThem(t *testing.T) {
	forEachRow(t, rowWays, func(t *testing.T, replicas *rowReplicas, attempts int) {
		is := is.New(t)
		entry, other := rowEntry(replicas, attempts), rowEntry(replicas, attempts)
		for try, w := range []*testGateway{entry, entry, other} {
			got := serveRow(w, fmt.Sprint(try))
			is.Equal(got.first.Outcome, Completed)
			for _, r := range got.continued {
				is.Equal(r.Outcome, Completed)
			}
			time.Sleep(200 * time.Millisecond)
		}
		for _, ran := range replicas.runs {
			is.Equal(len(ran), 1)
		}
	})
}

// Guards against turns that run twice where a replica may have run them and its response is lost, against callers that
// are told that these turns have not run, and against further tries that are lost at the same replicas.
func TestContinuedTurnsThatAreLostRunOnce(t *testing.T) {
	forEachRow(t, lostWays, func(t *testing.T, replicas *rowReplicas, attempts int) {
		is := is.New(t)
		for n, w := range []*testGateway{rowEntry(replicas, attempts), rowEntry(replicas, attempts)} {
			const tries, breakerLosses = 3, 3 // the circuit breaker opens after as many losses
			lostBefore := map[string]int{}
			for try := range tries {
				lost := map[string]int{}
				for _, r := range serveRow(w, fmt.Sprint(n, try)).continued {
					if r.Outcome != Completed {
						is.Equal(r.Outcome, Unknown)
						is.Equal(r.Reason, ReplicaLost)
						lost[r.Replica]++
					}
				}
				for replica, n := range lost {
					is.True(lostBefore[replica] < breakerLosses || n <= 1) // a half-open trial
					lostBefore[replica] += n
				}
				time.Sleep(200 * time.Millisecond)
			}
		}
		for _, ran := range replicas.runs {
			is.Equal(len(ran), 1)
		}
	})
}

// Guards against further tries of turns that go to the replica again at which the one before got no byte, since their
// prompt is cached there, while first turns are served elsewhere.
func TestContinuedTurnsLeaveASilentReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		replicas := &rowReplicas{way: hangs, failing: []string{promptReplica}, until: time.Now().Add(time.Hour), runs: map[string][]string{}}
		w := rowEntry(replicas, 1)
		for try := range 2 {
			got := serveRow(w, fmt.Sprint(try))
			is.Equal(got.first.Outcome, Completed)
			for _, r := range got.continued {
				is.True(try == 0 || r.Outcome == Completed)
			}
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(settleTimeout)
		synctest.Wait()
	})
}
