// Package step defines the types that the components on the path of a step share: the call as the
// caller made it and the result that the caller gets.
package step

import (
	"time"

	"foxhall/internal/chat"
	"foxhall/internal/plan"
	"foxhall/internal/program"
)

// Outcome states whether a step ran.
type Outcome string

// The outcomes of a step.
const (
	// Done indicates that the step ran and its response is available.
	Done Outcome = "done"
	// NotRun guarantees that the step did not run: no byte of it reached an upstream, or the
	// upstream itself reported that it did not run it.
	NotRun Outcome = "not-run"
	// Unknown indicates that the step may have run.
	Unknown Outcome = "unknown"
)

// Code is the reason of a refusal or failure, as written in the API's error object.
type Code string

// The codes of refusals and failures.
const (
	CodeBadRequest            Code = "bad_request"
	CodeTooLarge              Code = "body_too_large"
	CodeUnauthorized          Code = "unauthorized"
	CodeNotInPlan             Code = "not_in_plan"
	CodeNotFound              Code = "program_not_found"
	CodeModelNotFound         Code = "model_not_found"
	CodeMoved                 Code = "moved"
	CodeDeadline              Code = "deadline_exceeded"
	CodeMissingStep           Code = "missing_step"
	CodeKeyReused             Code = "idempotency_key_reused"
	CodeHistoryConflict       Code = "history_conflict"
	CodeHistoryUncertain      Code = "history_uncertain"
	CodeBounds                Code = "program_bounds"
	CodeBudget                Code = "budget_exhausted"
	CodeRateLimited           Code = "rate_limited"
	CodeOverloaded            Code = "overloaded"
	CodeNoUpstream            Code = "no_upstream"
	CodeStoreUnavailable      Code = "store_unavailable"
	CodeUpstreamFailed        Code = "upstream_failed"
	CodeQuarantined           Code = "quarantined"
	CodeOutcomeUnknown        Code = "outcome_unknown"
	CodeOwnerUnreachable      Code = "owner_unreachable"
	CodeShuttingDown          Code = "shutting_down"
	CodeCancelled             Code = "cancelled"
	CodeProgramEnded          Code = "program_ended"
	CodeResponseNotRetained   Code = "answer_not_kept"
	CodeSettledNotRun         Code = "settled_not_run"
	CodeEarlierStepUnresolved Code = "earlier_step_unresolved"
)

// Call is the request for one step.
type Call struct {
	// Plan is the plan of the authenticated caller.
	Plan *plan.Plan
	// Program is empty if the call starts a new program.
	Program program.ID
	// Parent is the parent program if the call starts a new program as a sub-agent of another one.
	Parent program.ID
	// Number is the step's number within its program, from 1; 0 stands for the next number.
	Number int
	// IdempotencyKey is the caller's own identifier of the step. It may be empty.
	IdempotencyKey string
	// AfterTurn is the Turn of the last Result that the caller has received. It may be empty.
	AfterTurn string
	// Deadline is when the caller stops waiting, or zero for no deadline.
	Deadline time.Time
	// EndsProgram indicates that the caller does not need the program after this step.
	EndsProgram bool
	// Model and Tool are the requests of a model call and of a tool call. Exactly one is set.
	Model *chat.Request
	Tool  *ToolRequest
}

// ToolRequest is the request of a call to a tool service or plain service.
type ToolRequest struct {
	Service     string
	Method      string
	Path        string
	ContentType string
	Body        []byte
}

// Result is the result of a step for its caller.
type Result struct {
	Outcome  Outcome
	Program  program.ID
	Number   int
	Upstream string
	// Status is the HTTP status for the caller.
	Status int
	// Code and Message are set unless the step is done.
	Code    Code
	Message string
	// RetryAfter is the delay after which a retry may succeed, or zero if a retry is not advised.
	RetryAfter time.Duration
	// MissingStep is the number of the missing step for which a step out of order waited.
	MissingStep int
	// Owner is where to send the call instead. It is set with CodeMoved.
	Owner string
	// ContentType and Body are the response, unless it was streamed to a Sink.
	ContentType string
	Body        []byte
	Usage       chat.Usage
	// AssistantMessage is the complete assistant's message of a model step, streamed or not. Model
	// is the model that generated it and FinishReason why generation stopped.
	AssistantMessage chat.Message
	Model            string
	FinishReason     string
	// Turn identifies the turn together with all turns before it. A caller may send it back in
	// Call.AfterTurn.
	Turn string
	// Price is the price at which the step was settled. It may be set without a response.
	Price plan.Micros
	// Replayed indicates that the response was recorded earlier.
	Replayed bool
}

// Sink receives a streamed response while the step runs. Begin is called once, before the first call
// of Chunk. An error means that the caller has disconnected.
type Sink interface {
	Begin(r Result) error
	Chunk(data []byte) error
}

// Refuse returns a result with the outcome NotRun. It must be used only for a step that certainly
// did not run.
func Refuse(status int, code Code, message string) Result {
	return Result{Outcome: NotRun, Status: status, Code: code, Message: message}
}
