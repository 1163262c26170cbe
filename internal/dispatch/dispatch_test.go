package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/cache"
	"foxhall/internal/chat"
	"foxhall/internal/engine"
	_ "foxhall/internal/fuzzing" // one processor under the race detector
	"foxhall/internal/owner"
	"foxhall/internal/plan"
	"foxhall/internal/scheduler"
	"foxhall/internal/step"
	"foxhall/internal/tool"
	"foxhall/internal/upstream"
	"foxhall/internal/usage"
)

// fakes implements all dependencies of the executor but the scheduler, and counts what is acquired
// and released.
type fakes struct {
	t     *testing.T
	plans *plan.List
	uses  *usage.List

	mu       sync.Mutex
	admitted int
	reserved int
	settled  []Cost
	sent     []string
	tool     func(ctx context.Context, address string) (tool.Response, error)
	engine   func(ctx context.Context, address string, onChunk func(engine.Chunk) error) (*engine.Response, error)
	noBudget bool
}

func (f *fakes) Lists() (*plan.List, *usage.List) { return f.plans, f.uses }

func (f *fakes) Enter(context.Context, *plan.Plan, time.Time) (func(), *step.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.admitted++
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.admitted--
	}, nil
}

type fakeReservation struct{ f *fakes }

func (r fakeReservation) Settle(c Cost) {
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	r.f.reserved--
	r.f.settled = append(r.f.settled, c)
}

func (r fakeReservation) Release() {
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	r.f.reserved--
}

func (f *fakes) Reserve(context.Context, *plan.Plan, Cost) (Reservation, *step.Result) {
	if f.noBudget {
		return nil, refuse(http.StatusTooManyRequests, step.CodeBudget, "spent")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reserved++
	return fakeReservation{f}, nil
}

func (f *fakes) Call(ctx context.Context, c tool.Call) (tool.Response, error) {
	f.recordSent(c.Address)
	return f.tool(ctx, c.Address)
}

func (f *fakes) Complete(ctx context.Context, addr string, _ *engine.Request, onChunk func(engine.Chunk) error) (*engine.Response, error) {
	f.recordSent(addr)
	return f.engine(ctx, addr, onChunk)
}

func (f *fakes) recordSent(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent = append(f.sent, address)
}

// testUsage returns a usage list with two engines of one model and two replicas of one service.
func testUsage() []byte {
	text := []byte("[[model]]\nname = \"m\"\noutput_price_micros = 1000000\n[[service]]\nname = \"s\"\ncall_price_micros = 7\n")
	for n, role := range []string{"engine\"\nmodels = [\"m\"]", "engine\"\nmodels = [\"m\"]", "service\"\nservice = \"s\"", "service\"\nservice = \"s\""} {
		text = fmt.Appendf(text, "[[upstream]]\nname = \"u%d\"\naddress = \"127.0.0.1:%d\"\ndata_centre = \"dc\"\nslots = 2\nkind = \"%s\n", n, n+1, role)
	}
	return append(text, "[[grant]]\nplan = \"p\"\nmodels = [\"m\"]\nservices = [\"s\"]\ndata_centres = [\"dc\"]\nlatency_weight = 1.0\n"...)
}

func newFakes(t *testing.T) (*fakes, *Executor) {
	t.Helper()
	uses, err := usage.Parse(testUsage())
	if err != nil {
		t.Fatal(err)
	}
	f := &fakes{t: t, uses: uses}
	table := upstream.NewTable()
	table.Apply(uses.Upstreams, time.Now())
	s := scheduler.New(scheduler.Settings{DataCentre: "dc"}, table, cache.New(cache.DefaultOptions))
	return f, New(Options{Lists: f, Gate: f, Budget: f, Scheduler: s, Engines: f, Tools: f, Registry: metrics.NewRegistry()})
}

func toolWork(repeatable bool) *owner.Work {
	return &owner.Work{
		Call:    step.Call{Plan: &plan.Plan{Name: "p"}, Tool: &step.ToolRequest{Service: "s", Method: http.MethodPost, Path: "/x"}},
		Program: "dc.i.x:1", Root: "dc.i.x:1", Number: 1, Repeatable: repeatable, Deadline: time.Now().Add(time.Minute),
	}
}

func modelWork() *owner.Work {
	message := chat.Message{Role: "user", Raw: []byte(`{"role":"user","content":"x"}`)}
	return &owner.Work{
		Call:    step.Call{Plan: &plan.Plan{Name: "p"}, Model: &chat.Request{Model: "m", Messages: []chat.Message{message}, MaxTokens: 8}},
		Program: "dc.i.x:1", Root: "dc.i.x:1", Number: 1, Repeatable: true, History: []chat.Message{message},
		Deadline: time.Now().Add(time.Minute),
	}
}

func (f *fakes) run(e *Executor, w *owner.Work, sink step.Sink) step.Result {
	f.t.Helper()
	placed, refusal := e.Admit(f.t.Context(), w)
	if refusal != nil {
		return *refusal
	}
	return placed.Run(f.t.Context(), sink)
}

// An attempt fails. A call that may not be repeated is sent to another replica only if nothing of
// it was sent or the service itself refused it; if it may have run, it is never sent again and the
// outcome is unknown. In every case the gate and the reservation are released.
func TestRetryOnlyIfStepDidNotRun(t *testing.T) {
	for _, test := range []struct {
		name       string
		failure    error
		repeatable bool
		sent       int
		outcome    step.Outcome
	}{
		{"nothing sent", tool.ErrNotSent, false, 2, step.Done},
		{"refused by the service", tool.ErrRefused, false, 2, step.Done},
		{"draining", tool.ErrDraining, false, 2, step.Done},
		{"may have run", tool.ErrUnknown, false, 1, step.Unknown},
		{"may have run, repeatable", tool.ErrUnknown, true, 2, step.Done},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f, e := newFakes(t)
			failed := false
			f.tool = func(context.Context, string) (tool.Response, error) {
				if !failed {
					failed = true
					return tool.Response{}, test.failure
				}
				return tool.Response{Status: 200, Body: []byte("ok")}, nil
			}
			r := f.run(e, toolWork(test.repeatable), nil)
			is.Equal(r.Outcome, test.outcome)
			is.Equal(len(f.sent), test.sent)
			is.Equal(f.admitted, 0)
			is.Equal(f.reserved, 0)
			is.Equal(f.settled, []Cost{{Money: 7}})
		})
	}
}

