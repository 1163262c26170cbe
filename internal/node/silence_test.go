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

// Operators can't tell when an instance took a data centre for silent, or find a line for each
// look at it.
func TestSilenceOfADataCentreIsToldAsItBeginsAndEnds(t *testing.T) {
	is := is.New(t)
	s, now := silentSince{}, time.Now()
	told := func(silence time.Duration, after time.Duration) string {
		fell, back, since := s.note("dc", silence, now.Add(after))
		switch {
		case fell:
			return "fell " + now.Add(after).Sub(since).String()
		case back:
			return "back " + now.Add(after).Sub(since).String()
		}
		return ""
	}
	is.Equal(told(cutAfter, 0), "")
	is.Equal(told(500*time.Millisecond, 0), "fell 500ms")
	is.Equal(told(time.Second, 500*time.Millisecond), "")
	is.Equal(told(0, time.Second), "back 1.5s")
	is.Equal(told(0, 2*time.Second), "")
	is.Equal(told(time.Second, 3*time.Second), "fell 1s")
}
