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
	"github.com/pkg/errors"

	"foxhall/internal/httpconn"
	"foxhall/internal/routing"
)

// cachedTurns are turns whose prompt is cached at one replica.
type cachedTurns struct {
	fakeTurns
	replica string
}

func (c *cachedTurns) Reserve(context.Context, Reservation) (Reserved, error) {
	return Reserved{LastUpstream: c.replica}, nil
}

// Guards against turns that are refused while most replicas would serve them: all that continue one turn go to the
// replica that has its prompt, which refuses each and runs none.
func TestTurnsRefusedByTheReplicaOfTheirPromptAreServedElsewhere(t *testing.T) {
	const width, tries = 6, 2
	for name, refusal := range map[string]script{
		"full":               refuses,
		"connection refused": failsWith(errors.Wrap(httpconn.ErrNotSent, "connection refused")),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				service := routing.Service{Name: "s", Engine: &routing.Engine{TokensPerEvent: 2}}
				w := newTestGateway(service, nil, Settings{}, turnRoute, nil, func(ctx context.Context, a *Attempt) (*Response, error) {
					if a.Target.ID == testReplicas[0] {
						return refusal(ctx, a)
					}
					return streams(nil, event(1))(ctx, a)
				})
				w.gateway.turns = &cachedTurns{replica: testReplicas[0]}
				for range tries {
					var wg sync.WaitGroup
					results := make([]Result, width)
					for i := range width {
						call := Call{
							ID: fmt.Sprint(i), Host: "h", Path: "/x", Previous: "t1", MaxOutputTokens: 20, PromptTokens: 5120, Program: Program{ID: "p", Budget: 1000},
							Prompt: []Part{{ID: 1, Tokens: 4096}, {ID: uint64(10 + i), Tokens: 1024}}, Arrived: time.Now(),
						}
						wg.Go(func() { results[i] = w.gateway.Serve(context.Background(), &call, &fakeCaller{}) })
					}
					wg.Wait()
					for _, r := range results {
						is.Equal(r.Outcome, Completed)
						is.True(r.Replica != testReplicas[0])
					}
					time.Sleep(400 * time.Millisecond)
				}
				is.True(slices.Contains(w.replicas.targets(), testReplicas[0])) // the replica that refuses was tried
				time.Sleep(settleTimeout)
				synctest.Wait()
			})
		})
	}
}
