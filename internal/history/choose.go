package history

import "slices"

// backupSelector selects the backups of shards. It is used for one pass of the reconciler.
type backupSelector struct {
	// assignment is the one under construction.
	assignment      *Assignment
	keepers         []Candidate
	maxDiskFailures int
	// excluded reports whether a keeper may not be given shards; nil if all may.
	excluded func(name string) bool
	// shardsHeld counts the shards of each keeper.
	shardsHeld map[string]int
}

// countHolders adds a shard's holders to shardsHeld.
func (c *backupSelector) countHolders(r *ShardAssignment) {
	for _, name := range r.holders() {
		c.shardsHeld[name]++
	}
}

// selectBackups selects backups for the primary of a shard: maxDiskFailures of them, in distinct
// data centres where possible, since a data centre can fail as a whole, and one more where that
// makes one backup optional. It returns fewer if there are not enough keepers.
func (c *backupSelector) selectBackups(shardID int, primary Candidate) []Candidate {
	taken := []Candidate{primary}
	for len(taken) <= c.maxDiskFailures {
		next, found := c.bestCandidate(taken, func(k, best Candidate) bool { return c.betterSpread(shardID, taken, k, best) })
		if !found {
			return taken[1:]
		}
		taken = append(taken, next)
	}
	optional, found := c.bestCandidate(taken, func(k, best Candidate) bool { return c.betterOptional(shardID, primary, k, best) }, allowsOptionalBackup)
	if found {
		taken = append(taken, optional)
	}
	return taken[1:]
}

// bestCandidate returns the best keeper to add to those taken. Each condition must hold for the
// list with the keeper added.
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

// betterSpread prefers a keeper whose data centre has fewer of the taken keepers, then a present
// backup, then the keeper with the fewest shards.
func (c *backupSelector) betterSpread(shardID int, taken []Candidate, k, best Candidate) bool {
	shared, bestShared := countInDataCentre(taken, k.DataCentre), countInDataCentre(taken, best.DataCentre)
	if shared != bestShared {
		return shared < bestShared
	}
	return c.lowerCost(shardID, k, best)
}

// betterOptional prefers a present backup, then a keeper in the primary's data centre, to which
// traffic is free, then the keeper with the fewest shards.
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

// lowerCost prefers a present backup, then the keeper with the fewest shards.
func (c *backupSelector) lowerCost(shardID int, k, best Candidate) bool {
	current, bestCurrent := c.assignment.Shards[shardID].hasBackup(k.Name), c.assignment.Shards[shardID].hasBackup(best.Name)
	if current != bestCurrent {
		return current
	}
	return c.shardsHeld[k.Name] < c.shardsHeld[best.Name]
}
