package origin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func twoVersions() map[string]int { return map[string]int{"v1": 3, "v2": 3} }

// Guards against streams that are refused although their version is known: the instance that began them was
// killed a moment later, cut off, or has restarted.
func TestVersionIsFoundWithoutTheInstanceThatBeganTheStream(t *testing.T) {
	is := is.New(t)
	for name, lose := range map[string]func(n *testInstance){
		"killed":          func(n *testInstance) { n.world.set(func() { n.down = true }) },
		"cut off":         func(n *testInstance) { n.world.set(func() { n.cut = true }) },
		"restarted empty": (*testInstance).start,
	} {
		inWorld(t, 6, twoVersions(), func(w *world) {
			n := w.instances[0]
			s := n.begin(name, "v2")
			time.Sleep(2 * worldDelay)
			lose(n)
			got := w.other(n, s).resume(s)
			is.Equal(got, Resolution{Source: Told, Version: "v2", Answers: got.Answers})
		})
	}
}

// Guards against streams that are refused because some of those that hold their records are gone, and against
// a guess when all of them are.
func TestHoldersThatAreGone(t *testing.T) {
	is := is.New(t)
	for gone := range 4 {
		inWorld(t, 6, twoVersions(), func(w *world) {
			s := w.instances[0].begin("s", "v1")
			time.Sleep(2 * worldDelay)
			w.instances[0].start()
			other := w.other(w.instances[0], s)
			for _, holder := range w.holders(s.key())[:gone] {
				w.set(func() { holder.down = true })
			}
			got := other.resume(s)
			is.Equal(got.Found(), gone < 3)
			if gone == 3 {
				is.Equal(got.Source, Unanswered)
			}
		})
	}
}

// Guards against streams that are refused, or go on at another version, after all instances that take calls have
// lost their records at once, while keepers have theirs.
func TestKeepersRememberWhatAllInstancesHaveLost(t *testing.T) {
	is := is.New(t)
	inWorld(t, 6, twoVersions(), func(w *world) {
		w.addKeepers(3)
		s := w.instances[0].begin("s", "v2")
		time.Sleep(2 * worldDelay)
		w.restartAll()
		for _, n := range w.instances {
			is.Equal(n.resume(s).Source, Told)
		}
		for _, keeper := range w.keepers {
			keeper.start()
		}
		is.Equal(w.instances[1].resume(s).Source, Unknown)
	})
}

// Guards against streams that are refused after all instances that take calls have restarted at once, although one
// version alone has served in the sight of the keepers.
func TestKeepersVouchForTheSoleVersion(t *testing.T) {
	is := is.New(t)
	inWorld(t, 6, map[string]int{"v1": 3}, func(w *world) {
		w.addKeepers(3)
		time.Sleep(2 * worldLife)
		s := w.instances[0].begin("s", "v1")
		w.restartAll()
		for _, n := range w.instances {
			is.Equal(n.resume(s).Source, Sole)
		}
		w.set(func() { w.keepers[0].down, w.keepers[1].down = true, true })
		is.True(!w.instances[0].resume(s).Found()) // one keeper doesn't decide alone
	})
}

// Guards against a guess by the instances and keepers of one failure domain that is cut off from the others, in
// which the stream may have begun at a new version.
func TestOneDomainDoesNotDecideAlone(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, rand.New(rand.NewPCG(1, 2)), 6, map[string]int{"v1": 3})
		w.domains = 3
		w.addKeepers(3)
		time.Sleep(2 * worldLife)
		for number := range 30 {
			s := testStream{call: callNumber(number), version: "v1"}
			for _, n := range w.all() {
				w.set(func() { n.down = n.domain() != "0" })
			}
			is.True(!w.instances[0].resume(s).Found())
			w.set(func() {
				for _, n := range w.all() {
					n.down = false
				}
			})
			is.Equal(w.instances[0].resume(s).Source, Sole)
		}
	})
}

