package limit

import (
	"context"
	"fmt"
	"testing"
	"time"

	"foxhall/internal/plan"
)

// BenchmarkAdmit measures steps that need not wait, from admission to release, on all processors in
// parallel, for a number of plans with limits.
func BenchmarkAdmit(b *testing.B) {
	for _, count := range []int{1, 100, 1500} {
		b.Run(fmt.Sprintf("plans=%d", count), func(b *testing.B) {
			g := NewGate(Options{Capacity: 1 << 20})
			plans := make([]plan.Plan, count)
			for i := range plans {
				plans[i] = plan.Plan{Name: fmt.Sprint("plan-", i), Limits: plan.Limits{Rate: 1e6, Burst: 1e6, Concurrency: 1e6}}
			}
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				i := 0
				for pb.Next() {
					i = (i + 1) % count
					release, refusal := g.Admit(context.Background(), &plans[i], time.Time{})
					if refusal != nil {
						b.Error(refusal)
						return
					}
					release()
				}
			})
		})
	}
}

// BenchmarkDispatch measures the dispatch of a step while steps of a number of plans wait.
func BenchmarkDispatch(b *testing.B) {
	for _, count := range []int{10, 100, 1500} {
		b.Run(fmt.Sprintf("waiting=%d", count), func(b *testing.B) {
			g := NewGate(Options{Capacity: 1, MaxWait: time.Hour, MaxQueue: 1 << 20})
			now := time.Now()
			for i := range count {
				f := g.flow(&plan.Plan{Name: fmt.Sprint("plan-", i)}, now)
				g.enqueue(f)
			}
			b.ReportAllocs()
			for b.Loop() {
				f := g.nextFlow(now)
				w := f.queue[0]
				g.dispatch(now)
				f.queue = append(f.queue[:0], w)
				g.backlog[f] = struct{}{}
				g.waiting++
				f.running, g.running = 0, 0
				<-w.decision
			}
		})
	}
}

// BenchmarkAllocate measures an arbiter's allocation for one of a number of instances that all send
// requests.
func BenchmarkAllocate(b *testing.B) {
	for _, count := range []int{9, 74} {
		b.Run(fmt.Sprintf("instances=%d", count), func(b *testing.B) {
			a, weights := newArbiter(), map[string]float64{}
			for i := range count {
				weights[fmt.Sprint("i", i)] = 1
			}
			members := newFleet(weights)
			limits := plan.Limits{Rate: 100, Concurrency: 50}
			now := time.Now()
			i := 0
			for b.Loop() {
				i++
				now = now.Add(time.Second / time.Duration(count))
				a.allocate(fmt.Sprint("i", i%count), Demand{Plan: "p", Rate: float64(i % 7), Slots: i % 5, Limits: limits}, members, now)
			}
		})
	}
}

// BenchmarkQuotaAdmit measures the quota check of a call with many customers.
func BenchmarkQuotaAdmit(b *testing.B) {
	q := NewQuotas("a", 1, tolerance)
	quotas := map[string]Quota{}
	var names []string
	for n := range 5000 {
		names = append(names, fmt.Sprint("customer-", n))
		quotas[names[n]] = Quota{Rate: 1e6, Burst: 1e6}
	}
	now := time.Unix(1000, 0)
	q.Set(quotas, now)
	q.SetFleet(1, 1, reportTick, now)
	now = now.Add(tolerance.Window)
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		now = now.Add(50 * time.Microsecond)
		q.Admit(Call{Customer: names[n%len(names)], Program: names[n%100]}, now)
		n++
	}
}
