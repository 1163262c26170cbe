package history

import "slices"

// chooser chooses the partners of slices. It is used for one round of decisions.
type chooser struct {
	// assignment is the one that the choices go into.
	assignment *Assignment
	keepers    []Candidate
	disksLost  int
	// out reports whether a keeper may not be given slices; nil where all may.
	out func(name string) bool
	// held counts the slices of each keeper.
	held map[string]int
}

// count takes in a slice's holders.
func (c *chooser) count(r *ShardAssignment) {
	for _, name := range r.holders() {
		c.held[name]++
	}
}

// partnersFor chooses partners for the primary of a slice: as many as disks may be lost
// at once, each in a data centre of its own while there is one, since a data centre can
// be lost whole, and one more where a decision then need not be on all disks. It returns
// fewer where there are not enough.
func (c *chooser) partnersFor(slice int, primary Candidate) []Candidate {
	taken := []Candidate{primary}
	for len(taken) <= c.disksLost {
		next, found := c.best(taken, func(k, best Candidate) bool { return c.fartherFrom(slice, taken, k, best) })
		if !found {
			return taken[1:]
		}
		taken = append(taken, next)
	}
	spare, found := c.best(taken, func(k, best Candidate) bool { return c.nearerTo(slice, primary, k, best) }, sparesOne)
	if found {
		taken = append(taken, spare)
	}
	return taken[1:]
}

// best returns the keeper that may be added to those taken, so that all conditions hold.
func (c *chooser) best(taken []Candidate, better func(k, best Candidate) bool, conditions ...func([]Candidate) bool) (Candidate, bool) {
	best, found := Candidate{}, false
	for _, k := range c.keepers {
		if contains(taken, k.Name) || c.out != nil && c.out(k.Name) || found && !better(k, best) {
			continue
		}
		with := append(slices.Clone(taken), k)
		if slices.ContainsFunc(conditions, func(holds func([]Candidate) bool) bool { return !holds(with) }) {
			continue
		}
		best, found = k, true
	}
	return best, found
}

// fartherFrom prefers a keeper whose data centre holds the slice less often, then one
// that holds it already, then the one with the fewest slices.
func (c *chooser) fartherFrom(slice int, taken []Candidate, k, best Candidate) bool {
	shared, bestShared := sharing(taken, k.DataCentre), sharing(taken, best.DataCentre)
	if shared != bestShared {
		return shared < bestShared
	}
	return c.cheaper(slice, k, best)
}

// nearerTo prefers a keeper that holds the slice already, then one in the primary's data
// centre, to which bytes cost nothing, then the one with the fewest slices.
func (c *chooser) nearerTo(slice int, primary, k, best Candidate) bool {
	holds, bestHolds := c.assignment.Shards[slice].partner(k.Name), c.assignment.Shards[slice].partner(best.Name)
	if holds != bestHolds {
		return holds
	}
	near, bestNear := k.DataCentre == primary.DataCentre, best.DataCentre == primary.DataCentre
	if near != bestNear {
		return near
	}
	return c.cheaper(slice, k, best)
}

// cheaper prefers a keeper that holds the slice already, then the one with the fewest.
func (c *chooser) cheaper(slice int, k, best Candidate) bool {
	holds, bestHolds := c.assignment.Shards[slice].partner(k.Name), c.assignment.Shards[slice].partner(best.Name)
	if holds != bestHolds {
		return holds
	}
	return c.held[k.Name] < c.held[best.Name]
}
