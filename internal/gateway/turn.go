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
	unreachedAfter = 400 * time.Millisecond
	// movedAfter is how long after the begin of a cut the balancer sends callers to
	// other data centres: it asks each second and leaves out after two misses.
	movedAfter = 2600 * time.Millisecond
	// isolatedLeast is the least time after which a caller may come again from a
	// data centre that is cut off.
	isolatedLeast = 100 * time.Millisecond
	// keepTime bounds the keeping of a turn past the caller's deadline.
	keepTime = 2 * time.Second
	// settleTime bounds the settling of a turn that nobody waits for: longer than
	// most outages, and after it the turn counts as spent.
	settleTime = 20 * time.Second
)

// turn serves a turn of a program: within the program's tokens, after its
// chain, and kept before its answer ends.
func (f *flight) turn(ctx context.Context) Result {
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
	f.stages.reserving += time.Since(began)
	if err != nil {
		return f.unreserved(err)
	}
	f.home = reserved.Replica
	f.body = chainBody(reserved.Chain, f.call.Body)
	rec := &record{keep: f.route.RetainsTurns}
	var foreign []Turn
	if reserved.ForeignChain {
		foreign = reserved.Chain
	}
	kept := false
	if rec.keep {
		// A turn that is not kept counts as spent until it is settled, so that its
		// caller need not wait for that.
		rec.settle = func() bool {
			began := time.Now()
			kept = f.keep(ctx, rec, foreign) == nil
			f.stages.keeping += time.Since(began)
			return kept
		}
	}
	result := f.stream(ctx, rec)
	if !kept {
		f.settleLater(rec)
	}
	return result
}

// unreserved is the end of a turn that could not be reserved.
func (f *flight) unreserved(err error) Result {
	result := refused(TurnsUnavailable, unreachedAfter)
	switch {
	case errors.Is(err, ErrBudgetExhausted):
		result = refused(BudgetExhausted, 0)
	case errors.Is(err, ErrNoSuchTurn):
		result = refused(NoSuchTurn, 0)
	case errors.Is(err, ErrIsolated):
		result.RetryAfter = max(isolatedLeast, movedAfter-f.gateway.settings.IsolatedFor())
	}
	result.Cause = err
	return result
}

// chainBody is what a replica receives: for each turn of the chain its input
// and the data of its events, each followed by a line feed, then the new input.
func chainBody(chain []Turn, input []byte) []byte {
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
func (f *flight) ending(rec *record) Settlement {
	e := Settlement{
		Customer:     f.customerName(),
		Program:      f.call.Program.ID,
		Turn:         f.call.ID,
		OutputTokens: rec.events * f.tokensPerEvent(),
		Retention:    f.route.Retention,
	}
	if rec.events > 0 {
		e.Replica = f.replica
	}
	return e
}

// keep settles a whole turn and keeps it, after the chain that it continued.
func (f *flight) keep(ctx context.Context, rec *record, chain []Turn) error {
	e := f.ending(rec)
	e.RetainedTurn = &Turn{ID: f.call.ID, Previous: f.call.Previous, Input: f.call.Body, Events: rec.data, Ended: time.Now(), Replica: f.replica}
	e.Chain = chain
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), keepTime)
	defer cancel()
	return f.gateway.turns.Settle(ctx, e)
}

// settleLater gives back what a turn that is not kept did not use. The caller
// does not wait for it.
func (f *flight) settleLater(rec *record) {
	e := f.ending(rec)
	f.gateway.settling.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTime)
		defer cancel()
		if err := f.gateway.turns.Settle(ctx, e); err != nil {
			f.gateway.logger.WithError(err).WithField("request", f.call.ID).WithField("program", e.Program).Warn("reservation not settled")
		}
	})
}

// Drain waits until the turns that ended are settled, or ctx ends: what an instance
// that stops has not settled counts as spent, and its programs are refused too soon.
func (g *Gateway) Drain(ctx context.Context) {
	settled := make(chan struct{})
	go func() {
		g.settling.Wait()
		close(settled)
	}()
	select {
	case <-settled:
	case <-ctx.Done():
	}
}
