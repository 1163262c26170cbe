package gateway

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/httpconn"
	"foxhall/internal/routing"
)

// silence is a time, counted from the first attempt, in which replicas send nothing although they go
// on working.
type silence struct {
	from, length time.Duration

	once  sync.Once
	began time.Time
}

// wait returns once the replicas send again. It returns false if ctx ends before.
func (s *silence) wait(ctx context.Context) bool {
	s.once.Do(func() { s.began = time.Now() })
	start := s.began.Add(s.from)
	if time.Now().Before(start) {
		return ctx.Err() == nil
	}
	return sleep(ctx, time.Until(start.Add(s.length)))
}

// sends responds with events after delay and at an interval, or with the joined events as a body of
// known length, and is held up by the silence.
func (s *silence) sends(delay, interval time.Duration, length bool, events ...string) script {
	return func(ctx context.Context, a *Attempt) (*Response, error) {
		s.wait(ctx)
		if !sleep(ctx, delay) || !s.wait(ctx) {
			return hangs(ctx, a)
		}
		parts := events
		if a.ResumeAfter != "" {
			var last int
			_, _ = fmt.Sscanf(a.ResumeAfter, "%d", &last)
			parts = events[last:]
		}
		response := Response{Status: 200, Verified: true, Executed: true, Length: -1}
		if length {
			response.Length = int64(len(strings.Join(events, "")))
		}
		response.Body = &silencedReader{ctx: ctx, silence: s, interval: interval, parts: parts}
		return NewResponse(response, func() {}), nil
	}
}

// silencedReader returns parts at an interval, held up by a silence.
type silencedReader struct {
	ctx      context.Context
	silence  *silence
	interval time.Duration
	parts    []string
}

func (r *silencedReader) Read(p []byte) (int, error) {
	if len(r.parts) == 0 {
		return 0, io.EOF
	}
	if !sleep(r.ctx, r.interval) || !r.silence.wait(r.ctx) {
		return 0, r.ctx.Err()
	}
	n := copy(p, r.parts[0])
	r.parts = r.parts[1:]
	return n, nil
}

// silentRoutes are routes of all kinds, with one attempt and with two.
func silentRoutes() []routing.Route {
	var routes []routing.Route
	for _, attempts := range []int{1, 2} {
		for _, r := range []routing.Route{
			{Kind: routing.Stream, Resumable: true},
			{Kind: routing.Stream},
			{Kind: routing.Stream, RetainsTurns: true, Retention: time.Minute},
			{Kind: routing.Idempotent},
			{Kind: routing.AtMostOnce},
		} {
			r.Attempts, r.GapObjective = attempts, 300*time.Millisecond
			routes = append(routes, r)
		}
	}
	return routes
}

// Guards against callers that get no answer, or a part of one, because all replicas are silent for a
// while and go on within the time that the call has left.
func TestSilenceOfReplicasEndsNoCall(t *testing.T) {
	events := []string{event(1), event(2), event(3), event(4), event(5)}
	for _, route := range silentRoutes() {
		for _, length := range []time.Duration{600 * time.Millisecond, time.Second, 1500 * time.Millisecond, 3 * time.Second} {
			for _, from := range []time.Duration{0, 100 * time.Millisecond, 250 * time.Millisecond, 400 * time.Millisecond} {
				s := &silence{from: from, length: length}
				replica := s.sends(50*time.Millisecond, 100*time.Millisecond, route.Kind != routing.Stream, events...)
				got := serve(t, route, Call{ID: "r"}, &fakeTurns{}, replica)
				if got.result.Outcome != Completed || got.body != strings.Join(events, "") {
					t.Errorf("route %+v, silent from %v for %v: %+v after %v, attempts at %v, body %q", route, from, length, got.result, got.duration, got.targets, got.body)
				}
				if countDistinct(got.targets) > route.Attempts || !route.Repeatable() && len(got.targets) > 1 {
					t.Errorf("route %+v, silent from %v for %v: attempts at %v", route, from, length, got.targets)
				}
			}
		}
	}
}

// Guards against callers that get no answer because their silent replica is given up before another one
// has taken the call: all others refuse it.
func TestSilentReplicaIsKeptWhileOthersRefuse(t *testing.T) {
	events := []string{event(1), event(2), event(3)}
	for _, route := range silentRoutes() {
		for _, other := range []script{refuses, failsWith(httpconn.ErrNotSent), hangs} {
			s := &silence{from: 0, length: 1500 * time.Millisecond}
			replica := s.sends(50*time.Millisecond, 100*time.Millisecond, route.Kind != routing.Stream, events...)
			var once sync.Once
			var first string
			got := serve(t, route, Call{ID: "r"}, &fakeTurns{}, func(ctx context.Context, a *Attempt) (*Response, error) {
				once.Do(func() { first = a.Target.ID })
				if a.Target.ID == first {
					return replica(ctx, a)
				}
				return other(ctx, a)
			})
			if got.result.Outcome != Completed || got.body != strings.Join(events, "") {
				t.Errorf("route %+v: %+v after %v, attempts at %v, body %q", route, got.result, got.duration, got.targets, got.body)
			}
		}
	}
}

