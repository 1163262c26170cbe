package gateway

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/origin"
	"foxhall/internal/routing"
	"foxhall/internal/usage"
)

// fakeOrigins resolves every stream alike and records those that begin.
type fakeOrigins struct {
	resolution origin.Resolution
	// delay is how long the other instances take to answer.
	delay    time.Duration
	resolved []origin.Stream
	began    []origin.Stream
	versions []string
}

func (f *fakeOrigins) Resolve(ctx context.Context, s origin.Stream) origin.Resolution {
	f.resolved = append(f.resolved, s)
	sleep(ctx, f.delay)
	return f.resolution
}

func (f *fakeOrigins) Began(s origin.Stream, version string) {
	f.began, f.versions = append(f.began, s), append(f.versions, version)
}

// versionOf returns the version of a test replica: a and b run v1, c and d v2.
func versionOf(replica string) string {
	if replica == "a" || replica == "b" {
		return "v1"
	}
	return "v2"
}

// inVersionedGateway plays f with replicas of two versions and a resumable route.
func inVersionedGateway(t *testing.T, origins *fakeOrigins, attempts int, f func(w *testGateway)) {
	inVersionedGatewayAfter(t, 60, origins, attempts, f)
}

// inVersionedGatewayAfter is inVersionedGateway after a number of other calls, on which placement depends.
func inVersionedGatewayAfter(t *testing.T, calls int, origins *fakeOrigins, attempts int, f func(w *testGateway)) {
	synctest.Test(t, func(t *testing.T) {
		service := routing.Service{Name: "s", Engine: &routing.Engine{TokensPerEvent: 2}}
		w := newTestGateway(service, nil, Settings{Origins: origins}, resumableRoute(attempts), nil, streams(nil, event(1)))
		var list []usage.Upstream
		for _, name := range testReplicas {
			list = append(list, usage.Upstream{Name: name, Address: name, Kind: usage.KindEngine, Models: []string{"s"}, Slots: 4, Version: versionOf(name)})
		}
		w.upstreams.Apply(list, time.Now())
		for i := range calls {
			w.serve(&fakeCaller{}, Call{Body: []byte{byte(i)}}) // warms the budget of retries
		}
		*origins = fakeOrigins{resolution: origins.resolution}
		f(w)
	})
}

// brokenAfter is a script of a stream that breaks off after the events.
func brokenAfter(events ...string) script { return streams(io.ErrUnexpectedEOF, events...) }

// Guards against a stream of two versions in one response: its replica ends, and so does each that goes on.
func TestFurtherAttemptsOfAStreamKeepItsVersion(t *testing.T) {
	is := is.New(t)
	for i := range 20 {
		origins := &fakeOrigins{}
		inVersionedGatewayAfter(t, 60+i, origins, 4, func(w *testGateway) {
			w.replicas.steps = []script{inOrder(brokenAfter(event(1)), brokenAfter(event(2)), brokenAfter(event(3)), brokenAfter(event(4)))}
			got := w.serve(&fakeCaller{}, Call{ID: "r", Body: []byte("b")})
			is.True(len(got.targets) > 2)
			for _, target := range got.targets {
				is.Equal(versionOf(target), versionOf(got.targets[0]))
			}
			is.Equal(got.result.Outcome, Truncated)
			is.Equal(origins.versions, []string{versionOf(got.targets[0])})
			is.Equal(origins.began[0].Call, "r")
		})
	}
}

// Guards against a hedge that goes on at another version once events were forwarded, and against one that is
// held to a version before.
func TestHedgesOfAStreamKeepItsVersion(t *testing.T) {
	is := is.New(t)
	others := map[string]bool{}
	for i := range 20 {
		inVersionedGatewayAfter(t, 60+i, &fakeOrigins{}, 2, func(w *testGateway) {
			w.replicas.steps = []script{inOrder(hangsAfter(event(1)), streams(nil, event(2)))}
			got := w.serve(&fakeCaller{}, Call{ID: "r", Body: []byte("b")})
			is.Equal(got.body, event(1)+event(2))
			is.Equal(versionOf(got.targets[1]), versionOf(got.targets[0]))
		})
		origins := &fakeOrigins{}
		inVersionedGatewayAfter(t, 60+i, origins, 2, func(w *testGateway) {
			w.replicas.steps = []script{inOrder(hangs, streams(nil, event(1)))}
			got := w.serve(&fakeCaller{}, Call{ID: "r", Body: []byte("b")})
			is.Equal(got.result.Outcome, Completed)
			is.Equal(origins.versions, []string{versionOf(got.targets[1])}) // that of the events, not of the first attempt
			others[versionOf(got.targets[1])] = true
		})
	}
	is.Equal(len(others), 2)
}

