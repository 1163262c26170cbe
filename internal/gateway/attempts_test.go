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

// streamsSlowly streams the first event immediately and each further one after a pause, unless the
// attempt is cancelled.
func streamsSlowly(pause time.Duration, events ...string) script {
	return func(ctx context.Context, _ *Attempt) (*Response, error) {
		body := &slowReader{ctx: ctx, pause: pause, events: events}
		return NewResponse(Response{Status: 200, Verified: true, Executed: true, Length: -1, Body: body}, func() {}), nil
	}
}

type slowReader struct {
	ctx     context.Context
	pause   time.Duration
	events  []string
	started bool
}

func (r *slowReader) Read(p []byte) (int, error) {
	if len(r.events) == 0 {
		return 0, io.EOF
	}
	if r.started {
		select {
		case <-time.After(r.pause):
		case <-r.ctx.Done():
			return 0, r.ctx.Err()
		}
	}
	r.started = true
	n, err := strings.NewReader(r.events[0]).Read(p)
	r.events = r.events[1:]
	return n, err
}

// fallsSilentAfter returns an OnSilence function that reports the data centre as silent once, after
// the given time.
func fallsSilentAfter(after time.Duration) func(string, func()) func() {
	return func(_ string, f func()) func() {
		timer := time.AfterFunc(after, f)
		return func() { timer.Stop() }
	}
}

func countDistinct(sends []string) int {
	return len(slices.Compact(slices.Sorted(slices.Values(sends))))
}

// Guards against calls that run at more replicas than their route allows: the instances of a data
// centre are silent while its replicas respond.
func TestAttemptLimitHoldsWhileOnlyInstancesAreSilent(t *testing.T) {
	is := is.New(t)
	route := routing.Route{Kind: routing.Stream, Resumable: true, Attempts: 1}
	got := serveWithSilence(t, fallsSilentAfter(300*time.Millisecond), route, Call{}, nil,
		streamsSlowly(200*time.Millisecond, event(1), event(2), event(3), event(4)), streams(nil, event(9)))
	is.Equal(countDistinct(got.targets), 1)
	is.Equal(got.result.Outcome, Completed)
	is.Equal(got.body, event(1)+event(2)+event(3)+event(4))

	idempotent := routing.Route{Kind: routing.Idempotent, Attempts: 1}
	late := func(ctx context.Context, s *Attempt) (*Response, error) {
		time.Sleep(400 * time.Millisecond)
		if ctx.Err() != nil {
			return hangs(ctx, s)
		}
		return succeedsWith("late")(ctx, s)
	}
	got = serveWithSilence(t, fallsSilentAfter(300*time.Millisecond), idempotent, Call{}, nil, late, succeedsWith("second"))
	is.Equal(countDistinct(got.targets), 1)
	is.Equal(got.body, "late")
}

// Guards against calls that run at more replicas than their route allows: a reused connection
// becomes unresponsive while its replica still runs and accepts new ones. The call must be retried
// at the same replica.
func TestAttemptLimitHoldsWhenOnlyAConnectionIsUnresponsive(t *testing.T) {
	is := is.New(t)
	idempotent := routing.Route{Kind: routing.Idempotent, Attempts: 1}
	got := serve(t, idempotent, Call{}, nil, failsWith(httpconn.ErrUnresponsive), succeedsWith("again"))
	is.Equal(got.body, "again")
	is.Equal(countDistinct(got.targets), 1)

	stream := routing.Route{Kind: routing.Stream, Resumable: true, Attempts: 1}
	timedOut := os.NewSyscallError("read", syscall.ETIMEDOUT)
	got = serve(t, stream, Call{}, nil, streams(timedOut, event(1)), streams(nil, event(2)))
	is.Equal(got.body, event(1)+event(2))
	is.Equal(countDistinct(got.targets), 1)
	got = serve(t, stream, Call{}, nil, streams(timedOut, event(1)))
	is.Equal(got.result.Outcome, Truncated)
	is.Equal(countDistinct(got.targets), 1)
}

