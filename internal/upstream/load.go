package upstream

import (
	"time"

	"foxhall/internal/engine"
)

const (
	// reportLife is how long a load report counts. Past it only own calls are
	// known: an old report that says "busy" must not keep an engine empty.
	reportLifetime = 3 * time.Second
	// ownSamples is the length of the history of own in-flight calls.
	historySamples = 64
	// ownGrain is the shortest time between two samples of it.
	historyInterval = 25 * time.Millisecond
)

// ownHistory remembers how many own calls were in flight when, so that a
// lagging report can be split into own calls and others'.
type inFlightHistory struct {
	at    [historySamples]int64
	calls [historySamples]int32
	next  int
}

func (h *inFlightHistory) record(now int64, calls int32) {
	last := (h.next + historySamples - 1) % historySamples
	if h.at[last] != 0 && now-h.at[last] < int64(historyInterval) {
		h.calls[last] = calls
		return
	}
	h.at[h.next], h.calls[h.next] = now, calls
	h.next = (h.next + 1) % historySamples
}

// before returns the own calls in flight at the time, or the oldest that is known.
func (h *inFlightHistory) callsAt(at int64) int32 {
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

// Report takes in an engine's lagging load report. The calls of others are
// what it reports beyond the own calls of that time. A report below the own
// calls is wrong and counts as no others; own calls are never taken from it,
// so an engine that lies about its load can at most hide other instances' calls.
func (u *Upstream) Report(now time.Time, l engine.Load) {
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

// OthersHave notes what other instances have there by their own word, which
// counts until then.
func (u *Upstream) SetRemoteLoad(calls, backlog int, until time.Time) {
	u.remoteCalls.Store(int32(calls))
	u.remoteBacklog.Store(int64(backlog))
	u.remoteUntil.Store(until.UnixNano())
}
