package membership

import (
	"slices"
	"time"

	"foxhall/internal/program"
)

const (
	// requiredWitnesses is the number of witnesses in the member's own data
	// centre that a death needs, or all of its members where there are fewer.
	// A record holds no more of them.
	requiredWitnesses = 3
	// maxRemoteWitnesses bounds the witnesses from other data centres in a record.
	maxRemoteWitnesses = 2
	// maxLinkFailures is the number of consecutive failed probes at which a
	// data centre counts as unreachable.
	maxLinkFailures = 2
)

// EventKind identifies a change of a member.
type EventKind string

// The kinds of events.
const (
	Joined          EventKind = "joined"
	BecameLive      EventKind = "live"
	Suspected       EventKind = "suspected"
	Refuted         EventKind = "refuted"
	BeganLeaving    EventKind = "leaving"
	DeclaredDead    EventKind = "dead"
	Removed         EventKind = "forgotten"
	OwnDeathRefuted EventKind = "self_declared_dead"
	BecameIsolated  EventKind = "isolated"
	IsolationEnded  EventKind = "isolation_ended"
)

// Event is a change observed by this instance.
type Event struct {
	Kind   EventKind
	Member Member
}

// entry is a member together with its protocol state.
type entry struct {
	Member
	// suspectedSince is when this instance learned of the first witness of the
	// incarnation.
	suspectedSince time.Time
	// lastExchange is when this instance last exchanged a message with the
	// member or failed to.
	lastExchange time.Time
	// confirmed reports whether the death was also observed from another data
	// centre, or proved by a response of another cohort at the member's address.
	confirmed bool
	// transmissions counts the messages that carried the record since it changed.
	transmissions int
}

// link is the state of this instance's contact with a data centre. failures
// counts consecutive failed probes.
type link struct {
	lastContact time.Time
	failures    int
}

// Table holds the members that one instance knows, itself included. It does no
// I/O, takes the time as an argument, and is not safe for concurrent use.
type Table struct {
	timing        Timing
	self          *entry
	entries       map[program.Cohort]*entry
	links         map[string]*link
	events        []Event
	isolatedSince time.Time
	// massFailure reports whether an unusual share of the data centre is
	// unreachable.
	massFailure bool
	fenced      bool
	// changed is set by every change, so that a view is built only when needed.
	changed bool
}

// NewTable returns a table that contains only this instance, in state Joining.
func NewTable(self program.Cohort, address string, report Report, times Timing, now time.Time) *Table {
	selfEntry := &entry{Member: Member{
		Record: Record{Cohort: self, Address: address, State: Joining, Report: report},
		Since:  now, LastReport: now,
	}}
	t := &Table{
		timing:  times,
		self:    selfEntry,
		entries: map[program.Cohort]*entry{self: selfEntry},
		links:   map[string]*link{},
		changed: true,
	}
	t.link(self.DataCentre()).lastContact = now
	return t
}

// Self returns this instance's own record.
func (t *Table) Self() Record { return t.record(t.self, time.Time{}) }

// Events returns and clears the events since the last call.
func (t *Table) Events() []Event {
	events := t.events
	t.events = nil
	return events
}

func (t *Table) emit(kind EventKind, e *entry) {
	t.changed = true
	t.events = append(t.events, Event{Kind: kind, Member: e.Member})
}

func (t *Table) link(name string) *link {
	c, ok := t.links[name]
	if !ok {
		c = &link{}
		t.links[name] = c
	}
	return c
}

// AdvanceReport advances the sequence number of this instance's report, once a
// period.
func (t *Table) AdvanceReport(now time.Time) {
	t.self.ReportSequence++
	t.self.LastReport = now
	t.changed = true // one view per period keeps its ages current
}

// SetReport replaces this instance's report. A change advances the sequence
// number: otherwise other instances would ignore it as already known, and a
// survey right after a configuration edit would show the previous version.
func (t *Table) SetReport(r Report) {
	if t.self.Report == r {
		return
	}
	t.self.Report = r
	t.self.ReportSequence++
	t.changed = true
}

// Announce moves this instance to Live or Leaving. It never moves back to an
// earlier state: an instance that announced its stop stays Leaving.
func (t *Table) Announce(s State, now time.Time) {
	if t.self.State >= s || (s != Live && s != Leaving) {
		return
	}
	t.self.Incarnation++
	t.setSelfState(s, now)
}

// Leave moves this instance to Dead by its own announcement, which is never
// refuted.
func (t *Table) Leave(now time.Time) {
	if t.self.State == Dead {
		return
	}
	t.self.Incarnation++
	t.self.LeftGracefully = true
	t.setSelfState(Dead, now)
}

