package plan

import (
	"time"

	"foxhall/internal/listfile"
)

// Limits of plausible values. They catch values in the wrong unit, such as a price in whole currency
// units instead of micros, before the lists are accepted.
const (
	// MaxMoney is the largest money budget; it keeps sums of a plan's reservations far from overflow.
	MaxMoney Micros = 1e15
	// MaxTokens is the largest token budget; it keeps sums of reservations far from overflow,
	// too.
	MaxTokens int64 = 1e15
	// MinWindow is the shortest budget window. It is far above the permitted difference between the
	// instances' clocks (see package budget).
	MinWindow = 10 * time.Second
	// MaxWindow is the longest budget window.
	MaxWindow = 366 * 24 * time.Hour
	// MaxRate is the highest rate limit, in steps per second.
	MaxRate = 1e6
	// MaxPriority is the highest priority.
	MaxPriority = 9
	// FullCutBasisPoints is the full price in basis points.
	FullCutBasisPoints = 10000

	maxCount         = 1e6
	maxHistoryTokens = 1e8
	maxLifetime      = 366 * 24 * time.Hour
)

// Unlimited reports whether the budget limits neither money nor tokens.
func (b Budget) Unlimited() bool { return b.Money == 0 && b.Tokens == 0 }

func (p *Plan) check(c *listfile.Checker) {
	c.ValidName("name", p.Name)
	c.ValidName("customer", p.Customer)
	c.IntRange("priority", int64(p.Priority), 0, MaxPriority)
	c.IntRange("cut_basis_points", int64(p.CutBasisPoints), 0, FullCutBasisPoints)
	p.Budget.check(c)
	p.Limits.check(c)
	p.Bounds.check(c)
}

func (b Budget) check(c *listfile.Checker) {
	c.IntRange("budget.money_micros", int64(b.Money), 0, int64(MaxMoney))
	c.IntRange("budget.tokens", b.Tokens, 0, MaxTokens)
	window := time.Duration(b.Window)
	if b.Unlimited() && window == 0 {
		return
	}
	if window < MinWindow || window > MaxWindow {
		c.AddProblem("budget.window", MinWindow.String()+" to "+MaxWindow.String()+" where money_micros or tokens is set", "%q", window)
	}
}

func (l Limits) check(c *listfile.Checker) {
	c.FloatRange("limits.rate", l.Rate, MaxRate)
	c.IntRange("limits.burst", int64(l.Burst), 0, maxCount)
	c.IntRange("limits.concurrency", int64(l.Concurrency), 0, maxCount)
	if l.Burst > 0 && l.Rate == 0 {
		c.AddProblem("limits.burst", "limits.rate beside it", "%d", l.Burst)
	}
}

func (b Bounds) check(c *listfile.Checker) {
	c.IntRange("bounds.steps", int64(b.Steps), 0, maxCount)
	c.IntRange("bounds.depth", int64(b.Depth), 0, maxCount)
	c.IntRange("bounds.children", int64(b.Children), 0, maxCount)
	c.IntRange("bounds.history_tokens", int64(b.HistoryTokens), 0, maxHistoryTokens)
	b.checkTime(c, "bounds.lifetime", b.Lifetime)
	b.checkTime(c, "bounds.step_time", b.StepTime)
}

func (b Bounds) checkTime(c *listfile.Checker, key string, d Duration) {
	if d < 0 || time.Duration(d) > maxLifetime {
		c.AddProblem(key, "0s to "+maxLifetime.String(), "%q", time.Duration(d))
	}
}
