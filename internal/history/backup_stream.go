package history

import (
	"context"
	"slices"
	"time"

	"foxhall/internal/history/historypb"
)

// queueMost bounds the entries that wait for a partner that does not answer. It is
// sent all of the slice later.
const maxPendingCommits = 1024

// link is a primary's way to one partner of a slice.
type backupStream struct {
	// disk names the partner's disk, if it is known.
	disk string
	// entries wait for the partner, in order.
	pending      []*pendingCommit
	transferring bool
	// filled says that this process has sent the partner all of the slice, and each
	// entry since. A primary that was killed may have records on its disk that its
	// partner never got; a repeated call would find them done.
	transferred bool
	// overflowed says that entries were put aside since the filling began.
	overflowed bool
	// declare says that the partner is to be told that it has all of the slice.
	declareComplete bool
}

// link returns the way to a partner.
func (s *shard) streamTo(backup string) *backupStream {
	if s.streams[backup] == nil {
		s.streams[backup] = &backupStream{disk: s.role.diskOf(backup)}
	}
	return s.streams[backup]
}

// queue has an entry wait for the partner.
func (l *backupStream) enqueue(e *pendingCommit) {
	if len(l.pending) >= maxPendingCommits {
		l.pending, l.transferred, l.declareComplete, l.overflowed = nil, false, false, true
	}
	l.pending = append(l.pending, e)
}

// wakeSender makes the partner's sender look for entries; the lock is held.
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

// runSender sends entries to one partner, all that wait at once. What is not
// acknowledged is sent again, until this keeper is no longer the primary.
func (k *Keeper) runSender(ctx context.Context, backup string, wake chan struct{}) {
	for {
		select {
		case <-wake:
		case <-ctx.Done():
			return
		}
		for ctx.Err() == nil {
			request, sent := k.nextAppend(backup)
			if request == nil {
				break
			}
			if !k.sendAppend(ctx, backup, request, sent) {
				time.Sleep(appendRetryInterval)
			}
		}
	}
}

// gather returns what waits for a partner, and the entries of each slice in it.
func (k *Keeper) nextAppend(backup string) (*historypb.AppendRequest, map[uint32][]*pendingCommit) {
	k.mu.Lock()
	defer k.mu.Unlock()
	request := &historypb.AppendRequest{From: k.settings.Name}
	sent := map[uint32][]*pendingCommit{}
	for _, s := range k.shards {
		l := s.streams[backup]
		if l == nil || len(l.pending) == 0 && !l.declareComplete || !k.isPrimary(s) {
			continue
		}
		a := &historypb.SliceAppend{Slice: s.id, Epoch: s.role.Epoch, Disk: l.disk, Complete: l.declareComplete}
		for _, e := range l.pending {
			a.Records = append(a.Records, e.records...)
		}
		sent[s.id] = slices.Clone(l.pending)
		request.Slices = append(request.Slices, a)
	}
	if len(request.Slices) == 0 {
		return nil, nil
	}
	return request, sent
}

func (k *Keeper) sendAppend(ctx context.Context, backup string, r *historypb.AppendRequest, sent map[uint32][]*pendingCommit) bool {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	response, err := k.peers.Append(ctx, backup, r)
	if err != nil {
		k.settings.Logger.WithError(err).WithField("partner", backup).Debug("records not sent, to be sent again")
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	refused := k.handleRefusals(response)
	for _, a := range r.Slices {
		s := k.shards[a.Slice]
		// What was dropped meanwhile, at the loss of the role, counts no more.
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

// acknowledge takes in that the partner's disk has the entries; the lock is held.
func (l *backupStream) acknowledge(s *shard, backup string, commits []*pendingCommit) {
	for _, e := range commits {
		e.ackedBy = append(e.ackedBy, backup)
		s.completeIfCommitted(e)
	}
	l.pending = slices.DeleteFunc(l.pending, func(e *pendingCommit) bool { return slices.Contains(e.ackedBy, backup) })
}

// noteWhole takes in that a partner has all of a slice, before its next word tells so;
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

// noteRefused returns the refused slices, and has the assignment read again
// where a newer epoch than the known one shows that this keeper was replaced.
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
