package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// maxNameLength bounds the name of a replica, and that of its version, in a report, in bytes.
const maxNameLength = 128

// boundedVersion returns a version, or none if its name is too long.
func boundedVersion(version string) string {
	if len(version) > maxNameLength {
		return ""
	}
	return version
}

// Report is what one instance tells others of a content.
type Report struct {
	Fingerprint Fingerprint
	Generation  uint32
	// Sound is set if the content completed at some instance shortly before its first end, or was cleared.
	Sound bool
	Ends  []ReportedEnd
}

// ReportedEnd is an end with its times as ages, since instances' clocks differ.
type ReportedEnd struct {
	Replica  string
	Version  string
	Restart  uint32
	Evidence Evidence
	// Age is the time since the end, Ran how long the run had taken by then.
	Age, Ran time.Duration
}

func (r *record) report(f Fingerprint, now time.Time) Report {
	report := Report{Fingerprint: f, Generation: r.generation, Sound: r.sound}
	for i := range r.ends {
		e := &r.ends[i]
		report.Ends = append(report.Ends, ReportedEnd{Replica: e.Replica, Version: boundedVersion(e.Version), Restart: e.Restart, Evidence: e.Evidence, Age: now.Sub(e.At), Ran: e.At.Sub(e.Began)})
	}
	return report
}

// TakeNews returns the contents that changed since the last call: those whose change began at this
// instance, and those that it learnt from others.
func (t *Table) TakeNews(now time.Time) (own, learnt []Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for f, isOwn := range t.news {
		report := t.records[f].report(f, now)
		if isOwn {
			own = append(own, report)
		} else {
			learnt = append(learnt, report)
		}
	}
	clear(t.news)
	return own, learnt
}

// Worst returns at most n contents, those with the most ends first, for an instance that has started.
func (t *Table) Worst(n int, now time.Time) []Report {
	return t.reports(n, now, func(a, b *record) int { return cmp.Compare(b.standing().Ends, a.standing().Ends) })
}

// Sample returns at most n contents, different ones at each call, for an instance that may have missed
// what was sent to it.
func (t *Table) Sample(n int, now time.Time) []Report { return t.reports(n, now, nil) }

func (t *Table) reports(n int, now time.Time, compare func(a, b *record) int) []Report {
	if t.size.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var chosen []Fingerprint
	for f, r := range t.records { // in random order
		if r.isExpired(now) {
			continue
		}
		chosen = append(chosen, f)
		if compare == nil && len(chosen) == n {
			break
		}
	}
	if compare != nil {
		slices.SortFunc(chosen, func(a, b Fingerprint) int { return compare(t.records[a], t.records[b]) })
		chosen = chosen[:min(n, len(chosen))]
	}
	reports := make([]Report, 0, len(chosen))
	for _, f := range chosen {
		reports = append(reports, t.records[f].report(f, now))
	}
	return reports
}

// Merge merges what another instance reports. Reports may come twice, late and in any order.
func (t *Table) Merge(reports []Report, now time.Time) {
	if t.merge(reports, now) {
		t.tell()
	}
}

func (t *Table) merge(reports []Report, now time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range reports {
		report := &reports[i]
		ends := report.decodeEnds(now)
		known := t.records[report.Fingerprint]
		if known != nil && known.isExpired(now) {
			known = nil // its generation says nothing of the ends since
		}
		if known == nil && len(ends) == 0 || known != nil && report.Generation < known.generation {
			continue
		}
		r := t.recordFor(report.Fingerprint, now)
		if r == nil {
			continue
		}
		// That the content is sound may be known here alone.
		own := r.sound && !report.Sound
		if !t.update(report.Fingerprint, r, own, now, func() bool { return r.merge(report, ends) }) {
			continue
		}
		changed = true
		for _, e := range ends {
			t.confirm(report.Fingerprint, r, e.Replica, now)
		}
	}
	return changed
}

// merge merges a report of a generation that is not older than the record's, with its valid ends.
func (r *record) merge(report *Report, ends []End) (changed bool) {
	if report.Generation > r.generation {
		r.clear(report.Generation)
		changed = true
	}
	if report.Sound && !r.sound {
		r.sound, changed = true, true
	}
	for _, e := range ends {
		changed = r.add(e) || changed
	}
	return changed
}

// decodeEnds returns the report's ends that are valid and not too old.
func (r *Report) decodeEnds(now time.Time) []End {
	var ends []End
	for _, e := range r.Ends[:min(len(r.Ends), maxEndsKept)] {
		if e.Age < 0 || e.Age >= Lifetime || e.Ran < 0 || e.Evidence > Proven || e.Replica == "" || len(e.Replica) > maxNameLength {
			continue
		}
		at := now.Add(-e.Age)
		ends = append(ends, End{Replica: e.Replica, Version: e.Version, Restart: e.Restart, Evidence: e.Evidence, Began: at.Add(-e.Ran), At: at})
	}
	return ends
}
