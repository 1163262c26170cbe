package urgency

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against estimates that refuse calls although there is a place, and against estimates from this
// entry's calls alone: where others have most of the calls, they get most of the places.
func TestWaitIsEstimatedFromTheSharedView(t *testing.T) {
	is := is.New(t)
	v := View{Calls: 399, Own: 9, Rate: 100, Free: 3}
	is.Equal(v.Wait(2), time.Duration(0))
	is.Equal(v.Wait(3), 400*time.Millisecond) // 1 call at a fortieth of 100 calls per second
	is.Equal(v.Wait(7), 2*time.Second)
	is.Equal(View{Calls: 9, Own: 9, Rate: 100}.Wait(9), 100*time.Millisecond) // no other entry has calls
	is.Equal(View{Calls: 9, Own: 9, Rate: 100, MaxRate: 5}.Wait(9), 2*time.Second)
	is.Equal(View{}.Wait(5), time.Duration(0)) // nothing is known
	rapid.Check(t, func(t *rapid.T) {
		v := View{Calls: rapid.IntRange(0, 500).Draw(t, "calls"), Rate: rapid.Float64Range(0, 1000).Draw(t, "rate"), Free: rapid.IntRange(0, 20).Draw(t, "free")}
		v.Own = rapid.IntRange(0, v.Calls).Draw(t, "own")
		ahead := rapid.IntRange(0, 100).Draw(t, "ahead")
		if v.Wait(ahead) > v.Wait(ahead+1) || v.Wait(ahead) < 0 {
			t.Fatal("a call further back waits less")
		}
	})
}

// Guards against a rate that sinks with the calls that wait inside an engine, whose duration includes
// that wait.
func TestCallRateIncludesWaitsInTheEngine(t *testing.T) {
	is := is.New(t)
	is.Equal(CallRate(2, 8, 0.5), 16.0)  // free slots
	is.Equal(CallRate(8, 8, 0.5), 16.0)  // all in use
	is.Equal(CallRate(16, 8, 1.0), 16.0) // each waits as long as it runs
	is.Equal(CallRate(8, 8, 0), 0.0)
}
