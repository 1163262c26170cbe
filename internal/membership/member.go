// Package membership tracks the instances of the fleet, their states and their
// sizes.
//
// The protocol follows SWIM (Das, Gupta, Motivala, 2002) and Lifeguard (Dadgar,
// Phillips, Currey, 2017): in each period an instance probes a constant number
// of others, sends indirect probes through helpers before it suspects one, and
// piggybacks a bounded sample of its records. It differs from SWIM in who may
// declare a death: several witnesses in the member's own data centre, and never
// an instance that has lost contact with most of its data centre.
//
// A member is one process of an instance, identified by its cohort. A declared
// death is one instance's opinion and starts a take-over. The seal in the
// cohort's log makes the take-over safe, not this package.
package membership

import (
	"strings"
	"time"

	"foxhall/internal/program"
)

// State is the state of a member.
type State uint8

// The states of a member, in the order in which a later one overrides an
// earlier one of the same incarnation.
const (
	// Joining is the state of a process that is running but not ready for work.
	Joining State = iota + 1
	// Live is the state of an instance that accepts work.
	Live
	// Suspect is the state of a member that witnesses failed to reach.
	Suspect
	// Leaving is the state of a member that announced a planned stop and
	// accepts no new work.
	Leaving
	// Dead is the state of a member that was declared dead or announced its end.
	Dead
)

var stateNames = map[State]string{
	Joining: "joining", Live: "live", Suspect: "suspect", Leaving: "leaving", Dead: "dead",
}

// String returns the state's name as written in logs and in the status.
func (s State) String() string {
	if name, ok := stateNames[s]; ok {
		return name
	}
	return "unknown"
}

// Present reports whether a member in this state is assumed to be running.
func (s State) Present() bool { return s == Joining || s == Live || s == Leaving }

// Listed is the entry for a member's address in the platform's list of
// instances, which lags behind the instances' actual state.
type Listed uint8

// The values of Listed.
const (
	// ListedUnknown means that no list has been read.
	ListedUnknown Listed = iota
	ListedLive
	ListedLeaving
	// ListedAbsent means that the list does not contain the address.
	ListedAbsent
)

// Report is the part of a heartbeat in which an instance describes itself.
type Report struct {
	// Size is the instance's weight relative to others, for example its number
	// of cores.
	Size uint32
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion uint64
	// StoreHealthy reports whether the object API responds to this instance.
	StoreHealthy bool
	// Load is the share of the instance's capacity in use, in thousandths.
	Load uint32
}

// Record is the information about a member that instances exchange.
type Record struct {
	Cohort  program.Cohort
	Address string
	State   State
	// Incarnation is SWIM's incarnation number. Only the member itself raises
	// it, to refute a suspicion or to announce a new state.
	Incarnation uint64
	// ReportSequence orders the reports within one incarnation.
	ReportSequence uint64
	Report         Report
	// Witnesses are the instances that failed to reach the member in this
	// incarnation.
	Witnesses []program.Cohort
	// DeadFor is the time since a dead member was declared dead.
	DeadFor time.Duration
	// LeftGracefully reports whether a dead member announced its own end.
	LeftGracefully bool
}

// DataCentre returns the member's data centre.
func (r Record) DataCentre() string { return r.Cohort.DataCentre() }

// Instance returns the member's instance name.
func (r Record) Instance() string {
	parts := strings.SplitN(string(r.Cohort), ".", 3)
	if len(parts) < 2 {
		return ""
	}
	return parts[1]
}

// Member is a record together with this instance's own observations.
type Member struct {
	Record
	// Since is when this instance observed that the member entered its state.
	Since time.Time
	// LastReport is when the newest report arrived.
	LastReport time.Time
	// UnreachableSince is when this instance first failed to reach the member,
	// zero while it reaches it.
	UnreachableSince time.Time
	// Listed is the member's entry in the platform's list.
	Listed Listed
}

// Available reports whether the member may be given new work: it is live, and
// the platform is not about to stop it.
func (m Member) Available() bool { return m.State == Live && m.Listed != ListedLeaving }

// Timing holds the periods and timeouts of the protocol.
type Timing struct {
	// Period is the time between two probes of ring successors.
	Period time.Duration
	// ProbeTimeout bounds a direct probe. An indirect probe is given twice as long.
	ProbeTimeout time.Duration
	// SuspectTimeout is the minimum time between suspicion and death, in which
	// a slow or paused member can refute.
	SuspectTimeout time.Duration
	// LoneTimeout replaces SuspectTimeout where this instance is the only
	// possible witness and the platform's list does not confirm the death.
	LoneTimeout time.Duration
	// IsolationHold is how long an instance that lost contact with most of its
	// data centre declares no deaths.
	IsolationHold time.Duration
	// LostAfter is the time without contact after which a data centre counts
	// as lost.
	LostAfter time.Duration
	// DeadRetention is how long the record of a dead member is retained.
	DeadRetention time.Duration
}

// DefaultTiming suits data centres whose round-trip times are a few
// milliseconds.
func DefaultTiming() Timing {
	return Timing{
		Period:         time.Second,
		ProbeTimeout:   500 * time.Millisecond,
		SuspectTimeout: 5 * time.Second,
		LoneTimeout:    30 * time.Second,
		IsolationHold:  time.Minute,
		LostAfter:      time.Minute,
		DeadRetention:  15 * time.Minute,
	}
}
