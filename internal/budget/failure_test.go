package budget

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"foxhall/internal/plan"
	"foxhall/internal/standin"
	"foxhall/internal/store"
)

func refusalOf(is *is.I, err error) *Refusal {
	is.Helper()
	var refusal *Refusal
	is.True(errors.As(err, &refusal))
	return refusal
}

// spend reserves and settles one token at a time until refused.
func (n *node) spend(is *is.I, limit int64) (spent int64, refusal *Refusal) {
	for spent < limit {
		r, err := n.reserve(1)
		if err != nil {
			return spent, refusalOf(is, err)
		}
		r.Settle(Cost{Tokens: 1})
		spent++
	}
	return spent, nil
}

// sleepUntil sleeps until an offset within the current window.
func sleepUntil(offset time.Duration) {
	now := time.Now()
	time.Sleep(windowAt(now, testWindow).Start().Add(offset).Sub(now))
}

// Two instances hold parts of a budget of 400 when it is cut to 50, less than
// they hold; 100 have been spent. From the edit on neither spends anything
// more of what it held, not even an instance that had reserved before and now
// settles for less; the refusal says when the window ends. In the next window
// both together spend the new budget and no more.
func TestCutBelowWhatIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(400, 0, 0)
		defer w.close()
		sleepUntil(10 * time.Second)
		for _, n := range w.nodes {
			_, refusal := n.spend(is, 50)
			is.True(refusal == nil)
		}
		inFlight, err := w.nodes[0].reserve(20)
		is.NoErr(err)
		for _, n := range w.nodes {
			n.plans.set(onePlan(50), 2)
		}
		inFlight.Settle(Cost{Tokens: 1})
		for range 3 {
			for _, n := range w.nodes {
				spent, refusal := n.spend(is, 400)
				is.Equal(spent, int64(0))
				is.Equal(refusal.Reason, Exhausted)
				end := windowAt(time.Now(), testWindow).End().Add(MaxClockError)
				is.Equal(refusal.RetryAfter, time.Until(end))
			}
			time.Sleep(2 * time.Second)
		}
		sleepUntil(testWindow + 2*MaxClockError)
		first, _ := w.nodes[0].spend(is, 400)
		second, _ := w.nodes[1].spend(is, 400)
		is.Equal(first+second, int64(50))
	})
}

// The store goes down in the middle of a window and stays down over its end.
// The instance spends what it holds and is then refused with the time of its
// next try, not with the window's end: the next window brings nothing either
// while the store is down. When it returns, the new window's budget is there.
func TestWindowRollsOverDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(400, 0)
		defer w.close()
		n := w.nodes[0]
		sleepUntil(10 * time.Second)
		before, refusal := n.spend(is, 20)
		is.True(refusal == nil)
		time.Sleep(4 * rateInterval) // the allotment is sized by what was spent
		w.store.SetFaults(standin.StoreFaults{Down: true})
		during, refusal := n.spend(is, 400)
		is.True(during > 0) // what is held is spent
		is.True(before+during <= 400)
		is.Equal(refusal.Reason, StoreUnavailable)
		is.True(refusal.RetryAfter > 0 && refusal.RetryAfter <= 2*storeBackoffMax)
		sleepUntil(testWindow + 5*time.Second)
		spent, refusal := n.spend(is, 400)
		is.Equal(spent, int64(0))
		is.Equal(refusal.Reason, StoreUnavailable)
		w.store.SetFaults(standin.StoreFaults{})
		time.Sleep(2 * storeBackoffMax)
		spent, refusal = n.spend(is, 500)
		is.Equal(spent, int64(400))
		is.Equal(refusal.Reason, Exhausted)
	})
}

// An instance dies with most of the budget in hand. What it held counts as
// spent until the window ends, also for its next life; then the whole budget
// is there again. A planned stop returns it at once.
func TestCrashAndPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(400, 0, 0)
		defer w.close()
		sleepUntil(5 * time.Second)
		_, err := w.nodes[0].reserve(60) // draws more than it needs
		is.NoErr(err)
		w.nodes[0].crash()
		w.nodes[0].start()
		left, _ := w.nodes[0].spend(is, 400)
		is.True(left <= 400-60)
		sleepUntil(testWindow + 5*time.Second)
		r, err := w.nodes[0].reserve(60)
		is.NoErr(err)
		r.Release()
		w.nodes[0].stop()
		is.NoErr(w.nodes[0].Close(context.Background()))
		all, _ := w.nodes[1].spend(is, 500)
		is.Equal(all, int64(400))
	})
}

