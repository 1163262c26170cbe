package scheduler

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	ewmaWeight = 0.1
	// outputPrior is the number of output tokens assumed of a plan's first call.
	defaultOutputTokens = 128
	// pausePrior is the length assumed of a tool's first call.
	defaultToolWait = 2 * time.Second
	// popularPrefixes bounds the shared prefixes whose use is counted.
	maxTrackedPrefixes = 4096
	rateWindow         = 10 * time.Second
)

// mean is an exponentially weighted mean.
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

// outputs learns how many tokens a plan's answers have.
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

// pauses learns how long programs wait for each tool.
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

// movePrior is the rate of cache moves in tokens a second before any was measured.
const defaultMoveRate = 15000

// moves learns how fast caches move between engines. A failed move counts as
// no speed at all, so that moves end where engines refuse them.
type moveRates struct {
	mu         sync.Mutex
	rate       ewma
	measuredAt time.Time
}

// moveMemory is how long a measured rate counts, so that moves that failed are tried again.
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

// popularity counts how often a shared prefix is used by new programs.
type popularity struct {
	mu    sync.Mutex
	rates *lru.Cache[uint64, *decayingRate]
}

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

// use counts one use of the prefix and returns the uses a second of late.
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
