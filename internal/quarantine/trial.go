package quarantine

import (
	"encoding/binary"
	"time"
)

const (
	// trialDelay is the time from the last end under a rejected content to its first trial, once no replica
	// runs a version under which it ended any more. It is far longer than a report takes to reach the
	// other instances, and doubles with each trial that ends a replica.
	trialDelay = 30 * time.Second
	// sameVersionTrialDelay is the time to a trial while such a version still runs. The ends may have had
	// another cause.
	sameVersionTrialDelay = Lifetime / 2
	// trialSlot is the time in which one instance may begin a trial.
	trialSlot = 10 * time.Second
	// trialGuard is the part at the end of a slot in which none begins, so that the outcome of one trial is
	// known at the others before the next one. Their ages of an end differ by what its report took.
	trialGuard = trialSlot / 2
)

// Turn is an instance's turn among those that take calls.
type Turn struct{ Index, Count int }

// Trial decides whether a call with a rejected content may be sent once, and takes the turn for it. runs
// reports whether a replica of the service runs a version.
//
// A content is rejected because replicas ended under it, and would stay so although the service was mended
// or rolled back. As a breaker does, one call is let through after a while; if it completes, the content is
// cleared at all instances. One instance at a time may try, by turns. A content has at most maxEndsKept ends
// in all, so that trials end at most maxEndsKept-MaxEnds replicas more until a Lifetime has passed
// without an end, on each side of a cut.
func (t *Table) Trial(f Fingerprint, turn Turn, runs func(version string) bool, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	if r == nil || r.isExpired(now) {
		return false
	}
	slot, ok := r.trialSlot(runs, now)
	if !ok || turn.Count <= 0 || (int(binary.BigEndian.Uint32(f[:]))+slot)%turn.Count != turn.Index || r.triedSlot == slot+1 {
		return false
	}
	r.triedSlot = slot + 1
	t.metrics.trials.Inc(1)
	return true
}

// trialSlot returns the number of the present slot since trials may begin; false if none may begin now.
func (r *record) trialSlot(runs func(version string) bool, now time.Time) (slot int, ok bool) {
	ends := r.standing().Ends
	if ends < MaxEnds || len(r.ends) >= maxEndsKept {
		return 0, false
	}
	delay := sameVersionTrialDelay
	if r.isMended(runs) {
		delay = min(delay, trialDelay<<(ends-MaxEnds))
	}
	since := now.Sub(r.ends[len(r.ends)-1].At) - delay
	if since < 0 || since%trialSlot >= trialSlot-trialGuard {
		return 0, false
	}
	return int(since / trialSlot), true
}

// isMended reports whether no version runs any more under which a replica is known to have ended.
func (r *record) isMended(runs func(version string) bool) bool {
	for i := range r.ends {
		if e := &r.ends[i]; e.Evidence == Proven && (e.Version == "" || runs(e.Version)) {
			return false
		}
	}
	return true
}
