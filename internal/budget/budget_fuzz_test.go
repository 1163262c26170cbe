package budget

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"foxhall/internal/standin"
)

// openReservation is a reservation that has not ended, as the oracle knows it.
type openReservation struct {
	node        int
	reservation *Reservation
	tokens      int64
	window      int64
}

// oracle counts the true spending by windows of true time. Open reservations count in full, also
// those of crashed instances.
type oracle struct {
	*world
	budget  int64
	version uint64
	spent   map[int64]int64
	open    []openReservation
	granted int
}

// Instances whose clocks differ by up to MaxClockError reserve, settle, release, stop and crash. At
// the same time the plan's budget is raised, reduced and removed, one instance after the other, and
// the store fails, is slow, loses responses and writes, and serves stale reads. At each reservation
// the true spending of the true window must be within the largest budget in force on any instance.
func TestBudgetAgainstOracle(t *testing.T) {
	granted := 0
	check(t, "120", func(rt *rapid.T) {
		inBubble(t, func() {
			o := &oracle{
				world:  newWorld(400, 0, MaxClockError, -MaxClockError, MaxClockError/3),
				budget: 400, version: 1, spent: map[int64]int64{},
			}
			defer o.close()
			rt.Repeat(map[string]func(*rapid.T){
				"burst":      o.burst,
				"more":       o.burst,
				"settle":     o.settle,
				"settle two": func(rt *rapid.T) { o.settle(rt); o.settle(rt) },
				"edit":       o.edit,
				"deliver":    o.deliver,
				"all":        o.deliverAll,
				"store":      o.storeFaults,
				"link":       o.linkFaults,
				"heal":       o.heal,
				"crash":      o.crash,
				"stop":       o.stopPlanned,
				"time":       o.advanceTime,
			})
			granted += o.granted
		})
	})
	if granted == 0 {
		t.Fatal("no reservation succeeded")
	}
	t.Logf("%d reservations", granted)
}

// burst makes up to 25 reservations on random instances, one after the other.
func (o *oracle) burst(rt *rapid.T) {
	for range rapid.IntRange(1, 25).Draw(rt, "calls") {
		o.reserve(rt)
	}
}

func (o *oracle) reserve(rt *rapid.T) {
	i := rapid.IntRange(0, len(o.nodes)-1).Draw(rt, "node")
	tokens := rapid.Int64Range(1, 30).Draw(rt, "tokens")
	r, err := o.nodes[i].reserve(tokens)
	if err != nil {
		return
	}
	o.granted++
	window := time.Now().UnixNano() / int64(testWindow)
	o.spent[window] += tokens
	o.open = append(o.open, openReservation{node: i, reservation: r, tokens: tokens, window: window})
	if limit := o.largestBudget(); o.spent[window] > limit {
		rt.Fatalf("spent %d tokens, budget is %d", o.spent[window], limit)
	}
}

// largestBudget returns the largest budget in force on any instance.
func (o *oracle) largestBudget() int64 {
	var largest int64
	for _, n := range o.nodes {
		if list, _ := n.plans.Plans(); list.Lookup("p") != nil {
			largest = max(largest, list.Lookup("p").Budget.Tokens)
		}
	}
	return largest
}

func (o *oracle) settle(rt *rapid.T) {
	if len(o.open) == 0 {
		return
	}
	i := rapid.IntRange(0, len(o.open)-1).Draw(rt, "reservation")
	r := o.open[i]
	actual := rapid.Int64Range(0, r.tokens).Draw(rt, "actual")
	o.open = append(o.open[:i], o.open[i+1:]...)
	o.spent[r.window] -= r.tokens - actual
	if actual == 0 {
		r.reservation.Release()
		return
	}
	r.reservation.Settle(Cost{Tokens: actual})
}

func (o *oracle) edit(rt *rapid.T) {
	o.budget = rapid.SampledFrom([]int64{0, 50, 200, 400, 800}).Draw(rt, "budget")
	o.version++
}

func (o *oracle) deliver(rt *rapid.T) {
	n := rapid.SampledFrom(o.nodes).Draw(rt, "node")
	n.plans.set(onePlan(o.budget), o.version)
}

func (o *oracle) deliverAll(*rapid.T) {
	for _, n := range o.nodes {
		n.plans.set(onePlan(o.budget), o.version)
	}
}

func (o *oracle) heal(*rapid.T) {
	o.store.SetFaults(standin.StoreFaults{})
	for _, n := range o.nodes {
		n.link.set(false, false)
	}
}

func (o *oracle) storeFaults(rt *rapid.T) {
	o.store.SetFaults(standin.StoreFaults{
		Down:        rapid.IntRange(0, 3).Draw(rt, "down") == 0,
		Delay:       time.Duration(rapid.SampledFrom([]int{0, 0, 3, 400}).Draw(rt, "delay")) * time.Millisecond,
		LoseAnswers: rapid.SampledFrom([]int{0, 0, 1, 3}).Draw(rt, "lose"),
		DropWrites:  rapid.SampledFrom([]int{0, 0, 1, 2}).Draw(rt, "drop"),
	})
}

func (o *oracle) linkFaults(rt *rapid.T) {
	n := rapid.SampledFrom(o.nodes).Draw(rt, "node")
	n.link.set(rapid.IntRange(0, 2).Draw(rt, "cut") == 0, rapid.IntRange(0, 2).Draw(rt, "regressed") == 0)
}

// crash crashes an instance, whose reservations are never settled, and restarts it.
func (o *oracle) crash(rt *rapid.T) {
	i := rapid.IntRange(0, len(o.nodes)-1).Draw(rt, "node")
	o.nodes[i].crash()
	o.dropReservations(i)
	o.nodes[i].start()
}

func (o *oracle) stopPlanned(rt *rapid.T) {
	i := rapid.IntRange(0, len(o.nodes)-1).Draw(rt, "node")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	o.nodes[i].stop()
	_ = o.nodes[i].Close(ctx)
	o.nodes[i].crash()
	o.dropReservations(i)
	o.nodes[i].start()
}

func (o *oracle) dropReservations(node int) {
	kept := o.open[:0]
	for _, r := range o.open {
		if r.node != node {
			kept = append(kept, r)
		}
	}
	o.open = kept
}

func (o *oracle) advanceTime(rt *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(1, 15000).Draw(rt, "ms")) * time.Millisecond)
}
