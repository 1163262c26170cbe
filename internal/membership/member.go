// Package membership knows which instances there are, in which state, and how
// large each is.
//
// The rules follow SWIM (Das, Gupta, Motivala, 2002) and Lifeguard (Dadgar,
// Phillips, Currey, 2017): each period an instance probes a constant number of
// others, asks helpers before it suspects one, and piggybacks a bounded sample
// of its records. They depart from SWIM in who may declare a death: several
// witnesses of the member's own data centre, never an instance that has itself
// lost most of its data centre. See docs/notes/membership.md.
//
// A member is one incarnation of an instance, named by its cohort. Being
// declared dead is an opinion that starts a take-over; what makes the take-over
// safe is the seal in the cohort's log, not this package.
package membership

import (
	"strings"
	"time"

	"foxhall/internal/program"
)

// State is the condition of a member.
type State uint8

// The states of a member, in the order in which a later one overrides an
// earlier one of the same incarnation.
const (
	// Joining says that the process is up and not ready for work.
	Joining State = iota + 1
	// Live says that the instance takes work.
	Live
	// Suspect says that witnesses failed to reach the member.
	Suspect
	// Leaving says that the member announced a planned stop and takes no new work.
	Leaving
	// Dead says that the member was declared dead or announced its end.
	Dead
)

var stateNames = map[State]string{
	Joining: "joining", Live: "live", Suspect: "suspect", Leaving: "leaving", Dead: "dead",
}

// String returns the state's name in logs and in status.
func (s State) String() string {
	if name, ok := stateNames[s]; ok {
		return name
	}
	return "unknown"
}

// Present reports whether a member in this state is taken to be running.
func (s State) Present() bool { return s == Joining || s == Live || s == Leaving }

// Listed is what the platform's lagging list says of a member's address.
type Listed uint8

// What the platform's list can say.
const (
	// ListedUnknown says that no list has been read.
	ListedUnknown Listed = iota
	ListedLive
	ListedLeaving
	// ListedGone says that the list no longer holds the address.
	ListedGone
)

// Report is what an instance tells of itself in each heartbeat.
type Report struct {
	// Size is the instance's weight against others, for instance its cores.
	Size uint32
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion uint64
	// StoreHealthy says whether the object API answers this instance.
	StoreHealthy bool
	// Load is the share of the instance's capacity in use, in thousandths.
	Load uint32
}

// Record is what instances tell each other of a member.
type Record struct {
	Cohort  program.Cohort
	Address string
	State   State
	// Incarnation is raised by the member alone, to refute a suspicion.
	Incarnation uint64
	// Beat orders the reports within one incarnation.
	ReportSequence uint64
	Report         Report
	// Witnesses failed to reach the member in this incarnation.
	Witnesses []program.Cohort
	// DeadFor is the time since a dead member was declared dead.
	DeadFor time.Duration
	// Left says that a dead member announced its own end.
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

// Member is a record with what this instance knows besides.
type Member struct {
	Record
	// Since is when the member entered its state, in this instance's eyes.
	Since time.Time
	// Heard is when the newest report arrived.
	LastReport time.Time
	// Unreached is when this instance first failed to reach the member, zero
	// if it reaches it.
	UnreachableSince time.Time
	// Listed is the word of the platform's list.
	Listed Listed
}

// Available reports whether new work may go to the member: live, and not
// about to be stopped by the platform.
func (m Member) Available() bool { return m.State == Live && m.Listed != ListedLeaving }

// Times are the periods and bounds of the protocol.
type Timing struct {
	// Period is the time between two probes of ring successors.
	Period time.Duration
	// ProbeTimeout bounds a direct probe; an indirect one takes two.
	ProbeTimeout time.Duration
	// SuspectTimeout is the least time between suspicion and death, in which a
	// slow or paused member can refute.
	SuspectTimeout time.Duration
	// LoneTimeout replaces it where nobody else exists who could be a witness.
	LoneTimeout time.Duration
	// IsolationHold is how long an instance that lost most of its data centre
	// declares nobody dead.
	IsolationHold time.Duration
	// LostAfter is the silence after which a data centre counts as lost.
	LostAfter time.Duration
	// DeadRetention is how long a dead member is remembered.
	DeadRetention time.Duration
}

// DefaultTimes suit data centres a few milliseconds apart.
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