// Guards against streams that go on at another version because their records were lost, and nobody knows.
func TestStreamWithoutARecordIsNotGuessed(t *testing.T) {
	is := is.New(t)
	inWorld(t, 6, twoVersions(), func(w *world) {
		w.set(func() { w.loss = 1 })
		s := w.instances[0].begin("s", "v1")
		w.set(func() { w.loss = 0 })
		is.Equal(w.other(w.instances[0], s).resume(s).Source, Unknown)
	})
}

// Guards against streams that are refused, or told of, while one version alone serves.
func TestSoleVersionNeedsNoRecord(t *testing.T) {
	is := is.New(t)
	inWorld(t, 6, map[string]int{"v1": 3}, func(w *world) {
		s := w.instances[0].begin("s", "v1")
		is.Equal(w.instances[0].registry.told.Count(), int64(0))
		got := w.other(w.instances[0], s).resume(s)
		is.Equal(got.Source, Sole)
		is.True(got.Answers >= minAgreeing)
		w.instances[1].start() // knows nothing of the time before
		w.instances[1].begin("s2", "v1")
		is.Equal(w.instances[1].registry.told.Count() > 0, true)
	})
}

// Guards against streams that were begun while one version served and can't go on once another one comes.
func TestStreamsAreToldWhenASecondVersionComes(t *testing.T) {
	is := is.New(t)
	inWorld(t, 6, map[string]int{"v1": 3}, func(w *world) {
		s := w.instances[0].begin("s", "v1")
		w.change("v1", "v2")
		time.Sleep(worldViewLag + 2*worldDelay)
		w.instances[0].start()
		is.Equal(w.other(w.instances[0], s).resume(s).Source, Told)
	})
}

// Guards against a guess by an instance whose view is old, or that was cut off with some of the holders: a
// version that it has not seen may have begun the stream.
func TestOldViewVouchesForNothing(t *testing.T) {
	is := is.New(t)
	inWorld(t, 6, map[string]int{"v1": 3}, func(w *world) {
		s := testStream{call: "s", version: "v2", began: time.Now()}
		for _, n := range w.instances {
			w.set(func() { n.staleSince = time.Now() })
		}
		w.change("", "v2")
		time.Sleep(MaxViewAge + time.Millisecond)
		is.True(!w.other(w.instances[0], s).resume(s).Found())
	})
	inWorld(t, 6, map[string]int{"v1": 3}, func(w *world) {
		s := testStream{call: "s", version: "v2", began: time.Now()}
		for _, holder := range w.holders(s.key())[1:] {
			w.set(func() { holder.cut = true })
		}
		is.Equal(w.other(w.instances[0], s).resume(s).Source, Unanswered)
	})
}

// Guards against a version that is gone and comes back, or was there for a moment, and counts as never seen.
func TestVersionThatCameAndWentMayHaveBegunTheStream(t *testing.T) {
	is := is.New(t)
	inWorld(t, 6, map[string]int{"v1": 3}, func(w *world) {
		w.change("", "v2")
		time.Sleep(worldViewLag)
		s := testStream{call: "s", version: "v2", began: time.Now()}
		w.change("v2", "")
		time.Sleep(worldViewLag)
		is.Equal(w.instances[0].resume(s).Source, Unknown)
		time.Sleep(worldLife)
		s.version = "v1"
		is.Equal(w.instances[0].resume(s).Source, Sole)
	})
}

// Guards against IDs that callers choose: one that never was, another customer's, an empty or a huge one, and
// two streams under one ID.
func TestNamesThatCallersChoose(t *testing.T) {
	is := is.New(t)
	inWorld(t, 6, twoVersions(), func(w *world) {
		n := w.instances[0]
		s := n.begin("s", "v1")
		time.Sleep(2 * worldDelay)
		resolve := func(customer, call string) Source {
			return n.registry.Resolve(context.Background(), Stream{Service: worldService, Customer: customer, Call: call, Life: worldLife}).Source
		}
		is.Equal(resolve("customer", "never"), Unknown)
		is.Equal(resolve("other", s.call), Unknown)
		is.Equal(resolve("customer", ""), Unknown)
		is.Equal(resolve("customer", fmt.Sprintf("%10000d", 1)), Unknown)
		is.Equal(resolve("customer", s.call), Own)
		w.instances[1].registry.Began(s.stream(), "v2")
		time.Sleep(2 * worldDelay)
		is.Equal(w.other(n, s).registry.Resolve(context.Background(), s.stream()).Source, Contradicted)
	})
}

