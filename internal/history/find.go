package history

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/gateway"
	"foxhall/internal/history/historypb"
)

// afterSearch adds a look-up of a turn to the error for which its reservation was refused.
func (c *Client) afterSearch(err error, shardID uint32, search searchTrail) error {
	var refused *RefusedError
	switch {
	case errors.As(err, &refused):
	case errors.Is(err, gateway.ErrIsolated), errors.Is(err, ErrNoKeeperResult):
		refused = c.refusedError(err, shardID, nil)
	default:
		return err
	}
	refused.search = search
	return refused
}

// findChain looks a turn up in all shards, since a program may continue a turn of another program.
func (c *Client) findChain(ctx context.Context, customer, turn string) ([]*historypb.Turn, error) {
	chain, _, err := c.search(ctx, customer, turn)
	return chain, err
}

// search is findChain, and returns what the keepers answered.
// The turn is certainly absent only if the primary of each shard has confirmed that.
func (c *Client) search(ctx context.Context, customer, turn string) (chain []*historypb.Turn, trail searchTrail, err error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	absent, gaps := map[uint32]bool{}, map[uint32]*historypb.Gap{}
	began := time.Now()
	defer func() { trail.took, trail.absent = time.Since(began), len(absent) }()
	for ctx.Err() == nil {
		if c.keepers.Isolated() {
			return nil, trail, gateway.ErrIsolated
		}
		for _, name := range c.holdersToAsk(absent) {
			keeper, ok := c.keepers.Keeper(name)
			if !ok {
				trail.calls.record(name, outcomeUnreachable, 0)
				continue
			}
			asked := time.Now()
			response, outcome := c.find(ctx, name, keeper, &historypb.FindRequest{Turn: turn, Customer: &customer})
			trail.calls.record(name, outcome, time.Since(asked))
			if response == nil {
				continue
			}
			if len(response.Chain) > 0 && ownsChain(response.Chain, &customer) {
				return response.Chain, trail, nil
			}
			for _, s := range response.Absent {
				absent[s] = true
			}
			for _, g := range response.Gaps {
				gaps[g.Slice] = g
			}
		}
		if len(absent) == ShardCount {
			return nil, trail, newTurnNotFoundError(turn, gaps)
		}
		sleep(ctx, retryInterval)
	}
	return nil, trail, ErrNoKeeperResult
}

// find asks one keeper for a turn. Another keeper may have it if this one is silent.
func (c *Client) find(parent context.Context, name string, k historypb.Keeper, r *historypb.FindRequest) (*historypb.FindResponse, callOutcome) {
	ctx, cancel := c.untilSilent(parent, name)
	defer cancel(nil)
	response, err := k.Find(ctx, r)
	if err != nil {
		c.logger.WithError(err).WithField("keeper", name).WithField("request", r.Turn).Debug("keeper failed to look up a turn")
		return nil, failureOutcome(parent, ctx)
	}
	switch {
	case len(response.Chain) > 0:
		return response, outcomeDone
	case len(response.Absent) == 0:
		return response, outcomeUnconfirmed
	default:
		return response, outcomeAbsent
	}
}
