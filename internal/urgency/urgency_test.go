package urgency

import (
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"foxhall/internal/fuzzing"
)

func TestMain(m *testing.M) {
	fuzzing.Fix(20261204, 300)
	os.Exit(m.Run())
}

// Guards against a class that is wrong at its boundaries: a program with time for exactly four calls
// is not tight, and one with time for exactly this call is not late.
func TestClassAtTheBoundaries(t *testing.T) {
	is := is.New(t)
	const call = time.Second
	class := func(left time.Duration) Class {
		return ClassOf(Call{Left: left, HasObjective: true, Expected: call})
	}
	is.Equal(class(4*call), Ordinary)
	is.Equal(class(4*call-1), Tight)
	is.Equal(class(call), Tight)
	is.Equal(class(call-1), Late)
	is.Equal(class(-time.Hour), Late)
	is.Equal(ClassOf(Call{Left: -time.Hour, Expected: call}), Ordinary)                                     // has no objective
	is.Equal(ClassOf(Call{Left: 0, HasObjective: true}), Late)                                              // of unknown duration
	is.Equal(ClassOf(Call{Left: -time.Second, HasObjective: true, Expected: call, Resent: true}), Ordinary) // was lost before
	is.Equal(ClassOf(Call{Left: 2 * call, HasObjective: true, Expected: call, Resent: true}), Tight)
}

// Guards against a class that changes at a different time than its announced one: a waiting call
// would keep its former place until something else reorders the queue.
func TestClassChangesAtTheAnnouncedTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		objective := time.Unix(1000, 0)
		expected := time.Duration(rapid.IntRange(1, 5000).Draw(t, "expected")) * time.Millisecond
		now := objective.Add(-time.Duration(rapid.IntRange(-5000, 25000).Draw(t, "left")) * time.Millisecond)
		want := Ordinary
		if now.After(TightAt(objective, expected)) {
			want = Tight
		}
		if now.After(LateAt(objective, expected)) {
			want = Late
		}
		if got := ClassOf(Call{Left: objective.Sub(now), HasObjective: true, Expected: expected}); got != want {
			t.Fatalf("class %v, want %v", got, want)
		}
	})
}

// Guards against allowances by which a less urgent call, or one of a lower rank, takes the place of a
// more urgent one, and against a class that may not use all slots of an engine.
func TestAllowancesReservePlacesForMoreUrgentCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rank := rapid.IntRange(0, 12).Draw(t, "rank")
		for i, c := range Classes {
			if i > 0 && Allowance(Classes[i-1], rank) <= Allowance(c, rank) {
				t.Fatalf("%v has no places that %v has not", Classes[i-1], c)
			}
			if Allowance(c, rank) < Allowance(c, rank+1) {
				t.Fatalf("%v: rank %d has fewer places than the next one", c, rank)
			}
			if IsFull(7, 8, Allowance(c, rank)) {
				t.Fatalf("%v of rank %d: an engine with a free slot is full", c, rank)
			}
			if Allowance(c, rank) > MaxAllowance {
				t.Fatalf("%v of rank %d: above the largest allowance", c, rank)
			}
		}
	})
}
