package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// instancesWithQuotas is the number of instances of the largest deployment with quotas.
	instancesWithQuotas = 71
	// settledAfterRestart is how long after the start of all instances nobody is refused below the quota any more:
	// one window, and the reports of the instances before and after it.
	settledAfterRestart = 7 * time.Second
)

// restartAll ends all instances at once, and has them start again over a span of time.
func (w *quotaWorld) restartAll(down, span time.Duration) {
	for n, i := range w.instances {
		w.kill(i, down+span*time.Duration(n)/time.Duration(len(w.instances)))
	}
	w.run(down + span)
}

// Guards against customers that are refused below their quotas for longer than one window after a restart of all
// instances, which have forgotten the calls before it.
func TestRestartOfAllInstancesRefusesNobodyForLong(t *testing.T) {
	for _, span := range []time.Duration{0, 3 * time.Second} {
		for _, demand := range []float64{0.3, 0.8} {
			t.Run(fmt.Sprintf("starts over %v, demand %v", span, demand), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				w := newQuotaWorld(7, instancesWithQuotas, newReporting)
				addCustomers(w, demand)
				w.run(5 * time.Second)
				w.restartAll(time.Second, span)
				w.run(settledAfterRestart)
				w.resetCounts()
				w.run(8 * time.Second)
				all, worst := w.lossFractions()
				t.Logf("refused %d of %d calls; lost %.4f of those within the quotas, worst customer %.3f", total(w.refused), total(w.offered), all, worst)
				is.True(all <= maxLoss)
			})
		}
	}
}
