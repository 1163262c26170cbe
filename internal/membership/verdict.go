package membership

import (
	"time"

	"foxhall/internal/program"
)

// Tick applies the changes that depend on time: isolation, declared deaths, and
// the removal of dead members after their retention.
func (t *Table) Tick(now time.Time) {
	t.updateIsolation(now)
	for cohort, e := range t.entries {
		if e == t.self {
			continue
		}
		if e.State == Dead && now.Sub(e.Since) >= t.timing.DeadRetention {
			delete(t.entries, cohort)
			t.emit(Removed, e)
			continue
		}
		if t.shouldDeclareDead(e, now) {
			t.declareDead(e, now)
		}
	}
}

// Isolated reports whether this instance has lost contact with most of its data
// centre.
func (t *Table) Isolated() bool { return !t.isolatedSince.IsZero() }

// contactWindow is how long a member counts as reachable after an exchange. In a
// data centre of several dozen instances, an instance exchanges messages with
// nearly every member within it.
const contactWindow = 30 * time.Second

const (
	// massFailureRatio is the number of reachable members for each unreachable
	// one below which the failures count as a mass failure.
	massFailureRatio = 4
	// massFailureTimeoutFactor multiplies SuspectTimeout in a mass failure.
	massFailureTimeoutFactor = 3
)

// updateIsolation compares the number of reachable members of this instance's
// data centre, itself included, with the number of unreachable ones.
//
// It guards against this failure: a network partition separates an instance, or
// a minority, from the rest of its data centre. All others become unresponsive
// at once, and a rule that only counts witnesses among the reachable members
// would let the minority declare the majority dead and take over all its
// programs. Since the two sides of a partition can't both have a strict
// majority, at most one side goes on declaring deaths. Members that were
// declared dead recently count as unreachable; otherwise each death that a
// minority declares would make it look less like a minority. A member that a
// witness in another data centre can't reach either has failed and is not
// partitioned, so the survivors of a real loss are not delayed.
//
// The rule only avoids needless take-overs. A wrong take-over does no harm
// because of the seal in the log, which only one side can write.
func (t *Table) updateIsolation(now time.Time) {
	reachable, unreachable := 1, 0
	for _, e := range t.entries {
		switch {
		case e == t.self || e.DataCentre() != t.self.DataCentre() || e.State == Leaving:
		case t.countsAsUnreachable(e, now):
			unreachable++
		case e.State != Dead && now.Sub(e.lastExchange) < contactWindow:
			reachable++
		}
	}
	t.massFailure = massFailureRatio*unreachable > reachable
	isolated := reachable <= unreachable
	switch {
	case isolated && !t.Isolated():
		t.isolatedSince = now
		t.emit(BecameIsolated, t.self)
	case !isolated && t.Isolated():
		t.isolatedSince = time.Time{}
		t.emit(IsolationEnded, t.self)
	}
}

// countsAsUnreachable reports whether a member is unreachable and the cause may
// lie with this instance.
func (t *Table) countsAsUnreachable(e *entry, now time.Time) bool {
	if e.State == Dead {
		return !e.LeftGracefully && !e.confirmed && now.Sub(e.Since) < t.timing.IsolationHold
	}
	unreachable := e.State == Suspect || !e.UnreachableSince.IsZero()
	return unreachable && t.countWitnesses(e).remote == 0
}

// DefersActions reports whether this instance is isolated and must not act on
// it: IsolationHold has not passed, or it can't reach the object API.
func (t *Table) DefersActions(now time.Time) bool {
	if !t.Isolated() {
		return false
	}
	return now.Sub(t.isolatedSince) < t.timing.IsolationHold || !t.self.Report.StoreHealthy
}

// mayDeclareDead reports whether this instance may declare a member dead. An
// isolated instance that waited for IsolationHold may still be a minority that
// is the only side to reach the object API; where the platform's list is read,
// the list must confirm the death.
func (t *Table) mayDeclareDead(e *entry, now time.Time) bool {
	if t.self.State == Dead || t.DefersActions(now) {
		return false
	}
	return !t.Isolated() || e.Listed == ListedAbsent || e.Listed == ListedUnknown
}

