package limit

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Quota bounds a customer's calls over the whole fleet by a token bucket.
type Quota struct {
	// Rate is in calls a second; 0 for no limit.
	Rate float64
	// Burst is the number of calls that may come at once beyond the rate.
	Burst float64
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.Rate > 0 }

// Tolerance is how far a customer may be let beyond its quota in any window, since instances
// learn of each other's calls late.
type Tolerance struct {
	Window time.Duration
	// Overage is a part of what the quota allows in a window, Slack a number of calls.
	Overage, Slack float64
}

// Use is what an instance tells the others of a customer's calls.
type Use struct {
	// Customer is the hash of its name.
	Customer uint64
	// Made is the number of calls admitted since the instance started, Recent about that of
	// the last useMemory.
	Made   uint64
	Recent uint32
}

const (
	// useMemory is the time over which an instance's part of a customer's calls is taken.
	useMemory = 2 * time.Second
	// The tolerance is spent in quarters: on the bucket's rate, on its size, on what is at
	// hand after a start, and on calls that instances do not know of from each other.
	toleranceParts = 4
	// newcomersPart is the part of a bucket's level that is left to instances that begin to
	// have calls of the customer, newcomersLeast the number of those who may do so at once.
	newcomersPart  = 0.5
	newcomersLeast = 3
	// tellPart is the part of a bucket from which on admitted calls are told at once;
	// tellEvery is when fewer are.
	tellPart  = 64
	tellEvery = 500 * time.Millisecond
	// partKnown is the part of a quota below which most instances are not heard.
	partKnown = 0.5
	// refillLeast keeps a caller that is refused from coming back at once.
	refillLeast = 50 * time.Millisecond
	// forgetAfter is how long what a peer told of a customer is remembered: far longer than
	// a datagram may be on its way, so that a late one does not count anew.
	forgetAfter = 20 * time.Second
)

// Quotas holds customers to their quotas over all instances.
//
// Each instance keeps every customer's bucket by itself. It takes its own calls out at
// once, and those of the others when they tell of them. The failures that it guards
// against are a customer that has its quota once at each instance, and one that is refused
// though others of its instances are idle.
//
//   - Between two tellings an instance admits no more than its part of the level, by the
//     calls it had lately. Parts add up to the whole.
//   - Instances that hear only some of the others have only a part of the quota, see partOf.
//     The parts of groups that do not hear each other add up to one at most.
//   - A bucket begins nearly empty. What was used before a restart is not known then, but it
//     and the bucket's refill since are within the quota together.
type Quotas struct {
	tolerance Tolerance

	mu        sync.Mutex
	customers map[string]*bucket
	hashes    map[uint64]*bucket
	peers     map[string]*peer
	// part is what this group of instances may use of each quota; alone says that there is
	// no other instance.
	part  float64
	alone bool
	// round is how long it takes an instance to tell all others.
	round time.Duration
	// opened says that most instances were heard since the start.
	opened bool
	swept  time.Time
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

// NewQuotas returns quotas of nobody.
func NewQuotas(t Tolerance) *Quotas {
	return &Quotas{tolerance: t, customers: map[string]*bucket{}, hashes: map[uint64]*bucket{}, peers: map[string]*peer{}}
}

// Set puts customers' quotas in force; those not named have none.
func (q *Quotas) Set(quotas map[string]Quota, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, b := range q.customers {
		if !quotas[name].Limited() {
			delete(q.customers, name)
			delete(q.hashes, b.hash)
		}
	}
	for name, quota := range quotas {
		if !quota.Limited() {
			continue
		}
		b := q.customers[name]
		if b == nil {
			b = &bucket{hash: xxhash.Sum64String(name), at: now}
			q.customers[name], q.hashes[b.hash] = b, b
			b.size(quota, q.tolerance)
			if q.opened {
				b.level = b.most
			}
		}
		b.advance(now, q.part)
		b.size(quota, q.tolerance)
	}
}

// Verdict is what became of a call at its customer's quota.
type Verdict uint8

// The verdicts.
const (
	Admitted Verdict = iota
	// Over says that the customer has had what its quota allows.
	Over
	// Unknown says that too few other instances are heard to tell.
	Unknown
)

// Admit admits a call of the customer, or tells when it is worth to come again.
func (q *Quotas) Admit(customer string, now time.Time) (Verdict, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.customers[customer]
	if b == nil {
		return Admitted, 0
	}
	b.advance(now, q.part)
	b.rotate(now, q.round)
	switch {
	case b.level < 1 && q.part < partKnown:
		return Unknown, b.refill(q.part)
	case b.level < 1:
		return Over, b.refill(q.part)
	case !q.alone && b.untold()+1 > max(1, b.share()*(b.level+b.untold())):
		return Over, max(refillLeast, q.round)
	}
	b.take()
	return Admitted, 0
}

// Return gives an admission back whose call has not run.
func (q *Quotas) Return(customer string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if b := q.customers[customer]; b != nil {
		b.level++
		b.returned++
	}
}

// Hear takes in what another instance tells. The run tells its starts apart.
func (q *Quotas) Hear(from string, run uint64, uses []Use, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.peers[from]
	if p == nil || p.run != run {
		p = &peer{run: run, made: map[uint64]made{}}
		q.peers[from] = p
	}
	for _, u := range uses {
		before, known := p.made[u.Customer]
		if u.Made < before.calls {
			// Datagrams overtake each other.
			continue
		}
		p.made[u.Customer] = made{calls: u.Made, at: now}
		fresh := u.Made - before.calls
		if !known {
			// How many of them were told of before this instance listened is not known.
			fresh = min(fresh, uint64(u.Recent))
		}
		if b := q.hashes[u.Customer]; b != nil {
			b.advance(now, q.part)
			b.took(from, float64(fresh), now)
		}
	}
}

// Tell returns what the others are to be told now.
func (q *Quotas) Tell(now time.Time) []Use {
	q.mu.Lock()
	defer q.mu.Unlock()
	var uses []Use
	for _, b := range q.customers {
		if !b.tells(now, q.round) {
			continue
		}
		b.advance(now, q.part)
		uses = append(uses, Use{Customer: b.hash, Made: b.made, Recent: uint32(math.Ceil(b.own))})
	}
	return uses
}

// Fleet takes in how many of all instances are heard, this one included, and how long it
// takes to tell them all. An instance that is not heard may have calls of its own; while it
// is not known which instances there are, none is heard.
func (q *Quotas) Fleet(heard, all int, round time.Duration, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.part, q.alone, q.round = partOf(heard, all), all == 1, round
	if !q.opened && q.part > partKnown {
		q.opened = true
		for _, b := range q.customers {
			b.level += b.start
		}
	}
	if now.Sub(q.swept) >= forgetAfter {
		q.swept = now
		q.forget(now)
	}
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

// partOf is the part of each quota that a group of instances may use that hear each other
// and nobody else. For any groups of a fleet the parts add up to one at most; most of it is
// for a group of more than half, to which callers are sent.
func partOf(heard, all int) float64 {
	switch {
	case heard == 0:
		return 0
	case heard >= all:
		return 1
	}
	x := float64(heard) / float64(all)
	in, out := x*x*x, (1-x)*(1-x)*(1-x)
	return in / (in + out)
}
