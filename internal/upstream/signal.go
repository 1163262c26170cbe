package upstream

import "time"

// SignalKind is what a signal says of an upstream.
type SignalKind string

// The kinds of signal.
const (
	// SaysLeaving says that the upstream itself said that it leaves.
	SignalDraining SignalKind = "leaving"
	// SaysUnreachable says that connections to it were refused.
	SignalUnreachable SignalKind = "unreachable"
)

// Signal is what one instance tells the others of its data centre about an upstream.
type Signal struct {
	Upstream string
	// Address guards against a name that meanwhile stands for another process.
	Address string
	Kind    SignalKind
	// Age is how long ago it was seen.
	Age time.Duration
}

// ApplySignal takes in a peer's signal. Leaving is believed at once, as the
// upstream's own word. Unreachable is checked by a probe in the next round and
// not believed, since the peer's network may be at fault.
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

// Signals returns what peers should hear, every second or sooner: the upstreams
// that are leaving or out of reach. It is bounded by the table's size and empty
// on an ordinary day.
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
