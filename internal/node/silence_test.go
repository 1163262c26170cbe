package node

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/mirror"
	"foxhall/internal/peerload"
	"foxhall/internal/peerload/peerloadpb"
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

// Guards against calls that wait for keepers of a lost data centre for as long as the silence of one
// instance among a thousand takes to show. Its silence as a whole must show within the same time in
// a fleet of any size, to this instance and to keepers that ask it.
func TestKeepersOfASilentDataCentreAreUnreachable(t *testing.T) {
	for _, size := range []int{9, 90, 900} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := newTestNode(t)
			d := mirror.Delta{Kind: mirror.Fleet, Full: true, AsOf: 2}
			for i := range size {
				m := member{Name: fmt.Sprint("i", i), IP: "10.0.0.2", DataCentre: string(rune('a' + i%3)), Entry: true}
				value, err := json.Marshal(m)
				is.NoErr(err)
				d.Entries = append(d.Entries, mirror.Entry{Name: instancePrefix + m.Name, Revision: 2, Value: value})
			}
			n.mirror.Apply(d)
			n.refresh()
			rounds := uint32(size/peerload.EntryFanout + 1)
			n.load.RecordLoad(&peerloadpb.Load{From: "i1", DataCentre: "b", Turns: rounds}, time.Now())
			n.load.RecordLoad(&peerloadpb.Load{From: "i2", DataCentre: "c", Turns: rounds}, time.Now())
			is.True(n.isReachable("i1") && n.isReachable("i2"))
			time.Sleep(partitionTimeout + time.Millisecond)
			n.load.RecordLoad(&peerloadpb.Load{From: "i5", DataCentre: "c", Turns: rounds}, time.Now())
			is.True(!n.isReachable("i1"))
			silent, known := n.isSilent("i1")
			is.True(silent && known)
			is.True(size == 9 || n.isReachable("i2")) // another instance of its data centre was heard
		})
	}
}
