package limit

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"foxhall/internal/plan"
)

// serviceTimeSamples is the number of steps that the moving mean of a flow's service time spans.
const serviceTimeSamples = 16

// waiter is a step that waits for admission.
type waiter struct {
	flow *flow
	// decision receives nil for an admission, or the refusal. Its buffer holds one value.
	decision chan *Refusal
}

// flow is the queue and the accounting of one plan's steps on this instance.
type flow struct {
	plan   string
	limits plan.Limits
	weight float64

	// limiter enforces this instance's part of the plan's rate, nil for no limit; slots is its
	// part of the concurrency, or noLimit.
	limiter *rate.Limiter
	slots   int
	// share is the arbiter's last grant, valid until shareExpires.
	share        Share
	shareExpires time.Time

	running int
	queue   []*waiter
	// virtualTime is the slot time that the flow has received, in seconds, divided by its weight.
	virtualTime float64
	// serviceTime is the mean time that a step occupies a slot.
	serviceTime time.Duration

	// arrivals counts the steps of the current interval, slotLimited those that the concurrency
	// limit delayed or refused. offeredRate is the smoothed arrival rate, in steps per second.
	arrivals, slotLimited int
	offeredRate           float64
	lastUse               time.Time
}

// noLimit is the number of slots of a plan without a concurrency limit.
const noLimit = math.MaxInt32

func newFlow(p *plan.Plan) *flow {
	return &flow{plan: p.Name, slots: noLimit, serviceTime: initialServiceTime}
}

// setPlan sets the plan's limits and weight; priorities 0 to 9 have the weights 1 to 10.
func (f *flow) setPlan(p *plan.Plan) (changed bool) {
	changed = f.limits != p.Limits
	f.limits, f.weight = p.Limits, float64(1+p.Priority)
	return changed
}

// applyShare sets this instance's part of the limits.
func (f *flow) applyShare(share Share, now time.Time) {
	f.slots = noLimit
	if f.limits.Concurrency > 0 {
		f.slots = share.Slots
	}
	if f.limits.Rate == 0 {
		f.limiter = nil
		return
	}
	burst := max(1, int(math.Ceil(f.burst()*share.Rate/f.limits.Rate)))
	if f.limiter == nil {
		f.limiter = rate.NewLimiter(rate.Limit(share.Rate), burst)
		return
	}
	f.limiter.SetLimitAt(now, rate.Limit(share.Rate))
	f.limiter.SetBurstAt(now, burst)
}

// burst returns the plan's burst, by default the calls of one second at its rate.
func (f *flow) burst() float64 {
	if f.limits.Burst > 0 {
		return float64(f.limits.Burst)
	}
	return max(1, f.limits.Rate)
}

// eligible reports whether this instance's part of the plan's limits admits a step now.
func (f *flow) eligible(now time.Time) bool {
	return f.running < f.slots && (f.limiter == nil || f.limiter.TokensAt(now) >= 1)
}

// rateWait returns the time until the rate limit admits that many more steps.
func (f *flow) rateWait(steps int, now time.Time) time.Duration {
	if f.limiter == nil {
		return 0
	}
	missing := float64(steps) - f.limiter.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	seconds := missing / float64(f.limiter.Limit())
	// The extra nanosecond keeps rounding from leaving a step just short of a token.
	return time.Duration(min(seconds*float64(time.Second), math.MaxInt64/2)) + 1
}

// slotWait estimates the time until the concurrency limit admits that many more steps.
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

// recordServiceTime adds the time of a completed step to the mean.
func (f *flow) recordServiceTime(elapsed time.Duration) {
	f.serviceTime += (elapsed - f.serviceTime) / serviceTimeSamples
}

// remove removes a waiter from the queue and reports whether it was queued.
func (f *flow) remove(w *waiter) bool {
	for i, other := range f.queue {
		if other == w {
			f.queue = append(f.queue[:i], f.queue[i+1:]...)
			return true
		}
	}
	return false
}

// demand returns the rate and the slots that the flow would use without limits.
func (f *flow) demand() Demand {
	return Demand{
		Plan: f.plan, Rate: f.offeredRate, Slots: f.running + len(f.queue) + f.slotLimited, Running: f.running,
		Limits: f.limits,
	}
}

// updateOfferedRate adds the arrivals of an interval to the offered rate and starts a new interval.
func (f *flow) updateOfferedRate(interval time.Duration) {
	f.offeredRate = (f.offeredRate + float64(f.arrivals)/interval.Seconds()) / 2
	f.arrivals, f.slotLimited = 0, 0
}
