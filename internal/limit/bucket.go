package limit

import (
	"math"
	"time"
)

// bucket is one customer's token bucket, as one instance knows it.
type bucket struct {
	// hash is that of the customer's name.
	hash uint64
	// rate is in calls a second, most the level of a full bucket, start that after a start.
	rate, most, start float64
	// level is the number of calls that may come at once, as of at. It is below zero while
	// others have admitted calls at the same time.
	level float64
	at    time.Time
	// own and all are the calls of about the last useMemory: of this instance, and of all.
	own, all float64
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
	// told is the number made that was last told, from toldAt on.
	told   uint64
	toldAt time.Time
}

// size sets the quota.
func (b *bucket) size(q Quota, t Tolerance) {
	window := t.Window.Seconds()
	spare := (t.Overage*(q.Rate*window+q.Burst) + t.Slack) / toleranceParts
	b.rate, b.most, b.start = q.Rate, max(1, q.Burst+spare), spare
	if window > 0 {
		b.rate += spare / window
	}
	b.level = min(b.level, b.most)
}

// advance refills the bucket for the time since it was last looked at.
func (b *bucket) advance(now time.Time, part float64) {
	dt := now.Sub(b.at).Seconds()
	if dt < 0 {
		return
	}
	b.at = now
	b.level = min(b.most*part, b.level+b.rate*part*dt)
	fade := math.Exp(-dt / useMemory.Seconds())
	b.own *= fade
	b.all *= fade
}

// refill is the time until a call may come again.
func (b *bucket) refill(part float64) time.Duration {
	seconds := (1 - b.level) / max(b.rate*part, math.SmallestNonzeroFloat32)
	return max(refillLeast, time.Duration(min(seconds, useMemory.Seconds())*float64(time.Second)))
}

// take takes out a call of this instance.
func (b *bucket) take() {
	b.level--
	b.own++
	b.all++
	b.since++
	if b.returned > 0 {
		b.returned--
		return
	}
	b.made++
}

// took takes out calls of another instance.
func (b *bucket) took(from string, calls float64, now time.Time) {
	if calls == 0 {
		return
	}
	// What was admitted in too many places must not stop the customer for long.
	b.level = max(-b.most, b.level-calls)
	b.all += calls
	if b.others == nil {
		b.others = map[string]time.Time{}
	}
	b.others[from] = now
	for name, at := range b.others {
		if now.Sub(at) > useMemory {
			delete(b.others, name)
		}
	}
}

// share is the part of the level that this instance may use before the others know of it:
// by its part of the calls, and something for one that begins to have calls.
func (b *bucket) share() float64 {
	share := newcomersPart / float64(max(newcomersLeast, len(b.others)+1))
	if b.all > 0 {
		share += (1 - newcomersPart) * b.own / b.all
	}
	return share
}

// untold is the number of calls that others may not know of.
func (b *bucket) untold() float64 { return b.before + b.since }

// rotate forgets calls that all others were told of.
func (b *bucket) rotate(now time.Time, round time.Duration) {
	passed := now.Sub(b.rotated)
	if passed < round {
		return
	}
	b.before = b.since
	if passed >= 2*round {
		b.before = 0
	}
	b.since, b.rotated = 0, now
}

// tells reports whether the calls are to be told now. They are told for two rounds, so that
// a lost datagram is made good.
func (b *bucket) tells(now time.Time, round time.Duration) bool {
	fresh := b.made - b.told
	if float64(fresh) >= max(1, b.most/tellPart) || fresh > 0 && now.Sub(b.toldAt) >= tellEvery {
		b.told, b.toldAt = b.made, now
	}
	return now.Sub(b.toldAt) < 2*max(round, time.Millisecond)
}