// Guards against a caller that waits for a connection across a network partition: if the replica's
// data centre is silent as well as the connection, the replica must not be retried.
func TestReplicaInSilentDataCentreIsNotRetried(t *testing.T) {
	is := is.New(t)
	settings := Settings{SilentFor: func(string) time.Duration { return maxContactAge }}
	route := routing.Route{Kind: routing.Idempotent, Attempts: 1}
	got := serveWith(t, nil, settings, route, Call{}, nil, failsWith(httpconn.ErrUnresponsive), succeedsWith("again"))
	is.Equal(got.result.Outcome, Unknown)
	is.Equal(len(got.targets), 1)
}

// Guards against calls that run at more replicas than their route allows, or are reported as not
// run: a replica's first response is lost and it refuses the second attempt, which must not hide
// that the first may have run.
func TestRefusedRetryDoesNotHideThatTheFirstAttemptMayHaveRun(t *testing.T) {
	is := is.New(t)
	stream := routing.Route{Kind: routing.Stream, Resumable: true, Attempts: 1}
	idempotent := routing.Route{Kind: routing.Idempotent, Attempts: 1}
	for _, retry := range []script{refuses, failsWith(httpconn.ErrNotSent), failsWith(httpconn.ErrConnectionLimit)} {
		got := serve(t, stream, Call{}, nil, streams(io.ErrUnexpectedEOF, event(1)), retry, streams(nil, event(2)))
		is.Equal(countDistinct(got.targets), 1)
		is.Equal(got.result.Outcome, Truncated)
		got = serve(t, stream, Call{}, nil, failsWith(httpconn.ErrResponseLost), retry)
		is.Equal(countDistinct(got.targets), 1)
		is.Equal(got.result.Outcome, Unknown)
		got = serve(t, idempotent, Call{}, nil, failsWith(httpconn.ErrResponseLost), retry, succeedsWith("second"))
		is.Equal(countDistinct(got.targets), 1)
		is.Equal(got.result.Outcome, Unknown)
	}
}

// Guards against streams that break off without a log line, from which operators could not see why
// an attempt ended and whether its replica counts against the route's attempts.
func TestFailedAttemptIsLogged(t *testing.T) {
	is := is.New(t)
	route := routing.Route{Kind: routing.Stream, Resumable: true, Attempts: 2}
	got := serveWithSilence(t, fallsSilentAfter(300*time.Millisecond), route, Call{ID: "r"}, nil, streamsSlowly(time.Second, event(1), event(2)), streams(nil, event(2)))
	is.Equal(got.result.Outcome, Completed)
	line := got.logFields("attempt failed")
	is.Equal(line["request"], "r")
	is.Equal(line["replica"], got.targets[0])
	is.Equal(line["verdict"], "cut-off")
	is.Equal(line["cause"], errDataCentreSilent.Error())
	is.Equal(line["ms"], int64(300))
	is.Equal(line["events"], 1)
	is.Equal(line["ran_at"], 1)
	is.Equal(line["attempts"], 2)
	is.True(serve(t, route, Call{}, nil, streams(nil, event(1))).logFields("attempt failed") == nil)
}

// Guards against a replica that goes on getting calls although its responses exceed a bound on memory.
// It must count as failing, and operators must see why.
func TestOversizedResponseCountsAgainstItsReplica(t *testing.T) {
	is := is.New(t)
	route := routing.Route{Kind: routing.Idempotent, Attempts: 2}
	got := serve(t, route, Call{ID: "r"}, nil, failsWith(httpconn.ErrHeaderTooLarge), succeedsWith("second"))
	is.Equal(got.body, "second")
	is.Equal(countDistinct(got.targets), 2)
	is.Equal(got.erring, got.targets[:1])
	is.Equal(got.logFields("attempt failed")["verdict"], "oversized")
	is.Equal(got.attemptsBy(oversizedResponse), int64(1))
}
