package chat

import (
	"bytes"
	"encoding/json"
	"reflect"
)

// HasPrefix reports whether list starts with messages equivalent to those of prefix.
func HasPrefix(list, prefix []Message) bool {
	if len(list) < len(prefix) {
		return false
	}
	for i := range prefix {
		if !Equivalent(list[i], prefix[i]) {
			return false
		}
	}
	return true
}

// Equivalent reports whether two messages have the same content. Clients decode a response and
// encode it again before they send it back, so the order of members, white space, and top-level
// members that are null or empty are ignored.
func Equivalent(a, b Message) bool {
	if bytes.Equal(a.Raw, b.Raw) {
		return true
	}
	if a.Role != b.Role {
		return false
	}
	left, err := nonEmptyMembers(a.Raw)
	if err != nil {
		return false
	}
	right, err := nonEmptyMembers(b.Raw)
	return err == nil && reflect.DeepEqual(left, right)
}

// nonEmptyMembers decodes a JSON object and removes the top-level members that are null or empty.
func nonEmptyMembers(raw []byte) (map[string]any, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var m map[string]any
	if err := decoder.Decode(&m); err != nil {
		return nil, err
	}
	for name, value := range m {
		if isEmpty(value) {
			delete(m, name)
		}
	}
	return m, nil
}

func isEmpty(value any) bool {
	switch v := value.(type) {
	case nil:
		return true
	case string:
		return v == ""
	case []any:
		return len(v) == 0
	case map[string]any:
		return len(v) == 0
	}
	return false
}

// IsContinuation reports whether the list contains only messages that a caller adds after a
// response. A complete conversation of at least one turn also contains the response, with the role
// "assistant", and usually a system message.
func IsContinuation(list []Message) bool {
	for _, m := range list {
		if m.Role == "assistant" || m.Role == "system" || m.Role == "developer" {
			return false
		}
	}
	return true
}

// HasToolCalls reports whether a response contains a tool call for its program.
func HasToolCalls(response Message) bool {
	var body struct {
		ToolCalls []json.RawMessage `json:"tool_calls"`
	}
	return json.Unmarshal(response.Raw, &body) == nil && len(body.ToolCalls) > 0
}
