package node

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"foxhall/internal/buffer"
	"foxhall/internal/fuzzing"
	"foxhall/internal/routing"
)

func TestMain(m *testing.M) {
	fuzzing.Fix(20261204, 300)
	os.Exit(m.Run())
}

// Guards against a body that counts as a header, and a header that counts in part: wherever the
// pieces of a call end, its bytes and lines up to the blank line count, and nothing after it.
func TestHeaderMeterAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOfN(rapid.StringMatching(`[a-z: \r]{1,40}[a-z]`), 1, 40).Draw(t, "lines")
		end := rapid.SampledFrom([]string{"\r\n", "\n"}).Draw(t, "end")
		header := strings.Join(lines, end) + end + end
		body := rapid.StringMatching(`[a-z\n]{0,200}`).Draw(t, "body")
		var m headerMeter
		for rest := []byte(header + body); len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			m.add(rest[:n])
			rest = rest[n:]
		}
		if !m.ended || m.bytes != len(header) || m.lines != len(lines)+1 {
			t.Fatalf("%d bytes, %d lines, ended: %t; oracle expects %d, %d", m.bytes, m.lines, m.ended, len(header), len(lines)+1)
		}
	})
}

// Guards against callers that fill the instance's memory with headers, on as many connections as
// they like: together they must stay within the budget of calls, and calls of usual size must be served.
func TestHeadersStayWithinTheMemoryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const limit = 4 << 20
		budget := buffer.NewBudget(limit, metrics.NewRegistry())
		l := &singleConnListener{conn: make(chan net.Conn, 1000), closed: make(chan struct{})}
		server := &http.Server{
			Handler:           http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }),
			ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: trackConnState,
		}
		go server.Serve(&callerListener{
			Listener: l, limits: func() routing.Limits { return routing.Limits{} },
			conns: newCallerConns(0, discardLogger, metrics.NewRegistry()), buffers: budget,
		})
		defer server.Close()
		connect := func() net.Conn {
			caller, side := net.Pipe()
			l.conn <- side
			return caller
		}
		var flooding []net.Conn
		for range 200 {
			c := connect()
			flooding = append(flooding, c)
			go func() {
				_, _ = io.WriteString(c, "GET / HTTP/1.1\r\n")
				for i := range 10_000 {
					if _, err := fmt.Fprintf(c, "%x:\r\n", i); err != nil {
						return
					}
				}
			}()
		}
		synctest.Wait()
		is.True(budget.Used() > int64(limit/2))
		is.True(budget.Used() <= int64(limit))

		// One more is refused as not run, with a time to return.
		refused, answer := connect(), make(chan string, 1)
		go func() {
			received, _ := io.ReadAll(refused)
			answer <- string(received)
		}()
		_, err := io.WriteString(refused, "GET / HTTP/1.1\r\n")
		for i := 0; err == nil; i++ {
			_, err = fmt.Fprintf(refused, "%x:\r\n", i)
		}
		is.True(strings.HasPrefix(<-answer, "HTTP/1.1 503 "))

		usual := connect()
		_, err = io.WriteString(usual, "GET / HTTP/1.1\r\nHost: h\r\nA: "+strings.Repeat("x", 2000)+"\r\n\r\n")
		is.NoErr(err)
		response := make([]byte, 1024)
		n, err := usual.Read(response)
		is.NoErr(err)
		is.True(bytes.HasPrefix(response[:n], []byte("HTTP/1.1 200")))
		usual.Close()

		for _, c := range flooding {
			c.Close()
		}
		synctest.Wait()
		is.Equal(budget.Used(), int64(0))
	})
}
