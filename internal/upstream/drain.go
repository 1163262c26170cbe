package upstream

import "time"

// LeaveHold is how long any sign of leaving outweighs every sign of life. It
// is longer than the platform's list lags, so that a stale "live" does not
// bring a draining upstream back.
const DrainHold = 30 * time.Second

// departure merges what is said about an upstream's leaving: by the platform's
// lagging list, by its own answers and by peers. Leaving wins: one sign is
// enough, at once. It is taken back only by the upstream itself saying, after
// the hold and while the list does not contradict, that it is there.
type drainState struct {
	signalled  bool
	lastSignal time.Time
	listed     ListState
}

// ListState is what the platform's list says of an upstream.
type ListState uint8

// The states of the platform's list.
const (
	// Unlisted says that the list never named it; then the usage list alone counts.
	Unlisted ListState = iota
	Listed
	// ListedLeaving says that the list names it as leaving, or dropped it.
	ListedDraining
)

func (d *drainState) draining() bool { return d.signalled || d.listed == ListedDraining }

func (d *drainState) recordSignal(at time.Time) {
	if at.After(d.lastSignal) {
		d.lastSignal = at
	}
	d.signalled = true
}

func (d *drainState) recordListState(state ListState, at time.Time) {
	if state == ListedDraining {
		d.recordSignal(at)
	}
	d.listed = state
}

func (d *drainState) recordAlive(at time.Time) {
	if d.signalled && d.listed != ListedDraining && at.Sub(d.lastSignal) >= DrainHold {
		d.signalled = false
	}
}

// sign notes a sign of leaving; the caller holds the lock.
func (u *Upstream) recordDrainSignal(at time.Time) {
	u.drain.recordSignal(at)
	u.draining.Store(u.drain.draining())
}

// present notes that the upstream said it is there; the caller holds the lock.
func (u *Upstream) recordAlive(at time.Time) {
	u.drain.recordAlive(at)
	if was := u.draining.Swap(u.drain.draining()); was && !u.drain.draining() {
		u.rampFrom.Store(at.UnixNano())
	}
}

// SaidLeaving notes that the upstream itself said that it drains.
func (u *Upstream) MarkDraining(at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.recordDrainSignal(at)
}

// PeerSaidLeaving notes that a peer saw it leave, age ago. What is older than
// the hold is past: a delayed message must not put a returned upstream away.
func (u *Upstream) PeerReportedDraining(now time.Time, age time.Duration) {
	if age < 0 || age >= DrainHold {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.recordDrainSignal(now.Add(-age))
}

// ListSays notes what the platform's list says.
func (u *Upstream) SetListState(state ListState, at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state == Unlisted && u.drain.listed != Unlisted {
		state = ListedDraining
	}
	u.drain.recordListState(state, at)
	u.draining.Store(u.drain.draining())
}
