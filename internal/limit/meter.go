package limit

import (
	"math"
	"time"
)

const (
	// windowMost is the part of what is allowed in a window up to which calls are admitted,
	// less raceCalls; the rest is for calls that instances do not know of from each other.
	maxWindowFraction = 0.93
	unseenCallReserve = 4
	// burstPart is the part of a window's calls that may come at once, and burstPace how much
	// faster than evenly they may go on. Together with startPart and startPace, which count
	// after a start, they keep what ran before a restart of all instances and what runs after
	// it within one window's calls.
	burstFraction   = 0.25
	burstRateFactor = 1.25
	startFraction   = 0.02
	startRateFactor = 0.75
	// freePart is the part of a window's calls from which on instances need not keep to their
	// shares.
	uncontendedFraction = 0.5
	// slots is the number of parts in which a window passes.
	windowSlots = 50
	// shortestWindow counts where none is set.
	minWindow = time.Second
	// idleUse is the number of recent calls below which an instance counts as having none.
	idleCalls = 0.5
	// longRound is the time to tell all others from which on those that have calls of the same
	// customer are told at once. That costs as many datagrams again.
	longReportRound = 300 * time.Millisecond
	// tellAtOnce is how long that takes: two datagrams, of which one may be lost.
	directReportTime = 120 * time.Millisecond
)

// meter counts one customer's calls, as one instance knows them.
type meter struct {
	// hash is that of the customer's name.
	hash uint64
	// window is the time over which calls are bounded.
	window time.Duration
	// began is when the meter was made; slots count from it, so that steps of the time of day
	// change no window.
	createdAt time.Time
	// most is the number of calls in a window, burst those that may come at once; pace is
	// the rate of those that may follow, start and startPace bound calls after a start.
	maxCalls, burst, refillRate, startLimit, startRate float64
	// level is the number of calls that may come at once now.
	bucket     float64
	advancedAt time.Time

	// recent counts the calls of the window by the slots that they came in, own those of
	// this instance. head is the slot of now.
	recent, own ring
	headSlot    int64
	// shareOwn and shareAll are the calls of about the last useMemory: of this instance, and
	// of all.
	decayedOwn, decayedAll float64
	programs               programs
	// others are when each other instance last had calls.
	remoteLastCall map[string]time.Time

	// made is the number of calls that this instance admitted, less returned ones.
	admitted uint64
	// returned is how many admissions were given back and are not made up for yet.
	returned int
	// before and since count calls that others may not know of: since is from rotated on,
	// before is of the round before.
	unreportedPrevious, unreportedCurrent float64
	rotatedAt                             time.Time
	// active is since when this instance has calls of the customer without a pause.
	activeSince time.Time
	// told is the number made that was last told, from toldAt on.
	reported   uint64
	reportedAt time.Time
}

// ring counts calls by slot; the last one is kept until it has passed whole.
type ring struct {
	counts [windowSlots + 1]float64
	sum    float64
}

func (r *ring) add(slot int64, calls float64) {
	r.counts[slot%(windowSlots+1)] += calls
	r.sum += calls
}

// pass forgets what came before the window that ends with the new slot.
func (r *ring) expire(from, to int64) {
	for slot := from + 1; slot <= to && slot <= from+windowSlots+1; slot++ {
		r.sum -= r.counts[slot%(windowSlots+1)]
		r.counts[slot%(windowSlots+1)] = 0
	}
}

// newMeter returns a meter that has counted nothing.
func newMeter(hash uint64, q Quota, t Tolerance, now time.Time) *meter {
	m := &meter{hash: hash, advancedAt: now, createdAt: now}
	m.setQuota(q, t)
	m.bucket = m.burst
	m.headSlot = m.slot(now)
	return m
}

// size sets the quota.
func (m *meter) setQuota(q Quota, t Tolerance) {
	m.window = max(t.Window, minWindow)
	seconds := m.window.Seconds()
	allowed := (q.Rate*seconds+q.Burst)*(1+t.Overage) + t.Slack
	m.maxCalls = max(1, maxWindowFraction*allowed-unseenCallReserve)
	m.burst = max(1, burstFraction*m.maxCalls, q.Burst)
	m.refillRate = burstRateFactor * m.maxCalls / seconds
	m.startLimit, m.startRate = startFraction*allowed, startRateFactor*q.Rate
	m.bucket = min(m.bucket, m.burst)
}

func (m *meter) slot(now time.Time) int64 {
	return int64(now.Sub(m.createdAt) / (m.window / windowSlots))
}

// advance takes in that time has passed.
func (m *meter) advance(now time.Time) {
	dt := now.Sub(m.advancedAt).Seconds()
	if dt <= 0 {
		return
	}
	m.advancedAt = now
	m.bucket = min(m.burst, m.bucket+m.refillRate*dt)
	decay := math.Exp(-dt / shareDecayTime.Seconds())
	m.decayedOwn *= decay
	m.decayedAll *= decay
	if slot := m.slot(now); slot > m.headSlot {
		m.recent.expire(m.headSlot, slot)
		m.own.expire(m.headSlot, slot)
		m.headSlot = slot
	}
}

// limit is the number of calls in a window, of a part of the quota. Known is for how long it
// is known what calls there were.
func (m *meter) limit(fraction float64, observed time.Duration) float64 {
	most := m.maxCalls
	if observed < m.window {
		most = min(most, m.startLimit+m.startRate*observed.Seconds())
	}
	return most * fraction
}

