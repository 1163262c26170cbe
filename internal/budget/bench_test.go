package budget

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	_ "foxhall/internal/fuzzing" // one processor under the race detector
	"foxhall/internal/plan"
	"foxhall/internal/standin"
)

// makePlans returns that many plans with a token budget each.
func makePlans(count int, tokens int64) []plan.Plan {
	plans := make([]plan.Plan, count)
	for i := range plans {
		plans[i] = plan.Plan{
			Name: fmt.Sprintf("plan-%05d", i), Customer: fmt.Sprint("c", i),
			Budget: plan.Budget{Tokens: tokens, Window: plan.Duration(24 * time.Hour)},
		}
	}
	return plans
}

func newBenchAllocator(s *standin.Store, plans []plan.Plan) (*Allocator, *planSource) {
	l := &planSource{changed: make(chan struct{})}
	l.set(plan.Restore(plans), 1)
	return NewAllocator(s, l, Options{StoreRate: 1e6}), l
}

// BenchmarkReserve measures a reservation from held amounts and its settlement, on all processors in
// parallel.
func BenchmarkReserve(b *testing.B) {
	for _, count := range []int{1, 5000} {
		b.Run(fmt.Sprintf("plans=%d", count), func(b *testing.B) {
			plans := makePlans(count, 1e15)
			al, _ := newBenchAllocator(standin.NewStore(), plans)
			for i := range plans {
				r, err := al.Reserve(context.Background(), &plans[i], Cost{Tokens: 1e10})
				if err != nil {
					b.Fatal(err)
				}
				r.Release()
			}
			b.ReportAllocs()
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				i := rand.IntN(count)
				for pb.Next() {
					i = (i + 1) % count
					r, err := al.Reserve(context.Background(), &plans[i], Cost{Tokens: 1000})
					if err != nil {
						b.Error(err)
						return
					}
					r.Settle(Cost{Tokens: 500})
				}
			})
		})
	}
}

// BenchmarkDraw measures the renewal of the allotments of one object's plans by one update.
func BenchmarkDraw(b *testing.B) {
	for _, count := range []int{100, 1000, 5000} {
		b.Run(fmt.Sprintf("plans=%d", count), func(b *testing.B) {
			s := standin.NewStore()
			plans := makePlans(count, 1e15)
			al, _ := newBenchAllocator(s, plans)
			for i := range plans {
				if r, err := al.Reserve(context.Background(), &plans[i], Cost{Tokens: 1}); err == nil {
					r.Settle(Cost{Tokens: 1})
				}
			}
			object := al.shards[0]
			before := al.client.Bytes()
			for b.Loop() {
				for _, a := range object.allotments {
					a.need = a.holdings[0].free.plus(Cost{Tokens: 1})
				}
				if err := al.renew(context.Background(), object); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(al.client.Bytes()-before)/float64(b.N), "bytes/draw")
			b.ReportMetric(float64(len(object.allotments)), "plans/draw")
		})
	}
}

// Eight instances spend one plan's budget until calls are refused, with the demand evenly spread,
// skewed by Zipf's law, nearly all at one instance, and moving between instances. The part that is
// unspent when the first call is refused is stranded; its holders spend most of it before the window
// ends.
func TestStrandedUnderSkew(t *testing.T) {
	const budget, instances = 100_000, 8
	skews := map[string]func(second int) int{
		"even":   func(int) int { return rand.IntN(instances) },
		"zipf":   func(int) int { return min(instances-1, int(rand.ExpFloat64())) },
		"one":    func(int) int { return max(0, rand.IntN(20)-12) * (instances - 1) / 7 % instances },
		"moving": func(second int) int { return second / 30 % instances },
	}
	for _, name := range []string{"even", "zipf", "one", "moving"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runUntilExhausted(t, budget, instances, skews[name]) })
		})
	}
}

func runUntilExhausted(t *testing.T, budget int64, instances int, pick func(int) int) {
	plans := makePlans(1, budget)
	s := standin.NewStore()
	ctx, cancel := context.WithCancel(context.Background())
	var allocators []*Allocator
	done := make(chan struct{})
	for range instances {
		l := &planSource{changed: make(chan struct{})}
		l.set(plan.Restore(plans), 1)
		al := NewAllocator(s, l, Options{})
		allocators = append(allocators, al)
		go func() { _ = al.Run(ctx); done <- struct{}{} }()
	}
	var spent, atFirst, early int64
	refused := 0
	for call := 0; refused < 2000; call++ {
		r, err := allocators[pick(call/20)].Reserve(ctx, &plans[0], Cost{Tokens: 40})
		switch {
		case err == nil:
			spent += 20
			time.Sleep(50 * time.Millisecond)
			r.Settle(Cost{Tokens: 20})
			if refused > 0 {
				early++
			}
		default:
			if refused == 0 {
				atFirst = spent
			}
			refused++
			time.Sleep(50 * time.Millisecond)
		}
	}
	if spent > budget {
		t.Errorf("spent %d of %d", spent, budget)
	}
	t.Logf("stranded at the first refusal: %.1f%%, at the end: %.1f%%; %d calls refused, %d served after the first refusal; %d store calls",
		100-100*float64(atFirst)/float64(budget), 100-100*float64(spent)/float64(budget), refused, early,
		s.Counts().Reads+s.Counts().Writes)
	cancel()
	for _, k := range allocators {
		<-done
		k.cancel()
		k.draws.Wait()
	}
}
