package lease

import (
	"context"
	"fmt"
	"testing"
	"time"

	"foxhall/internal/program"
	"foxhall/internal/standin"
)

// contenders is the number of instances of a data centre that compete for its
// duties in the benchmark, as membership's View.IsContender limits it.
const contenders = 3

// BenchmarkStoreCalls measures the object API calls per renewal in a data centre
// for several numbers of instances and duties.
func BenchmarkStoreCalls(b *testing.B) {
	const renewals = 20
	for _, instances := range []int{3, 10, 74} {
		for _, duties := range []int{1, 8} {
			b.Run(fmt.Sprintf("instances=%d/duties=%d", instances, duties), func(b *testing.B) {
				for b.Loop() {
					objects := standin.NewStore()
					managers := benchManagers(instances, duties, objects)
					for range renewals {
						for _, m := range managers {
							if err := m.renew(context.Background()); err != nil {
								b.Fatal(err)
							}
						}
					}
					counts := objects.Counts()
					calls := float64(counts.Reads+counts.Writes) / renewals
					b.ReportMetric(calls, "calls/renewal")
					b.ReportMetric(calls/DefaultTiming().Renew.Seconds(), "calls/s")
				}
			})
		}
	}
}

func benchManagers(instances, duties int, objects *standin.Store) []*Manager {
	var managers []*Manager
	for i := range instances {
		m := newTestManager(program.Cohort(fmt.Sprintf("dc.i%d.1", i)), objects)
		m.options.ShouldContend = func() bool { return i < contenders }
		m.options.Duties = nil
		for d := range duties {
			m.options.Duties = append(m.options.Duties, Duty(fmt.Sprintf("duty-%d", d)))
		}
		m.limiter.SetLimit(1e9) // the benchmark renews without pauses
		managers = append(managers, m)
	}
	return managers
}

// BenchmarkHeld measures the check before each action.
func BenchmarkHeld(b *testing.B) {
	m := newTestManager("dc.a.1", standin.NewStore())
	if err := m.renew(context.Background()); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		m.recordTick(time.Now())
		if _, ok := m.Held(EngineOrders); !ok {
			b.StopTimer()
			_ = m.renew(context.Background())
			b.StartTimer()
		}
	}
}
