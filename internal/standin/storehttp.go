package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"foxhall/internal/store"
)

// PathFaults is the path at which each stand-in accepts its faults as a JSON document.
const PathFaults = "/standin/faults"

// Handler returns the object API over HTTP, with fault injection at PathFaults.
func (s *Store) Handler() http.Handler {
	e := echo.New()
	e.GET(store.PathObjects+":kind", s.handleList)
	e.GET(store.PathObjects+":kind/:name", s.handleGet)
	e.PUT(store.PathObjects+":kind/:name", s.handlePut)
	e.DELETE(store.PathObjects+":kind/:name", s.handleDelete)
	e.GET(store.PathWatch+":kind", s.handleWatch)
	e.PUT(PathFaults, s.handleFaults)
	e.GET("/standin/counts", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Counts()) })
	return e
}

// objectKey returns the key in the request's path. It unescapes the name, which the router leaves
// escaped.
func objectKey(c echo.Context) store.Key {
	name, err := url.PathUnescape(c.Param("name"))
	if err != nil {
		name = c.Param("name")
	}
	return store.Key{Kind: c.Param("kind"), Name: name}
}

func (s *Store) handleGet(c echo.Context) error {
	object, err := s.Get(c.Request().Context(), objectKey(c))
	if err != nil {
		return c.NoContent(storeStatus(err))
	}
	c.Response().Header().Set(store.HeaderVersion, strconv.FormatUint(uint64(object.Version), 10))
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, object.Value)
}

func (s *Store) handleList(c echo.Context) error {
	objects, err := s.List(c.Request().Context(), c.Param("kind"), c.QueryParam("prefix"))
	if err != nil {
		return c.NoContent(storeStatus(err))
	}
	wire := make([]store.WireObject, 0, len(objects))
	for _, o := range objects {
		wire = append(wire, wireObject(store.Event{Object: o}))
	}
	return c.JSON(http.StatusOK, wire)
}

func (s *Store) handlePut(c echo.Context) error {
	value, err := io.ReadAll(io.LimitReader(c.Request().Body, store.MaxValue+1))
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	base, err := baseVersion(c)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	version, err := s.Put(c.Request().Context(), objectKey(c), value, base)
	if err != nil {
		return c.NoContent(storeStatus(err))
	}
	c.Response().Header().Set(store.HeaderVersion, strconv.FormatUint(uint64(version), 10))
	return c.NoContent(http.StatusOK)
}

func (s *Store) handleDelete(c echo.Context) error {
	base, err := baseVersion(c)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	if err := s.Delete(c.Request().Context(), objectKey(c), base); err != nil {
		return c.NoContent(storeStatus(err))
	}
	return c.NoContent(http.StatusOK)
}

func (s *Store) handleWatch(c echo.Context) error {
	from, err := strconv.ParseUint(c.QueryParam("from"), 10, 64)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	events, err := s.Watch(c.Request().Context(), c.Param("kind"), store.Version(from))
	if err != nil {
		return c.NoContent(storeStatus(err))
	}
	c.Response().WriteHeader(http.StatusOK)
	c.Response().Flush()
	encoder := json.NewEncoder(c.Response())
	for event := range events {
		if err := encoder.Encode(wireObject(event)); err != nil {
			return nil
		}
		c.Response().Flush()
	}
	return nil
}

func (s *Store) handleFaults(c echo.Context) error {
	var faults StoreFaults
	if err := json.NewDecoder(c.Request().Body).Decode(&faults); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	s.SetFaults(faults)
	return c.NoContent(http.StatusOK)
}

func wireObject(event store.Event) store.WireObject {
	o := event.Object
	return store.WireObject{Kind: o.Key.Kind, Name: o.Key.Name, Version: o.Version, Value: o.Value, Deleted: event.Deleted}
}

func baseVersion(c echo.Context) (store.Version, error) {
	base, err := strconv.ParseUint(c.Request().Header.Get(store.HeaderBase), 10, 64)
	return store.Version(base), err
}

func storeStatus(err error) int {
	switch {
	case errors.Is(err, store.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, store.ErrConflict):
		return http.StatusConflict
	case errors.Is(err, store.ErrGone):
		return http.StatusGone
	case errors.Is(err, store.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, store.ErrRateLimited):
		return http.StatusTooManyRequests
	case errors.Is(err, store.ErrUnavailable):
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}
