package history

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/gateway"
)

// longTurn reserves a turn of a program with a budget of 100 tokens and a retention of a minute, lets it
// run, and retains it, as the gateway does.
func longTurn(c *Client, turn, previous string, tokens int, runs time.Duration) error {
	const retention = time.Minute
	ctx := context.Background()
	reserved, err := c.Reserve(ctx, gateway.Reservation{
		Customer: "one", Program: "p", Turn: turn, Previous: previous, MaxOutputTokens: tokens, Budget: 100,
		Deadline: time.Now().Add(runs), Retain: true, Retention: retention,
	})
	if err != nil {
		return err
	}
	time.Sleep(runs)
	settlement := gateway.Settlement{
		Customer: "one", Program: "p", Turn: turn, OutputTokens: tokens, Retention: retention,
		RetainedTurn: &gateway.Turn{ID: turn, Previous: previous, Input: []byte(turn), Ended: time.Now()},
	}
	if reserved.CarryChain {
		settlement.Chain = reserved.Chain
	}
	return c.Settle(ctx, settlement)
}

// Guards against a retained turn without its chain: the turn runs for longer than the one that it
// continues is retained.
func TestChainOutlivesALongTurn(t *testing.T) {
	testOnFourKeepers(t, func(cl *cluster, fail func(error)) {
		c := cl.client("entry")
		fail(longTurn(c, "first", "", 1, time.Second))
		fail(longTurn(c, "second", "first", 1, time.Second))
		time.Sleep(55 * time.Second)
		fail(longTurn(c, "third", "second", 1, 2*time.Minute))
		time.Sleep(55 * time.Second)
		reserved, err := c.Reserve(context.Background(), gateway.Reservation{Customer: "one", Program: "p", Turn: "last", Previous: "third", MaxOutputTokens: 1, Budget: 100})
		fail(err)
		if len(reserved.Chain) != 3 {
			fail(errors.Errorf("chain of %d turns, want 3", len(reserved.Chain)))
		}
	})
}
