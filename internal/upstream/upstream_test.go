package upstream

import (
	"context"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"foxhall/internal/engine"
	"foxhall/internal/fuzzing"
	"foxhall/internal/usage"
)

func TestMain(m *testing.M) {
	fuzzing.Fix(20261202, 500)
	os.Exit(m.Run())
}

func oneEngine(now time.Time) (*Table, *Upstream) {
	t := NewTable()
	t.Apply([]usage.Upstream{{Name: "e", Address: "e", Kind: usage.KindEngine, DataCentre: "a", Models: []string{"m"}, Slots: 4}}, now)
	return t, t.Snapshot().Upstream("e")
}

// The platform's list, responses, load reports and peers contradict each other in any order. The
// oracle records all of them. It allows new work only if the list does not name the upstream as
// draining and, after a drain signal, a sign of life has come at least DrainHold later.
func TestDrainSignalsAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		table, u := oneEngine(now)
		var lastSignal, lastLife time.Time
		listDraining, wasListed := false, false
		drainSignal := func(at time.Time) {
			if at.After(lastSignal) {
				lastSignal = at
			}
		}
		signOfLife := func(at time.Time) {
			if !listDraining {
				lastLife = at
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 40000).Draw(t, "ms")) * time.Millisecond)
			},
			"drainAnswer": func(*rapid.T) {
				u.RecordFailure(now, FailureOf(&engine.Error{Class: engine.ErrNotRun, Draining: true}))
				drainSignal(now)
			},
			"peer": func(t *rapid.T) {
				age := time.Duration(rapid.IntRange(0, 60000).Draw(t, "ms")) * time.Millisecond
				table.ApplySignal(now, Signal{Upstream: "e", Address: "e", Kind: SignalDraining, Age: age})
				if age < DrainHold {
					drainSignal(now.Add(-age))
				}
			},
			"peerCannotReach":  func(*rapid.T) { table.ApplySignal(now, Signal{Upstream: "e", Address: "e", Kind: SignalUnreachable}) },
			"peerAboutAnother": func(*rapid.T) { table.ApplySignal(now, Signal{Upstream: "e", Address: "old", Kind: SignalDraining}) },
			"listLive":         func(*rapid.T) { table.ApplyList("a", []string{"e"}, nil, now); listDraining, wasListed = false, true },
			"listLeaving": func(*rapid.T) {
				table.ApplyList("a", nil, []string{"e"}, now)
				listDraining, wasListed = true, true
				drainSignal(now)
			},
			"listDrops": func(*rapid.T) {
				table.ApplyList("a", nil, nil, now)
				if wasListed {
					listDraining = true
					drainSignal(now)
				}
			},
			"report":        func(*rapid.T) { u.ApplyReport(now, engine.Load{}); signOfLife(now) },
			"reportLeaving": func(*rapid.T) { u.ApplyReport(now, engine.Load{Draining: true}); drainSignal(now) },
			"success":       func(*rapid.T) { u.RecordSuccess(now) },
			"": func(t *rapid.T) {
				mayWork := !listDraining && (lastSignal.IsZero() || lastLife.Sub(lastSignal) >= DrainHold)
				got := u.Load(now.UnixNano()).Condition != Draining
				if got != mayWork {
					t.Fatalf("upstream gets new work: got %t, oracle expects %t", got, mayWork)
				}
			},
		})
	})
}

// In a fleet of hundreds of engines, probing all of them in every round would cost each engine more
// requests than its work. An instance probes a few engines a round, those in use more often, and
// reaches all of them in time.
func TestProbesAreBoundedAndReachAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		var listed []usage.Upstream
		for i := range 100 {
			name := fmt.Sprint(i)
			listed = append(listed, usage.Upstream{Name: name, Address: name, Kind: usage.KindEngine, DataCentre: "a"})
		}
		table.Apply(listed, time.Now())
		table.Snapshot().Upstream("7").Begin(time.Now().UnixNano(), 0, time.Hour)
		counts := reporter{}
		for round := range 60 {
			table.Probe(t.Context(), "a", counts, 5)
			total := 0
			for _, n := range counts {
				total += n
			}
			is.Equal(total, 5*(round+1))
			time.Sleep(time.Second)
		}
		is.Equal(len(counts), 100)
		is.True(counts["7"] >= 2*counts["8"])
	})
}

