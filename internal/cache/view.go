// Package cache maintains an instance's view of the engines' prefix caches: which engine has which
// blocks, identified by their hashes. The view is built from the prompts that were sent and
// corrected by the engines' cache events, which arrive late.
//
// The view is an estimate for placement: a wrong entry costs a redundant prefill but never affects a
// response. Its memory is bounded.
package cache

import (
	"sync"
	"sync/atomic"

	"foxhall/internal/engine"
)

const (
	// shardCount is the number of independently locked shards; see View.shard.
	shardCount = 64
	// slotCount is the number of slots, by which blocks refer to the engines that hold them. An
	// engine gets a new slot each time its part of the view is dropped.
	slotCount = 1 << 14
)

// View is the view of the prefix caches of one data centre's engines. It is safe for concurrent use;
// a lookup takes one shard's lock at a time, for one map access.
type View struct {
	shards [shardCount]shard
	// mask selects the blocks that are stored: those whose hash has none of its bits set. The hashes
	// of all engines are sampled alike, so a mask of 3 needs a quarter of the memory and finds
	// depths to within about four blocks.
	mask uint64
	// slotUpstreams maps a slot to the id of the upstream that has it, 0 for a dead slot.
	slotUpstreams [slotCount]atomic.Uint32

	mu      sync.Mutex
	streams map[uint32]*eventStream
	// free lists the slots that no block refers to. dead lists those that no engine has any more but
	// blocks may still refer to.
	free, dead []uint16
}

// eventStream is the state of one engine's stream of cache events, with the engine's slot.
type eventStream struct {
	slot uint16
	// boot and seq identify the last event applied.
	boot string
	seq  uint64
	// trusted is false from a gap in the events to the next resync.
	trusted bool
	// misses counts consecutive responses with far fewer cached tokens than the view expected.
	misses int
}

// Options limit the size of a view.
type Options struct {
	// MaxBlocks bounds the number of blocks stored.
	MaxBlocks int
	// SampleBits is the number of hash bits that must be zero for a block to be stored.
	SampleBits int
}

// DefaultOptions suit a data centre with a few dozen engines.
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

// RecordSent records that a prompt with this chain of blocks was sent to the engine.
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

// MarkEvicted removes chain[kept:] from the engine's part of the view. It is called when a response
// shows that the engine has only the first kept blocks of the chain: the others were evicted and no
// event has reported it.
func (v *View) MarkEvicted(id uint32, chain []uint64, kept int) {
	slot := v.slotOf(id)
	for _, hash := range chain[min(kept, len(chain)):] {
		if hash&v.mask == 0 {
			v.shard(hash).remove(hash, slot)
		}
	}
}

// Drop removes the engine and its part of the view.
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

// Apply applies a cache event. It reports whether the engine's state must be read again because
// events are missing or the engine has restarted. In that case the engine's part of the view is
// dropped at once, since the missing events may have evicted any block, and later events are
// ignored until Resync.
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

// Resync replaces the engine's part of the view by the engine's state. Later events are applied on
// top of it. A state older than the events already applied is ignored.
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
	// missTokens is the shortfall of cached tokens from which a response counts as a miss.
	missTokens = 4 * engine.BlockTokens
	// maxMisses is the number of consecutive misses at which the engine's part of the view is
	// dropped: its events are being lost although no gap has been detected yet.
	maxMisses = 4
)

// ObserveCached compares the number of tokens that an engine had cached for a call with the number
// that the view expected. A single miss is normal, since blocks are evicted between a placement
// decision and the call; several in a row mean that events are being lost.
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

// Position returns the boot and sequence number of the last event applied for the engine, and
// whether its part of the view is trusted.
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

// stream returns the engine's stream, creating it if needed. The caller holds the lock.
func (v *View) stream(id uint32) *eventStream {
	stream := v.streams[id]
	if stream == nil {
		stream = &eventStream{}
		v.streams[id] = stream
		v.assignSlot(id, stream)
	}
	return stream
}

// replaceSlot gives the engine a new slot. This drops its part of the view at once, without visiting
// the blocks.
func (v *View) replaceSlot(id uint32, stream *eventStream) {
	v.retireSlot(stream.slot)
	v.assignSlot(id, stream)
}

func (v *View) retireSlot(slot uint16) {
	v.slotUpstreams[slot].Store(0)
	v.dead = append(v.dead, slot)
}

// assignSlot gives the engine a slot that no block refers to. It does not use a dead slot, since the
// blocks that still refer to it would count as the engine's. If there are more engines than slots,
// the excess engines get slot 0, which never has an upstream.
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

// freeDeadSlots removes the dead slots from all blocks and adds them to the free ones.
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

// Blocks returns the number of blocks stored in the view.
func (v *View) Blocks() int {
	n := 0
	for i := range v.shards {
		n += v.shards[i].len()
	}
	return n
}
