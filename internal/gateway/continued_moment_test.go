package gateway

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/routing"
)

// momentaryWays are those of rowWays that may end while the replica stays what it is. A call without a connection waits
// in the queue, see TestCallWithoutConnectionIsPlacedAgain.
var momentaryWays = []string{"connection refused", "connect timeout", "full", "too many requests"}

// Guards against turns that are refused since each replica ended an attempt in one way at one moment, although the
// replicas take calls again long before the turns' deadline.
func TestTurnsOutlastAMomentAtWhichNoReplicaTakesCalls(t *testing.T) {
	for _, name := range momentaryWays {
		for _, moment := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond} {
			for _, alone := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s for %v, alone: %v", name, moment, alone), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						is := is.New(t)
						replicas := &rowReplicas{way: rowWays[name], failing: testReplicas, until: time.Now().Add(moment), runs: map[string][]string{}}
						w := rowEntry(replicas, 1)
						if alone {
							is.Equal(w.serve(&fakeCaller{}, rowCall("c0", "t1", 0)).result.Outcome, Completed)
							return
						}
						got := serveRow(w, "0")
						is.Equal(got.first.Outcome, Completed)
						for _, r := range got.continued {
							is.Equal(r.Outcome, Completed)
						}
						time.Sleep(settleTimeout)
						synctest.Wait()
					})
				})
			}
		}
	}
}

// Guards against callers that are kept until their deadline although the instance reaches no replica: another one may.
func TestCallThatReachesNoReplicaIsRefusedInTimeForAnotherEntry(t *testing.T) {
	for _, name := range []string{"connection refused", "connect timeout"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				replicas := &rowReplicas{way: rowWays[name], failing: testReplicas, until: time.Now().Add(time.Hour), runs: map[string][]string{}}
				got := rowEntry(replicas, 1).serve(&fakeCaller{}, rowCall("c0", "t1", 0))
				is.Equal(got.result.Outcome, NotRun)
				is.True(got.duration+got.result.RetryAfter < rowTime)
				for _, target := range testReplicas {
					sent := slices.DeleteFunc(slices.Clone(got.targets), func(name string) bool { return name != target })
					is.True(len(sent) <= 5) // the circuit breaker lets few through
				}
			})
		})
	}
}

// Guards against calls that are refused by the estimate of the one replica that accepts connections, a slow one, since the
// others accept none at one moment and do again soon after: whether the call met that itself, or others before it.
func TestCallIsNotRefusedForTheOneReplicaThatAcceptsConnections(t *testing.T) {
	const slow, moment = "d", 300 * time.Millisecond
	for _, loadControl := range []bool{false, true} {
		for _, others := range []int{0, 1, rowWidth} {
			t.Run(fmt.Sprintf("load control: %v, %d others before", loadControl, others), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					busy := newBusyReplicas()
					for _, name := range testReplicas {
						busy.takes[name] = 200 * time.Millisecond
					}
					busy.takes[slow] = 20 * time.Second
					var until time.Time
					service := routing.Service{Name: "s", Engine: &routing.Engine{TokensPerEvent: 2}}
					route := routing.Route{Kind: routing.Stream, Attempts: 1, Timeout: time.Minute}
					w := newTestGateway(service, nil, Settings{LoadControl: loadControl}, route, &fakeTurns{}, func(ctx context.Context, a *Attempt) (*Response, error) {
						if a.Target.ID != slow && time.Now().Before(until) {
							return rowWays["connection refused"](ctx, a)
						}
						return busy.send(ctx, a)
					})
					serve := func(id string, left time.Duration) Result {
						call := Call{ID: id, Host: "h", Path: "/x", Arrived: time.Now(), MaxOutputTokens: 20, Deadline: time.Now().Add(left)}
						return w.gateway.Serve(t.Context(), &call, &fakeCaller{})
					}
					var learning, running sync.WaitGroup
					for i := range 4 * len(testReplicas) {
						learning.Go(func() { serve(fmt.Sprint("learn-", i), time.Minute) })
					}
					learning.Wait()
					until = time.Now().Add(moment)
					results := make([]Result, others+1)
					for i := range results {
						running.Go(func() { results[i] = serve(fmt.Sprint("hurried-", i), rowTime) })
						if i == others-1 {
							time.Sleep(10 * time.Millisecond)
						}
					}
					running.Wait()
					for _, r := range results {
						t.Logf("%v %v %s %d %v", r.Outcome, r.Reason, r.Replica, r.Attempts, fieldsOf(r.Cause))
						is.Equal(r.Outcome, Completed)
						is.True(r.Replica != slow)
					}
				})
			})
		}
	}
}
