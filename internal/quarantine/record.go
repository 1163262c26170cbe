package quarantine

import (
	"slices"
	"strings"
	"time"
)

// MaxEnds is the number of replicas that may end under one content. The next call with it is rejected.
const MaxEnds = 3

const (
	// isolatedEnds is the number of ends from which a content runs apart.
	isolatedEnds = 2
	// maxEndsKept bounds the ends kept of one content.
	maxEndsKept = 8
	// soundnessWait is the time from a proven end within which other instances have told what speaks for its
	// content: a report to them and one back, or the rest of a run, on machines that may be busy.
	soundnessWait = time.Second
)

// Evidence is what is known about the end of a replica, in ascending order.
type Evidence uint8

const (
	// Silent: the replica sent nothing any more. It may be slow or cut off.
	Silent Evidence = iota
	// Broken: the replica closed or reset the connection in the middle of a run. It may only have
	// dropped this call.
	Broken
	// Proven: the connection broke, and the replica refused the next one, was started again or is gone.
	Proven
)

// String returns the name in log lines.
func (e Evidence) String() string { return [...]string{"silent", "broken", "proven"}[e] }

// End is the end of a replica while it ran a content.
type End struct {
	// Replica is the replica's name, which differs between its starts.
	Replica string
	// Version is that of the replica's software; empty if it is not known.
	Version string
	// Restart is the number of earlier ends under the same name: a replica that starts again is called
	// by its old name until the list has the new one. The table sets it.
	Restart  uint32
	Evidence Evidence
	// Began is when the run began, At when it ended.
	Began, At time.Time
}

// Describe lists ends for a log line: replica, evidence and age.
func Describe(ends []End, now time.Time) string {
	var parts []string
	for i := range ends {
		e := &ends[i]
		parts = append(parts, e.Replica+" "+e.Evidence.String()+" "+now.Sub(e.At).Round(time.Millisecond).String()+" ago")
	}
	return strings.Join(parts, ", ")
}

// isSameEnd reports whether two ends are what two calls saw of one end of a replica. It does not depend
// on times, which are late where a report was.
func (e *End) isSameEnd(other *End) bool {
	return e.Replica == other.Replica && e.Restart == other.Restart
}

// record is what is known of one content.
type record struct {
	// generation counts the times that the ends were cleared. Of two instances' records, the one with
	// the higher generation holds.
	generation uint32
	// ends are in order of At.
	ends []End
	// sound is set if the content completed at some instance shortly before its first end, or has been
	// cleared.
	sound     bool
	changedAt time.Time
	// triedSlot is one more than the last slot in which this instance began a trial, see Trial; 0 for none
	// since the last end.
	triedSlot int
}

// add adds an end and reports whether the record changed.
func (r *record) add(e End) bool {
	for i := range r.ends {
		if known := &r.ends[i]; known.isSameEnd(&e) {
			return known.merge(&e)
		}
	}
	if len(r.ends) >= maxEndsKept && !r.dropLeast() {
		return false
	}
	at, _ := slices.BinarySearchFunc(r.ends, e, func(a, b End) int { return a.At.Compare(b.At) })
	r.ends = slices.Insert(r.ends, at, e)
	r.triedSlot = 0
	return true
}

// merge adds what another report of the same end tells, and reports whether that is more.
func (e *End) merge(other *End) (changed bool) {
	if other.Evidence > e.Evidence {
		e.Evidence, changed = other.Evidence, true
	}
	// Reports that name different versions are settled by their order, so that all instances agree.
	if other.Version > e.Version {
		e.Version, changed = other.Version, true
	}
	return changed
}

// dropLeast removes the end that decides least, and reports whether there is one.
func (r *record) dropLeast() bool {
	least := -1
	var last time.Time
	for i := range r.ends {
		e := &r.ends[i]
		if e.Evidence == Proven && !e.Began.Before(last) {
			last = e.At
			continue
		}
		if least < 0 || e.Evidence < r.ends[least].Evidence {
			least = i
		}
	}
	if least < 0 {
		return false
	}
	r.ends = slices.Delete(r.ends, least, least+1)
	return true
}

