package entry

import (
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"foxhall/internal/step"
)

// ErrorBody is the body of an error response: the OpenAI API's error object with fields about the
// step added.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the content of the error object.
type ErrorDetail struct {
	Message string       `json:"message"`
	Type    string       `json:"type"`
	Code    step.Code    `json:"code"`
	Outcome step.Outcome `json:"outcome"`
	Program string       `json:"program,omitempty"`
	Step    int          `json:"step,omitempty"`
	// RetryAfter is in seconds; absent if a retry is of no use.
	RetryAfter float64 `json:"retry_after,omitempty"`
	// MissingStep is the number of the earlier step for which an out-of-order step waited.
	MissingStep int `json:"missing_step,omitempty"`
}

// respond writes the result of a step that was not streamed.
func (s *Server) respond(c echo.Context, r step.Result) error {
	writeHeaders(c.Response().Header(), r)
	if r.Code == "" {
		return c.Blob(statusOf(r), r.ContentType, r.Body)
	}
	s.refused.Inc(1)
	return c.JSON(statusOf(r), errorBody(r))
}

func statusOf(r step.Result) int {
	if r.Status != 0 {
		return r.Status
	}
	if r.Outcome == step.Done {
		return http.StatusOK
	}
	return http.StatusBadGateway
}

func errorBody(r step.Result) ErrorBody {
	return ErrorBody{Error: ErrorDetail{
		Message:     r.Message,
		Type:        errorType(statusOf(r)),
		Code:        r.Code,
		Outcome:     r.Outcome,
		Program:     string(r.Program),
		Step:        r.Number,
		RetryAfter:  r.RetryAfter.Seconds(),
		MissingStep: r.MissingStep,
	}}
}

// errorType returns the OpenAI API's error type for an HTTP status.
func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

// handleEchoError responds with the error object to an error of the router, such as an unknown path.
func (s *Server) handleEchoError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status := http.StatusInternalServerError
	message := "internal error"
	var he *echo.HTTPError
	if errors.As(err, &he) {
		status = he.Code
		message = http.StatusText(he.Code)
	}
	// After a router error no handler was called, so nothing ran. Any other error may have occurred
	// after a step was started.
	outcome := step.Unknown
	if he != nil {
		outcome = step.NotRun
	}
	_ = s.respond(c, step.Result{Outcome: outcome, Status: status, Code: step.CodeBadRequest, Message: message})
}
