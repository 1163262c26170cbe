package upstream

import "time"

// SignalKind is the state of an upstream that a signal reports.
type SignalKind string

// The kinds of signal.
const (
	// SignalDraining reports the upstream's own signal that it drains.
	SignalDraining SignalKind = "leaving"
	// SignalUnreachable reports that connections to the upstream were refused.
	SignalUnreachable SignalKind = "unreachable"
)

// Signal is a report about an upstream that an instance sends to the other instances of its data
// centre.
type Signal struct {
	Upstream string
	// Address is the upstream's address. A signal whose address differs from that in the table is
	// ignored, since the name now belongs to another process.
	Address string
	Kind    SignalKind
	// Age is the time since the state was observed.
	Age time.Duration
}

// ApplySignal applies a peer's signal. SignalDraining takes effect at once, since it originates from
// the upstream itself. SignalUnreachable only makes the upstream due for a probe in the next round,
// since the peer's network may be at fault.
func (t *Table) ApplySignal(now time.Time, s Signal) {
	u := t.Snapshot().Upstream(s.Upstream)
	if u == nil || u.Address != s.Address {
		return
	}
	switch s.Kind {
	case SignalDraining:
		u.PeerReportedDraining(now, s.Age)
	case SignalUnreachable:
		if u.openUntil.Load() == 0 {
			u.probedAt.Store(0)
		}
	}
}

// Signals returns the signals to send to peers, every second or more often: one for each upstream
// that is draining or unreachable. The size of the table bounds their number; in normal operation
// there are none.
func (t *Table) Signals(now time.Time) []Signal {
	var signals []Signal
	for _, u := range t.Snapshot().All {
		if !u.draining.Load() && u.openUntil.Load() == 0 {
			continue
		}
		if s, ok := u.signal(now); ok {
			signals = append(signals, s)
		}
	}
	return signals
}

// signal returns the signal for the upstream and whether there is one to send.
func (u *Upstream) signal(now time.Time) (Signal, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := Signal{Upstream: u.Name, Address: u.Address, Kind: SignalDraining, Age: max(0, now.Sub(u.drain.lastSignal))}
	if u.drain.draining() {
		return s, s.Age < DrainHold
	}
	s.Kind, s.Age = SignalUnreachable, 0
	return s, u.breaker.open && u.breaker.unreachable
}
