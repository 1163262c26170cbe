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

// breakRings gives an owner to slices whose seals form a ring.
//
// The failure: two instances stop at the same time and each names the other
// before it knows. Both logs are sealed, the chain of seals never ends, and
// the programs are owned by nobody for good. The map in the object of one
// cohort of the ring is changed by conditional update; everybody picks the
// same one, the last sealed, so that the ring gets exactly one way out and all
// that was in it leaves there.
func (k *Reconciler) breakRings(ctx context.Context, cohorts map[program.Cohort]*ledger.Cohort) error {
	// An instance that lives may not know yet that its log is sealed: slices given to it would
	// stay in a ring.
	candidates := slices.DeleteFunc(slices.Clone(k.options.Members.Living()), func(m Member) bool {
		c := cohorts[m.Cohort]
		return c != nil && c.Seal != nil
	})
	if len(candidates) == 0 {
		return nil // cut off, as in takeOverDead
	}
	exits := k.findRings(ctx, cohorts)
	var failed error
	for _, c := range slices.Sorted(mapKeys(exits)) {
		if time.Since(cohorts[c].Seal.At) < k.rankDelay(c, candidates) {
			continue
		}
		if err := k.reassignShards(ctx, cohorts, c, exits[c], DistributeShards(c, candidates)); failed == nil {
			failed = err
		}
	}
	return failed
}

// rings returns the slices that are in a ring by the cohort that is to let them out.
func (k *Reconciler) findRings(ctx context.Context, cohorts map[program.Cohort]*ledger.Cohort) map[program.Cohort][]int {
	exits := map[program.Cohort][]int{}
	for _, c := range slices.Sorted(mapKeys(cohorts)) {
		for shard := range program.ShardCount {
			if !k.awaitsAdoption(cohorts[c], shard) {
				continue
			}
			_, ring, err := k.directory.followSeals(ctx, c, shard)
			if err != nil || ring == nil {
				continue
			}
			exit := lastSealed(cohorts, ring)
			if exit != "" && !slices.Contains(exits[exit], shard) {
				exits[exit] = append(exits[exit], shard)
			}
		}
	}
	return exits
}

// lastSealed picks the ring's cohort with the latest seal among those that still have their object.
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

// amend gives slices of a sealed cohort to other successors than its seal did.
func (k *Reconciler) reassignShards(ctx context.Context, cohorts map[program.Cohort]*ledger.Cohort, c program.Cohort, shards []int, successors [program.ShardCount]program.Cohort) error {
	previous := cohorts[c].Seal.Successors
	err := ledger.UpdateCohort(ctx, k.options.Store, c, func(current *ledger.Cohort) bool {
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
	k.directory.ObserveSeal(*cohorts[c])
	k.log.WithFields(log.Fields{"sealed": string(c), "slices": len(shards)}).Warn("ring of seals broken")
	k.notify(ctx, *cohorts[c])
	return nil
}
