package budget

import "foxhall/internal/plan"

// Cost is an amount of money and tokens, the two quantities that a budget bounds.
type Cost struct {
	Money  plan.Micros `json:"m,omitempty"`
	Tokens int64       `json:"t,omitempty"`
}

func (c Cost) plus(d Cost) Cost  { return Cost{c.Money + d.Money, c.Tokens + d.Tokens} }
func (c Cost) minus(d Cost) Cost { return Cost{c.Money - d.Money, c.Tokens - d.Tokens} }

// times returns the cost multiplied by n.
func (c Cost) times(n int64) Cost { return Cost{c.Money * plan.Micros(n), c.Tokens * n} }

// dividedBy returns the cost divided by n.
func (c Cost) dividedBy(n int64) Cost { return Cost{c.Money / plan.Micros(n), c.Tokens / n} }

func (c Cost) isZero() bool { return c == Cost{} }

// covers reports whether c is at least d in both quantities.
func (c Cost) covers(d Cost) bool { return c.Money >= d.Money && c.Tokens >= d.Tokens }

func (c Cost) atLeast(d Cost) Cost { return Cost{max(c.Money, d.Money), max(c.Tokens, d.Tokens)} }

func (c Cost) atMost(d Cost) Cost { return Cost{min(c.Money, d.Money), min(c.Tokens, d.Tokens)} }

// boundedBy returns the cost without the quantities that the budget does not bound.
func (c Cost) boundedBy(b plan.Budget) Cost {
	if b.Money == 0 {
		c.Money = 0
	}
	if b.Tokens == 0 {
		c.Tokens = 0
	}
	return c
}

// limitOf returns the budget's bounds.
func limitOf(b plan.Budget) Cost { return Cost{Money: b.Money, Tokens: b.Tokens} }

// reducesBudget reports whether a budget allows less than the one before in any quantity, or has
// another window length.
func reducesBudget(before, now plan.Budget) bool {
	less := func(before, now int64) bool { return now > 0 && (before == 0 || now < before) }
	return before.Window != now.Window ||
		less(int64(before.Money), int64(now.Money)) || less(before.Tokens, now.Tokens)
}
