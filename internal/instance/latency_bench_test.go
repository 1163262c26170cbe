package instance

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/apex/log"

	"foxhall/internal/config"
	"foxhall/internal/entry"
	"foxhall/internal/plan"
	"foxhall/internal/settings"
	"foxhall/internal/standin"
	"foxhall/internal/store"
	"foxhall/internal/usage"
)

const benchKey = "bench-key"

// benchSetup is one instance in front of one stand-in engine. engine and instance are their base
// URLs.
type benchSetup struct {
	engine, instance string
	stop             func()
}

// startBench starts an engine that decodes at the given speed, and an instance that uses it.
func startBench(b *testing.B, decodeTokensPerSecond float64) *benchSetup {
	b.Helper()
	log.SetLevel(log.FatalLevel)
	platform := standin.NewStore()
	storeServer := httptest.NewServer(platform.Handler())
	engine := standin.NewEngine(standin.EngineConfig{
		Name: "e", Slots: 512, MaxQueue: 512, CacheTokens: 1 << 20, PrefillSpeed: 1e7, DecodeSpeed: decodeTokensPerSecond,
		LoadLag: 100 * time.Millisecond, EventLag: 50 * time.Millisecond, KVSpeed: 1e6, ChunkTokens: 1,
	})
	engineServer := httptest.NewServer(engine.Handler())
	plans, err := plan.Parse(fmt.Appendf(nil, `[[plan]]
name = "p"
customer = "c"
key_hashes = [%q]
`, plan.HashKey(benchKey)))
	if err != nil {
		b.Fatal(err)
	}
	uses, err := usage.Parse(fmt.Appendf(nil, `[[model]]
name = "m"
[[upstream]]
name = "e"
kind = "engine"
address = %q
data_centre = "dc"
models = ["m"]
slots = 512
cache_tokens = 1000000
[[grant]]
plan = "p"
models = ["m"]
data_centres = ["dc"]
latency_weight = 1.0
`, strings.TrimPrefix(engineServer.URL, "http://")))
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	editor := config.NewEditor(store.NewHTTP(storeServer.URL, 5*time.Second))
	if _, err := editor.Apply(ctx, config.Proposal{Operator: "bench", Plans: plans, Usage: uses}); err != nil {
		b.Fatal(err)
	}
	s := settings.Default()
	s.Instance, s.DataCentre = "i", "dc"
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0"}
	s.Store.URL, s.Store.ReadsPerSecond, s.Store.WritesPerSecond = storeServer.URL, 1000, 200
	s.Peers.Secret = "0123456789abcdef"
	s.Shutdown.Grace = settings.Duration(time.Second)
	i, err := New(s)
	if err != nil {
		b.Fatal(err)
	}
	done := make(chan struct{})
	go func() { defer close(done); _ = i.Run(ctx) }()
	for i.notReadyReason() != "" {
		time.Sleep(10 * time.Millisecond)
	}
	return &benchSetup{engine: engineServer.URL, instance: i.CallersURL(), stop: func() {
		cancel()
		<-done
		engineServer.Close()
		storeServer.Close()
	}}
}

// callTimes are the times from the start of a streamed call to its first line and to its end.
type callTimes struct{ first, total time.Duration }

func streamedCall(client *http.Client, url, body string) (callTimes, error) {
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return callTimes{}, err
	}
	req.Header.Set("Authorization", "Bearer "+benchKey)
	req.Header.Set(entry.HeaderProgram, entry.NewProgram)
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return callTimes{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return callTimes{}, fmt.Errorf("status %s", resp.Status)
	}
	var t callTimes
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		if t.first == 0 {
			t.first = time.Since(start)
		}
	}
	t.total = time.Since(start)
	return t, scanner.Err()
}

// latencies collects the times, in microseconds, and the number of failures of direct or relayed
// calls.
type latencies struct {
	mu           sync.Mutex
	first, total *hdrhistogram.Histogram
	failed       int
}

func newLatencies() *latencies {
	return &latencies{first: hdrhistogram.New(1, 60_000_000, 3), total: hdrhistogram.New(1, 60_000_000, 3)}
}

func (s *latencies) add(t callTimes, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.failed++
		return
	}
	_ = s.first.RecordValue(t.first.Microseconds())
	_ = s.total.RecordValue(t.total.Microseconds())
}

// benchCallsPerSecond is the rate of direct calls, and also that of relayed calls.
const benchCallsPerSecond = 500

// BenchmarkAddedLatency calls the engine directly and through an instance in the same run, at a
// steady rate, and reports the latency in milliseconds that the instance adds to the first chunk
// and to the complete response. The complete response includes the write of the turn to the
// stand-in of the object API.
func BenchmarkAddedLatency(b *testing.B) {
	setup := startBench(b, 1e5)
	defer setup.stop()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	body := `{"model":"m","stream":true,"max_tokens":16,"messages":[{"role":"user","content":"a short question"}]}`
	direct, relayed := newLatencies(), newLatencies()
	var calls sync.WaitGroup
	tick := time.NewTicker(time.Second / benchCallsPerSecond)
	defer tick.Stop()
	for b.Loop() {
		<-tick.C
		calls.Go(func() { direct.add(streamedCall(client, setup.engine, body)) })
		calls.Go(func() { relayed.add(streamedCall(client, setup.instance, body)) })
	}
	calls.Wait()
	if direct.failed+relayed.failed > 0 {
		b.Fatalf("%d direct and %d relayed calls failed", direct.failed, relayed.failed)
	}
	for _, percentile := range []float64{50, 99} {
		added := func(a, b *hdrhistogram.Histogram) float64 {
			return float64(a.ValueAtPercentile(percentile)-b.ValueAtPercentile(percentile)) / 1000
		}
		b.ReportMetric(added(relayed.first, direct.first), fmt.Sprintf("first-p%.0f-ms", percentile))
		b.ReportMetric(added(relayed.total, direct.total), fmt.Sprintf("total-p%.0f-ms", percentile))
	}
}
