package limit

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Quota bounds a customer's calls over the whole fleet.
type Quota struct {
	// Rate is in calls a second; 0 for no limit.
	Rate float64
	// Burst is the number of calls that may come at once beyond the rate.
	Burst float64
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.Rate > 0 }

// Tolerance is how far a customer may be let beyond its quota in any window, since instances
// learn of each other's calls late.
type Tolerance struct {
	Window time.Duration
	// Overage is a part of what the quota allows in a window, Slack a number of calls.
	Overage, Slack float64
}

const (
	// useMemory is the time over which an instance's part of a customer's calls is taken.
	shareDecayTime = 2 * time.Second
	// newcomersPart is the part of the room that is left to instances that begin to have
	// calls of the customer, newcomersLeast the number of those who may do so at once.
	newcomerFraction = 0.5
	minNewcomers     = 2
	// tellPart is the part of a burst from which on admitted calls are told at once;
	// tellEvery is when fewer are.
	reportBurstDivisor = 64
	reportInterval     = 500 * time.Millisecond
	// partKnown is the part of a quota below which most instances are not heard.
	majorityFraction = 0.5
	// riseLeast is the rise of the part from which on it shows that a cut has healed.
	minFractionRise = 0.05
	// tellingRounds is the number of rounds in which all is told, and made good if lost.
	settlingRounds = 3
	// refillLeast keeps a caller that is refused from coming back at once.
	minRetryAfter = 50 * time.Millisecond
	// returnWithin is how long after its admission a call may be given back.
	maxReturnDelay = 500 * time.Millisecond
	// forgetAfter is how long what a peer told of a customer is remembered: far longer than
	// a datagram may be on its way, so that a late one does not count anew.
	peerUsageRetention = 20 * time.Second
)

// Quotas holds customers to their quotas over all instances.
//
// Each instance counts every customer's calls of the last window by itself: its own at once,
// and those of the others when they tell of them. The failures that it guards against are a
// customer that has its quota once at each instance, and one that is refused though others
// of its instances are idle.
//
//   - Where a customer has had half of its calls, an instance admits no more between two
//     tellings than its part of the room, by the calls it had lately. Parts add up to the
//     whole. Instances tell all others by turns, and where that takes long, at once those
//     that have calls of the same customer.
//   - Instances that hear only some of the others have only a part of the quota, see partOf.
//     The parts of groups that do not hear each other add up to one at most.
//   - One that starts is told by the others what it does not know. Where all have started,
//     nobody knows of the calls before, and the quota opens slowly for a window.
type Quotas struct {
	tolerance   Tolerance
	name        string
	incarnation uint64

	mu           sync.Mutex
	meters       map[string]*meter
	metersByHash map[uint64]*meter
	peers        map[string]*peer
	// part is what this group of instances may use of each quota; alone says that there is
	// no other instance.
	fraction       float64
	singleInstance bool
	// round is how long it takes an instance to tell all others.
	reportRound time.Duration
	// knows is since when all calls are known; zero before most instances were heard.
	observedSince time.Time
	// counted says that this instance was told all calls from before its start, and
	// countedUntil until when others still tell of those for the first time.
	countsReceived   bool
	countsCoverUntil time.Time
	lastSweep        time.Time
	// rising is since when more instances are heard than part says; zero while they are not.
	risingSince time.Time
	// started are instances that are to be told all calls of the window.
	newInstances []string
	fleetSize    int
}

// NewQuotas returns quotas of nobody, at the instance; the run tells its starts apart.
func NewQuotas(name string, incarnation uint64, t Tolerance) *Quotas {
	return &Quotas{name: name, incarnation: incarnation, tolerance: t, meters: map[string]*meter{}, metersByHash: map[uint64]*meter{}, peers: map[string]*peer{}}
}

// Set puts customers' quotas in force; those not named have none.
func (q *Quotas) Set(quotas map[string]Quota, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, m := range q.meters {
		if !quotas[name].Limited() {
			delete(q.meters, name)
			delete(q.metersByHash, m.hash)
		}
	}
	for name, quota := range quotas {
		if !quota.Limited() {
			continue
		}
		m := q.meters[name]
		if m == nil {
			m = newMeter(xxhash.Sum64String(name), quota, q.tolerance, now)
			q.meters[name], q.metersByHash[m.hash] = m, m
		}
		m.advance(now)
		m.setQuota(quota, q.tolerance)
	}
}

// Verdict is what became of a call at its customer's quota.
type Verdict uint8

