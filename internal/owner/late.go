package owner

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"foxhall/internal/program"
	"foxhall/internal/program/programpb"
)

// AdoptLate adopts records that a former owner held and could offer only after the adoption of
// their programs. Records that continue a program's history are appended. If a program has since
// continued without them, its history stays as it is and an error is logged. AdoptLate is
// idempotent.
func (s *Service) AdoptLate(ctx context.Context, from program.Cohort, records []Record) error {
	byProgram := map[program.ID][]program.Event{}
	for _, record := range records {
		event, err := program.Decode(record.Event)
		if err != nil {
			s.log.WithError(err).WithField("program", string(record.Program)).
				Error("corrupt event in late records skipped")
			continue
		}
		byProgram[record.Program] = append(byProgram[record.Program], event)
	}
	for id, events := range byProgram {
		if err := s.adoptLateProgram(ctx, from, id, events); err != nil {
			return err
		}
	}
	return nil
}

func (s *Service) adoptLateProgram(ctx context.Context, from program.Cohort, id program.ID, events []program.Event) error {
	r := s.lookup(id)
	if r == nil {
		return s.adoptLateUnknown(ctx, from, id, events)
	}
	if !r.claim(ctx) {
		return errors.Wrap(ErrBusy, string(id))
	}
	defer r.unclaim()
	if settled := r.resolutionEvents(events); len(settled) > 0 {
		return s.save(r, s.o.Log.AppendOrReplicate, dropUnsaved, settled...)
	}
	r.mu.Lock()
	following := r.state.Following(events)
	diverged := len(following) == 0 && !r.state.Contains(events)
	r.mu.Unlock()
	if diverged {
		s.log.WithField("program", string(id)).WithField("from", string(from)).
			Error("late records contradict the program's history and are discarded")
	}
	if len(following) == 0 {
		return nil
	}
	return s.appendLate(r, following)
}

// resolutionEvents returns events that settle unknown steps of the program with the outcomes that
// their sender recorded in events.
func (r *resident) resolutionEvents(events []program.Event) []*programpb.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var settling []*programpb.Event
	for _, resolution := range r.state.ResolutionsFrom(events) {
		resolution.By = bySender
		if event, refusal := r.state.Resolve(resolution, true); refusal == nil {
			settling = append(settling, event)
		}
	}
	return settling
}

// appendLate appends events that a former owner numbered, after the pending ones.
func (s *Service) appendLate(r *resident, events []program.Event) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.o.AppendTimeout)
	defer cancel()
	r.mu.Lock()
	batch := slices.Concat(r.pending, events)
	r.saving = true
	r.mu.Unlock()
	err := classifyAppendError(s.o.Log.Append(ctx, records(r.id, batch)...))
	r.completeAppend(err, dropUnsaved, batch, events, 0)
	if err == nil {
		s.log.WithField("program", string(r.id)).WithField("events", len(events)).Info("late records adopted")
	}
	return err
}

// adoptLateUnknown adopts a program that is not resident because only held records of it exist.
func (s *Service) adoptLateUnknown(ctx context.Context, from program.Cohort, id program.ID, events []program.Event) error {
	if events = program.FromFirst(events); len(events) == 0 {
		s.log.WithField("program", string(id)).
			Warn("late records of a program that is not resident lack its first event and are discarded")
		return nil
	}
	return s.Adopt(ctx, Adoption{Cohort: from, Shard: id.Shard(), Records: records(id, events)})
}
