package urgency

import "time"

// maxWait bounds estimates, which would exceed the range of durations at a rate near 0. No caller waits
// for so long.
const maxWait = time.Hour

// View is what an entry knows of the engines that a call may be sent to.
type View struct {
	// Calls is the number of calls of all entries at the engines, Own the number of this entry's.
	Calls, Own int
	// Rate is the number of calls that the engines complete per second while all slots are in use.
	Rate float64
	// MaxRate is the number of calls per second that this entry's connections to the engines allow; 0 for no
	// limit.
	MaxRate float64
	// OwnRate is the number of this entry's calls that were placed per second of late.
	OwnRate float64
	// Free is the number of places at the engines below the call's allowance.
	Free int
}

// Wait returns the expected time until there is a place for a call with the number of calls before it
// in this entry's queue. Other entries' queues are not known: of the places that get free, this entry
// is assumed to get as large a part as it has of the calls at the engines, or as many as of late. An entry
// with few calls under way would else refuse its first calls although there is no queue.
func (v View) Wait(ahead int) time.Duration {
	missing := ahead + 1 - v.Free
	if missing <= 0 || v.Rate <= 0 {
		return 0
	}
	share := min(1, float64(v.Own+1)/float64(v.Calls+1))
	rate := max(v.Rate*share, v.OwnRate)
	if v.MaxRate > 0 {
		rate = min(rate, v.MaxRate)
	}
	return time.Duration(min(maxWait.Seconds(), float64(missing)/rate) * float64(time.Second))
}

const (
	// certainWaitFraction is the fraction of an estimated wait that a call almost certainly takes. The
	// queues of other entries are not known, and more urgent calls may end or be refused.
	certainWaitFraction = 0.25
	// certainDurationFraction is the same for the call's own duration.
	certainDurationFraction = 0.7
)

// CertainDuration returns the time that a call with an expected wait and duration almost certainly takes.
// A call that has less time left is refused.
func CertainDuration(wait, expected time.Duration) time.Duration {
	return time.Duration(certainWaitFraction*float64(wait) + certainDurationFraction*float64(expected))
}

// CallRate returns the number of calls per second that an engine completes while all its slots are in
// use. callSeconds is the mean time that calls spent there; it includes their wait for a slot, so by
// Little's law the calls beyond the slots count as well.
func CallRate(calls, slots int, callSeconds float64) float64 {
	if callSeconds <= 0 {
		return 0
	}
	return float64(max(calls, slots)) / callSeconds
}
