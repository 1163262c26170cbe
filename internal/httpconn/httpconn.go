// Package httpconn sends HTTP/1.1 calls over persistent connections and reports for each failure
// whether the call may have reached the server. It sends a call once: unlike net/http's Transport
// it never retries by itself.
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
	// ErrNotSent indicates that no byte of the call was sent: it has not run.
	ErrNotSent = errors.New("httpconn: call not sent")
	// ErrConnectionLimit is an ErrNotSent: all connections that the caller of Do allows are in use.
	ErrConnectionLimit = errors.Wrap(ErrNotSent, "connection limit reached")
	// ErrResponseLost indicates that the call was sent and its response did not arrive: it may have
	// run.
	ErrResponseLost = errors.New("httpconn: response lost; the call may have run")
	// ErrUnresponsive is an ErrResponseLost: the server sends nothing at all, so that the responses
	// of other calls to it would be lost too.
	ErrUnresponsive = errors.Wrap(ErrResponseLost, "server unresponsive")
	// ErrBroken is an ErrResponseLost: the server closed or reset the connection, as one that ends does.
	ErrBroken = errors.Wrap(ErrResponseLost, "connection closed by the server")
	// ErrHeaderTooLarge is an ErrResponseLost: the server sent more than a status line and header may
	// take, or in more parts. Bytes that are no response at all, without a line feed, count as such.
	ErrHeaderTooLarge = errors.Wrap(ErrResponseLost, "response header too large")
	// ErrStrayBytes is an ErrResponseLost: the call's context ended after the server had sent a part of a
	// header, of the framing of a body, or of a response to another call. Unlike silence this is a fault of
	// the server.
	ErrStrayBytes = errors.Wrap(ErrResponseLost, "only stray bytes until the end of the call")
)

const (
	// defaultIdleTimeout is the idle timeout of a connection whose server states none in a
	// Keep-Alive header. It is shorter than the idle timeouts observed on replicas.
	defaultIdleTimeout = 4 * time.Second
	// maxIdleTimeout is the longest idle timeout that a server may state.
	maxIdleTimeout = time.Hour
	// idleMargin is subtracted from the idle timeout that a server states: a call sent while the
	// server closes the connection is lost.
	idleMargin = 700 * time.Millisecond
	// maxInlineWrite is the number of bytes of a request that are written before the response is
	// read; they fit into the socket's buffer.
	maxInlineWrite = 8 << 10
	// maxStrayBody bounds the body, in bytes, of a skipped response to another call.
	maxStrayBody = 256 << 10
	// maxResponsesPerCall bounds the responses read for a call: its own, stray and informational ones.
	maxResponsesPerCall = 4
	readBufferSize      = 4 << 10
	// receiveBuffer bounds the bytes of a connection that wait in the kernel. Over a round trip of 5 ms
	// it still allows 25 MB/s.
	receiveBuffer = 128 << 10
	// maxHeaderBytes bounds the status line and header of a response, in bytes. Proxies commonly allow
	// 4 to 16 KB. Once parsed, a header of many short lines takes sixteen times its size.
	maxHeaderBytes = 16 << 10
	// maxHeaderParts bounds the parts in which the status line and header of a response arrive. Servers
	// send them at once, so that they take few segments; one that sends some bytes now and then never
	// reaches maxHeaderBytes before the call's deadline. Silence adds no parts.
	maxHeaderParts = 64
)

// Call is one HTTP call.
type Call struct {
	// ID is the ID by which responses name the call; empty if they name none. A connection carries one call of an ID,
	// once: a response may arrive a second time, in place of that to a later sending of the same call.
	ID     string
	Method string
	// Target is the path and query, sent unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Matches reports whether a response belongs to this call; nil accepts any. A late response to
	// an earlier call may arrive in place of this call's response.
	Matches func(http.Header) bool
	// Anonymous reports whether a response does not name the call that it belongs to; nil if all do. An
	// anonymous response is accepted only as the first one of a new connection, which serves no further
	// call then. On a connection that has served a call, the server names the calls, so that an anonymous
	// response is a stray one.
	Anonymous func(http.Header) bool
	// Proof proves that a connection leads to the server that is meant; nil for no need of it.
	Proof *Proof
}

