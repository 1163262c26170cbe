package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/program"
	"foxhall/internal/step"
)

// Headers that callers send and receive.
const (
	HeaderProgram        = "Foxhall-Program"
	HeaderParent         = "Foxhall-Parent"
	HeaderStep           = "Foxhall-Step"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderDeadline       = "Foxhall-Deadline"
	HeaderEnd            = "Foxhall-End"
	HeaderTurn           = "Foxhall-Turn"
	HeaderAfter          = "Foxhall-After"
	HeaderOutcome        = "Foxhall-Outcome"
	HeaderUpstream       = "Foxhall-Upstream"
	HeaderReplayed       = "Foxhall-Replayed"
	HeaderMissingStep    = "Foxhall-Missing-Step"
	HeaderCode           = "Foxhall-Code"
	HeaderRetryAfter     = "Retry-After"
)

// NewProgram is the value of HeaderProgram that starts a program which stays open after its first
// step.
const NewProgram = "new"

// maxKeyBytes is the maximum length of an idempotency key.
const maxKeyBytes = 200

// parseHeaders returns a call with the fields that are sent in headers. A call that names no
// program is a program of one step.
func parseHeaders(h http.Header, now time.Time, defaultDeadline time.Duration) (step.Call, error) {
	call := step.Call{IdempotencyKey: h.Get(HeaderIdempotencyKey), AfterTurn: h.Get(HeaderAfter)}
	if len(call.IdempotencyKey) > maxKeyBytes {
		return call, errors.Errorf("%s: expected at most %d bytes", HeaderIdempotencyKey, maxKeyBytes)
	}
	var err error
	if call.Program, call.EndsProgram, err = parseProgram(h); err != nil {
		return call, err
	}
	if text := h.Get(HeaderParent); text != "" {
		if call.Parent, err = program.ParseID(text); err != nil {
			return call, errors.Errorf("%s: expected a program id", HeaderParent)
		}
	}
	if call.Number, err = parseNumber(h); err != nil {
		return call, err
	}
	call.Deadline, err = parseDeadline(h, now, defaultDeadline)
	return call, err
}

// parseProgram returns the program's ID, empty for a new program, and whether the step ends the
// program.
func parseProgram(h http.Header) (program.ID, bool, error) {
	ends := h.Get(HeaderEnd) == "true"
	text := h.Get(HeaderProgram)
	switch text {
	case "":
		return "", true, nil
	case NewProgram:
		return "", ends, nil
	}
	id, err := program.ParseID(text)
	if err != nil {
		return "", false, errors.Errorf("%s: expected a program id or %q", HeaderProgram, NewProgram)
	}
	return id, ends, nil
}

// parseNumber returns the step number, or 0 if the caller sends none.
func parseNumber(h http.Header) (int, error) {
	text := h.Get(HeaderStep)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 {
		return 0, errors.Errorf("%s: expected a whole number from 1", HeaderStep)
	}
	return n, nil
}

// parseDeadline returns the time until which the caller waits. The header holds a duration such as
// "30s".
func parseDeadline(h http.Header, now time.Time, defaultDeadline time.Duration) (time.Time, error) {
	text := h.Get(HeaderDeadline)
	if text == "" {
		return now.Add(defaultDeadline), nil
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return time.Time{}, errors.Errorf("%s: expected a duration such as 30s", HeaderDeadline)
	}
	return now.Add(d), nil
}

// writeHeaders sets the headers that describe a step's result.
func writeHeaders(h http.Header, r step.Result) {
	setNonEmpty(h, HeaderProgram, string(r.Program))
	if r.Number > 0 {
		h.Set(HeaderStep, strconv.Itoa(r.Number))
	}
	setNonEmpty(h, HeaderOutcome, string(r.Outcome))
	setNonEmpty(h, HeaderUpstream, r.Upstream)
	setNonEmpty(h, HeaderTurn, r.Turn)
	setNonEmpty(h, HeaderCode, string(r.Code))
	if r.Replayed {
		h.Set(HeaderReplayed, "true")
	}
	if r.MissingStep > 0 {
		h.Set(HeaderMissingStep, strconv.Itoa(r.MissingStep))
	}
	if r.RetryAfter > 0 {
		h.Set(HeaderRetryAfter, strconv.Itoa(ceilSeconds(r.RetryAfter)))
	}
}

func setNonEmpty(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// ceilSeconds returns d in seconds, rounded up, since Retry-After has no fractions (RFC 9110,
// 10.2.3).
func ceilSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
