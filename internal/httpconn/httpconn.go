// Package httpconn sends HTTP/1.1 calls over kept connections and says of each
// failure whether the call may have reached the other side. It sends a call
// once: unlike net/http's transport it never repeats one by itself.
package httpconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/netdial"
)

var (
	// ErrNotSent says that no byte of the call left: it has not run.
	ErrNotSent = errors.New("httpconn: not sent")
	// ErrFull is an ErrNotSent: all connections that the other side allows are in use.
	ErrConnectionLimit = errors.Wrap(ErrNotSent, "all connections in use")
	// ErrLost says that the call was sent and no answer to it came: it may have run.
	ErrResponseLost = errors.New("httpconn: answer lost")
	// ErrSilent is an ErrLost: the other side answers nothing any more, so that
	// other calls to it would be lost too.
	ErrUnresponsive = errors.Wrap(ErrResponseLost, "no sign of life")
)

const (
	// defaultIdle is how long a connection is kept whose other side names no
	// time; those of the replicas met so far were all longer.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is taken off a time that the other side names: a call sent
	// while it closes the connection is lost.
	idleMargin = 700 * time.Millisecond
	// writeInline is the largest body that is written before the answer is
	// read; it fits into the socket's buffer.
	maxInlineWrite = 8 << 10
	// maxStray bounds the body of an answer to another call that is skipped.
	maxStrayBody = 256 << 10
	// strayMost bounds the number of such answers in a row.
	maxStrayResponses = 4
	readBufferSize    = 4 << 10
)

// Call is one HTTP call.
type Call struct {
	Method string
	// Target is the path and query, sent unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Mine reports whether an answer belongs to this call. An answer to an
	// earlier call may come late, where this one's is expected.
	Matches func(http.Header) bool
}

// Answer is the head of an answer, with its body to be read. Close must be
// called; a body read to its end frees the connection for the next call.
type Response struct {
	Status int
	Header http.Header
	// Length is the body's length, or -1.
	Length int64
	Body   io.Reader

	conn       *conn
	callNumber int
}

// Pool keeps the connections to one address.
type Pool struct {
	address string

	mu        sync.Mutex
	idle      []*conn
	openCount int
	// opened counts connections since the start.
	openedCount int64
	closed      bool
}

// NewPool returns a pool without connections.
func NewPool(address string) *Pool { return &Pool{address: address} }

type conn struct {
	pool    *Pool
	netConn net.Conn
	reader  *bufio.Reader
	// idleFor is how long the other side keeps the connection.
	idleTimeout time.Duration
	idleSince   time.Time

	mu sync.Mutex
	// calls counts the calls on the connection. Each end of a call names the
	// call that it ends: an answer is closed once more after its connection
	// was given to the next call, which that must not touch.
	callCount int
	// unwritten says that the body is still being written.
	bodyUnwritten   bool
	callEnded       bool
	stopCancelWatch func() bool
}

// Opened returns the number of connections opened so far.
func (p *Pool) OpenedCount() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openedCount
}

// Idle reports whether a connection is open and unused.
func (p *Pool) Idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	return n > 0 && time.Since(p.idle[n-1].idleSince) < p.idle[n-1].idleTimeout
}

// Close closes idle connections; those in use end with their calls.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		p.openCount--
		c.netConn.Close()
	}
	p.idle = nil
}

// Do sends the call over an idle connection, or over a new one while fewer
// than limit are open. When ctx ends, the connection is closed at once, which
// tells the other side to stop its work.
func (p *Pool) Do(ctx context.Context, call *Call, limit int) (*Response, error) {
	c, err := p.acquire(ctx, limit)
	if err != nil {
		return nil, err
	}
	c.beginCall(ctx)
	response, err := c.exchange(call)
	if err != nil {
		c.discard(c.callCount)
		return nil, err
	}
	return response, nil
}

// begin starts the connection's next call.
func (c *conn) beginCall(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callCount++
	c.callEnded, c.bodyUnwritten = false, false
	c.stopCancelWatch = context.AfterFunc(ctx, func() { c.netConn.Close() })
}

func (p *Pool) acquire(ctx context.Context, limit int) (*conn, error) {
	for {
		c, dial := p.takeIdleOrReserve(limit)
		switch {
		case c == nil && !dial:
			return nil, ErrConnectionLimit
		case dial:
			return p.dial(ctx)
		case c.isUsable():
			return c, nil
		}
		p.closeConn(c)
	}
}

// next returns the connection that was used last, or says to open one.
func (p *Pool) takeIdleOrReserve(limit int) (c *conn, dial bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		c = p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c, false
	}
	if p.openCount >= limit {
		return nil, false
	}
	p.openCount++
	p.openedCount++
	return nil, true
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	n, err := netdial.Dial(ctx, "tcp", p.address)
	if err != nil {
		p.mu.Lock()
		p.openCount--
		p.mu.Unlock()
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	return &conn{pool: p, netConn: n, reader: bufio.NewReaderSize(n, readBufferSize), idleTimeout: defaultIdleTimeout}, nil
}

