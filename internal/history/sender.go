package history

import (
	"context"
	"slices"
	"time"

	"foxhall/internal/history/historypb"
)

// queueMost bounds the entries that wait for a partner that does not answer. It is
// sent all of the slice later.
const queueMost = 1024

// link is a primary's way to one partner of a slice.
type link struct {
	// disk names the partner's disk, if it is known.
	disk string
	// entries wait for the partner, in order.
	entries []*entry
	filling bool
	// filled says that this process has sent the partner all of the slice, and each
	// entry since. A primary that was killed may have records on its disk that its
	// partner never got; a repeated call would find them done.
	filled bool
	// overflowed says that entries were put aside since the filling began.
	overflowed bool
	// declare says that the partner is to be told that it has all of the slice.
	declare bool
}

// link returns the way to a partner.
func (s *shard) link(partner string) *link {
	if s.links[partner] == nil {
		s.links[partner] = &link{disk: s.role.disk(partner)}
	}
	return s.links[partner]
}

// queue has an entry wait for the partner.
func (l *link) queue(e *entry) {
	if len(l.entries) >= queueMost {
		l.entries, l.filled, l.declare, l.overflowed = nil, false, false, true
	}
	l.entries = append(l.entries, e)
}

// wakeSender makes the partner's sender look for entries; the lock is held.
func (k *Keeper) wakeSender(partner string) {
	if partner == "" || k.ctx == nil {
		return
	}
	wake := k.senders[partner]
	if wake == nil {
		wake = make(chan struct{}, 1)
		k.senders[partner] = wake
		go k.runSender(k.ctx, partner, wake)
	}
	notify(wake)
}

// runSender sends entries to one partner, all that wait at once. What is not
// acknowledged is sent again, until this keeper is no longer the primary.
func (k *Keeper) runSender(ctx context.Context, partner string, wake chan struct{}) {
	for {
		select {
		case <-wake:
		case <-ctx.Done():
			return
		}
		for ctx.Err() == nil {
			request, sent := k.gather(partner)
			if request == nil {
				break
			}
			if !k.sendEntries(ctx, partner, request, sent) {
				time.Sleep(appendPause)
			}
		}
	}
}

// gather returns what waits for a partner, and the entries of each slice in it.
func (k *Keeper) gather(partner string) (*historypb.AppendRequest, map[uint32][]*entry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	request := &historypb.AppendRequest{From: k.settings.Name}
	sent := map[uint32][]*entry{}
	for _, s := range k.shards {
		l := s.links[partner]
		if l == nil || len(l.entries) == 0 && !l.declare || !k.primary(s) {
			continue
		}
		a := &historypb.SliceAppend{Slice: s.number, Epoch: s.role.Epoch, Disk: l.disk, Complete: l.declare}
		for _, e := range l.entries {
			a.Records = append(a.Records, e.records...)
		}
		sent[s.number] = slices.Clone(l.entries)
		request.Slices = append(request.Slices, a)
	}
	if len(request.Slices) == 0 {
		return nil, nil
	}
	return request, sent
}

func (k *Keeper) sendEntries(ctx context.Context, partner string, r *historypb.AppendRequest, sent map[uint32][]*entry) bool {
	ctx, cancel := context.WithTimeout(ctx, appendTime)
	defer cancel()
	response, err := k.peers.Append(ctx, partner, r)
	if err != nil {
		k.settings.Logger.WithError(err).WithField("partner", partner).Debug("records not sent, to be sent again")
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	refused := k.noteRefused(response)
	for _, a := range r.Slices {
		s := k.shards[a.Slice]
		// What was dropped meanwhile, at the loss of the role, counts no more.
		l := s.links[partner]
		if refused[a.Slice] || s.role.Epoch != a.Epoch || l == nil || !k.primary(s) {
			continue
		}
		l.acknowledge(s, partner, sent[a.Slice])
		if a.Complete {
			l.declare = false
			k.noteWhole(partner, a.Slice, a.Epoch)
		}
	}
	return len(refused) == 0
}

// acknowledge takes in that the partner's disk has the entries; the lock is held.
func (l *link) acknowledge(s *shard, partner string, entries []*entry) {
	for _, e := range entries {
		e.acks = append(e.acks, partner)
		s.judge(e)
	}
	l.entries = slices.DeleteFunc(l.entries, func(e *entry) bool { return slices.Contains(e.acks, partner) })
}

// noteWhole takes in that a partner has all of a slice, before its next word tells so;
// the lock is held.
func (k *Keeper) noteWhole(partner string, slice uint32, epoch uint64) {
	v := k.views[partner]
	if v == nil || v.status == nil {
		return
	}
	for i, m := range v.status.Slices {
		if m.Slice == slice {
			v.status.Slices[i] = sliceMark(slice, mark{Epoch: epoch, Base: epoch})
		}
	}
}

// noteRefused returns the refused slices, and has the assignment read again
// where a newer epoch than the known one shows that this keeper was replaced.
func (k *Keeper) noteRefused(response *historypb.AppendResponse) map[uint32]bool {
	refused := map[uint32]bool{}
	for _, m := range response.Refused {
		refused[m.Slice] = true
		if m.Slice < ShardCount && m.Epoch > k.shards[m.Slice].role.Epoch {
			notify(k.wakeRead)
		}
	}
	return refused
}
