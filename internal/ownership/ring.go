package ownership

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"foxhall/internal/ledger"
	"foxhall/internal/program"
)

// breakRings gives an owner to shards whose seals form a ring.
//
// A ring arises if two instances stop at the same time and each names the other as its successor
// before it knows of the other's stop. Both logs are sealed, the chain of seals never ends, and the
// programs would have no owner for ever. breakRings changes the successors in the object of one
// cohort of the ring by conditional update. All instances choose the same cohort, the one sealed
// last, so that the chain leaves the ring at exactly one cohort, and the programs of all cohorts in
// the ring get the same owner.
func (rc *Reconciler) breakRings(ctx context.Context, cohorts map[program.Cohort]*ledger.Cohort) error {
	// A living instance may not know yet that its log is sealed: shards given to it would stay in
	// a ring.
	candidates := slices.DeleteFunc(slices.Clone(rc.options.Members.Living()), func(m Member) bool {
		c := cohorts[m.Cohort]
		return c != nil && c.Seal != nil
	})
	if len(candidates) == 0 {
		return nil // isolated, as in takeOverDead
	}
	reassignments := rc.findRings(ctx, cohorts)
	var failed error
	for _, c := range slices.Sorted(mapKeys(reassignments)) {
		if time.Since(cohorts[c].Seal.At) < rc.rankDelay(c, candidates) {
			continue
		}
		if err := rc.reassignShards(ctx, cohorts, c, reassignments[c], DistributeShards(c, candidates)); failed == nil {
			failed = err
		}
	}
	return failed
}

// findRings returns the shards whose chain of seals ends in a ring, by the cohort whose successors
// are to be changed.
func (rc *Reconciler) findRings(ctx context.Context, cohorts map[program.Cohort]*ledger.Cohort) map[program.Cohort][]int {
	reassignments := map[program.Cohort][]int{}
	for _, c := range slices.Sorted(mapKeys(cohorts)) {
		for shard := range program.ShardCount {
			if !rc.awaitsAdoption(cohorts[c], shard) {
				continue
			}
			_, ring, err := rc.directory.followSeals(ctx, c, shard)
			if err != nil || ring == nil {
				continue
			}
			last := lastSealed(cohorts, ring)
			if last != "" && !slices.Contains(reassignments[last], shard) {
				reassignments[last] = append(reassignments[last], shard)
			}
		}
	}
	return reassignments
}

// lastSealed returns the ring's cohort with the latest seal among those that still have an object,
// or "" if there is none.
func lastSealed(cohorts map[program.Cohort]*ledger.Cohort, ring []program.Cohort) program.Cohort {
	var last program.Cohort
	for _, c := range ring {
		if cohorts[c] == nil || cohorts[c].Seal == nil {
			continue
		}
		if last == "" || cmp.Or(cohorts[c].Seal.At.Compare(cohorts[last].Seal.At), cmp.Compare(c, last)) > 0 {
			last = c
		}
	}
	return last
}

// reassignShards changes the successors of some shards in a sealed cohort's object.
func (rc *Reconciler) reassignShards(ctx context.Context, cohorts map[program.Cohort]*ledger.Cohort, c program.Cohort, shards []int, successors [program.ShardCount]program.Cohort) error {
	previous := cohorts[c].Seal.Successors
	err := ledger.UpdateCohort(ctx, rc.options.Store, c, func(current *ledger.Cohort) bool {
		changed := false
		for _, shard := range shards {
			if current.Seal.Successors[shard] == previous[shard] && successors[shard] != "" {
				current.Seal.Successors[shard] = successors[shard]
				changed = true
			}
		}
		*cohorts[c] = *current
		return changed
	})
	if err != nil {
		return err
	}
	rc.directory.ObserveSeal(*cohorts[c])
	rc.log.WithFields(log.Fields{"sealed": string(c), "slices": len(shards)}).Warn("ring of seals broken")
	rc.notify(ctx, *cohorts[c])
	return nil
}
