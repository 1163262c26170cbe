package owner

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/chat"
	"foxhall/internal/program"
	"foxhall/internal/program/programpb"
	"foxhall/internal/step"
)

// startFlight starts the flight of a step whose turn it is. The lock is held, and the caller has
// counted the step in s.flights.
func (s *Service) startFlight(r *resident, call step.Call, a program.Attempt) (*flight, chan struct{}) {
	first := call.Program == ""
	call.Program, call.Number = r.id, r.state.Next()
	f := &flight{
		id:       r.id,
		head:     program.StepIdentity{Number: call.Number, Key: a.Key, Hash: a.Hash},
		call:     call,
		deadline: s.flightDeadline(call),
	}
	ctx, cancel := context.WithDeadline(s.ctx, f.deadline)
	f.cancel = cancel
	signal := f.join()
	r.claimed, r.flight, r.started = true, f, true
	go s.runFlight(ctx, r, f, a, first)
	return f, signal
}

func (s *Service) flightDeadline(call step.Call) time.Time {
	limit := time.Duration(call.Plan.Bounds.StepTime)
	if limit <= 0 {
		limit = s.o.StepTimeout
	}
	deadline := time.Now().Add(limit)
	if !call.Deadline.IsZero() && call.Deadline.Before(deadline) {
		return call.Deadline
	}
	return deadline
}

func (s *Service) runFlight(ctx context.Context, r *resident, f *flight, a program.Attempt, first bool) {
	defer s.flights.end()
	result := s.execute(ctx, r, f, a)
	result.Program, result.Number = f.id, f.head.Number
	if first && !s.finishOpening(r) {
		result.Program = ""
	}
	r.mu.Lock()
	r.flight, r.claimed, r.usedAt, r.stalled = nil, false, time.Now(), false
	if result.Outcome == step.Done {
		result.Turn = r.state.TurnToken()
	}
	r.notifyWaiters()
	r.mu.Unlock()
	s.releaseEnded(r)
	f.finish(result)
}

// execute runs the step of a flight, from the checks to the record of its outcome.
func (s *Service) execute(ctx context.Context, r *resident, f *flight, a program.Attempt) step.Result {
	if !s.savePending(r) {
		if s.moved.Load() {
			return *movedResult()
		}
		return *s.storeUnavailable()
	}
	work, added, refusal := s.prepare(r, f, a)
	if refusal != nil {
		return *refusal
	}
	if !work.Repeatable && !s.o.Log.Available() {
		return *s.storeUnavailable()
	}
	placed, refused := s.o.Executor.Admit(ctx, work)
	if refused != nil {
		return *refused
	}
	if refusal := s.beforeSend(ctx); refusal != nil {
		placed.Cancel()
		return *refusal
	}
	switch {
	case f.call.Model != nil:
		return s.runModel(ctx, r, f, placed, added)
	case work.Repeatable:
		return s.runRepeatable(ctx, r, f, placed)
	}
	return s.runOnce(ctx, r, f, placed)
}

// beforeSend refuses a step right before it is sent if its context has ended or the lease is not
// held. It guards against an owner that is paused while a call waits for its placement: a successor
// continues the program, and the owner would resume and send an outdated step. For a call that may
// not be repeated, the append of its intent fails in that case; a model call would reach an engine
// out of order. Since the append takes time, the lease is checked again after it, and the executor
// checks it before each further attempt. A pause between the last check and the first byte sent
// remains possible: the step is then unknown to the successor and has the same idempotency key.
func (s *Service) beforeSend(ctx context.Context) *step.Result {
	if ctx.Err() != nil {
		return s.flightContextRefusal(ctx)
	}
	if s.maySend() {
		return nil
	}
	r := refuse(http.StatusServiceUnavailable, step.CodeOwnerUnreachable, "the owner can't tell whether it still is")
	r.RetryAfter = s.o.RetryAfter
	return r
}

func (s *Service) maySend() bool { return s.o.Lease == nil || s.o.Lease.Held() }

func (s *Service) flightContextRefusal(ctx context.Context) *step.Result {
	if s.ctx.Err() != nil {
		return shuttingDown()
	}
	return contextRefusal(ctx)
}

// savePending appends the pending events of earlier steps, so that no step builds on a turn that may
// be lost. The events of a new program are appended together with those of its first step.
func (s *Service) savePending(r *resident) bool {
	r.mu.Lock()
	nothingToSave := len(r.pending) == 0 || len(r.state.Steps) == 0 && !r.saved
	r.mu.Unlock()
	return nothingToSave || s.save(r, s.o.Log.AppendOrReplicate, keepUnsaved) == nil
}

