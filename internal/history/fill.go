package history

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"foxhall/internal/history/historypb"
)

// maxTransfersPerBackup is the number of shards that are transferred to one backup at the same time. The changes that
// callers wait for share the backup's link and its disk with them.
const maxTransfersPerBackup = 4

// transferRetryInterval is the pause after a failed state transfer of a shard, in which others get its place.
const transferRetryInterval = 200 * time.Millisecond

// transferIfNeeded starts a state transfer to a backup that is not known to be complete, or
// declares the backup complete if all records were sent already; the lock is held.
func (k *Keeper) transferIfNeeded(ctx context.Context, s *shard, name string, backup assessment) {
	l := s.streamTo(name)
	known := backup.isComplete(int(s.id), s.role.Epoch)
	if l.transferring || !backup.live || l.transferred && known || l.disk != "" && l.disk != backup.disk {
		return
	}
	if l.transferred {
		if !l.declareComplete {
			l.declareComplete = true
			k.wakeSender(name)
		}
		return
	}
	if k.transfers[name] >= maxTransfersPerBackup || time.Now().Before(l.transferRetryAt) {
		return
	}
	k.transfers[name]++
	l.transferring = true
	l.overflowed = false
	f := &transfer{shard: s, stream: l, epoch: s.role.Epoch, backup: name, disk: backup.disk}
	go k.runTransfer(ctx, f)
}

// transfer is a state transfer of a shard to one backup's disk.
type transfer struct {
	shard  *shard
	stream *backupStream
	epoch  uint64
	backup string
	disk   string
}

// runTransfer sends the records that the backup lacks in parts; the last part declares the backup
// complete. Changes made meanwhile reach the backup through its stream.
func (k *Keeper) runTransfer(ctx context.Context, f *transfer) {
	succeeded := false
	defer func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		f.stream.transferring = false
		k.transfers[f.backup]--
		if !succeeded {
			f.stream.transferRetryAt = time.Now().Add(transferRetryInterval)
			return
		}
		notify(k.wakeReconciler)
	}()
	have := k.fetchInventory(ctx, f)
	k.mu.Lock()
	records := f.shard.state.recordsMissingFrom(f.shard.id, have, time.Now())
	k.mu.Unlock()
	for {
		n, size := 0, 0
		for n < len(records) && size < transferPartSize {
			size += proto.Size(records[n])
			n++
		}
		part := &historypb.SliceAppend{
			Slice: f.shard.id, Epoch: f.epoch, Disk: f.disk, Records: records[:n], Complete: n == len(records),
		}
		if !k.sendPart(ctx, f, part) {
			return
		}
		if part.Complete {
			break
		}
		records = records[n:]
	}
	succeeded = true
	k.mu.Lock()
	defer k.mu.Unlock()
	f.stream.transferred = f.shard.streams[f.backup] == f.stream && !f.stream.overflowed
	k.recordBackupComplete(f.backup, f.shard.id, f.epoch)
}

// fetchInventory returns the inventory of the backup's disk; nil if the backup does not provide
// one, as in older versions.
func (k *Keeper) fetchInventory(ctx context.Context, f *transfer) *historypb.Inventory {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	response, err := k.peers.List(ctx, f.backup, &historypb.ListRequest{Slice: f.shard.id})
	if err != nil {
		k.settings.Logger.WithError(err).WithField("partner", f.backup).WithField("slice", f.shard.id).Debug("inventory of backup not available; transferring the whole shard")
		return nil
	}
	if response.Disk != f.disk {
		return nil
	}
	return response.Have
}

func (k *Keeper) sendPart(ctx context.Context, f *transfer, part *historypb.SliceAppend) bool {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	r := &historypb.AppendRequest{From: k.settings.Name, Slices: []*historypb.SliceAppend{part}}
	response, err := k.peers.Append(ctx, f.backup, r)
	if err != nil {
		k.settings.Logger.WithError(err).WithField("partner", f.backup).WithField("slice", part.Slice).Debug("state transfer to backup failed")
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.handleRefusals(response)) == 0
}
