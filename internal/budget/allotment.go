package budget

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"foxhall/internal/plan"
)

// holding is what an instance holds of one plan's budget in one window.
type holding struct {
	window Window
	// free can be reserved; returning is marked to be returned to the store.
	free, returning Cost
}

// allotment is what an instance holds of one plan's budget. It does no I/O.
type allotment struct {
	mu      sync.Mutex
	plan    string
	budget  plan.Budget
	version uint64
	// generation counts the edits that reduced the budget. The unused rest of a reservation of an
	// earlier generation is returned, not spent: the draws may exceed the reduced budget.
	generation int
	holdings   []holding
	// need is the largest cost that waits for a draw; zero if none. typical is the last need that
	// was included in a draw; the target is at least firstDrawCalls times it.
	need, typical Cost
	lastUse       time.Time
	// retired means that nothing is to be held: the plan was removed or the instance stops.
	// removed means that the allocator has removed the allotment.
	retired, removed bool
	// moneyRate and tokenRate are moving averages of the spending, in units per second.
	moneyRate, tokenRate metrics.EWMA
	spentSinceTick       Cost
	// refusal is the result of the last refused draw, valid until refusedUntil.
	refusal      Reason
	refusedUntil time.Time
	// refillAfter is the time before which, after a refused draw, no further one is made unless a
	// cost waits for it.
	refillAfter time.Time
}

func newAllotment(name string, budget plan.Budget, version uint64) *allotment {
	return &allotment{
		plan: name, budget: budget, version: version,
		moneyRate: metrics.NewEWMA1(), tokenRate: metrics.NewEWMA1(),
	}
}

// setBudget updates the allotment to the budget in force. After a reduction nothing drawn before
// may be spent, because all instances' holdings and spending together may exceed the new budget.
// The holdings are returned, and new chunks are drawn under the new budget.
func (a *allotment) setBudget(budget plan.Budget, version uint64) {
	if version <= a.version {
		return
	}
	if reducesBudget(a.budget, budget) {
		a.generation++
		a.markForReturn()
	}
	if a.budget != budget {
		a.refusedUntil, a.refillAfter = time.Time{}, time.Time{}
	}
	a.budget, a.version = budget, version
	a.retired = false
}

// retire marks all free amounts to be returned and stops draws.
func (a *allotment) retire() {
	a.retired = true
	a.need = Cost{}
	a.markForReturn()
}

// markForReturn marks all free amounts to be returned.
func (a *allotment) markForReturn() {
	for i := range a.holdings {
		h := &a.holdings[i]
		h.returning = h.returning.plus(h.free)
		h.free = Cost{}
	}
}

// holdingFor returns the holding of a window. If there is none, it creates one if create is true
// and returns nil otherwise.
func (a *allotment) holdingFor(w Window, create bool) *holding {
	for i := range a.holdings {
		if a.holdings[i].window == w {
			return &a.holdings[i]
		}
	}
	if !create {
		return nil
	}
	a.holdings = append(a.holdings, holding{window: w})
	return &a.holdings[len(a.holdings)-1]
}

// reserve reserves a cost in the present window, or in both windows near a boundary.
func (a *allotment) reserve(cost Cost, now time.Time) (first Window, both, ok bool) {
	a.lastUse = now
	first, both = windowsAt(now, lengthOf(a.budget))
	if !a.canCover(first, cost) || both && !a.canCover(first.next(), cost) {
		return first, both, false
	}
	a.charge(first, cost)
	if both {
		a.charge(first.next(), cost)
	}
	return first, both, true
}

func (a *allotment) canCover(w Window, cost Cost) bool {
	h := a.holdingFor(w, false)
	return cost.isZero() || h != nil && h.free.covers(cost)
}

func (a *allotment) charge(w Window, cost Cost) {
	if h := a.holdingFor(w, false); h != nil {
		h.free = h.free.minus(cost)
	}
}

// release releases a reserved amount of a window: to be spent again, or to be returned to the store
// if the budget has been reduced since.
func (a *allotment) release(w Window, cost Cost, generation int, now time.Time) {
	if cost.isZero() || w.ended(now) {
		return
	}
	h := a.holdingFor(w, true)
	if generation == a.generation {
		h.free = h.free.plus(cost)
		return
	}
	h.returning = h.returning.plus(cost)
}

// target returns the amount to hold in advance, according to recent spending.
func (a *allotment) target(horizon time.Duration, now time.Time) Cost {
	if a.retired || now.Sub(a.lastUse) > idleTimeout {
		return Cost{}
	}
	seconds := horizon.Seconds()
	want := Cost{Money: plan.Micros(a.moneyRate.Rate() * seconds), Tokens: int64(a.tokenRate.Rate() * seconds)}
	return want.atLeast(a.typical.atLeast(a.need).times(firstDrawCalls)).boundedBy(a.budget)
}

