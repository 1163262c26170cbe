package history

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"foxhall/internal/history/historypb"
)

// drawTurns draws chains of turns that branch, with retentions of their own. Some turns come from an
// older version, which names no customer.
func drawTurns(t *rapid.T) []*historypb.Turn {
	var turns []*historypb.Turn
	customer := "c"
	for i := range rapid.IntRange(1, 12).Draw(t, "turns") {
		turn := &historypb.Turn{
			Id:          fmt.Sprint("t", i),
			EndedUnixMs: int64(rapid.IntRange(0, 200).Draw(t, "ended")) * 1000,
			RetentionMs: int64(rapid.IntRange(1, 120).Draw(t, "retention")) * 1000,
		}
		if i > 0 && rapid.IntRange(0, 4).Draw(t, "continues") > 0 {
			turn.Previous = turns[rapid.IntRange(0, i-1).Draw(t, "previous")].Id
		}
		if rapid.IntRange(0, 3).Draw(t, "customer") > 0 {
			turn.Customer = &customer
		}
		turns = append(turns, turn)
	}
	return turns
}

// lastNeeded returns the end of each turn's retention: its own, or that of any turn that continues it.
func lastNeeded(turns []*historypb.Turn) map[string]int64 {
	needed := map[string]int64{}
	for _, t := range slices.Backward(turns) { // a turn is drawn after the one that it continues
		own := t.EndedUnixMs + t.RetentionMs + retentionMargin.Milliseconds()
		needed[t.Id] = max(needed[t.Id], own)
		if t.Previous != "" {
			needed[t.Previous] = max(needed[t.Previous], needed[t.Id])
		}
	}
	return needed
}

// Guards against a turn that is removed while a later turn of its chain is retained, because the later
// one was read first: logs and transfers give turns in any order, and more than once.
func TestRetentionDoesNotDependOnTheOrderOfTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		turns := drawTurns(t)
		needed := lastNeeded(turns)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 0))
		s := newState()
		arriving := slices.Concat(turns, turns[:random.IntN(len(turns)+1)])
		random.Shuffle(len(arriving), func(i, j int) { arriving[i], arriving[j] = arriving[j], arriving[i] })
		for _, turn := range arriving {
			s.apply(turnRecord(0, turn))
		}
		at := int64(rapid.IntRange(0, 400).Draw(t, "at")) * 1000
		s.expire(time.UnixMilli(at))
		for _, turn := range turns {
			if retained := s.turn(turn.Customer, turn.Id) != nil; retained != (needed[turn.Id] >= at) {
				t.Fatalf("turn %s is retained: %t at %d; oracle expects its end at %d", turn.Id, retained, at, needed[turn.Id])
			}
		}
		if len(s.neededUntil) > 0 {
			t.Fatalf("ends of missing turns are left: %v", s.neededUntil)
		}
	})
}

// Guards against a chain that is lost after restarts: the first writes the log anew, in any order, and
// the second reads it.
func TestChainOutlivesRestartsOfItsKeeper(t *testing.T) {
	is := is.New(t)
	turns := map[string]*historypb.Turn{}
	for i := range 8 {
		turn := &historypb.Turn{Id: fmt.Sprint("t", i), EndedUnixMs: int64(i) * 10_000, RetentionMs: 60_000}
		if i > 0 {
			turn.Previous = fmt.Sprint("t", i-1)
		}
		turns[turn.Id] = turn
	}
	for range 100 {
		s := newState()
		for turn := range maps.Values(turns) { // in any order
			s.apply(turnRecord(0, turn))
		}
		s.expire(time.UnixMilli(70_000 + 60_000))
		_, whole := s.chain(nil, "t7")
		is.True(whole)
	}
}

// Guards against memory for turns that never come: what is known of a missing turn ends with its
// retention.
func TestNeedOfAMissingTurnExpires(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.apply(turnRecord(0, &historypb.Turn{Id: "b", Previous: "a", RetentionMs: 1000}))
	is.Equal(len(s.neededUntil), 1)
	s.expire(time.UnixMilli(0).Add(retentionMargin + time.Minute))
	is.Equal(len(s.neededUntil), 0)
}
