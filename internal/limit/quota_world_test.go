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
	// tick is the step of the world's clock.
	tick = 5 * time.Millisecond
	// tellTick is how often an instance sends, to reach of its peers at once.
	tellTick = 60 * time.Millisecond
	reach    = 24
	// countTick is how often an instance counts those that it hears: not one of a data centre
	// of which it heard nothing for deafAfter, nor one of which three datagrams are missing.
	countTick   = 100 * time.Millisecond
	deafAfter   = 450 * time.Millisecond
	dataCentres = 3
	// moveAfter is when clients leave an instance that does not answer.
	moveAfter = 2 * time.Second
)

var tolerance = Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// allowed is the most calls of the customer that may run in any window.
func allowed(q Quota) float64 {
	return (q.Rate*tolerance.Window.Seconds()+q.Burst)*(1+tolerance.Overage) + tolerance.Slack
}

// way is how an instance admits calls.
type way interface {
	set(quotas map[string]Quota, now time.Time)
	admit(customer string, now time.Time) bool
}

// toldWay is the one of the product.
type toldWay struct{ *Quotas }

func (w toldWay) set(quotas map[string]Quota, now time.Time) { w.Set(quotas, now) }

func (w toldWay) admit(customer string, now time.Time) bool {
	verdict, _ := w.Admit(Call{Customer: customer}, now)
	return verdict == Admitted
}

// fixedWay gives each instance the same part of each quota.
type fixedWay struct {
	instances int
	limiters  map[string]*rate.Limiter
}

func (w *fixedWay) set(quotas map[string]Quota, _ time.Time) {
	for name, q := range quotas {
		part := rate.Limit(q.Rate / float64(w.instances))
		w.limiters[name] = rate.NewLimiter(part, max(1, int(q.Burst)/w.instances))
	}
}

func (w *fixedWay) admit(customer string, now time.Time) bool {
	l := w.limiters[customer]
	return l == nil || l.AllowN(now, 1)
}

// dividedWay has an arbiter divide each quota by demand, as it does plans of steps.
type dividedWay struct {
	name    string
	arbiter *arbiter
	members fleet
	limits  map[string]plan.Limits
	states  map[string]*dividedState
}

type dividedState struct {
	limiter  *rate.Limiter
	ends     time.Time
	asked    time.Time
	arrivals int
	offered  float64
}

func (w *dividedWay) set(quotas map[string]Quota, _ time.Time) {
	for name, q := range quotas {
		w.limits[name] = plan.Limits{Rate: q.Rate, Burst: int(q.Burst)}
		w.states[name] = &dividedState{}
	}
}

func (w *dividedWay) admit(customer string, now time.Time) bool {
	limits, s := w.limits[customer], w.states[customer]
	if s == nil {
		return true
	}
	s.arrivals++
	if s.limiter == nil || now.After(s.ends) {
		w.apply(s, limits, w.members.unasked(limits, w.name), now)
	}
	if s.limiter.AllowN(now, 1) {
		return true
	}
	if now.Sub(s.asked) >= askPause {
		s.offered = max(s.offered/2, float64(s.arrivals)/max(askPause, min(askInterval, now.Sub(s.asked))).Seconds())
		s.asked, s.arrivals = now, 0
		w.apply(s, limits, w.arbiter.divide(w.name, Demand{Plan: customer, Rate: s.offered, Limits: limits}, w.members, now), now)
		s.ends = now.Add(shareTime)
	}
	return false
}

func (w *dividedWay) apply(s *dividedState, limits plan.Limits, share Share, now time.Time) {
	burst := max(1, int(float64(limits.Burst)*share.Rate/limits.Rate))
	if s.limiter == nil {
		s.limiter = rate.NewLimiter(rate.Limit(share.Rate), burst)
		return
	}
	s.limiter.SetLimitAt(now, rate.Limit(share.Rate))
	s.limiter.SetBurstAt(now, burst)
}

// quotaInstance is one instance of the world.
type quotaInstance struct {
	name       string
	dataCentre int
	// side tells the halves of a cut apart.
	side      int
	way       way
	downUntil time.Time
	frozen    bool
	heard     map[string]time.Time
	signs     map[int]time.Time
	peers     []*quotaInstance
	next      int
	sendAt    time.Time
	countAt   time.Time
	inbox     []quotaDatagram
}

type quotaDatagram struct {
	at      time.Time
	from    *quotaInstance
	telling QuotaReport
}

// quotaClient is one connection of a customer.
type quotaClient struct {
	customer string
	// pace is the part of the customer's demand that comes through it.
	pace  float64
	at    *quotaInstance
	stuck time.Time
}

