package gateway

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
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
