package control

import (
	"context"
	"fmt"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"foxhall/internal/fuzzing"
)

func TestMain(m *testing.M) {
	fuzzing.Fix(7, 300)
	os.Exit(fuzzing.RunWithoutLeaks(m))
}

// testEvent is an event that appends itself to a list when applied.
type testEvent struct {
	class   Class
	key     string
	value   int
	applied *[]testEvent
}

func (e testEvent) Class() Class    { return e.class }
func (e testEvent) Key() string     { return e.key }
func (e testEvent) Apply(*Snapshot) { *e.applied = append(*e.applied, e) }

// applyAll applies all waiting events, as Run does.
func applyAll(l *Loop) {
	for batch := l.nextBatch(); len(batch) > 0; batch = l.nextBatch() {
		l.apply(batch)
	}
}

// A flood of load reports fills the queue while no event is applied. A
// configuration version that arrives then must be accepted in place of a load
// report and applied first; a further load report is shed.
func TestFloodOfLoadReportsDoesNotDelayConfiguration(t *testing.T) {
	is := is.New(t)
	var applied []testEvent
	l := NewLoop(4, metrics.NewRegistry())
	for i := range 4 {
		is.NoErr(l.Post(testEvent{Load, fmt.Sprint(i), i, &applied}))
	}
	is.True(errors.Is(l.Post(testEvent{Load, "4", 4, &applied}), ErrShed))
	is.NoErr(l.Post(testEvent{Configuration, "config", 9, &applied}))
	is.NoErr(l.Post(testEvent{Load, "3", 33, &applied})) // a newer report of a waiting key takes no capacity
	applyAll(l)
	is.Equal(len(applied), 4)
	is.Equal(applied[0].key, "config")
	is.Equal(applied[1].key, "1") // the report that waited longest was shed
	is.Equal(applied[3].value, 33)
}

// An outdated source reports an old version after a newer one. The version must
// not decrease.
func TestConfigVersionNeverGoesBack(t *testing.T) {
	is := is.New(t)
	l := NewLoop(DefaultCapacity, metrics.NewRegistry())
	is.NoErr(l.Post(ConfigChanged{Version: 7}))
	applyAll(l)
	is.NoErr(l.Post(ConfigChanged{Version: 6}))
	applyAll(l)
	is.Equal(l.Snapshot().ConfigVersion, uint64(7))
}

// A snapshot that a reader holds must not change while further loads arrive.
func TestSnapshotIsImmutable(t *testing.T) {
	is := is.New(t)
	l := NewLoop(DefaultCapacity, metrics.NewRegistry())
	is.NoErr(l.Post(LoadReported{DataCentre: "a", Value: 1}))
	applyAll(l)
	before := l.Snapshot()
	is.NoErr(l.Post(LoadReported{DataCentre: "a", Value: 2}))
	is.NoErr(l.Post(LoadReported{DataCentre: "b", Value: 3}))
	applyAll(l)
	is.Equal(len(before.Loads), 1)
	is.Equal(before.Loads["a"], 1)
	is.Equal(l.Snapshot().Loads["a"], 2)
}

// A waiting reconciler gets a change when it is published, and its wait ends with
// its context. The loop leaks no goroutine.
func TestRunPublishesAndWakesWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := NewLoop(DefaultCapacity, metrics.NewRegistry())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- l.Run(ctx) }()
		woken := make(chan *Snapshot)
		go func() {
			s, _ := l.Wait(ctx, 0)
			woken <- s
		}()
		time.Sleep(time.Second)
		is.NoErr(l.Post(StoreChanged{Healthy: true}))
		s := <-woken
		is.True(s.StoreHealthy)
		cancel()
		is.Equal(<-done, context.Canceled)
		_, err := l.Wait(ctx, s.Sequence)
		is.Equal(err, context.Canceled)
	})
}

// oracle implements the loop's documented rules on a plain list.
type oracle struct {
	capacity int
	waiting  []testEvent
}

func (o *oracle) post(e testEvent) bool {
	for i, w := range o.waiting {
		if w.class == e.class && w.key == e.key {
			o.waiting[i] = e
			return true
		}
	}
	if len(o.waiting) >= o.capacity {
		victim := -1
		for i, w := range o.waiting {
			if w.class < e.class && (victim < 0 || w.class < o.waiting[victim].class) {
				victim = i
			}
		}
		if victim < 0 {
			return false
		}
		o.waiting = slices.Delete(o.waiting, victim, victim+1)
	}
	o.waiting = append(o.waiting, e)
	return true
}

func (o *oracle) applyAll() []testEvent {
	slices.SortStableFunc(o.waiting, func(a, b testEvent) int { return int(b.class - a.class) })
	applied := o.waiting
	o.waiting = nil
	return applied
}

// Events of all classes and several keys are posted and applied in any order. The
// events that are applied, their order and the events that are shed must equal
// those of the oracle; a class is never shed for a lower one.
func TestMailboxesAgainstOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var applied []testEvent
		capacity := rapid.IntRange(2, 12).Draw(rt, "capacity")
		l := NewLoop(capacity, metrics.NewRegistry())
		o := &oracle{capacity: capacity}
		for i := range rapid.IntRange(1, 80).Draw(rt, "posts") {
			if rapid.IntRange(0, 15).Draw(rt, "drain") == 0 {
				applyAll(l)
				checkApplied(rt, &applied, o.applyAll())
			}
			e := testEvent{
				class:   Class(rapid.IntRange(0, int(classCount)-1).Draw(rt, "class")),
				key:     fmt.Sprint(rapid.IntRange(0, 8).Draw(rt, "key")),
				value:   i,
				applied: &applied,
			}
			if got, want := l.Post(e) == nil, o.post(e); got != want {
				rt.Fatalf("post %v accepted %v, want %v", e, got, want)
			}
		}
		applyAll(l)
		checkApplied(rt, &applied, o.applyAll())
	})
}

func checkApplied(rt *rapid.T, applied *[]testEvent, want []testEvent) {
	if !slices.Equal(*applied, want) {
		rt.Fatalf("applied %v, want %v", *applied, want)
	}
	*applied = nil
}