// A process is paused while an attempt fails, and a successor continues the program. Guards against
// the process resuming and sending the old step to the next upstream, out of order, because the
// lease was checked only before the first attempt. MaySend must be checked before each further
// attempt; if it refuses, everything is released and the outcome "not run" stays true.
func TestNoRetryIfOwnerMayNotSend(t *testing.T) {
	for outcome, w := range map[step.Outcome]*owner.Work{step.NotRun: toolWork(false), step.Unknown: modelWork()} {
		is := is.New(t)
		f, e := newFakes(t)
		f.tool = func(context.Context, string) (tool.Response, error) { return tool.Response{}, tool.ErrNotSent }
		f.engine = func(context.Context, string, func(engine.Chunk) error) (*engine.Response, error) {
			return nil, &engine.Error{Class: engine.ErrUnknown}
		}
		w.MaySend = func() bool { return false }
		is.Equal(f.run(e, w, nil).Outcome, outcome)
		is.Equal(len(f.sent), 1)
		is.Equal(f.admitted, 0)
		is.Equal(f.reserved, 0)
	}
}

// If every replica refuses, the step was not run, costs nothing, and may be sent again.
func TestRefusedByAllReplicasIsNotRun(t *testing.T) {
	is := is.New(t)
	f, e := newFakes(t)
	f.tool = func(context.Context, string) (tool.Response, error) { return tool.Response{}, tool.ErrRefused }
	r := f.run(e, toolWork(false), nil)
	is.Equal(r.Outcome, step.NotRun)
	is.True(r.RetryAfter > 0)
	is.Equal(f.settled, []Cost{{}})
}

// A step that the budget refuses after the gate admitted it releases the gate at once.
func TestBudgetRefusalLeavesGate(t *testing.T) {
	is := is.New(t)
	f, e := newFakes(t)
	f.noBudget = true
	r := f.run(e, toolWork(false), nil)
	is.Equal(r.Code, step.CodeBudget)
	is.Equal(f.admitted, 0)
	is.Equal(len(f.sent), 0)
}

