package scheduler

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// ewmaWeight is the weight of a new sample in an exponentially weighted mean.
	ewmaWeight = 0.1
	// defaultOutputTokens is the number of output tokens expected of a plan's first call.
	defaultOutputTokens = 128
	// defaultToolWait is the duration expected of a tool's first call.
	defaultToolWait = 2 * time.Second
	// maxTrackedPrefixes bounds the number of shared prefixes whose use is counted.
	maxTrackedPrefixes = 4096
	// rateWindow is the time constant of the decay of a decayingRate.
	rateWindow = 10 * time.Second
)

// ewma is an exponentially weighted moving average.
type ewma struct {
	value       float64
	initialized bool
}

func (m *ewma) add(v float64) {
	if !m.initialized {
		m.value, m.initialized = v, true
		return
	}
	m.value += ewmaWeight * (v - m.value)
}

// outputLengths learns the number of output tokens of each plan's responses from each model.
type outputLengths struct {
	mu    sync.Mutex
	plans map[outputKey]*ewma
}

type outputKey struct{ plan, model string }

func (o *outputLengths) learn(plan, model string, tokens int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.plans == nil {
		o.plans = map[outputKey]*ewma{}
	}
	key := outputKey{plan, model}
	if o.plans[key] == nil {
		o.plans[key] = &ewma{}
	}
	o.plans[key].add(float64(tokens))
}

func (o *outputLengths) expect(plan, model string, limit int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	expected := defaultOutputTokens
	if m := o.plans[outputKey{plan, model}]; m != nil {
		expected = int(m.value)
	}
	if limit > 0 {
		return min(limit, expected)
	}
	return expected
}

// toolWaits learns how long programs wait for each tool, in seconds.
type toolWaits struct {
	mu    sync.Mutex
	tools map[string]*ewma
}

func (p *toolWaits) learn(tool string, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tools == nil {
		p.tools = map[string]*ewma{}
	}
	if p.tools[tool] == nil {
		p.tools[tool] = &ewma{}
	}
	p.tools[tool].add(wait.Seconds())
}

func (p *toolWaits) expect(tool string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.tools[tool]; m != nil {
		return time.Duration(m.value * float64(time.Second))
	}
	return defaultToolWait
}

// defaultMoveRate is the rate of cache moves, in tokens per second, before any was measured.
const defaultMoveRate = 15000

// moveRates learns the rate, in tokens per second, at which caches move between engines. A failed
// move counts as a rate of 0, so that moves stop if the engines refuse them.
type moveRates struct {
	mu         sync.Mutex
	rate       ewma
	measuredAt time.Time
}

// moveRateLifetime is how long a measured rate is used. After it, moves that failed are tried again.
const moveRateLifetime = time.Minute

func (m *moveRates) learn(tokensPerSecond float64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.measuredAt = now
	if !m.rate.initialized {
		m.rate = ewma{value: defaultMoveRate, initialized: true}
	}
	m.rate.add(tokensPerSecond)
}

func (m *moveRates) expect(now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.rate.initialized || now.Sub(m.measuredAt) > moveRateLifetime {
		return defaultMoveRate
	}
	return m.rate.value
}

// popularity measures how often each shared prefix is used by new programs.
type popularity struct {
	mu    sync.Mutex
	rates *lru.Cache[uint64, *decayingRate]
}

// decayingRate is a rate, in events per second, that decays over rateWindow.
type decayingRate struct {
	perSecond float64
	updatedAt time.Time
}

func newPopularity() *popularity {
	uses, err := lru.New[uint64, *decayingRate](maxTrackedPrefixes)
	if err != nil {
		panic("scheduler: " + err.Error())
	}
	return &popularity{rates: uses}
}

// recordUse counts one use of the prefix and returns its recent rate, in uses per second.
func (p *popularity) recordUse(prefix uint64, now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.rates.Get(prefix)
	if !ok {
		u = &decayingRate{updatedAt: now}
		p.rates.Add(prefix, u)
	}
	u.decay(now)
	u.perSecond += 1 / rateWindow.Seconds()
	return u.perSecond
}

func (u *decayingRate) decay(now time.Time) {
	age := now.Sub(u.updatedAt)
	u.updatedAt = now
	u.perSecond *= max(0, 1-age.Seconds()/rateWindow.Seconds())
}
