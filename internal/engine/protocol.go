// Package engine defines the protocol of model engines and implements a client for it. The protocol
// consists of OpenAI-compatible chat completions with two extension fields, lagging load reports,
// numbered cache events, orders and the transfer of KV caches.
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
	// HeaderNotRun with value "true" indicates that the engine did not run the call.
	HeaderNotRun = "Engine-Not-Run"
	// HeaderDraining with value "true" indicates that the engine drains and accepts no new calls.
	HeaderDraining = "Engine-Leaving"
)

// Request is one completion for an engine.
type Request struct {
	Chat *chat.Request
	// Model is the name under which the engine serves the model. If empty, Chat.Model is used.
	Model string
	// Priority orders the calls waiting in the engine; the highest runs first.
	Priority int
	// Program is the program to which the engine assigns the call's blocks. It may be empty.
	Program string
}

// ServedModel returns the model name that is sent to the engine.
func (r *Request) ServedModel() string {
	if r.Model != "" {
		return r.Model
	}
	return r.Chat.Model
}

// Chunk is one event of a streamed response.
type Chunk struct {
	// Data is the event's JSON. It is valid only until the callback returns.
	Data []byte
	// UsageOnly marks the last chunk, which contains only the usage.
	UsageOnly bool
}

// Response is a complete response.
type Response struct {
	// Body is the engine's JSON, or nil if the response was streamed.
	Body []byte
	// Message is the assistant's message as it is added to a history.
	Message      chat.Message
	FinishReason string
	Usage        chat.Usage
	// FirstToken and Total are the times to the first token and to the end of the response, measured
	// from the start of the request. For a non-streaming response both end with the response.
	FirstToken time.Duration
	Total      time.Duration
}

// CachedTokens returns the number of prompt tokens that the engine found in its prefix cache.
func (r *Response) CachedTokens() int {
	if r.Usage.Details == nil {
		return 0
	}
	return r.Usage.Details.CachedTokens
}

// Load is an engine's load report. It lags behind the actual load.
type Load struct {
	// AgeMillis is the age of the figures when the engine sent them, in milliseconds. Unlike a
	// timestamp, an age needs no synchronised clocks.
	AgeMillis int64 `json:"age_millis"`
	// Running and Waiting are numbers of calls.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// PrefillTokens is the number of prompt tokens not yet prefilled.
	PrefillTokens int `json:"prefill_tokens"`
	// CacheTokens is the number of tokens in the prefix cache.
	CacheTokens int `json:"cache_tokens"`
	// Draining indicates that the engine accepts no new calls.
	Draining bool `json:"leaving"`
}

// EventKind is the kind of a change of the prefix cache.
type EventKind string

// The kinds of cache events.
const (
	// Stored reports blocks added to the cache.
	Stored EventKind = "stored"
	// Evicted reports blocks removed from the cache.
	Evicted EventKind = "evicted"
	// Cleared reports the removal of all blocks.
	Cleared EventKind = "cleared"
)

// Age returns the age of the figures when the engine sent them.
func (l Load) Age() time.Duration { return time.Duration(l.AgeMillis) * time.Millisecond }

// Event reports a change of the prefix cache. Events are numbered from 1 within one boot of the
// engine, so that a missing number reveals a gap.
type Event struct {
	// Boot identifies the boot of the engine.
	Boot   string    `json:"boot"`
	Seq    uint64    `json:"seq"`
	Kind   EventKind `json:"kind"`
	Blocks []uint64  `json:"blocks,omitempty"`
}

// OrderKind is the kind of an order.
type OrderKind string

// The kinds of orders.
const (
	// OrderLoad loads a model under the name in Served.
	OrderLoad OrderKind = "load"
	// OrderUnload unloads the model served under the name in Served.
	OrderUnload OrderKind = "unload"
	// OrderRole sets the engine's role.
	OrderRole OrderKind = "role"
	// OrderRelease frees the memory of programs.
	OrderRelease OrderKind = "release"
)

// Order instructs an engine to load or unload a model, change its role or release memory.
type Order struct {
	Kind OrderKind `json:"kind"`
	// Token is the sender's fencing token. Engines that check tokens refuse one lower than the
	// highest they have seen.
	Token uint64 `json:"token"`
	// Served is the name under which a model is loaded or unloaded.
	Served  string `json:"served,omitempty"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
	// Programs are the programs whose memory an OrderRelease frees.
	Programs []string `json:"programs,omitempty"`
}

// LoadedModel is a model that an engine has loaded or is loading.
type LoadedModel struct {
	Served  string `json:"served"`
	Model   string `json:"model"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Ready   bool   `json:"ready"`
	// Running is the number of calls to the model that are running or waiting.
	Running int `json:"running"`
}

// State is the state of an engine.
type State struct {
	// Boot identifies the boot of the engine.
	Boot string `json:"boot"`
	// Seq is the sequence number of the last cache event included in Blocks.
	Seq    uint64        `json:"seq"`
	Role   string        `json:"role"`
	Models []LoadedModel `json:"models"`
	// Programs maps each program to the size of its memory in tokens.
	Programs map[string]int `json:"programs"`
	Blocks   []uint64       `json:"blocks,omitempty"`
	// Token is the highest fencing token that the engine has seen.
	Token uint64 `json:"token"`
}

// KV is the exported KV cache of one program. Hashes take the place of the blocks' contents.
type KV struct {
	Program string   `json:"program"`
	Blocks  []uint64 `json:"blocks"`
}

// KVImport instructs an engine to fetch a program's KV cache from another engine.
type KVImport struct {
	Program string `json:"program"`
	// From is the address of the engine that has the cache.
	From string `json:"from"`
}
