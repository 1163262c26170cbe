package limit

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxWindowFraction is the fraction of a window's allowance up to which calls are admitted,
	// less unseenCallReserve calls. The rest is reserved for calls that other instances admitted
	// and have not reported yet.
	maxWindowFraction = 0.93
	unseenCallReserve = 4
	// burstFraction is the fraction of a window's calls that may come simultaneously, and
	// burstRateFactor the ratio of the rate that may follow to the even rate. startFraction and
	// startRateFactor bound the calls until all calls have been known for one window. Together the
	// four keep the calls before and after a restart of all instances within the allowance of one
	// window.
	burstFraction   = 0.25
	burstRateFactor = 1.25
	startFraction   = 0.02
	startRateFactor = 0.75
	// uncontendedFraction is the fraction of a window's calls that must be free for instances to
	// admit calls beyond their local shares.
	uncontendedFraction = 0.5
	// windowSlots is the number of equal time slots of a window, which slides by one slot at a time.
	// A slot here is a part of a window, not a part of a plan's concurrency.
	windowSlots = 50
	// minWindow is the shortest window, used if none is set.
	minWindow = time.Second
	// idleCalls is the number of recent calls below which an instance is considered idle.
	idleCalls = 0.5
	// longReportRound is the shortest duration of a round at which reports are also sent directly
	// to instances with calls of the same customer. That doubles the number of datagrams.
	longReportRound = 300 * time.Millisecond
	// directReportTime is the time in which a direct report arrives: two datagrams are sent, of
	// which one may be lost.
	directReportTime = 120 * time.Millisecond
)

// meter counts one customer's calls, as far as one instance knows them.
type meter struct {
	// hash is the hash of the customer's name.
	hash uint64
	// window is the duration of the sliding window over which calls are bounded.
	window time.Duration
	// createdAt is when the meter was created. Slots are numbered from it on the monotonic clock, so
	// that jumps of the wall clock do not change a window.
	createdAt time.Time
	// maxCalls is the limit of calls in a window, burst that of simultaneous calls. refillRate is the
	// rate of calls that may follow, per second. startLimit and startRate, per second, bound the calls
	// until all calls have been known for one window.
	maxCalls, burst, refillRate, startLimit, startRate float64
	// bucket is the level of the token bucket: the number of simultaneous calls that are possible
	// now. It is negative after a burst of calls at several instances. advancedAt is the time of the
	// last call of advance.
	bucket     float64
	advancedAt time.Time

	// recent counts the calls of the window by slot, own those of this instance. headSlot is the
	// current slot.
	recent, own ring
	headSlot    int64
	// decayedOwn and decayedAll count the calls of this instance and of all instances, decaying
	// with the time constant shareDecayTime.
	decayedOwn, decayedAll float64
	programs               programs
	// remoteLastCall is when each other instance last reported calls.
	remoteLastCall map[string]time.Time

	// admitted is the number of calls that this instance admitted, for reports. It never
	// decreases: a returned call is offset by not counting the next one.
	admitted uint64
	// returned is the number of returned calls that have not been offset yet.
	returned int
	// unreportedCurrent and unreportedPrevious count calls that other instances may not know of:
	// those since rotatedAt and those of the round before.
	unreportedPrevious, unreportedCurrent float64
	rotatedAt                             time.Time
	// rotations counts the changes of rotatedAt.
	rotations uint64
	// activeSince is when this instance last changed from idle to having calls of the customer.
	activeSince time.Time
	// reported is the value of admitted when the last report began, at reportedAt.
	reported   uint64
	reportedAt time.Time
}

// ring counts calls by slot. The oldest slot is kept until all of it has left the window.
type ring struct {
	counts [windowSlots + 1]float64
	sum    float64
}

func (r *ring) add(slot int64, calls float64) {
	r.counts[slot%(windowSlots+1)] += calls
	r.sum += calls
}

// expire clears the slots that leave the window when its head moves between two slots.
func (r *ring) expire(from, to int64) {
	for slot := from + 1; slot <= to && slot <= from+windowSlots+1; slot++ {
		r.sum -= r.counts[slot%(windowSlots+1)]
		r.counts[slot%(windowSlots+1)] = 0
	}
}

// newMeter returns a meter without calls.
func newMeter(hash uint64, q Quota, t Tolerance, now time.Time) *meter {
	m := &meter{hash: hash, advancedAt: now, createdAt: now}
	m.setQuota(q, t)
	m.bucket = m.burst
	m.headSlot = m.slot(now)
	return m
}

// setQuota sets the limits of the quota.
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

// advance moves the meter to the present time.
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

// limit returns the number of calls that a fraction of the quota allows in a window. observed is how
// long all calls have been known; while that is less than a window, the limit is lower.
func (m *meter) limit(fraction float64, observed time.Duration) float64 {
	calls := m.maxCalls
	if observed < m.window {
		calls = min(calls, m.startLimit+m.startRate*observed.Seconds())
	}
	return calls * fraction
}

// withinLocalShare reports whether this instance may admit a call while others may have admitted
// calls that they have not reported yet. If more than half of the limit is free, the calls that
// others admit within the report delay are assumed not to use it up. Otherwise each instance keeps
// to its share of the free calls and of those that leave the window within the delay. A share below
// one call is drawn: with one call for each instance, a fleet of more instances than free calls
// would exceed the limit.
func (m *meter) withinLocalShare(limit float64, delay time.Duration, instance string) bool {
	free := limit - m.recent.sum
	if free > uncontendedFraction*limit {
		return true
	}
	leaving := m.ownFraction() * limit * delay.Seconds() / m.window.Seconds()
	share := m.localShare()*(free+m.unreported()) + leaving
	if share < 1 && m.draw(instance) < share {
		share = 1
	}
	return m.unreported()+1 <= share
}

