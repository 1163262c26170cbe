package standin

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"foxhall/internal/store"
)

// TestStoreOverHTTP checks that the client returns the same errors over HTTP as the stand-in does
// directly: a conflict, a missing object, an outage and a write whose response is lost.
func TestStoreOverHTTP(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	standIn := NewStore()
	server := httptest.NewServer(standIn.Handler())
	defer server.Close()
	client := store.NewHTTP(server.URL, time.Minute)
	key := store.Key{Kind: "plans", Name: "current"}

	_, err := client.Get(ctx, key)
	is.True(errors.Is(err, store.ErrNotFound))
	v1, err := client.Put(ctx, key, []byte("one"), 0)
	is.NoErr(err)
	_, err = client.Put(ctx, key, []byte("two"), 0)
	is.True(errors.Is(err, store.ErrConflict))

	standIn.SetFaults(StoreFaults{LoseAnswers: 1})
	_, err = client.Put(ctx, key, []byte("two"), v1)
	is.True(errors.Is(err, store.ErrUnknown))
	object, err := client.Get(ctx, key)
	is.NoErr(err)
	is.Equal(string(object.Value), "two") // the write took effect although its response was lost

	standIn.SetFaults(StoreFaults{Down: true})
	_, err = client.Get(ctx, key)
	is.True(errors.Is(err, store.ErrUnavailable))
	standIn.SetFaults(StoreFaults{})

	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	events, err := client.Watch(watchCtx, "plans", v1)
	is.NoErr(err)
	event := <-events
	is.Equal(event.Object.Version, object.Version)
	listed, err := client.List(ctx, "plans", "cur")
	is.NoErr(err)
	is.Equal(len(listed), 1)
}
