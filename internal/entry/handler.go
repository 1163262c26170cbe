package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"foxhall/internal/chat"
	"foxhall/internal/program"
	"foxhall/internal/step"
)

// handleChat serves POST /v1/chat/completions.
func (s *Server) handleChat(relayed bool) echo.HandlerFunc {
	return func(c echo.Context) error {
		return s.serveStep(c, relayed, func(call *step.Call, body []byte) error {
			call.Model = &chat.Request{}
			return json.Unmarshal(body, call.Model)
		})
	}
}

// handleTool serves any method on /v1/tools/{service}/{path}.
func (s *Server) handleTool(relayed bool) echo.HandlerFunc {
	return func(c echo.Context) error {
		return s.serveStep(c, relayed, func(call *step.Call, body []byte) error {
			path := "/" + c.Param("*")
			if query := c.Request().URL.RawQuery; query != "" {
				path += "?" + query
			}
			call.Tool = &step.ToolRequest{
				Service:     c.Param("service"),
				Method:      c.Request().Method,
				Path:        path,
				ContentType: c.Request().Header.Get(echo.HeaderContentType),
				Body:        body,
			}
			return nil
		})
	}
}

// serveStep reads one call, runs it here or relays it to the owner, and responds.
func (s *Server) serveStep(c echo.Context, relayed bool, parse func(*step.Call, []byte) error) error {
	started := time.Now()
	defer s.stepTimer.UpdateSince(started)
	body, refusal := s.readBody(c)
	if refusal != nil {
		return s.respond(c, *refusal)
	}
	call, err := parseHeaders(c.Request().Header, started, s.opt.Limits.DefaultDeadline.Std())
	if err == nil {
		err = parse(&call, body)
	}
	if err != nil {
		return s.respond(c, step.Refuse(http.StatusBadRequest, step.CodeBadRequest, err.Error()))
	}
	call.Plan = planOf(c)
	if !call.Deadline.After(started) {
		return s.respond(c, step.Refuse(http.StatusGatewayTimeout, step.CodeDeadline, "the deadline had passed on arrival"))
	}
	if handled, err := s.relayIfRemote(c, routingProgram(call), call.Deadline, body, relayed); handled {
		return err
	}
	return s.runStep(c, call, body, relayed)
}

// routingProgram returns the program whose owner runs the call. A new sub-agent is created on its
// parent's owner, so that both are counted together.
func routingProgram(call step.Call) program.ID {
	if call.Program == "" {
		return call.Parent
	}
	return call.Program
}

// runStep runs a call on this instance and responds. If the program has moved meanwhile, it relays
// the call to the new owner where that is safe.
func (s *Server) runStep(c echo.Context, call step.Call, body []byte, relayed bool) error {
	ctx := c.Request().Context()
	stream := newEventStream(c)
	var sink step.Sink
	if call.Model != nil && call.Model.Stream {
		sink = stream
	}
	result := s.opt.Programs.Do(ctx, call, sink)
	switch {
	case stream.begun:
		return stream.finish(result)
	case result.Code == step.CodeMoved && (result.Outcome == step.NotRun || call.Model != nil):
		return s.relayMoved(c, call, body, relayed, result)
	case sink != nil:
		return s.respondStreamed(c, stream, result)
	}
	return s.respond(c, result)
}

// relayMoved relays a step to the program's new owner, so that no caller is refused because of a
// handoff. The step was not run here, or is a model call whose turn could not be recorded here. Such
// a turn is not part of the history, and a model call has no other effect.
func (s *Server) relayMoved(c echo.Context, call step.Call, body []byte, relayed bool, moved step.Result) error {
	if handled, err := s.relayIfRemote(c, routingProgram(call), call.Deadline, body, relayed); handled {
		return err
	}
	moved.Status, moved.RetryAfter = http.StatusServiceUnavailable, movedRetryAfter
	return s.respond(c, moved)
}

