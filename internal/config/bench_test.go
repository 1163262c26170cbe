package config

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"foxhall/internal/plan"
	"foxhall/internal/standin"
	"foxhall/internal/store"
	"foxhall/internal/usage"
)

// planCounts are the numbers of plans of the benchmarks; 5,000 is the required number.
var planCounts = []int{100, 1000, 5000}

// newBenchPair returns lists with the given number of plans, as many grants, 16 models and two
// upstreams for every five plans.
func newBenchPair(plans int) Lists {
	list := make([]plan.Plan, plans)
	for i := range list {
		list[i] = testPlan(fmt.Sprintf("plan-%05d", i), 1_000_000)
	}
	pair := Lists{Plans: plan.Restore(list)}
	pair.Usage = testUsage(pair.Plans)
	for i := range 14 {
		pair.Usage.Models = append(pair.Usage.Models, usage.Model{Name: fmt.Sprintf("model-%02d", i)})
	}
	for i := range plans * 2 / 5 {
		pair.Usage.Upstreams = append(pair.Usage.Upstreams, usage.Upstream{
			Name: fmt.Sprintf("engine-%05d", i), Kind: usage.KindEngine, DataCentre: "a", Models: []string{"oak"}, Slots: 16,
			Address: fmt.Sprintf("10.%d.%d.%d:9000", i>>16, i>>8&255, i&255), CacheTokens: 4 << 20,
		})
	}
	pair.Usage.Index()
	return pair
}

// acceptFirst makes the pair the first accepted version.
func acceptFirst(b *testing.B, client store.Client, pair Lists) {
	b.Helper()
	if _, err := NewEditor(client).Apply(context.Background(), Proposal{Operator: "bench", Plans: pair.Plans, Usage: pair.Usage}); err != nil {
		b.Fatal(err)
	}
}

// editOne sets one plan's token budget and returns the stored manifest as an update.
func editOne(b *testing.B, client store.Client, cache string, pair Lists, tokens int64) Update {
	b.Helper()
	editor := NewCachedEditor(client, cache)
	_, base, err := editor.Get(context.Background(), 0)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := editor.Apply(context.Background(), Proposal{Operator: "bench", Base: base, Plans: withTokens(pair.Plans, "plan-00042", tokens)}); err != nil {
		b.Fatal(err)
	}
	object, err := client.Get(context.Background(), ManifestKey)
	if err != nil {
		b.Fatal(err)
	}
	return Update{Version: uint64(object.Version), Manifest: object.Value}
}

// BenchmarkInstall installs an edit of one plan. It measures the processor time of an instance and
// the bytes that the edit transfers to it.
func BenchmarkInstall(b *testing.B) {
	for _, plans := range planCounts {
		b.Run(fmt.Sprintf("plans=%d", plans), func(b *testing.B) {
			s := standin.NewStore()
			pair := newBenchPair(plans)
			acceptFirst(b, s, pair)
			source := NewSource(s, Options{})
			if _, err := source.read(context.Background()); err != nil {
				b.Fatal(err)
			}
			updates := []Update{editOne(b, s, "", pair, 7), editOne(b, s, "", pair, 8)}
			version := updates[1].Version
			b.ReportAllocs()
			for b.Loop() {
				version++
				update := updates[version%2]
				update.Version = version
				if err := source.install(update, "bench"); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(updates[0].Manifest)), "event-bytes/edit")
		})
	}
}

// BenchmarkEdit measures an operator's edit of one plan, from reading to acceptance, with and without
// a cache of chunks.
func BenchmarkEdit(b *testing.B) {
	for _, plans := range planCounts {
		for _, cached := range []bool{false, true} {
			b.Run(fmt.Sprintf("plans=%d/cached=%t", plans, cached), func(b *testing.B) { benchmarkEdits(b, plans, cached) })
		}
	}
}

func benchmarkEdits(b *testing.B, plans int, cached bool) {
	s := standin.NewStore()
	pair := newBenchPair(plans)
	acceptFirst(b, s, pair)
	cache := ""
	if cached {
		cache = b.TempDir()
		editOne(b, s, cache, pair, 1)
	}
	tokens := int64(1)
	before := s.Counts()
	for b.Loop() {
		tokens++
		editOne(b, s, cache, pair, tokens)
	}
	after := s.Counts()
	b.ReportMetric(float64(after.Writes-before.Writes)/float64(b.N), "writes/edit")
	b.ReportMetric(float64(after.Reads-before.Reads)/float64(b.N), "reads/edit")
}

// BenchmarkFollow measures the store calls and the bytes transferred for each edit of one plan while
// sources follow the edits.
func BenchmarkFollow(b *testing.B) {
	for _, plans := range planCounts {
		for _, sources := range []int{1, 10} {
			b.Run(fmt.Sprintf("plans=%d/instances=%d", plans, sources), func(b *testing.B) { benchmarkFollow(b, plans, sources) })
		}
	}
}

func benchmarkFollow(b *testing.B, plans, count int) {
	s := standin.NewStore()
	pair := newBenchPair(plans)
	acceptFirst(b, s, pair)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var sources []*Source
	for range count {
		source := NewSource(s, Options{PollInterval: time.Hour})
		go func() { _ = source.Run(ctx) }()
		sources = append(sources, source)
	}
	awaitVersion(sources, 1)
	time.Sleep(100 * time.Millisecond) // until all sources watch the store
	bytesBefore := make([]int64, count)
	callsBefore := int64(0)
	for i, source := range sources {
		bytesBefore[i] = source.client.Bytes()
		callsBefore += source.client.Calls()
	}
	startCalls := float64(callsBefore) / float64(count)
	tokens, cache := int64(1), b.TempDir()
	for b.Loop() {
		tokens++
		awaitVersion(sources, editOne(b, s, cache, pair, tokens).Version)
	}
	var callsAfter, bytesMoved int64
	for i, source := range sources {
		callsAfter += source.client.Calls()
		bytesMoved += source.client.Bytes() - bytesBefore[i]
	}
	edits := float64(b.N) * float64(count)
	b.ReportMetric(startCalls, "start-calls/instance")
	b.ReportMetric(float64(callsAfter-callsBefore)/edits, "calls/edit/instance")
	b.ReportMetric(float64(bytesMoved)/edits, "bytes/edit/instance")
}

// awaitVersion waits until each source has the version or a newer one in force.
func awaitVersion(sources []*Source, version uint64) {
	for _, source := range sources {
		for source.Version() < version {
			changed := source.Changed()
			if source.Version() < version {
				<-changed
			}
		}
	}
}

// BenchmarkMemory measures the heap memory of a configuration.
func BenchmarkMemory(b *testing.B) {
	for _, plans := range planCounts {
		b.Run(fmt.Sprintf("plans=%d", plans), func(b *testing.B) {
			s := standin.NewStore()
			acceptFirst(b, s, newBenchPair(plans))
			var heap float64
			for b.Loop() {
				before := heapBytes()
				source := NewSource(s, Options{})
				if _, err := source.read(context.Background()); err != nil {
					b.Fatal(err)
				}
				heap = float64(heapBytes()) - float64(before)
				runtime.KeepAlive(source)
			}
			b.ReportMetric(heap, "heap-bytes")
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
