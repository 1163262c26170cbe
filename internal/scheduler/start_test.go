package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/upstream"
)

// An instance that has just started has no measured speeds. If it refused steps whose deadline the
// default speed can't meet, it would refuse all callers although its engines are faster.
func TestDefaultSpeedsRefuseNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, _ := newTestScheduler(Settings{}, engineAt("e", "a", 4))
		r := testRequest("hurried")
		r.MaxOutputTokens = 100
		r.Deadline = time.Now().Add(300 * time.Millisecond)
		_, refusal := s.Acquire(t.Context(), r)
		is.True(refusal == nil)
	})
}

// If a new engine counted as slow as the fixed default, it would be idle while steps queue for the
// old ones. It must count as fast as the mean of the others.
func TestNewEngineUsesMeanSpeed(t *testing.T) {
	is := is.New(t)
	_, table := newTestScheduler(Settings{}, engineAt("old", "a", 4), engineAt("new", "a", 4))
	endpoints := table.Snapshot().Model(testModel)
	for range 50 {
		endpoints[0].Learn(upstream.Sample{Uncached: 1000, Output: 11, Batch: 1, FirstToken: 20 * time.Millisecond, Total: 120 * time.Millisecond})
	}
	is.Equal(learnedOrMeanSpeed(endpoints[1]), endpoints[0].Speed().WithoutSamples())
}

// An instance that has not seen a program yet would choose any engine for its step, and the prompt
// would be prefilled again. The last upstream that other instances know must be used.
func TestLastUpstreamFromOtherInstanceIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, lastUpstream := range []string{"a", "b", "c"} {
			is := is.New(t)
			s, _ := newTestScheduler(Settings{}, engineAt("a", "a", 4), engineAt("b", "a", 4), engineAt("c", "a", 4))
			r := testRequest("p")
			r.Messages = nil
			for i := range uint64(100) {
				r.BlockHashes = append(r.BlockHashes, 1000+i)
			}
			r.PromptTokens, r.LastUpstream, r.LastUpstreamBlocks = 6400, lastUpstream, 90
			g, refusal := s.Acquire(t.Context(), r)
			is.True(refusal == nil)
			is.Equal(g.Upstream, lastUpstream)
		}
	})
}

// An upstream with an idle connection must be preferred, or each call opens a new connection.
func TestIdleConnectionIsPreferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, idle := range []string{"a", "b"} {
			is := is.New(t)
			settings := Settings{Connections: func(name, _ string, _ int) (bool, bool) { return name == idle, true }, ConnectCost: 15 * time.Millisecond}
			s, _ := newTestScheduler(settings, engineAt("a", "a", 4), engineAt("b", "a", 4))
			g, refusal := s.Acquire(t.Context(), testRequest("p"))
			is.True(refusal == nil)
			is.Equal(g.Upstream, idle)
		}
	})
}
