package history

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"foxhall/internal/history/historypb"
)

func keepersIn(dataCentres, perDataCentre int) []Candidate {
	var list []Candidate
	for i := range dataCentres * perDataCentre {
		list = append(list, Candidate{Name: fmt.Sprintf("k%03d", i), DataCentre: fmt.Sprint(i % dataCentres)})
	}
	return list
}

// Guards against messages between keepers that grow with the square of their number. The number of
// keepers that share the shards must have an upper bound, with all of them below it and with the
// same number in each data centre above.
func TestNumberOfActiveKeepersIsBounded(t *testing.T) {
	for _, perDataCentre := range []int{1, 6, 24, 48, 96} {
		is := is.New(t)
		active := ActiveKeepers(keepersIn(5, perDataCentre), nil)
		is.Equal(len(active), min(5*perDataCentre, MaxActiveKeepers))
		for dc := range 5 {
			is.Equal(countInDataCentre(active, fmt.Sprint(dc)), len(active)/5)
		}
	}
}

// Guards against the loss of a shard's holder, and a needless state transfer, when keepers are added
// to a large fleet. A holder of shards must stay active whichever others are registered.
func TestHoldersStayActive(t *testing.T) {
	is := is.New(t)
	few := ActiveKeepers(keepersIn(5, 6), nil)
	holders := map[string]bool{}
	for _, k := range few {
		holders[k.Name] = true
	}
	for _, k := range few {
		is.True(containsKeeper(ActiveKeepers(keepersIn(5, 48), holders), k.Name))
	}
	is.True(!containsKeeper(ActiveKeepers(keepersIn(5, 48), holders), "unknown"))
}

// blockedKeeper is a keeper that never responds.
type blockedKeeper struct{ historypb.Keeper }

func (blockedKeeper) Reserve(ctx context.Context, _ *historypb.ReserveRequest) (*historypb.ReserveResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against turns that wait for the timeout of a call to a failed keeper although its shard has
// another primary already. The call must be cancelled when the assignment changes, and only if it is
// to a keeper that is not the primary any more.
func TestCallToAReplacedKeeperIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		assignment := Assignment{}
		assignment.Shards[3] = ShardAssignment{Ensemble: Ensemble{Epoch: 1, Primary: "failed"}}
		assignment.Shards[4] = ShardAssignment{Ensemble: Ensemble{Epoch: 1, Primary: "failed"}}
		c := NewClient(&entry{}, func() (Assignment, bool) { return assignment, true }, &log.Logger{Handler: discard.Default})
		var mu sync.Mutex
		ended := map[uint32]bool{}
		hasEnded := func() map[uint32]bool {
			mu.Lock()
			defer mu.Unlock()
			return maps.Clone(ended)
		}
		for _, shard := range []uint32{3, 4} {
			go func() {
				p := &pendingCall{shard: shard, keeper: "failed", epoch: 1}
				c.callKeeper(t.Context(), p, blockedKeeper{}, func(ctx context.Context, k historypb.Keeper) callOutcome {
					_, _ = k.Reserve(ctx, nil)
					return outcomeRetry
				})
				mu.Lock()
				defer mu.Unlock()
				ended[shard] = true
			}()
			synctest.Wait()
		}
		assignment.Shards[3] = ShardAssignment{Ensemble: Ensemble{Epoch: 2, Primary: "next"}}
		assignment.Shards[4] = ShardAssignment{Ensemble: Ensemble{Epoch: 2, Primary: "failed"}}
		c.AssignmentChanged()
		synctest.Wait()
		is.Equal(hasEnded(), map[uint32]bool{3: true})
		time.Sleep(callTimeout)
		synctest.Wait()
		is.Equal(hasEnded(), map[uint32]bool{3: true, 4: true})
		c.mu.Lock()
		defer c.mu.Unlock()
		is.Equal(len(c.pending), 0)
	})
}
