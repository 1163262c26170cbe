package history

import (
	"context"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"foxhall/internal/gateway"
	"foxhall/internal/history/historypb"
)

// scriptedKeeper answers reservations as told, after the delay.
type scriptedKeeper struct {
	blockedKeeper
	delay  time.Duration
	answer func() (*historypb.ReserveResponse, error)
}

func (k scriptedKeeper) Reserve(ctx context.Context, _ *historypb.ReserveRequest) (*historypb.ReserveResponse, error) {
	if sleep(ctx, k.delay); ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return k.answer()
}

func (k scriptedKeeper) Settle(context.Context, *historypb.SettleRequest) (*historypb.SettleResponse, error) {
	return &historypb.SettleResponse{Verdict: historypb.Verdict_DONE}, nil
}

func answers(v historypb.Verdict, role *historypb.Role) scriptedKeeper {
	return scriptedKeeper{delay: messageDelay, answer: func() (*historypb.ReserveResponse, error) {
		return &historypb.ReserveResponse{Verdict: v, Role: role}, nil
	}}
}

var ended = scriptedKeeper{answer: func() (*historypb.ReserveResponse, error) { return nil, syscall.ECONNREFUSED }}

// scriptedKeepers are the keepers that an entry reaches, by name.
type scriptedKeepers map[string]historypb.Keeper

func (s scriptedKeepers) Keeper(name string) (historypb.Keeper, bool) { return s[name], s[name] != nil }
func (scriptedKeepers) OnSilence(string, func()) func()               { return func() {} }
func (scriptedKeepers) Isolated() bool                                { return false }

// reserveAt reserves a turn at scripted keepers, and returns how long that took. The assignment names a and b for all
// shards but the first, which c holds.
func reserveAt(t *testing.T, keepers scriptedKeepers, deadline time.Duration) (time.Duration, error) {
	var took time.Duration
	var err error
	synctest.Test(t, func(t *testing.T) {
		a, _ := (&ShardAssignment{Ensemble: Ensemble{Epoch: 1, Primary: "a", Backups: []string{"b"}}}).forAllShards()
		a.Shards[0] = ShardAssignment{Ensemble: Ensemble{Epoch: 1, Primary: "c"}}
		c := NewClient(keepers, func() (Assignment, bool) { return a, true }, &log.Logger{Handler: discard.Default})
		start := time.Now()
		r := gateway.Reservation{Program: "p", Turn: "t", MaxOutputTokens: 1, Retain: true}
		if deadline > 0 {
			r.Deadline = start.Add(deadline)
		}
		_, err = c.Reserve(context.Background(), r)
		took = time.Since(start)
		c.Drain(context.Background())
	})
	return took, err
}

// Guards against a call that waits for the earlier holders of a shard, one of which has already named the new primary.
func TestCallGoesToTheNamedPrimaryAtOnce(t *testing.T) {
	is := is.New(t)
	took, err := reserveAt(t, scriptedKeepers{
		"a": answers(historypb.Verdict_MOVED, &historypb.Role{Epoch: 2, Primary: "d"}),
		"b": blockedKeeper{},
		"d": answers(historypb.Verdict_DONE, nil),
	}, 0)
	is.NoErr(err)
	is.True(took < 5*messageDelay)
}

// Guards against an entry that learns late of a shard's new holders, when all that it knows have ended: any other keeper
// can name them.
func TestCallAsksAnotherKeeperForTheHolders(t *testing.T) {
	is := is.New(t)
	took, err := reserveAt(t, scriptedKeepers{
		"a": ended, "b": ended,
		"c": answers(historypb.Verdict_MOVED, &historypb.Role{Epoch: 3, Primary: "d"}),
		"d": answers(historypb.Verdict_DONE, nil),
	}, 0)
	is.NoErr(err)
	is.True(took < 5*messageDelay)
}

