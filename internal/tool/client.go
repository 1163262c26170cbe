// Package tool implements the client of tool services and plain services. A service is called at the
// path that the caller gave. foxhall adds a key that identifies the step, by which a service can
// recognise a repeated call.
package tool

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/httpconn"
	"foxhall/internal/netdial"
	"foxhall/internal/step"
)

// The headers of the protocol between foxhall and a service.
const (
	// HeaderKey carries the step's key (draft-ietf-httpapi-idempotency-key-header).
	HeaderKey = "Idempotency-Key"
	// HeaderNotRun is set to "true" by a service that refused a call and did not run it.
	HeaderNotRun = "Foxhall-Not-Run"
	// HeaderDraining is set to "true" by an upstream that drains and accepts no new work.
	HeaderDraining = "Foxhall-Leaving"
)

// The errors of a call, to be tested with errors.Is. Once a byte of the call has been sent, any
// failure but a refusal is ErrUnknown.
var (
	// ErrNotSent indicates that this instance sent no byte of the call.
	ErrNotSent = errors.New("tool: not sent")
	// ErrRefused indicates that the service itself reported that it did not run the call.
	ErrRefused = errors.New("tool: refused by the service")
	// ErrDraining is an ErrRefused from a service that drains.
	ErrDraining = errors.WithMessage(ErrRefused, "tool: leaving")
	// ErrOverloaded is an ErrRefused from a service that refuses calls for its load.
	ErrOverloaded = errors.WithMessage(ErrRefused, "tool: overloaded")
	// ErrUnknown indicates that the call may have run.
	ErrUnknown = errors.New("tool: outcome unknown")
	// ErrBroken is an ErrUnknown: the service closed or reset the connection, as one that ends does.
	ErrBroken = errors.WithMessage(ErrUnknown, "tool: connection closed by the service")
)

// Response is a service's response to a call that ran.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Call is one attempt of a call to one replica of a service.
type Call struct {
	// Address is the replica's address (host:port).
	Address string
	Request *step.ToolRequest
	// Key identifies the step. It is the same for all attempts.
	Key string
}

// Client calls services over HTTP, each call over a connection of its own.
type Client struct {
	http         *http.Client
	transport    *http.Transport
	maxBodyBytes int64
}

// NewClient returns a client that dials within dialTimeout and accepts responses of up to
// maxBodyBytes.
func NewClient(dialTimeout time.Duration, maxBodyBytes int64) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	// No connection is reused. A response does not name its call, so that a late one would be taken for that to the
	// next call. And when a reused connection breaks, net/http resends a request that has an idempotency key: the
	// service would get a charge twice and no error would be reported.
	transport := &http.Transport{DialContext: reportingResets(dialer.DialContext), DisableKeepAlives: true}
	return &Client{
		http:         &http.Client{Transport: httpconn.NewTransport(transport), CheckRedirect: returnRedirect},
		transport:    transport,
		maxBodyBytes: maxBodyBytes,
	}
}

// SetDialer replaces the client's dial function. It must be called before the first call. Tests
// use it to run the client on a simulated network with faults.
func (c *Client) SetDialer(dial dialFunc) { c.transport.DialContext = reportingResets(dial) }

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// reportingResets returns a dial function with which a reset is not taken for the end of an answer without a length.
func reportingResets(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return netdial.ReportResets(c), nil
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// returnRedirect makes the client return a redirect as the response. Following it would send a call
// a second time, which is wrong for a call that must not be repeated.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Call sends one attempt and returns the service's response, or an error that shows whether the call
// may have run.
func (c *Client) Call(ctx context.Context, call Call) (Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return Response{}, errors.Wrap(ErrNotSent, err.Error())
	}
	resp, err := c.http.Do(req)
	if err != nil && !connected.Load() {
		return Response{}, errors.Wrap(ErrNotSent, err.Error())
	}
	if err != nil {
		return Response{}, unknown(err)
	}
	defer resp.Body.Close()
	return c.readResponse(resp)
}

// unknown returns the error of a call that was sent and got no complete response.
func unknown(err error) error {
	if httpconn.IsBroken(err) {
		return errors.Wrap(ErrBroken, err.Error())
	}
	return errors.Wrap(ErrUnknown, err.Error())
}

func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	r := call.Request
	target := "http://" + call.Address + "/" + trimLeadingSlashes(r.Path)
	req, err := http.NewRequestWithContext(ctx, r.Method, target, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	if r.ContentType != "" {
		req.Header.Set("Content-Type", r.ContentType)
	}
	req.Header.Set(HeaderKey, call.Key)
	return req, nil
}

func trimLeadingSlashes(path string) string {
	for len(path) > 0 && path[0] == '/' {
		path = path[1:]
	}
	return path
}

func (c *Client) readResponse(resp *http.Response) (Response, error) {
	if resp.Header.Get(HeaderNotRun) == "true" {
		if resp.Header.Get(HeaderDraining) == "true" {
			return Response{}, ErrDraining
		}
		if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
			return Response{}, errors.Wrap(ErrOverloaded, resp.Status)
		}
		return Response{}, errors.Wrap(ErrRefused, resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.maxBodyBytes+1))
	if err != nil {
		return Response{}, unknown(err)
	}
	if int64(len(body)) > c.maxBodyBytes {
		return Response{}, errors.Wrap(ErrUnknown, "answer over "+strconv.FormatInt(c.maxBodyBytes, 10)+" bytes")
	}
	return Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

// State is the state of a call as reported by a service's lookup.
type State string

// The states that a lookup may report.
const (
	// StateDone is the state of a call that ran; the lookup returns its response.
	StateDone State = "done"
	// StateNotRun is the state of a call that did not run.
	StateNotRun State = "not-run"
)

// LookupResponse is a service's response to a lookup.
type LookupResponse struct {
	State       State  `json:"state"`
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Lookup asks a service for the state of the call with the key. path is the service's lookup path in
// the usage list.
func (c *Client) Lookup(ctx context.Context, address, path, key string) (LookupResponse, error) {
	target := "http://" + address + "/" + trimLeadingSlashes(path) + "?key=" + url.QueryEscape(key)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return LookupResponse{}, errors.Wrap(err, "tool: lookup")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return LookupResponse{}, errors.Wrap(err, "tool: lookup")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return LookupResponse{}, errors.Errorf("tool: lookup: %s", resp.Status)
	}
	var finding LookupResponse
	err = json.NewDecoder(io.LimitReader(resp.Body, c.maxBodyBytes)).Decode(&finding)
	return finding, errors.Wrap(err, "tool: lookup")
}
