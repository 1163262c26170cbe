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
// duties in the benchmark, as View.Contends lets through.
const contenders = 3

// BenchmarkStoreCalls counts the calls on the object API for each renewal of a
// data centre, against its instances and against its duties.
func BenchmarkStoreCalls(b *testing.B) {
	const renewals = 20
	for _, instances := range []int{3, 10, 74} {
		for _, duties := range []int{1, 8} {
			b.Run(fmt.Sprintf("instances=%d/duties=%d", instances, duties), func(b *testing.B) {
				for b.Loop() {
					objects := standin.NewStore()
					keepers := benchManagers(instances, duties, objects)
					for range renewals {
						for _, k := range keepers {
							if err := k.renew(context.Background()); err != nil {
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
	var keepers []*Manager
	for i := range instances {
		k := newTestManager(program.Cohort(fmt.Sprintf("dc.i%d.1", i)), objects)
		k.options.ShouldContend = func() bool { return i < contenders }
		k.options.Duties = nil
		for d := range duties {
			k.options.Duties = append(k.options.Duties, Duty(fmt.Sprintf("duty-%d", d)))
		}
		k.limiter.SetLimit(1e9) // renewals follow each other without pause here
		keepers = append(keepers, k)
	}
	return keepers
}

// BenchmarkHeld measures the check before each act.
func BenchmarkHeld(b *testing.B) {
	k := newTestManager("dc.a.1", standin.NewStore())
	if err := k.renew(context.Background()); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		k.recordTick(time.Now())
		if _, ok := k.Held(EngineOrders); !ok {
			b.StopTimer()
			_ = k.renew(context.Background())
			b.StartTimer()
		}
	}
}
