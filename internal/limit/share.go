package limit

import (
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxhall/internal/plan"
)

const (
	// shareTime is how long a share holds after it was granted. An instance
	// renews it each askInterval.
	shareLifetime = 3 * time.Second
	// unaskedPart is the part of an instance's weight that it uses without
	// asking, as one of so many.
	defaultShareDivisor = 2
)

// Demand is what one instance would use of a plan's limits.
type Demand struct {
	Plan string
	// Rate is in steps a second; Slots in steps at once, of which Running are under way.
	Rate           float64
	Slots, Running int
	// Limits are the plan's, as the asker knows them.
	Limits plan.Limits
}

// Share is the part of a plan's limits that one instance may use.
type Share struct {
	Plan  string
	Rate  float64
	Slots int
}

func (s Share) atLeast(t Share) Share {
	return Share{Plan: s.Plan, Rate: max(s.Rate, t.Rate), Slots: max(s.Slots, t.Slots)}
}

// Members tells the living instances of the data centre.
type Members interface {
	// Weights returns the living instances' sizes by name, this one included.
	Weights() map[string]float64
	// Self returns this instance's name.
	Self() string
}

// fleet is the living instances of the data centre with their sizes.
type fleet struct {
	weights map[string]float64
	total   float64
}

// minWeight keeps an instance without a stated size from dividing by zero.
const minWeight = 1e-6

func newFleet(weights map[string]float64) fleet {
	f := fleet{weights: weights}
	for _, weight := range weights {
		f.total += max(weight, minWeight)
	}
	return f
}

// arbiterOf returns the instance that divides a plan's limits: the highest
// hash of instance and plan (rendezvous hashing, Thaler and Ravishankar 1996),
// so that a change of members moves few plans.
func (f fleet) arbiterOf(planName string) string {
	var best string
	var top uint64
	for name := range f.weights {
		hash := xxhash.Sum64String(name + "\x00" + planName)
		if best == "" || hash > top || hash == top && name < best {
			best, top = name, hash
		}
	}
	return best
}

// base returns an instance's part of the limits by weight.
func (f fleet) weightedLimits(limits plan.Limits, name string) (rate, slots float64) {
	if f.total == 0 {
		return limits.Rate, float64(limits.Concurrency)
	}
	part := max(f.weights[name], minWeight) / f.total
	return limits.Rate * part, float64(limits.Concurrency) * part
}

// unasked is what an instance uses without a share.
func (f fleet) defaultShare(limits plan.Limits, name string) Share {
	rate, slots := f.weightedLimits(limits, name)
	if len(f.weights) < 2 {
		return Share{Rate: rate, Slots: int(slots)}
	}
	return Share{Rate: rate / defaultShareDivisor, Slots: int(slots / defaultShareDivisor)}
}

// arbiter divides the limits of those plans that hash to this instance. What
// it knows is soft: a new arbiter learns it anew from the askers within one
// interval, and counts for every instance it has not heard of what that
// instance uses unasked.
type arbiter struct {
	mu    sync.Mutex
	plans map[string]map[string]*requester
}

// asker is one instance's last demand and what it may be using by the shares
// that it was granted.
type requester struct {
	demand      Demand
	lastRequest time.Time
	// grants are the shares that may still be in use, the last one last: an
	// answer that lowers a share may get lost, and then the one before holds
	// until it ends.
	grants []grant
}

type grant struct {
	share   Share
	expires time.Time
}

func newArbiter() *arbiter { return &arbiter{plans: map[string]map[string]*requester{}} }

// divide answers one instance's demand.
func (a *arbiter) allocate(from string, demand Demand, members fleet, now time.Time) Share {
	a.mu.Lock()
	defer a.mu.Unlock()
	askers := a.plans[demand.Plan]
	if askers == nil {
		askers = map[string]*requester{}
		a.plans[demand.Plan] = askers
	}
	dropStaleRequesters(askers, members, now)
	self := askers[from]
	if self == nil {
		self = &requester{}
		askers[from] = self
	}
	self.demand, self.lastRequest = demand, now
	share := fairShare(from, demand.Limits, askers, members)
	free := remaining(from, demand, askers, members, now)
	share.Rate = min(share.Rate, max(0, free.Rate))
	share.Slots = min(share.Slots, max(0, free.Slots))
	share.Plan = demand.Plan
	self.recordGrant(share, now)
	return share
}

