package instance

import (
	"bufio"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"foxhall/internal/entry"
)

// shortTokens and longTokens are the lengths of the responses. The difference of their costs
// excludes the fixed cost of a call.
const (
	shortTokens = 16
	longTokens  = 528
	// streamTokensPerSecond is low enough that nearly every token arrives in a chunk of its own.
	streamTokensPerSecond = 2000
)

// streamCost is the cost of a series of calls: the chunks and bytes that the caller received, and
// the allocations, allocated bytes and CPU time in µs of the process meanwhile.
type streamCost struct{ chunks, receivedBytes, allocations, allocatedBytes, cpuMicros float64 }

func (c streamCost) plus(other streamCost) streamCost { return c.minus(streamCost{}.minus(other)) }

func (c streamCost) minus(other streamCost) streamCost {
	return streamCost{c.chunks - other.chunks, c.receivedBytes - other.receivedBytes, c.allocations - other.allocations, c.allocatedBytes - other.allocatedBytes, c.cpuMicros - other.cpuMicros}
}

// cpuTime returns the CPU time that the process has used, user and system.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func measureStream(b *testing.B, client *http.Client, url string, tokens, calls int) streamCost {
	b.Helper()
	var cost streamCost
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := cpuTime()
	for range calls {
		body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"a short question"}]}`, tokens)
		req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+benchKey)
		req.Header.Set(entry.HeaderProgram, entry.NewProgram)
		resp, err := client.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		scanner := bufio.NewScanner(resp.Body)
		for scanner.Scan() {
			cost.receivedBytes += float64(len(scanner.Bytes()) + 1)
			if strings.HasPrefix(scanner.Text(), "data: {") {
				cost.chunks++
			}
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK || scanner.Err() != nil {
			b.Fatalf("status %s, %v", resp.Status, scanner.Err())
		}
	}
	cost.cpuMicros = (cpuTime() - start).Seconds() * 1e6
	runtime.ReadMemStats(&after)
	cost.allocations = float64(after.Mallocs - before.Mallocs)
	cost.allocatedBytes = float64(after.TotalAlloc - before.TotalAlloc)
	return cost
}

// BenchmarkStreamedToken reports what a streamed token costs an instance. The cost of a token is
// the difference between long and short responses. The cost to the instance is the difference
// between responses through an instance and directly from the engine: caller, engine and instance
// share the process, and this difference excludes the first two. The engine sends one token in a
// chunk. The figure includes what is retained of the turn for its log entry.
func BenchmarkStreamedToken(b *testing.B) {
	setup := startBench(b, streamTokensPerSecond)
	defer setup.stop()
	client := &http.Client{}
	for _, url := range []string{setup.engine, setup.instance} {
		measureStream(b, client, url, longTokens, 1)
	}
	var direct, relayed streamCost
	const calls = 4
	rounds := 0
	for b.Loop() {
		rounds++
		d := measureStream(b, client, setup.engine, longTokens, calls).minus(measureStream(b, client, setup.engine, shortTokens, calls))
		t := measureStream(b, client, setup.instance, longTokens, calls).minus(measureStream(b, client, setup.instance, shortTokens, calls))
		direct, relayed = direct.plus(d), relayed.plus(t)
	}
	tokens := float64(rounds * calls * (longTokens - shortTokens))
	b.ReportMetric(relayed.chunks/tokens, "chunks/token")
	b.ReportMetric(relayed.receivedBytes/tokens, "caller-B/token")
	b.ReportMetric(direct.receivedBytes/tokens, "engine-B/token")
	b.ReportMetric((relayed.cpuMicros-direct.cpuMicros)/tokens, "own-cpu-µs/token")
	b.ReportMetric(direct.cpuMicros/tokens, "direct-cpu-µs/token")
	b.ReportMetric((relayed.allocations-direct.allocations)/tokens, "own-allocs/token")
	b.ReportMetric((relayed.allocatedBytes-direct.allocatedBytes)/tokens, "own-alloc-B/token")
}
