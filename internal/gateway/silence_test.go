package gateway

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
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
