package gateway

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"foxhall/internal/engine"
	"foxhall/internal/routing"
)

// hashBlocks returns the chained hashes of a prompt's blocks. Each hash covers its block and all
// blocks before it, so that equal hashes mean equal prefixes.
func hashBlocks(service string, prompt []Part) []uint64 {
	if len(prompt) == 0 {
		return nil
	}
	chain := xxhash.Sum64String(service)
	blocks := make([]uint64, 0, promptTokens(prompt)/engine.BlockTokens)
	tokens := 0
	for _, p := range prompt {
		tokens += p.Tokens
		for i := uint64(0); len(blocks) < tokens/engine.BlockTokens; i++ {
			chain = hashBlock(chain, p.ID, i)
			blocks = append(blocks, chain)
		}
	}
	return blocks
}

// promptTokens returns the number of tokens of all parts, or math.MaxInt if that is larger.
func promptTokens(prompt []Part) int {
	tokens := 0
	for _, p := range prompt {
		if p.Tokens > math.MaxInt-tokens {
			return math.MaxInt
		}
		tokens += p.Tokens
	}
	return tokens
}

// maxPromptTokens bounds a call to engines whose capacity is unknown. It is several times the context
// of present models.
const maxPromptTokens = 1 << 20

// exceedsEngines reports whether a call states more tokens than an engine can hold, so that none can
// serve it.
//
// It prevents the following failure: a caller claims billions of tokens in a few bytes, and hashing
// the prompt's blocks takes all memory.
func exceedsEngines(call *Call, e *routing.Engine) bool {
	capacity := e.CacheTokens
	if capacity == 0 {
		capacity = maxPromptTokens
	}
	return max(promptTokens(call.Prompt), call.PromptTokens, call.MaxOutputTokens) > capacity
}

func hashBlock(chain, part, i uint64) uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[:], chain)
	binary.LittleEndian.PutUint64(b[8:], part)
	binary.LittleEndian.PutUint64(b[16:], i)
	return xxhash.Sum64(b[:])
}
