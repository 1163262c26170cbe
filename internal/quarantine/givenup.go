package quarantine

import (
	"slices"
	"time"
)

// RecordGivenUp records that an instance gave up a run of a content at a silent replica, e.At being the
// time: nothing is seen of the replica's end if it ends under the run later. The run counts as a proven
// end once the list has a later start of the replica.
func (t *Table) RecordGivenUp(f Fingerprint, e End, now time.Time) {
	if t.recordGivenUp(f, e, now) {
		t.tell()
	}
}

func (t *Table) recordGivenUp(f Fingerprint, e End, now time.Time) (proven bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if left, ok := t.departed.Peek(e.Replica); ok && left.provesGivenUp(&e, now) {
		return t.recordProven(f, e, now)
	}
	known, _ := t.givenUp.Peek(f)
	ends := slices.DeleteFunc(slices.Clone(known), func(other End) bool { return other.Replica == e.Replica })
	if len(ends) >= maxEndsKept {
		ends = ends[1:]
	}
	t.givenUp.Add(f, append(ends, e))
	return false
}

// provesGivenUp reports whether the departure shows that the replica ended under, or shortly after, a run
// that was given up. A removal alone does not: the replica is silent, so that it may be cut off.
func (d departure) provesGivenUp(e *End, now time.Time) bool {
	return d.replaced && !d.at.Before(e.Began) && d.at.Sub(e.At) <= proofWindow && now.Sub(d.at) <= proofWindow
}

// proveGivenUp records the runs that were given up at a replica as proven ends, if its departure shows
// them, and returns the number of contents concerned; the lock is held. It costs a look at each content
// that is remembered, for each start of a replica that leaves the list.
func (t *Table) proveGivenUp(replica string, left departure, now time.Time) (proven int) {
	for _, f := range t.givenUp.Keys() {
		ends, _ := t.givenUp.Peek(f)
		for _, e := range ends {
			if e.Replica == replica && left.provesGivenUp(&e, now) && t.recordProven(f, e, now) {
				proven++
			}
		}
	}
	return proven
}

// recordProven records a run that was given up as a proven end, unless an end of the same start of the
// replica is known; the lock is held.
func (t *Table) recordProven(f Fingerprint, e End, now time.Time) bool {
	if slices.Contains(t.byReplica[e.Replica], f) {
		return false
	}
	e.Evidence = Proven
	_, changed := t.recordEndLocked(f, e, now)
	return changed
}
