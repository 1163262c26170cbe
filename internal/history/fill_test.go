package history

import (
	"bytes"
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/gateway"
	"foxhall/internal/history/historypb"
)

// Guards against turns that wait until a new backup, whose acknowledgement they need, has received all shards.
func TestTurnsDoNotWaitForStateTransfers(t *testing.T) {
	testOnCluster(t, func(t *testing.T) *cluster { return newCluster(t, 2, 1) }, func(cl *cluster, fail func(error)) {
		c := cl.client("entry")
		const turns, size, rate = 1280, 8 << 10, 4 << 20
		// A turn commits twice, and each time it may wait for a few parts of transfers, not for those of all shards.
		const limit = 2 * 5 * transferPartSize * time.Second / rate
		retainLargeTurns(cl, turns, size, fail)
		cl.machines[1].wipe()
		cl.mu.Lock()
		cl.linkBytesPerSecond = rate
		cl.mu.Unlock()
		cl.machines[1].start()
		cl.awaitAssignmentTo(cl.machines[1])
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

// Guards against a backup that stays incomplete in all shards because the transfers of a few fail again and again, and
// against transfers that are repeated without a pause.
func TestFailingTransfersLeaveOthersTheirPlace(t *testing.T) {
	testOnCluster(t, func(t *testing.T) *cluster { return newCluster(t, 2, 1) }, func(cl *cluster, fail func(error)) {
		const failing, size = maxTransfersPerBackup, 8 << 10
		retainLargeTurns(cl, 320, size, fail)
		var failed atomic.Int64
		cl.machines[1].wipe()
		cl.mu.Lock()
		cl.failsAppend = func(r *historypb.AppendRequest) bool {
			fails := len(r.Slices) == 1 && r.Slices[0].Slice < failing && len(r.Slices[0].Records) > 1
			if fails {
				failed.Add(1)
			}
			return fails
		}
		cl.mu.Unlock()
		cl.machines[1].start()
		cl.awaitAssignmentTo(cl.machines[1])
		const seconds = 3
		time.Sleep(seconds * time.Second)
		backup := cl.machines[1].process.keeper
		backup.mu.Lock()
		complete := 0
		for _, s := range backup.shards {
			if s.epochState.isComplete(s.role.Epoch) {
				complete++
			}
		}
		backup.mu.Unlock()
		t.Logf("backup complete in %d of %d shards, %d transfers failed", complete, ShardCount, failed.Load())
		if complete < ShardCount-failing {
			fail(errors.Errorf("backup complete in %d of %d shards, want %d", complete, ShardCount, ShardCount-failing))
		}
		if limit := failing * (seconds + 2) * int64(time.Second/transferRetryInterval); failed.Load() > limit {
			fail(errors.Errorf("%d transfers failed, want %d at the most", failed.Load(), limit))
		}
	})
}

// retainLargeTurns retains turns of the given size, each of a program of its own.
func retainLargeTurns(cl *cluster, turns, size int, fail func(error)) {
	c := cl.client("entry")
	for n := range turns {
		program := fmt.Sprint("p", n)
		_, err := c.Reserve(context.Background(), gateway.Reservation{Program: program, Turn: program, MaxOutputTokens: 1, Retention: time.Hour})
		fail(err)
		retained := &gateway.Turn{ID: program, Input: bytes.Repeat([]byte("x"), size), Ended: time.Now()}
		fail(c.Settle(context.Background(), gateway.Settlement{Program: program, Turn: program, RetainedTurn: retained, Retention: time.Hour}))
	}
}

// awaitAssignmentTo waits until all shards are assigned to the present disk of a keeper.
func (cl *cluster) awaitAssignmentTo(m *machine) {
	for cl.shardsAssignedSince(m) < ShardCount {
		time.Sleep(10 * time.Millisecond)
	}
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
