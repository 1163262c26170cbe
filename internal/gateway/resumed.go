package gateway

import (
	"context"
	"time"

	"github.com/apex/log"

	"foxhall/internal/buffer"
	"foxhall/internal/output"
)

// unreachableRetryAfter is the retry delay given to callers that resume a turn whose events an instance has that is not
// reached: another instance may reach it.
const unreachableRetryAfter = 200 * time.Millisecond

// Outputs holds the output of turns for callers that resume them.
type Outputs interface {
	// Self returns the name by which this instance's attempts are listed.
	Self() string
	// Begin begins the record of an attempt; nil if there is one of the same ID.
	Begin(key output.Key, after string, life time.Duration) *output.Record
	// Resolve finds the events that the caller of a resumed turn has.
	Resolve(ctx context.Context, q output.Question, attempts []output.Attempt, complete bool) output.Resolution
}

// turnAttempt is the call as an attempt at a turn that its caller may resume. It is empty for other turns.
type turnAttempt struct {
	listed *output.Attempt
	life   time.Duration
	record *output.Record
}

// beginAttempt begins the record of the call's output. It must be ended.
func (f *inFlightCall) beginAttempt() turnAttempt {
	outputs := f.gateway.settings.Outputs
	if outputs == nil || !f.route.RetainsTurns || !f.route.Resumable {
		return turnAttempt{}
	}
	c := f.call
	life := output.LifeOf(max(f.route.Timeout, c.Deadline.Sub(c.Arrived)))
	record := outputs.Begin(output.Key{Customer: f.customerName(), Program: c.Program.ID, Call: c.ID}, c.ResumeAfter, life)
	if record == nil {
		return turnAttempt{}
	}
	return turnAttempt{
		listed: &output.Attempt{
			Call: c.ID, Entry: outputs.Self(), Line: output.LineOf(c.Body, c.Host, c.Target, c.Program.Session, c.Previous),
			After: c.ResumeAfter, Resumes: c.Resumes,
		},
		life:   life,
		record: record,
	}
}

// restoreOutput adds to the record of a resumed turn the events that its caller has. It returns the call's refusal if they
// aren't known.
//
// It prevents the following failure: a turn that its caller has resumed is retained without the events of the earlier
// attempts, and the turns that continue it run with a prompt that lacks them.
func (f *inFlightCall) restoreOutput(ctx context.Context, attempt turnAttempt, reserved Reserved, rec *streamRecord) *Result {
	if f.call.ResumeAfter == "" || !rec.retainData {
		return nil
	}
	found := output.Resolution{Source: output.Unknown}
	if attempt.listed != nil {
		began := time.Now()
		q := output.Question{Customer: f.customerName(), Program: f.call.Program.ID, Attempt: *attempt.listed}
		found = f.gateway.settings.Outputs.Resolve(ctx, q, reserved.Attempts, reserved.AttemptsComplete)
		f.stageTimes.resolving += time.Since(began)
	}
	if found.Source != output.Found {
		result := refused(OutputUnknown, 0)
		if found.Source == output.Unreachable {
			result.RetryAfter = unreachableRetryAfter
		}
		result.Cause = &unknownOutputError{source: found.Source, attempts: len(reserved.Attempts), complete: reserved.AttemptsComplete}
		return &result
	}
	if err := rec.restore(found.Events); err != nil {
		result := refused(BuffersFull, buffersFullRetryAfter)
		result.Cause = err
		return &result
	}
	attempt.record.TakeOver(found)
	return nil
}

// restore adds the events of earlier attempts. They count as output of those.
func (r *streamRecord) restore(events []output.Event) error {
	size := 0
	for _, e := range events {
		size += len(e.Data) + retainedEventOverhead
	}
	if err := r.hold.Grow(buffer.Output, size); err != nil {
		return err
	}
	for _, e := range events {
		r.eventData = append(r.eventData, e.Data)
	}
	return nil
}

// unknownOutputError is why a resumed turn was refused.
type unknownOutputError struct {
	source   output.Source
	attempts int
	complete bool
}

// Error implements error.
func (e *unknownOutputError) Error() string { return "events before the resumption not known" }

// Fields implements log.Fielder.
func (e *unknownOutputError) Fields() log.Fields {
	return log.Fields{"output": e.source.String(), "turn_attempts": e.attempts, "turn_attempts_complete": e.complete}
}