// note adds a share to those in use, in place of those that it covers.
func (s *requester) recordGrant(share Share, now time.Time) {
	kept := s.grants[:0]
	for _, g := range s.grants {
		if now.Before(g.expires) && (g.share.Rate > share.Rate || g.share.Slots > share.Slots) {
			kept = append(kept, g)
		}
	}
	s.grants = append(kept, grant{share: share, expires: now.Add(shareLifetime)})
}

// inUse returns the most that the asker may be using.
func (s *requester) mayUse(now time.Time) Share {
	used := Share{Slots: s.demand.Running}
	for _, g := range s.grants {
		if now.Before(g.expires) {
			used = used.atLeast(g.share)
		}
	}
	return used
}

// forget drops askers that have not asked for longer than a share holds, or
// have left.
func dropStaleRequesters(askers map[string]*requester, members fleet, now time.Time) {
	for name, s := range askers {
		if _, lives := members.weights[name]; !lives || now.Sub(s.lastRequest) > shareLifetime {
			delete(askers, name)
		}
	}
}

// remaining returns what the limits have left for one asker, when all others
// use what they may.
func remaining(from string, demand Demand, askers map[string]*requester, members fleet, now time.Time) Share {
	left := Share{Rate: demand.Limits.Rate, Slots: demand.Limits.Concurrency}
	for name := range members.weights {
		if name == from {
			continue
		}
		// Never less than what the instance falls back to when its share ends.
		used := members.defaultShare(demand.Limits, name)
		if s := askers[name]; s != nil {
			used = used.atLeast(s.mayUse(now))
		}
		left.Rate -= used.Rate
		left.Slots -= used.Slots
	}
	return left
}

// fairShare divides the limits between the askers, max-min fair by weight: who
// asks for less than its part gets that, and the others divide the rest.
func fairShare(from string, limits plan.Limits, askers map[string]*requester, members fleet) Share {
	pool := Share{Rate: limits.Rate, Slots: limits.Concurrency}
	var claims []claim
	for name, weight := range members.weights {
		s := askers[name]
		if s == nil {
			used := members.defaultShare(limits, name)
			pool.Rate -= used.Rate
			pool.Slots -= used.Slots
			continue
		}
		least := members.defaultShare(limits, name)
		claims = append(claims, claim{
			name: name, weight: max(weight, minWeight),
			rate: max(least.Rate, s.demand.Rate*demandHeadroom), slots: float64(max(least.Slots, s.demand.Slots)),
		})
	}
	sort.Slice(claims, func(i, j int) bool { return claims[i].name < claims[j].name })
	rates := waterFill(claims, pool.Rate, func(c claim) float64 { return c.rate })
	slots := roundSlots(waterFill(claims, float64(pool.Slots), func(c claim) float64 { return c.slots }), claims, pool.Slots)
	for i, c := range claims {
		if c.name == from {
			return Share{Rate: rates[i], Slots: slots[i]}
		}
	}
	return Share{}
}

// headroom lets a share grow: an instance that uses its whole share can't
// offer more than it to be counted.
const demandHeadroom = 1.5

type claim struct {
	name        string
	weight      float64
	rate, slots float64
}

// waterFill divides the pool max-min fair. What is left when all are satisfied
// goes to all by weight.
func waterFill(claims []claim, pool float64, want func(claim) float64) []float64 {
	shares := make([]float64, len(claims))
	order := make([]int, len(claims))
	weights := 0.0
	for i, c := range claims {
		order[i] = i
		weights += c.weight
	}
	total := weights
	sort.SliceStable(order, func(i, j int) bool {
		return want(claims[order[i]])/claims[order[i]].weight < want(claims[order[j]])/claims[order[j]].weight
	})
	pool = max(0, pool)
	for _, i := range order {
		shares[i] = min(want(claims[i]), pool*claims[i].weight/weights)
		pool -= shares[i]
		weights -= claims[i].weight
	}
	for i, c := range claims {
		shares[i] += pool * c.weight / total
	}
	return shares
}

// wholeSlots rounds down and hands what is left to the largest fractions, so
// that a concurrency below the number of instances is still given out whole.
func roundSlots(shares []float64, claims []claim, pool int) []int {
	slots := make([]int, len(shares))
	order := make([]int, len(shares))
	left := max(0, pool)
	for i, share := range shares {
		slots[i] = int(share)
		left -= slots[i]
		order[i] = i
	}
	sort.SliceStable(order, func(i, j int) bool {
		a, b := order[i], order[j]
		return shares[a]-float64(slots[a]) > shares[b]-float64(slots[b])
	})
	for _, i := range order {
		if left > 0 && float64(slots[i]) < claims[i].slots {
			slots[i]++
			left--
		}
	}
	return slots
}
