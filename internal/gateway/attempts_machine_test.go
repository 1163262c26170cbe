package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"foxhall/internal/fuzzing"
	"foxhall/internal/httpconn"
	"foxhall/internal/routing"
)

func TestMain(m *testing.M) {
	fuzzing.Fix(32, 300)
	os.Exit(m.Run())
}

// behaviour is what a replica does with one sending.
type behaviour struct {
	name string
	// runs says that the replica works on the call.
	runs   bool
	script script
}

func behaviours(stream bool) []behaviour {
	answer, breaksOff := good("whole"), streams(io.ErrUnexpectedEOF, event(1))
	if stream {
		answer = resumed(streams(nil, event(1), event(2)), streams(nil, event(2)))
		breaksOff = resumed(breaksOff, streams(io.ErrUnexpectedEOF))
	}
	return []behaviour{
		{"loses the answer", true, fails(httpconn.ErrResponseLost)},
		{"refuses", false, refuses},
		{"breaks off", true, breaksOff},
		{"is behind a connection that went silent", true, afterPause(100*time.Millisecond, fails(httpconn.ErrUnresponsive))},
		{"answers late", true, afterPause(700*time.Millisecond, answer)},
		{"takes no connection", false, fails(httpconn.ErrNotSent)},
		{"has no connection free", false, fails(httpconn.ErrConnectionLimit)},
		{"hangs", true, hangs},
		{"sends nonsense", true, answers(Response{Status: 200, Executed: true}, "unsigned")},
		{"answers", true, answer},
	}
}

// resumed answers one way from the start, and another behind the first event.
func resumed(start, behind script) script {
	return func(ctx context.Context, s *Attempt) (*Response, error) {
		if s.ResumeAfter != "" {
			return behind(ctx, s)
		}
		return start(ctx, s)
	}
}

// afterPause runs the script after a time, unless the caller leaves.
func afterPause(pause time.Duration, then script) script {
	return func(ctx context.Context, s *Attempt) (*Response, error) {
		select {
		case <-time.After(pause):
			return then(ctx, s)
		case <-ctx.Done():
			return hangs(ctx, s)
		}
	}
}

// ran are the sendings that a replica worked on, by replica.
type ran map[string]int

// scripted makes replicas that behave as drawn, one behaviour for each sending. Those that are
// cut off run what reaches them and answer nothing.
func scripted(drawn []behaviour, cut map[string]bool, ran ran) []script {
	var steps []script
	for _, b := range drawn {
		steps = append(steps, func(ctx context.Context, s *Attempt) (*Response, error) {
			if cut[s.Target.ID] {
				ran[s.Target.ID]++
				return hangs(ctx, s)
			}
			if b.runs {
				ran[s.Target.ID]++
			}
			return b.script(ctx, s)
		})
	}
	return steps
}

// Calls run at more replicas than their route allows, more than once where they may not, or are
// told not to have run: any mix of lost answers, refusals, silent connections and data centres.
func TestAttemptsMachine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// rapid prefers small numbers, with which most calls are answered at once.
		draw := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		route := []routing.Route{
			{Kind: routing.Once}, {Kind: routing.Idempotent},
			{Kind: routing.Stream}, {Kind: routing.Stream, Resumable: true},
		}[draw.IntN(4)]
		route.Attempts = 1 + draw.IntN(3)
		route.GapObjective = 150 * time.Millisecond
		menu := behaviours(route.Kind == routing.Stream)
		var drawn []behaviour
		var names []string
		for range 8 {
			b := menu[draw.IntN(len(menu))]
			drawn, names = append(drawn, b), append(names, b.name)
		}
		cut := map[string]bool{}
		for _, name := range replicaNames {
			cut[name] = draw.IntN(4) == 0
		}
		silentAfter := time.Duration(1+draw.IntN(1500)) * time.Millisecond
		ran := ran{}
		out := serveThrough(t, silentOnce(silentAfter), route, Call{ID: "r"}, nil, scripted(drawn, cut, ran)...)

		fail := func(what string) {
			rt.Fatalf("%s: route %+v, sends %v, behaviours %v, cut %v, ran %v, result %+v", what, route, out.sends, names, cut, ran, out.result)
		}
		total := 0
		for _, n := range ran {
			total += n
		}
		if len(ran) > route.Attempts || out.exceeded > 0 {
			fail("ran at more replicas than allowed")
		}
		if !route.Repeatable() && total > 1 {
			fail("ran more than once")
		}
		if out.result.Outcome == NotRun && total > 0 {
			fail("told not to have run")
		}
		if out.result.Outcome == Answered && out.body != "whole" && out.body != event(1)+event(2) {
			fail("answered with " + out.body)
		}
	})
}
