package scheduler

import (
	"math"
	"time"

	"github.com/rcrowley/go-metrics"

	"foxhall/internal/engine"
	"foxhall/internal/placement"
	"foxhall/internal/queue"
	"foxhall/internal/step"
	"foxhall/internal/upstream"
	"foxhall/internal/urgency"
)

const (
	// maxPriority is the highest priority of a request, which corresponds to rank 0.
	maxPriority = 9
	// rescanInterval is the least time between two scans that are caused by the loads of other
	// instances. Their datagrams arrive up to 850 times per second from 50 of them, and a scan takes
	// up to some hundred microseconds.
	rescanInterval = 10 * time.Millisecond
	// capacityLifetime is how long a summary of the engines' loads is used for estimates of waiting
	// times. Its cost grows with the number of engines, and loads are reported about every 60 ms.
	capacityLifetime = 50 * time.Millisecond
	// maxPopped bounds the steps that one scan takes from the front of the queue. It is larger than
	// maxScanned, since most of them only wait for a place and take no decision; more than maxScanned
	// late steps of a high rank would otherwise hide tight ones of a lower rank, which may have a place.
	maxPopped = 256
	// minRetryAfter is the least delay given to callers that are refused. Loads are reported about every
	// 60 ms; an earlier retry finds the same queue.
	minRetryAfter = 100 * time.Millisecond
	// waitedSampleSize is the number of steps in the histogram's sample of waiting times.
	waitedSampleSize = 1028
)

// The causes for which a step waits, as used in log lines.
const (
	// waitsForPlace: all upstreams that the step may use are full for it.
	waitsForPlace = "place"
	// waitsForBetter: an upstream has a place, but a full one is expected to complete the step earlier.
	waitsForBetter = "better-engine"
	// waitsForUpstream: no upstream is usable.
	waitsForUpstream = "upstream"
)

// urgencyMetrics are the metrics of steps that are ordered by urgency.
type urgencyMetrics struct {
	waited metrics.Histogram
	// rescans counts the scans that lower loads of other instances caused.
	rescans metrics.Counter
	classes [len(urgency.Classes)]metrics.Counter
}

func newUrgencyMetrics(s *Scheduler, registry metrics.Registry) *urgencyMetrics {
	m := &urgencyMetrics{
		waited:  metrics.GetOrRegisterHistogram("scheduler.queue.waited.us", registry, metrics.NewUniformSample(waitedSampleSize)),
		rescans: metrics.GetOrRegisterCounter("scheduler.queue.rescans", registry),
	}
	for _, c := range urgency.Classes {
		m.classes[c] = metrics.GetOrRegisterCounter("scheduler.class."+c.String(), registry)
	}
	_ = registry.Register("scheduler.queue.waiting", metrics.NewFunctionalGauge(func() int64 { return int64(s.Waiting()) }))
	return m
}

// ordersByUrgency reports whether steps of the pool are ordered and placed by urgency.
func (s *Scheduler) ordersByUrgency(key poolKey) bool {
	return s.settings.LoadControl && s.settings.Policy == placement.Cost && !key.service
}

// urgentStep is what a waiter needs in a pool that is ordered by urgency.
type urgentStep struct {
	order     queue.Order
	changesAt time.Time
	state     queue.State
	allowance int
	// full is the number of engines that were full for the step in the last decision that left it
	// waiting, or else in the one that placed or refused it.
	full int
	// waitsFor is why the step was not placed in its last decision; empty if it has not waited.
	waitsFor string
}

// setOrder sets the step's place in the order. The caller holds the pool's lock.
func (p *pool) setOrder(w *waiter, endpoints []*upstream.Endpoint, now time.Time) {
	r := w.request
	w.urgent.order = queue.Order{
		Rank:      max(0, maxPriority-r.Priority),
		Objective: r.Objective,
		Expected:  p.expectedDuration(w, endpoints),
		Resent:    r.Resent,
		Arrived:   r.arrivedBy(w.enqueued),
		Deadline:  r.Deadline,
		Attained:  w.criteria.Attained,
	}
	w.urgent.changesAt = w.urgent.order.ChangesAt(now)
	w.setState(now)
}

func (w *waiter) setState(now time.Time) {
	w.urgent.state = w.urgent.order.At(now)
	w.urgent.allowance = w.urgent.state.Allowance()
}

