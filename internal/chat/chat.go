// Package chat defines the requests, messages and completions of the OpenAI-compatible chat API that
// callers use with foxhall and foxhall uses with engines.
package chat

import (
	"encoding/json"
)

// Message is one message of a conversation. Raw is its complete JSON, since a history must be sent
// back to the engine byte for byte.
type Message struct {
	Role string
	Raw  json.RawMessage
}

// UnmarshalJSON implements json.Unmarshaler.
func (m *Message) UnmarshalJSON(data []byte) error {
	var header struct {
		Role string `json:"role"`
	}
	if err := json.Unmarshal(data, &header); err != nil {
		return err
	}
	m.Role = header.Role
	m.Raw = append(m.Raw[:0], data...)
	return nil
}

// MarshalJSON implements json.Marshaler.
func (m Message) MarshalJSON() ([]byte, error) { return m.Raw, nil }

// Request is a chat completion request. Fields that foxhall does not interpret are in Extra and are
// passed on unchanged.
type Request struct {
	Model     string
	Messages  []Message
	Stream    bool
	MaxTokens int
	Extra     map[string]json.RawMessage
}

// Usage is the token usage of one response.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          *UsageDetails `json:"prompt_tokens_details,omitempty"`
}

// UsageDetails gives the number of prompt tokens that the engine found in its prefix cache.
type UsageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}
