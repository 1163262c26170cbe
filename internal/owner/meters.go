package owner

import (
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/step"
)

type meters struct {
	done, notRun, unknown         metrics.Counter
	joined, replayed              metrics.Counter
	programs, stalled, unresolved metrics.Gauge
	expired, ended, recovered     metrics.Counter
	broken                        metrics.Counter
}

func newMeters(r metrics.Registry) meters {
	return meters{
		done:       metrics.GetOrRegisterCounter("owner.steps.done", r),
		notRun:     metrics.GetOrRegisterCounter("owner.steps.not_run", r),
		unknown:    metrics.GetOrRegisterCounter("owner.steps.unknown", r),
		joined:     metrics.GetOrRegisterCounter("owner.steps.joined", r),
		replayed:   metrics.GetOrRegisterCounter("owner.steps.replayed", r),
		programs:   metrics.GetOrRegisterGauge("owner.programs", r),
		stalled:    metrics.GetOrRegisterGauge("owner.programs.stalled", r),
		unresolved: metrics.GetOrRegisterGauge("owner.steps.unresolved", r),
		expired:    metrics.GetOrRegisterCounter("owner.programs.expired", r),
		ended:      metrics.GetOrRegisterCounter("owner.programs.ended", r),
		recovered:  metrics.GetOrRegisterCounter("owner.programs.adopted", r),
		broken:     metrics.GetOrRegisterCounter("owner.programs.broken", r),
	}
}

func (m *meters) count(r step.Result) {
	switch r.Outcome {
	case step.Done:
		m.done.Inc(1)
	case step.NotRun:
		m.notRun.Inc(1)
	default:
		m.unknown.Inc(1)
	}
}
