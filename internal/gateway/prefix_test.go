package gateway

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/engine"
	"foxhall/internal/routing"
)

// Guards against turns that are refused at once where first turns are served: all that continue a turn go to the
// replica that has its prompt, and once that one is full, they used up the retries of all calls.
func TestRefusalByTheReplicaWithThePromptCostsNoRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		full := testReplicas[0]
		service := routing.Service{Name: "s", Engine: &routing.Engine{TokensPerEvent: 2}}
		w := newTestGateway(service, nil, Settings{}, turnRoute, &fakeTurns{lastUpstream: full}, func(ctx context.Context, s *Attempt) (*Response, error) {
			if s.Target.ID == full {
				return refuses(ctx, s)
			}
			return streams(nil, event(1))(ctx, s)
		})
		programs := 0
		newCall := func() *Call {
			programs++
			call := turnCall()
			call.Program.ID = strconv.Itoa(programs)
			call.Host, call.Path, call.Arrived = "h", "/x", time.Now()
			call.Prompt = []Part{{ID: uint64(programs), Tokens: 100 * engine.BlockTokens}, {ID: 1 << 40, Tokens: 1}}
			call.PromptTokens = 100*engine.BlockTokens + 1
			return &call
		}
		for range 6 {
			result := w.gateway.Serve(context.Background(), newCall(), &fakeCaller{})
			is.Equal(result.Reason, Reason(""))
			is.Equal(result.Outcome, Completed)
			is.Equal(w.replicas.attempts[len(w.replicas.attempts)-result.Attempts].Target.ID, full)
		}
		// Where all replicas refuse, each turn is sent twice, and further retries are within the budget of all calls: a
		// tenth of the twelve calls, and one a second.
		w.replicas.steps, w.replicas.attempts = []script{refuses}, nil
		for range 6 {
			w.gateway.Serve(context.Background(), newCall(), &fakeCaller{})
		}
		is.True(len(w.replicas.attempts) <= 2*6+2)
		time.Sleep(settleTimeout)
	})
}