// A draw takes effect, its answer is lost and the store goes down before it
// can be read back. What was drawn is not held, and what the same write
// returned is not spent here either: it may be in other hands by now. When the
// store is back the next read tells, and nothing is left stranded.
func TestDrawAnswerLostThenOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(400, 0, 0)
		defer w.close()
		holder, other := w.nodes[0], w.nodes[1]
		sleepUntil(5 * time.Second)
		r, err := holder.reserve(25) // holds 100
		is.NoErr(err)
		r.Release()

		// The edit makes it return all, by a write whose answer is lost.
		w.store.SetFaults(standin.StoreFaults{LoseAnswers: 1})
		holder.link.afterPut = func() { w.store.SetFaults(standin.StoreFaults{Down: true}) }
		holder.plans.set(onePlan(399), 2)
		other.plans.set(onePlan(399), 2)
		time.Sleep(3 * drawTimeout)
		is.Equal(holder.Allocator.metrics.unknownOutcomes.Count(), int64(1))
		spent, refusal := holder.spend(is, 1)
		is.Equal(spent, int64(0))
		is.Equal(refusal.Reason, StoreUnavailable)

		holder.link.afterPut = nil
		w.store.SetFaults(standin.StoreFaults{})
		time.Sleep(2 * storeBackoffMax)
		more, _ := holder.spend(is, 100)
		all, _ := other.spend(is, 500)
		rest, _ := holder.spend(is, 500)
		is.Equal(all+more+rest, int64(399))
	})
}

// An object has been written so often that it remembers no more writes. One
// draw is lost without effect, and another instance's draw takes its base. The
// write before both is remembered, so the object still tells that the lost one
// had no effect: it is made again at once, and the caller is not refused.
func TestLostDrawIsKnownInAFullObject(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(400, 0, 0)
		defer w.close()
		sleepUntil(5 * time.Second)
		full := &accountSet{}
		for i := range 2 * maxRecentWrites {
			full.recordWrite(fmt.Sprint(i))
		}
		value, err := full.encode()
		is.NoErr(err)
		_, err = w.store.Put(t.Context(), store.Key{Kind: KindBudget, Name: "000"}, value, 0)
		is.NoErr(err)
		var once sync.Once
		w.store.SetFaults(standin.StoreFaults{DropWrites: 1})
		w.nodes[0].link.afterPut = func() {
			once.Do(func() {
				_, err := w.nodes[1].reserve(1)
				is.NoErr(err)
			})
		}
		_, err = w.nodes[0].reserve(1)
		is.NoErr(err)
		is.Equal(w.nodes[0].Allocator.metrics.unknownOutcomes.Count(), int64(0))
	})
}

// An instance that has not got a cut yet asks for more by the old budget. The
// store's account knows the cut: the instance is told that it is behind, and
// gets its part as soon as the edit has arrived.
func TestInstanceBehindAnEdit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(400, 0, 0)
		defer w.close()
		sleepUntil(5 * time.Second)
		w.nodes[0].plans.set(onePlan(50), 2)
		r, err := w.nodes[0].reserve(1)
		is.NoErr(err)
		r.Release()
		_, err = w.nodes[1].reserve(1)
		refusal := refusalOf(is, err)
		is.Equal(refusal.Reason, PlanOutdated)
		is.True(refusal.RetryAfter <= outdatedRetention)
		w.nodes[1].plans.set(onePlan(50), 2)
		_, err = w.nodes[1].reserve(1)
		is.NoErr(err)
	})
}

