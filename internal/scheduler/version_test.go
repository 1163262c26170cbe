package scheduler

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/usage"
)

func versionedEngine(name, version string, slots int) usage.Upstream {
	u := engineAt(name, "a", slots)
	u.Version = version
	return u
}

func versionRequest(program, version string) Request {
	r := testRequest(program)
	r.AtVersion, r.Version = true, version
	return r
}

// Guards against a step that is placed on an upstream of another version than it needs: while that of its
// version is slower, full or leaving, and in a fleet of which a decision sees a sample only.
func TestStepsArePlacedAtTheirVersion(t *testing.T) {
	for _, count := range []int{2, 60, 400} {
		for _, control := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var listed []usage.Upstream
				for i := range count {
					listed = append(listed, versionedEngine(fmt.Sprint("old", i), "v1", 64))
				}
				listed = append(listed, versionedEngine("new", "v2", 1))
				s, _ := newTestScheduler(Settings{LoadControl: control}, listed...)
				var steps sync.WaitGroup
				for i := range 20 {
					steps.Go(func() {
						grant, refusal := s.Acquire(t.Context(), versionRequest(fmt.Sprint("p", i), "v2"))
						is.True(refusal == nil)
						is.Equal(grant.Upstream, "new")
						time.Sleep(50 * time.Millisecond)
						grant.Done(Feedback{Cancelled: true})
					})
				}
				steps.Wait()
			})
		}
	}
}

// Guards against a step that waits for a version that no upstream has, or whose last upstream leaves meanwhile.
func TestStepWhoseVersionIsGoneIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, table := newTestScheduler(Settings{}, versionedEngine("old", "v1", 1), versionedEngine("new", "v2", 1))
		began := time.Now()
		_, refusal := s.Acquire(t.Context(), versionRequest("p", "v3"))
		is.True(refusal.VersionGone)
		is.Equal(time.Since(began), time.Duration(0))

		const steps = 40
		refusals := make(chan *Refusal, steps)
		for i := range steps {
			go func() {
				_, refusal := s.Acquire(t.Context(), versionRequest(fmt.Sprint("p", i), "v2"))
				refusals <- refusal
			}()
		}
		time.Sleep(time.Second)
		table.Update(nil, []string{"new"}, time.Now())
		time.Sleep(2 * scanInterval)
		synctest.Wait()
		is.Equal(len(refusals), steps)
		gone := 0
		for range steps {
			if refusal := <-refusals; refusal != nil && refusal.VersionGone {
				gone++
			}
		}
		is.True(gone > 0)
	})
}

// Guards against steps that wait behind one whose version is full, although upstreams of other versions are free.
func TestStepsOfAFullVersionDoNotBlockOthers(t *testing.T) {
	for _, control := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s, _ := newTestScheduler(Settings{LoadControl: control}, versionedEngine("old", "v1", 200), versionedEngine("new", "v2", 1))
			for i := range 2 * maxScanned {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go func() { _, _ = s.Acquire(ctx, versionRequest(fmt.Sprint("p", i), "v2")) }()
			}
			synctest.Wait()
			began := time.Now()
			grant, refusal := s.Acquire(t.Context(), versionRequest("q", "v1"))
			is.True(refusal == nil)
			is.Equal(grant.Upstream, "old")
			is.True(time.Since(began) <= 2*scanInterval)
		})
	}
}

// Guards against a step that is refused, or waits, because upstreams of other versions are overloaded, while
// those of its own are free.
func TestOverloadOfOtherVersionsRefusesNoStep(t *testing.T) {
	for _, control := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s, _ := newTestScheduler(Settings{LoadControl: control}, versionedEngine("old", "v1", 1), versionedEngine("new", "v2", 4))
			deadline := func(r Request) Request {
				r.Deadline = time.Now().Add(5 * time.Second)
				return r
			}
			run := func(r Request) bool {
				grant, refusal := s.Acquire(t.Context(), r)
				if refusal != nil {
					return false
				}
				time.Sleep(time.Second)
				grant.Done(Feedback{Prompt: 300, Output: 20, FirstToken: 100 * time.Millisecond, Total: time.Second})
				return true
			}
			for i := range 4 {
				is.True(run(deadline(versionRequest(fmt.Sprint("warm", i), "v1"))))
				is.True(run(deadline(versionRequest(fmt.Sprint("warm", i), "v2"))))
			}
			var others sync.WaitGroup
			for i := range 4 * maxScanned {
				others.Go(func() { run(deadline(versionRequest(fmt.Sprint("p", i), "v1"))) })
			}
			synctest.Wait()
			began := time.Now()
			is.True(run(deadline(versionRequest("q", "v2"))))
			is.True(time.Since(began) <= 2*time.Second)
			others.Wait()
		})
	}
}