// prepare checks the step against its program and describes it for the executor.
func (s *Service) prepare(r *resident, f *flight, a program.Attempt) (*Work, []chat.Message, *step.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sent, history, added []chat.Message
	var refusal *program.Refusal
	if f.call.Model != nil {
		sent = f.call.Model.Messages
	}
	if refusal = r.state.CheckHistory(a, sent, s.stepKind(f.call)); refusal != nil {
		result := refusalOf(refusal)
		result.MissingStep = r.state.Next()
		return nil, nil, result
	}
	if f.call.Model != nil {
		if history, added, refusal = r.state.Merge(sent); refusal != nil {
			return nil, nil, refusalOf(refusal)
		}
	}
	if refusal = r.state.CheckBounds(time.Now(), added); refusal != nil {
		return nil, nil, refusalOf(refusal)
	}
	return s.newWork(r, f, history), added, nil
}

func (s *Service) stepKind(call step.Call) program.Kind {
	switch {
	case call.Tool == nil:
		return program.ModelKind
	case s.mayRepeat(call.Tool):
		return program.RepeatableToolKind
	}
	return program.NonRepeatableKind
}

func (s *Service) newWork(r *resident, f *flight, history []chat.Message) *Work {
	return &Work{
		Call:            f.call,
		Program:         r.id,
		Number:          f.head.Number,
		Root:            r.state.Root,
		AttainedService: time.Duration(r.tree.attained.Load()),
		Depth:           r.state.Depth,
		History:         history,
		ThinkTimes:      append([]time.Duration(nil), r.state.Pauses...),
		Repeatable:      s.stepKind(f.call) != program.NonRepeatableKind,
		IdempotencyKey:  upstreamKey(r.id, f.head.Number),
		Deadline:        f.deadline,
		MaySend:         s.maySend,
	}
}

// runModel runs a model call and makes its turn durable before the end of the response is passed to
// callers.
func (s *Service) runModel(ctx context.Context, r *resident, f *flight, placed PlacedStep, added []chat.Message) step.Result {
	result, record := s.runPlaced(ctx, r, f, placed)
	if result.Outcome != step.Done {
		s.recordFailure(r, record)
		return result
	}
	if len(result.AssistantMessage.Raw) == 0 {
		s.recordFailure(r, record)
		return upstreamFailed("the engine's answer holds no message")
	}
	turn := program.RecordTurn(record, program.Turn{
		Added:        added,
		Message:      result.AssistantMessage,
		Model:        result.Model,
		FinishReason: result.FinishReason,
		Usage:        result.Usage,
	})
	switch err := s.save(r, s.o.Log.AppendOrReplicate, keepUnsaved, turn); {
	case err == nil:
		return withBody(result, f)
	case errors.Is(err, ErrFenced):
		unrecorded := *movedResult()
		unrecorded.Outcome = step.Unknown
		unrecorded.Message = "another instance owns the program now; the turn was not taken, ask again"
		return unrecorded
	case errors.Is(err, ErrTooLarge):
		return upstreamFailed("the answer is too large for the program's history")
	}
	return s.notDurable()
}

func withBody(result step.Result, f *flight) step.Result {
	if len(result.Body) == 0 {
		result.Program = f.id
		result.ContentType = contentJSON
		result.Body = completion(result, time.Now())
	}
	return result
}

func upstreamFailed(message string) step.Result {
	return step.Result{
		Outcome: step.Unknown,
		Status:  http.StatusBadGateway,
		Code:    step.CodeUpstreamFailed,
		Message: message,
	}
}

// runPlaced sends a placed step and measures its service time.
func (s *Service) runPlaced(ctx context.Context, r *resident, f *flight, placed PlacedStep) (step.Result, program.StepResult) {
	var sink step.Sink
	if f.call.Model != nil && f.call.Model.Stream {
		sink = flightSink{f}
	}
	start := time.Now()
	result := placed.Run(ctx, sink)
	elapsed := time.Since(start)
	r.tree.attained.Add(int64(elapsed))
	return result, program.StepResult{
		Identity:    f.head,
		Upstream:    result.Upstream,
		ServiceTime: elapsed,
		Earning:     earning(result, f.call),
		EndsProgram: f.call.EndsProgram,
	}
}

// flightSink is the step.Sink through which the executor streams to the callers of a flight.
type flightSink struct{ f *flight }

func (k flightSink) Begin(r step.Result) error {
	r.Program, r.Number = k.f.id, k.f.head.Number
	return k.f.Begin(r)
}

func (k flightSink) Chunk(data []byte) error { return k.f.Chunk(data) }

// basisPointsPerUnit is the number of basis points in the whole price; a plan's cut is given in
// basis points.
const basisPointsPerUnit = 10_000

func earning(result step.Result, call step.Call) program.Earning {
	price := int64(result.Price)
	return program.Earning{Price: price, Cut: price * int64(call.Plan.CutBasisPoints) / basisPointsPerUnit}
}

// recordFailure records the cost of a repeatable step that has no response.
func (s *Service) recordFailure(r *resident, record program.StepResult) {
	if record.Earning != (program.Earning{}) {
		_ = s.save(r, s.o.Log.AppendOrReplicate, keepUnsaved, program.RecordFailure(record))
	}
}

