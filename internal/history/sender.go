package history

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"foxhall/internal/history/historypb"
)

// maxPendingCommits bounds the pending commits for a backup that does not respond. Beyond it, the
// backup gets a state transfer later.
const maxPendingCommits = 1024

// maxPendingAge bounds the time for which a commit waits for a backup. Beyond it, the backup gets a state
// transfer, too: it may have removed the turn that a late one continues.
const maxPendingAge = retentionMargin / 2

// maxAppendBytes is the approximate size in bytes of the records in one append. An append that does not fit into
// appendTimeout on the link would be sent again and again.
const maxAppendBytes = 1 << 20

// backupStream is the primary's replication stream to one backup of a shard.
type backupStream struct {
	// disk is the name of the backup's disk, if known.
	disk string
	// pending are the commits that the backup has not acknowledged, in order.
	pending      []*pendingCommit
	transferring bool
	// transferRetryAt is when a state transfer may begin after one that failed.
	transferRetryAt time.Time
	// transferred means that this process has sent the backup all of the shard, and each commit
	// since. A primary that was killed may have records on its disk that its backup never received,
	// and would report them as committed to a repeated call.
	transferred bool
	// overflowed means that pending commits were discarded since the state transfer began.
	overflowed bool
	// declareComplete means that the next append tells the backup that it has all of the shard.
	declareComplete bool
}

// streamTo returns the stream to a backup, creating it if needed.
func (s *shard) streamTo(backup string) *backupStream {
	if s.streams[backup] == nil {
		s.streams[backup] = &backupStream{disk: s.role.diskOf(backup)}
	}
	return s.streams[backup]
}

// enqueue adds a commit to those pending for the backup.
func (l *backupStream) enqueue(e *pendingCommit) {
	if len(l.pending) >= maxPendingCommits {
		l.discard()
	}
	l.pending = append(l.pending, e)
}

// discard discards the pending commits; the backup needs a state transfer.
func (l *backupStream) discard() {
	l.pending, l.transferred, l.declareComplete, l.overflowed = nil, false, false, true
}

// isOverdue reports whether the backup has not acknowledged a commit for maxPendingAge.
func (l *backupStream) isOverdue(now time.Time) bool {
	return len(l.pending) > 0 && now.Sub(l.pending[0].began) > maxPendingAge
}

// wakeSender wakes the backup's sender, starting it if needed; the lock is held.
func (k *Keeper) wakeSender(backup string) {
	if backup == "" || k.ctx == nil {
		return
	}
	wake := k.senders[backup]
	if wake == nil {
		wake = make(chan struct{}, 1)
		k.senders[backup] = wake
		go k.runSender(k.ctx, backup, wake)
	}
	notify(wake)
}

// runSender sends pending commits to one backup in batches. Commits that are not acknowledged are
// sent again as long as this keeper is the primary.
func (k *Keeper) runSender(ctx context.Context, backup string, wake chan struct{}) {
	first := 0
	for {
		select {
		case <-wake:
		case <-ctx.Done():
			return
		}
		for ctx.Err() == nil {
			request, sent := k.nextAppend(backup, first)
			if request == nil {
				break
			}
			first = int(request.Slices[len(request.Slices)-1].Slice) + 1
			if !k.sendAppend(ctx, backup, request, sent) {
				time.Sleep(appendRetryInterval)
			}
		}
	}
}

// nextAppend returns the request with what is pending for a backup, up to maxAppendBytes, and the commits of each shard
// in it. The shards share the request, beginning with the shard first, so that none has to wait for what others have
// pending. The request is nil if nothing is pending.
func (k *Keeper) nextAppend(backup string, first int) (*historypb.AppendRequest, map[uint32][]*pendingCommit) {
	k.mu.Lock()
	defer k.mu.Unlock()
	request := &historypb.AppendRequest{From: k.settings.Name}
	sent := map[uint32][]*pendingCommit{}
	waiting := k.shardsToSend(backup, first)
	size := 0
	for _, s := range waiting {
		if size >= maxAppendBytes {
			break
		}
		l := s.streams[backup]
		commits, records, bytes := l.next(maxAppendBytes / len(waiting))
		size += bytes
		sent[s.id] = commits
		request.Slices = append(request.Slices, &historypb.SliceAppend{
			Slice: s.id, Epoch: s.role.Epoch, Disk: l.disk, Records: records, Complete: l.declareComplete && len(commits) == len(l.pending),
		})
	}
	if len(request.Slices) == 0 {
		return nil, nil
	}
	return request, sent
}

