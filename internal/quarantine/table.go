package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/rcrowley/go-metrics"
)

const (
	// Lifetime is how long a content is kept after the last end under it. Agents and their users repeat
	// a failed task for minutes.
	Lifetime = 10 * time.Minute
	// clearedLifetime is how long it is kept that a content was cleared. Reports from before it was may
	// still arrive.
	clearedLifetime = time.Minute
	// maxRecords bounds the contents that are kept, at 0.5 to 3 KB each.
	maxRecords = 4096
	// maxCompletions bounds the completed contents that are remembered, completionLifetime for how long.
	maxCompletions     = 4096
	completionLifetime = time.Minute
	// maxGivenUp bounds the contents of which runs that were given up are remembered, at up to 1.7 KB each.
	maxGivenUp = 1024
	// maxDepartures bounds the starts of replicas that have left the list and are remembered.
	maxDepartures = 1024
	// proofWindow is how long after a broken connection the replica's removal from the list proves that
	// it ended: an entry lapses after three heartbeats.
	proofWindow = 10 * time.Second
)

// Table holds the contents under which replicas ended. It is safe for concurrent use.
type Table struct {
	// onNews is called without the lock after a change that other instances should learn; nil for nothing.
	onNews func()
	// size is the number of records, for a look-up without the lock while there are none.
	size atomic.Int64

	mu      sync.Mutex
	records map[Fingerprint]*record
	// byReplica holds the contents with ends at a replica.
	byReplica map[string][]Fingerprint
	// completions are the contents that completed at this instance, with the time.
	completions *simplelru.LRU[Fingerprint, time.Time]
	// givenUp are the runs that were given up at silent replicas. They are told to no other instance and
	// hold nothing against their contents, until one becomes a proven end.
	givenUp *simplelru.LRU[Fingerprint, []End]
	// departed are the starts of replicas that have left the list.
	departed *simplelru.LRU[string, departure]
	// news are the contents whose change is yet to be sent, and whether it began at this instance.
	news map[Fingerprint]bool

	metrics tableMetrics
}

type tableMetrics struct {
	contents, rejected        metrics.Gauge
	ends                      [Proven + 1]metrics.Counter
	cleared, dropped, evicted metrics.Counter
	trials                    metrics.Counter
}

// NewTable returns an empty table.
func NewTable(registry metrics.Registry) *Table {
	t := &Table{
		records:     map[Fingerprint]*record{},
		byReplica:   map[string][]Fingerprint{},
		completions: newLRU[Fingerprint, time.Time](maxCompletions),
		givenUp:     newLRU[Fingerprint, []End](maxGivenUp),
		departed:    newLRU[string, departure](maxDepartures),
		news:        map[Fingerprint]bool{},
		metrics: tableMetrics{
			contents: metrics.GetOrRegisterGauge("quarantine.contents", registry),
			rejected: metrics.GetOrRegisterGauge("quarantine.rejected", registry),
			cleared:  metrics.GetOrRegisterCounter("quarantine.cleared", registry),
			dropped:  metrics.GetOrRegisterCounter("quarantine.dropped", registry),
			evicted:  metrics.GetOrRegisterCounter("quarantine.evicted", registry),
			trials:   metrics.GetOrRegisterCounter("quarantine.trials", registry),
		},
	}
	for e := range t.metrics.ends {
		t.metrics.ends[e] = metrics.GetOrRegisterCounter("quarantine.ends."+Evidence(e).String(), registry)
	}
	return t
}

func newLRU[K comparable, V any](size int) *simplelru.LRU[K, V] {
	lru, err := simplelru.NewLRU[K, V](size, nil)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return lru
}

// OnNews sets the function that is called after each change that other instances should learn. It must
// be called before the table is used.
func (t *Table) OnNews(f func()) { t.onNews = f }