type reporter map[string]int

var reporterLock sync.Mutex

func (r reporter) Load(_ context.Context, addr string) (engine.Load, error) {
	reporterLock.Lock()
	defer reporterLock.Unlock()
	r[addr]++
	return engine.Load{}, nil
}

// Every connection to an engine is refused. After the first refusal the engine gets no calls. When
// the breaker becomes half-open, it admits a single trial; after the trial's success the limit rises
// slowly from a part of the slots.
func TestBreakerAllowsOneTrial(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	_, u := oneEngine(now)
	u.RecordFailure(now, Failure{Kind: NotSent})
	is.Equal(u.Load(now.UnixNano()).Condition, CircuitOpen)
	now = now.Add(openMax * 2)
	is.Equal(u.Load(now.UnixNano()).Condition, Usable)
	trial, ok := u.TakeTrial()
	is.True(ok && trial != 0)
	_, ok = u.TakeTrial()
	is.True(!ok)
	is.Equal(u.Load(now.UnixNano()).Condition, CircuitOpen) // for all calls but the trial
	u.RecordSuccess(now)
	is.Equal(u.Load(now.UnixNano()).Limit, 1)
	now = now.Add(rampDuration)
	is.Equal(u.Load(now.UnixNano()).Limit, 4+overcommit)
}

// A probed engine refuses connections. No step is risked to detect its recovery: the first
// successful probe allows one trial. After lost calls a successful probe has no such effect, since a
// hanging engine responds to probes too.
func TestProbeReadmitsUnreachableEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for _, kind := range []FailureKind{NotSent, Lost} {
			table, u := oneEngine(time.Now())
			table.Probe(t.Context(), "a", reporter{}, 1)
			for range tripThreshold {
				u.RecordFailure(time.Now(), Failure{Kind: kind})
			}
			is.Equal(u.Load(time.Now().UnixNano()).Condition, CircuitOpen)
			if kind == NotSent {
				time.Sleep(2 * openMax)
				is.Equal(u.Load(time.Now().UnixNano()).Condition, CircuitOpen)
			}
			table.Probe(t.Context(), "a", reporter{}, 1)
			want := map[FailureKind]Condition{NotSent: Usable, Lost: CircuitOpen}[kind]
			is.Equal(u.Load(time.Now().UnixNano()).Condition, want)
		}
	})
}

// An engine hangs: it accepts calls and reports its load but sends no response. Callers would wait
// for ever and the engine would get further calls. Missing progress makes it stalled; any progress
// makes it usable again.
func TestHangingEngineIsStalled(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	_, u := oneEngine(now)
	u.Begin(now.UnixNano(), 100, 3*time.Second)
	now = now.Add(4 * time.Second)
	u.ApplyReport(now, engine.Load{Running: 1})
	is.Equal(u.Load(now.UnixNano()).Condition, Stalled)
	u.RecordProgress(now.UnixNano())
	is.Equal(u.Load(now.UnixNano()).Condition, Usable)
}

