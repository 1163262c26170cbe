package joined

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/load"
	"foxhall/internal/standin"
	"foxhall/internal/step"
)

// callsInB returns the number of calls received by the oak engines of data centre b.
func (w *world) callsInB() int64 {
	return w.engines["b-fast"].Counts().Calls + w.engines["b-slow"].Counts().Calls
}

// Guards against programs that fail when all engines for their model in one data centre are down.
// Calls stay in data centre a while its engines work. When they are down, the instances of a must ask
// b for its load and send calls there, as the usage list allows, and every program must finish.
func TestOtherDataCentreServesWhenEnginesAreDown(t *testing.T) {
	is := is.New(t)
	o := newOracle()
	var callsBefore, callsAfter int64
	synctest.Test(t, func(t *testing.T) {
		w, err := newWorld()
		is.NoErr(err)
		for _, s := range dataCentres {
			for n := range s.instances {
				is.NoErr(w.start(s.dataCentre, n+1))
			}
		}
		time.Sleep(15 * time.Second)
		targets := []string{"http://" + callersAddress("a", 1), "http://" + callersAddress("a", 2)}
		runPrograms := func(first int) {
			var callers sync.WaitGroup
			for id := range 6 {
				callers.Go(func() {
					client := load.NewClientWithDialer(w.network.Host("caller").DialContext, targets, kerlouanKey)
					defer client.Close()
					(&agent{oracle: o, client: client, model: "oak"}).run(context.Background(), first+id, 3)
				})
			}
			callers.Wait()
		}
		runPrograms(0)
		callsBefore = w.callsInB()
		for _, name := range []string{"a-fast", "a-slow"} {
			w.engines[name].SetFaults(standin.EngineFaults{Down: true})
		}
		runPrograms(10)
		callsAfter = w.callsInB()
		w.clearFaults()
		w.close()
	})
	is.Equal(callsBefore, int64(0))
	is.True(callsAfter > 0)
	is.Equal(o.unfinished, map[step.Code]int{})
	is.Equal(o.finished, o.programs)
	is.Equal(len(o.violations), 0)
}
