package membership

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/peer"
	"foxhall/internal/program"
)

// benchPeriod is the protocol's period in benchmarks, a tenth of the default.
// Costs are reported per period, which is per second at the default period.
const benchPeriod = 100 * time.Millisecond

// benchPeriods is the number of periods that a benchmark measures.
const benchPeriods = 50

// awaitQuiet waits until the records of the start of n instances have been sent
// as often as the protocol sends a change, so that a quiet fleet is measured.
func awaitQuiet(n int) { time.Sleep(time.Duration(benchPeriods+3*n/2) * benchPeriod) }

// cpu returns the processor time used by this process.
func cpu() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// benchTiming returns the default timing with the benchmark's period. The probe
// timeout is not scaled, so that a busy machine causes no suspicions.
func benchTiming() Timing {
	times := DefaultTiming()
	times.SuspectTimeout = times.SuspectTimeout * benchPeriod / times.Period
	times.Period = benchPeriod
	return times
}

// startLoopback starts n instances in 5 data centres that use twirp over
// loopback TCP, and returns them with their shared registry of peer metrics.
func startLoopback(b *testing.B, ctx context.Context, n int, wait *sync.WaitGroup) ([]*Runner, metrics.Registry) {
	registry := metrics.NewRegistry()
	var runners []*Runner
	var seed string
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		address := listener.Addr().String()
		client := peer.NewClient("secret", time.Second, registry)
		r := NewRunner(Options{
			Self:      program.Cohort(fmt.Sprintf("dc%d.instance-%03d.abcdefgh", i%5, i)),
			Address:   address,
			Report:    Report{Size: 16, ConfigVersion: 123456, StoreHealthy: true, Load: 500},
			Seeds:     []string{seed},
			Transport: PeerTransport{client},
			Timing:    benchTiming(),
			Seed:      uint64(i),
			Log:       &log.Logger{Handler: discard.New(), Level: log.ErrorLevel},
			Registry:  metrics.NewRegistry(),
		})
		if seed == "" {
			seed = address
		}
		service := peer.NewServer(peer.Handlers{Heartbeats: Service{r}}, "secret", registry)
		server := &http.Server{Handler: service}
		wait.Go(func() { _ = server.Serve(peer.CountListener(listener, registry)) })
		wait.Go(func() {
			_ = r.Run(ctx)
			client.Close()
			_ = server.Close()
		})
		r.Ready()
		runners = append(runners, r)
	}
	return runners, registry
}

// BenchmarkHeartbeatsLoopback measures the heartbeats of one instance over twirp
// on loopback for several fleet sizes: messages and bytes sent and received,
// headers included, and the processor time of both sides.
func BenchmarkHeartbeatsLoopback(b *testing.B) {
	for _, n := range []int{10, 50, 100} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			for range b.N {
				ctx, cancel := context.WithCancel(context.Background())
				var wait sync.WaitGroup
				runners, registry := startLoopback(b, ctx, n, &wait)
				awaitAll(runners, n)
				awaitQuiet(n)
				count := func(name string) int64 { return metrics.GetOrRegisterCounter(name, registry).Count() }
				traffic := func() int64 { return count("peer.client.bytes_in") + count("peer.client.bytes_out") }
				calls, bytes, used := count("peer.client.calls.Ping"), traffic(), cpu()
				time.Sleep(benchPeriods * benchPeriod)
				perInstance := float64(n * benchPeriods)
				b.ReportMetric(float64(count("peer.client.calls.Ping")-calls)/perInstance, "pings/period")
				// The bytes of each call pass through two instances, client and server.
				b.ReportMetric(2*float64(traffic()-bytes)/perInstance, "bytes/period")
				b.ReportMetric(float64((cpu()-used).Microseconds())/perInstance, "cpu_us/period")
				b.ReportMetric(float64(count("peer.client.failures")), "failures")
				var stats runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&stats)
				b.ReportMetric(float64(stats.HeapAlloc+stats.StackInuse)/float64(n), "heap_and_stack_bytes")
				cancel()
				wait.Wait()
			}
		})
	}
}

func awaitAll(runners []*Runner, n int) {
	for _, r := range runners {
		for len(r.View().Available("")) < n {
			time.Sleep(benchPeriod)
		}
	}
}

// BenchmarkHeartbeatsMemory measures the protocol with encoded messages but
// without HTTP, for up to 370 instances.
func BenchmarkHeartbeatsMemory(b *testing.B) {
	for _, n := range []int{10, 50, 100, 370} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			for range b.N {
				net := newNetwork()
				net.timing = benchTiming()
				var runners []*Runner
				for i := range n {
					runners = append(runners, net.start(fmt.Sprintf("dc%d", i%5), fmt.Sprintf("instance-%03d", i), 1).runner)
				}
				awaitAll(runners, n)
				awaitQuiet(n)
				sent, bytes, used := net.totalMessages(), net.totalBytes(), cpu()
				time.Sleep(benchPeriods * benchPeriod)
				perInstance := float64(n * benchPeriods)
				b.ReportMetric(float64(net.totalMessages()-sent)/perInstance, "messages/period")
				b.ReportMetric(2*float64(net.totalBytes()-bytes)/perInstance, "payload_bytes/period")
				b.ReportMetric(float64((cpu()-used).Microseconds())/perInstance, "cpu_us/period")
				b.ReportMetric(periodsUntil(net, runners[0], Leaving), "leave_periods")
				net.nodes["dc1-instance-001"].kill()
				b.ReportMetric(periodsUntil(net, runners[1], Dead), "crash_periods")
				net.stop()
			}
		})
	}
}

// periodsUntil returns the number of periods until every running instance has a
// member in the given state. For Leaving, the member announces its stop first.
func periodsUntil(net *network, member *Runner, state State) float64 {
	started := time.Now()
	if state == Leaving {
		member.AnnounceStop(context.Background())
	}
	for _, nd := range net.nodes {
		for nd.stateOf(&node{cohort: member.options.Self}) != state {
			time.Sleep(benchPeriod / 10)
		}
	}
	return float64(time.Since(started)) / float64(benchPeriod)
}

// tableCopies is the number of tables over which the heap is averaged.
const tableCopies = 50

// BenchmarkMemory measures the heap per member of a table, views included.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{10, 100, 370} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			for range b.N {
				var tables [tableCopies]*Table
				var views [tableCopies]*View
				before := heap()
				for i := range tables {
					tables[i] = fullTable(n)
					views[i] = tables[i].View(time.Now())
				}
				used := int64(heap()) - int64(before)
				b.ReportMetric(float64(used)/float64(n*tableCopies), "bytes/member")
				runtime.KeepAlive(tables)
				runtime.KeepAlive(views)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func fullTable(n int) *Table {
	now := time.Unix(1000, 0)
	table := NewTable("dc0.instance-000.abcdefgh", "10.0.0.1:7000", Report{}, DefaultTiming(), now)
	for i := 1; i < n; i++ {
		cohort := fmt.Sprintf("dc%d.instance-%03d.abcdefgh", i%5, i)
		table.Merge(Record{Cohort: program.Cohort(cohort), Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), State: Live}, now)
	}
	table.Events()
	return table
}

// BenchmarkView measures the building of a view, which happens once a period and
// at each change of a state.
func BenchmarkView(b *testing.B) {
	table, now := fullTable(370), time.Now()
	b.ReportAllocs()
	for b.Loop() {
		_ = table.View(now)
	}
}