// mayRace reports whether this instance may admit a call though others may have admitted
// some that it does not know of. While there is room for half of a window's calls, that many
// do not come in the time it takes to tell. Then each instance keeps to its share of the room
// and of the calls that leave the window meanwhile.
func (m *meter) withinLocalShare(limit float64, delay time.Duration) bool {
	free := limit - m.recent.sum
	leaving := m.ownFraction() * limit * delay.Seconds() / m.window.Seconds()
	return free > uncontendedFraction*limit || m.unreported()+1 <= max(1, m.localShare()*(free+m.unreported())+leaving)
}

// mayBegin reports whether there is room for one more program beside those under way: one
// that runs into the limit later was begun in vain.
func (m *meter) canStartProgram(now time.Time, limit float64) bool {
	remote := m.recent.sum - m.own.sum
	return m.own.sum < 1 || remote+m.programs.expectedCalls(now, m.window) <= limit
}

// wait is about the time until there is room for a call.
func (m *meter) retryAfter(fraction float64, observed time.Duration) time.Duration {
	if limit := m.limit(fraction, observed); m.recent.sum+1 > limit && observed >= m.window {
		excess := m.recent.sum + 1 - limit
		for n := int64(1); n <= windowSlots; n++ {
			if excess -= m.recent.counts[(m.headSlot+n)%(windowSlots+1)]; excess <= 0 {
				return max(minRetryAfter, time.Duration(n)*m.window/windowSlots)
			}
		}
	}
	pace := m.refillRate
	if observed < m.window {
		pace = m.startRate
	}
	return max(minRetryAfter, min(m.window, time.Duration(float64(time.Second)/pace)))
}

// take counts a call of this instance.
func (m *meter) recordOwn(now time.Time) {
	if m.decayedOwn < idleCalls {
		m.activeSince = now
	}
	m.bucket--
	m.recent.add(m.headSlot, 1)
	m.own.add(m.headSlot, 1)
	m.decayedOwn++
	m.decayedAll++
	m.unreportedCurrent++
	if m.returned > 0 {
		m.returned--
		return
	}
	m.admitted++
}

// giveBack takes back a call of this instance that has not run.
func (m *meter) returnCall(admitted time.Time) {
	slot := m.slot(admitted)
	if slot <= m.headSlot-windowSlots || m.own.counts[slot%(windowSlots+1)] < 1 {
		return
	}
	m.bucket = min(m.burst, m.bucket+1)
	m.recent.add(slot, -1)
	m.own.add(slot, -1)
	m.returned++
}

// took counts calls of another instance.
func (m *meter) recordRemote(from string, calls float64, now time.Time) {
	if calls == 0 {
		return
	}
	// What was admitted in too many places must not stop the customer for long.
	m.bucket = max(-m.burst, m.bucket-calls)
	m.recent.add(m.headSlot, calls)
	m.decayedAll += calls
	if m.remoteLastCall == nil {
		m.remoteLastCall = map[string]time.Time{}
	}
	m.remoteLastCall[from] = now
	for name, at := range m.remoteLastCall {
		if now.Sub(at) > shareDecayTime {
			delete(m.remoteLastCall, name)
		}
	}
}

// share is the part of the room that this instance may use before the others know of it: by
// its part of the calls, and something for one that begins to have calls.
func (m *meter) localShare() float64 {
	return newcomerFraction/float64(max(minNewcomers, len(m.remoteLastCall)+1)) + (1-newcomerFraction)*m.ownFraction()
}

// ownPart is this instance's part of the recent calls.
func (m *meter) ownFraction() float64 {
	if m.decayedAll <= 0 {
		return 0
	}
	return m.decayedOwn / m.decayedAll
}

// untold is the number of calls that others may not know of.
func (m *meter) unreported() float64 { return m.unreportedPrevious + m.unreportedCurrent }

// begins reports whether this instance may not know all others that have calls of the
// customer, since it has had some itself for less than they take to tell.
func (m *meter) isNewcomer(now time.Time, round time.Duration) bool {
	return now.Sub(m.activeSince) < 2*round
}

// tellingTime is how long calls may be unknown to others that have calls of the customer.
func (m *meter) reportDelay(now time.Time, round time.Duration) time.Duration {
	if round < longReportRound || m.isNewcomer(now, round) {
		return round
	}
	return directReportTime
}

// rotate forgets calls that the others were told of.
func (m *meter) rotateUnreported(now time.Time, round time.Duration) {
	passed := now.Sub(m.rotatedAt)
	round = m.reportDelay(now, round)
	if passed < round {
		return
	}
	m.unreportedPrevious = m.unreportedCurrent
	if passed >= 2*round {
		m.unreportedPrevious = 0
	}
	m.unreportedCurrent, m.rotatedAt = 0, now
}

// tells reports whether the calls are to be told now. They are told for one round; what is
// lost then is made good with the next calls.
func (m *meter) shouldReport(now time.Time, round time.Duration) bool {
	added := m.admitted - m.reported
	if float64(added) >= max(1, m.burst/reportBurstDivisor) || added > 0 && now.Sub(m.reportedAt) >= reportInterval {
		m.reported, m.reportedAt = m.admitted, now
	}
	return now.Sub(m.reportedAt) < max(round, time.Millisecond)
}

// tellAgain has the calls told once more, for two rounds: there may be no next calls to make
// good what is lost.
func (m *meter) reportAgain(now time.Time, round time.Duration) {
	if m.own.sum > 0 {
		m.reported, m.reportedAt = m.admitted, now.Add(round)
	}
}
