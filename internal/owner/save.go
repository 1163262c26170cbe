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
type unsavedPolicy bool

const (
	// dropUnsaved forgets them: the decision is taken back.
	dropUnsaved unsavedPolicy = false
	// keepUnsaved holds them until a later append takes them along: what they
	// tell has happened.
	keepUnsaved unsavedPolicy = true
)

// save appends what is pending, then the decided events, and takes them into
// the state once they are in the log. The caller has claimed the program.
//
// After ErrUnsettled the events count as decided and are appended again before
// anything else of the program; the numbers in them make the double harmless.
func (s *Service) save(r *resident, appendTo appendFunc, policy unsavedPolicy, decided ...*programpb.Event) error {
	batch, numbered, deferredCount := r.numberEvents(decided)
	if len(batch) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.o.AppendTimeout)
	err := classifyAppendError(appendTo(ctx, records(r.id, batch)...))
	cancel()
	r.completeAppend(err, policy, batch, numbered, deferredCount)
	if errors.Is(err, ErrFenced) {
		s.HandedOver()
	}
	return err
}

// settleable maps errors that a Log should not return to the weakest one.
func classifyAppendError(err error) error {
	for _, known := range []error{ErrUnavailable, ErrFenced, ErrTooLarge, ErrUnsettled} {
		if err == nil || errors.Is(err, known) {
			return err
		}
	}
	return errors.Wrap(ErrUnsettled, err.Error())
}

// seal numbers the decided events behind the program's notes. batch is what is
// to be appended, sealed the part of it that the state does not hold yet.
func (r *resident) numberEvents(decided []*programpb.Event) (batch, numbered []program.Event, deferredCount int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	deferredCount = len(r.deferred)
	all := append(r.deferred[:deferredCount:deferredCount], decided...)
	numbered = r.state.NumberEvents(time.Now(), all...)
	batch = append(r.pending[:len(r.pending):len(r.pending)], numbered...)
	r.saving = len(batch) > 0
	return batch, numbered, deferredCount
}

func (r *resident) completeAppend(err error, policy unsavedPolicy, batch, numbered []program.Event, deferredCount int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.saving = false
	r.notifyWaiters()
	switch {
	case err == nil:
		r.pending, r.saved = nil, true
	case errors.Is(err, ErrFenced), errors.Is(err, ErrTooLarge):
		return
	case errors.Is(err, ErrUnsettled):
		r.pending, r.saved = batch, true
	case policy == dropUnsaved:
		return
	default:
		r.pending = batch
	}
	r.deferred = r.deferred[deferredCount:]
	r.apply(numbered)
}

// apply takes events into the state that were sealed for it. The lock is held.
func (r *resident) apply(numbered []program.Event) {
	for _, e := range numbered {
		if err := r.state.Apply(e); err != nil {
			panic("owner: an event sealed here does not follow: " + err.Error())
		}
	}
}

// decide takes an event into the state at once and leaves it to the next append.
func (r *resident) applyPending(event *programpb.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	numbered := r.state.NumberEvents(time.Now(), event)
	r.pending = append(r.pending, numbered...)
	r.apply(numbered)
}

// note leaves an event to the next append.
func (r *resident) deferEvent(event *programpb.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deferred = append(r.deferred, event)
}

func records(id program.ID, events []program.Event) []Record {
	list := make([]Record, 0, len(events))
	for _, e := range events {
		list = append(list, Record{Program: id, Event: e.Raw})
	}
	return list
}
