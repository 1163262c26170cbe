package gateway

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/buffer"
	"foxhall/internal/httpconn"
	"foxhall/internal/quarantine"
	"foxhall/internal/routing"
)

func resumableRoute(attempts int) routing.Route {
	return routing.Route{Kind: routing.Stream, Resumable: true, Attempts: attempts, GapObjective: 300 * time.Millisecond}
}

// inOrder returns a script that plays the scripts in order; the last repeats.
func inOrder(steps ...script) script {
	var n atomic.Int32
	return func(ctx context.Context, a *Attempt) (*Response, error) {
		return steps[min(int(n.Add(1)), len(steps))-1](ctx, a)
	}
}

// inWarmGateway plays f with a gateway that has served enough calls for some retries and hedges.
func inWarmGateway(t *testing.T, settings Settings, route routing.Route, f func(w *testGateway)) {
	const calls = 60
	synctest.Test(t, func(t *testing.T) {
		service, warm := routing.Service{Name: "s"}, succeedsWith("ok")
		if route.Kind == routing.Stream {
			service.Engine, warm = &routing.Engine{TokensPerEvent: 2}, streams(nil, event(1))
		}
		w := newTestGateway(service, nil, settings, route, nil, warm)
		for i := range calls {
			w.serve(&fakeCaller{}, Call{Body: fmt.Append(nil, "warm", i)})
		}
		f(w)
	})
}

// Guards against calls that lose a sound replica, silent for a while, to a hedge that has no event to give:
// its response breaks off, hangs or is a failure.
func TestHedgeTakesOverWithAnEventOnly(t *testing.T) {
	is := is.New(t)
	events := []string{event(1), event(2), event(3)}
	failure := respondsWith(Response{Status: 500, Verified: true, Executed: true}, "broken")
	for _, attempts := range []int{1, 2} {
		for _, from := range []time.Duration{0, 120 * time.Millisecond, 180 * time.Millisecond} {
			for _, hedge := range []script{streams(io.ErrUnexpectedEOF), hangsAfter(), hangsAfter("id: 9\ndata"), failure} {
				s := &silence{from: from, length: 1500 * time.Millisecond}
				got := serve(t, resumableRoute(attempts), Call{ID: "r"}, nil, s.sends(50*time.Millisecond, 100*time.Millisecond, false, events...), hedge)
				is.Equal(got.result.Outcome, Completed)
				is.Equal(got.body, strings.Join(events, ""))
			}
		}
	}
}

// Guards against calls that wait until their deadline because their hedge is silent too.
func TestSilentHedgeIsHedged(t *testing.T) {
	is := is.New(t)
	events := []string{event(1), event(2), event(3)}
	for _, attempts := range []int{2, 3} {
		got := serve(t, resumableRoute(attempts), Call{ID: "r"}, nil, hangs, hangs, streams(nil, events...))
		is.Equal(got.result.Outcome, Completed)
		is.Equal(got.body, strings.Join(events, ""))
	}
}

// Guards against calls that stay at a silent data centre because the first other replica refused them.
func TestHedgeThatDidNotRunGoesOn(t *testing.T) {
	is := is.New(t)
	for _, route := range []routing.Route{{Kind: routing.Idempotent, Attempts: 2}, {Kind: routing.Idempotent, Attempts: 3}, {Kind: routing.Stream, Resumable: true, Attempts: 3}} {
		for _, other := range []script{refuses, failsWith(httpconn.ErrNotSent), failsWith(httpconn.ErrConnectionLimit)} {
			settings := Settings{OnSilence: fallsSilentAfter(300 * time.Millisecond)}
			inWarmGateway(t, settings, route, func(w *testGateway) {
				last := succeedsWith("done")
				if route.Kind == routing.Stream {
					last = streams(nil, event(1))
				}
				w.replicas.steps = []script{inOrder(hangs, other, last)}
				got := w.serve(&fakeCaller{}, Call{ID: "r", Body: []byte("b")})
				is.Equal(got.result.Outcome, Completed)
				is.Equal(got.duration, 300*time.Millisecond)
			})
		}
	}
}

