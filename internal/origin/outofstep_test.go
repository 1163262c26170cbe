package origin

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newVersionOutOfSight lists a version that one instance alone sees so far, begins a stream at it there and loses the
// record on its way to all holders.
func newVersionOutOfSight(w *world, sees *testInstance) testStream {
	w.set(func() {
		sees.cutTo = map[*testInstance]bool{}
		for _, n := range w.all() {
			if n != sees {
				n.stopFollowing()
				sees.cutTo[n] = true
			}
		}
	})
	w.change("", "v2")
	time.Sleep(worldViewLag)
	s := sees.begin("s", "v2")
	time.Sleep(2 * worldDelay)
	return s
}

// Guards against a stream that began at a version listed moments before and goes on at the old one, since all that
// answer were cut off from the store meanwhile, and its record reached none of them.
func TestInstanceCutOffWhileAVersionJoinsDoesNotGuess(t *testing.T) {
	is := is.New(t)
	inWorld(t, 6, map[string]int{"v1": 3}, func(w *world) {
		w.addKeepers(3)
		time.Sleep(2 * worldLife)
		s := newVersionOutOfSight(w, w.instances[0])
		other := w.other(w.instances[0], s)
		is.True(!other.resume(s).Found())
		w.set(other.followAgain)
		is.True(!other.resume(s).Found())
		time.Sleep(worldResumption)
		is.Equal(other.resume(s).Source, Unknown) // it sees both versions
	})
}

// Guards against the same at an instance that stood still, finds the call waiting and reads the store afterwards.
func TestInstanceThatStoodStillWhileAVersionJoinedDoesNotGuess(t *testing.T) {
	is := is.New(t)
	inWorld(t, 6, map[string]int{"v1": 3}, func(w *world) {
		w.addKeepers(3)
		time.Sleep(2 * worldLife)
		s := testStream{call: "s"}
		other := w.other(w.instances[0], s)
		other.pause()
		s = newVersionOutOfSight(w, w.instances[0])
		other.resumeProcess()
		is.True(!other.resume(s).Found())
	})
}

// Guards against a stream of a version that came and went while an instance stood still and the store dropped the
// history of it: the list of replicas, newer than the call, shows one version.
func TestVersionThatCameAndWentDuringAPauseIsNotForgotten(t *testing.T) {
	is := is.New(t)
	inWorld(t, 6, map[string]int{"v1": 3}, func(w *world) {
		w.addKeepers(3)
		time.Sleep(2 * worldLife)
		s := testStream{call: "s", version: "v2"}
		for _, n := range w.all() {
			n.pause()
			w.set(func() { n.loses = true })
		}
		w.change("", "v2")
		w.change("v2", "")
		time.Sleep(time.Second)
		for _, n := range w.all() {
			n.resumeProcess()
		}
		time.Sleep(worldCheck)
		for _, n := range w.instances {
			is.True(!n.resume(s).Found())
		}
	})
}

// Guards against a stream of which the caller names no call, and that goes on by a view that is older than the call, or is
// refused although the view was renewed.
func TestStreamWithoutANameNeedsANewView(t *testing.T) {
	is := is.New(t)
	inWorld(t, 6, map[string]int{"v1": 3}, func(w *world) {
		unnamed := Stream{Service: worldService, Customer: "customer", Life: worldLife}
		n := w.instances[0]
		n.start()
		is.Equal(n.registry.Resolve(context.Background(), unnamed).Source, Sole)
		w.set(n.stopFollowing)
		w.change("", "v2")
		is.Equal(n.registry.Resolve(context.Background(), unnamed).Source, Unproven)
		w.set(n.followAgain)
		time.Sleep(worldResumption)
		is.Equal(n.registry.Resolve(context.Background(), unnamed).Source, Unknown)
	})
}