func (p *Pool) closeConn(c *conn) {
	c.netConn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openCount--
}

// usable reports that the connection was not closed by the other side and has
// no stray bytes that the next call would take for its answer.
func (c *conn) isUsable() bool {
	return time.Since(c.idleSince) < c.idleTimeout && c.reader.Buffered() == 0 && isIdleAndOpen(c.netConn)
}

func (c *conn) exchange(call *Call) (*Response, error) {
	request, err := newRequest(call)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	if err := c.writeRequest(request, call.Body); err != nil {
		return nil, err
	}
	for range maxStrayResponses {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, responseLost(err)
		}
		if response.StatusCode < 200 {
			continue
		}
		if call.Matches == nil || call.Matches(response.Header) {
			return c.newResponse(response), nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBody)); err != nil || response.Close {
			return nil, errors.Wrap(ErrResponseLost, "answer to another call")
		}
	}
	return nil, errors.Wrap(ErrResponseLost, "answers to other calls")
}

func newRequest(call *Call) (*http.Request, error) {
	path, query, _ := strings.Cut(call.Target, "?")
	if !strings.HasPrefix(path, "/") || strings.HasPrefix(path, "//") {
		return nil, errors.Errorf("target %q", call.Target)
	}
	target := &url.URL{Opaque: path, RawQuery: query, ForceQuery: query == "" && strings.Contains(call.Target, "?")}
	return &http.Request{
		Method:        call.Method,
		URL:           target,
		Host:          call.Host,
		Header:        call.Header,
		ProtoMajor:    1,
		ProtoMinor:    1,
		ContentLength: int64(len(call.Body)),
	}, nil
}

// write sends head and body. The rest of a large body is written while the
// answer is read, since the other side may answer before it has read it all.
func (c *conn) writeRequest(request *http.Request, body []byte) error {
	var message bytes.Buffer
	if len(body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(body))
	}
	if err := request.Write(&message); err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	first := message.Bytes()
	var rest []byte
	if len(first) > maxInlineWrite {
		first, rest = first[:maxInlineWrite], first[maxInlineWrite:]
	}
	if err := c.writeFirst(first); err != nil {
		return err
	}
	if len(rest) > 0 {
		c.bodyUnwritten = true
		go c.writeRest(rest)
	}
	return nil
}

func (c *conn) writeFirst(data []byte) error {
	n, err := c.netConn.Write(data)
	switch {
	case err == nil:
		return nil
	case n == 0:
		return errors.Wrap(ErrNotSent, err.Error())
	default:
		return responseLost(err)
	}
}

func responseLost(err error) error {
	if netdial.Unresponsive(err) {
		return errors.Wrap(ErrUnresponsive, err.Error())
	}
	return errors.Wrap(ErrResponseLost, err.Error())
}

func (c *conn) writeRest(data []byte) {
	_, err := c.netConn.Write(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyUnwritten = err != nil
}

func (c *conn) newResponse(r *http.Response) *Response {
	c.updateIdleTimeout(r.Header.Get("Keep-Alive"))
	response := &Response{Status: r.StatusCode, Header: r.Header, Length: r.ContentLength, conn: c, callNumber: c.callCount}
	response.Body = &responseBody{response: response, reader: r.Body, closeAfter: r.Close}
	if r.ContentLength == 0 || r.Body == http.NoBody {
		response.Body = http.NoBody
		c.release(response.callNumber, r.Close)
	}
	return response
}

// noteIdle takes in how long the other side keeps an idle connection.
func (c *conn) updateIdleTimeout(header string) {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			c.idleTimeout = max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
}

// body frees the connection when it has been read to its end.
type responseBody struct {
	response   *Response
	reader     io.Reader
	closeAfter bool
}

func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err == io.EOF {
		b.response.conn.release(b.response.callNumber, b.closeAfter)
	}
	return n, err
}

// Close ends the answer. A body that was not read to its end costs its
// connection, which tells the other side to stop.
func (r *Response) Close() { r.conn.discard(r.callNumber) }

// release puts the connection back if it can serve another call.
func (c *conn) release(callNumber int, closeAfter bool) {
	if !c.finishCall(callNumber) {
		return
	}
	c.mu.Lock()
	unwritten := c.bodyUnwritten
	c.mu.Unlock()
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	// Bytes behind a whole answer belong to no call; with the body's rest still
	// unsent the other side would take the next call for it.
	if closeAfter || unwritten || p.closed || c.reader.Buffered() > 0 {
		p.openCount--
		c.netConn.Close()
		return
	}
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
}

func (c *conn) discard(callNumber int) {
	if !c.finishCall(callNumber) {
		return
	}
	c.pool.closeConn(c)
}

// finish ends the call of that number, once.
func (c *conn) finishCall(callNumber int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.callEnded || c.callCount != callNumber {
		return false
	}
	c.callEnded = true
	// After a cancelled call the connection is closed, or about to be.
	if !c.stopCancelWatch() {
		c.bodyUnwritten = true
	}
	return true
}