// expectedDuration returns the expected duration of the step on the engine that has the longest part
// of its prompt cached, if it takes the last free slot there. It is 0 while only default speeds are
// known, by which no step may count as tight or late.
func (p *pool) expectedDuration(w *waiter, endpoints []*upstream.Endpoint) time.Duration {
	if len(endpoints) == 0 {
		return 0
	}
	c := placement.Candidate{Slots: max(1, endpoints[0].Upstream.Slots), Speed: meanSpeed(endpoints)}
	if c.Speed == upstream.DefaultSpeed {
		return 0
	}
	c.Load.Total, c.Load.Slowness = c.Slots-1, 1
	p.scheduler.view.Lookup(w.blockHashes, &p.matches)
	if len(p.matches.Found) > 0 {
		c.CachedTokens = p.matches.Found[0].Blocks * engine.BlockTokens
	}
	e := placement.EstimateCost(&c, &w.step, c.CachedTokens)
	return time.Duration(e.Total() * float64(time.Second))
}

// reorder moves the waiting steps whose class has changed, or which have waited too long, to their new
// places in the order.
func (p *pool) reorder(now time.Time) {
	if p.nextChange.IsZero() || now.Before(p.nextChange) {
		return
	}
	p.nextChange = time.Time{}
	p.queue.Rekey(func(w *waiter) (queue.Key, bool) {
		u := &w.urgent
		due := !u.changesAt.IsZero() && !now.Before(u.changesAt)
		if due {
			u.changesAt = u.order.ChangesAt(now)
		}
		p.noteChange(u.changesAt)
		return u.order.Key(now), due
	})
}

// noteChange brings forward the time of the next reordering.
func (p *pool) noteChange(at time.Time) {
	if !at.IsZero() && (p.nextChange.IsZero() || at.Before(p.nextChange)) {
		p.nextChange = at
	}
}

// shedByUrgency refuses a step on arrival if the queue is full or if the step can't meet its deadline. A step
// with none ahead may have a place that was not free when the places were counted; the scan decides on it.
func (p *pool) shedByUrgency(w *waiter, now time.Time) *Refusal {
	ahead := p.aheadOnArrival(w, w.urgent.order.Key(now))
	if p.queue.Len() >= p.scheduler.settings.QueueLimit {
		return p.refuseOverloaded(QueueFull, w, ahead, now, "too many steps wait")
	}
	if ahead == 0 {
		return nil
	}
	return p.refuseIfHopeless(w, ahead, now)
}

// aheadOnArrival returns the number of waiting steps that get a place before one with the key. Steps with
// a larger allowance do so wherever they are in the order, and steps with a smaller one don't, since the
// engines are full for them as long as there is no place for this one.
func (p *pool) aheadOnArrival(w *waiter, key queue.Key) int {
	ahead := 0
	p.queue.Sample(func(item *queue.Item[*waiter], weight int) {
		other := item.Value.urgent.allowance
		if other > w.urgent.allowance || other == w.urgent.allowance && item.Key().Compare(key) < 0 {
			ahead += weight
		}
	})
	return ahead
}

// scanState is the state of one scan of a pool that is ordered by urgency.
type scanState struct {
	// fullAllowance is the largest allowance for which all upstreams were full in this scan; -1 for
	// none.
	fullAllowance int
	// decisions is the number of decisions in this scan.
	decisions int
	// waiting is the number of steps that waited at the start of the scan, by allowance, passed that
	// of those considered so far.
	waiting, passed [urgency.MaxAllowance + 1]int
}

func (p *pool) beginScan(now time.Time) {
	p.reorder(now)
	p.scan = scanState{fullAllowance: -1}
	p.queue.Sample(func(item *queue.Item[*waiter], weight int) { p.scan.waiting[item.Value.urgent.allowance] += weight })
}

// ahead returns the number of steps that get a place before one that is considered now. It counts those
// that were placed in this scan, since the capacity may be older than the scan.
func (c *scanState) ahead(allowance int) int {
	ahead := c.passed[allowance]
	for _, n := range c.waiting[allowance+1:] {
		ahead += n
	}
	return ahead
}

// refuseIfHopeless refuses a step that almost certainly can't be done by its deadline. It refuses nothing
// while only default speeds are known.
func (p *pool) refuseIfHopeless(w *waiter, ahead int, now time.Time) *Refusal {
	if w.request.Deadline.IsZero() || w.request.AtVersion {
		return nil
	}
	c := p.currentCapacity(now)
	if !c.learned {
		return nil
	}
	// The age of the estimate doesn't matter: steps with none ahead are sent without it, and correct it.
	least := time.Duration(c.fastest * float64(w.urgent.order.Expected))
	need, left := urgency.CertainDuration(p.view(c, w.urgent.allowance, now).Wait(ahead), least), w.request.Deadline.Sub(now)
	if need <= left {
		return nil
	}
	refusal := p.refuseOverloaded(LateOnArrival, w, ahead, now, "the step can't be done by its deadline; not run")
	refusal.Estimate = &Estimate{Need: need, Left: left, Age: poolAge(p.scheduler.endpoints(p.key), now)}
	return refusal
}

