package limit

import (
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxhall/internal/plan"
)

const (
	// shareLifetime is how long a share is valid after its grant. An instance renews it every
	// requestInterval.
	shareLifetime = 3 * time.Second
	// defaultShareDivisor sets the default share, which an instance uses without a request, as a
	// fraction of its part by weight.
	defaultShareDivisor = 2
)

// Demand is what one instance would use of a plan's limits.
type Demand struct {
	Plan string
	// Rate is in steps per second. Slots is the number of concurrent steps, of which Running are
	// running.
	Rate           float64
	Slots, Running int
	// Limits are the plan's limits as the requester knows them.
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

// Members lists the live instances of the data centre.
type Members interface {
	// Weights returns the live instances' sizes by name, including this instance.
	Weights() map[string]float64
	// Self returns this instance's name.
	Self() string
}

// fleet is the set of live instances of the data centre with their sizes.
type fleet struct {
	weights map[string]float64
	total   float64
}

// minWeight prevents a division by zero for instances without a configured size.
const minWeight = 1e-6

func newFleet(weights map[string]float64) fleet {
	f := fleet{weights: weights}
	for _, weight := range weights {
		f.total += max(weight, minWeight)
	}
	return f
}

// arbiterOf returns the instance that divides a plan's limits: the one with the highest hash of
// instance and plan (rendezvous hashing, Thaler and Ravishankar 1996), so that a change of members
// moves few plans.
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

// weightedLimits returns an instance's part of the limits by weight.
func (f fleet) weightedLimits(limits plan.Limits, name string) (rate, slots float64) {
	if f.total == 0 {
		return limits.Rate, float64(limits.Concurrency)
	}
	fraction := max(f.weights[name], minWeight) / f.total
	return limits.Rate * fraction, float64(limits.Concurrency) * fraction
}

// defaultShare returns what an instance may use without a granted share.
func (f fleet) defaultShare(limits plan.Limits, name string) Share {
	rate, slots := f.weightedLimits(limits, name)
	if len(f.weights) < 2 {
		return Share{Rate: rate, Slots: int(slots)}
	}
	return Share{Rate: rate / defaultShareDivisor, Slots: int(slots / defaultShareDivisor)}
}

// arbiter divides the limits of the plans that hash to this instance. Its state is soft: a new
// arbiter rebuilds it from the requests of one interval, and assumes the default share for
// instances that have sent none.
type arbiter struct {
	mu    sync.Mutex
	plans map[string]map[string]*requester
}

// requester holds one instance's last demand and the shares granted to it.
type requester struct {
	demand      Demand
	lastRequest time.Time
	// grants are the shares that may still be in use, newest last. A response that lowers a share
	// may be lost; the instance then uses the share before it until that expires.
	grants []grant
}

type grant struct {
	share   Share
	expires time.Time
}

func newArbiter() *arbiter { return &arbiter{plans: map[string]map[string]*requester{}} }

// allocate returns a share for one instance's demand.
func (a *arbiter) allocate(from string, demand Demand, members fleet, now time.Time) Share {
	a.mu.Lock()
	defer a.mu.Unlock()
	requesters := a.plans[demand.Plan]
	if requesters == nil {
		requesters = map[string]*requester{}
		a.plans[demand.Plan] = requesters
	}
	dropStaleRequesters(requesters, members, now)
	self := requesters[from]
	if self == nil {
		self = &requester{}
		requesters[from] = self
	}
	self.demand, self.lastRequest = demand, now
	share := fairShare(from, demand.Limits, requesters, members)
	free := remaining(from, demand, requesters, members, now)
	share.Rate = min(share.Rate, max(0, free.Rate))
	share.Slots = min(share.Slots, max(0, free.Slots))
	share.Plan = demand.Plan
	self.recordGrant(share, now)
	return share
}

// recordGrant adds a share to the grants and removes expired ones and those that it covers.
func (s *requester) recordGrant(share Share, now time.Time) {
	kept := s.grants[:0]
	for _, g := range s.grants {
		if now.Before(g.expires) && (g.share.Rate > share.Rate || g.share.Slots > share.Slots) {
			kept = append(kept, g)
		}
	}
	s.grants = append(kept, grant{share: share, expires: now.Add(shareLifetime)})
}

// maxInUse returns an upper bound of what the requester uses at present.
func (s *requester) maxInUse(now time.Time) Share {
	used := Share{Slots: s.demand.Running}
	for _, g := range s.grants {
		if now.Before(g.expires) {
			used = used.atLeast(g.share)
		}
	}
	return used
}

// dropStaleRequesters removes requesters that have sent no request for longer than shareLifetime or
// are not in the fleet.
func dropStaleRequesters(requesters map[string]*requester, members fleet, now time.Time) {
	for name, s := range requesters {
		if _, lives := members.weights[name]; !lives || now.Sub(s.lastRequest) > shareLifetime {
			delete(requesters, name)
		}
	}
}

// remaining returns what the limits leave for one requester if all others use what they may.
func remaining(from string, demand Demand, requesters map[string]*requester, members fleet, now time.Time) Share {
	left := Share{Rate: demand.Limits.Rate, Slots: demand.Limits.Concurrency}
	for name := range members.weights {
		if name == from {
			continue
		}
		// At least the default share, which the instance uses when its share expires.
		used := members.defaultShare(demand.Limits, name)
		if s := requesters[name]; s != nil {
			used = used.atLeast(s.maxInUse(now))
		}
		left.Rate -= used.Rate
		left.Slots -= used.Slots
	}
	return left
}

// fairShare returns one requester's part of the limits, divided max-min fairly by weight:
// requesters that demand less than their part get their demand, the others divide the rest.
func fairShare(from string, limits plan.Limits, requesters map[string]*requester, members fleet) Share {
	pool := Share{Rate: limits.Rate, Slots: limits.Concurrency}
	var claims []claim
	for name, weight := range members.weights {
		s := requesters[name]
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

// demandHeadroom is the factor by which the allocated rate may exceed the demand. It lets a share
// grow: an instance that uses its full share can't show a demand above it.
const demandHeadroom = 1.5

// claim is what one requester claims of the limits.
type claim struct {
	name        string
	weight      float64
	rate, slots float64
}

// waterFill divides the pool max-min fairly. The surplus after all claims are met goes to all by
// weight.
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

// roundSlots rounds shares down to whole slots and gives the remaining slots to the largest
// fractions, so that a concurrency below the number of instances is still fully allocated.
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
