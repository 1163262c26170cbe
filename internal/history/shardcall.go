package history

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/gateway"
	"foxhall/internal/history/historypb"
)

// shardCall is a request to a shard's primary, over all calls to keepers until one of them fulfils it.
type shardCall struct {
	client  *Client
	shardID uint32
	call    func(context.Context, historypb.Keeper) callOutcome
	trail   callTrail
}

// callShard calls the shard's primary, and then its backups, until one of them gives a result or
// the timeout passes. A keeper that names a newer primary has that one called next. With failFast it
// fails at once if this instance is cut off from the keepers.
func (c *Client) callShard(ctx context.Context, shardID uint32, timeout time.Duration, failFast bool, call func(context.Context, historypb.Keeper) callOutcome) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s := &shardCall{client: c, shardID: shardID, call: call}
	for ctx.Err() == nil {
		role := c.roleOf(shardID)
		outcomes := s.callHolders(ctx, &role)
		if outcomes[outcomeDone] {
			return nil
		}
		if failFast && c.isCutOff(outcomes, &s.trail) {
			return c.refusedError(gateway.ErrIsolated, shardID, s.trail)
		}
		if c.roleOf(shardID).Epoch <= role.Epoch {
			sleep(ctx, retryInterval)
		}
	}
	return c.refusedError(ErrNoKeeperResult, shardID, s.trail)
}

// callHolders calls the holders of a role in turn, until one of them gives a result or a newer role is known. If
// none of them answers, another keeper is asked, which may know a newer one. It returns the set of the outcomes.
func (s *shardCall) callHolders(ctx context.Context, role *ShardAssignment) map[callOutcome]bool {
	outcomes := map[callOutcome]bool{}
	for _, name := range role.holders() {
		if name == "" {
			continue // no holder is known yet
		}
		o := s.callOne(ctx, name, role.Epoch)
		outcomes[o] = true
		if o == outcomeDone || s.client.roleOf(s.shardID).Epoch > role.Epoch {
			return outcomes
		}
	}
	if hasAnswer(outcomes) {
		return outcomes
	}
	for _, name := range s.client.othersToAsk(s.shardID, role) {
		o := s.callOne(ctx, name, role.Epoch)
		outcomes[o] = true
		if o.isAnswer() {
			break
		}
	}
	return outcomes
}

// callOne calls one keeper.
func (s *shardCall) callOne(ctx context.Context, name string, epoch uint64) callOutcome {
	keeper, ok := s.client.keepers.Keeper(name)
	if !ok {
		s.trail.record(name, outcomeUnreachable, 0)
		return outcomeUnreachable
	}
	began := time.Now()
	o := s.client.callKeeper(ctx, &pendingCall{shard: s.shardID, keeper: name, epoch: epoch}, keeper, s.call)
	s.trail.record(name, o, time.Since(began))
	return o
}

// hasAnswer reports whether a keeper answered.
func hasAnswer(outcomes map[callOutcome]bool) bool {
	for o := range outcomes {
		if o.isAnswer() {
			return true
		}
	}
	return false
}

// othersToAsk returns the known keepers that do not hold a shard in the role, in another order each time, or none if
// they were asked for the shard's holders within the retry interval: what one call learns, all others know.
func (c *Client) othersToAsk(shardID uint32, role *ShardAssignment) []string {
	if !c.mayAskOthers(shardID, time.Now()) {
		return nil
	}
	a, _ := c.assignment()
	others := slices.DeleteFunc(slices.Collect(maps.Keys(a.Holders())), role.hasHolder)
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others
}

// mayAskOthers reports whether the retry interval has passed since the last time that it did, and begins a new one.
func (c *Client) mayAskOthers(shardID uint32, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.othersAsked[shardID]) < retryInterval {
		return false
	}
	c.othersAsked[shardID] = now
	return true
}

// isCutOff reports whether this instance can't reach a keeper that is in touch with others: it reaches no other data
// centre, or only keepers that are isolated, too. A keeper that is isolated by itself is replaced by another one.
// Where none is reached at all, they may all be starting.
func (c *Client) isCutOff(outcomes map[callOutcome]bool, trail *callTrail) bool {
	if c.keepers.Isolated() {
		return true
	}
	if !outcomes[outcomeIsolated] {
		return false
	}
	a, _ := c.assignment()
	for name := range a.Holders() {
		if _, ok := c.keepers.Keeper(name); ok && trail.last(name) != outcomeIsolated {
			return false
		}
	}
	return true
}

func (c *Client) refusedError(cause error, shardID uint32, trail callTrail) *RefusedError {
	return &RefusedError{cause: cause, shard: shardID, role: c.roleOf(shardID), calls: trail}
}

// The causes for which a call to a keeper is cancelled.
var (
	errKeeperSilent   = errors.New("history: the keeper became unresponsive")
	errKeeperReplaced = errors.New("history: the keeper is not the primary of the shard any more")
)

// untilSilent returns the context of one call to a keeper. It is cancelled after callTimeout, and if the
// keeper becomes unresponsive.
func (c *Client) untilSilent(ctx context.Context, keeper string) (context.Context, context.CancelCauseFunc) {
	ctx, cancelTimeout := context.WithTimeout(ctx, callTimeout)
	ctx, cancel := context.WithCancelCause(ctx)
	stop := c.keepers.OnSilence(keeper, func() { cancel(errKeeperSilent) })
	return ctx, func(cause error) {
		stop()
		cancel(cause)
		cancelTimeout()
	}
}

// failureOutcome returns the outcome of a call that failed. parent is the context that the call's own, ctx, derives from.
func failureOutcome(parent, ctx context.Context) callOutcome {
	switch cause := context.Cause(ctx); {
	case parent.Err() != nil:
		return outcomeGivenUp
	case errors.Is(cause, errKeeperSilent):
		return outcomeSilent
	case errors.Is(cause, errKeeperReplaced):
		return outcomeReplaced
	case cause != nil:
		return outcomeTimedOut
	}
	return outcomeRetry
}

// callKeeper calls one keeper. The call is cancelled if the keeper becomes unresponsive or is
// replaced: the next holder shows sooner which keeper replaced it.
func (c *Client) callKeeper(parent context.Context, p *pendingCall, k historypb.Keeper, call func(context.Context, historypb.Keeper) callOutcome) callOutcome {
	ctx, cancel := c.untilSilent(parent, p.keeper)
	defer cancel(nil)
	p.cancel = cancel
	c.mu.Lock()
	c.pending[p] = struct{}{}
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.pending, p)
	}()
	outcome := call(ctx, k)
	if outcome == outcomeRetry {
		outcome = failureOutcome(parent, ctx)
	}
	return outcome
}

// AssignmentChanged cancels the calls to keepers that are no longer the primary of their shard.
//
// It prevents the following failure: a keeper fails, and calls to it wait for their timeout long
// after its shards were assigned to others. In a fleet of a thousand instances the silence of one
// keeper shows only after seconds.
func (c *Client) AssignmentChanged() {
	a, _ := c.assignment()
	c.mu.Lock()
	defer c.mu.Unlock()
	for p := range c.pending {
		if role := &a.Shards[p.shard]; role.Epoch > p.epoch && role.Primary != p.keeper {
			p.cancel(errKeeperReplaced)
		}
	}
}
