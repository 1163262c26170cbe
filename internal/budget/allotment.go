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
	// free may be reserved; returning waits to be returned.
	free, returning Cost
}

// allotment is what an instance holds of one plan's budget. It does no I/O.
type allotment struct {
	mu      sync.Mutex
	plan    string
	budget  plan.Budget
	version uint64
	// generation counts the edits that cut the budget. What a reservation of an
	// earlier generation leaves over is returned instead of spent: more may be drawn
	// by now than the budget allows.
	generation int
	holdings   []holding
	// need is the largest cost that waits for a draw; zero if none. typical
	// is the last one, kept while the plan is in use.
	need, typical Cost
	lastUse       time.Time
	// ended says that nothing is to be held any more: the plan was removed or
	// the instance stops. dropped says that the keeper has forgotten the allotment.
	ended, dropped bool
	// money and tokens follow recent spending, in units a second.
	money, tokens metrics.EWMA
	spent         Cost
	// refusal is the answer of the last draw, believed until refusedUntil.
	refusal      Reason
	refusedUntil time.Time
	// refillAfter keeps the background from asking an exhausted budget again.
	refillAfter time.Time
}

func newAllotment(name string, budget plan.Budget, version uint64) *allotment {
	return &allotment{
		plan: name, budget: budget, version: version,
		money: metrics.NewEWMA1(), tokens: metrics.NewEWMA1(),
	}
}

// adopt brings the allotment to the budget in force. After a cut nothing drawn
// before may be spent: what others hold and have spent is not known here, and
// together it may be more than the new budget. It is returned, and new chunks
// are drawn by the new budget.
func (a *allotment) adopt(budget plan.Budget, version uint64) {
	if version <= a.version {
		return
	}
	if cutsBack(a.budget, budget) {
		a.generation++
		a.markForReturn()
	}
	if a.budget != budget {
		a.refusedUntil, a.refillAfter = time.Time{}, time.Time{}
	}
	a.budget, a.version = budget, version
	a.ended = false
}

// end marks everything to be returned and nothing to be drawn.
func (a *allotment) end() {
	a.ended = true
	a.need = Cost{}
	a.markForReturn()
}

// markForReturn marks everything free to be returned.
func (a *allotment) markForReturn() {
	for i := range a.holdings {
		h := &a.holdings[i]
		h.returning = h.returning.plus(h.free)
		h.free = Cost{}
	}
}

