package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"foxhall/internal/httpconn"
	"foxhall/internal/routing"
)

// replicaWorld is a set of replicas, each of one behaviour, some of which fall silent for a while.
type replicaWorld struct {
	names    []string
	scripts  []script
	silences []*silence

	mu sync.Mutex
	// sound are the replicas that respond in time once they go on: they got an attempt at least maxResponse
	// before the deadline.
	sound map[string]bool
	runs  executions
}

const (
	maxWorldSilence = 1500 * time.Millisecond
	maxWorldDelay   = 300 * time.Millisecond
	maxWorldPause   = 200 * time.Millisecond
	// maxResponse bounds the time of a response, silence included.
	maxResponse = maxWorldSilence + maxWorldDelay + 3*maxWorldPause
)

// worldFailure is the body of a failed response.
const worldFailure = "broken"

func breaksOffWithNothing(context.Context, *Attempt) (*Response, error) {
	body := errorReader{io.ErrUnexpectedEOF}
	return NewResponse(Response{Status: 200, Verified: true, Executed: true, Length: 10, Body: body}, func() {}), nil
}

var worldEvents = []string{event(1), event(2), event(3)}

// newReplicaWorld draws the replicas' behaviours. length is set if responses have a known length.
func newReplicaWorld(random *rand.Rand, length bool) *replicaWorld {
	w := &replicaWorld{sound: map[string]bool{}, runs: executions{}}
	for range testReplicas {
		s := &silence{from: time.Duration(random.IntN(500)) * time.Millisecond, length: randomUpTo(random, maxWorldSilence)}
		sound := s.sends(randomUpTo(random, maxWorldDelay), randomUpTo(random, maxWorldPause), length, worldEvents...)
		choices := []replicaBehaviour{
			{"sound", true, sound}, {"sound", true, sound}, {"hangs", true, hangs}, {"refuses", false, refuses},
			{"accepts no connection", false, failsAfter(700*time.Millisecond, httpconn.ErrNotSent)},
			{"loses the response", true, failsWith(httpconn.ErrResponseLost)},
			{"fails", true, respondsWith(Response{Status: 500, Verified: true, Executed: true}, worldFailure)},
			{"breaks off after its header", true, breaksOffWithNothing},
			{"hangs after its header", true, hangsAfter()},
		}
		b := choices[random.IntN(len(choices))]
		w.names, w.scripts, w.silences = append(w.names, b.name), append(w.scripts, w.counted(b)), append(w.silences, s)
	}
	return w
}

func randomUpTo(random *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(most)))
}

// counted returns a replica's script that records its runs.
func (w *replicaWorld) counted(b replicaBehaviour) script {
	return func(ctx context.Context, a *Attempt) (*Response, error) {
		w.mu.Lock()
		if b.executes {
			w.runs[a.Target.ID]++
		}
		if b.name == "sound" && a.Timeout > maxResponse {
			w.sound[a.Target.ID] = true
		}
		w.mu.Unlock()
		return b.script(ctx, a)
	}
}

// send behaves as the replica that it is sent to.
func (w *replicaWorld) send(ctx context.Context, a *Attempt) (*Response, error) {
	return w.scripts[slices.Index(testReplicas, a.Target.ID)](ctx, a)
}

// Guards against calls that end without the answer of a sound replica that was sent the call, fell silent
// and went on, under any mix of other replicas and silences of data centres; and against hedges that
// run calls at more replicas than their route allows, or repeat what may not be repeated.
func TestHedgeMachine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		routes := silentRoutes()
		route := routes[random.IntN(len(routes))]
		route.Attempts = 1 + random.IntN(3)
		w := newReplicaWorld(random, route.Kind != routing.Stream)
		silentAfter := time.Duration(1+random.IntN(3000)) * time.Millisecond
		got := serveWithSilence(t, fallsSilentAfter(silentAfter), route, Call{ID: "r"}, &fakeTurns{}, w.send)

		fail := func(what string) {
			rt.Fatalf("%s: route %+v, attempts at %v, replicas %v are %v, runs %v, result %+v after %v, body %q", what, route, got.targets, testReplicas, w.names, w.runs, got.result, got.duration, got.body)
		}
		total := 0
		for _, n := range w.runs {
			total += n
		}
		switch whole := got.body == strings.Join(worldEvents, ""); {
		case len(w.sound) > 0 && (got.result.Outcome != Completed || !whole):
			fail("no whole answer from a sound replica that was sent the call")
		case got.result.Outcome == Completed && !whole && got.body != worldFailure:
			fail("not the whole answer")
		case len(w.runs) > route.Attempts || got.exceeded > 0:
			fail("ran at more replicas than allowed")
		case !route.Repeatable() && total > 1:
			fail("ran more than once")
		case got.result.Outcome == NotRun && total > 0:
			fail("reported as not run, but ran")
		case got.result.Outcome == Unknown && total == 0:
			fail("reported as perhaps run, but did not run")
		}
	})
}
