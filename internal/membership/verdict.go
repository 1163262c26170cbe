package membership

import (
	"time"

	"foxhall/internal/program"
)

// Tick applies what time alone decides: isolation, deaths, and the forgetting
// of the dead.
func (t *Table) Tick(now time.Time) {
	t.updateIsolation(now)
	for cohort, e := range t.entries {
		if e == t.self {
			continue
		}
		if e.State == Dead && now.Sub(e.Since) >= t.timing.DeadRetention {
			delete(t.entries, cohort)
			t.emit(Forgotten, e)
			continue
		}
		if t.shouldDeclareDead(e, now) {
			t.declareDead(e, now)
		}
	}
}

// Isolated reports whether this instance lost most of its data centre at once.
func (t *Table) Isolated() bool { return !t.isolatedSince.IsZero() }

// contactWindow is how long an exchange with a member shows that it is in
// sight. In a data centre of several dozen nearly every member is met within it.
const contactWindow = 30 * time.Second

const (
	// manySilent is how many in sight for each out of sight make a death an
	// ordinary one.
	massFailureRatio = 4
	// patience times SuspectTimeout passes before a death that is not.
	massFailureTimeoutFactor = 3
)

// updateIsolation compares how many members of its data centre this instance
// has in sight, itself included, with how many are out of sight.
//
// The failure: an instance, or a minority, is cut off from its data centre.
// Everybody else falls silent at once, and a rule that only counts witnesses
// among those still in sight would let it declare the majority dead and take
// over all their programs. Since two sides of a cut can't both have a strict
// majority, at most one goes on declaring deaths. Members declared dead
// lately count as out of sight, or else each death declared by a minority
// would make it look less of one. A member that a witness of another data
// centre can't reach either is gone and not cut off, so the survivors of a
// real loss are not held up.
//
// Why it is enough: the rule spares needless take-overs. That a wrong one does
// no harm is the work of the seal in the log, which both sides can't write.
func (t *Table) updateIsolation(now time.Time) {
	in, out := 1, 0
	for _, e := range t.entries {
		switch {
		case e == t.self || e.DataCentre() != t.self.DataCentre() || e.State == Leaving:
		case t.countsAsUnreachable(e, now):
			out++
		case e.State != Dead && now.Sub(e.lastExchange) < contactWindow:
			in++
		}
	}
	t.massFailure = massFailureRatio*out > in
	isolated := in <= out
	switch {
	case isolated && !t.Isolated():
		t.isolatedSince = now
		t.emit(BecameIsolated, t.self)
	case !isolated && t.Isolated():
		t.isolatedSince = time.Time{}
		t.emit(IsolationEnded, t.self)
	}
}

// outOfSight reports whether a member's silence may be this instance's fault.
func (t *Table) countsAsUnreachable(e *entry, now time.Time) bool {
	if e.State == Dead {
		return !e.LeftGracefully && !e.confirmed && now.Sub(e.Since) < t.timing.IsolationHold
	}
	silent := e.State == Suspect || !e.UnreachableSince.IsZero()
	return silent && t.countWitnesses(e).remote == 0
}

// HoldsBack reports whether this instance is isolated and has not waited long
// enough, or can't reach the object API, to act nevertheless.
func (t *Table) DefersActions(now time.Time) bool {
	if !t.Isolated() {
		return false
	}
	return now.Sub(t.isolatedSince) < t.timing.IsolationHold || !t.self.Report.StoreHealthy
}

// mayDeclare reports whether this instance's opinion of a member counts. An
// isolated instance that waited may still be a minority which alone reaches the
// object API; where the platform's list is read, it must confirm the death.
func (t *Table) mayDeclareDead(e *entry, now time.Time) bool {
	if t.self.State == Dead || t.DefersActions(now) {
		return false
	}
	return !t.Isolated() || e.Listed == ListedGone || e.Listed == ListedUnknown
}

// witnessCount is the number of witnesses that count, by where they are.
type witnessCount struct{ local, remote int }

