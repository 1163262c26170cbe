package chat

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// The fields of a chat completion request that foxhall interprets.
const (
	fieldModel               = "model"
	fieldMessages            = "messages"
	fieldStream              = "stream"
	fieldMaxTokens           = "max_tokens"
	fieldMaxCompletionTokens = "max_completion_tokens"
)

// DefaultMaxTokens is the largest number of output tokens for a request that sets no limit.
const DefaultMaxTokens = 1024

// UnmarshalJSON implements json.Unmarshaler.
func (r *Request) UnmarshalJSON(data []byte) error {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(data, &fields); err != nil {
		return err
	}
	var maxTokens, maxCompletionTokens int
	for _, field := range []struct {
		name   string
		target any
	}{
		{fieldModel, &r.Model},
		{fieldMessages, &r.Messages},
		{fieldStream, &r.Stream},
		{fieldMaxTokens, &maxTokens},
		{fieldMaxCompletionTokens, &maxCompletionTokens},
	} {
		raw, ok := fields[field.name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(raw, field.target); err != nil {
			return errors.Wrap(err, field.name)
		}
		delete(fields, field.name)
	}
	if maxTokens < 0 || maxCompletionTokens < 0 {
		return errors.New("max_tokens: expected a whole number above 0")
	}
	r.MaxTokens = max(maxTokens, maxCompletionTokens)
	r.Extra = fields
	return r.check()
}

func (r *Request) check() error {
	if r.Model == "" {
		return errors.New("model: expected the name of a model")
	}
	if len(r.Messages) == 0 {
		return errors.New("messages: expected at least one message")
	}
	for i, m := range r.Messages {
		if m.Role == "" {
			return errors.Errorf("messages[%d].role: expected a role", i)
		}
	}
	return nil
}

// MarshalJSON implements json.Marshaler.
func (r Request) MarshalJSON() ([]byte, error) {
	fields := make(map[string]any, len(r.Extra)+4)
	for name, raw := range r.Extra {
		fields[name] = raw
	}
	fields[fieldModel] = r.Model
	fields[fieldMessages] = r.Messages
	if r.Stream {
		fields[fieldStream] = true
	}
	if r.MaxTokens > 0 {
		fields[fieldMaxTokens] = r.MaxTokens
	}
	return json.Marshal(fields)
}

// MaxOutputTokens returns the largest number of output tokens that the request allows.
func (r *Request) MaxOutputTokens() int {
	if r.MaxTokens > 0 {
		return r.MaxTokens
	}
	return DefaultMaxTokens
}

// bytesPerToken is the approximate size of a token. It is used only for estimates until the engine
// has reported the actual number.
const bytesPerToken = 4

// EstimateTokens returns the approximate number of tokens in the messages.
func EstimateTokens(messages []Message) int {
	total := 0
	for _, m := range messages {
		total += len(m.Raw)/bytesPerToken + 1
	}
	return total
}