// Guards against a content that is sent to one replica more than may end under it, because a hedge is
// sent while the third one still has it; and against calls that wait for a hedge which may not be sent.
func TestIsolatedCallIsNotHedged(t *testing.T) {
	is := is.New(t)
	var silenced atomic.Bool
	settings := Settings{OnSilence: func(_ string, f func()) func() {
		timer := time.AfterFunc(300*time.Millisecond, func() {
			if silenced.Load() {
				f()
			}
		})
		return func() { timer.Stop() }
	}}
	inWarmGateway(t, settings, routing.Route{Kind: routing.Idempotent, Attempts: 3}, func(w *testGateway) {
		w.replicas.steps = []script{inOrder(ends, ends, failsWith(httpconn.ErrResponseLost))}
		w.serve(&fakeCaller{}, Call{ID: "a", Body: []byte("b")})
		silenced.Store(true)
		w.replicas.steps = []script{inOrder(delayed(500*time.Millisecond, failsWith(httpconn.ErrResponseLost)), succeedsWith("done"))}
		got := w.serve(&fakeCaller{}, Call{ID: "b", Body: []byte("b")})
		is.Equal(got.result.Outcome, Completed)
		is.Equal(got.duration, 500*time.Millisecond)
	})
	inWarmGateway(t, settings, routing.Route{Kind: routing.Idempotent, Attempts: 3}, func(w *testGateway) {
		w.replicas.steps = []script{inOrder(ends, ends, failsWith(httpconn.ErrResponseLost))}
		w.serve(&fakeCaller{}, Call{ID: "a", Body: []byte("b")})
		w.replicas.steps = []script{inOrder(delayed(time.Second, ends), succeedsWith("sent on"))}
		got := w.serve(&fakeCaller{}, Call{ID: "b", Body: []byte("b")})
		is.Equal(len(got.targets), 1)
		is.Equal(got.result.Reason, Quarantined)
	})
}

// Guards against the end of a replica that stays unknown because a hedge had begun.
func TestEndOfReplicaBesideItsHedgeIsRecorded(t *testing.T) {
	is := is.New(t)
	got := serve(t, resumableRoute(2), Call{ID: "r", Body: []byte("b")}, nil, delayed(time.Second, ends), delayed(400*time.Millisecond, streams(nil, event(1))))
	is.Equal(got.result.Outcome, Completed)
	is.True(got.logFields("replica ended under a call") != nil)
}

// Guards against calls that fail although another replica is free, because hedges of silent calls used up
// the retries.
func TestHedgesLeaveRetriesForBrokenAttempts(t *testing.T) {
	is := is.New(t)
	inWarmGateway(t, Settings{}, resumableRoute(2), func(w *testGateway) {
		s := &silence{length: 1300 * time.Millisecond}
		w.replicas.steps = []script{s.sends(20*time.Millisecond, 20*time.Millisecond, false, event(1), event(2))}
		var silent sync.WaitGroup
		for i := range 6 {
			silent.Go(func() {
				call := Call{ID: fmt.Sprint("s", i), Host: "h", Path: "/x", Arrived: time.Now(), Body: fmt.Append(nil, "s", i)}
				w.gateway.Serve(context.Background(), &call, &fakeCaller{})
			})
		}
		time.Sleep(900 * time.Millisecond)
		w.replicas.mu.Lock()
		w.replicas.steps = []script{inOrder(ends, streams(nil, event(1), event(2)))}
		w.replicas.mu.Unlock()
		call, caller := Call{ID: "x", Host: "h", Path: "/x", Arrived: time.Now(), Body: []byte("x")}, &fakeCaller{}
		result := w.gateway.Serve(context.Background(), &call, caller)
		is.Equal(result.Outcome, Completed)
		is.Equal(caller.body.String(), event(1)+event(2))
		silent.Wait()
	})
}

// pauseReader reads nothing, after a pause.
type pauseReader struct {
	ctx   context.Context
	pause time.Duration
}

func (r *pauseReader) Read([]byte) (int, error) {
	if !sleep(r.ctx, r.pause) {
		return 0, r.ctx.Err()
	}
	return 0, io.EOF
}

