package gateway

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/buffer"
)

const (
	// turnsUnavailableRetryAfter is the retry delay while the keepers of turns are changing, which
	// takes about a second.
	turnsUnavailableRetryAfter = 400 * time.Millisecond
	// balancerFailoverTime is the time from the start of a network partition until the load
	// balancer sends callers to other data centres: it probes every second and removes a data
	// centre after two failed probes.
	balancerFailoverTime = 2600 * time.Millisecond
	// minIsolatedRetryAfter is the shortest retry delay given to callers of an isolated data centre.
	minIsolatedRetryAfter = 100 * time.Millisecond
	// retainTimeout is the least time for the retaining of a turn, also past the call's deadline.
	retainTimeout = 2 * time.Second
	// settleTimeout bounds the settlement of a turn in the background. It is longer than most
	// outages; a turn that is not settled by then counts as spent.
	settleTimeout = 20 * time.Second
)

// serveTurn serves a turn of a program: it reserves the turn's tokens, sends the chain with the
// new input, and retains the turn before the response ends.
func (f *inFlightCall) serveTurn(ctx context.Context) Result {
	var reserved Reserved
	attempt := f.beginAttempt()
	defer attempt.record.End()
	refusal := f.awaitWhileAccepted(ctx, func(ctx context.Context) (refusal *Result) {
		reserved, refusal = f.reserveTurn(ctx, attempt)
		return refusal
	})
	if refusal != nil {
		return *refusal
	}
	rec := &streamRecord{retainData: f.route.RetainsTurns, hold: f.hold, output: attempt.record}
	refusal = f.awaitWhileAccepted(ctx, func(ctx context.Context) *Result {
		return f.restoreOutput(ctx, attempt, reserved, rec)
	})
	if refusal != nil {
		f.settleInBackground(&streamRecord{})
		return *refusal
	}
	f.lastUpstream = reserved.LastUpstream
	if err := f.hold.Grow(buffer.Prompt, chainSize(reserved.Chain)); err != nil {
		f.settleInBackground(&streamRecord{})
		result := refused(BuffersFull, buffersFullRetryAfter)
		result.Cause = err
		return result
	}
	if len(reserved.Chain) > 0 {
		f.setBody(joinChain(reserved.Chain, f.call.Body))
	}
	var carriedChain []Turn
	if reserved.CarryChain {
		carriedChain = reserved.Chain
	} else {
		// From here on the chain is held as a part of the body alone.
		f.hold.Shrink(buffer.Prompt, joinedSize(reserved.Chain))
		reserved.Chain = nil
	}
	retained := false
	if rec.retainData {
		// Only a retained turn is settled before its response ends. Any other turn counts as
		// spent until it is settled, so that its caller need not wait.
		rec.settle = func() bool {
			began := time.Now()
			retained = f.retainTurn(ctx, rec, carriedChain) == nil
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

// reserveTurn reserves the turn's tokens. It returns the call's result if it can't.
func (f *inFlightCall) reserveTurn(ctx context.Context, attempt turnAttempt) (Reserved, *Result) {
	reservation := Reservation{
		Customer:        f.customerName(),
		Program:         f.call.Program.ID,
		Turn:            f.call.ID,
		Previous:        f.call.Previous,
		MaxOutputTokens: f.call.MaxOutputTokens,
		Budget:          f.call.Program.Budget,
		Deadline:        f.deadline,

		Retain:    f.route.RetainsTurns,
		Retention: f.route.Retention,

		Attempt:     attempt.listed,
		AttemptLife: attempt.life,
	}
	began := time.Now()
	reserved, err := f.gateway.turns.Reserve(ctx, reservation)
	f.stageTimes.reserving += time.Since(began)
	if err != nil {
		result := f.refuseTurn(err)
		return Reserved{}, &result
	}
	return reserved, nil
}

// refuseTurn returns the result of a turn that could not be reserved.
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

// chainSize returns the number of bytes of a chain, as it is held and as it is sent.
func chainSize(chain []Turn) int { return 2 * joinedSize(chain) }

// joinedSize returns the number of bytes of a chain as it is sent.
func joinedSize(chain []Turn) int {
	size := 0
	for i := range chain {
		size += len(chain[i].Input)
		for _, data := range chain[i].Events {
			size += len(data) + 1
		}
	}
	return size
}

// joinChain returns the request body of a turn: for each turn of the chain its input and the data
// of its events, each followed by a line feed, then the new input.
func joinChain(chain []Turn, input []byte) []byte {
	var b bytes.Buffer
	b.Grow(joinedSize(chain) + len(input))
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

// newSettlement returns the settlement of the turn by its output so far.
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

// retainTurn settles a complete turn and stores it, with the chain that it continues.
func (f *inFlightCall) retainTurn(ctx context.Context, rec *streamRecord, chain []Turn) error {
	settlement := f.newSettlement(rec)
	settlement.RetainedTurn = &Turn{ID: f.call.ID, Previous: f.call.Previous, Input: f.call.Body, Events: rec.eventData, Ended: time.Now(), Replica: f.lastReplica}
	settlement.Chain = chain
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(retainTimeout, time.Until(f.deadline)))
	defer cancel()
	return f.gateway.turns.Settle(ctx, settlement)
}

// settleInBackground returns the unused tokens of a turn that was not retained. The caller does not
// wait for it.
func (f *inFlightCall) settleInBackground(rec *streamRecord) {
	settlement := f.newSettlement(rec)
	f.gateway.pendingSettlements.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		if err := f.gateway.turns.Settle(ctx, settlement); err != nil {
			f.gateway.logger.WithError(err).WithField("request", f.call.ID).WithField("program", settlement.Program).Warn("turn not settled; its whole reservation counts as spent")
		}
	})
}

// Drain waits until all ended turns are settled, or ctx ends. Turns that an instance leaves
// unsettled when it stops count as spent, so that their programs are refused too early.
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
