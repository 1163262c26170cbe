package limit

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"foxhall/internal/plan"
)

// serviceMemory is the number of steps over which a flow's mean time is taken.
const serviceTimeSamples = 16

// waiter is one step that waits to be admitted.
type waiter struct {
	flow *flow
	// decided gets nil for admitted, or the refusal. It has room for one.
	decision chan *Refusal
}

// flow is the steps of one plan on this instance.
type flow struct {
	plan   string
	limits plan.Limits
	weight float64

	// limiter is this instance's part of the plan's rate, nil for no limit;
	// slots its part of the concurrency, or noLimit.
	limiter *rate.Limiter
	slots   int
	// share is what the arbiter last granted, until shareEnds.
	share        Share
	shareExpires time.Time

	running int
	queue   []*waiter
	// tag is the flow's virtual time: the slot time it has been given, over
	// its weight.
	virtualTime float64
	// service is the mean time that a step occupies a slot.
	serviceTime time.Duration

	// arrivals counts steps since the last report, offered is their smoothed
	// rate a second; turned counts those refused for want of slots.
	arrivals, slotRefusals int
	offeredRate            float64
	lastUse                time.Time
}

const noLimit = math.MaxInt32

func newFlow(p *plan.Plan) *flow {
	return &flow{plan: p.Name, slots: noLimit, serviceTime: initialServiceTime}
}

// adopt takes over the plan's limits; priority 0 to 9 weighs 1 to 10.
func (f *flow) setPlan(p *plan.Plan) (changed bool) {
	changed = f.limits != p.Limits
	f.limits, f.weight = p.Limits, float64(1+p.Priority)
	return changed
}

// apply sets this instance's part of the limits.
func (f *flow) applyShare(part Share, now time.Time) {
	f.slots = noLimit
	if f.limits.Concurrency > 0 {
		f.slots = part.Slots
	}
	if f.limits.Rate == 0 {
		f.limiter = nil
		return
	}
	burst := max(1, int(math.Ceil(f.burst()*part.Rate/f.limits.Rate)))
	if f.limiter == nil {
		f.limiter = rate.NewLimiter(rate.Limit(part.Rate), burst)
		return
	}
	f.limiter.SetLimitAt(now, rate.Limit(part.Rate))
	f.limiter.SetBurstAt(now, burst)
}

// burst is the plan's burst; a plan without one may burst a second's rate.
func (f *flow) burst() float64 {
	if f.limits.Burst > 0 {
		return float64(f.limits.Burst)
	}
	return max(1, f.limits.Rate)
}

// eligible reports whether the plan's own limits admit a step now.
func (f *flow) eligible(now time.Time) bool {
	return f.running < f.slots && (f.limiter == nil || f.limiter.TokensAt(now) >= 1)
}

// rateWait is the time until the rate has room for so many more steps.
func (f *flow) rateWait(steps int, now time.Time) time.Duration {
	if f.limiter == nil {
		return 0
	}
	missing := float64(steps) - f.limiter.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	seconds := missing / float64(f.limiter.Limit())
	// One nanosecond more, so that rounding leaves no step just short of a token.
	return time.Duration(min(seconds*float64(time.Second), math.MaxInt64/2)) + 1
}

// slotWait is about the time until the concurrency has room for so many more steps.
func (f *flow) slotWait(steps int) time.Duration {
	missing := f.running + steps - f.slots
	if missing <= 0 {
		return 0
	}
	return f.serviceTime * time.Duration(missing) / time.Duration(max(1, f.slots))
}

// start counts a step as running.
func (f *flow) start(now time.Time) {
	f.running++
	if f.limiter != nil {
		f.limiter.AllowN(now, 1)
	}
}

// learn folds the time of a step that has ended into the mean.
func (f *flow) recordServiceTime(elapsed time.Duration) {
	f.serviceTime += (elapsed - f.serviceTime) / serviceTimeSamples
}

// remove takes a waiter out of the queue and reports whether it was there.
func (f *flow) remove(w *waiter) bool {
	for i, other := range f.queue {
		if other == w {
			f.queue = append(f.queue[:i], f.queue[i+1:]...)
			return true
		}
	}
	return false
}

// demand is what the flow would use.
func (f *flow) demand() Demand {
	return Demand{
		Plan: f.plan, Rate: f.offeredRate, Slots: f.running + len(f.queue) + f.slotRefusals, Running: f.running,
		Limits: f.limits,
	}
}

// count folds the arrivals of an interval into the offered rate.
func (f *flow) updateOfferedRate(interval time.Duration) {
	f.offeredRate = (f.offeredRate + float64(f.arrivals)/interval.Seconds()) / 2
	f.arrivals, f.slotRefusals = 0, 0
}
