package history

import "foxhall/internal/history/historypb"

// mark says how a keeper stands in a slice. Both epochs only grow while it has its disk.
type mark struct {
	// Epoch is the highest that the keeper follows; it refuses lower ones.
	Epoch uint64
	// Base is the epoch before which it has all that was decided. It has what it
	// acknowledged since, too.
	Base uint64
}

// whole reports that the keeper has all that was decided before the epoch.
func (m mark) whole(epoch uint64) bool { return epoch > 0 && m.Base == epoch }

// wireMark is the common part of the messages that hold a mark.
type wireMark interface {
	GetEpoch() uint64
	GetSynced() bool
	GetBase() uint64
}

// markOf reads a mark. Older versions name no base.
func markOf(w wireMark) mark {
	m := mark{Epoch: w.GetEpoch(), Base: w.GetBase()}
	if m.Base == 0 && w.GetSynced() {
		m.Base = m.Epoch
	}
	return m
}

// raise takes in what a mark says, which may be older.
func (m *mark) raise(other mark) {
	m.Epoch, m.Base = max(m.Epoch, other.Epoch), max(m.Base, other.Base)
}

func sliceMark(slice uint32, m mark) *historypb.SliceMark {
	return &historypb.SliceMark{Slice: slice, Epoch: m.Epoch, Base: m.Base, Synced: m.whole(m.Epoch)}
}
