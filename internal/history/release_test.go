package history

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"foxhall/internal/gateway"
	"foxhall/internal/history/historypb"
)

// slowKeeper settles after a delay and never answers reservations.
type slowKeeper struct {
	blockedKeeper
	settled *[]string
}

func (k slowKeeper) Settle(ctx context.Context, r *historypb.SettleRequest) (*historypb.SettleResponse, error) {
	sleep(ctx, callTimeout/2)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	*k.settled = append(*k.settled, r.Turn)
	return &historypb.SettleResponse{Verdict: historypb.Verdict_DONE}, nil
}

// oneKeeper reaches one keeper.
type oneKeeper struct{ keeper historypb.Keeper }

func (o oneKeeper) Keeper(string) (historypb.Keeper, bool) { return o.keeper, true }
func (oneKeeper) OnSilence(string, func()) func()          { return func() {} }
func (oneKeeper) Isolated() bool                           { return false }
func assignedTo(name string) func() (Assignment, bool) {
	a := Assignment{}
	for i := range a.Shards {
		a.Shards[i] = ShardAssignment{Ensemble: Ensemble{Epoch: 1, Primary: name}}
	}
	return func() (Assignment, bool) { return a, true }
}

// Guards against a program that is refused too early: an instance ends before it has released the tokens that it
// reserved for a turn that was not sent.
func TestStopReleasesReservations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var settled []string
		c := NewClient(oneKeeper{slowKeeper{settled: &settled}}, assignedTo("k"), &log.Logger{Handler: discard.Default})
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := c.Reserve(ctx, gateway.Reservation{Program: "p", Turn: "given up", MaxOutputTokens: 1, Budget: 1, Retain: true})
		is.True(err != nil)
		c.Drain(context.Background())
		is.Equal(settled, []string{"given up"})

		_, err = c.Reserve(ctx, gateway.Reservation{Program: "p", Turn: "late", MaxOutputTokens: 1, Budget: 1, Retain: true})
		is.True(err != nil)
		began := time.Now()
		ended, end := context.WithTimeout(context.Background(), time.Millisecond)
		defer end()
		c.Drain(ended)
		is.Equal(time.Since(began), time.Millisecond)
		c.Drain(context.Background())
	})
}
