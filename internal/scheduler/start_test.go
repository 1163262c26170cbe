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
func TestDefaultSpeedsRefuseNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, _ := newTestScheduler(Settings{}, engineAt("e", "a", 4))
		r := testRequest("hurried")
		r.MaxTokens = 100
		r.Deadline = time.Now().Add(300 * time.Millisecond)
		_, refusal := s.Acquire(t.Context(), r)
		is.True(refusal == nil)
	})
}

// New engines stand idle while the old ones queue: they are taken to be as slow
// as the fixed guess. They must be taken to be like the others.
func TestNewEngineUsesMeanSpeed(t *testing.T) {
	is := is.New(t)
	s, table := newTestScheduler(Settings{}, engineAt("old", "a", 4), engineAt("new", "a", 4))
	endpoints := table.Snapshot().Model(testModel)
	for range 50 {
		endpoints[0].Learn(upstream.Sample{Uncached: 1000, Output: 11, Batch: 1, FirstToken: 20 * time.Millisecond, Total: 120 * time.Millisecond})
	}
	r := testRequest("p")
	p := s.pool(&r)
	is.Equal(p.learnedOrMeanSpeed(endpoints[1], endpoints, time.Now()), endpoints[0].Speed().WithoutSamples())
}

// A step is taken from a program's own engine by an instance that has not seen
// the program yet, and prefilled anew. What others know must count.
func TestLastUpstreamFromOtherInstanceIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, home := range []string{"a", "b", "c"} {
			is := is.New(t)
			s, _ := newTestScheduler(Settings{}, engineAt("a", "a", 4), engineAt("b", "a", 4), engineAt("c", "a", 4))
			r := testRequest("p")
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
			s, _ := newTestScheduler(settings, engineAt("a", "a", 4), engineAt("b", "a", 4))
			g, refusal := s.Acquire(t.Context(), testRequest("p"))
			is.True(refusal == nil)
			is.Equal(g.Upstream, idle)
		}
	})
}
