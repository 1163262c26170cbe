package scheduler

import (
	"time"

	"foxhall/internal/engine"
	"foxhall/internal/placement"
	"foxhall/internal/upstream"
)

const (
	// sampleThreshold is the number of upstreams up to which a decision considers all of them.
	// Above it, a decision considers about sampleSize of them, evenly spaced from a random offset,
	// and up to maxCacheHolders of those that have the longest part of the prompt cached. The cost of
	// a decision then does not grow with the fleet, and instances that share the same stale view
	// choose different upstreams.
	sampleThreshold = 128
	sampleSize      = 48
	maxCacheHolders = 32
)

// decide makes one decision over a sample of the upstreams, or over all of them if none in the
// sample can take the step.
func (p *pool) decide(endpoints []*upstream.Endpoint, w *waiter, now time.Time) placement.Decision {
	if p.key.service {
		w.step.MeanCall = p.poolMeanSpeed(endpoints, now).CallSeconds
	}
	p.scheduler.view.Lookup(w.blockHashes, &p.matches)
	policy := p.scheduler.settings.Policy
	if policy == placement.Cost && len(endpoints) > sampleThreshold {
		p.fillSample(endpoints, w, now)
		d := placement.Decide(policy, p.candidates, &w.step)
		if placement.AnyCapable(&d) {
			return d
		}
	}
	p.fillAll(endpoints, w, now)
	return placement.Decide(policy, p.candidates, &w.step)
}

func (p *pool) fillAll(endpoints []*upstream.Endpoint, w *waiter, now time.Time) {
	p.candidates = p.candidates[:0]
	for i := range endpoints {
		p.addCandidate(endpoints, i, w, now)
	}
	w.step.MoveTokensPerSecond = p.moveRate(w, now)
}

func (p *pool) fillSample(endpoints []*upstream.Endpoint, w *waiter, now time.Time) {
	p.candidates = p.candidates[:0]
	included := 0
	minDepth := p.holderDepth()
	start := int(w.step.Random % uint64(len(endpoints)))
	stride := max(1, len(endpoints)/sampleSize)
	for i := range endpoints {
		id := endpoints[i].Upstream.ID
		isHolder := id == w.step.LastUpstream || included < maxCacheHolders && p.matches.Depth(id) >= minDepth
		if isHolder {
			included++
		}
		if isHolder || (i+start)%stride == 0 {
			p.addCandidate(endpoints, i, w, now)
		}
	}
	w.step.MoveTokensPerSecond = p.moveRate(w, now)
}

// holderDepth returns the number of cached prompt blocks from which an upstream counts as a cache
// holder.
func (p *pool) holderDepth() int {
	found := p.matches.Found
	if len(found) == 0 {
		return 1
	}
	return found[min(maxCacheHolders, len(found))-1].Blocks
}

func (p *pool) addCandidate(endpoints []*upstream.Endpoint, i int, w *waiter, now time.Time) {
	endpoint := endpoints[i]
	u := endpoint.Upstream
	c := placement.Candidate{
		Index:        i,
		ID:           u.ID,
		Slots:        max(1, u.Slots),
		Load:         u.Load(now.UnixNano()),
		Speed:        p.learnedOrMeanSpeed(endpoint, endpoints, now),
		CachedTokens: p.matches.Depth(u.ID) * engine.BlockTokens,
	}
	if idle := p.scheduler.settings.HasIdleConnection; idle != nil && !idle(u.Name, u.Address) {
		c.ConnectCost = p.scheduler.settings.ConnectCost
	}
	p.scheduler.restrict(&c, endpoint, w.request)
	p.candidates = append(p.candidates, c)
}

// moveRate returns the rate, in tokens per second, at which the program's cache can be moved from
// its last upstream. It is 0 if that upstream is unreachable or another engine caches more of the
// prompt.
func (p *pool) moveRate(w *waiter, now time.Time) float64 {
	if p.scheduler.settings.Mover == nil || w.step.LastUpstream == 0 || len(p.matches.Found) == 0 {
		return 0
	}
	if p.matches.Depth(w.step.LastUpstream) < p.matches.Found[0].Blocks {
		return 0
	}
	return p.moveRateFromLastUpstream(w, now)
}

func (p *pool) moveRateFromLastUpstream(w *waiter, now time.Time) float64 {
	for i := range p.candidates {
		c := &p.candidates[i]
		if c.ID == w.step.LastUpstream && c.Load.Condition != upstream.CircuitOpen && c.Load.Condition != upstream.Stalled {
			return p.scheduler.moveRates.expect(now)
		}
	}
	return 0
}

// meanSpeedInterval is how often the mean speed of a pool is recomputed.
const meanSpeedInterval = 200 * time.Millisecond

// learnedOrMeanSpeed returns the learned speed of an upstream, or the mean of the others if it has
// not completed a call yet. With a fixed default, a fleet of fast engines would leave new engines
// idle while steps queue for the old ones.
func (p *pool) learnedOrMeanSpeed(endpoint *upstream.Endpoint, endpoints []*upstream.Endpoint, now time.Time) upstream.Speed {
	speed := endpoint.Speed()
	if speed.Samples > 0 {
		return speed
	}
	return p.poolMeanSpeed(endpoints, now)
}

func (p *pool) poolMeanSpeed(endpoints []*upstream.Endpoint, now time.Time) upstream.Speed {
	if now.Sub(p.meanSpeedAt) > meanSpeedInterval {
		p.meanSpeed, p.meanSpeedAt = meanSpeed(endpoints), now
	}
	return p.meanSpeed
}

func meanSpeed(endpoints []*upstream.Endpoint) upstream.Speed {
	var sum upstream.Speed
	n := 0.0
	for _, c := range endpoints {
		s := c.Speed()
		if s.Samples == 0 {
			continue
		}
		n++
		sum.Prefill += s.Prefill
		sum.TokenBase += s.TokenBase
		sum.TokenPerCall += s.TokenPerCall
		sum.CallSeconds += s.CallSeconds
	}
	if n == 0 {
		return upstream.DefaultSpeed
	}
	return upstream.Speed{Prefill: sum.Prefill / n, TokenBase: sum.TokenBase / n, TokenPerCall: sum.TokenPerCall / n, CallSeconds: sum.CallSeconds / n}
}