// shardsToSend returns the shards that have something to send to a backup, in the order of their ids from first on; the
// lock is held.
func (k *Keeper) shardsToSend(backup string, first int) []*shard {
	var waiting []*shard
	now := time.Now()
	for i := range ShardCount {
		s := k.shards[(first+i)%ShardCount]
		l := s.streams[backup]
		if l != nil && l.isOverdue(now) {
			l.discard()
		}
		if l != nil && (len(l.pending) > 0 || l.declareComplete) && k.isPrimary(s) {
			waiting = append(waiting, s)
		}
	}
	return waiting
}

// next returns the oldest pending commits and their records, with the size of these in bytes: the first commit, and
// more until the size reaches limit.
func (l *backupStream) next(limit int) (commits []*pendingCommit, records []*historypb.Record, size int) {
	for _, e := range l.pending {
		if size >= limit {
			break
		}
		for _, r := range e.records {
			size += proto.Size(r)
		}
		commits, records = append(commits, e), append(records, e.records...)
	}
	return commits, records, size
}

func (k *Keeper) sendAppend(ctx context.Context, backup string, r *historypb.AppendRequest, sent map[uint32][]*pendingCommit) bool {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	response, err := k.peers.Append(ctx, backup, r)
	if err != nil {
		k.settings.Logger.WithError(err).WithField("partner", backup).Debug("append to backup failed; retrying")
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	refused := k.handleRefusals(response)
	for _, a := range r.Slices {
		s := k.shards[a.Slice]
		// Commits that were aborted meanwhile, when this keeper lost the role, do not count.
		l := s.streams[backup]
		if refused[a.Slice] || s.role.Epoch != a.Epoch || l == nil || !k.isPrimary(s) {
			continue
		}
		l.acknowledge(s, backup, sent[a.Slice])
		if a.Complete {
			l.declareComplete = false
			k.recordBackupComplete(backup, a.Slice, a.Epoch)
		}
	}
	return len(refused) == 0
}

// acknowledge records that the commits are on the backup's disk; the lock is held.
func (l *backupStream) acknowledge(s *shard, backup string, commits []*pendingCommit) {
	for _, e := range commits {
		e.ackedBy = append(e.ackedBy, backup)
		s.completeIfCommitted(e)
	}
	l.pending = slices.DeleteFunc(l.pending, func(e *pendingCommit) bool { return slices.Contains(e.ackedBy, backup) })
}

// recordBackupComplete records that a backup has all of a shard, ahead of the backup's next status;
// the lock is held.
func (k *Keeper) recordBackupComplete(backup string, shardID uint32, epoch uint64) {
	v := k.views[backup]
	if v == nil || v.status == nil {
		return
	}
	for i, m := range v.status.Slices {
		if m.Slice == shardID {
			v.status.Slices[i] = encodeEpochState(shardID, epochState{promised: epoch, base: epoch})
		}
	}
}

// handleRefusals returns the refused shards. It requests a read of the assignment where an epoch
// newer than the known one shows that this keeper was replaced.
func (k *Keeper) handleRefusals(response *historypb.AppendResponse) map[uint32]bool {
	refused := map[uint32]bool{}
	for _, m := range response.Refused {
		refused[m.Slice] = true
		if m.Slice < ShardCount && m.Epoch > k.shards[m.Slice].role.Epoch {
			notify(k.wakeReader)
		}
	}
	return refused
}
