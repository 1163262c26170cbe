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
		var survivors []*instance
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
		reconcileAll(b, survivors)
		b.StopTimer()
		after := w.standIn.Counts()
		b.ReportMetric(time.Since(started).Seconds()*1000, "ms/take-over")
		b.ReportMetric(float64(after.Writes-before.Writes), "writes")
		b.ReportMetric(float64(after.Reads-before.Reads), "reads")
		for _, n := range survivors {
			n.close()
		}
	}
}

func (n *instance) takeOverNow(b *testing.B, c program.Cohort) {
	if _, err := n.reconciler.takeOver(b.Context(), Dead{Cohort: c, Since: time.Now()}, n.Living()); err != nil {
		b.Fatal(err)
	}
}

func reconcileAll(b *testing.B, nodes []*instance) {
	var running sync.WaitGroup
	for _, n := range nodes {
		running.Go(func() {
			if err := n.reconciler.Reconcile(b.Context()); err != nil {
				b.Error(err)
			}
		})
	}
	running.Wait()
}

func fill(b *testing.B, n *instance, programs, history int) {
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
		stopping := w.start(1)
		var others []*instance
		for range 7 {
			others = append(others, w.start(1))
		}
		fill(b, stopping, programs, history)
		w.standIn.SetFaults(standin.StoreFaults{Delay: 4 * time.Millisecond})
		started := time.Now()
		b.StartTimer()
		if err := stopping.reconciler.HandOver(b.Context()); err != nil {
			b.Fatal(err)
		}
		reconcileAll(b, others)
		b.StopTimer()
		b.ReportMetric(time.Since(started).Seconds()*1000, "ms/gap")
		for _, n := range append(others, stopping) {
			n.close()
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
	var oneSeal, perShard float64
	for range b.N {
		var last float64
		var longest [program.ShardCount]float64
		for range steps {
			remaining := random.ExpFloat64() * 10
			last = max(last, remaining)
			shard := random.IntN(program.ShardCount)
			longest[shard] = max(longest[shard], remaining)
		}
		oneSeal += last
		for _, left := range longest {
			perShard += left / program.ShardCount
		}
	}
	b.ReportMetric(oneSeal/float64(b.N), "s-wait/one-seal")
	b.ReportMetric(perShard/float64(b.N), "s-wait/slice-markers")
}
