package owner

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/program"
	"foxhall/internal/program/programpb"
)

// Run sweeps every Options.SweepInterval until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(s.o.SweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.Sweep(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// Sweep ends and expires programs, appends pending events, repeats lookups and detects stalled
// programs.
func (s *Service) Sweep(ctx context.Context) {
	if s.moved.Load() {
		return
	}
	total := sweepTotals{}
	for i := range s.shards {
		s.sweepShard(ctx, &s.shards[i], &total)
	}
	s.meters.programs.Update(total.programs)
	s.meters.stalled.Update(total.stalled)
	s.meters.unresolved.Update(total.unresolved)
}

type sweepTotals struct{ programs, stalled, unresolved int64 }

func (s *Service) sweepShard(ctx context.Context, sh *shard, total *sweepTotals) {
	now := time.Now()
	var ending []*resident
	for _, r := range sh.all() {
		found := r.assess(now, &s.o, total)
		if found.newlyStalled {
			s.log.WithField("program", string(r.id)).WithField("unresolved", found.unresolved).
				Warn("program with open work received no call for too long and is listed as stalled")
		}
		if found.unsaved && r.tryClaim() {
			_ = s.save(r, s.o.Log.AppendOrReplicate, keepUnsaved)
			r.unclaim()
		}
		if found.lookUpAgain {
			s.startLookups(r)
		}
		if found.shouldEnd {
			ending = append(ending, r)
		}
	}
	for batch := range slices.Chunk(ending, endChunk) {
		if ctx.Err() != nil || s.endPrograms(ctx, sh, batch) != nil {
			return
		}
	}
}

// endChunk is the maximum number of programs that are ended by one append.
const endChunk = 64

// assessment is what a sweep has to do for a program.
type assessment struct {
	shouldEnd, unsaved, newlyStalled, lookUpAgain bool
	unresolved                                    int
}

func (r *resident) assess(now time.Time, o *Options, total *sweepTotals) assessment {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state.Account {
		return assessment{shouldEnd: r.adopted}
	}
	total.programs++
	unresolved := r.state.Unresolved()
	total.unresolved += int64(unresolved)
	if r.claimed || r.waiters > 0 || r.openingChildren > 0 {
		return assessment{}
	}
	idle := now.Sub(r.usedAt)
	result := assessment{unsaved: len(r.pending) > 0 || len(r.deferred) > 0, unresolved: unresolved}
	if r.state.HasOpenWork() && idle >= o.StalledAfter {
		result.newlyStalled = !r.stalled
		r.stalled = true
		total.stalled++
	}
	if unresolved > 0 && now.Sub(r.lookedUpAt) >= lookupInterval {
		result.lookUpAgain, r.lookedUpAt = true, now
	}
	result.shouldEnd = r.shouldEnd(now, idle, unresolved, o)
	return result
}

// lookupInterval is the interval between lookups of an unknown step: a service that was unreachable
// when the step became unknown may know its outcome later.
const lookupInterval = 10 * time.Minute

// shouldEnd reports whether the program is to be ended. A program with an unknown step or a broken
// history stays until it is resolved; one that was abandoned with other open work stays listed as
// stalled for stalledRetention.
func (r *resident) shouldEnd(now time.Time, idle time.Duration, unresolved int, o *Options) bool {
	switch {
	case unresolved > 0 || r.state.Broken || len(r.pending) > 0 || len(r.deferred) > 0:
		return false
	case !r.state.EndRequestedAt.IsZero():
		return now.Sub(r.state.EndRequestedAt) >= o.EndedRetention && idle >= o.EndedRetention
	case r.state.HasOpenWork():
		return idle >= stalledRetention
	}
	return idle >= o.IdleExpiry
}

// stalledRetention is how long a stalled program without unknown steps is kept.
const stalledRetention = 7 * 24 * time.Hour

// endPrograms ends programs and adds their earnings to the shard's account in the same append, so
// that the earnings are counted exactly once whatever fails.
func (s *Service) endPrograms(ctx context.Context, sh *shard, batch []*resident) error {
	batch = s.claimEnding(batch)
	if len(batch) == 0 {
		return nil
	}
	defer func() {
		for _, r := range batch {
			r.unclaim()
		}
	}()
	account := s.account(sh, batch[0].id.Shard())
	if !account.claim(ctx) {
		return errors.WithStack(ctx.Err())
	}
	err := s.appendEnds(ctx, sh, account, batch)
	if errors.Is(err, ErrOutcomeUnknown) {
		batch = nil // the claims stay, since no event may follow an append that may yet be written
		return err
	}
	account.unclaim()
	return err
}