// refuseOverloaded returns a refusal with the expected time until the steps ahead have been placed.
func (p *pool) refuseOverloaded(cause Cause, w *waiter, ahead int, now time.Time, message string) *Refusal {
	c := p.currentCapacity(now)
	return refuse(cause, step.CodeOverloaded, 503, message, max(minRetryAfter, p.view(c, w.urgent.allowance, now).Wait(ahead)))
}

// capacity sums up the engines of a pool, according to the loads that all instances report.
type capacity struct {
	at         time.Time
	calls, own int
	rate       float64
	// maxRate is the rate that this instance's connections allow; 0 for no limit.
	maxRate float64
	// free is the number of free places by allowance.
	free [urgency.MaxAllowance + 1]int
	// learned is set if some engine has completed a call.
	learned bool
	// shortest is the least of the engines' mean durations of a call, in seconds, those included that may be back soon,
	// and fastest its share of the mean over all of them, at most 1.
	shortest, fastest float64
}

func (p *pool) view(c *capacity, allowance int, now time.Time) urgency.View {
	return urgency.View{Calls: c.calls, Own: c.own, Rate: c.rate, MaxRate: c.maxRate, OwnRate: p.placed.rate(now), Free: c.free[allowance]}
}

// placementRate is the number of steps that were placed per second of late, weighted by their age.
type placementRate struct {
	perSecond float64
	at        time.Time
}

// placementRateTime is the time constant of the weights: longer than the time between two steps of an
// entry under load, shorter than a burst.
const placementRateTime = time.Second

func (r *placementRate) record(now time.Time) {
	r.perSecond = r.rate(now) + 1/placementRateTime.Seconds()
	r.at = now
}

func (r *placementRate) rate(now time.Time) float64 {
	return r.perSecond * math.Exp(-now.Sub(r.at).Seconds()/placementRateTime.Seconds())
}

// currentCapacity returns the capacity, not older than capacityLifetime. A step that waited for the lock has
// an earlier now than the capacity that was summed up meanwhile, which it uses as well.
func (p *pool) currentCapacity(now time.Time) *capacity {
	if now.Sub(p.capacity.at) < capacityLifetime {
		return &p.capacity
	}
	p.capacity = capacity{at: now}
	dataCentre, usable := p.scheduler.settings.DataCentre, true
	for _, endpoint := range p.scheduler.endpoints(p.key) {
		if dc := endpoint.Upstream.DataCentre; dc != dataCentre {
			dataCentre, usable = dc, p.scheduler.isUsable(dc)
		}
		if usable {
			p.capacity.add(endpoint, p.maxConnections, now.UnixNano())
		}
	}
	p.capacity.fastest = 1
	if p.capacity.learned {
		p.capacity.fastest = min(1, p.capacity.shortest/meanSpeed(p.scheduler.endpoints(p.key)).CallSeconds)
	}
	return &p.capacity
}

// isUsable reports whether steps may be sent to a data centre according to the age of its view.
func (s *Scheduler) isUsable(dataCentre string) bool {
	if dataCentre == s.settings.DataCentre {
		return true
	}
	maxAge := s.settings.MaxViewAge
	if maxAge == 0 {
		maxAge = placement.MaxViewAge
	}
	return s.settings.RemoteViewAge != nil && s.settings.RemoteViewAge(dataCentre) <= maxAge
}

// add adds an engine to which this instance may have maxConnections; 0 for no limit. Places for which it has
// no connection don't count: steps that wait for connections would else be held until their deadlines.
func (c *capacity) add(endpoint *upstream.Endpoint, maxConnections int, now int64) {
	l := endpoint.Upstream.Load(now)
	if l.Condition > upstream.Full && !l.MayReopen || !endpoint.Serving().Ready {
		return
	}
	slots := max(1, endpoint.Upstream.Slots)
	speed := learnedOrMeanSpeed(endpoint)
	if speed.Samples > 0 && (!c.learned || speed.CallSeconds < c.shortest) {
		c.learned, c.shortest = true, speed.CallSeconds
	}
	if l.MayReopen {
		return
	}
	c.calls += l.Total
	c.own += l.Own
	c.rate += urgency.CallRate(l.Total, slots, speed.CallSeconds)
	limit := l.Limit
	if maxConnections > 0 {
		limit = min(limit, maxConnections)
		c.maxRate += urgency.CallRate(maxConnections, 1, speed.CallSeconds)
	}
	for allowance := range c.free {
		c.free[allowance] += max(0, min(slots+allowance-l.Total, limit-l.Own))
	}
}

