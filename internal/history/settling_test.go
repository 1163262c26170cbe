package history

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"foxhall/internal/gateway"
	"foxhall/internal/history/historypb"
)

// accountKeeper holds the account of one program. Its responses to the first reservations are lost, and settlements
// arrive late.
type accountKeeper struct {
	blockedKeeper
	mu          *sync.Mutex
	state       *state
	lost        map[string]bool
	settleDelay time.Duration
}

func (k accountKeeper) Reserve(ctx context.Context, r *historypb.ReserveRequest) (*historypb.ReserveResponse, error) {
	response := k.reserve(r)
	if k.lost[r.Turn] {
		<-ctx.Done()
	}
	return response, ctx.Err()
}

func (k accountKeeper) reserve(r *historypb.ReserveRequest) *historypb.ReserveResponse {
	k.mu.Lock()
	defer k.mu.Unlock()
	verdict, _ := k.state.reserve(r, time.Now())
	response := &historypb.ReserveResponse{Verdict: verdict}
	if a := k.state.account(r.Customer, r.Program); a != nil {
		response.Spent, response.Open = a.Spent, reservedTokens(a)
	}
	return response
}

func (k accountKeeper) Settle(ctx context.Context, r *historypb.SettleRequest) (*historypb.SettleResponse, error) {
	if sleep(ctx, k.settleDelay); ctx.Err() != nil {
		return nil, ctx.Err()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state.settle(r, time.Now())
	return &historypb.SettleResponse{Verdict: historypb.Verdict_DONE}, nil
}

// Guards against a caller's second try that is refused for good (402), since the first one, which was refused for the
// time being, still has the rest of the budget reserved.
func TestSecondTryIsNotRefusedForTheReservationOfTheFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		k := accountKeeper{mu: &sync.Mutex{}, state: newState(), lost: map[string]bool{"first try": true}, settleDelay: 700 * time.Millisecond}
		c := NewClient(oneKeeper{k}, assignedTo("k"), &log.Logger{Handler: discard.Default})
		reserve := func(turn string) error {
			_, err := c.Reserve(context.Background(), gateway.Reservation{Program: "p", Turn: turn, MaxOutputTokens: 100, Budget: 100, Retain: true})
			return err
		}
		is.True(reserve("first try") != nil)
		is.NoErr(reserve("second try"))
		// A turn that runs has its tokens reserved, and a program beyond its budget is refused at once.
		start := time.Now()
		is.Equal(reserve("beyond the budget"), gateway.ErrBudgetExhausted)
		is.True(time.Since(start) < retryInterval)
		c.Drain(context.Background())
		is.Equal(len(c.settlements.programs), 0)
		is.True(slices.Contains(k.state.account(new(string), "p").Settled, "first try"))
	})
}
