package cache

// Match is the part of a chain of blocks that one engine holds.
type Match struct {
	// Upstream is the id of the engine.
	Upstream uint32
	// Blocks is the number of leading blocks of the chain that the engine holds.
	Blocks int
}

// Matches is the result of a lookup together with its scratch space. It is meant to be reused, so
// that lookups do not allocate. The zero value is ready to use.
type Matches struct {
	// Found is sorted by depth, deepest first.
	Found []Match

	// positions are the indices of the sampled blocks in the chain.
	positions []int32
	ids       []uint32
	// depths is indexed by upstream id and gives the depth, 0 for upstreams not found. The ids are
	// small numbers, so a slice is faster than a map here.
	depths []int32
}

// Depth returns the number of leading blocks that the upstream holds.
func (m *Matches) Depth(upstream uint32) int {
	if int(upstream) >= len(m.depths) {
		return 0
	}
	return int(m.depths[upstream])
}

func (m *Matches) reset() {
	for _, f := range m.Found {
		m.depths[f.Upstream] = 0
	}
	m.Found = m.Found[:0]
	m.positions = m.positions[:0]
}

func (m *Matches) add(upstream uint32, blocks int) {
	if m.Depth(upstream) > 0 {
		return
	}
	if missing := int(upstream) + 1 - len(m.depths); missing > 0 {
		m.depths = append(m.depths, make([]int32, missing)...)
	}
	m.depths[upstream] = int32(blocks)
	m.Found = append(m.Found, Match{Upstream: upstream, Blocks: blocks})
}

// Lookup finds the engines that hold leading blocks of the chain, and how many each holds.
//
// Engines evict a chain from its end, so an engine that holds a block also holds all blocks before
// it, and the set of holders only shrinks with depth. Lookup finds the few depths at which it
// shrinks by bisection, which takes a few dozen map accesses for a prompt of 120,000 tokens instead
// of thousands.
func (v *View) Lookup(chain []uint64, m *Matches) {
	m.reset()
	end := v.sample(chain, m)
	for end > 0 {
		known := len(m.Found)
		deepest := v.bisect(chain, m, end, known)
		if deepest < 0 {
			return
		}
		v.collect(chain, m, deepest)
		if len(m.Found) == known {
			return
		}
		end = deepest
	}
}

// sample records the positions of the chain's sampled blocks in m and returns their number. Without
// sampling every block counts and nothing is recorded.
func (v *View) sample(chain []uint64, m *Matches) int {
	if v.mask == 0 {
		return len(chain)
	}
	for i, hash := range chain {
		if hash&v.mask == 0 {
			m.positions = append(m.positions, int32(i))
		}
	}
	return len(m.positions)
}

// position returns the index in the chain of the sampled block n.
func (v *View) position(m *Matches, n int) int {
	if v.mask == 0 {
		return n
	}
	return int(m.positions[n])
}

// bisect returns the deepest sampled position before end whose block has more than known holders, or
// -1 if there is none.
func (v *View) bisect(chain []uint64, m *Matches, end, known int) int {
	low, high := 0, end
	for low < high {
		middle := (low + high) / 2
		hash := chain[v.position(m, middle)]
		if v.shard(hash).heldByMoreThan(hash, v, known) {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low - 1
}

// collect adds the holders of the block at a sampled position that have not been found yet.
func (v *View) collect(chain []uint64, m *Matches, position int) {
	at := v.position(m, position)
	m.ids = v.shard(chain[at]).appendHolders(chain[at], v, m.ids[:0])
	for _, id := range m.ids {
		m.add(id, at+1)
	}
}
