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
	s := k.shardByID(r.Slice)
	if s == nil || !k.isPrimary(s) {
		defer k.mu.Unlock()
		return &historypb.ReserveResponse{Verdict: historypb.Verdict_MOVED, Role: k.encodeRole(s)}, nil
	}
	if v := k.servingVerdict(s, time.Now()); v != historypb.Verdict_DONE {
		defer k.mu.Unlock()
		return &historypb.ReserveResponse{Verdict: v}, nil
	}
	var chain []*historypb.Turn
	if r.Previous != "" && !r.Foreign {
		found, ok := s.state.chain(r.Customer, r.Previous)
		if !ok {
			e := k.replicate(s, nil)
			k.mu.Unlock()
			return &historypb.ReserveResponse{Verdict: verdictAfterCommit(ctx, e, historypb.Verdict_NO_TURN)}, nil
		}
		chain = found
	}
	verdict, account := s.state.reserve(r, time.Now())
	if verdict != historypb.Verdict_DONE {
		defer k.mu.Unlock()
		response := &historypb.ReserveResponse{Verdict: verdict}
		if a := s.state.account(r.Customer, r.Program); a != nil {
			response.Spent, response.Open = a.Spent, reservedTokens(a)
		}
		return response, nil
	}
	replica := s.state.preferredReplica(r.Customer, r.Program, chain)
	e := k.replicate(s, []*historypb.Record{accountRecord(r.Slice, account)})
	k.mu.Unlock()
	response := &historypb.ReserveResponse{Chain: chain, Replica: replica}
	addAttempts(response, account, r)
	response.Verdict = verdictAfterCommit(ctx, e, historypb.Verdict_DONE)
	return response, nil
}

// verdictAfterCommit returns the verdict once the change is committed, and NOT_NOW if that fails.
func verdictAfterCommit(ctx context.Context, e *pendingCommit, v historypb.Verdict) historypb.Verdict {
	if !awaitCommit(ctx, e) {
		return historypb.Verdict_NOT_NOW
	}
	return v
}

// isIsolated reports whether there was no contact with any other keeper for suspectTimeout; the
// lock is held. Changes can't be committed then.
func (k *Keeper) isIsolated() bool { return k.allUnresponsive(suspectTimeout) }

// allUnresponsive reports whether no other keeper was in contact within the timeout; the lock is
// held.
func (k *Keeper) allUnresponsive(timeout time.Duration) bool {
	for _, v := range k.views {
		if time.Since(v.lastContact) < timeout {
			return false
		}
	}
	return len(k.views) > 0
}

// Settle implements historypb.Keeper.
func (k *Keeper) Settle(ctx context.Context, r *historypb.SettleRequest) (*historypb.SettleResponse, error) {
	k.mu.Lock()
	s := k.shardByID(r.Slice)
	if s == nil || !k.isPrimary(s) {
		defer k.mu.Unlock()
		return &historypb.SettleResponse{Verdict: historypb.Verdict_MOVED, Role: k.encodeRole(s)}, nil
	}
	if k.isUncertainSoleHolder(s, time.Now()) {
		defer k.mu.Unlock()
		return &historypb.SettleResponse{Verdict: historypb.Verdict_NOT_NOW}, nil
	}
	e := k.replicate(s, s.state.settle(r, time.Now()))
	k.mu.Unlock()
	return &historypb.SettleResponse{Verdict: verdictAfterCommit(ctx, e, historypb.Verdict_DONE)}, nil
}

// Draw implements historypb.Keeper.
func (k *Keeper) Draw(ctx context.Context, r *historypb.DrawRequest) (*historypb.DrawResponse, error) {
	k.mu.Lock()
	s := k.shardByID(r.Slice)
	if s == nil || !k.isPrimary(s) {
		defer k.mu.Unlock()
		return &historypb.DrawResponse{Verdict: historypb.Verdict_MOVED, Role: k.encodeRole(s)}, nil
	}
	if k.isUncertainSoleHolder(s, time.Now()) {
		defer k.mu.Unlock()
		return &historypb.DrawResponse{Verdict: historypb.Verdict_NOT_NOW}, nil
	}
	held, account := s.state.draw(r, time.Now())
	e := k.replicate(s, []*historypb.Record{accountRecord(r.Slice, account)})
	k.mu.Unlock()
	return &historypb.DrawResponse{Verdict: verdictAfterCommit(ctx, e, historypb.Verdict_DONE), Held: held}, nil
}

