package history

import "foxhall/internal/history/historypb"

// epochState is a keeper's replication state of a shard. Both epochs only grow while the keeper has
// its disk.
type epochState struct {
	// promised is the highest epoch that the keeper has accepted; it refuses lower ones.
	promised uint64
	// base is the epoch before which the keeper has all committed changes. It also has everything
	// that it acknowledged since.
	base uint64
}

// isComplete reports whether the keeper has all changes committed before the epoch.
func (m epochState) isComplete(epoch uint64) bool { return epoch > 0 && m.base == epoch }

// wireEpochState is implemented by the messages that carry an epoch state.
type wireEpochState interface {
	GetEpoch() uint64
	GetSynced() bool
	GetBase() uint64
}

// decodeEpochState reads an epoch state. Older versions send no base.
func decodeEpochState(w wireEpochState) epochState {
	m := epochState{promised: w.GetEpoch(), base: w.GetBase()}
	if m.base == 0 && w.GetSynced() {
		m.base = m.promised
	}
	return m
}

// merge raises each epoch to that of the other state, which may be older.
func (m *epochState) merge(other epochState) {
	m.promised, m.base = max(m.promised, other.promised), max(m.base, other.base)
}

func encodeEpochState(shardID uint32, m epochState) *historypb.SliceMark {
	return &historypb.SliceMark{Slice: shardID, Epoch: m.promised, Base: m.base, Synced: m.isComplete(m.promised)}
}
