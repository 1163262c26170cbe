package standin

import "container/list"

// blockCache is an engine's prefix cache: blocks identified by hash, up to a capacity in blocks.
// Blocks of running calls are pinned and not evicted. Of the others, blocks that no program holds
// are evicted first, then held blocks; each group in least-recently-used order.
type blockCache struct {
	capacity int
	blocks   map[uint64]*cacheBlock
	programs map[string]map[uint64]struct{}
	unheld   *list.List
	held     *list.List
}

type cacheBlock struct {
	hash    uint64
	pins    int
	holders map[string]struct{}
	element *list.Element
	lru     *list.List
}

func newBlockCache(capacity int) *blockCache {
	return &blockCache{
		capacity: capacity,
		blocks:   map[uint64]*cacheBlock{},
		programs: map[string]map[uint64]struct{}{},
		unheld:   list.New(),
		held:     list.New(),
	}
}

// match returns the length of the longest prefix of hashes that is cached.
func (c *blockCache) match(hashes []uint64) int {
	for i, hash := range hashes {
		if c.blocks[hash] == nil {
			return i
		}
	}
	return len(hashes)
}

// pin protects the blocks from eviction until unpin. All of them must be cached.
func (c *blockCache) pin(hashes []uint64) {
	for _, hash := range hashes {
		b := c.blocks[hash]
		b.pins++
		b.unlink()
	}
}

// unpin releases the pins in reverse order, so that a chain's tail is evicted before its head.
func (c *blockCache) unpin(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		b := c.blocks[hashes[i]]
		b.pins--
		c.link(b)
	}
}

// store adds the chain of blocks, held by the program, and pins the prefix that fits. It returns
// that prefix, the blocks that were added and those that were evicted.
func (c *blockCache) store(hashes []uint64, program string) (pinned, added, evicted []uint64) {
	for i, hash := range hashes {
		b := c.blocks[hash]
		if b == nil {
			newlyEvicted, ok := c.ensureCapacity()
			evicted = append(evicted, newlyEvicted...)
			if !ok {
				return hashes[:i], added, evicted
			}
			b = &cacheBlock{hash: hash, holders: map[string]struct{}{}}
			c.blocks[hash] = b
			added = append(added, hash)
		}
		b.pins++
		b.unlink()
		c.addHolder(b, program)
	}
	return hashes, added, evicted
}

func (c *blockCache) addHolder(b *cacheBlock, program string) {
	if program == "" {
		return
	}
	b.holders[program] = struct{}{}
	set := c.programs[program]
	if set == nil {
		set = map[uint64]struct{}{}
		c.programs[program] = set
	}
	set[b.hash] = struct{}{}
}

func (c *blockCache) ensureCapacity() (evicted []uint64, ok bool) {
	for len(c.blocks) >= c.capacity {
		victim := c.unheld.Back()
		if victim == nil {
			victim = c.held.Back()
		}
		if victim == nil {
			return evicted, false
		}
		b := victim.Value.(*cacheBlock)
		b.unlink()
		c.deleteBlock(b)
		evicted = append(evicted, b.hash)
	}
	return evicted, true
}

func (c *blockCache) deleteBlock(b *cacheBlock) {
	delete(c.blocks, b.hash)
	for program := range b.holders {
		delete(c.programs[program], b.hash)
		if len(c.programs[program]) == 0 {
			delete(c.programs, program)
		}
	}
}

// release removes the program as a holder. Blocks without another holder stay cached and become
// the first to be evicted.
func (c *blockCache) release(program string) {
	for hash := range c.programs[program] {
		b := c.blocks[hash]
		delete(b.holders, program)
		if b.pins == 0 && len(b.holders) == 0 {
			b.unlink()
			b.lru = c.unheld
			b.element = c.unheld.PushBack(b)
		}
	}
	delete(c.programs, program)
}

func (c *blockCache) link(b *cacheBlock) {
	b.unlink()
	if b.pins > 0 {
		return
	}
	b.lru = c.unheld
	if len(b.holders) > 0 {
		b.lru = c.held
	}
	b.element = b.lru.PushFront(b)
}

func (b *cacheBlock) unlink() {
	if b.element == nil {
		return
	}
	b.lru.Remove(b.element)
	b.element = nil
}
