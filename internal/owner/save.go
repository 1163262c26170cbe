package owner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/program"
	"foxhall/internal/program/programpb"
)

// appendFunc is Log.Append or Log.AppendOrReplicate.
type appendFunc func(ctx context.Context, records ...Record) error

// unsavedPolicy decides about events that were not written to the log.
type unsavedPolicy bool

const (
	// dropUnsaved discards the events: the decision that they record is reversed.
	dropUnsaved unsavedPolicy = false
	// keepUnsaved keeps the events pending for a later append: what they record has happened.
	keepUnsaved unsavedPolicy = true
)

// save appends the pending events, the deferred and then the decided ones, and applies them to the
// state once they are in the log. The caller has claimed the program.
//
// After ErrOutcomeUnknown the events are applied and appended again before any other event of the
// program. A duplicate in the log is harmless, since events are numbered.
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
		s.MarkMoved()
	}
	return err
}

// classifyAppendError returns err if it is nil or one of the errors of a Log, and otherwise wraps it
// as ErrOutcomeUnknown.
func classifyAppendError(err error) error {
	for _, known := range []error{ErrUnavailable, ErrFenced, ErrTooLarge, ErrOutcomeUnknown} {
		if err == nil || errors.Is(err, known) {
			return err
		}
	}
	return errors.Wrap(ErrOutcomeUnknown, err.Error())
}

// numberEvents numbers the deferred events and then the decided ones. batch is to be appended;
// numbered is the part of it that the state does not include yet. deferredCount is the number of
// deferred events in it.
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

// completeAppend updates the state and the pending events after an append of batch. After ErrFenced
// and ErrTooLarge the numbered events are discarded whatever the policy.
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
	case errors.Is(err, ErrOutcomeUnknown):
		r.pending, r.saved = batch, true
	case policy == dropUnsaved:
		return
	default:
		r.pending = batch
	}
	r.deferred = r.deferred[deferredCount:]
	r.apply(numbered)
}

// apply applies events that were numbered for the state. The lock is held.
func (r *resident) apply(numbered []program.Event) {
	for _, e := range numbered {
		if err := r.state.Apply(e); err != nil {
			panic("owner: an event numbered here does not apply to the program's state: " + err.Error())
		}
	}
}

// applyPending applies an event to the state at once and leaves it pending for the next append.
func (r *resident) applyPending(event *programpb.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	numbered := r.state.NumberEvents(time.Now(), event)
	r.pending = append(r.pending, numbered...)
	r.apply(numbered)
}

// deferEvent leaves an event to be numbered, applied and appended with the program's next ones.
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