// Guards against searches and records that stay for ever.
func TestNothingIsKeptOfEndedStreams(t *testing.T) {
	is := is.New(t)
	inWorld(t, 4, twoVersions(), func(w *world) {
		for i := range 100 {
			w.instances[i%4].begin(callNumber(i), "v1")
			w.instances[(i+1)%4].resume(testStream{call: callNumber(1000 + i)})
		}
		time.Sleep(2 * worldLife)
		for _, n := range w.instances {
			n.begin("last", "v1")
			is.True(n.registry.Len() <= 2)
			is.Equal(len(n.registry.waiting), 0)
		}
	})
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// Guards against memory that grows with the streams of a flood.
func TestRecordsAreBounded(t *testing.T) {
	is := is.New(t)
	inWorld(t, 1, twoVersions(), func(w *world) {
		n := w.instances[0]
		before := heapBytes()
		defer func() {
			t.Logf("%d bytes a record", (heapBytes()-before)/maxRecords)
			is.True(n.registry.Len() > 0)
		}()
		for i := range maxRecords + 10 {
			n.begin(callNumber(i), "v1")
		}
		is.Equal(n.registry.Len(), maxRecords)
		is.Equal(n.registry.evicted.Count(), int64(10))
		is.Equal(n.resume(testStream{call: callNumber(maxRecords), version: "v1"}).Source, Own)
	})
}

// Guards against a holder that counts as one without a record after a pause of its process, in which it missed it.
func TestPausedHolderMayHaveMissedRecords(t *testing.T) {
	is := is.New(t)
	inWorld(t, 3, map[string]int{"v1": 3}, func(w *world) {
		registry := w.instances[0].registry
		q := Question{Key: 1, Service: worldService, Life: worldLife}
		is.True(registry.Answer(q).Listened)
		registry.ResetAfterPause()
		is.True(!registry.Answer(q).Listened)
		time.Sleep(listenedFor)
		is.True(registry.Answer(q).Listened)
	})
}

// Guards against operators who don't learn for how long several versions served.
func TestTransitionsOfVersions(t *testing.T) {
	is := is.New(t)
	v, now := NewVersions(), time.Now()
	replace := func(before, after string) Transition {
		var gone, come *Replica
		if before != "" {
			gone = &Replica{Service: worldService, Version: before}
		}
		if after != "" {
			come = &Replica{Service: worldService, Version: after}
		}
		now = now.Add(time.Second)
		got, _ := v.Replace(gone, come, now)
		return got
	}
	is.Equal(replace("", "v1"), Transition{})
	is.Equal(replace("", "v2"), Transition{Service: worldService, Mixed: true})
	is.Equal(replace("", "v3"), Transition{})
	is.Equal(replace("v2", "v1"), Transition{})
	is.Equal(replace("v3", ""), Transition{Service: worldService, Lasted: 3 * time.Second})
	is.Equal(replace("v1", "v1"), Transition{})
}

// Guards against streams that are refused while one version serves because the holders of their records, which
// they need not have, have started lately.
func TestRestartedHoldersLetTheSoleVersionGoOn(t *testing.T) {
	is := is.New(t)
	inWorld(t, 6, map[string]int{"v1": 3}, func(w *world) {
		s := w.instances[0].begin("s", "v1")
		other := w.other(w.instances[0], s)
		for _, holder := range w.holders(s.key())[1:] {
			holder.start()
		}
		is.True(!other.resume(s).Found()) // they may have lost the record of a version that others don't see yet
		time.Sleep(listenedFor)
		is.Equal(other.resume(s).Source, Sole)
	})
}
