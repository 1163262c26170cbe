package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"foxhall/internal/engine"
)

// maxEngineBodyBytes is the maximum number of bytes read from a completion request's body.
const maxEngineBodyBytes = 16 << 20

// Handler returns the engine's HTTP API, with fault injection at PathFaults.
func (e *Engine) Handler() http.Handler {
	client := engine.NewClient()
	s := echo.New()
	s.POST(engine.PathCompletions, e.handleComplete)
	s.GET(engine.PathLoad, func(c echo.Context) error {
		load, err := e.Load()
		return e.reply(c, load, err)
	})
	s.GET(engine.PathState, func(c echo.Context) error {
		state, err := e.State(c.QueryParam("blocks") == "true")
		return e.reply(c, state, err)
	})
	s.GET(engine.PathEvents, e.handleEvents)
	s.POST(engine.PathOrders, e.handleOrder)
	s.GET(engine.PathKVExport, func(c echo.Context) error {
		kv, err := e.ExportKV(c.QueryParam("program"))
		return e.reply(c, kv, err)
	})
	s.POST(engine.PathKVImport, func(c echo.Context) error { return e.handleImport(c, client) })
	s.PUT(PathFaults, e.handleFaults)
	s.GET("/standin/counts", func(c echo.Context) error { return c.JSON(http.StatusOK, e.Counts()) })
	return s
}

// reply writes the value or the error as the response. An error without a status, such as that of an
// engine that is down, breaks the connection.
func (e *Engine) reply(c echo.Context, value any, err error) error {
	if err == nil {
		return c.JSON(http.StatusOK, value)
	}
	var failure *engine.Error
	if !errors.As(err, &failure) || failure.Status == 0 {
		panic(http.ErrAbortHandler)
	}
	header := c.Response().Header()
	if errors.Is(err, engine.ErrNotRun) || errors.Is(err, engine.ErrRejected) {
		header.Set(engine.HeaderNotRun, "true")
	}
	if failure.Draining {
		header.Set(engine.HeaderDraining, "true")
	}
	if failure.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(failure.RetryAfter/time.Second)))
	}
	return c.String(failure.Status, failure.Cause.Error())
}

func (e *Engine) handleComplete(c echo.Context) error {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxEngineBodyBytes))
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	r, err := engine.DecodeRequest(body)
	if err != nil || len(r.Chat.Messages) == 0 {
		return c.String(http.StatusBadRequest, "malformed request")
	}
	if !r.Chat.Stream {
		response, err := e.Complete(c.Request().Context(), r, nil)
		if err != nil {
			return e.reply(c, nil, err)
		}
		return c.JSONBlob(http.StatusOK, response.Body)
	}
	return e.stream(c, r)
}

// stream responds with server-sent events. Status 200 is sent with the first chunk, so that a
// rejected call can still be sent its own status.
func (e *Engine) stream(c echo.Context, r *engine.Request) error {
	streaming := false
	_, err := e.Complete(c.Request().Context(), r, func(chunk engine.Chunk) error {
		if !streaming {
			beginEvents(c)
			streaming = true
		}
		return writeEvent(c, chunk.Data)
	})
	switch {
	case err == nil:
		return writeEvent(c, []byte("[DONE]"))
	case streaming:
		panic(http.ErrAbortHandler)
	default:
		return e.reply(c, nil, err)
	}
}

func beginEvents(c echo.Context) {
	c.Response().Header().Set(echo.HeaderContentType, "text/event-stream")
	c.Response().WriteHeader(http.StatusOK)
}

func writeEvent(c echo.Context, data []byte) error {
	event := append(append([]byte("data: "), data...), "\n\n"...)
	if _, err := c.Response().Write(event); err != nil {
		return err
	}
	c.Response().Flush()
	return nil
}

func (e *Engine) handleEvents(c echo.Context) error {
	from, err := strconv.ParseUint(c.QueryParam("from"), 10, 64)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	beginEvents(c)
	c.Response().Flush()
	fleet := Fleet{"": e}
	_ = fleet.Events(c.Request().Context(), "", from, func(event engine.Event) error {
		return writeEvent(c, mustMarshal(event))
	})
	panic(http.ErrAbortHandler)
}

func (e *Engine) handleOrder(c echo.Context) error {
	var order engine.Order
	if err := json.NewDecoder(c.Request().Body).Decode(&order); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	return e.reply(c, struct{}{}, e.Order(c.Request().Context(), order))
}

func (e *Engine) handleImport(c echo.Context, client *engine.Client) error {
	var order engine.KVImport
	if err := json.NewDecoder(c.Request().Body).Decode(&order); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	return e.reply(c, struct{}{}, e.importFrom(c.Request().Context(), client, order))
}

func (e *Engine) importFrom(ctx context.Context, client *engine.Client, order engine.KVImport) error {
	kv, err := client.ExportKV(ctx, order.From, order.Program)
	if err != nil {
		return &engine.Error{Class: engine.ErrNotRun, Status: http.StatusBadGateway, Cause: err}
	}
	return e.ImportKV(ctx, kv)
}

func (e *Engine) handleFaults(c echo.Context) error {
	var faults EngineFaults
	if err := json.NewDecoder(c.Request().Body).Decode(&faults); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	e.SetFaults(faults)
	return c.NoContent(http.StatusOK)
}
