package gateway

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/httpconn"
	"foxhall/internal/routing"
)

// busyReplicas are replicas that refuse calls until a moment, and then run them for a time of their own each.
type busyReplicas struct {
	busyUntil map[string]time.Time
	takes     map[string]time.Duration
}

func (b *busyReplicas) send(ctx context.Context, a *Attempt) (*Response, error) {
	time.Sleep(time.Millisecond)
	if time.Now().Before(b.busyUntil[a.Target.ID]) {
		return refuses(ctx, a)
	}
	body := &pacedEvents{left: pacedEventCount, pause: b.takes[a.Target.ID] / pacedEventCount}
	return NewResponse(Response{Status: 200, Verified: true, Executed: true, Length: -1, Body: body}, func() {}), nil
}

// pacedEventCount is the number of events of a stream at the replicas.
const pacedEventCount = 10

// pacedEvents is the body of a stream with a pause before each event.
type pacedEvents struct {
	left  int
	pause time.Duration
}

// Read implements io.Reader.
func (e *pacedEvents) Read(p []byte) (int, error) {
	if e.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(e.pause)
	e.left--
	return copy(p, event(pacedEventCount-e.left)), nil
}

// busyFor lets replicas refuse calls for some time from now on.
func (b *busyReplicas) busyFor(d time.Duration, replicas ...string) {
	for _, name := range replicas {
		b.busyUntil[name] = time.Now().Add(d)
	}
}

func newBusyReplicas() *busyReplicas {
	return &busyReplicas{busyUntil: map[string]time.Time{}, takes: map[string]time.Duration{}}
}

// Guards against a call that is refused since each replica has refused it at one moment, although they have places
// again long before its deadline.
func TestCallIsServedOnceAReplicaThatRefusedItHasRoom(t *testing.T) {
	for name, engine := range map[string]*routing.Engine{"model": {TokensPerEvent: 2}, "tool": nil} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				replicas := newBusyReplicas()
				route := routing.Route{Kind: routing.Stream, Attempts: 1}
				w := newTestGateway(routing.Service{Name: "s", Engine: engine}, nil, Settings{}, route, &fakeTurns{}, replicas.send)
				replicas.busyFor(700*time.Millisecond, testReplicas...)
				got := w.serve(&fakeCaller{}, turnCall())
				is.Equal(got.result.Outcome, Completed)
				is.True(got.duration < 1100*time.Millisecond)
			})
		})
	}
}

// Guards against a call that is refused by the estimate of the slowest replica, since the others have refused it at one
// moment and have places again soon after.
func TestCallIsNotRefusedForTheOneReplicaThatDidNotRefuseIt(t *testing.T) {
	const slow = "d"
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		replicas := newBusyReplicas()
		for _, name := range testReplicas {
			replicas.takes[name] = 200 * time.Millisecond
		}
		replicas.takes[slow] = 8 * time.Second
		service := routing.Service{Name: "s", Engine: &routing.Engine{TokensPerEvent: 2}}
		w := newTestGateway(service, nil, Settings{}, routing.Route{Kind: routing.Stream, Attempts: 1, Timeout: time.Minute}, &fakeTurns{}, replicas.send)
		var calls sync.WaitGroup
		for i := range 4 * len(testReplicas) {
			calls.Go(func() {
				call := Call{ID: fmt.Sprint("learn-", i), Host: "h", Path: "/x", Arrived: time.Now(), MaxOutputTokens: 20}
				w.gateway.Serve(t.Context(), &call, &fakeCaller{})
			})
		}
		calls.Wait()
		replicas.busyFor(300*time.Millisecond, "a", "b", "c")
		call := Call{ID: "hurried", MaxOutputTokens: 20, Deadline: time.Now().Add(5 * time.Second)}
		got := w.serve(&fakeCaller{}, call)
		is.Equal(got.result.Outcome, Completed)
		is.True(got.result.Replica != slow)
	})
}

// Guards against callers that are told to come back after the end of their own time.
func TestRetryAfterLeavesTimeForTheRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		replicas := newBusyReplicas()
		service := routing.Service{Name: "s", Engine: &routing.Engine{TokensPerEvent: 2}}
		w := newTestGateway(service, nil, Settings{}, routing.Route{Kind: routing.Stream, Attempts: 1, Timeout: time.Minute}, &fakeTurns{}, replicas.send)
		for _, name := range testReplicas {
			replicas.takes[name] = 4 * time.Second
		}
		for i := range 4 * len(testReplicas) {
			go func() {
				call := Call{ID: fmt.Sprint("learn-", i), Host: "h", Path: "/x", Arrived: time.Now(), MaxOutputTokens: 20}
				w.gateway.Serve(t.Context(), &call, &fakeCaller{})
			}()
		}
		time.Sleep(4500 * time.Millisecond)
		call := Call{ID: "hurried", Host: "h", Path: "/x", Arrived: time.Now(), MaxOutputTokens: 20, Deadline: time.Now().Add(800 * time.Millisecond)}
		got := w.gateway.Serve(t.Context(), &call, &fakeCaller{}) // other calls run on meanwhile
		is.Equal(got.Outcome, NotRun)
		is.True(got.RetryAfter <= 400*time.Millisecond)
		time.Sleep(settleTimeout)
	})
}

