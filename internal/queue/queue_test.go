package queue

import (
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"foxhall/internal/fuzzing"
)

func TestMain(m *testing.M) {
	fuzzing.Fix(20261202, 300)
	os.Exit(m.Run())
}

// Steps are pushed, popped, removed from the middle and restored. The queue must always pop the same
// step as the oracle, a sorted list.
func TestQueueAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[int]
		var oracle []*Item[int]
		n := 0
		order := func(a, b *Item[int]) int {
			if c := a.key.Compare(b.key); c != 0 {
				return c
			}
			return int(a.sequence) - int(b.sequence)
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				n++
				key := time.Unix(int64(rapid.IntRange(0, 5).Draw(t, "key")), 0)
				oracle = append(oracle, q.Push(key, n))
				slices.SortFunc(oracle, order)
			},
			"pop": func(t *rapid.T) {
				item := q.Pop()
				if item == nil {
					return
				}
				if item != oracle[0] {
					t.Fatalf("popped %d, oracle %d", item.Value, oracle[0].Value)
				}
				if rapid.Bool().Draw(t, "restore") {
					q.Restore(item)
				} else {
					oracle = oracle[1:]
				}
			},
			"cancel": func(t *rapid.T) {
				if len(oracle) == 0 {
					return
				}
				i := rapid.IntRange(0, len(oracle)-1).Draw(t, "which")
				if !q.Remove(oracle[i]) || q.Remove(oracle[i]) {
					t.Fatal("a waiting step must be removed exactly once")
				}
				oracle = slices.Delete(oracle, i, i+1)
			},
			"": func(t *rapid.T) {
				if q.Len() != len(oracle) {
					t.Fatalf("%d steps, oracle %d", q.Len(), len(oracle))
				}
			},
		})
	})
}

// A plan of high priority starts new programs without end. A long program of the lowest priority
// must still be served: no step enqueued later than it by more than the bound goes before it.
func TestNoStepStarves(t *testing.T) {
	const bound = maxAttainedDelay + 9*priorityAdvance + criticalAdvance + deadlineLead
	draw := func(t *rapid.T, name string) Criteria {
		enqueued := time.Unix(1000, 0).Add(time.Duration(rapid.IntRange(0, 120000).Draw(t, name)) * time.Millisecond)
		return Criteria{
			Enqueued: enqueued,
			Deadline: enqueued.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "left")) * time.Second),
			Attained: time.Duration(rapid.IntRange(0, 1e6).Draw(t, "attained")) * time.Millisecond,
			Priority: rapid.IntRange(0, 9).Draw(t, "priority"),
			Critical: rapid.Bool().Draw(t, "critical"),
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		early, late := draw(t, "early"), draw(t, "late")
		if late.Enqueued.Sub(early.Enqueued) > bound && late.Key().Before(early.Key()) {
			t.Fatalf("%+v goes before %+v", late, early)
		}
		shorter := early
		shorter.Attained /= 2
		if early.Key().Before(shorter.Key()) {
			t.Fatal("a program that has had more service goes first")
		}
		nearer := early
		nearer.Deadline = early.Deadline.Add(-5 * time.Second)
		if early.Key().Before(nearer.Key()) {
			t.Fatal("a step with a later deadline goes first")
		}
	})
}

// Guards against turns of a program that has had much service which miss their deadlines behind all turns that begin
// within their time.
func TestAttainedServiceDelaysAStepByAShareOfItsTime(t *testing.T) {
	is := is.New(t)
	began := time.Unix(1000, 0)
	long := Criteria{Enqueued: began, Attained: time.Minute, Deadline: began.Add(4 * time.Second), Priority: 9}
	first := func(after time.Duration) *Criteria {
		return &Criteria{Enqueued: began.Add(after), Deadline: began.Add(after + 4*time.Second), Priority: 9}
	}
	is.True(first(900 * time.Millisecond).Key().Before(long.Key()))
	is.True(long.Key().Before(first(1100 * time.Millisecond).Key()))
	long.Deadline = time.Time{}
	is.True(first(maxAttainedDelay - time.Second).Key().Before(long.Key()))
}
