// Package cache holds an instance's view of the engines' prefix caches: which
// engine holds which hashed blocks. It is built from what was sent and
// corrected by the engines' late cache events.
//
// The view is an estimate for placement; a wrong entry costs a repeated
// prefill and never a wrong answer. Its memory is bounded.
package cache

import (
	"sync"
	"sync/atomic"

	"foxhall/internal/engine"
)

const (
	shardCount = 64
	// slotCount is the number of holder slots; an engine takes a new one each
	// time its part of the view is dropped.
	slotCount = 1 << 14
)

// View is the prefix view of one data centre's engines. It is safe for
// concurrent use; each lookup takes one shard's lock for one map access.
type View struct {
	shards [shardCount]shard
	// mask selects the blocks that are kept: those whose hash has none of its
	// bits. Engines' hashes are sampled alike, so a mask of 3 keeps a quarter
	// of the memory and finds depths to about four blocks.
	mask uint64
	// owners maps a slot to the upstream that has it, 0 where it is dead.
	slotUpstreams [slotCount]atomic.Uint32

	mu      sync.Mutex
	streams map[uint32]*eventStream
	// free are slots that no block names; dead ones may still be named.
	free, dead []uint16
}

// holder is the state of one engine's event stream.
type eventStream struct {
	slot uint16
	boot string
	seq  uint64
	// trusted is false from a gap to the next resync.
	trusted bool
	// misses counts answers in a row that showed much less cached than the view had.
	misses int
}

// Options bound a view.
type Options struct {
	// MaxBlocks bounds the blocks that are kept.
	MaxBlocks int
	// SampleBits is the number of hash bits that must be zero for a block to be kept.
	SampleBits int
}

// DefaultOptions are for a data centre of some dozens of engines.
var DefaultOptions = Options{MaxBlocks: 1 << 20}

// New returns an empty view.
func New(o Options) *View {
	v := &View{mask: 1<<o.SampleBits - 1, streams: map[uint32]*eventStream{}}
	for slot := uint16(slotCount - 1); slot > 0; slot-- {
		v.free = append(v.free, slot)
	}
	for i := range v.shards {
		v.shards[i] = newShard(max(1, o.MaxBlocks/shardCount))
	}
	return v
}

// Sent notes that the engine was sent a prompt with this chain of blocks.
func (v *View) RecordSent(id uint32, chain []uint64) {
	slot := v.slotOf(id)
	v.addBlocks(slot, chain)
}

func (v *View) addBlocks(slot uint16, chain []uint64) {
	for _, hash := range chain {
		if hash&v.mask == 0 {
			v.shard(hash).add(hash, slot, v)
		}
	}
}

// Lost notes that an answer showed the engine to hold only the first part of
// the chain: what lies behind was evicted without our hearing of it.
func (v *View) MarkEvicted(id uint32, chain []uint64, kept int) {
	slot := v.slotOf(id)
	for _, hash := range chain[min(kept, len(chain)):] {
		if hash&v.mask == 0 {
			v.shard(hash).remove(hash, slot)
		}
	}
}

// Drop forgets what the engine holds.
func (v *View) Drop(id uint32) {
	v.mu.Lock()
	defer v.mu.Unlock()
	stream := v.streams[id]
	if stream == nil {
		return
	}
	v.retireSlot(stream.slot)
	delete(v.streams, id)
}

// Apply takes in a cache event. It returns true where the engine's state must
// be read again: events are missing, or the engine has restarted. Its part of
// the view is then dropped at once, since the missing events may be evictions
// of anything, and later events are ignored until Resync.
func (v *View) Apply(id uint32, event engine.Event) (resync bool) {
	v.mu.Lock()
	stream := v.stream(id)
	if stream.boot == "" && event.Seq == 1 {
		stream.boot, stream.trusted = event.Boot, true
	}
	sameBoot := stream.boot == event.Boot
	switch {
	case sameBoot && event.Seq <= stream.seq:
		v.mu.Unlock()
		return false
	case !stream.trusted:
		v.mu.Unlock()
		return true
	case !sameBoot || event.Seq != stream.seq+1:
		v.replaceSlot(id, stream)
		stream.trusted = false
		v.mu.Unlock()
		return true
	}
	stream.seq = event.Seq
	slot := stream.slot
	v.mu.Unlock()
	v.applyChange(id, slot, event)
	return false
}

