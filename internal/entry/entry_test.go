package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/matryer/is"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/plan"
	"foxhall/internal/program"
	"foxhall/internal/settings"
	"foxhall/internal/step"
	"foxhall/internal/usage"
)

const (
	testKey    = "customer-key"
	testSecret = "0123456789abcdef"
)

type fakePrograms struct {
	do func(ctx context.Context, call step.Call, sink step.Sink) step.Result
}

func (f fakePrograms) Do(ctx context.Context, call step.Call, sink step.Sink) step.Result {
	return f.do(ctx, call, sink)
}

func (f fakePrograms) Open(context.Context, *plan.Plan, program.ID) step.Result {
	return step.Result{Outcome: step.Done, Program: program.NewID(program.NewCohort("dc", "i")), Status: http.StatusCreated}
}

func (f fakePrograms) End(_ context.Context, _ *plan.Plan, id program.ID) step.Result {
	return step.Result{Outcome: step.Done, Program: id}
}

type fakeDirectory struct{ owner Owner }

func (f *fakeDirectory) Locate(context.Context, program.ID) (Owner, error) { return f.owner, nil }

type fakeConfig struct {
	plans *plan.List
	usage *usage.List
}

func (f fakeConfig) Lists() (*plan.List, *usage.List) { return f.plans, f.usage }

func testLists(t *testing.T) fakeConfig {
	t.Helper()
	plans, err := plan.Parse(fmt.Appendf(nil, "[[plan]]\nname = \"p\"\ncustomer = \"c\"\nkey_hashes = [%q]\n", plan.HashKey(testKey)))
	if err != nil {
		t.Fatal(err)
	}
	lists, err := usage.Parse([]byte("[[model]]\nname = \"m\"\n[[grant]]\nplan = \"p\"\nmodels = [\"m\"]\n"))
	if err != nil {
		t.Fatal(err)
	}
	return fakeConfig{plans: plans, usage: lists}
}

// testInstance starts an entry on loopback and returns the URL for callers and its peer address.
func testInstance(t *testing.T, programs Programs, directory Directory) (string, string) {
	t.Helper()
	limits := settings.Default().Callers
	limits.MaxBodyBytes = 4096
	server := New(Options{
		Limits: limits, Programs: programs, Directory: directory, Config: testLists(t),
		NotReadyReason: func() string { return "" }, PeerSecret: testSecret, Metrics: metrics.NewRegistry(),
	})
	callers, _ := server.CallersHandler()
	peers := echo.New()
	server.RegisterRelay(peers)
	callersServer := httptest.NewServer(callers)
	peersServer := httptest.NewServer(peers)
	t.Cleanup(func() { callersServer.Close(); peersServer.Close() })
	return callersServer.URL, strings.TrimPrefix(peersServer.URL, "http://")
}

func completionBody(text string) []byte {
	return fmt.Appendf(nil, `{"id":"x","object":"chat.completion","created":1,"model":"m","choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}],"usage":{"prompt_tokens":1,"completion_tokens":1,"total_tokens":2}}`, text)
}

func chunkBody(text string) []byte {
	return fmt.Appendf(nil, `{"id":"x","object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":{"content":%q}}]}`, text)
}

var localDirectory = &fakeDirectory{owner: Owner{IsSelf: true}}

