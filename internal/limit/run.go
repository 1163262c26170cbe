package limit

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// requestInterval is the mean time between two periodic requests of an instance for shares.
	requestInterval = time.Second
	// requestTimeout bounds one request to an arbiter.
	requestTimeout = 500 * time.Millisecond
	// minRequestGap bounds how often a flood of refusals triggers requests.
	minRequestGap = 50 * time.Millisecond
)

// Arbiters sends requests to the arbiters on other instances of the data centre.
type Arbiters interface {
	// RequestShares sends demands to an instance, which responds with the result of
	// Gate.AllocateShares.
	RequestShares(ctx context.Context, instance string, demands []Demand) ([]Share, error)
}

// Run adjusts this instance's shares of the limits to its demand until ctx ends. Without Run a
// gate uses its default shares.
func (g *Gate) Run(ctx context.Context) error {
	last := time.Now()
	for {
		timer := time.NewTimer(requestInterval/2 + rand.N(requestInterval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
			now := time.Now()
			g.updateFlows(now.Sub(last))
			last = now
		case <-g.requestNow:
			timer.Stop()
		}
		g.refreshShares(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(minRequestGap):
		}
	}
}

// requestSoon makes Run request shares without waiting for the interval, because a step must wait.
func (g *Gate) requestSoon() {
	select {
	case g.requestNow <- struct{}{}:
	default:
	}
}

// updateFlows updates the offered rates at the end of an interval and removes idle flows.
func (g *Gate) updateFlows(interval time.Duration) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, f := range g.flows {
		f.updateOfferedRate(interval)
		if f.running == 0 && len(f.queue) == 0 && now.Sub(f.lastUse) > flowRetention {
			delete(g.flows, name)
		}
	}
}

// refreshShares sends demands above the default share to their arbiters and applies the shares
// granted.
func (g *Gate) refreshShares(ctx context.Context) {
	if g.options.Members == nil {
		return
	}
	members := g.members()
	var group sync.WaitGroup
	for instance, demands := range g.demandsByArbiter(members) {
		group.Go(func() { g.refreshFrom(ctx, instance, demands, members) })
	}
	group.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, f := range g.flows {
		f.applyShare(g.currentShare(f, now), now)
	}
	g.dispatch(now)
}

// demandsByArbiter returns, by arbiter, the demands that exceed the default share.
func (g *Gate) demandsByArbiter(members fleet) map[string][]Demand {
	g.mu.Lock()
	defer g.mu.Unlock()
	grouped := map[string][]Demand{}
	for name, f := range g.flows {
		share := members.defaultShare(f.limits, g.options.Members.Self())
		d := f.demand()
		if f.limits.Rate > 0 && d.Rate > share.Rate || f.limits.Concurrency > 0 && d.Slots > share.Slots || len(f.queue) > 0 {
			arbiter := members.arbiterOf(name)
			grouped[arbiter] = append(grouped[arbiter], d)
		}
	}
	return grouped
}

func (g *Gate) refreshFrom(ctx context.Context, instance string, demands []Demand, members fleet) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	sent := time.Now()
	shares, err := g.sharesFrom(ctx, instance, demands)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.applyFallback(demands, members)
		return
	}
	for _, share := range shares {
		if f := g.flows[share.Plan]; f != nil {
			f.share, f.shareExpires = share, sent.Add(shareLifetime)
		}
	}
}

func (g *Gate) sharesFrom(ctx context.Context, instance string, demands []Demand) ([]Share, error) {
	if instance == g.options.Members.Self() {
		return g.AllocateShares(instance, demands), nil
	}
	return g.options.Arbiters.RequestShares(ctx, instance, demands)
}

// applyFallback applies the full part by weight while an arbiter does not respond and no share is
// valid: the default share, half of it, would refuse customers because of an internal fault. The
// sum over the instances may then exceed a limit, by half at most, or by one slot for each
// instance if a plan has fewer slots than there are instances.
func (g *Gate) applyFallback(demands []Demand, members fleet) {
	now := time.Now()
	for _, d := range demands {
		f := g.flows[d.Plan]
		if f == nil || now.Before(f.shareExpires) {
			continue
		}
		rate, slots := members.weightedLimits(f.limits, g.options.Members.Self())
		f.share = Share{Plan: d.Plan, Rate: rate, Slots: max(1, int(slots))}
		f.shareExpires = now.Add(shareLifetime)
	}
}

// AllocateShares returns shares for an instance's demands on plans whose arbiter is this instance.
func (g *Gate) AllocateShares(from string, demands []Demand) []Share {
	members := newFleet(map[string]float64{from: 1})
	if g.options.Members != nil {
		members = g.members()
	}
	now := time.Now()
	shares := make([]Share, 0, len(demands))
	for _, d := range demands {
		shares = append(shares, g.arbiter.allocate(from, d, members, now))
	}
	return shares
}

func (g *Gate) members() fleet { return newFleet(g.options.Members.Weights()) }

// currentShare returns what this instance may use of a plan's limits now.
func (g *Gate) currentShare(f *flow, now time.Time) Share {
	if g.options.Members == nil {
		return Share{Rate: f.limits.Rate, Slots: f.limits.Concurrency}
	}
	if now.Before(f.shareExpires) {
		return f.share
	}
	return g.members().defaultShare(f.limits, g.options.Members.Self())
}