// A load report is one second old and counts three calls, two of them this instance's; one of the
// two has ended since. Adding the reported and the own calls would give four; the engine has two,
// one own and one of another instance. A report of zero calls does not hide the own calls.
func TestLaggingReportExcludesOwnCalls(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	_, u := oneEngine(now)
	u.Begin(now.UnixNano(), 0, time.Hour)
	u.Begin(now.UnixNano(), 0, time.Hour)
	now = now.Add(1500 * time.Millisecond)
	u.Finish(now.UnixNano())
	u.ApplyReport(now.Add(500*time.Millisecond), engine.Load{Running: 3, AgeMillis: 1000})
	l := u.Load(now.UnixNano())
	is.Equal(l.Own, 1)
	is.Equal(l.Total, 2)
	u.ApplyReport(now.Add(600*time.Millisecond), engine.Load{})
	is.Equal(u.Load(now.UnixNano()).Total, 1)
	u.ApplyReport(now.Add(600*time.Millisecond), engine.Load{Running: 9})
	now = now.Add(time.Minute)
	is.Equal(u.Load(now.UnixNano()).Total, 1) // an expired report does not count
}

// All calls fail for a minute at 100 calls a second. Retries must stay within a share of the first
// attempts; otherwise the failure turns into an overload.
func TestRetriesStayWithinShare(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := NewRetryBudget()
	retries := 0
	for range 6000 {
		now = now.Add(10 * time.Millisecond)
		b.RecordAttempt()
		for b.TryTake(now) {
			retries++
		}
	}
	is.True(retries <= 6000/10+60+maxSavedRetries+1)
	is.True(retries >= 6000/10)
}

// The usage list changes. An engine with an unchanged entry keeps its learned state, one with a new
// address starts as a new upstream, and a removed one gets no more work.
func TestApplyKeepsLearnedState(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table, u := oneEngine(now)
	table.Snapshot().Model("m")[0].Learn(Sample{Uncached: 1000, Output: 10, Batch: 1, FirstToken: time.Second, Total: 2 * time.Second})
	other := usage.Upstream{Name: "f", Address: "f", Kind: usage.KindEngine, Models: []string{"m"}}
	is.Equal(len(table.Apply([]usage.Upstream{other, u.Upstream}, now)), 0)
	is.Equal(table.Snapshot().Upstream("e"), u)
	is.Equal(u.Endpoint("m").Speed().Samples, 1) // the order of the list does not matter
	moved := u.Upstream
	moved.Address = "elsewhere"
	removed := table.Apply([]usage.Upstream{moved}, now)
	is.Equal(len(removed), 2)
	is.Equal(u.Load(now.UnixNano()).Condition, Draining)
	is.True(table.Snapshot().Upstream("e").ID != u.ID)
}

// An engine that fails all its calls at once attracts more and more of them, since it is idle. Its
// error rate must rise with the first failures, be reported to other instances, fall with successes
// and decay with time, so that the engine is tried again.
func TestErrorRateRisesFastAndDecays(t *testing.T) {
	is := is.New(t)
	u := &Upstream{}
	now := time.Now()
	share := func() float64 { return u.Load(now.UnixNano()).ErrorRate }
	is.Equal(share(), 0.0)
	u.RecordFailure(now, Failure{Kind: Errored})
	is.True(share() >= 0.2)
	is.True(!u.HasHighErrorRate(now))
	u.RecordFailure(now, Failure{Kind: Errored})
	is.True(u.HasHighErrorRate(now))
	now = now.Add(errorRateHalfLife)
	is.True(!u.HasHighErrorRate(now))
	before := share()
	u.RecordSuccess(now)
	is.True(share() < before)
	u.PeerReportedErrors(now.Add(time.Second))
	is.Equal(share(), highErrorRate)
	now = now.Add(2 * time.Second)
	is.True(share() < highErrorRate)
}

// Guards against an upstream that is known by the version that it ran before: another version under the
// same name is another start, with another state.
func TestUpstreamOfAnotherVersionIsReplaced(t *testing.T) {
	is := is.New(t)
	table, now := NewTable(), time.Unix(1000, 0)
	entry := usage.Upstream{Name: "u", Kind: usage.KindService, Service: "s", Slots: 1, Version: "v1"}
	table.Apply([]usage.Upstream{entry}, now)
	is.Equal(len(table.Apply([]usage.Upstream{entry}, now)), 0)
	entry.Version = "v2"
	is.Equal(len(table.Apply([]usage.Upstream{entry}, now)), 1)
	is.Equal(table.Snapshot().All[0].Version, "v2")
}

