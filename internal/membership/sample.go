package membership

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxhall/internal/program"
)

const (
	// changedRecords bounds the records of recent changes in a message.
	maxChangedRecords = 6
	// otherRecords is the number of other records in a message, taken at
	// random, so that what was missed arrives at last.
	randomRecords = 2
	// corrections bounds the records sent back because the sender's are outdated.
	maxCorrections = 4
	// spread times the logarithm of the fleet is the number of messages that
	// carry a change (SWIM, section 4.1).
	transmissionFactor = 3
	// successors is the number of members that each instance watches on the
	// ring of its data centre, so that each member is watched by as many.
	ringSuccessors = 2
	// ownHelpers and allHelpers are the helpers of an indirect probe: of the
	// target's data centre, and altogether.
	localHelpers = 2
	maxHelpers   = 3
)

// carried returns the records for a message to a cohort: what changed lately,
// fewest sends first, what the receiver must know of itself, and a few others.
func (t *Table) piggyback(to program.Cohort, rng *rand.Rand, now time.Time) []Record {
	limit := transmissionFactor * bits.Len(uint(len(t.entries)))
	var changed, others []*entry
	for _, e := range t.entries {
		switch {
		case e == t.self || e.Cohort == to:
		case e.transmissions < limit:
			changed = append(changed, e)
		case e.State != Dead:
			others = append(others, e)
		}
	}
	slices.SortFunc(changed, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.transmissions, b.transmissions), cmp.Compare(a.Cohort, b.Cohort))
	})
	var records []Record
	if e, ok := t.entries[to]; ok && (!e.State.Present() || len(e.Witnesses) > 0) {
		records = append(records, t.record(e, now))
	}
	for _, e := range changed[:min(maxChangedRecords, len(changed))] {
		e.transmissions++
		records = append(records, t.record(e, now))
	}
	for range min(randomRecords, len(others)) {
		records = append(records, t.record(others[rng.IntN(len(others))], now))
	}
	return records
}

// corrections returns what this instance knows better than the received records.
func (t *Table) corrections(received []Record, now time.Time) []Record {
	var better []Record
	for _, r := range received {
		e, ok := t.entries[r.Cohort]
		if ok && len(better) < maxCorrections && supersedes(e.Record, r) {
			better = append(better, t.record(e, now))
		}
	}
	return better
}

// target names a member to probe.
type target struct {
	cohort      program.Cohort
	address     string
	incarnation uint64
}

func targetOf(e *entry) target {
	return target{cohort: e.Cohort, address: e.Address, incarnation: e.Incarnation}
}

// targets returns whom to probe in a period: a successor on the ring in each,
// a random member of the data centre in every second, and a member of another
// data centre in every fourth, the data centres in turn. The number does not
// depend on the fleet.
func (t *Table) targets(period uint64, rng *rand.Rand) []target {
	var found []target
	if e := t.successor(int(period % ringSuccessors)); e != nil {
		found = append(found, targetOf(e))
	}
	if period%2 == 0 {
		if e := pickRandom(t.otherMembers(func(e *entry) bool { return e.DataCentre() == t.self.DataCentre() }), rng); e != nil {
			found = append(found, targetOf(e))
		}
	}
	if period%4 == 0 {
		if e := t.pickRemote(period/4, rng); e != nil {
			found = append(found, targetOf(e))
		}
	}
	return found
}

// successor returns the nth member after this instance on the ring of its data
// centre, ordered by the hash of the cohort.
func (t *Table) successor(n int) *entry {
	ring := t.otherMembers(func(e *entry) bool { return e.DataCentre() == t.self.DataCentre() })
	if len(ring) == 0 {
		return nil
	}
	me := xxhash.Sum64String(string(t.self.Cohort))
	slices.SortFunc(ring, func(a, b *entry) int {
		return cmp.Compare(xxhash.Sum64String(string(a.Cohort))-me, xxhash.Sum64String(string(b.Cohort))-me)
	})
	return ring[n%len(ring)]
}

func (t *Table) pickRemote(turn uint64, rng *rand.Rand) *entry {
	var names []string
	for _, e := range t.entries {
		if e.DataCentre() != t.self.DataCentre() && e.State != Dead && !slices.Contains(names, e.DataCentre()) {
			names = append(names, e.DataCentre())
		}
	}
	if len(names) == 0 {
		return nil
	}
	slices.Sort(names)
	name := names[turn%uint64(len(names))]
	return pickRandom(t.otherMembers(func(e *entry) bool { return e.DataCentre() == name }), rng)
}

// among returns the other members that are not dead and satisfy keep, in the
// order of their cohorts.
func (t *Table) otherMembers(keep func(*entry) bool) []*entry {
	var found []*entry
	for _, e := range t.entries {
		if e != t.self && e.State != Dead && keep(e) {
			found = append(found, e)
		}
	}
	slices.SortFunc(found, func(a, b *entry) int { return cmp.Compare(a.Cohort, b.Cohort) })
	return found
}

func pickRandom(from []*entry, rng *rand.Rand) *entry {
	if len(from) == 0 {
		return nil
	}
	return from[rng.IntN(len(from))]
}

// helpers returns members to ask for an indirect probe: of the target's data
// centre first, then others, none that this instance can't reach itself.
func (t *Table) helpers(of target, rng *rand.Rand) []target {
	usable := func(e *entry) bool {
		return e.Cohort != of.cohort && e.State.Present() && e.UnreachableSince.IsZero()
	}
	own := t.otherMembers(func(e *entry) bool { return usable(e) && e.DataCentre() == of.cohort.DataCentre() })
	rest := t.otherMembers(func(e *entry) bool { return usable(e) && e.DataCentre() != of.cohort.DataCentre() })
	rng.Shuffle(len(own), func(i, j int) { own[i], own[j] = own[j], own[i] })
	rng.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	chosen := own[:min(localHelpers, len(own))]
	chosen = append(slices.Clone(chosen), rest[:min(maxHelpers-len(chosen), len(rest))]...)
	helpers := make([]target, 0, len(chosen))
	for _, e := range chosen {
		helpers = append(helpers, targetOf(e))
	}
	return helpers
}

// healing returns a dead member to try again, or nothing. Two sides that
// declared each other dead would otherwise never meet again.
func (t *Table) pickDead(rng *rand.Rand) (target, bool) {
	var dead []*entry
	for _, e := range t.entries {
		if e.State == Dead && !e.LeftGracefully && e != t.self {
			dead = append(dead, e)
		}
	}
	slices.SortFunc(dead, func(a, b *entry) int { return cmp.Compare(a.Cohort, b.Cohort) })
	e := pickRandom(dead, rng)
	if e == nil {
		return target{}, false
	}
	return targetOf(e), true
}
