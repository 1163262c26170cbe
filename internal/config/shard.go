package config

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"foxhall/internal/plan"
	"foxhall/internal/usage"
)

// A section is divided into a power of two of shards by the hash of the
// entry's name. With s shards of n entries an edit moves s digests and n/s
// entries; about 32 entries to a shard is near the least sum at 5,000 plans.
// The number is kept while shards hold between 8 and 64 entries, so that the
// size of a list may waver without every chunk moving.
const (
	targetShardEntries = 32
	minShardEntries    = 8
	maxShardEntries    = 64
)

// named is one entry of a section.
type named interface {
	plan.Plan | usage.Model | usage.Service | usage.Upstream | usage.Grant
}

// nameOf returns the name by which an entry is sharded and compared.
func nameOf[T named](entry *T) string {
	switch e := any(entry).(type) {
	case *plan.Plan:
		return e.Name
	case *usage.Model:
		return e.Name
	case *usage.Service:
		return e.Name
	case *usage.Upstream:
		return e.Name
	case *usage.Grant:
		return e.Plan
	}
	panic("config: an entry without a name")
}

// shardCount returns the number of shards for entries, given the number so far.
func shardCount(entries, previous int) int {
	if previous > 0 && entries >= previous*minShardEntries && entries <= previous*maxShardEntries {
		return previous
	}
	count := 1
	for count*targetShardEntries < entries {
		count *= 2
	}
	return count
}

// divide packs a section's entries into shards and adds their chunks.
func splitIntoShards[T named](entries []T, previous Shards, chunks Chunks) (Shards, error) {
	count := shardCount(len(entries), len(previous))
	parts := make([][]T, count)
	for _, entry := range sorted(entries) {
		shard := xxhash.Sum64String(nameOf(&entry)) % uint64(count)
		parts[shard] = append(parts[shard], entry)
	}
	shards := make(Shards, count)
	for i, part := range parts {
		if len(part) == 0 {
			continue
		}
		digest, packed, err := packChunk(part)
		if err != nil {
			return nil, err
		}
		shards[i] = digest
		chunks[digest] = packed
	}
	return shards, nil
}

func sorted[T named](entries []T) []T {
	return slices.SortedFunc(slices.Values(entries), func(a, b T) int { return cmp.Compare(nameOf(&a), nameOf(&b)) })
}

// pack divides both lists into shards and returns all their chunks.
func pack(plans *plan.List, list *usage.List, previous *Sections) (sections Sections, chunks Chunks, err error) {
	chunks = Chunks{}
	if sections.Plans, err = splitIntoShards(plans.Plans, previous.Plans, chunks); err != nil {
		return
	}
	if sections.Models, err = splitIntoShards(list.Models, previous.Models, chunks); err != nil {
		return
	}
	if sections.Services, err = splitIntoShards(list.Services, previous.Services, chunks); err != nil {
		return
	}
	if sections.Upstreams, err = splitIntoShards(list.Upstreams, previous.Upstreams, chunks); err != nil {
		return
	}
	sections.Grants, err = splitIntoShards(list.Grants, previous.Grants, chunks)
	return
}

// decoded keeps the entries of unpacked shards, so that an edit costs the
// unpacking of the chunks that it changed.
type decodedShards struct {
	plans     map[Digest][]plan.Plan
	models    map[Digest][]usage.Model
	services  map[Digest][]usage.Service
	upstreams map[Digest][]usage.Upstream
	grants    map[Digest][]usage.Grant
}

// join gathers a section's entries, from the shards decoded before where it can.
func decodeShards[T named](shards Shards, chunks Chunks, previous map[Digest][]T) ([]T, map[Digest][]T, error) {
	byDigest := make(map[Digest][]T, len(shards))
	total := 0
	for _, digest := range shards {
		if digest == emptyDigest {
			continue
		}
		part, ok := previous[digest]
		if !ok {
			if err := unpackChunk(digest, chunks[digest], &part); err != nil {
				return nil, nil, err
			}
		}
		byDigest[digest] = part
		total += len(part)
	}
	entries := make([]T, 0, total)
	for _, digest := range shards {
		entries = append(entries, byDigest[digest]...)
	}
	return entries, byDigest, nil
}

// unpack returns the lists that the sections name. All chunks must be there.
func unpack(sections *Sections, chunks Chunks, previous *decodedShards) (*plan.List, *usage.List, *decodedShards, error) {
	decoded, list := &decodedShards{}, &usage.List{}
	plans, planShards, err := decodeShards(sections.Plans, chunks, previous.plans)
	if err != nil {
		return nil, nil, nil, err
	}
	decoded.plans = planShards
	if list.Models, decoded.models, err = decodeShards(sections.Models, chunks, previous.models); err != nil {
		return nil, nil, nil, err
	}
	if list.Services, decoded.services, err = decodeShards(sections.Services, chunks, previous.services); err != nil {
		return nil, nil, nil, err
	}
	if list.Upstreams, decoded.upstreams, err = decodeShards(sections.Upstreams, chunks, previous.upstreams); err != nil {
		return nil, nil, nil, err
	}
	if list.Grants, decoded.grants, err = decodeShards(sections.Grants, chunks, previous.grants); err != nil {
		return nil, nil, nil, err
	}
	list.Index()
	return plan.Restore(plans), list, decoded, nil
}

// missing returns the chunks that the sections name and chunks lacks.
func (c Chunks) missing(sections *Sections) []Digest {
	missing := map[Digest]struct{}{}
	sections.digests(func(d Digest) {
		if c[d] == nil {
			missing[d] = struct{}{}
		}
	})
	return slices.Collect(maps.Keys(missing))
}