// at returns the holding of a window; create says whether to begin one.
func (a *allotment) at(w Window, create bool) *holding {
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

// take reserves a cost in the window, or the two windows, that it is now.
func (a *allotment) take(cost Cost, now time.Time) (first Window, both, ok bool) {
	a.lastUse = now
	first, both = windowsAt(now, lengthOf(a.budget))
	if !a.holds(first, cost) || both && !a.holds(first.next(), cost) {
		return first, both, false
	}
	a.charge(first, cost)
	if both {
		a.charge(first.next(), cost)
	}
	return first, both, true
}

func (a *allotment) holds(w Window, cost Cost) bool {
	h := a.at(w, false)
	return cost.isZero() || h != nil && h.free.covers(cost)
}

func (a *allotment) charge(w Window, cost Cost) {
	if h := a.at(w, false); h != nil {
		h.free = h.free.minus(cost)
	}
}

// release gives a reserved amount back to a window: to be spent again, or to
// be returned if the budget has been cut since.
func (a *allotment) release(w Window, cost Cost, generation int, now time.Time) {
	if cost.isZero() || w.over(now) {
		return
	}
	h := a.at(w, true)
	if generation == a.generation {
		h.free = h.free.plus(cost)
		return
	}
	h.returning = h.returning.plus(cost)
}

// wants returns what should be held ahead, by recent spending.
func (a *allotment) wants(horizon time.Duration, now time.Time) Cost {
	if a.ended || now.Sub(a.lastUse) > idleAfter {
		return Cost{}
	}
	seconds := horizon.Seconds()
	want := Cost{Money: plan.Micros(a.money.Rate() * seconds), Tokens: int64(a.tokens.Rate() * seconds)}
	return want.atLeast(a.typical.atLeast(a.need).times(firstChunk)).of(a.budget)
}

// asks returns what to ask the store for. It changes nothing.
func (a *allotment) asks(horizon, lead time.Duration, now time.Time) []ask {
	want := a.wants(horizon, now)
	var asks []ask
	for i := range a.holdings {
		asks = a.askBack(asks, &a.holdings[i], want, now)
	}
	if a.ended || a.need.isZero() && now.Before(a.refillAfter) {
		return asks
	}
	for _, w := range a.windows(now, lead) {
		asks = a.askFor(asks, w, want)
	}
	return asks
}

// askBack adds what is to be returned of a holding.
func (a *allotment) askBack(asks []ask, h *holding, want Cost, now time.Time) []ask {
	q := ask{plan: a.plan, budget: a.budget, version: a.version, window: h.window, give: h.returning}
	if h.window.Length == lengthOf(a.budget) && a.need.isZero() {
		q.give = q.give.plus(h.free.minus(want.times(idleFactor)).atLeast(Cost{}))
	}
	if q.give.isZero() || h.window.over(now) {
		return asks
	}
	return append(asks, q)
}

// urgent reports whether something has to be returned without delay.
func (a *allotment) urgent() bool {
	for i := range a.holdings {
		if !a.holdings[i].returning.isZero() {
			return true
		}
	}
	return false
}

// withdraw takes what the asks give out of the holdings, before they are written:
// an answer that is lost must not leave it to be spent here as well.
func (a *allotment) withdraw(asks []ask) {
	for _, q := range asks {
		if h := a.at(q.window, false); h != nil && !q.give.isZero() {
			h.free = h.free.minus(q.give.minus(h.returning))
			h.returning = Cost{}
		}
	}
	if !a.need.isZero() {
		a.typical = a.need
	}
	a.need = Cost{}
}

// restore undoes withdraw after a write that certainly had no effect. The amounts
// wait to be given again; they may have been marked for return, and so are not
// spent.
func (a *allotment) restore(asks []ask) {
	for _, q := range asks {
		if !q.give.isZero() {
			h := a.at(q.window, true)
			h.returning = h.returning.plus(q.give)
		}
	}
}

// askFor adds what is lacking in a window.
func (a *allotment) askFor(asks []ask, w Window, want Cost) []ask {
	free := Cost{}
	if h := a.at(w, false); h != nil {
		free = h.free
	}
	need := a.need
	if free.covers(need) {
		need = Cost{}
	}
	if need.isZero() && free.covers(want.minus(want.over(refillPart))) {
		return asks
	}
	// What is lacking of the need must come in one piece with what is free.
	q := ask{
		plan: a.plan, budget: a.budget, version: a.version, window: w,
		need: need.minus(free).atLeast(Cost{}), want: want.minus(free).atLeast(Cost{}), held: free,
	}
	return append(asks, q)
}

// windows returns those to hold something of: now's, and the next from lead
// before a boundary.
func (a *allotment) windows(now time.Time, lead time.Duration) []Window {
	first, both := windowsAt(now, lengthOf(a.budget))
	lead = min(lead, lengthOf(a.budget)/leadPart)
	if both || windowAt(now.Add(lead), first.Length) != first {
		return []Window{first, first.next()}
	}
	return []Window{first}
}

// expire forgets windows that are over and returns what was left unspent in them.
func (a *allotment) expire(now time.Time) (unspent Cost) {
	kept := a.holdings[:0]
	for _, h := range a.holdings {
		if h.window.over(now) {
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

// granted takes in what the store granted.
func (a *allotment) granted(v result, generation int, now time.Time) {
	a.release(v.ask.window, v.granted, generation, now)
	if v.refusal == "" || a.version != v.ask.version {
		return
	}
	a.refusal = v.refusal
	a.refusedUntil = now.Add(believeExhausted)
	a.refillAfter = a.refusedUntil
	if v.refusal == PlanOutdated {
		a.refusedUntil = now.Add(believeBehind)
	}
}

// idle reports whether the allotment may be forgotten.
func (a *allotment) idle(now time.Time) bool {
	return len(a.holdings) == 0 && a.need.isZero() && now.Sub(a.lastUse) > idleAfter
}

// tick folds the spending since the last tick into the rates.
func (a *allotment) tick() {
	a.money.Update(int64(a.spent.Money))
	a.tokens.Update(a.spent.Tokens)
	a.spent = Cost{}
	a.money.Tick()
	a.tokens.Tick()
}
