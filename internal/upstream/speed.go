package upstream

import (
	"sync"
	"sync/atomic"
	"time"
)

// Speed is the learned speed of an upstream with one model or service.
type Speed struct {
	// Prefill is in tokens per second.
	Prefill float64
	// TokenBase and TokenPerCall are in seconds: one decoded token takes TokenBase + TokenPerCall *
	// batch size.
	TokenBase, TokenPerCall float64
	// CallSeconds is the mean duration of a complete call in seconds.
	CallSeconds float64
	// Samples is the number of responses learned from.
	Samples int
}

// TokenTime returns the time to decode one token in a batch of the given size, in seconds.
func (s Speed) TokenTime(batch int) float64 {
	return s.TokenBase + s.TokenPerCall*float64(batch)
}

// DefaultSpeed is the speed assumed before the first response: that of an average engine.
var DefaultSpeed = Speed{Prefill: 6000, TokenBase: 0.02, TokenPerCall: 0.001, CallSeconds: 2}

// The parameters of learning.
const (
	// minPrefillSample is the least number of prefilled tokens from which a speed is learned.
	minPrefillSample = 128
	// prefillRiseWeight and prefillFallWeight are the weights of a sample above and below the
	// estimate. The time to the first token includes queueing, so a sample is a lower bound of the
	// prefill speed: the estimate rises fast to a higher sample and falls slowly to a lower one.
	prefillRiseWeight = 0.3
	prefillFallWeight = 0.03
	// decodeDecay is the factor on the weight of all earlier samples at each new one.
	decodeDecay = 0.95
	// callWeight is the least weight of a sample in the mean duration of a call.
	callWeight = 0.1
	// defaultWeight is the weight of DefaultSpeed in the first fits. It is just enough to give the
	// line a slope before batches of several sizes have been seen: with more weight, an engine three
	// times as fast would appear slow for its first ten responses.
	defaultWeight = 0.2
)

// Sample is the measurement of one response.
type Sample struct {
	// Uncached and Output are numbers of tokens; Batch is the size of the batch that the call ran in.
	Uncached, Output, Batch int
	// FirstToken is the time to the first token, Total the time to the end of the response.
	FirstToken, Total time.Duration
}

// learnedSpeed is the speed learned from the responses of one endpoint.
type learnedSpeed struct {
	mu      sync.Mutex
	current atomic.Pointer[Speed]
	// learnedAt is when the speed was learned or confirmed last, in Unix nanoseconds; 0 for never.
	learnedAt atomic.Int64
	// left is set once the endpoint is removed from the table.
	left bool
	// Decaying sums of the linear regression of the time per token over the batch size; n is the sum
	// of the weights.
	n, x, y, xx, xy float64
}

func (l *learnedSpeed) load() Speed {
	if s := l.current.Load(); s != nil {
		return *s
	}
	return DefaultSpeed
}

// Learn updates the learned speed with one response.
func (e *Endpoint) Learn(s Sample) {
	e.speed.mu.Lock()
	defer e.speed.mu.Unlock()
	next := e.speed.load()
	next.Samples++
	learnPrefill(&next, s)
	e.speed.learnDecode(&next, s)
	// The first responses outweigh the default, which may be far from the true value.
	weight := max(callWeight, 1/float64(next.Samples))
	next.CallSeconds += weight * (s.Total.Seconds() - next.CallSeconds)
	if !e.speed.left && e.group != nil {
		e.group.replace(e.speed.load(), next)
	}
	e.speed.current.Store(&next)
	now := time.Now().UnixNano()
	e.speed.learnedAt.Store(now)
	if e.group != nil {
		e.group.learnedAt.Store(now)
	}
}

// ConfirmSpeed records that a call at the endpoint took at least as long as its speed tells.
func (e *Endpoint) ConfirmSpeed(now time.Time) { e.speed.learnedAt.Store(now.UnixNano()) }

// SpeedAge returns the time since the latest response that the speed was learned from; -1 if there was none.
func (e *Endpoint) SpeedAge(now time.Time) time.Duration { return ageOf(&e.speed.learnedAt, now) }

// MeanSpeedAge returns the time since the latest response of any endpoint of the same model or service that a speed was
// learned from; -1 if there was none.
func (e *Endpoint) MeanSpeedAge(now time.Time) time.Duration { return ageOf(&e.group.learnedAt, now) }

func ageOf(at *atomic.Int64, now time.Time) time.Duration {
	if at.Load() == 0 {
		return -1
	}
	return max(0, time.Duration(now.UnixNano()-at.Load()))
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
	// The default is a guess about all engines; the first responses outweigh it.
	weight = max(weight, 1/float64(next.Samples))
	next.Prefill += weight * (rate - next.Prefill)
}

// learnDecode fits the time per token as a linear function of the batch size.
func (l *learnedSpeed) learnDecode(next *Speed, s Sample) {
	if s.Output < 2 || s.Total <= s.FirstToken {
		return
	}
	if l.n == 0 {
		l.addDecode(1, DefaultSpeed.TokenTime(1), defaultWeight)
		l.addDecode(16, DefaultSpeed.TokenTime(16), defaultWeight)
	}
	perToken := (s.Total - s.FirstToken).Seconds() / float64(s.Output-1)
	l.n, l.x, l.y, l.xx, l.xy = l.n*decodeDecay, l.x*decodeDecay, l.y*decodeDecay, l.xx*decodeDecay, l.xy*decodeDecay
	l.addDecode(float64(s.Batch), perToken, 1)
	spread := l.n*l.xx - l.x*l.x
	slope := 0.0
	if spread > 1e-9 {
		slope = max(0, (l.n*l.xy-l.x*l.y)/spread)
	}
	base := (l.y - slope*l.x) / l.n
	if base <= 0 {
		base, slope = 0, l.y/max(l.x, 1)
	}
	next.TokenBase, next.TokenPerCall = base, slope
}

func (l *learnedSpeed) addDecode(batch, perToken, weight float64) {
	l.n += weight
	l.x += weight * batch
	l.y += weight * perToken
	l.xx += weight * batch * batch
	l.xy += weight * batch * perToken
}

const (
	// slownessUnit is the stored value of a slowness of 1.
	slownessUnit = 1000
	// slownessWeight is the weight of one sample in the moving average.
	slownessWeight = 0.3
	// slownessMax bounds the ratio of measured to expected time of one sample.
	slownessMax = 50
	// slownessHalfLife is the half-life of the excess over 1 without new samples, so that an
	// upstream that was slow is tried again.
	slownessHalfLife = 20 * time.Second
)

// ObserveLatency updates the slowness with the measured and the expected duration of a call. It
// follows a sudden slow-down within a few responses, where the learned speeds adapt slowly.
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

// currentSlowness returns the slowness at now (Unix nanoseconds), decayed towards 1 with its age.
func (u *Upstream) currentSlowness(now int64) float64 {
	at := u.slownessAt.Load()
	if at == 0 {
		return 1
	}
	excess := float64(u.slowness.Load())/slownessUnit - 1
	age := float64(now-at) / float64(slownessHalfLife)
	return 1 + excess/(1+max(0, age))
}

// WithoutSamples returns the speed with the sample count of an upstream that has not responded yet.
func (s Speed) WithoutSamples() Speed {
	s.Samples = 0
	return s
}