// Response is the header of a response, with its body still to be read. Close must be called; a body
// read to its end frees the connection for the next call.
type Response struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes, or -1 if unknown.
	Length int64
	Body   io.Reader
	// FramedByClose is set if only the orderly end of the connection ends the body.
	FramedByClose bool

	conn       *conn
	callNumber int
}

type conn struct {
	pool    *Pool
	netConn net.Conn
	// limited reads from netConn, and reader from limited.
	limited *limitedReader
	reader  *bufio.Reader
	// idleTimeout is how long the connection may be idle before it is no longer used.
	idleTimeout time.Duration
	idleSince   time.Time
	// proven is set once the connection's server was proven to be the one that is meant.
	proven bool
	// carried are the calls that were sent over the connection.
	carried carriedCalls

	mu sync.Mutex
	// callCount counts the calls on the connection and numbers the current one. Ending a call
	// requires its number: a response may be closed after its connection was given to the next
	// call, which must not be affected.
	callCount int
	// bodyUnwritten is set while the rest of a large request body is being written, and stays set if
	// that fails. The connection is not reused while it is set.
	bodyUnwritten bool
	// closing is set once a call was cancelled, so that the connection is closed or about to be.
	closing   bool
	callEnded bool
	// stopCancelWatch stops closing the connection when the call's context ends. It returns false
	// if that has already begun.
	stopCancelWatch func() bool
}

// beginCall starts the connection's next call.
func (c *conn) beginCall(ctx context.Context, call *Call) {
	c.carried.add(call.ID)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callCount++
	c.callEnded, c.bodyUnwritten = false, false
	c.stopCancelWatch = context.AfterFunc(ctx, func() { c.netConn.Close() })
}

// prepareForCall prepares an idle connection for the next call. It returns false unless the connection
// is open, within its idle timeout, and free of stray bytes that the call would take for its response.
func (c *conn) prepareForCall() bool {
	if time.Since(c.idleSince) >= c.idleTimeout || c.reader.Buffered() > 0 {
		return false
	}
	// The look comes last: it shows whether the connection failed before silence was tolerated.
	return netdial.TolerateSilence(c.netConn) == nil && netdial.IsIdleAndOpen(c.netConn)
}

