package httpconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// endlessServer sends prefix and then unit again and again, with a pause between, until its connection
// is closed, which closes closed.
func endlessServer(t *testing.T, prefix, unit string, pause time.Duration) (address string, closed chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	closed = make(chan struct{})
	go func() {
		c, err := listener.Accept()
		listener.Close()
		if err != nil {
			return
		}
		defer close(closed)
		defer c.Close()
		_, _ = c.Read(make([]byte, maxInlineWrite))
		for part := prefix; ; part = unit {
			if _, err := io.WriteString(c, part); err != nil {
				return
			}
			time.Sleep(pause)
		}
	}()
	return listener.Addr().String(), closed
}

// countingConn counts the bytes that are read.
type countingConn struct {
	net.Conn
	read atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// doCounting makes a call that expects another call's response to be skipped, reads the response to its
// end, and returns the error and the number of bytes that were read.
func doCounting(ctx context.Context, t *testing.T, address string) (read int64, err error) {
	t.Helper()
	is := is.New(t)
	n, err := net.Dial("tcp", address)
	is.NoErr(err)
	counting := &countingConn{Conn: n}
	pool := NewPool(address)
	pool.addIdle(newConn(pool, counting))
	call := get("/")
	call.Matches = func(h http.Header) bool { return h.Get("Call") == "" }
	response, err := pool.Do(ctx, call, 1)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		response.Close()
	}
	is.Equal(pool.inUse(), 0)
	return counting.read.Load(), err
}

const (
	// ample is a deadline that no call of these tests needs.
	ample = 20 * time.Second
	// brief is a deadline that all calls of these tests reach.
	brief = 300 * time.Millisecond

	okHead      = "HTTP/1.1 200 OK\r\n"
	chunkedHead = okHead + "Transfer-Encoding: chunked\r\n\r\n"
	strayHead   = okHead + "Call: other\r\n"
)

// Guards against a replica whose header never ends: the call would wait for it until its deadline, or the
// instance hold all of it.
func TestEndlessHeaderEndsBeforeTheDeadline(t *testing.T) {
	for name, kind := range map[string]struct {
		prefix, unit string
		tooLarge     bool
	}{
		"status line":          {"", "x", true},
		"bytes":                {"", "\xa5", true},
		"line feeds":           {"", "\n", false},
		"header lines":         {okHead, "A: b\r\n", true},
		"header line":          {okHead + "A: ", "x", true},
		"continued line":       {okHead + "A: b\r\n", " c\r\n", true},
		"informational":        {"HTTP/1.1 103 Early Hints\r\n", "A: b\r\n", true},
		"informational series": {"", "HTTP/1.1 102 Processing\r\n\r\n", false},
		"large informational":  {"", "HTTP/1.1 103 Early Hints\r\nA: " + strings.Repeat("x", maxHeaderBytes-100) + "\r\n\r\n", false},
		"stray series":         {"", strayHead + "Content-Length: 1\r\n\r\nx", false},
	} {
		for speed, pause := range map[string]time.Duration{"fast": 0, "slow": 2 * time.Millisecond} {
			t.Run(name+" "+speed, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				unit := kind.unit
				if pause == 0 {
					unit = strings.Repeat(unit, 1+readBufferSize/len(unit))
				}
				address, closed := endlessServer(t, kind.prefix, unit, pause)
				ctx, cancel := context.WithTimeout(context.Background(), ample)
				defer cancel()
				read, err := doCounting(ctx, t, address)
				is.NoErr(ctx.Err())
				is.Equal(errors.Is(err, ErrHeaderTooLarge), kind.tooLarge)
				is.True(errors.Is(err, ErrResponseLost))
				is.True(!IsBroken(err))
				is.True(read <= maxResponsesPerCall*maxHeaderBytes+readBufferSize)
				<-closed
			})
		}
	}
}

// Guards against a faulty replica that is taken for a silent one: it has sent something at the call's
// deadline, but no header, or no part of a body.
func TestStrayBytesAreToldFromSilence(t *testing.T) {
	for name, c := range map[string]struct {
		prefix, unit string
		stray        bool
	}{
		"silence":                  {"", "", false},
		"status line":              {"", "x", true},
		"header lines":             {okHead, "A: b\r\n", true},
		"informational, then none": {"HTTP/1.1 102 Processing\r\n\r\n", "", false},
		"informational lines":      {"HTTP/1.1 103 Early Hints\r\n", "A: b\r\n", true},
		"second header":            {"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 20", "", true},
		"stray body":               {strayHead + "\r\n", "x", true},
		"stray chunks":             {strayHead + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", true},
		"stray chunk extension":    {strayHead + "Transfer-Encoding: chunked\r\n\r\n1;", "x", true},
		"chunk size":               {chunkedHead, "0", true},
		"chunk extension":          {chunkedHead + "1;", "x", true},
		"trailer":                  {chunkedHead + "0\r\n", "A: b\r\n", true},
		"stray trailer":            {strayHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			address, closed := endlessServer(t, c.prefix, c.unit, brief/20)
			ctx, cancel := context.WithTimeout(context.Background(), brief)
			defer cancel()
			_, err := doCounting(ctx, t, address)
			is.True(ctx.Err() != nil)
			is.True(errors.Is(err, ErrResponseLost))
			is.Equal(errors.Is(err, ErrStrayBytes), c.stray)
			if c.unit != "" {
				<-closed
			}
		})
	}
}