// Guards against callers that wait until their deadline for a response that was lost, although the route
// allows another attempt or the same replica would respond to one.
func TestLostResponseIsReplacedWithinTheDeadline(t *testing.T) {
	is := is.New(t)
	events := []string{event(1), event(2), event(3)}
	for _, attempts := range []int{1, 2} {
		for _, lost := range []script{hangs, hangsAfter(event(1))} {
			route := routing.Route{Kind: routing.Stream, Resumable: true, Attempts: attempts, GapObjective: 300 * time.Millisecond}
			s := &silence{from: time.Hour}
			got := serve(t, route, Call{ID: "r"}, nil, lost, s.sends(0, 0, false, events...))
			is.Equal(got.body, strings.Join(events, ""))
			is.Equal(got.result.Outcome, Completed)
			is.True(got.duration <= time.Second)
		}
	}
}

// hangsAfter sends the events and then nothing more.
func hangsAfter(events ...string) script {
	return func(ctx context.Context, _ *Attempt) (*Response, error) {
		body := &hangingReader{ctx: ctx, start: strings.NewReader(strings.Join(events, ""))}
		return NewResponse(Response{Status: 200, Length: -1, Verified: true, Executed: true, Body: body}, func() {}), nil
	}
}

// Guards against calls that wait for a silent replica although others are free: it gets no further calls,
// without a call of its own being ended, until it goes on.
func TestSilentReplicaGetsNoFurtherCalls(t *testing.T) {
	for _, route := range silentRoutes() {
		route.Attempts = 1
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var mu sync.Mutex
			silent, quick := "", succeedsWith("body")
			if route.Kind == routing.Stream {
				quick = streams(nil, event(1))
			}
			const silenceLength = 4 * time.Second
			service := routing.Service{Name: "s"}
			if route.Kind == routing.Stream {
				service.Engine = &routing.Engine{TokensPerEvent: 2}
			}
			w := newTestGateway(service, nil, Settings{}, route, &fakeTurns{}, func(ctx context.Context, a *Attempt) (*Response, error) {
				mu.Lock()
				if silent == "" && a.Call.ID == "long" {
					silent = a.Target.ID
				}
				isSilent := silent == a.Target.ID
				mu.Unlock()
				pause := 20 * time.Millisecond
				if isSilent {
					pause = silenceLength
				}
				if !sleep(ctx, pause) {
					return hangs(ctx, a)
				}
				return quick(ctx, a)
			})
			call := func(id string) (Result, time.Duration) {
				began := time.Now()
				c := Call{ID: id, Host: "h", Path: "/x", Arrived: began}
				result := w.gateway.Serve(t.Context(), &c, &fakeCaller{})
				return result, time.Since(began)
			}
			for range 20 { // so that each replica's mean duration is known
				call("short")
			}
			done := make(chan Result, 1)
			go func() { result, _ := call("long"); done <- result }()
			time.Sleep(time.Second)
			for range 10 {
				result, took := call("short")
				is.Equal(result.Outcome, Completed)
				is.True(took < time.Second)
			}
			is.Equal((<-done).Outcome, Completed)
			is.Equal(len(erringUpstreams(w.upstreams)), 0)
			time.Sleep(settleTimeout)
		})
	}
}

// tricklingReader returns a byte at an interval until ctx ends.
type tricklingReader struct{ ctx context.Context }

func (r tricklingReader) Read(p []byte) (int, error) {
	if !sleep(r.ctx, 50*time.Millisecond) {
		return 0, r.ctx.Err()
	}
	p[0] = 'x'
	return 1, nil
}

// Guards against a replica that sends bytes without end that are no response, slowly, and gets ever more
// calls because each ends by its own deadline. Silence alone is not held against it.
func TestTricklingResponseCountsAgainstItsReplica(t *testing.T) {
	trickles := func(ctx context.Context, _ *Attempt) (*Response, error) {
		return NewResponse(Response{Status: 200, Verified: true, Executed: true, Length: -1, Body: tricklingReader{ctx}}, func() {}), nil
	}
	sendsStrayBytes := func(ctx context.Context, _ *Attempt) (*Response, error) {
		<-ctx.Done()
		return nil, httpconn.ErrStrayBytes
	}
	for _, route := range silentRoutes() {
		if route.Attempts > 1 {
			continue
		}
		for _, s := range []script{trickles, sendsStrayBytes} {
			is := is.New(t)
			got := serve(t, route, Call{ID: "r"}, &fakeTurns{}, s)
			is.True(got.result.Outcome == Unknown || got.result.Outcome == Truncated)
			is.Equal(got.result.Reason, TimedOut)
			is.Equal(got.erring, got.targets[:1])
		}
		is := is.New(t)
		is.Equal(len(serve(t, route, Call{ID: "r"}, &fakeTurns{}, hangs).erring), 0)
		is.Equal(len(serve(t, route, Call{ID: "r"}, &fakeTurns{}, hangsAfter("half")).erring), 0)
	}
}
