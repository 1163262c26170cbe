package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"foxhall/internal/chat"
	"foxhall/internal/engine"
	_ "foxhall/internal/fuzzing" // one processor under the race detector
)

func userMessage(text string) chat.Message {
	raw, _ := json.Marshal(map[string]string{"role": "user", "content": text})
	return chat.Message{Role: "user", Raw: raw}
}

func newRequest(text string, tokens int) *engine.Request {
	return &engine.Request{Chat: &chat.Request{Model: "m", Messages: []chat.Message{userMessage(text)}, MaxTokens: tokens}}
}

func textOfTokens(name string, tokens int) string {
	return strings.Repeat(fmt.Sprintf("%-4.4s", name), tokens)
}

// TestEngineOverHTTP checks that calls over HTTP behave like calls in process: non-streaming and
// streamed responses contain the same message, and each rejection has the right error class.
func TestEngineOverHTTP(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	standIn := NewEngine(EngineConfig{Name: "e", PrefillSpeed: 1e7, DecodeSpeed: 1e5, Fenced: true, Models: []string{"m"}})
	server := httptest.NewServer(standIn.Handler())
	defer server.Close()
	addr := server.Listener.Addr().String()
	client := engine.NewClient()

	r := newRequest(textOfTokens("a", 300), 40)
	r.Program = "p"
	response, err := client.Complete(ctx, addr, r, nil)
	is.NoErr(err)
	is.True(len(response.Body) > 0)
	r.Chat.Stream = true
	var text strings.Builder
	streamed, err := client.Complete(ctx, addr, r, func(c engine.Chunk) error {
		text.Write(c.Data)
		return nil
	})
	is.NoErr(err)
	is.Equal(string(streamed.Message.Raw), string(response.Message.Raw)) // the history does not depend on streaming
	is.True(streamed.CachedTokens() >= 256)                              // the first call's prompt is cached
	is.Equal(streamed.Usage.CompletionTokens, 40)
	is.True(text.Len() > 0)

	state, err := client.State(ctx, addr, true)
	is.NoErr(err)
	is.True(state.Programs["p"] > 0)
	is.NoErr(client.Order(ctx, addr, engine.Order{Kind: engine.OrderRelease, Token: 7, Programs: []string{"p"}}))
	err = client.Order(ctx, addr, engine.Order{Kind: engine.OrderUnload, Token: 6, Served: "m"})
	is.True(errors.Is(err, engine.ErrFenced))
	state, err = client.State(ctx, addr, false)
	is.NoErr(err)
	is.Equal(len(state.Programs), 0)
	is.Equal(len(state.Models), 1)

	_, err = client.Complete(ctx, addr, &engine.Request{Chat: r.Chat, Model: "other"}, nil)
	is.True(errors.Is(err, engine.ErrNotRun)) // another engine may have the model
	_, err = client.Complete(ctx, addr, &engine.Request{Chat: &chat.Request{Model: "m"}}, nil)
	is.True(errors.Is(err, engine.ErrRejected)) // no engine would accept a request without messages
	standIn.SetFaults(EngineFaults{Leaving: true})
	_, err = client.Complete(ctx, addr, r, nil)
	var failure *engine.Error
	is.True(errors.As(err, &failure))
	is.True(errors.Is(err, engine.ErrNotRun) && failure.Draining && failure.RetryAfter > 0)
	standIn.SetFaults(EngineFaults{Down: true})
	_, err = client.Complete(ctx, addr, r, nil)
	is.True(errors.Is(err, engine.ErrUnknown)) // the connection broke after the request was sent
	server.Close()
	_, err = client.Complete(ctx, addr, r, nil)
	is.True(errors.Is(err, engine.ErrNotSent)) // without a listener no byte is sent
}

// TestEngineFailsWhileStreaming guards against a stream that breaks after some chunks and counts as
// a success: the call must fail with an unknown outcome and a partial response.
func TestEngineFailsWhileStreaming(t *testing.T) {
	is := is.New(t)
	standIn := NewEngine(EngineConfig{Name: "e", DecodeSpeed: 1000})
	server := httptest.NewServer(standIn.Handler())
	defer server.Close()
	r := newRequest("hello", 100000)
	r.Chat.Stream = true
	_, err := engine.NewClient().Complete(context.Background(), server.Listener.Addr().String(), r, func(engine.Chunk) error {
		standIn.SetFaults(EngineFaults{Down: true})
		return nil
	})
	var failure *engine.Error
	is.True(errors.As(err, &failure))
	is.True(errors.Is(err, engine.ErrUnknown) && failure.Partial)
}