// placeFirstByUrgency tries to place the first steps of the queue in order. Engines that are full for
// one step may have a place for a more urgent one behind it, so that a scan goes on until they are
// full for all.
func (p *pool) placeFirstByUrgency(endpoints []*upstream.Endpoint, now time.Time) {
	p.beginScan(now)
	for popped := 0; popped < maxPopped && p.scan.decisions < maxScanned; popped++ {
		if popped >= maxScanned && p.scan.fullAllowance >= urgency.MaxAllowance {
			return
		}
		item := p.queue.Pop()
		if item == nil {
			return
		}
		if !p.tryPlaceByUrgency(endpoints, item.Value, now) {
			p.skipped = append(p.skipped, item)
		}
	}
}

// tryPlaceByUrgency grants or refuses one step, or leaves it waiting, and reports whether the step was
// granted or refused. A step that is next is refused only after it was found to have no place, since the
// estimate of the wait may be older than a free place.
func (p *pool) tryPlaceByUrgency(endpoints []*upstream.Endpoint, w *waiter, now time.Time) (decided bool) {
	u := &w.urgent
	w.setState(now)
	ahead := p.scan.ahead(u.allowance)
	defer func() { p.scan.passed[u.allowance]++ }()
	allFull := u.allowance <= p.scan.fullAllowance && !w.isRestricted()
	triesFirst := ahead == 0 && !allFull
	if !triesFirst && p.refusesHopeless(w, ahead, now) {
		return true
	}
	if allFull {
		u.waitsFor = waitsForPlace
		return false
	}
	// Each try looks at another sample of a large fleet.
	w.step.Random++
	p.scan.decisions++
	decided, _ = p.tryPlace(endpoints, w, now)
	if !decided && u.waitsFor == waitsForPlace && len(p.candidates) == len(endpoints) && !w.isRestricted() {
		p.scan.fullAllowance = max(p.scan.fullAllowance, u.allowance)
	}
	return decided || triesFirst && p.refusesHopeless(w, ahead, now)
}

// refusesHopeless refuses a waiting step if refuseIfHopeless does, and reports whether it was refused.
func (p *pool) refusesHopeless(w *waiter, ahead int, now time.Time) bool {
	refusal := p.refuseIfHopeless(w, ahead, now)
	if refusal != nil {
		w.refused <- refusal
	}
	return refusal != nil
}

// isRestricted reports whether the step may not use some of the upstreams that other steps may use.
func (w *waiter) isRestricted() bool {
	r := w.request
	return r.Grant != nil || r.Isolated || r.AtVersion || len(r.Tried) > 0 || len(r.Avoid) > 0
}

// recordDecision records why a step is left waiting.
func (w *waiter) recordDecision(d *placement.Decision) {
	w.urgent.full = d.Rejections[placement.Full]
	switch {
	case d.Rejections[placement.Allowed] > 0:
		w.urgent.waitsFor = waitsForBetter
	case placement.AnyCapable(d):
		w.urgent.waitsFor = waitsForPlace
	default:
		w.urgent.waitsFor = waitsForUpstream
	}
}

// isFullFor reports whether an upstream that may get new work is full for the step, counting the
// calls of all instances.
func (w *waiter) isFullFor(c *placement.Candidate) bool {
	return w.byUrgency && c.Load.Condition == upstream.Usable && urgency.IsFull(c.Load.Total, c.Slots, w.urgent.allowance)
}

// OnLoadLowered is called when another instance reports fewer calls at an upstream. It scans the
// queues soon, at most every rescanInterval, in a goroutine of its own.
func (s *Scheduler) OnLoadLowered() {
	if !s.settings.LoadControl || !s.rescanScheduled.CompareAndSwap(false, true) {
		return
	}
	delay := time.Until(time.Unix(0, s.rescannedAt.Load()).Add(rescanInterval))
	time.AfterFunc(max(0, delay), s.rescan)
}

func (s *Scheduler) rescan() {
	s.rescannedAt.Store(time.Now().UnixNano())
	s.rescanScheduled.Store(false)
	if s.urgencyMetrics != nil {
		s.urgencyMetrics.rescans.Inc(1)
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, p := range s.pools {
		if p.byUrgency {
			p.scanIfWaiting()
		}
	}
}

func (p *pool) scanIfWaiting() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.queue.Len() > 0 {
		p.placeWaiting()
	}
}
