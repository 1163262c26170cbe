package ownership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"foxhall/internal/ledger"
	"foxhall/internal/program"
	"foxhall/internal/standin"
)

// BenchmarkTakeOver measures the time from the decision to take a dead owner's
// 2,000 programs over until its seven survivors have adopted them all, and the
// store writes that it costs. Each program has 4 KB of history.
func BenchmarkTakeOver(b *testing.B) {
	const programs, history = 2000, 4096
	for range b.N {
		b.StopTimer()
		w := &world{t: b, standIn: standin.NewStore(), manual: true}
		dead := w.start(1)
		var survivors []*node
		for range 7 {
			survivors = append(survivors, w.start(1))
		}
		fill(b, dead, programs, history)
		w.crash(dead)
		w.standIn.SetFaults(standin.StoreFaults{Delay: 4 * time.Millisecond})
		before := w.standIn.Counts()
		started := time.Now()
		b.StartTimer()
		survivors[0].takeOverNow(b, dead.self.Cohort)
		passAll(b, survivors)
		b.StopTimer()
		after := w.standIn.Counts()
		b.ReportMetric(time.Since(started).Seconds()*1000, "ms/take-over")
		b.ReportMetric(float64(after.Writes-before.Writes), "writes")
		b.ReportMetric(float64(after.Reads-before.Reads), "reads")
		for _, n := range survivors {
			n.shut()
		}
	}
}

func (n *node) takeOverNow(b *testing.B, c program.Cohort) {
	if _, err := n.keeper.takeOver(b.Context(), Dead{Cohort: c, Since: time.Now()}, n.Living()); err != nil {
		b.Fatal(err)
	}
}

func passAll(b *testing.B, nodes []*node) {
	var running sync.WaitGroup
	for _, n := range nodes {
		running.Go(func() {
			if err := n.keeper.Reconcile(b.Context()); err != nil {
				b.Error(err)
			}
		})
	}
	running.Wait()
}

func fill(b *testing.B, n *node, programs, history int) {
	var running sync.WaitGroup
	for i := range programs {
		id := program.ID(fmt.Sprintf("%s:%026d", n.self.Cohort, i))
		p := n.owner.insert(id, newProgram())
		event := strings.Repeat("h", history)
		p.add(event)
		running.Go(func() {
			if err := n.log.Append(context.Background(), ledger.Record{Program: id, Event: []byte(event)}); err != nil {
				b.Error(err)
			}
		})
	}
	running.Wait()
}

// BenchmarkHandOver measures a planned hand-over of 2,000 programs to seven
// successors: the gap in which a program has no owner that can answer.
func BenchmarkHandOver(b *testing.B) {
	const programs, history = 2000, 4096
	for range b.N {
		b.StopTimer()
		w := &world{t: b, standIn: standin.NewStore(), manual: true}
		leaving := w.start(1)
		var others []*node
		for range 7 {
			others = append(others, w.start(1))
		}
		fill(b, leaving, programs, history)
		w.standIn.SetFaults(standin.StoreFaults{Delay: 4 * time.Millisecond})
		started := time.Now()
		b.StartTimer()
		if err := leaving.keeper.HandOver(b.Context()); err != nil {
			b.Fatal(err)
		}
		passAll(b, others)
		b.StopTimer()
		b.ReportMetric(time.Since(started).Seconds()*1000, "ms/gap")
		for _, n := range append(others, leaving) {
			n.shut()
		}
	}
}

// BenchmarkDrainCut compares two cuts of a planned stop by drawing the rest of
// the steps under way (exponential, mean 10 s) at random: one seal after all
// steps ended, and one marker for each slice after that slice's steps ended, as
// with the barriers of aligned snapshots. It reports how long a program waits
// that has no step under way itself.
func BenchmarkDrainCut(b *testing.B) {
	const steps = 64
	random := rand.New(rand.NewPCG(1, 2))
	var whole, perSlice float64
	for range b.N {
		var last float64
		var slices [program.ShardCount]float64
		for range steps {
			left := random.ExpFloat64() * 10
			last = max(last, left)
			at := random.IntN(program.ShardCount)
			slices[at] = max(slices[at], left)
		}
		whole += last
		for _, left := range slices {
			perSlice += left / program.ShardCount
		}
	}
	b.ReportMetric(whole/float64(b.N), "s-wait/one-seal")
	b.ReportMetric(perSlice/float64(b.N), "s-wait/slice-markers")
}
