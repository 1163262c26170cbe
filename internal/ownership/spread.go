package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"foxhall/internal/program"
)

// maxSuccessors bounds how many instances read one sealed log. Each reads all
// of it: at 74 instances in a data centre (letter 1) and 1,024 entries a spread
// over all would take 75,000 reads, 38 s of all the object API's reads.
const maxSuccessors = 8

// Spread maps the slices of a cohort to the members by their weights: each gets
// its share of the slices, rounded by largest remainder. The result depends
// only on the arguments, not on the order of members.
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

// Rank orders the members by a hash with the cohort, so that different dead
// cohorts fall to different survivors first and all survivors agree on it.
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

// quotas shares the slices out by weight with the largest remainders.
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

func effectiveWeight(m Member) float64 {
	if m.Weight <= 0 {
		return 1
	}
	return m.Weight
}