// countWitnesses counts the witnesses that are themselves in good standing: one
// that is suspect or dead in our eyes may have been the one cut off.
func (t *Table) countWitnesses(e *entry) witnessCount {
	var count witnessCount
	for _, w := range e.Witnesses {
		witness, ok := t.entries[w]
		if !ok || !witness.State.Present() {
			continue
		}
		if w.DataCentre() == e.DataCentre() {
			count.local++
		} else {
			count.remote++
		}
	}
	return count
}

// verdict decides whether a member is to be declared dead.
//
// Only members of its own data centre decide while there are any, because a
// data centre that is cut off is alive to itself. The member has to have been failed
// by ownWitnesses of them, or by all where there are fewer, and by two in all,
// so that one broken link kills nobody.
func (t *Table) shouldDeclareDead(e *entry, now time.Time) bool {
	if e.State == Dead || !t.mayDeclareDead(e, now) {
		return false
	}
	if e.DataCentre() != t.self.DataCentre() {
		return t.shouldDeclareRemoteDead(e, now)
	}
	if e.suspectedSince.IsZero() || now.Sub(e.suspectedSince) < t.suspectTimeout() {
		return false
	}
	own, foreign := t.potentialWitnesses(e)
	count := t.countWitnesses(e)
	if count.local < min(requiredWitnesses, own) {
		return false
	}
	if own+foreign < 2 {
		return e.Listed == ListedGone || now.Sub(e.suspectedSince) >= t.timing.LoneTimeout
	}
	total := count.local + count.remote
	if e.Listed == ListedGone {
		total++
	}
	return total >= 2
}

// suspectTimeout is the time between suspicion and death. When many members of
// the data centre fall silent together, this instance may be on the smaller
// side of a cut and not have found out yet: in a data centre of several dozen
// that takes longer than the ordinary timeout.
func (t *Table) suspectTimeout() time.Duration {
	if t.massFailure {
		return massFailureTimeoutFactor * t.timing.SuspectTimeout
	}
	return t.timing.SuspectTimeout
}

// askable counts the members that could be witnesses against e: those of its
// data centre, and of others within reach.
func (t *Table) potentialWitnesses(e *entry) (own, foreign int) {
	for _, other := range t.entries {
		if other == e || !other.State.Present() {
			continue
		}
		switch {
		case other.DataCentre() == e.DataCentre():
			own++
		case t.reachable(other.DataCentre()):
			foreign++
		}
	}
	return own, foreign
}

// lost decides on a member of another data centre that has fallen silent as a
// whole. The silence alone may be a partition, so the platform's list must say
// besides that the address is gone.
func (t *Table) shouldDeclareRemoteDead(e *entry, now time.Time) bool {
	if t.reachable(e.DataCentre()) || e.Listed != ListedGone {
		return false
	}
	return now.Sub(t.link(e.DataCentre()).lastContact) >= t.timing.LostAfter
}

// Accuse notes a failed probe of a member of incarnation, and the helpers that
// failed to reach it as well. An instance that is isolated, or most of whose
// helpers kept silent, can't tell its own fault from the member's and accuses
// nobody. The same covers a prober that was paused: the time of its probe and
// of its helpers' answers ended while it slept.
func (t *Table) RecordProbeFailure(c program.Cohort, incarnation uint64, outcome IndirectProbeFailure, now time.Time) {
	t.MarkUnreachable(c, now)
	for _, silent := range outcome.Unresponsive {
		t.MarkUnreachable(silent, now)
	}
	if c.DataCentre() != t.self.DataCentre() && !outcome.respondedFrom(c.DataCentre()) {
		t.LinkFailed(c.DataCentre())
		return
	}
	if t.DefersActions(now) || len(outcome.Unresponsive) > len(outcome.Failed) {
		return
	}
	witnesses := append([]program.Cohort{t.self.Cohort}, outcome.Failed...)
	t.Suspect(c, incarnation, witnesses, now)
}

// Helpers is the outcome of an indirect probe that did not reach its target.
type IndirectProbeFailure struct {
	// Failed are the helpers that answered and had failed to reach the target.
	Failed []program.Cohort
	// Silent are the helpers that did not answer.
	Unresponsive []program.Cohort
}

func (h IndirectProbeFailure) respondedFrom(dataCentre string) bool {
	for _, c := range h.Failed {
		if c.DataCentre() == dataCentre {
			return true
		}
	}
	return false
}
