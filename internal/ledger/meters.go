package ledger

import (
	"github.com/rcrowley/go-metrics"
)

// meters is the log's metrics.
type meters struct {
	entries      metrics.Counter
	records      metrics.Counter
	bytes        metrics.Counter
	batchRecords metrics.Histogram
	// writeTime is in microseconds. It is a histogram because a metrics.Timer starts a goroutine
	// for its rates that never ends.
	writeTime       metrics.Histogram
	readBacks       metrics.Counter
	refused         metrics.Counter
	unknownOutcomes metrics.Counter
	held            metrics.Counter
	compacted       metrics.Counter
}

// histogramSamples is the number of values that a histogram keeps.
const histogramSamples = 1028

func newMeters(r metrics.Registry) meters {
	return meters{
		entries:         metrics.GetOrRegisterCounter("ledger.entries", r),
		records:         metrics.GetOrRegisterCounter("ledger.records", r),
		bytes:           metrics.GetOrRegisterCounter("ledger.bytes", r),
		batchRecords:    metrics.GetOrRegisterHistogram("ledger.batch", r, metrics.NewUniformSample(histogramSamples)),
		writeTime:       metrics.GetOrRegisterHistogram("ledger.write.us", r, metrics.NewUniformSample(histogramSamples)),
		readBacks:       metrics.GetOrRegisterCounter("ledger.settled", r),
		refused:         metrics.GetOrRegisterCounter("ledger.refused", r),
		unknownOutcomes: metrics.GetOrRegisterCounter("ledger.unsettled", r),
		held:            metrics.GetOrRegisterCounter("ledger.held", r),
		compacted:       metrics.GetOrRegisterCounter("ledger.compacted", r),
	}
}

// countCommit counts a batch that was written.
func (m *meters) countCommit(b *batch) {
	m.entries.Inc(1)
	m.records.Inc(int64(len(b.entry.Records)))
	m.bytes.Inc(int64(len(b.value)))
	m.batchRecords.Update(int64(len(b.entry.Records)))
}
