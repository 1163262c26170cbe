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
	// settleTime bounds the keeping of a turn past the caller's deadline.
	settleTime = 2 * time.Second
)

// turn serves a turn of a program: within the program's tokens, after its
// chain, and kept before its answer ends.
func (f *flight) turn(ctx context.Context) Result {
	reservation := Reservation{
		Program:  f.call.Program.ID,
		Turn:     f.call.ID,
		Previous: f.call.Previous,
		Most:     f.call.MaxOutput,
		Budget:   f.call.Program.Budget,
		Deadline: f.deadline,

		Kept:      f.route.KeepsTurns,
		Retention: f.route.Retention,
	}
	reserved, err := f.gateway.turns.Reserve(ctx, reservation)
	switch {
	case errors.Is(err, ErrBudgetSpent):
		return refused(BudgetSpent, 0)
	case errors.Is(err, ErrNoSuchTurn):
		return refused(NoSuchTurn, 0)
	case errors.Is(err, ErrIsolated):
		return refused(TurnsUnreached, max(isolatedLeast, movedAfter-f.gateway.settings.CutOffFor()))
	case err != nil:
		return refused(TurnsUnreached, unreachedAfter)
	}
	f.home = reserved.Replica
	f.body = chainBody(reserved.Chain, f.call.Body)
	rec := &record{keep: f.route.KeepsTurns}
	var foreign []Turn
	if reserved.Foreign {
		foreign = reserved.Chain
	}
	settled := false
	rec.settle = func() bool {
		settled = true
		return f.settle(ctx, rec, foreign, true) == nil
	}
	result := f.stream(ctx, rec)
	if !settled {
		f.settleLater(rec)
	}
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

func (f *flight) settle(ctx context.Context, rec *record, chain []Turn, complete bool) error {
	e := Ending{
		Program:   f.call.Program.ID,
		Turn:      f.call.ID,
		Made:      rec.events * f.tokensPerEvent(),
		Retention: f.route.Retention,
	}
	if rec.events > 0 {
		e.Replica = f.replica
	}
	if complete && rec.keep {
		e.Kept = &Turn{ID: f.call.ID, Previous: f.call.Previous, Input: f.call.Body, Events: rec.data, Ended: time.Now(), Replica: f.replica}
		e.Chain = chain
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTime)
	defer cancel()
	return f.gateway.turns.Settle(ctx, e)
}

// settleLater gives back what a turn that ended early did not use. The caller
// does not wait for it.
func (f *flight) settleLater(rec *record) {
	go func() {
		if err := f.settle(context.Background(), rec, nil, false); err != nil {
			f.gateway.logger.WithError(err).WithField("request", f.call.ID).Warn("reservation not settled")
		}
	}()
}
