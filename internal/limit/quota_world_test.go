package limit

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"foxhall/internal/plan"
)

const (
	// tick is the step of the simulation's clock.
	tick = 5 * time.Millisecond
	// reportTick is how often an instance sends reports, each time to fanout of its peers.
	reportTick = 60 * time.Millisecond
	fanout     = 24
	// fleetTick is how often an instance counts its reachable peers. Not counted are peers of a
	// data centre that has sent nothing for silentAfter, and peers of which three datagrams are
	// missing.
	fleetTick   = 100 * time.Millisecond
	silentAfter = 450 * time.Millisecond
	dataCentres = 3
	// clientMoveAfter is when clients move from an instance that does not respond.
	clientMoveAfter = 2 * time.Second
)

var tolerance = Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// windowAllowance returns the largest number of calls that a quota allows in any window.
func windowAllowance(q Quota) float64 {
	return (q.Rate*tolerance.Window.Seconds()+q.Burst)*(1+tolerance.Overage) + tolerance.Slack
}

// admitter is a strategy by which an instance admits calls. A call that is not admitted is refused,
// or waits until retryAt if that is not zero.
type admitter interface {
	set(quotas map[string]Quota, now time.Time)
	admit(customer string, now time.Time) (admitted bool, retryAt time.Time)
}

// reportingAdmitter is the strategy of the product, Quotas.
type reportingAdmitter struct{ *Quotas }

func (w reportingAdmitter) set(quotas map[string]Quota, now time.Time) { w.Set(quotas, now) }

func (w reportingAdmitter) admit(customer string, now time.Time) (admitted bool, retryAt time.Time) {
	verdict, after := w.Admit(Call{Customer: customer}, now)
	if verdict == AwaitsReports {
		retryAt = now.Add(after)
	}
	return verdict == Admitted, retryAt
}

// fixedAdmitter gives each instance the same part of each quota.
type fixedAdmitter struct {
	instances int
	limiters  map[string]*rate.Limiter
}

func (w *fixedAdmitter) set(quotas map[string]Quota, _ time.Time) {
	for name, q := range quotas {
		part := rate.Limit(q.Rate / float64(w.instances))
		w.limiters[name] = rate.NewLimiter(part, max(1, int(q.Burst)/w.instances))
	}
}

func (w *fixedAdmitter) admit(customer string, now time.Time) (admitted bool, retryAt time.Time) {
	l := w.limiters[customer]
	return l == nil || l.AllowN(now, 1), time.Time{}
}

// arbitratedAdmitter has an arbiter divide each quota by demand, as Gate does with plans' limits.
type arbitratedAdmitter struct {
	name    string
	arbiter *arbiter
	members fleet
	limits  map[string]plan.Limits
	states  map[string]*arbitratedState
}

type arbitratedState struct {
	limiter     *rate.Limiter
	expires     time.Time
	requestedAt time.Time
	arrivals    int
	offeredRate float64
}

func (w *arbitratedAdmitter) set(quotas map[string]Quota, _ time.Time) {
	for name, q := range quotas {
		w.limits[name] = plan.Limits{Rate: q.Rate, Burst: int(q.Burst)}
		w.states[name] = &arbitratedState{}
	}
}

func (w *arbitratedAdmitter) admit(customer string, now time.Time) (admitted bool, retryAt time.Time) {
	limits, s := w.limits[customer], w.states[customer]
	if s == nil {
		return true, time.Time{}
	}
	s.arrivals++
	if s.limiter == nil || now.After(s.expires) {
		w.apply(s, limits, w.members.defaultShare(limits, w.name), now)
	}
	if s.limiter.AllowN(now, 1) {
		return true, time.Time{}
	}
	if now.Sub(s.requestedAt) >= minRequestGap {
		s.offeredRate = max(s.offeredRate/2, float64(s.arrivals)/max(minRequestGap, min(requestInterval, now.Sub(s.requestedAt))).Seconds())
		s.requestedAt, s.arrivals = now, 0
		w.apply(s, limits, w.arbiter.allocate(w.name, Demand{Plan: customer, Rate: s.offeredRate, Limits: limits}, w.members, now), now)
		s.expires = now.Add(shareLifetime)
	}
	return false, time.Time{}
}

func (w *arbitratedAdmitter) apply(s *arbitratedState, limits plan.Limits, share Share, now time.Time) {
	burst := max(1, int(float64(limits.Burst)*share.Rate/limits.Rate))
	if s.limiter == nil {
		s.limiter = rate.NewLimiter(rate.Limit(share.Rate), burst)
		return
	}
	s.limiter.SetLimitAt(now, rate.Limit(share.Rate))
	s.limiter.SetBurstAt(now, burst)
}

