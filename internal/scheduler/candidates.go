package scheduler

import (
	"time"

	"foxhall/internal/engine"
	"foxhall/internal/placement"
	"foxhall/internal/upstream"
)

const (
	// sampleAbove is the number of upstreams up to which a decision looks at
	// all of them. Above it looks at sampleSize taken by chance and at up to
	// holdersMax that hold most of the prompt: its cost stays the same whatever
	// the size of the fleet, and instances with the same late view spread.
	sampleAbove = 128
	sampleSize  = 48
	holdersMax  = 32
)

// decide makes one decision over a sample, and where that has no upstream that
// can take the step, over all.
func (p *pool) decide(cells []*upstream.Endpoint, w *waiter, now time.Time) placement.Decision {
	if p.key.service {
		w.step.MeanCall = p.meanOf(cells, now).Call
	}
	p.scheduler.view.Lookup(w.chain, &p.matches)
	policy := p.scheduler.settings.Policy
	if policy == placement.Cost && len(cells) > sampleAbove {
		p.fillSample(cells, w, now)
		d := placement.Decide(policy, p.candidates, &w.step)
		if placement.AnyCapable(&d) {
			return d
		}
	}
	p.fillAll(cells, w, now)
	return placement.Decide(policy, p.candidates, &w.step)
}

func (p *pool) fillAll(cells []*upstream.Endpoint, w *waiter, now time.Time) {
	p.candidates = p.candidates[:0]
	for i := range cells {
		p.add(cells, i, w, now)
	}
	w.step.MoveTokensPerSecond = p.moveSpeed(w, now)
}

func (p *pool) fillSample(cells []*upstream.Endpoint, w *waiter, now time.Time) {
	p.candidates = p.candidates[:0]
	holders := 0
	deep := p.deepEnough()
	start := int(w.step.Random % uint64(len(cells)))
	stride := max(1, len(cells)/sampleSize)
	for i := range cells {
		id := cells[i].Upstream.ID
		holds := id == w.step.LastUpstream || holders < holdersMax && p.matches.Depth(id) >= deep
		if holds {
			holders++
		}
		if holds || (i+start)%stride == 0 {
			p.add(cells, i, w, now)
		}
	}
	w.step.MoveTokensPerSecond = p.moveSpeed(w, now)
}

// deepEnough is the depth from which an upstream counts as a holder.
func (p *pool) deepEnough() int {
	found := p.matches.Found
	if len(found) == 0 {
		return 1
	}
	return found[min(holdersMax, len(found))-1].Blocks
}

func (p *pool) add(cells []*upstream.Endpoint, i int, w *waiter, now time.Time) {
	cell := cells[i]
	u := cell.Upstream
	c := placement.Candidate{
		Index:  i,
		ID:     u.ID,
		Slots:  max(1, u.Slots),
		Load:   u.Load(now.UnixNano()),
		Speed:  p.speedOf(cell, cells, now),
		Cached: p.matches.Depth(u.ID) * engine.BlockTokens,
	}
	if idle := p.scheduler.settings.HasIdleConnection; idle != nil && !idle(u.Name, u.Address) {
		c.ConnectCost = p.scheduler.settings.ConnectCost
	}
	p.scheduler.restrict(&c, cell, w.request)
	p.candidates = append(p.candidates, c)
}

// moveSpeed is the rate at which the program's cache can be moved away from
// its home, 0 where the home is out of reach or another engine has more.
func (p *pool) moveSpeed(w *waiter, now time.Time) float64 {
	if p.scheduler.settings.Mover == nil || w.step.LastUpstream == 0 || len(p.matches.Found) == 0 {
		return 0
	}
	if p.matches.Depth(w.step.LastUpstream) < p.matches.Found[0].Blocks {
		return 0
	}
	return p.reachableSpeed(w, now)
}

func (p *pool) reachableSpeed(w *waiter, now time.Time) float64 {
	for i := range p.candidates {
		c := &p.candidates[i]
		if c.ID == w.step.LastUpstream && c.Load.Condition != upstream.CircuitOpen && c.Load.Condition != upstream.Stalled {
			return p.scheduler.moves.expect(now)
		}
	}
	return 0
}

// meanEvery is how often the mean speed of a pool is worked out anew.
const meanEvery = 200 * time.Millisecond

// speedOf returns the learned speed of an upstream, or of one that has not
// answered yet the mean of the others. With a fixed guess a fleet of fast
// engines leaves its new ones idle while the old ones queue.
func (p *pool) speedOf(cell *upstream.Endpoint, cells []*upstream.Endpoint, now time.Time) upstream.Speed {
	speed := cell.Speed()
	if speed.Samples > 0 {
		return speed
	}
	return p.meanOf(cells, now)
}

func (p *pool) meanOf(cells []*upstream.Endpoint, now time.Time) upstream.Speed {
	if now.Sub(p.meanAt) > meanEvery {
		p.mean, p.meanAt = meanSpeed(cells), now
	}
	return p.mean
}

func meanSpeed(cells []*upstream.Endpoint) upstream.Speed {
	var sum upstream.Speed
	n := 0.0
	for _, c := range cells {
		s := c.Speed()
		if s.Samples == 0 {
			continue
		}
		n++
		sum.Prefill += s.Prefill
		sum.TokenBase += s.TokenBase
		sum.TokenPerCall += s.TokenPerCall
		sum.Call += s.Call
	}
	if n == 0 {
		return upstream.DefaultSpeed
	}
	return upstream.Speed{Prefill: sum.Prefill / n, TokenBase: sum.TokenBase / n, TokenPerCall: sum.TokenPerCall / n, Call: sum.Call / n}
}
