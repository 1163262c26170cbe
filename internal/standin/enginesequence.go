package standin

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxhall/internal/chat"
	"foxhall/internal/engine"
)

// sequence is the state of one call in an engine.
type sequence struct {
	model        string
	program      string
	priority     int
	arrival      int64
	messages     []chat.Message
	text         string
	promptBlocks []uint64
	promptTokens int
	outputTokens int
	chunkTokens  int
	stream       bool

	startedAt    time.Time
	firstTokenAt time.Time
	endedAt      time.Time

	cachedTokens      int
	pinnedBlocks      []uint64
	prefillTokensLeft float64
	prefilled         bool
	decodedTokens     float64
	lastMilestone     int
	ended             bool
	err               error
	progress          chan struct{}
	done              chan struct{}
}

func newSequence(r *engine.Request, order int64, chunk int) *sequence {
	s := &sequence{
		model:        r.ServedModel(),
		program:      r.Program,
		priority:     r.Priority,
		arrival:      order,
		messages:     r.Chat.Messages,
		promptBlocks: engine.Blocks(nil, r.ServedModel(), r.Chat.Messages),
		promptTokens: engine.PromptTokens(r.Chat.Messages),
		chunkTokens:  chunk,
		stream:       r.Chat.Stream,
		startedAt:    time.Now(),
		progress:     make(chan struct{}, 1),
		done:         make(chan struct{}),
	}
	s.text = GeneratedText(r.ServedModel(), r.Chat.Messages, r.Chat.MaxTokens)
	s.outputTokens = engine.Tokens(len(s.text))
	return s
}

// nextMilestone returns the number of decoded tokens at which the engine next has to act on the call:
// the first token, the next chunk of a stream, or the end.
func (s *sequence) nextMilestone() float64 {
	switch {
	case s.firstTokenAt.IsZero():
		return 1
	case s.stream:
		return float64(min(s.outputTokens, s.lastMilestone+s.chunkTokens))
	default:
		return float64(s.outputTokens)
	}
}

// allBlocks returns the block chain of the prompt followed by the response.
func (s *sequence) allBlocks() []uint64 {
	messages := append(append([]chat.Message(nil), s.messages...), s.message())
	return engine.Blocks(nil, s.model, messages)
}

func (s *sequence) message() chat.Message {
	return assistantMessage(s.text)
}

func assistantMessage(text string) chat.Message {
	raw, err := json.Marshal(struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}{"assistant", text})
	if err != nil {
		panic("standin: a struct of strings does not marshal: " + err.Error())
	}
	return chat.Message{Role: "assistant", Raw: raw}
}

func (s *sequence) usage() chat.Usage {
	return chat.Usage{
		PromptTokens:     s.promptTokens,
		CompletionTokens: s.outputTokens,
		TotalTokens:      s.promptTokens + s.outputTokens,
		Details:          &chat.UsageDetails{CachedTokens: s.cachedTokens},
	}
}

func (s *sequence) response() *engine.Response {
	a := &engine.Response{
		Message:      s.message(),
		FinishReason: finishStop,
		Usage:        s.usage(),
		FirstToken:   s.firstTokenAt.Sub(s.startedAt),
		Total:        s.endedAt.Sub(s.startedAt),
	}
	if !s.stream {
		a.Body = completionBody(s)
	}
	return a
}

// GeneratedText returns the text that an engine generates. It contains the number and the hash of the
// request's messages, so that a test detects lost, mixed and reordered history. It is padded to
// maxTokens tokens, or to a default length if maxTokens is not positive.
func GeneratedText(model string, messages []chat.Message, maxTokens int) string {
	if maxTokens <= 0 {
		maxTokens = defaultOutputTokens
	}
	prefix := fmt.Sprintf("messages=%d hash=%016x", len(messages), MessagesHash(model, messages))
	paddingBytes := maxTokens*engine.TokenBytes - len(prefix)
	if paddingBytes <= 0 {
		return prefix
	}
	return prefix + strings.Repeat(" ...", paddingBytes/engine.TokenBytes+1)[:paddingBytes]
}

// MessagesHash returns the hash of the model's name and the messages that GeneratedText contains.
func MessagesHash(model string, messages []chat.Message) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	for i := range messages {
		_, _ = digest.WriteString("\n")
		_, _ = digest.Write(messages[i].Raw)
	}
	return digest.Sum64()
}
