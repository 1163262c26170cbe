package engine

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"foxhall/internal/chat"
)

// The parameters by which prompts are counted and divided into blocks. Engines compute the same
// block hashes and publish them in their cache events.
const (
	// TokenBytes is the number of bytes counted as one token.
	TokenBytes = 4
	// BlockTokens is the number of tokens in a block of the prefix cache.
	BlockTokens = 64
	blockBytes  = BlockTokens * TokenBytes
)

// Tokens returns the number of tokens in n bytes.
func Tokens(n int) int { return (n + TokenBytes - 1) / TokenBytes }

// PromptTokens returns the number of tokens in a conversation's raw messages.
func PromptTokens(messages []chat.Message) int {
	n := 0
	for i := range messages {
		n += len(messages[i].Raw)
	}
	return Tokens(n)
}

// epochSeparator separates the name of a served model from the epoch of its load order.
const epochSeparator = "#"

// ServedName returns the name under which an engine serves a model after a load order. The name
// includes the version and the order's epoch, so that an outdated order can affect only the load
// that it was meant for.
func ServedName(model, version, adapter string, epoch uint64) string {
	name := model
	if version != "" {
		name += "@" + version
	}
	if adapter != "" {
		name += "+" + adapter
	}
	return name + epochSeparator + strconv.FormatUint(epoch, 10)
}

// CacheName returns the part of a served name on which block hashes depend. It excludes the epoch,
// since the same weights loaded in another epoch have the same blocks.
func CacheName(served string) string {
	name, _, _ := strings.Cut(served, epochSeparator)
	return name
}

// Blocks appends to dst the chained hashes of the messages' full blocks for the model. Each hash
// covers its block and all blocks before it, so equal hashes mean equal prefixes. A last block that
// is not full has no hash.
func Blocks(dst []uint64, model string, messages []chat.Message) []uint64 {
	h := hasher{chain: xxhash.Sum64String(CacheName(model)), dst: dst}
	h.digest.Reset()
	for i := range messages {
		h.write(messages[i].Raw)
	}
	return h.dst
}

// hasher computes the chained hashes of blocks of blockBytes bytes.
type hasher struct {
	digest      xxhash.Digest
	chain       uint64
	blockFilled int
	dst         []uint64
}

func (h *hasher) write(data []byte) {
	for len(data) > 0 {
		n := min(len(data), blockBytes-h.blockFilled)
		_, _ = h.digest.Write(data[:n])
		data = data[n:]
		h.blockFilled += n
		if h.blockFilled == blockBytes {
			h.endBlock()
		}
	}
}

// endBlock appends the hash of the full block, chained with that of the previous block.
func (h *hasher) endBlock() {
	var previous [8]byte
	binary.LittleEndian.PutUint64(previous[:], h.chain)
	_, _ = h.digest.Write(previous[:])
	h.chain = h.digest.Sum64()
	h.dst = append(h.dst, h.chain)
	h.digest.Reset()
	h.blockFilled = 0
}
