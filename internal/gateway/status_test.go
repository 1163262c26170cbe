package gateway

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/httpconn"
	"foxhall/internal/routing"
)

// badStatusLines are lines that no response begins with.
var badStatusLines = []string{
	"HTTP/1.1 000", "HTTP/1.1 000 OK", "HTTP/1.0 000 OK", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 101 Switching Protocols",
	"HTTP/1.1 +20 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/2.0 200 OK", "HTTP/9.9 200 OK", "HTTP/1.1  200 OK",
	"HTTP/1.1 0 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 abc OK", "HTTP/1.1 200OK", "ICY 200 OK",
}

// statusFramings are what may follow a status line. The server keeps the connection open.
var statusFramings = map[string]string{
	"length":              "Content-Length: 9\r\n\r\ndata: x\n\n",
	"length of 0":         "Content-Length: 0\r\n\r\n",
	"no length":           "\r\ndata: x\n\n",
	"sound answer behind": "Content-Length: 0\r\n\r\n" + okHead + "Content-Length: 9\r\n\r\ndata: y\n\n",
}

// forEachBadStatus runs check with the bytes of each kind of response without a proper status.
func forEachBadStatus(t *testing.T, check func(is *is.I, sent string)) {
	for _, line := range badStatusLines {
		for name, rest := range statusFramings {
			t.Run(line+" "+name, func(t *testing.T) {
				t.Parallel()
				check(is.New(t), line+"\r\n"+rest)
			})
		}
	}
}

// sendsOnly is a script of a server that sends bytes and leaves the connection open.
func sendsOnly(sent string) func(net.Conn) {
	return func(c net.Conn) {
		_, _ = io.WriteString(c, sent)
		_, _ = io.Copy(io.Discard, c)
	}
}

// Guards against a replica's response without a proper status that is taken for the call's answer, or for an interim
// response, after which the call waits until its deadline. The replica may have run the call.
func TestResponseWithoutAStatusEndsTheAttempt(t *testing.T) {
	const timeout = 20 * time.Second
	for name, route := range map[string]routing.Route{
		"plain":                     {Kind: routing.AtMostOnce, Attempts: 1},
		"idempotent":                {Kind: routing.Idempotent, Attempts: 1},
		"idempotent, two attempts":  {Kind: routing.Idempotent, Attempts: 2},
		"stream":                    {Kind: routing.Stream, Attempts: 1},
		"resumable":                 {Kind: routing.Stream, Resumable: true, Attempts: 1},
		"resumable, two attempts":   {Kind: routing.Stream, Resumable: true, Attempts: 2},
		"plain, two attempts named": {Kind: routing.AtMostOnce, Attempts: 2},
	} {
		route.Timeout = timeout
		t.Run(name, func(t *testing.T) {
			forEachBadStatus(t, func(is *is.I, sent string) {
				e, err := newFaultyTest(route, sendsOnly(sent))
				is.NoErr(err)
				defer e.close()
				e.replicas.breakFirst()
				caller := &fakeCaller{}
				began := time.Now()
				result, err := e.serve(caller)
				is.NoErr(err)
				is.True(time.Since(began) < timeout/2)
				is.Equal(erringUpstreams(e.upstreams), []string{e.replicas.broken}) // also if another one served the call
				is.True(metrics.GetOrRegisterCounter("gateway.sendings.spoiled", e.registry).Count() > 0)
				if route.Attempts == 2 && route.Repeatable() {
					is.Equal(result.Outcome, Completed)
					is.Equal(caller.body.String(), soundBody)
					return
				}
				is.Equal(result.Outcome, Unknown)
				is.Equal(result.Reason, ReplicaInvalidResponse)
				is.Equal(caller.status, 0) // nothing of the replica's response was given to the caller
				is.Equal(caller.body.String(), "")
				is.Equal(e.replicas.count(), 1)
			})
		})
	}
}

// overConnection sends an attempt over a connection whose server sends bytes and leaves it open.
func overConnection(t *testing.T, sent string) script {
	server, err := newScriptedServer(sendsOnly(sent))
	is.New(t).NoErr(err)
	t.Cleanup(server.awaitClosed)
	return func(ctx context.Context, _ *Attempt) (*Response, error) {
		response, err := httpconn.NewPool(server.address()).Do(ctx, &httpconn.Call{Method: "GET", Target: "/", Host: "h"}, 1)
		if err != nil {
			return nil, err
		}
		return NewResponse(Response{Status: response.Status, Verified: true, Executed: true, Length: response.Length, Body: response.Body}, response.Close), nil
	}
}

// Guards against the same where a stream goes on after its first events, and where a hedge gets such a response:
// it took over from an attempt that was silent for a while.
func TestResponseWithoutAStatusToALaterAttempt(t *testing.T) {
	const gap = 50 * time.Millisecond
	for _, line := range badStatusLines {
		sent := line + "\r\nContent-Length: 9\r\n\r\ndata: x\n\n"
		call := Call{ID: "r", Host: "h", Path: "/x"}
		for name, c := range map[string]struct {
			steps   []script
			outcome Outcome
			body    string
		}{
			"goes on":          {[]script{brokenAfter(event(1)), overConnection(t, sent), streams(nil, event(2))}, Completed, event(1) + event(2)},
			"goes on, no more": {[]script{brokenAfter(event(1)), overConnection(t, sent)}, Truncated, event(1)},
			"hedge":            {[]script{goesOnAfter(6*gap, event(1), event(2)), overConnection(t, sent)}, Completed, event(1) + event(2)},
		} {
			t.Run(line+" "+name, func(t *testing.T) {
				is := is.New(t)
				service := routing.Service{Name: "s", Engine: &routing.Engine{TokensPerEvent: 2}}
				route := routing.Route{Kind: routing.Stream, Resumable: true, Attempts: 2, Timeout: 20 * time.Second, GapObjective: gap}
				w := newTestGateway(service, nil, Settings{}, route, nil, c.steps...)
				caller := &fakeCaller{}
				call := call
				call.Arrived = time.Now()
				result := w.gateway.Serve(context.Background(), &call, caller)
				is.Equal(result.Outcome, c.outcome)
				is.Equal(caller.body.String(), c.body)
				is.Equal(caller.status, 200)
				is.True(time.Since(call.Arrived) < route.Timeout/2)
			})
		}
	}
}

// goesOnAfter sends the first event at once, and the others after a pause.
func goesOnAfter(pause time.Duration, events ...string) script {
	return func(ctx context.Context, _ *Attempt) (*Response, error) {
		rest := &lateReader{ctx: ctx, until: time.Now().Add(pause), Reader: strings.NewReader(strings.Join(events[1:], ""))}
		body := io.MultiReader(strings.NewReader(events[0]), rest)
		return NewResponse(Response{Status: 200, Verified: true, Executed: true, Length: -1, Body: body}, func() {}), nil
	}
}

// lateReader reads nothing until a time.
type lateReader struct {
	io.Reader
	ctx   context.Context
	until time.Time
}

func (r *lateReader) Read(p []byte) (int, error) {
	if !sleep(r.ctx, time.Until(r.until)) {
		return 0, errors.Wrap(httpconn.ErrResponseLost, "cancelled")
	}
	return r.Reader.Read(p)
}
