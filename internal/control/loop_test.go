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

// note is an event that appends itself to a log when applied.
type testEvent struct {
	class   Class
	key     string
	value   int
	applied *[]testEvent
}

func (n testEvent) Class() Class    { return n.class }
func (n testEvent) Key() string     { return n.key }
func (n testEvent) Apply(*Snapshot) { *n.applied = append(*n.applied, n) }

// drain applies everything that waits, as Run does.
func applyAll(l *Loop) {
	for batch := l.nextBatch(); len(batch) > 0; batch = l.nextBatch() {
		l.apply(batch)
	}
}

// A flood of load reports fills the queue while nothing is applied. A version
// in force arriving then must get in, at the expense of a load report, and be
// applied first; a further load report is refused.
func TestFloodOfLoadReportsDoesNotDelayConfiguration(t *testing.T) {
	is := is.New(t)
	var applied []testEvent
	l := NewLoop(4, metrics.NewRegistry())
	for i := range 4 {
		is.NoErr(l.Post(testEvent{Load, fmt.Sprint(i), i, &applied}))
	}
	is.True(errors.Is(l.Post(testEvent{Load, "4", 4, &applied}), ErrShed))
	is.NoErr(l.Post(testEvent{Configuration, "config", 9, &applied}))
	is.NoErr(l.Post(testEvent{Load, "3", 33, &applied})) // a newer report of a waiting key costs no room
	applyAll(l)
	is.Equal(len(applied), 4)
	is.Equal(applied[0].key, "config")
	is.Equal(applied[1].key, "1") // the report that waited longest went
	is.Equal(applied[3].value, 33)
}

// A stale source reports an old version after a newer one: it never goes back.
func TestConfigVersionNeverGoesBack(t *testing.T) {
	is := is.New(t)
	l := NewLoop(DefaultCapacity, metrics.NewRegistry())
	is.NoErr(l.Post(ConfigChanged{Version: 7}))
	applyAll(l)
	is.NoErr(l.Post(ConfigChanged{Version: 6}))
	applyAll(l)
	is.Equal(l.Snapshot().ConfigVersion, uint64(7))
}

// A reader that holds a snapshot while loads go on arriving sees it unchanged.
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

// A reconciler that waits gets each change once it is published, and its wait
// ends with its context; the loop leaves no goroutine.
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

// oracle is a plain list with the loop's documented rules.
type oracle struct {
	capacity int
	waiting  []testEvent
}

func (o *oracle) post(n testEvent) bool {
	for i, w := range o.waiting {
		if w.class == n.class && w.key == n.key {
			o.waiting[i] = n
			return true
		}
	}
	if len(o.waiting) >= o.capacity {
		victim := -1
		for i, w := range o.waiting {
			if w.class < n.class && (victim < 0 || w.class < o.waiting[victim].class) {
				victim = i
			}
		}
		if victim < 0 {
			return false
		}
		o.waiting = slices.Delete(o.waiting, victim, victim+1)
	}
	o.waiting = append(o.waiting, n)
	return true
}

func (o *oracle) applyAll() []testEvent {
	slices.SortStableFunc(o.waiting, func(a, b testEvent) int { return int(b.class - a.class) })
	applied := o.waiting
	o.waiting = nil
	return applied
}

// Events of all classes and a few keys arrive and are applied in any pattern.
// What is applied, in what order and what is shed equals a plain list with the
// documented rules; the most important class is never shed for a lower one.
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
			n := testEvent{
				class:   Class(rapid.IntRange(0, int(classCount)-1).Draw(rt, "class")),
				key:     fmt.Sprint(rapid.IntRange(0, 8).Draw(rt, "key")),
				value:   i,
				applied: &applied,
			}
			if got, want := l.Post(n) == nil, o.post(n); got != want {
				rt.Fatalf("post %v accepted %v, want %v", n, got, want)
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
