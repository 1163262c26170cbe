package owner

import (
	"context"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"foxhall/internal/program"
	"foxhall/internal/step"
)

// Who settles an unknown step, beside an operator.
const (
	bySender = "sender"
	byLookup = "lookup"
)

// The errors of Resolve, to be tested with errors.Is.
var (
	ErrNoProgram = errors.New("owner: no such program here")
	ErrBusy      = errors.New("owner: a step of the program is under way; try again")
	ErrNoUnknown = errors.New("owner: no such step with an unknown outcome")
)

// upstreamKey is the idempotency key of a step towards a tool service. It is
// the same for each attempt at the step, and no customer can choose another's.
func upstreamKey(id program.ID, number int) string {
	return string(id) + "/" + strconv.Itoa(number)
}

// Resolve settles a step whose outcome is unknown, for an operator, a lookup
// or the step's former owner.
func (s *Service) Resolve(ctx context.Context, id program.ID, resolution program.Resolution) error {
	r := s.lookup(id)
	if r == nil {
		return ErrNoProgram
	}
	if !r.claim(ctx) {
		return ErrBusy
	}
	defer r.unclaim()
	r.mu.Lock()
	event, refusal := r.state.Resolve(resolution, resolution.By == bySender)
	r.mu.Unlock()
	if refusal != nil {
		return errors.Wrap(ErrNoUnknown, refusal.Message)
	}
	if err := s.save(r, s.o.Log.AppendOrHold, dropUnsaved, event); err != nil {
		return err
	}
	s.log.WithField("program", string(id)).WithField("step", resolution.Number).
		WithField("ran", resolution.Verdict == program.Done).WithField("by", resolution.By).Info("unknown step resolved")
	return nil
}

// AcceptReport takes what a former owner of the program learned of a step
// after the take-over. It may be repeated.
func (s *Service) AcceptReport(ctx context.Context, report Report) error {
	if s.moved.Load() {
		return ErrNoProgram
	}
	report.Resolution.By = bySender
	err := s.Resolve(ctx, report.Program, report.Resolution)
	if errors.Is(err, ErrNoUnknown) {
		return nil
	}
	return err
}

func resolutionOf(head program.StepIdentity, result step.Result, record program.StepResult) program.Resolution {
	return program.Resolution{
		Number:      head.Number,
		Hash:        head.Hash,
		Verdict:     verdictOf(result.Outcome),
		Status:      result.Status,
		ContentType: result.ContentType,
		Body:        result.Body,
		By:          bySender,
		Earning:     record.Earning,
	}
}

// reportFor bounds how long a former owner tries to hand over an outcome. What
// it can't deliver stays listed as unknown with the successor.
const reportTimeout = 10 * time.Minute

// report tells the program's present owner what became of a step that was sent
// from here, until it has taken it.
func (s *Service) startReport(r *resident, resolution program.Resolution) {
	if s.o.Successor == nil || resolution.Verdict == program.Unknown {
		return
	}
	s.runInBackground(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		_, err := backoff.Retry(ctx, func() (struct{}, error) {
			return struct{}{}, s.o.Successor.Report(ctx, Report{Program: r.id, Resolution: resolution})
		}, backoff.WithMaxElapsedTime(reportTimeout))
		if err != nil {
			s.log.WithError(err).WithField("program", string(r.id)).WithField("step", resolution.Number).
				Error("outcome not delivered to the program's owner")
		}
	})
}

// goBackground runs work beside the callers' steps until the service closes.
func (s *Service) runInBackground(work func(ctx context.Context)) {
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		work(s.ctx)
	}()
}

// lookupTries is how often a service is asked what became of one call; after
// that the step is left to the operators.
const maxLookupAttempts = 5

// lookUp asks the step's service what became of it. Only a positive answer
// settles the step: a call that the service does not know may still be on its
// way from a sender that is paused.
func (s *Service) startLookup(r *resident, number int) {
	if s.o.Lookup == nil {
		return
	}
	r.mu.Lock()
	service := r.state.Steps[number-1].Tool.Service
	r.mu.Unlock()
	s.runInBackground(func(ctx context.Context) {
		found, err := s.findWithRetry(ctx, service, upstreamKey(r.id, number))
		if err != nil || found == nil {
			s.log.WithField("program", string(r.id)).WithField("step", number).WithField("service", service).
				Warn("outcome unknown and not known to the service; resolve it by hand")
			return
		}
		_ = s.Resolve(ctx, r.id, program.Resolution{
			Number:      number,
			Verdict:     program.Done,
			Status:      found.Status,
			ContentType: found.ContentType,
			Body:        found.Body,
			By:          byLookup,
		})
	})
}

// errNotKnownYet makes a lookup ask again.
var errNotKnownYet = errors.New("owner: the service does not know the call yet")

func (s *Service) findWithRetry(ctx context.Context, service, key string) (*LookupResult, error) {
	select {
	case s.lookupSlots <- struct{}{}:
		defer func() { <-s.lookupSlots }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return backoff.Retry(ctx, func() (*LookupResult, error) {
		found, err := s.o.Lookup.Find(ctx, service, key)
		if err == nil && found == nil {
			return nil, errNotKnownYet
		}
		return found, err
	}, backoff.WithMaxTries(maxLookupAttempts))
}
