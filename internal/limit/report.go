package limit

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Use is what an instance tells the others of a customer's calls.
type CallUsage struct {
	// Customer is the hash of its name.
	Customer uint64
	// Made is the number of calls admitted since the instance started, Recent that of the
	// last window.
	Admitted uint64
	Recent   uint32
}

// Telling is what an instance tells the others at once.
type QuotaReport struct {
	// From names the instance, Run tells its starts apart.
	From        string
	Incarnation uint64
	// Known is for how long it knows what calls there were, up to a window.
	ObservedFor time.Duration
	Usage       []CallUsage
	// Counted is told to an instance that has started: all calls of the last window.
	WindowCounts []WindowCount
}

// Count is the number of a customer's calls of the last window, at all instances.
type WindowCount struct {
	Customer uint64
	Calls    uint32
}

// peer is another instance, as far as it told.
type peer struct {
	incarnation uint64
	admitted    map[uint64]reportedCalls
}

// made is the number of calls of a customer that a peer told of, and when it did.
type reportedCalls struct {
	calls      uint64
	reportedAt time.Time
}

// Hear takes in what another instance tells. One without a run admits no calls.
func (q *Quotas) Merge(r QuotaReport, now time.Time) {
	if r.Incarnation == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.peers[r.From]
	if p == nil || p.incarnation != r.Incarnation {
		p = &peer{incarnation: r.Incarnation, admitted: map[uint64]reportedCalls{}}
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

// tellers is about the number of instances that tell one that has started what it does not
// know. Some of them may be cut off from it, or may have started as well.
const countSenders = 6

// tellsStarted reports whether it is for this instance to tell the one that has started; the
// lock is held.
func (q *Quotas) shouldSendCounts(instance string) bool {
	return xxhash.Sum64String(q.name+" "+instance)%uint64(max(1, q.fleetSize)) < countSenders
}

// count takes in how many calls there were; the lock is held. They are all of the window,
// also those that this instance itself admitted before it was started again.
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

// Started returns the instances that have started, and what to tell them. The list may be
// told in parts.
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
		// That there were none is worth telling too.
		r.WindowCounts = []WindowCount{{}}
	}
	return instances, r
}

// hearUse takes in the calls of one customer; the lock is held.
func (q *Quotas) mergeUsage(p *peer, from string, u CallUsage, now time.Time) {
	before, known := p.admitted[u.Customer]
	if u.Admitted < before.calls {
		// Datagrams overtake each other.
		return
	}
	p.admitted[u.Customer] = reportedCalls{calls: u.Admitted, reportedAt: now}
	added := u.Admitted - before.calls
	switch {
	case !known && now.Before(q.countsCoverUntil):
		// They are among those that were counted for this instance.
		added = 0
	case !known:
		// How many of them were made before the window is not known.
		added = min(added, uint64(u.Recent))
	}
	if m := q.metersByHash[u.Customer]; m != nil {
		m.advance(now)
		m.recordRemote(from, float64(added), now)
	}
}

// Tell returns what the others are to be told now, and which of them are to hear it at once
// and not by turns, since they have calls of the same customers.
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

// forget drops what peers told long ago, so that what is kept goes by the calls of the last
// while and not by customers times instances; the lock is held.
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
