package chat

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
	"github.com/openai/openai-go"
)

func parse(raw string) Message {
	var m Message
	if err := json.Unmarshal([]byte(raw), &m); err != nil {
		panic(err)
	}
	return m
}

// A standard client decodes a response and sends it back with the next request, in its own encoding.
// The two messages are equivalent; a message with any other content is not.
func TestEquivalentAfterClientRoundTrip(t *testing.T) {
	is := is.New(t)
	message := parse(`{"role":"assistant", "content":"Olá \u003c3", "refusal":null, "annotations":[],
		"tool_calls":[{"id":"c1","type":"function","function":{"name":"pay","arguments":"{\"n\": 1}"}}]}`)
	var read openai.ChatCompletion
	is.NoErr(json.Unmarshal(Completion{ID: "1", Model: "m", Answer: message, FinishReason: "stop"}.Encode(), &read))
	raw, err := json.Marshal(read.Choices[0].Message.ToParam())
	is.NoErr(err)
	is.True(Equivalent(parse(string(raw)), message))
	is.True(!Equivalent(parse(`{"role":"assistant","content":"Olá <4"}`), message))
	is.True(!Equivalent(parse(`{"role":"user","content":"x"}`), parse(`{"role":"assistant","content":"x"}`)))
	is.True(HasToolCalls(message))
	is.True(!HasToolCalls(parse(`{"role":"assistant","content":"\"tool_calls\""}`)))
}

// A list without a response and without a system message is a continuation.
func TestIsContinuation(t *testing.T) {
	is := is.New(t)
	user, tool := parse(`{"role":"user","content":"x"}`), parse(`{"role":"tool","content":"x"}`)
	is.True(IsContinuation([]Message{user, tool}))
	is.True(!IsContinuation([]Message{parse(`{"role":"system","content":"x"}`), user}))
	is.True(!IsContinuation([]Message{user, parse(`{"role":"assistant","content":"x"}`), user}))
}