// drawRequests returns the requests for the next draw, without changing the allotment.
func (a *allotment) drawRequests(horizon, lead time.Duration, now time.Time) []drawRequest {
	want := a.target(horizon, now)
	var requests []drawRequest
	for i := range a.holdings {
		requests = a.appendReturn(requests, &a.holdings[i], want, now)
	}
	if a.retired || a.need.isZero() && now.Before(a.refillAfter) {
		return requests
	}
	for _, w := range a.windowsToHold(now, lead) {
		requests = a.appendDraw(requests, w, want)
	}
	return requests
}

// appendReturn appends a request that returns a part of a holding, if there is any to return.
func (a *allotment) appendReturn(requests []drawRequest, h *holding, want Cost, now time.Time) []drawRequest {
	q := drawRequest{plan: a.plan, budget: a.budget, version: a.version, window: h.window, returned: h.returning}
	if h.window.Length == lengthOf(a.budget) && a.need.isZero() {
		q.returned = q.returned.plus(h.free.minus(want.times(maxHeldFactor)).atLeast(Cost{}))
	}
	if q.returned.isZero() || h.window.ended(now) {
		return requests
	}
	return append(requests, q)
}

// mustReturn reports whether an amount has to be returned without delay.
func (a *allotment) mustReturn() bool {
	for i := range a.holdings {
		if !a.holdings[i].returning.isZero() {
			return true
		}
	}
	return false
}

// withdraw removes the returned amounts from the holdings before the requests are written: if the
// response to the write is lost, they must not be spent here as well.
func (a *allotment) withdraw(requests []drawRequest) {
	for _, q := range requests {
		if h := a.holdingFor(q.window, false); h != nil && !q.returned.isZero() {
			h.free = h.free.minus(q.returned.minus(h.returning))
			h.returning = Cost{}
		}
	}
	if !a.need.isZero() {
		a.typical = a.need
	}
	a.need = Cost{}
}

// restore undoes withdraw after a write that certainly had no effect. The amounts are returned by
// the next draw and not spent, because they may have been marked for return.
func (a *allotment) restore(requests []drawRequest) {
	for _, q := range requests {
		if !q.returned.isZero() {
			h := a.holdingFor(q.window, true)
			h.returning = h.returning.plus(q.returned)
		}
	}
}

// appendDraw appends a request for the amount that is missing in a window, if any.
func (a *allotment) appendDraw(requests []drawRequest, w Window, want Cost) []drawRequest {
	free := Cost{}
	if h := a.holdingFor(w, false); h != nil {
		free = h.free
	}
	need := a.need
	if free.covers(need) {
		need = Cost{}
	}
	if need.isZero() && free.covers(want.minus(want.dividedBy(refillDivisor))) {
		return requests
	}
	// The need is for a single reservation: it must be met in full, together with the free amount.
	q := drawRequest{
		plan: a.plan, budget: a.budget, version: a.version, window: w,
		need: need.minus(free).atLeast(Cost{}), want: want.minus(free).atLeast(Cost{}), held: free,
	}
	return append(requests, q)
}

// windowsToHold returns the present window, and the next one from lead before the boundary.
func (a *allotment) windowsToHold(now time.Time, lead time.Duration) []Window {
	first, both := windowsAt(now, lengthOf(a.budget))
	lead = min(lead, lengthOf(a.budget)/leadDivisor)
	if both || windowAt(now.Add(lead), first.Length) != first {
		return []Window{first, first.next()}
	}
	return []Window{first}
}

// expire removes windows that have ended and returns the amount left unspent in them.
func (a *allotment) expire(now time.Time) (unspent Cost) {
	kept := a.holdings[:0]
	for _, h := range a.holdings {
		if h.window.ended(now) {
			unspent = unspent.plus(h.free).plus(h.returning)
			continue
		}
		if h.free.isZero() && h.returning.isZero() {
			continue
		}
		kept = append(kept, h)
	}
	a.holdings = kept
	return unspent
}

// recordResult adds a granted amount to the holding, or records the refusal.
func (a *allotment) recordResult(r drawResult, generation int, now time.Time) {
	a.release(r.request.window, r.granted, generation, now)
	if r.refusal == "" || a.version != r.request.version {
		return
	}
	a.refusal = r.refusal
	a.refusedUntil = now.Add(exhaustedRetention)
	a.refillAfter = a.refusedUntil
	if r.refusal == PlanOutdated {
		a.refusedUntil = now.Add(outdatedRetention)
	}
}

// isIdle reports whether the allotment can be removed.
func (a *allotment) isIdle(now time.Time) bool {
	return len(a.holdings) == 0 && a.need.isZero() && now.Sub(a.lastUse) > idleTimeout
}

// updateRates adds the spending since the last tick to the rates.
func (a *allotment) updateRates() {
	a.moneyRate.Update(int64(a.spentSinceTick.Money))
	a.tokenRate.Update(a.spentSinceTick.Tokens)
	a.spentSinceTick = Cost{}
	a.moneyRate.Tick()
	a.tokenRate.Tick()
}