// Guards against a silent attempt that fails on the memory budget because its hedge takes the call's room,
// and against memory that hedges keep.
func TestHedgeTakesNoRoomOfItsCall(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("x", 12<<20)
	budget := buffer.NewBudget(48<<20, metrics.NewRegistry())
	sendsInHalves := func(pause time.Duration) script {
		return func(ctx context.Context, _ *Attempt) (*Response, error) {
			parts := io.MultiReader(strings.NewReader(body[:len(body)/2]), &pauseReader{ctx, pause}, strings.NewReader(body[len(body)/2:]))
			return NewResponse(Response{Status: 200, Verified: true, Executed: true, Length: int64(len(body)), Body: parts}, func() {}), nil
		}
	}
	settings := Settings{Buffers: budget, OnSilence: fallsSilentAfter(300 * time.Millisecond)}
	got := serveWith(t, nil, settings, routing.Route{Kind: routing.Idempotent, Attempts: 2}, Call{ID: "r"}, nil, sendsInHalves(time.Second), sendsInHalves(2*time.Second))
	is.Equal(got.result.Outcome, Completed)
	is.Equal(got.duration, time.Second)
	is.Equal(len(got.targets), 2)
	is.Equal(budget.Used(), int64(0))
}

// Guards against places, slots and connections that hedges keep after their call, and hedges that are told
// as failed attempts although they were only abandoned.
func TestHedgesLeaveNothingBehind(t *testing.T) {
	is := is.New(t)
	var open atomic.Int32
	counted := func(s script) script {
		return func(ctx context.Context, a *Attempt) (*Response, error) {
			response, err := s(ctx, a)
			if err != nil {
				return nil, err
			}
			open.Add(1)
			return NewResponse(*response, func() { open.Add(-1) }), nil
		}
	}
	events := []string{event(1), event(2)}
	for _, hedge := range []script{hangs, hangsAfter(), refuses, streams(nil, events...), streams(io.ErrUnexpectedEOF), delayed(2*time.Second, streams(nil, events...))} {
		for _, attempts := range []int{1, 2, 3} {
			s := &silence{length: 1500 * time.Millisecond}
			synctest.Test(t, func(t *testing.T) {
				service := routing.Service{Name: "s", Engine: &routing.Engine{TokensPerEvent: 2}}
				w := newTestGateway(service, nil, Settings{}, resumableRoute(attempts), nil, counted(s.sends(0, 0, false, events...)), counted(hedge))
				got := w.serve(&fakeCaller{}, Call{ID: "r"})
				is.Equal(got.result.Outcome, Completed)
				is.Equal(got.body, strings.Join(events, ""))
				for _, u := range w.upstreams.Snapshot().All {
					is.Equal(u.Load(time.Now().UnixNano()).Own, 0)
				}
			})
			is.Equal(open.Load(), int32(0))
		}
	}
	got := serve(t, resumableRoute(2), Call{ID: "r"}, nil, (&silence{length: time.Second}).sends(0, 0, false, events...), hangs)
	is.Equal(got.result.Outcome, Completed)
	is.True(got.logFields("attempt failed") == nil)
}

// Guards against a call that ends a fourth replica by a hedge: its silent attempts ended their replicas
// one after the other, and none of the ends is recorded while the attempt's hedge is under way.
func TestEndsBesideHedgesUnderWayCount(t *testing.T) {
	is := is.New(t)
	const mean = 20 * time.Millisecond
	for _, provenLater := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := newTestGateway(routing.Service{Name: "s"}, nil, Settings{}, routing.Route{Kind: routing.Idempotent, Attempts: 3}, nil, delayed(mean, succeedsWith("ok")))
			for i := range 60 {
				w.serve(&fakeCaller{}, Call{Body: fmt.Append(nil, "warm", i)})
			}
			end := ends
			if provenLater {
				end = w.isProvenLater(proofWait / 2)
			}
			// Each replica ends shortly after the hedge of its attempt was sent.
			w.replicas.steps = []script{delayed(minAttemptTimeout+mean/2, end)}
			got := w.serve(&fakeCaller{}, Call{ID: "r", Body: []byte("b")})
			is.Equal(countDistinct(got.targets), quarantine.MaxEnds)
			is.Equal(len(got.targets), quarantine.MaxEnds)
			is.Equal(got.result.Outcome, Unknown)
		})
	}
}
