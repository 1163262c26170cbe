package history

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"foxhall/internal/gateway"
	"foxhall/internal/history/historypb"
)

const (
	// callTimeout bounds one call to a keeper, which waits for the commit of the change.
	callTimeout = 900 * time.Millisecond
	// reserveTimeout bounds all attempts of a reservation for a caller whose time is short or unknown. A
	// reassignment takes about a second, and a caller that is refused sooner would retry during it.
	reserveTimeout = 1800 * time.Millisecond
	// maxReserveTimeout bounds them for any other caller, which waits here for up to half of its time: another
	// entry may reach the keepers, and the turn is yet to run.
	maxReserveTimeout = 5 * time.Second
	// retryInterval is the pause between two attempts.
	retryInterval = 60 * time.Millisecond
	// releaseTimeout bounds the attempts to settle a turn or to release an unused reservation. A
	// reservation that is not released by then counts as spent.
	releaseTimeout = 20 * time.Second
)

// ErrNoKeeperResult indicates that no keeper of the shard gave a result in time.
var ErrNoKeeperResult = errors.New("history: no keeper of the shard gave a result in time")

// Keepers calls keepers by name.
type Keepers interface {
	// Keeper returns false for an unreachable keeper.
	Keeper(name string) (historypb.Keeper, bool)
	// OnSilence arranges that f is called if the keeper becomes unresponsive before stop is called.
	OnSilence(name string, f func()) (stop func())
	// Isolated reports whether this instance reaches no other data centre, so that it can't get
	// changes committed.
	Isolated() bool
}

// Client reserves and settles turns at the keepers. It is safe for concurrent use.
type Client struct {
	keepers Keepers
	// assignment returns the newest known assignment; false before the first.
	assignment func() (Assignment, bool)
	allowances *allowances
	logger     log.Interface
	// releases are the unused reservations that are being released.
	releases sync.WaitGroup
	// settlements are the settlements and releases under way.
	settlements *settlements

	mu sync.Mutex
	// observedRoles are the roles from responses of keepers, which may be newer than the
	// assignment.
	observedRoles [ShardCount]ShardAssignment
	// othersAsked is when keepers that do not hold a shard were last asked for its holders.
	othersAsked [ShardCount]time.Time
	// pending are the calls to keepers in flight.
	pending map[*pendingCall]struct{}
}

// pendingCall is a call to a keeper in flight, with the epoch of the role by which the keeper was
// chosen.
type pendingCall struct {
	shard  uint32
	keeper string
	epoch  uint64
	cancel context.CancelCauseFunc
}

var _ gateway.Turns = (*Client)(nil)

// NewClient returns a client.
func NewClient(keepers Keepers, assignment func() (Assignment, bool), logger log.Interface) *Client {
	return &Client{keepers: keepers, assignment: assignment, allowances: newAllowances(), logger: logger, settlements: newSettlements(), pending: map[*pendingCall]struct{}{}}
}

func (c *Client) roleOf(shardID uint32) ShardAssignment {
	a, _ := c.assignment()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.observedRoles[shardID].Epoch > a.Shards[shardID].Epoch {
		return c.observedRoles[shardID]
	}
	return a.Shards[shardID]
}