// Guards against a sound replica that is blamed for a body that the call's deadline cuts off.
func TestCutBodyIsNoStrayBytes(t *testing.T) {
	for name, c := range map[string]struct{ prefix, unit string }{
		"body":            {okHead + "\r\n", "x"},
		"chunks":          {chunkedHead, "1\r\nx\r\n"},
		"part of a body":  {okHead + "Content-Length: 9\r\n\r\nx", ""},
		"part of a chunk": {chunkedHead + "9\r\nx", ""},
		"no body":         {okHead + "Content-Length: 9\r\n\r\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			address, _ := endlessServer(t, c.prefix, c.unit, brief/20)
			ctx, cancel := context.WithTimeout(context.Background(), brief)
			defer cancel()
			_, err := doCounting(ctx, t, address)
			is.True(err != nil)
			is.True(ctx.Err() != nil)
			is.True(!errors.Is(err, ErrStrayBytes))
		})
	}
}

// Guards against bytes without end in the place of a chunk's size or of a trailer: fast ones end the
// response at a bound, slow ones at the call's deadline.
func TestEndlessFramingEndsTheResponse(t *testing.T) {
	for name, kind := range map[string]struct{ prefix, unit string }{
		"chunk extension":  {chunkedHead + "1;", "x"},
		"chunk extensions": {chunkedHead, "1;" + strings.Repeat("x", 1<<10) + "\r\ny\r\n"},
		"chunk size":       {chunkedHead, "0"},
		"trailer lines":    {chunkedHead + "0\r\n", "A: b\r\n"},
		"trailer line":     {chunkedHead + "0\r\nA: ", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			address, closed := endlessServer(t, kind.prefix, strings.Repeat(kind.unit, 1+readBufferSize/len(kind.unit)), 0)
			ctx, cancel := context.WithTimeout(context.Background(), ample)
			defer cancel()
			read, err := doCounting(ctx, t, address)
			is.True(err != nil)
			is.NoErr(ctx.Err())
			is.True(read <= 2*maxHeaderBytes+readBufferSize)
			<-closed

			address, closed = endlessServer(t, kind.prefix, kind.unit, brief/20)
			ctx, cancel = context.WithTimeout(context.Background(), brief)
			defer cancel()
			_, err = doCounting(ctx, t, address)
			is.True(err != nil)
			<-closed
		})
	}
}

// Guards against the body of another call's response that has no end: fast, it ends the call at a bound.
func TestEndlessStrayBodyEndsTheCall(t *testing.T) {
	for name, kind := range map[string]struct{ prefix, unit string }{
		"without length": {strayHead + "\r\n", strings.Repeat("x", readBufferSize)},
		"of a length":    {strayHead + "Content-Length: 1000000000\r\n\r\n", strings.Repeat("x", readBufferSize)},
		"tiny chunks":    {strayHead + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", 100)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			address, closed := endlessServer(t, kind.prefix, kind.unit, 0)
			ctx, cancel := context.WithTimeout(context.Background(), ample)
			defer cancel()
			read, err := doCounting(ctx, t, address)
			is.NoErr(ctx.Err())
			is.True(errors.Is(err, ErrResponseLost))
			const framing = 6 // bytes of a chunk with one byte
			is.True(read <= framing*maxStrayBody+maxHeaderBytes)
			<-closed
		})
	}
}

// Guards against bytes after a response that pile up on an idle connection, or are taken for the next
// call's response.
func TestEndlessBytesOnAnIdleConnection(t *testing.T) {
	for speed, pause := range map[string]time.Duration{"fast": 0, "slow": 2 * time.Millisecond} {
		t.Run(speed, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			address, closed := endlessServer(t, okHead+"Content-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad", pause)
			pool := NewPool(address)
			response, err := pool.Do(context.Background(), get("/"), 1)
			is.NoErr(err)
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(string(body), "ok")
			if pool.HasIdleConnection() {
				is.NoErr(awaitBytes(pool.idle[0].netConn))
			}
			_, err = pool.Do(context.Background(), get("/"), 1)
			is.True(errors.Is(err, ErrNotSent)) // the server accepts no second connection
			<-closed
		})
	}
}

// awaitBytes waits until a connection has bytes to read, and leaves them there.
func awaitBytes(c net.Conn) error {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(func(fd uintptr) bool {
		n, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return n > 0 || err != nil && !errors.Is(err, unix.EAGAIN)
	})
}
