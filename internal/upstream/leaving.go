package upstream

import "time"

// DrainHold is how long a drain signal overrides every sign of life. It exceeds the lag of the
// platform's list, so that an outdated "live" entry does not bring a draining upstream back.
const DrainHold = 30 * time.Second

// drainState merges the drain signals for an upstream, which come from the platform's lagging list,
// from its own responses and from peers. A single signal takes effect at once. It is revoked only
// by a sign of life from the upstream itself, after DrainHold has passed and if the list does not
// name the upstream as draining.
type drainState struct {
	// signalled is set by a drain signal and cleared by a later sign of life.
	signalled  bool
	lastSignal time.Time
	listed     ListState
}

// ListState is the state of an upstream in the platform's list.
type ListState uint8

// The states in the platform's list.
const (
	// Unlisted is the state of an upstream that the list has never named; only the usage list
	// counts for it.
	Unlisted ListState = iota
	// Listed is the state of an upstream that the list names as live.
	Listed
	// ListedDraining is the state of an upstream that the list names as draining or has dropped.
	ListedDraining
)

func (d *drainState) draining() bool { return d.signalled || d.listed == ListedDraining }

// recordSignal records a drain signal that was seen at the given time.
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

// recordAlive records a sign of life from the upstream itself.
func (d *drainState) recordAlive(at time.Time) {
	if d.signalled && d.listed != ListedDraining && at.Sub(d.lastSignal) >= DrainHold {
		d.signalled = false
	}
}

// recordDrainSignal records a drain signal. The caller holds the lock.
func (u *Upstream) recordDrainSignal(at time.Time) {
	u.drain.recordSignal(at)
	u.draining.Store(u.drain.draining())
}

// recordAlive records a sign of life from the upstream itself. If this ends its draining, slow
// start begins. The caller holds the lock.
func (u *Upstream) recordAlive(at time.Time) {
	u.drain.recordAlive(at)
	if wasDraining := u.draining.Swap(u.drain.draining()); wasDraining && !u.drain.draining() {
		u.rampFrom.Store(at.UnixNano())
	}
}

// MarkDraining records the upstream's own signal that it drains.
func (u *Upstream) MarkDraining(at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.recordDrainSignal(at)
}

// PeerReportedDraining records that a peer saw the upstream drain, age ago. A report as old as
// DrainHold or older is ignored: a delayed message must not exclude an upstream that has returned.
func (u *Upstream) PeerReportedDraining(now time.Time, age time.Duration) {
	if age < 0 || age >= DrainHold {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.recordDrainSignal(now.Add(-age))
}

// SetListState applies the upstream's state in the platform's list. An upstream that the list has
// dropped counts as draining.
func (u *Upstream) SetListState(state ListState, at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state == Unlisted && u.drain.listed != Unlisted {
		state = ListedDraining
	}
	u.drain.recordListState(state, at)
	u.draining.Store(u.drain.draining())
}
