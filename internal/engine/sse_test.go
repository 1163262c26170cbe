package engine

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"foxhall/internal/chat"
)

// An engine dies in the middle of a streamed answer. The bytes that came are
// well formed, and the stream simply ends. The reader must see an error, or a
// caller would take half an answer for the whole one.
func TestTruncatedStreamIsAnError(t *testing.T) {
	is := is.New(t)
	complete := "data: {\"a\":1}\n\ndata: {\"a\":2}\n\ndata: [DONE]\n\n"
	for cut := range len(complete) - len("\n\n") {
		err := readStream(strings.NewReader(complete[:cut]), func([]byte) error { return nil })
		is.True(err != nil) // no end mark
	}
	is.NoErr(readStream(strings.NewReader(complete), func([]byte) error { return nil }))
}

// A broken engine sends a line without end. The reader must give up at its
// bound instead of growing until the instance runs out of memory.
func TestStreamLineIsBounded(t *testing.T) {
	is := is.New(t)
	endless := "data: " + strings.Repeat("x", 2*MaxEventBytes)
	is.True(readStream(strings.NewReader(endless), func([]byte) error { return nil }) != nil)
	lines := strings.Repeat("data: "+strings.Repeat("x", 1<<16)+"\n", 32)
	is.True(readStream(strings.NewReader(lines), func([]byte) error { return nil }) != nil)
}

func FuzzStream(f *testing.F) {
	f.Add([]byte("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n"))
	f.Add([]byte(": comment\nevent: x\ndata:1\ndata:2\n\n"))
	f.Add([]byte("data: {\"choices\":[{\"delta\":{\"tool_calls\":[{\"index\":9}]}}]}\n\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		var a assembler
		err := readStream(bytes.NewReader(input), func(data []byte) error {
			if len(data) > MaxEventBytes {
				t.Fatalf("event of %d bytes", len(data))
			}
			_, err := a.add(data)
			return err
		})
		if err == nil && !bytes.Contains(input, doneData) {
			t.Fatal("a stream without its end mark passed for whole")
		}
		if response, err := a.response(); err == nil && !json.Valid(response.Message.Raw) {
			t.Fatalf("malformed message %q", response.Message.Raw)
		}
	})
}

// The engine hashes the bytes it receives; foxhall hashes those it holds. Were
// the body reformatted on the way, no prefix would ever match.
func TestEncodeKeepsMessageBytes(t *testing.T) {
	is := is.New(t)
	messages := []chat.Message{
		{Role: "user", Raw: json.RawMessage("{ \"role\" : \"user\",\n \"content\": \"<a> & b\" }")},
		{Role: "assistant", Raw: json.RawMessage(`{"role":"assistant","content":"` + strings.Repeat("é", 400) + `"}`)},
	}
	r := &Request{
		Chat:     &chat.Request{Model: "m", Messages: messages, MaxTokens: 5, Extra: map[string]json.RawMessage{"temperature": json.RawMessage("0.5")}},
		Priority: 3,
		Program:  "p",
	}
	body, err := EncodeRequest(r)
	is.NoErr(err)
	got, err := DecodeRequest(body)
	is.NoErr(err)
	is.Equal(got.Priority, 3)
	is.Equal(got.Program, "p")
	is.Equal(Blocks(nil, "m", got.Chat.Messages), Blocks(nil, "m", messages))
	is.True(len(Blocks(nil, "m", messages)) > 0)
}
