// Package load generates load on a foxhall service in the manner of customers' programs: chains
// of model calls and tool calls with pauses, sub-agents and retries. It is used by the demo, by
// the load command and by tests over real sockets.
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/chat"
	"foxhall/internal/entry"
	"foxhall/internal/httpconn"
	"foxhall/internal/step"
)

// Client calls foxhall with the key of one customer. It spreads steps over several instances in
// turn, as a load balancer would.
type Client struct {
	targets []string
	key     string
	http    *http.Client
}

// NewClient returns a client of the instances at the URLs in targets, over TCP.
func NewClient(targets []string, key string) *Client { return NewClientWithDialer(nil, targets, key) }

// NewClientWithDialer is like NewClient, with connections opened by dial; nil stands for TCP.
func NewClientWithDialer(dial func(ctx context.Context, network, address string) (net.Conn, error), targets []string, key string) *Client {
	transport := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 256}
	return &Client{targets: targets, key: key, http: &http.Client{Transport: httpconn.NewTransport(transport)}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Request describes one attempt at one step.
type Request struct {
	Program string
	Parent  string
	Number  int
	// Origin and Attempt select the instance together with Number: programs start on different
	// instances, and each step and each retry goes to the next one.
	Origin   int
	Attempt  int
	Deadline time.Duration
	Ends     bool
	// Chat is set for a model step; otherwise Service, Path and Body describe a tool step.
	Chat    *chat.Request
	Service string
	Path    string
	Body    []byte
}

// Response is the result of one attempt, from the response's headers, body and trailer.
type Response struct {
	Program    string
	Number     int
	Outcome    step.Outcome
	Code       step.Code
	Upstream   string
	RetryAfter time.Duration
	// FirstToken is the time to the first streamed chunk; zero for a response without a stream.
	FirstToken time.Duration
	Text       string
	Usage      chat.Usage
}

// Send makes one attempt at a step and reads the complete response. An error means that the
// connection failed or the response was truncated; the outcome of the step is then unknown to
// this client.
func (c *Client) Send(ctx context.Context, r Request) (Response, error) {
	req, err := c.newRequest(ctx, r)
	if err != nil {
		return Response{}, err
	}
	started := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return Response{}, errors.Wrap(err, "load: send")
	}
	defer resp.Body.Close()
	response := readHeaders(resp.Header)
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		err = response.readStream(resp, started)
		return response, err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return response, errors.Wrap(err, "load: read")
	}
	response.readBody(body)
	return response, nil
}

func (c *Client) newRequest(ctx context.Context, r Request) (*http.Request, error) {
	target := c.targets[(r.Origin+r.Number+r.Attempt)%len(c.targets)]
	path, body := "/v1/tools/"+r.Service+r.Path, r.Body
	if r.Chat != nil {
		var err error
		path = "/v1/chat/completions"
		if body, err = json.Marshal(r.Chat); err != nil {
			return nil, errors.Wrap(err, "load: encode")
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "load: request")
	}
	h := req.Header
	h.Set("Authorization", "Bearer "+c.key)
	h.Set("Content-Type", "application/json")
	h.Set(entry.HeaderProgram, r.Program)
	if r.Program == "" {
		h.Set(entry.HeaderProgram, entry.NewProgram)
	}
	if r.Parent != "" {
		h.Set(entry.HeaderParent, r.Parent)
	}
	if r.Number > 0 {
		h.Set(entry.HeaderStep, strconv.Itoa(r.Number))
	}
	if r.Deadline > 0 {
		h.Set(entry.HeaderDeadline, r.Deadline.String())
	}
	if r.Ends {
		h.Set(entry.HeaderEnd, "true")
	}
	return req, nil
}

func readHeaders(h http.Header) Response {
	number, _ := strconv.Atoi(h.Get(entry.HeaderStep))
	seconds, _ := strconv.Atoi(h.Get(entry.HeaderRetryAfter))
	return Response{
		Program:    h.Get(entry.HeaderProgram),
		Number:     number,
		Outcome:    step.Outcome(h.Get(entry.HeaderOutcome)),
		Code:       step.Code(h.Get(entry.HeaderCode)),
		Upstream:   h.Get(entry.HeaderUpstream),
		RetryAfter: time.Duration(seconds) * time.Second,
	}
}

// completion holds the fields that are read from a chat completion, a chunk of one or an error body.
type completion struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *chat.Usage        `json:"usage"`
	Error *entry.ErrorDetail `json:"error"`
}

// mergeCompletion adds the text, usage and error in data to the response. Data that is not such
// a JSON object is ignored.
func (r *Response) mergeCompletion(data []byte) {
	var c completion
	if json.Unmarshal(data, &c) != nil {
		return
	}
	for _, choice := range c.Choices {
		r.Text += choice.Message.Content + choice.Delta.Content
	}
	if c.Usage != nil {
		r.Usage = *c.Usage
	}
	if c.Error != nil {
		r.Code = c.Error.Code
		r.Outcome = c.Error.Outcome
		r.RetryAfter = time.Duration(c.Error.RetryAfter * float64(time.Second))
	}
}

// readBody parses a response body that is not a stream. A body that yields neither text nor an
// error code is a tool's response and becomes the text unchanged.
func (r *Response) readBody(body []byte) {
	r.mergeCompletion(body)
	if r.Text == "" && r.Code == "" {
		r.Text = string(body)
	}
}

// readStream reads server-sent events up to the end of the body. It returns an error if there is
// no [DONE] event and the response has no error code, because the stream is then truncated.
func (r *Response) readStream(resp *http.Response, started time.Time) error {
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(nil, 1<<20)
	done := false
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if r.FirstToken == 0 {
			r.FirstToken = time.Since(started)
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		r.mergeCompletion([]byte(data))
	}
	if err := scanner.Err(); err != nil {
		return errors.Wrap(err, "load: stream")
	}
	if outcome := resp.Trailer.Get(entry.HeaderOutcome); outcome != "" {
		r.Outcome = step.Outcome(outcome)
	}
	if !done && r.Code == "" {
		return errors.New("load: event stream ended without [DONE]")
	}
	return nil
}

// newMessage returns a chat message with the role and content.
func newMessage(role, content string) chat.Message {
	return chat.Message{Role: role, Raw: fmt.Appendf(nil, `{"role":%q,"content":%q}`, role, content)}
}
