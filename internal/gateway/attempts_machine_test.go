package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
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

// replicaBehaviour is what a replica does with one attempt.
type replicaBehaviour struct {
	name string
	// executes is set if the replica runs the call.
	executes bool
	script   script
}

func behaviours(stream bool) []replicaBehaviour {
	completes, breaksOff, endsLater := succeedsWith("whole"), streams(io.ErrUnexpectedEOF, event(1)), endsAfter(event(1))
	if stream {
		endsLater = dependingOnResume(endsLater, endsAfter())
		completes = dependingOnResume(streams(nil, event(1), event(2)), streams(nil, event(2)))
		breaksOff = dependingOnResume(breaksOff, streams(io.ErrUnexpectedEOF))
	}
	return []replicaBehaviour{
		{"loses the response", true, failsWith(httpconn.ErrResponseLost)},
		{"refuses", false, refuses},
		{"breaks off", true, breaksOff},
		{"has an unresponsive connection", true, delayed(100*time.Millisecond, failsWith(httpconn.ErrUnresponsive))},
		{"ends", true, ends},
		{"ends in the middle of its response", true, endsLater},
		{"responds late", true, delayed(700*time.Millisecond, completes)},
		{"accepts no connection", false, failsWith(httpconn.ErrNotSent)},
		{"has no free connection", false, failsWith(httpconn.ErrConnectionLimit)},
		{"hangs", true, hangs},
		{"sends an unsigned response", true, respondsWith(Response{Status: 200, Executed: true}, "unsigned")},
		{"responds", true, completes},
	}
}

// dependingOnResume runs start for an attempt from the start of a stream, and after for one that
// resumes it.
func dependingOnResume(start, after script) script {
	return func(ctx context.Context, s *Attempt) (*Response, error) {
		if s.ResumeAfter != "" {
			return after(ctx, s)
		}
		return start(ctx, s)
	}
}

// delayed runs the script after a pause, unless the attempt is cancelled.
func delayed(pause time.Duration, then script) script {
	return func(ctx context.Context, s *Attempt) (*Response, error) {
		select {
		case <-time.After(pause):
			return then(ctx, s)
		case <-ctx.Done():
			return hangs(ctx, s)
		}
	}
}

// executions counts the attempts that ran, by replica.
type executions map[string]int

// scriptReplicas returns scripts that behave as drawn, one behaviour for each attempt. Silent
// replicas run the calls that they receive and do not respond.
func scriptReplicas(drawn []replicaBehaviour, silent map[string]bool, counts executions) []script {
	var mu sync.Mutex // a hedge is sent while another attempt is under way
	var steps []script
	for _, b := range drawn {
		steps = append(steps, func(ctx context.Context, s *Attempt) (*Response, error) {
			if silent[s.Target.ID] || b.executes {
				mu.Lock()
				counts[s.Target.ID]++
				mu.Unlock()
			}
			if silent[s.Target.ID] {
				return hangs(ctx, s)
			}
			return b.script(ctx, s)
		})
	}
	return steps
}

// countRepeatedEnds counts the attempts at replicas that had ended under an earlier one. The attempts
// behaved as drawn, in order; silent replicas do not end.
func countRepeatedEnds(targets []string, drawn []replicaBehaviour, silent map[string]bool) int {
	ended, n := map[string]bool{}, 0
	for i, target := range targets {
		if ended[target] {
			n++
		}
		ended[target] = ended[target] || !silent[target] && strings.HasPrefix(drawn[min(i, len(drawn)-1)].name, "ends")
	}
	return n
}

// Guards against calls that run at more replicas than their route allows, run more than once
// although not repeatable, or are reported as not run although they ran, under any mix of lost
// responses, refusals, and unresponsive connections and data centres.
func TestAttemptsMachine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// Only the seed is drawn by rapid. It prefers small numbers, with which most calls would get a
		// response immediately.
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		route := []routing.Route{
			{Kind: routing.AtMostOnce}, {Kind: routing.Idempotent},
			{Kind: routing.Stream}, {Kind: routing.Stream, Resumable: true},
		}[random.IntN(4)]
		route.Attempts = 1 + random.IntN(3)
		route.GapObjective = 150 * time.Millisecond
		choices := behaviours(route.Kind == routing.Stream)
		var drawn []replicaBehaviour
		var names []string
		for range 8 {
			b := choices[random.IntN(len(choices))]
			drawn, names = append(drawn, b), append(names, b.name)
		}
		silent := map[string]bool{}
		for _, name := range testReplicas {
			silent[name] = random.IntN(4) == 0
		}
		silenceAfter := time.Duration(1+random.IntN(1500)) * time.Millisecond
		counts := executions{}
		got := serveWithSilence(t, fallsSilentAfter(silenceAfter), route, Call{ID: "r"}, nil, scriptReplicas(drawn, silent, counts)...)

		fail := func(what string) {
			rt.Fatalf("%s: route %+v, attempts at %v, behaviours %v, silent replicas %v, executions %v, result %+v", what, route, got.targets, names, silent, counts, got.result)
		}
		total := 0
		for _, n := range counts {
			total += n
		}
		if len(counts) > route.Attempts || got.exceeded > 0 {
			fail("ran at more replicas than allowed")
		}
		if !route.Repeatable() && total > 1 {
			fail("ran more than once")
		}
		if n := countRepeatedEnds(got.targets, drawn, silent); n > 0 {
			fail("sent to a replica again that had ended under it")
		}
		if got.result.Outcome == NotRun && total > 0 {
			fail("reported as not run, but ran")
		}
		if got.result.Outcome == Completed && got.body != "whole" && got.body != event(1)+event(2) {
			fail("unexpected response body " + got.body)
		}
	})
}
