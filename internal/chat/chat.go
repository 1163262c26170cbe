// Package chat holds the messages of the OpenAI-compatible chat API, as
// callers send them to foxhall and foxhall sends them to engines.
package chat

import (
	"encoding/json"
)

// Message is one message of a conversation. The raw form is kept whole, since
// a history must be given back to the engine exactly as it was.
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

// Request is a chat completion request. Fields that foxhall does not read
// stay in Extra and are passed on unchanged.
type Request struct {
	Model     string
	Messages  []Message
	Stream    bool
	MaxTokens int
	Extra     map[string]json.RawMessage
}

// Usage counts the tokens of one answer.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          *UsageDetails `json:"prompt_tokens_details,omitempty"`
}

// UsageDetails tells how much of the prompt the engine found in its prefix cache.
type UsageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}
