package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/buffer"
	"foxhall/internal/limit"
	"foxhall/internal/routing"
)

// refusingTurns refuse turns that continue another, or give them a chain.
type refusingTurns struct {
	fakeTurns
	err   error
	chain []Turn
}

// Reserve implements Turns.
func (r *refusingTurns) Reserve(_ context.Context, v Reservation) (Reserved, error) {
	if v.Previous == "" {
		return Reserved{}, nil
	}
	return Reserved{Chain: r.chain, LastUpstream: promptReplica}, r.err
}

// Guards against refusals by the entry itself that are made after a wait, that name a time after the end of the caller's,
// or that reach a replica; and against first turns of the same moment that suffer from them.
func TestRefusalsOfContinuedTurnsByTheEntryAreGivenAtOnce(t *testing.T) {
	long := []Turn{{ID: "t1", Input: make([]byte, 1<<20)}}
	for name, test := range map[string]struct {
		turns  *refusingTurns
		quota  limit.Verdict
		reason Reason
	}{
		"budget":        {&refusingTurns{err: ErrBudgetExhausted}, limit.Admitted, BudgetExhausted},
		"no such turn":  {&refusingTurns{err: ErrNoSuchTurn}, limit.Admitted, NoSuchTurn},
		"keepers":       {&refusingTurns{err: errors.New("no keeper")}, limit.Admitted, TurnsUnavailable},
		"isolated":      {&refusingTurns{err: ErrIsolated}, limit.Admitted, TurnsUnavailable},
		"memory":        {&refusingTurns{chain: long}, limit.Admitted, BuffersFull},
		"quota":         {&refusingTurns{}, limit.OverQuota, OverQuota},
		"quota unknown": {&refusingTurns{}, limit.Undetermined, QuotaUndetermined},
	} {
		for _, left := range []time.Duration{200 * time.Millisecond, rowTime} {
			t.Run(name+", "+left.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					customers := newCustomers(t, routing.Customer{Name: "one", Keys: []routing.KeyDigest{*digestOf("k1")}})
					replicas := &rowReplicas{runs: map[string][]string{}}
					quotas := &fakeQuotas{verdict: limit.Admitted}
					settings := Settings{Buffers: buffer.NewBudget(1<<20, metrics.NewRegistry()), Quotas: quotas}
					service := routing.Service{Name: "s", Engine: &routing.Engine{TokensPerEvent: 2}}
					route := routing.Route{Kind: routing.Stream, Attempts: 1, RetainsTurns: true, Retention: time.Minute, Timeout: time.Minute}
					w := newTestGateway(service, customers, settings, route, nil, replicas.send)
					w.gateway.turns = test.turns
					serve := func(call Call) Result {
						call.Key, call.Deadline = digestOf("k1"), call.Arrived.Add(left)
						return w.gateway.Serve(t.Context(), &call, &fakeCaller{})
					}
					is.Equal(serve(rowCall("f0", "", 0)).Outcome, Completed)
					quotas.verdict = test.quota
					sent, began := len(w.replicas.attempts), time.Now()
					got := serve(rowCall("c0", "t1", 0))
					is.Equal(time.Since(began), time.Duration(0))
					is.Equal(got.Outcome, NotRun)
					is.Equal(got.Reason, test.reason)
					is.True(!unreachedReasons[got.Reason] || got.RetryAfter <= left/2)
					is.Equal(len(w.replicas.attempts), sent)
					quotas.verdict = limit.Admitted
					is.Equal(serve(rowCall("f1", "", 0)).Outcome, Completed)
					time.Sleep(settleTimeout)
					synctest.Wait()
				})
			})
		}
	}
}
