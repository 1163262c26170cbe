package duty

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"foxhall/internal/cache"
	"foxhall/internal/chat"
	"foxhall/internal/engine"
	"foxhall/internal/fuzzing"
	"foxhall/internal/scheduler"
	"foxhall/internal/standin"
	"foxhall/internal/upstream"
	"foxhall/internal/usage"
)

func TestMain(m *testing.M) {
	fuzzing.Fix(20261202, 300)
	os.Exit(m.Run())
}

// fakeLease is a Lease that is valid while held is set.
type fakeLease struct {
	token uint64
	held  bool
}

func (l *fakeLease) Held(string) (uint64, func() bool, bool) {
	return l.token, func() bool { return l.held }, l.held
}

type fakePrograms map[string]bool

func (f fakePrograms) FindEnded(_ context.Context, programs []string) ([]string, error) {
	var gone []string
	for _, p := range programs {
		if !f[p] {
			gone = append(gone, p)
		}
	}
	return gone, nil
}

// testInstance is an instance, with a keeper and a scheduler, in a data centre of
// stand-in engines.
type testInstance struct {
	fleet   standin.Fleet
	table   *upstream.Table
	sched   *scheduler.Scheduler
	keeper  *Manager
	lease   *fakeLease
	weights *standin.Weights
	living  fakePrograms

	mu     sync.Mutex
	models []usage.Model
}

func newTestInstance(engines int, models ...usage.Model) *testInstance {
	s := &testInstance{fleet: standin.Fleet{}, table: upstream.NewTable(), lease: &fakeLease{token: 1, held: true}, living: fakePrograms{}, models: models}
	s.weights = standin.NewWeights(1, 4*time.Second)
	var listed []usage.Upstream
	for i := range engines {
		name := fmt.Sprint("e", i)
		s.fleet[name] = standin.NewEngine(standin.EngineConfig{Name: name, Models: []string{"idle"}, Fetch: s.weights.Fetch})
		listed = append(listed, usage.Upstream{Name: name, Address: name, Kind: usage.KindEngine, DataCentre: "a", Models: []string{"oak", "elm", "idle"}, Slots: 4})
	}
	s.table.Apply(listed, time.Now())
	s.sched = scheduler.New(scheduler.Settings{DataCentre: "a"}, s.table, cache.New(cache.DefaultOptions))
	settings := Settings{DataCentre: "a", Models: s.getModels, Demand: s.sched.Demand, Programs: s.living}
	s.keeper = New(settings, s.table, s.fleet, s.lease)
	return s
}

// addInstance returns another instance of the same data centre, without the lease.
func (s *testInstance) addInstance() *testInstance {
	other := &testInstance{fleet: s.fleet, table: upstream.NewTable()}
	var listed []usage.Upstream
	for _, u := range s.table.Snapshot().All {
		listed = append(listed, u.Upstream)
	}
	other.table.Apply(listed, time.Now())
	other.sched = scheduler.New(scheduler.Settings{DataCentre: "a"}, other.table, cache.New(cache.DefaultOptions))
	other.keeper = New(Settings{DataCentre: "a", Models: s.getModels, Demand: other.sched.Demand}, other.table, s.fleet, &fakeLease{})
	return other
}

func (s *testInstance) getModels() []usage.Model {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]usage.Model(nil), s.models...)
}

func (s *testInstance) setModels(models ...usage.Model) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.models = models
}

// call performs one step and returns the served name that it ran on.
func (s *testInstance) call(ctx context.Context, is *is.I) (string, *scheduler.Refusal) {
	messages := []chat.Message{{Role: "user", Raw: json.RawMessage(`{"role":"user","content":"hello"}`)}}
	g, refusal := s.sched.Acquire(ctx, scheduler.Request{Plan: "p", Model: "oak", Program: "p1", Root: "p1", Messages: messages})
	if refusal != nil {
		return "", refusal
	}
	r := &engine.Request{Chat: &chat.Request{Model: "oak", Messages: messages, MaxTokens: 10}, Model: g.Model, Program: "p1"}
	response, err := s.fleet.Complete(ctx, g.Address, r, nil)
	g.Done(scheduler.FeedbackOf(response, err))
	is.NoErr(err)
	var got struct{ Content string }
	is.NoErr(json.Unmarshal(response.Message.Raw, &got))
	is.True(strings.HasPrefix(got.Content, standin.GeneratedText(g.Model, messages, 1))) // one version from start to end
	return g.Model, nil
}

