package upstream

import (
	"sync/atomic"
	"time"
)

// silence tells whether an upstream with calls in flight sends nothing.
//
// It prevents the following failure: an upstream falls silent, its calls wait for it to go on, and more
// and more calls are sent to it meanwhile although others are free. A silent upstream is no failed one: it
// is avoided while others are to be had, and used again with its first byte.
type silence struct {
	// heardAt is when the last byte of a response arrived, in Unix nanoseconds.
	heardAt atomic.Int64
	silent  atomic.Bool
}

// silentErrorRate is the error rate assumed for a silent upstream.
const silentErrorRate = 1

// RecordSilence records that a call to the upstream has waited for so long without a byte. It has no
// effect if another call got one meanwhile.
func (u *Upstream) RecordSilence(now int64, length time.Duration) {
	if now-u.silence.heardAt.Load() >= int64(length) {
		u.silence.silent.Store(true)
	}
}

// isSilent reports whether calls are in flight and none gets a byte. What is known of an upstream without
// calls is of the past.
func (u *Upstream) isSilent(own int) bool { return own > 0 && u.silence.silent.Load() }

// RecordHeard records that a part of a response has arrived.
func (u *Upstream) RecordHeard(now int64) {
	u.silence.heardAt.Store(now)
	if u.silence.silent.Load() {
		u.silence.silent.Store(false)
	}
}

// HasBeenHeard reports whether a part of a response has arrived after a time.
func (u *Upstream) HasBeenHeard(after int64) bool { return u.silence.heardAt.Load() > after }
