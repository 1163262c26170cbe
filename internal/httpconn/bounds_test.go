package httpconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// floodBytes is the size in bytes of an unbounded part of a response.
const floodBytes = 8 << 20

// maxBuffered is the most that a call may read of a part that it has to hold: the bound of a header
// and one read more.
const maxBuffered = maxHeaderBytes + readBufferSize

// poolOverPipe returns a pool whose only connection is a pipe, which buffers nothing. The server sends
// prefix and then unit again and again. sent receives the number of bytes that were read of it.
func poolOverPipe(prefix, unit string) (pool *Pool, sent chan int) {
	client, server := net.Pipe()
	pool, sent = NewPool("pipe"), make(chan int, 1)
	pool.addIdle(newConn(pool, client))
	go func() {
		defer server.Close()
		request := make([]byte, maxInlineWrite)
		_, _ = server.Read(request)
		total, part := 0, []byte(prefix)
		for total < floodBytes {
			n, err := server.Write(part)
			total += n
			if err != nil {
				break
			}
			part = []byte(unit)
		}
		sent <- total
	}()
	return pool, sent
}

func (p *Pool) addIdle(c *conn) {
	c.idleSince = time.Now()
	p.openCount++
	p.idle = append(p.idle, c)
}

// Guards against a replica whose response has no end where it must be held in memory: the instance
// would exceed its memory, and the calls of all others end with it.
func TestEndlessPartsOfResponsesAreBounded(t *testing.T) {
	const head, long = "HTTP/1.1 200 OK\r\n", 1 << 10
	for name, flood := range map[string]struct{ prefix, unit string }{
		"status line":      {"", strings.Repeat("x", long)},
		"bytes":            {"", strings.Repeat("\xa5", long)},
		"header line":      {head + "A: ", strings.Repeat("x", long)},
		"header lines":     {head, "A: b\r\n"},
		"continued line":   {head + "A: b\r\n", " c\r\n"},
		"informational":    {"HTTP/1.1 103 Early Hints\r\n", "A: b\r\n"},
		"chunk extension":  {head + "Transfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("x", long)},
		"chunk extensions": {head + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", long) + "\r\ny\r\n"},
		"chunk size":       {head + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", long)},
		"trailer":          {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
		"trailer line":     {head + "Transfer-Encoding: chunked\r\n\r\n0\r\nA: ", strings.Repeat("x", long)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			pool, sent := poolOverPipe(flood.prefix, flood.unit)
			response, err := pool.Do(context.Background(), get("/"), 1)
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
				response.Close()
			}
			is.True(err != nil)
			is.True(<-sent <= maxBuffered)
		})
	}
}

// Guards against a bound that refuses sound responses: a header just below it passes.
func TestLargeHeaderPasses(t *testing.T) {
	is := is.New(t)
	value := strings.Repeat("x", maxHeaderBytes-100)
	pool, _ := poolOverPipe("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nA: "+value+"\r\n\r\n", "ok")
	response, err := pool.Do(context.Background(), get("/"), 1)
	is.NoErr(err)
	is.Equal(response.Header.Get("A"), value)
	response.Close()
}

// Guards against a series of informational responses without end.
func TestInformationalResponsesAreBounded(t *testing.T) {
	is := is.New(t)
	pool, sent := poolOverPipe("", "HTTP/1.1 102 Processing\r\n\r\n")
	_, err := pool.Do(context.Background(), get("/"), 1)
	is.True(errors.Is(err, ErrResponseLost))
	is.True(<-sent <= maxBuffered)
}

// Guards against a response made of the body of a response to another call: a stray body that is
// longer than what is skipped of it may hold anything.
func TestLongStrayBodyEndsTheCall(t *testing.T) {
	is := is.New(t)
	const forged = "HTTP/1.1 200 OK\r\nCall: 2\r\nContent-Length: 3\r\n\r\nbad"
	pool, _ := poolOverPipe("HTTP/1.1 200 OK\r\nCall: 1\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("x", maxStrayBody), forged)
	call := get("/")
	call.Matches = func(h http.Header) bool { return h.Get("Call") == "2" }
	_, err := pool.Do(context.Background(), call, 1)
	is.True(errors.Is(err, ErrResponseLost))
}

// Guards against a response to HEAD that is taken for a truncated one: it states the length of a body
// that it does not have, and its connection is free for the next call.
func TestResponseToHeadHasNoBody(t *testing.T) {
	is := is.New(t)
	pool, _ := poolOverPipe("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	call := get("/")
	call.Method = http.MethodHead
	response, err := pool.Do(context.Background(), call, 1)
	is.NoErr(err)
	is.Equal(response.Length, int64(0))
	is.Equal(response.Header.Get("Content-Length"), "1000")
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(len(body), 0)
}

// Guards against a caller that gets a response which names no call and belongs to another one, and against
// calls to a server that never names them, which would get none.
func TestAnonymousResponseIsAcceptedOnlyOnANewConnection(t *testing.T) {
	const named, anonymous, other = "HTTP/1.1 200 OK\r\nCall: own\r\nContent-Length: 3\r\n\r\nown",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnone", "HTTP/1.1 200 OK\r\nCall: other\r\nContent-Length: 5\r\n\r\nother"
	for name, c := range map[string]struct {
		// sent is what the server sends after each request on a connection, the last one before it closes.
		sent []string
		// want are the bodies that the calls get; empty for a lost response.
		want        []string
		connections int64
	}{
		"never named":                   {[]string{anonymous, anonymous}, []string{"none", "none"}, 2},
		"stray one before the own":      {[]string{named, anonymous + named, named}, []string{"own", "own", "own"}, 1},
		"two stray ones before the own": {[]string{named, anonymous + other + named}, []string{"own", "own"}, 1},
		"only a stray one":              {[]string{named, anonymous}, []string{"own", ""}, 1},
		"no response":                   {[]string{named, "extra\r\n\r\n" + named}, []string{"own", ""}, 1},
		"after a stray one, new":        {[]string{other + anonymous}, []string{""}, 1},
		"after an informational one":    {[]string{"HTTP/1.1 103 Early Hints\r\n\r\n" + anonymous}, []string{"none"}, 1},
		"a refusal that names no call":  {[]string{named, "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"}, []string{"own", ""}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					go func() {
						defer conn.Close()
						for _, part := range c.sent {
							if _, err := conn.Read(make([]byte, 1<<10)); err != nil {
								return
							}
							_, _ = io.WriteString(conn, part)
						}
					}()
				}
			}()
			pool := NewPool(listener.Addr().String())
			defer pool.Close()
			for _, want := range c.want {
				call := get("/")
				call.Matches = func(h http.Header) bool { return h.Get("Call") == "own" }
				call.Anonymous = func(h http.Header) bool { return h.Get("Call") == "" }
				response, err := pool.Do(context.Background(), call, 1)
				if want == "" {
					is.True(errors.Is(err, ErrResponseLost))
					continue
				}
				is.NoErr(err)
				body, err := io.ReadAll(response.Body)
				is.NoErr(err)
				is.Equal(string(body), want)
			}
			is.Equal(pool.OpenedCount(), c.connections)
		})
	}
}
