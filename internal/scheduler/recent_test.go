package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/usage"
)

// Guards against a new connection for each call in a fleet with thousands of replicas: the replicas to
// which connections are open must be considered, in a fleet of any size, and a call must go to one of
// them while it is free. The number of candidates must have the same bound.
func TestReplicaWithAnOpenConnectionIsUsedAgain(t *testing.T) {
	for _, size := range []int{200, 400, 800, 10000} {
		is := is.New(t)
		var listed []usage.Upstream
		for i := range size {
			name := fmt.Sprint("r", i)
			listed = append(listed, usage.Upstream{Name: name, Address: name, Kind: usage.KindService, DataCentre: "a", Service: "s", Slots: 4})
		}
		open := map[string]bool{}
		settings := Settings{ConnectCost: 15 * time.Millisecond, Connections: func(name, _ string, _ int) (bool, bool) { return open[name], true }}
		s, _ := newTestScheduler(settings, listed...)
		used := map[string]bool{}
		for range 100 {
			grant, refusal := s.Acquire(t.Context(), Request{Service: "s", Program: "p"})
			is.True(refusal == nil)
			used[grant.Upstream], open[grant.Upstream] = true, true
			candidates := 0
			for _, n := range grant.Decision.Rejections {
				candidates += n
			}
			is.True(candidates <= 2*sampleSize+maxCacheHolders+maxRecent+1)
			grant.Done(Feedback{FirstToken: time.Millisecond, Total: 50 * time.Millisecond})
		}
		is.Equal(len(used), 1)
	}
}
