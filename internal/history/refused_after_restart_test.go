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
	"foxhall/internal/history/historypb"
)

const (
	// catchUpTime is the time within which no more disks are lost than may be lost at once.
	catchUpTime = 6 * time.Second
	// tries is how often a program tries to continue a turn, and tryInterval the time between two tries.
	tries       = 6
	tryInterval = time.Second
	// lossRounds is the number of turns of each shard that are retained before a fault.
	lossRounds = 2
)

// retainInAllShards retains turns of a program in each shard, and returns those that were acknowledged.
func (cl *cluster) retainInAllShards(label string, fail func(error)) (turns []string) {
	c := cl.client(entryIn(north))
	var mu sync.Mutex
	var shards sync.WaitGroup
	for id := range uint32(ShardCount) {
		shards.Go(func() {
			previous := ""
			for round := range lossRounds {
				turn := fmt.Sprintf("%s-%d-%d", label, id, round)
				err := retainTurn(c, programIn(id), turn, previous)
				mu.Lock()
				fail(err)
				if err == nil {
					turns, previous = append(turns, turn), turn
				}
				mu.Unlock()
			}
		})
	}
	shards.Wait()
	return turns
}

// holdersOf returns the holders of a shard, the primary first.
func (cl *cluster) holdersOf(shardID uint32) []string {
	a := cl.currentAssignment()
	return a.Shards[shardID].holders()
}

// loseDisks cuts the power of all keepers, of which the named ones lose their disks as well, and starts all that are
// part of the system.
func (cl *cluster) loseDisks(names ...string) {
	for _, m := range cl.machines {
		if slices.Contains(names, m.name) {
			m.wipe()
		} else {
			m.powerOff(0)
		}
	}
	time.Sleep(time.Second)
	for _, m := range cl.machines {
		if cl.isRegistered(m.name) {
			m.restart()
		}
	}
}

// Guards against acknowledged turns that are out of reach after two restarts of all keepers, with the loss of as many disks
// as may be lost at once: in two parts, of the same ones twice, or of others once the first have caught up.
func TestRepeatedLossesOfDisksLeaveTurnsInReach(t *testing.T) {
	const pause = 1500 * time.Millisecond
	for _, row := range []struct {
		name string
		// first and second are the holders of a shard that lose their disks, by their order when they do.
		first, second []int
		pause         time.Duration
	}{
		{"one after the other", []int{0}, []int{1}, pause}, {"twice", []int{0, 1}, nil, pause}, {"others later", []int{0, 1}, []int{0, 1}, catchUpTime},
	} {
		t.Run(row.name, func(t *testing.T) {
			build := func(t *testing.T) *cluster { return newTenKeeperCluster(t, 2) }
			testOnCluster(t, build, func(cl *cluster, fail func(error)) {
				turns, former := cl.retainInAllShards("first", fail), cl.holdersOf(0)
				cl.loseDisks(pick(former, row.first)...)
				time.Sleep(row.pause)
				switch {
				case row.second == nil:
					cl.loseDisks(pick(former, row.first)...)
				case row.pause < catchUpTime:
					cl.loseDisks(pick(former, row.second)...)
				default:
					turns = append(turns, cl.retainInAllShards("second", fail)...)
					cl.loseDisks(pick(cl.holdersOf(0), row.second)...)
				}
				time.Sleep(recoveryBound)
				cl.checkTurns(turns, fail)
			})
		})
	}
}

// pick returns the names at the places.
func pick(names []string, places []int) (picked []string) {
	for _, p := range places {
		picked = append(picked, names[p])
	}
	return picked
}

