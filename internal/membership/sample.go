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
	// maxChangedRecords bounds the records of recent changes in a message.
	maxChangedRecords = 6
	// randomRecords is the number of further records in a message, chosen at
	// random, so that a change that an instance missed still reaches it.
	randomRecords = 2
	// maxCorrections bounds the records in a response that correct outdated
	// records of the sender.
	maxCorrections = 4
	// transmissionFactor times the binary logarithm of the fleet's size is the
	// number of messages that carry a change (SWIM, section 4.1).
	transmissionFactor = 3
	// ringSuccessors is the number of members that each instance probes on the
	// ring of its data centre, so that each member is probed by as many.
	ringSuccessors = 2
	// localHelpers and maxHelpers bound the helpers of an indirect probe: those
	// in the target's data centre, and all of them.
	localHelpers = 2
	maxHelpers   = 3
)

// piggyback returns the records for a message to a cohort: the receiver's own
// record if it is suspect or dead or has witnesses, recent changes with the fewest
// transmissions first, and a few random others.
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

// corrections returns this instance's records that supersede the received ones.
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

// target identifies a member to probe.
type target struct {
	cohort      program.Cohort
	address     string
	incarnation uint64
}

func targetOf(e *entry) target {
	return target{cohort: e.Cohort, address: e.Address, incarnation: e.Incarnation}
}

// targets returns the members to probe in a period: a successor on the ring in
// each period, a random member of the data centre in every second, and a member
// of another data centre in every fourth, the data centres in turn. The number
// does not depend on the size of the fleet.
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
	selfHash := xxhash.Sum64String(string(t.self.Cohort))
	slices.SortFunc(ring, func(a, b *entry) int {
		return cmp.Compare(xxhash.Sum64String(string(a.Cohort))-selfHash, xxhash.Sum64String(string(b.Cohort))-selfHash)
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

// otherMembers returns the members other than this instance that are not dead
// and satisfy keep, in the order of their cohorts.
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

// helpers returns the members to ask for an indirect probe: those of the
// target's data centre first, then others, none that this instance can't reach.
func (t *Table) helpers(unreached target, rng *rand.Rand) []target {
	usable := func(e *entry) bool {
		return e.Cohort != unreached.cohort && e.State.Present() && e.UnreachableSince.IsZero()
	}
	local := t.otherMembers(func(e *entry) bool { return usable(e) && e.DataCentre() == unreached.cohort.DataCentre() })
	remote := t.otherMembers(func(e *entry) bool { return usable(e) && e.DataCentre() != unreached.cohort.DataCentre() })
	rng.Shuffle(len(local), func(i, j int) { local[i], local[j] = local[j], local[i] })
	rng.Shuffle(len(remote), func(i, j int) { remote[i], remote[j] = remote[j], remote[i] })
	chosen := local[:min(localHelpers, len(local))]
	chosen = append(slices.Clone(chosen), remote[:min(maxHelpers-len(chosen), len(remote))]...)
	helpers := make([]target, 0, len(chosen))
	for _, e := range chosen {
		helpers = append(helpers, targetOf(e))
	}
	return helpers
}

// pickDead returns a random dead member to probe, if there is one. Two sides of
// a network partition that declared each other dead would otherwise never rejoin.
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
