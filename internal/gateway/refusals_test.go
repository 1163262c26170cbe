package gateway

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/routing"
)

// Guards against turns that are refused although a replica has free places, since the replicas that they were sent to
// before, which hold the start of their prompts, are full: each refusal must cost the turn neither its attempt nor a
// retry that calls of other services have used up.
func TestTurnsThatReplicasRefuseReachOneWithRoom(t *testing.T) {
	const turns, width, free = 30, 6, "d"
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		accepts := streams(nil, event(1))
		turnsOf := &fakeTurns{chain: []Turn{{ID: "t1", Input: []byte("old"), Replica: "a"}}}
		service := routing.Service{Name: "s", Engine: &routing.Engine{TokensPerEvent: 2}}
		w := newTestGateway(service, nil, Settings{}, turnRoute, turnsOf, func(ctx context.Context, a *Attempt) (*Response, error) {
			time.Sleep(10 * time.Millisecond)
			if a.Target.ID != free {
				return refuses(ctx, a)
			}
			return accepts(ctx, a)
		})
		var refused sync.Map
		var calls sync.WaitGroup
		for i := range turns {
			calls.Go(func() {
				call := turnCall()
				call.ID, call.Host, call.Path, call.Arrived = fmt.Sprint("turn-", i), "h", "/x", time.Now()
				if result := w.gateway.Serve(t.Context(), &call, &fakeCaller{}); result.Outcome != Completed {
					refused.Store(call.ID, fmt.Sprint(result.Reason, " ", result.Cause))
				}
			})
			if i%width == width-1 {
				time.Sleep(50 * time.Millisecond)
			}
		}
		calls.Wait()
		time.Sleep(settleTimeout)
		refused.Range(func(id, reason any) bool {
			t.Errorf("%v was refused: %v", id, reason)
			return true
		})
		sendings := 0
		for _, target := range w.replicas.targets() {
			if target != free {
				sendings++
			}
		}
		t.Logf("%d sendings of %d turns to full replicas", sendings, turns)
		is.True(sendings <= turns/2) // full replicas are left alone for a while
	})
}

// Guards against turns that wait for a replica that has refused one and has room since: until it sends its first event, a
// turn is no evidence against more.
func TestReplicasThatRefusedOneTurnGetOthersSoon(t *testing.T) {
	const turns, firstEvent = 16, 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var refusedBy sync.Map
		var served atomic.Int64
		service := routing.Service{Name: "s", Engine: &routing.Engine{TokensPerEvent: 2}}
		w := newTestGateway(service, nil, Settings{}, turnRoute, &fakeTurns{}, func(ctx context.Context, a *Attempt) (*Response, error) {
			if _, done := refusedBy.LoadOrStore(a.Target.ID, true); !done {
				return refuses(ctx, a)
			}
			time.Sleep(firstEvent)
			return streams(nil, event(1))(ctx, a)
		})
		serve := func(id string, left time.Duration) {
			call := turnCall()
			call.ID, call.Host, call.Path, call.Arrived = id, "h", "/x", time.Now()
			call.Deadline = call.Arrived.Add(left)
			if w.gateway.Serve(t.Context(), &call, &fakeCaller{}).Outcome == Completed {
				served.Add(1)
			}
		}
		serve("first", 50*time.Millisecond) // refused by all
		is.Equal(served.Load(), int64(0))
		var calls sync.WaitGroup
		for i := range turns {
			calls.Go(func() { serve(fmt.Sprint("turn-", i), 5*time.Second) })
		}
		calls.Wait()
		is.Equal(served.Load(), int64(turns))
		time.Sleep(settleTimeout)
	})
}
