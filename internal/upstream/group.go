package upstream

import (
	"sync"
	"sync/atomic"

	"foxhall/internal/usage"
)

// groupKey identifies the endpoints of one model or service.
type groupKey struct {
	service bool
	name    string
}

// groupKeys returns the groups to which an upstream's endpoints belong.
func groupKeys(u *usage.Upstream) []groupKey {
	if u.Kind == usage.KindService {
		return []groupKey{{service: true, name: u.Service}}
	}
	keys := make([]groupKey, 0, len(u.Models))
	for _, model := range u.Models {
		keys = append(keys, groupKey{name: model})
	}
	return keys
}

// group sums the learned speeds of the endpoints of one model or service, so that their mean costs
// the same for any number of endpoints.
type group struct {
	key groupKey

	// learnedAt is when the latest response of any endpoint was learned from, in Unix nanoseconds; 0 for never.
	learnedAt atomic.Int64

	mu sync.Mutex
	// sum is the sum of the speeds of the learned endpoints that have samples.
	sum     Speed
	learned int
}

// replace replaces an endpoint's contribution to the sum. Speeds without samples contribute nothing.
func (g *group) replace(old, next Speed) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if old.Samples > 0 {
		g.sum, g.learned = g.sum.plus(old, -1), g.learned-1
	}
	if next.Samples > 0 {
		g.sum, g.learned = g.sum.plus(next, 1), g.learned+1
	}
	if g.learned == 0 {
		g.sum = Speed{} // no rounding errors of former endpoints remain
	}
}

// leave removes a removed endpoint's contribution to the sum. Later samples of the endpoint have no
// effect on it.
func (g *group) leave(e *Endpoint) {
	e.speed.mu.Lock()
	defer e.speed.mu.Unlock()
	e.speed.left = true
	g.replace(e.speed.load(), Speed{})
}

// mean returns the mean speed of the endpoints that have samples, or DefaultSpeed if none has.
func (g *group) mean() Speed {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.learned == 0 {
		return DefaultSpeed
	}
	n := float64(g.learned)
	return Speed{
		Prefill: g.sum.Prefill / n, CallSeconds: g.sum.CallSeconds / n,
		TokenBase: g.sum.TokenBase / n, TokenPerCall: g.sum.TokenPerCall / n,
	}
}

// plus returns the sum of s and factor times t.
func (s Speed) plus(t Speed, factor float64) Speed {
	s.Prefill += factor * t.Prefill
	s.TokenBase += factor * t.TokenBase
	s.TokenPerCall += factor * t.TokenPerCall
	s.CallSeconds += factor * t.CallSeconds
	return s
}
