package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strconv"

	"github.com/rcrowley/go-metrics"
)

const (
	// metricsPort is the TCP port that serves counters and histograms.
	metricsPort = 9464
	metricsPath = "/metrics"
)

// quantiles are the quantiles reported for each histogram.
var quantiles = []float64{0.5, 0.9, 0.99}

// serveMetrics serves the registry as text with one name and value on each line.
func (n *Node) serveMetrics(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc(metricsPath, func(w http.ResponseWriter, _ *http.Request) {
		metrics.GetOrRegisterGauge("process.goroutines", n.registry).Update(int64(runtime.NumGoroutine()))
		n.registry.Each(func(name string, metric any) { writeMetric(w, name, metric) })
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxInternalHeaderBytes}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	return n.listen(ctx, server, net.JoinHostPort(n.settings.IP, strconv.Itoa(metricsPort)))
}

func writeMetric(w http.ResponseWriter, name string, metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		fmt.Fprintf(w, "%s %d\n", name, m.Count())
	case metrics.Gauge:
		fmt.Fprintf(w, "%s %d\n", name, m.Value())
	case metrics.Histogram:
		s := m.Snapshot()
		fmt.Fprintf(w, "%s.count %d\n", name, s.Count())
		for i, v := range s.Percentiles(quantiles) {
			fmt.Fprintf(w, "%s.p%g %.0f\n", name, 100*quantiles[i], v)
		}
	}
}
