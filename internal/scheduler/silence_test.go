package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/upstream"
)

// longestFirstOpening bounds the time for which one failure opens the circuit breaker of an upstream.
const longestFirstOpening = 750 * time.Millisecond

// Guards against a replica that is shut out for many seconds after a silence of one: each of the calls
// that were in flight when it fell silent counted as a failed trial.
func TestCallsLostInOneSilenceOpenTheBreakerOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, table := newTestScheduler(Settings{}, engineAt("e", "a", 8))
		u := table.Snapshot().Upstream("e")
		inFlight := fillSlots(t, s, 8)
		time.Sleep(time.Second)
		for i, g := range inFlight {
			if i == len(inFlight)/2 {
				time.Sleep(100 * time.Millisecond)
			}
			g.Done(Feedback{Failure: &upstream.Failure{Kind: upstream.Unresponsive}})
		}
		is.Equal(u.Load(time.Now().UnixNano()).Condition, upstream.CircuitOpen)
		time.Sleep(longestFirstOpening - 100*time.Millisecond)
		is.Equal(u.Load(time.Now().UnixNano()).Condition, upstream.Usable)
	})
}

// Guards against a trial that is ended by calls that were lost before it began.
func TestCallsLostBeforeATrialDoNotEndIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, table := newTestScheduler(Settings{}, engineAt("e", "a", 8))
		u := table.Snapshot().Upstream("e")
		inFlight := fillSlots(t, s, 2)
		time.Sleep(time.Second)
		inFlight[0].Done(Feedback{Failure: &upstream.Failure{Kind: upstream.Unresponsive}})
		time.Sleep(longestFirstOpening)
		trial, refusal := s.Acquire(t.Context(), testRequest("trial"))
		is.True(refusal == nil)
		inFlight[1].Done(Feedback{Failure: &upstream.Failure{Kind: upstream.Unresponsive}})
		trial.Done(Feedback{Cancelled: true})
		is.Equal(u.Load(time.Now().UnixNano()).Condition, upstream.Usable)
		_, ok := u.TakeTrial()
		is.True(ok)
	})
}

// Guards against trials that never grow rarer: the failure of a trial must open the breaker again.
func TestFailedTrialOpensTheBreakerAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, table := newTestScheduler(Settings{}, engineAt("e", "a", 8))
		u := table.Snapshot().Upstream("e")
		fillSlots(t, s, 1)[0].Done(Feedback{Failure: &upstream.Failure{Kind: upstream.Unresponsive}})
		time.Sleep(longestFirstOpening)
		trial, refusal := s.Acquire(t.Context(), testRequest("trial"))
		is.True(refusal == nil)
		trial.Done(Feedback{Failure: &upstream.Failure{Kind: upstream.Unresponsive}})
		is.Equal(u.Load(time.Now().UnixNano()).Condition, upstream.CircuitOpen)
	})
}

// Guards against a replica that gets a fifth of its calls for seconds after a silence, as if it had started again.
func TestReplicaThatWasOnlySilentHasNoSlowStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for kind, slowStart := range map[upstream.FailureKind]bool{upstream.Unresponsive: false, upstream.NotSent: true, upstream.Lost: true} {
			s, table := newTestScheduler(Settings{}, engineAt("e", "a", 8))
			u := table.Snapshot().Upstream("e")
			full := u.Load(time.Now().UnixNano()).Limit
			for _, g := range fillSlots(t, s, 3) {
				g.Done(Feedback{Failure: &upstream.Failure{Kind: kind}})
			}
			time.Sleep(3 * longestFirstOpening)
			trial, refusal := s.Acquire(t.Context(), testRequest("trial"))
			is.True(refusal == nil)
			trial.Done(Feedback{})
			is.Equal(u.Load(time.Now().UnixNano()).Limit < full, slowStart)
		}
	})
}