// Each refusal has an error code of the API and the outcome "not run"; a call that ran has the
// outcome "done".
func TestRefusalErrors(t *testing.T) {
	programs := fakePrograms{do: func(context.Context, step.Call, step.Sink) step.Result {
		return step.Result{Outcome: step.Done, Status: 200, ContentType: "application/json", Body: completionBody("hi")}
	}}
	url, _ := testInstance(t, programs, localDirectory)
	good := `{"model":"m","messages":[{"role":"user","content":"x"}]}`
	for _, test := range []struct {
		name, key, body, header, value string
		status                         int
		code                           step.Code
	}{
		{"wrong key", "other", good, "", "", 401, step.CodeUnauthorized},
		{"malformed json", testKey, `{"model":`, "", "", 400, step.CodeBadRequest},
		{"no messages", testKey, `{"model":"m","messages":[]}`, "", "", 400, step.CodeBadRequest},
		{"oversized", testKey, `{"model":"` + strings.Repeat("m", 5000) + `"}`, "", "", 413, step.CodeTooLarge},
		{"expired deadline", testKey, good, HeaderDeadline, "-1s", 504, step.CodeDeadline},
		{"bad deadline", testKey, good, HeaderDeadline, "soon", 400, step.CodeBadRequest},
		{"bad program", testKey, good, HeaderProgram, "nobody", 400, step.CodeBadRequest},
		{"bad step", testKey, good, HeaderStep, "0", 400, step.CodeBadRequest},
		{"done", testKey, good, "", "", 200, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(test.body))
			is.NoErr(err)
			req.Header.Set("Authorization", "Bearer "+test.key)
			if test.header != "" {
				req.Header.Set(test.header, test.value)
			}
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			defer resp.Body.Close()
			is.Equal(resp.StatusCode, test.status)
			if test.code == "" {
				is.Equal(resp.Header.Get(HeaderOutcome), string(step.Done))
				return
			}
			var body ErrorBody
			is.NoErr(json.NewDecoder(resp.Body).Decode(&body))
			is.Equal(body.Error.Code, test.code)
			is.Equal(body.Error.Outcome, step.NotRun)
		})
	}
}

// An unmodified OpenAI client works, streaming or not, through the instance that owns the program
// and through one that relays to it.
func TestStockClientThroughOwnerAndRelay(t *testing.T) {
	programs := fakePrograms{do: func(_ context.Context, call step.Call, sink step.Sink) step.Result {
		r := step.Result{Outcome: step.Done, Status: 200, ContentType: "application/json", Upstream: "e1"}
		if sink == nil {
			r.Body = completionBody("hello")
			return r
		}
		_ = sink.Begin(r)
		_ = sink.Chunk(chunkBody("hel"))
		_ = sink.Chunk(chunkBody("lo"))
		return r
	}}
	ownerURL, ownerPeer := testInstance(t, programs, localDirectory)
	remote := &fakeDirectory{owner: Owner{Instance: "other", Address: ownerPeer}}
	relayURL, _ := testInstance(t, fakePrograms{}, remote)
	id := program.NewID(program.NewCohort("dc", "other"))
	for _, url := range []string{ownerURL, relayURL} {
		is := is.New(t)
		client := openai.NewClient(option.WithBaseURL(url+"/v1"), option.WithAPIKey(testKey),
			option.WithHeader(HeaderProgram, string(id)), option.WithMaxRetries(0))
		params := openai.ChatCompletionNewParams{Model: "m", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hi")}}
		response, err := client.Chat.Completions.New(context.Background(), params)
		is.NoErr(err)
		is.Equal(response.Choices[0].Message.Content, "hello")
		stream := client.Chat.Completions.NewStreaming(context.Background(), params)
		text := ""
		for stream.Next() {
			text += stream.Current().Choices[0].Delta.Content
		}
		is.NoErr(stream.Err())
		is.Equal(text, "hello")
	}
}

// A caller disconnects during a relayed stream. The call's context at the owner must end, which
// frees the engine's slot.
func TestCallerDisconnectCancelsAtOwner(t *testing.T) {
	is := is.New(t)
	cancelled := make(chan struct{})
	programs := fakePrograms{do: func(ctx context.Context, _ step.Call, sink step.Sink) step.Result {
		_ = sink.Begin(step.Result{})
		_ = sink.Chunk(chunkBody("a"))
		<-ctx.Done()
		close(cancelled)
		return step.Refuse(499, step.CodeCancelled, "cancelled")
	}}
	_, ownerPeer := testInstance(t, programs, localDirectory)
	relayURL, _ := testInstance(t, fakePrograms{}, &fakeDirectory{owner: Owner{Instance: "other", Address: ownerPeer}})
	ctx, cancel := context.WithCancel(context.Background())
	body := `{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]}`
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, relayURL+"/v1/chat/completions", strings.NewReader(body))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set(HeaderProgram, string(program.NewID(program.NewCohort("dc", "other"))))
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	_, err = io.ReadFull(resp.Body, make([]byte, 10))
	is.NoErr(err)
	cancel()
	<-cancelled
	resp.Body.Close()
}