// The window's length is edited from a minute to an hour when half of the
// budget has been drawn: the first new window begins with that counted.
func TestWindowLengthEdited(t *testing.T) {
	is := is.New(t)
	now := time.Unix(10_000_000, 0)
	before := plan.Budget{Tokens: 400, Window: plan.Duration(testWindow)}
	after := plan.Budget{Tokens: 400, Window: plan.Duration(time.Hour)}
	b := &accountSet{}
	w := windowAt(now, testWindow)
	b.apply([]drawRequest{{plan: "p", budget: before, version: 1, window: w, need: Cost{Tokens: 200}, want: Cost{Tokens: 200}}}, 1, now)
	hour := windowAt(now, time.Hour)
	q := drawRequest{plan: "p", budget: after, version: 2, window: hour, need: Cost{Tokens: 201}}
	results, _ := b.apply([]drawRequest{q}, 1, now)
	is.Equal(results[0].refusal, Exhausted)
	q.need = Cost{Tokens: 200}
	results, _ = b.apply([]drawRequest{q}, 1, now)
	is.Equal(results[0].granted, Cost{Tokens: 200})
	// The old length is now behind.
	results, _ = b.apply([]drawRequest{{plan: "p", budget: before, version: 1, window: w, need: Cost{Tokens: 1}}}, 1, now)
	is.Equal(results[0].refusal, PlanOutdated)
}

// lateStore holds a write back, says that its outcome is unknown, and lets it
// take effect just before the next write.
type lateStore struct {
	store.Client
	deferWrites bool
	deferred    func()
}

func (l *lateStore) Put(ctx context.Context, key store.Key, value []byte, base store.Version) (store.Version, error) {
	if l.deferWrites {
		l.deferred = func() { _, _ = l.Client.Put(context.Background(), key, value, base) }
		return 0, store.ErrUnknown
	}
	if l.deferred != nil {
		l.deferred()
		l.deferred = nil
	}
	return l.Client.Put(ctx, key, value, base)
}

// A write that returns an allotment is under way for so long that the keeper
// gives up on its outcome; it takes effect after the keeper has read that it
// has not, and just before the keeper's next write. Were it taken for dead by
// that read, the same amount would be returned twice, and spent twice.
func TestReturnTakesEffectLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		deferring := &lateStore{Client: standin.NewStore()}
		l := &planSource{changed: make(chan struct{})}
		l.set(onePlan(400), 1)
		al := NewAllocator(deferring, l, Options{Shards: 1, Share: 4})
		sleepUntil(10 * time.Second)
		drawn := func() int64 {
			b, _, err := al.read(context.Background(), store.Key{Kind: KindBudget, Name: "000"})
			is.NoErr(err)
			return b.Accounts["p"].Drawn[windowAt(time.Now(), testWindow).Index].Tokens
		}
		r, err := al.Reserve(context.Background(), &plan.Plan{Name: "p"}, Cost{Tokens: 25})
		is.NoErr(err)
		is.Equal(drawn(), int64(100))
		al.shards[0].allotments["p"].retire() // 75 are free
		deferring.deferWrites = true
		<-al.startDraw(al.shards[0])
		deferring.deferWrites = false
		time.Sleep(2 * storeBackoffMax)
		r.Settle(Cost{Tokens: 5}) // and now 20
		for range 3 {
			<-al.startDraw(al.shards[0])
		}
		is.Equal(drawn(), int64(5)) // what has been spent
		al.cancel()
	})
}

// A hundred instances hold parts of a plan's budget when it is cut, and the
// store takes 5 ms for a call. All return what they hold by updates of one
// object; their calls must not pile up, and all must be back in force within
// the bound of an edit.
func TestCutAcrossManyInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const instances = 100
		w := newWorld(100_000, make([]time.Duration, instances)...)
		defer w.close()
		w.store.SetFaults(standin.StoreFaults{Delay: 5 * time.Millisecond})
		sleepUntil(10 * time.Second)
		for _, n := range w.nodes {
			_, err := n.reserve(10)
			is.NoErr(err)
		}
		before := w.store.Counts()
		for _, n := range w.nodes {
			n.plans.set(onePlan(50_000), 2)
		}
		start := time.Now()
		pending := func() (count int) {
			for _, n := range w.nodes {
				a := n.shards[0].allotments["p"]
				a.mu.Lock()
				busy := a.version < 2 || a.mustReturn()
				a.mu.Unlock()
				n.shards[0].drawMu.Lock()
				if busy || n.shards[0].done != nil {
					count++
				}
				n.shards[0].drawMu.Unlock()
			}
			return count
		}
		for pending() > 0 && time.Since(start) < time.Minute {
			time.Sleep(10 * time.Millisecond)
		}
		took, after := time.Since(start), w.store.Counts()
		t.Logf("returned everywhere after %v, %d reads and %d writes", took, after.Reads-before.Reads, after.Writes-before.Writes)
		is.True(took < 10*time.Second)
	})
}
