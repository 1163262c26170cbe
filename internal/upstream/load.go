package upstream

import (
	"time"

	"foxhall/internal/engine"
)

const (
	// reportLifetime is how long a load report is valid. After that only own calls are counted, so
	// that an outdated report of a busy engine does not keep the engine empty.
	reportLifetime = 3 * time.Second
	// historySamples is the number of samples in the history of own calls in flight.
	historySamples = 64
	// historyInterval is the shortest time between two samples.
	historyInterval = 25 * time.Millisecond
)

// inFlightHistory is a ring buffer of the number of own calls in flight over time. It is used to
// split a lagging load report into own calls and those of other instances.
type inFlightHistory struct {
	// at is in Unix nanoseconds; 0 marks an unused slot.
	at    [historySamples]int64
	calls [historySamples]int32
	next  int
}

// record adds a sample, or updates the last one if that is younger than historyInterval.
func (h *inFlightHistory) record(now int64, calls int32) {
	last := (h.next + historySamples - 1) % historySamples
	if h.at[last] != 0 && now-h.at[last] < int64(historyInterval) {
		h.calls[last] = calls
		return
	}
	h.at[h.next], h.calls[h.next] = now, calls
	h.next = (h.next + 1) % historySamples
}

// callsAt returns the number of own calls in flight at the given time (Unix nanoseconds). It is 0
// before the first call. If the samples of that time have been overwritten, the oldest one counts.
func (h *inFlightHistory) callsAt(at int64) int32 {
	if h == nil {
		return 0
	}
	for i := 1; i <= historySamples; i++ {
		slot := (h.next + historySamples - i) % historySamples
		if h.at[slot] == 0 {
			return 0
		}
		if h.at[slot] <= at {
			return h.calls[slot]
		}
	}
	return h.calls[h.next]
}

// ApplyReport applies an engine's lagging load report. The calls of other instances are those
// reported beyond the own calls in flight at the time of the report. A report with fewer calls than
// the own ones is wrong and counts as no remote calls. The number of own calls is never taken from
// a report, so an engine that misreports its load can hide only other instances' calls.
func (u *Upstream) ApplyReport(now time.Time, l engine.Load) {
	u.mu.Lock()
	defer u.mu.Unlock()
	own := u.ownCalls.callsAt(now.Add(-l.Age()).UnixNano())
	u.remoteCalls.Store(max(0, int32(l.Running+l.Waiting)-own))
	u.remoteUntil.Store(now.Add(reportLifetime - l.Age()).UnixNano())
	if l.Draining {
		u.recordDrainSignal(now)
		return
	}
	u.recordAlive(now)
}

// SetRemoteLoad sets the load that other instances report to have placed on the upstream, in calls
// and in prompt tokens not yet prefilled. It is valid until the given time. lowered reports whether the
// number of calls is lower than before.
func (u *Upstream) SetRemoteLoad(calls, backlog int, until time.Time) (lowered bool) {
	before := u.remoteCalls.Swap(int32(calls))
	u.remoteBacklog.Store(int64(backlog))
	u.remoteUntil.Store(until.UnixNano())
	return int32(calls) < before
}