func testResponse(text string) *engine.Response {
	return &engine.Response{Message: chat.Message{Role: "assistant", Raw: []byte(text)}, FinishReason: "stop"}
}

// An engine accepts a model call and sends no token. After the progress timeout the call is
// cancelled there, which frees the slot, and another engine responds.
func TestUnresponsiveEngineFailsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, e := newFakes(t)
		hung := ""
		f.engine = func(ctx context.Context, address string, _ func(engine.Chunk) error) (*engine.Response, error) {
			if hung == "" {
				hung = address
				<-ctx.Done()
				return nil, &engine.Error{Class: engine.ErrUnknown, Cause: ctx.Err()}
			}
			return testResponse(`{"role":"assistant","content":"a"}`), nil
		}
		r := f.run(e, modelWork(), nil)
		is.Equal(r.Outcome, step.Done)
		is.Equal(len(f.sent), 2)
		is.True(f.sent[1] != hung)
	})
}

type countingSink struct{ chunks int }

func (*countingSink) Begin(step.Result) error { return nil }
func (s *countingSink) Chunk([]byte) error    { s.chunks++; return nil }

// An engine's response is truncated after a part of it was passed to the caller. Another engine's
// response could contradict that part, so there is no retry and the outcome is unknown.
func TestNoRetryAfterPartialResponse(t *testing.T) {
	is := is.New(t)
	f, e := newFakes(t)
	f.engine = func(_ context.Context, _ string, onChunk func(engine.Chunk) error) (*engine.Response, error) {
		if err := onChunk(engine.Chunk{Data: []byte("{}")}); err != nil {
			return nil, err
		}
		return nil, &engine.Error{Class: engine.ErrUnknown, Partial: true}
	}
	sink := &countingSink{}
	r := f.run(e, modelWork(), sink)
	is.Equal(r.Outcome, step.Unknown)
	is.Equal(sink.chunks, 1)
	is.Equal(len(f.sent), 1)
	is.Equal(f.admitted, 0)
}

// A repeatable call gets no response and is hedged on the other replica. The first response is
// lost, then the second replica is found unreachable. The outcome must be unknown and charged,
// since the first attempt may have run, and no replica gets the call again.
func TestLostResponseIsUnknownIfHedgeWasNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, e := newFakes(t)
		var calls atomic.Int32
		f.tool = func(context.Context, string) (tool.Response, error) {
			if calls.Add(1) == 1 {
				time.Sleep(20 * time.Second)
				return tool.Response{}, tool.ErrUnknown
			}
			time.Sleep(30 * time.Second)
			return tool.Response{}, tool.ErrNotSent
		}
		r := f.run(e, toolWork(true), nil)
		is.Equal(r.Outcome, step.Unknown)
		is.Equal(len(f.sent), 2)
		is.Equal(f.settled, []Cost{{Money: 7}})
	})
}

// For a non-streaming request one engine's response is truncated after a chunk, and the other
// engine's is truncated too or the request is rejected. Tokens may have been spent, so the step is
// settled at its worst-case cost, as for a streaming caller.
func TestTruncatedNonStreamingResponseIsCharged(t *testing.T) {
	for _, then := range []error{engine.ErrUnknown, engine.ErrRejected} {
		is := is.New(t)
		f, e := newFakes(t)
		failure := engine.ErrUnknown
		f.engine = func(_ context.Context, _ string, onChunk func(engine.Chunk) error) (*engine.Response, error) {
			err := &engine.Error{Class: failure, Partial: failure != engine.ErrRejected}
			failure = then
			if err.Partial {
				_ = onChunk(engine.Chunk{Data: []byte("{}")})
			}
			return nil, err
		}
		w := modelWork()
		r := f.run(e, w, nil)
		worstCase := price{output: 1000000}.worstCase(w)
		is.Equal(r.Outcome, step.Unknown)
		is.Equal(f.settled, []Cost{worstCase})
		is.Equal(r.Price, worstCase.Money)
	}
}
