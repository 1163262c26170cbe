package cache

import (
	"runtime"
	"testing"

	"foxhall/internal/engine"
)

// BenchmarkApply measures applying cache events of 16 blocks each, half of them evictions.
func BenchmarkApply(b *testing.B) {
	const blocks = 16
	view := New(Options{MaxBlocks: 1 << 20})
	events := make([]engine.Event, 4096)
	for i := range events {
		events[i].Kind = engine.Stored
		if i%2 == 1 {
			events[i].Kind = engine.Evicted
			events[i].Blocks = events[i-1].Blocks
			continue
		}
		for n := range blocks {
			events[i].Blocks = append(events[i].Blocks, uint64(i*blocks+n+1)*0x9e3779b97f4a7c15)
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		event := events[i%len(events)]
		event.Boot, event.Seq = "b", uint64(i+1)
		view.Apply(1, event)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "events/s")
}

// BenchmarkBlockMemory measures the memory that the view needs per block.
func BenchmarkBlockMemory(b *testing.B) {
	const blocks = 1 << 20
	for range b.N {
		before := heap()
		view := New(Options{MaxBlocks: 2 * blocks})
		chain := make([]uint64, 1)
		for i := range blocks {
			chain[0] = uint64(i+1) * 0x9e3779b97f4a7c15
			view.RecordSent(1, chain)
		}
		b.ReportMetric(float64(heap()-before)/blocks, "B/block")
		runtime.KeepAlive(view)
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
