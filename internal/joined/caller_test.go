package joined

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/chat"
	"foxhall/internal/load"
	"foxhall/internal/step"
)

// Guards against engine slots that stay occupied after their caller has gone: the caller disconnects
// in the middle of a streamed response, and the call must be cancelled at the engine. A call for a
// model that no engine offers must be refused at once with the outcome not run.
func TestGoneCallerFreesSlotAndUnknownModelIsRefused(t *testing.T) {
	is := is.New(t)
	var cancelled int64
	var running int
	var unknown load.Response
	synctest.Test(t, func(t *testing.T) {
		w, _ := newWorld()
		_ = w.start("a", 1)
		time.Sleep(15 * time.Second)
		client := load.NewClientWithDialer(w.network.Host("caller").DialContext, []string{"http://" + callersAddress("a", 1)}, kerlouanKey)
		message := chat.Message{Role: "user", Raw: []byte(`{"role":"user","content":"oak"}`)}
		ask := func(ctx context.Context, model string) load.Response {
			r, _ := client.Send(ctx, load.Request{Chat: &chat.Request{Model: model, Messages: []chat.Message{message}, Stream: true, MaxTokens: 4000}})
			return r
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		ask(ctx, "oak")
		time.Sleep(time.Second)
		for _, name := range []string{"a-fast", "a-slow"} {
			report, _ := w.engines[name].Load()
			cancelled, running = cancelled+w.engines[name].Counts().Cancelled, running+report.Running
		}
		unknown = ask(context.Background(), "walnut")
		client.Close()
		w.close()
	})
	is.Equal(cancelled, int64(1))
	is.Equal(running, 0)
	is.Equal(unknown.Code, step.CodeModelNotFound)
	is.Equal(unknown.Outcome, step.NotRun)
}