// Guards against the same where others vouch by views that are older than the end of the pause: nobody has seen the time
// between.
func TestViewsThatDoNotMeetProveNothing(t *testing.T) {
	is := is.New(t)
	inWorld(t, 6, map[string]int{"v1": 3}, func(w *world) {
		w.addKeepers(3)
		time.Sleep(2 * worldLife)
		s := testStream{call: "s", version: "v2"}
		other := w.other(w.instances[0], s)
		other.pause()
		for _, n := range w.all() {
			w.set(n.stopFollowing)
		}
		w.change("", "v2")
		w.change("v2", "")
		time.Sleep(worldViewLag)
		w.set(func() { other.loses = true })
		other.resumeProcess()
		time.Sleep(2 * worldResumption)
		is.True(!other.resume(s).Found())
		for _, n := range w.all() {
			w.set(n.followAgain)
		}
		time.Sleep(2 * worldResumption)
		is.Equal(other.resume(s).Source, Unknown) // the others have read the history
	})
}

// Guards against callers who are refused at an instance that restarted, or stood still, while others have seen that
// one version alone serves: they renew their view if it is older than that of the instance.
func TestOthersCoverTheTimeThatAnInstanceHasNotSeen(t *testing.T) {
	is := is.New(t)
	inWorld(t, 6, map[string]int{"v1": 3}, func(w *world) {
		w.addKeepers(3)
		time.Sleep(2 * worldLife)
		s := testStream{call: "s", version: "v1"}
		other := w.other(w.instances[0], s)
		other.start()
		is.Equal(other.resume(s).Source, Sole)
		other.pause()
		w.set(func() { other.loses = true })
		time.Sleep(time.Second)
		other.resumeProcess()
		time.Sleep(worldResumption)
		is.Equal(other.resume(s).Source, Sole)
	})
}

// Guards against a stream that is refused for good since its version is gone, as an instance sees it whose view is older
// than the version: its replicas joined a moment ago.
func TestVersionThatTheViewLacksIsNotGoneYet(t *testing.T) {
	is := is.New(t)
	inWorld(t, 6, map[string]int{"v1": 3}, func(w *world) {
		sees := w.instances[0]
		other := w.other(sees, testStream{call: "s"})
		w.set(other.stopFollowing)
		w.change("", "v2")
		time.Sleep(worldViewLag)
		s := sees.begin("s", "v2")
		time.Sleep(2 * worldDelay)
		is.Equal(other.resume(s).Source, Unproven) // it can't read the list
		w.set(other.followAgain)
		is.True(!other.versions.Serves(worldService, "v2"))
		time.Sleep(worldResumption)
		is.Equal(other.resume(s).Source, Told)
		is.True(other.versions.Serves(worldService, "v2"))
		w.change("v2", "")
		time.Sleep(worldViewLag)
		is.Equal(other.resume(s).Source, Told) // gone indeed
	})
}

// Guards against a stream that is refused for good although its record is on its way: it began while one version served, and
// those that hold its record answered before a second one came, which the view shows that is waited for.
func TestRecordsThatAreToldWhileAViewIsAwaited(t *testing.T) {
	is := is.New(t)
	inWorld(t, 6, map[string]int{"v1": 3}, func(w *world) {
		s := w.instances[0].begin("s", "v1")
		other := w.other(w.instances[0], s)
		w.set(func() {
			for _, n := range w.all() {
				n.stopFollowing()
			}
		})
		w.change("", "v2")
		time.Sleep(worldViewLag)
		time.AfterFunc(3*worldDelay, func() { w.set(other.followAgain) })
		is.Equal(other.resume(s).Source, Unanswered)
		w.set(w.instances[0].followAgain)
		time.Sleep(2 * worldResumption)
		is.Equal(other.resume(s).Source, Told)
	})
}

// Guards against reads of the store for streams that have a record.
func TestRecordedStreamsNeedNoRead(t *testing.T) {
	is := is.New(t)
	inWorld(t, 6, map[string]int{"v1": 3}, func(w *world) {
		w.instances[0].start() // tells its records
		for i := range 20 {
			s := w.instances[0].begin(callNumber(i), "v1")
			time.Sleep(2 * worldDelay)
			other := w.other(w.instances[0], s)
			before := other.renewals
			is.Equal(other.resume(s).Source, Told)
			is.Equal(other.renewals, before)
		}
	})
}
