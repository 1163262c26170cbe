package chat

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// ChunkFromCompletion converts a complete chat completion to a single chunk of a stream with the
// same content. It serves callers that request a stream for a response that has already been
// recorded.
func ChunkFromCompletion(completion []byte) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(completion, &fields); err != nil {
		return nil, errors.Wrap(err, "chat: completion")
	}
	var choices []map[string]json.RawMessage
	if err := json.Unmarshal(fields["choices"], &choices); err != nil {
		return nil, errors.Wrap(err, "chat: choices")
	}
	for _, choice := range choices {
		choice["delta"] = choice["message"]
		delete(choice, "message")
	}
	raw, err := json.Marshal(choices)
	if err != nil {
		return nil, errors.Wrap(err, "chat: choices")
	}
	fields["choices"] = raw
	fields["object"] = json.RawMessage(`"chat.completion.chunk"`)
	return json.Marshal(fields)
}
