package limit

import (
	"math"
	"time"
)

const (
	// windowMost is the part of what is allowed in a window up to which calls are admitted,
	// less raceCalls; the rest is for calls that instances do not know of from each other.
	windowMost = 0.93
	raceCalls  = 4
	// burstPart is the part of a window's calls that may come at once, and burstPace how much
	// faster than evenly they may go on. Together with startPart and startPace, which count
	// after a start, they keep what ran before a restart of all instances and what runs after
	// it within one window's calls.
	burstPart = 0.25
	burstPace = 1.25
	startPart = 0.02
	startPace = 0.75
	// freePart is the part of a window's calls from which on instances need not keep to their
	// shares.
	freePart = 0.5
	// slots is the number of parts in which a window passes.
	slots = 50
	// shortestWindow counts where none is set.
	shortestWindow = time.Second
	// idleUse is the number of recent calls below which an instance counts as having none.
	idleUse = 0.5
	// longRound is the time to tell all others from which on those that have calls of the same
	// customer are told at once. That costs as many datagrams again.
	longRound = 300 * time.Millisecond
	// tellAtOnce is how long that takes: two datagrams, of which one may be lost.
	tellAtOnce = 120 * time.Millisecond
)

// meter counts one customer's calls, as one instance knows them.
type meter struct {
	// hash is that of the customer's name.
	hash uint64
	// window is the time over which calls are bounded.
	window time.Duration
	// began is when the meter was made; slots count from it, so that steps of the time of day
	// change no window.
	began time.Time
	// most is the number of calls in a window, burst those that may come at once; pace is
	// the rate of those that may follow, start and startPace bound calls after a start.
	most, burst, pace, start, startPace float64
	// level is the number of calls that may come at once now.
	level float64
	at    time.Time

	// recent counts the calls of the window by the slots that they came in, own those of
	// this instance. head is the slot of now.
	recent, own ring
	head        int64
	// shareOwn and shareAll are the calls of about the last useMemory: of this instance, and
	// of all.
	shareOwn, shareAll float64
	programs           programs
	// others are when each other instance last had calls.
	others map[string]time.Time

	// made is the number of calls that this instance admitted, less returned ones.
	made uint64
	// returned is how many admissions were given back and are not made up for yet.
	returned int
	// before and since count calls that others may not know of: since is from rotated on,
	// before is of the round before.
	before, since float64
	rotated       time.Time
	// active is since when this instance has calls of the customer without a pause.
	active time.Time
	// told is the number made that was last told, from toldAt on.
	told   uint64
	toldAt time.Time
}

// ring counts calls by slot; the last one is kept until it has passed whole.
type ring struct {
	counts [slots + 1]float64
	sum    float64
}

func (r *ring) add(slot int64, calls float64) {
	r.counts[slot%(slots+1)] += calls
	r.sum += calls
}

// pass forgets what came before the window that ends with the new slot.
func (r *ring) pass(from, to int64) {
	for slot := from + 1; slot <= to && slot <= from+slots+1; slot++ {
		r.sum -= r.counts[slot%(slots+1)]
		r.counts[slot%(slots+1)] = 0
	}
}

// newMeter returns a meter that has counted nothing.
func newMeter(hash uint64, q Quota, t Tolerance, now time.Time) *meter {
	m := &meter{hash: hash, at: now, began: now}
	m.size(q, t)
	m.level = m.burst
	m.head = m.slot(now)
	return m
}

// size sets the quota.
func (m *meter) size(q Quota, t Tolerance) {
	m.window = max(t.Window, shortestWindow)
	seconds := m.window.Seconds()
	allowed := (q.Rate*seconds+q.Burst)*(1+t.Overage) + t.Slack
	m.most = max(1, windowMost*allowed-raceCalls)
	m.burst = max(1, burstPart*m.most, q.Burst)
	m.pace = burstPace * m.most / seconds
	m.start, m.startPace = startPart*allowed, startPace*q.Rate
	m.level = min(m.level, m.burst)
}

func (m *meter) slot(now time.Time) int64 { return int64(now.Sub(m.began) / (m.window / slots)) }

// advance takes in that time has passed.
func (m *meter) advance(now time.Time) {
	dt := now.Sub(m.at).Seconds()
	if dt <= 0 {
		return
	}
	m.at = now
	m.level = min(m.burst, m.level+m.pace*dt)
	fade := math.Exp(-dt / useMemory.Seconds())
	m.shareOwn *= fade
	m.shareAll *= fade
	if slot := m.slot(now); slot > m.head {
		m.recent.pass(m.head, slot)
		m.own.pass(m.head, slot)
		m.head = slot
	}
}

// limit is the number of calls in a window, of a part of the quota. Known is for how long it
// is known what calls there were.
func (m *meter) limit(part float64, known time.Duration) float64 {
	most := m.most
	if known < m.window {
		most = min(most, m.start+m.startPace*known.Seconds())
	}
	return most * part
}

