package upstream

import (
	"sync"
	"sync/atomic"
	"time"
)

// Speed is what has been learned of an upstream's speed with one model or service.
type Speed struct {
	// Prefill is in tokens a second.
	Prefill float64
	// A decoded token takes TokenBase + TokenPerCall * batch, in seconds.
	TokenBase, TokenPerCall float64
	// Call is the mean time of a whole call in seconds.
	Call float64
	// Samples is the number of answers learned from.
	Samples int
}

// TokenTime returns the time of one decoded token in a batch, in seconds.
func (s Speed) TokenTime(batch int) float64 {
	return s.TokenBase + s.TokenPerCall*float64(batch)
}

// Prior is the speed assumed before the first answer: a middling engine.
var DefaultSpeed = Speed{Prefill: 6000, TokenBase: 0.02, TokenPerCall: 0.001, Call: 2}

// The rules of learning.
const (
	// minPrefillSample is the least number of prefilled tokens that tells a speed.
	minPrefillSample = 128
	// The time to the first token holds also waiting, so it gives a lower
	// bound of the prefill speed: the estimate rises fast to a higher sample
	// and sinks slowly to a lower one.
	prefillRiseWeight = 0.3
	prefillFallWeight = 0.03
	// decodeKeep is the weight of earlier samples at each new one.
	decodeDecay = 0.95
	callWeight  = 0.1
	// priorWeight is the weight of the prior in the first fits. It gives the
	// line a slope before batches of several sizes were seen, and no more: an
	// engine three times as fast would else look slow for its first ten answers.
	defaultWeight = 0.2
)

// Sample is what one answer tells.
type Sample struct {
	// Uncached and Output count tokens; Batch is the batch that it ran in.
	Uncached, Output, Batch int
	FirstToken, Total       time.Duration
}

type learnedSpeed struct {
	mu      sync.Mutex
	current atomic.Pointer[Speed]
	// Decaying sums of the line through (batch, time of a token).
	n, x, y, xx, xy float64
}

func (c *learnedSpeed) load() Speed {
	if s := c.current.Load(); s != nil {
		return *s
	}
	return DefaultSpeed
}

// Learn takes in one answer.
func (e *Endpoint) Learn(s Sample) {
	e.speed.mu.Lock()
	defer e.speed.mu.Unlock()
	next := e.speed.load()
	next.Samples++
	learnPrefill(&next, s)
	e.speed.learnDecode(&next, s)
	// The first answers outweigh the prior, which may be far off.
	weight := max(callWeight, 1/float64(next.Samples))
	next.Call += weight * (s.Total.Seconds() - next.Call)
	e.speed.current.Store(&next)
}

func learnPrefill(next *Speed, s Sample) {
	if s.Uncached < minPrefillSample || s.FirstToken <= 0 || s.FirstToken == s.Total {
		return
	}
	rate := float64(s.Uncached) / s.FirstToken.Seconds()
	weight := prefillFallWeight
	if rate > next.Prefill {
		weight = prefillRiseWeight
	}
	// The prior is a guess about all engines; the first answers outweigh it.
	weight = max(weight, 1/float64(next.Samples))
	next.Prefill += weight * (rate - next.Prefill)
}

// learnDecode fits the time of a token as a line over the batch size.
func (c *learnedSpeed) learnDecode(next *Speed, s Sample) {
	if s.Output < 2 || s.Total <= s.FirstToken {
		return
	}
	if c.n == 0 {
		c.addDecode(1, DefaultSpeed.TokenTime(1), defaultWeight)
		c.addDecode(16, DefaultSpeed.TokenTime(16), defaultWeight)
	}
	perToken := (s.Total - s.FirstToken).Seconds() / float64(s.Output-1)
	c.n, c.x, c.y, c.xx, c.xy = c.n*decodeDecay, c.x*decodeDecay, c.y*decodeDecay, c.xx*decodeDecay, c.xy*decodeDecay
	c.addDecode(float64(s.Batch), perToken, 1)
	spread := c.n*c.xx - c.x*c.x
	slope := 0.0
	if spread > 1e-9 {
		slope = max(0, (c.n*c.xy-c.x*c.y)/spread)
	}
	base := (c.y - slope*c.x) / c.n
	if base <= 0 {
		base, slope = 0, c.y/max(c.x, 1)
	}
	next.TokenBase, next.TokenPerCall = base, slope
}

func (c *learnedSpeed) addDecode(batch, perToken, weight float64) {
	c.n += weight
	c.x += weight * batch
	c.y += weight * perToken
	c.xx += weight * batch * batch
	c.xy += weight * batch * perToken
}

const (
	// slownessUnit is a slowness of 1.
	slownessUnit   = 1000
	slownessWeight = 0.3
	slownessMax    = 50
	// slownessHalf is the half-life of a slowness without new samples, so that
	// an upstream that was slow is tried again.
	slownessHalfLife = 20 * time.Second
)

// Compare takes in how long a call took against what was expected. It follows
// a sudden slow-down within a few answers, where the learned speeds take long.
func (u *Upstream) ObserveLatency(now time.Time, measured, expected time.Duration) {
	if expected <= 0 || measured <= 0 {
		return
	}
	ratio := min(slownessMax, max(0.2, measured.Seconds()/expected.Seconds()))
	u.mu.Lock()
	defer u.mu.Unlock()
	old := u.currentSlowness(now.UnixNano())
	u.slowness.Store(int64(slownessUnit * (old + slownessWeight*(ratio-old))))
	u.slownessAt.Store(now.UnixNano())
}

// slow returns the slowness, drawn towards 1 with its age.
func (u *Upstream) currentSlowness(now int64) float64 {
	at := u.slownessAt.Load()
	if at == 0 {
		return 1
	}
	excess := float64(u.slowness.Load())/slownessUnit - 1
	age := float64(now-at) / float64(slownessHalfLife)
	return 1 + excess/(1+max(0, age))
}

// WithoutSamples returns the speed as that of an upstream that has not answered.
func (s Speed) WithoutSamples() Speed {
	s.Samples = 0
	return s
}
