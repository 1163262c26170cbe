package history

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/gateway"
)

// restart is the end of all keepers at once, and their start.
type restart struct {
	// Loss is "kill", "power", or "wipe" for the loss of power and of the first keeper's disk.
	Loss string
	// Gap is the time between the starts of two keepers, Late for how long the first one starts after the others.
	Gap, Late time.Duration
}

// perform returns the keepers whose disks are intact, all of them down.
func (c restart) perform(cl *cluster) (intact []string) {
	for i, m := range cl.machines {
		switch {
		case c.Loss == "kill":
			m.stop()
		case c.Loss == "wipe" && i == 0:
			m.wipe()
			continue
		default:
			m.powerOff(0)
		}
		intact = append(intact, m.name)
	}
	time.Sleep(time.Second)
	return intact
}

// timeOutOfReach returns how long after the return of two intact holders a retained turn of the shard is continued.
func timeOutOfReach(cl *cluster, client *Client, role Ensemble, intact []string, previous string) (time.Duration, error) {
	for running := 0; running < 2; time.Sleep(messageDelay) {
		running = 0
		for _, name := range role.holders() {
			if slices.Contains(intact, name) && cl.isRunning(name) {
				running++
			}
		}
	}
	for start := time.Now(); ; time.Sleep(messageDelay) {
		_, err := client.reserveAtKeepers(context.Background(), gateway.Reservation{
			Program: previous, Turn: fmt.Sprintf("%s-%v", previous, time.Since(start)), Previous: previous, MaxOutputTokens: 1, Retain: true, Retention: longRetention,
		})
		if err == nil || time.Since(start) > convergenceTime {
			return time.Since(start), err
		}
	}
}

// Guards against shards that come back seconds after others once all keepers were killed or lost power: turns of before are out
// of reach for as long, while first turns are served.
func TestRestartOfAllKeepersBringsBackAllShardsInTime(t *testing.T) {
	const ms = time.Millisecond
	for _, keepers := range []int{3, 4, 10} {
		for _, loss := range []string{"kill", "power", "wipe"} {
			for _, c := range []restart{{Loss: loss}, {Loss: loss, Gap: 300 * ms}, {Loss: loss, Gap: 1500 * ms}, {Loss: loss, Late: 3000 * ms}} {
				t.Run(fmt.Sprintf("%d keepers %+v", keepers, c), func(t *testing.T) {
					build := func(t *testing.T) *cluster { return newPlannedCluster(t, keepers, 0) }
					testOnCluster(t, build, func(cl *cluster, fail func(error)) {
						worst, err := c.measure(cl)
						t.Logf("out of reach for %v at most", worst)
						fail(err)
						if worst > outOfReachLimit {
							fail(errors.Errorf("a turn is out of reach for %v", worst))
						}
					})
				})
			}
		}
	}
}

// measure returns the longest time for which the turn of a shard is out of reach.
func (c restart) measure(cl *cluster) (worst time.Duration, failure error) {
	client := cl.client(entryIn(north))
	for id := range uint32(ShardCount) {
		if err := retainTurn(client, programIn(id), programIn(id), ""); err != nil {
			return 0, err
		}
	}
	roles := cl.currentAssignment().Shards
	intact := c.perform(cl)
	var mu sync.Mutex
	var shards sync.WaitGroup
	for id := range uint32(ShardCount) {
		shards.Go(func() {
			took, err := timeOutOfReach(cl, client, roles[id].Ensemble, intact, programIn(id))
			mu.Lock()
			defer mu.Unlock()
			worst = max(worst, took)
			if err != nil {
				failure = errors.Wrapf(err, "shard %d", id)
			}
		})
	}
	for _, m := range cl.machines {
		if m != cl.machines[0] || c.Late == 0 {
			m.start()
			time.Sleep(c.Gap)
		}
	}
	time.Sleep(c.Late)
	cl.machines[0].restart()
	shards.Wait()
	return worst, failure
}
