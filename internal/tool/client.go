// Package tool is the client of tool services and plain services. A service is
// called at the path that the caller named; foxhall adds a key that names the
// step, which a service may use to recognise a repeated call.
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

	"foxhall/internal/step"
)

// The headers of the protocol between foxhall and a service.
const (
	// HeaderKey carries the step's key (draft-ietf-httpapi-idempotency-key-header).
	HeaderKey = "Idempotency-Key"
	// HeaderNotRun is set to "true" by a service on a refusal that ran nothing.
	HeaderNotRun = "Foxhall-Not-Run"
	// HeaderLeaving is set to "true" by an upstream that takes no new work.
	HeaderLeaving = "Foxhall-Leaving"
)

// The errors of a call, to be tested with errors.Is. Any other failure after
// the first byte left is ErrUnknown.
var (
	// ErrNotSent says that no byte of the call left this instance.
	ErrNotSent = errors.New("tool: not sent")
	// ErrRefused says that the service itself answered that it did not run the call.
	ErrRefused = errors.New("tool: refused by the service")
	// ErrLeaving is an ErrRefused of a service that is shutting down.
	ErrLeaving = errors.WithMessage(ErrRefused, "tool: leaving")
	// ErrUnknown says that the call may have run.
	ErrUnknown = errors.New("tool: outcome unknown")
)

// Answer is what a service answered to a call that ran.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Call is one call to one replica of a service.
type Call struct {
	Address string
	Request *step.ToolRequest
	// Key names the step; the same for each attempt of it.
	Key string
	// Repeatable says that the call may be sent more than once.
	Repeatable bool
}

// Client calls services over HTTP.
type Client struct {
	pooled       *http.Client
	unpooled     *http.Client
	maxBodyBytes int64
}

// NewClient returns a client that dials within dialTimeout and accepts answers up to maxBody bytes.
func NewClient(dialTimeout time.Duration, maxBodyBytes int64) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	pooled := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute}
	// A request that names an idempotency key is resent by net/http when a
	// reused connection breaks: the service would see a charge twice and no
	// error would show. A transport that never reuses a connection never does.
	unpooled := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
	return &Client{
		pooled:       &http.Client{Transport: pooled, CheckRedirect: returnRedirect},
		unpooled:     &http.Client{Transport: unpooled, CheckRedirect: returnRedirect},
		maxBodyBytes: maxBodyBytes,
	}
}

// DialThrough replaces the way connections are made, before the first call. It
// is how tests put a network of their own, with its faults, under the client.
func (c *Client) DialThrough(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	c.pooled.Transport.(*http.Transport).DialContext = dial
	c.unpooled.Transport.(*http.Transport).DialContext = dial
}

// Close closes the idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// noRedirect gives a redirect to the caller as it is: following one would
// send a call that may not be repeated a second time.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Call sends one attempt and returns the service's answer, or an error that
// tells whether it can have run.
func (c *Client) Call(ctx context.Context, call Call) (Answer, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return Answer{}, errors.Wrap(ErrNotSent, err.Error())
	}
	resp, err := c.httpClientFor(call).Do(req)
	if err != nil && !connected.Load() {
		return Answer{}, errors.Wrap(ErrNotSent, err.Error())
	}
	if err != nil {
		return Answer{}, errors.Wrap(ErrUnknown, err.Error())
	}
	defer resp.Body.Close()
	return c.readResponse(resp)
}

func (c *Client) httpClientFor(call Call) *http.Client {
	if call.Repeatable {
		return c.pooled
	}
	return c.unpooled
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

func (c *Client) readResponse(resp *http.Response) (Answer, error) {
	if resp.Header.Get(HeaderNotRun) == "true" {
		if resp.Header.Get(HeaderLeaving) == "true" {
			return Answer{}, ErrLeaving
		}
		return Answer{}, errors.Wrap(ErrRefused, resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.maxBodyBytes+1))
	if err != nil {
		return Answer{}, errors.Wrap(ErrUnknown, err.Error())
	}
	if int64(len(body)) > c.maxBodyBytes {
		return Answer{}, errors.Wrap(ErrUnknown, "answer over "+strconv.FormatInt(c.maxBodyBytes, 10)+" bytes")
	}
	return Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

// State is what a service's lookup says of a call.
type State string

// The states that a lookup may report.
const (
	StateDone   State = "done"
	StateNotRun State = "not-run"
)

// Finding is a service's answer to a lookup.
type Finding struct {
	State       State  `json:"state"`
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Lookup asks a service what became of the call with the key, at the path
// that the usage list gives for it.
func (c *Client) Lookup(ctx context.Context, address, path, key string) (Finding, error) {
	target := "http://" + address + "/" + trimLeadingSlashes(path) + "?key=" + url.QueryEscape(key)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return Finding{}, errors.Wrap(err, "tool: lookup")
	}
	resp, err := c.pooled.Do(req)
	if err != nil {
		return Finding{}, errors.Wrap(err, "tool: lookup")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Finding{}, errors.Errorf("tool: lookup: %s", resp.Status)
	}
	var finding Finding
	err = json.NewDecoder(io.LimitReader(resp.Body, c.maxBodyBytes)).Decode(&finding)
	return finding, errors.Wrap(err, "tool: lookup")
}