// Guards against trials that never grow rarer where it is not known when the failed calls were sent.
func TestFailuresOfUnknownTimeKeepTheBreakerOpen(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	_, u := oneEngine(now)
	u.RecordFailure(now, Failure{Kind: NotSent})
	now = now.Add(2 * openMax)
	is.Equal(u.Load(now.UnixNano()).Condition, Usable)
	u.RecordFailure(now, Failure{Kind: NotSent})
	is.Equal(u.Load(now.UnixNano()).Condition, CircuitOpen)
}

// Guards against calls that go on to an upstream that refuses them, as one does whose places other instances have taken,
// and against an upstream that gets none any more.
func TestUpstreamThatRefusesCallsCountsAsFull(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	_, u := oneEngine(now)
	condition := func(after time.Duration) Condition { return u.Load(now.Add(after).UnixNano()).Condition }
	u.Begin(now.UnixNano(), 0, time.Second)
	u.RecordFailure(now, Failure{Kind: Refused})
	is.Equal(condition(0), Full)
	is.Equal(condition(refusalPause), Usable) // one more is tried
	u.Begin(now.Add(refusalPause).UnixNano(), 0, time.Second)
	is.Equal(condition(refusalPause), Full)
	u.RecordAccepted(now) // the call that it had
	is.Equal(condition(refusalPause), Full)
	u.RecordAccepted(now.Add(refusalPause))
	is.Equal(condition(refusalPause), Usable)

	u.RecordFailure(now.Add(time.Second), Failure{Kind: Refused})
	is.Equal(condition(time.Second), Full)
	u.Finish(now.Add(time.Second).UnixNano())
	is.Equal(condition(time.Second), Usable) // in the place of one that has ended
}

// Guards against calls that are sent each 100 ms to an upstream that goes on to refuse them, and against several calls
// refused at one moment that count as such.
func TestPauseGrowsWithFurtherRefusals(t *testing.T) {
	is := is.New(t)
	var r refusals
	at := func(d time.Duration) int64 { return 1 + int64(d) }
	r.record(at(0), at(-1), 0)
	r.record(at(time.Millisecond), at(-1), 0) // sent before the first refusal
	is.True(!r.expected(at(time.Millisecond+refusalPause), 0))
	r.record(at(refusalPause+2*time.Millisecond), at(refusalPause+time.Millisecond), 0)
	is.True(r.expected(at(2*refusalPause), 0))
	is.True(!r.expected(at(refusalPause+2*time.Millisecond+maxRefusalPause), 0))
}

// Guards against a call that is always refused and makes an upstream count as full that accepts all others.
func TestFurtherRefusalsOfOneCallTellNothingOfTheLoad(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	_, u := oneEngine(now)
	u.RecordFailure(now, Failure{Kind: Refused, Repeated: true})
	is.Equal(u.Load(now.UnixNano()).Condition, Usable)
	u.RecordFailure(now, Failure{Kind: Refused})
	is.Equal(u.Load(now.UnixNano()).Condition, Full)
}

// Guards against an upstream that gets one call at a time for long after it has refused one.
func TestRefusalIsForgotten(t *testing.T) {
	is := is.New(t)
	var r refusals
	r.record(1, 0, 0)
	after := func(d time.Duration) int64 { return 1 + int64(d) }
	is.True(r.expected(after(0), 0))
	is.True(!r.expected(after(refusalPause), 0))
	is.True(r.expected(after(refusalPause), 1))
	is.True(!r.expected(after(5*refusalPause), 4))
	is.True(!r.expected(after(refusalMemory), 1000))
	r.record(after(0), 0, 3)
	r.accept(after(0)) // sent at the moment of the refusal
	is.True(r.expected(after(0), 3))
	r.accept(after(time.Millisecond))
	is.True(!r.expected(after(0), 3))
}
