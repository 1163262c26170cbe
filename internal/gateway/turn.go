package gateway

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// unreachedAfter is when to come again while the keepers of turns change:
	// a change takes about a second.
	turnsUnavailableRetryAfter = 400 * time.Millisecond
	// movedAfter is how long after the begin of a cut the balancer sends callers to
	// other data centres: it asks each second and leaves out after two misses.
	balancerFailoverTime = 2600 * time.Millisecond
	// isolatedLeast is the least time after which a caller may come again from a
	// data centre that is cut off.
	minIsolatedRetryAfter = 100 * time.Millisecond
	// keepTime bounds the keeping of a turn past the caller's deadline.
	retainTimeout = 2 * time.Second
	// settleTime bounds the settling of a turn that nobody waits for: longer than
	// most outages, and after it the turn counts as spent.
	settleTimeout = 20 * time.Second
)

// turn serves a turn of a program: within the program's tokens, after its
// chain, and kept before its answer ends.
func (f *inFlightCall) serveTurn(ctx context.Context) Result {
	reservation := Reservation{
		Customer:        f.customerName(),
		Program:         f.call.Program.ID,
		Turn:            f.call.ID,
		Previous:        f.call.Previous,
		MaxOutputTokens: f.call.MaxOutput,
		Budget:          f.call.Program.Budget,
		Deadline:        f.deadline,

		Retain:    f.route.RetainsTurns,
		Retention: f.route.Retention,
	}
	began := time.Now()
	reserved, err := f.gateway.turns.Reserve(ctx, reservation)
	f.stageTimes.reserving += time.Since(began)
	if err != nil {
		return f.refuseTurn(err)
	}
	f.lastUpstream = reserved.Replica
	f.body = joinChain(reserved.Chain, f.call.Body)
	rec := &streamRecord{retainData: f.route.RetainsTurns}
	var foreignChain []Turn
	if reserved.ForeignChain {
		foreignChain = reserved.Chain
	}
	retained := false
	if rec.retainData {
		// A turn that is not kept counts as spent until it is settled, so that its
		// caller need not wait for that.
		rec.settle = func() bool {
			began := time.Now()
			retained = f.retainTurn(ctx, rec, foreignChain) == nil
			f.stageTimes.retaining += time.Since(began)
			return retained
		}
	}
	result := f.serveStream(ctx, rec)
	if !retained {
		f.settleInBackground(rec)
	}
	return result
}

// unreserved is the end of a turn that could not be reserved.
func (f *inFlightCall) refuseTurn(err error) Result {
	result := refused(TurnsUnavailable, turnsUnavailableRetryAfter)
	switch {
	case errors.Is(err, ErrBudgetExhausted):
		result = refused(BudgetExhausted, 0)
	case errors.Is(err, ErrNoSuchTurn):
		result = refused(NoSuchTurn, 0)
	case errors.Is(err, ErrIsolated):
		result.RetryAfter = max(minIsolatedRetryAfter, balancerFailoverTime-f.gateway.settings.IsolatedFor())
	}
	result.Cause = err
	return result
}

// chainBody is what a replica receives: for each turn of the chain its input
// and the data of its events, each followed by a line feed, then the new input.
func joinChain(chain []Turn, input []byte) []byte {
	if len(chain) == 0 {
		return input
	}
	var b bytes.Buffer
	for i := range chain {
		b.Write(chain[i].Input)
		for _, data := range chain[i].Events {
			b.Write(data)
			b.WriteByte('\n')
		}
	}
	b.Write(input)
	return b.Bytes()
}

// ending settles the turn by what it made.
func (f *inFlightCall) newSettlement(rec *streamRecord) Settlement {
	settlement := Settlement{
		Customer:     f.customerName(),
		Program:      f.call.Program.ID,
		Turn:         f.call.ID,
		OutputTokens: rec.eventCount * f.tokensPerEvent(),
		Retention:    f.route.Retention,
	}
	if rec.eventCount > 0 {
		settlement.Replica = f.lastReplica
	}
	return settlement
}

// keep settles a whole turn and keeps it, after the chain that it continued.
func (f *inFlightCall) retainTurn(ctx context.Context, rec *streamRecord, chain []Turn) error {
	settlement := f.newSettlement(rec)
	settlement.RetainedTurn = &Turn{ID: f.call.ID, Previous: f.call.Previous, Input: f.call.Body, Events: rec.eventData, Ended: time.Now(), Replica: f.lastReplica}
	settlement.Chain = chain
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), retainTimeout)
	defer cancel()
	return f.gateway.turns.Settle(ctx, settlement)
}

// settleLater gives back what a turn that is not kept did not use. The caller
// does not wait for it.
func (f *inFlightCall) settleInBackground(rec *streamRecord) {
	settlement := f.newSettlement(rec)
	f.gateway.pendingSettlements.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		if err := f.gateway.turns.Settle(ctx, settlement); err != nil {
			f.gateway.logger.WithError(err).WithField("request", f.call.ID).WithField("program", settlement.Program).Warn("reservation not settled")
		}
	})
}

// Drain waits until the turns that ended are settled, or ctx ends: what an instance
// that stops has not settled counts as spent, and its programs are refused too soon.
func (g *Gateway) Drain(ctx context.Context) {
	settled := make(chan struct{})
	go func() {
		g.pendingSettlements.Wait()
		close(settled)
	}()
	select {
	case <-settled:
	case <-ctx.Done():
	}
}