// Guards against acknowledged turns that are out of reach where the holders of shards were changing as all keepers lost
// power, two of them with their disks: keepers had just been added, were being drained, or one was replaced.
func TestDisksLostDuringPlannedChangesLeaveTurnsInReach(t *testing.T) {
	const added = 3
	changes := map[string]struct {
		// before is the time between the change and the fault, and lost the number of disks that it takes.
		before time.Duration
		lost   int
		begin  func(cl *cluster)
	}{
		"added": {300 * time.Millisecond, 2, func(cl *cluster) {
			for _, m := range cl.machines[len(cl.machines)-added:] {
				cl.setRegistered(m.name, true)
				m.restart()
			}
		}},
		"retired": {time.Second, 2, func(cl *cluster) {
			cl.setRetiring("a")
			cl.setRetiringToo("b", true)
		}},
		// The keeper that is gone for good is one of those that may be lost.
		"replaced": {300 * time.Millisecond, 1, func(cl *cluster) {
			cl.setRegistered(cl.machines[len(cl.machines)-1].name, true)
			cl.machines[len(cl.machines)-1].restart()
			cl.machines[0].stop()
			cl.setRegistered("a", false)
		}},
	}
	build := func(t *testing.T) *cluster {
		cl := newCluster(t, 10+added, 2)
		for i, m := range cl.machines {
			m.dataCentre = []string{east, west, north}[i%3]
			cl.setRegistered(m.name, i < 10)
		}
		return cl
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			testOnCluster(t, build, func(cl *cluster, fail func(error)) {
				for _, m := range cl.machines[10:] {
					m.stop()
				}
				time.Sleep(convergenceTime)
				turns := cl.retainInAllShards("before", fail)
				change.begin(cl)
				time.Sleep(change.before)
				turns = append(turns, cl.retainInAllShards("during", func(error) {})...)
				remaining := slices.DeleteFunc(cl.holdersOf(0), func(name string) bool { return !cl.isRegistered(name) })
				cl.loseDisks(remaining[:change.lost]...)
				time.Sleep(recoveryBound)
				cl.checkTurns(turns, fail)
			})
		})
	}
}

// continueInTries has a new program continue a turn in several tries, each at another entry. Its caller waits for an answer
// no longer than patience, and its budget is one turn.
func continueInTries(clients []*Client, previous string, patience time.Duration) error {
	const most = 100
	program := "heir-" + previous
	var err error
	for try := range tries {
		ctx, leave := context.WithTimeout(context.Background(), patience)
		_, err = clients[try%len(clients)].Reserve(ctx, gateway.Reservation{
			Program: program, Turn: fmt.Sprintf("%s-%d", program, try), Previous: previous, MaxOutputTokens: most, Budget: most,
			Retain: true, Retention: time.Hour, Deadline: time.Now().Add(patience),
		})
		leave()
		if err == nil || errors.Is(err, gateway.ErrBudgetExhausted) {
			break
		}
		time.Sleep(tryInterval)
	}
	return errors.Wrapf(err, "continuing turn %s in %d tries", previous, tries)
}

// Guards against programs that are refused for their budget as they continue a turn after a restart of all keepers: their
// own tries, which were not answered in time, hold it.
func TestTriesDuringARestartHoldNoBudget(t *testing.T) {
	const (
		patience = 500 * time.Millisecond
		// beginGap is the time between the first tries of two programs. stalled is how long no change is committed, and
		// the time before it, in which the shards are recovered.
		beginGap = 40 * time.Millisecond
		stalled  = 3 * time.Second
	)
	build := func(t *testing.T) *cluster { return newTenKeeperCluster(t, 2) }
	testOnCluster(t, build, func(cl *cluster, fail func(error)) {
		turns := cl.retainInAllShards("first", fail)
		clients := []*Client{cl.client(entryIn(east)), cl.client(entryIn(west)), cl.client(entryIn(north))}
		cl.loseDisks(cl.holdersOf(0)[:2]...)
		time.Sleep(stalled)
		cl.setAppendsFailing(true)
		var programs sync.WaitGroup
		failures := make(chan error, len(turns))
		for n, previous := range turns {
			programs.Go(func() {
				time.Sleep(time.Duration(n) * beginGap)
				failures <- continueInTries(clients, previous, patience)
			})
		}
		time.Sleep(stalled)
		cl.setAppendsFailing(false)
		programs.Wait()
		close(failures)
		for err := range failures {
			fail(err)
		}
	})
}

// setAppendsFailing has keepers refuse all changes of others, or ends that.
func (cl *cluster) setAppendsFailing(failing bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.failsAppend = nil
	if failing {
		cl.failsAppend = func(*historypb.AppendRequest) bool { return true }
	}
}
