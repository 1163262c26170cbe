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
	defaultIdle = 4 * time.Second
	// idleMargin is taken off a time that the other side names: a call sent
	// while it closes the connection is lost.
	idleMargin = 700 * time.Millisecond
	// writeInline is the largest body that is written before the answer is
	// read; it fits into the socket's buffer.
	writeInline = 8 << 10
	// maxStray bounds the body of an answer to another call that is skipped.
	maxStray = 256 << 10
	// strayMost bounds the number of such answers in a row.
	strayMost  = 4
	bufferSize = 4 << 10
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

	conn *conn
	call int
}

// Pool keeps the connections to one address.
type Pool struct {
	address string

	mu   sync.Mutex
	idle []*conn
	open int
	// opened counts connections since the start.
	opened int64
	closed bool
}

// NewPool returns a pool without connections.
func NewPool(address string) *Pool { return &Pool{address: address} }

type conn struct {
	pool   *Pool
	net    net.Conn
	reader *bufio.Reader
	// idleFor is how long the other side keeps the connection.
	idleFor time.Duration
	since   time.Time

	mu sync.Mutex
	// calls counts the calls on the connection. Each end of a call names the
	// call that it ends: an answer is closed once more after its connection
	// was given to the next call, which that must not touch.
	calls int
	// unwritten says that the body is still being written.
	unwritten bool
	done      bool
	stop      func() bool
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Idle reports whether a connection is open and unused.
func (p *Pool) Idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	return n > 0 && time.Since(p.idle[n-1].since) < p.idle[n-1].idleFor
}

// Close closes idle connections; those in use end with their calls.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		p.open--
		c.net.Close()
	}
	p.idle = nil
}

// Do sends the call over an idle connection, or over a new one while fewer
// than limit are open. When ctx ends, the connection is closed at once, which
// tells the other side to stop its work.
func (p *Pool) Do(ctx context.Context, call *Call, limit int) (*Response, error) {
	c, err := p.take(ctx, limit)
	if err != nil {
		return nil, err
	}
	c.begin(ctx)
	answer, err := c.exchange(call)
	if err != nil {
		c.discard(c.calls)
		return nil, err
	}
	return answer, nil
}

// begin starts the connection's next call.
func (c *conn) begin(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	c.done, c.unwritten = false, false
	c.stop = context.AfterFunc(ctx, func() { c.net.Close() })
}

func (p *Pool) take(ctx context.Context, limit int) (*conn, error) {
	for {
		c, dial := p.next(limit)
		switch {
		case c == nil && !dial:
			return nil, ErrConnectionLimit
		case dial:
			return p.dial(ctx)
		case c.usable():
			return c, nil
		}
		p.forget(c)
	}
}

// next returns the connection that was used last, or says to open one.
func (p *Pool) next(limit int) (c *conn, dial bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		c = p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c, false
	}
	if p.open >= limit {
		return nil, false
	}
	p.open++
	p.opened++
	return nil, true
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	n, err := netdial.Dial(ctx, "tcp", p.address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	return &conn{pool: p, net: n, reader: bufio.NewReaderSize(n, bufferSize), idleFor: defaultIdle}, nil
}

func (p *Pool) forget(c *conn) {
	c.net.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// usable reports that the connection was not closed by the other side and has
// no stray bytes that the next call would take for its answer.
func (c *conn) usable() bool {
	return time.Since(c.since) < c.idleFor && c.reader.Buffered() == 0 && quiet(c.net)
}

func (c *conn) exchange(call *Call) (*Response, error) {
	request, err := requestOf(call)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	if err := c.write(request, call.Body); err != nil {
		return nil, err
	}
	for range strayMost {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, lost(err)
		}
		if response.StatusCode < 200 {
			continue
		}
		if call.Matches == nil || call.Matches(response.Header) {
			return c.answer(response), nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStray)); err != nil || response.Close {
			return nil, errors.Wrap(ErrResponseLost, "answer to another call")
		}
	}
	return nil, errors.Wrap(ErrResponseLost, "answers to other calls")
}

func requestOf(call *Call) (*http.Request, error) {
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
func (c *conn) write(request *http.Request, body []byte) error {
	var message bytes.Buffer
	if len(body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(body))
	}
	if err := request.Write(&message); err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	first := message.Bytes()
	var rest []byte
	if len(first) > writeInline {
		first, rest = first[:writeInline], first[writeInline:]
	}
	if err := c.send(first); err != nil {
		return err
	}
	if len(rest) > 0 {
		c.unwritten = true
		go c.writeRest(rest)
	}
	return nil
}

func (c *conn) send(data []byte) error {
	n, err := c.net.Write(data)
	switch {
	case err == nil:
		return nil
	case n == 0:
		return errors.Wrap(ErrNotSent, err.Error())
	default:
		return lost(err)
	}
}

func lost(err error) error {
	if netdial.Unresponsive(err) {
		return errors.Wrap(ErrUnresponsive, err.Error())
	}
	return errors.Wrap(ErrResponseLost, err.Error())
}

func (c *conn) writeRest(data []byte) {
	_, err := c.net.Write(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unwritten = err != nil
}

func (c *conn) answer(r *http.Response) *Response {
	c.noteIdle(r.Header.Get("Keep-Alive"))
	a := &Response{Status: r.StatusCode, Header: r.Header, Length: r.ContentLength, conn: c, call: c.calls}
	a.Body = &body{answer: a, from: r.Body, close: r.Close}
	if r.ContentLength == 0 || r.Body == http.NoBody {
		a.Body = http.NoBody
		c.release(a.call, r.Close)
	}
	return a
}

// noteIdle takes in how long the other side keeps an idle connection.
func (c *conn) noteIdle(header string) {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			c.idleFor = max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
}

// body frees the connection when it has been read to its end.
type body struct {
	answer *Response
	from   io.Reader
	close  bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.from.Read(p)
	if err == io.EOF {
		b.answer.conn.release(b.answer.call, b.close)
	}
	return n, err
}

// Close ends the answer. A body that was not read to its end costs its
// connection, which tells the other side to stop.
func (a *Response) Close() { a.conn.discard(a.call) }

// release puts the connection back if it can serve another call.
func (c *conn) release(call int, closing bool) {
	if !c.finish(call) {
		return
	}
	c.mu.Lock()
	unwritten := c.unwritten
	c.mu.Unlock()
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	// Bytes behind a whole answer belong to no call; with the body's rest still
	// unsent the other side would take the next call for it.
	if closing || unwritten || p.closed || c.reader.Buffered() > 0 {
		p.open--
		c.net.Close()
		return
	}
	c.since = time.Now()
	p.idle = append(p.idle, c)
}

func (c *conn) discard(call int) {
	if !c.finish(call) {
		return
	}
	c.pool.forget(c)
}

// finish ends the call of that number, once.
func (c *conn) finish(call int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done || c.calls != call {
		return false
	}
	c.done = true
	// After a cancelled call the connection is closed, or about to be.
	if !c.stop() {
		c.unwritten = true
	}
	return true
}
