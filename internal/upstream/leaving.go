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
type departure struct {
	signed   bool
	lastSign time.Time
	listed   ListState
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

func (d *departure) leaving() bool { return d.signed || d.listed == ListedDraining }

func (d *departure) sign(at time.Time) {
	if at.After(d.lastSign) {
		d.lastSign = at
	}
	d.signed = true
}

func (d *departure) list(state ListState, at time.Time) {
	if state == ListedDraining {
		d.sign(at)
	}
	d.listed = state
}

func (d *departure) present(at time.Time) {
	if d.signed && d.listed != ListedDraining && at.Sub(d.lastSign) >= DrainHold {
		d.signed = false
	}
}

// sign notes a sign of leaving; the caller holds the lock.
func (u *Upstream) sign(at time.Time) {
	u.departure.sign(at)
	u.leaving.Store(u.departure.leaving())
}

// present notes that the upstream said it is there; the caller holds the lock.
func (u *Upstream) present(at time.Time) {
	u.departure.present(at)
	if was := u.leaving.Swap(u.departure.leaving()); was && !u.departure.leaving() {
		u.rampFrom.Store(at.UnixNano())
	}
}

// SaidLeaving notes that the upstream itself said that it drains.
func (u *Upstream) MarkDraining(at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sign(at)
}

// PeerSaidLeaving notes that a peer saw it leave, age ago. What is older than
// the hold is past: a delayed message must not put a returned upstream away.
func (u *Upstream) PeerReportedDraining(now time.Time, age time.Duration) {
	if age < 0 || age >= DrainHold {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sign(now.Add(-age))
}

// ListSays notes what the platform's list says.
func (u *Upstream) SetListState(state ListState, at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state == Unlisted && u.departure.listed != Unlisted {
		state = ListedDraining
	}
	u.departure.list(state, at)
	u.leaving.Store(u.departure.leaving())
}
