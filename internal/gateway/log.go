package gateway

import (
	"maps"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
)

// stageTimes is the time that a call spent in each stage.
type stageTimes struct {
	// admitting is the wait for other instances' reports of the customer's calls.
	admitting time.Duration
	// reserving is the wait for the program's keepers before a turn, retaining the wait for them
	// after it.
	reserving, retaining time.Duration
	// resolving is the wait for other instances that know at which version a stream began.
	resolving time.Duration
	// placing is the wait for the scheduler to grant a replica.
	placing time.Duration
	// awaitingHeader is the time from the start of an attempt to its response header, summed over
	// all attempts.
	awaitingHeader time.Duration
}

// logResult writes the log line that summarises the call.
func (f *inFlightCall) logResult(r *Result) {
	fields := log.Fields{
		"request": f.call.ID,
		"outcome": r.Outcome.String(),
		"ms":      time.Since(f.call.Arrived).Milliseconds(),
		"sends":   r.Attempts,
	}
	if f.call.Program.ID != "" {
		fields["program"] = f.call.Program.ID
	}
	if objective := f.call.Program.Objective; !objective.IsZero() {
		fields["program_left_ms"] = time.Until(objective).Milliseconds()
	}
	if f.table != nil {
		fields["version"] = f.table.Version
	}
	if f.route != nil {
		fields["route"] = f.route.Name
	}
	if f.customer != nil {
		fields["customer"] = f.customer.Name
	}
	if r.Replica != "" {
		fields["replica"] = r.Replica
	}
	if r.Replica != "" && f.lastVersion != "" {
		fields["replica_version"] = f.lastVersion
	}
	f.addResumption(fields)
	if r.Status != 0 {
		fields["status"] = r.Status
	}
	if !f.firstEventAt.IsZero() {
		fields["first_ms"] = f.firstEventAt.Sub(f.call.Arrived).Milliseconds()
	}
	f.stageTimes.addTo(fields)
	f.gateway.shutdown.addTo(fields)
	f.addContinuation(fields, r)
	if r.Reason != "" {
		fields["reason"] = string(r.Reason)
		fields["retry_ms"] = r.RetryAfter.Milliseconds()
		if !f.deadline.IsZero() {
			fields["left_ms"] = time.Until(f.deadline).Milliseconds()
		}
	}
	f.gateway.logger.WithFields(fields).Info("call")
}

// addContinuation adds which turn the call continues, how long that turn has been out of reach, and for what the
// call was refused.
func (f *inFlightCall) addContinuation(fields log.Fields, r *Result) {
	if f.call.Previous != "" {
		fields["previous"] = boundedID(f.call.Previous)
	}
	if f.outOfReach > 0 {
		fields["out_of_reach_ms"] = f.outOfReach.Milliseconds()
	}
	if r.Cause == nil {
		return
	}
	fields["cause"] = r.Cause
	var details log.Fielder
	if errors.As(r.Cause, &details) {
		maps.Copy(fields, details.Fields())
	}
}

// maxLoggedID bounds the IDs of other calls in a log line, in bytes: callers choose them.
const maxLoggedID = 64

// addResumption adds which stream the call resumes, and after which event.
func (f *inFlightCall) addResumption(fields log.Fields) {
	if f.call.Resumes != "" {
		fields["resumes"] = boundedID(f.call.Resumes)
	}
	if f.call.ResumeAfter != "" {
		fields["resume_after"] = boundedID(f.call.ResumeAfter)
	}
	if s := &f.streamVersion; f.call.ResumeAfter != "" && f.route != nil && f.keepsVersion() {
		fields["version_found"], fields["version_answers"] = s.resolution.Source.String(), s.resolution.Answers
		if s.fixed {
			fields["began_at"] = s.version
		}
	}
}

func boundedID(id string) string { return id[:min(len(id), maxLoggedID)] }

// addTo adds the stages that took a millisecond or more to a log line's fields.
func (s *stageTimes) addTo(fields log.Fields) {
	for name, d := range map[string]time.Duration{
		"admitting_ms": s.admitting, "reserving_ms": s.reserving, "keeping_ms": s.retaining, "resolving_ms": s.resolving, "placing_ms": s.placing, "sending_ms": s.awaitingHeader,
	} {
		if d >= time.Millisecond {
			fields[name] = d.Milliseconds()
		}
	}
}
