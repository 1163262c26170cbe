package owner

import (
	"context"
	"iter"
	"slices"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/program"
)

// Tail contains the records of an adopted log that only peers held (see Log.AppendOrReplicate).
type Tail struct {
	Records []Record
	// Uncertain indicates that unreachable instances may hold more records.
	Uncertain bool
}

// Adoption is one shard of a cohort whose log was sealed.
type Adoption struct {
	Cohort program.Cohort
	Shard  int
	// Records are the shard's records from the cohort's log and from every log whose adoption into
	// it was not complete, in any order. Adopting these logs one after the other would take a
	// program at an older state and count an account twice that was merged into another.
	Records []Record
	Tail    Tail
	// Unproven are the cohorts, including those of former owners, of which entire programs of the
	// shard may be lost. A call to an unknown program of these cohorts is answered
	// step.CodeHistoryUncertain.
	Unproven []program.Cohort
}

// Adopt makes the programs of a shard resident and writes their snapshots to this cohort's log. If
// it fails, the adoption is not complete and must be retried; until then calls to the programs
// wait. Programs that are resident and whose adoption is complete are not changed. A step whose
// intent has no outcome is unknown afterwards.
func (s *Service) Adopt(ctx context.Context, a Adoption) error {
	recovered := s.recoverPrograms(a)
	s.markUncertain(a)
	for batch := range slices.Chunk(recovered, adoptChunk) {
		if err := s.adoptBatch(ctx, batch); err != nil {
			return err
		}
	}
	for _, r := range recovered {
		s.finishAdoption(r)
	}
	s.log.WithField("from", string(a.Cohort)).WithField("slice", a.Shard).
		WithField("programs", len(recovered)).WithField("uncertain", a.Tail.Uncertain).Info("shard adopted")
	return nil
}

// adoptChunk is the number of program snapshots that are appended concurrently.
const adoptChunk = 64

// recoverPrograms folds the records into programs and makes these resident. Calls and compaction
// find them from then on; they stay claimed, so nothing changes them until the adoption is complete.
func (s *Service) recoverPrograms(a Adoption) []*resident {
	byProgram := map[program.ID][]program.Event{}
	tombstoned := map[program.ID]bool{}
	for _, record := range slices.Concat(a.Records, a.Tail.Records) {
		event, err := program.Decode(record.Event)
		if record.Kind == TombstoneRecord {
			tombstoned[record.Program] = true
			continue
		}
		if err != nil {
			s.log.WithError(err).WithField("program", string(record.Program)).
				Error("corrupt event in an adopted log skipped")
			continue
		}
		byProgram[record.Program] = append(byProgram[record.Program], event)
	}
	trees := map[program.ID]*tree{}
	var recovered []*resident
	for id, events := range byProgram {
		if tombstoned[id] {
			continue
		}
		if r := s.lookup(id); r != nil {
			if r.isAdopting() {
				s.mergeTail(r, events, a.Tail.Uncertain)
				recovered = append(recovered, r)
			}
			continue
		}
		if r := s.recoverProgram(id, events, a.Tail.Uncertain, trees); r != nil {
			recovered = append(recovered, r)
		}
	}
	countChildren(recovered)
	for _, r := range recovered {
		s.insert(r)
	}
	return recovered
}

// mergeTail applies the events that a retried adoption has beyond those of the earlier try. Without
// it, records that a former owner offered between the tries would be lost unnoticed, because the
// shard then counts as adopted including them.
func (s *Service) mergeTail(r *resident, events []program.Event, uncertain bool) {
	for settled := r.resolutionEvents(events); len(settled) > 0; settled = r.resolutionEvents(events) {
		r.mu.Lock()
		r.apply(r.state.NumberEvents(time.Now(), settled[0]))
		r.mu.Unlock()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state.Broken {
		return
	}
	before := r.state.Attained
	r.apply(r.state.Following(events))
	r.tree.attained.Add(int64(r.state.Attained - before))
	r.usedAt = r.state.LastAt
	diverged := !r.state.Contains(events)
	if diverged {
		s.log.WithField("program", string(r.id)).
			Error("held records contradict the program's history and are discarded")
	}
	r.state.Uncertain = r.state.Uncertain || (uncertain || diverged) && !r.state.Account
}

// recoverProgram returns the program folded from its events, claimed until its adoption is complete,
// or nil if it has ended.
func (s *Service) recoverProgram(id program.ID, events []program.Event, uncertain bool, trees map[program.ID]*tree) *resident {
	state, err := program.Fold(id, events)
	if err != nil {
		s.meters.broken.Inc(1)
		s.log.WithError(err).WithField("program", string(id)).Error("history is incomplete; the program is not served")
	}
	if state.Ended {
		return nil
	}
	state.Uncertain = state.Uncertain || uncertain && !state.Account
	r := &resident{
		id:       id,
		state:    state,
		claimed:  true,
		adopting: true,
		adopted:  true,
		saved:    true,
		usedAt:   state.LastAt,
	}
	root := state.Root
	if trees[root] == nil {
		trees[root] = &tree{}
	}
	r.tree = trees[root]
	r.tree.attained.Add(int64(state.Attained))
	return r
}

// countChildren raises each program's count of sub-agents to the number recovered, as a parent may
// not have recorded the opening of a sub-agent yet.
func countChildren(recovered []*resident) {
	children := map[program.ID]int{}
	for _, r := range recovered {
		if r.state.Parent != "" {
			children[r.state.Parent]++
		}
	}
	for _, r := range recovered {
		r.mu.Lock()
		r.state.Children = max(r.state.Children, children[r.id])
		r.mu.Unlock()
	}
}

func (r *resident) isAdopting() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.adopting
}