// Standing returns what is held against a content.
func (t *Table) Standing(f Fingerprint, now time.Time) Standing {
	if t.size.Load() == 0 {
		return Standing{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[f]; r != nil && !r.isExpired(now) {
		return r.standing()
	}
	return Standing{}
}

// IsProvisional reports whether a content is rejected, and another instance may be about to tell that it
// completed there.
func (t *Table) IsProvisional(f Fingerprint, now time.Time) bool {
	if t.size.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	return r != nil && !r.isExpired(now) && r.isProvisional(now)
}

// Ends returns the ends that are kept of a content, in order of time, and how long it is kept.
func (t *Table) Ends(f Fingerprint, now time.Time) (ends []End, left time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	if r == nil || r.isExpired(now) {
		return nil, 0
	}
	return slices.Clone(r.ends), r.expiry().Sub(now)
}

// RecordEnd records that a replica ended, or may have ended, under a content.
func (t *Table) RecordEnd(f Fingerprint, e End, now time.Time) Standing {
	standing, changed := t.recordEnd(f, e, now)
	if changed {
		t.tell()
	}
	return standing
}

func (t *Table) recordEnd(f Fingerprint, e End, now time.Time) (s Standing, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recordEndLocked(f, e, now)
}

func (t *Table) recordEndLocked(f Fingerprint, e End, now time.Time) (s Standing, changed bool) {
	r := t.recordFor(f, now)
	if r == nil {
		return Standing{}, false
	}
	e.Restart = r.restartsBefore(e.Replica, e.Began)
	e.Version = boundedVersion(e.Version)
	changed = t.update(f, r, true, now, func() bool { return r.add(e) })
	if changed {
		t.metrics.ends[e.Evidence].Inc(1)
		t.confirm(f, r, e.Replica, now)
	}
	return r.standing(), changed
}

// RecordCompletion records that a replica completed a run of a content, which clears it. It reports
// whether anything was held against the content.
func (t *Table) RecordCompletion(f Fingerprint, now time.Time) (cleared bool) {
	cleared = t.recordCompletion(f, now)
	if cleared {
		t.tell()
	}
	return cleared
}

func (t *Table) recordCompletion(f Fingerprint, now time.Time) (cleared bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.completions.Add(f, now)
	t.givenUp.Remove(f)
	r := t.records[f]
	if r == nil || len(r.ends) == 0 {
		return false
	}
	t.metrics.cleared.Inc(1)
	return t.update(f, r, true, now, func() bool { return r.clear(r.generation + 1) })
}

// ConfirmEnds raises ends that were in doubt to proven ones, also those that are yet to be learnt: a start
// of a replica was replaced by another one of the same id, or its entry was removed without a notice that
// it drains. It returns the number of contents concerned.
func (t *Table) ConfirmEnds(replica string, replaced bool, now time.Time) int {
	confirmed := t.confirmEnds(replica, departure{replaced: replaced, at: now}, now)
	if confirmed > 0 {
		t.tell()
	}
	return confirmed
}

func (t *Table) confirmEnds(replica string, left departure, now time.Time) (confirmed int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.departed.Add(replica, left)
	confirmed = t.proveGivenUp(replica, left, now)
	for _, f := range slices.Clone(t.byReplica[replica]) {
		if t.confirm(f, t.records[f], replica, now) {
			confirmed++
		}
	}
	return confirmed
}

// confirm raises a content's ends at a replica if that left the list lately; the lock is held.
func (t *Table) confirm(f Fingerprint, r *record, replica string, now time.Time) bool {
	left, ok := t.departed.Peek(replica)
	if !ok || now.Sub(left.at) > proofWindow {
		return false
	}
	// The others see the same list.
	raised := t.update(f, r, false, now, func() bool { return r.confirm(replica, left, now) })
	if raised {
		t.metrics.ends[Proven].Inc(1)
	}
	return raised
}

// recordFor returns the record of a content, a new one if there is none, or nil if there is no room;
// the lock is held.
func (t *Table) recordFor(f Fingerprint, now time.Time) *record {
	r := t.records[f]
	if r != nil && !r.isExpired(now) {
		return r
	}
	if r != nil {
		t.remove(f)
	}
	if len(t.records) >= maxRecords && !t.makeRoom(now) {
		t.metrics.dropped.Inc(1)
		return nil
	}
	completedAt, ok := t.completions.Peek(f)
	r = &record{sound: ok && now.Sub(completedAt) < completionLifetime, changedAt: now}
	t.records[f] = r
	t.size.Store(int64(len(t.records)))
	return r
}

// makeRoom removes expired records, or else the one with the fewest ends that has not changed for the
// longest time; the lock is held. Rejected contents stay: a flood of others must not free them.
func (t *Table) makeRoom(now time.Time) bool {
	t.expire(now)
	if len(t.records) < maxRecords {
		return true
	}
	var victim Fingerprint
	var least *record
	for f, r := range t.records {
		if r.standing().Rejected() || least != nil && !r.isWorthLess(least) {
			continue
		}
		victim, least = f, r
	}
	if least == nil {
		return false
	}
	t.remove(victim)
	t.metrics.evicted.Inc(1)
	return true
}

// Expire removes the contents whose time is over.
func (t *Table) Expire(now time.Time) {
	if t.size.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	rejected := 0
	for _, r := range t.records {
		if r.standing().Rejected() {
			rejected++
		}
	}
	t.metrics.contents.Update(int64(len(t.records)))
	t.metrics.rejected.Update(int64(rejected))
}

func (t *Table) expire(now time.Time) {
	for f, r := range t.records {
		if r.isExpired(now) {
			t.remove(f)
		}
	}
}

func (t *Table) remove(f Fingerprint) {
	t.unindex(f, t.records[f])
	delete(t.records, f)
	delete(t.news, f)
	t.size.Store(int64(len(t.records)))
}

// update changes a record and reports whether it did; the lock is held. own is set if other instances
// learn of the change from this one alone.
func (t *Table) update(f Fingerprint, r *record, own bool, now time.Time, change func() bool) bool {
	t.unindex(f, r)
	changed := change()
	for i := range r.ends {
		name := r.ends[i].Replica
		if !slices.Contains(t.byReplica[name], f) {
			t.byReplica[name] = append(t.byReplica[name], f)
		}
	}
	if changed {
		r.changedAt = now
		t.news[f] = t.news[f] || own
	}
	return changed
}

func (t *Table) unindex(f Fingerprint, r *record) {
	for i := range r.ends {
		name := r.ends[i].Replica
		rest := slices.DeleteFunc(t.byReplica[name], func(other Fingerprint) bool { return other == f })
		if t.byReplica[name] = rest; len(rest) == 0 {
			delete(t.byReplica, name)
		}
	}
}

func (t *Table) tell() {
	if t.onNews != nil {
		t.onNews()
	}
}
