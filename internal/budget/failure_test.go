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

// Two instances hold parts of a budget of 400 when it is reduced to 50, less than they hold; 100
// have been spent. From the edit on neither may spend its holdings, including the rest of a
// reservation made before the edit and settled for less. The refusal's RetryAfter is the end of the
// window. In the next window both together spend exactly the new budget.
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

// The store fails in the middle of a window and stays down beyond its end. The instance spends its
// holdings; then reservations are refused with the time of the next call to the store, not the
// window's end, because the next window's budget can't be drawn either. When the store is back, the
// new window's budget is available.
func TestWindowRollsOverDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(400, 0)
		defer w.close()
		n := w.nodes[0]
		sleepUntil(10 * time.Second)
		before, refusal := n.spend(is, 20)
		is.True(refusal == nil)
		time.Sleep(4 * rateInterval) // the allotment is sized by the recent spending
		w.store.SetFaults(standin.StoreFaults{Down: true})
		during, refusal := n.spend(is, 400)
		is.True(during > 0) // holdings are spent
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

// An instance crashes while it holds a large part of the budget. Its holdings count as spent until
// the window ends, also after its restart; then the full budget is available. A planned stop returns
// the holdings immediately.
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

// A draw takes effect, its response is lost and the store fails before the outcome can be read back.
// The amount drawn must not be held, and the amount returned by the same write must not be spent:
// other instances may hold it by now. When the store is back, the next read resolves the outcome and
// nothing stays stranded.
func TestDrawResponseLostThenOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(400, 0, 0)
		defer w.close()
		holder, other := w.nodes[0], w.nodes[1]
		sleepUntil(5 * time.Second)
		r, err := holder.reserve(25) // holds 100
		is.NoErr(err)
		r.Release()

		// After the edit the instance returns all, by a write whose response is lost.
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

// An object has its maximum of recent writes. One draw is lost without effect, and another
// instance's draw replaces its base version. The write before both is still among the recent writes,
// so the object shows that the lost draw had no effect: it is repeated immediately, and the caller
// is not refused.
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

// An instance that has not received a reduction of the budget draws under the old budget. The
// account in the store has the new budget: the draw is refused as PlanOutdated, and succeeds as soon
// as the edit has arrived.
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

// The window length is edited from a minute to an hour when half of the budget has been drawn: the
// first new window must include that half.
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
	// A request with the old length is outdated now.
	results, _ = b.apply([]drawRequest{{plan: "p", budget: before, version: 1, window: w, need: Cost{Tokens: 1}}}, 1, now)
	is.Equal(results[0].refusal, PlanOutdated)
}

// lateStore defers a write, returns that its outcome is unknown, and has it take effect just before
// the next write.
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

// A write that returns an allotment is in flight so long that its outcome becomes unknown. It takes
// effect after the allocator has read the unchanged object, and just before the allocator's next
// write. If that read were taken as proof that the write had no effect, the same amount would be
// returned twice, and spent twice.
func TestReturnTakesEffectLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		deferring := &lateStore{Client: standin.NewStore()}
		l := &planSource{changed: make(chan struct{})}
		l.set(onePlan(400), 1)
		al := NewAllocator(deferring, l, Options{Shards: 1, ShareDivisor: 4})
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

// A hundred instances hold parts of a plan's budget when it is reduced, and each store call takes
// 5 ms. All return their holdings by updates of one object. Their calls must not accumulate, and all
// must have applied the edit and returned their holdings within 10 s, the bound of an edit.
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