// exchange sends the call and reads the header of its response. The connection stays that of the call, whether
// the response has a body or not.
func (c *conn) exchange(call *Call) (*http.Response, error) {
	request, err := newRequest(call)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	if err := c.writeRequest(request, call.Body); err != nil {
		return nil, err
	}
	first := true
	for range maxResponsesPerCall {
		response, err := c.readHeader(request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < 200 {
			continue
		}
		if c.accepts(call, response, first) {
			c.updateIdleTimeout(response.Header.Get("Keep-Alive"))
			return response, nil
		}
		first = false
		c.pool.meters.stray.Inc(1)
		if err := skipBody(response); err != nil {
			return nil, c.strayLost(err)
		}
	}
	return nil, errors.Wrap(ErrResponseLost, "too many responses before the call's own")
}

// accepts reports whether the response is the call's own. first is set if it is the first one that was
// read for the call, informational ones aside.
func (c *conn) accepts(call *Call, response *http.Response, first bool) bool {
	if call.Anonymous == nil || !call.Anonymous(response.Header) {
		return call.Matches == nil || call.Matches(response.Header)
	}
	if !first || c.callCount > 1 {
		return false
	}
	response.Close = true
	return true
}

// readHeader reads a response up to its body. The bytes that are buffered already come on top of the
// limit.
func (c *conn) readHeader(request *http.Request) (*http.Response, error) {
	begun := c.reader.Buffered() > 0
	c.limited.limit(maxHeaderBytes, maxHeaderParts)
	defer c.limited.unlimit()
	response, err := c.parseHeader(request)
	switch {
	case err == nil, errors.Is(err, ErrMalformed), errors.Is(err, errSecondStatusLine), errors.Is(err, errOldChunks):
		return response, err
	case errors.Is(c.limited.err, ErrHeaderTooLarge):
		return nil, ErrHeaderTooLarge
	case c.limited.err == nil: // the parser refuses what has arrived
		return nil, errors.Wrap(ErrMalformed, err.Error())
	case begun || c.limited.remaining < maxHeaderBytes:
		return nil, c.withCut(CutHeader, c.strayLost(err))
	default:
		return nil, responseLost(err)
	}
}

// strayLost returns the error of a call of whose response a part of the header was read, or only a part of
// a response to another call. The connection is closed on this side only when the call's context ends.
func (c *conn) strayLost(err error) error {
	if errors.Is(c.limited.err, net.ErrClosed) {
		return errors.Wrap(ErrStrayBytes, err.Error())
	}
	return responseLost(err)
}

func newRequest(call *Call) (*http.Request, error) {
	path, query, _ := strings.Cut(call.Target, "?")
	if !strings.HasPrefix(path, "/") || strings.HasPrefix(path, "//") {
		return nil, errors.Errorf("expected a target with an absolute path, found %q", call.Target)
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

// writeRequest sends header and body. The rest of a large body is written while the response is
// read, since the server may respond before it has read the whole body.
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

func (c *conn) writeRest(data []byte) {
	_, err := c.netConn.Write(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyUnwritten = err != nil
}

// newResponse hands the response to the call. One without a body frees the connection.
func (c *conn) newResponse(r *http.Response) *Response {
	response := &Response{Status: r.StatusCode, Header: r.Header, Length: r.ContentLength, conn: c, callNumber: c.callCount}
	response.FramedByClose = r.Body != http.NoBody && framingOf(r) == framedByClose
	response.Body = &responseBody{response: response, reader: r.Body, closeAfter: r.Close, framing: framingOf(r)}
	if r.ContentLength == 0 || r.Body == http.NoBody {
		// A response to HEAD states the length of a body that it does not have.
		response.Body, response.Length = http.NoBody, 0
		c.release(response.callNumber, r.Close)
	}
	return response
}

// updateIdleTimeout sets the idle timeout from the server's Keep-Alive header.
func (c *conn) updateIdleTimeout(header string) {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			seconds = max(0, min(seconds, int(maxIdleTimeout/time.Second)))
			c.idleTimeout = max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
}

// responseBody reads a response body and releases the connection at its end.
type responseBody struct {
	response   *Response
	reader     io.Reader
	closeAfter bool
	framing    framing
	// ended is set once the body was read to its end.
	ended bool
}

func (b *responseBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF // the connection may serve another call by now
	}
	c := b.response.conn
	before := c.limited.total
	n, err := b.reader.Read(p)
	switch {
	case err == io.EOF:
		b.ended = true
		c.release(b.response.callNumber, b.closeAfter)
	case err != nil && n == 0 && c.limited.total > before && errors.Is(c.limited.err, net.ErrClosed):
		err = errors.Wrap(ErrStrayBytes, err.Error())
	case err != nil:
		err = c.bodyError(b.framing, err)
	}
	return n, err
}

// Close ends the response. If its body was not read to its end, the connection is closed, which
// tells the server to stop.
func (r *Response) Close() { r.conn.discard(r.callNumber) }

// release ends the call and returns the connection to the pool, or closes it if it can't serve
// another call.
func (c *conn) release(callNumber int, closeAfter bool) {
	if !c.finishCall(callNumber) {
		return
	}
	reusable := !closeAfter && !c.carried.isFull() && c.prepareForIdle()
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.publishLocked()
	if !reusable || p.closed || p.openCount > p.limit {
		p.openCount--
		c.netConn.Close()
		return
	}
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
}

// prepareForIdle prepares the connection for being idle. It returns false if it can't serve another call.
// Bytes after a complete response belong to no call. While the rest of the request body is unsent, the
// server would take the next call for a part of that body.
func (c *conn) prepareForIdle() bool {
	c.mu.Lock()
	unusable := c.bodyUnwritten || c.closing
	c.mu.Unlock()
	return !unusable && c.reader.Buffered() == 0 && netdial.BoundSilence(c.netConn) == nil
}

func (c *conn) discard(callNumber int) {
	if !c.finishCall(callNumber) {
		return
	}
	c.pool.closeConn(c)
}

// finishCall ends the call with the number. It returns false if that call has already ended.
func (c *conn) finishCall(callNumber int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.callEnded || c.callCount != callNumber {
		return false
	}
	c.callEnded = true
	if !c.stopCancelWatch() {
		c.closing = true
	}
	return true
}
