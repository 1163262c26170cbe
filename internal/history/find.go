package history

import (
	"context"
	"maps"
	"slices"
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
	chain, _, err := c.search(ctx, customer, turn, reserveTimeout)
	return chain, err
}

// search is findChain, and tells what the keepers answered. All keepers are asked at the same time, each again
// until its shards are known to lack the turn: one that is slow delays no answer of another.
//
// The turn is certainly absent only if the primary of each shard has confirmed that.
func (c *Client) search(ctx context.Context, customer, turn string, timeout time.Duration) (chain []*historypb.Turn, trail searchTrail, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s := &chainSearch{client: c, request: &historypb.FindRequest{Turn: turn, Customer: &customer}, absent: map[uint32]bool{}, gaps: map[uint32]*historypb.Gap{}, asked: map[string]time.Time{}, answers: make(chan findAnswer)}
	began := time.Now()
	defer func() {
		s.recordUnanswered()
		s.trail.took, s.trail.absent = time.Since(began), len(s.absent)
		trail = s.trail
	}()
	retry := time.NewTicker(retryInterval)
	defer retry.Stop()
	for {
		if c.keepers.Isolated() {
			return nil, trail, gateway.ErrIsolated
		}
		s.askAll(ctx)
		select {
		case answer := <-s.answers:
			if found := s.take(answer); found != nil {
				return found, trail, nil
			}
			if len(s.absent) == ShardCount {
				return nil, trail, newTurnNotFoundError(turn, s.gaps)
			}
		case <-retry.C:
			s.resting = nil
		case <-ctx.Done():
			return nil, trail, ErrNoKeeperResult
		}
	}
}

// chainSearch is a look-up of a turn in all shards. Only the goroutine that searches uses it.
type chainSearch struct {
	client  *Client
	request *historypb.FindRequest
	// absent are the shards that certainly lack the turn, gaps what they know of it.
	absent map[uint32]bool
	gaps   map[uint32]*historypb.Gap
	// asked are the keepers that have not answered, with the time of the call.
	asked map[string]time.Time
	// resting are the keepers that have answered since the last tick of the retry interval.
	resting []string
	answers chan findAnswer
	trail   searchTrail
}

// findAnswer is how the call to one keeper ended. response is nil if it failed.
type findAnswer struct {
	keeper   string
	response *historypb.FindResponse
	outcome  callOutcome
}

// askAll asks the keepers of the shards that may have the turn, unless they are being asked.
func (s *chainSearch) askAll(ctx context.Context) {
	for _, name := range s.client.holdersToAsk(s.absent) {
		if _, pending := s.asked[name]; pending || slices.Contains(s.resting, name) {
			continue
		}
		keeper, ok := s.client.keepers.Keeper(name)
		if !ok {
			s.trail.calls.record(name, outcomeUnreachable, 0)
			s.resting = append(s.resting, name)
			continue
		}
		s.asked[name] = time.Now()
		go func() {
			response, outcome := s.client.find(ctx, name, keeper, s.request)
			select {
			case s.answers <- findAnswer{keeper: name, response: response, outcome: outcome}:
			case <-ctx.Done():
			}
		}()
	}
}

// take records an answer, and returns the chain if the answer has it.
func (s *chainSearch) take(a findAnswer) []*historypb.Turn {
	s.trail.calls.record(a.keeper, a.outcome, time.Since(s.asked[a.keeper]))
	delete(s.asked, a.keeper)
	s.resting = append(s.resting, a.keeper)
	if a.response == nil {
		return nil
	}
	if len(a.response.Chain) > 0 && ownsChain(a.response.Chain, s.request.Customer) {
		return a.response.Chain
	}
	for _, shard := range a.response.Absent {
		s.absent[shard] = true
	}
	for _, g := range a.response.Gaps {
		s.gaps[g.Slice] = g
	}
	return nil
}

// recordUnanswered records the calls that are under way as the search ends.
func (s *chainSearch) recordUnanswered() {
	for _, name := range slices.Sorted(maps.Keys(s.asked)) {
		s.trail.calls.record(name, outcomeGivenUp, time.Since(s.asked[name]))
	}
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