// quotaWorld plays instances and clients of customers on a clock of its own.
type quotaWorld struct {
	random    *rand.Rand
	now       time.Time
	instances []*quotaInstance
	byName    map[string]*quotaInstance
	clients   []*quotaClient
	quotas    map[string]Quota
	// changed says when a quota was changed last, former the highest one before.
	changed map[string]time.Time
	former  map[string]Quota
	// demand is in calls a second, by customer.
	demand map[string]float64
	newWay func(w *quotaWorld, name string) way
	runs   uint64
	loss   float64

	// ideal is one bucket for the whole fleet, and owed the calls that it admits.
	ideal   map[string]*rate.Limiter
	owed    map[string]int
	ran     map[string][]time.Time
	asked   map[string]int
	refused map[string]int
}

func newQuotaWorld(seed uint64, instances int, newWay func(*quotaWorld, string) way) *quotaWorld {
	w := &quotaWorld{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), newWay: newWay, loss: 0.01,
		quotas: map[string]Quota{}, changed: map[string]time.Time{}, former: map[string]Quota{}, demand: map[string]float64{},
		byName: map[string]*quotaInstance{}, ideal: map[string]*rate.Limiter{}, ran: map[string][]time.Time{},
		owed: map[string]int{}, asked: map[string]int{}, refused: map[string]int{},
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

func told(w *quotaWorld, name string) way { return toldWay{NewQuotas(name, w.runs, tolerance)} }

func fixed(w *quotaWorld, _ string) way {
	return &fixedWay{instances: len(w.instances), limiters: map[string]*rate.Limiter{}}
}

// divided returns the way of one arbiter that is never lost and answers at once.
func divided() func(*quotaWorld, string) way {
	shared := newArbiter()
	return func(w *quotaWorld, name string) way {
		weights := map[string]float64{}
		for _, i := range w.instances {
			weights[i.name] = 1
		}
		return &dividedWay{name: name, arbiter: shared, members: newFleet(weights), limits: map[string]plan.Limits{}, states: map[string]*dividedState{}}
	}
}

// customer adds one with some clients, of which the first has most of the calls. The demand
// is a part of the rate.
func (w *quotaWorld) customer(name string, q Quota, demand float64, clients int) {
	w.quotas[name], w.demand[name] = q, demand*q.Rate
	w.ideal[name] = rate.NewLimiter(rate.Limit(q.Rate), max(1, int(q.Burst)))
	for i := range clients {
		w.clients = append(w.clients, &quotaClient{customer: name, pace: 2 * float64(clients-i) / float64(clients*(clients+1)), at: w.anyInstance()})
	}
}

func (w *quotaWorld) anyInstance() *quotaInstance {
	return w.instances[w.random.IntN(len(w.instances))]
}

func (w *quotaWorld) start() {
	for _, i := range w.instances {
		w.startOne(i)
	}
}

func (w *quotaWorld) startOne(i *quotaInstance) {
	w.runs++
	i.way, i.heard, i.inbox = w.newWay(w, i.name), map[string]time.Time{}, nil
	i.signs = map[int]time.Time{}
	i.frozen = false
	i.sendAt = w.now.Add(time.Duration(w.random.Int64N(int64(tellTick))))
	i.way.set(w.quotas, w.now)
}

// change sets a quota at all instances at once.
func (w *quotaWorld) change(name string, q Quota) {
	former := w.quotas[name]
	if w.now.Before(w.changed[name].Add(tolerance.Window)) {
		former.Rate, former.Burst = max(former.Rate, w.former[name].Rate), max(former.Burst, w.former[name].Burst)
	}
	w.former[name], w.changed[name], w.quotas[name] = former, w.now, q
	w.ideal[name].SetLimitAt(w.now, rate.Limit(q.Rate))
	w.ideal[name].SetBurstAt(w.now, max(1, int(q.Burst)))
	for _, i := range w.instances {
		if i.way != nil {
			i.way.set(w.quotas, w.now)
		}
	}
}

func (w *quotaWorld) kill(i *quotaInstance, down time.Duration) {
	i.way, i.downUntil = nil, w.now.Add(down)
}

// freeze stops the instances chosen, and wakes the others.
func (w *quotaWorld) freeze(chosen func(n int) bool) {
	for n, i := range w.instances {
		i.frozen = i.way != nil && chosen(n)
	}
}

// cut puts the instances chosen on a side of their own.
func (w *quotaWorld) cut(chosen func(n int) bool) {
	for n, i := range w.instances {
		i.side = 0
		if chosen(n) {
			i.side = 1
		}
	}
}

// play lets time pass.
func (w *quotaWorld) play(d time.Duration) {
	for until := w.now.Add(d); w.now.Before(until); w.now = w.now.Add(tick) {
		for _, i := range w.instances {
			w.turn(i)
		}
		for _, c := range w.clients {
			w.call(c)
		}
	}
}

// turn lets an instance receive and send.
func (w *quotaWorld) turn(i *quotaInstance) {
	if i.way == nil {
		if w.now.Before(i.downUntil) {
			return
		}
		w.startOne(i)
	}
	if i.frozen {
		return
	}
	quotas, ok := i.way.(toldWay)
	if !ok {
		return
	}
	i.inbox = slices.DeleteFunc(i.inbox, func(d quotaDatagram) bool {
		if d.at.After(w.now) {
			return false
		}
		i.heard[d.from.name], i.signs[d.from.dataCentre] = w.now, w.now
		quotas.Merge(d.telling, w.now)
		return true
	})
	if w.now.Before(i.sendAt) {
		return
	}
	i.sendAt = i.sendAt.Add(tellTick)
	turns := max(1, (len(i.peers)+reach-1)/reach)
	if !w.now.Before(i.countAt) {
		i.countAt = w.now.Add(countTick)
		heard := 1
		for name, at := range i.heard {
			if w.now.Sub(at) < max(deafAfter, 3*time.Duration(turns)*tellTick) && w.now.Sub(i.signs[w.byName[name].dataCentre]) < deafAfter {
				heard++
			}
		}
		quotas.SetFleet(heard, len(w.instances), time.Duration(turns)*tellTick, w.now)
	}
	started, counted := quotas.NewInstances(w.now)
	for _, name := range started {
		w.send(i, w.byName[name], counted)
	}
	telling, atOnce := quotas.Report(w.now)
	var recipients []*quotaInstance
	for range min(reach, len(i.peers)) {
		recipients = append(recipients, i.peers[i.next%len(i.peers)])
		i.next++
	}
	for _, name := range atOnce {
		recipients = append(recipients, w.byName[name])
	}
	for _, to := range recipients {
		w.send(i, to, telling)
	}
}

// send sends a datagram, which may be lost.
func (w *quotaWorld) send(from, to *quotaInstance, telling QuotaReport) {
	if w.random.Float64() < w.loss || to.way == nil || to.side != from.side {
		return
	}
	delay := time.Millisecond + time.Duration(w.random.Int64N(int64(2*time.Millisecond)))
	to.inbox = append(to.inbox, quotaDatagram{at: w.now.Add(delay), from: from, telling: telling})
}

// call sends what a client has to send within a tick.
func (w *quotaWorld) call(c *quotaClient) {
	if c.at.way == nil || c.at.frozen || c.at.side == 1 {
		if c.stuck.IsZero() {
			c.stuck = w.now
		}
		if w.now.Sub(c.stuck) >= moveAfter {
			c.at, c.stuck = w.anyInstance(), time.Time{}
		}
		if c.at.way == nil || c.at.frozen {
			return
		}
	} else {
		c.stuck = time.Time{}
	}
	expected := w.demand[c.customer] * c.pace * tick.Seconds()
	n := int(expected)
	if w.random.Float64() < expected-float64(n) {
		n++
	}
	for range n {
		w.one(c)
	}
}

func (w *quotaWorld) one(c *quotaClient) {
	w.asked[c.customer]++
	if w.ideal[c.customer].AllowN(w.now, 1) {
		w.owed[c.customer]++
	}
	if c.at.way.admit(c.customer, w.now) {
		w.ran[c.customer] = append(w.ran[c.customer], w.now)
		return
	}
	w.refused[c.customer]++
}

// lost is the part of the calls owed that were not admitted, over all customers and of the
// one that lost most.
func (w *quotaWorld) lost() (all, worst float64) {
	lacking, owed := 0, 0
	for name, due := range w.owed {
		lacks := max(0, due-len(w.ran[name]))
		lacking, owed = lacking+lacks, owed+due
		if due >= 20 {
			worst = max(worst, float64(lacks)/float64(due))
		}
	}
	return float64(lacking) / float64(max(1, owed)), worst
}

// countAnew forgets what was owed and refused.
func (w *quotaWorld) countAnew() {
	w.owed, w.asked, w.refused, w.ran = map[string]int{}, map[string]int{}, map[string]int{}, map[string][]time.Time{}
}

// worst returns the window of a customer with most calls beyond what is allowed.
func (w *quotaWorld) worst(name string) (most int, at time.Time, over bool) {
	times := w.ran[name]
	first := 0
	for last, t := range times {
		for t.Sub(times[first]) >= tolerance.Window {
			first++
		}
		n := last - first + 1
		most = max(most, n)
		if float64(n) > w.allowedFrom(name, times[first]) && !over {
			at, over = t, true
		}
	}
	return most, at, over
}

// allowedFrom is the most calls of a customer in a window that begins then.
func (w *quotaWorld) allowedFrom(name string, begin time.Time) float64 {
	most := allowed(w.quotas[name])
	if begin.Before(w.changed[name].Add(tolerance.Window)) {
		most = max(most, allowed(w.former[name]))
	}
	return most
}

// broken tells of the customers that had more than is allowed.
func (w *quotaWorld) broken() []string {
	var list []string
	for name, q := range w.quotas {
		if most, at, over := w.worst(name); over {
			list = append(list, fmt.Sprintf("%s: %d calls in a window, %.1f allowed, at %v", name, most, allowed(q), at.Sub(time.Unix(1000, 0))))
		}
	}
	slices.Sort(list)
	return list
}

func names(quotas map[string]Quota) []string { return slices.Sorted(maps.Keys(quotas)) }

// total sums counts up.
func total(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}