func (s *Service) markUncertain(a Adoption) {
	sh := &s.shards[a.Shard]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.uncertain == nil {
		sh.uncertain = map[program.Cohort]bool{}
	}
	if a.Tail.Uncertain {
		sh.uncertain[a.Cohort] = true
	}
	for _, c := range a.Unproven {
		sh.uncertain[c] = true
	}
}

// adoptBatch appends the snapshots of the batch concurrently, one append each; the log groups them
// into entries.
func (s *Service) adoptBatch(ctx context.Context, batch []*resident) error {
	errs := make(chan error, len(batch))
	for _, r := range batch {
		go func() { errs <- s.writeSnapshot(ctx, r) }()
	}
	var failure error
	for range batch {
		if err := <-errs; err != nil {
			failure = err
		}
	}
	if errors.Is(failure, ErrFenced) {
		s.MarkMoved()
	}
	return failure
}

func (s *Service) writeSnapshot(ctx context.Context, r *resident) error {
	r.mu.Lock()
	if recovery := r.state.MarkPendingUnknown(); recovery != nil {
		r.apply(r.state.NumberEvents(time.Now(), recovery))
	}
	event := r.state.Snapshot(time.Now())
	r.mu.Unlock()
	err := s.o.Log.Append(ctx, Record{Program: r.id, Event: event.Raw, Kind: SnapshotRecord})
	if errors.Is(err, ErrTooLarge) {
		s.markTooLarge(r, len(event.Raw))
		return nil
	}
	return err
}

// markTooLarge marks a program as broken because its snapshot does not fit into a log entry. It is
// listed as broken and not served. Otherwise the adoption would fail on each try, and calls to
// all other programs of the shard would wait forever.
func (s *Service) markTooLarge(r *resident, size int) {
	r.mu.Lock()
	r.state.Broken = true
	r.mu.Unlock()
	s.meters.broken.Inc(1)
	s.log.WithField("program", string(r.id)).WithField("bytes", size).
		Error("history is too large for the log; the program is not served")
}

func (s *Service) removeAll(list []*resident) {
	for _, r := range list {
		s.remove(r)
	}
}

// finishAdoption lets calls to the program proceed and starts lookups of its unknown steps.
func (s *Service) finishAdoption(r *resident) {
	s.meters.recovered.Inc(1)
	r.mu.Lock()
	r.adopting, r.claimed, r.lookedUpAt = false, false, time.Now()
	r.notifyWaiters()
	r.mu.Unlock()
	s.startLookups(r)
}

// startLookups starts a lookup of each step whose outcome is unknown.
func (s *Service) startLookups(r *resident) {
	for _, number := range r.unresolved() {
		s.startLookup(r, number)
	}
}

// unresolved returns the numbers of the steps whose outcome is unknown.
func (r *resident) unresolved() []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	var numbers []int
	for i := range r.state.Steps {
		if r.state.Steps[i].Verdict == program.Unknown {
			numbers = append(numbers, i+1)
		}
	}
	return numbers
}

// Snapshot returns one event that replaces all earlier ones of the program, and false if the
// program is not resident or has ended. It waits for the program's append in flight, so that the
// log holds no event that the snapshot lacks.
func (s *Service) Snapshot(id program.ID) (event []byte, live bool) {
	r := s.lookup(id)
	if r == nil {
		return nil, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.saving && !r.removed {
		changed := r.changeChannel()
		r.mu.Unlock()
		<-changed
		r.mu.Lock()
	}
	if r.removed {
		return nil, false
	}
	return r.state.Snapshot(time.Now()).Raw, true
}

// Live iterates over the programs owned here, for the cleanup of engine memory.
func (s *Service) Live() iter.Seq[program.ID] {
	return func(yield func(program.ID) bool) {
		for i := range s.shards {
			for _, r := range s.shards[i].all() {
				if r.isProgram() && !yield(r.id) {
					return
				}
			}
		}
	}
}

// isProgram reports whether the resident is a program for which engines may hold memory.
func (r *resident) isProgram() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.state.Account && !r.released && !r.removed
}