// The verdicts.
const (
	Admitted Verdict = iota
	// Over says that the customer has had what its quota allows.
	OverQuota
	// Unknown says that too few other instances are heard to tell.
	Undetermined
)

// Call is a call that asks to be admitted.
type Call struct {
	Customer string
	// Program is empty for a call that belongs to none. Head says that the call may begin it.
	Program       string
	StartsProgram bool
}

// Admit admits a call, or tells when it is worth to come again. Where the quota is nearly
// used up, a program that begins is refused, and not one under way.
func (q *Quotas) Admit(c Call, now time.Time) (Verdict, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	m := q.meters[c.Customer]
	if m == nil {
		return Admitted, 0
	}
	m.advance(now)
	m.rotateUnreported(now, q.reportRound)
	observed := q.observedFor(now)
	limit := m.limit(q.fraction, observed)
	starting := c.StartsProgram && !m.programs.contains(c.Program)
	delay := m.reportDelay(now, q.reportRound)
	full := m.recent.sum+1 > limit || m.bucket < 1 || starting && !m.canStartProgram(now, limit)
	switch {
	case full && q.fraction < majorityFraction:
		return Undetermined, m.retryAfter(q.fraction, observed)
	case full:
		return OverQuota, m.retryAfter(q.fraction, observed)
	case !q.singleInstance && !m.withinLocalShare(limit, delay):
		return OverQuota, max(minRetryAfter, delay)
	}
	m.recordOwn(now)
	if c.Program != "" {
		m.programs.recordCall(c.Program, now, m.window)
	}
	return Admitted, 0
}

// known is for how long all calls are known; the lock is held.
func (q *Quotas) observedFor(now time.Time) time.Duration {
	if q.observedSince.IsZero() {
		return 0
	}
	return now.Sub(q.observedSince)
}

// Return gives an admission back whose call has not run. One that waited for long stays
// counted: later calls would take its place while it has left the window already.
func (q *Quotas) Return(customer string, admitted, now time.Time) {
	if now.Sub(admitted) > maxReturnDelay {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if m := q.meters[customer]; m != nil {
		m.advance(now)
		m.returnCall(admitted)
	}
}

func (q *Quotas) window() time.Duration { return max(q.tolerance.Window, minWindow) }

// Fleet takes in how many of all instances are heard, this one included, and how long it
// takes to tell them all. An instance that is not heard may have calls of its own; while it
// is not known which instances there are, none is heard.
func (q *Quotas) SetFleet(reachable, total int, round time.Duration, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.singleInstance, q.fleetSize, q.reportRound = total == 1, total, round
	q.setFraction(groupFraction(reachable, total), now)
	if q.observedSince.IsZero() && q.fraction > majorityFraction {
		q.observedSince = now
		if q.countsReceived {
			q.observedSince = now.Add(-q.window())
		}
	}
	if now.Sub(q.lastSweep) >= peerUsageRetention {
		q.lastSweep = now
		q.dropStaleUsage(now)
	}
}

// adopt takes in the part of the quotas that may be used; the lock is held. A larger one
// counts once the instances that are heard again had time to tell of their calls.
func (q *Quotas) setFraction(fraction float64, now time.Time) {
	switch {
	case fraction <= q.fraction || q.singleInstance:
		q.risingSince = time.Time{}
	case q.risingSince.IsZero():
		q.risingSince = now
		if fraction-q.fraction > minFractionRise {
			q.reportAgain(now)
		}
		return
	case now.Sub(q.risingSince) < q.settlingTime():
		return
	}
	q.fraction = fraction
}

// settling is how long instances that are heard anew have to tell of their calls. After a
// start little is admitted in any case; the lock is held.
func (q *Quotas) settlingTime() time.Duration {
	if q.observedSince.IsZero() {
		return q.reportRound
	}
	return settlingRounds * q.reportRound
}

// tellAgain has all calls of the window told to those that are heard again; the lock is held.
func (q *Quotas) reportAgain(now time.Time) {
	for _, m := range q.meters {
		m.advance(now)
		m.reportAgain(now, q.reportRound)
	}
}

// partOf is the part of each quota that a group of instances may use that hear each other
// and nobody else. For any groups of a fleet the parts add up to one at most; most of it is
// for a group of more than half, to which callers are sent.
func groupFraction(reachable, total int) float64 {
	switch {
	case reachable == 0:
		return 0
	case reachable >= total:
		return 1
	}
	x := float64(reachable) / float64(total)
	own, rest := x*x*x, (1-x)*(1-x)*(1-x)
	return own / (own + rest)
}