// Guards against calls that no replica accepts and that keep all others waiting: each of their refusals made a replica
// count as full, and they went first in each place that became free.
func TestCallsThatAreAlwaysRefusedDoNotCrowdOutOthers(t *testing.T) {
	const rejected, calls, every = 4, 180, 50 * time.Millisecond
	for _, loadControl := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			replicas := newBusyReplicas()
			for _, name := range testReplicas {
				replicas.takes[name] = 500 * time.Millisecond
			}
			var sent atomic.Int64
			service := routing.Service{Name: "s", Engine: &routing.Engine{TokensPerEvent: 2}}
			w := newTestGateway(service, nil, Settings{LoadControl: loadControl}, routing.Route{Kind: routing.Stream, Attempts: 1, Timeout: 10 * time.Second}, &fakeTurns{}, func(ctx context.Context, a *Attempt) (*Response, error) {
				if a.Call.ID == "rejected" {
					sent.Add(1)
					return refuses(ctx, a)
				}
				return replicas.send(ctx, a)
			})
			var running sync.WaitGroup
			var took atomic.Int64
			serve := func(id string) {
				call := Call{ID: id, Host: "h", Path: "/x", Arrived: time.Now(), MaxOutputTokens: 2 * pacedEventCount}
				w.gateway.Serve(t.Context(), &call, &fakeCaller{})
				if id != "rejected" {
					took.Add(int64(time.Since(call.Arrived)))
				}
			}
			for range rejected {
				running.Go(func() { serve("rejected") })
			}
			for i := range calls {
				running.Go(func() {
					time.Sleep(time.Duration(i) * every)
					serve(fmt.Sprint("call-", i))
				})
			}
			running.Wait()
			is.True(time.Duration(took.Load()/calls) < time.Second) // twice what a call takes
			is.True(sent.Load() <= rejected*100)                    // ten a second for each call
			time.Sleep(settleTimeout)
		})
	}
}

// Guards against one call whose refusals use up the retries of all others.
func TestRefusalsOfACallThatMayHaveRunCostOneRetry(t *testing.T) {
	const savedUp, later = 300, 10
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var fullUntil time.Time
		lost := map[string]bool{}
		w := newTestGateway(routing.Service{Name: "s"}, nil, Settings{}, routing.Route{Kind: routing.Idempotent, Attempts: 2, Timeout: 5 * time.Second}, nil, func(ctx context.Context, a *Attempt) (*Response, error) {
			time.Sleep(time.Millisecond)
			if a.Call.Method == "loses" && !lost[a.Call.ID] {
				lost[a.Call.ID] = true
				return failsWith(httpconn.ErrResponseLost)(ctx, a)
			}
			if time.Now().Before(fullUntil) {
				return refuses(ctx, a)
			}
			return succeedsWith("x")(ctx, a)
		})
		serve := func(id, method string) Outcome {
			call := Call{ID: id, Method: method, Host: "h", Path: "/x", Arrived: time.Now()}
			return w.gateway.Serve(t.Context(), &call, &fakeCaller{}).Outcome
		}
		for i := range savedUp {
			serve(fmt.Sprint("saves-", i), "")
		}
		fullUntil = time.Now().Add(2 * time.Second)
		is.Equal(serve("refused", "loses"), Completed)
		for i := range later {
			is.Equal(serve(fmt.Sprint("later-", i), "loses"), Completed)
		}
		time.Sleep(settleTimeout)
	})
}

// Guards against refusals that come after the caller has given up.
func TestRefusalComesBeforeTheDeadline(t *testing.T) {
	for _, left := range []time.Duration{100 * time.Millisecond, 2 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			replicas := newBusyReplicas()
			w := newTestGateway(routing.Service{Name: "s"}, nil, Settings{}, routing.Route{Kind: routing.Idempotent, Attempts: 2}, &fakeTurns{}, replicas.send)
			replicas.busyFor(time.Minute, testReplicas...)
			got := w.serve(&fakeCaller{}, Call{ID: "r", Deadline: time.Now().Add(left)})
			is.Equal(got.result.Outcome, NotRun)
			is.True(got.duration < left)
		})
	}
}
