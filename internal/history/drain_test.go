package history

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"foxhall/internal/gateway"
)

const (
	// drainTime is how long a keeper may hand its shards off before it ends.
	drainTime = 6500 * time.Millisecond
	// refusalLimit bounds how long turns may be refused beside one drain and one loss: the draining keeper may end
	// just when the loss has been dealt with.
	refusalLimit = 2 * soleHolderTime
	// turnInterval is the time between two turns of a program, chainLength the number of turns in a chain.
	turnInterval = 200 * time.Millisecond
	chainLength  = 8
)

// drainBesideLoss is the drain of one keeper beside the loss of another one.
type drainBesideLoss struct {
	Draining, Other int
	// Drain is "stop" or "retire", Loss one of the kinds of lossKinds.
	Drain, Loss string
	// After is the time from the order to drain to the loss, negative if the loss comes first. Down is how long the lost keeper
	// and Restart how long the stopped one is away.
	After, Down, Restart time.Duration
}

var lossKinds = []string{"kill", "power", "wipe", "freeze"}

func drawDrainBesideLoss(rt *rapid.T) drainBesideLoss {
	ms := func(name string, from, to int) time.Duration {
		return time.Duration(rapid.IntRange(from, to).Draw(rt, name)) * time.Millisecond
	}
	return drainBesideLoss{
		Draining: rapid.IntRange(0, 2).Draw(rt, "draining"), Other: rapid.IntRange(1, 2).Draw(rt, "other"),
		Drain: rapid.SampledFrom([]string{"stop", "retire"}).Draw(rt, "drain"), Loss: rapid.SampledFrom(lossKinds).Draw(rt, "loss"),
		After: ms("after", -1500, 8000), Down: ms("down", 100, 12000), Restart: ms("restart", 100, 4000),
	}
}

// TestRandomLossesBesideDrains drains one of three keepers, by a planned stop or for its removal, and loses another one
// before, meanwhile or after. Guards against turns that are refused for as long as the drain lasts, and against the loss of
// acknowledged ones.
func TestRandomLossesBesideDrains(t *testing.T) {
	eventCounts := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		plan := rapid.SliceOfN(rapid.Custom(drawDrainBesideLoss), 1, 3).Draw(rt, "plan")
		var failures []string
		synctest.Test(t, func(t *testing.T) { failures = runDrains(newThreeKeeperCluster(t, 1), plan, eventCounts) })
		if len(failures) > 0 {
			rt.Fatalf("%v", failures[:min(3, len(failures))])
		}
	})
	t.Log(eventCounts)
}

func runDrains(cl *cluster, plan []drainBesideLoss, eventCounts map[string]int) []string {
	r := &run{cluster: cl, eventCounts: eventCounts, retention: longRetention, oracle: oracle{entries: map[int]*Client{}}}
	r.startAll()
	time.Sleep(convergenceTime)
	for _, d := range plan {
		r.trace.printf("%+v", d)
		r.countEvent(d.Drain + " beside " + d.Loss)
		over, end := context.WithCancel(context.Background())
		for p := range programCount {
			r.calls.Go(func() { r.retainTurns(over, p) })
		}
		r.drainBesideLoss(d)
		time.Sleep(convergenceTime)
		end()
		r.calls.Wait()
	}
	r.checkAll()
	r.stopAll()
	time.Sleep(releaseTimeout)
	if len(r.failures) > 0 {
		r.t.Log(strings.Join(r.trace.lines, "\n"))
	}
	return r.failures
}

// drainBesideLoss returns when both keepers are back.
func (r *run) drainBesideLoss(d drainBesideLoss) {
	draining, lost := r.machines[d.Draining], r.machines[(d.Draining+d.Other)%len(r.machines)]
	var faults sync.WaitGroup
	faults.Go(func() {
		time.Sleep(max(0, -d.After))
		r.drain(draining, d)
	})
	faults.Go(func() {
		time.Sleep(max(0, d.After))
		r.lose(lost, d)
	})
	faults.Wait()
}

func (r *run) drain(m *machine, d drainBesideLoss) {
	if d.Drain == "retire" {
		r.setRetiring(m.name)
		time.Sleep(drainTime)
		r.setRetiring("")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), drainTime)
	defer cancel()
	m.process.keeper.HandOff(ctx)
	m.stop()
	time.Sleep(d.Restart)
	m.start()
}

func (r *run) lose(m *machine, d drainBesideLoss) {
	switch d.Loss {
	case "kill":
		m.stop()
	case "power":
		m.powerOff(0)
	case "wipe":
		m.wipe()
	case "freeze":
		m.pause()
	}
	time.Sleep(d.Down)
	m.resume()
	m.restart()
}

// retainTurns retains turns of a program one after the other until ctx ends. Each must be served within refusalLimit.
func (r *run) retainTurns(ctx context.Context, p int) {
	client := r.client(entryIn(north))
	var previous acknowledgedTurn
	began := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		r.oracle.mu.Lock()
		r.turnCount++
		id := fmt.Sprintf("turn-%d", r.turnCount)
		r.oracle.mu.Unlock()
		turn := &gateway.Turn{ID: id, Previous: previous.id, Input: []byte(id), Ended: time.Now()}
		if err := r.retain(client, p, turn, previous); err != nil {
			r.checkError(err, previous)
			if time.Since(began) > refusalLimit {
				r.fail("turns of %s refused for %v: %v", programName(p), time.Since(began), err)
				return
			}
			time.Sleep(turnInterval / 10)
			continue
		}
		if took := time.Since(began); took > refusalLimit {
			r.fail("a turn of %s served only after %v", programName(p), took)
		}
		previous = acknowledgedTurn{id: id, chain: append(append([]string(nil), previous.chain...), id), ended: turn.Ended}
		r.oracle.mu.Lock()
		r.retained[p] = append(r.retained[p], previous)
		r.oracle.mu.Unlock()
		if len(previous.chain) == chainLength {
			previous = acknowledgedTurn{}
		}
		time.Sleep(turnInterval)
		began = time.Now()
	}
}

func (r *run) retain(client *Client, p int, turn *gateway.Turn, previous acknowledgedTurn) error {
	ctx := context.Background()
	reserved, err := client.Reserve(ctx, gateway.Reservation{
		Customer: customerName(p), Program: programName(p), Turn: turn.ID, Previous: previous.id, MaxOutputTokens: 1, Retention: r.retention, Retain: true,
	})
	if err != nil {
		return err
	}
	r.checkChain(reserved.Chain, previous)
	settlement := gateway.Settlement{Customer: customerName(p), Program: programName(p), Turn: turn.ID, RetainedTurn: turn, Retention: r.retention}
	if reserved.CarryChain {
		settlement.Chain = reserved.Chain
	}
	return client.Settle(ctx, settlement)
}
