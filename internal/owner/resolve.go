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

// Values of Resolution.By, besides operators, for a step settled by the instance that sent it or by
// a lookup at its service.
const (
	bySender = "sender"
	byLookup = "lookup"
)

// Errors of Resolve, to be tested with errors.Is.
var (
	ErrNotResident = errors.New("owner: no such program here")
	ErrBusy        = errors.New("owner: a step of the program is under way; try again")
	ErrNotUnknown  = errors.New("owner: no such step with an unknown outcome")
)

// upstreamKey returns the idempotency key that identifies a step to a tool service. It is the same
// for each attempt, and since it contains the program's id, no customer can produce another's key.
func upstreamKey(id program.ID, number int) string {
	return string(id) + "/" + strconv.Itoa(number)
}

// Resolve settles a step whose outcome is unknown, on behalf of an operator, a lookup or the step's
// former owner.
func (s *Service) Resolve(ctx context.Context, id program.ID, resolution program.Resolution) error {
	r := s.lookup(id)
	if r == nil {
		return ErrNotResident
	}
	if !r.claim(ctx) {
		return ErrBusy
	}
	defer r.unclaim()
	r.mu.Lock()
	event, refusal := r.state.Resolve(resolution, resolution.By == bySender)
	r.mu.Unlock()
	if refusal != nil {
		return errors.Wrap(ErrNotUnknown, refusal.Message)
	}
	if err := s.save(r, s.o.Log.AppendOrReplicate, dropUnsaved, event); err != nil {
		return err
	}
	s.log.WithField("program", string(id)).WithField("step", resolution.Number).
		WithField("ran", resolution.Verdict == program.Done).WithField("by", resolution.By).Info("unknown step resolved")
	return nil
}

// AcceptReport applies an outcome that a former owner of the program learned after the take-over.
// It is idempotent.
func (s *Service) AcceptReport(ctx context.Context, report Report) error {
	if s.moved.Load() {
		return ErrNotResident
	}
	report.Resolution.By = bySender
	err := s.Resolve(ctx, report.Program, report.Resolution)
	if errors.Is(err, ErrNotUnknown) {
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

// reportTimeout bounds how long a former owner tries to deliver an outcome. If that fails, the
// successor lists the step as unknown.
const reportTimeout = 10 * time.Minute

// startReport delivers the outcome of a step that was sent from here to the program's present
// owner, and retries until the owner accepts it or reportTimeout has passed.
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
				Error("outcome not delivered to the program's owner, which may list the step as unknown")
		}
	})
}

// runInBackground runs work in a goroutine whose context ends when the service closes.
func (s *Service) runInBackground(work func(ctx context.Context)) {
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		work(s.ctx)
	}()
}

// maxLookupAttempts is the number of attempts of one lookup of a call's outcome. After these the
// step is left to operators, or to the next lookup (see lookupInterval).
const maxLookupAttempts = 5

// startLookup queries the step's service for its outcome. Only a record of the call settles the
// step: a call that the service does not know may yet be sent by an owner that is paused.
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
				Warn("service reported no outcome; the step stays unknown until a later lookup or an operator resolves it")
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

// errNotKnownYet makes findWithRetry try again.
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
