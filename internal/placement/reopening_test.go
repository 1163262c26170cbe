package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/upstream"
)

// Guards against a step that is refused by the estimate of the only upstream with a closed circuit breaker while others
// may be back soon, and against one that waits for upstreams that have been broken for long.
func TestStepIsNotLateWhileUpstreamsMayReopen(t *testing.T) {
	speed := upstream.Speed{Prefill: 1000, TokenBase: 1, CallSeconds: 20, Samples: 1}
	step := Step{PromptTokens: 10, OutputTokens: 20, LatencyWeight: 1, Left: 5 * time.Second, HasDeadline: true}
	slow := Candidate{Slots: 4, Load: upstream.Load{Limit: 5, Slowness: 1}, Speed: speed}
	for _, test := range []struct {
		condition upstream.Condition
		mayReopen bool
		late      bool
	}{
		{upstream.CircuitOpen, true, false},
		{upstream.CircuitOpen, false, true},
		{upstream.Draining, false, true},
	} {
		is := is.New(t)
		broken := slow
		broken.Load.Condition, broken.Load.MayReopen = test.condition, test.mayReopen
		d := Decide(Cost, []Candidate{slow, broken}, &step)
		is.Equal(d.Late, test.late)
		is.Equal(d.AwaitsReopening, !test.late)
		is.True(test.late || d.Chosen < 0)
	}
	is := is.New(t)
	fast, broken := slow, slow
	fast.Speed.TokenBase, fast.Speed.CallSeconds = 0.01, 1
	broken.Load.Condition, broken.Load.MayReopen = upstream.CircuitOpen, true
	d := Decide(Cost, []Candidate{slow, broken, fast}, &step)
	is.Equal(d.Chosen, 2)
	is.True(!d.AwaitsReopening)
}