func (s *Service) countEnded(r *resident) {
	reason, counter := "its caller ended it", s.meters.ended
	if r.state.EndRequestedAt.IsZero() {
		reason, counter = "idle for too long", s.meters.expired
	}
	counter.Inc(1)
	s.log.WithField("program", string(r.id)).WithField("steps", len(r.state.Steps)).WithField("reason", reason).
		Info("program ended")
}

// claimEnding claims those programs of the list that are not in use and are still to be ended.
func (s *Service) claimEnding(list []*resident) []*resident {
	var claimed []*resident
	for _, r := range list {
		if !r.tryClaim() {
			continue
		}
		if r.shouldStillEnd(&s.o) {
			claimed = append(claimed, r)
			continue
		}
		r.unclaim()
	}
	return claimed
}

// shouldStillEnd repeats the check under the claim, since a call may have arrived before it.
func (r *resident) shouldStillEnd(o *Options) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state.Account {
		return true
	}
	now := time.Now()
	return r.waiters == 0 && r.openingChildren == 0 && r.shouldEnd(now, now.Sub(r.usedAt), r.state.Unresolved(), o)
}

// account returns the account of the earnings of the shard's ended programs, and creates it if there
// is none. index is the shard's number.
func (s *Service) account(sh *shard, index int) *resident {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.account != nil {
		return sh.account
	}
	id := program.NewIDInShard(s.o.Cohort, index)
	r := &resident{id: id, tree: &tree{}, state: &program.State{ID: id}, usedAt: time.Now()}
	r.applyPending(program.Open(program.Opening{ID: id, Account: true}))
	sh.residents[id] = r
	sh.account = r
	return r
}

// appendEnds appends the tombstones of the batch and the sums of its earnings in one append.
func (s *Service) appendEnds(ctx context.Context, sh *shard, account *resident, batch []*resident) error {
	ends := make([]Record, 0, len(batch))
	var merged []*programpb.Event
	for _, r := range batch {
		end, earned := r.endEvents()
		ends = append(ends, Record{Program: r.id, Event: end.Raw, Kind: TombstoneRecord})
		if earned != nil {
			merged = append(merged, earned)
		}
	}
	if len(merged) == 0 {
		err := s.appendUntilSettled(ctx, ends)
		if err == nil {
			s.removeEnded(batch)
		}
		return err
	}
	accountBatch, numbered, deferredCount := account.numberEvents(merged)
	err := s.appendUntilSettled(ctx, append(records(account.id, accountBatch), ends...))
	sh.endMu.Lock()
	defer sh.endMu.Unlock()
	account.completeAppend(err, dropUnsaved, accountBatch, numbered, deferredCount)
	if err == nil {
		s.removeEnded(batch)
	}
	return err
}

func (s *Service) removeEnded(batch []*resident) {
	for _, r := range batch {
		s.release(r)
		s.remove(r)
		s.countEnded(r)
	}
}

// endEvents returns the program's last event, and the event that merges its earnings into an
// account, or nil if it has none.
func (r *resident) endEvents() (end program.Event, earned *programpb.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	end = r.state.NumberEvents(time.Now(), program.End(endReason))[0]
	if len(r.state.Earnings(time.Time{})) > 0 {
		earned = program.MergeEarnings(r.state)
	}
	return end, earned
}

const endReason = "over"

// appendUntilSettled appends the records. After ErrOutcomeUnknown it repeats the append with the same
// records until they are written or the log is sealed, since no other event may follow an append
// that may yet be written. It returns ErrOutcomeUnknown if ctx ends first.
func (s *Service) appendUntilSettled(ctx context.Context, all []Record) error {
	unsettled := false
	for {
		attempt, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.o.AppendTimeout)
		err := classifyAppendError(s.o.Log.Append(attempt, all...))
		cancel()
		if errors.Is(err, ErrFenced) {
			s.MarkMoved()
		}
		unsettled = unsettled || errors.Is(err, ErrOutcomeUnknown)
		if err == nil || errors.Is(err, ErrFenced) || !unsettled {
			return err
		}
		select {
		case <-time.After(s.o.RetryAfter):
		case <-ctx.Done():
			return ErrOutcomeUnknown
		}
	}
}

// releaseEnded calls the release hooks of a program if its caller has ended it.
func (s *Service) releaseEnded(r *resident) {
	r.mu.Lock()
	ended := !r.state.EndRequestedAt.IsZero()
	r.mu.Unlock()
	if ended {
		s.release(r)
	}
}

// release calls the release hooks of a program, once.
func (s *Service) release(r *resident) {
	r.mu.Lock()
	done := r.released || r.state.Account
	r.released = true
	r.mu.Unlock()
	if done {
		return
	}
	for _, hook := range s.o.ReleaseHooks {
		hook(r.id)
	}
}
