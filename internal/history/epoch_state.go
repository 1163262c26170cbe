package history

import "foxhall/internal/history/historypb"

// mark says how a keeper stands in a slice. Both epochs only grow while it has its disk.
type epochState struct {
	// Epoch is the highest that the keeper follows; it refuses lower ones.
	promised uint64
	// Base is the epoch before which it has all that was decided. It has what it
	// acknowledged since, too.
	base uint64
}

// whole reports that the keeper has all that was decided before the epoch.
func (m epochState) isComplete(epoch uint64) bool { return epoch > 0 && m.base == epoch }

// wireMark is the common part of the messages that hold a mark.
type wireEpochState interface {
	GetEpoch() uint64
	GetSynced() bool
	GetBase() uint64
}

// markOf reads a mark. Older versions name no base.
func decodeEpochState(w wireEpochState) epochState {
	m := epochState{promised: w.GetEpoch(), base: w.GetBase()}
	if m.base == 0 && w.GetSynced() {
		m.base = m.promised
	}
	return m
}

// raise takes in what a mark says, which may be older.
func (m *epochState) merge(other epochState) {
	m.promised, m.base = max(m.promised, other.promised), max(m.base, other.base)
}

func encodeEpochState(shardID uint32, m epochState) *historypb.SliceMark {
	return &historypb.SliceMark{Slice: shardID, Epoch: m.promised, Base: m.base, Synced: m.isComplete(m.promised)}
}