// standing returns what follows from the ends.
func (r *record) standing() Standing { return r.standingIf(r.sound) }

// standingIf returns what follows from the ends if the content is sound, or is not.
func (r *record) standingIf(sound bool) Standing {
	var s Standing
	var last time.Time
	for i := range r.ends {
		e := &r.ends[i]
		switch {
		case e.Evidence == Broken:
			s.Doubts++
		case e.Evidence == Proven && sound && e.Began.Before(last):
			// A crash of many replicas ends all runs of a popular content at once. Its earlier
			// completions speak for it, so that these ends count as one.
		case e.Evidence == Proven:
			s.Ends++
			last = e.At
		}
	}
	return s
}

// isProvisional reports whether the content is rejected, and other instances may be about to tell that it
// is sound, or that a run of a sound content has completed.
func (r *record) isProvisional(now time.Time) bool {
	return r.standing().Rejected() && (r.sound || !r.standingIf(true).Rejected()) && now.Sub(r.lastProven()) < soundnessWait
}

// lastProven returns the time of the last proven end.
func (r *record) lastProven() (at time.Time) {
	for i := range r.ends {
		if r.ends[i].Evidence == Proven {
			at = r.ends[i].At
		}
	}
	return at
}

// clear removes the ends, since the content completed somewhere.
func (r *record) clear(generation uint32) bool {
	r.generation, r.ends, r.sound = generation, nil, true
	return true
}

// restartsBefore returns the number of ends at a replica before a run that began at began.
func (r *record) restartsBefore(replica string, began time.Time) (n uint32) {
	for i := range r.ends {
		if e := &r.ends[i]; e.Replica == replica && e.At.Before(began) {
			n = max(n, e.Restart+1)
		}
	}
	return n
}

// departure is the disappearance of a start of a replica from the list.
type departure struct {
	// replaced is set if a later start took its place. Otherwise its entry was removed without a notice
	// that it drains.
	replaced bool
	at       time.Time
}

// confirm raises the doubtful ends at a replica that has left the list to proven ones. The removal of a
// replica that fell silent proves nothing: it may be cut off.
func (r *record) confirm(replica string, left departure, now time.Time) (changed bool) {
	for i := range r.ends {
		e := &r.ends[i]
		if e.Replica != replica || e.Evidence == Proven || now.Sub(e.At) > proofWindow {
			continue
		}
		if left.replaced || e.Evidence == Broken {
			e.Evidence, changed = Proven, true
		}
	}
	return changed
}

// expiry returns when the record's time is over.
func (r *record) expiry() time.Time {
	if len(r.ends) == 0 {
		return r.changedAt.Add(clearedLifetime)
	}
	return r.ends[len(r.ends)-1].At.Add(Lifetime)
}

func (r *record) isExpired(now time.Time) bool { return !now.Before(r.expiry()) }

// isWorthLess reports whether this record gives way to a new one before another does.
func (r *record) isWorthLess(other *record) bool {
	if a, b := r.standing().Ends, other.standing().Ends; a != b {
		return a < b
	}
	return r.changedAt.Before(other.changedAt)
}

// Standing is what is held against a content.
type Standing struct {
	// Ends is the number of replicas that are known to have ended under it, Doubts that of those
	// that may have.
	Ends, Doubts int
}

// Rejected reports whether the content is not sent any more.
func (s Standing) Rejected() bool { return s.Ends >= MaxEnds }

// InDoubt reports whether the content would be rejected if the doubtful ends were proven.
func (s Standing) InDoubt() bool { return !s.Rejected() && s.Ends+s.Doubts >= MaxEnds }

// Isolated reports whether the content runs alone, one call at a time.
func (s Standing) Isolated() bool { return s.Ends >= isolatedEnds || s.InDoubt() }

// Suspected reports whether the content runs at replicas with few other calls.
func (s Standing) Suspected() bool { return s.Ends+s.Doubts > 0 }
