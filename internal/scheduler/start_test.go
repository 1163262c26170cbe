package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/upstream"
)

// All callers of an instance that has just started are refused: it takes its
// engines for slower than they are, since none has answered yet, and their
// deadlines for lost. A guess must refuse nothing.
func TestGuessedSpeedsRefuseNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, _ := small(Settings{}, engineAt("e", "a", 4))
		r := ask("hurried")
		r.MaxTokens = 100
		r.Deadline = time.Now().Add(300 * time.Millisecond)
		_, refusal := s.Acquire(t.Context(), r)
		is.True(refusal == nil)
	})
}

// New engines stand idle while the old ones queue: they are taken to be as slow
// as the fixed guess. They must be taken to be like the others.
func TestNewEngineIsTakenToBeLikeTheOthers(t *testing.T) {
	is := is.New(t)
	s, table := small(Settings{}, engineAt("old", "a", 4), engineAt("new", "a", 4))
	cells := table.Snapshot().Model(testModel)
	for range 50 {
		cells[0].Learn(upstream.Sample{Uncached: 1000, Output: 11, Batch: 1, FirstToken: 20 * time.Millisecond, Total: 120 * time.Millisecond})
	}
	r := ask("p")
	p := s.pool(&r)
	is.Equal(p.speedOf(cells[1], cells, time.Now()), cells[0].Speed().WithoutSamples())
}

// A step is taken from a program's own engine by an instance that has not seen
// the program yet, and prefilled anew. What others know must count.
func TestHomeKnownElsewhereIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, home := range []string{"a", "b", "c"} {
			is := is.New(t)
			s, _ := small(Settings{}, engineAt("a", "a", 4), engineAt("b", "a", 4), engineAt("c", "a", 4))
			r := ask("p")
			r.Messages = nil
			for i := range uint64(100) {
				r.Blocks = append(r.Blocks, 1000+i)
			}
			r.PromptTokens, r.LastUpstream, r.LastUpstreamBlocks = 6400, home, 90
			g, refusal := s.Acquire(t.Context(), r)
			is.True(refusal == nil)
			is.Equal(g.Upstream, home)
		}
	})
}

// Each call opens a connection although others stand idle.
func TestIdleConnectionIsPreferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, idle := range []string{"a", "b"} {
			is := is.New(t)
			settings := Settings{HasIdleConnection: func(name, _ string) bool { return name == idle }, ConnectCost: 15 * time.Millisecond}
			s, _ := small(settings, engineAt("a", "a", 4), engineAt("b", "a", 4))
			g, refusal := s.Acquire(t.Context(), ask("p"))
			is.True(refusal == nil)
			is.Equal(g.Upstream, idle)
		}
	})
}
