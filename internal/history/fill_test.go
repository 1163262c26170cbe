package history

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/gateway"
)

// Guards against turns that wait until a new backup, whose acknowledgement they need, has received all shards.
func TestTurnsDoNotWaitForStateTransfers(t *testing.T) {
	testOnCluster(t, func(t *testing.T) *cluster { return newCluster(t, 2, 1) }, func(cl *cluster, fail func(error)) {
		c := cl.client("entry")
		const turns, size, rate = 1280, 8 << 10, 4 << 20
		// A turn commits twice, and each time it may wait for a few parts of transfers, not for those of all shards.
		const limit = 2 * 5 * transferPartSize * time.Second / rate
		for n := range turns {
			program := fmt.Sprint("p", n)
			_, err := c.Reserve(context.Background(), gateway.Reservation{Program: program, Turn: program, MaxOutputTokens: 1, Retention: time.Hour})
			fail(err)
			retained := &gateway.Turn{ID: program, Input: bytes.Repeat([]byte("x"), size), Ended: time.Now()}
			fail(c.Settle(context.Background(), gateway.Settlement{Program: program, Turn: program, RetainedTurn: retained, Retention: time.Hour}))
		}
		cl.machines[1].wipe()
		cl.mu.Lock()
		cl.linkBytesPerSecond = rate
		cl.mu.Unlock()
		cl.machines[1].start()
		for cl.shardsAssignedSince(cl.machines[1]) < ShardCount {
			time.Sleep(10 * time.Millisecond)
		}
		began, worst := time.Now(), time.Duration(0)
		for n := 0; time.Since(began) < turns*size*time.Second/rate; n++ {
			at := time.Now()
			fail(retainTurn(c, fmt.Sprint("p", n), fmt.Sprint("next-", n), fmt.Sprint("p", n)))
			worst = max(worst, time.Since(at))
		}
		t.Logf("a turn took %v at the most while a backup was filled", worst)
		if worst > limit {
			fail(errors.Errorf("a turn took %v while a backup was filled, want %v at the most", worst, limit))
		}
	})
}

// shardsAssignedSince counts the shards that are assigned to the present disk of a keeper.
func (cl *cluster) shardsAssignedSince(m *machine) int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	n := 0
	for i := range cl.assignment.Shards {
		if m.process != nil && cl.assignment.Shards[i].diskOf(m.name) == m.process.keeper.disk {
			n++
		}
	}
	return n
}
