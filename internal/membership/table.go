package membership

import (
	"slices"
	"time"

	"foxhall/internal/program"
)

const (
	// ownWitnesses is how many witnesses of the member's own data centre a
	// death needs, where there are as many to ask.
	requiredWitnesses = 3
	// foreignWitnesses bounds the witnesses of other data centres in a record.
	maxRemoteWitnesses = 2
	// linkFailures is how many failed probes in a row make a data centre unreachable.
	maxLinkFailures = 2
)

// EventKind says what happened to a member.
type EventKind string

// The kinds of events.
const (
	Joined         EventKind = "joined"
	BecameLive     EventKind = "live"
	Suspected      EventKind = "suspected"
	Refuted        EventKind = "refuted"
	BeganLeaving   EventKind = "leaving"
	DeclaredDead   EventKind = "dead"
	Forgotten      EventKind = "forgotten"
	SelfDead       EventKind = "self_declared_dead"
	BecameIsolated EventKind = "isolated"
	IsolationEnded EventKind = "isolation_ended"
)

// Event is a change seen by this instance.
type Event struct {
	Kind   EventKind
	Member Member
}

// entry is a member with the state of the protocol.
type entry struct {
	Member
	// suspected is when the first witness of this incarnation was heard of.
	suspectedSince time.Time
	// checked is when this instance last exchanged a message with the member,
	// or failed to.
	lastExchange time.Time
	// confirmed says that the death was seen from another data centre too, or
	// proved by another cohort's answer.
	confirmed bool
	// sent counts the messages that carried the record since it changed.
	transmissions int
}

// centre is the contact with a data centre.
type link struct {
	lastContact time.Time
	failures    int
}

// Table is the aggregate of the members that one instance knows, itself
// included. It does no I/O, takes the time as an argument, and is not safe for
// concurrent use.
type Table struct {
	timing        Timing
	self          *entry
	entries       map[program.Cohort]*entry
	links         map[string]*link
	events        []Event
	isolatedSince time.Time
	// manySilent says that an unusual share of the data centre is out of sight.
	massFailure bool
	fenced      bool
	// changed is set by every change, so that a view is built only when needed.
	changed bool
}

// NewTable returns a table that holds this instance alone, joining.
func NewTable(self program.Cohort, address string, report Report, times Timing, now time.Time) *Table {
	me := &entry{Member: Member{
		Record: Record{Cohort: self, Address: address, State: Joining, Report: report},
		Since:  now, LastReport: now,
	}}
	t := &Table{
		timing:  times,
		self:    me,
		entries: map[program.Cohort]*entry{self: me},
		links:   map[string]*link{},
		changed: true,
	}
	t.link(self.DataCentre()).lastContact = now
	return t
}

// Self returns this instance's own record.
func (t *Table) Self() Record { return t.record(t.self, time.Time{}) }

// Events returns the events since the last call.
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

// Beat starts a new period of this instance's reports.
func (t *Table) AdvanceReport(now time.Time) {
	t.self.ReportSequence++
	t.self.LastReport = now
	t.changed = true // a view a period keeps the ages in it current
}

// SetReport replaces what this instance reports of itself. A change takes a
// beat of its own: others would take it for the report they have already, and
// a survey right after an edit would show the version before it.
func (t *Table) SetReport(r Report) {
	if t.self.Report == r {
		return
	}
	t.self.Report = r
	t.self.ReportSequence++
	t.changed = true
}

// Announce moves this instance to Live or Leaving. A state once passed does
// not come back: an instance that announced its stop stays leaving.
func (t *Table) Announce(s State, now time.Time) {
	if t.self.State >= s || (s != Live && s != Leaving) {
		return
	}
	t.self.Incarnation++
	t.setSelfState(s, now)
}

// Leave announces this instance's end. Nothing refutes it.
func (t *Table) Leave(now time.Time) {
	if t.self.State == Dead {
		return
	}
	t.self.Incarnation++
	t.self.LeftGracefully = true
	t.setSelfState(Dead, now)
}

// Fence ends this instance's membership because its cohort was sealed by a
// successor. It no longer refutes its death: work sent to it would be refused.
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

// Contact notes an exchange with a member, in either direction.
func (t *Table) RecordContact(c program.Cohort, now time.Time) {
	site := t.link(c.DataCentre())
	t.changed = t.changed || site.failures >= maxLinkFailures
	site.lastContact = now
	site.failures = 0
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

// Unreached notes that this instance failed to reach a member. It is kept to
// itself: it counts for isolation and accuses nobody.
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

// LinkFailed notes that neither a member of another data centre nor the
// helpers there answered. It accuses the link and not the member.
func (t *Table) LinkFailed(dataCentre string) {
	t.link(dataCentre).failures++
	t.changed = true
}

func (t *Table) reachable(dataCentre string) bool {
	c, ok := t.links[dataCentre]
	return dataCentre == t.self.DataCentre() || (ok && c.failures < maxLinkFailures)
}

// Suspect adds witnesses that failed to reach a member's incarnation.
func (t *Table) Suspect(c program.Cohort, incarnation uint64, witnesses []program.Cohort, now time.Time) {
	e, ok := t.entries[c]
	if !ok || e == t.self || e.State == Dead || e.Incarnation != incarnation {
		return
	}
	t.addWitnesses(e, witnesses, now)
}

// addWitnesses joins witnesses to an entry that is not dead. A leaving member
// stays leaving: its planned stop is not undone by a suspicion.
func (t *Table) addWitnesses(e *entry, witnesses []program.Cohort, now time.Time) {
	joined := t.mergeWitnesses(e, witnesses)
	if slices.Equal(joined, e.Witnesses) {
		return
	}
	e.Witnesses = joined
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

// joinWitnesses returns an entry's witnesses with more in a new slice, bounded
// so that a record stays small however many fail to reach the member. Witnesses
// that died since make room: a list full of them would take no new one, and the
// member would stay suspect for good.
func (t *Table) mergeWitnesses(e *entry, more []program.Cohort) []program.Cohort {
	var joined []program.Cohort
	own, foreign := 0, 0
	for _, w := range slices.Concat(e.Witnesses, more) {
		if witness, ok := t.entries[w]; slices.Contains(joined, w) || (ok && witness.State == Dead) {
			continue
		}
		count, limit := &own, requiredWitnesses
		if w.DataCentre() != e.DataCentre() {
			count, limit = &foreign, maxRemoteWitnesses
		}
		if *count < limit {
			*count++
			joined = append(joined, w)
		}
	}
	return joined
}

// Superseded declares a member dead because another cohort answered at its
// address. One witness is enough: this is an answer and not its absence, and
// two processes cannot listen at one address.
func (t *Table) Superseded(c program.Cohort, now time.Time) {
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
