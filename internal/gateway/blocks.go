package gateway

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"foxhall/internal/engine"
)

// hashBlocks returns the chained hashes of a prompt's blocks. Each hash covers its block and all
// blocks before it, so that equal hashes mean equal prefixes.
func hashBlocks(service string, prompt []Part) []uint64 {
	if len(prompt) == 0 {
		return nil
	}
	chain := xxhash.Sum64String(service)
	var blocks []uint64
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

func hashBlock(chain, part, i uint64) uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[:], chain)
	binary.LittleEndian.PutUint64(b[8:], part)
	binary.LittleEndian.PutUint64(b[16:], i)
	return xxhash.Sum64(b[:])
}
