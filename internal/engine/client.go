package engine

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/httpconn"
)

const (
	dialTimeout = 2 * time.Second
	// maxResponseBytes bounds a non-streaming response.
	maxResponseBytes = 16 << 20
	// maxErrorMessageBytes bounds how much is read of an engine's error message.
	maxErrorMessageBytes = 512
)

// Client calls engines over HTTP, each call over a connection of its own: a response does not name its call, so that a
// late one would be taken for that to the next call. It is safe for concurrent use.
type Client struct {
	http      *http.Client
	transport *http.Transport
}

// NewClient returns a client.
func NewClient() *Client {
	transport := &http.Transport{
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
	return &Client{http: &http.Client{Transport: httpconn.NewTransport(transport)}, transport: transport}
}

// SetDialer replaces the client's dial function. It must be called before the first call. Tests
// use it to run the client on a simulated network with faults.
func (c *Client) SetDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	c.transport.DialContext = dial
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Complete runs a completion on the engine at addr (host:port). For a streaming request it calls
// onChunk with each chunk as it arrives. If onChunk returns an error or ctx ends, the connection is
// closed, which frees the engine's slot. A returned error is an *Error.
func (c *Client) Complete(ctx context.Context, addr string, r *Request, onChunk func(Chunk) error) (*Response, error) {
	body, err := EncodeRequest(r)
	if err != nil {
		return nil, &Error{Class: ErrNotSent, Cause: err}
	}
	begin := time.Now()
	resp, err := c.send(ctx, addr, http.MethodPost, PathCompletions, body)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var response *Response
	if r.Chat.Stream {
		response, err = readStreaming(resp.Body, begin, onChunk)
	} else {
		response, err = readNonStreaming(resp.Body, begin)
	}
	if err != nil {
		return nil, err
	}
	response.Total = time.Since(begin)
	return response, nil
}

func readNonStreaming(r io.Reader, begin time.Time) (*Response, error) {
	body, err := readBounded(r, maxResponseBytes)
	if err != nil {
		return nil, &Error{Class: ErrUnknown, Cause: err}
	}
	response, err := decodeCompletion(body)
	if err != nil {
		return nil, &Error{Class: ErrUnknown, Cause: err}
	}
	response.FirstToken = time.Since(begin)
	return response, nil
}

func readStreaming(r io.Reader, begin time.Time, onChunk func(Chunk) error) (*Response, error) {
	var a assembler
	var firstToken time.Duration
	err := readEvents(r, func(data []byte) error {
		usageOnly, err := a.add(data)
		if err != nil {
			return err
		}
		if firstToken == 0 {
			firstToken = time.Since(begin)
		}
		if onChunk == nil {
			return nil
		}
		return onChunk(Chunk{Data: data, UsageOnly: usageOnly})
	})
	if err != nil {
		return nil, &Error{Class: ErrUnknown, Partial: a.started, Cause: err}
	}
	response, err := a.response()
	if err != nil {
		return nil, &Error{Class: ErrUnknown, Partial: a.started, Cause: err}
	}
	response.FirstToken = firstToken
	return response, nil
}

// send sends one request and returns the response if its status is 200, otherwise an *Error.
func (c *Client) send(ctx context.Context, addr, method, path string, body []byte) (*http.Response, error) {
	// Before the transport has obtained a connection, no byte of the request can have been sent;
	// afterwards some may have been. Only a failure before that point is ErrNotSent.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{Class: ErrNotSent, Cause: err}
	}
	// Without GetBody, net/http never resends a body on its own.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		class := ErrNotSent
		if connected.Load() {
			class = ErrUnknown
		}
		return nil, &Error{Class: class, Cause: err}
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, errorFromResponse(resp)
}

// errorFromResponse returns the error for a response with a status other than 200.
func errorFromResponse(resp *http.Response) *Error {
	message, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorMessageBytes))
	e := &Error{
		Class:      ErrUnknown,
		Status:     resp.StatusCode,
		RetryAfter: retryAfter(resp.Header),
		Draining:   resp.Header.Get(HeaderDraining) == "true",
		Cause:      errors.New(strings.TrimSpace(string(message))),
	}
	switch {
	case resp.StatusCode == http.StatusConflict:
		e.Class = ErrFenced
	case isRejection(resp.StatusCode):
		e.Class = ErrRejected
	case resp.Header.Get(HeaderNotRun) == "true":
		// This includes a 404 for a model that was unloaded from this engine: another engine has it.
		e.Class = ErrNotRun
	}
	return e
}

func isRejection(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return true
	default:
		return false
	}
}

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

func readBounded(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errors.Errorf("answer larger than %d bytes", limit)
	}
	return body, nil
}
