package history

import (
	"time"

	"foxhall/internal/history/historypb"
)

// peerView is the last known state of another keeper.
type peerView struct {
	lastContact time.Time
	status      *historypb.StatusResponse
	// refusedConnections counts the refused connections since the last contact.
	refusedConnections int
	loss               lossEvidence
}

// assessment is what decisions about shard roles need to know about another keeper.
type assessment struct {
	// ineligible means that the keeper should hold no shards: it is unresponsive, stalled or
	// draining.
	ineligible bool
	// stopping means that its process is about to end; a keeper that retires runs until its shards are elsewhere.
	stopping bool
	// live means that the keeper is responsive and its epoch states are known.
	live bool
	// lastContact is when the epoch states were received.
	lastContact time.Time
	epochStates [ShardCount]epochState
	// disk is the name of its disk.
	disk string
	// supportsOptionalBackups means that its version handles commits that are not on the disks of
	// all holders.
	supportsOptionalBackups bool
}

// unresponsive reports whether the keeper has sent nothing for longer than a process pause may
// last; the time is shorter where witnesses confirm the loss.
func (v *peerView) unresponsive(now time.Time) bool {
	since := now.Sub(v.lastContact)
	return since > suspectTimeout || since > confirmedSuspectTimeout && v.loss.isCurrent(now)
}

// assessPeers assesses the other keepers; the lock is held.
func (k *Keeper) assessPeers(now time.Time) map[string]assessment {
	assessments := map[string]assessment{}
	for name, v := range k.views {
		o := assessment{}
		refusing := v.refusedConnections >= minRefusedConnections && now.Sub(k.started) > refusalGrace
		unresponsive := refusing || v.unresponsive(now) && now.Sub(k.started) > startupGrace
		o.ineligible = refusing || unresponsive && k.witnessContact.isEstablished(now) || k.settings.IsRetiring(name)
		if v.status != nil {
			o.live, o.lastContact = !unresponsive, v.lastContact
			o.disk, o.supportsOptionalBackups = v.status.Disk, v.status.Spares
			o.stopping = v.status.Leaving
			o.ineligible = o.ineligible || o.stopping || v.status.StalledMs > diskStallTimeout.Milliseconds()
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

// isComplete reports whether the keeper is live and has all of a shard in the epoch.
func (o assessment) isComplete(shardID int, epoch uint64) bool {
	return o.live && o.epochStates[shardID].isComplete(epoch)
}