// Fence ends this instance's membership because a successor sealed its cohort.
// The instance does not refute its death afterwards, since it would reject any
// work sent to it.
func (t *Table) Fence(now time.Time) {
	t.fenced = true
	t.Leave(now)
}

func (t *Table) setSelfState(s State, now time.Time) {
	t.self.State = s
	t.self.Since = now
	t.self.transmissions = 0
	t.emit(eventKindOf(s), t.self)
}

func eventKindOf(s State) EventKind {
	switch s {
	case Joining:
		return Joined
	case Live:
		return BecameLive
	case Suspect:
		return Suspected
	case Leaving:
		return BeganLeaving
	default:
		return DeclaredDead
	}
}

// RecordContact records a successful exchange with a member, in either direction.
func (t *Table) RecordContact(c program.Cohort, now time.Time) {
	l := t.link(c.DataCentre())
	t.changed = t.changed || l.failures >= maxLinkFailures
	l.lastContact = now
	l.failures = 0
	e, ok := t.entries[c]
	if !ok {
		return
	}
	e.lastExchange = now
	if !e.UnreachableSince.IsZero() {
		e.UnreachableSince = time.Time{}
		t.changed = true
	}
}

// MarkUnreachable records that this instance failed to reach a member. The mark
// is not sent to others: it counts towards isolation and raises no suspicion.
func (t *Table) MarkUnreachable(c program.Cohort, now time.Time) {
	e, ok := t.entries[c]
	if !ok || e == t.self {
		return
	}
	e.lastExchange = now
	if e.UnreachableSince.IsZero() {
		e.UnreachableSince = now
		t.changed = true
	}
}

// RecordLinkFailure records that neither a member of another data centre nor the
// helpers there responded. It counts against the link, not against the member.
func (t *Table) RecordLinkFailure(dataCentre string) {
	t.link(dataCentre).failures++
	t.changed = true
}

func (t *Table) reachable(dataCentre string) bool {
	c, ok := t.links[dataCentre]
	return dataCentre == t.self.DataCentre() || (ok && c.failures < maxLinkFailures)
}

// Suspect adds witnesses that failed to reach a member in its incarnation. It
// has no effect if the member has another incarnation by now.
func (t *Table) Suspect(c program.Cohort, incarnation uint64, witnesses []program.Cohort, now time.Time) {
	e, ok := t.entries[c]
	if !ok || e == t.self || e.State == Dead || e.Incarnation != incarnation {
		return
	}
	t.addWitnesses(e, witnesses, now)
}

// addWitnesses adds witnesses to an entry that is not dead. A leaving member
// stays Leaving: a suspicion does not override its planned stop.
func (t *Table) addWitnesses(e *entry, witnesses []program.Cohort, now time.Time) {
	merged := t.mergeWitnesses(e, witnesses)
	if slices.Equal(merged, e.Witnesses) {
		return
	}
	e.Witnesses = merged
	e.transmissions = 0
	t.changed = true
	if e.suspectedSince.IsZero() {
		e.suspectedSince = now
	}
	if e.State == Joining || e.State == Live {
		e.State = Suspect
		e.Since = now
		t.emit(Suspected, e)
	}
}

// mergeWitnesses returns an entry's witnesses and more in a new slice, bounded
// so that a record stays small however many instances fail to reach the member.
// Witnesses that have died are left out: a list full of them would accept no new
// one, and the member would stay Suspect for ever.
func (t *Table) mergeWitnesses(e *entry, added []program.Cohort) []program.Cohort {
	var merged []program.Cohort
	local, remote := 0, 0
	for _, w := range slices.Concat(e.Witnesses, added) {
		if witness, ok := t.entries[w]; slices.Contains(merged, w) || (ok && witness.State == Dead) {
			continue
		}
		count, limit := &local, requiredWitnesses
		if w.DataCentre() != e.DataCentre() {
			count, limit = &remote, maxRemoteWitnesses
		}
		if *count < limit {
			*count++
			merged = append(merged, w)
		}
	}
	return merged
}

// DeclareSuperseded declares a member dead because another cohort responded at its
// address. One observer is enough: this is a response rather than a missing one,
// and two processes can't listen at one address.
func (t *Table) DeclareSuperseded(c program.Cohort, now time.Time) {
	if e, ok := t.entries[c]; ok && e != t.self {
		e.confirmed = true
		t.declareDead(e, now)
	}
}

func (t *Table) declareDead(e *entry, now time.Time) {
	if e.State == Dead {
		return
	}
	e.confirmed = e.confirmed || t.countWitnesses(e).remote > 0
	e.State = Dead
	e.Since = now
	e.Witnesses = nil
	e.transmissions = 0
	t.emit(DeclaredDead, e)
}
