package history

import "slices"

// chooser chooses the partners of slices. It is used for one round of decisions.
type backupSelector struct {
	// assignment is the one that the choices go into.
	assignment      *Assignment
	keepers         []Candidate
	maxDiskFailures int
	// out reports whether a keeper may not be given slices; nil where all may.
	excluded func(name string) bool
	// held counts the slices of each keeper.
	shardsHeld map[string]int
}

// count takes in a slice's holders.
func (c *backupSelector) countHolders(r *ShardAssignment) {
	for _, name := range r.holders() {
		c.shardsHeld[name]++
	}
}

// partnersFor chooses partners for the primary of a slice: as many as disks may be lost
// at once, each in a data centre of its own while there is one, since a data centre can
// be lost whole, and one more where a decision then need not be on all disks. It returns
// fewer where there are not enough.
func (c *backupSelector) selectBackups(shardID int, primary Candidate) []Candidate {
	taken := []Candidate{primary}
	for len(taken) <= c.maxDiskFailures {
		next, found := c.bestCandidate(taken, func(k, best Candidate) bool { return c.betterSpread(shardID, taken, k, best) })
		if !found {
			return taken[1:]
		}
		taken = append(taken, next)
	}
	spare, found := c.bestCandidate(taken, func(k, best Candidate) bool { return c.betterOptional(shardID, primary, k, best) }, allowsOptionalBackup)
	if found {
		taken = append(taken, spare)
	}
	return taken[1:]
}

// best returns the keeper that may be added to those taken, so that all conditions hold.
func (c *backupSelector) bestCandidate(taken []Candidate, better func(k, best Candidate) bool, conditions ...func([]Candidate) bool) (Candidate, bool) {
	best, found := Candidate{}, false
	for _, k := range c.keepers {
		if containsKeeper(taken, k.Name) || c.excluded != nil && c.excluded(k.Name) || found && !better(k, best) {
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
func (c *backupSelector) betterSpread(shardID int, taken []Candidate, k, best Candidate) bool {
	shared, bestShared := countInDataCentre(taken, k.DataCentre), countInDataCentre(taken, best.DataCentre)
	if shared != bestShared {
		return shared < bestShared
	}
	return c.lowerCost(shardID, k, best)
}

// nearerTo prefers a keeper that holds the slice already, then one in the primary's data
// centre, to which bytes cost nothing, then the one with the fewest slices.
func (c *backupSelector) betterOptional(shardID int, primary, k, best Candidate) bool {
	current, bestCurrent := c.assignment.Shards[shardID].hasBackup(k.Name), c.assignment.Shards[shardID].hasBackup(best.Name)
	if current != bestCurrent {
		return current
	}
	near, bestNear := k.DataCentre == primary.DataCentre, best.DataCentre == primary.DataCentre
	if near != bestNear {
		return near
	}
	return c.lowerCost(shardID, k, best)
}

// cheaper prefers a keeper that holds the slice already, then the one with the fewest.
func (c *backupSelector) lowerCost(shardID int, k, best Candidate) bool {
	current, bestCurrent := c.assignment.Shards[shardID].hasBackup(k.Name), c.assignment.Shards[shardID].hasBackup(best.Name)
	if current != bestCurrent {
		return current
	}
	return c.shardsHeld[k.Name] < c.shardsHeld[best.Name]
}