// mayRace reports whether this instance may admit a call though others may have admitted
// some that it does not know of. While there is room for half of a window's calls, that many
// do not come in the time it takes to tell. Then each instance keeps to its share of the room
// and of the calls that leave the window meanwhile.
func (m *meter) mayRace(limit float64, telling time.Duration) bool {
	room := limit - m.recent.sum
	leaving := m.ownPart() * limit * telling.Seconds() / m.window.Seconds()
	return room > freePart*limit || m.untold()+1 <= max(1, m.share()*(room+m.untold())+leaving)
}

// mayBegin reports whether there is room for one more program beside those under way: one
// that runs into the limit later was begun in vain.
func (m *meter) mayBegin(now time.Time, limit float64) bool {
	others := m.recent.sum - m.own.sum
	return m.own.sum < 1 || others+m.programs.expected(now, m.window) <= limit
}

// wait is about the time until there is room for a call.
func (m *meter) wait(part float64, known time.Duration) time.Duration {
	if limit := m.limit(part, known); m.recent.sum+1 > limit && known >= m.window {
		passing := m.recent.sum + 1 - limit
		for n := int64(1); n <= slots; n++ {
			if passing -= m.recent.counts[(m.head+n)%(slots+1)]; passing <= 0 {
				return max(refillLeast, time.Duration(n)*m.window/slots)
			}
		}
	}
	pace := m.pace
	if known < m.window {
		pace = m.startPace
	}
	return max(refillLeast, min(m.window, time.Duration(float64(time.Second)/pace)))
}

// take counts a call of this instance.
func (m *meter) take(now time.Time) {
	if m.shareOwn < idleUse {
		m.active = now
	}
	m.level--
	m.recent.add(m.head, 1)
	m.own.add(m.head, 1)
	m.shareOwn++
	m.shareAll++
	m.since++
	if m.returned > 0 {
		m.returned--
		return
	}
	m.made++
}

// giveBack takes back a call of this instance that has not run.
func (m *meter) giveBack(admitted time.Time) {
	slot := m.slot(admitted)
	if slot <= m.head-slots || m.own.counts[slot%(slots+1)] < 1 {
		return
	}
	m.level = min(m.burst, m.level+1)
	m.recent.add(slot, -1)
	m.own.add(slot, -1)
	m.returned++
}

// took counts calls of another instance.
func (m *meter) took(from string, calls float64, now time.Time) {
	if calls == 0 {
		return
	}
	// What was admitted in too many places must not stop the customer for long.
	m.level = max(-m.burst, m.level-calls)
	m.recent.add(m.head, calls)
	m.shareAll += calls
	if m.others == nil {
		m.others = map[string]time.Time{}
	}
	m.others[from] = now
	for name, at := range m.others {
		if now.Sub(at) > useMemory {
			delete(m.others, name)
		}
	}
}

// share is the part of the room that this instance may use before the others know of it: by
// its part of the calls, and something for one that begins to have calls.
func (m *meter) share() float64 {
	return newcomersPart/float64(max(newcomersLeast, len(m.others)+1)) + (1-newcomersPart)*m.ownPart()
}

// ownPart is this instance's part of the recent calls.
func (m *meter) ownPart() float64 {
	if m.shareAll <= 0 {
		return 0
	}
	return m.shareOwn / m.shareAll
}

// untold is the number of calls that others may not know of.
func (m *meter) untold() float64 { return m.before + m.since }

// begins reports whether this instance may not know all others that have calls of the
// customer, since it has had some itself for less than they take to tell.
func (m *meter) begins(now time.Time, round time.Duration) bool { return now.Sub(m.active) < 2*round }

// tellingTime is how long calls may be unknown to others that have calls of the customer.
func (m *meter) tellingTime(now time.Time, round time.Duration) time.Duration {
	if round < longRound || m.begins(now, round) {
		return round
	}
	return tellAtOnce
}

// rotate forgets calls that the others were told of.
func (m *meter) rotate(now time.Time, round time.Duration) {
	passed := now.Sub(m.rotated)
	round = m.tellingTime(now, round)
	if passed < round {
		return
	}
	m.before = m.since
	if passed >= 2*round {
		m.before = 0
	}
	m.since, m.rotated = 0, now
}

// tells reports whether the calls are to be told now. They are told for one round; what is
// lost then is made good with the next calls.
func (m *meter) tells(now time.Time, round time.Duration) bool {
	fresh := m.made - m.told
	if float64(fresh) >= max(1, m.burst/tellPart) || fresh > 0 && now.Sub(m.toldAt) >= tellEvery {
		m.told, m.toldAt = m.made, now
	}
	return now.Sub(m.toldAt) < max(round, time.Millisecond)
}

// tellAgain has the calls told once more, for two rounds: there may be no next calls to make
// good what is lost.
func (m *meter) tellAgain(now time.Time, round time.Duration) {
	if m.own.sum > 0 {
		m.told, m.toldAt = m.made, now.Add(round)
	}
}
