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

// benchPeriod is the period of benchmarks, a tenth of the default. Work is
// reported for each period, so that it reads as work for each second at the
// default period.
const benchPeriod = 100 * time.Millisecond

// benchPeriods is how long a benchmark measures.
const benchPeriods = 50

// settle waits until the changes of n instances' start have been carried as
// often as they are; a quiet fleet is measured.
func awaitQuiet(n int) { time.Sleep(time.Duration(benchPeriods+3*n/2) * benchPeriod) }

// cpu returns the processor time that this process has used.
func cpu() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// benchTimes are the default times with probes on the benchmark's period. The
// probe timeout stays, so that a busy machine does not turn into suspicions.
func benchTiming() Timing {
	times := DefaultTiming()
	times.SuspectTimeout = times.SuspectTimeout * benchPeriod / times.Period
	times.Period = benchPeriod
	return times
}

// startLoopback starts n instances in 5 data centres that speak twirp over
// loopback TCP, and returns their registry.
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

// BenchmarkHeartbeatsLoopback measures an instance's heartbeats over twirp on
// loopback against the number of instances: messages and bytes sent and
// received, headers included, and processor time of both sides.
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
				// Each call's bytes pass two instances: the caller and the called.
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
		for len(r.View().Living("")) < n {
			time.Sleep(benchPeriod)
		}
	}
}

// BenchmarkHeartbeatsMemory measures the protocol alone, with encoded messages
// but without HTTP, up to the size of letter 1.
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

// periodsUntil returns the periods until every running instance holds a member
// in a state. To Leaving, it makes the member announce that first.
func periodsUntil(net *network, member *Runner, state State) float64 {
	started := time.Now()
	if state == Leaving {
		member.Leave(context.Background())
	}
	for _, nd := range net.nodes {
		for nd.stateOf(&node{cohort: member.options.Self}) != state {
			time.Sleep(benchPeriod / 10)
		}
	}
	return float64(time.Since(started)) / float64(benchPeriod)
}

// memoryCopies is the number of tables over which memory is averaged.
const tableCopies = 50

// BenchmarkMemory measures the heap for each member held, views included.
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

// BenchmarkView measures the publishing of a view, once a period and at each
// change of a state.
func BenchmarkView(b *testing.B) {
	table, now := fullTable(370), time.Now()
	b.ReportAllocs()
	for b.Loop() {
		_ = table.View(now)
	}
}