// withinEqualShare reports whether this instance may admit a call while it can't know of the other
// instances' calls. It keeps to an equal part of the free calls, and to one call at least.
//
// It prevents the following failure: a flood that begins at all instances at once is admitted by
// each of them up to the burst, before any report arrives.
func (m *meter) withinEqualShare(limit float64, instances int) bool {
	free := limit - m.recent.sum
	return m.unreported()+1 <= max(1, (free+m.unreported())/float64(max(1, instances)))
}

// draw returns a number between 0 and 1 that differs between instances and between report delays.
func (m *meter) draw(instance string) float64 {
	var seed [16]byte
	binary.LittleEndian.PutUint64(seed[:8], m.hash)
	binary.LittleEndian.PutUint64(seed[8:], m.rotations)
	var digest xxhash.Digest
	digest.ResetWithSeed(xxhash.Sum64String(instance))
	_, _ = digest.Write(seed[:]) // never fails
	return float64(digest.Sum64()>>11) / (1 << 53)
}

// canStartProgram reports whether the limit covers one more program beside the active ones, or this
// instance has no calls of the customer in the window. A program that reaches the limit after its
// start has wasted the calls made until then.
func (m *meter) canStartProgram(now time.Time, limit float64) bool {
	remote := m.recent.sum - m.own.sum
	return m.own.sum < 1 || remote+m.programs.expectedCalls(now, m.window) <= limit
}

// retryAfter estimates the time until a call can be admitted.
func (m *meter) retryAfter(fraction float64, observed time.Duration) time.Duration {
	if limit := m.limit(fraction, observed); m.recent.sum+1 > limit && observed >= m.window {
		excess := m.recent.sum + 1 - limit
		for n := int64(1); n <= windowSlots; n++ {
			if excess -= m.recent.counts[(m.headSlot+n)%(windowSlots+1)]; excess <= 0 {
				return max(minRetryAfter, time.Duration(n)*m.window/windowSlots)
			}
		}
	}
	rate := m.refillRate
	if observed < m.window {
		rate = m.startRate
	}
	return max(minRetryAfter, min(m.window, time.Duration(float64(time.Second)/rate)))
}

// recordOwn counts a call of this instance.
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

// returnCall takes back a call of this instance that did not run.
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

// recordRemote counts calls of another instance.
func (m *meter) recordRemote(from string, calls float64, now time.Time) {
	if calls == 0 {
		return
	}
	// The floor bounds how long calls admitted by several instances at once block the customer.
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

// localShare returns the fraction of the free calls that this instance may use before the others
// know of it: its fraction of the recent calls, plus a part for instances that begin to have calls.
func (m *meter) localShare() float64 {
	return newcomerFraction/float64(max(minNewcomers, len(m.remoteLastCall)+1)) + (1-newcomerFraction)*m.ownFraction()
}

// ownFraction returns this instance's fraction of the recent calls.
func (m *meter) ownFraction() float64 {
	if m.decayedAll <= 0 {
		return 0
	}
	return m.decayedOwn / m.decayedAll
}

// unreported returns the number of calls that other instances may not know of.
func (m *meter) unreported() float64 { return m.unreportedPrevious + m.unreportedCurrent }

// isNewcomer reports whether this instance may not know all others that have calls of the
// customer, because it has had calls itself for less than two rounds.
func (m *meter) isNewcomer(now time.Time, round time.Duration) bool {
	return now.Sub(m.activeSince) < 2*round
}

// isUninformed reports whether this instance was idle until less than a round ago, so that reports
// of other instances that became active at the same time may not have arrived. Where a round takes
// longer than a call may wait for it, customers below their quota would be refused for that reason,
// and the instance counts as informed.
func (m *meter) isUninformed(now time.Time, round time.Duration) bool {
	return round < longReportRound && (m.decayedOwn < idleCalls || now.Sub(m.activeSince) < round)
}

// reportDelay returns how long calls may stay unknown to other instances that have calls of the
// customer.
func (m *meter) reportDelay(now time.Time, round time.Duration) time.Duration {
	if round < longReportRound || m.isNewcomer(now, round) {
		return round
	}
	return directReportTime
}

// rotateUnreported starts a new count of unreported calls once a report delay has passed. It discards
// the count before the last one, whose calls have been reported by then.
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
	m.rotations++
}

// shouldReport reports whether the next report includes the customer's calls. It does for one round
// after enough new calls or enough time. A later report makes up for a lost one, because reports
// carry totals.
func (m *meter) shouldReport(now time.Time, round time.Duration) bool {
	added := m.admitted - m.reported
	if float64(added) >= max(1, m.burst/reportBurstDivisor) || added > 0 && now.Sub(m.reportedAt) >= reportInterval {
		m.reported, m.reportedAt = m.admitted, now
	}
	return now.Sub(m.reportedAt) < max(round, time.Millisecond)
}

// reportAgain has the calls reported again, for two rounds: if there are no further calls, no later
// report makes up for a lost one.
func (m *meter) reportAgain(now time.Time, round time.Duration) {
	if m.own.sum > 0 {
		m.reported, m.reportedAt = m.admitted, now.Add(round)
	}
}