// runRepeatable runs a tool call that may be repeated. Its response is returned only once it is
// recorded: the log holds nothing else of the step, so a successor would refuse the caller's next
// step because this one is missing. A step that was not recorded is run again when repeated.
func (s *Service) runRepeatable(ctx context.Context, r *resident, f *flight, placed PlacedStep) step.Result {
	result, record := s.runPlaced(ctx, r, f, placed)
	if result.Outcome != step.Done {
		s.recordFailure(r, record)
		return result
	}
	switch err := s.save(r, s.o.Log.AppendOrReplicate, keepUnsaved, outcomeEvent(f, result, record)); {
	case err == nil:
		return result
	case errors.Is(err, ErrFenced):
		unrecorded := *movedResult()
		unrecorded.Outcome = step.Unknown
		unrecorded.Message = "another instance owns the program now; the answer was not recorded, ask again"
		return unrecorded
	case errors.Is(err, ErrTooLarge):
		return upstreamFailed("the answer is too large to be recorded")
	}
	return s.notDurable()
}

// outcomeEvent returns the event that records the outcome of a tool step.
func outcomeEvent(f *flight, result step.Result, record program.StepResult) *programpb.Event {
	return program.RecordOutcome(record, program.ToolResponse{
		Call:        toolCall(f.call.Tool),
		Verdict:     verdictOf(result.Outcome),
		Status:      result.Status,
		ContentType: result.ContentType,
		Body:        result.Body,
	})
}

// runOnce runs a tool call that may not be repeated. Its intent is in the log before the first byte
// is sent. From the append of the intent on the step runs without regard to its callers, and an
// owner that finds the intent without an outcome does not send the call.
func (s *Service) runOnce(ctx context.Context, r *resident, f *flight, placed PlacedStep) step.Result {
	if !f.detach() {
		placed.Cancel()
		return *cancelledResult()
	}
	err := s.save(r, s.o.Log.Append, dropUnsaved, program.RecordIntent(f.head, toolCall(f.call.Tool)))
	if err != nil {
		placed.Cancel()
		return s.intentNotWritten(r, f, err)
	}
	if refusal := s.beforeSend(ctx); refusal != nil {
		placed.Cancel()
		s.withdrawIntent(r, f)
		return *refusal
	}
	result, record := s.runPlaced(ctx, r, f, placed)
	if result.Outcome == step.Unknown {
		result.Code = step.CodeOutcomeUnknown
	}
	if err := s.recordOutcome(r, f, result, record); errors.Is(err, ErrFenced) {
		s.startReport(r, resolutionOf(f.head, result, record))
	}
	if result.Outcome == step.Unknown {
		s.startLookup(r, f.head.Number)
	}
	return result
}

// intentNotWritten returns the result of a step whose intent is not known to be in the log. The step
// was not sent and will not be. If the intent may be in the log, it is withdrawn with the program's
// next append. A successor that finds the intent without the withdrawal answers "unknown", which
// promises less but is never wrong.
func (s *Service) intentNotWritten(r *resident, f *flight, err error) step.Result {
	switch {
	case errors.Is(err, ErrFenced):
		return *movedResult()
	case errors.Is(err, ErrOutcomeUnknown):
		r.applyPending(notRunEvent(f))
	}
	return *s.storeUnavailable()
}

// notRunEvent returns the event that withdraws the step's intent.
func notRunEvent(f *flight) *programpb.Event {
	return program.RecordOutcome(program.StepResult{Identity: f.head}, program.ToolResponse{
		Call:    toolCall(f.call.Tool),
		Verdict: program.NotRun,
	})
}

// withdrawIntent records that a step whose intent is in the log was not sent, and reports it to the
// successor if the log is sealed.
func (s *Service) withdrawIntent(r *resident, f *flight) {
	err := s.save(r, s.o.Log.AppendOrReplicate, keepUnsaved, notRunEvent(f))
	if errors.Is(err, ErrFenced) {
		s.startReport(r, program.Resolution{
			Number:  f.head.Number,
			Hash:    f.head.Hash,
			Verdict: program.NotRun,
			By:      bySender,
		})
	}
}

// recordOutcome appends the outcome of a step that may not be repeated. The caller gets the response
// even if the append fails: to know that a charge was made is worth more to it than a refusal, and
// an owner whose log lacks the record answers repeats "unknown" and never sends the call. The error
// is that of the append. After ErrFenced the outcome is to be reported to the successor, but only
// for a step with an intent: the successor may have given another step's number to a different one.
func (s *Service) recordOutcome(r *resident, f *flight, result step.Result, record program.StepResult) error {
	err := s.save(r, s.o.Log.AppendOrReplicate, keepUnsaved, outcomeEvent(f, result, record))
	if err != nil {
		s.log.WithError(err).WithField("program", string(r.id)).WithField("step", f.head.Number).
			Warn("outcome of a step not durable yet; a successor would treat the step as unknown")
	}
	return err
}

func verdictOf(o step.Outcome) program.Verdict {
	switch o {
	case step.Done:
		return program.Done
	case step.NotRun:
		return program.NotRun
	}
	return program.Unknown
}

func toolCall(t *step.ToolRequest) program.ToolCall {
	return program.ToolCall{Service: t.Service, Method: t.Method, Path: t.Path}
}
