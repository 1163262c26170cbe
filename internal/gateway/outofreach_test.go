package gateway

import (
	"bytes"
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/buffer"
	"foxhall/internal/routing"
)

// detailedError is an error with fields for the log.
type detailedError struct{}

func (detailedError) Error() string      { return "refused" }
func (detailedError) Fields() log.Fields { return log.Fields{"slice": 3} }

// Guards against a retained turn that calls continue in vain for seconds, without a figure or a line that tells.
func TestTimeOutOfReachOfAContinuedTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		turns := &fakeTurns{reserveErr: errors.WithStack(detailedError{})}
		service := routing.Service{Name: "s", Engine: &routing.Engine{TokensPerEvent: 2}}
		w := newTestGateway(service, nil, Settings{}, turnRoute, turns, succeedsWith("a"), succeedsWith("b"))
		call := turnCall()
		call.Previous = "t"
		got := w.serve(&fakeCaller{}, call)
		is.Equal(got.logFields("call")["previous"], "t")
		is.Equal(got.logFields("call")["slice"], 3)
		turns.reserveErr = nil
		got = w.serve(&fakeCaller{}, call)
		is.Equal(got.logFields("call")["out_of_reach_ms"], settleTimeout.Milliseconds())
		got = w.serve(&fakeCaller{}, call)
		is.Equal(got.logFields("call")["out_of_reach_ms"], nil)
		is.Equal(metrics.GetOrRegisterCounter("gateway.out_of_reach.turns", w.registry).Count(), int64(1))
		is.Equal(metrics.GetOrRegisterCounter("gateway.continued.reasons."+string(TurnsUnavailable), w.registry).Count(), int64(1))
		h := w.gateway.outOfReach.duration
		is.Equal(h.Count(), int64(1))
		is.Equal(h.Max(), settleTimeout.Milliseconds())
	})
}

// Guards against memory that grows with the turns that nobody continues any more, and against turns that stay in it.
func TestTurnsOutOfReachAreBounded(t *testing.T) {
	is := is.New(t)
	o := newOutOfReach(metrics.NewRegistry())
	now := time.Now()
	for i := range maxTurnsOutOfReach + 1 {
		o.refuse(continuedTurn{turn: strconv.Itoa(i)}, now, now)
	}
	is.Equal(len(o.open), maxTurnsOutOfReach)
	is.Equal(o.untracked.Count(), int64(1))
	now = now.Add(outOfReachExpiry + time.Millisecond)
	o.refuse(continuedTurn{customer: "other", turn: "1"}, now, now)
	is.Equal(len(o.open), 1)
	is.Equal(o.expired.Count(), int64(maxTurnsOutOfReach))
	is.Equal(o.reach(continuedTurn{turn: "1"}, now), time.Duration(0))
}

// Guards against turns refused for memory that a first turn with the same prompt doesn't take: while it runs, a turn
// holds its chain once, as a part of its body, unless it is to be retained with the chain.
func TestRunningTurnHoldsItsChainOnce(t *testing.T) {
	is := is.New(t)
	chain := []Turn{{ID: "t1", Input: bytes.Repeat([]byte("x"), 100<<10)}}
	budget := buffer.NewBudget(4<<20, metrics.NewRegistry())
	var held int64
	got := serveWith(t, nil, Settings{Buffers: budget}, turnRoute, turnCall(), &fakeTurns{chain: chain}, func(ctx context.Context, s *Attempt) (*Response, error) {
		held = budget.Used()
		return streams(nil, event(1))(ctx, s)
	})
	is.Equal(got.result.Outcome, Completed)
	is.Equal(held, int64(100<<10))
	is.Equal(budget.Used(), int64(0))
}

// Guards against a turn that counts as reached since replicas refused the calls that continue it, and against a
// refused placement that does not tell its rule.
func TestTurnThatReplicasRefuseIsOutOfReach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service := routing.Service{Name: "s", Engine: &routing.Engine{TokensPerEvent: 2}}
		isFull := true
		w := newTestGateway(service, nil, Settings{}, turnRoute, &fakeTurns{}, func(ctx context.Context, a *Attempt) (*Response, error) {
			if time.Sleep(time.Millisecond); isFull {
				return refuses(ctx, a)
			}
			return streams(nil, event(1))(ctx, a)
		})
		call := turnCall()
		call.Previous = "t"
		got := w.serve(&fakeCaller{}, call)
		is.Equal(got.result.Outcome, NotRun)
		is.True(got.logFields("call")["out_of_reach_ms"] != nil)
		is.Equal(metrics.GetOrRegisterCounter("gateway.out_of_reach.turns", w.registry).Count(), int64(1))
		placement, _ := got.logFields("call")["placement"].(string)
		is.True(placement != "")
		is.Equal(metrics.GetOrRegisterCounter("gateway.continued.placement."+placement, w.registry).Count(), int64(1))
		isFull = false
		got = w.serve(&fakeCaller{}, call)
		is.Equal(got.result.Outcome, Completed)
		is.Equal(w.gateway.outOfReach.duration.Count(), int64(1))
	})
}
