package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"foxhall/internal/program"
)

// maxSuccessors is the maximum number of instances that read one sealed log. Each reads all of it:
// with 74 instances in a data centre and 1,024 entries, a distribution over all of them would take
// 75,000 reads, which take the object API's whole read rate for 38 s.
const maxSuccessors = 8

// DistributeShards maps the shards of a cohort to at most maxSuccessors members in proportion to
// their weights, rounded by largest remainder. The result does not depend on the order of members.
func DistributeShards(c program.Cohort, members []Member) [program.ShardCount]program.Cohort {
	var successors [program.ShardCount]program.Cohort
	chosen := RankMembers(c, members)
	chosen = chosen[:min(len(chosen), maxSuccessors)]
	if len(chosen) == 0 {
		return successors
	}
	next := 0
	for i, count := range shardCounts(chosen) {
		for range count {
			successors[next] = chosen[i].Cohort
			next++
		}
	}
	return successors
}

// RankMembers orders the members by a hash of each with the cohort. All survivors compute the same
// order, and different dead cohorts have different survivors in the first rank.
func RankMembers(c program.Cohort, members []Member) []Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Member) int {
		return cmp.Or(cmp.Compare(rankHash(c, a), rankHash(c, b)), cmp.Compare(a.Cohort, b.Cohort))
	})
	return ranked
}

func rankHash(c program.Cohort, m Member) uint64 {
	return xxhash.Sum64String(string(c) + "\x00" + string(m.Cohort))
}

// shardCounts returns the number of shards for each member, by weight with largest remainders.
func shardCounts(members []Member) []int {
	total := 0.0
	for _, m := range members {
		total += effectiveWeight(m)
	}
	counts := make([]int, len(members))
	order := make([]int, len(members))
	remainders := make([]float64, len(members))
	unassigned := program.ShardCount
	for i, m := range members {
		share := effectiveWeight(m) / total * program.ShardCount
		counts[i] = int(share)
		remainders[i] = share - float64(counts[i])
		order[i] = i
		unassigned -= counts[i]
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(remainders[b], remainders[a]) })
	for i := range unassigned {
		counts[order[i%len(order)]]++
	}
	return counts
}

// effectiveWeight returns the member's weight, or 1 if none is set.
func effectiveWeight(m Member) float64 {
	if m.Weight <= 0 {
		return 1
	}
	return m.Weight
}
