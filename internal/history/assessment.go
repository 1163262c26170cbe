package history

import (
	"time"

	"foxhall/internal/history/historypb"
)

// view is what is known of another keeper.
type peerView struct {
	lastContact time.Time
	status      *historypb.StatusResponse
	// refused counts the refused connections since it was heard.
	refusedConnections int
	loss               lossEvidence
}

// opinion is what a decision about roles needs of another keeper.
type assessment struct {
	// out says that it should hold nothing: it is silent, stalled or leaving.
	ineligible bool
	// heard says that its marks are known.
	live bool
	// at is when they were told.
	lastContact time.Time
	epochStates [ShardCount]epochState
	// disk names its disk.
	disk string
	// spares says that it knows decisions that are not on all disks of a slice.
	supportsOptionalBackups bool
}

// silent reports that the keeper was not heard for as long as a pause may last.
func (v *peerView) unresponsive(now time.Time) bool {
	since := now.Sub(v.lastContact)
	return since > suspectTimeout || since > confirmedSuspectTimeout && v.loss.isCurrent(now)
}

// opinions judges the other keepers; the lock is held.
func (k *Keeper) assessPeers(now time.Time) map[string]assessment {
	assessments := map[string]assessment{}
	for name, v := range k.views {
		o := assessment{}
		booted := now.Sub(k.started) > startupGrace
		refusing := v.refusedConnections >= minRefusedConnections && booted
		unresponsive := refusing || v.unresponsive(now) && booted
		o.ineligible = refusing || unresponsive && k.quorumContact.isEstablished(now) || k.settings.Retiring(name)
		if v.status != nil {
			o.live, o.lastContact = !unresponsive, v.lastContact
			o.disk, o.supportsOptionalBackups = v.status.Disk, v.status.Spares
			o.ineligible = o.ineligible || v.status.Leaving || v.status.StalledMs > diskStallTimeout.Milliseconds()
			for _, m := range v.status.Slices {
				if m.Slice < ShardCount {
					o.epochStates[m.Slice] = decodeEpochState(m)
				}
			}
		}
		assessments[name] = o
	}
	return assessments
}

// has reports that the keeper is known to have all of a slice in the epoch.
func (o assessment) isComplete(shardID int, epoch uint64) bool {
	return o.live && o.epochStates[shardID].isComplete(epoch)
}
