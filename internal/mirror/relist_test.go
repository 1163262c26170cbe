package mirror

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"foxhall/internal/store"
)

// oddStore is a store whose changes since any version are gone, or whose listings are incomplete.
type oddStore struct {
	gone     bool
	listings atomic.Int64
	// tooMany ends the test once more listings are read than any bound allows.
	tooMany func()
}

const maxListings = 10000

func (s *oddStore) Get(context.Context, store.Key) (store.Object, error) {
	return store.Object{Key: store.Key{Name: ConfigName}, Version: 5}, nil
}

func (s *oddStore) Snapshot(_ context.Context, kind string) (store.Listing, error) {
	if s.listings.Add(1) > maxListings {
		s.tooMany()
	}
	return store.Listing{AsOf: 5, Partial: !s.gone, Objects: []store.Object{{Key: store.Key{Kind: kind, Name: "a"}, Version: 5}}}, nil
}

func (s *oddStore) Page(ctx context.Context, kind, _ string) (store.Listing, bool, error) {
	page, err := s.Snapshot(ctx, kind)
	return page, false, err
}

func (s *oddStore) Poll(ctx context.Context, _ string, from store.Version, wait time.Duration) (store.Changes, error) {
	if s.gone {
		return store.Changes{}, store.ErrGone
	}
	sleep(ctx, wait)
	return store.Changes{AsOf: from}, nil
}

// Guards against a follower that lists a kind without pause while the store's position does not advance, and
// against one that waits for a change before it lists a kind again whose listing was incomplete.
func TestKindsAreListedAgainAtABoundedRate(t *testing.T) {
	const period = 60 * time.Second
	for gone, bounds := range map[bool][2]int64{true: {50, 1000}, false: {4 * int64(period/relistInterval) / 2, 1000}} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), period)
			defer cancel()
			s := &oddStore{gone: gone, tooMany: cancel}
			f := NewFollower(New(), s, &log.Logger{Handler: discard.Default})
			f.Refresh(ctx)
			f.Run(ctx)
			listings := s.listings.Load()
			is.New(t).True(listings >= bounds[0] && listings <= bounds[1])
			t.Logf("gone %v: %d listings of %d kinds in %v", gone, listings, len(Kinds), period)
		})
	}
}

// Guards against reads on demand that list all replicas each time, while the store tells no changes.
func TestReadsOnDemandListAtABoundedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const period = 10 * time.Second
		s := &oddStore{gone: true, tooMany: func() {}}
		f := NewFollower(New(), s, &log.Logger{Handler: discard.Default})
		f.Refresh(t.Context())
		before := s.listings.Load()
		for began := time.Now(); time.Since(began) < period; {
			<-f.Renew()
		}
		is.New(t).True(s.listings.Load()-before <= int64(period/renewalListInterval)+1)
	})
}
