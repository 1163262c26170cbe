package history

import (
	"context"

	"google.golang.org/protobuf/proto"

	"foxhall/internal/history/historypb"
)

// fillIfNeeded has a partner that is not known to have all of the slice be sent it, or
// be told so where each part is on its way already; the lock is held.
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
	l.transferring = true
	l.overflowed = false
	f := &transfer{shard: s, stream: l, epoch: s.role.Epoch, backup: name, disk: backup.disk}
	go k.runTransfer(ctx, f)
}

// filling is the sending of a whole slice to one partner's disk.
type transfer struct {
	shard  *shard
	stream *backupStream
	epoch  uint64
	backup string
	disk   string
}

// fill sends the records that the partner lacks in parts, the last with the word that they
// are all. What changes meanwhile goes to the partner as it happens.
func (k *Keeper) runTransfer(ctx context.Context, f *transfer) {
	defer func() {
		k.mu.Lock()
		f.stream.transferring = false
		k.mu.Unlock()
	}()
	have := k.fetchInventory(ctx, f)
	k.mu.Lock()
	records := f.shard.state.recordsMissingFrom(f.shard.id, have)
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
	k.mu.Lock()
	defer k.mu.Unlock()
	f.stream.transferred = f.shard.streams[f.backup] == f.stream && !f.stream.overflowed
	k.recordBackupComplete(f.backup, f.shard.id, f.epoch)
}

// listOf returns what the partner's disk has; nothing where it does not say, as those of
// older versions.
func (k *Keeper) fetchInventory(ctx context.Context, f *transfer) *historypb.Inventory {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	response, err := k.peers.List(ctx, f.backup, &historypb.ListRequest{Slice: f.shard.id})
	if err != nil {
		k.settings.Logger.WithError(err).WithField("partner", f.backup).WithField("slice", f.shard.id).Debug("slice not listed, sent whole")
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
		k.settings.Logger.WithError(err).WithField("partner", f.backup).WithField("slice", part.Slice).Debug("slice not sent")
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.handleRefusals(response)) == 0
}
