package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/cache"
	"foxhall/internal/httpconn"
	"foxhall/internal/limit"
	"foxhall/internal/routing"
	"foxhall/internal/scheduler"
	"foxhall/internal/upstream"
	"foxhall/internal/usage"
)

const (
	sharedSlots = 8
	// sharedPlaces is the number of calls that an engine takes: those in its slots and its queue.
	sharedPlaces = sharedSlots + 24
	sharedLimit  = 400
	entryCount   = 51
	sharedCall   = 300 * time.Millisecond
)

// sharedEngines are the engines that several entries send to.
type sharedEngines struct {
	mu      sync.Mutex
	names   []string
	running map[string]int
	// refusedWithFreePlaces counts the refused calls by whether an engine had a free place at the time.
	refusedWithFreePlaces int
	// exhausted is set once an entry had all its connections to the first engine in use.
	exhausted bool
}

func (s *sharedEngines) hasFreePlace() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range s.names {
		if s.running[name] < sharedPlaces {
			return true
		}
	}
	return false
}

// sharingEntry is an entry with connections to the shared engines. It implements Replicas.
type sharingEntry struct {
	engines  *sharedEngines
	table    *upstream.Table
	gateway  *Gateway
	registry metrics.Registry
	mu       sync.Mutex
	used     map[string]int
}

func (e *sharingEntry) Probe(context.Context, Target, int) httpconn.Liveness {
	return httpconn.Listening
}

func (e *sharingEntry) connections(name, _ string, limit int) (idle, free bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return false, e.used[name] < limit
}

// isExhausted reports whether no further connection may be opened to the attempt's target.
func (e *sharingEntry) isExhausted(a *Attempt) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.used[a.Target.ID] >= a.MaxConnections
}

func (e *sharingEntry) Send(ctx context.Context, a *Attempt) (*Response, error) {
	name := a.Target.ID
	e.mu.Lock()
	full := e.used[name] >= a.MaxConnections
	if !full {
		e.used[name]++
	}
	e.mu.Unlock()
	if full {
		return nil, httpconn.ErrConnectionLimit
	}
	s := e.engines
	s.mu.Lock()
	taken := s.running[name] < sharedPlaces
	if taken {
		s.running[name]++
	}
	s.exhausted = s.exhausted || name == s.names[0] && e.isExhausted(a)
	s.mu.Unlock()
	end := func(running int) {
		s.mu.Lock()
		s.running[name] -= running
		s.mu.Unlock()
		e.mu.Lock()
		e.used[name]--
		e.mu.Unlock()
	}
	if !taken {
		defer end(0)
		return refuses(ctx, a)
	}
	time.Sleep(sharedCall)
	defer end(1)
	return streams(nil, event(1), event(2))(ctx, a)
}

// learnLoads tells the entry what the others have under way.
func (e *sharingEntry) learnLoads() {
	for _, u := range e.table.Snapshot().All {
		e.engines.mu.Lock()
		running := e.engines.running[u.Name]
		e.engines.mu.Unlock()
		u.SetRemoteLoad(max(0, running-u.Load(time.Now().UnixNano()).Own), 0, time.Now().Add(time.Second))
	}
}

func newSharingEntry(s *sharedEngines, prompt []Part) *sharingEntry {
	e := &sharingEntry{engines: s, table: upstream.NewTable(), registry: metrics.NewRegistry(), used: map[string]int{}}
	route := routing.Route{Host: "h", Prefix: "/", Kind: routing.Stream, Resumable: true, Attempts: 2, Timeout: 5 * time.Second, Services: []routing.WeightedService{{Service: "s", Weight: 1}}}
	service := routing.Service{Name: "s", MaxConnections: sharedLimit, Engine: &routing.Engine{Slots: sharedSlots, CacheTokens: 1 << 20, TokensPerEvent: 2}}
	table := routing.NewTable(1, routing.Limits{}, nil, []routing.Route{route}, []routing.Service{service})
	var list []usage.Upstream
	for _, name := range s.names {
		list = append(list, usage.Upstream{Name: name, Address: name, Kind: usage.KindEngine, Models: []string{"s"}, Slots: sharedSlots, CacheTokens: 1 << 20})
	}
	e.table.Apply(list, time.Now())
	view := cache.New(cache.Options{MaxBlocks: 1 << 12})
	view.RecordSent(e.table.Snapshot().Upstream(s.names[0]).ID, hashBlocks("s", prompt))
	sched := scheduler.New(scheduler.Settings{Connections: e.connections}, e.table, view)
	settings := Settings{
		Table:           func() *routing.Table { return table },
		ConnectionShare: func(limit int) int { return httpconn.Share(limit, entryCount, false) },
		IsolatedFor:     func() time.Duration { return 0 },
		Quotas:          limit.NewQuotas("entry", 1, limit.Tolerance{}),
		SilentFor:       func(string) time.Duration { return 0 },
		OnSilence:       func(string, func()) func() { return func() {} },
	}
	e.gateway = New(settings, sched, e, nil, &log.Logger{Handler: discard.Default}, e.registry)
	return e
}

