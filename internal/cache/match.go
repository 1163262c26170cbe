package cache

// Match is the depth to which one engine holds a chain.
type Match struct {
	Upstream uint32
	// Blocks is the number of leading blocks held.
	Blocks int
}

// Matches is the result of a lookup with its scratch space; it is reused so
// that a lookup allocates nothing. The zero value is ready.
type Matches struct {
	// Found is in order of falling depth.
	Found []Match

	positions []int32
	ids       []uint32
	// depths holds the depth for each upstream's id, 0 for those not found.
	// Ids are small numbers, so an array beats a map on this path.
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

// Lookup finds which engines hold how much of the chain.
//
// Engines evict a chain from its end, so the holders of a block hold what lies
// before it, and the set of holders only shrinks with depth. Lookup searches
// the few depths at which it shrinks by bisection, which takes some dozens of
// map accesses for a prompt of 120,000 tokens instead of thousands.
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

// sample notes where the kept blocks of the chain stand and returns their
// number; without sampling every block is kept and nothing is noted.
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

func (v *View) position(m *Matches, n int) int {
	if v.mask == 0 {
		return n
	}
	return int(m.positions[n])
}

// bisect returns the deepest sampled position before end with more than known holders, or -1.
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

// collect adds the holders at a position that are not yet found.
func (v *View) collect(chain []uint64, m *Matches, position int) {
	at := v.position(m, position)
	m.ids = v.shard(chain[at]).appendHolders(chain[at], v, m.ids[:0])
	for _, id := range m.ids {
		m.add(id, at+1)
	}
}
