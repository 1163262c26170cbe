package mirror

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"foxhall/internal/store"
)

// historyStore holds replicas and the events of their changes. A response tells of the state in the middle of its delay.
type historyStore struct {
	mu      sync.Mutex
	at      store.Version
	objects map[string]store.Object
	events  []store.Event
	// droppedUpTo is the version up to which the history is gone.
	droppedUpTo store.Version
	delay       time.Duration
	// polls are the times at which polls began.
	polls []time.Time
}

func (s *historyStore) put(name string, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at++
	o := store.Object{Key: store.Key{Kind: string(Replicas), Name: name}, Version: s.at, Value: []byte(name)}
	s.events = append(s.events, store.Event{Object: o, Deleted: deleted})
	if delete(s.objects, name); !deleted {
		s.objects[name] = o
	}
}

func (s *historyStore) respond(f func()) {
	time.Sleep(s.delay / 2)
	s.mu.Lock()
	f()
	s.mu.Unlock()
	time.Sleep(s.delay / 2)
}

func (s *historyStore) Get(context.Context, store.Key) (store.Object, error) {
	return store.Object{}, store.ErrNotFound
}

func (s *historyStore) Snapshot(context.Context, string) (l store.Listing, err error) {
	s.respond(func() {
		l.AsOf = s.at
		for _, o := range s.objects {
			l.Objects = append(l.Objects, o)
		}
	})
	return l, nil
}

func (s *historyStore) Page(ctx context.Context, kind, _ string) (store.Listing, bool, error) {
	l, err := s.Snapshot(ctx, kind)
	return l, false, err
}

func (s *historyStore) Poll(_ context.Context, _ string, from store.Version, _ time.Duration) (c store.Changes, err error) {
	s.polls = append(s.polls, time.Now())
	s.respond(func() {
		c.AsOf = s.at
		if from < s.droppedUpTo {
			err = store.ErrGone
		}
		for _, e := range s.events {
			if e.Object.Version > from {
				c.Events = append(c.Events, e)
			}
		}
	})
	return c, err
}

// renewTest is a follower that has read the list once, with a feed.
type renewTest struct {
	*is.I
	store    *historyStore
	follower *Follower
	feed     *Feed
}

func runRenewTest(t *testing.T, test func(r *renewTest)) {
	synctest.Test(t, func(t *testing.T) {
		s := &historyStore{objects: map[string]store.Object{}, delay: 10 * time.Millisecond}
		s.put("a", false)
		r := &renewTest{I: is.New(t), store: s, follower: NewFollower(New(), s, &log.Logger{Handler: discard.Default})}
		r.feed = r.follower.mirror.NewFeed(Replicas)
		r.NoErr(r.follower.snapshot(t.Context(), Replicas))
		r.apply()
		test(r)
	})
}

func (r *renewTest) apply() (changed []Entry, removed []string, passed []Entry) {
	changed, removed = r.feed.Take()
	passed = r.feed.TakePassed()
	r.feed.Applied()
	return changed, removed, passed
}

// Guards against a view that counts as newer than it is: its response was on the way for long, or what it told is not in
// use yet.
func TestViewIsAsOldAsTheRequestOfItsRead(t *testing.T) {
	runRenewTest(t, func(r *renewTest) {
		time.Sleep(time.Second)
		_, before := r.feed.Complete()
		r.store.delay = 3 * time.Second
		began := time.Now()
		done := r.follower.Renew()
		time.Sleep(time.Second)
		r.store.put("b", false)
		<-done
		r.Equal(len(r.feed.pending), 1)
		_, until := r.feed.Complete()
		r.Equal(until, before)
		r.feed.Take()
		_, until = r.feed.Complete()
		r.Equal(until, before)
		r.feed.Applied()
		_, until = r.feed.Complete()
		r.Equal(until, began)
		r.follower.mirror.MarkStale()
		_, until = r.feed.Complete()
		r.True(until.IsZero())
	})
}

// Guards against an entry that came and went between two reads and that nobody learns of, and against a gap that is
// taken for none: the store has dropped its history.
func TestEntriesThatCameAndWentAreSeen(t *testing.T) {
	for _, dropped := range []bool{false, true} {
		runRenewTest(t, func(r *renewTest) {
			since, _ := r.feed.Complete()
			time.Sleep(2 * maxUnseen)
			r.store.put("b", false)
			r.store.put("b", true)
			if dropped {
				r.store.droppedUpTo = r.store.at
			}
			<-r.follower.Renew()
			_, _, passed := r.apply()
			now, _ := r.feed.Complete()
			r.Equal(len(passed) == 1, !dropped)
			r.Equal(now.After(since), dropped)
		})
	}
}

// Guards against an entry that came and went and of which another instance tells its removal alone, and against a gap
// wherever instances tell each other of one removal at different versions.
func TestRemovalOfAnUnknownEntryIsAGap(t *testing.T) {
	runRenewTest(t, func(r *renewTest) {
		m := r.follower.mirror
		since, _ := r.feed.Complete()
		time.Sleep(time.Second)
		m.Apply(Delta{Kind: Replicas, From: 1, AsOf: 3, Removed: []Entry{{Name: "a", Revision: 3}}})
		m.Apply(Delta{Kind: Replicas, From: 3, AsOf: 4, Removed: []Entry{{Name: "a", Revision: 4}}})
		r.apply()
		now, _ := r.feed.Complete()
		r.Equal(now, since)
		m.Apply(Delta{Kind: Replicas, From: 4, AsOf: 6, Removed: []Entry{{Name: "b", Revision: 6}}})
		r.apply()
		now, _ = r.feed.Complete()
		r.True(now.After(since))
	})
}

// Guards against callers who wait long for a store that does not respond, and that no read has reached for a while.
func TestReadsWithoutAnAnswerAreKnown(t *testing.T) {
	runRenewTest(t, func(r *renewTest) {
		unanswered := func() time.Duration { return r.follower.UnansweredFor(time.Now()) }
		<-r.follower.Renew()
		r.Equal(unanswered(), time.Duration(0))
		r.store.delay = time.Minute
		done := r.follower.Renew()
		time.Sleep(time.Second)
		r.True(unanswered() > 0)
		<-done
		r.Equal(unanswered(), time.Duration(0))
	})
}

// Guards against a call of the store for each stream that is taken up, and against a read that began before the call for
// which it is made.
func TestReadsOnDemandAreShared(t *testing.T) {
	runRenewTest(t, func(r *renewTest) {
		began := time.Now()
		var callers sync.WaitGroup
		for range 2000 {
			time.Sleep(5 * time.Millisecond)
			callers.Go(func() {
				asked := time.Now()
				<-r.follower.Renew()
				_, until := r.feed.Complete()
				r.True(!until.Before(asked))
			})
		}
		callers.Wait()
		r.True(len(r.store.polls) <= renewalBurst+int(maxRenewalRate*time.Since(began).Seconds())+1)
	})
}
