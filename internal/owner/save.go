package owner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/program"
	"foxhall/internal/program/programpb"
)

// appendFunc is one of the two ways into the log.
type appendFunc func(ctx context.Context, records ...Record) error

// keep says what becomes of events that surely are not in the log.
type keep bool

const (
	// dropUnsaved forgets them: the decision is taken back.
	dropUnsaved keep = false
	// keepUnsaved holds them until a later append takes them along: what they
	// tell has happened.
	keepUnsaved keep = true
)

// save appends what is pending, then the decided events, and takes them into
// the state once they are in the log. The caller has claimed the program.
//
// After ErrUnsettled the events count as decided and are appended again before
// anything else of the program; the numbers in them make the double harmless.
func (s *Service) save(r *resident, add appendFunc, k keep, decided ...*programpb.Event) error {
	batch, sealed, notes := r.seal(decided)
	if len(batch) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.o.StoreWait)
	err := settleable(add(ctx, records(r.id, batch)...))
	cancel()
	r.settle(err, k, batch, sealed, notes)
	if errors.Is(err, ErrFenced) {
		s.HandedOver()
	}
	return err
}

// settleable maps errors that a Log should not return to the weakest one.
func settleable(err error) error {
	for _, known := range []error{ErrUnavailable, ErrFenced, ErrTooLarge, ErrUnsettled} {
		if err == nil || errors.Is(err, known) {
			return err
		}
	}
	return errors.Wrap(ErrUnsettled, err.Error())
}

// seal numbers the decided events behind the program's notes. batch is what is
// to be appended, sealed the part of it that the state does not hold yet.
func (r *resident) seal(decided []*programpb.Event) (batch, sealed []program.Event, notes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	notes = len(r.notes)
	all := append(r.notes[:notes:notes], decided...)
	sealed = r.state.NumberEvents(time.Now(), all...)
	batch = append(r.pending[:len(r.pending):len(r.pending)], sealed...)
	r.saving = len(batch) > 0
	return batch, sealed, notes
}

func (r *resident) settle(err error, k keep, batch, sealed []program.Event, notes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.saving = false
	r.wake()
	switch {
	case err == nil:
		r.pending, r.saved = nil, true
	case errors.Is(err, ErrFenced), errors.Is(err, ErrTooLarge):
		return
	case errors.Is(err, ErrUnsettled):
		r.pending, r.saved = batch, true
	case k == dropUnsaved:
		return
	default:
		r.pending = batch
	}
	r.notes = r.notes[notes:]
	r.apply(sealed)
}

// apply takes events into the state that were sealed for it. The lock is held.
func (r *resident) apply(sealed []program.Event) {
	for _, e := range sealed {
		if err := r.state.Apply(e); err != nil {
			panic("owner: an event sealed here does not follow: " + err.Error())
		}
	}
}

// decide takes an event into the state at once and leaves it to the next append.
func (r *resident) decide(event *programpb.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sealed := r.state.NumberEvents(time.Now(), event)
	r.pending = append(r.pending, sealed...)
	r.apply(sealed)
}

// note leaves an event to the next append.
func (r *resident) note(event *programpb.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes = append(r.notes, event)
}

func records(id program.ID, events []program.Event) []Record {
	out := make([]Record, 0, len(events))
	for _, e := range events {
		out = append(out, Record{Program: id, Event: e.Raw})
	}
	return out
}
