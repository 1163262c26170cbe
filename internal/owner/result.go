package owner

import (
	"net/http"
	"time"

	"foxhall/internal/chat"
	"foxhall/internal/program"
	"foxhall/internal/step"
)

const (
	// statusClientClosed is the status that proxies log for a caller that disconnected. No caller
	// receives it.
	statusClientClosed = 499
	statusTimeout      = http.StatusGatewayTimeout
)

// refusalCodes maps the aggregate's reasons for a refusal to the API's status and code.
var refusalCodes = map[program.Reason]struct {
	status int
	code   step.Code
}{
	program.ReasonEnded:            {http.StatusConflict, step.CodeProgramEnded},
	program.ReasonBounds:           {http.StatusForbidden, step.CodeBounds},
	program.ReasonHistoryConflict:  {http.StatusConflict, step.CodeHistoryConflict},
	program.ReasonHistoryUncertain: {http.StatusConflict, step.CodeHistoryUncertain},
}

func refusalOf(r *program.Refusal) *step.Result {
	reason := refusalCodes[r.Reason]
	return refuse(reason.status, reason.code, r.Message)
}

func refuse(status int, code step.Code, message string) *step.Result {
	r := step.Refuse(status, code, message)
	return &r
}

// notFoundResult is the refusal for a program that does not exist, has ended or belongs to another
// customer. It is the same in all these cases, so that other customers can't find out whether an id
// exists.
func notFoundResult() *step.Result {
	return refuse(http.StatusNotFound, step.CodeNotFound, "no such program")
}

func movedResult() *step.Result {
	r := refuse(http.StatusMisdirectedRequest, step.CodeMoved, "another instance owns the program now")
	r.RetryAfter = shortRetryAfter
	return r
}

func (s *Service) storeUnavailable() *step.Result {
	r := refuse(http.StatusServiceUnavailable, step.CodeStoreUnavailable,
		"the log can't be written, so the step was not begun")
	r.RetryAfter = s.o.RetryAfter
	return r
}

// notDurable is the result of a step that ran and whose record is not durable yet.
func (s *Service) notDurable() step.Result {
	return step.Result{
		Outcome:    step.Unknown,
		Status:     http.StatusServiceUnavailable,
		Code:       step.CodeStoreUnavailable,
		Message:    "the step ran but its answer can't be made durable yet; ask again under the same step number",
		RetryAfter: s.o.RetryAfter,
	}
}

func cancelledResult() *step.Result {
	return refuse(statusClientClosed, step.CodeCancelled, "the caller went away before the step began")
}

func deadlineExceeded() *step.Result {
	return refuse(statusTimeout, step.CodeDeadline, "the deadline passed before the step began")
}

// replay returns the recorded response of a step. The resident's lock is held.
func replay(state *program.State, recorded *program.Step) step.Result {
	r := step.Result{Program: state.ID, Number: recorded.Identity.Number, Replayed: true}
	if recorded.Model != nil {
		replayTurn(&r, state, recorded)
		return r
	}
	replayTool(&r, recorded.Tool, recorded.Verdict)
	return r
}

func replayTurn(r *step.Result, state *program.State, recorded *program.Step) {
	m := recorded.Model
	r.Outcome, r.Status = step.Done, http.StatusOK
	r.Upstream, r.Model, r.FinishReason, r.Usage = m.Upstream, m.Name, m.FinishReason, m.Usage
	r.AssistantMessage = state.History[m.Message]
	r.Turn = state.TurnToken()
	r.ContentType = contentJSON
	r.Body = completion(*r, recorded.At)
}

const contentJSON = "application/json"

func completion(r step.Result, at time.Time) []byte {
	return chat.Completion{
		ID:           "chatcmpl-" + string(r.Program),
		Created:      at.Unix(),
		Model:        r.Model,
		Answer:       r.AssistantMessage,
		FinishReason: r.FinishReason,
		Usage:        r.Usage,
	}.Encode()
}

func replayTool(r *step.Result, t *program.ToolStep, verdict program.Verdict) {
	r.Upstream = t.Upstream
	switch {
	case verdict == program.Done && t.BodyDropped:
		r.Outcome, r.Status, r.Code = step.Done, http.StatusGone, step.CodeResponseNotRetained
		r.Message = "the step ran; its answer was too large to be kept, many later ones came, or it never reached foxhall"
	case verdict == program.Done:
		r.Outcome, r.Status, r.ContentType, r.Body = step.Done, t.Status, t.ContentType, t.Body
	case verdict == program.NotRun:
		r.Outcome, r.Status, r.Code = step.NotRun, http.StatusConflict, step.CodeSettledNotRun
		r.Message = "the step was settled as not run; ask under a new step number"
	default:
		r.Outcome, r.Status, r.Code = step.Unknown, http.StatusBadGateway, step.CodeOutcomeUnknown
		r.Message = "the step may have run; it is not sent again, and it is listed until its outcome is known"
	}
}
