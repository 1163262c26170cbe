package standin

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"foxhall/internal/store"
)

// TestNamesWithSlashesOverHTTP: the name of a log entry contains a slash. It must identify the same
// object over HTTP and directly; otherwise recovery would read another log than the one written.
func TestNamesWithSlashesOverHTTP(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	standIn := NewStore()
	server := httptest.NewServer(standIn.Handler())
	defer server.Close()
	client := store.NewHTTP(server.URL, time.Minute)
	key := store.Key{Kind: "log", Name: "sul1.a.one/000000000001"}
	_, err := client.Put(ctx, key, []byte("entry"), 0)
	is.NoErr(err)
	object, err := standIn.Get(ctx, key)
	is.NoErr(err)
	is.Equal(string(object.Value), "entry")
	object, err = client.Get(ctx, key)
	is.NoErr(err)
	is.Equal(string(object.Value), "entry")
	standIn.SetFaults(StoreFaults{Writes: 1})
	_, _ = client.Put(ctx, key, nil, 9)
	_, err = client.Put(ctx, key, nil, 9)
	is.True(errors.Is(err, store.ErrRateLimited))
}

// TestTrackedStoreDetectsOutage: the store goes down and recovers. The tracked client reports the
// outage after the first refused call and without further calls, detects the recovery by its own
// probe, and records when the store was down. One lost response and a call above the rate limit do
// not count as an outage.
func TestTrackedStoreDetectsOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		standIn := NewStore()
		tracked := store.Track(standIn, nil)
		defer tracked.Close()
		key := store.Key{Kind: "k", Name: "n"}
		standIn.SetFaults(StoreFaults{LoseAnswers: 1, Writes: 1})
		_, _ = tracked.Put(ctx, key, nil, 0)
		_, err := tracked.Put(ctx, key, nil, 0)
		is.True(errors.Is(err, store.ErrRateLimited))
		is.True(!tracked.Down())

		started := time.Now()
		standIn.SetFaults(StoreFaults{Down: true})
		_, _ = tracked.Get(ctx, key)
		is.True(tracked.Down())
		time.Sleep(time.Minute)
		standIn.SetFaults(StoreFaults{})
		time.Sleep(10 * time.Second)
		is.True(!tracked.Down())
		is.True(tracked.DownBetween(started.Add(time.Second), started.Add(2*time.Second)))
		is.True(!tracked.DownBetween(started.Add(75*time.Second), time.Now()))
	})
}

// TestTrackedStoreDownAfterTimeouts: with a delay of ten seconds per call every call times out. After
// two consecutive lost responses the store counts as down.
func TestTrackedStoreDownAfterTimeouts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		standIn := NewStore()
		tracked := store.Track(standIn, nil)
		defer tracked.Close()
		standIn.SetFaults(StoreFaults{Delay: 10 * time.Second})
		for range 2 {
			is.True(!tracked.Down())
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			_, _ = tracked.Get(ctx, store.Key{Kind: "k", Name: "n"})
			cancel()
		}
		is.True(tracked.Down())
	})
}

// TestLimitedStoreKeepsRateLimit: with a limit of ten writes per second and a burst, an instance
// makes no more than that, however many are requested. A call whose deadline is too near is refused
// at once.
func TestLimitedStoreKeepsRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		standIn := NewStore()
		limited := store.Limit(standIn, store.Rates{WritesPerSecond: 10}, nil)
		started := time.Now()
		for range 50 {
			_, _ = limited.Put(t.Context(), store.Key{Kind: "k", Name: "n"}, nil, 0)
		}
		is.Equal(time.Since(started).Round(time.Millisecond), 4*time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		_, err := limited.Put(ctx, store.Key{Kind: "k", Name: "n"}, nil, 0)
		is.True(errors.Is(err, store.ErrRateLimited))
		is.Equal(standIn.Counts().Writes, int64(50))
	})
}
