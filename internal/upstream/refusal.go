package upstream

import (
	"sync/atomic"
	"time"
)

const (
	// refusalPause is how long an upstream that has refused a call gets no further ones, maxRefusalPause after it has
	// refused a later one, too.
	refusalPause    = 100 * time.Millisecond
	maxRefusalPause = 2 * refusalPause
	// refusalMemory is how long a refusal counts.
	refusalMemory = time.Second
)

// refusals is what the refusals of an upstream show of its load. Other instances' calls may take its places, of which
// load reports tell late. Until it has accepted a call that was sent after a refusal, it gets as many calls of this
// instance as it had then, and after each pause one more.
type refusals struct {
	// last is when the upstream refused a call last, in Unix nanoseconds; 0 once it has accepted a later one.
	last atomic.Int64
	// inFlight is the number of this instance's other calls then.
	inFlight atomic.Int32
	// pause is the pause after the last refusal, in nanoseconds.
	pause atomic.Int64
}

// record records a refusal at now of a call that was sent at sentAt, in Unix nanoseconds.
func (r *refusals) record(now, sentAt int64, inFlight int32) {
	last := r.last.Load()
	switch {
	case last == 0:
		r.pause.Store(int64(refusalPause))
	case sentAt > last:
		r.pause.Store(int64(maxRefusalPause))
	}
	r.inFlight.Store(inFlight)
	r.last.Store(now)
}

// accept records that the upstream accepted a call that was sent at sentAt, in Unix nanoseconds.
func (r *refusals) accept(sentAt int64) {
	if last := r.last.Load(); last != 0 && sentAt > last {
		r.last.CompareAndSwap(last, 0)
	}
}

// expected reports whether the upstream, which has own calls of this instance, would refuse a further one at now (Unix
// nanoseconds).
func (r *refusals) expected(now int64, own int) bool {
	last := r.last.Load()
	age := time.Duration(now - last)
	return last != 0 && age < refusalMemory && own >= int(r.inFlight.Load())+int(age/time.Duration(r.pause.Load()))
}

// RecordAccepted records that the upstream began to run a call that was sent at sentAt.
func (u *Upstream) RecordAccepted(sentAt time.Time) { u.refusals.accept(sentAt.UnixNano()) }