// quotaInstance is one instance of the simulation.
type quotaInstance struct {
	name       string
	dataCentre int
	// side is the side of a network partition that the instance is on.
	side          int
	admitter      admitter
	downUntil     time.Time
	paused        bool
	lastReport    map[string]time.Time
	lastContact   map[int]time.Time
	peers         []*quotaInstance
	nextPeer      int
	sendAt        time.Time
	updateFleetAt time.Time
	inbox         []quotaDatagram
	waiting       []waitingCall
}

// waitingCall is a call that waits for reports, for maxWait at most.
type waitingCall struct {
	customer         string
	arrived, retryAt time.Time
}

// maxWait is how long a call waits for reports.
const maxWait = 400 * time.Millisecond

type quotaDatagram struct {
	arrives time.Time
	from    *quotaInstance
	report  QuotaReport
}

// quotaClient is one connection of a customer.
type quotaClient struct {
	customer string
	// demandFraction is the fraction of the customer's demand that this connection carries.
	demandFraction float64
	instance       *quotaInstance
	stuckSince     time.Time
}

// quotaWorld simulates instances and customers' connections on a virtual clock.
type quotaWorld struct {
	random    *rand.Rand
	now       time.Time
	instances []*quotaInstance
	byName    map[string]*quotaInstance
	clients   []*quotaClient
	quotas    map[string]Quota
	// changedAt is the time of a quota's last change, former the highest quota before it.
	changedAt map[string]time.Time
	former    map[string]Quota
	// demand is in calls per second, by customer.
	demand       map[string]float64
	newAdmitter  func(w *quotaWorld, name string) admitter
	incarnations uint64
	lossRate     float64

	// ideal is one token bucket for all instances, by customer; idealAdmitted counts the calls that
	// it admits.
	ideal         map[string]*rate.Limiter
	idealAdmitted map[string]int
	admittedAt    map[string][]time.Time
	offered       map[string]int
	refused       map[string]int
}

func newQuotaWorld(seed uint64, instances int, newAdmitter func(*quotaWorld, string) admitter) *quotaWorld {
	w := &quotaWorld{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), newAdmitter: newAdmitter, lossRate: 0.01,
		quotas: map[string]Quota{}, changedAt: map[string]time.Time{}, former: map[string]Quota{}, demand: map[string]float64{},
		byName: map[string]*quotaInstance{}, ideal: map[string]*rate.Limiter{}, admittedAt: map[string][]time.Time{},
		idealAdmitted: map[string]int{}, offered: map[string]int{}, refused: map[string]int{},
	}
	for i := range instances {
		w.instances = append(w.instances, &quotaInstance{name: fmt.Sprint("i", i), dataCentre: i % dataCentres})
	}
	for _, i := range w.instances {
		w.byName[i.name] = i
		for _, other := range w.instances {
			if other != i {
				i.peers = append(i.peers, other)
			}
		}
		w.random.Shuffle(len(i.peers), func(a, b int) { i.peers[a], i.peers[b] = i.peers[b], i.peers[a] })
	}
	return w
}

func newReporting(w *quotaWorld, name string) admitter {
	return reportingAdmitter{NewQuotas(name, w.incarnations, tolerance)}
}

func newFixed(w *quotaWorld, _ string) admitter {
	return &fixedAdmitter{instances: len(w.instances), limiters: map[string]*rate.Limiter{}}
}

// newArbitrated returns the strategy with one arbiter that never fails and responds immediately.
func newArbitrated() func(*quotaWorld, string) admitter {
	shared := newArbiter()
	return func(w *quotaWorld, name string) admitter {
		weights := map[string]float64{}
		for _, i := range w.instances {
			weights[i.name] = 1
		}
		return &arbitratedAdmitter{name: name, arbiter: shared, members: newFleet(weights), limits: map[string]plan.Limits{}, states: map[string]*arbitratedState{}}
	}
}

// customer adds a customer with a number of connections, the first of which carries most of the
// calls. The demand is a fraction of the rate.
func (w *quotaWorld) customer(name string, q Quota, demand float64, clients int) {
	w.quotas[name], w.demand[name] = q, demand*q.Rate
	w.ideal[name] = rate.NewLimiter(rate.Limit(q.Rate), max(1, int(q.Burst)))
	for i := range clients {
		w.clients = append(w.clients, &quotaClient{customer: name, demandFraction: 2 * float64(clients-i) / float64(clients*(clients+1)), instance: w.anyInstance()})
	}
}

