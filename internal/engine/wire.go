package engine

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"foxhall/internal/chat"
)

// The fields of a completion request that foxhall sets itself instead of passing on the caller's.
const (
	fieldModel         = "model"
	fieldMessages      = "messages"
	fieldStream        = "stream"
	fieldStreamOptions = "stream_options"
	fieldMaxTokens     = "max_tokens"
	fieldPriority      = "priority"
	fieldProgram       = "program"
)

// EncodeRequest returns the body of a completion request. It copies the bytes of the messages
// unchanged, so that the engine hashes the same prompt as Blocks does; encoding/json would reformat
// them.
func EncodeRequest(r *Request) ([]byte, error) {
	fields := maps.Clone(r.Chat.Extra)
	if fields == nil {
		fields = map[string]json.RawMessage{}
	}
	if err := setOwnFields(fields, r); err != nil {
		return nil, err
	}
	var body bytes.Buffer
	body.WriteByte('{')
	for i, name := range slices.Sorted(maps.Keys(fields)) {
		if i > 0 {
			body.WriteByte(',')
		}
		key, err := json.Marshal(name)
		if err != nil {
			return nil, errors.Wrap(err, "engine: request field")
		}
		body.Write(key)
		body.WriteByte(':')
		body.Write(fields[name])
	}
	body.WriteByte('}')
	return body.Bytes(), nil
}

func setOwnFields(fields map[string]json.RawMessage, r *Request) error {
	own := map[string]any{fieldModel: r.ServedModel(), fieldStream: r.Chat.Stream, fieldPriority: r.Priority}
	if r.Program != "" {
		own[fieldProgram] = r.Program
	}
	if r.Chat.MaxTokens > 0 {
		own[fieldMaxTokens] = r.Chat.MaxTokens
	}
	if r.Chat.Stream {
		own[fieldStreamOptions] = map[string]bool{"include_usage": true}
	}
	for name, value := range own {
		raw, err := json.Marshal(value)
		if err != nil {
			return errors.Wrap(err, "engine: request")
		}
		fields[name] = raw
	}
	fields[fieldMessages] = joinMessages(r.Chat.Messages)
	return nil
}

func joinMessages(messages []chat.Message) json.RawMessage {
	size := 2
	for i := range messages {
		size += len(messages[i].Raw) + 1
	}
	raw := append(make([]byte, 0, size), '[')
	for i := range messages {
		if i > 0 {
			raw = append(raw, ',')
		}
		raw = append(raw, messages[i].Raw...)
	}
	return append(raw, ']')
}

// DecodeRequest decodes the body of a completion request, as an engine does.
func DecodeRequest(body []byte) (*Request, error) {
	var wire struct {
		Model     string         `json:"model"`
		Messages  []chat.Message `json:"messages"`
		Stream    bool           `json:"stream"`
		MaxTokens int            `json:"max_tokens"`
		Priority  int            `json:"priority"`
		Program   string         `json:"program"`
	}
	if err := json.Unmarshal(body, &wire); err != nil {
		return nil, errors.Wrap(err, "engine: request")
	}
	c := &chat.Request{Model: wire.Model, Messages: wire.Messages, Stream: wire.Stream, MaxTokens: wire.MaxTokens}
	return &Request{Chat: c, Priority: wire.Priority, Program: wire.Program}, nil
}

// completion is the JSON of a non-streaming response.
type completion struct {
	Choices []struct {
		Message      chat.Message `json:"message"`
		FinishReason string       `json:"finish_reason"`
	} `json:"choices"`
	Usage chat.Usage `json:"usage"`
}

func decodeCompletion(body []byte) (*Response, error) {
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, errors.Wrap(err, "answer")
	}
	if len(c.Choices) == 0 {
		return nil, errors.New("answer without a choice")
	}
	first := c.Choices[0]
	return &Response{Body: body, Message: first.Message, FinishReason: first.FinishReason, Usage: c.Usage}, nil
}
