package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A call waits for an answer from a data centre that is cut off until its connection
// gives up. It must be told as the data centre falls silent, once, and not where it
// has its answer by then.
func TestThoseThatWaitAreToldOfSilenceOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSilences()
		told := map[string]int{}
		s.when("cut", func() { told["waits"]++ })
		stop := s.when("cut", func() { told["answered"]++ })
		s.when("there", func() { told["elsewhere"]++ })
		stop()
		silent := func(place string) bool { return place == "cut" }
		s.look(silent)
		s.look(silent)
		is.Equal(told, map[string]int{"waits": 1})
		time.Sleep(silenceEvery)
	})
}
