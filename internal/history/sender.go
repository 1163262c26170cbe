package history

import (
	"context"
	"time"

	"foxhall/internal/history/historypb"
)

// link is a primary's way to one partner of a slice.
type link struct {
	// entries wait for the partner, in order.
	entries []*entry
	filling bool
	// filled says that this process has sent the partner all of the slice in
	// the present epoch. A primary that was killed may have records on its disk
	// that its partner never got; a repeated call would find them done.
	filled bool
	// continues says that the partner was one in the epoch before, in which this
	// keeper decided too.
	continues bool
}

// link returns the way to a partner.
func (s *slice) link(partner string) *link {
	if s.links[partner] == nil {
		s.links[partner] = &link{}
	}
	return s.links[partner]
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
			request, counts := k.gather(partner)
			if request == nil {
				break
			}
			if !k.sendEntries(ctx, partner, request, counts) {
				time.Sleep(appendPause)
			}
		}
	}
}

func (k *Keeper) gather(partner string) (*historypb.AppendRequest, map[uint32]int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	request := &historypb.AppendRequest{From: k.settings.Name}
	counts := map[uint32]int{}
	for _, s := range k.slices {
		l := s.links[partner]
		if l == nil || len(l.entries) == 0 || !k.primary(s) {
			continue
		}
		a := &historypb.SliceAppend{Slice: s.number, Epoch: s.role.Epoch, Continues: l.continues}
		for _, e := range l.entries {
			a.Records = append(a.Records, e.records...)
		}
		counts[s.number] = len(l.entries)
		request.Slices = append(request.Slices, a)
	}
	if len(request.Slices) == 0 {
		return nil, nil
	}
	return request, counts
}

func (k *Keeper) sendEntries(ctx context.Context, partner string, r *historypb.AppendRequest, counts map[uint32]int) bool {
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
		s := k.slices[a.Slice]
		// What was dropped meanwhile, at the loss of the role, counts no more.
		l := s.links[partner]
		if refused[a.Slice] || s.role.Epoch != a.Epoch || l == nil || !k.primary(s) {
			continue
		}
		for _, e := range l.entries[:counts[a.Slice]] {
			k.arrived(e)
		}
		l.entries = l.entries[counts[a.Slice]:]
	}
	return len(refused) == 0
}

// noteRefused returns the refused slices, and has the assignment read again
// where a newer epoch than the known one shows that this keeper was replaced.
func (k *Keeper) noteRefused(response *historypb.AppendResponse) map[uint32]bool {
	refused := map[uint32]bool{}
	for _, m := range response.Refused {
		refused[m.Slice] = true
		if m.Slice < SliceCount && m.Epoch > k.slices[m.Slice].role.Epoch {
			notify(k.wakeRead)
		}
	}
	return refused
}
