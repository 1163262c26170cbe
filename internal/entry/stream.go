package entry

import (
	"encoding/json"
	"net/http"

	"github.com/labstack/echo/v4"

	"foxhall/internal/step"
)

// Framing of server-sent events (WHATWG HTML, 9.2).
var (
	ssePrefix = []byte("data: ")
	sseSuffix = []byte("\n\n")
	sseDone   = []byte("data: [DONE]\n\n")
)

// eventStream sends a response to a caller as server-sent events. It implements step.Sink.
type eventStream struct {
	c     echo.Context
	begun bool
	frame []byte
}

func newEventStream(c echo.Context) *eventStream { return &eventStream{c: c} }

// Begin implements step.Sink.
func (s *eventStream) Begin(r step.Result) error {
	h := s.c.Response().Header()
	r.Outcome = ""
	writeHeaders(h, r)
	h.Set(echo.HeaderContentType, "text/event-stream")
	h.Set(echo.HeaderCacheControl, "no-cache")
	// The outcome is known only at the end, so it is sent in a trailer.
	h.Set("Trailer", HeaderOutcome+", "+HeaderTurn)
	s.c.Response().WriteHeader(http.StatusOK)
	s.begun = true
	return s.c.Request().Context().Err()
}

// Chunk implements step.Sink.
func (s *eventStream) Chunk(data []byte) error {
	s.frame = append(s.frame[:0], ssePrefix...)
	s.frame = append(s.frame, data...)
	s.frame = append(s.frame, sseSuffix...)
	return s.write(s.frame)
}

func (s *eventStream) write(frame []byte) error {
	if _, err := s.c.Response().Write(frame); err != nil {
		return err
	}
	return http.NewResponseController(s.c.Response()).Flush()
}

// finish ends the stream with the "[DONE]" event, or after an error with an error object and without
// that event, so that a truncated response is never taken for a complete one.
func (s *eventStream) finish(r step.Result) error {
	s.c.Response().Header().Set(HeaderOutcome, string(r.Outcome))
	setNonEmpty(s.c.Response().Header(), HeaderTurn, r.Turn)
	if r.Code == "" {
		_ = s.write(sseDone)
		return nil
	}
	body, err := json.Marshal(errorBody(r))
	if err != nil {
		return nil
	}
	_ = s.Chunk(body)
	return nil
}