// A plan may use a model that no engine has loaded. The first call must be refused
// with a time after which to retry, and must not hang. Its demand makes the duty
// load the model, and the call after that time is served.
func TestModelIsLoadedOnDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		s := newTestInstance(2, usage.Model{Name: "oak", Version: "1"})
		s.lease.held = true
		go s.keeper.Run(ctx)
		time.Sleep(2 * orderTimeout)
		_, refusal := s.call(ctx, is)
		is.True(refusal != nil && refusal.RetryAfter > 0)
		time.Sleep(refusal.RetryAfter)
		served, refusal := s.call(ctx, is)
		is.True(refusal == nil)
		is.Equal(served, engine.ServedName("oak", "1", "", 1))
		cancel()
		synctest.Wait()
	})
}

// A model's version changes while calls run. The new version is loaded next to the
// old one, calls switch when it is ready, and the old one is unloaded when it is
// idle. Every call must run on one version, and none may be truncated or refused,
// including those of an instance that learns of the new version a second later.
func TestVersionChangeKeepsCallsOnOneVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		s := newTestInstance(2, usage.Model{Name: "oak", Version: "1"})
		s.keeper.settings.Demand = func() map[string]int { return map[string]int{"oak": 1} }
		other := s.addInstance()
		go s.keeper.Run(ctx)
		time.Sleep(time.Second)
		go other.keeper.Run(ctx)
		time.Sleep(20 * time.Second)
		var used []string
		for i := range 150 {
			if i == 10 {
				s.setModels(usage.Model{Name: "oak", Version: "2"})
			}
			time.Sleep(150 * time.Millisecond)
			served, refusal := other.call(ctx, is)
			is.True(refusal == nil) // no gap between the versions
			used = append(used, served)
		}
		is.Equal(used[0], engine.ServedName("oak", "1", "", 1))
		is.Equal(used[len(used)-1], engine.ServedName("oak", "2", "", 1))
		for _, e := range s.fleet {
			state, err := e.State(false)
			is.NoErr(err)
			for _, l := range state.Models {
				is.True(l.Model != "oak" || l.Version == "2")
			}
		}
		cancel()
		synctest.Wait()
	})
}

// The new version of a model is not ready on enough engines, or calls still run on
// the old one. Unloading the old version then would leave callers without the
// model or truncate their responses.
func TestOldVersionStaysWhileNeeded(t *testing.T) {
	is := is.New(t)
	oak := usage.Model{Name: "oak", Version: "2"}
	plan := func(newReady bool, running int) int {
		return len(Plan([]Engine{{Name: "e", Allowed: []string{"oak"}, Usable: true, Loaded: []engine.LoadedModel{
			{Served: "oak@1#1", Model: "oak", Version: "1", Ready: true, Running: running},
			{Served: "oak@2#1", Model: "oak", Version: "2", Ready: newReady},
		}}}, []ModelTarget{{oak, 1}}, 1, 2))
	}
	is.Equal(plan(false, 0), 0)
	is.Equal(plan(true, 1), 0)
	is.Equal(plan(true, 0), 1)
}

// The holder of the lease is paused in the middle of a round. Another instance takes
// over, has the model unloaded and loads it again. Then the first resumes and its
// outdated orders arrive. An engine must keep what the new holder loaded, whether
// it checks tokens or not.
func TestLateOrdersOfOldHolderDoNotAffectNewModels(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	oak := usage.Model{Name: "oak", Version: "1"}
	for _, fenced := range []bool{true, false} {
		e := standin.NewEngine(standin.EngineConfig{Name: "e", Models: []string{"idle"}, Fenced: fenced})
		plan := func(token uint64, engines int) []Action {
			state, err := e.State(false)
			is.NoErr(err)
			actions := Plan([]Engine{{Name: "e", Allowed: []string{"oak"}, Usable: true, Loaded: state.Models}}, []ModelTarget{{oak, engines}}, token, 2)
			for i := range actions {
				actions[i].Order.Token = token
			}
			return actions
		}
		send := func(actions []Action) {
			for _, a := range actions {
				_ = e.Order(ctx, a.Order)
			}
		}
		send(plan(1, 1))
		late := plan(1, 0) // the unload that the first holder is about to send
		is.Equal(len(late), 1)
		send(late) // the second holder orders the same unload
		send(plan(2, 1))
		send(late)
		state, err := e.State(false)
		is.NoErr(err)
		found := false
		for _, l := range state.Models {
			found = found || l.Served == engine.ServedName("oak", "1", "", 2)
		}
		is.True(found) // the late order did not unload the new holder's model
	}
}