// Guards against an outage of one shard that all its waiting calls bring to the other keepers.
func TestWaitingCallsShareTheQuestionForTheHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		asked := 0
		var mu sync.Mutex
		other := answers(historypb.Verdict_MOVED, nil)
		other.answer = func() (*historypb.ReserveResponse, error) {
			mu.Lock()
			defer mu.Unlock()
			asked++
			return &historypb.ReserveResponse{Verdict: historypb.Verdict_MOVED}, nil
		}
		a, _ := (&ShardAssignment{Ensemble: Ensemble{Epoch: 1, Primary: "a"}}).forAllShards()
		a.Shards[0].Primary = "c"
		c := NewClient(scriptedKeepers{"a": ended, "c": other}, func() (Assignment, bool) { return a, true }, &log.Logger{Handler: discard.Default})
		var calls sync.WaitGroup
		for n := range 100 {
			calls.Go(func() {
				_, err := c.Reserve(context.Background(), gateway.Reservation{Program: "p", Turn: strconv.Itoa(n), MaxOutputTokens: 1, Retain: true})
				is.True(errors.Is(err, ErrNoKeeperResult))
			})
		}
		calls.Wait()
		c.Drain(context.Background())
		is.True(asked > 1)
		is.True(asked <= int(reserveTimeout/retryInterval)+1)
	})
}

// Guards against tries that are all spent within one change of holders: the caller's time allows to wait for its end.
func TestCallWaitsAsLongAsItsTimeAllows(t *testing.T) {
	is := is.New(t)
	servesAfter := func(d time.Duration) scriptedKeepers {
		var began time.Time
		k := answers(historypb.Verdict_NOT_NOW, nil)
		k.answer = func() (*historypb.ReserveResponse, error) {
			if began.IsZero() {
				began = time.Now()
			}
			if time.Since(began) < d {
				return &historypb.ReserveResponse{Verdict: historypb.Verdict_NOT_NOW}, nil
			}
			return &historypb.ReserveResponse{Verdict: historypb.Verdict_DONE}, nil
		}
		return scriptedKeepers{"a": k, "b": answers(historypb.Verdict_MOVED, nil)}
	}
	took, err := reserveAt(t, servesAfter(2300*time.Millisecond), 5*time.Second)
	is.NoErr(err)
	is.True(took < 2400*time.Millisecond)
	// Without a known deadline, and for one that is far off, the wait is bounded.
	took, err = reserveAt(t, servesAfter(time.Minute), 0)
	is.True(errors.Is(err, ErrNoKeeperResult))
	is.Equal(took, reserveTimeout)
	took, err = reserveAt(t, servesAfter(time.Minute), time.Minute)
	is.True(errors.Is(err, ErrNoKeeperResult))
	is.Equal(took, maxReserveTimeout)
}

// Guards against callers that are refused at once, and spend all tries, while all holders of one shard are unreachable
// and other keepers are not, and while an entry that has just started knows no holders yet.
func TestCallWaitsForHoldersThatStopAtTheSameTime(t *testing.T) {
	testOnFourKeepers(t, func(cl *cluster, fail func(error)) {
		c := cl.client("entry")
		fail(retainTurn(c, "p", "first", ""))
		role := cl.roleOf("p")
		reached := &entry{cluster: cl, name: "entry", unreachable: map[string]bool{}}
		for _, name := range role.holders() {
			cl.machine(name).stop()
			reached.setUnreachable(name, true)
		}
		time.AfterFunc(time.Second, func() {
			for _, name := range role.holders() {
				cl.machine(name).start()
				reached.setUnreachable(name, false)
			}
		})
		c = NewClient(reached, c.assignment, cl.logger("entry"))
		fail(retainTurnBefore(c, "p", "second", "first", time.Now().Add(5*time.Second)))

		known := time.Now().Add(500 * time.Millisecond)
		c = NewClient(&entry{cluster: cl, name: "entry"}, func() (Assignment, bool) {
			if time.Now().Before(known) {
				return Assignment{}, false
			}
			return cl.currentAssignment(), true
		}, cl.logger("entry"))
		fail(retainTurn(c, "p", "third", "second"))
	})
}

// Guards against callers that wait although their entry and the one keeper that it reaches are cut off together.
func TestCallOfAnEntryThatReachesOneIsolatedKeeperFailsFast(t *testing.T) {
	is := is.New(t)
	took, err := reserveAt(t, scriptedKeepers{"a": answers(historypb.Verdict_ISOLATED, nil)}, 5*time.Second)
	is.True(errors.Is(err, gateway.ErrIsolated))
	is.Equal(took, messageDelay)
	// The keeper alone is isolated: others, which may take over, are reached.
	_, err = reserveAt(t, scriptedKeepers{"a": answers(historypb.Verdict_ISOLATED, nil), "c": answers(historypb.Verdict_MOVED, nil)}, 5*time.Second)
	is.True(errors.Is(err, ErrNoKeeperResult))
}