// TestEngineCancelFreesSlot: a caller disconnects in the middle of a stream. The engine must free the
// slot at once; otherwise calls without a caller would fill the batch.
func TestEngineCancelFreesSlot(t *testing.T) {
	is := is.New(t)
	standIn := NewEngine(EngineConfig{Name: "e", Slots: 1, DecodeSpeed: 1000})
	server := httptest.NewServer(standIn.Handler())
	defer server.Close()
	addr := server.Listener.Addr().String()
	client := engine.NewClient()
	r := newRequest("hello", 1000000)
	r.Chat.Stream = true
	errCallerGone := errors.New("caller is gone")
	_, err := client.Complete(context.Background(), addr, r, func(engine.Chunk) error { return errCallerGone })
	is.True(errors.Is(err, errCallerGone))
	_, err = client.Complete(context.Background(), addr, newRequest("next", 20), nil)
	is.NoErr(err) // behind the first call it would wait for a quarter of an hour
}

// TestEngineEventsAndKVImportOverHTTP follows an engine's events over HTTP. After a restart the event
// stream must end, since the sequence numbers of the previous boot are invalid. Another engine can
// import the cache of a program.
func TestEngineEventsAndKVImportOverHTTP(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	from, to := NewEngine(EngineConfig{Name: "from"}), NewEngine(EngineConfig{Name: "to"})
	fromServer, toServer := httptest.NewServer(from.Handler()), httptest.NewServer(to.Handler())
	defer fromServer.Close()
	defer toServer.Close()
	fromAddr, toAddr := fromServer.Listener.Addr().String(), toServer.Listener.Addr().String()
	client := engine.NewClient()
	r := newRequest(textOfTokens("a", 600), 10)
	r.Program = "p"
	_, err := client.Complete(ctx, fromAddr, r, nil)
	is.NoErr(err)

	seen := 0
	err = client.Events(ctx, fromAddr, 0, func(e engine.Event) error {
		is.Equal(e.Kind, engine.Stored)
		seen += len(e.Blocks)
		from.SetFaults(EngineFaults{Restart: true})
		return nil
	})
	is.True(err != nil)
	is.True(seen >= 600/engine.BlockTokens)

	_, err = client.Complete(ctx, fromAddr, r, nil)
	is.NoErr(err)
	is.NoErr(client.ImportKV(ctx, toAddr, engine.KVImport{Program: "p", From: fromAddr}))
	afterImport, err := client.Complete(ctx, toAddr, r, nil)
	is.NoErr(err)
	is.True(afterImport.CachedTokens() > 500)
	load, err := client.Load(ctx, toAddr)
	is.NoErr(err)
	is.True(load.CacheTokens > 500)
}

// TestEngineTimes checks the durations that follow from the configured speeds, cache hits and batch
// size.
func TestEngineTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := NewEngine(EngineConfig{Name: "e", PrefillSpeed: 1000, DecodeSpeed: 50, BatchSlowdown: 0.5, CacheTokens: 64 * 100})
		prompt := newRequest(textOfTokens("a", 2000), 50)
		first, err := e.Complete(t.Context(), prompt, nil)
		is.NoErr(err)
		is.Equal(first.Total.Round(100*time.Millisecond), 3*time.Second) // 2 s of prefill, 1 s of decode
		again, err := e.Complete(t.Context(), prompt, nil)
		is.NoErr(err)
		is.Equal(again.CachedTokens(), 2000/64*64)
		is.True(again.Total < 1100*time.Millisecond)

		done := make(chan time.Duration, 2)
		for range 2 {
			go func() {
				a, _ := e.Complete(t.Context(), prompt, nil)
				done <- a.Total
			}()
		}
		for range 2 {
			is.Equal((<-done).Round(100*time.Millisecond), 1500*time.Millisecond) // a batch of two decodes at 2/3 of the speed
		}

		e.SetFaults(EngineFaults{Restart: true})
		cold, err := e.Complete(t.Context(), prompt, nil)
		is.NoErr(err)
		is.Equal(cold.CachedTokens(), 0)
	})
}

// TestEngineHeldMemoryIsEvictedLast: blocks held by a program that ended without a release stay cached
// and the shared prefix is evicted in their place, until the release that a sweep sends.
func TestEngineHeldMemoryIsEvictedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := NewEngine(EngineConfig{Name: "e", CacheTokens: 64 * 40})
		shared := newRequest(textOfTokens("s", 20*64), 8)
		_, err := e.Complete(t.Context(), shared, nil)
		is.NoErr(err)
		ended := newRequest(textOfTokens("g", 20*64), 8)
		ended.Program = "gone"
		_, err = e.Complete(t.Context(), ended, nil)
		is.NoErr(err)
		_, err = e.Complete(t.Context(), newRequest(textOfTokens("n", 20*64), 8), nil)
		is.NoErr(err)
		again, err := e.Complete(t.Context(), ended, nil)
		is.NoErr(err)
		is.True(again.CachedTokens() > 0)
		is.NoErr(e.Order(t.Context(), engine.Order{Kind: engine.OrderRelease, Programs: []string{"gone"}}))
		for i := range 2 {
			_, err = e.Complete(t.Context(), newRequest(textOfTokens(fmt.Sprint(i), 20*64), 8), nil)
			is.NoErr(err)
		}
		again, err = e.Complete(t.Context(), ended, nil)
		is.NoErr(err)
		is.Equal(again.CachedTokens(), 0)
	})
}
