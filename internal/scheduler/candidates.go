package scheduler

import (
	"slices"
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
	// maxRecent is the number of upstreams used last that a decision considers beside the sample. In a
	// fleet of thousands the sample hardly ever has one with an open connection.
	maxRecent = 16
	// searchInterval is the least time between two decisions over all upstreams for a step that waits for one that can
	// complete it by its deadline, while none in the sample can. Their cost grows with the fleet, and a queue of such
	// steps would else take most of a core.
	searchInterval = 100 * time.Millisecond
)

// decide makes one decision over a sample of the upstreams, or over all of them if none in the
// sample can take the step or complete it by its deadline.
func (p *pool) decide(endpoints []*upstream.Endpoint, w *waiter, now time.Time) placement.Decision {
	if p.key.service {
		w.step.MeanCall = meanSpeed(endpoints).CallSeconds
	}
	if !w.request.Deadline.IsZero() {
		w.step.HasDeadline, w.step.Left = true, w.request.Deadline.Sub(now)
	}
	p.scheduler.view.Lookup(w.blockHashes, &p.matches)
	d := p.decideAmong(endpoints, w, now)
	if len(w.request.Avoid) > 0 && !placement.AnyCapable(&d) {
		w.request.Avoid = nil
		d = p.decideAmong(endpoints, w, now)
	}
	return d
}

func (p *pool) decideAmong(endpoints []*upstream.Endpoint, w *waiter, now time.Time) placement.Decision {
	policy := p.scheduler.settings.Policy
	samples := policy == placement.Cost && len(endpoints) > sampleThreshold
	if w.request.Isolated {
		policy = placement.LeastInFlight
	}
	if samples {
		p.fillSample(endpoints, w, now)
		d := placement.Decide(policy, p.candidates, &w.step)
		switch {
		case !placement.AnyCapable(&d):
		case !d.Late && !d.AwaitsReopening:
			return d
		case now.Sub(w.searchedAt) < searchInterval:
			d.Late, d.ShouldWait = false, true
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

// fillSample considers evenly spaced endpoints, those with the longest part of the prompt cached, and
// those used last, to which connections are open. It looks at no other, so that a decision costs the
// same for any number of endpoints.
func (p *pool) fillSample(endpoints []*upstream.Endpoint, w *waiter, now time.Time) {
	p.candidates = p.candidates[:0]
	stride := max(1, len(endpoints)/sampleSize)
	first := int(w.step.Random % uint64(stride))
	for i := first; i < len(endpoints); i += stride {
		p.addCandidate(endpoints, i, w, now)
	}
	p.extra = append(p.extra[:0], w.step.LastUpstream)
	for _, holder := range p.matches.Found[:min(maxCacheHolders, len(p.matches.Found))] {
		p.extra = append(p.extra, holder.Upstream)
	}
	p.extra = append(p.extra, p.recent...)
	for n, id := range p.extra {
		i, ok := p.positionOf(id, endpoints)
		if ok && i%stride != first && !slices.Contains(p.extra[:n], id) {
			p.addCandidate(endpoints, i, w, now)
		}
	}
	w.step.MoveTokensPerSecond = p.moveRate(w, now)
}

// recordRecent records that a step was placed on an upstream.
func (p *pool) recordRecent(id uint32) {
	if at := slices.Index(p.recent, id); at >= 0 {
		p.recent = slices.Delete(p.recent, at, at+1)
	} else if len(p.recent) == maxRecent {
		p.recent = slices.Delete(p.recent, 0, 1)
	}
	p.recent = append(p.recent, id)
}

// positionOf returns the index of the upstream's endpoint in endpoints.
func (p *pool) positionOf(id uint32, endpoints []*upstream.Endpoint) (int, bool) {
	u := p.scheduler.table.ByID(id)
	if u == nil {
		return 0, false
	}
	endpoint := u.Endpoint(p.key.name)
	if endpoint == nil {
		return 0, false
	}
	return endpoint.Position(endpoints)
}

func (p *pool) addCandidate(endpoints []*upstream.Endpoint, i int, w *waiter, now time.Time) {
	endpoint := endpoints[i]
	u := endpoint.Upstream
	c := placement.Candidate{
		Index:        i,
		ID:           u.ID,
		Slots:        max(1, u.Slots),
		Load:         u.Load(now.UnixNano()),
		Speed:        learnedOrMeanSpeed(endpoint),
		CachedTokens: p.matches.Depth(u.ID) * engine.BlockTokens,
		SpeedAge:     endpoint.SpeedAge(now),
		Refusal:      1 + slices.Index(w.request.RefusedBy, u.Name),
	}
	p.scheduler.setConnections(&c, u, w.request.MaxConnections)
	if w.isFullFor(&c) {
		c.Load.Condition = upstream.Full
	}
	p.scheduler.restrict(&c, endpoint, w.request)
	p.candidates = append(p.candidates, c)
}

// setConnections sets what a connection to the candidate costs and whether one is free. Calls that were
// granted and are yet to be sent take none of the connections in use; they are among this instance's
// calls.
func (s *Scheduler) setConnections(c *placement.Candidate, u *upstream.Upstream, limit int) {
	c.NoConnection = limit > 0 && c.Load.Own >= limit
	if s.settings.Connections == nil {
		return
	}
	idle, free := s.settings.Connections(u.Name, u.Address, limit)
	if !idle {
		c.ConnectCost = s.settings.ConnectCost
	}
	c.NoConnection = c.NoConnection || limit > 0 && !free
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

// learnedOrMeanSpeed returns the learned speed of an upstream, or the mean of the others if it has
// not completed a call yet. With a fixed default, a fleet of fast engines would leave new engines
// idle while steps queue for the old ones.
func learnedOrMeanSpeed(endpoint *upstream.Endpoint) upstream.Speed {
	if speed := endpoint.Speed(); speed.Samples > 0 {
		return speed
	}
	return endpoint.MeanSpeed()
}

// poolAge returns the time since the latest response of any of the endpoints, which belong to one pool, from which a
// speed was learned; -1 if there was none.
func poolAge(endpoints []*upstream.Endpoint, now time.Time) time.Duration {
	if len(endpoints) == 0 {
		return -1
	}
	return endpoints[0].MeanSpeedAge(now)
}

// meanSpeed returns the mean learned speed of the endpoints, which belong to one pool.
func meanSpeed(endpoints []*upstream.Endpoint) upstream.Speed {
	if len(endpoints) == 0 {
		return upstream.DefaultSpeed
	}
	return endpoints[0].MeanSpeed()
}