// Guards against calls that are refused although engines have room: many entries share one engine that
// has the calls' prompt cached, and each of them may open few connections to it. Calls beyond these wait
// for one or go to another engine; before, their attempts failed and used up the retry budget.
func TestNoCallIsRefusedWhileAnEngineHasAFreePlace(t *testing.T) {
	const (
		rounds         = 20
		burstingAtOnce = 3
		burst          = 9
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(51, 0))
		engines := &sharedEngines{names: []string{"hot", "b", "c", "d"}, running: map[string]int{}}
		prompt := []Part{{ID: 1, Tokens: 4000}, {ID: 2, Tokens: 100}}
		var entries []*sharingEntry
		for range entryCount {
			entries = append(entries, newSharingEntry(engines, prompt))
		}
		var calls sync.WaitGroup
		for round := range rounds {
			for _, i := range random.Perm(entryCount)[:burstingAtOnce] {
				e := entries[i]
				e.learnLoads()
				for n := range burst {
					calls.Go(func() {
						call := Call{ID: fmt.Sprint(round, i, n), Method: "POST", Host: "h", Path: "/x", Target: "/x", Arrived: time.Now(), Prompt: prompt, PromptTokens: 4100, MaxOutputTokens: 50}
						result := e.gateway.Serve(t.Context(), &call, &fakeCaller{})
						if result.Outcome != Completed && engines.hasFreePlace() {
							engines.mu.Lock()
							engines.refusedWithFreePlaces++
							engines.mu.Unlock()
						}
					})
				}
			}
			time.Sleep(time.Second)
		}
		calls.Wait()
		is.Equal(engines.refusedWithFreePlaces, 0)
		is.True(engines.exhausted)
		for _, e := range entries {
			is.Equal(metrics.GetOrRegisterCounter("gateway.sendings.full", e.registry).Count(), int64(0))
		}
	})
}

// Guards against a call that loses its attempts, the retry budget or a replica because all connections
// were taken between placement and sending. It is placed again at once, at the same replica if that has a
// connection then. Without bound a pool that always refuses would keep the call until its deadline.
func TestCallWithoutConnectionIsPlacedAgain(t *testing.T) {
	for _, route := range []routing.Route{{Kind: routing.AtMostOnce, Attempts: 1}, {Kind: routing.Idempotent, Attempts: 2}} {
		is := is.New(t)
		full := failsWith(httpconn.ErrConnectionLimit)
		got := serve(t, route, Call{ID: "r"}, nil, full, full, full, full, full, full, succeedsWith("ok"))
		is.Equal(got.result.Outcome, Completed)
		is.Equal(got.result.Attempts, 1)
		is.Equal(got.attemptsBy(noFreeConnection), int64(6))
		is.Equal(len(got.erring), 0)

		got = serve(t, route, Call{ID: "r"}, nil, full)
		is.Equal(got.result.Outcome, NotRun)
		is.True(len(got.targets) <= maxRepeatedPlacements+maxAttempts)
		is.Equal(got.duration, time.Duration(0))
	}
}

// Guards against a hedge that gives up, or uses up an attempt, because all connections to its replica were
// taken.
func TestHedgeWithoutConnectionIsPlacedAgain(t *testing.T) {
	settings := Settings{OnSilence: fallsSilentAfter(300 * time.Millisecond)}
	inWarmGateway(t, settings, routing.Route{Kind: routing.Idempotent, Attempts: 2}, func(w *testGateway) {
		is := is.New(t)
		full := failsWith(httpconn.ErrConnectionLimit)
		w.replicas.steps = []script{inOrder(hangs, full, full, full, full, succeedsWith("hedge"))}
		got := w.serve(&fakeCaller{}, Call{ID: "r", Body: []byte("b")})
		is.Equal(got.result.Outcome, Completed)
		is.Equal(got.body, "hedge")
		is.Equal(got.result.Attempts, 2)
	})
}

var _ Replicas = (*sharingEntry)(nil)