// A holder takes over while an order of the previous one may still be in flight. It
// must wait for the longest order to end, and send no order without its lease.
func TestNewHolderWaitsForOldOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestInstance(1, usage.Model{Name: "oak", Version: "1"})
		s.keeper.settings.Demand = func() map[string]int { return map[string]int{"oak": 3} }
		loaded := func() int {
			state, err := s.fleet["e0"].State(false)
			is.NoErr(err)
			return len(state.Models) - 1
		}
		s.keeper.Round(t.Context())
		time.Sleep(orderTimeout - time.Second)
		s.keeper.Round(t.Context())
		is.Equal(loaded(), 0)
		s.lease.token = 2
		time.Sleep(2 * time.Second)
		s.keeper.Round(t.Context())
		is.Equal(loaded(), 0)
		time.Sleep(orderTimeout)
		s.lease.held = false
		s.keeper.Round(t.Context())
		is.Equal(loaded(), 0)
		s.lease.held = true
		s.keeper.Round(t.Context())
		time.Sleep(orderTimeout)
		s.keeper.Round(t.Context())
		is.Equal(loaded(), 1)
		time.Sleep(10 * time.Second)
	})
}

// Programs are lost with their owner and never ended, so that they occupy engine
// memory that running programs need. The sweep must release them, but no running
// program, even if one sweep found it gone.
func TestSweepReleasesOnlyEndedPrograms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestInstance(1)
		ctx := t.Context()
		for _, program := range []string{"lives", "dies", "unsure"} {
			text := strings.Repeat(program, 300)
			raw, _ := json.Marshal(map[string]string{"role": "user", "content": text})
			r := &engine.Request{Chat: &chat.Request{Model: "idle", Messages: []chat.Message{{Raw: raw}}, MaxTokens: 8}, Program: program}
			_, err := s.fleet.Complete(ctx, "e0", r, nil)
			is.NoErr(err)
		}
		s.living["lives"] = true
		s.keeper.Round(ctx)
		time.Sleep(orderTimeout)
		s.keeper.Round(ctx) // first sweep
		s.living["unsure"] = true
		time.Sleep(sweepInterval)
		s.keeper.Round(ctx)
		state, err := s.fleet["e0"].State(false)
		is.NoErr(err)
		is.True(state.Programs["lives"] > 0)
		is.True(state.Programs["unsure"] > 0)
		is.Equal(state.Programs["dies"], 0)
	})
}

// Six engines need the weights of two models at the same time. The weight store
// accepts one fetch per second and refuses the others. Loads of the same weights
// must be ordered together and share a fetch; those of different weights must be
// ordered at different times.
func TestWeightFetchesAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestInstance(6, usage.Model{Name: "oak", Version: "1"}, usage.Model{Name: "elm", Version: "1"})
		s.keeper.settings.MaxModels = 3
		s.keeper.settings.Demand = func() map[string]int { return map[string]int{"oak": 100, "elm": 100} }
		for range 20 {
			s.keeper.Round(t.Context())
			time.Sleep(roundInterval)
		}
		is.True(s.weights.Fetches()["oak/1"] <= 2) // one engine at the first demand, five when the model grows
		is.Equal(s.weights.Refused(), 0)
		for _, e := range s.fleet {
			state, err := e.State(false)
			is.NoErr(err)
			is.Equal(len(state.Models), 3)
		}
	})
}

// Demand varies randomly. The number of engines never falls faster than shrinkDelay
// allows, is not too small for longer than growDelay and one round, and does not
// rise without demand.
func TestSizeHasHysteresis(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Sizer
		now := time.Unix(1000, 0)
		begin := now
		maxDemand, decreases, last := 0, 0, 0
		var tooSmallSince time.Time
		for range rapid.IntRange(1, 200).Draw(t, "rounds") {
			now = now.Add(roundInterval)
			demand := rapid.IntRange(0, 60).Draw(t, "demand")
			maxDemand = max(maxDemand, demand)
			n := s.Size("m", demand, 4, 0, now)
			if n < last {
				decreases++
			}
			last = n
			if n > max(1, (maxDemand*5+15)/16) {
				t.Fatalf("%d engines for a demand of at most %d", n, maxDemand)
			}
			if float64(demand) <= growThreshold*float64(n*4) {
				tooSmallSince = time.Time{}
			} else if tooSmallSince.IsZero() {
				tooSmallSince = now
			} else if now.Sub(tooSmallSince) > growDelay+roundInterval {
				t.Fatalf("too few engines since %v", now.Sub(tooSmallSince))
			}
		}
		if decreases > int(now.Sub(begin)/shrinkDelay) {
			t.Fatalf("%d falls within %v", decreases, now.Sub(begin))
		}
	})
}
