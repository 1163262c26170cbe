package history

import (
	"context"

	"google.golang.org/protobuf/proto"

	"foxhall/internal/history/historypb"
)

// fillIfNeeded sends the whole slice to a partner that lacks it; the lock is held.
func (k *Keeper) fillIfNeeded(ctx context.Context, s *slice, name string, partner opinion) {
	l := s.link(name)
	if l.filling || !partner.heard || l.filled && partner.has(int(s.number), s.role.Epoch) {
		return
	}
	records := s.state.records(s.number)
	if l.filled && l.continues && partner.has(int(s.number), s.role.Epoch-1) {
		// It was sent all of it in the epoch before, and only has to hear of this one.
		records = nil
	}
	l.filling = true
	f := &filling{slice: s, link: l, epoch: s.role.Epoch, partner: name, disk: partner.disk, continues: l.continues}
	go k.fill(ctx, f, records)
}

// filling is the sending of a whole slice to one partner's disk.
type filling struct {
	slice   *slice
	link    *link
	epoch   uint64
	partner string
	disk    string
	// continues is the link's at the beginning.
	continues bool
}

// fill sends records in parts, the last with the word that they are all. What
// changes meanwhile goes to the partner as it happens.
func (k *Keeper) fill(ctx context.Context, f *filling, records []*historypb.Record) {
	defer func() {
		k.mu.Lock()
		f.link.filling = false
		k.mu.Unlock()
	}()
	for {
		n, size := 0, 0
		for n < len(records) && size < fillBytes {
			size += proto.Size(records[n])
			n++
		}
		part := &historypb.SliceAppend{
			Slice: f.slice.number, Epoch: f.epoch, Records: records[:n],
			Complete: n == len(records), Continues: f.continues,
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
	f.link.filled = f.slice.role.Epoch == f.epoch
	if v := k.views[f.partner]; v != nil && v.status != nil {
		for _, m := range v.status.Slices {
			if m.Slice == f.slice.number {
				m.Epoch, m.Synced = f.epoch, true
			}
		}
	}
}

func (k *Keeper) sendPart(ctx context.Context, f *filling, part *historypb.SliceAppend) bool {
	ctx, cancel := context.WithTimeout(ctx, opTime)
	defer cancel()
	r := &historypb.AppendRequest{From: k.settings.Name, Disk: f.disk, Slices: []*historypb.SliceAppend{part}}
	response, err := k.peers.Append(ctx, f.partner, r)
	if err != nil {
		k.settings.Logger.WithError(err).WithField("partner", f.partner).WithField("slice", part.Slice).Debug("slice not sent")
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.noteRefused(response)) == 0
}
