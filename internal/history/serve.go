package history

import (
	"context"
	"time"

	"foxhall/internal/history/historypb"
)

var _ historypb.Keeper = (*Keeper)(nil)

// Reserve implements historypb.Keeper.
func (k *Keeper) Reserve(ctx context.Context, r *historypb.ReserveRequest) (*historypb.ReserveResponse, error) {
	k.mu.Lock()
	s := k.sliceFor(r.Slice)
	if s == nil || !k.primary(s) {
		defer k.mu.Unlock()
		return &historypb.ReserveResponse{Verdict: historypb.Verdict_MOVED, Role: k.roleOf(s)}, nil
	}
	if v := k.serves(s, time.Now()); v != historypb.Verdict_DONE {
		defer k.mu.Unlock()
		return &historypb.ReserveResponse{Verdict: v}, nil
	}
	var chain []*historypb.Turn
	if r.Previous != "" && !r.Foreign {
		found, ok := s.state.chain(r.Customer, r.Previous)
		if !ok {
			e := k.submit(s, nil)
			k.mu.Unlock()
			return &historypb.ReserveResponse{Verdict: certain(ctx, e, historypb.Verdict_NO_TURN)}, nil
		}
		chain = found
	}
	verdict, account := s.state.reserve(r, time.Now())
	if verdict != historypb.Verdict_DONE {
		defer k.mu.Unlock()
		response := &historypb.ReserveResponse{Verdict: verdict}
		if a := s.state.account(r.Customer, r.Program); a != nil {
			response.Spent, response.Open = a.Spent, openTokens(a)
		}
		return response, nil
	}
	replica := s.state.replica(r.Customer, r.Program, chain)
	e := k.submit(s, []*historypb.Record{accountRecord(r.Slice, account)})
	k.mu.Unlock()
	return &historypb.ReserveResponse{Verdict: certain(ctx, e, historypb.Verdict_DONE), Chain: chain, Replica: replica}, nil
}

// certain returns the verdict once it is certain that it holds.
func certain(ctx context.Context, e *entry, v historypb.Verdict) historypb.Verdict {
	if !wait(ctx, e) {
		return historypb.Verdict_NOT_NOW
	}
	return v
}

// isolated reports that no other keeper has been heard for as long as it takes
// to replace one; the lock is held. What waited then would wait in vain.
func (k *Keeper) isolated() bool { return k.allSilent(suspectAfter) }

// allSilent reports that no other keeper has been heard for that long; the lock is held.
func (k *Keeper) allSilent(since time.Duration) bool {
	for _, v := range k.views {
		if time.Since(v.heard) < since {
			return false
		}
	}
	return len(k.views) > 0
}

// Settle implements historypb.Keeper.
func (k *Keeper) Settle(ctx context.Context, r *historypb.SettleRequest) (*historypb.SettleResponse, error) {
	k.mu.Lock()
	s := k.sliceFor(r.Slice)
	if s == nil || !k.primary(s) {
		defer k.mu.Unlock()
		return &historypb.SettleResponse{Verdict: historypb.Verdict_MOVED, Role: k.roleOf(s)}, nil
	}
	if k.alone(s) && k.serves(s, time.Now()) != historypb.Verdict_DONE {
		defer k.mu.Unlock()
		return &historypb.SettleResponse{Verdict: historypb.Verdict_NOT_NOW}, nil
	}
	e := k.submit(s, s.state.settle(r, time.Now()))
	k.mu.Unlock()
	return &historypb.SettleResponse{Verdict: certain(ctx, e, historypb.Verdict_DONE)}, nil
}

// Draw implements historypb.Keeper.
func (k *Keeper) Draw(ctx context.Context, r *historypb.DrawRequest) (*historypb.DrawResponse, error) {
	k.mu.Lock()
	s := k.sliceFor(r.Slice)
	if s == nil || !k.primary(s) {
		defer k.mu.Unlock()
		return &historypb.DrawResponse{Verdict: historypb.Verdict_MOVED, Role: k.roleOf(s)}, nil
	}
	if k.alone(s) && k.serves(s, time.Now()) != historypb.Verdict_DONE {
		defer k.mu.Unlock()
		return &historypb.DrawResponse{Verdict: historypb.Verdict_NOT_NOW}, nil
	}
	held, account := s.state.draw(r, time.Now())
	e := k.submit(s, []*historypb.Record{accountRecord(r.Slice, account)})
	k.mu.Unlock()
	return &historypb.DrawResponse{Verdict: certain(ctx, e, historypb.Verdict_DONE), Held: held}, nil
}

// Find implements historypb.Keeper. A turn that is not durable yet was never
// named to anybody who could ask for it.
func (k *Keeper) Find(ctx context.Context, r *historypb.FindRequest) (*historypb.FindResponse, error) {
	k.mu.Lock()
	asked := map[uint32]*entry{}
	for _, s := range k.shards {
		if chain, ok := s.state.chain(r.Customer, r.Turn); ok {
			k.mu.Unlock()
			return &historypb.FindResponse{Chain: chain}, nil
		}
		if k.primary(s) {
			asked[s.number] = k.submit(s, nil)
		}
	}
	k.mu.Unlock()
	response := &historypb.FindResponse{}
	ctx, cancel := context.WithTimeout(ctx, opTime)
	defer cancel()
	for number, e := range asked {
		if wait(ctx, e) {
			response.Absent = append(response.Absent, number)
		}
	}
	return response, nil
}

