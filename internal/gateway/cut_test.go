package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/httpconn"
	"foxhall/internal/routing"
)

// cutsShort sends an attempt over a connection whose server sends bytes and closes.
func cutsShort(t *testing.T, bytes string) script {
	server, err := newScriptedServer(func(c net.Conn) { _, _ = io.WriteString(c, bytes) })
	is.New(t).NoErr(err)
	t.Cleanup(server.awaitClosed)
	return func(ctx context.Context, a *Attempt) (*Response, error) {
		call := &httpconn.Call{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}
		response, err := httpconn.NewPool(server.address()).Do(ctx, call, 1)
		if err != nil {
			return nil, err
		}
		return NewResponse(Response{Status: response.Status, Verified: true, Executed: true, Length: response.Length, Body: response.Body, FramedByClose: response.FramedByClose}, response.Close), nil
	}
}

// Guards against responses that are cut short, or rest on the end of their connection alone, and leave no trace
// that tells where.
func TestCutsAreCountedAndLogged(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for _, c := range []struct {
		sent, counter, field string
		kind                 routing.Kind
	}{
		{head + "A: b", "gateway.cuts.header", "header", routing.AtMostOnce},
		{head + "Content-Length: 5\r\n\r\npart", "gateway.cuts.length", "length", routing.AtMostOnce},
		{head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n", "gateway.cuts.trailers", "trailers", routing.AtMostOnce},
		{head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart", "gateway.cuts.chunks", "chunks", routing.Stream},
		{head + "\r\nid: 1\n", "gateway.cuts.event", "event", routing.Stream},
		{head + "\r\nwhole", "gateway.framed_by_close", "", routing.AtMostOnce},
		{head + "\r\nid: 1\n\n", "gateway.framed_by_close", "", routing.Stream},
	} {
		t.Run(c.counter+" "+c.field, func(t *testing.T) {
			is := is.New(t)
			service := routing.Service{Name: "s"}
			if c.kind == routing.Stream {
				service.Engine = &routing.Engine{TokensPerEvent: 2}
			}
			w := newTestGateway(service, nil, Settings{}, routing.Route{Kind: c.kind, Attempts: 1}, nil, cutsShort(t, c.sent))
			call := Call{ID: "r", Host: "h", Path: "/x", Arrived: time.Now()}
			w.gateway.Serve(context.Background(), &call, &fakeCaller{})
			is.Equal(metrics.GetOrRegisterCounter(c.counter, w.registry).Count(), int64(1))
			for _, line := range w.lines.Entries {
				if line.Message == "attempt failed" {
					is.Equal(line.Fields["cut"], c.field)
				}
			}
		})
	}
}

// endsByClose sends events of a stream whose end is that of its connection, and whose replica ends or goes on.
func endsByClose(replicaEnds bool, events ...string) script {
	return func(context.Context, *Attempt) (*Response, error) {
		var body io.Reader = strings.NewReader(strings.Join(events, ""))
		if replicaEnds {
			body = endingBody{body}
		}
		return NewResponse(Response{Status: 200, Verified: true, Executed: true, Length: -1, FramedByClose: true, Body: body}, func() {}), nil
	}
}

// Guards against a stream without a length that is taken for whole, and whose turn is kept, though its replica has
// ended: the connections of a process that is killed are closed in order.
func TestStreamThatEndsWithItsReplicaIsNotWhole(t *testing.T) {
	resumable := routing.Route{Kind: routing.Stream, Resumable: true, Attempts: 2}
	for name, c := range map[string]struct {
		route       routing.Route
		replicaEnds bool
		outcome     Outcome
		body        string
		kept        bool
	}{
		"replica goes on":            {routing.Route{Kind: routing.Stream, Attempts: 1}, false, Completed, event(1), false},
		"replica ends":               {routing.Route{Kind: routing.Stream, Attempts: 1}, true, Truncated, event(1), false},
		"turn, replica goes on":      {turnRoute, false, Completed, event(1), true},
		"turn, replica ends":         {turnRoute, true, Truncated, event(1), false},
		"resumable, replica goes on": {resumable, false, Completed, event(1), false},
		"resumable, replica ends":    {resumable, true, Completed, event(1) + event(2), false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			turns := &fakeTurns{}
			got := serve(t, c.route, turnCall(), turns, endsByClose(c.replicaEnds, event(1)), streams(nil, event(2)))
			is.Equal(got.result.Outcome, c.outcome)
			is.Equal(got.body, c.body)
			kept := false
			for _, s := range turns.settlements {
				kept = kept || s.RetainedTurn != nil
			}
			is.Equal(kept, c.kept)
			if c.replicaEnds {
				is.Equal(metrics.GetOrRegisterCounter("gateway.cuts.close", got.registry).Count(), int64(1))
			}
		})
	}
}

// Guards against a stream that is judged by what its replica does after its end: its caller reads slowly, and meanwhile
// a replica that has sent all of it leaves, or one that was killed within it starts again.
func TestStreamIsJudgedAtItsEndThoughItsCallerIsSlow(t *testing.T) {
	for name, c := range map[string]struct {
		endsWithin bool
		outcome    Outcome
	}{
		"replica leaves later":        {false, Completed},
		"killed replica starts again": {true, Truncated},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				service := routing.Service{Name: "s", Engine: &routing.Engine{TokensPerEvent: 2}}
				stream := endsByClose(c.endsWithin, event(1), event(2), event(3))
				w := newTestGateway(service, nil, Settings{}, routing.Route{Kind: routing.Stream, Attempts: 1}, nil, stream)
				time.AfterFunc(2*time.Second, func() { w.replicas.setRefusing(!c.endsWithin) })
				got := w.serve(&fakeCaller{writeDelay: time.Second}, Call{ID: "r", Host: "h", Path: "/x", Arrived: time.Now()})
				is.Equal(got.result.Outcome, c.outcome)
				is.Equal(got.body, event(1)+event(2)+event(3))
			})
		})
	}
}

// setRefusing sets whether the replicas refuse connections.
func (f *fakeReplicas) setRefusing(refuse bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range testReplicas {
		f.refusing[name] = refuse
	}
}
