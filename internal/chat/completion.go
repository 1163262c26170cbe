package chat

import (
	"encoding/json"
)

// completion is the JSON of the API's chat.completion object.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

type choice struct {
	Index        int             `json:"index"`
	Message      json.RawMessage `json:"message"`
	FinishReason string          `json:"finish_reason"`
}

// Completion is the recorded part of a response, sufficient to replay it.
type Completion struct {
	ID string
	// Created is in seconds since the Unix epoch.
	Created int64
	Model   string
	// Answer is the assistant's message.
	Answer       Message
	FinishReason string
	Usage        Usage
}

// Encode returns the JSON of the API's chat.completion object.
func (c Completion) Encode() []byte {
	body, err := json.Marshal(completion{
		ID:      c.ID,
		Object:  "chat.completion",
		Created: c.Created,
		Model:   c.Model,
		Choices: []choice{{Message: c.Answer.Raw, FinishReason: c.FinishReason}},
		Usage:   c.Usage,
	})
	if err != nil {
		panic("chat: recorded message can't be encoded as JSON: " + err.Error())
	}
	return body
}
