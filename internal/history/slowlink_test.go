package history

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/gateway"
)

// Guards against a backup that never gets what waits for it, because all of it is sent at once, does not arrive in time
// and is sent again: more large turns end at once than the link takes in the time of one call.
func TestBurstOfLargeTurnsIsReplicatedOverASlowLink(t *testing.T) {
	const turns, turnBytes, bytesPerSecond = 200, 100 << 10, 8 << 20
	build := func(t *testing.T) *cluster {
		cl := newCluster(t, 2, 1)
		cl.linkBytesPerSecond = bytesPerSecond
		return cl
	}
	testOnCluster(t, build, func(cl *cluster, fail func(error)) {
		c := cl.client("entry")
		began := time.Now()
		failures := make(chan error, turns+1)
		var settling sync.WaitGroup
		for i := range turns {
			settling.Go(func() {
				id := fmt.Sprintf("turn-%d", i)
				retained := &gateway.Turn{ID: id, Input: make([]byte, turnBytes), Ended: time.Now()}
				failures <- c.Settle(context.Background(), gateway.Settlement{Program: id, Turn: id, RetainedTurn: retained, Retention: time.Hour})
			})
		}
		time.Sleep(10 * messageDelay)
		failures <- retainTurn(c, "first", "first", "")
		settling.Wait()
		for range turns + 1 {
			fail(<-failures)
		}
		const limit = turns * turnBytes * time.Second / bytesPerSecond
		if took := time.Since(began); took > limit {
			fail(errors.Errorf("all turns were retained after %v, want %v", took, limit))
		}
	})
}
