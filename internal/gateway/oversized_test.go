package gateway

import (
	"context"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/buffer"
	"foxhall/internal/routing"
)

// repeated reads as the same bytes without end, and counts what is read.
type repeated struct {
	unit []byte
	read int
}

func (r *repeated) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		n += copy(p[n:], r.unit[(r.read+n)%len(r.unit):])
	}
	r.read += n
	return n, nil
}

// streamsFrom responds with a stream that is read from r.
func streamsFrom(r io.Reader) script {
	return func(context.Context, *Attempt) (*Response, error) {
		return NewResponse(Response{Status: 200, Verified: true, Executed: true, Length: -1, Body: r}, func() {}), nil
	}
}

// entryBudget is the memory budget of the smallest entries.
const entryBudget = 24 << 20

// Guards against a replica that sends an event without end: the instance would hold all of it and
// exceed its memory.
func TestEndlessEventIsBounded(t *testing.T) {
	is := is.New(t)
	endless := &repeated{unit: []byte("data: x")}
	budget := buffer.NewBudget(entryBudget, metrics.NewRegistry())
	got := serveWith(t, nil, Settings{Buffers: budget}, streamRoute, Call{ID: "r"}, nil, streamsFrom(endless))
	is.Equal(got.result.Outcome, Unknown)
	is.True(endless.read <= maxEventBytes+readBufferSize)
	is.Equal(got.attemptsBy(oversizedResponse), int64(1))
	is.Equal(got.erring, got.targets)
	is.Equal(budget.Used(), int64(0))
}

// Guards against a bound that cuts sound streams: an event just below it passes whole.
func TestLargeEventPasses(t *testing.T) {
	is := is.New(t)
	large := "id: 1\ndata: " + strings.Repeat("x", maxEventBytes-100) + "\n\n"
	budget := buffer.NewBudget(entryBudget, metrics.NewRegistry())
	got := serveWith(t, nil, Settings{Buffers: budget}, streamRoute, Call{ID: "r"}, nil, streams(nil, large, event(2)))
	is.Equal(got.result.Outcome, Completed)
	is.Equal(got.body, large+event(2))
}

// Guards against events of usual size that are refused while the memory for calls is exhausted.
func TestSmallEventsPassWithAnExhaustedBudget(t *testing.T) {
	is := is.New(t)
	budget := buffer.NewBudget(1, metrics.NewRegistry())
	got := serveWith(t, nil, Settings{Buffers: budget}, streamRoute, Call{ID: "r"}, nil, streams(nil, testEvents(100)...))
	is.Equal(got.result.Outcome, Completed)
}

// Guards against a replica that goes on sending events of a turn: the instance would hold its output
// without bound. A turn whose output can't be retained must not look complete.
func TestEndlessOutputOfATurnIsBounded(t *testing.T) {
	is := is.New(t)
	endless := &repeated{unit: []byte("data: " + strings.Repeat("x", 100) + "\n\n")}
	budget := buffer.NewBudget(entryBudget, metrics.NewRegistry())
	route := streamRoute
	route.RetainsTurns = true
	turns := &fakeTurns{}
	got := serveWith(t, nil, Settings{Buffers: budget}, route, Call{ID: "r"}, turns, streamsFrom(io.LimitReader(endless, 2*entryBudget)))
	is.Equal(got.result.Outcome, Truncated)
	is.True(endless.read <= entryBudget/2)
	is.Equal(got.attemptsBy(oversizedResponse), int64(1))
	is.Equal(len(turns.settlements), 1)
	is.True(turns.settlements[0].RetainedTurn == nil)
	is.Equal(budget.Used(), int64(0))
}

// Guards against an event of which parts are lost or joined as it arrives in pieces of any size.
func TestSplitterForwardsAllBytes(t *testing.T) {
	is := is.New(t)
	stream := []byte(strings.Join(testEvents(50), "") + "data: " + strings.Repeat("y", 3*maxUncountedEvent) + "\n\n")
	budget := buffer.NewBudget(entryBudget, metrics.NewRegistry())
	for _, size := range []int{1, 7, 100, readBufferSize} {
		s := eventSplitter{hold: budget.NewHold()}
		var forwarded []byte
		for rest := stream; len(rest) > 0; rest = rest[min(size, len(rest)):] {
			events, err := s.add(rest[:min(size, len(rest))])
			is.NoErr(err)
			for _, e := range events {
				forwarded = append(forwarded, e.Raw...)
			}
		}
		is.Equal(forwarded, stream)
		s.release()
	}
	is.Equal(budget.Used(), int64(0))
}

// Guards against a response of unknown length that is cut at the bound of a body and forwarded as if
// it were complete. It must be held whole or not at all.
func TestResponseBeyondTheBoundIsNotCompleted(t *testing.T) {
	for name, body := range map[string]struct{ size, budget int }{
		"larger than the bound":           {maxResponseBytes + 1, 8 * maxResponseBytes},
		"larger than one call may hold":   {entryBudget, entryBudget},
		"without end, and no budget":      {2 * maxResponseBytes, 0},
		"without end, and a small budget": {2 * maxResponseBytes, 1 << 20},
	} {
		for _, status := range []int{200, 500} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				budget := buffer.NewBudget(int64(body.budget), metrics.NewRegistry())
				route := routing.Route{Kind: routing.AtMostOnce, Attempts: 1}
				if status == 500 {
					route.Kind = routing.Stream
				}
				response := respondsWith(Response{Status: status, Verified: true, Executed: true, Length: -1}, strings.Repeat("x", body.size))
				got := serveWith(t, nil, Settings{Buffers: budget}, route, Call{ID: "r"}, nil, response)
				is.Equal(got.result.Outcome, Unknown)
				is.Equal(got.status, 0)
				is.Equal(got.attemptsBy(oversizedResponse), int64(1))
				is.Equal(got.erring, got.targets)
				is.Equal(budget.Used(), int64(0))
			})
		}
	}
}

// Guards against a replica that is blamed for what other calls hold: its response is of usual size.
func TestResponseThatFindsNoRoomIsNoFaultOfTheReplica(t *testing.T) {
	is := is.New(t)
	budget := buffer.NewBudget(entryBudget, metrics.NewRegistry())
	for h := budget.NewHold(); budget.Used() < entryBudget*7/8; h = budget.NewHold() {
		is.NoErr(h.Grow(buffer.Request, entryBudget/64))
	}
	got := serveWith(t, nil, Settings{Buffers: budget}, routing.Route{Kind: routing.AtMostOnce, Attempts: 1}, Call{ID: "r"}, nil, succeedsWith(strings.Repeat("x", 1<<20)))
	is.Equal(got.result.Outcome, Unknown)
	is.Equal(len(got.erring), 0)
}

// Guards against a call that has no memory left for the response of the next replica, because what
// came of the first one's still counts.
func TestFailedResponseGivesItsMemoryBack(t *testing.T) {
	is := is.New(t)
	budget := buffer.NewBudget(1<<20, metrics.NewRegistry())
	route := routing.Route{Kind: routing.Idempotent, Attempts: 2}
	oversized := respondsWith(Response{Status: 200, Verified: true, Executed: true, Length: -1}, strings.Repeat("x", 1<<20))
	got := serveWith(t, nil, Settings{Buffers: budget}, route, Call{ID: "r"}, nil, oversized, succeedsWith(strings.Repeat("y", 200<<10)))
	is.Equal(got.result.Outcome, Completed)
	is.Equal(budget.Used(), int64(0))
}
