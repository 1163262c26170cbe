package gateway

import (
	"context"
	"io"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/httpconn"
	"foxhall/internal/routing"
)

// slowly streams an event at once and the next ones after pauses, unless its caller leaves.
func slowly(pause time.Duration, events ...string) script {
	return func(ctx context.Context, _ *Attempt) (*Response, error) {
		body := &slowReader{ctx: ctx, pause: pause, events: events}
		return NewResponse(Response{Status: 200, Verified: true, Executed: true, Length: -1, Body: body}, func() {}), nil
	}
}

type slowReader struct {
	ctx    context.Context
	pause  time.Duration
	events []string
	begun  bool
}

func (r *slowReader) Read(p []byte) (int, error) {
	if len(r.events) == 0 {
		return 0, io.EOF
	}
	if r.begun {
		select {
		case <-time.After(r.pause):
		case <-r.ctx.Done():
			return 0, r.ctx.Err()
		}
	}
	r.begun = true
	n, err := strings.NewReader(r.events[0]).Read(p)
	r.events = r.events[1:]
	return n, err
}

// silentOnce has each call told once, after the time, that the data centre is silent.
func silentOnce(after time.Duration) func(string, func()) func() {
	return func(_ string, f func()) func() {
		timer := time.AfterFunc(after, f)
		return func() { timer.Stop() }
	}
}

func distinct(sends []string) int {
	return len(slices.Compact(slices.Sorted(slices.Values(sends))))
}

// Calls run on more replicas than their route allows: the instances of a data centre are
// silent while its replicas answer.
func TestAttemptsHoldWhileInstancesAreSilentAndReplicasAnswer(t *testing.T) {
	is := is.New(t)
	route := routing.Route{Kind: routing.Stream, Resumable: true, Attempts: 1}
	out := serveThrough(t, silentOnce(300*time.Millisecond), route, Call{}, nil,
		slowly(200*time.Millisecond, event(1), event(2), event(3), event(4)), streams(nil, event(9)))
	is.Equal(distinct(out.sends), 1)
	is.Equal(out.result.Outcome, Answered)
	is.Equal(out.body, event(1)+event(2)+event(3)+event(4))

	idempotent := routing.Route{Kind: routing.Idempotent, Attempts: 1}
	late := func(ctx context.Context, s *Attempt) (*Response, error) {
		time.Sleep(400 * time.Millisecond)
		if ctx.Err() != nil {
			return hangs(ctx, s)
		}
		return good("late")(ctx, s)
	}
	out = serveThrough(t, silentOnce(300*time.Millisecond), idempotent, Call{}, nil, late, good("second"))
	is.Equal(distinct(out.sends), 1)
	is.Equal(out.body, "late")
}

// Calls run on more replicas than their route allows: a kept connection goes silent while its
// replica accepts new ones and runs on. The same replica must be asked again.
func TestAttemptsHoldWhereOnlyAConnectionIsSilent(t *testing.T) {
	is := is.New(t)
	idempotent := routing.Route{Kind: routing.Idempotent, Attempts: 1}
	out := serve(t, idempotent, Call{}, nil, fails(httpconn.ErrUnresponsive), good("again"))
	is.Equal(out.body, "again")
	is.Equal(distinct(out.sends), 1)

	stream := routing.Route{Kind: routing.Stream, Resumable: true, Attempts: 1}
	timedOut := os.NewSyscallError("read", syscall.ETIMEDOUT)
	out = serve(t, stream, Call{}, nil, streams(timedOut, event(1)), streams(nil, event(2)))
	is.Equal(out.body, event(1)+event(2))
	is.Equal(distinct(out.sends), 1)
	out = serve(t, stream, Call{}, nil, streams(timedOut, event(1)))
	is.Equal(out.result.Outcome, Truncated)
	is.Equal(distinct(out.sends), 1)
}

// A caller waits for a connection into a cut in vain: its data centre is silent as well.
func TestReplicaOfASilentDataCentreIsNotAskedAgain(t *testing.T) {
	is := is.New(t)
	silent := Settings{SilentFor: func(string) time.Duration { return heardWithin }}
	route := routing.Route{Kind: routing.Idempotent, Attempts: 1}
	out := serveFor(t, nil, silent, route, Call{}, nil, fails(httpconn.ErrUnresponsive), good("again"))
	is.Equal(out.result.Outcome, Unknown)
	is.Equal(len(out.sends), 1)
}

// Calls run on more replicas than their route allows, or are told not to have run: a replica
// loses an answer and refuses the second sending, which hides that it may have run the first.
func TestRefusedSecondSendingDoesNotHideTheFirst(t *testing.T) {
	is := is.New(t)
	stream := routing.Route{Kind: routing.Stream, Resumable: true, Attempts: 1}
	idempotent := routing.Route{Kind: routing.Idempotent, Attempts: 1}
	for _, second := range []script{refuses, fails(httpconn.ErrNotSent), fails(httpconn.ErrConnectionLimit)} {
		out := serve(t, stream, Call{}, nil, streams(io.ErrUnexpectedEOF, event(1)), second, streams(nil, event(2)))
		is.Equal(distinct(out.sends), 1)
		is.Equal(out.result.Outcome, Truncated)
		out = serve(t, stream, Call{}, nil, fails(httpconn.ErrResponseLost), second)
		is.Equal(distinct(out.sends), 1)
		is.Equal(out.result.Outcome, Unknown)
		out = serve(t, idempotent, Call{}, nil, fails(httpconn.ErrResponseLost), second, good("second"))
		is.Equal(distinct(out.sends), 1)
		is.Equal(out.result.Outcome, Unknown)
	}
}

// Operators can't tell why a run was left, and whether its replica counts: a stream that breaks
// leaves no line.
func TestEndOfASendingIsTold(t *testing.T) {
	is := is.New(t)
	route := routing.Route{Kind: routing.Stream, Resumable: true, Attempts: 2}
	out := serveThrough(t, silentOnce(300*time.Millisecond), route, Call{ID: "r"}, nil, slowly(time.Second, event(1), event(2)), streams(nil, event(2)))
	is.Equal(out.result.Outcome, Answered)
	line := out.line("sending ended")
	is.Equal(line["request"], "r")
	is.Equal(line["replica"], out.sends[0])
	is.Equal(line["verdict"], "cut-off")
	is.Equal(line["cause"], errDataCentreSilent.Error())
	is.Equal(line["ms"], int64(300))
	is.Equal(line["events"], 1)
	is.Equal(line["ran_at"], 1)
	is.Equal(line["attempts"], 2)
	is.True(serve(t, route, Call{}, nil, streams(nil, event(1))).line("sending ended") == nil)
}
