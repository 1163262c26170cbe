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
	var spread [program.ShardCount]program.Cohort
	chosen := Rank(c, members)
	chosen = chosen[:min(len(chosen), maxSuccessors)]
	if len(chosen) == 0 {
		return spread
	}
	at := 0
	for i, count := range quotas(chosen) {
		for range count {
			spread[at] = chosen[i].Cohort
			at++
		}
	}
	return spread
}

// Rank orders the members by a hash with the cohort, so that different dead
// cohorts fall to different survivors first and all survivors agree on it.
func Rank(c program.Cohort, members []Member) []Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Member) int {
		return cmp.Or(cmp.Compare(rankOf(c, a), rankOf(c, b)), cmp.Compare(a.Cohort, b.Cohort))
	})
	return ranked
}

func rankOf(c program.Cohort, m Member) uint64 {
	return xxhash.Sum64String(string(c) + "\x00" + string(m.Cohort))
}

// quotas shares the slices out by weight with the largest remainders.
func quotas(members []Member) []int {
	total := 0.0
	for _, m := range members {
		total += weight(m)
	}
	counts := make([]int, len(members))
	order := make([]int, len(members))
	rest := make([]float64, len(members))
	left := program.ShardCount
	for i, m := range members {
		share := weight(m) / total * program.ShardCount
		counts[i] = int(share)
		rest[i] = share - float64(counts[i])
		order[i] = i
		left -= counts[i]
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(rest[b], rest[a]) })
	for i := range left {
		counts[order[i%len(order)]]++
	}
	return counts
}

func weight(m Member) float64 {
	if m.Weight <= 0 {
		return 1
	}
	return m.Weight
}