func (w *quotaWorld) anyInstance() *quotaInstance {
	return w.instances[w.random.IntN(len(w.instances))]
}

func (w *quotaWorld) start() {
	for _, i := range w.instances {
		w.startInstance(i)
	}
}

func (w *quotaWorld) startInstance(i *quotaInstance) {
	w.incarnations++
	i.admitter, i.lastReport, i.inbox, i.waiting = w.newAdmitter(w, i.name), map[string]time.Time{}, nil, nil
	i.lastContact = map[int]time.Time{}
	i.paused = false
	i.sendAt = w.now.Add(time.Duration(w.random.Int64N(int64(reportTick))))
	i.admitter.set(w.quotas, w.now)
}

// change sets a quota at all instances simultaneously.
func (w *quotaWorld) change(name string, q Quota) {
	former := w.quotas[name]
	if w.now.Before(w.changedAt[name].Add(tolerance.Window)) {
		former.Rate, former.Burst = max(former.Rate, w.former[name].Rate), max(former.Burst, w.former[name].Burst)
	}
	w.former[name], w.changedAt[name], w.quotas[name] = former, w.now, q
	w.ideal[name].SetLimitAt(w.now, rate.Limit(q.Rate))
	w.ideal[name].SetBurstAt(w.now, max(1, int(q.Burst)))
	for _, i := range w.instances {
		if i.admitter != nil {
			i.admitter.set(w.quotas, w.now)
		}
	}
}

func (w *quotaWorld) kill(i *quotaInstance, down time.Duration) {
	i.admitter, i.downUntil = nil, w.now.Add(down)
}

// pause pauses the chosen instances and resumes the others.
func (w *quotaWorld) pause(chosen func(n int) bool) {
	for n, i := range w.instances {
		i.paused = i.admitter != nil && chosen(n)
	}
}

// partition separates the chosen instances from the others.
func (w *quotaWorld) partition(chosen func(n int) bool) {
	for n, i := range w.instances {
		i.side = 0
		if chosen(n) {
			i.side = 1
		}
	}
}

// run runs the simulation for a duration.
func (w *quotaWorld) run(d time.Duration) {
	for until := w.now.Add(d); w.now.Before(until); w.now = w.now.Add(tick) {
		for _, i := range w.instances {
			w.stepInstance(i)
		}
		for _, c := range w.clients {
			w.stepClient(c)
		}
	}
}

// stepInstance has an instance receive and send what is due.
func (w *quotaWorld) stepInstance(i *quotaInstance) {
	if i.admitter == nil {
		if w.now.Before(i.downUntil) {
			return
		}
		w.startInstance(i)
	}
	if i.paused {
		return
	}
	quotas, ok := i.admitter.(reportingAdmitter)
	if !ok {
		return
	}
	waiting := i.waiting
	i.waiting = nil
	for _, c := range waiting {
		if w.now.Before(c.retryAt) {
			i.waiting = append(i.waiting, c)
			continue
		}
		w.offer(i, c.customer, c.arrived)
	}
	i.inbox = slices.DeleteFunc(i.inbox, func(d quotaDatagram) bool {
		if d.arrives.After(w.now) {
			return false
		}
		i.lastReport[d.from.name], i.lastContact[d.from.dataCentre] = w.now, w.now
		quotas.Merge(d.report, w.now)
		return true
	})
	if w.now.Before(i.sendAt) {
		return
	}
	i.sendAt = i.sendAt.Add(reportTick)
	rounds := max(1, (len(i.peers)+fanout-1)/fanout)
	if !w.now.Before(i.updateFleetAt) {
		i.updateFleetAt = w.now.Add(fleetTick)
		reachable := 1
		for name, at := range i.lastReport {
			if w.now.Sub(at) < max(silentAfter, 3*time.Duration(rounds)*reportTick) && w.now.Sub(i.lastContact[w.byName[name].dataCentre]) < silentAfter {
				reachable++
			}
		}
		quotas.SetFleet(reachable, len(w.instances), time.Duration(rounds)*reportTick, w.now)
	}
	started, counts := quotas.NewInstances(w.now)
	for _, name := range started {
		w.send(i, w.byName[name], counts)
	}
	report, direct := quotas.Report(w.now)
	var recipients []*quotaInstance
	for range min(fanout, len(i.peers)) {
		recipients = append(recipients, i.peers[i.nextPeer%len(i.peers)])
		i.nextPeer++
	}
	for _, name := range direct {
		recipients = append(recipients, w.byName[name])
	}
	for _, to := range recipients {
		w.send(i, to, report)
	}
}

