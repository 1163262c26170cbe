package httpconn

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// badStatusLines are lines that no response begins with.
var badStatusLines = []string{
	"HTTP/1.1 000", "HTTP/1.1 000 OK", "HTTP/1.0 000 OK", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK",
	"HTTP/1.1 101 Switching Protocols", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK",
	"HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.0 600",
	"HTTP/2.0 200 OK", "HTTP/9.9 200 OK", "HTTP/1.2 200 OK", "HTTP/0.9 200 OK", "HTTP/01.1 200 OK", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK",
	"HTTP/1.1 0 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 abc OK", "HTTP/1.1 200OK", "HTTP/1.1 200\tOK", "HTTP/1.1 2 0 OK",
	"HTTP/1.1 ", "HTTP/1.1", "HTTP/", "http/1.1 200 OK", "ICY 200 OK", "200 OK", " HTTP/1.1 200 OK",
	"HTTP/1.1 000 " + strings.Repeat("x", 2*readBufferSize), "HTTP/1.1  200 " + strings.Repeat("x", 2*readBufferSize),
}

// framings are what may follow a status line. The server keeps the connection open.
var framings = map[string]string{
	"length":              "Content-Length: 2\r\n\r\nok",
	"length of 0":         "Content-Length: 0\r\n\r\n",
	"no length":           "\r\n",
	"unfinished":          "A: b\r\n",
	"sound answer behind": "Content-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
}

// Guards against a response without a status, or of another protocol, that is taken for one: for an interim
// response, after which the call waits for another until its deadline, or for the call's answer.
func TestResponseWithoutAStatusEndsTheCallAtOnce(t *testing.T) {
	for _, line := range badStatusLines {
		for name, rest := range framings {
			t.Run(line[:min(len(line), 24)]+" "+name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				closed := make(chan struct{})
				address := serveOnce(t, func(c *net.TCPConn) {
					defer close(closed)
					_, _ = io.WriteString(c, line+"\r\n"+rest)
					_, _ = c.Read(make([]byte, 1)) // until the other side closes
				})
				ctx, cancel := context.WithTimeout(context.Background(), ample)
				defer cancel()
				pool := NewPool(address)
				_, err := pool.Do(ctx, get("/"), 1)
				is.NoErr(ctx.Err())
				is.True(errors.Is(err, ErrMalformed))
				is.True(errors.Is(err, ErrResponseLost))
				is.True(!IsBroken(err))
				is.Equal(pool.inUse(), 0)
				<-closed
			})
		}
	}
}

// Guards against sound status lines that are refused, and against interim responses that are taken for the answer.
func TestSoundStatusLinesAreAccepted(t *testing.T) {
	const rest = "Content-Length: 2\r\n\r\nok"
	for sent, status := range map[string]int{
		"HTTP/1.1 200 OK\r\n" + rest:                                          200,
		"HTTP/1.1 200 \r\n" + rest:                                            200,
		"HTTP/1.1 200\r\n" + rest:                                             200,
		"HTTP/1.1 200\nContent-Length: 2\n\nok":                               200,
		"HTTP/1.0 200 OK\r\n" + rest:                                          200,
		"HTTP/1.1 299 \xe9\r\n" + rest:                                        299,
		"HTTP/1.1 599 A status of its own\r\n" + rest:                         599,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + rest:             200,
		"HTTP/1.1 102\r\n\r\nHTTP/1.1 103 \r\n\r\nHTTP/1.1 200 OK\r\n" + rest: 200,
		"HTTP/1.1 104 Upload\r\nA: b\r\n\r\nHTTP/1.1 404 OK\r\n" + rest:       404,
	} {
		t.Run(sent[:20], func(t *testing.T) {
			is := is.New(t)
			address := serveOnce(t, func(c *net.TCPConn) { _, _ = io.WriteString(c, sent) })
			response, err := NewPool(address).Do(context.Background(), get("/"), 1)
			is.NoErr(err)
			defer response.Close()
			is.Equal(response.Status, status)
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(string(body), "ok")
		})
	}
}

