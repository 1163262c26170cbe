package history

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"foxhall/internal/gateway"
	"foxhall/internal/history/historypb"
)

// longTurn reserves a turn of the program p with a budget of 100 tokens and a retention of a minute, lets
// it run, and retains it, as the gateway does.
func longTurn(c *Client, turn, previous string, tokens int, runs time.Duration) error {
	return longTurnOf(c, "p", turn, previous, tokens, runs)
}

func longTurnOf(c *Client, program, turn, previous string, tokens int, runs time.Duration) error {
	const retention = time.Minute
	ctx := context.Background()
	reserved, err := c.Reserve(ctx, gateway.Reservation{
		Customer: "one", Program: program, Turn: turn, Previous: previous, MaxOutputTokens: tokens, Budget: 100,
		Deadline: time.Now().Add(runs), Retain: true, Retention: retention,
	})
	if err != nil {
		return err
	}
	time.Sleep(runs)
	settlement := gateway.Settlement{
		Customer: "one", Program: program, Turn: turn, OutputTokens: tokens, Retention: retention,
		RetainedTurn: &gateway.Turn{ID: turn, Previous: previous, Input: []byte(turn), Ended: time.Now()},
	}
	if reserved.CarryChain {
		settlement.Chain = reserved.Chain
	}
	return c.Settle(ctx, settlement)
}

// Guards against chains that are lost after two restarts of all keepers: the first writes their logs anew,
// in any order, and the second reads them.
func TestChainsOutliveTwoRestartsOfAllKeepers(t *testing.T) {
	const programs = 40
	testOnFourKeepers(t, func(cl *cluster, fail func(error)) {
		c := cl.client("entry")
		turns := func(turn, previous string) {
			for i := range programs {
				name := fmt.Sprint("program-", i, "-")
				if previous == "" {
					fail(longTurnOf(c, name, name+turn, "", 1, 0))
					continue
				}
				fail(longTurnOf(c, name, name+turn, name+previous, 1, 0))
			}
		}
		turns("first", "")
		time.Sleep(50 * time.Second)
		turns("second", "first")
		for range 2 {
			for _, m := range cl.machines {
				m.stop()
			}
			for _, m := range cl.machines {
				m.restart()
			}
			time.Sleep(convergenceTime)
		}
		time.Sleep(31 * time.Second)
		turns("third", "second")
	})
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

// Guards against a budget that is granted twice: the keepers forget what a program spent while a turn of
// it runs for longer than their retention.
func TestBudgetOutlivesALongTurn(t *testing.T) {
	testOnFourKeepers(t, func(cl *cluster, fail func(error)) {
		c := cl.client("entry")
		fail(longTurn(c, "first", "", 60, time.Second))
		fail(longTurn(c, "second", "first", 20, 2*time.Minute))
		if err := longTurn(c, "third", "second", 40, time.Second); !errors.Is(err, gateway.ErrBudgetExhausted) {
			fail(errors.Errorf("120 of 100 tokens: got %v, want ErrBudgetExhausted", err))
		}
	})
}

// Guards against a budget that is granted twice: a turn on an allowance that is no longer known at the
// keepers when the turn ends must be reserved there.
func TestAllowanceCoversNoTurnThatOutlivesIt(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := newAllowances()
	reservation := gateway.Reservation{Program: "p", Turn: "t", MaxOutputTokens: 1, Budget: 100, Retention: time.Minute}
	a := s.getOrCreate(reservation, now)
	request, _ := s.nextDraw(a, now)
	s.completeDraw(a, request, 10)
	reservation.Deadline = now.Add(2 * time.Minute)
	is.True(!s.beginTurn(reservation, now))
	reservation.Deadline = now.Add(time.Minute)
	is.True(s.beginTurn(reservation, now))
}

// Guards against a holder without the beginning of a chain: it was cut off from the primary, and got a
// turn after it removed the one before.
func TestChainIsWholeAtABackupThatWasCutOff(t *testing.T) {
	testOnFourKeepers(t, func(cl *cluster, fail func(error)) {
		c := cl.client("entry")
		fail(longTurn(c, "first", "", 1, time.Second))
		time.Sleep(50 * time.Second)
		role := cl.roleOf("p")
		cut := role.Backups[len(role.Backups)-1]
		cl.setStoreUnavailable(true) // nobody can replace the backup
		cl.setLinkDown(role.Primary, cut, true)
		cl.setLinkDown(cut, role.Primary, true)
		fail(longTurn(c, "second", "first", 1, time.Second))
		time.Sleep(40 * time.Second)
		cl.setLinkDown(role.Primary, cut, false)
		cl.setLinkDown(cut, role.Primary, false)
		time.Sleep(2 * time.Second)
		if cl.roleOf("p").Epoch != role.Epoch {
			fail(errors.New("the shard was reassigned"))
		}
		k := cl.machine(cut).process.keeper
		k.mu.Lock()
		defer k.mu.Unlock()
		owner := "one"
		if _, gap := k.shards[ShardOf("p")].state.walkChain(&owner, "second"); gap != nil {
			fail(newTurnNotFoundError("second", map[uint32]*historypb.Gap{0: gap}))
		}
	})
}

// Guards against a new primary without the beginning of a chain: it listed a turn, removed it, and then
// got the turn that continues it from a holder that has that one alone.
func TestShardThatIsRecoveredKeepsWhatItListed(t *testing.T) {
	is := is.New(t)
	k := &Keeper{settings: Settings{Logger: &log.Logger{Handler: discard.Default}}}
	for i := range k.shards {
		k.shards[i] = &shard{id: uint32(i), state: newState(), recovering: i == 1}
		k.shards[i].state.addTurn(&historypb.Turn{Id: "t", Customer: customer("a")})
	}
	k.expire()
	for i, s := range k.shards {
		is.Equal(len(s.state.turns) == 1, i == 1)
	}
}
