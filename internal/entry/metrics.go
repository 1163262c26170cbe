package entry

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// quantiles are the quantiles that are reported for each timer and histogram.
var quantiles = []float64{0.5, 0.95, 0.99}

// writeMetrics writes the registry in the Prometheus text format, one metric family for each metric.
func writeMetrics(w io.Writer, registry metrics.Registry) {
	all := map[string]any{}
	registry.Each(func(name string, metric any) { all[name] = metric })
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		writeMetric(w, "foxhall_"+strings.NewReplacer(".", "_", "-", "_").Replace(name), all[name])
	}
}

func writeMetric(w io.Writer, name string, metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		fmt.Fprintf(w, "# TYPE %s counter\n%s %d\n", name, name, m.Count())
	case metrics.Gauge:
		fmt.Fprintf(w, "# TYPE %s gauge\n%s %d\n", name, name, m.Value())
	case metrics.GaugeFloat64:
		fmt.Fprintf(w, "# TYPE %s gauge\n%s %g\n", name, name, m.Value())
	case metrics.Meter:
		fmt.Fprintf(w, "# TYPE %s counter\n%s %d\n", name, name, m.Count())
	case metrics.Timer:
		t := m.Snapshot()
		writeSummary(w, name+"_seconds", t.Percentiles(quantiles), 1e-9, t.Count())
	case metrics.Histogram:
		h := m.Snapshot()
		writeSummary(w, name, h.Percentiles(quantiles), 1, h.Count())
	}
}

// writeSummary writes the quantiles' values, multiplied by scale, and the count.
func writeSummary(w io.Writer, name string, values []float64, scale float64, count int64) {
	fmt.Fprintf(w, "# TYPE %s summary\n", name)
	for i, q := range quantiles {
		fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, q, values[i]*scale)
	}
	fmt.Fprintf(w, "%s_count %d\n", name, count)
}
