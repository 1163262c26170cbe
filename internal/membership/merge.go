package membership

import (
	"time"

	"foxhall/internal/program"
)

// supersedes reports whether the state in a overrides the one in b: a higher
// incarnation always does, and within one incarnation the later state does.
func supersedes(a, b Record) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.State > b.State
}

// Merge applies a record received from another instance.
func (t *Table) Merge(r Record, now time.Time) {
	if r.Cohort == t.self.Cohort {
		t.mergeSelf(r, now)
		return
	}
	e, ok := t.entries[r.Cohort]
	if !ok {
		t.add(r, now)
		return
	}
	t.mergeCondition(e, r, now)
	t.mergeReport(e, r, now)
}

// mergeSelf refutes a suspicion or death of this instance by raising its
// incarnation. Otherwise a process that was paused, or that only some instances
// reach, would stay dead for them although it responds. Only the member itself
// raises its incarnation, so a record with a higher one than this instance's is
// not about this process and is ignored.
func (t *Table) mergeSelf(r Record, now time.Time) {
	accused := r.Incarnation == t.self.Incarnation && (r.State > t.self.State || len(r.Witnesses) > 0)
	if !accused || t.self.State == Dead {
		return
	}
	t.self.Incarnation++
	t.self.transmissions = 0
	t.changed = true
	if r.State == Dead {
		t.emit(OwnDeathRefuted, t.self)
	}
}

// add adds a member that is not in the table. A dead member is not added after
// its retention period; otherwise its record would circulate for ever.
func (t *Table) add(r Record, now time.Time) {
	if r.State == Dead && r.DeadFor >= t.timing.DeadRetention {
		return
	}
	e := &entry{Member: Member{Record: r, Since: now, LastReport: now}}
	if r.State == Dead {
		e.Since = now.Add(-r.DeadFor)
	}
	if len(r.Witnesses) > 0 {
		e.suspectedSince = now
	}
	t.entries[r.Cohort] = e
	t.link(r.DataCentre())
	t.emit(Joined, e)
	if r.State != Joining {
		t.emit(eventKindOf(r.State), e)
	}
}

func (t *Table) mergeCondition(e *entry, r Record, now time.Time) {
	if !supersedes(r, e.Record) {
		if r.Incarnation == e.Incarnation && e.State != Dead {
			t.addWitnesses(e, r.Witnesses, now)
		}
		return
	}
	refuted := r.Incarnation > e.Incarnation && (e.State == Suspect || e.State == Dead) && r.State.Present()
	stateChanged := r.State != e.State
	e.confirmed = r.State == Dead && t.countWitnesses(e).remote > 0
	witnesses := r.Witnesses
	if r.Incarnation == e.Incarnation && r.State != Dead {
		witnesses = t.mergeWitnesses(e, r.Witnesses)
	}
	e.State, e.Incarnation, e.LeftGracefully = r.State, r.Incarnation, r.LeftGracefully
	e.Witnesses = witnesses
	e.transmissions = 0
	t.changed = true
	switch {
	case len(witnesses) == 0:
		e.suspectedSince = time.Time{}
	case e.suspectedSince.IsZero():
		e.suspectedSince = now
	}
	if !stateChanged {
		return
	}
	e.Since = now
	if e.State == Dead {
		e.Since = now.Add(-r.DeadFor)
	}
	if refuted {
		t.emit(Refuted, e)
	}
	t.emit(eventKindOf(e.State), e)
}

func (t *Table) mergeReport(e *entry, r Record, now time.Time) {
	if r.Incarnation < e.Incarnation || r.ReportSequence <= e.ReportSequence {
		return
	}
	t.changed = t.changed || e.Report != r.Report
	e.ReportSequence = r.ReportSequence
	e.Report = r.Report
	e.LastReport = now
}

// record returns an entry as it is sent, with DeadFor as of now.
func (t *Table) record(e *entry, now time.Time) Record {
	r := e.Record
	if r.State == Dead && !now.IsZero() {
		r.DeadFor = max(now.Sub(e.Since), 0)
	}
	return r
}

// ObserveList applies the platform's list, which lags: for each address on it,
// whether the instance there is leaving. The list alone never causes a death. It
// excludes a leaving member from new work, and a missing address counts as one
// weak witness.
func (t *Table) ObserveList(leaving map[string]bool) {
	for _, e := range t.entries {
		listed := ListedAbsent
		if isLeaving, ok := leaving[e.Address]; ok {
			listed = ListedLive
			if isLeaving {
				listed = ListedLeaving
			}
		}
		t.changed = t.changed || e.Listed != listed
		e.Listed = listed
	}
}

// Records returns all records, for an instance that joins.
func (t *Table) Records(now time.Time) []Record {
	records := make([]Record, 0, len(t.entries))
	for _, e := range t.entries {
		records = append(records, t.record(e, now))
	}
	return records
}

// Lookup returns the member of a cohort, if the table contains it.
func (t *Table) Lookup(c program.Cohort) (Member, bool) {
	e, ok := t.entries[c]
	if !ok {
		return Member{}, false
	}
	return e.Member, true
}
