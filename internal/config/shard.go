package config

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"foxhall/internal/plan"
	"foxhall/internal/usage"
)

// Entries per shard. A section is divided by the hash of the entry's name into a number of shards
// that is a power of two. With s shards of n entries in total, an edit transfers s digests and n/s
// entries; about 32 entries in a shard are near the minimum of this sum at 5,000 plans. The number of
// shards stays the same while they have between 8 and 64 entries on average, so that small changes
// of a list's size do not change every chunk.
const (
	targetShardEntries = 32
	minShardEntries    = 8
	maxShardEntries    = 64
)

// named is the constraint of the types of entries.
type named interface {
	plan.Plan | usage.Model | usage.Service | usage.Upstream | usage.Grant
}

// nameOf returns the name that identifies an entry within its section.
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
	panic("config: unknown type of entry")
}

// shardCount returns the number of shards for a number of entries, given the previous number of shards.
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

// splitIntoShards packs a section's entries into shards, adds their chunks to chunks and returns the
// shards' digests.
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

// pack splits both lists into shards and returns the sections with all their chunks.
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

// decodedShards caches the entries of unpacked shards, so that after an edit only the changed chunks
// are unpacked.
type decodedShards struct {
	plans     map[Digest][]plan.Plan
	models    map[Digest][]usage.Model
	services  map[Digest][]usage.Service
	upstreams map[Digest][]usage.Upstream
	grants    map[Digest][]usage.Grant
}

// decodeShards returns a section's entries, together and by shard. It reuses the shards in previous.
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

// unpack returns the lists that the sections reference. All their chunks must be in chunks or, decoded,
// in previous.
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

// missing returns the digests of the chunks that the sections reference and c does not contain.
func (c Chunks) missing(sections *Sections) []Digest {
	missing := map[Digest]struct{}{}
	sections.digests(func(d Digest) {
		if c[d] == nil {
			missing[d] = struct{}{}
		}
	})
	return slices.Collect(maps.Keys(missing))
}
