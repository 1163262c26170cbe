package cache

import (
	"slices"
	"sync"
)

// maxInlineHolders is the number of holders that a block stores without an allocation. Only
// prefixes shared by many programs have more.
const maxInlineHolders = 4

// block is a block of the prefix caches with the slots of the engines that hold it.
type block struct {
	hash        uint64
	overflow    []uint16
	inline      [maxInlineHolders]uint16
	inlineCount uint8
	referenced  bool
}

// shard is a part of the blocks. It evicts them by the clock algorithm: hand is the clock hand,
// block.referenced the reference bit.
type shard struct {
	mu     sync.Mutex
	index  map[uint64]uint32
	blocks []block
	limit  int
	hand   int
}

func newShard(limit int) shard { return shard{index: map[uint64]uint32{}, limit: limit} }

func (s *shard) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.blocks)
}

func (s *shard) add(hash uint64, slot uint16, v *View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.index[hash]
	if !ok {
		at = s.insert(hash)
	}
	b := &s.blocks[at]
	b.referenced = true
	b.add(slot, v)
}

// insert adds a block and returns its index; a full shard evicts another block for it.
func (s *shard) insert(hash uint64) uint32 {
	if len(s.blocks) < s.limit {
		s.blocks = append(s.blocks, block{hash: hash})
		s.index[hash] = uint32(len(s.blocks) - 1)
		return uint32(len(s.blocks) - 1)
	}
	for s.blocks[s.hand].referenced {
		s.blocks[s.hand].referenced = false
		s.hand = (s.hand + 1) % len(s.blocks)
	}
	at := uint32(s.hand)
	s.hand = (s.hand + 1) % len(s.blocks)
	delete(s.index, s.blocks[at].hash)
	s.blocks[at] = block{hash: hash}
	s.index[hash] = at
	return at
}

func (s *shard) remove(hash uint64, slot uint16) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.index[hash]
	if !ok {
		return
	}
	b := &s.blocks[at]
	b.remove(slot)
	if b.inlineCount == 0 && len(b.overflow) == 0 {
		s.deleteBlock(at)
	}
}

// deleteBlock removes the block at an index and moves the last block to that index.
func (s *shard) deleteBlock(at uint32) {
	last := uint32(len(s.blocks) - 1)
	delete(s.index, s.blocks[at].hash)
	if at != last {
		s.blocks[at] = s.blocks[last]
		s.index[s.blocks[at].hash] = at
	}
	s.blocks[last] = block{}
	s.blocks = s.blocks[:last]
	if s.hand >= len(s.blocks) {
		s.hand = 0
	}
}

// appendHolders appends the ids of the upstreams that hold the block to dst.
func (s *shard) appendHolders(hash uint64, v *View, dst []uint32) []uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.index[hash]
	if !ok {
		return dst
	}
	b := &s.blocks[at]
	b.referenced = true
	for _, slot := range b.inline[:b.inlineCount] {
		dst = v.appendUpstream(dst, slot)
	}
	for _, slot := range b.overflow {
		dst = v.appendUpstream(dst, slot)
	}
	return dst
}

// heldByMoreThan reports whether more than n engines hold the block.
func (s *shard) heldByMoreThan(hash uint64, v *View, n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.index[hash]
	if !ok {
		return false
	}
	b := &s.blocks[at]
	b.referenced = true
	if int(b.inlineCount)+len(b.overflow) <= n {
		return false
	}
	return countLive(b.inline[:b.inlineCount], v, n)+countLive(b.overflow, v, n) > n
}

// countLive returns the number of slots that are not dead. It stops counting at limit + 1.
func countLive(slots []uint16, v *View, limit int) int {
	live := 0
	for _, slot := range slots {
		if v.slotUpstreams[slot].Load() != 0 {
			live++
		}
		if live > limit {
			break
		}
	}
	return live
}

func (v *View) appendUpstream(dst []uint32, slot uint16) []uint32 {
	if id := v.slotUpstreams[slot].Load(); id != 0 {
		return append(dst, id)
	}
	return dst
}

// removeDeadSlots removes the dead slots from all blocks, and the blocks that have no slot left.
func (s *shard) removeDeadSlots(v *View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for at := 0; at < len(s.blocks); {
		b := &s.blocks[at]
		b.removeDeadSlots(v)
		if b.inlineCount == 0 && len(b.overflow) == 0 {
			s.deleteBlock(uint32(at))
			continue
		}
		at++
	}
}

func (b *block) has(slot uint16) bool {
	return slices.Contains(b.inline[:b.inlineCount], slot) || slices.Contains(b.overflow, slot)
}

func (b *block) add(slot uint16, v *View) {
	if b.has(slot) {
		return
	}
	if b.inlineCount == maxInlineHolders {
		b.removeDeadSlots(v)
	}
	if b.inlineCount < maxInlineHolders {
		b.inline[b.inlineCount] = slot
		b.inlineCount++
		return
	}
	b.overflow = append(b.overflow, slot)
}

func (b *block) remove(slot uint16) {
	if i := slices.Index(b.inline[:b.inlineCount], slot); i >= 0 {
		b.inlineCount--
		b.inline[i] = b.inline[b.inlineCount]
		return
	}
	if i := slices.Index(b.overflow, slot); i >= 0 {
		b.overflow = slices.Delete(b.overflow, i, i+1)
	}
}

// removeDeadSlots removes the dead slots from the block.
func (b *block) removeDeadSlots(v *View) {
	dead := func(slot uint16) bool { return v.slotUpstreams[slot].Load() == 0 }
	b.inlineCount = uint8(len(slices.DeleteFunc(b.inline[:b.inlineCount], dead)))
	b.overflow = slices.DeleteFunc(b.overflow, dead)
}
