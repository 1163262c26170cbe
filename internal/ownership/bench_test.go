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

// BenchmarkTakeOver measures the take-over of a dead owner's 2,000 programs by seven survivors: the
// time from the decision until all are adopted, and the store's reads and writes that it costs. Each
// program has 4 KB of history.
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
		for _, inst := range survivors {
			inst.close()
		}
	}
}

// takeOverNow seals the cohort's log without waiting for the grace period.
func (inst *instance) takeOverNow(b *testing.B, c program.Cohort) {
	if _, err := inst.reconciler.takeOver(b.Context(), Dead{Cohort: c, Since: time.Now()}, inst.Living()); err != nil {
		b.Fatal(err)
	}
}

// reconcileAll runs one pass on each instance, concurrently.
func reconcileAll(b *testing.B, nodes []*instance) {
	var running sync.WaitGroup
	for _, inst := range nodes {
		running.Go(func() {
			if err := inst.reconciler.Reconcile(b.Context()); err != nil {
				b.Error(err)
			}
		})
	}
	running.Wait()
}

// fill creates programs with one event of history bytes each.
func fill(b *testing.B, inst *instance, programs, history int) {
	var running sync.WaitGroup
	for i := range programs {
		id := program.ID(fmt.Sprintf("%s:%026d", inst.self.Cohort, i))
		p := inst.owner.insert(id, newProgram())
		event := strings.Repeat("h", history)
		p.add(event)
		running.Go(func() {
			if err := inst.log.Append(context.Background(), ledger.Record{Program: id, Event: []byte(event)}); err != nil {
				b.Error(err)
			}
		})
	}
	running.Wait()
}

// BenchmarkHandOver measures a planned hand-over of 2,000 programs, each with 4 KB of history, to
// seven successors: the gap in which a program has no owner that can respond.
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
		for _, inst := range append(others, stopping) {
			inst.close()
		}
	}
}

// BenchmarkDrainCut compares two kinds of planned stop by simulation: one seal after all steps in
// flight have ended, and one marker for each shard after that shard's steps have ended, as with the
// barriers of aligned snapshots. The remaining times of the steps are random (exponential, mean
// 10 s). It reports how long a program without a step in flight waits.
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
