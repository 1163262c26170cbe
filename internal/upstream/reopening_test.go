package upstream

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/usage"
)

// Guards against steps that wait again and again for an upstream whose trials fail, and against an upstream that failed
// long ago and recovered, for which none waits when it fails again.
func TestUpstreamMayReopenForAWhileAfterItsFirstFailure(t *testing.T) {
	is := is.New(t)
	u := newUpstream(usage.Upstream{Name: "u"}, 1, &activeSet{})
	start := time.Now()
	mayReopen := func(after time.Duration) bool { return u.Load(start.Add(after).UnixNano()).MayReopen }
	fail := func(after time.Duration) { u.RecordFailure(start.Add(after), Failure{Kind: NotSent}) }
	is.True(!mayReopen(0))
	fail(0)
	is.True(mayReopen(0))
	for _, after := range []time.Duration{700 * time.Millisecond, 1900 * time.Millisecond} {
		_, ok := u.TakeTrial()
		is.True(ok)
		fail(after)
	}
	is.True(!mayReopen(reopenTime))
	u.RecordSuccess(start.Add(reopenTime))
	fail(time.Minute)
	is.True(mayReopen(time.Minute))
}
