package limit

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// CallUsage is the number of a customer's calls in an instance's report.
type CallUsage struct {
	// Customer is the hash of the customer's name.
	Customer uint64
	// Admitted is the number of calls admitted since the instance started, Recent that of the
	// last window.
	Admitted uint64
	Recent   uint32
}

// QuotaReport is a report that an instance sends to others.
type QuotaReport struct {
	// From is the name of the instance, Incarnation distinguishes its starts.
	From        string
	Incarnation uint64
	// ObservedFor is how long the instance has known all calls, at most one window.
	ObservedFor time.Duration
	Usage       []CallUsage
	// WindowCounts holds all calls of the last window. It is sent to an instance that has started.
	WindowCounts []WindowCount
}

// WindowCount is the number of a customer's calls of the last window at all instances.
type WindowCount struct {
	Customer uint64
	Calls    uint32
}

// peer holds what another instance has reported.
type peer struct {
	incarnation uint64
	// earlier is the incarnation before the instance's last restart; 0 if none is known.
	earlier  uint64
	admitted map[uint64]reportedCalls
}

// reportedCalls is the number of a customer's calls in a peer's last report, and its time.
type reportedCalls struct {
	calls      uint64
	reportedAt time.Time
}

// Merge merges another instance's report. Instances without an incarnation admit no calls.
func (q *Quotas) Merge(r QuotaReport, now time.Time) {
	if r.Incarnation == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.peers[r.From]
	if p != nil && p.earlier == r.Incarnation {
		// Sent before the restart and late. It would reset the counts of the present start.
		return
	}
	if p == nil || p.incarnation != r.Incarnation {
		restarted := &peer{incarnation: r.Incarnation, admitted: map[uint64]reportedCalls{}}
		if p != nil {
			restarted.earlier = p.incarnation
		}
		p = restarted
		q.peers[r.From] = p
		if r.ObservedFor < q.window() && q.observedFor(now) >= q.window() && q.shouldSendCounts(r.From) {
			q.newInstances = append(q.newInstances, r.From)
		}
	}
	if r.ObservedFor >= q.window() && len(r.WindowCounts) > 0 {
		q.mergeCounts(r.WindowCounts, now)
	}
	for _, u := range r.Usage {
		q.mergeUsage(p, r.From, u, now)
	}
}

// countSenders is the approximate number of instances that send the counts of the window to an
// instance that has started. Some of them may be partitioned from it or have started as well.
const countSenders = 6

// shouldSendCounts reports whether this instance sends the counts to one that has started; the lock
// is held.
func (q *Quotas) shouldSendCounts(instance string) bool {
	return xxhash.Sum64String(q.name+" "+instance)%uint64(max(1, q.fleetSize)) < countSenders
}

// mergeCounts merges the counts of the last window; the lock is held. They include the calls that
// this instance itself admitted before its restart.
func (q *Quotas) mergeCounts(counts []WindowCount, now time.Time) {
	if q.observedFor(now) >= q.window() {
		return
	}
	for _, c := range counts {
		if m := q.metersByHash[c.Customer]; m != nil {
			m.advance(now)
			m.recent.add(m.headSlot, max(0, float64(c.Calls)-m.recent.sum))
		}
	}
	if !q.countsReceived {
		q.countsReceived, q.countsCoverUntil = true, now.Add(settlingRounds*q.reportRound)
	}
	if !q.observedSince.IsZero() {
		q.observedSince = now.Add(-q.window())
	}
}

// NewInstances returns the instances that have started and the report to send to them. The counts
// may be sent in parts.
func (q *Quotas) NewInstances(now time.Time) (instances []string, r QuotaReport) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.newInstances) == 0 {
		return nil, QuotaReport{}
	}
	instances, q.newInstances = q.newInstances, nil
	r = QuotaReport{From: q.name, Incarnation: q.incarnation, ObservedFor: min(q.observedFor(now), q.window())}
	for _, m := range q.meters {
		m.advance(now)
		if m.recent.sum > 0 {
			r.WindowCounts = append(r.WindowCounts, WindowCount{Customer: m.hash, Calls: uint32(math.Ceil(m.recent.sum))})
		}
	}
	if r.WindowCounts == nil {
		// The report that there were no calls is needed, too.
		r.WindowCounts = []WindowCount{{}}
	}
	return instances, r
}

// mergeUsage merges the calls of one customer; the lock is held.
func (q *Quotas) mergeUsage(p *peer, from string, u CallUsage, now time.Time) {
	before, known := p.admitted[u.Customer]
	if u.Admitted < before.calls {
		// Datagrams may arrive out of order.
		return
	}
	p.admitted[u.Customer] = reportedCalls{calls: u.Admitted, reportedAt: now}
	added := u.Admitted - before.calls
	switch {
	case !known && now.Before(q.countsCoverUntil):
		// The counts received at the start include these calls.
		added = 0
	case !known:
		// How many of the calls precede the window is unknown.
		added = min(added, uint64(u.Recent))
	}
	if m := q.metersByHash[u.Customer]; m != nil {
		m.advance(now)
		m.recordRemote(from, float64(added), now)
	}
}

// Report returns the report to send now, and the instances to send it to directly, outside the
// round, because they have calls of the same customers.
func (q *Quotas) Report(now time.Time) (r QuotaReport, direct []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r = QuotaReport{From: q.name, Incarnation: q.incarnation, ObservedFor: min(q.observedFor(now), q.window())}
	sharing := map[string]bool{}
	for _, m := range q.meters {
		if !m.shouldReport(now, q.reportRound) {
			continue
		}
		m.advance(now)
		r.Usage = append(r.Usage, CallUsage{Customer: m.hash, Admitted: m.admitted, Recent: uint32(max(0, math.Ceil(m.own.sum)))})
		if q.reportRound >= longReportRound {
			for name := range m.remoteLastCall {
				sharing[name] = true
			}
		}
	}
	return r, slices.Sorted(maps.Keys(sharing))
}

// dropStaleUsage removes peers' counts that are older than peerUsageRetention, so that memory grows
// with the recent calls and not with customers times instances; the lock is held.
func (q *Quotas) dropStaleUsage(now time.Time) {
	for name, p := range q.peers {
		for customer, m := range p.admitted {
			if now.Sub(m.reportedAt) > peerUsageRetention {
				delete(p.admitted, customer)
			}
		}
		if len(p.admitted) == 0 {
			delete(q.peers, name)
		}
	}
}
