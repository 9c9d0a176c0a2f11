package standin

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

// cacheBlockTokens is the unit in which an engine caches prompts.
const cacheBlockTokens = 64

// promptCache keeps the beginnings of prompts, block by block, the least used
// dropped first. A nil cache keeps nothing.
type promptCache struct {
	blocks *lru.Cache[uint64, struct{}]
}

func newPromptCache(tokens int) *promptCache {
	if tokens < cacheBlockTokens {
		return nil
	}
	// The size is above 0, so that there is no error.
	blocks, _ := lru.New[uint64, struct{}](tokens / cacheBlockTokens)
	return &promptCache{blocks: blocks}
}

// promptBlocks returns a hash for the prompt up to the end of each block.
func promptBlocks(prompt []byte) []uint64 {
	const size = cacheBlockTokens * bytesPerToken
	var chain []uint64
	var seed [8]byte
	for ; len(prompt) >= size; prompt = prompt[size:] {
		sum := xxhash.Sum64(append(seed[:], prompt[:size]...))
		chain = append(chain, sum)
		binary.LittleEndian.PutUint64(seed[:], sum)
	}
	return chain
}

// held returns how many tokens at the beginning of a prompt are kept.
func (c *promptCache) held(chain []uint64) int {
	if c == nil {
		return 0
	}
	for i, block := range chain {
		if _, kept := c.blocks.Get(block); !kept {
			return i * cacheBlockTokens
		}
	}
	return len(chain) * cacheBlockTokens
}

func (c *promptCache) add(chain []uint64) {
	if c == nil {
		return
	}
	for _, block := range chain {
		c.blocks.Add(block, struct{}{})
	}
}
