package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Without a notification, a call to a data centre behind a network partition waits until its
// connection times out. The call must be notified once when the data centre becomes unresponsive,
// and not if it has its response by then.
func TestSilenceCallbacksRunOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSilenceMonitor()
		called := map[string]int{}
		s.onSilence("cut", func() { called["waits"]++ })
		stop := s.onSilence("cut", func() { called["answered"]++ })
		s.onSilence("there", func() { called["elsewhere"]++ })
		stop()
		silent := func(source string) bool { return source == "cut" }
		s.check(silent)
		s.check(silent)
		is.Equal(called, map[string]int{"waits": 1})
		time.Sleep(silenceCheckInterval)
	})
}

// Operators must be able to see from the log when an instance considered a data centre
// unresponsive: one line at the beginning and one at the end, not one for each check.
func TestSilenceOfADataCentreIsLoggedAtItsBeginningAndEnd(t *testing.T) {
	is := is.New(t)
	s, now := silentSince{}, time.Now()
	observe := func(silence time.Duration, after time.Duration) string {
		began, ended, since := s.update("dc", silence, now.Add(after))
		switch {
		case began:
			return "fell " + now.Add(after).Sub(since).String()
		case ended:
			return "back " + now.Add(after).Sub(since).String()
		}
		return ""
	}
	is.Equal(observe(partitionTimeout, 0), "")
	is.Equal(observe(500*time.Millisecond, 0), "fell 500ms")
	is.Equal(observe(time.Second, 500*time.Millisecond), "")
	is.Equal(observe(0, time.Second), "back 1.5s")
	is.Equal(observe(0, 2*time.Second), "")
	is.Equal(observe(time.Second, 3*time.Second), "fell 1s")
}
