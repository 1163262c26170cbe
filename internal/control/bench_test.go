package control

import (
	"fmt"
	"testing"

	"github.com/rcrowley/go-metrics"

	"foxhall/internal/membership"
)

// BenchmarkLoop measures posting and applying a burst of events: with few keys,
// as for state changes, and with many, as for load reports of many sources.
func BenchmarkLoop(b *testing.B) {
	for _, keys := range []int{5, 500} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			l := NewLoop(DefaultCapacity, metrics.NewRegistry())
			names := make([]string, keys)
			for i := range names {
				names[i] = fmt.Sprintf("dc%03d", i)
			}
			view := &membership.View{}
			b.ReportAllocs()
			posted := 0
			for b.Loop() {
				if err := l.Post(LoadReported{DataCentre: names[posted%keys], Value: posted}); err != nil {
					b.Fatal(err)
				}
				posted++
				if posted%100 == 0 {
					_ = l.Post(MembersChanged{View: view})
					applyAll(l)
				}
			}
			b.ReportMetric(float64(posted)/b.Elapsed().Seconds(), "events/s")
		})
	}
}

// BenchmarkSnapshot measures concurrent reads of the snapshot.
func BenchmarkSnapshot(b *testing.B) {
	l := NewLoop(DefaultCapacity, metrics.NewRegistry())
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			_ = l.Snapshot()
		}
	})
}
