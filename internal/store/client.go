package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/httpconn"
)

// Headers and paths of the object API.
const (
	HeaderVersion = "Object-Version"
	HeaderBase    = "Object-Base"
	PathObjects   = "/v1/objects/"
	PathWatch     = "/v1/watch/"
)

// WireObject is the JSON representation of an object in the object API.
type WireObject struct {
	Kind    string  `json:"kind"`
	Name    string  `json:"name"`
	Version Version `json:"version"`
	Value   []byte  `json:"value,omitempty"`
	Deleted bool    `json:"deleted,omitempty"`
}

// HTTP is a Client that calls the object API at one address over HTTP.
type HTTP struct {
	base      string
	client    *http.Client
	transport *http.Transport
	timeout   time.Duration
}

// NewHTTP returns a client of the object API at base, which is a URL without a path. The timeout
// applies to each call except Watch.
func NewHTTP(base string, timeout time.Duration) *HTTP {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     time.Minute,
	}
	return &HTTP{base: base, client: &http.Client{Transport: httpconn.NewTransport(transport)}, transport: transport, timeout: timeout}
}

// SetDialer replaces the function that dials connections. It must be called before the first call.
// Tests use it to run the client over a simulated network with faults.
func (h *HTTP) SetDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	h.transport.DialContext = dial
}

// Close closes the idle connections.
func (h *HTTP) Close() { h.client.CloseIdleConnections() }

// Get implements Client.
func (h *HTTP) Get(ctx context.Context, key Key) (Object, error) {
	resp, err := h.call(ctx, http.MethodGet, objectPath(key), nil, 0)
	if err != nil {
		return Object{}, err
	}
	value, version, err := resp.object()
	return Object{Key: key, Version: version, Value: value}, err
}

// Put implements Client.
func (h *HTTP) Put(ctx context.Context, key Key, value []byte, base Version) (Version, error) {
	if len(value) > MaxValue {
		return 0, ErrTooLarge
	}
	resp, err := h.call(ctx, http.MethodPut, objectPath(key), value, base)
	if err != nil {
		return 0, err
	}
	return resp.version()
}

// Delete implements Client.
func (h *HTTP) Delete(ctx context.Context, key Key, base Version) error {
	_, err := h.call(ctx, http.MethodDelete, objectPath(key), nil, base)
	return err
}

// List implements Client.
func (h *HTTP) List(ctx context.Context, kind, prefix string) ([]Object, error) {
	path := PathObjects + url.PathEscape(kind) + "?prefix=" + url.QueryEscape(prefix)
	resp, err := h.call(ctx, http.MethodGet, path, nil, 0)
	if err != nil {
		return nil, err
	}
	var wire []WireObject
	if err := json.Unmarshal(resp.body, &wire); err != nil {
		return nil, errors.Wrap(ErrUnknown, err.Error())
	}
	objects := make([]Object, 0, len(wire))
	for _, w := range wire {
		objects = append(objects, w.object())
	}
	return objects, nil
}

// Watch implements Client.
func (h *HTTP) Watch(ctx context.Context, kind string, from Version) (<-chan Event, error) {
	path := fmt.Sprintf("%s%s%s?from=%d", h.base, PathWatch, url.PathEscape(kind), from)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "store: watch request")
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	if err := statusError(resp.StatusCode); err != nil {
		resp.Body.Close()
		return nil, err
	}
	events := make(chan Event)
	go h.readEvents(ctx, resp.Body, events)
	return events, nil
}

// readEvents decodes events from the body of a watch and sends them until the stream breaks or ctx
// ends.
func (h *HTTP) readEvents(ctx context.Context, body io.ReadCloser, events chan<- Event) {
	defer close(events)
	defer body.Close()
	decoder := json.NewDecoder(body)
	for {
		var wire WireObject
		if err := decoder.Decode(&wire); err != nil {
			return
		}
		select {
		case events <- Event{Object: wire.object(), Deleted: wire.Deleted}:
		case <-ctx.Done():
			return
		}
	}
}

func (w WireObject) object() Object {
	return Object{Key: Key{Kind: w.Kind, Name: w.Name}, Version: w.Version, Value: w.Value}
}

type response struct {
	header http.Header
	body   []byte
}

func (r response) version() (Version, error) {
	v, err := strconv.ParseUint(r.header.Get(HeaderVersion), 10, 64)
	if err != nil {
		return 0, errors.Wrap(ErrUnknown, "no valid version in the response")
	}
	return Version(v), nil
}

func (r response) object() ([]byte, Version, error) {
	v, err := r.version()
	return r.body, v, err
}

// call sends one request with the client's timeout and maps failures to the package's errors.
func (h *HTTP) call(ctx context.Context, method, path string, body []byte, base Version) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, h.base+path, bytes.NewReader(body))
	if err != nil {
		return response{}, errors.Wrap(err, "store: request")
	}
	// If net/http sent a successful update again, the second attempt would report a conflict. Without
	// GetBody, net/http never sends a request body again.
	req.GetBody = nil
	if method != http.MethodGet {
		req.Header.Set(HeaderBase, strconv.FormatUint(uint64(base), 10))
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return response{}, transportError(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 64*MaxValue))
	if err != nil {
		return response{}, errors.Wrap(ErrUnknown, err.Error())
	}
	if err := statusError(resp.StatusCode); err != nil {
		return response{}, err
	}
	return response{header: resp.Header, body: data}, nil
}

// transportError returns ErrUnavailable for a failed dial, after which nothing can have been written,
// and ErrUnknown for other errors, after which the response may be lost.
func transportError(err error) error {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return errors.Wrap(ErrUnknown, err.Error())
}

// statusError maps the status of a response to the package's errors.
func statusError(status int) error {
	switch {
	case status < 300:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusConflict, status == http.StatusPreconditionFailed:
		return ErrConflict
	case status == http.StatusGone:
		return ErrGone
	case status == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case status == http.StatusTooManyRequests:
		return ErrRateLimited
	case status == http.StatusServiceUnavailable:
		return ErrUnavailable
	default:
		return errors.Wrapf(ErrUnknown, "status %d", status)
	}
}

func objectPath(key Key) string {
	return PathObjects + url.PathEscape(key.Kind) + "/" + url.PathEscape(key.Name)
}
