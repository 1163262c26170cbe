package scheduler

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxhall/internal/engine"
	"foxhall/internal/placement"
	"foxhall/internal/queue"
	"foxhall/internal/step"
	"foxhall/internal/upstream"
	"foxhall/internal/urgency"
)

const (
	// The weights used if the grant sets none.
	defaultLatencyWeight = 1.0
	defaultCacheWeight   = 0.5
	// copyLoadThreshold is the load from new programs, as a share of the slots of the engines that
	// cache a shared prefix, above which one more copy of the prefix is wanted.
	copyLoadThreshold = 0.7
	// minSharedTokens is the minimum length of a shared prefix that is worth copying, in tokens.
	minSharedTokens = 256
)

func weights(r *Request) (latency, cache float64) {
	if r.Grant == nil || r.Grant.LatencyWeight <= 0 && r.Grant.CacheWeight <= 0 {
		return defaultLatencyWeight, defaultCacheWeight
	}
	return r.Grant.LatencyWeight, r.Grant.CacheWeight
}

func rootOf(r *Request) string {
	if r.Root != "" {
		return r.Root
	}
	return r.programKey()
}

// programKey returns the key of the program's state, which is unique across customers.
func (r *Request) programKey() string {
	if r.Customer == "" {
		return r.Program
	}
	return r.Customer + "\x00" + r.Program
}

func programHash(r *Request) uint64 { return xxhash.Sum64String(rootOf(r)) }

func (s *Scheduler) random() uint64 {
	if s.settings.Random == nil {
		return s.decisionCount.Load()
	}
	return s.settings.Random()
}

// restrict rejects a candidate that this step may not use, that failed it before or that does not
// have the model loaded. For other data centres it sets the RTT and the age of the view.
func (s *Scheduler) restrict(c *placement.Candidate, endpoint *upstream.Endpoint, r *Request) {
	u := endpoint.Upstream
	switch {
	case r.Grant != nil && len(r.Grant.DataCentres) > 0 && !r.Grant.AllowsDataCentre(u.DataCentre):
		c.Rejection = placement.NotGranted
	case r.AtVersion && u.Version != r.Version:
		c.Rejection = placement.OtherVersion
	case slices.Contains(r.Tried, u.Name):
		c.Rejection = placement.Tried
	case slices.Contains(r.Avoid, u.Name):
		c.Rejection = placement.Avoided
	case !endpoint.Serving().Ready:
		c.Rejection = placement.NotLoaded
	}
	if u.DataCentre == s.settings.DataCentre {
		return
	}
	c.RTT = s.settings.RemoteCosts[u.DataCentre]
	c.ViewAge = placement.MaxViewAge + 1
	if s.settings.RemoteViewAge != nil {
		c.ViewAge = s.settings.RemoteViewAge(u.DataCentre)
	}
}

// setWantedCopies computes on how many engines the prefix that a new program shares with others
// should be cached.
func (s *Scheduler) setWantedCopies(w *waiter, steps int, now time.Time) {
	if steps > 0 || len(w.blockHashes) < minSharedTokens/engine.BlockTokens {
		return
	}
	// The hash of the block that ends at minSharedTokens identifies the prefix: that length is enough
	// to distinguish prefixes, and shorter prompts are left out above.
	prefix := w.blockHashes[minSharedTokens/engine.BlockTokens-1]
	rate := s.prefixPopularity.recordUse(prefix, now)
	endpoints := s.endpoints(poolKey{name: w.request.Model})
	if len(endpoints) == 0 {
		return
	}
	speed := endpoints[0].Speed()
	ratePerEngine := copyLoadThreshold * float64(max(1, endpoints[0].Upstream.Slots)) / max(0.01, speed.CallSeconds)
	wanted := 1 + int(rate/ratePerEngine)
	if wanted > 1 {
		w.step.WantedCopies = wanted
		w.step.SharedTokens = minSharedTokens
	}
}

// shedOnArrival refuses a step if the queue is full or if the step cannot meet its deadline.
func (p *pool) shedOnArrival(w *waiter) *Refusal {
	if p.queue.Len() >= p.scheduler.settings.QueueLimit {
		return refuse(QueueFull, step.CodeOverloaded, 503, "too many steps wait", p.overloadRetryAfter())
	}
	wait := p.expectedWait(p.countAhead(p.queueKey(w)))
	if p.scheduler.settings.Policy != placement.Cost || w.request.Deadline.IsZero() || w.request.AtVersion || wait == 0 {
		// Estimates for all upstreams say nothing of those of one version; a step that is next is left to the scan.
		return nil
	}
	now := w.enqueued
	endpoints := p.scheduler.endpoints(p.key)
	if poolAge(endpoints, now) > max(minWaitLifetime, wait) {
		return nil
	}
	d := p.decide(endpoints, w, now)
	need := max(d.Least, urgency.CertainDuration(wait, 0)+max(0, d.LeastOwn))
	if need <= w.step.Left || d.AwaitsReopening {
		return nil
	}
	refusal := refuse(LateOnArrival, step.CodeOverloaded, 503, "the step can't be done by its deadline", max(time.Second, need-w.step.Left))
	refusal.decision = d
	refusal.Estimate = p.estimateOf(endpoints, &d, need, w.step.Left, now)
	return refusal
}