// Guards against a status line that arrives in parts and is refused, or whose faulty server is waited for.
func TestStatusLineMayArriveInParts(t *testing.T) {
	for line, sound := range map[string]bool{"HTTP/1.1 204 No Content\r\n\r\n": true, "HTTP/1.1 000 OK\r\n\r\n": false, "abc\r\n": false} {
		t.Run(line[:3]+line[len(line)-4:], func(t *testing.T) {
			is := is.New(t)
			address := serveOnce(t, func(c *net.TCPConn) {
				for i := range line {
					if _, err := io.WriteString(c, line[i:i+1]); err != nil {
						return
					}
					time.Sleep(time.Millisecond)
				}
				_, _ = c.Read(make([]byte, 1))
			})
			ctx, cancel := context.WithTimeout(context.Background(), ample)
			defer cancel()
			response, err := NewPool(address).Do(ctx, get("/"), 1)
			is.NoErr(ctx.Err())
			is.Equal(errors.Is(err, ErrMalformed), !sound)
			if sound {
				is.NoErr(err)
				is.Equal(response.Status, 204)
				response.Close()
			}
		})
	}
}

// bytesConn is a connection whose other side has sent all of its bytes, and closed.
type bytesConn struct{ *bytes.Reader }

func (bytesConn) Write(p []byte) (int, error)      { return len(p), nil }
func (bytesConn) Close() error                     { return nil }
func (bytesConn) LocalAddr() net.Addr              { return nil }
func (bytesConn) RemoteAddr() net.Addr             { return nil }
func (bytesConn) SetDeadline(time.Time) error      { return nil }
func (bytesConn) SetReadDeadline(time.Time) error  { return nil }
func (bytesConn) SetWriteDeadline(time.Time) error { return nil }

// FuzzResponse sends arbitrary bytes as the response to a call. An answer must have a status of 200 to 599 that
// stands in its status line, and interim responses alone before it.
func FuzzResponse(f *testing.F) {
	for _, line := range badStatusLines {
		f.Add([]byte(line + "\r\nContent-Length: 2\r\n\r\nok"))
		f.Add([]byte("HTTP/1.1 103 Early Hints\r\n\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"))
	}
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.0 200\n\nok"))
	f.Fuzz(func(t *testing.T, input []byte) {
		pool := NewPool("")
		c := newConn(pool, bytesConn{bytes.NewReader(input)})
		pool.openCount++
		c.beginCall(context.Background(), get("/"))
		response, err := c.exchange(get("/"))
		if err != nil {
			if response != nil || !errors.Is(err, ErrResponseLost) {
				t.Fatalf("error %v with the response %v", err, response)
			}
			return
		}
		for rest := input; ; {
			status := soundStatus(rest)
			if status == 0 || status == 101 {
				t.Fatalf("taken for the answer behind %q", rest)
			}
			if status >= 200 {
				if response.StatusCode != status {
					t.Fatalf("status %d of %q", response.StatusCode, rest)
				}
				return
			}
			end := headerEnd.FindIndex(rest)
			if end == nil {
				t.Fatalf("no end of the interim response %q", rest)
			}
			rest = rest[end[1]:]
		}
	})
}

// soundStatus returns the status of the response that input begins with; 0 if that is none.
func soundStatus(input []byte) int {
	line, _, ok := bytes.Cut(input, []byte("\n"))
	line = bytes.TrimSuffix(line, []byte("\r"))
	if !ok || len(line) < 12 || len(line) > 12 && line[12] != ' ' || string(line[:7]) != "HTTP/1." || line[7] != '0' && line[7] != '1' || line[8] != ' ' {
		return 0
	}
	status := 0
	for _, digit := range line[9:12] {
		if digit < '0' || digit > '9' {
			return 0
		}
		status = 10*status + int(digit-'0')
	}
	if status < 100 || status > 599 {
		return 0
	}
	return status
}
