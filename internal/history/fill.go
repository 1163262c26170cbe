package history

import (
	"context"

	"google.golang.org/protobuf/proto"

	"foxhall/internal/history/historypb"
)

// fillIfNeeded has a partner that is not known to have all of the slice be sent it, or
// be told so where each part is on its way already; the lock is held.
func (k *Keeper) fillIfNeeded(ctx context.Context, s *shard, name string, partner opinion) {
	l := s.link(name)
	known := partner.has(int(s.number), s.role.Epoch)
	if l.filling || !partner.heard || l.filled && known || l.disk != "" && l.disk != partner.disk {
		return
	}
	if l.filled {
		if !l.declare {
			l.declare = true
			k.wakeSender(name)
		}
		return
	}
	l.filling = true
	l.overflowed = false
	f := &filling{slice: s, link: l, epoch: s.role.Epoch, partner: name, disk: partner.disk}
	go k.fill(ctx, f)
}

// filling is the sending of a whole slice to one partner's disk.
type filling struct {
	slice   *shard
	link    *link
	epoch   uint64
	partner string
	disk    string
}

// fill sends the records that the partner lacks in parts, the last with the word that they
// are all. What changes meanwhile goes to the partner as it happens.
func (k *Keeper) fill(ctx context.Context, f *filling) {
	defer func() {
		k.mu.Lock()
		f.link.filling = false
		k.mu.Unlock()
	}()
	have := k.listOf(ctx, f)
	k.mu.Lock()
	records := f.slice.state.lacking(f.slice.number, have)
	k.mu.Unlock()
	for {
		n, size := 0, 0
		for n < len(records) && size < fillBytes {
			size += proto.Size(records[n])
			n++
		}
		part := &historypb.SliceAppend{
			Slice: f.slice.number, Epoch: f.epoch, Disk: f.disk, Records: records[:n], Complete: n == len(records),
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
	f.link.filled = f.slice.links[f.partner] == f.link && !f.link.overflowed
	k.noteWhole(f.partner, f.slice.number, f.epoch)
}

// listOf returns what the partner's disk has; nothing where it does not say, as those of
// older versions.
func (k *Keeper) listOf(ctx context.Context, f *filling) *historypb.Inventory {
	ctx, cancel := context.WithTimeout(ctx, opTime)
	defer cancel()
	response, err := k.peers.List(ctx, f.partner, &historypb.ListRequest{Slice: f.slice.number})
	if err != nil {
		k.settings.Logger.WithError(err).WithField("partner", f.partner).WithField("slice", f.slice.number).Debug("slice not listed, sent whole")
		return nil
	}
	if response.Disk != f.disk {
		return nil
	}
	return response.Have
}

func (k *Keeper) sendPart(ctx context.Context, f *filling, part *historypb.SliceAppend) bool {
	ctx, cancel := context.WithTimeout(ctx, opTime)
	defer cancel()
	r := &historypb.AppendRequest{From: k.settings.Name, Slices: []*historypb.SliceAppend{part}}
	response, err := k.peers.Append(ctx, f.partner, r)
	if err != nil {
		k.settings.Logger.WithError(err).WithField("partner", f.partner).WithField("slice", part.Slice).Debug("slice not sent")
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.noteRefused(response)) == 0
}