// witnessCount is the number of valid witnesses in the member's data centre and
// in others.
type witnessCount struct{ local, remote int }

// countWitnesses counts the witnesses that this instance considers running: the
// network partition may be on the side of a witness that is suspect or dead.
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

// shouldDeclareDead reports whether a member is to be declared dead.
//
// While the member's data centre has other members, only they decide, because
// the instances of a data centre that is partitioned from the others still
// reach each other. requiredWitnesses of them, or all where there are fewer,
// must have failed to reach the member, and at least two witnesses in total, so
// that one broken link causes no death.
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
	local, remote := t.potentialWitnesses(e)
	count := t.countWitnesses(e)
	if count.local < min(requiredWitnesses, local) {
		return false
	}
	if local+remote < 2 {
		return e.Listed == ListedAbsent || now.Sub(e.suspectedSince) >= t.timing.LoneTimeout
	}
	total := count.local + count.remote
	if e.Listed == ListedAbsent {
		total++
	}
	return total >= 2
}

// suspectTimeout returns the time between suspicion and death. It is longer in a
// mass failure: this instance may be on the smaller side of a network partition
// and not have detected it yet, which takes longer than the ordinary timeout in
// a data centre of several dozen instances.
func (t *Table) suspectTimeout() time.Duration {
	if t.massFailure {
		return massFailureTimeoutFactor * t.timing.SuspectTimeout
	}
	return t.timing.SuspectTimeout
}

// potentialWitnesses counts the running members, this instance included, that
// could be witnesses against e: those of e's data centre, and those of other data
// centres that this instance reaches.
func (t *Table) potentialWitnesses(e *entry) (local, remote int) {
	for _, other := range t.entries {
		if other == e || !other.State.Present() {
			continue
		}
		switch {
		case other.DataCentre() == e.DataCentre():
			local++
		case t.reachable(other.DataCentre()):
			remote++
		}
	}
	return local, remote
}

// shouldDeclareRemoteDead reports whether a member of another data centre is to
// be declared dead, after no contact with that data centre for LostAfter. The
// missing contact may be due to a network partition, so the member's address
// must also be missing in the platform's list.
func (t *Table) shouldDeclareRemoteDead(e *entry, now time.Time) bool {
	if t.reachable(e.DataCentre()) || e.Listed != ListedAbsent {
		return false
	}
	return now.Sub(t.link(e.DataCentre()).lastContact) >= t.timing.LostAfter
}

// RecordProbeFailure records a failed direct and indirect probe of a member's
// incarnation, and raises a suspicion with this instance and the helpers that
// also failed as witnesses. An instance that is isolated, or most of whose
// helpers did not respond, can't tell its own failure from the member's and
// raises none. This also covers a prober that was paused: the timeouts of its
// direct and indirect probes expired during the pause.
func (t *Table) RecordProbeFailure(c program.Cohort, incarnation uint64, outcome IndirectProbeFailure, now time.Time) {
	t.MarkUnreachable(c, now)
	for _, helper := range outcome.Unresponsive {
		t.MarkUnreachable(helper, now)
	}
	if c.DataCentre() != t.self.DataCentre() && !outcome.respondedFrom(c.DataCentre()) {
		t.RecordLinkFailure(c.DataCentre())
		return
	}
	if t.DefersActions(now) || len(outcome.Unresponsive) > len(outcome.Failed) {
		return
	}
	witnesses := append([]program.Cohort{t.self.Cohort}, outcome.Failed...)
	t.Suspect(c, incarnation, witnesses, now)
}

// IndirectProbeFailure is the outcome of an indirect probe that did not reach
// its target.
type IndirectProbeFailure struct {
	// Failed are the helpers that responded and failed to reach the target.
	Failed []program.Cohort
	// Unresponsive are the helpers that did not respond.
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
