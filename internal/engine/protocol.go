// Package engine is the protocol that model engines speak and a client of it:
// OpenAI-compatible chat completions with two extension fields, lagging load
// reports, numbered cache events, orders and the transfer of KV cache.
package engine

import (
	"time"

	"foxhall/internal/chat"
)

// The paths of an engine's API.
const (
	PathCompletions = "/v1/chat/completions"
	PathLoad        = "/v1/load"
	PathEvents      = "/v1/events"
	PathOrders      = "/v1/orders"
	PathState       = "/v1/state"
	PathKVExport    = "/v1/kv/export"
	PathKVImport    = "/v1/kv/import"
)

// The headers of an engine's refusals.
const (
	// HeaderNotRun with value "true" says that the engine did not run the call.
	HeaderNotRun = "Engine-Not-Run"
	// HeaderLeaving with value "true" says that the engine drains and takes no new calls.
	HeaderLeaving = "Engine-Leaving"
)

// Request is one completion for an engine.
type Request struct {
	Chat *chat.Request
	// Model is the name under which the engine serves the model; empty for Chat.Model.
	Model string
	// Priority orders calls waiting in the engine; higher goes first.
	Priority int
	// Program names whose memory the call's blocks belong to; may be empty.
	Program string
}

// ServedModel returns the model name that is sent to the engine.
func (r *Request) ServedModel() string {
	if r.Model != "" {
		return r.Model
	}
	return r.Chat.Model
}

// Chunk is one event of a streamed answer.
type Chunk struct {
	// Data is the event's JSON, valid until the callback returns.
	Data []byte
	// UsageOnly marks the last chunk, which carries only the usage block.
	UsageOnly bool
}

// Answer is a whole answer.
type Response struct {
	// Body is the engine's JSON, nil where the answer was streamed.
	Body []byte
	// Message is the assistant's message as it belongs into a history.
	Message      chat.Message
	FinishReason string
	Usage        chat.Usage
	// FirstToken and Total are measured from the sending of the request.
	FirstToken time.Duration
	Total      time.Duration
}

// CachedTokens returns the prompt tokens that the engine found in its cache.
func (r *Response) CachedTokens() int {
	if r.Usage.Details == nil {
		return 0
	}
	return r.Usage.Details.CachedTokens
}

// Load is what an engine reports of its load. It lags.
type Load struct {
	// AgeMillis is how old the figures were when the engine sent them, in
	// milliseconds; an age needs no common clock.
	AgeMillis int64 `json:"age_millis"`
	Running   int   `json:"running"`
	Waiting   int   `json:"waiting"`
	// PrefillTokens is the number of prompt tokens not yet prefilled.
	PrefillTokens int `json:"prefill_tokens"`
	// CacheTokens is the number of tokens that the prefix cache holds.
	CacheTokens int  `json:"cache_tokens"`
	Draining    bool `json:"leaving"`
}

// EventKind tells what happened to blocks of the prefix cache.
type EventKind string

// The kinds of cache events.
const (
	Stored  EventKind = "stored"
	Evicted EventKind = "evicted"
	Cleared EventKind = "cleared"
)

// Age returns how old the figures were when the engine sent them.
func (l Load) Age() time.Duration { return time.Duration(l.AgeMillis) * time.Millisecond }

// Event reports a change of the prefix cache. Events are numbered from 1 within
// one boot of the engine; a number that is missing is a gap.
type Event struct {
	Boot   string    `json:"boot"`
	Seq    uint64    `json:"seq"`
	Kind   EventKind `json:"kind"`
	Blocks []uint64  `json:"blocks,omitempty"`
}

// OrderKind names what an order asks of an engine.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad    OrderKind = "load"
	OrderUnload  OrderKind = "unload"
	OrderRole    OrderKind = "role"
	OrderRelease OrderKind = "release"
)

// Order asks an engine to change what it holds.
type Order struct {
	Kind OrderKind `json:"kind"`
	// Token is the sender's fencing token; engines that check refuse a lower
	// one than the highest they have seen.
	Token uint64 `json:"token"`
	// Served is the name under which a model is loaded or unloaded.
	Served  string `json:"served,omitempty"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
	// Programs are those whose memory an OrderRelease frees.
	Programs []string `json:"programs,omitempty"`
}

// Loaded is one model that an engine holds or is loading.
type Loaded struct {
	Served  string `json:"served"`
	Model   string `json:"model"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Ready   bool   `json:"ready"`
	// Running is the number of calls of the model under way or waiting.
	Running int `json:"running"`
}

// State is what an engine holds.
type State struct {
	Boot string `json:"boot"`
	// Seq is the number of the last cache event that Blocks include.
	Seq    uint64   `json:"seq"`
	Role   string   `json:"role"`
	Models []Loaded `json:"models"`
	// Programs gives the tokens of memory held for each program.
	Programs map[string]int `json:"programs"`
	Blocks   []uint64       `json:"blocks,omitempty"`
	// Token is the highest fencing token seen.
	Token uint64 `json:"token"`
}

// KV is the exported cache of one program: the hashes stand for their blocks.
type KV struct {
	Program string   `json:"program"`
	Blocks  []uint64 `json:"blocks"`
}

// KVImport asks an engine to fetch a program's cache from another engine.
type KVImport struct {
	Program string `json:"program"`
	// From is the address of the engine that holds it.
	From string `json:"from"`
}
