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
func TestRefusalsByReplicasCostNoRetry(t *testing.T) {
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
		for i := range 6 {
			result := w.gateway.Serve(context.Background(), newCall(), &fakeCaller{})
			is.Equal(result.Reason, Reason(""))
			is.Equal(result.Outcome, Completed)
			if i == 0 {
				is.Equal(w.replicas.attempts[0].Target.ID, full)
			}
		}
		// Where all replicas refuse, each of them is sent one call in a pause between refusals.
		w.replicas.steps, w.replicas.attempts = []script{refuses}, nil
		began := time.Now()
		for range 6 {
			w.gateway.Serve(context.Background(), newCall(), &fakeCaller{})
		}
		took := time.Since(began)
		is.True(len(w.replicas.attempts) <= (int(took/(100*time.Millisecond))+1)*len(testReplicas))
		is.True(len(w.replicas.attempts) <= 10*int(took/time.Second)) // ten a second for a call
		time.Sleep(settleTimeout)
	})
}