// The owner accepts the connection and never responds. The relaying instance must respond soon after
// the caller's deadline with the outcome "unknown", and must send the owner the remaining time, not
// the original deadline.
func TestUnresponsiveOwnerTimesOutAtDeadline(t *testing.T) {
	is := is.New(t)
	remaining := make(chan time.Duration, 1)
	unresponsive := fakePrograms{do: func(ctx context.Context, call step.Call, _ step.Sink) step.Result {
		remaining <- time.Until(call.Deadline)
		<-ctx.Done()
		return step.Refuse(499, step.CodeCancelled, "")
	}}
	_, ownerPeer := testInstance(t, unresponsive, localDirectory)
	url, _ := testInstance(t, fakePrograms{}, &fakeDirectory{owner: Owner{Instance: "o", Address: ownerPeer}})
	req, err := http.NewRequest(http.MethodPost, url+"/v1/tools/charge/run", strings.NewReader("{}"))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set(HeaderDeadline, "100ms")
	req.Header.Set(HeaderProgram, string(program.NewID(program.NewCohort("dc", "o"))))
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusGatewayTimeout)
	is.Equal(resp.Header.Get(HeaderOutcome), string(step.Unknown))
	is.True(<-remaining < 100*time.Millisecond)
}

// Two instances each take the other for the owner. After maxHops the call is refused: the program is
// moving, the step was not run, and the caller gets a retry time.
func TestRelayLoopIsBounded(t *testing.T) {
	is := is.New(t)
	first, second := &fakeDirectory{}, &fakeDirectory{}
	firstURL, firstPeer := testInstance(t, fakePrograms{}, first)
	_, secondPeer := testInstance(t, fakePrograms{}, second)
	first.owner = Owner{Instance: "second", Address: secondPeer}
	second.owner = Owner{Instance: "first", Address: firstPeer}
	req, err := http.NewRequest(http.MethodPost, firstURL+"/v1/tools/charge/run", strings.NewReader("{}"))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set(HeaderProgram, string(program.NewID(program.NewCohort("dc", "second"))))
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.Header.Get(HeaderCode), string(step.CodeMoved))
	is.Equal(resp.Header.Get(HeaderOutcome), string(step.NotRun))
	is.Equal(resp.Header.Get(HeaderRetryAfter), "1")
}

// If the owner can't be reached, nothing was sent and the outcome is "not run". If the connection
// breaks after the owner received the call, the outcome is "unknown".
func TestRelayFailureOutcome(t *testing.T) {
	is := is.New(t)
	aborting := fakePrograms{do: func(context.Context, step.Call, step.Sink) step.Result { panic(http.ErrAbortHandler) }}
	_, ownerPeer := testInstance(t, aborting, localDirectory)
	for _, test := range []struct {
		address string
		want    step.Outcome
	}{{"127.0.0.1:1", step.NotRun}, {ownerPeer, step.Unknown}} {
		url, _ := testInstance(t, fakePrograms{}, &fakeDirectory{owner: Owner{Instance: "o", Address: test.address}})
		req, err := http.NewRequest(http.MethodPost, url+"/v1/tools/charge/run", strings.NewReader("{}"))
		is.NoErr(err)
		req.Header.Set("Authorization", "Bearer "+testKey)
		req.Header.Set(HeaderProgram, string(program.NewID(program.NewCohort("dc", "o"))))
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		resp.Body.Close()
		is.Equal(resp.Header.Get(HeaderOutcome), string(test.want))
	}
}

func TestRetryAfterRoundsUp(t *testing.T) {
	is.New(t).Equal(ceilSeconds(1500*time.Millisecond), 2)
}
