package gateway

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"foxhall/internal/routing"
)

// placeReserve is how long a replica may have a place before a call that waits is sent there: a pause after a refusal of
// the replica (200 ms), and a round of all four, at the longest delay after refusals of the call (200 ms each).
const placeReserve = time.Second

// span is a span of time from the start of a play.
type span struct{ from, to time.Duration }

// sharedReplica runs calls of this instance in the slots that other instances' calls leave.
type sharedReplica struct {
	slots int
	takes time.Duration
	// others are the spans in which other instances' calls take all slots.
	others []span

	mu      sync.Mutex
	running int
	// full are the spans in which this instance's calls took all slots.
	full []span
}

func (r *sharedReplica) isTaken(at time.Duration) bool {
	for _, s := range r.others {
		if at >= s.from && at < s.to {
			return true
		}
	}
	return false
}

// change counts the running calls.
func (r *sharedReplica) change(by int, at time.Duration) {
	if r.running == r.slots {
		r.full[len(r.full)-1].to = at
	}
	if r.running += by; r.running == r.slots {
		r.full = append(r.full, span{from: at, to: time.Hour})
	}
}

// servesBy reports whether the replica had a place for placeReserve, early enough for a call that arrived at a time and
// must be done at another.
func (r *sharedReplica) servesBy(arrived, deadline time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := arrived
	for moved := true; moved; {
		moved = false
		for _, s := range append(append([]span(nil), r.others...), r.full...) {
			if at+placeReserve > s.from && at < s.to {
				at, moved = s.to, true
			}
		}
	}
	return at+placeReserve+r.takes <= deadline
}

// sharedPlay is a play of calls at shared replicas.
type sharedPlay struct {
	began    time.Time
	replicas map[string]*sharedReplica
}

func (p *sharedPlay) now() time.Duration { return time.Since(p.began) }

func (p *sharedPlay) send(ctx context.Context, a *Attempt) (*Response, error) {
	time.Sleep(time.Millisecond)
	r := p.replicas[a.Target.ID]
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running >= r.slots || r.isTaken(p.now()) {
		return refuses(ctx, a)
	}
	r.change(1, p.now())
	var leave sync.Once
	end := func() {
		leave.Do(func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.change(-1, p.now())
		})
	}
	body := &endedBody{Reader: &pacedEvents{left: pacedEventCount, pause: r.takes / pacedEventCount}, end: end}
	return NewResponse(Response{Status: 200, Verified: true, Executed: true, Length: -1, Body: body}, end), nil
}

// endedBody calls end at its end.
type endedBody struct {
	io.Reader
	end func()
}

// Read implements io.Reader.
func (b *endedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		b.end()
	}
	return n, err
}

// drawnCall is a call of a play.
type drawnCall struct {
	at, left time.Duration
	previous string
}

func drawShared(t *rapid.T) (replicas map[string]*sharedReplica, calls []drawnCall) {
	millis := func(from, to int, label string) time.Duration {
		return time.Duration(rapid.IntRange(from, to).Draw(t, label)) * time.Millisecond
	}
	replicas = map[string]*sharedReplica{}
	for _, name := range testReplicas {
		r := &sharedReplica{slots: rapid.IntRange(1, 3).Draw(t, "slots"), takes: rapid.SampledFrom([]time.Duration{200, 500, 1000, 3000}).Draw(t, "takes") * time.Millisecond}
		for range rapid.IntRange(0, 4).Draw(t, "spans") {
			from := millis(0, 9000, "from")
			r.others = append(r.others, span{from, from + millis(100, 3000, "length")})
		}
		replicas[name] = r
	}
	for range rapid.IntRange(4, 24).Draw(t, "calls") {
		c := drawnCall{at: millis(0, 9000, "at"), left: millis(800, 6000, "left")}
		if rapid.Bool().Draw(t, "continues") {
			c.previous = "t1"
		}
		calls = append(calls, c)
	}
	return replicas, calls
}

// fieldsOf returns the fields that an error has for log lines.
func fieldsOf(err error) log.Fields {
	var details log.Fielder
	if errors.As(err, &details) {
		return details.Fields()
	}
	return nil
}

// Guards against calls that are refused although a replica has a place for them in time: by an oracle that knows when
// the replicas have places, no call is refused that one of them could have served.
func TestNoCallIsRefusedThatAReplicaCouldServe(t *testing.T) {
	refusals := 0
	rapid.Check(t, func(rt *rapid.T) {
		replicas, calls := drawShared(rt)
		var failures []string
		synctest.Test(t, func(t *testing.T) {
			play := &sharedPlay{began: time.Now(), replicas: replicas}
			service := routing.Service{Name: "s", Engine: &routing.Engine{TokensPerEvent: 2}}
			w := newTestGateway(service, nil, Settings{}, routing.Route{Kind: routing.Stream, Attempts: 1, RetainsTurns: true, Retention: time.Minute, Timeout: time.Minute}, &fakeTurns{lastUpstream: "a"}, play.send)
			var running sync.WaitGroup
			results := make([]Result, len(calls))
			for i, c := range calls {
				running.Go(func() {
					time.Sleep(c.at)
					call := Call{ID: fmt.Sprint("call-", i), Host: "h", Path: "/x", Arrived: time.Now(), MaxOutputTokens: 2 * pacedEventCount, Previous: c.previous, Body: []byte("new")}
					call.Deadline = call.Arrived.Add(c.left)
					call.Program.ID = call.ID
					results[i] = w.gateway.Serve(t.Context(), &call, &fakeCaller{})
				})
			}
			running.Wait()
			time.Sleep(settleTimeout)
			for i, c := range calls {
				if results[i].Outcome != NotRun {
					continue
				}
				refusals++
				for name, r := range replicas {
					if r.servesBy(c.at, c.at+c.left) {
						failures = append(failures, fmt.Sprintf("call %d at %v with %v left was refused (%s %v, %d attempts), %s takes %v",
							i, c.at, c.left, results[i].Reason, fieldsOf(results[i].Cause), results[i].Attempts, name, r.takes))
					}
				}
			}
		})
		for _, f := range failures {
			rt.Errorf("%s", f)
		}
	})
	t.Logf("%d calls were refused", refusals)
}
