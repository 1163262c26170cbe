package limit

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Quota bounds a customer's calls over all instances.
type Quota struct {
	// Rate is in calls per second; 0 for no limit.
	Rate float64
	// Burst is the number of calls that may come at once beyond the rate.
	Burst float64
}

// Limited reports whether the quota sets a limit.
func (q Quota) Limited() bool { return q.Rate > 0 }

// Tolerance is how far a customer may exceed its quota in any window, because instances learn of
// each other's calls with a delay.
type Tolerance struct {
	Window time.Duration
	// Overage is a fraction of what the quota allows in a window, Slack a number of calls.
	Overage, Slack float64
}

const (
	// shareDecayTime is the time constant of the decaying counts that give an instance's fraction
	// of a customer's calls.
	shareDecayTime = 2 * time.Second
	// newcomerFraction is the fraction of the free calls that is reserved for instances that begin
	// to have calls of the customer. It is divided by at least minNewcomers instances.
	newcomerFraction = 0.5
	minNewcomers     = 2
	// reportBurstDivisor sets the number of admitted calls that are reported immediately, as a
	// fraction of the burst. Fewer calls are reported every reportInterval.
	reportBurstDivisor = 64
	reportInterval     = 500 * time.Millisecond
	// majorityFraction is the largest fraction of a quota that a group of at most half of all
	// instances may use, see groupFraction.
	majorityFraction = 0.5
	// minFractionRise is the rise of the fraction that indicates a healed network partition.
	minFractionRise = 0.05
	// settlingRounds is the number of rounds in which all calls are reported, including the
	// repetition of lost reports.
	settlingRounds = 3
	// minRetryAfter is the shortest retry time; it keeps refused callers from retrying at once.
	minRetryAfter = 50 * time.Millisecond
	// startRetryAfter is the shortest retry time until a majority of the instances has been heard: the list of
	// instances is read, and a round of reports received, within about that time. A caller that came back
	// sooner would use up its tries.
	startRetryAfter = 400 * time.Millisecond
	// maxBriefMinority is how long calls wait for a majority that was heard before: the pause of a process or a
	// machine, and the reports after it. Callers are diverted from an instance that hears none for longer.
	maxBriefMinority = 2 * time.Second
	// maxReturnDelay is how long after its admission a call may be returned.
	maxReturnDelay = 500 * time.Millisecond
	// peerUsageRetention is how long a peer's count for a customer is kept: far longer than a
	// datagram may be in flight, so that a late one is not counted twice.
	peerUsageRetention = 20 * time.Second
)

// Quotas enforces customers' quotas over all instances.
//
// Each instance counts every customer's calls of the last window: its own immediately, those of
// the others when they report them. Quotas guards against two failures: a customer that gets its
// full quota at each instance, and a customer that is refused at one instance while its part of
// the quota at the others is unused.
//
//   - After a customer has used half of a window's calls, an instance admits between two reports
//     at most its share of the free calls, according to its recent calls. The shares add up to
//     one. Instances send their reports to all others in rounds. If a round takes long, they also
//     send them directly to the instances that have calls of the same customer.
//   - A group of instances that reaches only some of the others has a fraction of the quota, see
//     groupFraction. The fractions of groups that do not reach each other add up to at most one.
//   - An instance that starts receives the calls of the last window from the others. If all have
//     started, the calls before are unknown, and the limit of a window starts low and rises until
//     one window has passed.
type Quotas struct {
	tolerance   Tolerance
	name        string
	incarnation uint64

	mu           sync.Mutex
	meters       map[string]*meter
	metersByHash map[uint64]*meter
	peers        map[string]*peer
	// fraction is the part of each quota that this group of instances may use. singleInstance
	// means that there is no other instance.
	fraction       float64
	singleInstance bool
	// reportRound is how long it takes an instance to send its report to all others.
	reportRound time.Duration
	// observedSince is the time since which all calls are known; zero until a majority of the
	// instances is reachable.
	observedSince time.Time
	// countsReceived means that this instance has received the counts of the calls before its
	// start. Calls that another instance reports for the first time before countsCoverUntil are
	// included in these counts.
	countsReceived   bool
	countsCoverUntil time.Time
	lastSweep        time.Time
	// risingSince is when the reachable instances began to allow a larger fraction; zero if they do
	// not.
	risingSince time.Time
	// minoritySince is when the fraction fell below majorityFraction; zero if it is not below.
	minoritySince time.Time
	// newInstances are instances that have started and are yet to be sent the counts of the window.
	newInstances []string
	fleetSize    int
}