// Find implements historypb.Keeper. It may return a turn that is not durable yet, since no caller
// knows the id of such a turn.
func (k *Keeper) Find(ctx context.Context, r *historypb.FindRequest) (*historypb.FindResponse, error) {
	k.mu.Lock()
	pending := map[uint32]*pendingCommit{}
	response := &historypb.FindResponse{}
	now := time.Now()
	for _, s := range k.shards {
		chain, gap := s.state.walkChain(r.Customer, r.Turn)
		if gap == nil {
			k.mu.Unlock()
			return &historypb.FindResponse{Chain: chain}, nil
		}
		if isTelling(gap) {
			gap.Slice = s.id
			response.Gaps = append(response.Gaps, gap)
		}
		if k.isPrimary(s) && !k.isUncertainSoleHolder(s, now) && !s.role.mayLack(defaultRetention, now) {
			pending[s.id] = k.replicate(s, nil)
		}
	}
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	for id, e := range pending {
		if awaitCommit(ctx, e) {
			response.Absent = append(response.Absent, id)
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
	var completed []*shard
	var epochs []uint64
	for _, a := range r.Slices {
		s := k.shardByID(a.Slice)
		if s == nil || !k.accepts(s, a) {
			response.Refused = append(response.Refused, k.refusal(a, s))
			continue
		}
		if a.Epoch > s.epochState.promised {
			k.promiseEpoch(s, a.Epoch)
			records = append(records, epochStateRecord(s.id, s.epochState))
		}
		for _, record := range a.Records {
			s.state.apply(record)
		}
		records = append(records, a.Records...)
		if a.Complete && !s.epochState.isComplete(a.Epoch) {
			records = append(records, epochStateRecord(s.id, epochState{promised: a.Epoch, base: a.Epoch}))
			completed, epochs = append(completed, s), append(epochs, a.Epoch)
		}
	}
	k.persist(records, func() {
		// Only the state on the disk counts: after a crash this keeper must know from it that it
		// has all of the shard.
		for i, s := range completed {
			s.epochState.merge(epochState{base: epochs[i]})
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

// accepts reports whether records of a primary may be accepted. Records for a disk that was
// replaced are refused, since the records before them are lost. A keeper that lost its disk does
// not know the latest epoch, so it first reads the assignment; otherwise it could accept records of
// a primary that was replaced long ago.
func (k *Keeper) accepts(s *shard, a *historypb.SliceAppend) bool {
	if !k.verified {
		notify(k.wakeReader)
		return false
	}
	return k.sameDisk(a.Disk) && a.Epoch >= s.epochState.promised && a.Epoch >= s.role.Epoch
}

// sameDisk reports whether this keeper has the named disk, or no disk is named.
func (k *Keeper) sameDisk(name string) bool { return name == "" || name == k.disk }

func (k *Keeper) refusal(a *historypb.SliceAppend, s *shard) *historypb.SliceMark {
	m := &historypb.SliceMark{Slice: a.Slice}
	if s != nil && k.verified && k.sameDisk(a.Disk) {
		m.Epoch = max(s.epochState.promised, s.role.Epoch)
	}
	return m
}

// promiseEpoch makes this keeper refuse lower epochs; the lock is held. Its records of them remain.
func (k *Keeper) promiseEpoch(s *shard, epoch uint64) {
	s.epochState.merge(epochState{promised: epoch})
	s.abortPending()
	if epoch > s.role.Epoch {
		k.readIfNotNotified(s)
	}
}

// Fetch implements historypb.Keeper. The promise to refuse lower epochs is on the disk before the
// records are read, so that this keeper can't acknowledge later changes of the previous primary.
func (k *Keeper) Fetch(ctx context.Context, r *historypb.FetchRequest) (*historypb.FetchResponse, error) {
	durable := make(chan struct{})
	k.mu.Lock()
	s := k.shardByID(r.Slice)
	if s == nil || !k.verified || !k.sameDisk(r.Disk) || r.Epoch < max(s.epochState.promised, s.role.Epoch) {
		defer k.mu.Unlock()
		notify(k.wakeReader)
		return &historypb.FetchResponse{Refused: true}, nil
	}
	if r.Epoch > s.epochState.promised {
		k.promiseEpoch(s, r.Epoch)
	}
	k.persist([]*historypb.Record{epochStateRecord(s.id, s.epochState)}, func() { close(durable) })
	k.mu.Unlock()
	select {
	case <-durable:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return &historypb.FetchResponse{Records: s.state.recordsMissingFrom(s.id, r.Have, time.Now())}, nil
}

// Status implements historypb.Keeper.
func (k *Keeper) Status(context.Context, *historypb.StatusRequest) (*historypb.StatusResponse, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.status(), nil
}

// status returns this keeper's status; the lock is held.
func (k *Keeper) status() *historypb.StatusResponse {
	response := &historypb.StatusResponse{Name: k.settings.Name, Leaving: k.draining, StalledMs: k.stalledFor().Milliseconds(), Disk: k.disk, Spares: true, Copies: true}
	for i, s := range k.shards {
		response.Slices = append(response.Slices, encodeEpochState(s.id, s.epochState))
		if k.broadcastStates[i] != s.epochState {
			k.broadcastStates[i] = s.epochState
			k.edition++
		}
	}
	response.Edition = k.edition
	return response
}

// stalledFor returns for how long the present disk write has been running; 0 if none is. The lock
// is held.
func (k *Keeper) stalledFor() time.Duration {
	if k.writingSince.IsZero() {
		return 0
	}
	return time.Since(k.writingSince)
}

func (k *Keeper) shardByID(id uint32) *shard {
	if id >= ShardCount {
		return nil
	}
	return k.shards[id]
}

func (k *Keeper) encodeRole(s *shard) *historypb.Role {
	if s == nil {
		return nil
	}
	return &historypb.Role{Epoch: s.role.Epoch, Primary: s.role.Primary, Partners: s.role.Backups}
}
