package engine

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"foxhall/internal/chat"
)

// An engine crashes in the middle of a streamed response. The bytes received so far are well formed
// and the stream just ends. The reader must return an error; otherwise a caller would take a partial
// response for a complete one.
func TestTruncatedStreamIsAnError(t *testing.T) {
	is := is.New(t)
	complete := "data: {\"a\":1}\n\ndata: {\"a\":2}\n\ndata: [DONE]\n\n"
	for cut := range len(complete) - len("\n\n") {
		err := readEvents(strings.NewReader(complete[:cut]), func([]byte) error { return nil })
		is.True(err != nil) // no end marker
	}
	is.NoErr(readEvents(strings.NewReader(complete), func([]byte) error { return nil }))
}

// A faulty engine sends an endless line, or an event of endless lines. The reader must fail at its
// limit instead of growing until the instance runs out of memory.
func TestStreamLineIsBounded(t *testing.T) {
	is := is.New(t)
	endless := "data: " + strings.Repeat("x", 2*MaxEventBytes)
	is.True(readEvents(strings.NewReader(endless), func([]byte) error { return nil }) != nil)
	lines := strings.Repeat("data: "+strings.Repeat("x", 1<<16)+"\n", 32)
	is.True(readEvents(strings.NewReader(lines), func([]byte) error { return nil }) != nil)
}

// FuzzStream feeds arbitrary bytes to the reader and the assembler. Events must stay within
// MaxEventBytes, a stream without its end marker must be an error, and an assembled message must be
// valid JSON.
func FuzzStream(f *testing.F) {
	f.Add([]byte("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n"))
	f.Add([]byte(": comment\nevent: x\ndata:1\ndata:2\n\n"))
	f.Add([]byte("data: {\"choices\":[{\"delta\":{\"tool_calls\":[{\"index\":9}]}}]}\n\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		var a assembler
		err := readEvents(bytes.NewReader(input), func(data []byte) error {
			if len(data) > MaxEventBytes {
				t.Fatalf("event of %d bytes exceeds the limit", len(data))
			}
			_, err := a.add(data)
			return err
		})
		if err == nil && !bytes.Contains(input, doneData) {
			t.Fatal("a stream without its end marker was accepted as complete")
		}
		if response, err := a.response(); err == nil && !json.Valid(response.Message.Raw) {
			t.Fatalf("assembled message is not valid JSON: %q", response.Message.Raw)
		}
	})
}

// The engine hashes the bytes that it receives, foxhall those of its own copy. If encoding changed
// the messages' bytes, no prefix would ever match.
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