// Append implements historypb.Keeper.
func (k *Keeper) Append(ctx context.Context, r *historypb.AppendRequest) (*historypb.AppendResponse, error) {
	response := &historypb.AppendResponse{}
	durable := make(chan struct{})
	k.mu.Lock()
	var records []*historypb.Record
	var complete []*shard
	var epochs []uint64
	for _, a := range r.Slices {
		s := k.sliceFor(a.Slice)
		if s == nil || !k.accepts(s, a) {
			response.Refused = append(response.Refused, k.refusal(a, s))
			continue
		}
		if a.Epoch > s.mark.Epoch {
			k.follow(s, a.Epoch)
			records = append(records, markRecord(s.number, s.mark))
		}
		for _, record := range a.Records {
			s.state.apply(record)
		}
		records = append(records, a.Records...)
		if a.Complete && !s.mark.whole(a.Epoch) {
			records = append(records, markRecord(s.number, mark{Epoch: a.Epoch, Base: a.Epoch}))
			complete, epochs = append(complete, s), append(epochs, a.Epoch)
		}
	}
	k.persist(records, func() {
		// Only what is on the disk may be relied on: after a crash this keeper
		// must know by itself that it has all of the slice.
		for i, s := range complete {
			s.mark.raise(mark{Base: epochs[i]})
		}
		close(durable)
	})
	k.mu.Unlock()
	select {
	case <-durable:
		return response, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// accepts reports whether records of a primary may be taken. Those for a disk that is
// lost are not: the ones before them are lost too. A keeper that lost its disk knows
// nothing of later epochs, so it first reads the assignment: a primary that was
// replaced long ago could else win it over.
func (k *Keeper) accepts(s *shard, a *historypb.SliceAppend) bool {
	if !k.verified {
		notify(k.wakeRead)
		return false
	}
	return k.sameDisk(a.Disk) && a.Epoch >= s.mark.Epoch && a.Epoch >= s.role.Epoch
}

// sameDisk reports that this keeper has the named disk, or that none is named.
func (k *Keeper) sameDisk(name string) bool { return name == "" || name == k.disk }

func (k *Keeper) refusal(a *historypb.SliceAppend, s *shard) *historypb.SliceMark {
	m := &historypb.SliceMark{Slice: a.Slice}
	if s != nil && k.verified && k.sameDisk(a.Disk) {
		m.Epoch = max(s.mark.Epoch, s.role.Epoch)
	}
	return m
}

// follow has this keeper refuse lower epochs; the lock is held. What it had in them
// it still has.
func (k *Keeper) follow(s *shard, epoch uint64) {
	s.mark.raise(mark{Epoch: epoch})
	s.drop()
	if epoch > s.role.Epoch {
		k.readUnlessTold(s)
	}
}

// Fetch implements historypb.Keeper. The refusal of lower epochs is on the disk before
// the records are read: what the primary before decides later can't count on this keeper.
func (k *Keeper) Fetch(ctx context.Context, r *historypb.FetchRequest) (*historypb.FetchResponse, error) {
	durable := make(chan struct{})
	k.mu.Lock()
	s := k.sliceFor(r.Slice)
	if s == nil || !k.verified || !k.sameDisk(r.Disk) || r.Epoch < max(s.mark.Epoch, s.role.Epoch) {
		defer k.mu.Unlock()
		notify(k.wakeRead)
		return &historypb.FetchResponse{Refused: true}, nil
	}
	if r.Epoch > s.mark.Epoch {
		k.follow(s, r.Epoch)
	}
	k.persist([]*historypb.Record{markRecord(s.number, s.mark)}, func() { close(durable) })
	k.mu.Unlock()
	select {
	case <-durable:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return &historypb.FetchResponse{Records: s.state.lacking(s.number, r.Have)}, nil
}

// Status implements historypb.Keeper.
func (k *Keeper) Status(context.Context, *historypb.StatusRequest) (*historypb.StatusResponse, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.status(), nil
}

// status is how this keeper stands; the lock is held.
func (k *Keeper) status() *historypb.StatusResponse {
	response := &historypb.StatusResponse{Name: k.settings.Name, Leaving: k.leaving, StalledMs: k.stalled().Milliseconds(), Disk: k.disk, Spares: true}
	for i, s := range k.shards {
		response.Slices = append(response.Slices, sliceMark(s.number, s.mark))
		if k.toldMarks[i] != s.mark {
			k.toldMarks[i] = s.mark
			k.edition++
		}
	}
	response.Edition = k.edition
	return response
}

// stalled is for how long the disk has not finished a write; the lock is held.
func (k *Keeper) stalled() time.Duration {
	if k.writingSince.IsZero() {
		return 0
	}
	return time.Since(k.writingSince)
}

func (k *Keeper) sliceFor(number uint32) *shard {
	if number >= ShardCount {
		return nil
	}
	return k.shards[number]
}

func (k *Keeper) roleOf(s *shard) *historypb.Role {
	if s == nil {
		return nil
	}
	return &historypb.Role{Epoch: s.role.Epoch, Primary: s.role.Primary, Partners: s.role.Backups}
}