// send sends a datagram, which may be lost.
func (w *quotaWorld) send(from, to *quotaInstance, report QuotaReport) {
	if w.random.Float64() < w.lossRate || to.admitter == nil || to.side != from.side {
		return
	}
	delay := time.Millisecond + time.Duration(w.random.Int64N(int64(2*time.Millisecond)))
	to.inbox = append(to.inbox, quotaDatagram{arrives: w.now.Add(delay), from: from, report: report})
}

// stepClient sends the calls of a connection within one tick.
func (w *quotaWorld) stepClient(c *quotaClient) {
	if c.instance.admitter == nil || c.instance.paused || c.instance.side == 1 {
		if c.stuckSince.IsZero() {
			c.stuckSince = w.now
		}
		if w.now.Sub(c.stuckSince) >= clientMoveAfter {
			c.instance, c.stuckSince = w.anyInstance(), time.Time{}
		}
		if c.instance.admitter == nil || c.instance.paused {
			return
		}
	} else {
		c.stuckSince = time.Time{}
	}
	for range w.callsInTick(w.demand[c.customer] * c.demandFraction) {
		w.sendCall(c)
	}
}

// callsInTick draws the number of calls within one tick at a rate in calls per second.
func (w *quotaWorld) callsInTick(rate float64) int {
	expected := rate * tick.Seconds()
	n := int(expected)
	if w.random.Float64() < expected-float64(n) {
		n++
	}
	return n
}

func (w *quotaWorld) sendCall(c *quotaClient) {
	w.offered[c.customer]++
	if w.ideal[c.customer].AllowN(w.now, 1) {
		w.idealAdmitted[c.customer]++
	}
	w.offer(c.instance, c.customer, w.now)
}

// offer offers a call to an instance, which admits or refuses it or lets it wait.
func (w *quotaWorld) offer(i *quotaInstance, customer string, arrived time.Time) {
	admitted, retryAt := i.admitter.admit(customer, w.now)
	switch {
	case admitted:
		w.admittedAt[customer] = append(w.admittedAt[customer], w.now)
	case retryAt.IsZero() || retryAt.Sub(arrived) > maxWait:
		w.refused[customer]++
	default:
		i.waiting = append(i.waiting, waitingCall{customer: customer, arrived: arrived, retryAt: retryAt})
	}
}

// lossFractions returns the fraction of the calls admitted by the ideal buckets that the instances
// refused: over all customers, and of the customer with the largest fraction.
func (w *quotaWorld) lossFractions() (all, worst float64) {
	missing, ideal := 0, 0
	for name, due := range w.idealAdmitted {
		lost := max(0, due-len(w.admittedAt[name]))
		missing, ideal = missing+lost, ideal+due
		if due >= 20 {
			worst = max(worst, float64(lost)/float64(due))
		}
	}
	return float64(missing) / float64(max(1, ideal)), worst
}

// resetCounts resets the counts of admitted and refused calls.
func (w *quotaWorld) resetCounts() {
	w.idealAdmitted, w.offered, w.refused, w.admittedAt = map[string]int{}, map[string]int{}, map[string]int{}, map[string][]time.Time{}
}

// worstWindow returns the largest number of a customer's calls in any window, and the time of the
// first window that has more calls than allowed, if any.
func (w *quotaWorld) worstWindow(name string) (calls int, at time.Time, over bool) {
	times := w.admittedAt[name]
	first := 0
	for last, t := range times {
		for t.Sub(times[first]) >= tolerance.Window {
			first++
		}
		n := last - first + 1
		calls = max(calls, n)
		if float64(n) > w.allowanceFrom(name, times[first]) && !over {
			at, over = t, true
		}
	}
	return calls, at, over
}

// allowanceFrom returns the largest number of calls allowed in a window that begins at a time.
func (w *quotaWorld) allowanceFrom(name string, begin time.Time) float64 {
	allowance := windowAllowance(w.quotas[name])
	if begin.Before(w.changedAt[name].Add(tolerance.Window)) {
		allowance = max(allowance, windowAllowance(w.former[name]))
	}
	return allowance
}

// violations describes the customers that had more calls in a window than allowed.
func (w *quotaWorld) violations() []string {
	var list []string
	for name, q := range w.quotas {
		if calls, at, over := w.worstWindow(name); over {
			list = append(list, fmt.Sprintf("%s: %d calls in a window, %.1f allowed, at %v", name, calls, windowAllowance(q), at.Sub(time.Unix(1000, 0))))
		}
	}
	slices.Sort(list)
	return list
}

func names(quotas map[string]Quota) []string { return slices.Sorted(maps.Keys(quotas)) }

// total returns the sum of the counts.
func total(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}