// respondStreamed responds to a streaming call whose result was not streamed: a refusal, or a
// recorded response, which is sent as a stream of one chunk.
func (s *Server) respondStreamed(c echo.Context, stream *eventStream, r step.Result) error {
	if r.Code != "" || len(r.Body) == 0 {
		return s.respond(c, r)
	}
	chunk, err := chat.ChunkFromCompletion(r.Body)
	if err != nil {
		return s.respond(c, r)
	}
	if err := stream.Begin(r); err != nil {
		return nil
	}
	if err := stream.Chunk(chunk); err != nil {
		return nil
	}
	return stream.finish(r)
}

// readBody reads the complete body within the limits of size and time.
func (s *Server) readBody(c echo.Context) ([]byte, *step.Result) {
	control := http.NewResponseController(c.Response())
	// The read deadline is reset after the body. Otherwise it would end the background read by
	// which net/http detects that a caller disconnects, and so cancel long-running calls.
	_ = control.SetReadDeadline(time.Now().Add(s.opt.Limits.ReadTimeout.Std()))
	limited := http.MaxBytesReader(c.Response(), c.Request().Body, s.opt.Limits.MaxBodyBytes)
	body, err := io.ReadAll(limited)
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		r := step.Refuse(http.StatusRequestEntityTooLarge, step.CodeTooLarge, fmt.Sprintf("the body is over %d bytes", tooLarge.Limit))
		return nil, &r
	case errors.Is(err, os.ErrDeadlineExceeded):
		r := step.Refuse(http.StatusRequestTimeout, step.CodeBadRequest, "the body did not arrive in time")
		return nil, &r
	default:
		r := step.Refuse(http.StatusBadRequest, step.CodeBadRequest, "the body broke off")
		return nil, &r
	}
}

// handleModels serves GET /v1/models: the models that the caller's plan may use.
func (s *Server) handleModels(c echo.Context) error {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
	_, lists := s.opt.Config.Lists()
	models := []model{}
	if grant := lists.Grant(planOf(c).Name); grant != nil {
		for _, name := range grant.Models {
			models = append(models, model{ID: name, Object: "model", OwnedBy: "foxhall"})
		}
	}
	return c.JSON(http.StatusOK, map[string]any{"object": "list", "data": models})
}

// handleOpen serves POST /v1/programs, which starts a program without a step.
// A program that is opened and never used expires, so the call may be repeated.
func (s *Server) handleOpen(relayed bool) echo.HandlerFunc {
	return func(c echo.Context) error {
		call, err := parseHeaders(c.Request().Header, time.Now(), s.opt.Limits.DefaultDeadline.Std())
		if err != nil {
			return s.respond(c, step.Refuse(http.StatusBadRequest, step.CodeBadRequest, err.Error()))
		}
		if handled, err := s.relayIfRemote(c, call.Parent, call.Deadline, nil, relayed); handled {
			return err
		}
		r := s.opt.Programs.Open(c.Request().Context(), planOf(c), call.Parent)
		if r.Code != "" {
			return s.respond(c, r)
		}
		writeHeaders(c.Response().Header(), r)
		return c.JSON(statusOf(r), map[string]string{"program": string(r.Program)})
	}
}

// handleEnd serves DELETE /v1/programs/{id}.
func (s *Server) handleEnd(relayed bool) echo.HandlerFunc {
	return func(c echo.Context) error {
		id, err := program.ParseID(c.Param("id"))
		if err != nil {
			return s.respond(c, step.Refuse(http.StatusBadRequest, step.CodeBadRequest, err.Error()))
		}
		deadline := time.Now().Add(s.opt.Limits.DefaultDeadline.Std())
		if handled, err := s.relayIfRemote(c, id, deadline, nil, relayed); handled {
			return err
		}
		r := s.opt.Programs.End(c.Request().Context(), planOf(c), id)
		if r.Code != "" {
			return s.respond(c, r)
		}
		writeHeaders(c.Response().Header(), r)
		return c.NoContent(http.StatusNoContent)
	}
}

func (s *Server) handleMetrics(c echo.Context) error {
	var text bytes.Buffer
	writeMetrics(&text, s.opt.Metrics)
	return c.Blob(http.StatusOK, "text/plain; version=0.0.4", text.Bytes())
}
