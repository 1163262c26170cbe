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
	run  uint64
	made map[uint64]made
}

// made is the number of calls of a customer that a peer told of, and when it did.
type made struct {
	calls uint64
	at    time.Time
}

// Hear takes in what another instance tells. One without a run admits no calls.
func (q *Quotas) Merge(t QuotaReport, now time.Time) {
	if t.Incarnation == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.peers[t.From]
	if p == nil || p.run != t.Incarnation {
		p = &peer{run: t.Incarnation, made: map[uint64]made{}}
		q.peers[t.From] = p
		if t.ObservedFor < q.window() && q.known(now) >= q.window() && q.tellsStarted(t.From) {
			q.started = append(q.started, t.From)
		}
	}
	if t.ObservedFor >= q.window() && len(t.WindowCounts) > 0 {
		q.count(t.WindowCounts, now)
	}
	for _, u := range t.Usage {
		q.hearUse(p, t.From, u, now)
	}
}

// tellers is about the number of instances that tell one that has started what it does not
// know. Some of them may be cut off from it, or may have started as well.
const tellers = 6

// tellsStarted reports whether it is for this instance to tell the one that has started; the
// lock is held.
func (q *Quotas) tellsStarted(instance string) bool {
	return xxhash.Sum64String(q.name+" "+instance)%uint64(max(1, q.all)) < tellers
}

// count takes in how many calls there were; the lock is held. They are all of the window,
// also those that this instance itself admitted before it was started again.
func (q *Quotas) count(counted []WindowCount, now time.Time) {
	if q.known(now) >= q.window() {
		return
	}
	for _, c := range counted {
		if m := q.hashes[c.Customer]; m != nil {
			m.advance(now)
			m.recent.add(m.head, max(0, float64(c.Calls)-m.recent.sum))
		}
	}
	if !q.counted {
		q.counted, q.countedUntil = true, now.Add(tellingRounds*q.round)
	}
	if !q.knows.IsZero() {
		q.knows = now.Add(-q.window())
	}
}

// Started returns the instances that have started, and what to tell them. The list may be
// told in parts.
func (q *Quotas) NewInstances(now time.Time) (instances []string, t QuotaReport) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.started) == 0 {
		return nil, QuotaReport{}
	}
	instances, q.started = q.started, nil
	t = QuotaReport{From: q.name, Incarnation: q.run, ObservedFor: min(q.known(now), q.window())}
	for _, m := range q.meters {
		m.advance(now)
		if m.recent.sum > 0 {
			t.WindowCounts = append(t.WindowCounts, WindowCount{Customer: m.hash, Calls: uint32(math.Ceil(m.recent.sum))})
		}
	}
	if t.WindowCounts == nil {
		// That there were none is worth telling too.
		t.WindowCounts = []WindowCount{{}}
	}
	return instances, t
}

// hearUse takes in the calls of one customer; the lock is held.
func (q *Quotas) hearUse(p *peer, from string, u CallUsage, now time.Time) {
	before, known := p.made[u.Customer]
	if u.Admitted < before.calls {
		// Datagrams overtake each other.
		return
	}
	p.made[u.Customer] = made{calls: u.Admitted, at: now}
	fresh := u.Admitted - before.calls
	switch {
	case !known && now.Before(q.countedUntil):
		// They are among those that were counted for this instance.
		fresh = 0
	case !known:
		// How many of them were made before the window is not known.
		fresh = min(fresh, uint64(u.Recent))
	}
	if m := q.hashes[u.Customer]; m != nil {
		m.advance(now)
		m.took(from, float64(fresh), now)
	}
}

// Tell returns what the others are to be told now, and which of them are to hear it at once
// and not by turns, since they have calls of the same customers.
func (q *Quotas) Report(now time.Time) (t QuotaReport, atOnce []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	t = QuotaReport{From: q.name, Incarnation: q.run, ObservedFor: min(q.known(now), q.window())}
	sharing := map[string]bool{}
	for _, m := range q.meters {
		if !m.tells(now, q.round) {
			continue
		}
		m.advance(now)
		t.Usage = append(t.Usage, CallUsage{Customer: m.hash, Admitted: m.made, Recent: uint32(max(0, math.Ceil(m.own.sum)))})
		if q.round >= longRound {
			for name := range m.others {
				sharing[name] = true
			}
		}
	}
	return t, slices.Sorted(maps.Keys(sharing))
}

// forget drops what peers told long ago, so that what is kept goes by the calls of the last
// while and not by customers times instances; the lock is held.
func (q *Quotas) forget(now time.Time) {
	for name, p := range q.peers {
		for customer, m := range p.made {
			if now.Sub(m.at) > forgetAfter {
				delete(p.made, customer)
			}
		}
		if len(p.made) == 0 {
			delete(q.peers, name)
		}
	}
}
