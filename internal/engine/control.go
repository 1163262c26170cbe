package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/pkg/errors"
)

// maxControl bounds the answer to a control call, in bytes.
const maxControlResponseBytes = 64 << 20

// Load reads the engine's lagging load report.
func (c *Client) Load(ctx context.Context, addr string) (Load, error) {
	var load Load
	err := c.callJSON(ctx, addr, http.MethodGet, PathLoad, nil, &load)
	return load, err
}

// State reads what the engine holds; blocks asks also for its cached blocks.
func (c *Client) State(ctx context.Context, addr string, blocks bool) (State, error) {
	var state State
	path := fmt.Sprintf("%s?blocks=%t", PathState, blocks)
	err := c.callJSON(ctx, addr, http.MethodGet, path, nil, &state)
	return state, err
}

// Order gives the engine an order. ErrFenced says that the token was old.
func (c *Client) Order(ctx context.Context, addr string, o Order) error {
	return c.callJSON(ctx, addr, http.MethodPost, PathOrders, o, nil)
}

// ExportKV reads the cache of a program.
func (c *Client) ExportKV(ctx context.Context, addr, program string) (KV, error) {
	var kv KV
	path := PathKVExport + "?program=" + url.QueryEscape(program)
	err := c.callJSON(ctx, addr, http.MethodGet, path, nil, &kv)
	return kv, err
}

// ImportKV lets the engine fetch the cache of a program from another engine
// and waits until it has it.
func (c *Client) ImportKV(ctx context.Context, addr string, order KVImport) error {
	return c.callJSON(ctx, addr, http.MethodPost, PathKVImport, order, nil)
}

// Events calls each for every cache event after number from, until ctx ends,
// the stream breaks or each fails.
func (c *Client) Events(ctx context.Context, addr string, from uint64, onEvent func(Event) error) error {
	path := fmt.Sprintf("%s?from=%d", PathEvents, from)
	resp, err := c.send(ctx, addr, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return readStream(resp.Body, func(data []byte) error {
		var event Event
		if err := json.Unmarshal(data, &event); err != nil {
			return errors.Wrap(err, "engine: event")
		}
		return onEvent(event)
	})
}

// exchange sends a JSON document and reads one into out, unless it is nil.
func (c *Client) callJSON(ctx context.Context, addr, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return &Error{Class: ErrNotSent, Cause: err}
		}
	}
	resp, err := c.send(ctx, addr, method, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if out == nil {
		_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxErrorMessageBytes))
		return errors.Wrap(err, "engine: answer")
	}
	response, err := readBounded(resp.Body, maxControlResponseBytes)
	if err != nil {
		return &Error{Class: ErrUnknown, Cause: err}
	}
	if err := json.Unmarshal(response, out); err != nil {
		return &Error{Class: ErrUnknown, Cause: err}
	}
	return nil
}