// Guards against a stream that a caller takes up again and that goes on at any version.
func TestResumedStreamGoesOnAtItsVersion(t *testing.T) {
	is := is.New(t)
	for _, version := range []string{"v1", "v2"} {
		for i := range 10 {
			origins := &fakeOrigins{resolution: origin.Resolution{Source: origin.Told, Version: version, Answers: 1}}
			inVersionedGatewayAfter(t, 60+i, origins, 2, func(w *testGateway) {
				w.replicas.steps = []script{inOrder(brokenAfter(event(8)), streams(nil, event(9)))}
				got := w.serve(&fakeCaller{}, Call{ID: "second", Resumes: "first", ResumeAfter: "7", Body: []byte("b")})
				is.Equal(got.result.Outcome, Completed)
				for _, a := range got.attempts {
					is.Equal(versionOf(a.Target.ID), version)
					is.True(a.ProvesIdentity)
				}
				is.Equal(origins.resolved[0].Call, "first")
				is.Equal(origins.began[0].Call, "first") // so that it may be taken up once more
				fields := got.logFields("call")
				is.Equal(fields["began_at"], version)
				is.Equal(fields["version_found"], "told")
				is.Equal(fields["resumes"], "first")
			})
		}
	}
}

// Guards against a guess, and against callers that wait for what can't be served: a stream of unknown version,
// one whose version no replica runs, and a replica of the version that was not reached.
func TestStreamThatCannotGoOnIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		resolution origin.Resolution
		reason     Reason
		retryAfter time.Duration
	}{
		{origin.Resolution{Source: origin.Unknown}, VersionUnknown, 0},
		{origin.Resolution{Source: origin.Contradicted}, VersionUnknown, 0},
		{origin.Resolution{Source: origin.Unanswered}, VersionUnknown, unansweredRetryAfter},
		{origin.Resolution{Source: origin.Told, Version: "v3"}, VersionGone, 0},
	} {
		inVersionedGateway(t, &fakeOrigins{resolution: c.resolution}, 2, func(w *testGateway) {
			got := w.serve(&fakeCaller{}, Call{ID: "second", Resumes: "first", ResumeAfter: "7", Body: []byte("b")})
			is.Equal(got.result.Outcome, NotRun)
			is.Equal(got.result.Reason, c.reason)
			is.Equal(got.result.RetryAfter, c.retryAfter)
			is.Equal(got.duration, time.Duration(0))
			is.Equal(len(got.targets), 0)
		})
	}
}

// Guards against a stream whose version is that of the list while a later start of its replica runs another one,
// and against proofs, records and questions of calls that go on nowhere else.
func TestOnlyResumableStreamsNeedAVersion(t *testing.T) {
	is := is.New(t)
	origins := &fakeOrigins{}
	inVersionedGateway(t, origins, 2, func(w *testGateway) {
		w.replicas.steps = []script{inOrder(brokenAfter(event(1)), streams(nil, event(2)))}
		got := w.serve(&fakeCaller{}, Call{ID: "r", Body: []byte("b")})
		is.Equal(len(got.attempts), 2)
		for _, a := range got.attempts {
			is.True(a.ProvesIdentity)
		}
		is.Equal(len(origins.resolved), 0)
	})
	for _, route := range []routing.Route{{Kind: routing.Stream, Attempts: 1}, {Kind: routing.Idempotent, Attempts: 2}} {
		origins := &fakeOrigins{}
		got := serveWith(t, nil, Settings{Origins: origins}, route, Call{ID: "r", ResumeAfter: "7"}, nil, streams(nil, event(1)))
		is.Equal(got.result.Outcome, Completed)
		is.True(!got.attempts[0].ProvesIdentity)
		is.Equal(len(origins.resolved)+len(origins.began), 0)
	}
}