func (v *View) applyChange(id uint32, slot uint16, event engine.Event) {
	switch event.Kind {
	case engine.Stored:
		v.addBlocks(slot, event.Blocks)
	case engine.Evicted:
		for _, hash := range event.Blocks {
			if hash&v.mask == 0 {
				v.shard(hash).remove(hash, slot)
			}
		}
	case engine.Cleared:
		v.mu.Lock()
		defer v.mu.Unlock()
		v.replaceSlot(id, v.stream(id))
	}
}

// Resync replaces the engine's part of the view by its state, from which the
// events go on. A state older than events already applied is ignored.
func (v *View) Resync(id uint32, s engine.State) {
	v.mu.Lock()
	stream := v.stream(id)
	if stream.trusted && stream.boot == s.Boot && s.Seq < stream.seq {
		v.mu.Unlock()
		return
	}
	v.replaceSlot(id, stream)
	stream.boot, stream.seq, stream.trusted = s.Boot, s.Seq, true
	slot := stream.slot
	v.mu.Unlock()
	v.addBlocks(slot, s.Blocks)
}

const (
	// missTokens is by how much an answer must fall short to count as a miss.
	missTokens = 4 * engine.BlockTokens
	// missLimit is the number of misses in a row after which the view of the
	// engine is dropped: its events are lost without a gap being seen yet.
	maxMisses = 4
)

// Compare takes in how many tokens an engine had cached against what the view
// expected. A single miss is ordinary, since blocks are evicted between a
// decision and the call; a row of them means that events are being lost.
func (v *View) ObserveCached(id uint32, expected, cached int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	stream := v.stream(id)
	if cached+missTokens >= expected {
		stream.misses = 0
		return
	}
	stream.misses++
	if stream.misses < maxMisses {
		return
	}
	stream.misses = 0
	stream.trusted = false
	v.replaceSlot(id, stream)
}

// Position returns the boot and number of the last event applied for the
// engine, and whether its part of the view is trusted.
func (v *View) Position(id uint32) (boot string, seq uint64, trusted bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	stream := v.stream(id)
	return stream.boot, stream.seq, stream.trusted
}

func (v *View) slotOf(id uint32) uint16 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.stream(id).slot
}

func (v *View) stream(id uint32) *eventStream {
	stream := v.streams[id]
	if stream == nil {
		stream = &eventStream{}
		v.streams[id] = stream
		v.assignSlot(id, stream)
	}
	return stream
}

// renew gives the engine a new slot, which drops its part of the view at once
// and without visiting it.
func (v *View) replaceSlot(id uint32, stream *eventStream) {
	v.retireSlot(stream.slot)
	v.assignSlot(id, stream)
}

func (v *View) retireSlot(slot uint16) {
	v.slotUpstreams[slot].Store(0)
	v.dead = append(v.dead, slot)
}

// assign gives the engine a slot that no block names. A slot that died since
// the last compaction is not used: its old blocks would pass for the engine's.
// With more engines than slots the last ones get slot 0, which owns nothing.
func (v *View) assignSlot(id uint32, stream *eventStream) {
	if len(v.free) == 0 {
		v.freeDeadSlots()
	}
	stream.slot = 0
	if len(v.free) == 0 {
		return
	}
	stream.slot = v.free[len(v.free)-1]
	v.free = v.free[:len(v.free)-1]
	v.slotUpstreams[stream.slot].Store(id)
}

// compact removes the dead slots from all blocks and frees them.
func (v *View) freeDeadSlots() {
	for i := range v.shards {
		v.shards[i].removeDeadSlots(v)
	}
	for _, slot := range v.dead {
		if slot != 0 {
			v.free = append(v.free, slot)
		}
	}
	v.dead = v.dead[:0]
}

func (v *View) shard(hash uint64) *shard { return &v.shards[hash>>58] }

// Blocks returns the number of blocks that the view keeps.
func (v *View) Blocks() int {
	n := 0
	for i := range v.shards {
		n += v.shards[i].len()
	}
	return n
}
