package history

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"foxhall/internal/gateway"
	"foxhall/internal/history/historypb"
)

func customer(name string) *string { return &name }

// retainTurnFor runs a turn of 60 output tokens of the customer's program, with a budget of 100, and
// retains it.
func retainTurnFor(c *Client, customer, program, turn, previous string) error {
	ctx := context.Background()
	_, err := c.Reserve(ctx, gateway.Reservation{
		Customer: customer, Program: program, Turn: turn, Previous: previous, MaxOutputTokens: 60, Budget: 100, Retention: time.Hour,
	})
	if err != nil {
		return err
	}
	retained := &gateway.Turn{ID: turn, Previous: previous, Input: []byte(customer), Ended: time.Now()}
	return c.Settle(ctx, gateway.Settlement{Customer: customer, Program: program, Turn: turn, OutputTokens: 60, RetainedTurn: retained, Retention: time.Hour})
}

// Guards against a customer who reads another customer's conversation by naming its turn, in a
// program with the same id or another id, or without an API key.
func TestTurnOfAnotherCustomerIsNotContinued(t *testing.T) {
	testOnFourKeepers(t, func(cl *cluster, fail func(error)) {
		c := cl.client("entry")
		fail(retainTurnFor(c, "one", "p", "first", ""))
		for _, program := range []string{"p", "elsewhere"} {
			if err := retainTurnFor(c, "two", program, "stolen", "first"); !errors.Is(err, gateway.ErrNoSuchTurn) {
				fail(errors.Errorf("another customer's turn in program %s: got %v, want ErrNoSuchTurn", program, err))
			}
		}
		if err := retainTurnFor(c, "", "p", "stolen", "first"); !errors.Is(err, gateway.ErrNoSuchTurn) {
			fail(errors.Errorf("a customer's turn without a key: got %v, want ErrNoSuchTurn", err))
		}
	})
}

// Guards against a customer who spends another customer's tokens when both use the same program id
// and turn id.
func TestCustomersWithSameProgramIDHaveSeparateAccounts(t *testing.T) {
	testOnFourKeepers(t, func(cl *cluster, fail func(error)) {
		c := cl.client("entry")
		fail(retainTurnFor(c, "one", "p", "t", ""))
		fail(retainTurnFor(c, "two", "p", "t", ""))
		if err := retainTurnFor(c, "two", "p", "more", "t"); !errors.Is(err, gateway.ErrBudgetExhausted) {
			fail(errors.Errorf("turn beyond the customer's own budget: got %v, want ErrBudgetExhausted", err))
		}
		reserved, err := c.Reserve(context.Background(), gateway.Reservation{
			Customer: "two", Program: "heir", Turn: "heir", Previous: "t", MaxOutputTokens: 1, Budget: 10,
		})
		fail(err)
		if len(reserved.Chain) != 1 || string(reserved.Chain[0].Input) != "two" {
			fail(errors.Errorf("chain %v, want the one turn of customer two", reserved.Chain))
		}
	})
}

// Guards against an in-place upgrade that loses turns and spent tokens: keepers of older versions
// stored them without a customer.
func TestRecordsWithoutCustomerRemainValid(t *testing.T) {
	is := is.New(t)
	s, now := newState(), time.Now()
	s.settle(&historypb.SettleRequest{Program: "p", Turn: "old", Made: 60, Kept: &historypb.Turn{Id: "old"}}, now)
	_, ok := s.chain(customer("one"), "old")
	is.True(ok)
	verdict, _ := s.reserve(&historypb.ReserveRequest{Customer: customer("one"), Program: "p", Turn: "new", Most: 60, Budget: 100}, now)
	is.Equal(verdict, historypb.Verdict_SPENT)
	s.settle(&historypb.SettleRequest{Customer: customer("one"), Program: "p", Turn: "new", Kept: &historypb.Turn{Id: "new", Previous: "old", Customer: customer("one")}}, now)
	chain, ok := s.chain(customer("one"), "new")
	is.True(ok)
	is.Equal(len(chain), 2)
	_, ok = s.chain(customer("two"), "new")
	is.True(!ok)
}

// Guards against faults during an upgrade: an entry of the older version, which sends no customer,
// must find a turn that was retained through an upgraded entry, and must not get the program's
// tokens a second time.
func TestEntriesOfOlderVersionFindTurnsOfCustomers(t *testing.T) {
	is := is.New(t)
	s, now := newState(), time.Now()
	s.settle(&historypb.SettleRequest{Customer: customer("one"), Program: "p", Turn: "t", Made: 60, Kept: &historypb.Turn{Id: "t", Customer: customer("one")}}, now)
	_, ok := s.chain(nil, "t")
	is.True(ok)
	verdict, _ := s.reserve(&historypb.ReserveRequest{Program: "p", Turn: "u", Most: 60, Budget: 100}, now)
	is.Equal(verdict, historypb.Verdict_SPENT)
	s.settle(&historypb.SettleRequest{Program: "p", Turn: "u", Made: 10}, now)
	is.Equal(s.account(customer("one"), "p").Spent, int64(70))
}

// Guards against keepers of older versions, which look turns up by the id without the customer: the
// client must reject a chain that belongs to another customer.
func TestClientRejectsChainsOfOtherCustomers(t *testing.T) {
	is := is.New(t)
	is.True(ownsChain([]*historypb.Turn{{Id: "a"}, {Id: "b", Customer: customer("one")}}, customer("one")))
	is.True(!ownsChain([]*historypb.Turn{{Id: "a", Customer: customer("one")}}, customer("two")))
	is.True(!ownsChain([]*historypb.Turn{{Id: "a", Customer: customer("one")}}, customer("")))
}