// minWaitLifetime is how long the estimated wait of a queue counts at least after the latest response.
const minWaitLifetime = time.Second

// refuseIfLate refuses a step that no upstream can complete by its deadline, not even once it has a place. If sent, it
// would take a slot from steps that can still meet theirs.
func (p *pool) refuseIfLate(endpoints []*upstream.Endpoint, w *waiter, d *placement.Decision, now time.Time) *Refusal {
	if !d.Late || p.scheduler.settings.Policy != placement.Cost {
		return nil
	}
	refusal := refuse(Late, step.CodeDeadline, 504, "the deadline can't be met; not run", time.Second)
	if p.byUrgency {
		refusal = p.refuseOverloaded(Late, w, p.scan.ahead(w.urgent.allowance), now, "the deadline can't be met; not run")
	}
	refusal.decision = *d
	refusal.Estimate = p.estimateOf(endpoints, d, d.Least, w.step.Left, now)
	return refusal
}

// estimateOf returns the estimate by which a step needs that long, by the latest decision.
func (p *pool) estimateOf(endpoints []*upstream.Endpoint, d *placement.Decision, need, left time.Duration, now time.Time) *Estimate {
	e := &Estimate{Need: need, Left: left, Age: poolAge(endpoints, now)}
	if d.Soonest >= 0 {
		endpoint := endpoints[p.candidates[d.Soonest].Index]
		e.Upstream, e.Age = endpoint.Upstream.Name, endpoint.SpeedAge(now)
	}
	return e
}

// expectedWait returns how long a step that arrives now is expected to wait in the queue behind the given number of steps.
func (p *pool) expectedWait(ahead int) time.Duration {
	slots, rate := p.usableCapacity()
	if ahead < slots-p.running || rate <= 0 {
		return 0
	}
	return time.Duration(float64(ahead+1) / rate * float64(time.Second))
}

func (p *pool) overloadRetryAfter() time.Duration {
	return max(time.Second, p.expectedWait(p.queue.Len()))
}

// countAhead returns the number of waiting steps that go before one with the key.
func (p *pool) countAhead(key time.Time) int {
	ahead := 0
	p.queue.Sample(func(item *queue.Item[*waiter], weight int) {
		if item.Key().Compare(queue.Key{At: key}) <= 0 {
			ahead += weight
		}
	})
	return ahead
}

// usableCapacity returns the number of calls that the usable upstreams may have in flight, and how many they complete per
// second then. Before any call has completed it is by default speeds: estimates of the wait depend on the queue's length
// more than on them.
func (p *pool) usableCapacity() (slots int, rate float64) {
	now := time.Now().UnixNano()
	for _, endpoint := range p.scheduler.endpoints(p.key) {
		if l := endpoint.Upstream.Load(now); l.Condition <= upstream.Full {
			slots += l.Limit
			rate += urgency.CallRate(0, l.Limit, learnedOrMeanSpeed(endpoint).CallSeconds)
		}
	}
	return slots, rate
}

// refuseIfVersionGone refuses a step if no upstream has the version that it needs: a further wait would not
// help it. d is a decision among all of the upstreams or a sample of them.
func (p *pool) refuseIfVersionGone(w *waiter, d *placement.Decision) *Refusal {
	if !w.request.AtVersion || d.Rejections[placement.OtherVersion] < len(p.candidates) || len(p.candidates) == 0 {
		return nil
	}
	refusal := refuse(NoVersion, step.CodeNoUpstream, 503, "no upstream has the version of the software that the step needs", 0)
	refusal.VersionGone, refusal.decision = true, *d
	return refusal
}

func noUpstreamRefusal(d *placement.Decision) *Refusal {
	refusal := refuse(NoUpstream, step.CodeNoUpstream, 503, "no upstream can take the step at present", noUpstreamWait)
	if d.Rejections[placement.NotLoaded] > 0 {
		refusal = refuse(NotLoaded, step.CodeNoUpstream, 503, "the model is being loaded", modelLoadRetryAfter)
	}
	refusal.decision = *d
	return refusal
}

// modelLoadRetryAfter is the Retry-After value while a model is being loaded.
const modelLoadRetryAfter = 10 * time.Second
