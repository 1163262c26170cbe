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

// maxControlResponseBytes bounds the response to a control call.
const maxControlResponseBytes = 64 << 20

// Load reads the engine's load report, which lags behind its actual load.
func (c *Client) Load(ctx context.Context, addr string) (Load, error) {
	var load Load
	err := c.callJSON(ctx, addr, http.MethodGet, PathLoad, nil, &load)
	return load, err
}

// State reads the engine's state: its models, programs and, if blocks is set, its cached blocks.
func (c *Client) State(ctx context.Context, addr string, blocks bool) (State, error) {
	var state State
	path := fmt.Sprintf("%s?blocks=%t", PathState, blocks)
	err := c.callJSON(ctx, addr, http.MethodGet, path, nil, &state)
	return state, err
}

// Order sends an order to the engine. It returns ErrFenced if the order's fencing token is outdated.
func (c *Client) Order(ctx context.Context, addr string, o Order) error {
	return c.callJSON(ctx, addr, http.MethodPost, PathOrders, o, nil)
}

// ExportKV reads the KV cache of a program.
func (c *Client) ExportKV(ctx context.Context, addr, program string) (KV, error) {
	var kv KV
	path := PathKVExport + "?program=" + url.QueryEscape(program)
	err := c.callJSON(ctx, addr, http.MethodGet, path, nil, &kv)
	return kv, err
}

// ImportKV makes the engine fetch the KV cache of a program from another engine and waits until the
// transfer is complete.
func (c *Client) ImportKV(ctx context.Context, addr string, order KVImport) error {
	return c.callJSON(ctx, addr, http.MethodPost, PathKVImport, order, nil)
}

// Events calls onEvent with every cache event after sequence number from, until ctx ends, the stream
// breaks or onEvent returns an error.
func (c *Client) Events(ctx context.Context, addr string, from uint64, onEvent func(Event) error) error {
	path := fmt.Sprintf("%s?from=%d", PathEvents, from)
	resp, err := c.send(ctx, addr, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return readEvents(resp.Body, func(data []byte) error {
		var event Event
		if err := json.Unmarshal(data, &event); err != nil {
			return errors.Wrap(err, "engine: decode cache event")
		}
		return onEvent(event)
	})
}

// callJSON sends a request with in as its JSON body and decodes the response into out. in and out
// may be nil.
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
		return errors.Wrap(err, "engine: read response")
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