// NewQuotas returns the Quotas of an instance, without any quota set. The incarnation distinguishes
// the starts of the instance.
func NewQuotas(name string, incarnation uint64, t Tolerance) *Quotas {
	return &Quotas{name: name, incarnation: incarnation, tolerance: t, meters: map[string]*meter{}, metersByHash: map[uint64]*meter{}, peers: map[string]*peer{}}
}

// Set sets the customers' quotas. Customers that are not in the map are not limited.
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

// Verdict is the result of checking a call against its customer's quota.
type Verdict uint8

// The verdicts.
const (
	Admitted Verdict = iota
	// OverQuota means that the customer's quota is exhausted.
	OverQuota
	// Undetermined means that too few other instances are reachable to decide.
	Undetermined
	// AwaitsReports means that this instance has used its share of the quota's rest, and that other
	// instances may leave more of it. Their reports arrive within the returned delay.
	AwaitsReports
	// AwaitsMajority is Undetermined since the start, or for a short time: a majority of the instances has yet to be
	// heard.
	AwaitsMajority
)

// Call is a call to be admitted.
type Call struct {
	Customer string
	// Program is empty for a call that belongs to none. StartsProgram means that the call may be
	// the program's first.
	Program       string
	StartsProgram bool
}

// Admit admits a call, or returns why not and the time after which to retry. When the quota is
// nearly exhausted, it refuses programs that start, not programs that have started.
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
	case full && q.fraction < majorityFraction && (q.observedSince.IsZero() || now.Sub(q.minoritySince) < maxBriefMinority):
		return AwaitsMajority, startRetryAfter
	case full && q.fraction < majorityFraction:
		return Undetermined, m.retryAfter(q.fraction, observed)
	case full:
		return OverQuota, m.retryAfter(q.fraction, observed)
	case !q.singleInstance && !q.withinLocalShare(m, limit, delay, now):
		return AwaitsReports, max(minRetryAfter, delay)
	}
	m.recordOwn(now)
	if c.Program != "" {
		m.programs.recordCall(c.Program, now, m.window)
	}
	return Admitted, 0
}

// withinLocalShare reports whether this instance may admit a call while others may have admitted
// calls that they have not reported yet; the lock is held.
func (q *Quotas) withinLocalShare(m *meter, limit float64, delay time.Duration, now time.Time) bool {
	if m.isUninformed(now, q.reportRound) {
		return m.withinEqualShare(limit, q.fleetSize)
	}
	return m.withinLocalShare(limit, delay, q.name)
}

// observedFor returns how long all calls have been known; the lock is held.
func (q *Quotas) observedFor(now time.Time) time.Duration {
	if q.observedSince.IsZero() {
		return 0
	}
	return now.Sub(q.observedSince)
}

// Return takes back the admission of a call that did not run. A call that waited longer than
// maxReturnDelay stays counted: it leaves the window earlier than the credit for it would, and the
// customer would exceed its quota.
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

// InUse reports whether any customer has a quota.
func (q *Quotas) InUse() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.meters) > 0
}

func (q *Quotas) window() time.Duration { return max(q.tolerance.Window, minWindow) }

// SetFleet sets the number of reachable instances, including this one, the number of all
// instances, and the duration of a round of reports. An unreachable instance may admit calls that
// are not known here. While the set of instances is unknown, reachable is 0.
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

// setFraction sets the fraction of the quotas that may be used; the lock is held. A larger one
// takes effect after the instances that are reachable again have had time to report their calls.
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
	switch {
	case fraction >= majorityFraction:
		q.minoritySince = time.Time{}
	case q.minoritySince.IsZero():
		q.minoritySince = now
	}
}

// settlingTime returns how long newly reachable instances have to report their calls; the lock is
// held. One round is enough after a start, when few calls are admitted in any case.
func (q *Quotas) settlingTime() time.Duration {
	if q.observedSince.IsZero() {
		return q.reportRound
	}
	return settlingRounds * q.reportRound
}

// reportAgain has all calls of the window reported to instances that are reachable again; the lock
// is held.
func (q *Quotas) reportAgain(now time.Time) {
	for _, m := range q.meters {
		m.advance(now)
		m.reportAgain(now, q.reportRound)
	}
}

// groupFraction returns the fraction of each quota for a group of instances that reach each other
// and no other instance. The fractions of disjoint groups add up to at most one. A group of more
// than half of the instances, to which callers are routed, gets most of the quota.
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
