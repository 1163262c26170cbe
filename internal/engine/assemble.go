package engine

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"foxhall/internal/chat"
)

// assembler builds the assistant's message of a streamed response from its chunks.
type assembler struct {
	content      strings.Builder
	refusal      strings.Builder
	toolCalls    []toolCall
	finishReason string
	usage        chat.Usage
	hasUsage     bool
	// started is set once a chunk of the first choice has arrived.
	started bool
}

type toolCall struct {
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function functionCall `json:"function"`
}

type functionCall struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

type streamChunk struct {
	Choices []struct {
		Index int `json:"index"`
		Delta struct {
			Content   string `json:"content"`
			Refusal   string `json:"refusal"`
			ToolCalls []struct {
				Index int `json:"index"`
				toolCall
			} `json:"tool_calls"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *chat.Usage     `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// maxToolCalls bounds the tool calls of one message. A chunk gives the index of its tool call, and
// the list of tool calls grows to that index.
const maxToolCalls = 1024

// add adds one chunk and reports whether it contains only the usage.
func (a *assembler) add(data []byte) (bool, error) {
	var chunk streamChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return false, errors.Wrap(err, "chunk")
	}
	if len(chunk.Error) > 0 && string(chunk.Error) != "null" {
		return false, errors.Errorf("error in stream: %.200s", chunk.Error)
	}
	if chunk.Usage != nil {
		a.usage = *chunk.Usage
		a.hasUsage = true
	}
	for _, choice := range chunk.Choices {
		if choice.Index != 0 {
			continue
		}
		a.started = true
		a.content.WriteString(choice.Delta.Content)
		a.refusal.WriteString(choice.Delta.Refusal)
		for _, part := range choice.Delta.ToolCalls {
			if err := a.addToolCall(part.Index, part.toolCall); err != nil {
				return false, err
			}
		}
		if choice.FinishReason != "" {
			a.finishReason = choice.FinishReason
		}
	}
	return len(chunk.Choices) == 0 && chunk.Usage != nil, nil
}

func (a *assembler) addToolCall(index int, part toolCall) error {
	if index < 0 || index >= maxToolCalls {
		return errors.Errorf("tool call index %d", index)
	}
	for len(a.toolCalls) <= index {
		a.toolCalls = append(a.toolCalls, toolCall{Type: "function"})
	}
	call := &a.toolCalls[index]
	call.ID += part.ID
	if part.Type != "" {
		call.Type = part.Type
	}
	call.Function.Name += part.Function.Name
	call.Function.Arguments += part.Function.Arguments
	return nil
}

// response returns the assembled response. A stream without a finish reason or usage was truncated
// and is an error.
func (a *assembler) response() (*Response, error) {
	if a.finishReason == "" || !a.hasUsage {
		return nil, errTruncated
	}
	message := struct {
		Role      string     `json:"role"`
		Content   *string    `json:"content"`
		Refusal   string     `json:"refusal,omitempty"`
		ToolCalls []toolCall `json:"tool_calls,omitempty"`
	}{Role: "assistant", Refusal: a.refusal.String(), ToolCalls: a.toolCalls}
	if content := a.content.String(); content != "" || len(a.toolCalls) == 0 {
		message.Content = &content
	}
	raw, err := json.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "message")
	}
	return &Response{Message: chat.Message{Role: "assistant", Raw: raw}, FinishReason: a.finishReason, Usage: a.usage}, nil
}
