package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/buffer"
	"foxhall/internal/output"
	"foxhall/internal/output/outputpb"
	"foxhall/internal/routing"
)

// listingTurns lists the attempts at turns, as keepers do, and records what is retained.
type listingTurns struct {
	mu       sync.Mutex
	listed   []output.Attempt
	retained map[string]*Turn
	// outdated is set while the keepers don't list all attempts.
	outdated bool
}

func (l *listingTurns) Reserve(_ context.Context, r Reservation) (Reserved, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reserved := Reserved{Attempts: append([]output.Attempt(nil), l.listed...), AttemptsComplete: !l.outdated}
	if r.Attempt != nil {
		l.listed = append(l.listed, *r.Attempt)
	}
	return reserved, nil
}

func (l *listingTurns) Settle(_ context.Context, s Settlement) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.RetainedTurn != nil {
		l.retained[s.Turn] = s.RetainedTurn
	}
	return nil
}

// leavingCaller has left once it has got so many events; 0 for one that stays. It then goes on reading nothing, or the
// instance finds out.
type leavingCaller struct {
	leavesAfter int
	silently    bool
	got         []string
}

func (c *leavingCaller) Begin(int, http.Header, int64) error { return nil }

func (c *leavingCaller) Write(part []byte) error {
	if c.leavesAfter > 0 && len(c.got) == c.leavesAfter {
		if c.silently {
			return nil
		}
		return errors.New("connection reset")
	}
	_, data, _ := strings.Cut(string(part), "data: ")
	c.got = append(c.got, strings.TrimSpace(data))
	return nil
}

// resumedSystem is a set of instances, in front of replicas whose events differ from run to run.
type resumedSystem struct {
	turns     *listingTurns
	instances map[string]*testGateway
	outputs   map[string]*output.Registry
	// lost are the instances that answer nothing.
	lost map[string]bool
	runs int
}

// Outputs implements output.Peers.
func (s *resumedSystem) Outputs(instance string) (outputpb.Outputs, bool) {
	return s.outputs[instance], !s.lost[instance]
}

const resumedTurnEvents = 6

// run streams the events after the one that the caller has. Each event tells its run.
func (s *resumedSystem) run(_ context.Context, a *Attempt) (*Response, error) {
	s.runs++
	last := 0
	_, _ = fmt.Sscanf(a.ResumeAfter, "%d", &last) // no ID is 0
	var events strings.Builder
	for i := last + 1; i <= resumedTurnEvents; i++ {
		fmt.Fprintf(&events, "id: %d\ndata: %d of run %d\n\n", i, i, s.runs)
	}
	return NewResponse(Response{Status: 200, Verified: true, Executed: true, Length: -1, Body: strings.NewReader(events.String())}, func() {}), nil
}

func newResumedSystem() *resumedSystem {
	s := &resumedSystem{
		turns: &listingTurns{retained: map[string]*Turn{}}, instances: map[string]*testGateway{}, outputs: map[string]*output.Registry{}, lost: map[string]bool{},
	}
	route := turnRoute
	route.Resumable = true
	for _, name := range []string{"a", "b", "c"} {
		logger := &log.Logger{Handler: memory.New()}
		s.outputs[name] = output.NewRegistry(name, s, buffer.NewBudget(0, metrics.NewRegistry()), logger, metrics.NewRegistry())
		service := routing.Service{Name: "s", Engine: &routing.Engine{TokensPerEvent: 2}}
		w := newTestGateway(service, nil, Settings{Outputs: s.outputs[name]}, route, nil, s.run, s.run, s.run)
		w.gateway.turns = s.turns
		s.instances[name] = w
	}
	return s
}

// send sends an attempt at a turn with the input. The caller has read what the one before has.
func (s *resumedSystem) send(instance, id, input, resumes string, had []string, caller *leavingCaller) Result {
	call := Call{
		ID: id, Host: "h", Path: "/x", Body: []byte(input), Arrived: time.Now(), MaxOutputTokens: 2 * resumedTurnEvents, Program: Program{ID: "p", Session: "l"},
		Resumes: resumes,
	}
	if len(had) > 0 {
		call.ResumeAfter = fmt.Sprint(len(had))
	}
	return s.instances[instance].gateway.Serve(context.Background(), &call, caller)
}

func (s *resumedSystem) isRetained(is *is.I, id string, parts ...[]string) {
	is.Helper()
	var expected []string
	for _, part := range parts {
		expected = append(expected, part...)
	}
	turn := s.turns.retained[id]
	is.True(turn != nil)
	var events []string
	for _, e := range turn.Events {
		events = append(events, string(e))
	}
	is.Equal(events, expected)
}

// inResumedSystem runs f in a bubble, after the caller of the attempt "first" at instance a has left with two events.
func inResumedSystem(t *testing.T, f func(is *is.I, s *resumedSystem, first *leavingCaller)) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newResumedSystem(), &leavingCaller{leavesAfter: 2}
		s.send("a", "first", "ask", "", nil, first)
		f(is.New(t), s, first)
	})
}

