package scheduler

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"foxhall/internal/cache"
	"foxhall/internal/chat"
	"foxhall/internal/engine"
	"foxhall/internal/upstream"
	"foxhall/internal/usage"
)

// BenchmarkDecision measures one complete decision for a history of 120,000 tokens, including the
// lookup in the cache view and the collection of the candidates, without a deadline, with one that can be met
// and with one that no engine can meet.
func BenchmarkDecision(b *testing.B) {
	deadlines := []struct {
		name string
		left time.Duration
	}{{"", 0}, {"-deadline", time.Hour}, {"-late", time.Millisecond}}
	for _, c := range []struct {
		n           int
		loadControl bool
	}{{20, false}, {440, false}, {2200, false}, {20, true}, {440, true}, {2200, true}} {
		for _, d := range deadlines {
			name := fmt.Sprint(c.n)
			if c.loadControl {
				name += "-load-control"
			}
			b.Run(name+d.name, func(b *testing.B) {
				p, w, endpoints := newDecisionFixture(c.n, Settings{DataCentre: "a", LoadControl: c.loadControl})
				now := time.Now()
				if d.left != 0 {
					w.request.Deadline = now.Add(d.left)
				}
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					w.step.Random++
					if d := p.decide(endpoints, w, now); d.Chosen < 0 {
						b.Fatal("no decision")
					}
				}
			})
		}
	}
}

func newDecisionFixture(n int, settings Settings) (*pool, *waiter, []*upstream.Endpoint) {
	var listed []usage.Upstream
	for i := range n {
		name := fmt.Sprint("e", i)
		listed = append(listed, usage.Upstream{Name: name, Address: name, DataCentre: "a", Kind: usage.KindEngine, Models: []string{"m"}, Slots: 16})
	}
	table := upstream.NewTable()
	table.Apply(listed, time.Now())
	s := New(settings, table, cache.New(cache.DefaultOptions))
	endpoints := table.Snapshot().Model("m")
	grant := &usage.Grant{Models: []string{"m"}, DataCentres: []string{"a"}, LatencyWeight: 1, CacheWeight: 0.5}
	r := &Request{Model: "m", Program: "p", Grant: grant, Messages: []chat.Message{{Raw: make([]byte, 120000*engine.TokenBytes)}}}
	w := s.newWaiter(r)
	s.view.RecordSent(endpoints[n/2].Upstream.ID, w.blockHashes)
	for _, endpoint := range endpoints {
		endpoint.Learn(upstream.Sample{Uncached: 1000, Output: 50, Batch: 4, FirstToken: time.Second, Total: 3 * time.Second})
		s.view.RecordSent(endpoint.Upstream.ID, w.blockHashes[:8])
		endpoint.Upstream.Begin(time.Now().UnixNano(), 100, time.Hour)
	}
	p := s.pool(r)
	if p.byUrgency {
		w.byUrgency = true
		p.setOrder(w, endpoints, time.Now())
	}
	return p, w, endpoints
}

// BenchmarkCapacity measures the summary of the engines' loads by which waiting times are estimated.
func BenchmarkCapacity(b *testing.B) {
	for _, n := range []int{440, 2200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, _, _ := newDecisionFixture(n, Settings{DataCentre: "a", LoadControl: true})
			now := time.Now()
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				p.capacity.at = time.Time{}
				p.currentCapacity(now)
			}
		})
	}
}

// BenchmarkHash measures the hashing of a history of 120,000 tokens.
func BenchmarkHash(b *testing.B) {
	messages := []chat.Message{{Raw: make([]byte, 120000*engine.TokenBytes)}}
	var chain []uint64
	b.ReportAllocs()
	for range b.N {
		chain = engine.Blocks(chain[:0], "m", messages)
	}
}

// BenchmarkEngineMemory measures the memory of the upstream table and the cache view per engine.
func BenchmarkEngineMemory(b *testing.B) {
	for range b.N {
		before := heapBytes()
		p, _, endpoints := newDecisionFixture(2200, Settings{DataCentre: "a"})
		b.ReportMetric(float64(heapBytes()-before)/2200, "B/engine")
		runtime.KeepAlive(p)
		runtime.KeepAlive(endpoints)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