// observeRole records a shard's role from the response of a keeper.
func (c *Client) observeRole(shardID uint32, r *historypb.Role) {
	if r == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Epoch > c.observedRoles[shardID].Epoch {
		c.observedRoles[shardID] = ShardAssignment{Ensemble: Ensemble{Epoch: r.Epoch, Primary: r.Primary, Backups: r.Partners}}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Reserve implements gateway.Turns.
func (c *Client) Reserve(ctx context.Context, r gateway.Reservation) (gateway.Reserved, error) {
	if c.allowances.beginTurn(r, time.Now()) {
		return gateway.Reserved{}, nil
	}
	reserved, err := c.reserveAtKeepers(ctx, r)
	if err == nil && !r.Retain && r.Budget >= minBudgetTurns*r.MaxOutputTokens {
		c.refill(c.allowances.getOrCreate(r, time.Now()))
	}
	return reserved, err
}

// minBudgetTurns is the number of turns of the largest output that a budget must cover for an
// allowance to be drawn; the keepers grant at most half of the budget.
const minBudgetTurns = 4 * targetAllowanceTurns

func (c *Client) reserveAtKeepers(ctx context.Context, r gateway.Reservation) (gateway.Reserved, error) {
	request := &historypb.ReserveRequest{
		Slice:       ShardOf(r.Program),
		Program:     r.Program,
		Customer:    &r.Customer,
		Turn:        r.Turn,
		Previous:    r.Previous,
		Most:        int64(r.MaxOutputTokens),
		Budget:      int64(r.Budget),
		RetentionMs: accountRetention(r, time.Now()).Milliseconds(),

		Attempt:       encodeAttempt(r.Attempt, r.AttemptLife),
		TellsAttempts: true,
	}
	response, err := c.reserveAfterSettlements(ctx, request, r.Deadline)
	if err != nil {
		return gateway.Reserved{}, err
	}
	if !ownsChain(response.Chain, &r.Customer) {
		c.releaseReservation(request)
		return gateway.Reserved{}, gateway.ErrNoSuchTurn
	}
	if response.Verdict != historypb.Verdict_NO_TURN {
		return gateway.Reserved{
			Chain: decodeTurns(response.Chain), CarryChain: mayExpireBefore(response.Chain, r.Deadline), LastUpstream: response.Replica,
			Attempts: decodeAttempts(response.Attempts), AttemptsComplete: response.AttemptsComplete,
		}, verdictError(response.Verdict)
	}
	chain, search, err := c.search(ctx, r.Customer, r.Previous, reserveTimeoutFor(r.Deadline))
	if errors.Is(err, gateway.ErrNoSuchTurn) && c.mayHaveLost(r.Retention, time.Now()) {
		err = ErrNoKeeperResult
	}
	if err != nil {
		return gateway.Reserved{}, c.afterSearch(err, request.Slice, search)
	}
	request.Foreign = true
	response, err = c.reserveAfterSettlements(ctx, request, r.Deadline)
	if err != nil {
		return gateway.Reserved{}, c.afterSearch(err, request.Slice, search)
	}
	reserved := gateway.Reserved{
		Chain: decodeTurns(chain), CarryChain: true, LastUpstream: response.Replica,
		Attempts: decodeAttempts(response.Attempts), AttemptsComplete: response.AttemptsComplete,
	}
	if last := chain[len(chain)-1]; last.Replica != "" {
		reserved.LastUpstream = last.Replica
	}
	return reserved, verdictError(response.Verdict)
}

// mayHaveLost reports whether a turn that no shard has may have been retained for the time and lost with its disks. The
// keepers know the retention of no turn that they lost.
func (c *Client) mayHaveLost(retention time.Duration, now time.Time) bool {
	a, _ := c.assignment()
	return slices.ContainsFunc(a.Shards[:], func(r ShardAssignment) bool { return r.mayLack(retention, now) })
}

// accountRetention returns how long the keepers keep the program's account after the reservation: the
// turn may run until its deadline, and the retention begins at its end. The attempts at a turn are a part of it.
func accountRetention(r gateway.Reservation, now time.Time) time.Duration {
	return max(r.Retention+max(0, r.Deadline.Sub(now)), r.AttemptLife)
}

// ownsChain reports whether the customer may continue all turns of the chain. Keepers of an older
// version do not check this.
func ownsChain(chain []*historypb.Turn, customer *string) bool {
	return !slices.ContainsFunc(chain, func(t *historypb.Turn) bool { return !ownedBy(t, customer) })
}

// mayExpireBefore reports whether the keepers may remove the chain before a turn that continues it ends,
// at the latest at the deadline. The margin of their retention covers the settlement and their clocks.
func mayExpireBefore(chain []*historypb.Turn, deadline time.Time) bool {
	if len(chain) == 0 {
		return false
	}
	last := chain[len(chain)-1]
	return last.EndedUnixMs+last.RetentionMs < deadline.UnixMilli()
}

func verdictError(v historypb.Verdict) error {
	switch v {
	case historypb.Verdict_DONE:
		return nil
	case historypb.Verdict_SPENT:
		return gateway.ErrBudgetExhausted
	case historypb.Verdict_NO_TURN:
		return gateway.ErrNoSuchTurn
	default:
		return ErrNoKeeperResult
	}
}

// reserveTimeoutFor returns how long the keepers may be changing before a caller is refused.
func reserveTimeoutFor(deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return reserveTimeout
	}
	return min(max(reserveTimeout, time.Until(deadline)/2), maxReserveTimeout)
}

func (c *Client) reserve(ctx context.Context, r *historypb.ReserveRequest, timeout time.Duration) (*historypb.ReserveResponse, error) {
	var result *historypb.ReserveResponse
	err := c.callShard(ctx, r.Slice, timeout, true, func(ctx context.Context, k historypb.Keeper) callOutcome {
		response, err := k.Reserve(ctx, r)
		if err != nil {
			return outcomeRetry
		}
		c.observeRole(r.Slice, response.Role)
		result = response
		return outcomeOf(response.Verdict)
	})
	if err != nil {
		c.releaseReservation(r)
		return nil, err
	}
	return result, nil
}

// outcomeOf returns the outcome of a call by the keeper's verdict.
func outcomeOf(v historypb.Verdict) callOutcome {
	switch v {
	case historypb.Verdict_MOVED:
		return outcomeMoved
	case historypb.Verdict_NOT_NOW:
		return outcomeNotNow
	case historypb.Verdict_ISOLATED:
		return outcomeIsolated
	default:
		return outcomeDone
	}
}

// releaseReservation settles, in the background, a reservation that may have been made although no
// response arrived. The turn was not sent to any replica.
func (c *Client) releaseReservation(r *historypb.ReserveRequest) {
	settle := &historypb.SettleRequest{Slice: r.Slice, Program: r.Program, Customer: r.Customer, Turn: r.Turn}
	end := c.settlements.begin(recordKey(r.Customer, r.Program))
	c.releases.Go(func() {
		defer end()
		if err := c.settle(context.Background(), settle, releaseTimeout); err != nil {
			// The tokens stay counted as spent, which affects only this program.
			c.logger.WithError(err).WithField("request", r.Turn).WithField("program", r.Program).Warn("reservation not released; its tokens count as spent")
		}
	})
}

// Drain waits until all unused reservations are released, or ctx ends. No turn may begin any more.
func (c *Client) Drain(ctx context.Context) {
	released := make(chan struct{})
	go func() {
		c.releases.Wait()
		close(released)
	}()
	select {
	case <-released:
	case <-ctx.Done():
	}
}

// Settle implements gateway.Turns.
func (c *Client) Settle(ctx context.Context, e gateway.Settlement) error {
	if a, ok := c.allowances.settleTurn(e); ok {
		c.refill(a)
		return nil
	}
	request := &historypb.SettleRequest{
		Slice:       ShardOf(e.Program),
		Program:     e.Program,
		Customer:    &e.Customer,
		Turn:        e.Turn,
		Made:        int64(e.OutputTokens),
		RetentionMs: e.Retention.Milliseconds(),
		Replica:     e.Replica,
	}
	if e.RetainedTurn != nil {
		request.Kept = encodeTurn(e.RetainedTurn, &e)
	}
	for i := range e.Chain {
		request.Chain = append(request.Chain, encodeTurn(&e.Chain[i], &e))
	}
	return c.settleTurn(ctx, request)
}

func (c *Client) settle(ctx context.Context, r *historypb.SettleRequest, timeout time.Duration) error {
	return c.callShard(ctx, r.Slice, timeout, false, func(ctx context.Context, k historypb.Keeper) callOutcome {
		response, err := k.Settle(ctx, r)
		if err != nil {
			return outcomeRetry
		}
		c.observeRole(r.Slice, response.Role)
		switch response.Verdict {
		case historypb.Verdict_DONE, historypb.Verdict_MOVED, historypb.Verdict_NOT_NOW:
			return outcomeOf(response.Verdict)
		default:
			return outcomeRetry
		}
	})
}

// holdersToAsk returns the keepers of the shards that are not in absent.
func (c *Client) holdersToAsk(absent map[uint32]bool) []string {
	var names []string
	seen := map[string]bool{}
	for s := range uint32(ShardCount) {
		role := c.roleOf(s)
		if absent[s] {
			continue
		}
		for _, name := range role.holders() {
			if name != "" && !seen[name] {
				seen[name] = true
				names = append(names, name)
			}
		}
	}
	return names
}

func decodeTurns(wire []*historypb.Turn) []gateway.Turn {
	decoded := make([]gateway.Turn, 0, len(wire))
	for _, t := range wire {
		decoded = append(decoded, gateway.Turn{ID: t.Id, Previous: t.Previous, Input: t.Input, Events: t.Events, Ended: time.UnixMilli(t.EndedUnixMs), Replica: t.Replica})
	}
	return decoded
}

func encodeTurn(t *gateway.Turn, e *gateway.Settlement) *historypb.Turn {
	return &historypb.Turn{
		Id:          t.ID,
		Previous:    t.Previous,
		Input:       t.Input,
		Events:      t.Events,
		EndedUnixMs: t.Ended.UnixMilli(),
		RetentionMs: e.Retention.Milliseconds(),
		Replica:     t.Replica,
		Customer:    &e.Customer,
	}
}
