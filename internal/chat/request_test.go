package chat

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

// A request has fields that foxhall does not interpret. Decoding must keep them in Extra, and the
// messages byte for byte.
func TestRequestKeepsUnknownFields(t *testing.T) {
	is := is.New(t)
	body := `{"model":"m","stream":true,"max_completion_tokens":9,"temperature":0.5,"messages":[{"role":"user","content":[{"type":"text","text":"a  b"}]}]}`
	var r Request
	is.NoErr(json.Unmarshal([]byte(body), &r))
	is.Equal(r.MaxTokens, 9)
	is.Equal(string(r.Extra["temperature"]), "0.5")
	is.Equal(string(r.Messages[0].Raw), `{"role":"user","content":[{"type":"text","text":"a  b"}]}`)
}

// An invalid request is refused with an error that names the field and what was expected.
func TestInvalidRequests(t *testing.T) {
	for body, want := range map[string]string{
		`{"messages":[{"role":"user"}]}`:                             "model: expected the name of a model",
		`{"model":"m"}`:                                              "messages: expected at least one message",
		`{"model":"m","messages":[{"content":"x"}]}`:                 "messages[0].role: expected a role",
		`{"model":"m","messages":[{"role":"user"}],"max_tokens":-1}`: "max_tokens: expected a whole number above 0",
	} {
		is := is.New(t)
		err := json.Unmarshal([]byte(body), &Request{})
		is.True(err != nil)
		is.Equal(err.Error(), want)
	}
}

// FuzzRequest decodes arbitrary request bodies. A body must be refused, or the request passed on to
// an engine must have the same content.
func FuzzRequest(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":3,"seed":1}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user"}],"stream":true,"max_completion_tokens":7}`))
	f.Add([]byte(`{"model":null,"messages":[null]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var r, decoded Request
		if json.Unmarshal(body, &r) != nil {
			return
		}
		encoded, err := json.Marshal(r)
		if err != nil {
			t.Fatalf("accepted %q but can't encode it: %v", body, err)
		}
		if err := json.Unmarshal(encoded, &decoded); err != nil {
			t.Fatalf("accepted %q, but can't decode its encoding %q: %v", body, encoded, err)
		}
		if decoded.Model != r.Model || decoded.MaxTokens != r.MaxTokens || decoded.Stream != r.Stream || len(decoded.Messages) != len(r.Messages) {
			t.Fatalf("accepted %q, but its encoding %q differs", body, encoded)
		}
		if ChunkFromCompletion(body); EstimateTokens(r.Messages) <= 0 {
			t.Fatal("expected a token estimate above 0 for the messages")
		}
	})
}
