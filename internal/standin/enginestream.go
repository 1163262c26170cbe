package standin

import (
	"encoding/json"

	"foxhall/internal/chat"
	"foxhall/internal/engine"
)

const (
	finishStop       = "stop"
	objectCompletion = "chat.completion"
	objectChunk      = "chat.completion.chunk"
)

type wireChoice struct {
	Index        int           `json:"index"`
	Delta        *wireDelta    `json:"delta,omitempty"`
	Message      *chat.Message `json:"message,omitempty"`
	FinishReason *string       `json:"finish_reason"`
}

type wireDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type wireResponse struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []wireChoice `json:"choices"`
	Usage   *chat.Usage  `json:"usage,omitempty"`
}

func mustMarshal(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic("standin: a wire value does not marshal: " + err.Error())
	}
	return raw
}

func newWireResponse(s *sequence, object string) wireResponse {
	return wireResponse{ID: "chatcmpl-standin", Object: object, Created: s.startedAt.Unix(), Model: s.model, Choices: []wireChoice{}}
}

func completionBody(s *sequence) []byte {
	a := newWireResponse(s, objectCompletion)
	message := s.message()
	reason := finishStop
	a.Choices = []wireChoice{{Message: &message, FinishReason: &reason}}
	usage := s.usage()
	a.Usage = &usage
	return mustMarshal(a)
}

// streamer passes the chunks of one call to its reader. Without onChunk it does nothing.
type streamer struct {
	s            *sequence
	onChunk      func(engine.Chunk) error
	emittedBytes int
}

func newStreamer(s *sequence, r *engine.Request, onChunk func(engine.Chunk) error) *streamer {
	if !r.Chat.Stream {
		onChunk = nil
	}
	return &streamer{s: s, onChunk: onChunk}
}

// emit sends the text that has not been sent yet, up to the given number of decoded tokens.
func (t *streamer) emit(tokens int) error {
	if t.onChunk == nil {
		return nil
	}
	upTo := min(tokens*engine.TokenBytes, len(t.s.text))
	if upTo <= t.emittedBytes {
		return nil
	}
	delta := &wireDelta{Content: t.s.text[t.emittedBytes:upTo]}
	if t.emittedBytes == 0 {
		delta.Role = "assistant"
	}
	t.emittedBytes = upTo
	return t.sendChunk([]wireChoice{{Delta: delta}}, nil)
}

// finish sends the remaining text, the finish reason and the usage.
func (t *streamer) finish() error {
	if t.onChunk == nil {
		return nil
	}
	if err := t.emit(t.s.outputTokens); err != nil {
		return err
	}
	reason := finishStop
	if err := t.sendChunk([]wireChoice{{Delta: &wireDelta{}, FinishReason: &reason}}, nil); err != nil {
		return err
	}
	usage := t.s.usage()
	return t.sendChunk([]wireChoice{}, &usage)
}

func (t *streamer) sendChunk(choices []wireChoice, usage *chat.Usage) error {
	a := newWireResponse(t.s, objectChunk)
	a.Choices = choices
	a.Usage = usage
	return t.onChunk(engine.Chunk{Data: mustMarshal(a), UsageOnly: usage != nil})
}
