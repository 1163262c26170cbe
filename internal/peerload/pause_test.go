package peerload

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/peerload/peerloadpb"
)

// silenceOfCalls is the silence of a data centre at which calls to it stop.
const silenceOfCalls = 450 * time.Millisecond

// runFor lets an exchange run for a time, in which it receives nothing.
func runFor(x *Exchange, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(sendInterval) {
		x.pauses.Read(time.Now())
	}
}

// Guards against an instance that takes its own pause for the silence of all others, and refuses calls as isolated.
func TestPauseOfThisProcessIsNoSilenceOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for _, pause := range []time.Duration{250 * time.Millisecond, 600 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
			x := newTestExchangeAmong("me", 2, EntryFanout)
			runFor(x, time.Second)
			x.RecordLoad(&peerloadpb.Load{From: "one", DataCentre: "b", Turns: 1}, time.Now())
			x.RecordLoad(&peerloadpb.Load{From: "two", DataCentre: "c", Turns: 1}, time.Now())
			runFor(x, idleSendInterval)

			time.Sleep(pause)
			is.True(x.DataCentreSilentFor("b") < silenceOfCalls)
			is.True(x.IsolatedFor(nil) < silenceOfCalls)
			is.True(x.ReachableOrUnknown("one", silenceOfCalls))
			_, known := x.Silent("one", silenceOfCalls)
			is.True(!known)
			silent, known := x.SilentDataCentre("b", silenceOfCalls)
			is.True(!silent && !known)
		}
	})
}

// Guards against silence that is never noticed after a pause: nothing arrives once this process runs again.
func TestSilenceAfterAPauseIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		x := newTestExchangeAmong("me", 2, EntryFanout)
		runFor(x, time.Second)
		x.RecordLoad(&peerloadpb.Load{From: "one", DataCentre: "b", Turns: 1}, time.Now())
		x.RecordLoad(&peerloadpb.Load{From: "two", DataCentre: "c", Turns: 1}, time.Now())
		time.Sleep(time.Second)
		is.True(x.DataCentreSilentFor("b") < silenceOfCalls)
		runFor(x, silenceOfCalls)
		is.True(x.DataCentreSilentFor("b") >= silenceOfCalls)
		is.True(x.IsolatedFor(nil) >= silenceOfCalls)
		is.True(!x.ReachableOrUnknown("one", silenceOfCalls))
		silent, known := x.Silent("one", silenceOfCalls)
		is.True(silent && known)
		silent, known = x.SilentDataCentre("b", silenceOfCalls)
		is.True(silent && known)
	})
}