// Guards against a turn that is retained with a part of its events: its caller resumes it, and what is retained lacks those
// of the attempt before, or has others. The turns that continue it would run with a prompt that nobody was told.
func TestResumedTurnIsRetainedWithTheEventsOfItsCaller(t *testing.T) {
	for _, instance := range []string{"a", "b"} {
		inResumedSystem(t, func(is *is.I, s *resumedSystem, first *leavingCaller) {
			second := &leavingCaller{}
			is.Equal(s.send(instance, "second", "ask", "", first.got, second).Outcome, Completed)
			s.isRetained(is, "second", first.got, second.got)
			is.Equal(first.got, []string{"1 of run 1", "2 of run 1"})
			is.Equal(second.got[0], "3 of run 2")
		})
	}
	t.Run("twice", func(t *testing.T) {
		inResumedSystem(t, func(is *is.I, s *resumedSystem, first *leavingCaller) {
			second, third := &leavingCaller{leavesAfter: 2}, &leavingCaller{}
			s.send("b", "second", "ask", "", first.got, second)
			s.lost["a"] = true // the second one has all that the caller has
			is.Equal(s.send("c", "third", "ask", "first", append(first.got, second.got...), third).Outcome, Completed)
			s.isRetained(is, "third", first.got, second.got, third.got)
		})
	})
	t.Run("first attempt goes on and is retained", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is, s, first, second := is.New(t), newResumedSystem(), &leavingCaller{leavesAfter: 3, silently: true}, &leavingCaller{}
			is.Equal(s.send("a", "first", "ask", "", nil, first).Outcome, Completed)
			is.Equal(s.send("b", "second", "ask", "", first.got, second).Outcome, Completed)
			s.isRetained(is, "second", first.got, second.got)
		})
	})
	t.Run("only the end is missing", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is, s, first, second := is.New(t), newResumedSystem(), &leavingCaller{}, &leavingCaller{}
			s.send("a", "first", "ask", "", nil, first)
			is.Equal(len(first.got), resumedTurnEvents)
			is.Equal(s.send("b", "second", "ask", "", first.got, second).Outcome, Completed)
			s.isRetained(is, "second", first.got)
		})
	})
	t.Run("another turn has the same input", func(t *testing.T) {
		inResumedSystem(t, func(is *is.I, s *resumedSystem, first *leavingCaller) {
			s.send("b", "other", "ask", "", nil, &leavingCaller{leavesAfter: 4})
			second := &leavingCaller{}
			is.Equal(s.send("c", "second", "ask", "first", first.got, second).Outcome, Completed)
			s.isRetained(is, "second", first.got, second.got)
		})
	})
}

// Guards against a resumed turn that is retained although its caller's events are not known, and against one that runs, or
// waits, although it is refused for that.
func TestResumedTurnWithUnknownEventsIsRefusedAtOnce(t *testing.T) {
	for name, row := range map[string]struct {
		change     func(s *resumedSystem)
		input      string
		retryAfter time.Duration
	}{
		"instance lost":            {func(s *resumedSystem) { s.lost["a"] = true }, "ask", unreachableRetryAfter},
		"instance restarted":       {func(s *resumedSystem) { s.outputs["a"] = newResumedSystem().outputs["a"] }, "ask", unreachableRetryAfter},
		"keepers list no attempts": {func(s *resumedSystem) { s.turns.listed = nil }, "ask", 0},
		"keepers don't list all":   {func(s *resumedSystem) { s.turns.outdated = true }, "ask", 0},
		"another turn":             {func(*resumedSystem) {}, "another input", 0},
		"two turns with the input": {func(s *resumedSystem) { s.send("b", "other", "ask", "", nil, &leavingCaller{leavesAfter: 4}) }, "ask", 0},
	} {
		t.Run(name, func(t *testing.T) {
			inResumedSystem(t, func(is *is.I, s *resumedSystem, first *leavingCaller) {
				row.change(s)
				runs, began := s.runs, time.Now()
				result := s.send("c", "second", row.input, "", first.got, &leavingCaller{})
				is.Equal(result.Outcome, NotRun)
				is.Equal(result.Reason, OutputUnknown)
				is.Equal(result.RetryAfter, row.retryAfter)
				is.Equal(time.Since(began), time.Duration(0))
				is.Equal(s.runs, runs)
				is.Equal(s.turns.retained["second"], nil)
			})
		})
	}
}

// Guards against turns that are refused since events of others aren't known, though their callers have none: all instances
// have lost the output of the attempts before.
func TestTurnsThatAreNotResumedNeedNoOutput(t *testing.T) {
	for name, listed := range map[string]func(*listingTurns){
		"attempts of lost instances listed": func(*listingTurns) {},
		"no attempts listed":                func(l *listingTurns) { l.listed = nil },
		"not all attempts listed":           func(l *listingTurns) { l.outdated = true },
	} {
		for _, input := range []string{"ask", "another input"} {
			t.Run(name+", "+input, func(t *testing.T) {
				inResumedSystem(t, func(is *is.I, s *resumedSystem, _ *leavingCaller) {
					for instance := range s.outputs {
						s.lost[instance] = true
					}
					listed(s.turns)
					anew := &leavingCaller{}
					is.Equal(s.send("c", "anew", input, "", nil, anew).Outcome, Completed)
					s.isRetained(is, "anew", anew.got)
				})
			})
		}
	}
}
